"""Queues of requests, ordered by priority, with deadlines."""

import heapq
from typing import NamedTuple

from .actions import RequestInfo, WorkClass

__all__ = ["ClassQueues", "RequestQueue"]


class _Entry(NamedTuple):
    """Heap entry, ordered by rank (retries first), then priority, then arrival."""

    rank: int
    priority: int
    sequence: int
    request: RequestInfo


class RequestQueue:
    """Requests that wait for an upstream; `find_refusal` limits their number."""

    def __init__(self) -> None:
        self._waiting: dict[int, int] = {}
        self._by_priority: list[_Entry] = []
        self._deadlines: list[tuple[float, int, int]] = []
        self._sequence = 0
        self._body_bytes: dict[int, int] = {}
        # Bytes of the bodies of all queued requests.
        self.total_bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, request: RequestInfo, is_retry: bool = False) -> None:
        """Add a request; a retry goes ahead of all requests that were never sent."""
        self._sequence += 1
        rank = 0 if is_retry else 1
        self._waiting[request.request_id] = self._sequence
        if request.body_bytes:
            self._body_bytes[request.request_id] = request.body_bytes
            self.total_bytes += request.body_bytes
        heapq.heappush(self._by_priority, _Entry(rank, -request.priority, self._sequence, request))
        heapq.heappush(self._deadlines, (request.deadline, self._sequence, request.request_id))

    def peek(self) -> RequestInfo | None:
        """Return the first request without removing it, or None if the queue is empty."""
        while self._by_priority:
            entry = self._by_priority[0]
            if self._waiting.get(entry.request.request_id) == entry.sequence:
                return entry.request
            heapq.heappop(self._by_priority)
        return None

    def remove(self, request_id: int) -> bool:
        """Remove a request, and return whether it was queued."""
        if self._waiting.pop(request_id, None) is None:
            return False
        self.total_bytes -= self._body_bytes.pop(request_id, 0)
        # Entries of removed requests stay in the heaps until they reach the top. The heaps are
        # rebuilt when most entries are of this kind.
        if len(self._by_priority) > 64 and len(self._by_priority) > 4 * len(self._waiting):
            self._compact()
        return True

    def pop_expired(self, now: float) -> list[int]:
        """Remove the requests whose deadlines have passed, and return their identifiers."""
        expired: list[int] = []
        while (deadline := self.get_next_deadline()) is not None and deadline <= now:
            request_id = heapq.heappop(self._deadlines)[2]
            del self._waiting[request_id]
            self.total_bytes -= self._body_bytes.pop(request_id, 0)
            expired.append(request_id)
        return expired

    def get_next_deadline(self) -> float | None:
        """Return the earliest deadline of a queued request, or None if the queue is empty."""
        while self._deadlines:
            deadline, sequence, request_id = self._deadlines[0]
            if self._waiting.get(request_id) == sequence:
                return deadline
            heapq.heappop(self._deadlines)
        return None

    def _compact(self) -> None:
        """Remove the heap entries of requests that are no longer queued."""
        self._by_priority = [
            entry
            for entry in self._by_priority
            if self._waiting.get(entry.request.request_id) == entry.sequence
        ]
        self._deadlines = [
            item for item in self._deadlines if self._waiting.get(item[2]) == item[1]
        ]
        heapq.heapify(self._by_priority)
        heapq.heapify(self._deadlines)


class ClassQueues:
    """One queue for each work class."""

    def __init__(self) -> None:
        self._queues = {work_class: RequestQueue() for work_class in WorkClass}

    @property
    def total_bytes(self) -> int:
        """Bytes of the bodies of all queued requests."""
        return sum(queue.total_bytes for queue in self._queues.values())

    def get(self, work_class: WorkClass) -> RequestQueue:
        """Return the queue of a work class."""
        return self._queues[work_class]

    def pop_expired(self, now: float) -> list[int]:
        """Remove the requests whose deadlines have passed, and return their identifiers."""
        return [number for queue in self._queues.values() for number in queue.pop_expired(now)]

    def pop_all(self) -> list[int]:
        """Remove all requests, and return their identifiers in queue order."""
        popped: list[int] = []
        for queue in self._queues.values():
            while (request := queue.peek()) is not None:
                queue.remove(request.request_id)
                popped.append(request.request_id)
        return popped

    def get_next_deadline(self) -> float | None:
        """Return the earliest deadline of a queued request, or None if all queues are empty."""
        times = [queue.get_next_deadline() for queue in self._queues.values()]
        return min((time for time in times if time is not None), default=None)
