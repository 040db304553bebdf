"""Tests of the dispatcher on single events."""

import random

import pytest

from amaranthbend.core.actions import (
    AttemptResult,
    AttemptStatus,
    Cancel,
    Complete,
    LoadReport,
    Member,
    Refuse,
    RequestInfo,
    Send,
    UpstreamState,
    WorkClass,
)
from amaranthbend.core.dispatching import Dispatcher
from amaranthbend.core.outcomes import Outcome, OutcomeReason, RetryReason
from amaranthbend.core.policy import LimitPolicy, ProbePolicy, RetryPolicy, ServicePolicy
from amaranthbend.core.retries import RetryBudget

ANSWERED = AttemptResult(AttemptStatus.ANSWERED, 200)


def make_dispatcher(upstreams: int = 3, **settings: object) -> Dispatcher:
    """Return a dispatcher with upstreams u0, u1 and so on."""
    policy = ServicePolicy("desk", 2)._replace(**settings)
    dispatcher = Dispatcher(policy, ProbePolicy(), "tartu-a", 1)
    members = [Member(f"u{n}", f"127.0.0.1:{n}", "tartu-a", 1) for n in range(upstreams)]
    dispatcher.set_members(members, 0.0)
    return dispatcher


def make_request(request_id: int, idempotent: bool = False, deadline: float = 5.0) -> RequestInfo:
    """Return a short request."""
    return RequestInfo(request_id, "r", idempotent, WorkClass.SHORT, deadline)


def get_send(actions: list) -> Send:
    """Return the only `Send` among the actions."""
    sends = [action for action in actions if isinstance(action, Send)]
    assert len(sends) == 1, actions
    return sends[0]


def test_answer_completes_request() -> None:
    """Guards against a request that never ends."""
    dispatcher = make_dispatcher()
    send = get_send(dispatcher.submit(make_request(1), 0.0))
    assert send.timeout_s == 5.0
    assert dispatcher.finish(1, 1, ANSWERED, 0.1) == [Complete(1, Outcome.ANSWERED, attempt=1)]
    assert dispatcher.finish(1, 1, ANSWERED, 0.1) == []


def test_spreads_requests() -> None:
    """Guards against all requests going to one upstream."""
    dispatcher = make_dispatcher(3)
    sends = [get_send(dispatcher.submit(make_request(n), 0.0)) for n in range(3)]
    assert len({send.upstream for send in sends}) == 3


@pytest.mark.parametrize(
    ("status", "idempotent", "reason"),
    [
        (AttemptStatus.REFUSED, False, RetryReason.UPSTREAM_REFUSED),
        (AttemptStatus.NEVER_CONNECTED, False, RetryReason.NEVER_CONNECTED),
        (AttemptStatus.FAILED, True, RetryReason.IDEMPOTENT_FAILURE),
    ],
)
def test_retry_uses_another_upstream(
    status: AttemptStatus, idempotent: bool, reason: RetryReason
) -> None:
    """Guards against a retry at the upstream that just failed."""
    dispatcher = make_dispatcher()
    first = get_send(dispatcher.submit(make_request(1, idempotent), 0.0))
    second = get_send(dispatcher.finish(1, 1, AttemptResult(status), 0.5))
    assert second.upstream != first.upstream
    assert second.retry_reason is reason
    assert second.timeout_s == pytest.approx(4.5)


def test_non_idempotent_failure_is_unknown() -> None:
    """Guards against running a non-idempotent request twice."""
    dispatcher = make_dispatcher()
    dispatcher.submit(make_request(1), 0.0)
    actions = dispatcher.finish(1, 1, AttemptResult(AttemptStatus.FAILED), 0.5)
    assert actions == [Complete(1, Outcome.UNKNOWN, OutcomeReason.UPSTREAM_FAILED)]


