"""Explains what this process would do with a request, without sending it."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from ..adapters.dialect import Dialect
from ..core.actions import RequestInfo
from ..core.errors import ExplanationError
from ..core.explanation_document import Explanation, make_explanation
from ..core.explanations import (
    ConfigurationAge,
    ExplainedRequest,
    ExplainedService,
    ExplanationQuery,
    find_rank,
    list_service_shares,
)
from ..core.outcomes import OutcomeReason
from ..core.paths import normalise_path
from ..core.policy import RoutePolicy, TeamPolicy
from ..core.quota_credit import QuotaPreview
from .dispatch import DispatchFilter
from .idempotency import IDEMPOTENT_METHODS, parse_request_fields
from .identity import IdentityFilter
from .routes import RouteFilter
from .shutdown import ShutdownFilter
from .validation import UNSUPPORTED_METHODS

__all__ = ["ExplainedHost", "QuotaView", "RequestExplainer"]

MAX_LISTED_NAMES = 20


class QuotaView(Protocol):
    """Tells what the quota of a team means for a request."""

    def preview(self, team: str, now: float) -> QuotaPreview | None:
        """Return what would be decided on a request of a team now, None without a limit."""


class ExplainedHost(NamedTuple):
    """The host that explains requests.

    Parameters
    ----------
    name, data_centre : str
        Its name, and that of its data centre.
    get_version : callable
        Returns the version of its configuration, None without one.
    get_unready_reason : callable
        Returns why it takes no new connections, empty if it does.
    """

    name: str
    data_centre: str
    get_version: Callable[[], int | None]
    get_unready_reason: Callable[[], str]


class RequestExplainer:
    """Gathers what the filters know about a request, for an explanation.

    It calls only methods that change nothing: no request is passed on, probed for, counted or
    logged.

    Parameters
    ----------
    host : ExplainedHost
        This host.
    routes : RouteFilter
        Knows the routes.
    identity : IdentityFilter
        Knows the teams.
    shutdown : ShutdownFilter
        Knows whether the process stops.
    dispatch : DispatchFilter
        Knows the services.
    quotas : QuotaView or None
        Knows the quotas; None if they are disabled.
    dialect : Dialect
        Header fields of callers.
    """

    def __init__(
        self,
        host: ExplainedHost,
        routes: RouteFilter,
        identity: IdentityFilter,
        shutdown: ShutdownFilter,
        dispatch: DispatchFilter,
        quotas: QuotaView | None,
        dialect: Dialect,
    ) -> None:
        self._host = host
        self._routes = routes
        self._identity = identity
        self._shutdown = shutdown
        self._dispatch = dispatch
        self._quotas = quotas
        self._dialect = dialect

    def explain(self, query: ExplanationQuery, now: float) -> Result[Explanation, ExplanationError]:
        """Return what would happen to a request now, or why that cannot be told."""
        headers = HTTPHeaders()
        for name, value in query.headers:
            headers.add(name, value)
        found = self._find_route(query, headers)
        if isinstance(found, Err):
            return found
        team: TeamPolicy | None = None
        if query.team:
            team = self._identity.teams.get(query.team)
            if team is None:
                return Err(self._make_team_error())
        route = found.ok_value
        fields = parse_request_fields(query.method, headers, route, self._dialect)
        fault = fields if isinstance(fields, OutcomeReason) else None
        is_idempotent, timeout_s = query.method in IDEMPOTENT_METHODS, route.deadline_s
        if not isinstance(fields, OutcomeReason):
            is_idempotent = fields.is_idempotent
            timeout_s = min(timeout_s, fields.timeout_s)
        quota: QuotaPreview | None = None
        if team is not None and self._quotas is not None:
            quota = self._quotas.preview(team.name, now)
        info = RequestInfo(
            0,
            route.name,
            is_idempotent,
            route.work_class,
            now + timeout_s,
            priority=route.priority,
            latency_goal_s=route.latency_goal_s,
            team_priority=find_rank(route, team).team_priority,
        )
        request = ExplainedRequest(
            host=self._host.name,
            data_centre=self._host.data_centre,
            unready=self._host.get_unready_reason(),
            route=route,
            needs_key=bool(self._identity.teams) and not route.is_public,
            team=team,
            is_idempotent=is_idempotent,
            timeout_s=timeout_s,
            fault=fault,
            quota=quota,
            configuration=ConfigurationAge(
                self._host.get_version() or 0,
                self._identity.get_configuration_age_s(now),
                self._identity.max_age_s,
            ),
            is_stopping=self._shutdown.refuses_requests,
            services=tuple(
                self._explain_service(name, share, info, now)
                for name, share in list_service_shares(route)
            ),
        )
        return Ok(make_explanation(request))

    def _find_route(
        self, query: ExplanationQuery, headers: HTTPHeaders
    ) -> Result[RoutePolicy, ExplanationError]:
        """Return the route of a request."""
        table = self._routes.table
        if table is None:
            return Err(
                ExplanationError(
                    "this host has no configuration yet",
                    "ask again when /readyz answers 200, or ask another host; if it stays so, look "
                    "for events of the store in the log of the host",
                    is_temporary=True,
                )
            )
        path = normalise_path(query.path)
        if path is None or not path.startswith("/"):
            return Err(
                ExplanationError(
                    "the path does not begin with /, or has dot segments, which are refused",
                    "give the path as the caller sends it, as in --path /orders/7",
                )
            )
        host = headers.get("Host", "")
        match = table.find(host, path, query.method)
        if match.route is not None and query.method not in UNSUPPORTED_METHODS:
            return Ok(match.route)
        if match.route is not None or match.allowed_methods:
            allowed = ", ".join(match.allowed_methods) or "all but CONNECT and TRACE"
            return Err(
                ExplanationError(
                    "no route to this path accepts this method, so callers get 405",
                    f"use --method with one of: {allowed}",
                )
            )
        prefixes = _list_names(table.list_prefixes(host))
        hosts = _list_names(table.list_hosts())
        return Err(
            ExplanationError(
                "no route matches this path, so callers get 404 (prefixes of the routes for this "
                f"host name: {prefixes}; host names with routes of their own: {hosts})",
                "correct --path, give the host name by --header Host:NAME, or add a route to the "
                "configuration",
            )
        )

    def _make_team_error(self) -> ExplanationError:
        """Return the error for an unknown team; it does not repeat what may be a key."""
        if not self._identity.teams:
            return ExplanationError("the configuration has no teams", "leave out --team")
        names = _list_names(sorted(self._identity.teams))
        return ExplanationError(
            "the configuration has no team of this name",
            f"give the name of a team, never its key (valid: {names})",
        )

    def _explain_service(
        self, name: str, share: float, info: RequestInfo, now: float
    ) -> ExplainedService:
        service = self._dispatch.services.get(name)
        if service is None:
            return ExplainedService(name, share)
        dispatcher = service.dispatcher
        return ExplainedService(
            name, share, dispatcher.assess_upstreams(now), dispatcher.is_deferrable(info, now)
        )


def _list_names(names: Iterable[str]) -> str:
    """Return the first names as a text."""
    listed = list(names)
    text = ", ".join(listed[:MAX_LISTED_NAMES])
    if len(listed) > MAX_LISTED_NAMES:
        text += f" and {len(listed) - MAX_LISTED_NAMES} more"
    return text or "none"
