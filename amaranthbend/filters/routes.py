"""Route matching."""

from ..adapters.caller import CallerRequest
from ..core.outcomes import OutcomeReason
from ..core.policy import DeploymentPolicy, RoutePolicy
from ..core.route_table import RouteTable
from .local_responses import LocalResponse, make_refusal

__all__ = ["RouteFilter"]


class RouteFilter:
    """Selects the matching route of a request, see `RouteTable`."""

    def __init__(self) -> None:
        # None before the first configuration.
        self.table: RouteTable | None = None

    def set_policy(self, policy: DeploymentPolicy) -> None:
        """Replace the routes."""
        self.table = RouteTable(policy)

    def check(self, request: CallerRequest, now: float) -> LocalResponse | None:  # noqa: ARG002
        """Set the route of a request; refuse a body whose announced length exceeds its limit."""
        if self.table is None:
            return make_refusal(OutcomeReason.NO_CONFIGURATION)
        match = self.table.find(request.host, request.path, request.method)
        if match.route is not None:
            request.route = match.route
            return _check_length(request, match.route)
        if match.allowed_methods:
            return make_refusal(OutcomeReason.METHOD_NOT_ALLOWED, allow=match.allowed_methods)
        return make_refusal(OutcomeReason.NO_ROUTE)


def _check_length(request: CallerRequest, route: RoutePolicy) -> LocalResponse | None:
    body = request.body
    if body is None or body.length is None or body.length <= route.max_body_bytes:
        return None
    return make_refusal(OutcomeReason.BODY_TOO_LARGE)
