"""What would happen to a request now, and why, without sending it.

Load pattern: for some seconds some requests are refused or go to few upstreams, while most others
are answered. An operator asks a running host at that moment. The answer uses the decisions that
the request would meet and changes nothing, so that it neither takes probes, credit or turns from
callers nor alters what is explained.
"""

import re
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from result import Err, Ok, Result

from .actions import Exclusion, LoadReport, Member
from .deferrals import Rank
from .errors import ExplanationError
from .exclusions import LAST_CHOICES, find_exclusion
from .identity import KeyVerdict, judge_key
from .outcomes import OutcomeReason
from .policy import RoutePolicy, TeamPolicy
from .probe_rounds import estimate_completion_s
from .quota_credit import QuotaPreview
from .routing import UpstreamLoad

__all__ = [
    "ConfigurationAge",
    "ExplainedRequest",
    "ExplainedService",
    "ExplanationQuery",
    "Outlook",
    "UpstreamAssessment",
    "assess_upstreams",
    "find_outlook",
    "find_rank",
    "find_refusal",
    "find_unknown_key_refusal",
    "list_service_shares",
    "parse_header",
]

# Header field of `--header`: a name that HTTP allows, and a value without control characters.
HEADER_PATTERN = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x1f\x7f]*)")
# Fields that carry keys. They must not reach an answer, a log or the list of processes.
KEY_FIELDS = frozenset({"authorization", "proxy-authorization", "cookie"})

# Upstreams without a reason against them come first, then the last choices, then the others.
FIRST_CHOICE, LAST_CHOICE, NO_CHOICE = range(3)
# Reasons for which an upstream is not usable, so that a request is refused if all have one.
ABSENCES = frozenset(
    {
        Exclusion.UNKNOWN,
        Exclusion.EVACUATIONS_UNKNOWN,
        Exclusion.EVACUATED,
        Exclusion.LEAVING,
    }
)


class ExplanationQuery(NamedTuple):
    """A request to explain.

    Parameters
    ----------
    path : str
        Its path; a query string is ignored.
    method : str
        Its HTTP method.
    headers : tuple of (str, str)
        Its header fields.
    team : str
        Name of the caller's team, empty for a request without a key.
    """

    path: str
    method: str = "GET"
    headers: tuple[tuple[str, str], ...] = ()
    team: str = ""


class Outlook(StrEnum):
    """What a request finds at a service."""

    # At least one upstream has no reason against it.
    SENT = "sent"
    # All have one, but some are used if no other is left.
    LAST_CHOICES = "last_choices"
    # None is used; cold ones or those in a slow start may become free, or be a last resort.
    HELD_BACK = "held_back"
    # No upstream is usable, so that the request is refused.
    NO_UPSTREAM = "no_upstream"


class UpstreamAssessment(NamedTuple):
    """How an upstream stands in the choice for a request.

    Parameters
    ----------
    member : Member
        The upstream.
    exclusion : Exclusion or None
        Reason against it.
    place : int or None
        Place in the order of the upstreams that may be used, from 1.
    completion_s : float
        Expected time in seconds to complete a request, by which the choice is made. The risk of a
        failure and the distance count as time.
    report : LoadReport or None
        Its latest load report.
    report_age_s : float
        Age of the report in seconds.
    own_in_flight : int
        Requests of this process in flight there.
    """

    member: Member
    exclusion: Exclusion | None
    place: int | None
    completion_s: float
    report: LoadReport | None
    report_age_s: float
    own_in_flight: int


class ExplainedService(NamedTuple):
    """A service that a request may go to.

    Parameters
    ----------
    name : str
        Name of the service.
    share : float
        Share of the route's requests that go to it, 0 to 1.
    upstreams : tuple of UpstreamAssessment
        Its upstreams in order.
    is_deferrable : bool
        Whether the request gives way to more urgent ones there while room is short.
    """

    name: str
    share: float
    upstreams: tuple[UpstreamAssessment, ...] = ()
    is_deferrable: bool = False


class ConfigurationAge(NamedTuple):
    """How current the configuration of a host is.

    Parameters
    ----------
    version : int
        Version in force.
    age_s : float
        Seconds since the store confirmed that there is no newer one.
    max_age_s : float
        Seconds in which a new one must take effect.
    """

    version: int
    age_s: float
    max_age_s: float

    @property
    def is_outdated(self) -> bool:
        """Whether a newer configuration may be in force elsewhere."""
        return self.age_s > self.max_age_s


