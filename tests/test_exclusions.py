"""Tests of the reasons for which an upstream is not sent a request."""

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthbend.core.actions import (
    AttemptResult,
    AttemptStatus,
    Exclusion,
    LoadReport,
    Member,
    RequestInfo,
    Send,
    UpstreamState,
    WorkClass,
)
from amaranthbend.core.candidates import choose_candidates
from amaranthbend.core.cold_limits import ColdLimits
from amaranthbend.core.exclusions import NEVER_PROBED, find_exclusion
from amaranthbend.core.policy import (
    ProbePolicy,
    RequestProbePolicy,
    RetryPolicy,
    ServicePolicy,
)
from amaranthbend.core.probing_dispatcher import ProbingDispatcher
from amaranthbend.core.routing import Router, UpstreamLoad

NOW = 100.0
PROBES = RequestProbePolicy(local_probes=2, remote_probes=1)


def make_report(running: int = 0, slowdown: float = 1.0, cold_s: float | None = None) -> LoadReport:
    """Return a load report of an upstream with three slots."""
    return LoadReport(running, 0, 3, UpstreamState.SERVING, 1, slowdown, cold_s)


def make_dispatcher() -> ProbingDispatcher:
    """Return a dispatcher with the upstreams u0 to u3, which are idle at `NOW`."""
    policy = ServicePolicy(
        "desk",
        3,
        retries=RetryPolicy(initial_tokens=5.0),
        request_probes=PROBES,
        cold_rate_per_s=4.0,
    )
    dispatcher = ProbingDispatcher(policy, ProbePolicy(), "near", 1)
    limits = ColdLimits("host", "near", NOW - 60.0)
    limits.set_hosts(["host"], 0.0)
    dispatcher.set_cold_limits(limits)
    dispatcher.set_members([Member(f"u{n}", f"u{n}", "near", 1) for n in range(4)], NOW - 10.0)
    for n in range(4):
        dispatcher.report(f"u{n}", make_report(cold_s=0.0), NOW)
    return dispatcher


def send_and_refuse(dispatcher: ProbingDispatcher) -> None:
    """Let an upstream refuse a request, and let u0 be that one."""
    for n in (1, 2, 3):
        dispatcher.report(f"u{n}", make_report(3), NOW)
    info = RequestInfo(1, "r", True, WorkClass.SHORT, NOW + 5.0, max_attempts=1)
    sends = [action for action in dispatcher.submit(info, NOW) if isinstance(action, Send)]
    assert [send.upstream for send in sends] == ["u0"]
    dispatcher.finish(1, 1, AttemptResult(AttemptStatus.REFUSED, 503), NOW)


def use_up_credit(dispatcher: ProbingDispatcher) -> None:
    """Make u0 cold, and spend what this host may send to it."""
    dispatcher.report("u0", make_report(cold_s=2.0), NOW)
    gate = dispatcher._loads["u0"].cold_gate
    assert gate is not None
    for _ in range(5):
        gate.record_send(NOW)


def start_slowly(dispatcher: ProbingDispatcher) -> None:
    """Readmit u0 after an evacuation, with a request in flight there."""
    dispatcher.set_evacuated(frozenset({"near"}), NOW)
    dispatcher.set_evacuated(frozenset(), NOW)
    dispatcher._loads["u0"].in_flight = 1


def eject(dispatcher: ProbingDispatcher) -> None:
    """Eject u0."""
    dispatcher._ejector.eject("u0", NOW)
    dispatcher._update_load(dispatcher._loads["u0"])


CASES: dict[Exclusion, Callable[[ProbingDispatcher], object]] = {
    Exclusion.UNKNOWN: lambda dispatcher: dispatcher.set_members([], NOW),
    Exclusion.EVACUATIONS_UNKNOWN: lambda dispatcher: dispatcher.set_evacuated(None, NOW),
    Exclusion.EVACUATED: lambda dispatcher: dispatcher.set_evacuated(frozenset({"near"}), NOW),
    Exclusion.LEAVING: lambda dispatcher: dispatcher.record_departure("u0", 1, NOW),
    Exclusion.SLOW_START: start_slowly,
    Exclusion.COLD: use_up_credit,
    Exclusion.PAUSED: send_and_refuse,
    Exclusion.EJECTED: eject,
    Exclusion.FULL: lambda dispatcher: dispatcher.report("u0", make_report(3), NOW),
    Exclusion.SLOW: lambda dispatcher: dispatcher.report("u0", make_report(0, 3.0), NOW),
}


