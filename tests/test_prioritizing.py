"""The dispatcher that orders requests by urgency and holds them while there is no room.

Loads: bursts of 1.6 to 2.6 times the usual rate of one kind for some seconds, on deployments N and
T (docs/design/README.md), where each host has about three requests a second.
"""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthbend.core.actions import (
    Action,
    AttemptResult,
    Complete,
    Refuse,
    RequestInfo,
    Send,
)
from amaranthbend.core.outcomes import OutcomeReason, RetryReason
from amaranthbend.core.policy import ProbePolicy
from amaranthbend.core.prioritizing_dispatcher import HELD_TOKEN_SHARE, PrioritizingDispatcher
from amaranthbend.core.probe_rounds import MAX_PROBE_TOKENS, RequestProbeBudget
from amaranthbend.core.probing_dispatcher import ProbingDispatcher
from amaranthbend.core.waiting import WaitEnd

from .dispatcher_cases import (
    ANSWERED,
    FAILED,
    REFUSED,
    SERVER_ERROR,
    SLOTS,
    answer_probes,
    get_send,
    list_probes,
    make_report,
)
from .priority_cases import (
    FULL,
    list_ended,
    list_members,
    make_call,
    make_full_reports,
    make_policy,
    make_prioritizing,
)


def hold(
    dispatcher: PrioritizingDispatcher, request: RequestInfo, now: float = 0.0, upstreams: int = 2
) -> None:
    """Submit a request while all upstreams are full; it must be held."""
    actions = dispatcher.submit(request, now)
    assert answer_probes(dispatcher, actions, now, make_full_reports(upstreams)) == []


def test_waits_for_room_instead_of_a_refusal() -> None:
    """Guards against refusing `rate-check` at once while slots become free within its goal."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1))
    send = get_send(dispatcher.report("u1", make_report(running=1), 0.1))
    assert (send.request_id, send.upstream) == (1, "u1")
    (record,) = dispatcher.pop_wait_records()
    assert record.end is WaitEnd.SENT and record.waited_s == pytest.approx(0.1)


def test_room_goes_to_the_most_urgent() -> None:
    """Guards against room that goes to the request that came first, or whose probe found it."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1, priority=-1, goal_s=1.0, deadline_s=2.5))
    hold(dispatcher, make_call(2, priority=0))
    sends = dispatcher.report("u0", make_report(running=SLOTS - 1), 0.05)
    assert get_send(sends).request_id == 2
    assert get_send(dispatcher.report("u1", make_report(), 0.06)).request_id == 1


def test_rounds_that_end_together_send_each_request_once() -> None:
    """Guards against a non-idempotent request that runs twice, as two rounds found room for it."""
    dispatcher = make_prioritizing(upstreams=1)
    dispatcher.submit(make_call(1, priority=-1, idempotent=False), 0.0)
    dispatcher.submit(make_call(2, priority=0, idempotent=False), 0.0)
    sends = dispatcher.report("u0", make_report(), 0.005)
    assert [send.request_id for send in sends if isinstance(send, Send)] == [2, 1]


def test_new_request_does_not_overtake_a_held_one() -> None:
    """Guards against a later request that finds the room for which an equal one waits."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1))
    assert dispatcher.submit(make_call(2, at=0.01), 0.01) == []
    sends = dispatcher.report("u0", make_report(running=SLOTS - 1), 0.02)
    assert [send.request_id for send in sends if isinstance(send, Send)] == [1, 2]


def test_repeated_request_goes_before_a_new_one() -> None:
    """Guards against a caller that has come back after a refusal and is refused again."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1))
    hold(dispatcher, make_call(2, at=0.01, elapsed_s=0.2), 0.01)
    sends = dispatcher.report("u0", make_report(running=SLOTS - 1), 0.02)
    assert [send.request_id for send in sends if isinstance(send, Send)] == [2, 1]


def test_more_urgent_rank_may_use_more_of_an_upstream() -> None:
    """Guards against hosts that fill an upstream with less urgent requests up to its last place."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1, priority=-1, goal_s=1.0, deadline_s=2.5))
    hold(dispatcher, make_call(2, priority=0))
    queued = make_report(running=SLOTS, queued=1)
    sends = dispatcher.report("u0", queued, 0.05)
    assert get_send(sends).request_id == 2
    assert dispatcher.count_held_by_rank() != {}


def test_tries_again_by_timer() -> None:
    """Guards against a held request that nobody tries again when no attempt of this host ends."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1))
    due = dispatcher.get_next_tick_time(0.0)
    assert due is not None and 0.0 < due <= 0.1
    probes = dispatcher.tick(due)
    assert list_probes(probes)
    assert get_send(answer_probes(dispatcher, probes, due)).request_id == 1


