"""Tests of the entry process with invalid input from callers and with faulty upstreams."""

import asyncio
import json

import pytest

from .entry_cases import (
    OK,
    ScriptedUpstream,
    get_field,
    make_request,
    read_message,
    respond,
    run_entry,
    wait_for,
)

HOST = b"Host: a\r\n"


@pytest.mark.parametrize(
    ("request_bytes", "status", "reason"),
    [
        (b"nonsense\r\n\r\n", 400, "malformed_request"),
        (b"GET / HTTP/2.0\r\n" + HOST + b"\r\n", 400, "malformed_request"),
        (b"GET / HTTP/1.1\r\n" + HOST + b"no colon\r\n\r\n", 400, "malformed_request"),
        (b"GET / HTTP/1.1\r\n" + HOST + b"A: 1\r\n folded\r\n\r\n", 400, "malformed_request"),
        (b"GET / HTTP/1.1\r\n" + HOST + b"A: \x01\r\n\r\n", 400, "malformed_request"),
        (b"GET / HTTP/1.1\r\n\r\n", 400, "malformed_request"),
        (b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n", 400, "malformed_request"),
        (b"GET x HTTP/1.1\r\n" + HOST + b"\r\n", 400, "malformed_request"),
        (b"GET /a/%2e%2e/b HTTP/1.1\r\n" + HOST + b"\r\n", 400, "malformed_request"),
        (b"TRACE / HTTP/1.1\r\n" + HOST + b"\r\n", 405, "method_not_allowed"),
        (b"PATCH / HTTP/1.1\r\n" + HOST + b"\r\n", 405, "method_not_allowed"),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: +1\r\n\r\nx", 400, "malformed_request"),
        (
            b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
            400,
            "conflicting_length",
        ),
        (
            b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1, 2\r\n\r\nx",
            400,
            "conflicting_length",
        ),
        (
            b"POST / HTTP/1.1\r\n"
            + HOST
            + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            "conflicting_length",
        ),
        (
            b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            400,
            "malformed_request",
        ),
        (
            b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
            "malformed_request",
        ),
        (
            b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n1" + b"0" * 99,
            400,
            "malformed_request",
        ),
        (b"GET / HTTP/1.1\r\n" + HOST + b"A: " + b"x" * 200_000, 431, "headers_too_large"),
        (
            b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 9000000\r\n\r\n" + b"x" * 900_000,
            413,
            "body_too_large",
        ),
        (
            b"GET / HTTP/1.1\r\n" + HOST + b"X-Request-Deadline-Ms: -1\r\n\r\n",
            400,
            "bad_deadline",
        ),
        (b"POST /adopt HTTP/1.1\r\n" + HOST + b"\r\n", 400, "bad_idempotency_key"),
        (b"POST /%61dopt HTTP/1.1\r\n" + HOST + b"\r\n", 400, "bad_idempotency_key"),
        (
            b"POST //adopt HTTP/1.1\r\n" + HOST + b"Idempotency-Key: 1\r\n\r\n",
            503,
            "claim_unavailable",
        ),
    ],
)
def test_bad_input_is_refused_as_not_run(request_bytes: bytes, status: int, reason: str) -> None:
    """Guards against refusals without outcome, reason or counter.

    It also checks that no invalid request is forwarded to the upstream.
    """

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(OK)) as upstream,
            run_entry([upstream.address]) as entry,
        ):
            head, body = await entry.exchange(request_bytes)
            assert head.startswith(b"HTTP/1.1 %d " % status)
            assert get_field(head, "X-Request-Outcome") == ["not-run"]
            assert get_field(head, "X-Outcome-Reason") == [reason]
            assert body == f"not-run: {reason}\n".encode()
            assert entry.process.counters.get(f"reason.{reason}") == 1
            assert upstream.connections == 0

    asyncio.run(check())


def test_requests_before_any_settings_are_not_run() -> None:
    """Guards against a process without settings that delays callers or reports readiness."""

    async def check() -> None:
        async with run_entry([], has_settings=False) as entry:
            head, _body = await entry.exchange(make_request())
            assert entry.process.get_unready_reason() == "no settings in force"
        assert head.startswith(b"HTTP/1.1 503 ")
        assert get_field(head, "X-Outcome-Reason") == ["no_configuration"]
        assert int(get_field(head, "Retry-After")[0]) >= 1

    asyncio.run(check())


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LENGTH_9 = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"


