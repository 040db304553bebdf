"""What cold upstreams get from all hosts together, without a network."""

import math
import random
from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.core.actions import (
    Action,
    LoadReport,
    Member,
    Probe,
    Refuse,
    Send,
    UpstreamState,
)
from amaranthbend.core.cold_limits import (
    ASSUMED_COLD_S,
    DIFFERING_VIEWS,
    MAX_WARM_REPORT_AGE_S,
    MISSING_HOST_RETENTION_S,
    ColdGate,
    ColdLimits,
    compute_part,
)
from amaranthbend.core.policy import ProbePolicy, RequestProbePolicy, ServicePolicy
from amaranthbend.core.probing_dispatcher import ProbingDispatcher

from .dispatcher_cases import (
    AMPLE_RETRIES,
    ANSWERED,
    FAILED,
    GOAL_S,
    REFUSED,
    SLOTS,
    answer_probes,
    list_probes,
    make_report,
    make_request,
)

# Rate, overshoot and slack of two deployments.
BOUNDS = [(3.3, 1.5, 8.0), (5.8, 1.5, 8.0)]
RATE, OVERSHOOT, SLACK = BOUNDS[0]
BOUND = RATE * OVERSHOOT + SLACK
# Steps of the time in which all hosts of a test try to send.
STEP_S = 0.05


def make_limits(host: str, hosts: list[str], started_at: float = -10.0) -> ColdLimits:
    """Return the limits of a host that knows the hosts of its data centre."""
    limits = ColdLimits(host, "huye", started_at)
    limits.set_bound(OVERSHOOT, SLACK)
    limits.set_hosts(hosts, started_at)
    return limits


def name_hosts(count: int) -> list[str]:
    """Return the names of hosts."""
    return [f"host-{n}" for n in range(count)]


def count_most(times: list[float], window_s: float = 1.0) -> int:
    """Return the largest number of times in a window, its ends included."""
    recent: deque[float] = deque()
    most = 0
    for time in sorted(times):
        recent.append(time)
        while recent[0] < time - window_s:
            recent.popleft()
        most = max(most, len(recent))
    return most


@given(st.floats(0.2, 20.0), st.floats(1.0, 2.0), st.floats(0.0, 30.0), st.integers(1, 60))
def test_parts_of_two_groups_stay_within_the_bound(
    rate: float, overshoot: float, slack: float, hosts: int
) -> None:
    """Guards against a division in which whole requests add up to more than the rate suggests."""
    part = compute_part(rate, overshoot, slack, hosts)
    assert 1 <= part.hosts <= hosts
    assert part.burst >= 1.0
    assert part.hosts * part.rate_per_s <= rate + 1e-9
    bound = rate * overshoot + slack
    most = part.hosts * math.floor(part.burst + part.rate_per_s)
    # One request in a second must be possible, however small the bound is.
    assert DIFFERING_VIEWS * most <= max(bound, DIFFERING_VIEWS)


@pytest.mark.parametrize(("rate", "overshoot", "slack"), BOUNDS)
@pytest.mark.parametrize("hosts", [1, 2, 3, 4, 5, 6, 10, 35, 60])
def test_rate_is_usable_by_any_number_of_hosts(
    rate: float, overshoot: float, slack: float, hosts: int
) -> None:
    """Guards against a cold upstream that stays idle because its rate is divided too finely."""
    part = compute_part(rate, overshoot, slack, hosts)
    assert part.hosts * part.rate_per_s >= 0.75 * rate


@given(st.integers(1, 60), st.data())
def test_all_hosts_together_stay_within_the_bound(hosts: int, data: st.DataObject) -> None:
    """Guards against too many requests to a cold upstream when views of the membership differ.

    Some hosts learn of others later, some restart, and all send whenever they are allowed to.
    """
    names = name_hosts(hosts)
    early = data.draw(st.sets(st.sampled_from(names), min_size=1))
    late = early | data.draw(st.sets(st.sampled_from(names)))
    seed = data.draw(st.integers(0, 1000))
    rng = random.Random(seed)
    learns_at = {name: rng.uniform(0.0, 5.0) for name in names}
    restarts_at = {name: rng.choice([math.inf, rng.uniform(0.0, 5.0)]) for name in names}
    limits = {name: make_limits(name, sorted(early)) for name in names}
    sent: list[float] = []
    for step in range(100):
        now = step * STEP_S
        for name in names:
            if learns_at[name] <= now:
                learns_at[name] = math.inf
                limits[name].set_hosts(late, now)
            if restarts_at[name] <= now:
                restarts_at[name] = math.inf
                limits[name] = make_limits(name, sorted(late), now)
            if limits[name].may_send("desk/u0", "huye", RATE, now):
                limits[name].record_send("desk/u0", RATE, True, now)
                sent.append(now)
    assert count_most(sent) <= BOUND


