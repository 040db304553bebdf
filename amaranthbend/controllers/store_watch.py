"""Follows one kind of object in the platform's store."""

import asyncio
import random
import time
from typing import Protocol

from result import Err

from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..core.watching import ObjectStore, StoreChanges, WatchPlan

__all__ = ["StoreWatch", "WatchSink"]

# A waiting watch that was cut silently is noticed after this time and the client's allowance;
# together they stay below the 3 s after which a machine counts as in touch again.
WAIT_S = 1.5
# Changes become visible this late at most, out of 2 s in which they have to be in force.
PAUSE_S = 0.3


class WatchSink(Protocol):
    """Receives what a watch brings."""

    def replace_all(self, changes: StoreChanges, now: float) -> None:
        """Take all objects of the kind."""

    def apply_changes(self, changes: StoreChanges, now: float) -> None:
        """Take changes since the last call."""

    def note_reachable(self, is_reachable: bool, now: float) -> None:
        """Take news of the store itself."""


class StoreWatch:
    """Lists once, then watches; lists again after an error that may hide changes.

    Parameters
    ----------
    store : ObjectStore
        Client of the store.
    kind : str
        Kind of object.
    sink : WatchSink
        Receives the objects.
    counters : Counters
        Where calls and failures are counted.
    """

    def __init__(self, store: ObjectStore, kind: str, sink: WatchSink, counters: Counters) -> None:
        self._store = store
        self._kind = kind
        self._sink = sink
        self._counters = counters
        self._plan = WatchPlan(random.random, PAUSE_S)
        self._has_listed = False

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            pause_s = await self._call()
            if pause_s > 0:
                await asyncio.sleep(pause_s)

    async def _call(self) -> float:
        """Make one call, and return the pause after it."""
        plan = self._plan
        revision = plan.revision
        self._counters.incr(f"store.calls.{self._kind}")
        started_at = time.monotonic()
        if revision is None:
            answer = await self._store.list_objects(self._kind)
        else:
            answer = await self._store.watch_objects(self._kind, revision, WAIT_S)
        now = time.monotonic()
        was_reachable = plan.is_reachable
        if isinstance(answer, Err):
            error = answer.err_value
            pause_s = plan.note_failure(error, now)
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
            self._sink.note_reachable(plan.is_reachable, now)
            return pause_s
        changes = answer.ok_value
        pause_s = plan.note_changes(changes)
        if not was_reachable or not self._has_listed:
            log_event("store_reached", kind=self._kind, revision=changes.revision)
        self._has_listed = True
        self._sink.note_reachable(True, now)
        if revision is None:
            self._sink.replace_all(changes, now)
        elif changes.events:
            self._sink.apply_changes(changes, now)
        return pause_s
