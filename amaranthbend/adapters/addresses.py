"""Addresses in the format of the settings."""

import ipaddress
import re

__all__ = ["is_address", "split_address"]

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port, as `ADDRESS:PORT`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return PORT_PATTERN.fullmatch(port) is not None and 0 < int(port) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Split `HOST:PORT` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
