"""Eras of the store: positions, responses of other eras, and what is kept of what is known."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from amaranthbend.core.actions import Member, UpstreamState
from amaranthbend.core.change_log import ChangeLog
from amaranthbend.core.evacuations import Evacuations
from amaranthbend.core.positions import Eras, Position, get_era
from amaranthbend.core.reconciliation import REWRITE_S, InstanceReconciler, VersionReconciler
from amaranthbend.core.registry import Listing, RegistryTimes, UpstreamRegistry
from amaranthbend.core.watching import ObjectEvent, StoreChanges, StoredObject, StoreErrorKind
from amaranthbend.platform.documents import read_progress, read_version
from amaranthbend.platform.store import StoreClient

from .entry_cases import ScriptedUpstream, read_message

MAX_AGE_S = 1.8
NUMBERS = st.integers(0, 2**53)


@given(NUMBERS, NUMBERS, NUMBERS, NUMBERS)
def test_positions_are_ordered_by_era_first(era: int, at: int, other: int, other_at: int) -> None:
    """Guards against a revision that is given out again and taken for the earlier one."""
    first, second = Position(era, at), Position(other, other_at)
    assert (first < second) == ((era, at) < (other, other_at))
    assert (first == second) == ((era, at) == (other, other_at))
    # As between hosts, and of an earlier version of this program.
    passed_on = Position.from_number(json.loads(json.dumps(first)))
    assert (passed_on.era, passed_on.revision) == (era, at)
    assert Position(0, at) == at
    assert get_era(at) == 0


def test_return_is_noticed_once() -> None:
    """Guards against lists for the first response of a store, and for each response after it."""
    returns: list[tuple[int, int]] = []
    eras = Eras()
    eras.on_return = lambda before, era: returns.append((before, era))
    for era in (3, 3, 4, 3, 4, 6):
        eras.note(era)
    assert returns == [(3, 4), (4, 6)]
    assert eras.latest == 6


def make_response(era: str | None, document: Any, status: str = "200 OK") -> bytes:
    """Return a response of the store."""
    body = json.dumps(document).encode()
    field = "" if era is None else f"Store-Era: {era}\r\n"
    head = f"HTTP/1.1 {status}\r\n{field}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def run_client(
    responses: list[bytes],
    check: Callable[[StoreClient, Eras, list[bytes]], Coroutine[Any, Any, None]],
) -> None:
    """Run a check with a client whose calls get the responses in turn."""

    async def run() -> None:
        requests: list[bytes] = []

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append((await read_message(reader))[0])
            writer.write(responses.pop(0))
            await writer.drain()

        async with ScriptedUpstream(answer) as server:
            eras = Eras()
            await check(StoreClient(server.address, eras), eras, requests)

    asyncio.run(run())


def make_page(at: int, *names: str, more: bool = False) -> dict[str, Any]:
    """Return the document of a list and of a watch."""
    objects = [{"metadata": {"name": name, "revision": 1}, "specification": {}} for name in names]
    events = [{"object": each, "deleted": False} for each in objects]
    return {"items": objects, "hasMore": more, "at": at, "events": events}


def test_watch_does_not_go_on_in_another_era() -> None:
    """Guards against changes after a revision that has become another state of the store."""

    async def check(client: StoreClient, eras: Eras, _requests: list[bytes]) -> None:
        listed = (await client.list_objects("servers")).unwrap()
        assert listed.revision == Position(4, 90)
        watched = await client.watch_objects("servers", listed.revision, 0.0)
        assert isinstance(watched, Err)
        assert watched.err_value.kind is StoreErrorKind.HISTORY_LOST
        assert eras.latest == 5

    run_client([make_response("4", make_page(90)), make_response("5", make_page(95))], check)


@pytest.mark.parametrize("era", ["3", None, "x", "-1", "9" * 30, "4, 4"])
def test_response_of_an_earlier_or_no_era_changes_nothing(era: str | None) -> None:
    """Guards against a late response or a stale replica that brings an older state back."""

    async def check(client: StoreClient, eras: Eras, _requests: list[bytes]) -> None:
        assert isinstance(await client.list_objects("servers"), Ok)
        for call in (
            client.list_objects("servers", may_lag=True),
            client.watch_objects("servers", Position(4, 90), 0.0),
            client.read_revision("servers"),
            client.create_object("servers", "u0", {}),
        ):
            answer = await call
            assert isinstance(answer, Err)
            assert answer.err_value.kind is not StoreErrorKind.HISTORY_LOST
        assert eras.latest == 4

    good = make_response("4", make_page(90))
    run_client([good] + [make_response(era, make_page(70, "u0"))] * 4, check)


def test_error_of_an_earlier_era_says_nothing() -> None:
    """Guards against an object taken for existing, or history for lost, as it was before."""

    async def check(client: StoreClient, _eras: Eras, _requests: list[bytes]) -> None:
        assert isinstance(await client.list_objects("servers"), Ok)
        created = await client.create_object("servers", "u0", {})
        assert isinstance(created, Err)
        assert created.err_value.kind is StoreErrorKind.UNAVAILABLE
        watched = await client.watch_objects("servers", Position(4, 90), 0.0)
        assert isinstance(watched, Err)
        assert watched.err_value.kind is StoreErrorKind.UNAVAILABLE

    responses = [
        make_response("4", make_page(90)),
        make_response("3", {}, "409 Conflict"),
        make_response("3", {}, "410 Gone"),
    ]
    run_client(responses, check)


def test_list_is_of_one_era() -> None:
    """Guards against a list whose first page is of another era than the others."""

    async def check(client: StoreClient, _eras: Eras, _requests: list[bytes]) -> None:
        assert isinstance(await client.list_objects("servers"), Err)

    responses = [
        make_response("4", make_page(90, "u0", more=True)),
        make_response("5", make_page(80, "u1")),
    ]
    run_client(responses, check)


def test_removal_by_a_revision_of_an_earlier_era_is_not_sent() -> None:
    """Guards against the removal of an object that has the same revision in the new era."""

    async def check(client: StoreClient, _eras: Eras, requests: list[bytes]) -> None:
        listed = (await client.list_objects("hosts-a")).unwrap()
        await client.list_objects("hosts-a")
        removed = await client.remove_object("hosts-a", "u0", listed.events[0].object.revision)
        assert isinstance(removed, Err)
        assert removed.err_value.kind is StoreErrorKind.CONFLICT
        assert len(requests) == 2

    pages = [make_response(era, make_page(90, "u0")) for era in ("4", "5")]
    run_client(pages, check)


def make_event(name: str, at: int, value: Any, is_removal: bool = False) -> ObjectEvent:
    """Return the change of an object."""
    return ObjectEvent(StoredObject(name, at, value), is_removal)


def test_nothing_of_an_earlier_era_is_relayed() -> None:
    """Guards against hosts that confirm to each other what the store has lost."""
    log = ChangeLog(MAX_AGE_S)
    log.record_list(StoreChanges([make_event("u0", 5, 1)], 5), 0.0)
    assert isinstance(log.get_changes(5, 0.1), Ok)
    log.begin_era(1)
    assert not log.has_list
    assert isinstance(log.get_changes(5, 0.1), Err)
    assert isinstance(log.get_list(0.1), Err)
    # Late answers of the earlier era confirm nothing.
    log.record_changes(StoreChanges([make_event("u1", 6, 1)], 6), 0.2)
    log.record_list(StoreChanges([make_event("u1", 6, 1)], 6), 0.2)
    assert isinstance(log.get_list(0.2), Err)
    log.record_list(StoreChanges([make_event("u0", Position(1, 3), 1)], Position(1, 4)), 0.3)
    relayed = log.get_list(0.3).unwrap()
    assert [event.object.name for event in relayed.changes.events] == ["u0"]
    behind = log.get_changes(6, 0.3)
    assert isinstance(behind, Err)
    assert (behind.err_value.kind, behind.err_value.era) == (StoreErrorKind.HISTORY_LOST, 1)


def test_host_that_lags_behind_confirms_nothing_to_others() -> None:
    """Guards against a follower that takes an older host's word that nothing has changed."""
    log = ChangeLog(MAX_AGE_S)
    log.record_list(StoreChanges([], 5), 0.0)
    assert isinstance(log.get_changes(Position(0, 7), 0.1), Ok)
    assert isinstance(log.get_changes(Position(1, 3), 0.1), Err)


