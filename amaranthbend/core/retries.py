"""Decides whether a request may be sent again, within a budget."""

from .actions import AttemptResult, AttemptStatus, RequestInfo
from .attempts import is_upstream_failure
from .outcomes import RetryReason
from .policy import RetryPolicy

__all__ = ["RetryBudget", "count_attempts_allowed", "decide_retry", "proves_not_run"]


def proves_not_run(status: AttemptStatus) -> bool:
    """Return whether an attempt that ended this way certainly did not run."""
    return status is AttemptStatus.REFUSED or status is AttemptStatus.NEVER_CONNECTED


def count_attempts_allowed(request: RequestInfo, policy: RetryPolicy) -> int:
    """Return the most attempts of a request, by its route or else by its service."""
    return policy.max_attempts if request.max_attempts is None else request.max_attempts


def decide_retry(
    request: RequestInfo, result: AttemptResult, attempts: int, policy: RetryPolicy, now: float
) -> RetryReason | None:
    """Return why the request may be sent again, or None if it may not.

    Parameters
    ----------
    request : RequestInfo
        The request.
    result : AttemptResult
        Result of its latest attempt.
    attempts : int
        Attempts made so far.
    policy : RetryPolicy
        Limits in force.
    now : float
        Present time.

    Returns
    -------
    RetryReason or None
        The budget is not consulted here.
    """
    if result.response_started or not request.replayable:
        return None
    if attempts >= count_attempts_allowed(request, policy) or now >= request.deadline:
        return None
    if result.status is AttemptStatus.REFUSED:
        return RetryReason.UPSTREAM_REFUSED
    if result.status is AttemptStatus.NEVER_CONNECTED:
        return RetryReason.NEVER_CONNECTED
    if result.status is AttemptStatus.FAILED and request.idempotent:
        return RetryReason.IDEMPOTENT_FAILURE
    if result.status is AttemptStatus.ANSWERED and is_upstream_failure(result):
        return RetryReason.SERVER_ERROR if request.idempotent else None
    return None


class RetryBudget:
    """Limits retries to a share of first attempts plus a floor, against retry storms.

    Parameters
    ----------
    policy : RetryPolicy
        Limits in force.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._tokens = policy.initial_tokens
        self._floor_tokens = policy.floor_per_s
        self._floor_refilled_at: float | None = None

    def set_policy(self, policy: RetryPolicy) -> None:
        """Use other limits from now on."""
        self._policy = policy

    def record_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._policy.burst, self._tokens + self._policy.ratio)

    def has_token(self, now: float) -> bool:
        """Return whether a retry would be allowed now."""
        self._refill_floor(now)
        return self._tokens >= 1.0 or self._floor_tokens >= 1.0

    def is_full(self) -> bool:
        """Return whether the next share of a retry could not be saved up."""
        return self._tokens + self._policy.ratio > self._policy.burst

    def take(self, now: float, *, may_borrow: bool = False) -> bool:
        """Spend one retry, and return whether the budget allowed it.

        With `may_borrow` it may be one that is still to be earned.
        """
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        self._refill_floor(now)
        if self._floor_tokens >= 1.0:
            self._floor_tokens -= 1.0
            return True
        if not may_borrow or self._tokens <= -self._policy.max_borrowed:
            return False
        self._tokens -= 1.0
        return True

    def _refill_floor(self, now: float) -> None:
        """Add the floor's retries since the last refill, at most one second's worth."""
        rate = self._policy.floor_per_s
        if self._floor_refilled_at is not None:
            self._floor_tokens += max(0.0, now - self._floor_refilled_at) * rate
        # A floor below one a second must still be able to reach one whole retry.
        self._floor_tokens = min(self._floor_tokens, max(rate, 1.0) if rate > 0.0 else 0.0)
        self._floor_refilled_at = now
