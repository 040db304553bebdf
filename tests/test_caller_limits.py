"""Decisions on callers outside the limits, and their effect on a node process."""

import asyncio
import contextlib
import errno
import socket
import struct
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.adapters.body import RequestBody
from amaranthbend.adapters.pipelining import MAX_PIPELINED_REQUESTS
from amaranthbend.core.buffers import BufferBudget
from amaranthbend.core.connections import (
    CONNECTION_BYTES,
    CallerLimits,
    ConnectionStage,
    ConnectionView,
    choose_for_connection,
    choose_for_memory,
    compute_max_connections,
)
from amaranthbend.platform.documents import decode_configuration
from amaranthbend.programs.listener import CallerListener, open_listener
from standins.instance import Instance
from standins.node_caller import exchange_upload, make_call, make_configuration, read_answer
from standins.node_program import NodeProgram
from standins.processes import pick_endpoint

from .node_cases import ADDRESS, NodeCase, run_node, wait_until
from .program_cases import run_program

NOW = 100.0
UPLOAD_BYTES = 100_000
# Room for two uploads, but not for a third one.
LIMIT_BYTES = 250_000
# A link of 5 Mbit/s that several uploads share.
LINK_BYTES_PER_S = 5_000_000 / 8
SLOW_UPLOADS = 10
SLOW_UPLOAD_S = 4.0
STAGES = st.sampled_from(list(ConnectionStage))


def make_view(
    stage: ConnectionStage,
    number: int = 1,
    age_s: float = 0.0,
    held_bytes: int = 0,
    moved_bytes: int = 0,
    address: str = "127.0.0.1",
) -> ConnectionView:
    """Return a connection without progress for a time."""
    started_at = NOW - max(age_s, 1.0)
    return ConnectionView(number, address, stage, started_at, NOW - age_s, held_bytes, moved_bytes)


VIEWS = st.lists(
    st.builds(
        make_view,
        STAGES,
        st.integers(1, 100),
        st.floats(0, 60),
        st.integers(0, 1000),
        st.integers(0, 10**6),
    ),
    max_size=12,
)


def test_silent_connections_make_way_before_idle_ones() -> None:
    """Guards against a kept connection that is closed for one that never sends."""
    silent = make_view(ConnectionStage.SILENT, 2, age_s=2.0)
    idle = make_view(ConnectionStage.IDLE, 1, age_s=14.0)
    assert choose_for_connection([idle, silent], 8, NOW) == [silent]
    assert choose_for_connection([idle], 8, NOW) == [idle]


def test_bodies_that_make_progress_keep_their_connections() -> None:
    """Guards against honest uploads that are cut off for new connections."""
    active = [make_view(ConnectionStage.BODY, number, age_s=0.5) for number in range(4)]
    stalled = make_view(ConnectionStage.BODY, 9, age_s=4.0)
    assert choose_for_connection(active, 8, NOW) == []
    assert choose_for_connection([*active, stalled], 8, NOW) == [stalled]


def test_bodies_do_not_take_all_connections() -> None:
    """Guards against bodies that trickle and leave no connection to ordinary callers."""
    bodies = [
        make_view(ConnectionStage.BODY, number, age_s=0.1, moved_bytes=number * 1000)
        for number in range(1, 9)
    ]
    assert choose_for_connection(bodies, 8, NOW) == [bodies[0]]


def test_caller_with_many_connections_loses_one_first() -> None:
    """Guards against a caller whose connections push out those of all others."""
    single = make_view(ConnectionStage.SILENT, 1, age_s=3.0, address="127.0.0.2")
    many = [make_view(ConnectionStage.SILENT, number, age_s=2.0) for number in range(2, 6)]
    assert choose_for_connection([single, *many], 8, NOW) == [many[0]]


