"""How many requests an upstream runs best at the same time.

Load pattern: some instances slow down when nearly full, so that their last slots add waiting
but no throughput. In a peak all of them then run full and slow, and nearly every answer is
late. Holding requests back below that point serves as many, in time.
"""

import math

__all__ = ["NEARLY_FULL_SHARE", "OccupancyProfile"]

# Share of the slots above which an upstream counts as nearly full. Measured on the platform's
# instances of 6 slots: 129 ms with 4 requests, 188 ms with 5 (docs/design-new-machines.md).
NEARLY_FULL_SHARE = 0.8
# Answers needed below and above that share before they are compared.
MIN_SAMPLES = 30
# Weight of one answer in its mean; follows changes within some 50 answers.
SAMPLE_WEIGHT = 0.02
# Bounds the weight of rare long requests, as a multiple of the mean.
MAX_DURATION_RATIO = 3.0
# The last slots are used if all of them together raise the throughput by this factor.
MIN_THROUGHPUT_GAIN = 1.1


def count_below_nearly_full(slots: int) -> int:
    """Return the most requests with which an upstream is not nearly full."""
    return max(1, math.floor(NEARLY_FULL_SHARE * slots))


class _Mean:
    """Moving mean of durations."""

    __slots__ = ("count", "value")

    def __init__(self) -> None:
        self.count = 0
        self.value = 0.0

    def add(self, duration_s: float) -> None:
        """Take a duration."""
        self.count += 1
        if self.count > 1:
            duration_s = min(duration_s, MAX_DURATION_RATIO * self.value)
        self.value += max(SAMPLE_WEIGHT, 1.0 / self.count) * (duration_s - self.value)


class OccupancyProfile:
    """Compares durations at nearly full upstreams with those at others."""

    def __init__(self) -> None:
        self._below = _Mean()
        self._above = _Mean()

    def record_response(self, outstanding: int, slots: int, duration_s: float) -> None:
        """Record an answer.

        Parameters
        ----------
        outstanding : int
            Requests that the upstream held with this one when it was sent, from 1.
        slots : int
            Its slots; requests that had to wait for one are left out.
        duration_s : float
            Time until the answer, in seconds, on a machine at its usual speed.
        """
        if outstanding > slots:
            return
        mean = self._below if outstanding <= count_below_nearly_full(slots) else self._above
        mean.add(duration_s)

    def find_best_concurrency(self, slots: int) -> int:
        """Return the most requests that an upstream should hold; all slots while unknown."""
        if min(self._below.count, self._above.count) < MIN_SAMPLES:
            return slots
        below = count_below_nearly_full(slots)
        gain = slots / self._above.value * self._below.value / below
        return slots if gain >= MIN_THROUGHPUT_GAIN else below
