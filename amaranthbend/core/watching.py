"""Types of the object store, and when a watcher of one kind of object lists, watches or retries."""

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

# First and highest limit of the delay after a failed call. The end of an outage has to be noticed
# within about a second, since only the store reports the upstreams that left meanwhile.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8


class StoreErrorKind(StrEnum):
    """Why a call to the store failed."""

    UNAVAILABLE = "unavailable"
    HISTORY_LOST = "history_lost"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # A peer responds, but the store has not confirmed its changes recently.
    UNCONFIRMED = "unconfirmed"
    MALFORMED = "malformed"


class StoreError(NamedTuple):
    """Error of a failed call to the store.

    Parameters
    ----------
    kind : StoreErrorKind
        Why the call failed.
    detail : str
        Message for logs.
    era : int
        Latest era of the store that a peer has stated, 0 if it has not.
    """

    kind: StoreErrorKind
    detail: str
    era: int = 0


class StoredObject(NamedTuple):
    """An object: its name, the position of its last change, and its value as written.

    Revisions here and below are positions (`core/positions.py`), which also order the eras.
    """

    name: str
    revision: int
    value: Any


class ObjectEvent(NamedTuple):
    """The creation, change or removal of an object."""

    object: StoredObject
    is_removal: bool


class StoreChanges(NamedTuple):
    """Changes, and the revision of the store up to which they are complete."""

    events: list[ObjectEvent]
    revision: int


class ObjectStore(Protocol):
    """Operations of the store's client that a watcher needs."""

    async def create_object(self, kind: str, name: str, value: Any) -> Result[bool, StoreError]:
        """Create an object, and return whether it is new."""

    async def list_objects(
        self, kind: str, *, may_lag: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Return all objects of a kind; if `may_lag`, from a replica that may lag behind."""

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[StoreChanges, StoreError]:
        """Return the changes after a revision, waiting up to `wait_s` seconds for one."""

    async def check_changes(self, kind: str, revision: int) -> Result[StoreChanges, StoreError]:
        """Return without waiting the changes after a revision; never from a replica."""


class WatchPlan:
    """Decides whether the next call lists or watches, and the delay before it.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 up to 1.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        # At least half of the delay is always waited: every call has a price, also a refused one.
        self._backoff = Backoff(
            lambda: 0.5 + 0.5 * draw(), INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S
        )
        # Whether the last call succeeded.
        self.is_reachable = True
        # Whether the next watch may wait for changes. After a failed or abandoned call it may not,
        # so that a further call that hangs is noticed soon.
        self.may_long_poll = True
        # Revision to watch from, or None if all objects have to be listed.
        self.revision: int | None = None

    def record_changes(self, changes: StoreChanges) -> None:
        """Record a successful call."""
        self.revision = changes.revision
        self.is_reachable = True
        self.may_long_poll = True
        self._backoff.reset()

    def record_failure(self, error: StoreError) -> float:
        """Record a failed call, and return the delay in seconds before the next one."""
        self.may_long_poll = False
        if error.kind is StoreErrorKind.HISTORY_LOST:
            self.revision = None
            return 0.0
        if error.kind is StoreErrorKind.MALFORMED:
            self.revision = None
        self.is_reachable = False
        if error.kind is StoreErrorKind.UNCONFIRMED:
            # The peer has waited for the store; the next one is asked without a pause.
            return 0.0
        return self._backoff.next_delay()

    def record_abandoned_call(self) -> None:
        """Record that the caller stopped waiting for the current call."""
        self.may_long_poll = False

    def should_restart_watch(
        self, checked_revision: int | None, check_result: Result[StoreChanges, StoreError]
    ) -> bool:
        """Return whether a waiting watch should be restarted, given a check of the store.

        A connection can stop delivering data without being closed. A check that fails, or that
        returns changes which the watch has not returned, shows this long before the watch times
        out.

        Parameters
        ----------
        checked_revision : int or None
            Revision that the check started from. If the watch has reached another one meanwhile,
            the result says nothing about it.
        check_result : Result
            Result of the check.
        """
        if not self.is_reachable or self.revision is None or self.revision != checked_revision:
            return False
        if isinstance(check_result, Err):
            return True
        return bool(check_result.ok_value.events)
