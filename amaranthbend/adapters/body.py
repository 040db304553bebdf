"""Body of a caller's request, buffered or streamed to an upstream."""

import asyncio
from collections import deque
from collections.abc import Callable

__all__ = ["STREAM_BUFFER_BYTES", "RequestBody"]

# Reading from the caller pauses at this number of buffered bytes of a streamed body.
HIGH_WATER_BYTES = 128 * 1024
# Most bytes of a streamed body that are in memory: those above, one more read, and the upload
# buffer of libcurl.
STREAM_BUFFER_BYTES = HIGH_WATER_BYTES + 64 * 1024
# Smaller pieces are joined up to this size: a bytes object takes 33 bytes beside its content, so
# that a body of two-byte pieces would take 28 times its size.
JOINED_PIECE_BYTES = 16 * 1024


class RequestBody:
    """Request body: buffered completely if it is small, otherwise streamed.

    A buffered body can be sent repeatedly, a streamed one only once.

    Parameters
    ----------
    length : int or None
        Announced length in bytes, None if the body uses chunked encoding.
    """

    __slots__ = (
        "_chunks",
        "_is_discarded",
        "_on_readable",
        "_tail",
        "_writable",
        "is_complete",
        "length",
        "size",
        "streamed",
        "buffered_bytes",
    )

    def __init__(self, length: int | None) -> None:
        self.length = length
        self.size = 0
        self.buffered_bytes = 0
        self.is_complete = False
        self.streamed = False
        self._chunks: deque[bytes] = deque()
        # Small pieces after the last chunk.
        self._tail = bytearray()
        self._is_discarded = False
        self._on_readable: Callable[[], None] | None = None
        self._writable: asyncio.Future[None] | None = None

    @property
    def is_paused(self) -> bool:
        """Whether the caller is not read from, because the upstream takes the body too slowly."""
        return self._writable is not None

    def append(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Add bytes; if a future is returned, wait for it before adding more."""
        if len(chunk) < JOINED_PIECE_BYTES:
            self._tail += chunk
            if len(self._tail) >= JOINED_PIECE_BYTES:
                self._close_tail()
        else:
            self._close_tail()
            self._chunks.append(chunk)
        self.size += len(chunk)
        self.buffered_bytes += len(chunk)
        self._call_reader()
        if not self.streamed or self.buffered_bytes < HIGH_WATER_BYTES:
            return None
        self._writable = asyncio.get_running_loop().create_future()
        return self._writable

    def _close_tail(self) -> None:
        """Move the small pieces to the chunks."""
        if self._tail:
            self._chunks.append(bytes(self._tail))
            self._tail.clear()

    def discard(self) -> None:
        """Free the buffered bytes; the body can no longer be sent."""
        self._is_discarded = True
        self._chunks.clear()
        self._tail.clear()
        self.buffered_bytes = 0

    def set_complete(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self._call_reader()

    def get_buffered_body(self) -> bytes:
        """Return the whole body, which must be complete and not streamed."""
        self._close_tail()
        if len(self._chunks) > 1:
            self._chunks = deque([b"".join(self._chunks)])
        return self._chunks[0] if self._chunks else b""

    def read(self, size: int) -> bytes | None:
        """Return up to `size` bytes: empty at the end of the body, None if not available yet."""
        if not self._chunks:
            self._close_tail()
        if self._is_discarded:
            # An empty result would make an upstream take the part that it got for the whole.
            return None
        if not self._chunks:
            return b"" if self.is_complete else None
        chunk = self._chunks.popleft()
        if len(chunk) > size:
            self._chunks.appendleft(chunk[size:])
            chunk = chunk[:size]
        self.buffered_bytes -= len(chunk)
        if self.buffered_bytes < HIGH_WATER_BYTES:
            self.resume_reading()
        return chunk

    def call_when_readable(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, when bytes are added or the body is complete."""
        self._on_readable = callback

    def resume_reading(self) -> None:
        """Resume reading from the caller; also needed when the body is no longer read."""
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    def _call_reader(self) -> None:
        callback, self._on_readable = self._on_readable, None
        if callback is not None:
            callback()