@pytest.mark.parametrize(
    ("response", "closes", "reason"),
    [
        (b"", True, "upstream_failed"),
        # libcurl reports these two like a connection that closes without a response.
        (b"HTTP/1.1 200", True, "upstream_failed"),
        (b"HTTP/1.1 100 Continue\r\n\r\n", True, "upstream_failed"),
        (b"HTTP/1.1 200 OK\r\nContent-Le", True, "truncated_answer"),
        (LENGTH_9 + b"hay", True, "truncated_answer"),
        (LENGTH_9 + b"hay", False, "stalled_stream"),
        (LENGTH_9 + b"hay hay hay", False, "malformed_answer"),
        (CHUNKED + b"3\r\nhay\r\n", True, "truncated_answer"),
        (CHUNKED + b"3\r\nhay\r\nzz\r\n", False, "malformed_answer"),
        (CHUNKED + b"3\r\nhayhay", False, "malformed_answer"),
        (CHUNKED + b"3\r\nhay\r\n", False, "stalled_stream"),
        (b"hay", True, "malformed_answer"),
        (b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", True, "malformed_answer"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", True, None),
        (LENGTH_9[:-2] + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", True, None),
        (b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", True, "malformed_answer"),
        (b"HTTP/1.1 200 OK\r\nA: " + b"x" * 400_000 + b"\r\n\r\n", True, "malformed_answer"),
    ],
)
def test_faulty_response_never_looks_complete(
    response: bytes, closes: bool, reason: str | None
) -> None:
    """Guards against a faulty response that looks complete, and a POST that is resent after it."""
    reason = reason or "malformed_answer"
    posts = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal posts
        await read_message(reader)
        posts += 1
        writer.write(response)
        await writer.drain()
        if not closes:
            await reader.read()

    async def check() -> None:
        async with ScriptedUpstream(script) as upstream, run_entry([upstream.address]) as entry:
            data, was_reset = await entry.read_all(
                make_request("POST", "/", "Connection: close", body=b"donkey")
            )
            counters = entry.process.counters
            assert counters.get(f"reason.{reason}") == 1
            assert counters.get("outcome.unknown") == 1
        head, _, body = data.partition(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 200"):
            assert was_reset
            assert not body.endswith(b"0\r\n\r\n")
        elif head:
            assert get_field(head, "X-Request-Outcome") == ["unknown"]
            assert get_field(head, "X-Outcome-Reason") == [reason]
        else:
            assert was_reset
        assert posts == 1

    asyncio.run(check())


def test_extra_bytes_do_not_reach_the_next_request() -> None:
    """Guards against excess bytes of one response that are taken for the start of the next."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _body = await read_message(reader)
            path = head.split()[1]
            writer.write(
                CHUNKED + b"%x\r\n%b\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\nX" % (len(path), path)
            )

    async def check() -> None:
        async with ScriptedUpstream(script) as upstream, run_entry([upstream.address]) as entry:
            for number in range(20):
                _head, body = await entry.exchange(make_request("GET", f"/{number}"))
                assert body == b"/%d" % number
                await asyncio.sleep(0.002)

    asyncio.run(check())


def test_refusal_by_one_upstream_is_retried_at_another() -> None:
    """Guards against a POST that fails although the upstream stated that it was not run."""
    refusal = b"HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\nContent-Length: 2\r\n\r\nno"

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(refusal)) as first,
            ScriptedUpstream(respond(refusal)) as second,
            ScriptedUpstream(respond(OK)) as third,
            run_entry([first.address, second.address, third.address, "127.0.0.1:1"]) as entry,
        ):
            outcomes: list[bytes] = []
            for _ in range(8):
                head, _body = await entry.exchange(make_request("POST", "/", body=b"hay"))
                outcomes.append(head[9:12])
            counters = entry.process.counters
            retries = counters.get("retry.upstream_refused") + counters.get("retry.never_connected")
            refused = counters.get("reason.upstream_refused") + counters.get("reason.retry_budget")
        assert retries > 0
        assert outcomes.count(b"200") + refused == 8
        assert set(outcomes) <= {b"200", b"503"}

    asyncio.run(check())


def test_caller_that_leaves_cancels_the_upstream_call() -> None:
    """Guards against an upstream call that continues after the caller disconnected."""
    cancelled = asyncio.Event()

    async def wait_for_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        await reader.read()
        cancelled.set()

    async def check() -> None:
        async with (
            ScriptedUpstream(wait_for_close) as upstream,
            run_entry([upstream.address]) as entry,
        ):
            _reader, writer = await entry.connect()
            writer.write(make_request())
            await wait_for(lambda: upstream.connections == 1)
            writer.close()
            await asyncio.wait_for(cancelled.wait(), 5.0)
            assert entry.process.counters.get("reason.caller_gone") == 1
            views = json.loads(json.dumps(entry.process.get_upstreams()))
            assert [view["in_flight"] for view in views["adopt-desk"]] == [0]

    asyncio.run(check())


def test_deadline_of_the_caller_ends_the_wait() -> None:
    """Guards against a request that continues after the caller's deadline."""

    async def wait_for_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        await reader.read()

    async def check() -> None:
        async with (
            ScriptedUpstream(wait_for_close) as upstream,
            run_entry([upstream.address]) as entry,
        ):
            request = make_request("POST", "/", "X-Request-Deadline-Ms: 100", body=b"x")
            head, _body = await asyncio.wait_for(entry.exchange(request), 2.0)
        assert head.startswith(b"HTTP/1.1 504 ")
        assert get_field(head, "X-Outcome-Reason") == ["timeout"]

    asyncio.run(check())


def test_incomplete_refusal_does_not_delay_the_request() -> None:
    """Guards against a request that waits for the body of a refusal from a stalled upstream."""

    async def stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\nContent-Length: 9\r\n\r\n")
        await reader.read()

    async def check() -> None:
        async with ScriptedUpstream(stall) as upstream, run_entry([upstream.address]) as entry:
            request = make_request("POST", "/", body=b"hay")
            head, _body = await asyncio.wait_for(entry.exchange(request), 2.0)
        assert get_field(head, "X-Request-Outcome") == ["not-run"]

    asyncio.run(check())