@pytest.mark.parametrize("reason", CASES)
def test_reason_of_an_exclusion(reason: Exclusion) -> None:
    """Guards against a wrong reason, or none, for an upstream that gets nothing."""
    dispatcher = make_dispatcher()
    load = dispatcher._loads["u0"]
    assert find_exclusion(load, frozenset(), NOW) is None
    CASES[reason](dispatcher)
    assert find_exclusion(load, frozenset(), NOW) is reason


def test_failed_probe_pauses_an_upstream() -> None:
    """Guards against an upstream without an answer that is shown as usable."""
    dispatcher = make_dispatcher()
    dispatcher.report_probe_failure("u0", NOW)
    load = dispatcher._loads["u0"]
    assert find_exclusion(load, frozenset(), NOW) is Exclusion.PAUSED
    assert find_exclusion(load, frozenset(), NOW + 60.0) is None


def test_upstream_that_was_tried_is_excluded_for_that_request_only() -> None:
    """Guards against a second attempt at the same upstream, and against excluding it for others."""
    load = make_dispatcher()._loads["u0"]
    assert find_exclusion(load, frozenset({"u0"}), NOW) is Exclusion.TRIED
    assert find_exclusion(load, frozenset({"u1"}), NOW) is None


@st.composite
def draw_loads(draw: st.DrawFn) -> list[UpstreamLoad]:
    """Draw the upstreams of a service in any combination of states."""
    router = Router("near", 3, 1)
    limits = ColdLimits("host", "near", NOW - 60.0)
    limits.set_hosts(["host"] if draw(st.booleans()) else ["other"], 0.0)
    router.limit_cold(limits, "desk", 4.0)
    loads = []
    for number in range(draw(st.integers(1, 8))):
        load = router.make_load(Member(f"u{number}", "", draw(st.sampled_from(["near", "far"])), 1))
        load.set_absence(draw(st.sampled_from([None, None, Exclusion.LEAVING])))
        load.paused_until = NOW + draw(st.sampled_from([-1.0, -1.0, 1.0]))
        load.ejected = draw(st.sampled_from([False, False, True]))
        load.max_in_flight = draw(st.sampled_from([None, None, 1]))
        load.in_flight = draw(st.integers(0, 1))
        if draw(st.booleans()):
            load.record_report(make_report(draw(st.integers(0, 3))), 0, NOW)
        if draw(st.booleans()) and load.cold_gate is not None:
            load.cold_gate.assume_cold(NOW)
        loads.append(load)
    return loads


@given(draw_loads(), st.sets(st.integers(0, 7)))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_choice_of_candidates_follows_the_exclusions(
    loads: list[UpstreamLoad], tried: set[int]
) -> None:
    """Guards against a choice that uses an upstream which the reasons rule out, or the reverse."""
    names = frozenset(f"u{number}" for number in tried)
    reasons = {load.member.upstream: find_exclusion(load, names, NOW) for load in loads}
    chosen = choose_candidates(loads, PROBES, names, 8, random.Random(1), NOW)
    for load in chosen:
        assert reasons[load.member.upstream] not in NEVER_PROBED
    free = [name for name, reason in reasons.items() if reason is None]
    wanted = PROBES.local_probes + PROBES.remote_probes
    if free:
        assert chosen
    if len(free) >= wanted and len([load for load in loads if not load.is_remote]) == len(loads):
        assert {reasons[load.member.upstream] for load in chosen} <= {None, Exclusion.COLD}


@given(draw_loads())
@settings(max_examples=300, deadline=None, derandomize=True)
def test_choice_without_probes_follows_the_exclusions(loads: list[UpstreamLoad]) -> None:
    """Guards against a dispatcher without probes that sends where the reasons forbid it."""
    router = Router("near", 3, 1)
    router.set_loads(loads)
    load = router.choose(10, frozenset(), None, 0.3, NOW)
    barred = NEVER_PROBED | {Exclusion.COLD, Exclusion.EJECTED}
    reasons = [find_exclusion(load, frozenset(), NOW) for load in loads]
    if load is not None:
        assert find_exclusion(load, frozenset(), NOW) not in barred
    else:
        # A pause hides an ejection, and is no reason to leave an upstream out here.
        assert all(
            reason in barred or load.ejected for reason, load in zip(reasons, loads, strict=True)
        )
