"""Hosts that relay changes of a store to each other, with a stand-in for the store."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result
from tornado.httpserver import HTTPServer

from amaranthbend.adapters.addresses import split_address
from amaranthbend.adapters.change_relay import (
    PEER_LONG_POLL_S,
    RESPONSE_START_MARGIN_S,
    ChangeRelayClient,
    encode_peer_changes,
    make_change_relay_server,
)
from amaranthbend.adapters.clock import read_clock
from amaranthbend.adapters.metrics import Counters
from amaranthbend.controllers.relayed_store import STORE_BATCH_DELAY_S, RelayedStore
from amaranthbend.controllers.store_watch import StoreWatch, monitor_watches
from amaranthbend.core.change_relay import (
    FAILED_PEER_SKIP_S,
    MAX_CONFIRMATION_AGE_S,
    MAX_STORE_TURN_S,
    READERS_PER_DATA_CENTRE,
    HostEntry,
    PeerChanges,
    PeerSelector,
)
from amaranthbend.core.pauses import MAX_ACTIVITY_GAP_S, PauseTracker
from amaranthbend.core.watching import (
    ObjectEvent,
    StoreChanges,
    StoredObject,
    StoreError,
    StoreErrorKind,
)
from amaranthbend.platform.store import StoreClient
from standins.processes import pick_endpoint
from standins.store import StoreState, make_store_app

from .node_cases import ADDRESS, wait_until

KIND = "servers"
HOSTS = 30
# Changes must be in force within 2 s in the smaller deployments.
IN_FORCE_S = 2.0
OUTAGE_S = 4.0
# Hosts count as connected to the store again this long after an outage.
RETURN_S = 3.0


class Host:
    """One host: its watch, and the values that it knows."""

    def __init__(self, entry: HostEntry, store_address: str) -> None:
        self.entry = entry
        self.counters = Counters()
        selector = PeerSelector(entry.name, entry.data_centre)
        store = StoreClient(store_address)
        self.relayed = RelayedStore(store, selector, self.counters)
        self.watch = StoreWatch(self.relayed, KIND, self, self.counters)
        self.server = make_change_relay_server(self.relayed.wait_for_changes)
        self.values: dict[str, Any] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, hosts: list[HostEntry]) -> None:
        """Start to watch the store and to relay changes, with all hosts known."""
        address, port = split_address(self.entry.peer_address)
        self.server.listen(port, address)
        self.relayed.set_hosts(hosts)
        self.tasks = [
            asyncio.ensure_future(self.watch.run()),
            asyncio.ensure_future(monitor_watches([self.watch])),
        ]

    async def stop(self) -> None:
        """Stop at once, like a killed process."""
        self.server.stop()
        await self.server.close_all_connections()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def replace_all(self, changes: StoreChanges, now: float) -> None:
        """Apply a list."""
        self.values = {event.object.name: event.object.value for event in changes.events}

    def apply_changes(self, changes: StoreChanges, now: float) -> None:
        """Apply changes."""
        for event in changes.events:
            if event.is_removal:
                self.values.pop(event.object.name, None)
            else:
                self.values[event.object.name] = event.object.value

    def set_store_reachable(self, is_reachable: bool, now: float) -> None:
        """Do nothing."""


class Fleet:
    """Hosts of one data centre and their store."""

    def __init__(self, store: StoreState, hosts: list[Host]) -> None:
        self.store = store
        self.hosts = hosts

    def all_have(self, name: str, value: Any) -> bool:
        """Return whether all running hosts have a value."""
        return all(host.values.get(name) == value for host in self.hosts)

    def sum_counter(self, stat: str) -> int:
        """Return the sum of a counter over all running hosts."""
        return sum(host.counters.get(stat) for host in self.hosts)


def run_fleet(check: Callable[[Fleet], Coroutine[Any, Any, None]]) -> None:
    """Run a check with hosts that have listed the store and read changes from their peers."""

    async def run() -> None:
        store = StoreState()
        server = HTTPServer(make_store_app(store))
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        store.put(KIND, "u0", 1)
        entries = [
            HostEntry(f"host-{n:03}", "huye", f"{ADDRESS}:{pick_endpoint(ADDRESS).port}")
            for n in range(HOSTS)
        ]
        fleet = Fleet(store, [Host(entry, f"{ADDRESS}:{port}") for entry in entries])
        for host in fleet.hosts:
            host.start(entries)
        try:
            await wait_until(lambda: fleet.all_have("u0", 1))
            await wait_until(lambda: fleet.sum_counter(f"peers.calls.{KIND}") >= 2 * HOSTS)
            await check(fleet)
        finally:
            for host in fleet.hosts:
                await host.stop()
            server.stop()

    asyncio.run(run())


def test_changes_reach_all_hosts_with_few_calls() -> None:
    """Guards against calls to the store that grow as hosts times changes."""

    async def check(fleet: Fleet) -> None:
        before = fleet.store.calls
        for value in range(2, 6):
            fleet.store.put(KIND, "u0", value)
            await wait_until(lambda value=value: fleet.all_have("u0", value), IN_FORCE_S)
        fleet.store.remove(KIND, "u0")
        await wait_until(lambda: fleet.all_have("u0", None), IN_FORCE_S)
        # Two readers make a watch call for each change and a check each second. One call of each
        # host for each change would be more than four times as many.
        assert fleet.store.calls - before < HOSTS

    run_fleet(check)


def test_killed_reader_delays_no_change() -> None:
    """Guards against hosts that wait for changes from a peer that was killed."""

    async def check(fleet: Fleet) -> None:
        for _ in range(2):
            await fleet.hosts.pop(0).stop()
        fleet.store.put(KIND, "u0", 2)
        await wait_until(lambda: fleet.all_have("u0", 2), IN_FORCE_S)

    run_fleet(check)


def test_silent_reader_delays_no_change() -> None:
    """Guards against hosts that wait for a frozen peer: it accepts connections and stays silent."""

    async def check(fleet: Fleet) -> None:
        frozen = fleet.hosts.pop(0)

        async def hang(_kind: str, _after: int, awaits_store: bool) -> Any:
            await asyncio.sleep(3600)

        frozen.server.stop()
        silent = make_change_relay_server(hang)
        address, port = split_address(frozen.entry.peer_address)
        silent.listen(port, address)
        fleet.store.put(KIND, "u0", 2)
        await wait_until(lambda: fleet.all_have("u0", 2), IN_FORCE_S)
        silent.stop()
        await frozen.stop()

    run_fleet(check)


def test_slow_answer_that_has_begun_is_waited_for() -> None:
    """Guards against a timeout while a large configuration arrives over a slow link."""

    async def check() -> None:
        body = encode_peer_changes(PeerChanges(StoreChanges([], 7), 0.1)).encode()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body[:5])
            await asyncio.sleep(PEER_LONG_POLL_S + RESPONSE_START_MARGIN_S + 0.2)
            writer.write(body[5:])
            writer.close()

        port = pick_endpoint(ADDRESS).port
        server = await asyncio.start_server(serve, ADDRESS, port)
        answer = await ChangeRelayClient().fetch(f"{ADDRESS}:{port}", KIND, 5)
        server.close()
        assert answer.unwrap().changes.revision == 7

    asyncio.run(check())


def test_relayed_changes_are_compressed() -> None:
    """Guards against a large configuration that saturates the links between hosts."""

    async def check() -> None:
        value = {"routes": [{"name": f"r{n}", "pathPrefix": f"/p{n}/"} for n in range(1000)]}
        event = ObjectEvent(StoredObject("main", 7, value), False)
        relayed = PeerChanges(StoreChanges([event], 7), 0.1)

        async def answer(
            _kind: str, _after: int, awaits_store: bool
        ) -> Result[PeerChanges, StoreError]:
            return Ok(relayed)

        server = make_change_relay_server(answer)
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        reader, writer = await asyncio.open_connection(ADDRESS, port)
        writer.write(b"GET /news/config?after=1 HTTP/1.0\r\nAccept-Encoding: gzip\r\n\r\n")
        assert len(await reader.read()) < len(encode_peer_changes(relayed)) / 4
        assert (
            await ChangeRelayClient().fetch(f"{ADDRESS}:{port}", "config", 1)
        ).unwrap() == relayed
        writer.close()
        server.stop()

    asyncio.run(check())


def test_host_that_lost_the_store_still_gets_the_news() -> None:
    """Guards against followers of a reader that has lost the store.

    The calls of the readers to the store fail; the followers notice, and read the store directly.
    """

    async def check(fleet: Fleet) -> None:
        readers = fleet.hosts[:2]
        for host in readers:
            host.relayed._store._base = f"http://{ADDRESS}:1/"
        fleet.store.notify()
        # Restarts the watches now; otherwise they would end by their timeouts or failed checks.
        for host in readers:
            host.watch.restart()
        fleet.store.put(KIND, "u0", 2)
        followers = Fleet(fleet.store, fleet.hosts[2:])
        await wait_until(lambda: followers.all_have("u0", 2), 2 * IN_FORCE_S)

    run_fleet(check)


def test_few_hosts_try_the_store_in_an_outage() -> None:
    """Guards against refused calls, each with its price, of every host through an outage.

    Seen in benchmark kithul-gw-grown trouble-3: 4,864 calls, most of them in 8 s without the store.
    """

    async def check(fleet: Fleet) -> None:
        fleet.store.faults.mode = "busy"
        fleet.store.notify()
        for host in fleet.hosts:
            host.watch.restart()
        # Until all hosts have noticed it, each by one call of its own.
        await asyncio.sleep(MAX_CONFIRMATION_AGE_S + 1.5)
        before = fleet.store.calls
        await asyncio.sleep(OUTAGE_S)
        calls = fleet.store.calls - before
        # At their shortest pauses the readers make a call each 0.4 s, a follower each 1.5 s.
        readers = READERS_PER_DATA_CENTRE
        followers = HOSTS - readers
        assert calls <= OUTAGE_S * (readers / 0.4 + followers / (0.5 * MAX_STORE_TURN_S))
        fleet.store.put(KIND, "u0", 2)
        fleet.store.faults.mode = "none"
        await wait_until(lambda: fleet.all_have("u0", 2), RETURN_S)

    run_fleet(check)


def test_call_in_place_of_a_peer_does_not_wait() -> None:
    """Guards against a watch of the store that hangs unnoticed while a peer could be followed.

    Peeks detect watches that hang, but only at hosts without a peer. Seen in benchmark kithul-gw
    scale-1 (e732f7a2, replayed with logs): four hosts had a configuration 4.6 s late.
    """

    async def run() -> None:
        async def refuse(
            _kind: str, _after: int, _awaits_store: bool
        ) -> Result[PeerChanges, StoreError]:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "no recently confirmed changes"))

        server = make_change_relay_server(refuse)
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        store = ClockedStore()
        relayed = RelayedStore(store, PeerSelector("host-2", "huye"), Counters(), store.read_clock)
        relayed.set_hosts(
            [HostEntry(f"host-{n}", "huye", f"{ADDRESS}:{port}") for n in range(1, 4)]
        )
        await relayed.list_objects(KIND)
        for revision in (1, 2, 3):
            store.events = [ObjectEvent(StoredObject("u0", revision + 1, {}), False)]
            await relayed.watch_objects(KIND, revision, 10.0)
            store.now += 10.0
        assert store.waits == [0.0, 0.0, 0.0]
        server.stop()

    asyncio.run(run())


def test_watch_of_the_store_is_checked_until_it_ends() -> None:
    """Guards against a watch that hangs unnoticed once the skipped peers may be followed again."""

    async def run() -> None:
        store = ClockedStore()
        selector = PeerSelector("host-2", "huye")
        relayed = RelayedStore(store, selector, Counters(), store.read_clock)
        relayed.set_hosts([HostEntry(f"host-{n}", "huye", f"{ADDRESS}:1") for n in (1, 2)])
        await relayed.list_objects(KIND)
        selector.record_failure("host-1", store.now)
        await relayed.watch_objects(KIND, 1, 10.0)
        store.is_silent = True
        watch = asyncio.ensure_future(relayed.watch_objects(KIND, 1, 10.0))
        await asyncio.sleep(0)
        assert store.waits == [0.0, 10.0]
        store.now += FAILED_PEER_SKIP_S
        await relayed.peek_changes(KIND, 1)
        assert store.peeks == 1
        watch.cancel()
        await asyncio.wait({watch})
        await relayed.peek_changes(KIND, 1)
        assert store.peeks == 1

    asyncio.run(run())


class CompactedStore:
    """A store whose replica lags behind the oldest revision in the history."""

    def __init__(self) -> None:
        self.lists: list[bool] = []

    async def list_objects(
        self, kind: str, *, may_lag: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Return the list of a replica at revision 5, or the current one at revision 9."""
        self.lists.append(may_lag)
        return Ok(StoreChanges([], 5 if may_lag else 9))

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[StoreChanges, StoreError]:
        """Return an error before revision 9, where the history starts."""
        if revision < 9:
            return Err(StoreError(StoreErrorKind.HISTORY_LOST, "410"))
        return Ok(StoreChanges([], revision))


