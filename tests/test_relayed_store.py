"""One host that relays changes of a store: what it confirms, when it calls, how it checks."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result

from amaranthbend.adapters.change_relay import (
    make_change_relay_server,
)
from amaranthbend.adapters.clock import read_clock
from amaranthbend.adapters.metrics import Counters
from amaranthbend.controllers.relayed_store import STORE_BATCH_DELAY_S, RelayedStore
from amaranthbend.core.change_log import PeerChanges
from amaranthbend.core.change_relay import (
    FAILED_PEER_SKIP_S,
    HostEntry,
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
from standins.processes import pick_endpoint

from .node_cases import ADDRESS
from .store_cases import CHECK_AGE_S

KIND = "servers"
OTHER_KIND = "config"
HOSTS = 30
# Changes must be in force within 2 s in the smaller deployments.
IN_FORCE_S = 2.0
OUTAGE_S = 4.0
# Hosts count as connected to the store again this long after an outage.
RETURN_S = 3.0


def test_call_in_place_of_a_peer_does_not_wait() -> None:
    """Guards against a watch of the store that hangs unnoticed while a peer could be followed.

    Checks detect watches that hang, but only at hosts without a peer. Seen in benchmark kithul-gw
    scale-1 (e732f7a2, replayed with logs): four hosts had a configuration 4.6 s late.
    """

    async def run() -> None:
        async def refuse(
            _kind: str, _after: int = 0, _awaits_store: bool = False
        ) -> Result[PeerChanges, StoreError]:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "no recently confirmed changes"))

        server = make_change_relay_server(refuse, refuse)
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


@pytest.mark.parametrize("rank", [3, 12, 50])
def test_each_host_tries_the_store_when_its_peers_have_lost_it(rank: int) -> None:
    """Guards against hosts that wait for others while only their readers have lost the store.

    Seen in benchmark eeslikoda-adopt-large scale-2 (70c92f35): CONFIG 2, since hosts from the
    eleventh of a data centre on waited for a turn of 3 to 8 s.
    """

    async def run() -> None:
        async def refuse(
            _kind: str, _after: int = 0, _awaits_store: bool = False
        ) -> Result[PeerChanges, StoreError]:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "no recently confirmed changes"))

        server = make_change_relay_server(refuse, refuse)
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        store = ClockedStore()
        selector = PeerSelector(f"host-{rank}", "huye")
        relayed = RelayedStore(store, selector, Counters(), store.read_clock)
        relayed.set_hosts(
            [HostEntry(f"host-{n}", "huye", f"{ADDRESS}:{port}") for n in range(1, 54)]
        )
        await relayed.list_objects(KIND)
        assert isinstance(await relayed.watch_objects(KIND, 1, 10.0), Ok)
        assert store.waits == [0.0]
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
        selector.record_failure("host-1", store.now, store.now)
        await relayed.watch_objects(KIND, 1, 10.0)
        store.is_silent = True
        watch = asyncio.ensure_future(relayed.watch_objects(KIND, 1, 10.0))
        await asyncio.sleep(0)
        assert store.waits == [0.0, 10.0]
        store.now += FAILED_PEER_SKIP_S
        await relayed.check_changes(KIND, 1)
        assert store.checks == 1
        watch.cancel()
        await asyncio.wait({watch})
        store.now += CHECK_AGE_S
        await relayed.check_changes(KIND, 1)
        assert store.checks == 1

    asyncio.run(run())


async def read_two_kinds(store: "ClockedStore") -> RelayedStore:
    """Return a host that has read two kinds of objects from the store at revision 1."""
    relayed = RelayedStore(store, PeerSelector("host-1", "huye"), Counters(), store.read_clock)
    relayed.set_hosts([])
    for kind in (KIND, OTHER_KIND):
        await relayed.list_objects(kind)
        await relayed.watch_objects(kind, 1, 10.0)
    return relayed


def test_recent_answer_is_not_checked() -> None:
    """Guards against calls to the store that tell nothing new."""

    async def run() -> None:
        store = ClockedStore()
        relayed = await read_two_kinds(store)
        store.now += 0.9 * CHECK_AGE_S
        assert relayed.get_check_delay(KIND) == pytest.approx(0.1 * CHECK_AGE_S)
        assert (await relayed.check_changes(KIND, 1)).unwrap().events == []
        assert (store.checks, store.revision_reads) == (0, 0)

    asyncio.run(run())


def test_unchanged_revision_confirms_all_kinds() -> None:
    """Guards against one call for each kind in each interval, and against followers left alone."""

    async def run() -> None:
        store = ClockedStore()
        relayed = await read_two_kinds(store)
        for _ in range(3):
            store.now += CHECK_AGE_S
            for kind in (KIND, OTHER_KIND):
                assert (await relayed.check_changes(kind, 1)).unwrap().events == []
                assert (await relayed.wait_for_list(kind)).unwrap().age_s == 0.0
        assert (store.checks, store.revision_reads) == (0, 3)

    asyncio.run(run())


def test_kind_behind_the_revision_is_checked_by_itself() -> None:
    """Guards against confirming a kind whose changes the watch has not returned."""

    async def run() -> None:
        store = ClockedStore()
        relayed = await read_two_kinds(store)
        store.now += CHECK_AGE_S
        store.revision = 2
        store.events = [ObjectEvent(StoredObject("u0", 2, {}), False)]
        assert (await relayed.check_changes(KIND, 1)).unwrap().events == store.events
        assert relayed.get_check_delay(KIND) == 0.0
        # The change was one of the first kind, so the other one is confirmed up to it.
        store.events = []
        assert (await relayed.check_changes(OTHER_KIND, 1)).unwrap().events == []
        assert relayed.get_check_delay(OTHER_KIND) == pytest.approx(CHECK_AGE_S)
        store.now += CHECK_AGE_S
        await relayed.check_changes(OTHER_KIND, 1)
        assert relayed.get_check_delay(OTHER_KIND) == pytest.approx(CHECK_AGE_S)
        assert relayed.get_check_delay(KIND) == 0.0

    asyncio.run(run())


@pytest.mark.parametrize("apply_s", [1.0, 2.0, 2.5, 3.0])
def test_confirmations_are_as_recent_as_changes_must_take_effect(apply_s: float) -> None:
    """Guards against a deployment with another bound whose followers are late, or calls in vain."""

    async def run() -> None:
        store = ClockedStore()
        selector = PeerSelector("host-1", "huye")
        relayed = RelayedStore(store, selector, Counters(), store.read_clock, apply_s=apply_s)
        relayed.set_hosts([])
        await relayed.list_objects(KIND)
        await relayed.watch_objects(KIND, 1, 10.0)
        assert 0.5 * apply_s < relayed.get_check_delay(KIND) < 0.7 * apply_s
        store.now += 0.85 * apply_s
        assert isinstance(await relayed.wait_for_list(KIND), Ok)
        store.now += 0.15 * apply_s
        watched = asyncio.ensure_future(relayed.wait_for_changes(KIND, 1))
        assert isinstance(await watched, Err)

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


class ClockedStore:
    """A store whose calls take the time that the test lets pass."""

    def __init__(self) -> None:
        self.now = 100.0
        # Seconds that pass until the response of the next watch is read.
        self.pause_s = 0.0
        self.events: list[ObjectEvent] = []
        self.checks = 0
        self.revision_reads = 0
        # Revision of the store.
        self.revision = 1
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

    async def check_changes(self, kind: str, revision: int) -> Result[StoreChanges, StoreError]:
        """Return the events at once."""
        self.checks += 1
        return Ok(StoreChanges(self.events, max(self.revision, revision + len(self.events))))

    async def read_revision(self, kind: str) -> Result[int, StoreError]:
        """Return the revision of the store."""
        self.revision_reads += 1
        return Ok(self.revision)


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


def test_unknown_hosts_cost_no_checks() -> None:
    """Guards against checks of every host while it waits for the list of hosts at its start."""

    async def run() -> None:
        store = ClockedStore()
        relayed = RelayedStore(store, PeerSelector("host-1", "huye"), Counters(), store.read_clock)
        await relayed.list_objects(KIND)
        answer = await relayed.check_changes(KIND, 1)
        assert answer.unwrap().events == []
        assert store.checks == 0
        relayed.set_hosts([])
        await relayed.check_changes(KIND, 1)
        assert store.checks == 1

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
