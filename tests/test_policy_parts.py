"""Tests of the parts of the decision core."""

from amaranthbend.core.actions import (
    AttemptResult,
    AttemptStatus,
    LoadReport,
    Member,
    Refuse,
    RequestInfo,
    Send,
    UpstreamState,
    WorkClass,
)
from amaranthbend.core.dispatching import Dispatcher
from amaranthbend.core.ejection import Ejector
from amaranthbend.core.limits import ConcurrencyLimit, find_refusal
from amaranthbend.core.membership import Membership
from amaranthbend.core.outcomes import OutcomeReason
from amaranthbend.core.policy import LimitPolicy, ProbePolicy, ServicePolicy
from amaranthbend.core.probing import ProbePlanner
from amaranthbend.core.queueing import RequestQueue
from amaranthbend.core.routing import Router
from benchmarks.cost import measure_pair

ANSWERED = AttemptResult(AttemptStatus.ANSWERED, 200)


def make_members(count: int, data_centre: str = "dc") -> list[Member]:
    """Return upstreams u0, u1 and so on."""
    return [Member(f"u{n}", f"u{n}", data_centre, 1) for n in range(count)]


def make_request(request_id: int, **fields: object) -> RequestInfo:
    """Return a short request with some fields replaced."""
    request = RequestInfo(request_id, "r", True, WorkClass.SHORT, 10.0)
    return request._replace(**fields)


def test_router_prefers_own_data_centre_until_it_is_full() -> None:
    """Guards against needless use of remote upstreams, and against overload of local ones."""
    router = Router("near", 2, 1)
    local = router.make_load(Member("n", "n", "near", 1))
    remote = router.make_load(Member("f", "f", "far", 1))
    router.set_loads([remote, local])
    for load in (local, remote):
        load.record_report(LoadReport(0, 0, 2, UpstreamState.SERVING, 1), 0, 1.0)
    assert router.choose(9, frozenset(), None, 0.02, 1.0) is local
    local.record_report(LoadReport(2, 3, 2, UpstreamState.SERVING, 1), 0, 1.0)
    assert router.choose(9, frozenset(), None, 0.02, 1.0) is remote


def test_router_distrusts_reports_that_contradict_own_requests() -> None:
    """Guards against sending most requests to an upstream that always reports no load."""
    router = Router("dc", 2, 1)
    load = router.make_load(Member("u", "u", "dc", 1))
    router.set_loads([load])
    for n in range(4):
        load.record_report(LoadReport(0, 0, 2, UpstreamState.SERVING, 1), 3, float(n))
    assert load.mismatch_score >= 3.0


def test_probe_budget_of_small_share_is_zero() -> None:
    """Guards against processes that round up their share of the probe budget."""
    planner = ProbePlanner(ProbePolicy(probes_per_s_per_upstream=10.0))
    planner.set_share(1.0 / 16.0, 0.0)
    load = Router("dc", 2, 1).make_load(make_members(1)[0])
    assert planner.plan([load], 5.0) is None
    assert planner.get_next_probe_time() is None


def test_slow_upstream_is_readmitted_in_slow_start_with_jitter() -> None:
    """Guards against full load on a slow upstream, and against simultaneous readmissions."""
    returns = set()
    for seed in range(5):
        ejector = Ejector(seed)
        healthy = ejector.add("v", in_slow_start=False)
        for _ in range(100):
            ejector.record_start(healthy, 0.0)
            ejector.record_duration(healthy, 0.0, 0.02)
        health = ejector.add("u", in_slow_start=False)
        for n in range(4):
            ejector.record_start(health, float(n))
            ejector.record_duration(health, float(n), n + 0.5)
        assert ejector.is_outlier("u", 4.0)
        ejector.eject("u", 4.0)
        time = ejector.get_next_readmission_time()
        assert time is not None
        assert ejector.readmit_due(time) == ["u"]
        assert ejector.count_allowed("u") == 1
        returns.add(time)
    assert len(returns) == 5


def test_one_long_request_does_not_eject() -> None:
    """Guards against ejection after a single long response."""
    ejector = Ejector(1)
    health = ejector.add("u", in_slow_start=False)
    ejector.record_start(health, 0.0)
    ejector.record_duration(health, 0.0, 60.0)
    assert not ejector.is_outlier("u", 60.0)


def test_half_of_the_upstreams_stay_when_all_fail() -> None:
    """Guards against ejecting all upstreams of a service when all of them fail."""
    dispatcher = Dispatcher(ServicePolicy("desk", 2), ProbePolicy(), "dc", 1)
    dispatcher.set_members(make_members(6), 0.0)
    failed = AttemptResult(AttemptStatus.ANSWERED, 500)
    for n in range(300):
        now = 0.01 * n
        for action in dispatcher.submit(make_request(n), now):
            assert isinstance(action, Send), action
            dispatcher.finish(n, action.attempt, failed, now + 0.001)
    assert sum(view.ejected for view in dispatcher.snapshot(3.0)) <= 3


