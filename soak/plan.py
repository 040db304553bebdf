"""Which faults strike when, from a seed."""

import random
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Change",
    "ChangeKind",
    "Fault",
    "FaultKind",
    "HostileGroup",
    "StoreReturn",
    "has_changes",
    "make_changes",
    "make_hostile_groups",
    "make_plan",
    "make_returns",
]

# Faults of one run; with their lengths some of them overlap.
FEWEST = 3
MOST = 7
SHORTEST_S = 0.3
LONGEST_S = 2.5
# Chance that the next fault begins while the last one lasts.
OVERLAP_CHANCE = 0.5
# One seed in this many has groups of callers outside the limits, and so many of them.
HOSTILE_SEEDS = 4
HOSTILE_GROUPS = 2
# Seeds with teams, quotas, evacuations and cold instances: these of so many, one of them with
# hostile callers.
CHANGE_CYCLE = 8
CHANGE_SEEDS = frozenset({2, 4, 6, 7})
# Changes begin early enough that their bounds have passed before the traffic ends.
LATEST_START_S = 2.0
COLD_S = 3.0
# Outages of the store that last longer than the 2.5 s after which a node may have missed a key. An
# early one meets the changes; before a late one, all nodes know of the evacuation.
OUTAGE_CHANCE = 0.35
OUTAGE_S = (3.0, 4.5)
EARLY_OUTAGE_AT_S = (0.2, LATEST_START_S)
LATE_OUTAGE_AT_S = (7.0, 7.5)

# Returns of the store from a copy, in the runs that have them.
MOST_RETURNS = 3
RETURN_AWAY_S = (0.05, 0.8)
COPY_AGE_S = (0.3, 4.0)
REWRITE_S = (0.1, 1.2)


class FaultKind(StrEnum):
    """What strikes; the first word says whom."""

    NODE_KILL = "node_kill"
    NODE_TERM = "node_term"
    NODE_PAUSE = "node_pause"
    NODE_RELOAD = "node_reload"
    STORE_BUSY = "store_busy"
    STORE_MANY = "store_many"
    STORE_RESET = "store_reset"
    STORE_SILENT = "store_silent"
    STORE_SLOW = "store_slow"
    STORE_FORGETS = "store_forgets"
    LINK_DELAY = "link_delay"
    LINK_RESET = "link_reset"
    LINK_ONE_WAY = "link_one_way"
    LINK_SILENT = "link_silent"
    INSTANCE_CRASH = "instance_crash"
    INSTANCE_LEAVES = "instance_leaves"
    INSTANCE_SLOW = "instance_slow"
    INSTANCE_ENDLESS = "instance_endless"
    INSTANCE_REFUSES_AGAIN = "instance_refuses_again"
    INSTANCE_ANSWERS_AGAIN = "instance_answers_again"


class Fault(NamedTuple):
    """One fault.

    Parameters
    ----------
    at_s : float
        Seconds from the start of traffic.
    kind : FaultKind
        What strikes.
    target : int
        Number of the node or instance, modulo how many there are.
    length_s : float
        How long it lasts, in seconds.
    """

    at_s: float
    kind: FaultKind
    target: int
    length_s: float


class HostileGroup(NamedTuple):
    """Callers outside the limits that meet a node for a time.

    Parameters
    ----------
    at_s : float
        Seconds from the start of traffic.
    name : str
        Name in `standins.hostile_callers.GROUPS`.
    target : int
        Number of the node, modulo how many there are.
    length_s : float
        How long they stay, in seconds.
    """

    at_s: float
    name: str
    target: int
    length_s: float


class ChangeKind(StrEnum):
    """What operators, callers and instances do within the rules."""

    EVACUATION = "evacuation"
    COLD = "cold"
    KEY = "key"
    BURST = "burst"
    OUTAGE = "outage"


class Change(NamedTuple):
    """One change.

    Parameters
    ----------
    at_s : float
        Seconds from the start of traffic.
    kind : ChangeKind
        What changes.
    target : int
        Number of the data centre, instance, key or kind of outage, modulo how many there are.
    length_s : float
        How long it lasts, in seconds.
    """

    at_s: float
    kind: ChangeKind
    target: int
    length_s: float


