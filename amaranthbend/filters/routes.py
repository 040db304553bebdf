"""Route matching."""

from ..adapters.caller import CallerRequest
from ..core.outcomes import OutcomeReason
from ..core.policy import DeploymentPolicy, RoutePolicy
from .local_responses import LocalResponse, make_refusal

__all__ = ["RouteFilter"]


class RouteFilter:
    """Selects the matching route of a request.

    Routes for the request's `Host` take precedence over routes for all hosts; among these, the
    route with the longest path prefix wins.
    """

    def __init__(self) -> None:
        self._routes: dict[str, list[RoutePolicy]] | None = None

    def set_policy(self, policy: DeploymentPolicy) -> None:
        """Replace the routes."""
        routes: dict[str, list[RoutePolicy]] = {}
        for route in sorted(policy.routes, key=lambda route: len(route.path_prefix), reverse=True):
            routes.setdefault(route.host, []).append(route)
        self._routes = routes

    def check(self, request: CallerRequest, now: float) -> LocalResponse | None:  # noqa: ARG002
        """Set the route of a request; refuse a body whose announced length exceeds its limit."""
        if self._routes is None:
            return make_refusal(OutcomeReason.NO_CONFIGURATION)
        host = request.host.rpartition(":")[0] or request.host
        candidates = self._routes.get(host.lower(), []) + self._routes.get("", [])
        allowed: set[str] = set()
        for route in candidates:
            if not request.path.startswith(route.path_prefix):
                continue
            if not route.methods or request.method in route.methods:
                request.route = route
                return _check_length(request, route)
            allowed.update(route.methods)
        if allowed:
            allow = tuple(sorted(allowed))
            return make_refusal(OutcomeReason.METHOD_NOT_ALLOWED, allow=allow)
        return make_refusal(OutcomeReason.NO_ROUTE)


def _check_length(request: CallerRequest, route: RoutePolicy) -> LocalResponse | None:
    body = request.body
    if body is None or body.length is None or body.length <= route.max_body_bytes:
        return None
    return make_refusal(OutcomeReason.BODY_TOO_LARGE)
