"""Listening socket of the node process."""

import socket

from ..adapters.addresses import split_address

__all__ = ["LISTEN_BACKLOG", "open_listener"]

# Connections that may wait in the kernel to be accepted: as many as one host receives in several
# seconds of peak load.
LISTEN_BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on `address:port`.

    The kernel completes connections from now on; they wait until the process accepts them.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(split_address(address))
    listener.listen(LISTEN_BACKLOG)
    return listener
