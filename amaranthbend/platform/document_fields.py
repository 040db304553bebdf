"""Typed access to the fields of the platform's documents."""

import math
import re
from reprlib import repr as abbreviate
from typing import Any

from ..adapters.addresses import is_address

__all__ = [
    "get_address",
    "get_boolean",
    "get_non_negative_int",
    "get_non_negative_number",
    "get_path",
    "get_string",
    "parse_duration",
    "parse_name",
]

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}
# JSON implementations that store numbers as 64-bit floats round larger integers.
MAX_EXACT_INTEGER = 2**53
# Names are sent in header fields.
NAME_PATTERN = re.compile(r"[!-~]{1,255}")


def parse_duration(value: Any) -> float:
    """Return a duration in seconds.

    Raises
    ------
    ValueError
        If the value is not a string of a number and the unit ms or s.
    """
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    duration_s = math.inf if match is None else float(match[1]) * SECONDS_BY_UNIT[match[2]]
    if duration_s == math.inf:
        raise ValueError(f"{abbreviate(value)} is not a duration such as '1500ms' or '2.5s'")
    return duration_s


def parse_name(value: str) -> str:
    """Return the name of an object, if it can be sent in a header field.

    Raises
    ------
    ValueError
        If it is too long or has other characters than visible ASCII.
    """
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(f"name {abbreviate(value)} is not 1 to 255 visible ASCII characters")
    return value


def get_string(document: dict[str, Any], key: str) -> str:
    """Return a field that must be a non-empty string.

    Raises
    ------
    ValueError
        If the field is missing or of another type.
    """
    value = document.get(key)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key!r} is {abbreviate(value)}, not a non-empty string")
    return value


def get_address(document: dict[str, Any], key: str) -> str:
    """Return a field that must be an IP address and a port, as `address:port`.

    Raises
    ------
    ValueError
        If the field is missing or invalid.
    """
    address = get_string(document, key)
    if not is_address(address):
        raise ValueError(f"{key!r} is {abbreviate(address)}, not IP:PORT")
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
        raise ValueError(f"{key!r} is {abbreviate(path)}, not a path that starts with '/'")
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
        raise ValueError(
            f"{key!r} is {abbreviate(value)}, not an integer from 0 to {MAX_EXACT_INTEGER}"
        )
    return value


def get_non_negative_number(document: dict[str, Any], key: str, default: float) -> float:
    """Return a field that must be a finite number of at least 0, or the default without it.

    Raises
    ------
    ValueError
        If the field is of another type or out of range.
    """
    value = document.get(key, default)
    if type(value) not in (int, float) or not 0 <= value <= MAX_EXACT_INTEGER:
        raise ValueError(f"{key!r} is {abbreviate(value)}, not a number of at least 0")
    return float(value)


def get_boolean(document: dict[str, Any], key: str) -> bool:
    """Return a field that must be true or false, False if it is missing.

    Raises
    ------
    ValueError
        If the field is of another type.
    """
    value = document.get(key, False)
    if not isinstance(value, bool):
        raise ValueError(f"{key!r} is {abbreviate(value)}, not true or false")
    return value
