"""Upstreams that never answer a request that they cannot queue, as those of deployment T."""

import pytest

from amaranthbend.core.actions import AttemptResult, AttemptStatus, Cancel, Complete, Send
from amaranthbend.core.outcomes import Outcome, OutcomeReason, RetryReason
from amaranthbend.core.silence import (
    DELIVERY_MARGIN_S,
    MIN_SILENT_AGE_S,
    compute_fallback_time,
    find_silent,
)
from amaranthbend.core.silence_dispatcher import CONFIRMATION_S

from .dispatcher_cases import (
    ANSWERED,
    SERVER_ERROR,
    SLOTS,
    answer_probes,
    get_send,
    make_report,
)
from .priority_cases import list_members, make_call, make_policy, make_prioritizing

TIMEOUT = AttemptResult(AttemptStatus.FAILED, reason=OutcomeReason.TIMEOUT)
GOAL_S = 1.2


def test_error_does_not_wait_for_a_silent_attempt() -> None:
    """Guards against a 500 that is kept back until the deadline for an attempt that never ends.

    Seen on deployment T: 3.4 s after another attempt had been answered with 500.
    """
    dispatcher = make_prioritizing(3)
    request = make_call(1, goal_s=GOAL_S, deadline_s=5.0)
    first = get_send(answer_probes(dispatcher, dispatcher.submit(request, 0.0), 0.0))
    due = 0.6 * GOAL_S
    hedge = get_send(answer_probes(dispatcher, dispatcher.tick(due), due))
    assert dispatcher.finish(1, hedge.attempt, SERVER_ERROR, due + 0.3) == []
    now = due + 0.3
    ended: list[object] = []
    while not ended:
        now = max(now + 0.001, dispatcher.get_next_tick_time(now) or 0.0)
        assert now <= due + 0.3 + GOAL_S
        ended = [action for action in dispatcher.tick(now) if not isinstance(action, Send)]
    assert ended == [Cancel(1, first.attempt), Complete(1, Outcome.ANSWERED, None, hedge.attempt)]


def test_error_does_not_wait_for_a_silent_retry() -> None:
    """Guards against a 500 that is kept back until the deadline for a retry that never ends."""
    dispatcher = make_prioritizing(3)
    request = make_call(1, goal_s=GOAL_S, deadline_s=5.0)
    first = get_send(answer_probes(dispatcher, dispatcher.submit(request, 0.0), 0.0))
    actions = dispatcher.finish(1, first.attempt, SERVER_ERROR, 0.1)
    second = get_send(answer_probes(dispatcher, actions, 0.1))
    assert dispatcher.tick(0.1 + GOAL_S - 0.01) == []
    ended = dispatcher.tick(0.1 + GOAL_S)
    assert ended == [Cancel(1, second.attempt), Complete(1, Outcome.ANSWERED, None, first.attempt)]


def test_good_answer_replaces_a_kept_error() -> None:
    """Guards against delivering the error while the other attempt is about to succeed."""
    dispatcher = make_prioritizing(3)
    request = make_call(1, goal_s=GOAL_S, deadline_s=5.0)
    first = get_send(answer_probes(dispatcher, dispatcher.submit(request, 0.0), 0.0))
    due = 0.6 * GOAL_S
    hedge = get_send(answer_probes(dispatcher, dispatcher.tick(due), due))
    dispatcher.finish(1, hedge.attempt, SERVER_ERROR, due + 0.1)
    (end,) = dispatcher.finish(1, first.attempt, ANSWERED, due + 0.2)
    assert end == Complete(1, Outcome.ANSWERED, None, first.attempt)
    assert dispatcher.tick(due + 5.0) == []


def test_time_for_the_other_attempt_is_bounded() -> None:
    """Guards against a wait beyond the goal of the other attempt, or into the deadline."""
    assert compute_fallback_time(0.0, 1.2, 10.0, 0.5) == pytest.approx(1.2)
    assert compute_fallback_time(0.0, 1.2, 10.0, 3.0) == pytest.approx(3.3)
    assert compute_fallback_time(0.0, 1.2, 3.1, 3.0) == pytest.approx(3.1 - DELIVERY_MARGIN_S)


def test_finds_requests_that_an_upstream_has_dropped() -> None:
    """Guards against taking requests on their way, or those of others, for dropped ones."""
    attempts = [((1, 1), 0.0), ((2, 1), 0.5), ((3, 1), 1.0 - MIN_SILENT_AGE_S / 2)]
    assert find_silent(attempts, 2, 1.0) == []
    assert find_silent(attempts, 1, 1.0) == [(1, 1)]
    assert find_silent(attempts, 0, 1.0) == [(1, 1), (2, 1)]


