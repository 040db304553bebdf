"""Hop-by-hop header fields and message framing."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

from .head_grammar import parse_field_line, parse_status_line

__all__ = [
    "HEAD_ALLOWANCE_BYTES",
    "ResponseHead",
    "decode_response_head",
    "encode_header_lines",
    "estimate_head_bytes",
    "is_interim_head",
    "list_connection_options",
]

HOP_BY_HOP_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Only the entry process may set these fields, which tell a caller the outcome of its request.
OWN_RESPONSE_FIELDS = frozenset({b"x-request-outcome", b"x-outcome-reason"})
# `Content-Length` is replaced according to the framing that the caller supports.
DROPPED_RESPONSE_FIELDS = frozenset(
    {name.encode() for name in HOP_BY_HOP_FIELDS} | OWN_RESPONSE_FIELDS | {b"content-length"}
)
INTERPRETED_FIELDS = frozenset(
    {b"content-length", b"transfer-encoding", b"connection", b"x-load-report", b"x-not-run"}
)
STATUS_WITHOUT_BODY = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
# The connection speaks another protocol after it, although no request asks for that.
SWITCHING_PROTOCOLS = 101

# Memory of a header field beside its text: the strings, the list and two dictionary entries in
# tornado's `HTTPHeaders`, and its line for the upstream. A head of 16 KB with fields of 7 bytes
# took 450 KB without the latter.
FIELD_BYTES = 400
# Heads up to this size, with their fields' overhead, are part of the fixed memory of a connection.
HEAD_ALLOWANCE_BYTES = 16 * 1024


class ResponseHead(NamedTuple):
    """Status line and end-to-end header fields of an upstream's response.

    Parameters
    ----------
    status : int
        Status code.
    reason : bytes
        Reason phrase.
    fields : tuple of (bytes, bytes)
        End-to-end fields in the order received, including repeated ones.
    length : int or None
        Length of the body in bytes, None if the last chunk or the end of the connection marks
        its end.
    chunked : bool
        Whether the body uses chunked transfer coding.
    report : str
        Value of `X-Load-Report`, empty if the field is missing.
    not_run : str
        Value of `X-Not-Run`, empty if the field is missing.
    on_reused_connection : bool
        Whether the connection had carried another request before. A late or repeated response to
        that request may then arrive in place of the expected one.
    """

    status: int
    reason: bytes
    fields: tuple[tuple[bytes, bytes], ...]
    length: int | None
    chunked: bool
    report: str
    not_run: str
    on_reused_connection: bool = False


def list_connection_options(values: Iterable[str]) -> frozenset[str]:
    """Return the options in the values of `Connection` fields, in lower case."""
    options: set[str] = set()
    for value in values:
        options.update(option.strip().lower() for option in value.split(","))
    options.discard("")
    return frozenset(options)


def encode_header_lines(fields: Iterable[tuple[str, str]]) -> list[bytes]:
    """Return header lines in the format of libcurl's `HTTPHEADER` option."""
    lines: list[bytes] = []
    for name, value in fields:
        # libcurl omits a field given as "name:"; "name;" sends it with an empty value.
        lines.append((f"{name}: {value}" if value else f"{name};").encode("latin1"))
    return lines


def decode_response_head(lines: Sequence[bytes]) -> ResponseHead:
    """Parse the head of a response.

    Parameters
    ----------
    lines : sequence of bytes
        Status line and header lines of one final response, as received.

    Raises
    ------
    ValueError
        If the head is malformed or its framing is ambiguous.
    """
    version, status, reason = parse_status_line(lines[0])
    if status < FIRST_FINAL_STATUS:
        raise ValueError(f"status {status} is not a final status")
    fields: list[tuple[bytes, bytes]] = []
    interpreted: dict[bytes, list[str]] = {}
    for line in lines[1:]:
        name, value = parse_field_line(line)
        key = name.lower()
        if key in INTERPRETED_FIELDS:
            interpreted.setdefault(key, []).append(value.decode("latin1"))
        if key not in DROPPED_RESPONSE_FIELDS:
            fields.append((name, value))
    length = _parse_content_length(interpreted.get(b"content-length", ()))
    chunked = _parse_transfer_encoding(interpreted.get(b"transfer-encoding", ()), version)
    if chunked and length is not None:
        raise ValueError("Content-Length together with Transfer-Encoding")
    if b"connection" in interpreted:
        options = {
            option.encode("latin1")
            for option in list_connection_options(interpreted[b"connection"])
        }
        fields = [field for field in fields if field[0].lower() not in options]
    report = interpreted.get(b"x-load-report", ("",))[-1]
    not_run = interpreted.get(b"x-not-run", ("",))[-1]
    return ResponseHead(status, reason, tuple(fields), length, chunked, report, not_run)


def is_interim_head(lines: Sequence[bytes]) -> bool:
    """Return whether the head is that of an interim response, which a final one follows.

    Parameters
    ----------
    lines : sequence of bytes
        Status line and header lines of one response, as received.

    Raises
    ------
    ValueError
        If the status line, or a line of an interim response, is malformed.
    """
    status = parse_status_line(lines[0]).status
    if status >= FIRST_FINAL_STATUS or status == SWITCHING_PROTOCOLS:
        return False
    for line in lines[1:]:
        parse_field_line(line)
    return True


def _parse_content_length(values: Sequence[str]) -> int | None:
    if not values:
        return None
    if len(values) > 1 or not (values[0].isascii() and values[0].isdigit()):
        raise ValueError(f"conflicting or malformed Content-Length {values!r}")
    return int(values[0])


def _parse_transfer_encoding(values: Sequence[str], version: bytes) -> bool:
    if not values:
        return False
    if version != b"HTTP/1.1" or len(values) > 1 or values[0].lower() != "chunked":
        raise ValueError(f"unsupported Transfer-Encoding {values!r}")
    return True


def estimate_head_bytes(target: str, headers: HTTPHeaders) -> int:
    """Return about how much memory the parsed head of a request takes, in bytes."""
    fields = sum(len(name) + len(value) + FIELD_BYTES for name, value in headers.get_all())
    return len(target) + fields
