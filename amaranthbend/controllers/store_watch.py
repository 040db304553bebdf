"""Long-poll watch of one kind of object in the platform's store."""

import asyncio
import random
import time
from collections.abc import Iterable, Sequence
from typing import Any, Protocol

from result import Err, Result

from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..core.watching import ObjectStore, StoreChanges, StoreError, StoreErrorKind, WatchPlan

__all__ = ["StoreWatch", "WatchHandler", "begin_era", "monitor_watches"]

# Time for which a watch call waits for changes. Longer waits need fewer calls. A connection that
# was lost silently is detected earlier, by the checks.
LONG_POLL_WAIT_S = 10.0
# Shortest pause between two rounds of checks, while a check is due that cannot be made.
MIN_CHECK_PAUSE_S = 0.1


class WatchHandler(Protocol):
    """Applies the results of a watch."""

    def replace_all(self, changes: StoreChanges, now: float) -> None:
        """Apply a list of all objects of the kind."""

    def apply_changes(self, changes: StoreChanges, now: float) -> None:
        """Apply the changes since the last call."""

    def set_store_reachable(self, is_reachable: bool, now: float) -> None:
        """Record whether the store is reachable."""


class WatchedStore(ObjectStore, Protocol):
    """A store whose watches and checks are spread in time."""

    def get_watch_delay(self, kind: str) -> float:
        """Return the seconds to wait until the next watch of a kind."""

    def get_check_delay(self, kind: str) -> float:
        """Return the seconds to wait until a watch of a kind has to be checked."""


class StoreWatch:
    """Lists all objects, then watches for changes; lists again after errors that may hide changes.

    Parameters
    ----------
    store : WatchedStore
        Access to the store.
    kind : str
        Kind of object.
    handler : WatchHandler
        Applies lists and changes.
    counters : Counters
        Receives the counters of failures and restarts.
    """

    def __init__(
        self, store: WatchedStore, kind: str, handler: WatchHandler, counters: Counters
    ) -> None:
        self._store = store
        self._kind = kind
        self._handler = handler
        self._counters = counters
        self._plan = WatchPlan(random.random)
        self._has_listed = False
        # Ends the wait for the running call when set.
        self._restart_requested: asyncio.Future[None] | None = None

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            try:
                pause_s = await self._call()
            except Exception as error:
                # The watch would end without notice, and its process follow no more changes.
                self._counters.incr("store.watch_errors")
                log_event("watch_error", kind=self._kind, error=repr(error))
                pause_s = self._plan.record_failure(
                    StoreError(StoreErrorKind.MALFORMED, repr(error))
                )
            if pause_s > 0:
                await asyncio.sleep(pause_s)

    async def should_restart(self) -> bool:
        """Check the store if it is time to, and return whether the watch has to be restarted.

        Between two calls there is nothing to restart, but the check still confirms what is known.
        """
        revision = self._plan.revision
        if revision is None or not self._plan.is_reachable:
            return False
        call = self._restart_requested
        result = await self._store.check_changes(self._kind, revision)
        if call is None or call is not self._restart_requested:
            return False
        if not self._plan.should_restart_watch(revision, result):
            return False
        log_event(
            "watch_behind",
            kind=self._kind,
            revision=revision,
            store=result.err_value.kind if isinstance(result, Err) else result.ok_value.revision,
        )
        return True

    def get_check_delay(self) -> float:
        """Return the seconds to wait until the watch has to be checked."""
        return self._store.get_check_delay(self._kind)

    def restart(self) -> None:
        """Abandon the running call, and repeat it on another connection."""
        if self._restart_requested is not None and not self._restart_requested.done():
            self._counters.incr("store.restarts")
            log_event("watch_restarted", kind=self._kind, revision=self._plan.revision)
            self._plan.record_abandoned_call()
            self._restart_requested.set_result(None)

    def begin_era(self) -> None:
        """List all objects again, since the store has come back from a copy of itself."""
        self._plan.revision = None
        self.restart()

    async def _call(self) -> float:
        """Make one call, and return the pause before the next one in seconds."""
        plan = self._plan
        revision = plan.revision
        started_at = time.monotonic()
        if revision is None:
            call = self._store.list_objects(self._kind)
        else:
            wait_s = LONG_POLL_WAIT_S if plan.may_long_poll else 0.0
            call = self._store.watch_objects(self._kind, revision, wait_s)
        # An abandoned call ends by its own timeout; cancelling it would leave its connection open.
        pending: asyncio.Future[Result[StoreChanges, StoreError]] = asyncio.ensure_future(call)
        self._restart_requested = asyncio.get_running_loop().create_future()
        waits: set[asyncio.Future[Any]] = {pending, self._restart_requested}
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        self._restart_requested = None
        if not pending.done():
            return 0.0
        answer = pending.result()
        now = time.monotonic()
        was_reachable = plan.is_reachable
        if isinstance(answer, Err):
            error = answer.err_value
            pause_s = plan.record_failure(error)
            self._counters.incr(f"store.failures.{error.kind}")
            if was_reachable:
                log_event(
                    "store_call_failed",
                    kind=self._kind,
                    error=error.kind,
                    detail=error.detail,
                    after_ms=int((now - started_at) * 1000),
                    revision=revision,
                )
            self._handler.set_store_reachable(plan.is_reachable, now)
            return pause_s
        changes = answer.ok_value
        plan.record_changes(changes)
        if not was_reachable or not self._has_listed:
            log_event("store_reached", kind=self._kind, revision=changes.revision)
        self._has_listed = True
        self._handler.set_store_reachable(True, now)
        if revision is None:
            self._handler.replace_all(changes, now)
        elif changes.events:
            self._handler.apply_changes(changes, now)
        return self._store.get_watch_delay(self._kind)


async def monitor_watches(watches: Sequence[StoreWatch]) -> None:
    """Check the watches when due, and restart all of them when one has to be restarted.

    One after the other, since the check of one may confirm what the others know as well.
    """
    while True:
        delay_s = min(watch.get_check_delay() for watch in watches)
        await asyncio.sleep(max(MIN_CHECK_PAUSE_S, delay_s))
        for checked in watches:
            if not await checked.should_restart():
                continue
            for watch in watches:
                watch.restart()
            break


def begin_era(watches: Iterable[StoreWatch]) -> None:
    """Let all watches list anew, since the store has come back from a copy of itself."""
    for watch in watches:
        watch.begin_era()
