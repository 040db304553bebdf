"""One run of the soak."""

import asyncio
import time
from pathlib import Path

from standins.hostile_callers import GROUPS, HOSTILE_ID_PREFIX

from .judge import find_violations
from .plan import make_hostile_groups, make_plan
from .site import Site
from .traffic import CALLERS, Traffic

__all__ = ["run_seed"]

# Traffic after the last fault, of which the first part is for recovery.
RECOVERY_S = 3.5
CALM_S = 1.5


async def run_seed(seed: int, length_s: float, folder: Path) -> tuple[list[str], int]:
    """Play the faults of a seed; return the broken promises and the number of calls."""
    site = Site(folder)
    traffic = Traffic(site.nodes, seed)
    try:
        await site.start()
        callers = [asyncio.ensure_future(traffic.run(number)) for number in range(CALLERS)]
        started_at = time.monotonic()
        strikes = []
        groups = make_hostile_groups(seed, length_s, sorted(GROUPS))
        hostile = [asyncio.ensure_future(site.meet_group(group)) for group in groups]
        for fault in make_plan(seed, length_s):
            await asyncio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
            strikes.append(asyncio.ensure_future(site.strike(fault)))
        await asyncio.gather(*strikes, *hostile)
        for node in site.nodes:
            await node.wait_ready()
        await asyncio.sleep(RECOVERY_S)
        traffic.is_after_faults = True
        await asyncio.sleep(CALM_S)
        traffic.has_ended = True
        await asyncio.gather(*callers)
        runs = [
            request_id
            for instance in site.instances
            for request_id, _ in instance.ran
            if not request_id.startswith(HOSTILE_ID_PREFIX)
        ]
        return find_violations(traffic.calls, runs), len(traffic.calls)
    finally:
        await site.stop()
