"""One run of the soak."""

import asyncio
import time
from pathlib import Path

from standins.hostile_callers import GROUPS, HOSTILE_ID_PREFIX

from .changes import STEADY_KEY, Changes
from .evidence import Evidence
from .judge import find_violations
from .plan import has_changes, make_changes, make_hostile_groups, make_plan, make_returns
from .site import Site
from .team_judge import find_team_violations
from .team_traffic import TeamTraffic
from .traffic import CALLERS, Traffic

__all__ = ["run_seed"]

# Traffic after the last fault, of which the first part is for recovery.
RECOVERY_S = 3.5
CALM_S = 1.5


async def run_seed(
    seed: int, length_s: float, folder: Path, *, has_returns: bool = False
) -> tuple[list[str], int]:
    """Play the faults of a seed; return the broken promises and the number of calls.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    length_s : float
        Time within which they begin, in seconds.
    folder : Path
        For settings and logs of the nodes.
    has_returns : bool
        Whether the store also comes back from older copies of itself.
    """
    has_teams = has_changes(seed)
    site = Site(folder, has_teams=has_teams)
    traffic = Traffic(site.nodes, seed, STEADY_KEY if has_teams else "")
    changes = Changes(site)
    try:
        if has_teams:
            changes.start()
        await site.start()
        callers = [asyncio.ensure_future(traffic.run(number)) for number in range(CALLERS)]
        if has_teams:
            teams = TeamTraffic(traffic, seed, lambda: changes.is_bursting)
            callers.append(asyncio.ensure_future(teams.run_all()))
        started_at = time.monotonic()
        strikes = []
        groups = make_hostile_groups(seed, length_s, sorted(GROUPS))
        hostile = [asyncio.ensure_future(site.meet_group(group)) for group in groups]
        made = [asyncio.ensure_future(changes.make(change)) for change in make_changes(seed)]
        if has_returns:
            returns = make_returns(seed, length_s)
            made += [asyncio.ensure_future(site.return_store(each)) for each in returns]
        for fault in make_plan(seed, length_s):
            await asyncio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
            strikes.append(asyncio.ensure_future(site.strike(fault)))
        await asyncio.gather(*strikes, *hostile, *made)
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
        violations = find_violations(traffic.calls, runs)
        if has_teams:
            violations += find_team_violations(gather_evidence(site, traffic))
        return violations, len(traffic.calls)
    finally:
        await site.stop()


def gather_evidence(site: Site, traffic: Traffic) -> Evidence:
    """Return what a run with teams is judged by."""
    heads: dict[str, list[dict[str, str]]] = {}
    for instance in site.instances:
        for request_id, found in instance.heads.items():
            heads.setdefault(request_id, []).extend(found)
    data_centres = {instance.name: instance.data_centre for instance in site.instances}
    return Evidence(site.records, traffic.calls, site.list_arrivals(), heads, data_centres)
