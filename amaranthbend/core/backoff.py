"""Exponential backoff with jitter, and a token bucket."""

from collections.abc import Callable

__all__ = ["Backoff", "TokenBucket"]

# Lowest and highest limit of the delay between attempts to call the platform.
BASE_S = 0.2
CAP_S = 30.0


class Backoff:
    """Exponential backoff with full jitter.

    The delay is random between 0 and a limit that doubles with each failure, so that the hosts of
    a fleet do not retry at the same moment after an outage.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 up to 1.
    base_s : float
        Limit in seconds after the first failure.
    cap_s : float
        Highest limit in seconds.
    """

    def __init__(
        self, draw: Callable[[], float], base_s: float = BASE_S, cap_s: float = CAP_S
    ) -> None:
        self._draw = draw
        self._base_s = base_s
        self._cap_s = cap_s
        self._limit_s = base_s

    def reset(self) -> None:
        """Return to the lowest limit, after a success."""
        self._limit_s = self._base_s

    def next_delay(self) -> float:
        """Return the delay in seconds before the next attempt, after a failure."""
        limit_s = self._limit_s
        self._limit_s = min(self._cap_s, 2 * limit_s)
        return self._draw() * limit_s


class TokenBucket:
    """Rate limit that allows bursts.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket in tokens; it starts full.
    now : float
        Current time in seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the rate without adding tokens."""
        self._fill(now)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now: float) -> bool:
        """Take one token.

        Returns
        -------
        bool
            False if there is none.
        """
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, now: float) -> None:
        # A clock that is set back adds no tokens, and does not delay later ones.
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)
