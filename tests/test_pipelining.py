"""Requests that a caller sends ahead on one connection, over real connections to a node."""

import asyncio
import socket
import time

import pytest

from amaranthbend.adapters.addresses import split_address
from amaranthbend.adapters.pipelining import MAX_HELD_BYTES, MAX_PIPELINED_REQUESTS
from amaranthbend.programs.node_process import MAX_HEADER_BYTES
from standins.node_caller import Answer, make_call, make_configuration, read_answer

from .entry_cases import ScriptedUpstream, make_request, read_message, run_entry
from .node_cases import NodeCase, run_node, wait_until
from .test_identity import NORTH_KEY, make_keyed_call, make_teams, put_in_force

DEADLINE_MS = 5000
LARGE_BODY = b"r" * 300_000
# Larger than what is buffered of a response, so that it is streamed.
STREAMED_BODY = b"s" * 4_000_000
GARBAGE = b"\x00\x01 garbage\r\n\r\n"
OVERSIZED = b"GET /safe/x HTTP/1.1\r\nX-Long: " + b"a" * (MAX_HEADER_BYTES + 1)


def make_calls(*paths: str, deadline_ms: int = DEADLINE_MS) -> bytes:
    """Return the bytes of requests r0, r1 and so on; those below `/unsafe/` have a body."""
    return b"".join(
        make_call(path, "POST" if "/unsafe/" in path else "GET", f"r{number}", deadline_ms)
        for number, path in enumerate(paths)
    )


def list_ran(case: NodeCase) -> list[str]:
    """Return the ids of the requests that ran, sorted."""
    return sorted(ran[0] for entry in case.instances for ran in entry.ran)


def list_cancelled(case: NodeCase) -> list[str]:
    """Return the ids of the requests that were cancelled at the instances, sorted."""
    return sorted(name for entry in case.instances for name in entry.cancelled)


def count_running(case: NodeCase) -> int:
    """Return the number of requests that run at the same time."""
    return sum(entry.running for entry in case.instances)


async def connect_slowly(case: NodeCase) -> socket.socket:
    """Return a connection on which most of a response remains in the buffers of the node."""
    connection = socket.socket()
    # With the large segments of loopback the kernel would take the whole response.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    connection.setblocking(False)
    address = split_address(case.process.settings.caller_address)
    await asyncio.get_running_loop().sock_connect(connection, address)
    return connection


async def use_single_attempts(case: NodeCase) -> None:
    """Let each request run once, without a hedge, for up to 4 s."""
    await put_in_force(case, make_configuration(2, attempts=1, timeout="4s"))


async def read_ids(reader: asyncio.StreamReader, count: int) -> list[str]:
    """Return the ids in the next responses, their status in place of an id if they have none."""
    answers = [await read_answer(reader) for _ in range(count)]
    return [get_id(answer) for answer in answers]


def get_id(answer: Answer) -> str:
    """Return the request id in the body of a response, or its status."""
    return answer.body.decode().split()[-1] if answer.status == 200 else str(answer.status)


def test_requests_behind_a_slow_one_run_meanwhile() -> None:
    """Guards against requests that wait for a slow one before them, and answers out of order."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/slow", "/safe/x", "/safe/x"))
        await wait_until(lambda: list_ran(case) == ["r0", "r1", "r2"])
        await wait_until(lambda: count_running(case) == 1)
        assert case.process.server.count_requests() == 3
        assert await read_ids(reader, 3) == ["r0", "r1", "r2"]
        assert case.process.server.count_requests() == 0
        assert case.process.chain.buffers.reserved_bytes == 0
        # The connection stays in use.
        writer.write(make_calls("/safe/x"))
        assert await read_ids(reader, 1) == ["r0"]
        assert case.process.counters.get("pipelining.ahead") == 2
        assert case.process.counters.get("pipelining.connections") == 1
        writer.close()

    run_node(check)


def test_all_requests_of_a_connection_run_at_the_same_time() -> None:
    """Guards against slow requests that run one after the other."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        reader, writer = await case.connect()
        writer.write(make_calls(*["/safe/slow"] * 4))
        await wait_until(lambda: count_running(case) == 4)
        assert await read_ids(reader, 4) == ["r0", "r1", "r2", "r3"]
        writer.close()

    run_node(check)


