"""The host's share of the deployment's probe budget, held under a lease."""

import asyncio
from collections import deque
from collections.abc import Callable

from result import Err

from ..adapters.logs import log_event
from ..core.backoff import Backoff
from ..core.leases import LeaseMachine, LeaseWrite
from .entry_feed import ProbeShareGrant
from .lease_manager import LEASES_KIND, LeaseDriver, LeaseTiming, decode_lease

__all__ = ["ProbeShareManager"]

LEASE_NAME_PREFIX = "probe-share-"
# Bound of the time in which a change of the number of shares reaches every host. Shares that were
# granted before the change expire within the ttl of their leases after it.
COUNT_SETTLE_S = 7.0


class ProbeShareManager:
    """Acquires and renews one of the equal shares into which the probe budget is split.

    After a change of the number of shares, hosts disagree on it for some seconds. In that time a
    host acquires only shares that exist under the lowest of the numbers, and computes the size
    of its share from the highest, so that the sum of all shares stays within the budget.

    Parameters
    ----------
    driver : LeaseDriver
        Carries out the reads and writes.
    holder : str
        Identifier of this process, not reused after a restart.
    timing : LeaseTiming
        Times of the leases.
    count_shares : callable
        Returns the number of shares of the settings in force, 0 without settings.
    """

    def __init__(
        self, driver: LeaseDriver, holder: str, timing: LeaseTiming, count_shares: Callable[[], int]
    ) -> None:
        self._driver = driver
        self._holder = holder
        self._timing = timing
        self._count_shares = count_shares
        self._backoff = Backoff(driver.rng.random)
        self._machines: dict[int, LeaseMachine] = {}
        self._held_index: int | None = None
        self._recent_counts: deque[tuple[int, float]] = deque()

    def get_share(self) -> ProbeShareGrant:
        """Return the fraction of the probe budget that the host may use, and for how long."""
        now = self._driver.clock()
        counts = self._list_possible_counts(now)
        if self._held_index is None or self._held_index >= min(counts):
            return ProbeShareGrant(0.0, 0.0)
        remaining_s = self._machines[self._held_index].compute_remaining(now)
        return ProbeShareGrant(1 / max(counts) if remaining_s > 0 else 0.0, remaining_s)

    def _list_possible_counts(self, now: float) -> list[int]:
        """Return the numbers of shares that may be in force on some host."""
        count = self._count_shares()
        if not self._recent_counts or self._recent_counts[-1][0] != count:
            self._recent_counts.append((count, now))
        settled_at = now - COUNT_SETTLE_S - self._timing.ttl_s
        while len(self._recent_counts) > 1 and self._recent_counts[1][1] < settled_at:
            self._recent_counts.popleft()
        return [share_count for share_count, _since in self._recent_counts]

    async def run(self) -> None:
        """Acquire and renew a share until cancelled."""
        while True:
            if await self._step():
                self._backoff.reset()
                continue
            await self._driver.platform.wait_before_retry(self._backoff.next_delay())

    async def _step(self) -> bool:
        count = min(self._list_possible_counts(self._driver.clock()))
        if count == 0:
            await asyncio.sleep(1.0)
            return True
        if self._held_index is None:
            return await self._acquire_share(count)
        if self._held_index >= count:
            # The lease is not released: entry processes may spend the share until it expires, and
            # a host with earlier settings could acquire a released lease at once.
            self._held_index = None
            return True
        machine = self._machines[self._held_index]
        succeeded = await self._driver.step(f"{LEASE_NAME_PREFIX}{self._held_index}", machine)
        if machine.get_epoch(self._driver.clock()) is None:
            log_event("probe_share_lost", share=self._held_index)
            self._held_index = None
        return succeeded

    async def _acquire_share(self, count: int) -> bool:
        answer = await self._driver.platform.list(LEASES_KIND)
        if isinstance(answer, Err):
            return False
        now = self._driver.clock()
        stored = {entry.name: entry for entry in answer.ok_value.objects}
        free_shares: dict[int, LeaseWrite] = {}
        for index in range(count):
            machine = self._machines.setdefault(
                index, LeaseMachine(self._holder, self._timing.ttl_s, self._timing.margin_s)
            )
            entry = stored.get(f"{LEASE_NAME_PREFIX}{index}")
            record = None if entry is None else decode_lease(entry)
            if entry is not None and record is None:
                continue
            machine.record_read(record, None if entry is None else entry.version, now)
            if machine.get_epoch(now) is not None:
                # An earlier write took effect although its response was lost.
                self._set_held(index)
                return True
            step = machine.plan(now)
            if isinstance(step, LeaseWrite):
                free_shares[index] = step
        return await self._acquire_free_share(free_shares)

    async def _acquire_free_share(self, free_shares: dict[int, LeaseWrite]) -> bool:
        if not free_shares:
            # All shares are held. Listing them again after about half a ttl finds expired ones.
            await asyncio.sleep(self._timing.ttl_s * self._driver.rng.uniform(0.3, 0.6))
            return True
        index = self._driver.rng.choice(sorted(free_shares))
        machine = self._machines[index]
        succeeded = await self._driver.write(
            f"{LEASE_NAME_PREFIX}{index}", machine, free_shares[index]
        )
        if machine.get_epoch(self._driver.clock()) is not None:
            self._set_held(index)
            return True
        # Hosts that start together can choose the same share; a random delay separates them.
        await asyncio.sleep(self._driver.rng.uniform(0, 0.2))
        return succeeded

    def _set_held(self, index: int) -> None:
        log_event("probe_share_held", share=index)
        self._held_index = index
