"""Faulty responses of the upstream stand-in, written as raw bytes."""

from tornado.iostream import IOStream, StreamClosedError

__all__ = ["ANSWER_FAULTS", "POISON", "write_faulty_answer"]

# Looks like the response to a later request on the same connection.
POISON = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npoisoned"

ANSWER_FAULTS = (
    "none",
    "late",
    "truncated",
    "truncated_chunked",
    "headers_only",
    "overlong",
    "malformed",
    "conflicting_length",
    "reset",
)


def compose_faulty_answer(fault: str, headers: str, body: bytes) -> tuple[bytes, bool]:
    """Return the bytes of a faulty response, and whether the connection closes after it."""
    start = f"HTTP/1.1 200 OK\r\n{headers}"
    length = f"Content-Length: {len(body)}\r\n"
    half = body[: len(body) // 2]
    if fault == "truncated":
        return f"{start}{length}\r\n".encode() + half, True
    if fault == "truncated_chunked":
        chunk = f"{len(half):x}\r\n".encode() + half + b"\r\n"
        return f"{start}Transfer-Encoding: chunked\r\n\r\n".encode() + chunk, True
    if fault == "headers_only":
        return f"{start}{length}\r\n".encode(), True
    if fault == "overlong":
        return f"{start}{length}\r\n".encode() + body + POISON, False
    if fault == "malformed":
        return b"HTP/x.1 abc\r\n\x00\xff: \r\n\r\n" + body, True
    if fault == "conflicting_length":
        other = f"Content-Length: {len(body) + 7}\r\n"
        return f"{start}{length}{other}\r\n".encode() + body, True
    return b"", True


async def write_faulty_answer(stream: IOStream, fault: str, headers: str, body: bytes) -> None:
    """Write a faulty response on a detached connection."""
    data, closes = compose_faulty_answer(fault, headers, body)
    try:
        if data:
            await stream.write(data)
        if not closes:
            await stream.read_until_close()
    except StreamClosedError:
        return
    finally:
        stream.close()