def test_refusal_after_failed_attempt_is_unknown() -> None:
    """Guards against the outcome "not-run" when an earlier attempt may have run."""
    dispatcher = make_dispatcher()
    dispatcher.submit(make_request(1, idempotent=True), 0.0)
    dispatcher.finish(1, 1, AttemptResult(AttemptStatus.FAILED), 0.1)
    actions = dispatcher.finish(1, 2, AttemptResult(AttemptStatus.REFUSED), 5.0)
    assert actions == [Complete(1, Outcome.UNKNOWN, OutcomeReason.UPSTREAM_REFUSED)]


def test_retry_budget_bounds_retries() -> None:
    """Guards against a retry storm when every upstream refuses."""
    dispatcher = make_dispatcher()
    retries = 0
    for n in range(100):
        actions = dispatcher.submit(make_request(n), 0.0)
        while sends := [action for action in actions if isinstance(action, Send)]:
            retries += sends[0].attempt > 1
            refused = AttemptResult(AttemptStatus.REFUSED)
            actions = dispatcher.finish(n, sends[0].attempt, refused, 0.0)
    assert 0 < retries <= 100 * 0.1 + 1.0


def refuse_all(dispatcher: Dispatcher, sends: list[Send], result: AttemptResult) -> list:
    """End attempts with a refusal at the same time, and return all actions that follow."""
    return [
        action
        for send in sends
        for action in dispatcher.finish(send.request_id, send.attempt, result, 0.1)
    ]


def test_requests_at_a_leaving_upstream_go_elsewhere_together() -> None:
    """Guards against failing the requests at a draining upstream for lack of retry tokens.

    The budget is empty after the start of a process. The tokens are borrowed up to a limit, and
    later retries have to do without them.
    """
    dispatcher = make_dispatcher(2, slots_per_upstream=12)
    sends = [get_send(dispatcher.submit(make_request(n), 0.0)) for n in range(8)]
    leaving = [send for send in sends if send.upstream == "u0"]
    assert len(leaving) > 2
    refused = AttemptResult(AttemptStatus.REFUSED, 503, is_draining=True)
    actions = refuse_all(dispatcher, leaving, refused)
    retries = [action for action in actions if isinstance(action, Send)]
    assert len(retries) == len(leaving)
    assert {retry.upstream for retry in retries} == {"u1"}
    staying = [send for send in sends if send.upstream == "u1"]
    actions = refuse_all(dispatcher, staying, AttemptResult(AttemptStatus.REFUSED, 503))
    assert {type(action) for action in actions} == {Refuse}


def test_borrowed_retries_are_bounded() -> None:
    """Guards against a retry storm when all upstreams report that they are draining."""
    budget = RetryBudget(RetryPolicy(floor_per_s=0.0, max_borrowed=3.0))
    assert [budget.take(0.0, may_borrow=True) for _ in range(5)] == [True] * 3 + [False] * 2
    for _ in range(31):
        budget.record_first_attempt()
    assert not budget.take(0.0)
    assert budget.take(0.0, may_borrow=True)


def test_abandoned_request_is_cancelled() -> None:
    """Guards against work that continues for a caller that has disconnected."""
    dispatcher = make_dispatcher()
    dispatcher.submit(make_request(1), 0.0)
    actions = dispatcher.abandon(1, 0.1)
    assert actions == [Cancel(1, 1), Complete(1, Outcome.UNKNOWN, OutcomeReason.CALLER_GONE)]
    assert dispatcher.finish(1, 1, AttemptResult(AttemptStatus.CANCELLED), 0.2) == []
    assert all(view.in_flight == 0 for view in dispatcher.snapshot(0.2))


def test_queue_is_bounded_and_expires() -> None:
    """Guards against an unbounded queue, and against waits beyond the deadline."""
    limits = LimitPolicy(queue_length=1)
    dispatcher = make_dispatcher(1, connections_per_upstream=1, limits=limits)
    dispatcher.submit(make_request(1), 0.0)
    assert dispatcher.submit(make_request(2, deadline=1.0), 0.0) == []
    assert dispatcher.submit(make_request(3), 0.0) == [Refuse(3, OutcomeReason.QUEUE_FULL, 1.0)]
    assert dispatcher.get_next_tick_time(0.0) == 1.0
    assert dispatcher.tick(1.0) == [Refuse(2, OutcomeReason.QUEUE_TIMEOUT, 1.0)]