def test_host_that_is_no_longer_listed_counts_for_a_while() -> None:
    """Guards against parts that grow with a list that lacks hosts, and that shrink for good."""
    limits = make_limits("host-0", name_hosts(20))
    interval_s = limits.get_last_resort_interval_s("huye", RATE, 99.0)
    limits.set_hosts(name_hosts(1), 0.0)
    assert limits.get_last_resort_interval_s("huye", RATE, 99.0) == interval_s
    limits.set_hosts(name_hosts(1), MISSING_HOST_RETENTION_S - 1.0)
    assert limits.get_last_resort_interval_s("huye", RATE, 99.0) == interval_s
    limits.set_hosts(name_hosts(1), MISSING_HOST_RETENTION_S)
    assert limits.get_last_resort_interval_s("huye", RATE, 99.0) < interval_s


def test_hosts_elsewhere_or_unknown_do_not_send() -> None:
    """Guards against hosts that use a part which the others do not count."""
    hosts = name_hosts(2)
    assert make_limits("host-0", hosts).may_send("desk/u0", "huye", RATE, 0.0)
    assert not make_limits("host-0", hosts).may_send("desk/u0", "kaya", RATE, 0.0)
    assert not make_limits("host-9", hosts).may_send("desk/u0", "huye", RATE, 0.0)
    assert not make_limits("host-0", []).may_send("desk/u0", "huye", RATE, 0.0)
    assert not make_limits("host-0", hosts, -0.5).may_send("desk/u0", "huye", RATE, 0.0)


def test_dropped_bucket_gives_no_more_than_a_kept_one() -> None:
    """Guards against a part that is used twice because the state of it was dropped too early."""
    limits = make_limits("host-0", ["host-0"])
    while limits.may_send("desk/u0", "huye", RATE, 0.0):
        limits.record_send("desk/u0", RATE, True, 0.0)
    limits.prune(0.05)
    assert not limits.may_send("desk/u0", "huye", RATE, 0.05)
    limits.prune(60.0)
    assert limits.may_send("desk/u0", "huye", RATE, 60.0)


def make_gate() -> ColdGate:
    """Return the gate of an upstream to which this host must not send while it is cold."""
    return ColdGate(make_limits("host-9", name_hosts(2)), "desk/u0", "huye", RATE)


def test_newest_statement_counts() -> None:
    """Guards against an upstream that counts as warm after it has become cold, or the reverse."""
    gate = make_gate()
    gate.record_entry(True, False, 0.0)
    assert gate.is_cold(100.0)
    gate.record_statement(0.0, 1.0)
    assert not gate.is_cold(1.0)
    gate.record_entry(True, False, 1.5)
    assert not gate.is_cold(1.5)
    gate.record_statement(2.0, 2.0)
    assert gate.is_cold(3.9)
    assert not gate.is_cold(4.0)
    gate.record_entry(False, True, 5.0)
    assert gate.is_cold(5.0)
    assert not gate.is_cold(5.0 + ASSUMED_COLD_S)


def test_only_a_health_response_ends_the_probes() -> None:
    """Guards against an entry or a restart of long ago that excludes a warm upstream."""
    gate = make_gate()
    gate.record_entry(True, False, 0.0)
    assert not gate.is_confirmed
    gate.record_statement(2.0, 0.1)
    assert gate.is_confirmed
    gate.assume_cold(1.0)
    assert not gate.is_confirmed


def make_cold_dispatcher(
    upstreams: int, limits: ColdLimits | None, rate: float = RATE, seed: int = 1
) -> ProbingDispatcher:
    """Return a dispatcher with upstreams u0, u1, ... in its own data centre."""
    policy = ServicePolicy(
        "desk",
        SLOTS,
        retries=AMPLE_RETRIES,
        request_probes=RequestProbePolicy(),
        cold_rate_per_s=rate,
    )
    dispatcher = ProbingDispatcher(policy, ProbePolicy(), "huye", seed=seed)
    if limits is not None:
        dispatcher.set_cold_limits(limits)
    members = [Member(f"u{n}", f"127.0.0.1:{9000 + n}", "huye", 1) for n in range(upstreams)]
    dispatcher.set_members(members, 0.0)
    return dispatcher


