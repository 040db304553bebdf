"""Which upstreams are asked."""

import random

from amaranthbend.core.actions import LoadReport, Member, UpstreamState
from amaranthbend.core.asking import (
    COLD_SHARE,
    LEAST_WARM,
    WARM_S,
    choose_candidates,
)
from amaranthbend.core.policy import AskPolicy
from amaranthbend.core.routing import Router, UpstreamLoad

UPSTREAMS = 100
ROUNDS = 300
NOW = 100.0
REPORT = LoadReport(0, 0, 6, UpstreamState.SERVING, 1)


def make_loads(warm: int, warm_at: float = NOW - 1.0) -> list[UpstreamLoad]:
    """Return upstreams of the own data centre, the first of which were asked lately."""
    router = Router("huye", 6, 1)
    loads = [router.make_load(Member(f"u{n}", f"u{n}", "huye", 1)) for n in range(UPSTREAMS)]
    for load in loads[:warm]:
        load.note_report(REPORT, 0, warm_at)
    return loads


def count_cold(loads: list[UpstreamLoad], warm: int) -> tuple[int, set[str]]:
    """Return how many of the first were asked late, and the names asked in many rounds."""
    draw = random.Random(1)
    names: list[str] = []
    for _ in range(ROUNDS):
        chosen = choose_candidates(loads, AskPolicy(far=0), frozenset(), 3, draw, NOW)
        names += [load.member.upstream for load in chosen]
    known = {load.member.upstream for load in loads[:warm]}
    return sum(name not in known for name in names), set(names)


def test_open_connections_are_preferred() -> None:
    """Guards against a new connection for nearly each question in a large deployment.

    Seen on the bench (eeslikoda-adopt-grown quiet-1): 27,486 connections for 13,782 requests.
    """
    cold, asked = count_cold(make_loads(20), 20)
    assert 0.8 * COLD_SHARE * ROUNDS < cold < 1.2 * COLD_SHARE * ROUNDS
    assert len(asked) > 60


def test_few_warm_upstreams_are_not_preferred() -> None:
    """Guards against a host that knows a handful of upstreams and asks no others."""
    cold, asked = count_cold(make_loads(LEAST_WARM - 1), LEAST_WARM - 1)
    assert cold > 0.8 * 3 * ROUNDS
    assert len(asked) > 90


def test_closed_connections_are_not_preferred() -> None:
    """Guards against taking upstreams asked long ago for ones with an open connection."""
    cold, _ = count_cold(make_loads(20, NOW - WARM_S), 20)
    assert cold > 0.7 * 3 * ROUNDS
