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

    __slots__ = ("_chunks", "_on_bytes", "_room", "ended", "length", "size", "streamed", "waiting")

    def __init__(self, length: int | None) -> None:
        self.length = length
        self.size = 0
        self.waiting = 0
        self.ended = False
        self.streamed = False
        self._chunks: deque[bytes] = deque()
        self._on_bytes: Callable[[], None] | None = None
        self._room: asyncio.Future[None] | None = None

    def append(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Add bytes; a returned future tells when there is room for more."""
        self._chunks.append(chunk)
        self.size += len(chunk)
        self.waiting += len(chunk)
        self._wake_reader()
        if not self.streamed or self.waiting < HIGH_WATER_BYTES:
            return None
        self._room = asyncio.get_running_loop().create_future()
        return self._room

    def end(self) -> None:
        """Note that the body is complete."""
        self.ended = True
        self._wake_reader()

    def get_held(self) -> bytes:
        """Return the whole body, which must be complete and not streamed."""
        if len(self._chunks) > 1:
            self._chunks = deque([b"".join(self._chunks)])
        return self._chunks[0] if self._chunks else b""

    def read(self, size: int) -> bytes | None:
        """Return the next bytes, empty at the end, None if there are none yet."""
        if not self._chunks:
            return b"" if self.ended else None
        chunk = self._chunks.popleft()
        if len(chunk) > size:
            self._chunks.appendleft(chunk[size:])
            chunk = chunk[:size]
        self.waiting -= len(chunk)
        if self.waiting < HIGH_WATER_BYTES:
            self.release()
        return chunk

    def notify(self, callback: Callable[[], None]) -> None:
        """Call back when there are bytes again."""
        self._on_bytes = callback

    def release(self) -> None:
        """Let the caller's side continue, also when nobody reads any more."""
        room, self._room = self._room, None
        if room is not None and not room.done():
            room.set_result(None)

    def _wake_reader(self) -> None:
        callback, self._on_bytes = self._on_bytes, None
        if callback is not None:
            callback()
