"""Times at which requests in flight may be hedged, one for each request."""

import heapq

__all__ = ["HEDGE_COMPLETION_TIME_SHARE", "HEDGE_RETRY_SHARE", "HedgeTimers"]

# Share of the expected completion time that must remain before the deadline: more than for a first
# attempt, as a hedge uses the shared retry budget.
HEDGE_COMPLETION_TIME_SHARE = 0.8
# Share of the latency goal after which a hedge is tried again that could not be sent.
HEDGE_RETRY_SHARE = 0.25


class HedgeTimers:
    """Timers by request; a new one replaces the one that the request has."""

    def __init__(self) -> None:
        # Entries whose time is no longer that of their request have been replaced.
        self._heap: list[tuple[float, int]] = []
        self._due: dict[int, float] = {}

    def schedule(self, request_id: int, due: float) -> None:
        """Set the timer of a request.

        Parameters
        ----------
        request_id : int
            The request.
        due : float
            Monotonic time in seconds.
        """
        self._due[request_id] = due
        heapq.heappush(self._heap, (due, request_id))

    def pop_due(self, now: float) -> list[int]:
        """Remove the timers that are due, and return their requests, which may have ended."""
        requests: list[int] = []
        while (due := self.get_next_time()) is not None and due <= now:
            _, request_id = heapq.heappop(self._heap)
            del self._due[request_id]
            requests.append(request_id)
        return requests

    def get_next_time(self) -> float | None:
        """Return the time of the next timer in seconds, None without one."""
        while self._heap:
            due, request_id = self._heap[0]
            if self._due.get(request_id) == due:
                return due
            heapq.heappop(self._heap)
        return None