def list_values(changes: StoreChanges) -> dict[str, Any]:
    """Return the values in changes, None for a removal."""
    return {
        event.object.name: None if event.is_removal else event.object.value
        for event in changes.events
    }


def test_older_version_is_replaced_by_the_known_one() -> None:
    """Guards against a dropped route or a withdrawn key in force again."""
    reconciler = VersionReconciler(read_version)
    versions = {number: {"version": number} for number in (1, 2, 3, 4)}

    def state(at: int, number: int | None, *, is_list: bool = False) -> Any:
        events = [] if number is None else [make_event("main", at, versions[number])]
        changes = reconciler.reconcile(StoreChanges(events, at), is_list=is_list)
        return list_values(changes).get("main")

    assert state(5, 1, is_list=True) == versions[1]
    assert state(9, 3) == versions[3]
    # Before the first return the store alone decides.
    assert state(10, 2) == versions[2]
    assert state(11, 3) == versions[3]
    assert state(Position(1, 6), 1, is_list=True) == versions[3]
    assert state(Position(1, 7), 2) == versions[3]
    assert state(Position(1, 8), 3) == versions[3]
    assert state(Position(2, 2), None, is_list=True) == versions[3]
    assert state(Position(2, 3), 4) == versions[4]


@pytest.mark.parametrize(
    ("at_return", "is_list", "expected"),
    [
        # The entry before its removal, as the copy has it.
        ({"born": 1, "sequence": 7}, True, None),
        ({"born": 1, "sequence": 5}, True, None),
        # Written in the new era: the same write again, a later one, and that of a new start.
        ({"born": 1, "sequence": 7}, False, {"born": 1, "sequence": 7}),
        ({"born": 1, "sequence": 8}, True, {"born": 1, "sequence": 8}),
        ({"born": 2, "sequence": 1}, True, {"born": 2, "sequence": 1}),
        # An entry of another writer is left to its decoder.
        ({"state": 5}, True, {"state": 5}),
    ],
)
def test_removed_instance_is_used_only_after_another_write(
    at_return: dict[str, Any], is_list: bool, expected: Any
) -> None:
    """Guards against requests to an instance that has left, by its returned entry."""
    reconciler = InstanceReconciler(read_progress)
    before = StoreChanges([make_event("i-0", 4, {"born": 1, "sequence": 7})], 5)
    reconciler.reconcile(before, is_list=True)
    reconciler.reconcile(StoreChanges([make_event("i-0", 4, None, True)], 6), is_list=False)
    at = Position(1, 4)
    returned = StoreChanges([make_event("i-0", at, at_return)], at)
    assert list_values(reconciler.reconcile(returned, is_list=is_list)).get("i-0") == expected


