"""Refuses new requests that a stopping process would not finish."""

from ..adapters.caller import CallerRequest
from ..core.outcomes import Outcome, OutcomeReason
from .local_responses import LocalResponse, make_refusal

__all__ = ["ShutdownFilter", "make_shutdown_refusal"]

# The caller's next connection is routed to another host, so a longer delay is unnecessary.
RETRY_AFTER_S = 0.02


class ShutdownFilter:
    """Refuses all requests while `refuses_requests` is set.

    A request is checked when its header arrives, and once more when its body is complete: an upload
    may take as long as the whole shutdown.
    """

    def __init__(self) -> None:
        self.refuses_requests = False

    def check(self, request: CallerRequest, now: float) -> LocalResponse | None:  # noqa: ARG002
        """Refuse the request if the process would stop before its end."""
        return make_shutdown_refusal() if self.refuses_requests else None

    def run(self, request: CallerRequest, now: float) -> LocalResponse | None:
        """Refuse the request if the process would stop before its end."""
        return self.check(request, now)

    def abandon(self, request: CallerRequest, now: float) -> None:
        """Do nothing; the filter holds nothing for a request."""

    def end(self, request: CallerRequest, outcome: Outcome) -> None:
        """Do nothing; the filter holds nothing for a request."""


def make_shutdown_refusal() -> LocalResponse:
    """Return the response to a request that the stopping process does not finish."""
    return make_refusal(OutcomeReason.SHUTTING_DOWN, RETRY_AFTER_S, closes=True)
