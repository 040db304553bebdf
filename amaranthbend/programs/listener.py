"""Listening socket for callers."""

import errno
import os
import socket
from collections.abc import Callable
from typing import Any

from ..adapters.addresses import split_address
from ..core.connections import RECEIVE_BUFFER_BYTES

__all__ = ["LISTEN_BACKLOG", "CallerListener", "open_listener"]

# Connections that may wait in the kernel to be accepted: as many as one host receives in several
# seconds of peak load.
LISTEN_BACKLOG = 1024
# Errors of `accept` that mean that the process or the host has no descriptor or memory left.
EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class CallerListener(socket.socket):
    """Listening socket that takes connections off its queue even without free descriptors.

    Otherwise the queue would stay readable, and the event loop would call `accept` again at once
    and log its error each time.
    """

    def __init__(self) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_STREAM)
        # Closed for a moment to accept and close a connection while no descriptor is free.
        self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)
        # Called when no descriptor is free; may close connections.
        self.on_exhaustion: Callable[[OSError], None] | None = None

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection.

        Raises
        ------
        ConnectionAbortedError
            If the connection was closed at once, as no descriptor is free.
        BlockingIOError
            If no connection waits, or none can be taken off the queue.
        """
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in EXHAUSTION_ERRORS:
                raise
            if self.on_exhaustion is not None:
                self.on_exhaustion(error)
            self._drop_one()
            raise ConnectionAbortedError(error.errno, "no descriptor is free") from error

    def _drop_one(self) -> None:
        """Accept a connection with the spare descriptor, and close it."""
        if self._spare_descriptor >= 0:
            os.close(self._spare_descriptor)
            self._spare_descriptor = -1
        try:
            descriptor, _address = self._accept()  # type: ignore[attr-defined]
        except OSError as error:
            self._open_spare()
            raise BlockingIOError(error.errno, "no connection was accepted") from error
        os.close(descriptor)
        self._open_spare()

    def _open_spare(self) -> None:
        if self._spare_descriptor >= 0:
            return
        try:
            self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)
        except OSError:
            self._spare_descriptor = -1

    def close(self) -> None:
        """Close the socket and the spare descriptor."""
        super().close()
        if self._spare_descriptor >= 0:
            os.close(self._spare_descriptor)
            self._spare_descriptor = -1


def open_listener(address: str, *, reuse_port: bool = False) -> CallerListener:
    """Return a socket that listens on `address:port`.

    The kernel completes connections from now on; they wait until the process accepts them. Their
    receive buffers are small, since bytes that wait in them take memory of the host.
    """
    listener = CallerListener()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    # Accepted connections inherit the size.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setblocking(False)
    listener.bind(split_address(address))
    listener.listen(LISTEN_BACKLOG)
    return listener
