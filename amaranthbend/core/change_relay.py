"""News of the store passed between hosts: whom to follow, and what to tell followers.

Load pattern: each call to the store has a price, and with a watch from each of some hundred
hosts their number grows as hosts times changes. So a few hosts of each data centre read the
store, and the others follow them. Nobody is appointed: a host that finds too few others in
front of it that answer reads the store itself.
"""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from .watching import ObjectEvent, StoreChanges, StoredObject, StoreError, StoreErrorKind

__all__ = ["MAX_CONFIRMATION_AGE_S", "HostEntry", "ChangeLog", "PeerSelector", "PeerChanges"]

# Hosts from which on some follow others. Below, calls of all hosts cost little (0.02 of worth
# with 14 hosts, docs/design-new-machines.md), and each host sees the store for itself.
MIN_HOSTS_FOR_RELAY = 30
# Hosts of a data centre that read the store, so that the others have a second one to turn to.
READERS_PER_DATA_CENTRE = 2
# Time for which a host that failed to answer is passed over: longer than a brief pause of its
# machine, so that it has looked at the store again before it is trusted.
FAILED_PEER_SKIP_S = 5.0
# News confirmed this recently is passed on. More than the time between two looks at a slow
# store (1.3 s); with a follower's own call well within the 2 s until changes are in force.
MAX_CONFIRMATION_AGE_S = 1.8
# Batches of changes kept for followers that ask late; one arrives each half second at most.
MAX_BATCHES = 64


class HostEntry(NamedTuple):
    """A host as registered in the store.

    Parameters
    ----------
    name : str
        Name of the host.
    data_centre : str
        Where it is.
    peer_address : str
        `address:port` at which it passes news on; empty if it does not.
    """

    name: str
    data_centre: str
    peer_address: str


class PeerChanges(NamedTuple):
    """Changes that a host passes on, and how long ago the store confirmed them, in seconds."""

    changes: StoreChanges
    age_s: float


class PeerSelector:
    """Chooses the host to follow; the order is the same for all hosts, so nobody follows back.

    Parameters
    ----------
    host_id : str
        Name of this host.
    data_centre : str
        Its data centre; news does not cross between data centres, since traffic there has a price.
    """

    def __init__(self, host_id: str, data_centre: str) -> None:
        self._order_key = _get_order_key(host_id)
        self._data_centre = data_centre
        self._preceding_hosts: list[HostEntry] = []
        self._skipped_until: dict[str, float] = {}

    def set_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Replace the known hosts."""
        known = list(hosts)
        preceding = [
            host
            for host in known
            if host.data_centre == self._data_centre
            and host.peer_address
            and _get_order_key(host.name) < self._order_key
        ]
        preceding.sort(key=lambda host: _get_order_key(host.name))
        self._preceding_hosts = preceding if len(known) >= MIN_HOSTS_FOR_RELAY else []

    def record_failure(self, name: str, now: float) -> None:
        """Record that a host gave no news."""
        self._skipped_until[name] = now + FAILED_PEER_SKIP_S

    def select_peer(self, now: float) -> HostEntry | None:
        """Return the host to follow, None to read the store."""
        usable: list[HostEntry] = []
        for host in self._preceding_hosts:
            if self._skipped_until.get(host.name, -math.inf) > now:
                continue
            usable.append(host)
            if len(usable) == READERS_PER_DATA_CENTRE:
                # Divides the followers among the readers.
                return usable[len(self._preceding_hosts) % READERS_PER_DATA_CENTRE]
        return None


def _get_order_key(name: str) -> tuple[int, str]:
    """Return a key that sorts numbered names by their numbers."""
    return len(name), name


class ChangeLog:
    """Recent changes of one kind of object, for the hosts that follow this one."""

    def __init__(self) -> None:
        self._batches: deque[StoreChanges] = deque()
        # Changes up to this revision are not in the log.
        self._compacted_revision = 0
        self._revision: int | None = None
        # Revisions of the objects that exist, by name.
        self._object_revisions: dict[str, int] = {}
        self.confirmed_at = -math.inf

    def record_list(self, listed: StoreChanges, confirmed_at: float) -> None:
        """Take a complete list; what differs from the last one is passed on as changes.

        So followers need no list of their own when the store has forgotten its history.
        """
        if self._revision is None or self.is_unconfirmed:
            self._batches.clear()
            self._object_revisions.clear()
            self._compacted_revision = self._revision = listed.revision
            self._update_object_revisions(listed.events)
            self.confirmed_at = confirmed_at
            return
        self.record_changes(self._find_difference(listed), confirmed_at)

    def _find_difference(self, listed: StoreChanges) -> StoreChanges:
        names = {event.object.name for event in listed.events}
        events = [
            ObjectEvent(StoredObject(name, listed.revision, None), True)
            for name in self._object_revisions
            if name not in names
        ]
        events += [
            event
            for event in listed.events
            if event.object.revision > self._object_revisions.get(event.object.name, -1)
        ]
        return StoreChanges(events, listed.revision)

    def _update_object_revisions(self, events: Iterable[ObjectEvent]) -> None:
        for event in events:
            if event.is_removal:
                self._object_revisions.pop(event.object.name, None)
            else:
                self._object_revisions[event.object.name] = event.object.revision

    def record_changes(self, changes: StoreChanges, confirmed_at: float) -> None:
        """Add changes since the last ones, and when the store confirmed that there are no more."""
        if self._revision is None:
            return
        if changes.events and changes.revision > self._revision:
            self._batches.append(changes)
            self._update_object_revisions(changes.events)
        self._revision = max(self._revision, changes.revision)
        self.confirm(confirmed_at)
        if len(self._batches) > MAX_BATCHES:
            self._compacted_revision = self._batches.popleft().revision

    def confirm(self, confirmed_at: float) -> None:
        """Record that the store knew no further changes at a time."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    @property
    def is_unconfirmed(self) -> bool:
        """Whether the store has not confirmed anything yet."""
        return self.confirmed_at == -math.inf

    def get_expiry_time(self) -> float:
        """Return until when the news may be passed on without another confirmation."""
        return self.confirmed_at + MAX_CONFIRMATION_AGE_S

    def get_changes(self, after: int, now: float) -> Result[PeerChanges, StoreError]:
        """Return the last change of each object after a revision, some older ones among them.

        Older ones are the last of their objects too, so taking them again changes nothing.
        """
        if self._revision is None or now > self.get_expiry_time():
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "no fresh news here"))
        if after < self._compacted_revision:
            return Err(
                StoreError(
                    StoreErrorKind.HISTORY_LOST, f"no changes before {self._compacted_revision}"
                )
            )
        # A host that asks late needs the newest configuration only, which can be large.
        latest: dict[str, ObjectEvent] = {}
        for batch in self._batches:
            if batch.revision <= after:
                continue
            for event in batch.events:
                latest.pop(event.object.name, None)
                latest[event.object.name] = event
        changes = StoreChanges(list(latest.values()), max(after, self._revision))
        return Ok(PeerChanges(changes, now - self.confirmed_at))