def make_cold_report(cold_s: float, running: int = 0) -> LoadReport:
    """Return a health response that states coldness."""
    return make_report(running)._replace(cold_s=cold_s)


def submit(
    dispatcher: ProbingDispatcher, number: int, now: float, reports: dict[str, LoadReport]
) -> Send | Refuse:
    """Submit a request and answer its probes; return how it is decided."""
    request = make_request(number)._replace(deadline=now + 2.0)
    actions = answer_probes(dispatcher, dispatcher.submit(request, now), now, reports)
    (decision,) = actions
    assert isinstance(decision, (Send, Refuse))
    return decision


def test_cold_upstream_gets_requests_only_at_the_rate_of_the_host() -> None:
    """Guards against a cold upstream that looks idle and gets what the busy ones do not."""
    dispatcher = make_cold_dispatcher(2, make_limits("host-0", ["host-0"]))
    reports = {"u0": make_cold_report(9.0), "u1": make_cold_report(0.0, running=8)}
    sent: list[float] = []
    for number in range(60):
        now = 0.5 + number * STEP_S / 2
        decision = submit(dispatcher, number, now, reports)
        if isinstance(decision, Send) and decision.upstream == "u0":
            sent.append(now)
        dispatcher.finish(number, 1, ANSWERED, now + STEP_S / 4)
    assert 1 <= count_most(sent) <= BOUND / DIFFERING_VIEWS


def test_host_that_may_not_send_refuses() -> None:
    """Guards against requests that reach a cold upstream at a host outside of its set."""
    dispatcher = make_cold_dispatcher(4, make_limits("host-9", name_hosts(6)))
    reports = {f"u{n}": make_cold_report(5.0) for n in range(4)}
    assert isinstance(submit(dispatcher, 1, 0.0, reports), Refuse)
    assert isinstance(submit(dispatcher, 2, 0.1, reports), Refuse)
    warm = {f"u{n}": make_cold_report(0.0) for n in range(4)}
    assert isinstance(submit(dispatcher, 3, 5.2, warm), Send)


def test_last_resort_is_rare_and_follows_the_load() -> None:
    """Guards against a last resort that exceeds the rate of a cold upstream.

    Two hosts share a rate of 3.3, so that each may send every 1.1 s.
    """
    gate = make_gate()
    gate.record_statement(60.0, 0.0)
    assert gate.allows_last_resort(0, 0.5, 0.0)
    assert not gate.allows_last_resort(1, 0.5, 0.0)
    assert gate.allows_last_resort(1, 0.7, 0.0)
    # A request of 0.1 s is over before the next one arrives at that rate.
    assert not gate.allows_last_resort(0, 0.1, 0.0)
    gate.record_send(1.0)
    assert not gate.allows_last_resort(0, 0.5, 2.0)
    assert gate.allows_last_resort(0, 0.5, 2.2)
    many = ColdGate(make_limits("host-99", name_hosts(33)), "desk/u0", "huye", RATE)
    many.record_statement(60.0, 0.0)
    many.record_send(1.0)
    assert not many.allows_last_resort(0, 0.5, 10.0)
    assert many.allows_last_resort(0, 0.5, 11.1)
    elsewhere = ColdGate(make_limits("host-9", name_hosts(2)), "desk/u0", "kaya", RATE)
    elsewhere.record_statement(60.0, 0.0)
    assert not elsewhere.allows_last_resort(0, 0.5, 0.0)
    unknown = ColdGate(make_limits("host-0", []), "desk/u0", "huye", RATE)
    assert not unknown.allows_last_resort(0, 0.5, 0.0)


@pytest.mark.parametrize(("warm", "is_sent"), [(False, True), (True, False)])
def test_last_resort_is_for_services_of_cold_upstreams(warm: bool, is_sent: bool) -> None:
    """Guards against hosts that all use a cold upstream, which looks idle, beside full ones."""
    dispatcher = make_cold_dispatcher(2, make_limits("host-9", name_hosts(2)))
    reports = {f"u{n}": make_cold_report(0.0) for n in range(2)}
    assert isinstance(submit(dispatcher, 1, 0.0, reports), Send)
    dispatcher.finish(1, 1, ANSWERED, 0.4)
    reports["u0"] = make_cold_report(60.0)
    reports["u1"] = make_cold_report(0.0, running=4 * SLOTS) if warm else make_cold_report(60.0)
    decision = submit(dispatcher, 2, 1.0, reports)
    assert isinstance(decision, Send) is is_sent
    for number in (3, 4):
        last = submit(dispatcher, number, 1.1, reports)
    assert isinstance(last, Refuse)


