"""Where a host that starts gets its first list of objects from: a peer, or the store."""

import asyncio
import gzip
import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result
from tornado.httpserver import HTTPServer

from amaranthbend.adapters.change_relay import (
    PEER_LONG_POLL_S,
    RESPONSE_START_MARGIN_S,
    ChangeRelayClient,
    EncodedLists,
    encode_peer_changes,
    make_change_relay_server,
)
from amaranthbend.adapters.metrics import Counters
from amaranthbend.controllers.first_lists import RESTART_LIST_WAITS, FirstListWaits
from amaranthbend.controllers.relayed_store import RelayedStore
from amaranthbend.core.change_log import ChangeLog, PeerChanges
from amaranthbend.core.change_relay import (
    READERS_PER_DATA_CENTRE,
    HostEntry,
    PeerSelector,
)
from amaranthbend.core.watching import (
    ObjectEvent,
    StoreChanges,
    StoredObject,
    StoreError,
    StoreErrorKind,
)
from standins.processes import pick_endpoint
from standins.store import StoreState, make_store_app

from .node_cases import ADDRESS
from .store_cases import KIND, MAX_CONFIRMATION_AGE_S, Fleet, Host, run_fleet

# The peer answers within these, however busy this machine is.
PATIENT_WAITS = FirstListWaits(hosts_s=0.25, peer_s=5.0)
# Time for the calls of a start on a machine that is busy otherwise.
SCHEDULING_SLACK_S = 1.0
UNAVAILABLE = StoreError(StoreErrorKind.UNAVAILABLE, "down")


def make_objects(*names: str, revision: int = 1) -> StoreChanges:
    """Return a list of objects."""
    events = [ObjectEvent(StoredObject(name, revision, {"of": name}), False) for name in names]
    return StoreChanges(events, revision)


def list_names(changes: StoreChanges) -> set[str]:
    """Return the names of the objects in a list."""
    return {event.object.name for event in changes.events}


# A whole list whose header does not tell its age.
WITHOUT_AGE = encode_peer_changes(PeerChanges(make_objects("other", revision=9), 0.1)).encode()


