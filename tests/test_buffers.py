"""Tests of the memory limit for buffered bodies."""

import asyncio
import contextlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.adapters.body import STREAM_BUFFER_BYTES
from amaranthbend.core.buffers import BufferBudget
from amaranthbend.core.errors import SettingsError
from amaranthbend.platform.settings import load_node_settings

from .entry_cases import OK, Entry, ScriptedUpstream, respond, run_entry, wait_for
from .test_platform_adapter import SETTINGS

UPLOAD_BYTES = 48 * 1024
# Room for two uploads, but not for a third one.
LIMIT_BYTES = 2 * UPLOAD_BYTES + UPLOAD_BYTES // 2
# More than the sockets of a connection hold.
LARGE_RESPONSE_BYTES = 32 * 1024 * 1024


def make_upload(size: int, framing: str = "length") -> bytes:
    """Return the head of a request with a body of a size."""
    line = f"Content-Length: {size}" if framing == "length" else "Transfer-Encoding: chunked"
    return f"POST /x HTTP/1.1\r\nHost: a\r\n{line}\r\n\r\n".encode()


def encode_body(size: int, framing: str) -> bytes:
    """Return a body without its last byte, or without its last chunk."""
    if framing == "length":
        return b"x" * (size - 1)
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


@contextlib.asynccontextmanager
async def hold_uploads(entry: Entry, count: int, framing: str = "length"):  # noqa: ANN201
    """Keep uploads open whose last byte is missing."""
    writers = []
    for _ in range(count):
        _, writer = await entry.connect()
        writer.write(make_upload(UPLOAD_BYTES, framing) + encode_body(UPLOAD_BYTES, framing))
        writers.append(writer)
    await wait_for(lambda: entry.process.chain.buffers.reserved_bytes >= count * UPLOAD_BYTES)
    try:
        yield
    finally:
        for writer in writers:
            writer.close()


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_upload_without_memory_is_refused_at_once(framing: str) -> None:
    """Guards against a process that is killed because many slow uploads fill its memory."""

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(OK)) as upstream,
            run_entry([upstream.address], buffered_bytes=LIMIT_BYTES) as entry,
        ):
            async with hold_uploads(entry, 2, framing):
                head, _ = await entry.exchange(make_upload(UPLOAD_BYTES))
                assert head.startswith(b"HTTP/1.1 503")
                assert b"buffers_full" in head
                assert upstream.connections == 0
                small, _ = await entry.exchange(make_upload(2) + b"ab")
                assert small.startswith(b"HTTP/1.1 200")
            await wait_for(lambda: entry.process.chain.buffers.reserved_bytes == 0)
            body = b"x" * UPLOAD_BYTES
            head, _ = await entry.exchange(make_upload(UPLOAD_BYTES) + body)
            assert head.startswith(b"HTTP/1.1 200")
            assert entry.process.chain.buffers.reserved_bytes == 0

    asyncio.run(check())


def test_large_upload_is_streamed_if_it_cannot_be_buffered() -> None:
    """Guards against refusing an upload for which a part of its size would be enough memory."""
    size = 4 * STREAM_BUFFER_BYTES

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(OK)) as upstream,
            run_entry(
                [upstream.address], buffered_bytes=2 * STREAM_BUFFER_BYTES, held_body_bytes=size
            ) as entry,
        ):
            head, _ = await entry.exchange(make_upload(size) + b"x" * size)
            assert head.startswith(b"HTTP/1.1 200")
            assert entry.process.chain.buffers.reserved_bytes == 0

    asyncio.run(check())


def test_unread_responses_count_until_their_callers_are_gone() -> None:
    """Guards against memory that fills with responses which callers do not read."""
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_RESPONSE_BYTES

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(response + b"x" * LARGE_RESPONSE_BYTES)) as upstream,
            run_entry([upstream.address], stall_timeout_s=30.0) as entry,
        ):
            buffers = entry.process.chain.buffers
            writers = []
            for _ in range(2):
                reader, writer = await entry.connect()
                writer.transport.pause_reading()
                writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
                writers.append(writer)
            await wait_for(lambda: buffers.reserved_bytes > 0)
            for writer in writers:
                writer.transport.abort()
            await wait_for(lambda: buffers.reserved_bytes == 0)

    asyncio.run(check())


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 50)), max_size=40))
def test_budget_never_exceeds_its_limit(events: list[tuple[bool, int]]) -> None:
    """Guards against reservations that add up to more than the limit, or that are lost."""
    budget = BufferBudget(100)
    reserved: list[int] = []
    for is_release, size in events:
        if is_release and reserved:
            budget.release(reserved.pop())
            continue
        fits = sum(reserved) + size <= 100
        assert budget.reserve(size) == fits
        if fits:
            reserved.append(size)
        assert budget.reserved_bytes == sum(reserved) <= 100


def test_too_little_memory_is_reported_at_the_start(tmp_path: Path) -> None:
    """Guards against a process that starts with less memory than it needs itself."""
    file = tmp_path / "settings.toml"
    file.write_text(SETTINGS + "[self.limits]\nmemoryMb = 20\n")
    with pytest.raises(SettingsError, match="20 MB is too little"):
        load_node_settings(str(file))
    file.write_text(SETTINGS + "[self.limits]\nmemoryMb = 300\n")
    assert load_node_settings(str(file)).memory_bytes == 300_000_000
