"""Keeps new requests out once the process stops too soon to finish them."""

from ..adapters.caller import CallerRequest
from ..core.outcomes import OutcomeReason
from .refusals import Refusal, make_refusal

__all__ = ["ShutdownGate"]

# The caller's next connection goes to another machine, so it need not wait.
RETRY_AFTER_S = 0.02


class ShutdownGate:
    """Refuses all requests once it is closed."""

    def __init__(self) -> None:
        self.is_closed = False

    def check(self, request: CallerRequest, now: float) -> Refusal | None:  # noqa: ARG002
        """Refuse a request that could not be finished."""
        if not self.is_closed:
            return None
        return make_refusal(OutcomeReason.SHUTTING_DOWN, RETRY_AFTER_S, closes=True)
