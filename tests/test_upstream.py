"""Unit tests of the upstream client."""

import asyncio

import pytest

from amaranthbend.adapters.calls import MAX_HEAD_BYTES, CallEnd, EndKind, UpstreamRequest
from amaranthbend.adapters.headers import ResponseHead
from amaranthbend.adapters.upstream import UpstreamClient
from amaranthbend.core.outcomes import OutcomeReason

from .entry_cases import OK, WAIT_S, ScriptedUpstream, read_message, wait_for


class Recorder:
    """Response handler that stores everything."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.data = b""
        self.end: CallEnd | None = None

    def is_own_response(self, head: ResponseHead) -> bool:
        """Accept every response."""
        return True

    def deliver(self, head: ResponseHead | None, data: bytes, end: CallEnd | None) -> bool:
        """Store the delivered data."""
        self.head = head or self.head
        self.data += data
        self.end = end or self.end
        return True


async def call(
    client: UpstreamClient, address: str, *, idempotent: bool, body: bytes | None = None
) -> Recorder:
    """Run one call and return its recorded response."""
    recorder = Recorder()
    method = "GET" if body is None else "POST"
    request = UpstreamRequest(
        address, method, b"/", [b"Host: a"], body, None, None, idempotent, WAIT_S
    )
    client.start(request, recorder)
    await wait_for(lambda: recorder.end)
    return recorder


@pytest.mark.parametrize(("is_protected", "sends"), [(True, 1), (False, 2)])
def test_libcurl_never_sends_a_request_twice(is_protected: bool, sends: int) -> None:
    """Guards against an adoption that runs twice.

    libcurl repeats a request by itself, even a POST, when a reused connection closes before the
    first byte of the response. The second case shows that this happens without the protection.
    """
    adoptions: list[bytes] = []

    async def count_posts(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head, body = await read_message(reader)
        if head.startswith(b"GET"):
            writer.write(OK)
            head, body = await read_message(reader)
        adoptions.append(body)

    async def check() -> None:
        client = UpstreamClient(force_instance=True, prevents_resend=is_protected)
        async with ScriptedUpstream(count_posts) as upstream:
            await call(client, upstream.address, idempotent=True)
            result = await call(client, upstream.address, idempotent=False, body=b"donkey 7")
        client.close()
        assert result.end is not None
        assert result.end.kind is EndKind.FAILED
        assert adoptions == [b"donkey 7"] * sends

    asyncio.run(check())


def test_second_send_is_aborted_on_a_reused_connection() -> None:
    """Guards against a retry by libcurl, even of a GET, that bypasses retry budget and counters."""
    received: list[bytes] = []

    async def close_on_reuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.append((await read_message(reader))[0])
        writer.write(OK)
        received.append((await read_message(reader))[0])

    async def check() -> None:
        client = UpstreamClient(force_instance=True)
        async with ScriptedUpstream(close_on_reuse) as upstream:
            await call(client, upstream.address, idempotent=True)
            result = await call(client, upstream.address, idempotent=True)
        client.close()
        assert result.end is not None
        assert result.end.kind is EndKind.FAILED
        assert len(received) == 2

    asyncio.run(check())


def test_environment_proxies_redirects_and_compression_stay_unused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against libcurl's defaults, which could redirect requests or decode bodies."""
    monkeypatch.setenv("http_proxy", "http://127.0.0.1:1")
    monkeypatch.setenv("ALL_PROXY", "http://127.0.0.1:1")
    response = (
        b"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n"
        b"Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nraw"
    )

    async def redirect(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(response)

    async def check() -> None:
        client = UpstreamClient(force_instance=True)
        async with ScriptedUpstream(redirect) as upstream:
            result = await call(client, upstream.address, idempotent=True)
        client.close()
        assert result.head is not None
        assert (result.head.status, result.data) == (302, b"raw")

    asyncio.run(check())


def test_calls_run_at_once() -> None:
    """Guards against the limit of tornado's client, which queues all but ten requests."""
    count = 60
    gate = asyncio.Event()

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        await gate.wait()
        writer.write(OK)

    async def check() -> None:
        client = UpstreamClient(force_instance=True)
        async with ScriptedUpstream(hold) as upstream:
            calls = [
                asyncio.ensure_future(call(client, upstream.address, idempotent=True))
                for _ in range(count)
            ]
            await wait_for(lambda: upstream.connections == count)
            gate.set()
            results = await asyncio.gather(*calls)
        client.close()
        assert all(result.data == b"ok" for result in results)

    asyncio.run(check())


def test_unreachable_upstream_is_never_connected() -> None:
    """Guards against the outcome "unknown" for a request that was never sent."""

    async def check() -> None:
        client = UpstreamClient(force_instance=True)
        result = await call(client, "127.0.0.1:1", idempotent=False, body=b"x")
        client.close()
        reason = OutcomeReason.UPSTREAM_UNREACHABLE
        assert result.end is not None
        assert (result.end.kind, result.end.reason) == (EndKind.NEVER_CONNECTED, reason)

    asyncio.run(check())


@pytest.mark.parametrize("piece", [b"X-More: 0123456789\r\n", b"HTTP/1.1 103 Hints\r\n\r\n"])
def test_head_beyond_its_limit_is_no_response(piece: bytes) -> None:
    """Guards against a head that is kept in memory for as long as a faulty upstream sends it.

    All lines are short: it depends on the version of libcurl whether their number is limited.
    """

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        lines = piece * (MAX_HEAD_BYTES // len(piece) + 1)
        start = b"" if piece.startswith(b"HTTP/") else b"HTTP/1.1 200 OK\r\n"
        end = b"HTTP/1.1 200 OK\r\n" if not start else b""
        writer.write(start + lines + end + b"Content-Length: 0\r\n\r\n")
        await writer.drain()

    async def check() -> None:
        client = UpstreamClient(force_instance=True)
        async with ScriptedUpstream(script) as upstream:
            recorder = await call(client, upstream.address, idempotent=False)
        assert recorder.end is not None
        assert recorder.end.kind is EndKind.FAILED
        assert recorder.end.reason is OutcomeReason.MALFORMED_ANSWER
        assert recorder.head is None

    asyncio.run(check())
