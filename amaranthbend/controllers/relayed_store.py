"""Access to the store through peers that relay its changes, or directly."""

import asyncio
import contextlib
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, Protocol

from result import Err, Ok, Result

from ..adapters.change_relay import PEER_LONG_POLL_S, ChangeRelayClient
from ..adapters.clock import read_clock
from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..core.change_log import ChangeLog, PeerChanges
from ..core.change_relay import HostEntry, PeerSelector, compute_max_confirmation_age
from ..core.pauses import PauseTracker
from ..core.positions import Eras, get_era
from ..core.reconciliation import Reconciler
from ..core.watch_checks import WatchCheck, choose_check, compute_check_age, compute_check_delay
from ..core.watching import ObjectStore, StoreChanges, StoreError, StoreErrorKind
from .first_lists import (
    MAX_HOSTS_WAIT_S,
    NEW_ERA_LIST_WAITS,
    RESTART_LIST_WAITS,
    STORE_SOURCE,
    FetchedList,
    FirstListWaits,
)
from .store_returns import StoreReturns

__all__ = ["RelayedStore"]

# Time from changes to the next watch of the store, in which further changes add up: each call has
# a price. Hosts that read changes from a peer get them without this delay, so that it and one more
# call have to fit into the 2 s in which changes must be in force.
STORE_BATCH_DELAY_S = 0.9
# Time in which a watch looks for a peer that responds. Then it reads the store once and goes on
# looking, so that changes are in force in time however many peers are gone.
PEER_SEARCH_S = 0.3
# Timers may fire early by up to this time.
TIMER_MARGIN_S = 0.002
MS_PER_S = 1000
# Time in which changes must take effect, unless the settings say otherwise.
DEFAULT_APPLY_S = 2.0


class RevisionedStore(ObjectStore, Protocol):
    """An object store whose revision can be read without its objects."""

    async def read_revision(self, kind: str) -> Result[int, StoreError]:
        """Return the present revision of the store; `kind` names the objects to ask for."""


