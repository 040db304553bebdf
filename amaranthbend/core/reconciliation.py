"""What a host keeps of the objects that it knows when the store comes back from an older copy.

The store loses writes that it has acknowledged, and states objects as they were before. Those who
wrote them write them again, but until then a host must not act on the older state: a withdrawn key
would be served again, and an instance that has left would get requests.

Load pattern: all hosts notice a return within seconds. Each decides by what it knows, so that no
call is needed for it, and relays the result, so that hosts that start later decide alike.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from .positions import get_era
from .watching import ObjectEvent, StoreChanges, StoredObject

__all__ = ["REWRITE_S", "InstanceReconciler", "Reconciler", "VersionReconciler"]

# Time in seconds within which others have written again what the store has lost.
REWRITE_S = 10.0
# Removed objects that are remembered. Copies of the store are some seconds old.
MAX_REMOVED = 1024


class Reconciler(Protocol):
    """Compares the objects of one kind with what is known of them."""

    def reconcile(self, changes: StoreChanges, *, is_list: bool) -> StoreChanges:
        """Return changes in which newer known values replace those of an older copy.

        Parameters
        ----------
        changes : StoreChanges
            Changes from the store or a peer.
        is_list : bool
            Whether they are all objects of the kind.
        """


class _Version(NamedTuple):
    number: int
    value: Any


class VersionReconciler:
    """Keeps the newest version of each object, by a number that only rises.

    Parameters
    ----------
    read_version : callable
        Returns the version in a value, None if it has none.
    """

    def __init__(self, read_version: Callable[[Any], int | None]) -> None:
        self._read_version = read_version
        self._newest: dict[str, _Version] = {}

    def reconcile(self, changes: StoreChanges, *, is_list: bool) -> StoreChanges:
        """Return changes in which a newer known version replaces an older one, or a missing one.

        Before its first return the store never goes back, so its changes are returned as they are.
        """
        has_returned = get_era(changes.revision) > 0
        events: list[ObjectEvent] = []
        for event in changes.events:
            name = event.object.name
            if event.is_removal and not has_returned:
                self._newest.pop(name, None)
            newest = self._newest.get(name)
            version = None if event.is_removal else self._read_version(event.object.value)
            is_newer = newest is None or version is None or version >= newest.number
            if version is not None and (is_newer or not has_returned):
                self._newest[name] = _Version(version, event.object.value)
                events.append(event)
                continue
            if newest is None or not has_returned:
                events.append(event)
                continue
            events.append(ObjectEvent(event.object._replace(value=newest.value), False))
        if is_list and has_returned:
            listed = {event.object.name for event in events}
            for name, newest in self._newest.items():
                if name in listed:
                    continue
                kept = StoredObject(name, changes.revision, newest.value)
                events.append(ObjectEvent(kept, False))
        return changes._replace(events=events)


class _Known(NamedTuple):
    """Latest state of an instance's entry.

    Parameters
    ----------
    progress : tuple of (int, int)
        Start of the instance, and the number of the write.
    value : Any
        Value of the entry.
    era : int
        Era in which the store has stated it, or its removal.
    is_removed : bool
        Whether the entry was removed.
    """

    progress: tuple[int, int]
    value: Any
    era: int
    is_removed: bool = False


class InstanceReconciler:
    """Keeps the newest state of each instance's entry, by numbers that the instance counts up.

    Parameters
    ----------
    read_progress : callable
        Returns the start of an instance and the number of the write in a value, None without them.
    """

    def __init__(self, read_progress: Callable[[Any], tuple[int, int] | None]) -> None:
        self._read_progress = read_progress
        self._known: dict[str, _Known] = {}
        # Names of the removed entries, in the order of their removal.
        self._removed: dict[str, None] = {}

    def reconcile(self, changes: StoreChanges, *, is_list: bool) -> StoreChanges:
        """Return changes without entries that an older copy of the store has brought back.

        Before its first return the store never goes back, so its changes are returned as they are.
        """
        era = get_era(changes.revision)
        events: list[ObjectEvent] = []
        for event in changes.events:
            reconciled = self._reconcile_event(event, era, is_list=is_list)
            if reconciled is not None:
                events.append(reconciled)
        if is_list:
            listed = {event.object.name for event in changes.events}
            for name in [name for name in self._known if name not in listed]:
                # A running instance writes a missing entry again, with the numbers that it has.
                if not self._known[name].is_removed:
                    del self._known[name]
        return changes._replace(events=events)

    def _reconcile_event(
        self, event: ObjectEvent, era: int, *, is_list: bool
    ) -> ObjectEvent | None:
        """Return an event as it is or with the known value, None if the entry is not used."""
        stored = event.object
        known = self._known.get(stored.name)
        if event.is_removal:
            if known is not None:
                self._record_removal(stored.name, known, era)
            return event
        progress = self._read_progress(stored.value)
        if progress is None:
            return event
        if known is None or not self._is_returned(known, progress, era, is_list=is_list):
            self._known[stored.name] = _Known(progress, stored.value, era)
            self._removed.pop(stored.name, None)
            return event
        if not known.is_removed:
            return ObjectEvent(stored._replace(value=known.value), False)
        if is_list:
            return None
        return ObjectEvent(stored._replace(value=None), True)

    @staticmethod
    def _is_returned(known: _Known, progress: tuple[int, int], era: int, *, is_list: bool) -> bool:
        """Return whether an entry is one that an older copy of the store has brought back.

        Within an era the store alone decides: the clocks of two starts of an instance may differ.
        """
        if era <= known.era:
            return False
        # A list can hold the entry as it was before its removal; later writes are new.
        is_last_before_removal = is_list and known.is_removed and progress == known.progress
        return progress < known.progress or is_last_before_removal

    def _record_removal(self, name: str, known: _Known, era: int) -> None:
        self._known[name] = known._replace(value=None, era=era, is_removed=True)
        self._removed.pop(name, None)
        self._removed[name] = None
        if len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            del self._removed[oldest]
            del self._known[oldest]