def test_lagging_list_is_taken_once() -> None:
    """Guards against a start that lists over and over while replicas lag.

    Each list from a lagging replica is followed by a watch from a revision that the history of
    the store no longer has.
    """

    async def check() -> None:
        store = CompactedStore()
        relayed = RelayedStore(store, PeerSelector("host-1", "huye"), Counters())
        relayed.set_hosts([])
        first = (await relayed.list_objects(KIND)).unwrap()
        assert isinstance(await relayed.watch_objects(KIND, first.revision, 1.0), Err)
        second = (await relayed.list_objects(KIND)).unwrap()
        assert isinstance(await relayed.watch_objects(KIND, second.revision, 1.0), Ok)
        assert store.lists == [True, False]

    asyncio.run(check())


def test_lost_history_loses_no_change() -> None:
    """Guards against followers that miss changes which the store has dropped from its history."""

    async def check(fleet: Fleet) -> None:
        lists = fleet.sum_counter(f"store.lists.{KIND}")
        fleet.store.put(KIND, "u1", 1)
        fleet.store.compact()
        fleet.store.put(KIND, "u0", 2)
        await wait_until(lambda: fleet.all_have("u0", 2) and fleet.all_have("u1", 1), IN_FORCE_S)
        # Only the readers list again. Counts lists, since each page of a list is a call.
        assert fleet.sum_counter(f"store.lists.{KIND}") - lists <= READERS_PER_DATA_CENTRE

    run_fleet(check)


