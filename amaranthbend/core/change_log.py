"""Latest change of each object of one kind, kept for the followers of a host.

Load pattern: a configuration can be as large as the store allows, and change every second. A log of
changes with their values would take as much memory for each of them. So the log holds one value for
each existing object, and only the names of the objects that were removed.
"""

import math
from typing import NamedTuple

from result import Err, Ok, Result

from .positions import get_era
from .watching import ObjectEvent, StoreChanges, StoredObject, StoreError, StoreErrorKind

__all__ = ["ChangeLog", "PeerChanges"]

# Removed objects of which the names are kept. A follower that has not heard of an older removal
# reads the store once.
MAX_REMOVALS = 1024

NOT_CONFIRMED = StoreError(StoreErrorKind.UNAVAILABLE, "no recently confirmed changes")


class PeerChanges(NamedTuple):
    """Changes that a host relays, and the seconds since the store confirmed that none follow."""

    changes: StoreChanges
    age_s: float


class _Change(NamedTuple):
    """Latest change of an object, and the revision of the batch in which it was received.

    A follower that knows that revision knows the change. The revision of the object itself can be
    lower, for instance that of an object which was then removed.
    """

    event: ObjectEvent
    batch_revision: int


class ChangeLog:
    """Changes of one kind of object, kept for the followers of this host.

    Parameters
    ----------
    max_age_s : float
        Age in seconds up to which a confirmation by the store allows relaying changes.
    """

    def __init__(self, max_age_s: float) -> None:
        self.max_age_s = max_age_s
        # Removals up to this revision are no longer in the log.
        self._compacted_revision = 0
        self._revision: int | None = None
        # By name of the object, in the order of the batches.
        self._changes: dict[str, _Change] = {}
        # Names of removed objects, in the order of their removal.
        self._removed: dict[str, None] = {}
        self.confirmed_at = -math.inf
        # What the store stated in earlier eras than this one is not recorded any more.
        self._era = 0

    def begin_era(self, era: int) -> None:
        """Forget what the store has confirmed, as it has come back from a copy of itself.

        Nothing is relayed until the next list.
        """
        self._era = era
        self.confirmed_at = -math.inf

    def record_list(self, listed: StoreChanges, confirmed_at: float) -> None:
        """Record a complete list of the objects.

        Once the store has confirmed an earlier state, the differences from it are added as
        changes, so that followers need no list of their own when the store has compacted its
        history.

        Parameters
        ----------
        listed : StoreChanges
            All objects, and the revision of the list.
        confirmed_at : float
            Monotonic time in seconds of the store's last confirmation. A list from a replica
            that may lag confirms nothing, so it comes with the time of an earlier confirmation,
            or negative infinity.
        """
        if get_era(listed.revision) < self._era:
            return
        self._era = get_era(listed.revision)
        if self._revision is None or self.is_unconfirmed:
            self._changes.clear()
            self._removed.clear()
            self._compacted_revision = self._revision = listed.revision
            self._record_events(listed)
            self.confirmed_at = confirmed_at
            return
        self.record_changes(self._find_difference(listed), confirmed_at)

    def _find_difference(self, listed: StoreChanges) -> StoreChanges:
        names = {event.object.name for event in listed.events}
        events = [
            ObjectEvent(StoredObject(name, listed.revision, None), True)
            for name in self._changes
            if name not in names and name not in self._removed
        ]
        events += [event for event in listed.events if self._is_newer(event.object)]
        return StoreChanges(events, listed.revision)

    def _is_newer(self, stored: StoredObject) -> bool:
        if stored.name not in self._changes or stored.name in self._removed:
            return True
        return stored.revision > self._changes[stored.name].event.object.revision

    def _record_events(self, changes: StoreChanges) -> None:
        for event in changes.events:
            name = event.object.name
            if event.is_removal:
                removed = StoredObject(name, event.object.revision, None)
                latest = ObjectEvent(removed, True)
            elif self._is_newer(event.object):
                latest = event
            else:
                latest = self._changes[name].event
            # Inserted again, since both dictionaries are in the order of the batches.
            self._changes.pop(name, None)
            self._changes[name] = _Change(latest, changes.revision)
            self._removed.pop(name, None)
            if event.is_removal:
                self._removed[name] = None
        while len(self._removed) > MAX_REMOVALS:
            name = next(iter(self._removed))
            del self._removed[name]
            self._compacted_revision = self._changes.pop(name).batch_revision

    def record_changes(self, changes: StoreChanges, confirmed_at: float) -> None:
        """Append further changes, and record when the store confirmed that there are no more."""
        if self._revision is None or get_era(changes.revision) < self._era:
            return
        if changes.events and changes.revision > self._revision:
            self._record_events(changes)
        self._revision = max(self._revision, changes.revision)
        self.confirm(confirmed_at)

    def confirm(self, confirmed_at: float) -> None:
        """Record that the store had no further changes at a given time."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def reaches(self, revision: int) -> bool:
        """Return whether all changes up to a revision are known."""
        return self._revision is not None and self._revision >= revision

    @property
    def revision(self) -> int | None:
        """Position up to which changes are known, None before the first list."""
        return self._revision

    @property
    def has_list(self) -> bool:
        """Whether a list of the present era of the store has been recorded."""
        return self._revision is not None and get_era(self._revision) >= self._era

    @property
    def is_unconfirmed(self) -> bool:
        """Whether the store has not yet confirmed any state."""
        return self.confirmed_at == -math.inf

    def get_expiry_time(self) -> float:
        """Return the time until which changes may be relayed without another confirmation."""
        return self.confirmed_at + self.max_age_s

    def get_changes(self, after: int, now: float) -> Result[PeerChanges, StoreError]:
        """Return the latest change of each object that changed after a revision.

        A batch that extends beyond the revision is returned whole, so some changes may be older.
        Applying these again changes nothing, since each is still the latest of its object. A
        follower that lags behind needs only the newest configuration, which can be large.
        """
        if self._revision is None or now > self.get_expiry_time():
            return Err(NOT_CONFIRMED)
        if get_era(after) > get_era(self._revision):
            # The store has come back from a copy, which this host has not noticed yet.
            return Err(NOT_CONFIRMED)
        if after < self._compacted_revision:
            return Err(
                StoreError(
                    StoreErrorKind.HISTORY_LOST,
                    f"no longer has the changes up to revision {self._compacted_revision}",
                    self._era,
                )
            )
        events: list[ObjectEvent] = []
        for change in reversed(self._changes.values()):
            if change.batch_revision <= after:
                break
            events.append(change.event)
        changes = StoreChanges(events[::-1], max(after, self._revision))
        return Ok(PeerChanges(changes, now - self.confirmed_at))

    def get_list(self, now: float) -> Result[PeerChanges, StoreError]:
        """Return all objects, for a follower that has just started."""
        if self._revision is None or now > self.get_expiry_time():
            return Err(NOT_CONFIRMED)
        events = [change.event for change in self._changes.values() if not change.event.is_removal]
        return Ok(PeerChanges(StoreChanges(events, self._revision), now - self.confirmed_at))
