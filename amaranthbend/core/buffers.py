"""Memory that a process keeps for its callers and upstreams."""

from collections.abc import Callable

__all__ = ["BufferBudget", "compute_buffer_bytes"]

# Resident memory of a process without callers: 43.6 MB on x86-64 with libcurl and all modules.
PROCESS_BYTES = 46_000_000
# Share of the remaining memory for what the account counts. As much again is for the fixed part
# of each connection (`core/connections.py`); the rest is for copies that exist for a moment and
# for gaps in the heap.
BUFFER_SHARE = 0.4
# Part of the limit that large bodies leave to heads, short requests and responses.
LARGE_BODY_RESERVE = 1 / 8


def compute_buffer_bytes(memory_bytes: int) -> int:
    """Return the limit of the account of a process that may use an amount of memory."""
    return int(max(0, memory_bytes - PROCESS_BYTES) * BUFFER_SHARE)


class BufferBudget:
    """Account of the memory for heads, bodies, unread input and unsent responses.

    Load pattern: many large uploads arrive together on slow links, many callers read large
    responses slowly, or many requests stop just before their end. Each of them alone is within
    its limit, but together they exceed the memory of the host, and the process is killed with
    all of its requests.

    Parameters
    ----------
    limit_bytes : int
        Bytes that may be reserved at the same time.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._reserved_bytes = 0
        # Called with the missing bytes, and whether they are for a large body, before a
        # reservation fails. May release memory.
        self.on_shortage: Callable[[int, bool], None] | None = None
        # Called when bytes that are in memory already exceed the limit.
        self.on_excess: Callable[[], None] | None = None

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved at present."""
        return self._reserved_bytes

    @property
    def limit_bytes(self) -> int:
        """Bytes that may be reserved at the same time."""
        return self._limit_bytes

    @property
    def excess_bytes(self) -> int:
        """Bytes that are reserved above the limit."""
        return max(0, self._reserved_bytes - self._limit_bytes)

    def set_limit(self, limit_bytes: int) -> None:
        """Change the limit; reservations above a lower limit remain."""
        self._limit_bytes = limit_bytes

    def reserve(self, size: int, *, is_large_body: bool = False) -> bool:
        """Reserve a number of bytes, and return whether the limit allowed it.

        Parameters
        ----------
        size : int
            Number of bytes.
        is_large_body : bool
            Whether they are for a large body, which leaves a part of the limit to others.
        """
        missing = self._count_missing(size, is_large_body)
        if missing > 0 and self.on_shortage is not None:
            self.on_shortage(missing, is_large_body)
            missing = self._count_missing(size, is_large_body)
        if missing > 0:
            return False
        self._reserved_bytes += size
        return True

    def _count_missing(self, size: int, is_large_body: bool) -> int:
        limit = self._limit_bytes
        if is_large_body:
            limit -= int(limit * LARGE_BODY_RESERVE)
        return self._reserved_bytes + size - limit

    def add(self, size: int) -> None:
        """Reserve a number of bytes that are in memory already, whatever the limit."""
        self._reserved_bytes += size
        if self._reserved_bytes > self._limit_bytes and self.on_excess is not None:
            self.on_excess()

    def release(self, size: int) -> None:
        """Release a number of reserved bytes."""
        self._reserved_bytes = max(0, self._reserved_bytes - size)