class RelayedStore:
    """An `ObjectStore` that reads changes from a peer if possible, and relays them to followers.

    A follower is a host that reads changes from this one. Peers use the revisions of the store,
    so each call can go to another peer or to the store itself.

    Parameters
    ----------
    store : RevisionedStore
        Client of the store.
    selector : PeerSelector
        Selects the peer to read changes from.
    counters : Counters
        Receives the counters of calls.
    clock : callable
        Returns the present time in seconds, including suspensions of the host.
    list_waits : FirstListWaits
        How long the first list of each kind waits for a peer before it comes from the store.
    apply_s : float
        Time in seconds in which changes must take effect on all hosts.
    current_kinds : collection of str
        Kinds of objects whose first list must not lag behind, as requests are served by it before
        the watch after it returns what it lacks.
    eras : Eras or None
        Eras of the store, shared with its client.
    reconcilers : mapping of str to Reconciler
        What to keep, by kind of object, when the store comes back from an older copy.
    """

    def __init__(
        self,
        store: RevisionedStore,
        selector: PeerSelector,
        counters: Counters,
        clock: Callable[[], float] = read_clock,
        list_waits: FirstListWaits = RESTART_LIST_WAITS,
        *,
        apply_s: float = DEFAULT_APPLY_S,
        current_kinds: Collection[str] = (),
        eras: Eras | None = None,
        reconcilers: Mapping[str, Reconciler] | None = None,
    ) -> None:
        self._store = store
        self._current_kinds = frozenset(current_kinds)
        self._max_age_s = compute_max_confirmation_age(apply_s)
        self._list_waits = list_waits
        self._selector = selector
        self._counters = counters
        self._peer_client = ChangeRelayClient()
        # By kind of object.
        self._change_logs = defaultdict[str, ChangeLog](lambda: ChangeLog(self._max_age_s))
        self._hosts_known = asyncio.Event()
        self._changed = asyncio.Event()
        # Name of the peer that changes were last read from, empty for the store itself.
        self._peer_name = ""
        self._clock = clock
        self._pauses = PauseTracker()
        # Running watches of the store, by kind.
        self._store_watches: Counter[str] = Counter()
        # Earliest time of the next watch of the store, by kind.
        self._next_watch_at: defaultdict[str, float] = defaultdict(lambda: -math.inf)
        self._eras = eras or Eras()
        self._eras.on_return = self._begin_era
        self._returns = StoreReturns(reconcilers or {}, counters)
        # Called when the store has come back from a copy: all kinds have to be listed again.
        self.on_new_era: Callable[[], None] | None = None

    def set_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Replace the known hosts of the data centre."""
        self._selector.set_hosts(hosts)
        self._hosts_known.set()

    def _begin_era(self, before: int, era: int) -> None:
        """Relay nothing that the store has confirmed before it came back from a copy of itself."""
        self._returns.begin_era(before, era, self._change_logs, self._clock())
        self._list_waits = NEW_ERA_LIST_WAITS
        self._wake_followers()
        if self.on_new_era is not None:
            self.on_new_era()

    def get_confirmation_age(self, kind: str) -> float:
        """Return the seconds since the store confirmed the known objects, infinite if never."""
        return self._clock() - self._change_logs[kind].confirmed_at

    def get_certain_age(self, kind: str) -> float:
        """Return the seconds since it was certain that the known objects are the newest.

        Infinite while the store may still lack what it has lost in a return from a copy.
        """
        if self._returns.may_lack_writes(self._clock()):
            return math.inf
        return self.get_confirmation_age(kind)

    async def create_object(self, kind: str, name: str, value: Any) -> Result[bool, StoreError]:
        """Create an object, and return whether it did not exist before."""
        return await self._store.create_object(kind, name, value)

    async def list_objects(
        self, kind: str, *, may_lag: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Return all objects of a kind.

        The first list comes from a peer if one has it, or from a replica that may lag behind, since
        the watch after it returns what it lacks. The first list of `current_kinds` comes from the
        store itself, and so do later lists: they follow the loss of history, and the history that
        the store has dropped can be newer than the list of a lagging replica.
        """
        change_log = self._change_logs[kind]
        is_first = not change_log.has_list
        asked_at = self._clock()
        if is_first:
            fetched = await self._fetch_first_list(kind)
        else:
            fetched = await self._fetch_store_list(kind, may_lag=may_lag)
        if isinstance(fetched, Err):
            return fetched
        changes, confirmed_at, source = fetched.ok_value
        if get_era(changes.revision) < self._eras.latest:
            return Err(StoreError(StoreErrorKind.HISTORY_LOST, f"list of {kind}: new era"))
        changes = self._returns.reconcile(kind, changes, is_list=True)
        if is_first:
            log_event(
                "first_list",
                kind=kind,
                source=source,
                objects=len(changes.events),
                revision=changes.revision,
                ms=int((self._clock() - asked_at) * MS_PER_S),
            )
        change_log.record_list(changes, confirmed_at)
        self._wake_followers()
        return Ok(changes)

    async def _fetch_first_list(self, kind: str) -> Result[FetchedList, StoreError]:
        """Return the list of a peer; if that is late or fails, whichever list arrives first."""
        peer_call = asyncio.ensure_future(self._fetch_peer_list(kind))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._hosts_known.wait(), self._list_waits.hosts_s)
        await asyncio.wait({peer_call}, timeout=self._list_waits.peer_s)
        if peer_call.done() and isinstance(peer_call.result(), Ok):
            return peer_call.result()
        store_call = asyncio.ensure_future(self._fetch_first_store_list(kind))
        pending = {peer_call, store_call}
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                if isinstance(call.result(), Ok):
                    # The other call ends by its own timeout, and its result is not used.
                    return call.result()
        return store_call.result()

    async def _fetch_first_store_list(self, kind: str) -> Result[FetchedList, StoreError]:
        """Return the list of a replica, or of the store itself if that must not lag behind.

        Without an answer of the store itself, a replica's is used: requests are then served by the
        last known state, as on hosts that have lost the store.
        """
        if kind in self._current_kinds:
            fetched = await self._fetch_store_list(kind, may_lag=False)
            if isinstance(fetched, Ok):
                return fetched
        return await self._fetch_store_list(kind, may_lag=True)

    async def _fetch_peer_list(self, kind: str) -> Result[FetchedList, StoreError]:
        """Return the list of the peer to follow, as soon as the hosts are known."""
        await self._wait_for_hosts()
        peer = self._selector.select_peer(self._clock())
        if peer is None:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "no peer to follow"))
        self._counters.incr(f"peers.lists.{kind}")
        asked_at = self._clock()
        fetched = await self._peer_client.fetch_list(peer.peer_address, kind)
        if isinstance(fetched, Err):
            log_event(
                "peer_list_failed", peer=peer.name, kind=kind, detail=fetched.err_value.detail
            )
            return fetched
        changes, age_s = fetched.ok_value
        era = get_era(changes.revision)
        if era < self._eras.latest:
            return Err(StoreError(StoreErrorKind.UNCONFIRMED, f"list of the earlier era {era}"))
        self._eras.note(era)
        arrived_at = self._pauses.find_arrival_time(asked_at, self._clock())
        return Ok(FetchedList(changes, arrived_at - age_s, peer.name))

    async def _fetch_store_list(
        self, kind: str, *, may_lag: bool
    ) -> Result[FetchedList, StoreError]:
        self._counters.incr(f"store.lists.{kind}")
        asked_at = self._clock()
        listed = await self._store.list_objects(kind, may_lag=may_lag)
        # A replica may lag behind, so its list confirms nothing.
        confirmed_at = -math.inf if may_lag else asked_at
        return listed.map(lambda changes: FetchedList(changes, confirmed_at, STORE_SOURCE))

    async def wait_for_list(self, kind: str) -> Result[PeerChanges, StoreError]:
        """Return all objects, for a follower that has just started.

        Waits up to `PEER_LONG_POLL_S` for the first list of this host and its confirmation.
        """
        deadline = self._clock() + PEER_LONG_POLL_S
        while True:
            now = self._clock()
            self._pauses.record_activity(now)
            change_log = self._change_logs.get(kind)
            if change_log is not None and not change_log.is_unconfirmed:
                return change_log.get_list(now)
            if now >= deadline:
                return Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{kind} has not been listed"))
            await self._wait_for_update(deadline - now)

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[StoreChanges, StoreError]:
        """Return the changes after a revision, from a peer or from the store."""
        await self._wait_for_hosts()
        selector = self._selector
        unconfirmed_peers = 0
        search_ends_at = self._clock() + PEER_SEARCH_S
        while (peer := selector.select_peer(self._clock())) is not None:
            self._counters.incr(f"peers.calls.{kind}")
            asked_at = self._clock()
            awaits_store = selector.is_store_lost
            relayed = await self._peer_client.fetch(
                peer.peer_address, kind, revision, awaits_store=awaits_store
            )
            now = self._clock()
            if isinstance(relayed, Err) and relayed.err_value.era > self._eras.latest:
                self._eras.note(relayed.err_value.era)
                return Err(relayed.err_value._replace(kind=StoreErrorKind.HISTORY_LOST))
            if get_era(revision) < self._eras.latest:
                # The store has come back from a copy meanwhile.
                return Err(StoreError(StoreErrorKind.HISTORY_LOST, f"{kind}: new era"))
            if isinstance(relayed, Ok):
                self._record_source(peer.name)
                selector.record_answer(peer.name)
                selector.record_confirmed_changes()
                changes, age_s = relayed.ok_value
                changes = self._returns.reconcile(kind, changes, is_list=False)
                arrived_at = self._pauses.find_arrival_time(asked_at, now)
                self._record_changes(kind, changes, arrived_at - age_s)
                return Ok(changes)
            error = relayed.err_value
            if error.kind is StoreErrorKind.HISTORY_LOST:
                # The history of the store reaches further back than that of the peer. One call to
                # the store catches up, so it does not wait for changes.
                selector.record_confirmed_changes()
                wait_s = 0.0
                break
            self._counters.incr("peers.failures")
            if not awaits_store:
                log_event("peer_failed", peer=peer.name, kind=kind, detail=error.detail)
            if error.kind is not StoreErrorKind.UNCONFIRMED:
                selector.record_failure(peer.name, asked_at, now)
                if now < search_ends_at:
                    continue
                self._counters.incr("peers.searches_interrupted")
                wait_s = 0.0
                break
            selector.record_unconfirmed_peer(peer.name, now)
            unconfirmed_peers += 1
            if awaits_store and not selector.may_call_store(now):
                # The peer has waited for the store, so the watch goes on with the next one at once.
                return Err(error)
            if awaits_store or unconfirmed_peers >= selector.readers:
                # The call to the store does not wait, so that peers are asked again soon.
                wait_s = 0.0
                break
        else:
            self._record_source("")
        if not selector.may_call_store(self._clock()):
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "no peer reaches the store"))
        return await self._watch_store(kind, revision, wait_s)

    async def _watch_store(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[StoreChanges, StoreError]:
        """Return the changes after a revision from the store itself."""
        change_log = self._change_logs[kind]
        if change_log.is_unconfirmed:
            # Followers get no changes until the store has confirmed the list, so the first watch
            # returns at once.
            wait_s = 0.0
        self._counters.incr(f"store.watches.{kind}")
        asked_at = self._clock()
        self._store_watches[kind] += 1
        try:
            answer = await self._store.watch_objects(kind, revision, wait_s)
        finally:
            self._store_watches[kind] -= 1
        if isinstance(answer, Ok):
            now = self._clock()
            self._selector.record_confirmed_changes()
            changes = self._returns.reconcile(kind, answer.ok_value, is_list=False)
            self._record_changes(kind, changes, self._pauses.find_arrival_time(asked_at, now))
            if changes.events:
                self._next_watch_at[kind] = now + STORE_BATCH_DELAY_S
            return Ok(changes)
        if answer.err_value.kind is StoreErrorKind.UNAVAILABLE:
            self._selector.record_store_failure(self._clock())
        return answer

    def get_watch_delay(self, kind: str) -> float:
        """Return the seconds to wait until the next watch, 0 after changes from a peer."""
        return max(0.0, self._next_watch_at[kind] - self._clock())

    def get_check_delay(self, kind: str) -> float:
        """Return the seconds to wait until a watch of a kind has to be checked."""
        now = self._clock()
        if not self._reads_store(kind, now):
            return compute_check_age(self._max_age_s)
        return compute_check_delay(self._change_logs[kind], now)

    def _reads_store(self, kind: str, now: float) -> bool:
        """Return whether changes are read from the store itself, as far as is known."""
        if self._store_watches[kind]:
            return True
        return self._hosts_known.is_set() and self._selector.select_peer(now) is None

    async def check_changes(self, kind: str, revision: int) -> Result[StoreChanges, StoreError]:
        """Return the changes after a revision that the store has now.

        None while changes are read from a peer, before it is known whether there is one, and while
        an earlier answer of the store is recent.
        """
        asked_at = self._clock()
        self._pauses.record_activity(asked_at)
        unchanged = StoreChanges([], revision)
        change_log = self._change_logs[kind]
        check = choose_check(kind, self._change_logs, asked_at)
        if check is WatchCheck.NONE or not self._reads_store(kind, asked_at):
            return Ok(unchanged)
        if check is WatchCheck.REVISION:
            self._counters.incr("store.revision_checks")
            read = await self._store.read_revision(kind)
            if isinstance(read, Err):
                return read
            for confirmed in self._change_logs.values():
                if confirmed.reaches(read.ok_value):
                    confirmed.confirm(asked_at)
            if change_log.reaches(read.ok_value):
                return Ok(unchanged)
        self._counters.incr(f"store.checks.{kind}")
        answer = await self._store.check_changes(kind, revision)
        if isinstance(answer, Ok) and not answer.ok_value.events:
            change_log.record_changes(answer.ok_value, asked_at)
        return answer

    async def wait_for_changes(
        self, kind: str, after: int, awaits_store: bool = False
    ) -> Result[PeerChanges, StoreError]:
        """Return the changes after a revision, for a follower.

        Waits until there are changes, at most `PEER_LONG_POLL_S`. If this host has just started, it
        waits for the first confirmation by the store as well.

        Parameters
        ----------
        kind : str
            Kind of object.
        after : int
            Revision after which changes are returned.
        awaits_store : bool
            Whether to wait for the next confirmation too if the last one is too old.
        """
        deadline = self._clock() + PEER_LONG_POLL_S
        waited_for_store = False
        while True:
            now = self._clock()
            self._pauses.record_activity(now)
            change_log = self._change_logs.get(kind)
            if change_log is None or not change_log.has_list:
                detail = f"{kind} has not been listed yet"
                answer: Result[PeerChanges, StoreError] = Err(
                    StoreError(StoreErrorKind.UNAVAILABLE, detail, self._eras.latest)
                )
                if not awaits_store or now >= deadline:
                    return answer
                waited_for_store = True
                await self._wait_for_update(deadline - now)
                continue
            answer = change_log.get_changes(after, now)
            if now >= deadline:
                return answer
            if isinstance(answer, Err):
                is_lost = answer.err_value.kind is StoreErrorKind.HISTORY_LOST
                if is_lost or not (awaits_store or change_log.is_unconfirmed):
                    return answer
                waited_for_store = True
                wait_s = deadline - now
            elif answer.ok_value.changes.events or waited_for_store:
                return answer
            else:
                wait_s = max(0.0, min(deadline, change_log.get_expiry_time()) - now)
            await self._wait_for_update(wait_s)

    async def _wait_for_hosts(self) -> None:
        """Wait until the hosts are known; without peers each host would watch the store itself."""
        if self._hosts_known.is_set():
            return
        try:
            await asyncio.wait_for(self._hosts_known.wait(), MAX_HOSTS_WAIT_S)
        except TimeoutError:
            log_event("hosts_unknown", waited_s=MAX_HOSTS_WAIT_S)
            self._hosts_known.set()

    def _record_source(self, name: str) -> None:
        if name != self._peer_name:
            log_event("news_source_changed", peer=name, before=self._peer_name)
            self._peer_name = name

    def _record_changes(self, kind: str, changes: StoreChanges, confirmed_at: float) -> None:
        """Store changes for followers, and wake the waiting ones."""
        change_log = self._change_logs[kind]
        was_outdated = change_log.get_expiry_time() < self._clock()
        change_log.record_changes(changes, confirmed_at)
        if changes.events or was_outdated:
            self._wake_followers()

    async def _wait_for_update(self, timeout_s: float) -> None:
        """Wait until `_wake_followers` is called, at most for a time in seconds."""
        with contextlib.suppress(TimeoutError):
            # The margin makes sure that the time limit has passed when the wait ends.
            await asyncio.wait_for(self._changed.wait(), timeout_s + TIMER_MARGIN_S)

    def _wake_followers(self) -> None:
        """End the waits of calls from followers."""
        self._changed.set()
        self._changed = asyncio.Event()
