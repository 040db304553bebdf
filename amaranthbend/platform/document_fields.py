"""Typed access to the fields of the platform's documents."""

import re
from typing import Any

__all__ = ["get_address", "get_non_negative_int", "get_path", "get_string", "parse_duration"]

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}
# JSON implementations that store numbers as 64-bit floats round larger integers.
MAX_EXACT_INTEGER = 2**53


def parse_duration(value: Any) -> float:
    """Return a duration in seconds.

    Raises
    ------
    ValueError
        If the value is not a string of a number and the unit ms or s.
    """
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{value!r} is not a duration such as '1500ms' or '2.5s'")
    return float(match[1]) * SECONDS_BY_UNIT[match[2]]


def get_string(document: dict[str, Any], key: str) -> str:
    """Return a field that must be a non-empty string.

    Raises
    ------
    ValueError
        If the field is missing or of another type.
    """
    value = document.get(key)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key!r} is {value!r}, not a non-empty string")
    return value


def get_address(document: dict[str, Any], key: str) -> str:
    """Return a field that must be an IP address and a port, as `address:port`.

    Raises
    ------
    ValueError
        If the field is missing or invalid.
    """
    address = get_string(document, key)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{key!r} is {address!r}, not IP:PORT")
    return address


def get_path(document: dict[str, Any], key: str) -> str:
    """Return a field that must be an absolute path without characters that end a request line.

    Raises
    ------
    ValueError
        If the field is missing or invalid.
    """
    path = get_string(document, key)
    if not path.startswith("/") or not path.isprintable() or " " in path:
        raise ValueError(f"{key!r} is {path!r}, not a path that starts with '/'")
    return path


def get_non_negative_int(document: dict[str, Any], key: str, default: int | None = None) -> int:
    """Return a field that must be an integer from 0 to `MAX_EXACT_INTEGER`.

    Raises
    ------
    ValueError
        If the field is of another type, out of range, or missing without a default.
    """
    value = document.get(key, default)
    if type(value) is not int or not 0 <= value <= MAX_EXACT_INTEGER:
        raise ValueError(f"{key!r} is {value!r}, not an integer from 0 to {MAX_EXACT_INTEGER}")
    return value
