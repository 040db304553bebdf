"""Keeps new requests out once the process stops too soon to finish them."""

from ..adapters.caller import CallerRequest
from ..core.outcomes import OutcomeReason
from .local_responses import LocalResponse, make_refusal

__all__ = ["ShutdownFilter"]

# The caller's next connection goes to another machine, so it need not wait.
RETRY_AFTER_S = 0.02


class ShutdownFilter:
    """Refuses all requests once it is closed."""

    def __init__(self) -> None:
        self.refuses_requests = False

    def check(self, request: CallerRequest, now: float) -> LocalResponse | None:  # noqa: ARG002
        """Refuse a request that could not be finished."""
        if not self.refuses_requests:
            return None
        return make_refusal(OutcomeReason.SHUTTING_DOWN, RETRY_AFTER_S, closes=True)
