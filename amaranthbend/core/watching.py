"""How a watcher follows one kind of object in a store that fails at times."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from result import Err, Result

from .backoff import Backoff

__all__ = [
    "ObjectEvent",
    "ObjectStore",
    "StoreChanges",
    "StoreError",
    "StoreErrorKind",
    "StoredObject",
    "WatchPlan",
]

# Limits of the delay after a failed call. A store that returns has to be noticed within about a
# second, since nothing else tells of instances that left meanwhile.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8


class StoreErrorKind(StrEnum):
    """Why a call to the store failed."""

    UNAVAILABLE = "unavailable"
    HISTORY_LOST = "history_lost"
    CONFLICT = "conflict"
    MALFORMED = "malformed"


class StoreError(NamedTuple):
    """A failed call to the store."""

    kind: StoreErrorKind
    detail: str


class StoredObject(NamedTuple):
    """An object: name, revision of its last change, and the value that its writer gave."""

    name: str
    revision: int
    value: Any


class ObjectEvent(NamedTuple):
    """A change of an object, or its removal."""

    object: StoredObject
    is_removal: bool


class StoreChanges(NamedTuple):
    """Changes up to a revision of the store."""

    events: list[ObjectEvent]
    revision: int


class ObjectStore(Protocol):
    """What a watcher needs of the store's client."""

    async def create_object(self, kind: str, name: str, value: Any) -> Result[bool, StoreError]:
        """Create an object, and return whether it is new."""

    async def list_objects(
        self, kind: str, *, may_lag: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Return all objects of a kind."""

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[StoreChanges, StoreError]:
        """Return the changes after a revision."""

    async def peek_changes(self, kind: str, revision: int) -> Result[StoreChanges, StoreError]:
        """Return the changes after a revision that a replica knows, which may lag behind."""


class WatchPlan:
    """Decides whether to list or to watch next, and after which pause.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 up to 1.
    batch_delay_s : float
        Pause after changes, in which further ones gather; each call has a price.
    """

    def __init__(self, draw: Callable[[], float], batch_delay_s: float) -> None:
        # Half of the delay is fixed: every call has a price, refused ones too.
        self._backoff = Backoff(
            lambda: 0.5 + 0.5 * draw(), INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S
        )
        self._batch_delay_s = batch_delay_s
        # Whether the last call succeeded.
        self.is_reachable = True
        # Whether a watch may wait for changes. One after a call that failed or was given up may
        # not, so that another one that hangs is noticed soon.
        self.may_long_poll = True
        # Revision to watch from, None when everything has to be listed.
        self.revision: int | None = None

    def record_changes(self, changes: StoreChanges) -> float:
        """Record an answer, and return the pause before the next call."""
        was_list = self.revision is None
        self.revision = changes.revision
        self.is_reachable = True
        self.may_long_poll = True
        self._backoff.reset()
        return 0.0 if was_list or not changes.events else self._batch_delay_s

    def record_failure(self, error: StoreError) -> float:
        """Record a failed call, and return the pause before the next one."""
        self.may_long_poll = False
        if error.kind is StoreErrorKind.HISTORY_LOST:
            self.revision = None
            return 0.0
        if error.kind is StoreErrorKind.MALFORMED:
            self.revision = None
        self.is_reachable = False
        return self._backoff.next_delay()

    def record_abandoned_call(self) -> None:
        """Record that the call under way was given up."""
        self.may_long_poll = False

    def should_restart_watch(
        self, peeked_revision: int | None, peek_result: Result[StoreChanges, StoreError]
    ) -> bool:
        """Return whether a watch that waits has to be made anew.

        A connection can go silent without an end. A failed look at the store, and changes that
        the watch should have brought, show it long before the watch itself times out.

        Parameters
        ----------
        peeked_revision : int or None
            Revision from which the look was taken.
        peek_result : Result
            What it brought.
        """
        if not self.is_reachable or self.revision is None or self.revision != peeked_revision:
            return False
        if isinstance(peek_result, Err):
            return True
        return bool(peek_result.ok_value.events)
