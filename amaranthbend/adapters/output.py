"""Standard output for logs: bounded, and never waited for."""

import os
from collections import deque

__all__ = ["NonBlockingOutput"]

# Lines held while nobody reads; later ones are dropped and counted.
MAX_BUFFERED_BYTES = 256 * 1024


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
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write or hold text; drop it when too much is held."""
        data = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffered.append(data)
            self._buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write as much as the reader takes at once."""
        while self._buffered:
            data = b"".join(self._buffered)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                self._buffered.clear()
                self._buffered_bytes = 0
                return
            self._buffered.clear()
            self._buffered_bytes = len(data) - written
            if written < len(data):
                self._buffered.append(data[written:])
                return