def test_older_entry_of_an_instance_is_replaced_by_the_known_one() -> None:
    """Guards against work for an instance that is leaving, as the copy says that it is ready."""
    reconciler = InstanceReconciler(read_progress)
    leaving = {"born": 1, "sequence": 8, "state": "draining"}
    reconciler.reconcile(StoreChanges([make_event("i-0", 4, leaving)], 5), is_list=True)
    at = Position(1, 3)
    ready = {"born": 1, "sequence": 7, "state": "ready"}
    returned = StoreChanges([make_event("i-0", at, ready)], at)
    assert list_values(reconciler.reconcile(returned, is_list=True)) == {"i-0": leaving}


def test_store_alone_decides_within_an_era() -> None:
    """Guards against an instance that stays unused, as its clock was ahead at an earlier start."""
    reconciler = InstanceReconciler(read_progress)
    ahead, behind = {"born": 9, "sequence": 3}, {"born": 5, "sequence": 1}

    def state(at: int, value: dict[str, Any], *, is_list: bool = False) -> Any:
        changes = StoreChanges([make_event("i-0", at, value)], at)
        return list_values(reconciler.reconcile(changes, is_list=is_list))["i-0"]

    assert state(Position(1, 4), ahead, is_list=True) == ahead
    assert state(Position(1, 5), behind) == behind
    assert state(Position(1, 6), ahead) == ahead
    # After a return, the known value holds until one that is not older is stated.
    assert state(Position(2, 2), behind, is_list=True) == ahead
    assert state(Position(2, 3), ahead) == ahead
    assert state(Position(2, 4), behind) == behind


