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

__all__ = ["ClaimSweeper", "VersionAge", "find_expired_version", "advance_ages"]

SWEEPS_KIND = "sweeps"
SWEEPS_OBJECT_NAME = "claims"
SWEEP_INTERVAL_S = 600.0
# Wait before another look while the lease is elsewhere.
LEASE_CHECK_INTERVAL_S = 5.0
# Leaves the rest of the platform's write rate to claims.
REMOVALS_PER_S = 10.0


class VersionAge(NamedTuple):
    """A version, and the least time that has passed since it was the newest one."""

    version: int
    age_s: float


def advance_ages(ages: list[VersionAge], elapsed_s: float, newest_version: int) -> list[VersionAge]:
    """Return the marks grown older by the time that passed, with one for the present."""
    advanced = [VersionAge(entry.version, entry.age_s + elapsed_s) for entry in ages]
    if not advanced or advanced[-1].version < newest_version:
        advanced.append(VersionAge(newest_version, 0.0))
    return advanced


def find_expired_version(ages: list[VersionAge], retention_s: float) -> int:
    """Return the newest version whose objects are older than the retention time, or 0."""
    return max((entry.version for entry in ages if entry.age_s >= retention_s), default=0)


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
    lease : LeaseManager
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
        lease: LeaseManager,
        counters: Counters,
        retention_s: Callable[[], float | None],
        clock: Callable[[], float],
        interval_s: float = SWEEP_INTERVAL_S,
    ) -> None:
        self._platform = platform
        self._lease = lease
        self._counters = counters
        self._retention_s = retention_s
        self._clock = clock
        self._interval_s = interval_s
        self._object = FencedObject(platform, lease, counters, SWEEPS_KIND, SWEEPS_OBJECT_NAME)
        self._ages: list[VersionAge] = []
        self._ages_updated_at = clock()

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            has_swept = await self.sweep()
            await asyncio.sleep(
                self._interval_s if has_swept else min(LEASE_CHECK_INTERVAL_S, self._interval_s)
            )

    async def sweep(self) -> bool:
        """Remove the claims that are old enough; return whether this host did a sweep."""
        epoch = self._lease.get_epoch()
        retention_s = self._retention_s()
        if epoch is None or retention_s is None:
            return False
        if not await self._object.ensure_read(epoch, self._load_ages):
            return False
        answer = await self._platform.list(CLAIMS_KIND)
        if isinstance(answer, Err):
            return False
        claims = answer.ok_value
        if not await self._write_ages(epoch, claims):
            return False
        expired_version = find_expired_version(self._ages, retention_s)
        for claim in claims.objects:
            if claim.version > expired_version:
                continue
            if self._lease.get_epoch() != epoch:
                return False
            await self._remove(claim)
        return True

    def _load_ages(self, value: Any) -> None:
        self._ages = [] if value is None else decode_ages(value)
        self._ages_updated_at = self._clock()

    async def _write_ages(self, epoch: int, claims: ObjectChanges) -> bool:
        now = self._clock()
        newest = max((claim.version for claim in claims.objects), default=0)
        ages = advance_ages(self._ages, now - self._ages_updated_at, newest)
        if not await self._object.write({"epoch": epoch, "marks": [list(entry) for entry in ages]}):
            return False
        self._ages_updated_at = now
        self._ages = prune_ages(ages, self._retention_s() or 0.0)
        return True

    async def _remove(self, claim: StoredObject) -> None:
        answer = await self._platform.delete(CLAIMS_KIND, claim.name, claim.version)
        outcome = "removed" if isinstance(answer, Ok) else "remove_failed"
        self._counters.incr(f"claims.{outcome}")
        await asyncio.sleep(1 / REMOVALS_PER_S)


def prune_ages(ages: list[VersionAge], retention_s: float) -> list[VersionAge]:
    """Return the marks without those older than the newest one past retention."""
    expired_version = find_expired_version(ages, retention_s)
    return [entry for entry in ages if entry.version >= expired_version]


def decode_ages(value: Any) -> list[VersionAge]:
    """Return the marks of the stored object; none if it is malformed."""
    try:
        return [VersionAge(int(version), float(age_s)) for version, age_s in value["marks"]]
    except (KeyError, TypeError, ValueError) as error:
        log_event("sweep_marks_malformed", error=repr(error))
        return []
