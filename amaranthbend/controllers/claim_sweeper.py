"""Removal of claims after their retention time, by one host at a time."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from result import Err, Ok

from ..adapters.logs import log_event
from ..adapters.platform import (
    Counters,
    ObjectChanges,
    PlatformClient,
    StoredObject,
)
from ..core.claims import CLAIMS_KIND
from .fenced_object import FencedObject
from .lease_manager import LeaseManager

__all__ = ["ClaimSweeper", "Mark", "compute_cut", "grow_marks"]

SWEEPS_KIND = "sweeps"
SWEEP_NAME = "claims"
SWEEP_INTERVAL_S = 600.0
# Wait before another look while the lease is elsewhere.
IDLE_S = 5.0
# Leaves the rest of the platform's write rate to claims.
REMOVALS_PER_S = 10.0


class Mark(NamedTuple):
    """A version, and the least time that has passed since it was the newest one."""

    version: int
    age_s: float


def grow_marks(marks: list[Mark], elapsed_s: float, newest_version: int) -> list[Mark]:
    """Return the marks grown older by the time that passed, with one for the present."""
    grown = [Mark(mark.version, mark.age_s + elapsed_s) for mark in marks]
    if not grown or grown[-1].version < newest_version:
        grown.append(Mark(newest_version, 0.0))
    return grown


def compute_cut(marks: list[Mark], retention_s: float) -> int:
    """Return the newest version whose objects are older than the retention time, or 0."""
    return max((mark.version for mark in marks if mark.age_s >= retention_s), default=0)


class ClaimSweeper:
    """Removes old claims while this host holds the lease.

    The age of a claim is the sum of the times that the successive holders
    measured on their own clocks, kept as marks in the object `sweeps/claims`.
    Time without a holder counts as none, so a claim may stay too long but is
    never removed early, and clocks of hosts are never compared.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    keeper : LeaseKeeper
        Keeper of the lease.
    counters : Counters
        Sink for counters.
    retention_s : callable
        Gives the retention time by the settings in force, None without settings.
    clock : callable
        Monotonic time in seconds.
    interval_s : float
        Time between sweeps.
    """

    def __init__(
        self,
        platform: PlatformClient,
        keeper: LeaseManager,
        counters: Counters,
        retention_s: Callable[[], float | None],
        clock: Callable[[], float],
        interval_s: float = SWEEP_INTERVAL_S,
    ) -> None:
        self._platform = platform
        self._keeper = keeper
        self._counters = counters
        self._retention_s = retention_s
        self._clock = clock
        self._interval_s = interval_s
        self._object = FencedObject(platform, keeper, counters, SWEEPS_KIND, SWEEP_NAME)
        self._marks: list[Mark] = []
        self._marked_at = clock()

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            swept = await self.sweep()
            await asyncio.sleep(self._interval_s if swept else min(IDLE_S, self._interval_s))

    async def sweep(self) -> bool:
        """Remove the claims that are old enough; return whether this host did a sweep."""
        epoch = self._keeper.get_epoch()
        retention_s = self._retention_s()
        if epoch is None or retention_s is None:
            return False
        if not await self._object.prepare(epoch, self._take_marks):
            return False
        answer = await self._platform.list(CLAIMS_KIND)
        if isinstance(answer, Err):
            return False
        claims = answer.ok_value
        if not await self._write_marks(epoch, claims):
            return False
        cut = compute_cut(self._marks, retention_s)
        for claim in claims.objects:
            if claim.version > cut:
                continue
            if self._keeper.get_epoch() != epoch:
                return False
            await self._remove(claim)
        return True

    def _take_marks(self, value: Any) -> None:
        self._marks = [] if value is None else load_marks(value)
        self._marked_at = self._clock()

    async def _write_marks(self, epoch: int, claims: ObjectChanges) -> bool:
        now = self._clock()
        newest = max((claim.version for claim in claims.objects), default=0)
        marks = grow_marks(self._marks, now - self._marked_at, newest)
        if not await self._object.write({"epoch": epoch, "marks": [list(mark) for mark in marks]}):
            return False
        self._marked_at = now
        self._marks = prune_marks(marks, self._retention_s() or 0.0)
        return True

    async def _remove(self, claim: StoredObject) -> None:
        answer = await self._platform.delete(CLAIMS_KIND, claim.name, claim.version)
        outcome = "removed" if isinstance(answer, Ok) else "remove_failed"
        self._counters.incr(f"claims.{outcome}")
        await asyncio.sleep(1 / REMOVALS_PER_S)


def prune_marks(marks: list[Mark], retention_s: float) -> list[Mark]:
    """Return the marks without those older than the newest one past retention."""
    cut = compute_cut(marks, retention_s)
    return [mark for mark in marks if mark.version >= cut]


def load_marks(value: Any) -> list[Mark]:
    """Return the marks of the stored object; none if it is malformed."""
    try:
        return [Mark(int(version), float(age_s)) for version, age_s in value["marks"]]
    except (KeyError, TypeError, ValueError) as error:
        log_event("sweep_marks_malformed", error=repr(error))
        return []