def test_request_that_cannot_make_its_deadline_is_refused_at_once() -> None:
    """Guards against holding a request that can no longer be served."""
    dispatcher = make_prioritizing()
    send = get_send(answer_probes(dispatcher, dispatcher.submit(make_call(1), 0.0), 0.0))
    dispatcher.finish(1, send.attempt, ANSWERED, 0.8)
    hopeless = make_call(2, at=1.0, deadline_s=0.3)
    (refusal,) = dispatcher.submit(hopeless, 1.0)
    assert isinstance(refusal, Refuse)
    assert refusal.reason is OutcomeReason.DEADLINE_UNREACHABLE


def test_is_given_up_when_its_goal_is_lost() -> None:
    """Guards against a `stay-history` that is held until near its deadline."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1, goal_s=0.4, deadline_s=1.2))
    now, ended = 0.0, []
    while not ended:
        now = max(now + 0.001, dispatcher.get_next_tick_time(now) or 0.0)
        ended = answer_probes(dispatcher, dispatcher.tick(now), now, make_full_reports(2))
    (refusal,) = ended
    assert isinstance(refusal, Refuse) and now <= 0.4
    assert dispatcher.get_next_tick_time(now) is None or not dispatcher.count_held_by_rank()


def test_long_starvation_refuses_at_once() -> None:
    """Guards against holding all requests of a rank for which there is no room for seconds."""
    dispatcher = make_prioritizing()
    dispatcher.submit(make_call(1, at=0.0), 0.0)
    for now in (0.0, 1.0, 2.0):
        for name in ("u0", "u1"):
            dispatcher.report(name, FULL, now)
    actions = dispatcher.submit(make_call(2, at=2.0), 2.0)
    (refusal,) = answer_probes(dispatcher, actions, 2.0, make_full_reports(2))
    assert isinstance(refusal, Refuse) and refusal.request_id == 2
    assert refusal.retry_after_s > 1.0


def test_bounds_displace_the_least_urgent_request() -> None:
    """Guards against a queue without a bound, and against refusing the newest whatever its rank."""
    dispatcher = make_prioritizing(policy=make_policy(queue_length=2))
    hold(dispatcher, make_call(1, priority=-1))
    hold(dispatcher, make_call(2, priority=0))
    actions = dispatcher.submit(make_call(3, priority=0), 0.0)
    ended = answer_probes(dispatcher, actions, 0.0, make_full_reports(2))
    assert [(end.request_id, end.reason) for end in ended if isinstance(end, Refuse)] == [
        (1, OutcomeReason.QUEUE_FULL)
    ]


def test_bytes_are_bounded() -> None:
    """Guards against bodies of waiting requests that fill the memory of a host."""
    dispatcher = make_prioritizing(policy=make_policy(queue_bytes=100))
    hold(dispatcher, make_call(1, body_bytes=80))
    (refusal,) = dispatcher.submit(make_call(2, body_bytes=80), 0.0)
    assert isinstance(refusal, Refuse) and refusal.reason is OutcomeReason.QUEUE_FULL


def test_disconnect_of_a_held_request() -> None:
    """Guards against sending, or counting, a request whose caller has left."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1))
    assert list_ended(dispatcher.abandon(1, 0.01)) == [1]
    assert dispatcher.report("u0", make_report(), 0.02) == []
    assert dispatcher.count_held_by_rank() == {}


def test_planned_stop_answers_held_requests() -> None:
    """Guards against callers that get no response when the process ends."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1))
    (refusal,) = dispatcher.end_all()
    assert isinstance(refusal, Refuse) and refusal.reason is OutcomeReason.SHUTTING_DOWN
    assert dispatcher.report("u0", make_report(), 0.02) == []


def test_loss_of_all_upstreams_ends_the_wait() -> None:
    """Guards against waiting for upstreams that are gone."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1))
    (refusal,) = dispatcher.set_members([], 0.05)
    assert isinstance(refusal, Refuse) and refusal.reason is OutcomeReason.NO_UPSTREAM


