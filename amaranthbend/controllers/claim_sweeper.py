"""Removal of claims after their retention time, by the host that holds the sweeper lease."""

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

__all__ = ["ClaimSweeper", "VersionAge", "compute_expired_version", "increase_ages"]

SWEEPS_KIND = "sweeps"
SWEEPS_OBJECT_NAME = "claims"
SWEEP_INTERVAL_S = 600.0
# Interval between checks of the lease while another host holds it.
LEASE_CHECK_INTERVAL_S = 5.0
# Low, to leave the rest of the platform's write rate to claims of requests.
REMOVALS_PER_S = 10.0


class VersionAge(NamedTuple):
    """A store version, and a lower bound of the time since it was the newest one."""

    version: int
    age_s: float


def increase_ages(
    ages: list[VersionAge], elapsed_s: float, newest_version: int
) -> list[VersionAge]:
    """Return the entries with the elapsed time added to their ages.

    A version newer than that of the last entry is appended with age 0.
    """
    increased = [VersionAge(entry.version, entry.age_s + elapsed_s) for entry in ages]
    if not increased or increased[-1].version < newest_version:
        increased.append(VersionAge(newest_version, 0.0))
    return increased


def compute_expired_version(ages: list[VersionAge], retention_s: float) -> int:
    """Return the newest version that is at least as old as the retention time, or 0."""
    return max((entry.version for entry in ages if entry.age_s >= retention_s), default=0)


class ClaimSweeper:
    """Removes expired claims while this host holds the lease.

    The ages of store versions are kept in the object `sweeps/claims`. Each
    holder of the lease adds the time that it measured on its own clock, so
    clocks of different hosts are never compared. Time without a holder is not
    counted: a claim may stay longer than the retention time, but is never
    removed early.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    lease : LeaseManager
        Lease whose holder sweeps.
    counters : Counters
        Receives the counters.
    retention_s : callable
        Returns the retention time of the settings in force in seconds, None without settings.
    clock : callable
        Monotonic time in seconds.
    interval_s : float
        Time between sweeps in seconds.
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
        """Remove the expired claims, and return whether the sweep was completed."""
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
        expired_version = compute_expired_version(self._ages, retention_s)
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
        ages = increase_ages(self._ages, now - self._ages_updated_at, newest)
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
    """Return the entries from the newest expired version on."""
    expired_version = compute_expired_version(ages, retention_s)
    return [entry for entry in ages if entry.version >= expired_version]


def decode_ages(value: Any) -> list[VersionAge]:
    """Return the ages in the stored object, an empty list if it is malformed."""
    try:
        return [VersionAge(int(version), float(age_s)) for version, age_s in value["marks"]]
    except (KeyError, TypeError, ValueError) as error:
        log_event("sweep_marks_malformed", error=repr(error))
        return []
