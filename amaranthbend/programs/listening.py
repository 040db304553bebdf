"""Sockets on which the node process takes connections."""

import socket

__all__ = ["BACKLOG", "open_listener", "split_address"]

# Connections that wait to be accepted; several seconds of one host's new connections in a peak.
BACKLOG = 1024


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def open_listener(address: str) -> socket.socket:
    """Return a socket on which the kernel takes connections, before they are accepted."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(split_address(address))
    listener.listen(BACKLOG)
    return listener
