"""Memory for the bodies that a process buffers."""

__all__ = ["BufferBudget"]


class BufferBudget:
    """Limit on the bytes of request and response bodies that are buffered at the same time.

    Load pattern: many large uploads arrive together on slow links, or many callers read large
    responses slowly. Each body alone is within its limit, but together they exceed the memory of
    the host, and the process is killed with all of its requests.

    Parameters
    ----------
    limit_bytes : int
        Bytes that may be reserved at the same time.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved at present."""
        return self._reserved_bytes

    def set_limit(self, limit_bytes: int) -> None:
        """Change the limit; reservations above a lower limit remain."""
        self._limit_bytes = limit_bytes

    def reserve(self, size: int) -> bool:
        """Reserve a number of bytes, and return whether the limit allowed it."""
        if self._reserved_bytes + size > self._limit_bytes:
            return False
        self._reserved_bytes += size
        return True

    def add(self, size: int) -> None:
        """Reserve a number of bytes that are in memory already, whatever the limit."""
        self._reserved_bytes += size

    def release(self, size: int) -> None:
        """Release a number of reserved bytes."""
        self._reserved_bytes = max(0, self._reserved_bytes - size)
