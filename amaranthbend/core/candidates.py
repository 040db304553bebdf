"""Choice of the upstreams that a probe round asks.

Load pattern: see `select_subset`; hosts of a large deployment have few requests for each of
hundreds of upstreams.
"""

import heapq
import math
import random
from collections.abc import Sequence

from .cold_limits import ColdGate
from .occupancy import NEARLY_FULL_SHARE
from .policy import RequestProbePolicy
from .probe_rounds import count_outstanding
from .routing import UpstreamLoad

__all__ = ["OUTSIDE_ROUND_SHARE", "SUBSET_UPSTREAMS_PER_PROBE", "choose_candidates"]

# An upstream that was full or slow in a report up to this age is probed only if no other is left.
# The time is longer than a slot takes to become free, and shorter than a machine stays slow.
BUSY_REPORT_MAX_AGE_S = 0.08
# Reported slowdown above which an upstream counts as busy.
BUSY_SLOWDOWN = 2.0
# Size of the subset of upstreams that a host prefers, for each probe of a round. A round has a
# choice, and each upstream is probed again before its idle connection is closed.
SUBSET_UPSTREAMS_PER_PROBE = 4
# Share of rounds that start with an upstream outside the subset.
OUTSIDE_ROUND_SHARE = 0.1
# Added to the random ranks from 0 to 1 of upstreams that may still be cold.
MAYBE_COLD_RANK = 1.0


def is_busy(load: UpstreamLoad, now: float) -> bool:
    """Return whether a recent report shows the upstream as nearly full or slow."""
    report = load.report
    if report is None or now - load.report_at > BUSY_REPORT_MAX_AGE_S:
        return False
    return (
        count_outstanding(load) >= NEARLY_FULL_SHARE * report.slots
        or report.slowdown > BUSY_SLOWDOWN
    )


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
        if load.member.upstream in excluded or not load.may_be_probed():
            continue
        # Lower ranks are probed first; the random part spreads the probes of the processes.
        rank = rng.random()
        if not load.allows_attempt(now):
            if not load.may_be_warm():
                held_back = load.cold_gate
                continue
            rank += MAYBE_COLD_RANK
        if load.paused_until > now:
            rest.append((rank + 3.0, load))
        elif load.ejected:
            rest.append((rank + 2.0, load))
        elif is_busy(load, now):
            rest.append((rank + (1.0 if load.is_remote else 0.5), load))
        else:
            (remote if load.is_remote else local).append((rank, load))
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
        if load.may_be_probed()
        and load.member.upstream not in excluded
        and load.cold_gate is not None
        and load.cold_gate.allows_last_resort(0, math.inf, now)
    ]
    rng.shuffle(cold)
    return cold[:max_probes]
