"""Memory and service of a node process whose instances send bytes without end."""

import asyncio
import contextlib
import time
from pathlib import Path

import psutil
import pytest

from amaranthbend.core.probing import PROBE_TIMEOUT_S
from standins.instance import ENDLESS_BYTES, ENDLESS_HEADS, ENDLESS_PARTS, Instance
from standins.node_caller import exchange, make_call
from standins.node_program import NodeProgram

from .node_cases import NodeCase, run_node, wait_until
from .program_cases import run_program

# Memory of a machine in the smaller deployments.
MEMORY_LIMIT_MB = 300
CALLERS = 24
PLAYED_S = 2.0
DEADLINE_MS = 1500


async def call_faulty_instance(program: NodeProgram, number: int, fault: str) -> None:
    """Send requests one after the other; every other caller reads none of its response."""
    reads = number % 2 == 0
    kind, method = (("safe", "GET"), ("unsafe", "POST"))[number // 2 % 2]
    for attempt in range(1000):
        reader, writer = await program.connect()
        writer.write(make_call(f"/{kind}/{fault}", method, f"e{number}-{attempt}", DEADLINE_MS))
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000):
                while not reads or await reader.read(1024 * 1024):
                    await asyncio.sleep(0.0 if reads else 0.1)
        writer.close()


async def watch_memory(program: NodeProgram) -> float:
    """Return the highest memory of the process in `PLAYED_S` seconds, in MB."""
    assert program.process is not None
    process = psutil.Process(program.process.pid)
    peak = 0.0
    for _ in range(int(PLAYED_S / 0.02)):
        peak = max(peak, process.memory_info().rss / 1e6)
        await asyncio.sleep(0.02)
    return peak


@pytest.mark.parametrize("fault", sorted(ENDLESS_PARTS | ENDLESS_HEADS | ENDLESS_BYTES))
def test_bytes_without_end_leave_memory_and_service(tmp_path: Path, fault: str) -> None:
    """Guards against a faulty instance that ends the requests of all callers of a machine.

    The process would keep what the instance sends, until it is killed for its memory.
    """

    async def check(program: NodeProgram, instance: Instance) -> None:
        calls = [
            asyncio.ensure_future(call_faulty_instance(program, number, fault))
            for number in range(CALLERS)
        ]
        peak_mb = await watch_memory(program)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        assert instance.endless_bytes > 0
        assert peak_mb < MEMORY_LIMIT_MB
        await asyncio.sleep(DEADLINE_MS / 1000)
        reader, writer = await program.connect()
        assert (await exchange(reader, writer, "/safe/x", request_id="r1")).status == 200
        writer.close()

    run_program(tmp_path, check)


def test_health_check_without_end_is_ended_early() -> None:
    """Guards against an instance whose health checks occupy a process and its link.

    Each check was read until its timeout, several hundred MB a second on loopback.
    """

    async def check(case: NodeCase) -> None:
        counters = case.process.counters
        await asyncio.sleep(0.1)
        case.instances[0].has_endless_health = True
        call = asyncio.ensure_future(case.call("/safe/x"))
        await wait_until(lambda: case.instances[0].endless_bytes > 0)
        started_at = time.monotonic()
        await wait_until(lambda: counters.get("probe.failed") > 0)
        assert time.monotonic() - started_at < PROBE_TIMEOUT_S / 2
        await call

    run_node(check, instances=1)