class ReplicaStore:
    """A store whose lists take a given time, and how each list was asked for."""

    def __init__(self, answer: Result[StoreChanges, StoreError], delay_s: float = 0.0) -> None:
        self.answer = answer
        self.delay_s = delay_s
        self.lists: list[bool] = []

    async def list_objects(
        self, kind: str, *, may_lag: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Return the answer after the delay."""
        self.lists.append(may_lag)
        await asyncio.sleep(self.delay_s)
        return self.answer


def make_follower(store: Any, peer_address: str, *, known_hosts: bool = True) -> RelayedStore:
    """Return the second host of a data centre, which follows the first one."""
    relayed = RelayedStore(store, PeerSelector("host-2", "huye"), Counters())
    if known_hosts:
        set_two_hosts(relayed, peer_address)
    return relayed


def set_two_hosts(relayed: RelayedStore, peer_address: str) -> None:
    """Tell the second host of a data centre about the first one."""
    relayed.set_hosts(
        [HostEntry("host-1", "huye", peer_address), HostEntry("host-2", "huye", f"{ADDRESS}:1")]
    )


async def no_changes(_kind: str, _after: int, _awaits: bool) -> Result[PeerChanges, StoreError]:
    """Return an error for a call that the test does not expect."""
    return Err(UNAVAILABLE)


def run_with_peer(
    answer: Callable[[str], Coroutine[Any, Any, Result[PeerChanges, StoreError]]],
    check: Callable[[str], Coroutine[Any, Any, None]],
) -> None:
    """Run a check with the address of a peer that answers calls for lists."""

    async def run() -> None:
        server = make_change_relay_server(no_changes, answer)
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        try:
            await check(f"{ADDRESS}:{port}")
        finally:
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


def test_hosts_that_start_together_list_the_store_once() -> None:
    """Guards against pages of all objects for each host: 11 of 50 entries each with 312 hosts."""

    async def check(fleet: Fleet) -> None:
        assert fleet.sum_counter(f"store.lists.{KIND}") == READERS_PER_DATA_CENTRE

    run_fleet(check, PATIENT_WAITS)


def test_restarted_follower_lists_nothing() -> None:
    """Guards against a list of the store for each restart while a peer knows all objects."""

    async def check(fleet: Fleet) -> None:
        old = fleet.hosts.pop()
        await old.stop()
        again = Host(old.entry, old.store_address, PATIENT_WAITS)
        fleet.hosts.append(again)
        again.start([host.entry for host in fleet.hosts])
        async with asyncio.timeout(5.0):
            while again.values != {"u0": 1}:
                await asyncio.sleep(0.005)
        assert not again.counters.get(f"store.lists.{KIND}")
        # The list is the base of the watch that follows.
        fleet.store.put(KIND, "u0", 2)
        async with asyncio.timeout(2.0):
            while again.values != {"u0": 2}:
                await asyncio.sleep(0.005)

    run_fleet(check)


def test_silent_peer_delays_a_restart_by_little() -> None:
    """Guards against callers that wait while a host asks a peer that is frozen or unreachable.

    Without a head start of the peer's call, its own timeout would decide.
    """

    async def answer(_kind: str) -> Result[PeerChanges, StoreError]:
        await asyncio.sleep(3600)
        raise AssertionError

    async def check(address: str) -> None:
        relayed = make_follower(ReplicaStore(Ok(make_objects("u0"))), address)
        async with asyncio.timeout(PEER_LONG_POLL_S + RESPONSE_START_MARGIN_S):
            assert list_names((await relayed.list_objects(KIND)).unwrap()) == {"u0"}

    run_with_peer(answer, check)


def test_peer_without_a_confirmed_list_is_replaced_by_the_store() -> None:
    """Guards against a start that fails because its peer has no list."""

    async def answer(_kind: str) -> Result[PeerChanges, StoreError]:
        return Err(UNAVAILABLE)

    async def check(address: str) -> None:
        relayed = make_follower(ReplicaStore(Ok(make_objects("u0"))), address)
        assert list_names((await relayed.list_objects(KIND)).unwrap()) == {"u0"}

    run_with_peer(answer, check)


def test_age_of_a_list_is_that_of_each_response() -> None:
    """Guards against an old list that is taken for a new one, as its body is encoded only once."""
    ages = [0.1, 1.5]

    async def answer(_kind: str) -> Result[PeerChanges, StoreError]:
        return Ok(PeerChanges(make_objects("u0", revision=9), ages.pop(0)))

    async def check(address: str) -> None:
        client = ChangeRelayClient()
        for age_s in (0.1, 1.5):
            assert (await client.fetch_list(address, KIND)).unwrap().age_s == age_s

    run_with_peer(answer, check)


def test_late_list_of_the_other_source_is_not_used() -> None:
    """Guards against a list of a lagging replica that takes back what a peer has relayed.

    The peer's list comes after its head start, so that the store is asked as well and answers last.
    """

    async def answer(_kind: str) -> Result[PeerChanges, StoreError]:
        await asyncio.sleep(2 * RESTART_LIST_WAITS.peer_s)
        return Ok(PeerChanges(make_objects("u0", "u1", revision=9), 0.1))

    async def check(address: str) -> None:
        store = ReplicaStore(Ok(make_objects("gone", revision=3)), 0.5)
        relayed = make_follower(store, address)
        assert list_names((await relayed.list_objects(KIND)).unwrap()) == {"u0", "u1"}
        await asyncio.sleep(0.6)
        assert store.lists == [True]
        known = (await relayed.wait_for_list(KIND)).unwrap()
        assert list_names(known.changes) == {"u0", "u1"}
        assert (await relayed.wait_for_changes(KIND, 9)).unwrap().changes.events == []

    run_with_peer(answer, check)


def test_list_of_a_slow_store_is_not_waited_for() -> None:
    """Guards against a restart of seconds while the store is slow and a peer has the list.

    Each page of a list takes as long as the list of hosts, which arrives after its head start.
    """

    async def answer(_kind: str) -> Result[PeerChanges, StoreError]:
        return Ok(PeerChanges(make_objects("u0", revision=9), 0.1))

    async def check(address: str) -> None:
        store = ReplicaStore(Ok(make_objects("old", revision=3)), 5.0)
        relayed = make_follower(store, address, known_hosts=False)
        listed = asyncio.ensure_future(relayed.list_objects(KIND))
        await asyncio.sleep(2 * RESTART_LIST_WAITS.hosts_s)
        assert store.lists == [True]
        set_two_hosts(relayed, address)
        async with asyncio.timeout(SCHEDULING_SLACK_S):
            assert list_names((await listed).unwrap()) == {"u0"}

    run_with_peer(answer, check)


def test_lists_of_a_start_without_the_store_stay_cheap() -> None:
    """Guards against full-price lists of a host that restarts in an outage of the store."""

    async def run() -> None:
        store = ReplicaStore(Err(UNAVAILABLE))
        relayed = make_follower(store, f"{ADDRESS}:1")
        for _ in range(3):
            assert isinstance(await relayed.list_objects(KIND), Err)
        store.answer = Ok(make_objects("u0"))
        assert isinstance(await relayed.list_objects(KIND), Ok)
        await relayed.list_objects(KIND)
        # The list after a loss of history has to be current.
        assert store.lists == [True, True, True, True, False]

    asyncio.run(run())


@pytest.mark.parametrize(
    "body",
    [b"", b"{}", gzip.compress(b"[]", mtime=0), b"\x1f\x8b garbage", WITHOUT_AGE],
    ids=range(5),
)
def test_malformed_list_of_a_peer_is_replaced_by_the_store(body: bytes) -> None:
    """Guards against a host that never starts because a peer of another version answers."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        encoding = b"Content-Encoding: gzip\r\n" if body.startswith(b"\x1f\x8b") else b""
        writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (encoding, len(body)))
        writer.write(body)
        writer.close()

    async def run() -> None:
        port = pick_endpoint(ADDRESS).port
        server = await asyncio.start_server(serve, ADDRESS, port)
        relayed = make_follower(ReplicaStore(Ok(make_objects("u0"))), f"{ADDRESS}:{port}")
        assert list_names((await relayed.list_objects(KIND)).unwrap()) == {"u0"}
        server.close()

    asyncio.run(run())