@pytest.mark.parametrize("idempotent", [True, False])
def test_dropped_request_moves_if_it_may_run_twice(idempotent: bool) -> None:
    """Guards against idempotent requests that wait at an upstream which has dropped them.

    A non-idempotent one must not be sent again: nothing proves that it did not run.
    """
    dispatcher = make_prioritizing(3)
    request = make_call(1, goal_s=GOAL_S, deadline_s=5.0, idempotent=idempotent)
    first = get_send(answer_probes(dispatcher, dispatcher.submit(request, 0.0), 0.0))
    # Another request is probing while its upstream reports that it holds none.
    other = make_call(2, at=0.2, goal_s=GOAL_S, deadline_s=5.0)
    answer_probes(dispatcher, dispatcher.submit(other, 0.2), 0.201)
    assert answer_probes(dispatcher, dispatcher.tick(0.21), 0.21) == []
    due = 0.202 + CONFIRMATION_S
    answer_probes(dispatcher, dispatcher.tick(due), due)
    actions = answer_probes(dispatcher, dispatcher.tick(due + 0.001), due + 0.001)
    moved = [action for action in actions if isinstance(action, Send) and action.request_id == 1]
    if not idempotent:
        assert moved == []
        return
    (hedge,) = moved
    assert hedge.retry_reason is RetryReason.SLOW_ATTEMPT
    assert hedge.upstream != first.upstream


def test_without_retry_budget_nothing_moves() -> None:
    """Guards against silence that multiplies attempts beyond the retry budget."""
    retries = make_policy().retries._replace(ratio=0.0, floor_per_s=0.0)
    dispatcher = make_prioritizing(3, make_policy()._replace(retries=retries))
    answer_probes(dispatcher, dispatcher.submit(make_call(1), 0.0), 0.0)
    answer_probes(dispatcher, dispatcher.submit(make_call(2, at=0.1), 0.1), 0.101)
    actions = answer_probes(dispatcher, dispatcher.tick(0.16), 0.16)
    actions += answer_probes(dispatcher, dispatcher.tick(0.161), 0.161)
    assert not [a for a in actions if isinstance(a, Send) and a.request_id == 1]


def test_timeout_at_an_upstream_moves_the_others() -> None:
    """Guards against requests that wait for an upstream at which another one has timed out."""
    dispatcher = make_prioritizing(1)
    for number in (1, 2):
        request = make_call(number, goal_s=GOAL_S, deadline_s=2.0, idempotent=number == 2)
        send = get_send(answer_probes(dispatcher, dispatcher.submit(request, 0.0), 0.0))
        assert send.upstream == "u0"
    dispatcher.set_members(list_members(2), 0.3)
    (end,) = dispatcher.finish(1, 1, TIMEOUT, 0.4)
    assert end == Complete(1, Outcome.UNKNOWN, OutcomeReason.TIMEOUT)
    actions = answer_probes(dispatcher, dispatcher.tick(0.401), 0.401)
    assert [action.upstream for action in actions if isinstance(action, Send)] == ["u1"]


def test_upstream_that_cannot_queue_gets_nothing() -> None:
    """Guards against requests to an upstream that would never answer them.

    24 hosts report nothing new for a while, and this host has sent what there was room for.
    """
    dispatcher = make_prioritizing(1, processes=24)
    sends = 0
    for number in range(1, 40):
        now = 0.001 * number
        actions = dispatcher.submit(make_call(number, at=now), now)
        reports = {"u0": make_report(running=SLOTS, queued=1)}
        actions = answer_probes(dispatcher, actions, now, reports)
        sends += sum(isinstance(action, Send) for action in actions)
    # Slots and a queue of twice as many places, of which others may use a part as well.
    assert SLOTS + 1 + sends <= 2 * SLOTS


def test_response_on_its_way_is_not_silence() -> None:
    """Guards against hedges, and healthy upstreams that are avoided, for responses in transit."""
    dispatcher = make_prioritizing(3)
    request = make_call(1, goal_s=GOAL_S, deadline_s=5.0)
    first = get_send(answer_probes(dispatcher, dispatcher.submit(request, 0.0), 0.0))
    other = make_call(2, at=0.2, goal_s=GOAL_S, deadline_s=5.0)
    answer_probes(dispatcher, dispatcher.submit(other, 0.2), 0.201)
    dispatcher.finish(1, first.attempt, ANSWERED, 0.203)
    actions = answer_probes(dispatcher, dispatcher.tick(0.3), 0.3)
    assert not [action for action in actions if isinstance(action, Send)]
    assert all(load.paused_until < 0.2 for load in dispatcher._loads.values())