def test_departed_upstream_gets_no_work_until_higher_incarnation() -> None:
    """Guards against an outdated host list that makes a draining upstream usable again."""
    dispatcher = make_dispatcher(1)
    dispatcher.report("u0", LoadReport(0, 0, 2, UpstreamState.DRAINING, 1), 0.0)
    refusal = [Refuse(1, OutcomeReason.NO_UPSTREAM, 1.0)]
    assert dispatcher.submit(make_request(1), 0.0) == refusal
    dispatcher.set_members([Member("u0", "127.0.0.1:1", "tartu-a", 1)], 0.1)
    assert dispatcher.submit(make_request(1), 0.2) == refusal
    dispatcher.set_members([Member("u0", "127.0.0.1:1", "tartu-a", 2)], 0.3)
    assert get_send(dispatcher.submit(make_request(1), 0.4)).upstream == "u0"
    assert dispatcher.list_departures() == [("u0", 1)]


def test_refusal_of_a_draining_upstream_is_a_departure() -> None:
    """Guards against a draining upstream whose refusals use up the retry budget."""
    dispatcher = make_dispatcher(1)
    send = get_send(dispatcher.submit(make_request(1), 0.0))
    refused = AttemptResult(AttemptStatus.REFUSED, 503, is_draining=True)
    actions = dispatcher.finish(1, send.attempt, refused, 0.1)
    assert actions == [Refuse(1, OutcomeReason.NO_UPSTREAM, 1.0)]
    assert dispatcher.list_departures() == [("u0", 1)]
    restarted = Member("u0", "127.0.0.1:0", "tartu-a", 2)
    dispatcher.set_members([restarted], 0.2)
    assert get_send(dispatcher.submit(make_request(2), 0.3)).upstream == "u0"


def test_late_refusal_does_not_exclude_a_restarted_upstream() -> None:
    """Guards against applying the refusal of an earlier incarnation to the present one."""
    dispatcher = make_dispatcher(1)
    send = get_send(dispatcher.submit(make_request(1), 0.0))
    dispatcher.set_members([Member("u0", "127.0.0.1:0", "tartu-a", 2)], 0.1)
    refused = AttemptResult(AttemptStatus.REFUSED, 503, is_draining=True)
    retry = get_send(dispatcher.finish(1, send.attempt, refused, 0.2))
    assert retry.upstream == "u0"


def test_more_processes_leave_fewer_connections_for_each() -> None:
    """Guards against dispatchers that ignore a change of `entry_hosts_max`."""
    dispatcher = make_dispatcher(1, connections_per_upstream=4)
    policy = ServicePolicy("desk", 2, connections_per_upstream=4)
    dispatcher.set_policy(policy, 4, 0.0)
    sends = [
        action
        for number in range(3)
        for action in dispatcher.submit(make_request(number), 0.0)
        if isinstance(action, Send)
    ]
    assert len(sends) == 1


@pytest.mark.parametrize("ratio", [0.05, 0.15, 0.4, 0.9])
def test_rounded_fractions_add_up_to_the_budget(ratio: float) -> None:
    """Guards against draws that allow more, or clearly fewer, retries than were earned."""
    draws = random.Random(5)
    budget = RetryBudget(RetryPolicy(ratio=ratio, floor_per_s=0.0), draws.random)
    requests = 20_000
    retries = 0
    for number in range(requests):
        budget.record_first_attempt()
        if number % 2:
            retries += budget.take(0.0)
    # Five standard deviations of the sum of that many draws.
    tolerance = 5.0 * (requests * 0.25) ** 0.5
    earned = min(ratio * requests, requests / 2)
    assert abs(retries - earned) <= tolerance


def test_whole_tokens_need_no_draw() -> None:
    """Guards against a retry that was earned and lost in a draw."""
    policy = RetryPolicy(ratio=0.5, floor_per_s=0.0, initial_tokens=2.0)
    budget = RetryBudget(policy, lambda: 1.0)
    assert [budget.take(0.0) for _ in range(3)] == [True, True, False]
