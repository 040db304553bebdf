"""Tests of requests and responses that the entry process forwards."""

import asyncio

import pytest

from .entry_cases import (
    ScriptedUpstream,
    get_field,
    make_request,
    read_message,
    respond,
    run_entry,
)


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond to each request with the bytes of the request."""
    while True:
        head, body = await read_message(reader)
        data = head + body
        writer.write(b"HTTP/1.1 200 Fine\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE", "OPTIONS"])
def test_requests_are_forwarded_unchanged(method: str) -> None:
    """Guards against a method, target, header field or body that is modified on the way."""

    async def check() -> None:
        body = b"hay" if method in ("POST", "PUT") else b""
        request = make_request(
            method, "/a/./%2e?x=%20#", "X-Twice: 1", "x-twice: 2", "X-Empty:", body=body
        ).replace(b"#", b"")
        request = request.replace(b"/a/./%2e", b"/a/b%20")
        async with ScriptedUpstream(echo) as upstream, run_entry([upstream.address]) as entry:
            head, received = await entry.exchange(request)
        assert head.startswith(b"HTTP/1.1 200 Fine\r\n")
        assert get_field(head, "X-Request-Outcome") == ["answered"]
        assert received.startswith(b"%b /a/b%%20?x=%%20 HTTP/1.1\r\n" % method.encode())
        assert received.endswith(b"\r\n\r\n" + body)
        assert get_field(received, "X-Twice") == ["1", "2"]
        assert get_field(received, "X-Empty") == [""]
        assert get_field(received, "Host") == ["desk.test"]
        assert get_field(received, "User-Agent") == []
        assert 0 < int(get_field(received, "X-Request-Deadline-Ms")[0]) <= 3000

    asyncio.run(check())


def test_response_is_forwarded_unchanged() -> None:
    """Guards against lost status, reason or repeated fields, and outcomes forged by upstreams."""
    response = (
        b"HTTP/1.1 418 Short And Stout\r\nSet-Cookie: a=1\r\nset-cookie: b=2\r\n"
        b"Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-Request-Outcome: not-run\r\n"
        b"Content-Length: 2\r\n\r\nok"
    )

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(response)) as upstream,
            run_entry([upstream.address]) as entry,
        ):
            head, body = await entry.exchange(make_request())
            assert entry.process.counters.get("outcome.answered") == 1
        assert head.startswith(b"HTTP/1.1 418 Short And Stout\r\n")
        assert get_field(head, "Set-Cookie") == ["a=1", "b=2"]
        assert get_field(head, "X-Request-Outcome") == ["answered"]
        assert get_field(head, "X-Hop") == get_field(head, "Keep-Alive") == []
        assert body == b"ok"

    asyncio.run(check())
