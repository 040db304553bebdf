"""Tests of responses without end from upstreams, the store and other hosts."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest
from result import Err, Result

from amaranthbend.adapters.change_relay import ChangeRelayClient
from amaranthbend.adapters.http_client import MAX_RESPONSE_BYTES, make_http_client
from amaranthbend.adapters.metrics import Counters
from amaranthbend.adapters.platform import PlatformClient
from amaranthbend.platform.store import StoreClient
from standins.processes import pick_endpoint, pick_network

from .entry_cases import ScriptedUpstream, make_request, read_message, run_entry

FILLER = b"x" * 64 * 1024
FRAMINGS = {
    "chunked": (b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + FILLER + b"\r\n"),
    "until the connection closes": (b"Connection: close\r\n\r\n", FILLER),
    "long": (b"Content-Length: 99999999999\r\n\r\n", FILLER),
    "header": (b"X-More: ", FILLER),
}
# Data that the kernel's socket buffers hold beside the limit of the client.
SOCKET_BUFFER_BYTES = 16 * 1024 * 1024


@contextlib.asynccontextmanager
async def run_endless_server(framing: str) -> AsyncIterator[tuple[str, list[int]]]:
    """Run a server that never ends its response; yield its address and the bytes sent."""
    head, piece = FRAMINGS[framing]
    sent = [0]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n" + head)
            while True:
                writer.write(piece)
                await writer.drain()
                sent[0] += len(piece)
                await asyncio.sleep(0)

    address = f"{pick_network()}.1"
    port = pick_endpoint(address).port
    server = await asyncio.start_server(serve, address, port)
    try:
        yield f"{address}:{port}", sent
    finally:
        server.close()


@pytest.mark.parametrize("framing", sorted(FRAMINGS))
@pytest.mark.parametrize("caller", ["list", "watch", "peer", "platform"])
def test_response_without_end_fills_no_memory(caller: str, framing: str) -> None:
    """Guards against a store or peer whose response fills the memory until the timeout."""

    async def fetch(address: str) -> Result[object, object]:
        if caller == "peer":
            return await ChangeRelayClient().fetch(address, "config", 1)
        if caller == "platform":
            http_client = make_http_client()
            platform = PlatformClient(f"http://{address}", http_client, Counters(), 100, 100)
            return await platform.get("k", "a")
        client = StoreClient(address)
        if caller == "watch":
            return await client.watch_objects("config", 1, 1.0)
        return await client.list_objects("config")

    async def check() -> None:
        async with run_endless_server(framing) as (address, sent):
            started_at = time.monotonic()
            result = await fetch(address)
            assert isinstance(result, Err)
            assert time.monotonic() - started_at < 3.0
            assert sent[0] < MAX_RESPONSE_BYTES + SOCKET_BUFFER_BYTES

    asyncio.run(check())


def test_stream_without_end_is_reset_at_the_callers_deadline() -> None:
    """Guards against an upstream that occupies a caller and an entry process without limit."""
    head, piece = FRAMINGS["chunked"]

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n" + head)
        while True:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)

    async def check() -> None:
        async with ScriptedUpstream(script) as upstream, run_entry([upstream.address]) as entry:
            started_at = time.monotonic()
            request = make_request("GET", "/", "X-Request-Deadline-Ms: 700")
            data, was_reset = await entry.read_all(request)
            assert was_reset
            assert 0.6 < time.monotonic() - started_at < 1.5
            assert len(data) > len(FILLER)
            assert not data.endswith(b"0\r\n\r\n")

    asyncio.run(check())
