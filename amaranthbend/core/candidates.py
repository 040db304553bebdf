"""Choice of the upstreams that a probe round asks.

Load pattern: see `select_subset`; hosts of a large deployment have few requests for each of
hundreds of upstreams.
"""

import heapq
import math
import random
from collections.abc import Sequence

from .actions import Exclusion
from .cold_limits import ColdGate
from .exclusions import NEVER_PROBED, find_deferral, find_exclusion
from .policy import RequestProbePolicy
from .routing import UpstreamLoad

__all__ = ["OUTSIDE_ROUND_SHARE", "SUBSET_UPSTREAMS_PER_PROBE", "choose_candidates"]

# Size of the subset of upstreams that a host prefers, for each probe of a round. A round has a
# choice, and each upstream is probed again before its idle connection is closed.
SUBSET_UPSTREAMS_PER_PROBE = 4
# Share of rounds that start with an upstream outside the subset.
OUTSIDE_ROUND_SHARE = 0.1
# Added to the random ranks from 0 to 1 of upstreams that may still be cold.
MAYBE_COLD_RANK = 1.0
# Added to the random ranks of upstreams that are probed only if too few others are left.
DEFERRED_RANKS = {
    Exclusion.PAUSED: 3.0,
    Exclusion.EJECTED: 2.0,
    Exclusion.FULL: 0.5,
    Exclusion.SLOW: 0.5,
}
# Added to that rank for an upstream in another data centre, if it is full or slow.
REMOTE_BUSY_RANK = 0.5


def select_subset(
    ranked: list[tuple[float, UpstreamLoad]], probes: int, rng: random.Random
) -> list[tuple[float, UpstreamLoad]]:
    """Return the upstreams that this host prefers, ordered by rank.

    Load pattern: a host of a large deployment has few requests and hundreds of upstreams. With
    an even choice, nearly each probe would open a connection that is closed before its next use.
    Each host therefore prefers the upstreams with the highest affinity (rendezvous hashing). When
    upstreams come and go, only their own places in the subsets change, and a new upstream is in
    the subsets of as many hosts as the others. A share of the rounds starts with an upstream
    outside the subset, which evens out what the hosts send.

    Parameters
    ----------
    ranked : list of (float, UpstreamLoad)
        Upstreams with their ranks; lower ranks come first.
    probes : int
        Probes of a round to these upstreams.
    rng : random.Random
        Random number generator.
    """
    size = SUBSET_UPSTREAMS_PER_PROBE * probes
    if not probes or len(ranked) <= size:
        return sorted(ranked, key=_get_rank)
    preferred = heapq.nlargest(size, ranked, key=lambda entry: entry[1].affinity)
    lowest_affinity = preferred[-1][1].affinity
    preferred.sort(key=_get_rank)
    if rng.random() < OUTSIDE_ROUND_SHARE:
        outside = [entry for entry in ranked if entry[1].affinity < lowest_affinity]
        preferred.insert(0, min(outside, key=_get_rank))
    return preferred


def _get_rank(entry: tuple[float, UpstreamLoad]) -> float:
    return entry[0]


def choose_candidates(
    loads: Sequence[UpstreamLoad],
    policy: RequestProbePolicy,
    excluded: frozenset[str],
    max_probes: int,
    rng: random.Random,
    now: float,
) -> list[UpstreamLoad]:
    """Return the upstreams to probe, chosen at random, mostly local ones.

    Paused, ejected and busy upstreams are used only if too few others are left. Upstreams that may
    still be cold, but have not said so themselves, come last in their data centre at hosts that
    must not send to a cold one: otherwise these would not learn that the upstreams are warm.

    Parameters
    ----------
    loads : sequence of UpstreamLoad
        All upstreams of the service.
    policy : RequestProbePolicy
        Number of local and remote probes.
    excluded : frozenset of str
        Upstreams that were probed or tried for this request before.
    max_probes : int
        Maximum number of upstreams to return.
    rng : random.Random
        Random number generator.
    now : float
        Present time.
    """
    local: list[tuple[float, UpstreamLoad]] = []
    remote: list[tuple[float, UpstreamLoad]] = []
    rest: list[tuple[float, UpstreamLoad]] = []
    held_back: ColdGate | None = None
    for load in loads:
        reason = find_exclusion(load, excluded, now)
        if reason is not None and reason in NEVER_PROBED:
            continue
        # Lower ranks are probed first; the random part spreads the probes of the processes.
        rank = rng.random()
        if reason is None:
            (remote if load.is_remote else local).append((rank, load))
            continue
        if reason is Exclusion.COLD:
            if not load.may_be_warm():
                held_back = load.cold_gate
                continue
            rank += MAYBE_COLD_RANK
            reason = find_deferral(load, now)
            if reason is None:
                (remote if load.is_remote else local).append((rank, load))
                continue
        rank += DEFERRED_RANKS[reason]
        if load.is_remote and (reason is Exclusion.FULL or reason is Exclusion.SLOW):
            rank += REMOTE_BUSY_RANK
        rest.append((rank, load))
    local = select_subset(local, policy.local_probes, rng)
    remote = select_subset(remote, policy.remote_probes, rng)
    rest.sort(key=_get_rank)
    probe_count = min(max_probes, policy.local_probes + policy.remote_probes)
    chosen = local[: min(probe_count, policy.local_probes)]
    chosen += remote[: probe_count - len(chosen)]
    chosen += local[policy.local_probes :][: probe_count - len(chosen)]
    chosen += rest[: probe_count - len(chosen)]
    candidates = [load for _, load in chosen]
    if not candidates and held_back is not None:
        held_back.record_held_back()
        candidates = choose_last_resort(loads, excluded, probe_count, rng, now)
    return candidates


def choose_last_resort(
    loads: Sequence[UpstreamLoad],
    excluded: frozenset[str],
    max_probes: int,
    rng: random.Random,
    now: float,
) -> list[UpstreamLoad]:
    """Return upstreams of the own data centre to probe if all of the service are cold.

    Load pattern: all upstreams of a service have started together. The few hosts that may send to
    each of them get a small part of the requests, and all others would be refused.
    """
    if any(load.usable and not load.is_cold(now) for load in loads):
        return []
    cold = [
        load
        for load in loads
        if find_exclusion(load, excluded, now) not in NEVER_PROBED
        and load.cold_gate is not None
        and load.cold_gate.allows_last_resort(0, math.inf, now)
    ]
    rng.shuffle(cold)
    return cold[:max_probes]