class ExplainedRequest(NamedTuple):
    """What a host knows about a request to explain.

    Parameters
    ----------
    host, data_centre : str
        Names of the host that is asked, and of its data centre.
    unready : str
        Why the host takes no new connections, empty if it does.
    route : RoutePolicy
        Its route.
    needs_key : bool
        Whether its caller needs a key.
    team : TeamPolicy or None
        Team of the caller.
    is_idempotent : bool
        Whether it may run more than once.
    timeout_s : float
        Seconds until a response has to begin.
    fault : OutcomeReason or None
        Why its header fields are refused.
    quota : QuotaPreview or None
        Quota of the team, None without a limit.
    configuration : ConfigurationAge
        Configuration of the host.
    is_stopping : bool
        Whether the host refuses all requests because it stops.
    services : tuple of ExplainedService
        Services that it may go to.
    """

    host: str
    data_centre: str
    unready: str
    route: RoutePolicy
    needs_key: bool
    team: TeamPolicy | None
    is_idempotent: bool
    timeout_s: float
    fault: OutcomeReason | None
    quota: QuotaPreview | None
    configuration: ConfigurationAge
    is_stopping: bool
    services: tuple[ExplainedService, ...]


def parse_header(text: str) -> Result[tuple[str, str], ExplanationError]:
    """Return name and value of a header field given as `NAME:VALUE`."""
    match = HEADER_PATTERN.fullmatch(text)
    if match is None:
        return Err(
            ExplanationError(
                "a header field is not NAME:VALUE", "give it as in --header Host:shop.example"
            )
        )
    name, value = match.groups()
    if name.lower() in KEY_FIELDS:
        return Err(
            ExplanationError(
                f"the field {name} carries keys, which are not accepted here",
                "leave it out and name the team by --team",
            )
        )
    return Ok((name, value.strip()))


def list_service_shares(route: RoutePolicy) -> list[tuple[str, float]]:
    """Return the services of a route, each with its share of the requests."""
    total = sum(part.weight for part in route.split)
    if total <= 0:
        return [(route.service, 1.0)]
    return [(part.service, part.weight / total) for part in route.split]


def assess_upstreams(
    loads: Iterable[UpstreamLoad], slots: int, service_s: float, now: float
) -> tuple[UpstreamAssessment, ...]:
    """Return how the upstreams of a service stand in the choice for a new request, in order.

    Parameters
    ----------
    loads : iterable of UpstreamLoad
        The upstreams.
    slots : int
        Slots of an upstream that has not reported yet.
    service_s : float
        Mean duration of recent requests in seconds.
    now : float
        Present time.
    """
    entries: list[tuple[int, float, int, UpstreamLoad, Exclusion | None]] = []
    for load in loads:
        exclusion = find_exclusion(load, (), now)
        completion_s = estimate_completion_s(load, slots, service_s, now)
        entries.append((_find_choice(exclusion), completion_s, load.affinity, load, exclusion))
    entries.sort(key=lambda entry: entry[:3])
    assessments: list[UpstreamAssessment] = []
    for place, (choice, completion_s, _, load, exclusion) in enumerate(entries, 1):
        assessments.append(
            UpstreamAssessment(
                load.member,
                exclusion,
                None if choice == NO_CHOICE else place,
                completion_s,
                load.report,
                now - load.report_at,
                load.in_flight,
            )
        )
    return tuple(assessments)


def _find_choice(exclusion: Exclusion | None) -> int:
    if exclusion is None:
        return FIRST_CHOICE
    return LAST_CHOICE if exclusion in LAST_CHOICES else NO_CHOICE


def find_outlook(upstreams: Iterable[UpstreamAssessment]) -> Outlook:
    """Return what a request finds at a service with these upstreams."""
    exclusions = {upstream.exclusion for upstream in upstreams}
    if None in exclusions:
        return Outlook.SENT
    if exclusions & LAST_CHOICES:
        return Outlook.LAST_CHOICES
    return Outlook.HELD_BACK if exclusions - ABSENCES else Outlook.NO_UPSTREAM


def find_refusal(request: ExplainedRequest) -> OutcomeReason | None:
    """Return the reason for which a request would be refused, None if it would be sent.

    The reasons come in the order in which the filters of a request find them. A request of a team
    that is admitted by chance is not counted as refused.
    """
    if request.is_stopping:
        return OutcomeReason.SHUTTING_DOWN
    if request.needs_key and request.team is None:
        # Without a team it is explained as one without a key.
        return OutcomeReason.UNKNOWN_KEY
    if request.fault is not None:
        return request.fault
    if request.quota is not None and request.quota.chance <= 0.0:
        return OutcomeReason.QUOTA_EXCEEDED
    outlooks = {find_outlook(service.upstreams) for service in request.services}
    return OutcomeReason.NO_UPSTREAM if outlooks <= {Outlook.NO_UPSTREAM} else None


def find_unknown_key_refusal(configuration: ConfigurationAge) -> OutcomeReason:
    """Return what a request with an unknown key is refused with, on a route that needs one."""
    age_s, max_age_s = configuration.age_s, configuration.max_age_s
    if judge_key(has_key=True, age_s=age_s, max_age_s=max_age_s) is KeyVerdict.UNDECIDED:
        return OutcomeReason.OUTDATED_CONFIGURATION
    return OutcomeReason.UNKNOWN_KEY


def find_rank(route: RoutePolicy, team: TeamPolicy | None) -> Rank:
    """Return the rank of a request."""
    return Rank(0 if team is None else team.priority or 0, route.priority)
