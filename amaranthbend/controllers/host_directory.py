"""Counts the hosts among which budgets of the deployment are divided."""

import asyncio
import random
import time
from collections.abc import Callable

from result import Err

from ..adapters.logs import log_event
from ..core.watching import ObjectStore

__all__ = ["HostCount"]

HOSTS_KIND = "hosts"
# Until the others are counted; the smaller of the known deployments has 13 hosts.
ASSUMED_HOSTS = 16
# All machines of a deployment start within a fraction of a second.
FIRST_PAUSE_S = 2.0
# Machines are added within seconds and never leave the count, so that it errs on the safe side.
PAUSE_S = 10.0
RETRY_S = 1.5


class HostCount:
    """Registers this host in the store once, and counts all that ever did.

    Parameters
    ----------
    store : ObjectStore
        Client of the store.
    host_id : str
        Name of this host.
    on_change : callable
        Takes a new count and the present time.
    """

    def __init__(
        self, store: ObjectStore, host_id: str, on_change: Callable[[int, float], None]
    ) -> None:
        self._store = store
        self._host_id = host_id
        self._on_change = on_change
        self.count = ASSUMED_HOSTS

    async def run(self) -> None:
        """Register and count until cancelled."""
        while True:
            created = await self._store.create_object(HOSTS_KIND, self._host_id, {})
            if not isinstance(created, Err):
                break
            await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
        await asyncio.sleep(FIRST_PAUSE_S)
        while True:
            await self._update()
            await asyncio.sleep(PAUSE_S * random.uniform(0.8, 1.2))

    async def _update(self) -> None:
        listed = await self._store.list_objects(HOSTS_KIND, may_lag=True)
        if isinstance(listed, Err):
            # The last count holds; hosts are added rarely.
            log_event("hosts_not_counted", error=listed.err_value.kind, kept=self.count)
            return
        count = len(listed.ok_value.events)
        if count == 0 or count == self.count:
            return
        log_event("hosts_counted", count=count, before=self.count)
        self.count = count
        self._on_change(count, time.monotonic())
