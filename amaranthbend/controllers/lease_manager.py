"""Acquisition and renewal of leases on the platform."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from result import Ok, Result

from ..adapters.logs import log_event
from ..adapters.platform import (
    Counters,
    PlatformCallError,
    PlatformClient,
    PlatformErrorKind,
    StoredObject,
)
from ..core.backoff import Backoff
from ..core.leases import (
    LeaseMachine,
    LeaseRead,
    LeaseRecord,
    LeaseWait,
    LeaseWrite,
    dump_lease,
    load_lease,
)

__all__ = ["LEASES_KIND", "LeaseDriver", "LeaseManager", "LeaseTiming"]

LEASES_KIND = "leases"
# Upper limit of the random delay after a wait, so that challengers do not keep colliding.
MAX_WAIT_JITTER_S = 0.2


class LeaseTiming(NamedTuple):
    """Times of a lease in seconds.

    Parameters
    ----------
    ttl_s : float
        Time without a renewal after which another process may take over. Long enough for two
        failed renewals, short enough that the task of a dead host pauses for seconds only.
    margin_s : float
        Part of the ttl that the holder does not use, as allowance for clocks that run at
        different speeds.
    """

    ttl_s: float = 15.0
    margin_s: float = 2.0


class LeaseDriver:
    """Carries out the reads and writes that lease state machines plan.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    counters : Counters
        Receives the counters.
    rng : random.Random
        Source of the jitter.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        platform: PlatformClient,
        counters: Counters,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.platform = platform
        self.rng = rng
        self.clock = clock
        self._counters = counters

    async def step(self, name: str, machine: LeaseMachine) -> bool:
        """Carry out the next step of a machine.

        Returns
        -------
        bool
            False if the platform failed, so that the caller backs off.
        """
        now = self.clock()
        step = machine.plan(now)
        if isinstance(step, LeaseWait):
            await asyncio.sleep(max(0.0, step.until - now) + self.rng.uniform(0, MAX_WAIT_JITTER_S))
            return True
        if isinstance(step, LeaseRead):
            return self._apply_read(machine, await self.platform.get(LEASES_KIND, name))
        return await self.write(name, machine, step)

    async def write(self, name: str, machine: LeaseMachine, step: LeaseWrite) -> bool:
        """Carry out a write.

        Returns
        -------
        bool
            False if the platform failed, so that the caller backs off.
        """
        started_at = self.clock()
        answer = await self._send(name, step)
        if isinstance(answer, Ok):
            machine.record_write(step, answer.ok_value, started_at)
            return True
        kind = answer.err_value.kind
        if kind in (PlatformErrorKind.CONFLICT, PlatformErrorKind.NOT_FOUND):
            self._counters.incr("leases.conflict")
            machine.record_write_conflict()
            return True
        if kind is PlatformErrorKind.LOST_RESPONSE:
            self._counters.incr("leases.lost_response")
            machine.record_unknown_write(started_at)
            return True
        return False

    async def _send(self, name: str, step: LeaseWrite) -> Result[int, PlatformCallError]:
        value = dump_lease(step.record)
        if step.version is None:
            return await self.platform.create(LEASES_KIND, name, value)
        return await self.platform.replace(LEASES_KIND, name, value, step.version)

    def _apply_read(
        self, machine: LeaseMachine, answer: Result[StoredObject, PlatformCallError]
    ) -> bool:
        if isinstance(answer, Ok):
            record = decode_lease(answer.ok_value)
            if record is None:
                return False
            machine.record_read(record, answer.ok_value.version, self.clock())
            return True
        if answer.err_value.kind is not PlatformErrorKind.NOT_FOUND:
            return False
        machine.record_read(None, None, self.clock())
        return True


def decode_lease(stored: StoredObject) -> LeaseRecord | None:
    """Return the lease record in an object, None if it is malformed."""
    try:
        return load_lease(stored.value)
    except ValueError as error:
        log_event("lease_malformed", lease=stored.name, error=error)
        return None


class LeaseManager:
    """Acquires one lease, renews it while it is held, and otherwise waits for it.

    Parameters
    ----------
    driver : LeaseDriver
        Carries out the reads and writes.
    name : str
        Name of the lease object.
    holder : str
        Identifier of this process, not reused after a restart.
    timing : LeaseTiming
        Times of the lease.
    """

    def __init__(self, driver: LeaseDriver, name: str, holder: str, timing: LeaseTiming) -> None:
        self._driver = driver
        self._name = name
        self._machine = LeaseMachine(holder, timing.ttl_s, timing.margin_s)
        self._backoff = Backoff(driver.rng.random)
        self._logged_epoch: int | None = None

    def get_epoch(self) -> int | None:
        """Return the lease epoch if this process holds the lease now, None otherwise."""
        return self._machine.get_epoch(self._driver.clock())

    def invalidate(self) -> None:
        """Treat the lease as lost, after a write under it was rejected; it is read again."""
        self._machine.record_write_conflict()

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            if await self._driver.step(self._name, self._machine):
                self._backoff.reset()
            else:
                await self._driver.platform.wait_before_retry(self._backoff.next_delay())
            self._log_change()

    async def release(self) -> None:
        """Release the lease, so that another host does not have to wait until it expires."""
        step = self._machine.plan_release(self._driver.clock())
        if step is not None:
            await self._driver.write(self._name, self._machine, step)

    def _log_change(self) -> None:
        epoch = self.get_epoch()
        if epoch == self._logged_epoch:
            return
        event = "lease_lost" if epoch is None else "lease_held"
        log_event(event, lease=self._name, epoch=epoch or self._logged_epoch)
        self._logged_epoch = epoch