def test_large_body_displaces_only_what_has_stalled() -> None:
    """Guards against uploads that push out each other, so that none is ever complete."""
    active = make_view(ConnectionStage.BODY, 1, age_s=0.5, held_bytes=100)
    stalled = make_view(ConnectionStage.BODY, 2, age_s=4.0, held_bytes=100)
    views = [active, stalled]
    assert choose_for_memory(views, 100, NOW, is_large_body=True) == [stalled]
    assert choose_for_memory(views, 150, NOW, is_large_body=True) == []
    assert choose_for_memory(views, 150, NOW, is_large_body=False) == [stalled, active]


@given(VIEWS, st.integers(1, 3000), st.booleans())
def test_running_requests_are_never_displaced(
    views: list[ConnectionView], needed: int, is_large_body: bool
) -> None:
    """Guards against a request that was passed on and is cut off for another."""
    kept = (ConnectionStage.RUNNING, ConnectionStage.STREAMED_BODY)
    chosen = choose_for_memory(views, needed, NOW, is_large_body=is_large_body)
    for view in chosen:
        assert view.stage is not ConnectionStage.RUNNING
        assert view.stage is not ConnectionStage.STREAMED_BODY or view.is_stalled(NOW)
    assert not chosen or sum(view.held_bytes for view in chosen) >= needed
    assert not any(view.stage in kept for view in choose_for_connection(views, 8, NOW))


def test_connections_leave_descriptors_and_memory_to_others() -> None:
    """Guards against a limit above the descriptors or memory of a host."""
    for descriptors, memory_mb in ((256, 64), (1535, 152), (4100, 200), (8192, 552)):
        count = compute_max_connections(descriptors, memory_mb * 1_000_000)
        assert 3 * count < descriptors
        assert count * CONNECTION_BYTES < memory_mb * 1_000_000 / 2
    # A host of the deployments gets about 3 requests per second.
    assert compute_max_connections(1535, 152_000_000) > 300


def test_large_bodies_leave_room_to_others() -> None:
    """Guards against heads and responses that are refused because of uploads."""
    budget = BufferBudget(800)
    assert budget.reserve(700, is_large_body=True)
    assert not budget.reserve(1, is_large_body=True)
    assert budget.reserve(100)


def test_limits_of_the_configuration_are_read() -> None:
    """Guards against callers inside the limits that are closed by built-in times."""
    configuration = make_configuration()
    configuration["limits"] |= {"headerTimeout": "30s", "idleTimeout": "60s"}
    limits = decode_configuration(configuration).policy.caller_limits
    assert limits.longest_head_s > 30
    assert limits.reusable_idle_s == 48
    configuration["limits"] |= {"headerTimeout": "soon", "idleTimeout": 0}
    decoded = decode_configuration(configuration)
    assert decoded.policy.caller_limits.header_timeout_s == CallerLimits().header_timeout_s
    assert decoded.faults


