"""Adaptive limit on the requests in flight from one process, and early refusal of the excess."""

from .actions import RequestInfo, WorkClass
from .outcomes import OutcomeReason
from .policy import LimitPolicy

__all__ = ["ConcurrencyLimit", "find_refusal"]

# The limit shrinks when more than this many requests wait at an upstream for each of its slots.
CONGESTED_QUEUE_PER_SLOT = 0.7
DECREASE_FACTOR = 0.95
MIN_LIMIT = 2.0
# Longest time in the entry queue. A standing queue has to drain after a peak, within 2 s in all;
# at 60% load 0.25 s of work drains in 0.6 s.
MAX_QUEUE_WAIT_S = 0.25


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, driven by the queues that upstreams report.

    Parameters
    ----------
    initial : float
        Limit at the start and upper bound: all slots of the service.
    """

    def __init__(self, initial: float) -> None:
        self._maximum = max(MIN_LIMIT, initial)
        self._limit = self._maximum
        self._decreased_at = -1.0

    @property
    def limit(self) -> float:
        """Most requests in flight."""
        return self._limit

    def set_maximum(self, maximum: float) -> None:
        """Change the upper bound."""
        was_open = self._limit >= self._maximum
        self._maximum = max(MIN_LIMIT, maximum)
        self._limit = self._maximum if was_open else min(self._limit, self._maximum)

    def record_queue_length(
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
                self._limit = max(MIN_LIMIT, min(self._limit, float(in_flight)) * DECREASE_FACTOR)
            return
        self._limit = min(self._maximum, self._limit + 1.0 / self._limit)


def find_refusal(
    request: RequestInfo,
    waiting: int,
    waiting_bytes: int,
    in_flight: int,
    limits: LimitPolicy,
    service_s: float,
    now: float,
) -> OutcomeReason | None:
    """Return why a new request is refused at once instead of queued, or None.

    Parameters
    ----------
    request : RequestInfo
        The request.
    waiting : int
        Requests of its class that wait.
    waiting_bytes : int
        Bytes of all bodies that wait.
    in_flight : int
        Own short requests in flight.
    limits : LimitPolicy
        Limits in force.
    service_s : float
        Mean time of recent requests.
    now : float
        Present time.
    """
    if now >= request.deadline:
        return OutcomeReason.DEADLINE_UNREACHABLE
    if request.body_bytes and waiting_bytes + request.body_bytes > limits.queue_bytes:
        return OutcomeReason.QUEUE_FULL
    if request.work_class is WorkClass.LONG:
        # Waiting long work must not fill the queue that short work needs.
        most = max(1, int(limits.queue_length * limits.long_share))
        return OutcomeReason.QUEUE_FULL if waiting >= most else None
    if waiting >= limits.queue_length:
        return OutcomeReason.QUEUE_FULL
    if not waiting:
        return None
    # Little's law: requests leave the queue as fast as those in flight end.
    wait_s = (waiting + 1) * service_s / max(1, in_flight)
    if now + wait_s >= request.deadline:
        return OutcomeReason.DEADLINE_UNREACHABLE
    return OutcomeReason.CONCURRENCY_LIMIT if wait_s > MAX_QUEUE_WAIT_S else None
