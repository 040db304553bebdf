"""Adaptive limit on the requests of one service in flight from one process."""

__all__ = ["ConcurrencyLimit"]

# The limit shrinks when more than this many requests wait at an upstream for each of its slots.
CONGESTED_QUEUE_PER_SLOT = 0.7
DECREASE = 0.95
MINIMUM = 2.0
# Longest time in the entry queue. A standing queue has to drain after a peak, within 2 s in all;
# at 60% load 0.25 s of work drains in 0.6 s.
LONGEST_WAIT_S = 0.25


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, driven by the queues that upstreams report.

    Parameters
    ----------
    initial : float
        Limit at the start and upper bound: all slots of the service.
    """

    def __init__(self, initial: float) -> None:
        self._maximum = max(MINIMUM, initial)
        self._limit = self._maximum
        self._decreased_at = -1.0

    @property
    def limit(self) -> float:
        """Most requests in flight."""
        return self._limit

    def set_maximum(self, maximum: float) -> None:
        """Change the upper bound."""
        was_open = self._limit >= self._maximum
        self._maximum = max(MINIMUM, maximum)
        self._limit = self._maximum if was_open else min(self._limit, self._maximum)

    def note_answer(
        self, queued: int, slots: int, in_flight: int, service_s: float, now: float
    ) -> None:
        """Adapt to the queue that an upstream reports.

        Parameters
        ----------
        queued, slots : int
            From the report.
        in_flight : int
            Own requests in flight.
        service_s : float
            Mean duration of a request; the limit shrinks at most five times within it.
        now : float
            Present time.
        """
        if queued > CONGESTED_QUEUE_PER_SLOT * slots:
            if now - self._decreased_at >= 0.2 * service_s:
                self._decreased_at = now
                self._limit = max(MINIMUM, min(self._limit, float(in_flight)) * DECREASE)
            return
        self._limit = min(self._maximum, self._limit + 1.0 / self._limit)

    def estimate_wait(self, waiting: int, in_flight: int, service_s: float) -> float:
        """Return the time that a request behind `waiting` others will wait, by Little's law."""
        return (waiting + 1) * service_s / max(1, in_flight)
