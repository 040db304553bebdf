"""Grammar of the lines in the head and the trailer section of an HTTP/1.1 response.

Sources: RFC 9112, sections 2.2 (line ends), 4 (status line) and 5 (field lines); RFC 9110, sections
5.5 (values), 5.6.2 (names) and 15 (status codes). A line outside the grammar shows that the sender
is faulty, or that these bytes are no head at all, so nothing else in the head can be relied on.
"""

import re
from typing import NamedTuple

__all__ = ["StatusLine", "parse_field_line", "parse_status_line", "strip_line_end"]

TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
TEXT = r"[\t\x20-\x7e\x80-\xff]*"
# Status codes above 599 are invalid, although the grammar of the line allows them.
STATUS_LINE_PATTERN = re.compile(
    rf"(HTTP/1\.[01]) ([1-5][0-9]{{2}})(?: ({TEXT}))?".encode("latin1")
)
FIELD_LINE_PATTERN = re.compile(rf"({TOKEN}):({TEXT})".encode("latin1"))
OPTIONAL_WHITESPACE = b" \t"


class StatusLine(NamedTuple):
    """Version, status code and reason phrase of a response."""

    version: bytes
    status: int
    reason: bytes


def strip_line_end(line: bytes) -> bytes:
    """Return a line without its end, which is CR LF, or LF alone."""
    return line.removesuffix(b"\n").removesuffix(b"\r")


def parse_status_line(line: bytes) -> StatusLine:
    """Return the parts of a status line, of an interim response too.

    Raises
    ------
    ValueError
        If the line is malformed, or its status code invalid.
    """
    found = STATUS_LINE_PATTERN.fullmatch(line)
    if found is None:
        raise ValueError(f"malformed status line {line!r}")
    reason = (found[3] or b"").strip(OPTIONAL_WHITESPACE)
    return StatusLine(found[1], int(found[2]), reason)


def parse_field_line(line: bytes) -> tuple[bytes, bytes]:
    """Return the name and the value of a header or trailer field.

    A folded line is refused as well: RFC 9112, section 5.2, allows to discard such a response.

    Raises
    ------
    ValueError
        If the line is malformed.
    """
    found = FIELD_LINE_PATTERN.fullmatch(line)
    if found is None:
        raise ValueError(f"malformed header line {line!r}")
    return found[1], found[2].strip(OPTIONAL_WHITESPACE)
