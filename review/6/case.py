"""Case 6: a machine whose zone has lost machines before never reads another configuration."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.second import (
    Machine,
    Record,
    call,
    make_configuration,
    make_rule,
    run_case,
    start_store,
)
from standins.instance import Instance
from standins.processes import pick_endpoint

# Machines of the zone that were removed for good, a few at a time, and those that run now.
REMOVED = 24
BATCH = 6
RUNNING = 3
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
# Requests are sent for this long after `configApply` has passed.
WATCHED_S = 15.0
REGISTRATION_S = 15.0
SERVICES = ("adopt-desk", "archive-shelf")


async def run(record: Record, network: str, has_trouble: bool) -> bool:
    """Change the configuration, and return whether it is in force after `configApply`."""
    machines: list[Machine] = []
    instances: list[Instance] = []
    with tempfile.TemporaryDirectory() as folder:
        async with start_store(network) as (store, store_address):
            try:
                for number, service in enumerate(SERVICES):
                    instance = Instance(f"i-{number}", service, "tartu-a")
                    endpoint = pick_endpoint(f"{network}.{200 + number}")
                    await instance.start(endpoint.address, endpoint.port)
                    instances.append(instance)
                    store.put("servers", instance.name, instance.describe())
                rules = [make_rule("/moved/", SERVICES[0]), make_rule("/dropped/", SERVICES[0])]
                store.put("config", "main", make_configuration(10, rules, SERVICES))
                for number in range(1, REMOVED + RUNNING + 1):
                    name = f"frontend-tartu-a-{number}"
                    machines.append(
                        Machine(Path(folder), name, f"{network}.{10 + number}", store_address)
                    )
                for first in range(0, REMOVED, BATCH):
                    batch = machines[first : first + BATCH]
                    await asyncio.gather(*(machine.start() for machine in batch))
                    async with asyncio.timeout(REGISTRATION_S):
                        while any(not is_registered(store, machine) for machine in batch):
                            await asyncio.sleep(0.05)
                    if has_trouble:
                        await asyncio.gather(*(machine.kill() for machine in batch))
                        for machine in batch:
                            machine.fall_silent()
                            record.write(f"{machine.name} was removed for good")
                running = machines[REMOVED:]
                await asyncio.gather(*(machine.start() for machine in running))
                await asyncio.gather(*(machine.wait_ready() for machine in running))
                record.write(f"ready: {', '.join(machine.name for machine in running)}")
                # From here on these machines run calmly for longer than `contact`.
                await asyncio.sleep(2 * CONTACT_S)
                for machine in running:
                    answer = await call(machine, "/moved/a", f"before-{machine.name}")
                    record.write(f"before: {machine.name} GET /moved/a: {answer.status}")
                rules = [make_rule("/moved/", SERVICES[1]), make_rule("/added/", SERVICES[1])]
                store.put("config", "main", make_configuration(20, rules, SERVICES))
                record.write("version 20 acknowledged: moved, dropped and added routes")
                await asyncio.sleep(CONFIG_APPLY_S)
                return await watch(record, running, instances)
            finally:
                await asyncio.gather(*(machine.clean_up() for machine in machines))
                for instance in instances:
                    await instance.stop()


def is_registered(store: object, machine: Machine) -> bool:
    """Return whether a machine has registered itself in the store."""
    return store.objects.read("hosts-tartu-a", machine.name) is not None  # type: ignore[attr-defined]


async def watch(record: Record, running: list[Machine], instances: list[Instance]) -> bool:
    """Return whether all requests are handled as the newest version says."""
    broken = 0
    number = 0
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        number += 1
        for machine in running:
            suffix = f"{machine.name}-{number}"
            for route in ("moved", "dropped", "added"):
                answer = await call(machine, f"/{route}/a", f"{route}-{suffix}")
                ran_at = [
                    instance.service
                    for instance in instances
                    if any(ran[0] == f"{route}-{suffix}" for ran in instance.ran)
                ]
                is_old = (
                    (route == "moved" and SERVICES[0] in ran_at)
                    or (route == "dropped" and bool(ran_at))
                    or (route == "added" and answer.status == 404)
                )
                broken += is_old
                record.write(
                    f"{machine.name} GET /{route}/a: {answer.status}, run by "
                    f"{', '.join(ran_at) or 'nobody'}{' (as an older version)' if is_old else ''}"
                )
        await asyncio.sleep(1.0)
    record.write(f"requests handled as only an older version allows: {broken}")
    return broken == 0


if __name__ == "__main__":
    run_case(__file__, run)
