"""Logs and metrics of the requests that wait for room in one service."""

from collections.abc import Callable

from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..core.outcomes import OutcomeReason
from ..core.prioritizing_dispatcher import PrioritizingDispatcher
from ..core.urgency import Rank
from ..core.waiting import WaitRecord

__all__ = ["WaitingLog"]

# One line in this time at most for each service, and only while requests wait.
LINE_INTERVAL_S = 1.0
MS_PER_S = 1000


class WaitingLog:
    """Counts how many requests wait, for how long, and which are refused or displaced, by rank.

    Parameters
    ----------
    service : str
        Name of the service.
    dispatcher : PrioritizingDispatcher
        Holds the requests.
    counters : Counters
        Receives the counters and timings.
    """

    def __init__(
        self, service: str, dispatcher: PrioritizingDispatcher, counters: Counters
    ) -> None:
        self._service = service
        self._dispatcher = dispatcher
        self._counters = counters
        self._logged_at = -LINE_INTERVAL_S
        # Waits that ended since the last line, by end, and the longest of them.
        self._ends: dict[str, int] = {}
        self._longest_s = 0.0

    def record(self, note: Callable[[int, str], None], now: float) -> None:
        """Record what has happened since the last call.

        Parameters
        ----------
        note : callable
            Called with the identifier of a request and a text for its log line.
        now : float
            Present time.
        """
        for record in self._dispatcher.pop_wait_records():
            self._record_end(record)
            waited_ms = int(record.waited_s * MS_PER_S)
            note(record.request_id, f"waited:{record.rank.describe()}:{record.end}:{waited_ms}ms")
        if now - self._logged_at < LINE_INTERVAL_S:
            return
        held = self._dispatcher.count_held_by_rank()
        if not held and not self._ends:
            return
        log_event(
            "requests_waiting",
            service=self._service,
            held=_format_counts({rank.describe(): held[rank] for rank in sorted(held)}),
            ended=_format_counts(self._ends),
            longest_ms=int(self._longest_s * MS_PER_S),
        )
        self._logged_at = now
        self._ends.clear()
        self._longest_s = 0.0

    def record_refusal(self, rank: Rank, reason: OutcomeReason) -> None:
        """Count a refused request of a prioritized service."""
        if self._dispatcher.is_prioritized:
            self._counters.incr(f"refused.{rank.describe()}.{reason}")

    def _record_end(self, record: WaitRecord) -> None:
        name = f"{record.end}.{record.rank.describe()}"
        self._counters.incr(f"waiting.{name}")
        self._counters.record("waiting", record.waited_s)
        self._ends[name] = self._ends.get(name, 0) + 1
        self._longest_s = max(self._longest_s, record.waited_s)


def _format_counts(counts: dict[str, int]) -> str:
    return ",".join(f"{name}:{count}" for name, count in counts.items())