def test_last_resort_is_not_for_hedges() -> None:
    """Guards against hedges, which run twice as often while all is slow, at cold upstreams."""
    dispatcher = make_cold_dispatcher(2, make_limits("host-9", name_hosts(2)))
    reports = {f"u{n}": make_cold_report(0.0) for n in range(2)}
    assert isinstance(submit(dispatcher, 1, 0.0, reports), Send)
    dispatcher.finish(1, 1, ANSWERED, 0.4)
    reports = {f"u{n}": make_cold_report(60.0) for n in range(2)}
    assert isinstance(submit(dispatcher, 2, 1.0, reports), Send)
    due = 1.0 + RequestProbePolicy().hedge_delay_share * GOAL_S
    hedge = dispatcher.tick(due)
    assert answer_probes(dispatcher, hedge, due, reports) == []


def test_warm_upstream_that_becomes_cold_is_found_by_its_probe() -> None:
    """Guards against full load on an upstream that is cold again without a change of its entry."""
    dispatcher = make_cold_dispatcher(2, make_limits("host-9", name_hosts(2)))
    warm = {"u0": make_cold_report(0.0), "u1": make_cold_report(0.0, running=2)}
    assert isinstance(first := submit(dispatcher, 1, 0.0, warm), Send)
    assert first.upstream == "u0"
    cold = {**warm, "u0": make_cold_report(3.0)}
    for number in range(2, 8):
        decision = submit(dispatcher, number, 0.1 * number, cold)
        assert isinstance(decision, Send)
        assert decision.upstream == "u1"
        dispatcher.finish(number, 1, ANSWERED, 0.1 * number + 0.05)


@pytest.mark.parametrize("kind", ["retry", "hedge"])
def test_further_attempts_use_the_same_rate(kind: str) -> None:
    """Guards against retries and hedges that a cold upstream gets beyond its rate."""
    limits = make_limits("host-0", ["host-0"])
    dispatcher = make_cold_dispatcher(2, limits)
    warm = {f"u{n}": make_cold_report(0.0) for n in range(2)}
    first = submit(dispatcher, 1, 0.0, warm)
    assert isinstance(first, Send)
    while limits.may_send("desk/u0", "huye", RATE, 0.2):
        limits.record_send("desk/u0", RATE, True, 0.2)
    while limits.may_send("desk/u1", "huye", RATE, 0.2):
        limits.record_send("desk/u1", RATE, True, 0.2)
    cold = {f"u{n}": make_cold_report(9.0) for n in range(2)}
    if kind == "retry":
        actions = dispatcher.finish(1, 1, REFUSED, 0.2)
        now = 0.2
    else:
        now = RequestProbePolicy().hedge_delay_share * GOAL_S
        actions = dispatcher.tick(now)
    rest = answer_probes(dispatcher, actions, now, cold)
    assert not [action for action in rest if isinstance(action, Send)]


@pytest.mark.parametrize("event", ["lifted", "restarted", "added"])
def test_upstream_without_a_statement_counts_as_cold(event: str) -> None:
    """Guards against requests without a probe to an upstream that may have just become cold."""
    dispatcher = make_cold_dispatcher(1, make_limits("host-9", name_hosts(2)))
    dispatcher.report("u0", make_cold_report(0.0), 0.9)
    assert dispatcher.count_cold(1.0) == 0
    if event == "lifted":
        dispatcher.set_evacuated(frozenset({"huye"}), 0.5)
        dispatcher.set_evacuated(frozenset(), 1.0)
    elif event == "restarted":
        dispatcher.set_members([Member("u0", "127.0.0.1:9000", "huye", 2)], 1.0)
    else:
        dispatcher.set_members([Member("u1", "127.0.0.1:9001", "huye", 1)], 1.0)
    assert dispatcher.count_cold(1.0) == 1
    dispatcher.submit(make_request(1), 1.1)
    late = dispatcher.tick(1.1 + RequestProbePolicy().timeout_s)
    assert [type(action) for action in late] == [Refuse]
    assert dispatcher.count_cold(1.0 + ASSUMED_COLD_S) == 0


