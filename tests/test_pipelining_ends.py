"""Ends of connections with several requests in progress: closes, aborts, disconnects, stops."""

import asyncio
import time

import pytest

from standins.node_caller import make_call, read_answer

from .entry_cases import ScriptedUpstream, make_request, run_entry
from .node_cases import NodeCase, run_node, wait_until
from .pipelining_cases import (
    DEADLINE_MS,
    GARBAGE,
    LARGE_BODY,
    OVERSIZED,
    STREAMED_BODY,
    connect_slowly,
    count_running,
    get_id,
    list_cancelled,
    list_ran,
    make_calls,
    read_ids,
    use_single_attempts,
)


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

    Only the response shows that the connection has to be closed behind it: it breaks off.
    """

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body, instance.send_s, instance.broken_responses = STREAMED_BODY, 0.2, 1
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/x", "/safe/hang", "/safe/hang"))
        with pytest.raises(ConnectionResetError):
            while await reader.read(65536):
                pass
        await wait_until(lambda: list_cancelled(case) == ["r1", "r2"])
        assert case.process.counters.get("pipelining.cancelled") == 2
        await wait_until(lambda: case.process.server.count_connections() == 0)
        assert case.process.chain.buffers.reserved_bytes == 0
        writer.close()

    run_node(check)


def test_requests_behind_a_response_without_length_are_answered() -> None:
    """Guards against requests that run and get no response (review case 10, LOST).

    The upstream marks the end of its response by closing its own connection.
    """

    async def check(case: NodeCase) -> None:
        await use_single_attempts(case)
        for instance in case.instances:
            instance.body, instance.send_s, instance.sends_chunks = STREAMED_BODY, 0.2, False
        reader, writer = await case.connect()
        writer.write(make_calls("/safe/x", "/safe/slow", "/safe/x"))
        for number in range(3):
            answer = await read_answer(reader)
            assert (answer.status, answer.body) == (200, STREAMED_BODY)
            assert answer.fields["x-amaranthbend-attempt-id"] == f"r{number}"
            assert "connection" not in answer.fields
        assert list_cancelled(case) == []
        assert case.process.counters.get("pipelining.cancelled") == 0
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
        # Callers of HTTP/1.0 know no chunks.
        writer.write(make_calls("/safe/x").replace(b"HTTP/1.1", b"HTTP/1.0"))
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


@pytest.mark.parametrize("input_", [b"no length\r\n", b"1" * 100])
def test_malformed_body_behind_a_response_that_has_begun_resets_the_connection(
    input_: bytes,
) -> None:
    """Guards against a partial response that looks complete, as the connection ends in order.

    The upstream answers before it has the whole body, in a response that ends with the connection.
    """

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE_BODY)
        await reader.read()

    async def check() -> None:
        async with ScriptedUpstream(script) as upstream, run_entry([upstream.address]) as entry:
            reader, writer = await entry.connect()
            request = make_request("POST", "/", "Transfer-Encoding: chunked")
            writer.write(request + b"%x\r\n%b\r\n" % (len(LARGE_BODY), LARGE_BODY))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            writer.write(input_)
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

    asyncio.run(check())