class ClockedStore:
    """A store whose calls take the time that the test lets pass."""

    def __init__(self) -> None:
        self.now = 100.0
        # Seconds that pass until the response of the next watch is read.
        self.pause_s = 0.0
        self.events: list[ObjectEvent] = []
        self.peeks = 0
        # Seconds for which each watch may wait for changes.
        self.waits: list[float] = []
        # Whether watches hang.
        self.is_silent = False

    def read_clock(self) -> float:
        """Return the present time."""
        return self.now

    async def list_objects(
        self, kind: str, *, may_lag: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Return an empty list."""
        return Ok(StoreChanges([], 1))

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[StoreChanges, StoreError]:
        """Return the events, after the pause."""
        self.waits.append(wait_s)
        if self.is_silent:
            await asyncio.sleep(3600)
        self.now += self.pause_s
        return Ok(StoreChanges(self.events, revision + len(self.events)))

    async def peek_changes(self, kind: str, revision: int) -> Result[StoreChanges, StoreError]:
        """Return the events at once."""
        self.peeks += 1
        return Ok(StoreChanges(self.events, revision + len(self.events)))


def run_relayed_store(
    check: Callable[[ClockedStore, RelayedStore], Coroutine[Any, Any, None]],
) -> None:
    """Run a check with a host that has listed the store and read it once."""

    async def run() -> None:
        store = ClockedStore()
        selector = PeerSelector("host-1", "huye")
        relayed = RelayedStore(store, selector, Counters(), store.read_clock)
        relayed.set_hosts([])
        await relayed.list_objects(KIND)
        await relayed.watch_objects(KIND, 1, 10.0)
        await check(store, relayed)

    asyncio.run(run())


def test_response_read_after_a_pause_confirms_nothing_new() -> None:
    """Guards against a host that was frozen or suspended, and relays old changes as current ones.

    The response of its watch arrived before the pause and is read after it.
    """

    async def check(store: ClockedStore, relayed: RelayedStore) -> None:
        store.pause_s = 5.0
        store.events = [ObjectEvent(StoredObject("u0", 2, {}), False)]
        await relayed.watch_objects(KIND, 1, 10.0)
        assert isinstance(await relayed.wait_for_changes(KIND, 1), Err)
        store.pause_s = 0.1
        await relayed.watch_objects(KIND, 2, 10.0)
        answer = (await relayed.wait_for_changes(KIND, 1)).unwrap()
        assert [event.object.name for event in answer.changes.events] == ["u0"]
        assert answer.age_s < 0.2

    run_relayed_store(check)


def test_unknown_hosts_cost_no_peeks() -> None:
    """Guards against peeks of every host while it waits for the list of hosts at its start."""

    async def run() -> None:
        store = ClockedStore()
        relayed = RelayedStore(store, PeerSelector("host-1", "huye"), Counters(), store.read_clock)
        await relayed.list_objects(KIND)
        answer = await relayed.peek_changes(KIND, 1)
        assert answer.unwrap().events == []
        assert store.peeks == 0
        relayed.set_hosts([])
        await relayed.peek_changes(KIND, 1)
        assert store.peeks == 1

    asyncio.run(run())


def test_watches_of_the_store_are_spread_after_changes() -> None:
    """Guards against one priced call for each of many changes."""

    async def check(store: ClockedStore, relayed: RelayedStore) -> None:
        assert relayed.get_watch_delay(KIND) == 0.0
        store.events = [ObjectEvent(StoredObject("u0", 2, {}), False)]
        await relayed.watch_objects(KIND, 1, 10.0)
        assert relayed.get_watch_delay(KIND) == pytest.approx(STORE_BATCH_DELAY_S)
        store.now += STORE_BATCH_DELAY_S + 0.001
        assert relayed.get_watch_delay(KIND) == 0.0

    run_relayed_store(check)


def test_changes_from_a_peer_are_not_delayed() -> None:
    """Guards against a delay at each host on the way of a change."""

    async def check(fleet: Fleet) -> None:
        for value in range(2, 5):
            fleet.store.put(KIND, "u0", value)
            await wait_until(lambda value=value: fleet.all_have("u0", value), IN_FORCE_S)
        delays = [host.relayed.get_watch_delay(KIND) for host in fleet.hosts]
        assert sum(delay > 0.0 for delay in delays) <= READERS_PER_DATA_CENTRE

    run_fleet(check)


def test_clock_counts_suspensions() -> None:
    """Guards against a clock that stops while the host is suspended."""
    assert read_clock() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=1.0)


@given(st.lists(st.tuples(st.floats(0.0, 5.0), st.booleans()), max_size=20))
def test_arrival_is_never_later_than_a_pause(steps: list[tuple[float, bool]]) -> None:
    """Guards against an arrival time inside or after a pause that the call has outlasted."""
    tracker = PauseTracker()
    now = asked_at = 10.0
    tracker.record_activity(now)
    last_active_before_pause = None
    for gap_s, is_response in steps:
        if gap_s > MAX_ACTIVITY_GAP_S:
            last_active_before_pause = now
        now += gap_s
        if not is_response:
            tracker.record_activity(now)
            continue
        arrived_at = tracker.find_arrival_time(asked_at, now)
        assert asked_at <= arrived_at <= now
        if last_active_before_pause is not None:
            assert arrived_at == max(asked_at, last_active_before_pause)
        asked_at, last_active_before_pause = now, None
