"""Decisions about evacuated data centres, without a network."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.adapters.metrics import Counters
from amaranthbend.adapters.upstream import UpstreamClient
from amaranthbend.controllers import watch_handlers
from amaranthbend.controllers.watch_handlers import EvacuationHandler
from amaranthbend.core.actions import Action, Member, Probe, Refuse
from amaranthbend.core.evacuations import Evacuations
from amaranthbend.core.outcomes import OutcomeReason
from amaranthbend.core.policy import RequestProbePolicy
from amaranthbend.core.probing_dispatcher import ProbingDispatcher
from amaranthbend.core.watching import ObjectEvent, StoreChanges, StoredObject
from amaranthbend.filters.dispatch import DispatchFilter
from amaranthbend.filters.services import DispatchSettings

from .dispatcher_cases import (
    ANSWERED,
    FAILED,
    GOAL_S,
    REFUSED,
    answer_probes,
    get_send,
    list_probes,
    make_dispatcher,
    make_report,
    make_request,
    submit_and_answer,
)

DATA_CENTRES = ("huye", "kaya", "voru")


def make_event(name: str, revision: int, *, is_removal: bool = False) -> ObjectEvent:
    """Return the creation or the removal of an evacuation."""
    return ObjectEvent(StoredObject(name, revision, {}), is_removal)


def make_two_centres(upstreams: int = 4) -> ProbingDispatcher:
    """Return a dispatcher whose upstreams u0, u2, ... are in `huye` and the others in `kaya`."""
    dispatcher = make_dispatcher(0)
    members = [
        Member(f"u{n}", f"127.0.0.1:{9000 + n}", DATA_CENTRES[n % 2], 1) for n in range(upstreams)
    ]
    dispatcher.set_members(members, 0.0)
    return dispatcher


def list_chosen(dispatcher: ProbingDispatcher, requests: int = 20) -> set[str]:
    """Return the upstreams that requests are sent to, one after the other."""
    chosen: set[str] = set()
    for number in range(100, 100 + requests):
        now = 0.5 + 0.01 * (number - 100)
        send = submit_and_answer(dispatcher, make_request(number), now)
        dispatcher.finish(number, send.attempt, ANSWERED, now + 0.005)
        chosen.add(send.upstream)
    return chosen


def test_older_state_of_the_store_changes_nothing() -> None:
    """Guards against an evacuation that ends, or begins again, by a list of a lagging replica."""
    evacuations = Evacuations()
    evacuations.apply([make_event("huye", 7)], 0.0)
    evacuations.replace(StoreChanges([], 6), 1.0)
    assert evacuations.data_centres == {"huye"}
    evacuations.apply([make_event("huye", 9, is_removal=True)], 2.0)
    evacuations.replace(StoreChanges([make_event("huye", 7)], 8), 3.0)
    assert evacuations.data_centres == frozenset()


def test_missing_object_in_a_newer_list_is_lifted() -> None:
    """Guards against an evacuation that never ends after the store has lost its history."""
    evacuations = Evacuations()
    evacuations.apply([make_event("huye", 7)], 0.0)
    (change,) = evacuations.replace(StoreChanges([], 12), 5.0)
    assert (change.data_centre, change.is_lifted, change.lasted_s) == ("huye", True, 5.0)


@given(
    st.lists(st.tuples(st.sampled_from(DATA_CENTRES), st.booleans()), max_size=12),
    st.lists(st.tuples(st.integers(0, 12), st.booleans()), max_size=20),
)
def test_newest_state_holds_in_any_order(
    history: list[tuple[str, bool]], deliveries: list[tuple[int, bool]]
) -> None:
    """Guards against lists and changes that arrive late, twice or out of order."""
    events = [make_event(name, n, is_removal=gone) for n, (name, gone) in enumerate(history, 1)]
    evacuations = Evacuations()
    for upto, is_list in [*deliveries, (len(events), True)]:
        seen = events[:upto]
        latest = {event.object.name: event for event in seen}
        if is_list:
            listed = [event for event in latest.values() if not event.is_removal]
            evacuations.replace(StoreChanges(listed, len(seen)), 0.0)
        else:
            evacuations.apply(latest.values(), 0.0)
    final = {event.object.name: event.is_removal for event in events}
    assert evacuations.data_centres == {name for name, gone in final.items() if not gone}


def test_evacuated_upstreams_get_neither_probes_nor_requests() -> None:
    """Guards against requests to a data centre that is being emptied."""
    dispatcher = make_two_centres()
    dispatcher.set_evacuated(frozenset({"huye"}), 0.0)
    probes = dispatcher.submit(make_request(), 0.0)
    assert set(list_probes(probes)) == {"u1", "u3"}
    answer_probes(dispatcher, probes, 0.002)
    assert list_chosen(dispatcher) <= {"u1", "u3"}


def test_round_that_has_begun_obeys() -> None:
    """Guards against an attempt whose upstream was evacuated while its probe was in flight."""
    dispatcher = make_dispatcher(2)
    members = [Member("u0", "127.0.0.1:1", "huye", 1), Member("u1", "127.0.0.1:2", "kaya", 1)]
    dispatcher.set_members(members, 0.0)
    dispatcher.submit(make_request(), 0.0)
    dispatcher.report("u0", make_report(), 0.001)
    dispatcher.set_evacuated(frozenset({"huye"}), 0.002)
    assert get_send(dispatcher.report("u1", make_report(running=3), 0.003)).upstream == "u1"


@pytest.mark.parametrize("result", [REFUSED, FAILED])
def test_retry_and_hedge_obey(result: object) -> None:
    """Guards against a second attempt in a data centre that was evacuated after the first."""
    dispatcher = make_two_centres(2)
    dispatcher.set_evacuated(frozenset({"huye"}), 0.0)
    first = submit_and_answer(dispatcher, make_request())
    assert first.upstream == "u1"
    due = RequestProbePolicy().hedge_delay_share * GOAL_S
    assert answer_probes(dispatcher, dispatcher.tick(due), due) == []
    retry = answer_probes(dispatcher, dispatcher.finish(1, 1, result, 0.3), 0.3)  # type: ignore[arg-type]
    sent = [action for action in retry if isinstance(action, Probe) or hasattr(action, "upstream")]
    assert {action.upstream for action in sent} <= {"u1"}


def test_blind_choice_obeys() -> None:
    """Guards against requests to an evacuated data centre while probes are lost or scarce."""
    dispatcher = make_two_centres(2)
    submit_and_answer(dispatcher, make_request(1))
    dispatcher.set_evacuated(frozenset({"huye"}), 0.1)
    dispatcher.submit(make_request(2), 0.2)
    timeout_at = 0.2 + RequestProbePolicy().timeout_s
    assert get_send(dispatcher.tick(timeout_at)).upstream == "u1"


def test_request_in_flight_finishes() -> None:
    """Guards against requests that are cut off when their data centre is evacuated."""
    dispatcher = make_two_centres(2)
    send = submit_and_answer(dispatcher, make_request())
    assert send.upstream == "u0"
    assert dispatcher.set_evacuated(frozenset({"huye"}), 0.1) == []
    (end,) = dispatcher.finish(1, send.attempt, ANSWERED, 0.2)
    assert end.request_id == 1
    assert not isinstance(end, Refuse)


@pytest.mark.parametrize("known", [True, False])
def test_request_without_a_data_centre_is_refused_at_once(known: bool) -> None:
    """Guards against requests that are probed for, or told to come back at once, in vain."""
    dispatcher = make_two_centres()
    dispatcher.set_evacuated(frozenset({"huye", "kaya"}) if known else None, 0.0)
    (refusal,) = dispatcher.submit(make_request(), 0.0)
    assert isinstance(refusal, Refuse)
    assert refusal.reason is OutcomeReason.NO_UPSTREAM
    assert refusal.retry_after_s > 0


def test_lifted_data_centre_is_used_again_gradually() -> None:
    """Guards against a data centre that stays unused, or gets many requests at once."""
    dispatcher = make_two_centres(2)
    dispatcher.set_evacuated(frozenset({"huye"}), 0.0)
    assert list_chosen(dispatcher) == {"u1"}
    dispatcher.set_evacuated(frozenset(), 0.6)
    sent: list[Action] = [
        submit_and_answer(dispatcher, make_request(number), 0.7) for number in (1, 2, 3)
    ]
    assert [getattr(action, "upstream", "") for action in sent].count("u0") == 1


def test_members_that_change_during_an_evacuation_stay_excluded() -> None:
    """Guards against an evacuation that is lost when the list of upstreams changes."""
    dispatcher = make_two_centres()
    dispatcher.set_evacuated(frozenset({"huye"}), 0.0)
    members = [Member(f"u{n}", f"127.0.0.1:{n}", DATA_CENTRES[n % 2], 1) for n in range(6)]
    dispatcher.set_members(members, 0.1)
    assert list_chosen(dispatcher) <= {"u1", "u3", "u5"}


def make_handler() -> tuple[EvacuationHandler, DispatchFilter]:
    """Return a handler and the filter that it tells."""
    dispatch = DispatchFilter(UpstreamClient(), Counters(), DispatchSettings("huye", 1, 1.0, 1.0))
    return EvacuationHandler(dispatch, lambda: 0.1, Counters()), dispatch


def test_nothing_is_sent_before_the_first_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a host that starts and sends to an evacuated data centre, or waits forever."""
    monkeypatch.setattr(watch_handlers, "EVACUATIONS_WAIT_S", 0.05)

    async def check() -> None:
        handler, dispatch = make_handler()
        assert dispatch.evacuated is None
        handler.set_store_reachable(False, 0.0)
        assert dispatch.evacuated is None
        handler.replace_all(StoreChanges([make_event("huye", 3)], 3), 0.0)
        assert dispatch.evacuated == {"huye"}
        late, dispatch = make_handler()
        task = asyncio.ensure_future(late.run(lambda: True))
        async with asyncio.timeout(5.0):
            while late.is_waiting:
                await asyncio.sleep(0.01)
        assert dispatch.evacuated == frozenset()
        late.replace_all(StoreChanges([make_event("huye", 3)], 3), 0.0)
        assert dispatch.evacuated == {"huye"}
        task.cancel()

    asyncio.run(check())
