"""Memory, descriptors and service of real processes beside callers outside the limits.

The callers and the bounds were fixed before the product was changed. The bounds are the memory
and descriptors in the settings of the tests.
"""

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import pytest

from amaranthbend.adapters.addresses import split_address
from amaranthbend.settings.process import EntrySettings
from standins.deployment import Plan
from standins.hostile_callers import GROUPS, Figures, Target, hold_group, measure
from standins.http import call
from standins.instance import Instance
from standins.node_caller import make_call, make_configuration, read_answer
from standins.node_program import NodeProgram

from .harness import run_deployment
from .program_cases import run_program

# Run in one worker, so that the groups do not compete with each other.
pytestmark = pytest.mark.xdist_group("hostile-callers")

MEMORY_MB = 64
DESCRIPTORS = 256
LIMITS = f"\n[self.limits]\nmemoryMb = {MEMORY_MB}\nfileDescriptors = {DESCRIPTORS}\n"
PLAYED_S = 2.5
SERVED_WITHIN_S = 15.0
KEY = "north-key-1"
DOWNLOAD_BYTES = 2 * 1024 * 1024
# The entry process takes 65 MiB (docs/CAPACITY.md); the bodies get 16 MB of the rest.
ENTRY_MEMORY_MB = 100
ENTRY_BUFFERED_BYTES = 16_000_000
ENTRY_GROUPS = (
    "large_chunks",
    "byte_chunks",
    "endless_heads",
    "many_fields",
    "stopped_readers",
    "silent",
)


def make_hostile_configuration(*, has_teams: bool) -> dict[str, Any]:
    """Return a configuration with the limits of the deployments."""
    configuration = make_configuration(2, timeout="4s")
    configuration["limits"] = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 67_108_864,
        "headerTimeout": "3s",
        "idleTimeout": "15s",
    }
    if has_teams:
        configuration["tenants"] = [{"name": "north", "apiKeys": [KEY]}]
    return configuration


async def is_served(program: NodeProgram, *, has_key: bool) -> bool:
    """Send an ordinary request until it is answered; return whether it was in time."""
    field = f"\r\nAuthorization: Bearer {KEY}\r\n\r\n" if has_key else "\r\n\r\n"
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SERVED_WITHIN_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await program.connect()
                    request = make_call("/safe/x", "GET", "ordinary", 1500)
                    writer.write(request.replace(b"\r\n\r\n", field.encode()))
                    status = (await read_answer(reader)).status
                    writer.close()
                    if status == 200:
                        return True
                await asyncio.sleep(0.1)
    return False


def check_figures(figures: Figures, memory_mb: int) -> None:
    """Compare the highest values of a process with the bounds."""
    print(figures)
    assert figures.memory < memory_mb * 1_000_000, figures
    assert figures.descriptors <= DESCRIPTORS, figures


@pytest.mark.parametrize("group", sorted(GROUPS))
def test_node_process_withstands_group(tmp_path: Path, group: str) -> None:
    """Guards against callers that end the process of a host, or keep it from serving others."""
    has_teams = group == "unknown_key"

    async def check(program: NodeProgram, instance: Instance) -> None:
        assert program.process is not None
        instance.body = b"x" * DOWNLOAD_BYTES
        address = split_address(program.names["frontend"])
        target = Target(address, "shop.example", "/unsafe/up", "/safe/down")
        async with hold_group(target, group):
            figures = await measure(program.process.pid, address, PLAYED_S)
            instance.body = None
            assert await is_served(program, has_key=has_teams)
        assert program.process.returncode is None
        check_figures(figures, MEMORY_MB)

    run_program(
        tmp_path,
        check,
        settings=LIMITS,
        configuration=make_hostile_configuration(has_teams=has_teams),
    )


@pytest.mark.parametrize("group", ENTRY_GROUPS)
def test_entry_process_withstands_group(tmp_path: Path, group: str) -> None:
    """Guards against callers that end an entry process, or keep it from serving others."""
    wanted = {
        "buffered_bytes": ENTRY_BUFFERED_BYTES,
        "memory_bytes": ENTRY_MEMORY_MB * 1_000_000,
        "max_descriptors": DESCRIPTORS,
    }
    settings = {name: wanted[name] for name in wanted if name in EntrySettings._fields}
    upstreams = {"adopt-desk": 1, "archive-shelf": 1}
    plan = Plan(hosts=1, upstreams=upstreams, data_centres=1, entry_settings=settings)
    with run_deployment(tmp_path, plan) as deployment:
        (entry,) = deployment.entries
        target = Target(
            tuple(entry.endpoint),  # type: ignore[arg-type]
            "desk.test",
            "/visits/1",
            f"/archives/1?size={DOWNLOAD_BYTES}",
        )

        async def check() -> Figures:
            async with hold_group(target, group):
                figures = await measure(entry.process.pid, target.address, PLAYED_S)
                async with asyncio.timeout(SERVED_WITHIN_S):
                    while not await asyncio.to_thread(is_profile_served):
                        await asyncio.sleep(0.1)
                return figures

        def is_profile_served() -> bool:
            with contextlib.suppress(OSError):
                return call(entry.endpoint, "/profiles/1").status == 200
            return False

        figures = asyncio.run(check())
        assert all(process.is_running() for process in deployment.processes)
        check_figures(figures, ENTRY_MEMORY_MB)
