"""Adaptive concurrency limit of one process, and early refusal of excess requests."""

from .actions import RequestInfo, WorkClass
from .outcomes import OutcomeReason
from .policy import LimitPolicy

__all__ = ["ConcurrencyLimit", "find_refusal"]

# The limit decreases when an upstream reports more queued requests per slot than this.
CONGESTED_QUEUE_PER_SLOT = 0.7
DECREASE_FACTOR = 0.95
MIN_LIMIT = 2.0
# Longest expected time in the queue of an entry process. After a peak, all queues must empty
# within 2 s; at 60% load, 0.25 s of queued work takes 0.6 s to do so.
MAX_QUEUE_WAIT_S = 0.25


class ConcurrencyLimit:
    """Concurrency limit with additive increase and multiplicative decrease.

    It follows the queue lengths that upstreams report.

    Parameters
    ----------
    initial : float
        First limit and upper bound, in requests: all slots of the service.
    """

    def __init__(self, initial: float) -> None:
        self._maximum = max(MIN_LIMIT, initial)
        self._limit = self._maximum
        self._decreased_at = -1.0

    @property
    def limit(self) -> float:
        """Maximum number of requests in flight."""
        return self._limit

    def set_maximum(self, maximum: float) -> None:
        """Change the upper bound; a limit that was at the bound follows it."""
        was_at_maximum = self._limit >= self._maximum
        self._maximum = max(MIN_LIMIT, maximum)
        self._limit = self._maximum if was_at_maximum else min(self._limit, self._maximum)

    def record_queue_length(
        self, queued: int, slots: int, in_flight: int, service_s: float, now: float
    ) -> None:
        """Adapt the limit to the queue length in a load report.

        Parameters
        ----------
        queued, slots : int
            Queue length and slots from the report.
        in_flight : int
            Requests of this process in flight.
        service_s : float
            Mean duration of a request in seconds; the limit decreases at most five times in it.
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
    """Return the reason to refuse a new request instead of queueing it, or None to queue it.

    Parameters
    ----------
    request : RequestInfo
        The request.
    waiting : int
        Queued requests of its work class.
    waiting_bytes : int
        Bytes of the bodies of all queued requests.
    in_flight : int
        Short requests of this process in flight.
    limits : LimitPolicy
        Queue limits of the service.
    service_s : float
        Mean duration of recent requests in seconds.
    now : float
        Present time.
    """
    if now >= request.deadline:
        return OutcomeReason.DEADLINE_UNREACHABLE
    if request.body_bytes and waiting_bytes + request.body_bytes > limits.queue_bytes:
        return OutcomeReason.QUEUE_FULL
    if request.work_class is WorkClass.LONG:
        # Long requests must not fill the queue that short ones need.
        max_waiting = max(1, int(limits.queue_length * limits.long_share))
        return OutcomeReason.QUEUE_FULL if waiting >= max_waiting else None
    if waiting >= limits.queue_length:
        return OutcomeReason.QUEUE_FULL
    if not waiting:
        return None
    # By Little's law, a request in flight ends every service_s / in_flight seconds, and the first
    # queued request takes its place.
    wait_s = (waiting + 1) * service_s / max(1, in_flight)
    if now + wait_s >= request.deadline:
        return OutcomeReason.DEADLINE_UNREACHABLE
    return OutcomeReason.CONCURRENCY_LIMIT if wait_s > MAX_QUEUE_WAIT_S else None
