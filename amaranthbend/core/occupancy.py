"""Estimate of the concurrency at which an upstream has its best throughput.

Load pattern: some instances slow down when nearly full, so that their last slots add latency
but no throughput. At a peak, all instances then run full and slow, and nearly every response is
late. With fewer requests at each instance, as many are served, and in time.
"""

import math

__all__ = ["NEARLY_FULL_SHARE", "OccupancyProfile"]

# Share of the slots above which an upstream counts as nearly full. Instances with 6 slots took
# 129 ms with 4 requests and 188 ms with 5 (docs/design-new-machines.md).
NEARLY_FULL_SHARE = 0.8
# Responses needed on each side of that share before the durations are compared.
MIN_SAMPLES = 30
# Weight of one response in the moving mean, which thus follows changes within about 50 responses.
SAMPLE_WEIGHT = 0.02
# Longer durations count as this multiple of the mean, so that rare long requests weigh less.
MAX_DURATION_RATIO = 3.0
# The slots above the share are used if together they raise the throughput by at least this factor.
MIN_THROUGHPUT_GAIN = 1.1


def count_below_nearly_full(slots: int) -> int:
    """Return the largest number of requests with which an upstream is not nearly full."""
    return max(1, math.floor(NEARLY_FULL_SHARE * slots))


class _Mean:
    """Moving mean of durations."""

    __slots__ = ("count", "value")

    def __init__(self) -> None:
        self.count = 0
        self.value = 0.0

    def add(self, duration_s: float) -> None:
        """Add a duration in seconds."""
        self.count += 1
        if self.count > 1:
            duration_s = min(duration_s, MAX_DURATION_RATIO * self.value)
        self.value += max(SAMPLE_WEIGHT, 1.0 / self.count) * (duration_s - self.value)


class OccupancyProfile:
    """Compares response times of nearly full upstreams with those of the others."""

    def __init__(self) -> None:
        self._below = _Mean()
        self._above = _Mean()

    def record_response(self, outstanding: int, slots: int, duration_s: float) -> None:
        """Record a response.

        Parameters
        ----------
        outstanding : int
            Requests running or queued at the upstream when this one was sent, including this one,
            at least 1.
        slots : int
            Slots of the upstream; requests that had to queue for one are left out.
        duration_s : float
            Time until the response in seconds, on a machine at its usual speed.
        """
        if outstanding > slots:
            return
        mean = self._below if outstanding <= count_below_nearly_full(slots) else self._above
        mean.add(duration_s)

    def find_best_concurrency(self, slots: int) -> int:
        """Return the number of requests that an upstream runs best; all slots while unknown."""
        if min(self._below.count, self._above.count) < MIN_SAMPLES:
            return slots
        below = count_below_nearly_full(slots)
        gain = slots / self._above.value * self._below.value / below
        return slots if gain >= MIN_THROUGHPUT_GAIN else below