def test_ejected_upstream_returns_when_the_others_depart() -> None:
    """Guards against queueing requests until a readmission while an ejected upstream is left."""
    dispatcher = Dispatcher(ServicePolicy("desk", 2), ProbePolicy(), "dc", 1)
    dispatcher.set_members(make_members(2), 0.0)
    failed = AttemptResult(AttemptStatus.FAILED)
    request_id = 0
    while not any(view.ejected for view in dispatcher.snapshot(0.0)):
        request_id += 1
        assert request_id < 100
        for action in dispatcher.submit(make_request(request_id, idempotent=False), 0.0):
            assert isinstance(action, Send), action
            result = failed if action.upstream == "u0" else ANSWERED
            dispatcher.finish(request_id, action.attempt, result, 0.001)
    dispatcher.record_departure("u1", 1, 0.1)
    actions = dispatcher.submit(make_request(1000), 0.2)
    assert [action.upstream for action in actions if isinstance(action, Send)] == ["u0"]


def test_limit_shrinks_on_reported_queues_and_grows_again() -> None:
    """Guards against persistent queues at upstreams, and against a limit that stays low."""
    limit = ConcurrencyLimit(100.0)
    for n in range(100):
        limit.record_queue_length(10, 2, int(limit.limit), 0.02, 0.01 * n)
    assert limit.limit < 10.0
    for n in range(10_000):
        limit.record_queue_length(0, 2, int(limit.limit), 0.02, 1.0 + 0.01 * n)
    assert limit.limit > 50.0


def test_long_work_is_bounded_and_short_work_overtakes_it() -> None:
    """Guards against long work in all slots, and against short work that waits behind it."""
    policy = ServicePolicy("desk", 2, limits=LimitPolicy(long_share=0.5))
    dispatcher = Dispatcher(policy, ProbePolicy(), "dc", 1)
    dispatcher.set_members(make_members(4), 0.0)
    sent = 0
    for n in range(10):
        actions = dispatcher.submit(make_request(n, work_class=WorkClass.LONG), 0.0)
        sent += sum(isinstance(action, Send) for action in actions)
    assert sent == 4
    actions = dispatcher.submit(make_request(10), 0.0)
    assert [type(action) for action in actions] == [Send]


def test_request_that_runs_long_counts_as_long() -> None:
    """Guards against unlimited long work on a route that declares it as short."""
    policy = ServicePolicy("desk", 2, limits=LimitPolicy(long_share=0.1, long_after_s=1.0))
    dispatcher = Dispatcher(policy, ProbePolicy(), "dc", 1)
    dispatcher.set_members(make_members(2), 0.0)
    dispatcher.submit(make_request(1), 0.0)
    dispatcher.tick(2.0)
    assert dispatcher.submit(make_request(2, work_class=WorkClass.LONG), 2.0) == []
    actions = dispatcher.finish(1, 1, ANSWERED, 3.0)
    assert any(isinstance(action, Send) and action.request_id == 2 for action in actions)


def test_unreachable_deadline_is_refused_early() -> None:
    """Guards against queueing a request that will certainly miss its deadline."""
    policy = ServicePolicy("desk", 1, connections_per_upstream=1)
    dispatcher = Dispatcher(policy, ProbePolicy(), "dc", 1)
    dispatcher.set_members(make_members(1), 0.0)
    dispatcher.submit(make_request(1), 0.0)
    dispatcher.submit(make_request(2), 0.0)
    actions = dispatcher.submit(make_request(3, deadline=0.01), 0.0)
    assert actions == [Refuse(3, OutcomeReason.DEADLINE_UNREACHABLE, 1.0)]


def test_queued_body_bytes_are_bounded() -> None:
    """Guards against a short queue whose request bodies exhaust the memory."""
    queue = RequestQueue()
    limits = LimitPolicy(queue_bytes=1000)
    for number in range(3):
        request = make_request(number)._replace(body_bytes=400)
        waiting = len(queue)
        reason = find_refusal(request, waiting, queue.total_bytes, 100, limits, 0.02, 0.0)
        assert reason is (OutcomeReason.QUEUE_FULL if number == 2 else None)
        if reason is None:
            queue.push(request)
    assert queue.total_bytes == 800
    queue.remove(0)
    queue.pop_expired(1e9)
    assert queue.total_bytes == 0


def test_queue_order() -> None:
    """Guards against new requests ahead of retries or of requests of higher priority."""
    queue = RequestQueue()
    queue.push(make_request(1))
    queue.push(make_request(2, priority=5))
    queue.push(make_request(3), is_retry=True)
    order = []
    while (request := queue.peek()) is not None:
        order.append(request.request_id)
        queue.remove(request.request_id)
    assert order == [3, 2, 1]


def test_report_of_earlier_incarnation_is_ignored() -> None:
    """Guards against a late report of an earlier incarnation that stops a restarted upstream."""
    membership = Membership()
    membership.set_members([Member("u", "u", "dc", 2)])
    assert not membership.record_state("u", UpstreamState.DRAINING, 1)
    assert membership.is_usable("u")


def test_cost_of_a_request() -> None:
    """Guards against decisions that are too slow; the bound is ten times the usual duration."""
    assert measure_pair(500) < 600e-6
