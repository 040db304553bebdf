"""Sockets on which the node process takes connections."""

import socket

from ..adapters.addresses import split_address

__all__ = ["LISTEN_BACKLOG", "open_listener"]

# Connections that wait to be accepted; several seconds of one host's new connections in a peak.
LISTEN_BACKLOG = 1024


def open_listener(address: str) -> socket.socket:
    """Return a socket on which the kernel takes connections, before they are accepted."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(split_address(address))
    listener.listen(LISTEN_BACKLOG)
    return listener