# Changes of a run with their shortest and longest duration in seconds. An evacuation lasts longer
# than the 5 s that it may take, a key longer than the 2.5 s until it must be known, and a burst
# longer than a window of the quota.
CHANGES = (
    (ChangeKind.EVACUATION, 6.0, 7.5),
    (ChangeKind.BURST, 5.0, 7.0),
    (ChangeKind.KEY, 2.8, 4.5),
    (ChangeKind.KEY, 2.8, 4.5),
    (ChangeKind.COLD, COLD_S, COLD_S),
    (ChangeKind.COLD, COLD_S, COLD_S),
    (ChangeKind.COLD, COLD_S, COLD_S),
)


class StoreReturn(NamedTuple):
    """A store that is away for a moment and comes back from an older copy of itself.

    Parameters
    ----------
    at_s : float
        Seconds from the start of traffic.
    away_s : float
        How long it is away, in seconds.
    age_s : float
        Age of the copy in seconds.
    rewrite_s : float
        Time after its return in which what was lost is written again, in seconds.
    """

    at_s: float
    away_s: float
    age_s: float
    rewrite_s: float


def has_changes(seed: int) -> bool:
    """Return whether a run has teams and changes."""
    return seed % CHANGE_CYCLE in CHANGE_SEEDS


def make_changes(seed: int) -> list[Change]:
    """Return the changes of a run, none for half of the seeds; drawn apart from the faults."""
    if not has_changes(seed):
        return []
    draw = random.Random(f"changes-{seed}")
    changes = []
    for number, (kind, shortest_s, longest_s) in enumerate(CHANGES):
        target = number if kind is ChangeKind.KEY else draw.randrange(100)
        at_s, length_s = draw.uniform(0.2, LATEST_START_S), draw.uniform(shortest_s, longest_s)
        changes.append(Change(at_s, kind, target, length_s))
    if draw.random() < OUTAGE_CHANCE:
        is_late, length_s = draw.random() < 0.5, draw.uniform(*OUTAGE_S)
        at_s = draw.uniform(*(LATE_OUTAGE_AT_S if is_late else EARLY_OUTAGE_AT_S))
        if is_late:
            evacuation = changes[0]
            changes[0] = evacuation._replace(length_s=at_s + length_s - evacuation.at_s)
        changes.append(Change(at_s, ChangeKind.OUTAGE, draw.randrange(100), length_s))
    return changes


def make_returns(seed: int, length_s: float) -> list[StoreReturn]:
    """Return when the store goes back in a run that has such returns; drawn apart from the rest."""
    draw = random.Random(f"returns-{seed}")
    return [
        StoreReturn(
            draw.uniform(0.5, length_s),
            draw.uniform(*RETURN_AWAY_S),
            draw.uniform(*COPY_AGE_S),
            draw.uniform(*REWRITE_S),
        )
        for _ in range(draw.randint(1, MOST_RETURNS))
    ]


def make_hostile_groups(seed: int, length_s: float, names: Sequence[str]) -> list[HostileGroup]:
    """Return the groups of callers outside the limits of a run, none for most seeds.

    They are drawn apart from the faults, so that the faults of a seed stay the same.
    """
    if seed % HOSTILE_SEEDS != HOSTILE_SEEDS - 1:
        return []
    draw = random.Random(f"hostile-{seed}")
    groups = []
    for _ in range(HOSTILE_GROUPS):
        at_s = draw.uniform(0.0, length_s / 2)
        lasts_s = min(draw.uniform(SHORTEST_S, LONGEST_S), length_s - at_s)
        groups.append(HostileGroup(at_s, draw.choice(names), draw.randrange(100), lasts_s))
    return groups


def make_plan(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run, in their order."""
    draw = random.Random(seed)
    faults: list[Fault] = []
    at_s = draw.uniform(0.2, 1.0)
    for _ in range(draw.randint(FEWEST, MOST)):
        if at_s >= length_s:
            break
        lasts_s = min(draw.uniform(SHORTEST_S, LONGEST_S), length_s - at_s)
        kind = draw.choice(list(FaultKind))
        faults.append(Fault(at_s, kind, draw.randrange(100), lasts_s))
        overlaps = draw.random() < OVERLAP_CHANCE
        at_s += draw.uniform(0.05, lasts_s) if overlaps else lasts_s + draw.uniform(0.1, 1.0)
    return faults
