"""Addresses in the format of the settings."""

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split `HOST:PORT` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
