"""Tests of streaming, framing and persistent connections in the entry process."""

import asyncio
import hashlib
import random

import pytest

from .entry_cases import (
    MERGED_SETTINGS,
    OK,
    SERVICE,
    WAIT_S,
    Entry,
    ScriptedUpstream,
    get_field,
    make_request,
    read_message,
    respond,
    run_entry,
    wait_for,
)

MB = 1024 * 1024
BLOCK = bytes(range(256)) * 256


@pytest.mark.parametrize("is_chunked", [True, False])
def test_slow_caller_does_not_fill_memory(is_chunked: bool) -> None:
    """Guards against missing backpressure: a download read faster than the caller receives it."""
    count = 32 * MB // len(BLOCK)
    sent = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await read_message(reader)
        framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % (32 * MB)
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing)
        for _ in range(count):
            block = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK) if is_chunked else BLOCK
            writer.write(block)
            await writer.drain()
            sent += len(BLOCK)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        await reader.read()

    async def check() -> None:
        async with (
            ScriptedUpstream(script) as upstream,
            run_entry([upstream.address], stall_timeout_s=WAIT_S) as entry,
        ):
            reader, writer = await entry.connect()
            writer.write(make_request())
            head = await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(1.0)
            # Socket buffers of the kernel hold up to about 12 MB here.
            assert sent < 20 * MB
            digest = hashlib.sha256()
            async with asyncio.timeout(30):
                for _ in range(count if not is_chunked else 0):
                    digest.update(await reader.readexactly(len(BLOCK)))
                while is_chunked and (size := int(await reader.readline(), 16)):
                    digest.update(await reader.readexactly(size))
                    await reader.readexactly(2)
            writer.close()
        assert get_field(head, "X-Request-Outcome") == ["answered"]
        assert digest.hexdigest() == hashlib.sha256(BLOCK * count).hexdigest()

    asyncio.run(check())


