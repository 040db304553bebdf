"""Non-blocking standard output for logs, with a bounded buffer."""

import os
from collections import deque

__all__ = ["NonBlockingOutput"]

# Size of the buffer for lines that are not read yet; further lines are dropped and counted.
MAX_BUFFERED_BYTES = 256 * 1024


class NonBlockingOutput:
    """Text stream that drops lines when its reader is too slow.

    Parameters
    ----------
    fd : int
        File descriptor, which is set to non-blocking mode.
    """

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0

    def write(self, text: str) -> int:
        """Buffer text, or drop it if the buffer is full."""
        data = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffered.append(data)
            self._buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffered:
            data = b"".join(self._buffered)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed, so the error cannot be logged.
                self._buffered.clear()
                self._buffered_bytes = 0
                return
            self._buffered.clear()
            self._buffered_bytes = len(data) - written
            if written < len(data):
                self._buffered.append(data[written:])
                return
