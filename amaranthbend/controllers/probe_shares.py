"""The host's share of the deployment's probe budget, held as a lease."""

import asyncio
from collections import deque
from collections.abc import Callable

from result import Err

from ..adapters.logs import log_event
from ..core.backoff import Backoff
from ..core.leases import LeaseMachine, LeaseWrite
from .entry_feed import ShareValidity
from .lease_manager import LEASES_KIND, LeaseDriver, LeaseTiming, load_record

__all__ = ["ProbeShareManager"]

NAME_PREFIX = "probe-share-"
# Time in which a change of the number of shares reaches every host (bound 7 s) and the
# shares handed out before it lapse.
SETTLE_S = 7.0


class ProbeShareManager:
    """Keeps one of the shares into which the budget is split.

    While the number of shares changes, hosts disagree on it for some seconds.
    The sum stays within the budget because a host then uses the lowest number
    of shares to choose from and the highest to compute the size of its own.

    Parameters
    ----------
    driver : LeaseDriver
        Carries out the steps.
    holder : str
        Identifier of this process, never used again after a restart.
    timing : LeaseTiming
        Times.
    count_shares : callable
        Gives the number of shares by the settings in force, 0 without settings.
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
        self._held: int | None = None
        self._counts: deque[tuple[int, float]] = deque()

    def get_share(self) -> ShareValidity:
        """Return the fraction of the budget that the host may use, and for how long."""
        now = self._driver.clock()
        counts = self._list_counts(now)
        if self._held is None or self._held >= min(counts):
            return ShareValidity(0.0, 0.0)
        remaining_s = self._machines[self._held].compute_remaining(now)
        return ShareValidity(1 / max(counts) if remaining_s > 0 else 0.0, remaining_s)

    def _list_counts(self, now: float) -> list[int]:
        """Return the numbers of shares that some host may have in force."""
        count = self._count_shares()
        if not self._counts or self._counts[-1][0] != count:
            self._counts.append((count, now))
        settled_at = now - SETTLE_S - self._timing.ttl_s
        while len(self._counts) > 1 and self._counts[1][1] < settled_at:
            self._counts.popleft()
        return [number for number, _since in self._counts]

    async def run(self) -> None:
        """Keep a share until cancelled."""
        while True:
            if await self._step():
                self._backoff.reset()
                continue
            await self._driver.platform.pause(self._backoff.next_delay())

    async def _step(self) -> bool:
        count = min(self._list_counts(self._driver.clock()))
        if count == 0:
            await asyncio.sleep(1.0)
            return True
        if self._held is None:
            return await self._choose(count)
        if self._held >= count:
            # Not given up: entry processes may spend the share until its term ends, and a host
            # with earlier settings could take it now.
            self._held = None
            return True
        machine = self._machines[self._held]
        succeeded = await self._driver.step(f"{NAME_PREFIX}{self._held}", machine)
        if machine.get_epoch(self._driver.clock()) is None:
            log_event("probe_share_lost", share=self._held)
            self._held = None
        return succeeded

    async def _choose(self, count: int) -> bool:
        answer = await self._driver.platform.list(LEASES_KIND)
        if isinstance(answer, Err):
            return False
        now = self._driver.clock()
        stored = {entry.name: entry for entry in answer.ok_value.objects}
        free: dict[int, LeaseWrite] = {}
        for number in range(count):
            machine = self._machines.setdefault(
                number, LeaseMachine(self._holder, self._timing.ttl_s, self._timing.margin_s)
            )
            entry = stored.get(f"{NAME_PREFIX}{number}")
            record = None if entry is None else load_record(entry)
            if entry is not None and record is None:
                continue
            machine.read_done(record, None if entry is None else entry.version, now)
            if machine.get_epoch(now) is not None:
                # A write whose response was lost took effect.
                self._hold(number)
                return True
            step = machine.plan(now)
            if isinstance(step, LeaseWrite):
                free[number] = step
        return await self._take(free)

    async def _take(self, free: dict[int, LeaseWrite]) -> bool:
        if not free:
            # All shares are held; another look after half a ttl notices one that lapses.
            await asyncio.sleep(self._timing.ttl_s * self._driver.rng.uniform(0.3, 0.6))
            return True
        number = self._driver.rng.choice(sorted(free))
        machine = self._machines[number]
        succeeded = await self._driver.write(f"{NAME_PREFIX}{number}", machine, free[number])
        if machine.get_epoch(self._driver.clock()) is not None:
            self._hold(number)
            return True
        # Several hosts that start together choose the same share now and then.
        await asyncio.sleep(self._driver.rng.uniform(0, 0.2))
        return succeeded

    def _hold(self, number: int) -> None:
        log_event("probe_share_held", share=number)
        self._held = number