@pytest.mark.parametrize("is_chunked", [True, False])
@pytest.mark.parametrize("size", [0, 1000, 4 * MB])
def test_uploads_arrive_whole(size: int, is_chunked: bool) -> None:
    """Guards against lost, repeated or reordered bytes of a request body."""
    body = (BLOCK * (size // len(BLOCK) + 1))[:size]
    bodies: list[bytes] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            bodies.append((await read_message(reader))[1])
            writer.write(OK)

    async def check() -> None:
        async with ScriptedUpstream(script) as upstream, run_entry([upstream.address]) as entry:
            if is_chunked:
                request = make_request("POST", "/", "Transfer-Encoding: chunked")
                parts = [body[start : start + 70_000] for start in range(0, size, 70_000)]
                chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
                request += b"".join(chunks) + b"0\r\n\r\n"
            else:
                request = make_request("POST", "/", f"Content-Length: {size}") + body
            head, _body = await entry.exchange(request)
        assert get_field(head, "X-Request-Outcome") == ["answered"]
        assert bodies == [body]

    asyncio.run(check())


def test_slow_upstream_throttles_an_upload() -> None:
    """Guards against missing backpressure: an upload that fills the entry process's memory."""
    continue_reading = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await continue_reading.wait()
        await reader.readexactly(8 * MB)
        writer.write(OK)
        await reader.read()

    async def check() -> None:
        async with (
            ScriptedUpstream(script) as upstream,
            run_entry([upstream.address], stall_timeout_s=WAIT_S) as entry,
        ):
            reader, writer = await entry.connect()
            writer.write(make_request("POST", "/", f"Content-Length: {8 * MB}"))
            sent = 0
            while sent < 8 * MB:
                writer.write(BLOCK)
                try:
                    await asyncio.wait_for(writer.drain(), 0.5)
                except TimeoutError:
                    break
                sent += len(BLOCK)
            bodies = [
                request.body
                for service in entry.process.dispatch.services.values()
                for request, *_attempts in service.active_requests.values()
            ]
            assert [body.buffered_bytes < MB for body in bodies if body is not None] == [True]
            continue_reading.set()
            writer.write(BLOCK * ((8 * MB - sent) // len(BLOCK) - 1))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
            writer.close()
        assert head.startswith(b"HTTP/1.1 200 ")

    asyncio.run(check())


def test_chunked_body_above_the_limit_is_aborted() -> None:
    """Guards against a chunked body above the limit, and "not run" after a part of it was sent."""

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(OK)) as upstream,
            run_entry([upstream.address]) as entry,
        ):
            chunk = b"%x\r\n%b\r\n" % (MB, b"x" * MB)
            request = make_request("POST", "/", "Transfer-Encoding: chunked")
            head, _body = await entry.exchange(request + chunk * 9 + b"0\r\n\r\n")
            assert entry.process.counters.get("reason.body_too_large") == 1
        assert get_field(head, "X-Request-Outcome") == ["unknown"]

    asyncio.run(check())


def test_pipelined_requests_are_answered_in_order() -> None:
    """Guards against a response that answers another request of the same connection."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _body = await read_message(reader)
            path = head.split()[1]
            if path == b"/0":
                await asyncio.sleep(0.1)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + path)

    async def check() -> None:
        async with ScriptedUpstream(script) as upstream, run_entry([upstream.address]) as entry:
            reader, writer = await entry.connect()
            writer.write(b"".join(make_request("GET", f"/{number}") for number in range(5)))
            async with asyncio.timeout(WAIT_S):
                bodies = [(await read_message(reader))[1] for _ in range(5)]
            writer.close()
        assert bodies == [b"/%d" % number for number in range(5)]

    asyncio.run(check())


@pytest.mark.parametrize(
    ("method", "response", "length"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n", ["77"]),
        ("HEAD", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", []),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", []),
        ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 77\r\nETag: x\r\n\r\n", ["77"]),
        ("GET", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No\r\n\r\n", []),
    ],
)
def test_responses_without_body_keep_the_connection(
    method: str, response: bytes, length: list[str]
) -> None:
    """Guards against a connection whose framing is lost after a response without a body."""

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(response)) as upstream,
            run_entry([upstream.address]) as entry,
        ):
            reader, writer = await entry.connect()
            for _ in range(2):
                writer.write(make_request(method))
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
                assert get_field(head, "X-Request-Outcome") == ["answered"]
                assert get_field(head, "Content-Length") == length
                assert get_field(head, "Link") == []
            writer.close()

    asyncio.run(check())


@pytest.mark.parametrize("version", ["HTTP/1.0", "HTTP/1.1"])
def test_body_without_length_ends_with_the_connection(version: str) -> None:
    """Guards against chunked encoding sent to an HTTP/1.0 caller, and a missing end of the body."""
    response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhay\r\n0\r\n\r\n"

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(response)) as upstream,
            run_entry([upstream.address]) as entry,
        ):
            request = make_request("GET", "/", "Connection: close")
            request = request.replace(b"HTTP/1.1", version.encode())
            data, was_reset = await entry.read_all(request)
        assert not was_reset
        end = b"\r\n\r\nhay" if version == "HTTP/1.0" else b"\r\n\r\n3\r\nhay\r\n0\r\n\r\n"
        assert data.endswith(end)

    asyncio.run(check())


def test_caller_that_waits_for_100_is_told_to_continue() -> None:
    """Guards against a caller that waits forever for `100 Continue`."""

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(OK)) as upstream,
            run_entry([upstream.address]) as entry,
        ):
            reader, writer = await entry.connect()
            writer.write(make_request("POST", "/", "Expect: 100-Continue", "Content-Length: 3"))
            interim = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
            writer.write(b"hay")
            head, _body = await asyncio.wait_for(read_message(reader), WAIT_S)
            writer.close()
        assert interim.startswith(b"HTTP/1.1 100 ")
        assert head.startswith(b"HTTP/1.1 200 ")

    asyncio.run(check())


def test_caller_that_stops_sending_is_refused() -> None:
    """Guards against connections that stay open for callers with unfinished requests."""

    async def check() -> None:
        async with run_entry(["127.0.0.1:1"], stall_timeout_s=0.2) as entry:
            head, _body = await entry.exchange(make_request("POST", "/", "Content-Length: 3"))
            await wait_for(lambda: entry.process.server.count_connections() == 0)
        assert get_field(head, "X-Outcome-Reason") == ["timeout"]

    asyncio.run(check())


def test_incomplete_header_does_not_delay_shutdown() -> None:
    """Guards against a caller that blocks shutdown with an incomplete request header."""

    async def check() -> None:
        async with run_entry(["127.0.0.1:1"], stall_timeout_s=0.2) as entry:
            reader, writer = await entry.connect()
            writer.write(b"GET / HT")
            await wait_for(lambda: entry.process.server.count_connections() == 1)
            await asyncio.wait_for(entry.process.shut_down(), 5.0)
            assert await reader.read() == b""
            writer.close()

    asyncio.run(check())


@pytest.mark.parametrize("seed", range(3))
def test_responses_do_not_mix_when_callers_leave(seed: int) -> None:
    """Guards against late bytes of a cancelled call in the response to another request."""
    rng = random.Random(seed)
    mismatches: list[tuple[bytes, bytes]] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _body = await read_message(reader)
            data = head.split()[1] * 2000
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data))
            for start in range(0, len(data), 4000):
                writer.write(data[start : start + 4000])
                await asyncio.sleep(rng.random() * 0.004)

    async def call_or_disconnect(entry: Entry, number: int) -> None:
        path = b"/%06d" % number
        reader, writer = await entry.connect()
        writer.write(make_request("GET", path.decode()))
        if rng.random() < 0.5:
            await asyncio.sleep(rng.random() * 0.02)
            writer.close()
            return
        _head, body = await asyncio.wait_for(read_message(reader), WAIT_S)
        writer.close()
        if body != path * 2000:
            mismatches.append((path, body[:40]))

    async def check() -> None:
        # With a slot for each caller no request queues, so none is refused on a slow host.
        merged = {**MERGED_SETTINGS, "services": {SERVICE: {"slots_per_upstream": 30}}}
        async with (
            ScriptedUpstream(script) as upstream,
            run_entry([upstream.address], merged=merged) as entry,
        ):
            for start in range(0, 300, 30):
                await asyncio.gather(*(call_or_disconnect(entry, start + n) for n in range(30)))
            assert entry.process.counters.get("outcome.answered") > 100
            await wait_for(
                lambda: entry.process.dispatch.services["adopt-desk"].active_requests == {}
            )
            assert [view["in_flight"] for view in entry.process.get_upstreams()["adopt-desk"]] == [
                0
            ]

    asyncio.run(check())
    assert mismatches == []
