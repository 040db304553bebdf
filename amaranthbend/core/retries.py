"""Retry decisions and the retry budget."""

from collections.abc import Callable

from .actions import AttemptResult, AttemptStatus, RequestInfo
from .attempts import is_upstream_failure
from .outcomes import RetryReason
from .policy import RetryPolicy

__all__ = ["RetryBudget", "count_attempts_allowed", "decide_retry", "proves_not_run"]


def proves_not_run(result: AttemptResult) -> bool:
    """Return whether the result proves that the upstream did not run the request."""
    if result.status is AttemptStatus.REFUSED:
        return not result.is_ambiguous
    return result.status is AttemptStatus.NEVER_CONNECTED


def count_attempts_allowed(request: RequestInfo, policy: RetryPolicy) -> int:
    """Return the maximum number of attempts, set by the route or else by the service.

    A streamed body can be read only once, so a request with one gets no further attempt, neither a
    retry nor a hedge.
    """
    if not request.replayable:
        return 1
    return policy.max_attempts if request.max_attempts is None else request.max_attempts


def decide_retry(
    request: RequestInfo, result: AttemptResult, attempts: int, policy: RetryPolicy, now: float
) -> RetryReason | None:
    """Return the reason for which a request may be retried, or None if it may not.

    The retry budget is not considered.

    Parameters
    ----------
    request : RequestInfo
        The request.
    result : AttemptResult
        Result of the attempt that has just ended.
    attempts : int
        Attempts made so far.
    policy : RetryPolicy
        Retry limits of the service.
    now : float
        Present time.
    """
    if result.response_started:
        return None
    if attempts >= count_attempts_allowed(request, policy) or now >= request.deadline:
        return None
    if result.is_ambiguous and not request.idempotent:
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
    """Token bucket that limits retries to a share of first attempts plus a minimum rate.

    It prevents retry storms. One token allows one retry; hedges take tokens too.

    Load pattern: each of hundreds of hosts has a few requests a second, so that its share of the
    budget is a fraction of a token for most of the time, while faulty upstreams cause failures at
    all hosts. With a source of random numbers, a fraction of a token allows a retry with that
    probability, and is spent in either case (stochastic rounding). On average the retries of all
    hosts together stay within the same budget, of which less is left unused.

    Parameters
    ----------
    policy : RetryPolicy
        Retry limits of the service.
    draw : callable or None
        Returns a random number from 0 up to 1; None allows retries for whole tokens only.
    """

    def __init__(self, policy: RetryPolicy, draw: Callable[[], float] | None = None) -> None:
        self._policy = policy
        self._draw = draw
        self._tokens = policy.initial_tokens
        self._floor_tokens = policy.floor_per_s
        self._floor_refilled_at: float | None = None

    def set_policy(self, policy: RetryPolicy) -> None:
        """Apply new limits."""
        self._policy = policy

    def record_first_attempt(self) -> None:
        """Add the share of a token that a first attempt is worth."""
        self._tokens = min(self._policy.burst, self._tokens + self._policy.ratio)

    def has_token(self, now: float) -> bool:
        """Return whether a retry would be allowed now."""
        self._refill_floor(now)
        return self._tokens >= 1.0 or self._floor_tokens >= 1.0

    def is_full(self) -> bool:
        """Return whether the bucket cannot take the share of another first attempt."""
        return self._tokens + self._policy.ratio > self._policy.burst

    def take(self, now: float, *, may_borrow: bool = False) -> bool:
        """Take a token, or a fraction of one by chance, and return whether a retry is allowed.

        Parameters
        ----------
        now : float
            Present time.
        may_borrow : bool
            Whether the bucket may go into debt, down to the limit of the policy.
        """
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        self._refill_floor(now)
        if self._floor_tokens >= 1.0:
            self._floor_tokens -= 1.0
            return True
        if may_borrow and self._tokens > -self._policy.max_borrowed:
            self._tokens -= 1.0
            return True
        return self._round_fraction()

    def _round_fraction(self) -> bool:
        """Spend the fraction of a token, and return whether it is rounded up to a retry."""
        if self._draw is None or self._tokens <= 0.0:
            return False
        fraction, self._tokens = self._tokens, 0.0
        return self._draw() < fraction

    def _refill_floor(self, now: float) -> None:
        """Add the tokens of the minimum rate since the last refill, at most those of a second."""
        rate = self._policy.floor_per_s
        if self._floor_refilled_at is not None:
            self._floor_tokens += max(0.0, now - self._floor_refilled_at) * rate
        # A minimum rate below one per second must still add up to a whole token.
        self._floor_tokens = min(self._floor_tokens, max(rate, 1.0) if rate > 0.0 else 0.0)
        self._floor_refilled_at = now
