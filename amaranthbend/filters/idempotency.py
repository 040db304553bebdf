"""Idempotency and deadline of a request."""

from ..adapters.caller import CallerRequest
from ..adapters.dialect import OWN_DIALECT, Dialect
from ..core.outcomes import OutcomeReason
from ..core.policy import ClaimRule
from .refusals import Refusal, make_refusal

__all__ = ["KEY_FIELD", "IdempotencyAndDeadline"]

KEY_FIELD = "Idempotency-Key"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_KEY_LENGTH = 255
MAX_DEADLINE_DIGITS = 9
MS_PER_S = 1000


class IdempotencyAndDeadline:
    """Decides whether a request may run more than once, and until when it is worth running.

    Parameters
    ----------
    dialect : Dialect
        Names the field in which callers tell how long they wait.
    """

    def __init__(self, dialect: Dialect = OWN_DIALECT) -> None:
        self._dialect = dialect

    def check(self, request: CallerRequest, now: float) -> Refusal | None:
        """Set idempotency, key and deadline of a request."""
        route = request.route
        assert route is not None
        request.is_idempotent = request.method in IDEMPOTENT_METHODS
        if route.idempotent is not None:
            request.is_idempotent = route.idempotent
        if not _read_key(request):
            return make_refusal(OutcomeReason.BAD_IDEMPOTENCY_KEY)
        if route.claim is ClaimRule.REQUIRED and not request.idempotency_key:
            return make_refusal(OutcomeReason.BAD_IDEMPOTENCY_KEY)
        wait_s = _read_deadline(request, self._dialect.deadline_field, route.deadline_s)
        if wait_s is None:
            return make_refusal(OutcomeReason.BAD_DEADLINE)
        request.deadline = now + wait_s
        return None


def _read_key(request: CallerRequest) -> bool:
    """Set the key of a request; return whether it is well-formed."""
    keys = request.headers.get_list(KEY_FIELD)
    if not keys:
        return True
    key = keys[0]
    if len(keys) > 1 or not key.isascii() or not 0 < len(key) <= MAX_KEY_LENGTH:
        return False
    request.idempotency_key = key
    return True


def _read_deadline(request: CallerRequest, field: str, longest_s: float) -> float | None:
    """Return how long the caller waits, None if its own deadline is malformed."""
    values = request.headers.get_list(field)
    if not values:
        return longest_s
    text = values[0]
    if len(values) > 1 or not (text.isascii() and text.isdigit()):
        return None
    if len(text) > MAX_DEADLINE_DIGITS or int(text) == 0:
        return None
    return min(longest_s, int(text) / MS_PER_S)