def test_new_upstream_serves_held_requests() -> None:
    """Guards against held requests that don't notice added capacity."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1))
    dispatcher.set_members(list_members(3), 0.02)
    assert get_send(dispatcher.report("u2", make_report(), 0.03)).upstream == "u2"


def test_policy_without_priorities_releases_held_requests() -> None:
    """Guards against requests that stay held when a new configuration has no priorities."""
    dispatcher = make_prioritizing()
    hold(dispatcher, make_call(1))
    actions = dispatcher.set_policy(make_policy(is_prioritized=False), 1, 0.05)
    ended = answer_probes(dispatcher, actions, 0.05, make_full_reports(2))
    assert list_ended(ended) == [1]


def test_waiting_stays_within_the_probe_budget() -> None:
    """Guards against probes of held requests that exceed the limit of the instances.

    Load: 2.6 times what the upstreams take, for 20 s.
    """
    budget = RequestProbeBudget()
    budget.set_limit(10.0)
    dispatcher = make_prioritizing(upstreams=4, budget=budget)
    probes, now, number = 0, 0.0, 0
    while now < 20.0:
        number += 1
        now += 0.02
        actions = dispatcher.submit(make_call(number, at=now), now) + dispatcher.tick(now)
        while found := list_probes(actions):
            probes += len(found)
            actions = [action for name in found for action in dispatcher.report(name, FULL, now)]
    assert probes <= 10.0 * 4 * 20.0 + MAX_PROBE_TOKENS


def test_held_requests_leave_probes_for_new_ones() -> None:
    """Guards against held requests that spend the last probes, so that new ones get none."""
    budget = RequestProbeBudget()
    budget.set_limit(0.001)
    dispatcher = make_prioritizing(budget=budget)
    hold(dispatcher, make_call(1))
    budget.spend(int(budget.get_tokens() - 0.5 * HELD_TOKEN_SHARE * MAX_PROBE_TOKENS))
    assert list_probes(dispatcher.tick(0.1)) == []


def test_hedge_does_not_take_room_from_a_held_request() -> None:
    """Guards against second attempts while requests of the same rank have had none."""
    dispatcher = make_prioritizing()
    first = get_send(answer_probes(dispatcher, dispatcher.submit(make_call(1), 0.0), 0.0))
    hold(dispatcher, make_call(2, at=0.2), 0.2)
    now = 0.6 * 0.4 + 0.02
    actions = answer_probes(dispatcher, dispatcher.tick(now), now)
    sends = [action for action in actions if isinstance(action, Send)]
    assert sends[0].request_id == 2
    assert first.request_id == 1


Event = tuple[Any, ...]
EVENT = st.one_of(
    st.tuples(st.just("submit"), st.integers(-2, 0), st.sampled_from("abc"), st.booleans()),
    st.tuples(st.just("report"), st.integers(0, 2), st.integers(0, SLOTS), st.integers(0, 6)),
    st.tuples(st.just("fail_probe"), st.integers(0, 2)),
    st.tuples(
        st.just("finish"),
        st.integers(0, 9),
        st.sampled_from([ANSWERED, SERVER_ERROR, FAILED, REFUSED]),
    ),
    st.tuples(st.just("abandon"), st.integers(1, 30)),
    st.tuples(st.just("tick"), st.floats(0.001, 0.3)),
    st.tuples(st.just("members"), st.integers(0, 3)),
)
EVENTS = st.lists(EVENT, max_size=60)


POLICY_EVENT = st.tuples(st.just("policy"), st.booleans())
EVENTS_WITH_POLICIES = st.lists(st.one_of(EVENT, POLICY_EVENT), max_size=60)


class Play:
    """Plays events to a dispatcher, and records what becomes of each request."""

    def __init__(self, dispatcher: ProbingDispatcher) -> None:
        self.dispatcher = dispatcher
        self.now = 0.0
        self.requests: dict[int, RequestInfo] = {}
        self.unsent: set[int] = set()
        self.tried: dict[int, set[str]] = {}
        self.running: list[tuple[int, int]] = []
        self.ended: list[int] = []
        self.log: list[Action] = []
        self.is_ordered = True
        # Requests that arrived while nothing was ordered.
        self.exempt: set[int] = set()

    def play(self, event: Event) -> None:
        """Pass one event to the dispatcher, and handle what it returns."""
        kind, *values = event
        dispatcher, now = self.dispatcher, self.now
        if kind == "submit":
            priority, team, idempotent = values
            number = len(self.requests) + 1
            request = make_call(number, priority=priority, team=team, at=now, idempotent=idempotent)
            self.requests[number] = request
            self.unsent.add(number)
            if not self.is_ordered:
                self.exempt.add(number)
            self.tried[number] = set()
            self.handle(dispatcher.submit(request, now))
        elif kind == "report":
            upstream, running, queued = values
            self.handle(dispatcher.report(f"u{upstream}", make_report(running, queued), now))
        elif kind == "fail_probe":
            self.handle(dispatcher.report_probe_failure(f"u{values[0]}", now))
        elif kind == "finish" and self.running:
            position, result = values
            self.finish(self.running[position % len(self.running)], result)
        elif kind == "abandon":
            self.handle(dispatcher.abandon(values[0], now))
        elif kind == "tick":
            self.now += values[0]
            self.handle(dispatcher.tick(self.now))
        elif kind == "policy":
            policy = make_policy(is_prioritized=values[0])
            self.exempt |= self.unsent
            self.is_ordered = values[0]
            self.handle(dispatcher.set_policy(policy, 1, now))
        elif kind == "members":
            self.handle(dispatcher.set_members(list_members(values[0]), now))

    def finish(self, key: tuple[int, int], result: AttemptResult) -> None:
        """End an attempt; its request may be sent again if the result allows it."""
        self.running.remove(key)
        request_id = key[0]
        if request_id not in self.ended and not any(key[0] == request_id for key in self.running):
            self.unsent.add(request_id)
        self.handle(self.dispatcher.finish(*key, result, self.now))

    def handle(self, actions: list[Action]) -> None:
        """Record the actions; the attempts that they cancel stay in flight."""
        self.log += actions
        for action in actions:
            if isinstance(action, Send):
                assert action.request_id not in self.ended
                if not self.requests[action.request_id].idempotent:
                    assert all(action.request_id != key[0] for key in self.running)
                self.check_order(action)
                self.unsent.discard(action.request_id)
                self.tried[action.request_id].add(action.upstream)
                self.running.append((action.request_id, action.attempt))
            elif isinstance(action, Complete | Refuse):
                self.ended.append(action.request_id)
                self.unsent.discard(action.request_id)

    def check_order(self, send: Send) -> None:
        """Check that no more urgent request without an attempt could use the upstream."""
        if send.retry_reason is RetryReason.SLOW_ATTEMPT or not self.is_ordered:
            return
        sent = self.requests[send.request_id]
        for request_id in self.unsent - self.exempt:
            other = self.requests[request_id]
            if other.priority > sent.priority:
                assert send.upstream in self.tried[request_id]


@settings(max_examples=300, deadline=None)
@given(EVENTS_WITH_POLICIES)
def test_each_request_ends_once_and_in_order(events: list[Event]) -> None:
    """Guards against requests that are lost, end twice, or go before more urgent ones."""
    play = Play(make_prioritizing(3))
    for event in events:
        play.play(event)
    play.handle(play.dispatcher.end_all())
    assert sorted(play.ended) == sorted(play.requests)


@settings(max_examples=300, deadline=None)
@given(EVENTS_WITH_POLICIES)
def test_time_alone_ends_each_unsent_request(events: list[Event]) -> None:
    """Guards against a held request that no timer ends when nothing else happens any more."""
    play = Play(make_prioritizing(3))
    for event in events:
        play.play(event)
    for _ in range(2000):
        due = play.dispatcher.get_next_tick_time(play.now)
        if due is None:
            break
        play.now = max(due, play.now + 0.001)
        play.handle(play.dispatcher.tick(play.now))
    assert not play.unsent


@settings(max_examples=200, deadline=None)
@given(EVENTS, st.integers(0, 3))
def test_without_priorities_decides_as_before(events: list[Event], seed: int) -> None:
    """Guards against other decisions in deployments that don't mention priorities."""
    policy = make_policy(is_prioritized=False)
    plays = []
    for kind in (ProbingDispatcher, PrioritizingDispatcher):
        dispatcher = kind(policy, ProbePolicy(), "huye", seed)
        dispatcher.set_members(list_members(3), 0.0)
        plays.append(Play(dispatcher))
    for event in events:
        for play in plays:
            play.check_order = lambda _send: None  # type: ignore[method-assign]
            play.play(event)
        before, after = plays
        assert before.log == after.log
        due = [play.dispatcher.get_next_tick_time(play.now) for play in plays]
        assert due[0] == due[1]