def test_refusals_take_their_place_in_the_order() -> None:
    """Guards against a local refusal that overtakes responses, or stops what is behind it."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/slow", "/none/x", "/safe/x"))
        await wait_until(lambda: list_ran(case) == ["r0", "r2"])
        # None of the responses has been written.
        assert case.process.server.count_requests() == 3
        assert await read_ids(reader, 3) == ["r0", "404", "r2"]
        writer.close()

    run_node(check)


@pytest.mark.parametrize("method", ["POST", "GET"])
def test_unsafe_request_waits_and_holds_up_what_is_behind_it(method: str) -> None:
    """Guards against an unsafe request, with or without a body, that runs beside others."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        reader, writer = await case.connect()
        unsafe = make_call("/unsafe/slow", method, "r1", DEADLINE_MS)
        writer.write(make_calls("/safe/slow") + unsafe + make_calls("/safe/x"))
        await wait_until(lambda: count_running(case) == 1)
        await wait_until(lambda: case.process.counters.get("pipelining.waiting") == 1)
        assert case.count_executions("r1") == 0
        assert await read_ids(reader, 1) == ["r0"]
        await wait_until(lambda: case.count_executions("r1") == 1)
        assert count_running(case) == 1
        assert list_ran(case) == ["r0", "r1"]
        assert await read_ids(reader, 2) == ["r1", "r0"]
        assert case.count_executions("r1") == 1
        writer.close()

    run_node(check)


def test_response_with_connection_close_ends_the_sequence() -> None:
    """Guards against requests that run behind a response after which nothing can be answered."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        reader, writer = await case.connect()
        closing = make_calls("/safe/x").replace(b"Host:", b"Connection: close\r\nHost:")
        writer.write(make_calls("/safe/slow") + closing.replace(b"r0", b"r1"))
        writer.write(make_calls("/safe/x").replace(b"r0", b"r2"))
        assert await read_ids(reader, 2) == ["r0", "r1"]
        assert await reader.read() == b""
        assert list_ran(case) == ["r0", "r1"]
        writer.close()

    run_node(check)


def test_closing_response_arrives_although_input_behind_it_is_not_read() -> None:
    """Guards against a reset by the kernel that destroys a response, as its connection has input.

    The input behind the request is more than what is read with its head.
    """
    body = b"r" * 150_000

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body = body
        connection = await connect_slowly(case)
        closing = make_calls("/safe/x").replace(b"Host:", b"Connection: close\r\nHost:")
        sent = closing + make_calls(*["/safe/x"] * 3000)
        await asyncio.get_running_loop().sock_sendall(connection, sent)
        await wait_until(lambda: case.process.server.count_connections() == 0)
        reader, writer = await asyncio.open_connection(sock=connection)
        answer = await read_answer(reader)
        assert (answer.status, answer.body) == (200, body)
        assert list_ran(case) == ["r0"]
        writer.close()

    run_node(check)


def test_requests_behind_an_unexpected_close_are_cancelled() -> None:
    """Guards against work for requests whose responses can never be sent.

    Only the response shows that the connection has to be closed behind it.
    """

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body, instance.send_s, instance.sends_chunks = STREAMED_BODY, 0.2, False
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/x", "/safe/hang", "/safe/hang"))
        answer = await read_answer(reader)
        assert (answer.status, answer.body) == (200, STREAMED_BODY)
        assert await reader.read() == b""
        await wait_until(lambda: list_cancelled(case) == ["r1", "r2"])
        assert case.process.counters.get("pipelining.cancelled") == 2
        await wait_until(lambda: case.process.server.count_connections() == 0)
        assert case.process.chain.buffers.reserved_bytes == 0
        writer.close()

    run_node(check)


@pytest.mark.parametrize("input_", [GARBAGE, OVERSIZED, make_calls("/unsafe/x")])
def test_input_behind_a_closing_response_does_not_end_it(input_: bytes) -> None:
    """Guards against a streamed response that is cut off by what the caller sends behind it.

    Its end is marked by the end of the connection, so it would look complete.
    """

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body, instance.send_s, instance.sends_chunks = STREAMED_BODY, 0.5, False
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/x"))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Connection: close" in head
        writer.write(input_)
        assert await reader.read() == STREAMED_BODY
        assert list_ran(case) == ["r0"]
        writer.close()

    run_node(check)


def test_abort_in_the_turn_of_a_request_resets_the_connection() -> None:
    """Guards against a partial response that looks complete, or continues with the next one."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body, instance.send_s, instance.broken_responses = STREAMED_BODY, 0.2, 1
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/x", "/safe/hang"))
        await wait_until(lambda: list_ran(case) == ["r0", "r1"])
        with pytest.raises(ConnectionResetError):
            while await reader.read(65536):
                pass
        await wait_until(lambda: list_cancelled(case) == ["r1"])
        writer.close()

    run_node(check)


