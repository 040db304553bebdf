"""Case 7: each change of a large configuration takes memory, until the process is killed."""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.second import (
    HOST,
    Machine,
    Record,
    make_configuration,
    make_rule,
    run_case,
    start_store,
)
from standins.instance import Instance
from standins.node_caller import exchange
from standins.processes import pick_endpoint

# `memoryMb` of the site's machines, and `valueBytes` of the store.
MEMORY_MB = 300
VALUE_BYTES = 1_048_576
CHANGES = 90
CHANGE_INTERVAL_S = 1.0
MACHINES = 2
CLIENTS = 4
RUN_S = 0.3
SERVICE = "adopt-desk"


def make_large_configuration(version: int, routes: int) -> dict[str, Any]:
    """Return a configuration with many routes beside the one that is used."""
    rules = [make_rule("/adopt/", SERVICE, "unsafe")]
    rules += [make_rule(f"/sanctuary-{number}/", SERVICE) for number in range(routes)]
    # The change: the time-out of one route.
    rules[-1]["action"]["timeout"] = f"{1000 + version}ms"
    return make_configuration(version, rules, (SERVICE,))


def count_routes() -> int:
    """Return how many routes fit into an object of the store, with a twentieth to spare."""
    sizes = [len(json.dumps(make_large_configuration(1, count))) for count in (1000, 2000)]
    per_route = (sizes[1] - sizes[0]) / 1000
    return int((0.95 * VALUE_BYTES - sizes[0]) / per_route) + 1000


def read_memory_mb(machine: Machine) -> float:
    """Return the resident memory of a process in MB, 0 once it has ended."""
    assert machine.process is not None
    try:
        text = Path(f"/proc/{machine.process.pid}/status").read_text()
    except OSError:
        return 0.0
    line = next((line for line in text.splitlines() if line.startswith("VmRSS:")), "VmRSS: 0 kB")
    return int(line.split()[1]) * 1024 / 1e6


async def run(record: Record, network: str, has_trouble: bool) -> bool:
    """Change the configuration again and again; return whether no request was cut."""
    lost: list[str] = []
    with tempfile.TemporaryDirectory() as folder:
        async with start_store(network) as (store, store_address):
            instance = Instance("i-0", SERVICE, "tartu-a")
            instance.run_s = RUN_S
            instance.slots = 20
            endpoint = pick_endpoint(f"{network}.200")
            await instance.start(endpoint.address, endpoint.port)
            store.put("servers", instance.name, instance.describe())
            routes = count_routes()
            size = len(json.dumps(make_large_configuration(1, routes)))
            record.write(f"configuration of {routes + 1} routes, {size} bytes")
            store.put("config", "main", make_large_configuration(1, routes))
            machines = [
                Machine(Path(folder), f"frontend-tartu-a-{n}", f"{network}.{10 + n}", store_address)
                for n in range(1, MACHINES + 1)
            ]
            try:
                await asyncio.gather(*(machine.start() for machine in machines))
                await asyncio.gather(*(machine.wait_ready() for machine in machines))
                clients = [
                    asyncio.ensure_future(send(machine, number, record, lost))
                    for machine in machines
                    for number in range(CLIENTS)
                ]
                await asyncio.sleep(3.0)
                for change in range(CHANGES):
                    if has_trouble:
                        store.put("config", "main", make_large_configuration(2 + change, routes))
                    await asyncio.sleep(CHANGE_INTERVAL_S)
                    sizes = [read_memory_mb(machine) for machine in machines]
                    shown = ", ".join(f"{size:.0f} MB" for size in sizes)
                    record.write(f"changes: {change + 1 if has_trouble else 0}; memory: {shown}")
                    for machine, size_mb in zip(machines, sizes, strict=True):
                        if size_mb > MEMORY_MB:
                            record.write(f"{machine.name} exceeds memoryMb and is killed")
                            await machine.kill()
                    if lost:
                        break
                await asyncio.sleep(1.0)
                for client in clients:
                    client.cancel()
                await asyncio.gather(*clients, return_exceptions=True)
            finally:
                await asyncio.gather(*(machine.clean_up() for machine in machines))
                await instance.stop()
            ran = {request_id for request_id, _deadline in instance.ran}
    for request_id in lost:
        record.write(f"{request_id}: passed on to the instance: {request_id in ran}; no answer")
    return not any(request_id in ran for request_id in lost)


async def send(machine: Machine, client: int, record: Record, lost: list[str]) -> None:
    """Send sign-ups on a kept connection, one after the other, until one has no answer."""
    reader, writer = await asyncio.open_connection(*machine.frontend)
    number = 0
    while True:
        number += 1
        request_id = f"{machine.name}-{client}-{number}"
        started_at = time.monotonic()
        answer = await exchange(reader, writer, "/adopt/a", "POST", request_id, 2000)
        if answer.status == 0:
            record.write(f"POST {request_id} to {HOST}: the connection ended without an answer")
            lost.append(request_id)
            return
        if answer.status != 200 or number % 50 == 1:
            duration_ms = (time.monotonic() - started_at) * 1000
            record.write(f"POST {request_id}: {answer.status} after {duration_ms:.0f} ms")
        if answer.fields.get("connection") == "close":
            writer.close()
            reader, writer = await asyncio.open_connection(*machine.frontend)


if __name__ == "__main__":
    run_case(__file__, run)
