"""Requests that wait for room: their order, their bounds and the forecast of room."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.core.ejection import UpstreamHealth
from amaranthbend.core.outcomes import OutcomeReason
from amaranthbend.core.refusals import MAX_RETRY_AFTER_S, compute_retry_after_s
from amaranthbend.core.room import RoomForecast, estimate_outstanding
from amaranthbend.core.routing import UpstreamLoad
from amaranthbend.core.urgency import Rank
from amaranthbend.core.waiting import WaitEnd, WaitingRequests, compute_give_up_time

from .dispatcher_cases import make_report
from .priority_cases import list_members, make_call

ARRIVALS = st.lists(
    st.tuples(st.integers(-2, 0), st.booleans(), st.sampled_from(["a", "b", "c"])), max_size=30
)


def add(waiting: WaitingRequests, number: int, *, is_retried: bool = False, **call: object) -> None:
    """Add a held request."""
    request = make_call(number, **call)  # type: ignore[arg-type]
    goal_at = request.deadline
    entry = waiting.add(
        request, is_retried=is_retried, goal_at=goal_at, work_s=0.1, give_up_at=9.0, now=0.0
    )
    waiting.hold(entry)


@given(ARRIVALS)
def test_order_is_by_rank_then_retries(arrivals: list[tuple[int, bool, str]]) -> None:
    """Guards against an arrival order that puts a less urgent request before a more urgent one."""
    waiting = WaitingRequests()
    for number, (priority, is_retried, team) in enumerate(arrivals):
        add(waiting, number, priority=priority, team=team, is_retried=is_retried)
    ordered = waiting.list_ordered()
    keys = [(-entry.request.priority, entry.key.is_new) for entry in ordered]
    assert keys == sorted(keys)
    for entry in ordered:
        waiting.remove(entry.request.request_id, WaitEnd.SENT, 1.0)
    assert len(waiting) == waiting.count_held() == 0
    assert len(waiting.pop_records()) == len(arrivals)


@given(st.integers(1, 200), st.integers(1, 20))
def test_large_team_does_not_starve_small_ones(burst: int, small_teams: int) -> None:
    """Guards against a burst of one team that is served before all others of its priority.

    Load: one team sends 4 to 7 times its usual rate beside 85 small ones.
    """
    waiting = WaitingRequests()
    for number in range(burst):
        add(waiting, number, team="large")
    for number in range(small_teams):
        add(waiting, 1000 + number, team=f"small{number}")
    first = [entry.request.team for entry in waiting.list_ordered()[: small_teams + 1]]
    assert first.count("large") == 1


def test_team_that_was_served_does_not_go_first_again() -> None:
    """Guards against a large team that always has one request at the front."""
    waiting = WaitingRequests()
    for number in range(5):
        add(waiting, number, team="large")
        waiting.remove(number, WaitEnd.SENT, 0.0)
    add(waiting, 5, team="large")
    add(waiting, 6, team="small")
    assert waiting.list_ordered()[0].request.team == "small"


@given(
    st.lists(st.tuples(st.integers(-2, 0), st.integers(0, 500)), max_size=40),
    st.integers(0, 10),
    st.integers(0, 1000),
)
def test_bounds_displace_the_least_urgent(
    arrivals: list[tuple[int, int]], max_held: int, max_bytes: int
) -> None:
    """Guards against waiting requests without a bound on number and bytes in a burst."""
    waiting = WaitingRequests()
    for number, (priority, size) in enumerate(arrivals):
        add(waiting, number, priority=priority, body_bytes=size)
    displaced = waiting.list_excess(max_held, max_bytes)
    for entry in displaced:
        waiting.remove(entry.request.request_id, WaitEnd.DISPLACED, 0.0)
    kept = waiting.list_ordered()
    assert len(kept) <= max_held
    assert sum(entry.request.body_bytes for entry in kept) <= max_bytes
    assert all(entry.key > other.key for entry in displaced for other in kept)


def test_waits_as_long_as_the_goal_can_be_met() -> None:
    """Guards against refusing a `stay-history` that still has seconds, and holding it for too long.

    Times of deployment N. A request whose goal is lost may wait for a quarter of its time.
    """
    history = make_call(1, goal_s=3.0, deadline_s=4.0)
    assert compute_give_up_time(history, 0.0, 0.64, 0.5) == 3.0 - 0.64
    assert compute_give_up_time(history, 0.0, 0.64, 2.5) == 1.0
    assert compute_give_up_time(history, 0.0, 3.9, 0.0) < 0.11
    # A repeated request has used up that part.
    again = make_call(2, at=1.0, elapsed_s=1.0, goal_s=0.4, deadline_s=1.2)
    assert compute_give_up_time(again, 0.0, 0.16, 1.0) == pytest.approx(0.55)


def test_estimate_grows_with_age_and_hosts() -> None:
    """Guards against a send to an upstream that other hosts have filled since its report.

    Upstreams of deployment T never answer a request that they cannot queue.
    """
    load = UpstreamLoad(list_members(1)[0], False, 0)
    load.health = UpstreamHealth()
    load.record_report(make_report(running=1), 0, 0.0)
    estimates = [
        estimate_outstanding(load, [], 6.0, 194, 0.4, now) for now in (0.003, 0.05, 0.5, 5.0)
    ]
    assert estimates == sorted(estimates)
    assert estimates[0] < 1.2 and estimates[-1] > 8.0
    assert estimate_outstanding(load, [], 6.0, 1, 0.4, 5.0) < 0.1
    load.sent_since_report = 2
    assert estimate_outstanding(load, [], 6.0, 194, 0.4, 0.003) > 3.0


def test_estimate_counts_requests_on_their_way() -> None:
    """Guards against a burst that fills an upstream beyond its queue between two reports.

    Seen over a node process: 40 requests at once, of which an instance with 4 slots and a queue of
    8 dropped 9, since each report reset the count of those that were still on their way.
    """
    load = UpstreamLoad(list_members(1)[0], False, 0)
    load.record_report(make_report(running=0), 0, 1.0)
    load.in_flight = 4
    on_their_way = [0.97, 0.98, 0.99, 1.0]
    assert estimate_outstanding(load, on_their_way, 1.0, 1, 0.1, 1.001) >= 4.0
    assert estimate_outstanding(load, [0.5, 0.6], 1.0, 1, 0.1, 1.001) >= 4.0
    load.record_report(make_report(running=2), 0, 2.0)
    assert 5.9 < estimate_outstanding(load, [1.96, 1.97, 1.98, 1.99], 1.0, 1, 0.1, 2.001) <= 6.0


def test_forecast_counts_requests_ahead_and_full_time() -> None:
    """Guards against a `Retry-After` of 0.1 s while the next slot for a rank is seconds away.

    Deployment N: 139 hosts, 106 upstreams of 3 slots, work of 0.18 s.
    """
    forecast = RoomForecast()
    urgent, other = Rank(0, 0), Rank(0, -1)
    for _ in range(100):
        forecast.record_report(4, 3)
    forecast.record_room([other, urgent], [4.0, 6.0], 4, 1.0)
    first_s = forecast.estimate_wait_s(urgent, 0, 106, 139, 0.18, 3.0)
    assert 0.07 < first_s < 0.09
    assert abs(forecast.estimate_wait_s(urgent, 9, 106, 139, 0.18, 3.0) - 10 * first_s) < 1e-6
    assert forecast.estimate_wait_s(other, 0, 106, 139, 0.18, 3.0) == 2.0
    forecast.record_room([other, urgent], [4.0, 6.0], 1, 3.0)
    assert forecast.estimate_wait_s(other, 0, 106, 139, 0.18, 3.0) == first_s


def test_host_with_most_requests_goes_by_its_own_rate() -> None:
    """Guards against a host that refuses all it gets, since it expects an equal share of the slots.

    Load: the other hosts of the data centre restart, and one host gets all of its requests.
    """
    forecast = RoomForecast()
    forecast.record_report(3, 3)
    for number in range(1, 100):
        forecast.record_service(0.0, number * 0.01)
    assert forecast.estimate_interval_s(106, 139, 0.18, 1.0) < 0.02
    assert forecast.estimate_interval_s(106, 139, 0.18, 9.0) > 0.07


def test_retry_after_follows_the_expected_wait() -> None:
    """Guards against callers that come back before there is room, or long after."""
    full = OutcomeReason.CONCURRENCY_LIMIT
    assert compute_retry_after_s(full, 0.01, 0.1) == 0.1
    # The filter spreads the delay up to twice this value, around the expected time.
    assert 0.5 < compute_retry_after_s(full, 0.8, 0.1) < 0.8 < 2 * 0.6
    assert compute_retry_after_s(full, 60.0, 0.1) == MAX_RETRY_AFTER_S
    assert compute_retry_after_s(OutcomeReason.RETRY_BUDGET, 0.8, 0.1) == 0.1
