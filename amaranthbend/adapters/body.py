"""Body of a caller's request on its way to an upstream."""

import asyncio
from collections import deque
from collections.abc import Callable

__all__ = ["RequestBody"]

# Reading from the caller pauses above this many waiting bytes.
HIGH_WATER_BYTES = 128 * 1024


class RequestBody:
    """Bytes of a body: held whole while it is small, otherwise passed on once.

    Parameters
    ----------
    length : int or None
        Announced length, None if the body comes in chunks.
    """

    __slots__ = (
        "_chunks",
        "_on_readable",
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
        self._on_readable: Callable[[], None] | None = None
        self._writable: asyncio.Future[None] | None = None

    def append(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Add bytes; a returned future tells when there is room for more."""
        self._chunks.append(chunk)
        self.size += len(chunk)
        self.buffered_bytes += len(chunk)
        self._call_reader()
        if not self.streamed or self.buffered_bytes < HIGH_WATER_BYTES:
            return None
        self._writable = asyncio.get_running_loop().create_future()
        return self._writable

    def set_complete(self) -> None:
        """Note that the body is complete."""
        self.is_complete = True
        self._call_reader()

    def get_buffered_body(self) -> bytes:
        """Return the whole body, which must be complete and not streamed."""
        if len(self._chunks) > 1:
            self._chunks = deque([b"".join(self._chunks)])
        return self._chunks[0] if self._chunks else b""

    def read(self, size: int) -> bytes | None:
        """Return the next bytes, empty at the end, None if there are none yet."""
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
        """Call back when there are bytes again."""
        self._on_readable = callback

    def resume_reading(self) -> None:
        """Let the caller's side continue, also when nobody reads any more."""
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    def _call_reader(self) -> None:
        callback, self._on_readable = self._on_readable, None
        if callback is not None:
            callback()