def test_upstreams_that_may_be_cold_are_asked_after_the_others() -> None:
    """Guards against a freed data centre that stays unused, or takes the probes from others."""
    dispatcher = make_cold_dispatcher(6, make_limits("host-9", name_hosts(2)))
    warm = {f"u{n}": make_cold_report(0.0) for n in range(6)}
    dispatcher.set_evacuated(frozenset({"huye"}), 0.0)
    dispatcher.set_evacuated(frozenset(), 0.1)
    members = [Member(f"u{n}", f"127.0.0.1:{9000 + n}", "huye", 1) for n in range(9)]
    for known in members[:6]:
        dispatcher.report(known.upstream, warm[known.upstream], 0.1)
    dispatcher.set_members(members, 0.1)
    assert set(list_probes(dispatcher.submit(make_request(1), 0.2))) <= warm.keys()
    full = {"u0": make_cold_report(0.0)._replace(incarnation=2), "u1": make_cold_report(0.0, 16)}
    beside_full = make_cold_dispatcher(2, make_limits("host-9", name_hosts(2)))
    beside_full.report("u1", full["u1"], 0.1)
    restarted = [members[0]._replace(incarnation=2), members[1]]
    beside_full.set_members(restarted, 0.1)
    decision = submit(beside_full, 3, 0.2, full)
    assert isinstance(decision, Send)
    assert decision.upstream == "u0"


def test_choice_without_probes_distrusts_old_reports() -> None:
    """Guards against requests to an upstream that was warm when it was asked a while ago."""
    dispatcher = make_cold_dispatcher(1, make_limits("host-9", name_hosts(2)))
    assert isinstance(submit(dispatcher, 1, 0.0, {"u0": make_cold_report(0.0)}), Send)
    dispatcher.finish(1, 1, ANSWERED, 0.01)
    timeout_s = RequestProbePolicy().timeout_s
    dispatcher.submit(make_request(2), 0.1)
    soon = dispatcher.tick(0.1 + timeout_s)
    assert [type(action) for action in soon] == [Send]
    dispatcher.finish(2, 1, FAILED, 0.2)
    later_at = MAX_WARM_REPORT_AGE_S + 0.1
    dispatcher.submit(make_request(3)._replace(deadline=9.0), later_at)
    assert [type(action) for action in dispatcher.tick(later_at + timeout_s)] == [Refuse]


def test_service_of_cold_upstreams_is_served_within_the_bound() -> None:
    """Guards against a service that is refused, or crashes its upstreams, when all are cold.

    Each host of a data centre gets three requests a second, half of them for this service.
    """
    hosts, upstreams, requests_per_s, seconds = 35, 22, 1.5, 3.0
    names = name_hosts(hosts)
    dispatchers = [
        make_cold_dispatcher(upstreams, make_limits(name, names), seed=n)
        for n, name in enumerate(names)
    ]
    reports = {f"u{n}": make_cold_report(9.0) for n in range(upstreams)}
    rng = random.Random(1)
    arrivals = [
        (rng.uniform(2.0, 2.0 + seconds), rng.randrange(hosts))
        for _ in range(int(hosts * requests_per_s * seconds))
    ]
    sent: dict[str, list[float]] = {}
    served = 0
    for number, (now, host) in enumerate(sorted(arrivals)):
        dispatcher = dispatchers[host]
        request = make_request(number)._replace(deadline=now + 2.0)
        actions = answer_probes(dispatcher, dispatcher.submit(request, now), now, reports)
        for action in actions:
            if isinstance(action, Send):
                sent.setdefault(action.upstream, []).append(now)
                dispatcher.finish(number, 1, ANSWERED, now)
                served += 1
    assert max(count_most(times) for times in sent.values()) <= BOUND
    assert served >= 0.6 * len(arrivals)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3), st.floats(0.0, 0.5)), max_size=40))
def test_service_without_a_rate_is_decided_as_without_limits(
    steps: list[tuple[int, int, float]],
) -> None:
    """Guards against changed decisions where the configuration has no rate for cold upstreams."""
    limited = make_cold_dispatcher(4, make_limits("host-0", ["host-0"]), rate=0.0)
    plain = make_cold_dispatcher(4, None, rate=RATE)
    now = 0.0
    for number, (kind, upstream, delay) in enumerate(steps):
        now += delay
        state = UpstreamState.COLD if upstream == 3 else UpstreamState.SERVING
        report = make_report(running=kind, slowdown=1.0 + upstream)._replace(state=state)
        results: list[list[Action]] = []
        for dispatcher, cold_s in ((limited, 2.0), (plain, None)):
            request = make_request(number)._replace(deadline=now + 2.0)
            actions = dispatcher.tick(now) + dispatcher.submit(request, now)
            for action in [action for action in actions if isinstance(action, Probe)]:
                actions += dispatcher.report(action.upstream, report._replace(cold_s=cold_s), now)
            results.append(actions)
        assert results[0] == results[1]