def test_abort_before_the_turn_of_a_request_keeps_earlier_responses() -> None:
    """Guards against a reset that destroys whole responses, and parts of one that was aborted."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body, instance.send_s = STREAMED_BODY, 0.2
        reader, writer = await case.connect()
        # The large response starts before its turn, and is aborted at its deadline.
        middle = make_call("/safe/x", "GET", "r1", 700)
        last = make_call("/safe/hang", "GET", "r2", DEADLINE_MS)
        writer.write(make_calls("/safe/slow") + middle + last)
        await wait_until(lambda: case.process.server.count_requests() == 3)
        await wait_until(lambda: list_cancelled(case) == ["r2"])
        for instance in case.instances:
            instance.body = None
        assert await read_ids(reader, 1) == ["r0"]
        assert await reader.read() == b""
        await wait_until(lambda: case.process.server.count_requests() == 0)
        assert case.process.chain.buffers.reserved_bytes == 0
        writer.close()

    run_node(check)


@pytest.mark.parametrize("position", range(3))
def test_disconnect_ends_all_requests(position: int) -> None:
    """Guards against requests that go on for a caller that has left."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        reader, writer = await case.connect()
        paths = ["/safe/x"] * position + ["/safe/hang"] * (3 - position)
        writer.write(make_calls(*paths))
        await wait_until(lambda: list_ran(case) == ["r0", "r1", "r2"])
        await wait_until(lambda: count_running(case) == 3 - position)
        assert await read_ids(reader, position) == [f"r{n}" for n in range(position)]
        writer.close()
        await wait_until(lambda: list_cancelled(case) == [f"r{n}" for n in range(position, 3)])
        await wait_until(lambda: case.process.server.count_connections() == 0)
        assert case.process.chain.buffers.reserved_bytes == 0

    run_node(check)


@pytest.mark.parametrize("path", ["/safe/hang", "/unsafe/hang"])
def test_disconnect_behind_unread_input_is_noticed(path: str) -> None:
    """Guards against a caller that has left while a request of it waits unread."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        _reader, writer = await case.connect()
        writer.write(make_calls(path, "/unsafe/x", "/safe/x"))
        await wait_until(lambda: list_ran(case) == ["r0"])
        await asyncio.sleep(0.05)
        server = case.process.server
        server.close_stalled(30.0, time.monotonic())
        assert server.count_connections() == 1
        writer.close()
        await asyncio.sleep(0.05)
        server.close_stalled(30.0, time.monotonic())
        await wait_until(lambda: list_cancelled(case) == ["r0"])
        assert list_ran(case) == ["r0"]

    run_node(check)


@pytest.mark.parametrize("position", range(3))
def test_planned_stop_answers_all_requests_that_run(position: int) -> None:
    """Guards against requests that were passed on and lose their responses in a planned stop.

    A response in a planned stop closes the connection, unless others are due behind it.
    """

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        reader, writer = await case.connect()
        paths = ["/safe/x"] * 3
        paths[position] = "/safe/slow"
        writer.write(make_calls(*paths, "/unsafe/x"))
        await wait_until(lambda: list_ran(case) == ["r0", "r1", "r2"])
        await wait_until(lambda: count_running(case) == 1)
        stop = asyncio.ensure_future(case.process.shut_down())
        answers = [await read_answer(reader) for _ in range(3)]
        assert [get_id(answer) for answer in answers] == ["r0", "r1", "r2"]
        rest = await read_answer(reader)
        if rest.status:
            # The responses before it were complete when the stop began.
            assert get_id(rest) == "r3"
        assert await reader.read() == b""
        await stop
        assert case.count_executions("r3") == (1 if rest.status else 0)
        writer.close()

    run_node(check)


def test_end_of_the_grace_period_answers_all_requests() -> None:
    """Guards against a closed connection in place of the responses behind the first one."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/hang", "/safe/hang", "/safe/hang"))
        await wait_until(lambda: list_ran(case) == ["r0", "r1", "r2"])
        await case.process.shut_down()
        assert await read_ids(reader, 3) == ["502", "502", "502"]
        assert await reader.read() == b""
        writer.close()

    run_node(check, grace_s=3.0)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_key_withdrawn_between_two_requests(method: str) -> None:
    """Guards against a request that runs with a key that was withdrawn while it waited.

    The GET arrives after the withdrawal, the POST before it and waits for its turn.
    """

    async def check(case: NodeCase) -> None:
        fields = {"Authorization": f"Bearer {NORTH_KEY}"}
        await put_in_force(case, make_teams(("north", [NORTH_KEY])))
        reader, writer = await case.connect()
        writer.write(make_keyed_call("/safe/slow", fields, request_id="r0"))
        await wait_until(lambda: case.count_executions("r0") >= 1)
        path = "/safe/x" if method == "GET" else "/unsafe/x"
        second = make_keyed_call(path, fields, method, request_id="r1")
        if method == "POST":
            writer.write(second)
            await wait_until(lambda: case.process.counters.get("pipelining.waiting") == 1)
        await put_in_force(case, make_teams(("north", ["other-key"]), version=3))
        if method == "GET":
            writer.write(second)
        assert await read_ids(reader, 2) == ["r0", "401"]
        assert case.count_executions("r1") == 0
        writer.close()

    run_node(check)


