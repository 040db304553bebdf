"""A caller of node processes, and the configuration that it expects."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

__all__ = [
    "DESK",
    "Answer",
    "exchange",
    "exchange_pipelined",
    "exchange_upload",
    "make_call",
    "make_configuration",
    "read_answer",
    "read_chunks",
]

WAIT_S = 8.0
READ_BYTES = 256 * 1024
# A body is read to its end, but no more of it is kept. Callers in the soak that kept bodies without
# end took 3.7 GB together.
MAX_KEPT_BYTES = 16 * 1024 * 1024
# Parts in which the body of an upload is written.
UPLOAD_PIECES = 20
DESK = "desk"


class Answer(NamedTuple):
    """What a caller got; status 0 if the connection ended without a whole response."""

    status: int
    fields: dict[str, str]
    body: bytes


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a safe and an unsafe route to the service `desk`."""
    rules = [
        {
            "name": f"r-{kind}",
            "kind": kind,
            "latencyGoal": "300ms",
            "priority": 1,
            "match": {"pathPrefix": f"/{kind}/"},
            "action": {"service": DESK, "timeout": "2s", "attempts": 2, **changes},
        }
        for kind in ("safe", "unsafe")
    ]
    return {
        "version": version,
        "limits": {"maxBodyBytes": 1_000_000},
        "listeners": [{"host": "shop.example", "rules": rules}],
        "clusters": [{"name": DESK, "healthCheckPath": "/health", "maxConnections": 200}],
    }


def make_call(
    path: str,
    method: str,
    request_id: str,
    deadline_ms: int,
    fields: Mapping[str, str] | None = None,
) -> bytes:
    """Return the bytes of a request, with further fields; a POST has a body of two bytes."""
    length = "Content-Length: 2\r\n" if method == "POST" else ""
    body = "{}" if method == "POST" else ""
    lines = "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Amaranthbend-Attempt-Id: {request_id}\r\n"
        f"X-Amaranthbend-Request-Deadline: {deadline_ms}\r\n{lines}{length}\r\n{body}"
    ).encode()


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    method: str = "GET",
    request_id: str = "abc",
    deadline_ms: int = 1500,
) -> Answer:
    """Send one request, and read its response."""
    writer.write(make_call(path, method, request_id, deadline_ms))
    return await read_answer(reader)


async def exchange_upload(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    request_id: str,
    body: bytes,
    *,
    chunked: bool,
    duration_s: float,
    deadline_ms: int = 4000,
) -> Answer:
    """Send a request whose body arrives in `duration_s` seconds, and read its response."""
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Amaranthbend-Attempt-Id: {request_id}\r\n"
        f"X-Amaranthbend-Request-Deadline: {deadline_ms}\r\n{framing}\r\n\r\n".encode()
    )
    piece_bytes = -(-len(body) // UPLOAD_PIECES)
    for start in range(0, len(body), piece_bytes):
        piece = body[start : start + piece_bytes]
        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
        await writer.drain()
        await asyncio.sleep(duration_s / UPLOAD_PIECES)
    if chunked:
        writer.write(b"0\r\n\r\n")
    return await read_answer(reader)


async def exchange_pipelined(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    calls: Sequence[bytes],
    timeout_s: float,
) -> list[Answer]:
    """Send requests together, and read their responses, each within a time.

    Responses that the connection does not deliver have status 0.
    """
    writer.write(b"".join(calls))
    answers: list[Answer] = []
    while len(answers) < len(calls):
        try:
            answer = await asyncio.wait_for(read_answer(reader), timeout_s)
        except (OSError, TimeoutError):
            break
        answers.append(answer)
        if answer.status == 0 or answer.fields.get("connection") == "close":
            break
    return answers + [Answer(0, {}, b"")] * (len(calls) - len(answers))


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read a response, whose status is 0 if it breaks off."""
    try:
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)).decode("latin1")
        start, *lines = head.strip().split("\r\n")
        fields = {line.split(": ")[0].lower(): line.split(": ", 1)[1] for line in lines}
        data = await _read_body(reader, fields)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, {}, b"")
    return Answer(int(start.split(" ")[1]), fields, data)


async def _read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return a whole body; raises IncompleteReadError or ConnectionError if it breaks off."""
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding") != "chunked":
        # The body ends with the connection; a reset raises ConnectionError.
        return await _read_to_end(reader)
    return await read_chunks(reader)


async def _read_to_end(reader: asyncio.StreamReader) -> bytes:
    parts: list[bytes] = []
    kept = 0
    while data := await reader.read(READ_BYTES):
        if kept < MAX_KEPT_BYTES:
            parts.append(data)
            kept += len(data)
    return b"".join(parts)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a whole chunked body; raises IncompleteReadError if it breaks off."""
    parts: list[bytes] = []
    kept = 0
    while size := int(await reader.readuntil(b"\r\n"), 16):
        data = await reader.readexactly(size)
        if kept < MAX_KEPT_BYTES:
            parts.append(data)
            kept += size
        await reader.readexactly(len(b"\r\n"))
    await reader.readuntil(b"\r\n")
    return b"".join(parts)