@given(st.lists(st.integers(1, 40_000), max_size=12), st.lists(st.integers(1, 70_000)))
def test_body_keeps_its_bytes_whatever_the_pieces(pieces: list[int], reads: list[int]) -> None:
    """Guards against small pieces that take many times their size, and lost or mixed bytes."""
    content = b"".join(bytes([number % 256]) * size for number, size in enumerate(pieces))
    body = RequestBody(None)
    position = 0
    for size in pieces:
        body.append(content[position : position + size])
        position += size
    assert len(body._chunks) <= len(content) // 16_384 + len(
        [size for size in pieces if size >= 16_384]
    )
    body.set_complete()
    received = b""
    for size in [*reads, *[50_000] * (len(content) // 50_000 + 14)]:
        received += body.read(size) or b""
    assert received == content


def test_discarded_body_never_looks_complete() -> None:
    """Guards against an upstream that runs a request with the part of its body that it got."""
    body = RequestBody(None)
    body.append(b"x" * 10)
    body.set_complete()
    body.discard()
    assert body.read(100) is None


class ExhaustedListener(CallerListener):
    """Listener of a process whose only free descriptor is the spare one."""

    def _accept(self) -> object:
        if self._spare_descriptor >= 0:
            raise OSError(errno.EMFILE, "too many open files")
        return super()._accept()  # type: ignore[misc]


def test_connection_without_descriptor_leaves_the_queue() -> None:
    """Guards against a loop that accepts at once again while no descriptor is free."""
    errors: list[OSError] = []
    with ExhaustedListener() as listener:
        listener.on_exhaustion = errors.append
        listener.setblocking(False)
        listener.bind((ADDRESS, 0))
        listener.listen(4)
        with socket.create_connection(listener.getsockname(), timeout=5) as caller:
            with pytest.raises(ConnectionAbortedError):
                listener.accept()
            assert caller.recv(1) == b""
        assert errors
        with pytest.raises(BlockingIOError):
            listener.accept()


def test_receive_buffers_of_callers_are_small() -> None:
    """Guards against bytes that wait in the kernel beyond the memory counted for connections."""
    address = f"{ADDRESS}:{pick_endpoint(ADDRESS).port}"
    with open_listener(address) as listener:
        with socket.create_connection(listener.getsockname(), timeout=5) as caller:
            listener.setblocking(True)
            connection, _ = listener.accept()
            caller.settimeout(0.2)
            with contextlib.suppress(TimeoutError):
                caller.sendall(b"x" * 64 * 1024 * 1024)
            size = connection.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            connection.close()
        assert size < CONNECTION_BYTES


async def start_upload(
    case: NodeCase, request_id: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send an upload whose last byte is missing; return its connection."""
    reader, writer = await case.connect()
    head = make_call("/unsafe/x", "GET", request_id, 6000).replace(b"GET", b"POST")
    line = f"\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n".encode()
    writer.write(head.replace(b"\r\n\r\n", line) + b"x" * (UPLOAD_BYTES - 1))
    await writer.drain()
    return reader, writer


def test_ordinary_request_displaces_an_incomplete_body() -> None:
    """Guards against bodies that do not end and take the memory of ordinary requests.

    A displaced body was not passed on, and its refusal says so.
    """

    async def check(case: NodeCase) -> None:
        buffers = case.process.chain.buffers
        buffers.set_limit(LIMIT_BYTES)
        held = [await start_upload(case, f"held{number}") for number in range(2)]
        await wait_until(lambda: buffers.reserved_bytes >= 2 * UPLOAD_BYTES)
        large_reader, large_writer = await start_upload(case, "large")
        large = await read_answer(large_reader)
        assert large.status == 503
        assert large.fields["x-outcome-reason"] == "buffers_full"
        reader, writer = await case.connect()
        fields = "".join(f"\r\nX-{number}: x" for number in range(300)).encode()
        request = make_call("/safe/x", "GET", "ordinary", 1500)
        writer.write(request.replace(b"\r\n\r\n", fields + b"\r\n\r\n"))
        assert (await read_answer(reader)).status == 200
        await asyncio.sleep(0.1)
        displaced = [reader for reader, _ in held if reader._buffer]  # type: ignore[attr-defined]
        assert len(displaced) == 1
        answer = await read_answer(displaced[0])
        assert answer.status == 503
        assert answer.fields["x-request-outcome"] == "not-run"
        assert case.count_executions("ordinary") == 1
        assert not any(case.count_executions(f"held{number}") for number in range(2))
        for open_writer in (writer, large_writer, *(held_writer for _, held_writer in held)):
            open_writer.close()

    run_node(check)


def test_silent_connections_leave_room_for_ordinary_callers() -> None:
    """Guards against callers that take all connections and send nothing."""

    async def check(case: NodeCase) -> None:
        guard = case.process.chain.guard
        guard.max_connections = 8
        silent = [await case.connect() for _ in range(30)]
        assert (await case.call("/safe/x")).status == 200
        assert case.process.server.count_connections() <= guard.max_connections + 1
        assert case.process.counters.get("callers.connections.silent") > 0
        for _, writer in silent:
            writer.close()

    run_node(check)


def test_pipelined_requests_end_with_their_caller() -> None:
    """Guards against requests that run for a caller that has left, and hold their upstreams.

    tornado still passes on the requests that it had read. Their responses waited for the caller,
    until each connection to the upstream was in use. Those within the limit of a connection run at
    the same time and are cancelled; those behind it must not run.
    """

    async def check(case: NodeCase) -> None:
        _reader, writer = await case.connect()
        for number in range(MAX_PIPELINED_REQUESTS + 4):
            writer.write(make_call("/safe/slow", "GET", f"p{number}", 1500))
        await wait_until(lambda: case.count_executions(f"p{MAX_PIPELINED_REQUESTS - 1}") > 0)
        connection = writer.get_extra_info("socket")
        # A reset, which the process notices when it writes the first response.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        await wait_until(lambda: case.process.server.count_connections() == 0)
        await wait_until(lambda: not any(instance.running for instance in case.instances))
        behind = range(MAX_PIPELINED_REQUESTS, MAX_PIPELINED_REQUESTS + 4)
        assert not any(case.count_executions(f"p{number}") for number in behind)

    run_node(check)


def test_head_without_end_is_given_up(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against heads that trickle and hold a connection for as long as they like."""

    async def check(case: NodeCase) -> None:
        guard = case.process.chain.guard
        reader, writer = await case.connect()
        writer.write(b"GET /safe/x HTTP/1.1\r\nHost: sh")
        await wait_until(lambda: any(s.head_started_at for s in guard._streams.values()))
        loop_now = asyncio.get_running_loop().time()
        guard.sweep(loop_now)
        assert not reader.at_eof()
        guard.sweep(loop_now + guard.limits.longest_head_s + 1)
        assert await asyncio.wait_for(reader.read(), 5) == b""
        assert case.process.counters.get("callers.head_timeout.head") == 1
        writer.close()

    run_node(check)


def test_pressure_is_visible(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against limits that operators cannot see, and a log line for each closed caller."""

    async def check(case: NodeCase) -> None:
        guard = case.process.chain.guard
        guard.max_connections = 8
        silent = [await case.connect() for _ in range(30)]
        await wait_until(lambda: case.process.counters.get("callers.connections.silent") > 5)
        now = asyncio.get_running_loop().time()
        with caplog.at_level("INFO"):
            guard.sweep(now)
            await case.connect()
            guard.sweep(now + 0.1)
        lines = [line for line in caplog.messages if "event=callers_limited" in line]
        assert len(lines) == 1
        assert "max_connections=8" in lines[0]
        assert "connections.silent:" in lines[0]
        page = case.process.request_log._page.render().decode()
        assert "amaranthbend_caller_connections_limit 8.0" in page
        assert "amaranthbend_buffered_bytes 0.0" in page
        for _, writer in silent:
            writer.close()

    run_node(check)


def test_slow_uploads_are_served_in_calm(tmp_path: Path) -> None:
    """Guards against limits that refuse callers on a thin link inside the limits."""

    async def check(program: NodeProgram, instance: Instance) -> None:
        size = int(LINK_BYTES_PER_S * SLOW_UPLOAD_S / SLOW_UPLOADS)

        async def upload(number: int) -> int:
            reader, writer = await program.connect()
            answer = await exchange_upload(
                reader,
                writer,
                "/unsafe/up",
                f"slow{number}",
                b"x" * size,
                chunked=number % 2 == 0,
                duration_s=SLOW_UPLOAD_S,
                deadline_ms=20_000,
            )
            writer.close()
            return answer.status

        instance.slots = SLOW_UPLOADS
        statuses = await asyncio.gather(*(upload(number) for number in range(SLOW_UPLOADS)))
        assert statuses == [200] * SLOW_UPLOADS
        assert len(instance.ran) == SLOW_UPLOADS

    limits = "\n[self.limits]\nmemoryMb = 152\nfileDescriptors = 1535\n"
    configuration = make_configuration(timeout="20s")
    run_program(tmp_path, check, settings=limits, configuration=configuration)