def test_living_instance_that_the_copy_lacks_may_write_the_same_again() -> None:
    """Guards against an instance that stays unused as its number has not risen."""
    reconciler = InstanceReconciler(read_progress)
    value = {"born": 1, "sequence": 1}
    reconciler.reconcile(StoreChanges([make_event("i-0", 4, value)], 5), is_list=True)
    assert not reconciler.reconcile(StoreChanges([], Position(1, 2)), is_list=True).events
    written = StoreChanges([make_event("i-0", Position(1, 3), value)], Position(1, 3))
    assert list_values(reconciler.reconcile(written, is_list=False)) == {"i-0": value}


def test_lost_evacuation_is_lifted_only_after_a_while() -> None:
    """Guards against requests into an evacuated data centre, and against one that never ends."""
    evacuations = Evacuations()
    evacuations.replace(StoreChanges([make_event("huye", 4, {})], 5), 0.0)
    assert evacuations.data_centres == {"huye"}
    assert not evacuations.replace(StoreChanges([], Position(1, 3)), 1.0)
    # The history is lost once more before the operator has written it again.
    assert not evacuations.replace(StoreChanges([], Position(1, 4)), 2.0)
    assert not evacuations.lift_lost(1.0 + REWRITE_S - 0.1)
    assert evacuations.data_centres == {"huye"}
    assert [change.is_lifted for change in evacuations.lift_lost(1.0 + REWRITE_S)] == [True]
    assert not evacuations.data_centres


def test_evacuation_that_is_written_again_holds() -> None:
    """Guards against an evacuation that ends by the time since the store has lost it."""
    evacuations = Evacuations()
    evacuations.replace(StoreChanges([make_event("huye", 4, {})], 5), 0.0)
    evacuations.replace(StoreChanges([], Position(1, 3)), 1.0)
    evacuations.apply([make_event("huye", Position(1, 4), {})], 2.0)
    assert not evacuations.lift_lost(100.0)
    assert evacuations.data_centres == {"huye"}
    removed = evacuations.apply([make_event("huye", Position(1, 5), None, True)], 101.0)
    assert [change.is_lifted for change in removed] == [True]


def test_upstream_whose_entry_returns_is_not_cold_again() -> None:
    """Guards against slow starts of all upstreams because the store states their entries anew."""
    registry = UpstreamRegistry(RegistryTimes(1.4, 2.2))
    member = Member("u0", "10.0.0.1:80", "huye", 1)
    registry.put(Listing("desk", member, 4, 5.0, 7), 0.0)
    registry.put(Listing("desk", member, 4, 5.0, Position(1, 3)), 4.0)
    (listed,) = registry.list_members(5.1)["desk"]
    assert listed.state is UpstreamState.SERVING
    registry.put(Listing("desk", member, 4, 5.0, Position(1, 4)), 6.0)
    (listed,) = registry.list_members(6.1)["desk"]
    assert listed.state is UpstreamState.COLD
