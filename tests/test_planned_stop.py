"""A planned stop of a node process: what callers get whose requests it has read."""

import asyncio
import socket

import pytest

from amaranthbend.adapters.addresses import split_address
from amaranthbend.core.shutdown import BALANCER_LAG_S
from standins.node_caller import Answer, exchange, make_call, make_configuration

from .node_cases import WAIT_TIMEOUT_S, NodeCase, run_node, wait_until

# Requests that are sent later than this after the signal must not be cut off at the end of the
# grace period, whatever their instance does.
LAST_START_S = 3.0
LONG_GRACE_S = 8.0
DEADLINE_MS = 12_000


async def configure(case: NodeCase) -> None:
    """Let requests take longer than any grace period."""
    case.store.put("config", "main", make_configuration(2, timeout="12s"))
    await wait_until(lambda: case.process.configuration.version == 2)


@pytest.mark.parametrize(("path", "method"), [("/safe/hang", "GET"), ("/unsafe/hang", "POST")])
def test_request_late_in_a_long_grace_period_is_not_started(path: str, method: str) -> None:
    """Guards against requests that are passed on and cut off when the process is killed.

    Half of the grace period was open to new requests, also where that is more than their last
    start, and an instance may be at work on them until its end.
    """

    async def check(case: NodeCase) -> None:
        await configure(case)
        reader, writer = await case.connect()
        assert (await exchange(reader, writer, "/safe/x", request_id="r0")).status == 200
        stop = asyncio.ensure_future(case.process.shut_down())
        # Keeps the process from leaving early.
        held = asyncio.ensure_future(case.call("/unsafe/hang", "POST", "held", DEADLINE_MS))
        await asyncio.sleep(LAST_START_S + 0.3)
        answer = await exchange(reader, writer, path, method, "late", DEADLINE_MS)
        assert (answer.status, case.count_executions("late")) == (503, 0)
        assert float(answer.fields["retry-after"]) >= 0.0
        assert not stop.done()
        writer.close()
        for instance in case.instances:
            await instance.stop()
        await asyncio.gather(stop, held)

    run_node(check, grace_s=LONG_GRACE_S)


def test_body_that_is_complete_late_is_not_started() -> None:
    """Guards against an upload that is passed on just before the process is killed.

    Its head came in time, its body when new requests were refused already.
    """

    async def check(case: NodeCase) -> None:
        await configure(case)
        reader, writer = await case.connect()
        head, separator, body = make_call("/unsafe/hang", "POST", "u1", DEADLINE_MS).partition(
            b"\r\n\r\n"
        )
        writer.write(head + separator)
        await asyncio.sleep(0.1)
        stop = asyncio.ensure_future(case.process.shut_down())
        await asyncio.sleep(LAST_START_S + 0.3)
        writer.write(body)
        status = int((await reader.readuntil(b"\r\n")).split()[1])
        assert (status, case.count_executions("u1")) == (503, 0)
        writer.close()
        await stop

    run_node(check)


@pytest.mark.parametrize(("path", "method"), [("/safe/hang", "GET"), ("/unsafe/hang", "POST")])
def test_request_at_the_end_of_the_grace_period_is_answered(path: str, method: str) -> None:
    """Guards against a closed connection in place of an answer, after a retry at the last moment.

    A safe request whose attempt is aborted must not get another one that cannot end either.
    """

    async def check(case: NodeCase) -> None:
        await configure(case)
        calls = [
            asyncio.ensure_future(case.call(path, method, f"r{number}", DEADLINE_MS))
            for number in range(8)
        ]
        await asyncio.sleep(0.5)
        started = sum(len(entry.ran) for entry in case.instances)
        await case.process.shut_down()
        statuses = {answer.status for answer in await asyncio.gather(*calls)}
        assert statuses == {502}
        assert sum(len(entry.ran) for entry in case.instances) == started

    run_node(check, grace_s=3.0)


async def download_slowly(case: NodeCase, duration_s: float) -> Answer:
    """Fetch a response over a slow line: nothing is read for some seconds, then all of it."""
    connection = socket.socket()
    # With the large segments of loopback the kernel would take the whole response at once.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, split_address(case.process.settings.caller_address))
    await loop.sock_sendall(connection, make_call("/safe/x", "GET", "d1", DEADLINE_MS))
    await asyncio.sleep(duration_s)
    reader, writer = await asyncio.open_connection(sock=connection)
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        body = await reader.read()
    writer.close()
    return Answer(int(head.split(" ")[1]), {}, body)


@pytest.mark.parametrize("reads_after_s", [BALANCER_LAG_S + 1.0, None])
def test_stop_waits_for_slow_readers_within_the_grace_period(reads_after_s: float | None) -> None:
    """Guards against downloads of slow readers that a planned stop cuts off.

    Their instance has answered, and the process holds what is left of the response in memory. A
    reader that takes nothing must not keep the process beyond its grace period either.
    """
    body = b"r" * 540_000

    async def check(case: NodeCase) -> None:
        for instance in case.instances:
            instance.body = body
        pause_s = case.process.settings.grace_s if reads_after_s is None else reads_after_s
        download = asyncio.ensure_future(download_slowly(case, pause_s))
        await asyncio.sleep(0.3)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await case.process.shut_down()
        elapsed_s = loop.time() - started_at
        assert elapsed_s < case.process.settings.grace_s
        if reads_after_s is None:
            # An orderly end would make a response without a length look complete.
            with pytest.raises(ConnectionResetError):
                await download
            return
        assert elapsed_s >= reads_after_s - 0.3
        answer = await download
        assert (answer.status, len(answer.body)) == (200, len(body))

    run_node(check)
