"""Which data centres are evacuated, by the evacuation objects in the store.

Load pattern: a data centre is evacuated while it still serves, for seconds at a time, and all
hosts of the deployment have to stop sending to its upstreams at about the same time and start
again later. Lists and changes may arrive late or twice: from a replica that lags, from a peer, or
after an outage of the store. Only the revision of an object or of a list shows which is newer.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .positions import get_era
from .reconciliation import REWRITE_S
from .watching import ObjectEvent, StoreChanges

__all__ = ["EvacuationChange", "Evacuations"]

# Removed evacuations whose revisions are kept, in case an older change arrives late.
MAX_REMOVED = 64


class EvacuationChange(NamedTuple):
    """The beginning or the end of an evacuation.

    Parameters
    ----------
    data_centre : str
        Data centre that is evacuated.
    revision : int
        Revision at which that was requested or withdrawn.
    is_lifted : bool
        Whether the evacuation has ended.
    lasted_s : float
        Time in seconds for which an ended evacuation was known here.
    """

    data_centre: str
    revision: int
    is_lifted: bool
    lasted_s: float = 0.0


class Evacuations:
    """Tracks the evacuation objects; the last known state holds until a newer one arrives."""

    def __init__(self) -> None:
        # Revision of the latest known change of each object, in the order of these changes; also of
        # the last ones that were removed.
        self._revisions: dict[str, int] = {}
        # Time since which each evacuation is known.
        self._known_since: dict[str, float] = {}
        # Evacuations that the store has lost, and the time until which they hold all the same.
        self._lost_until: dict[str, float] = {}
        self._era = 0

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres that are evacuated."""
        return frozenset(self._known_since)

    def replace(self, listed: StoreChanges, now: float) -> list[EvacuationChange]:
        """Apply a list of all objects, and return what it changes.

        An object that is missing from the list was removed, unless it is newer than the list. After
        the store has come back from a copy that lacks it, it holds until the operator has had time
        to write it again.
        """
        names = {event.object.name for event in listed.events}
        has_returned = get_era(listed.revision) > self._era
        self._era = get_era(listed.revision)
        changes: list[EvacuationChange] = []
        for name in sorted(self._known_since.keys() - names):
            if has_returned:
                self._lost_until[name] = now + REWRITE_S
            elif name not in self._lost_until:
                changes += self._record(name, listed.revision, True, now)
        return changes + self.apply(listed.events, now)

    def lift_lost(self, now: float) -> list[EvacuationChange]:
        """Lift the evacuations that the store has lost and nobody has written again in time."""
        changes: list[EvacuationChange] = []
        for name, until in list(self._lost_until.items()):
            if now >= until:
                changes += self._record(name, self._revisions[name], True, now)
        return changes

    def apply(self, events: Iterable[ObjectEvent], now: float) -> list[EvacuationChange]:
        """Apply changes of objects, and return those that begin or end an evacuation."""
        changes: list[EvacuationChange] = []
        for event in events:
            stored = event.object
            changes += self._record(stored.name, stored.revision, event.is_removal, now)
        return changes

    def _record(
        self, name: str, revision: int, is_removal: bool, now: float
    ) -> list[EvacuationChange]:
        """Record the state of one object at a revision; an earlier one is ignored."""
        if revision < self._revisions.get(name, -1):
            return []
        self._lost_until.pop(name, None)
        self._revisions.pop(name, None)
        self._revisions[name] = revision
        self._forget_removed()
        if is_removal == (name not in self._known_since):
            return []
        if not is_removal:
            self._known_since[name] = now
            return [EvacuationChange(name, revision, False)]
        lasted_s = now - self._known_since.pop(name)
        return [EvacuationChange(name, revision, True, lasted_s)]

    def _forget_removed(self) -> None:
        """Keep the revisions of the evacuations in force, and of few others."""
        excess = len(self._revisions) - len(self._known_since) - MAX_REMOVED
        for name in list(self._revisions):
            if excess <= 0:
                return
            if name in self._known_since:
                continue
            del self._revisions[name]
            excess -= 1