def test_list_is_encoded_once_for_all_followers() -> None:
    """Guards against a reader that encodes hundreds of objects for each of 25 followers."""
    encoded = EncodedLists()
    first = encoded.encode(KIND, PeerChanges(make_objects("u0", revision=7), 0.1))
    assert encoded.encode(KIND, PeerChanges(make_objects("u0", revision=7), 0.3)) is first
    newer = encoded.encode(KIND, PeerChanges(make_objects("u1", revision=8), 0.1))
    assert json.loads(gzip.decompress(newer))["events"][0]["name"] == "u1"
    assert encoded.encode("config", PeerChanges(make_objects("u0", revision=8), 0.1)) != newer


def test_unconfirmed_or_old_list_is_not_passed_on() -> None:
    """Guards against upstreams that left and are in use again after a restart beside a peer.

    A replica's list, and that of a host which lost the store, may name them.
    """
    log = ChangeLog(MAX_CONFIRMATION_AGE_S)
    log.record_list(make_objects("u0", revision=5), float("-inf"))
    assert isinstance(log.get_list(0.0), Err)
    log.confirm(1.0)
    assert list_names(log.get_list(1.0 + MAX_CONFIRMATION_AGE_S).unwrap().changes) == {"u0"}
    assert isinstance(log.get_list(1.1 + MAX_CONFIRMATION_AGE_S), Err)


@given(
    st.lists(st.lists(st.tuples(st.sampled_from("abcde"), st.booleans()), max_size=4), max_size=8)
)
def test_list_holds_the_state_after_all_changes(batches: list[list[tuple[str, bool]]]) -> None:
    """Guards against a follower that starts with an object which was removed, or an old value."""
    log = ChangeLog(MAX_CONFIRMATION_AGE_S)
    log.record_list(make_objects("a", "b"), 0.0)
    expected = {"a": 1, "b": 1}
    revision = 1
    for batch in batches:
        events: list[ObjectEvent] = []
        for name, is_removal in batch:
            revision += 1
            events.append(ObjectEvent(StoredObject(name, revision, None), is_removal))
            if is_removal:
                expected.pop(name, None)
            else:
                expected[name] = revision
        log.record_changes(StoreChanges(events, revision), 0.0)
    listed = log.get_list(0.0).unwrap()
    assert listed.changes.revision == revision
    assert {event.object.name: event.object.revision for event in listed.changes.events} == expected


def test_list_waits_for_the_first_confirmation() -> None:
    """Guards against followers that list the store because their reader has just started."""

    async def run() -> None:
        store_state = StoreState()
        server = HTTPServer(make_store_app(store_state))
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        store_state.put(KIND, "u0", 1)
        entry = HostEntry("host-1", "huye", f"{ADDRESS}:{pick_endpoint(ADDRESS).port}")
        reader = Host(entry, f"{ADDRESS}:{port}")
        asked = asyncio.ensure_future(reader.relayed.wait_for_list(KIND))
        await asyncio.sleep(0)
        reader.start([entry])
        assert list_names((await asked).unwrap().changes) == {"u0"}
        await reader.stop()
        server.stop()

    asyncio.run(run())
