"""Standard output for logs: bounded, and never waited for."""

import os
from collections import deque

__all__ = ["NonBlockingOutput"]

# Lines held while nobody reads; later ones are dropped and counted.
HELD_BYTES = 256 * 1024


class NonBlockingOutput:
    """Text stream that drops lines when its reader is too slow.

    Parameters
    ----------
    fd : int
        File descriptor; set to non-blocking mode.
    """

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write or hold text; drop it when too much is held."""
        data = text.encode("utf-8", "replace")
        if self._held_bytes + len(data) > HELD_BYTES:
            self.dropped += 1
        else:
            self._held.append(data)
            self._held_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write as much as the reader takes at once."""
        while self._held:
            data = b"".join(self._held)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                self._held.clear()
                self._held_bytes = 0
                return
            self._held.clear()
            self._held_bytes = len(data) - written
            if written < len(data):
                self._held.append(data[written:])
                return