@pytest.mark.parametrize(("input_", "status"), [(GARBAGE, "400"), (OVERSIZED, "431")])
def test_unusable_input_is_refused_behind_the_responses_before_it(
    input_: bytes, status: str
) -> None:
    """Guards against good requests that lose their responses because of what follows them."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/slow", "/safe/x") + input_)
        assert await read_ids(reader, 3) == ["r0", "r1", status]
        assert await reader.read() == b""
        await wait_until(lambda: case.process.server.count_connections() == 0)
        writer.close()

    run_node(check)


def test_number_of_requests_in_progress_is_bounded() -> None:
    """Guards against a connection that occupies the upstreams by itself."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        _reader, writer = await case.connect()
        writer.write(make_calls(*["/safe/hang"] * (MAX_PIPELINED_REQUESTS + 4)))
        await wait_until(lambda: len(list_ran(case)) == MAX_PIPELINED_REQUESTS)
        await asyncio.sleep(0.2)
        assert len(list_ran(case)) == MAX_PIPELINED_REQUESTS
        assert case.process.server.count_requests() == MAX_PIPELINED_REQUESTS
        writer.close()

    run_node(check)


def test_no_request_runs_ahead_without_memory() -> None:
    """Guards against held responses beyond the memory for buffered bodies."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        case.process.chain.buffers.set_limit(0)
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/slow", "/safe/x"))
        await wait_until(lambda: case.process.counters.get("pipelining.waiting") == 1)
        assert list_ran(case) == ["r0"]
        assert await read_ids(reader, 2) == ["r0", "r1"]
        writer.close()

    run_node(check)


def test_held_responses_of_a_connection_are_bounded() -> None:
    """Guards against a connection whose held responses grow with the requests sent ahead."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body = LARGE_BODY
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/slow", "/safe/x"))
        buffers = case.process.chain.buffers
        await wait_until(lambda: buffers.reserved_bytes > MAX_HELD_BYTES)
        writer.write(make_calls("/safe/x").replace(b"r0", b"r2"))
        await wait_until(lambda: case.process.counters.get("pipelining.waiting") == 1)
        assert list_ran(case) == ["r0", "r1"]
        bodies = [(await read_answer(reader)).body for _ in range(3)]
        assert bodies == [LARGE_BODY] * 3
        assert buffers.reserved_bytes == 0
        writer.close()

    run_node(check)


def test_streamed_response_waits_for_its_turn() -> None:
    """Guards against a large response that is mixed with another one or read without bound."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body, instance.send_s = STREAMED_BODY, 0.1
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/x", "/safe/x"))
        peak = 0
        data = b""
        while data.count(b"0\r\n\r\n") < 2:
            data += await reader.read(65536)
            peak = max(peak, case.process.chain.buffers.reserved_bytes)
        assert data.count(b"s") >= 2 * len(STREAMED_BODY)
        heads = [part for part in data.split(b"\r\n") if part.startswith(b"HTTP/1.1")]
        assert heads == [b"HTTP/1.1 200 OK"] * 2
        # Two responses, each of which may be counted twice while it is handed on.
        assert peak < 2 * len(STREAMED_BODY)
        writer.close()

    run_node(check)


def test_caller_that_reads_no_responses_is_bounded_and_closed() -> None:
    """Guards against responses that pile up for a caller that never reads them."""

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body = LARGE_BODY
        connection = await connect_slowly(case)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, make_calls(*["/safe/x"] * 100))
        server = case.process.server
        await wait_until(lambda: server.count_requests() >= 2)
        await asyncio.sleep(1.0)
        ran = len(list_ran(case))
        assert ran < 100
        buffers = case.process.chain.buffers
        assert buffers.reserved_bytes <= (MAX_PIPELINED_REQUESTS + 1) * len(LARGE_BODY)
        await asyncio.sleep(0.3)
        assert len(list_ran(case)) == ran
        server.close_stalled(30.0, time.monotonic() + 31.0)
        await wait_until(lambda: server.count_connections() == 0)
        assert server.count_requests() == 0
        assert buffers.reserved_bytes == 0
        connection.close()

    run_node(check)


def test_entry_process_serves_one_request_at_a_time() -> None:
    """Guards against requests that run ahead in the entry process, which does not use this."""
    running = peak = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal running, peak
        while True:
            await read_message(reader)
            running += 1
            peak = max(peak, running)
            await asyncio.sleep(0.05)
            running -= 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def check() -> None:
        async with ScriptedUpstream(script) as upstream, run_entry([upstream.address]) as entry:
            reader, writer = await entry.connect()
            writer.write(make_request("GET", "/") * 4)
            for _ in range(4):
                await read_message(reader)
            writer.close()

    asyncio.run(check())
    assert peak == 1
