"""Directory of the hosts of one data centre, kept as objects in the store.

Load pattern: each host lists the directory at its start, page by page, and each page has a price.
With one list of all hosts, the pages of a start grow with the square of their number. A host
needs the others of its data centre only: it relays changes within the data centre, and divides
the deployment's budgets first by the data centres and then by their hosts.

Each host renews its entry now and then. Entries of hosts that are gone for good are removed; a host
whose entry is missing, because it was cut off for long, registers again.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from result import Err, Result

from ..adapters.addresses import is_address
from ..adapters.logs import log_event
from ..core.change_relay import HostEntry
from ..core.host_expiry import RENEWAL_INTERVAL_S, HostExpiry
from ..core.watching import ObjectStore, StoredObject, StoreError, StoreErrorKind

__all__ = ["HOSTS_KIND_PREFIX", "DirectoryStore", "HostDirectory", "decode_host"]

# Kind of the entries of one data centre, followed by its name.
HOSTS_KIND_PREFIX = "hosts-"
# Shares into which budgets are divided until the first list.
ASSUMED_SHARE_COUNT = 16
# Delay before the first list when all hosts start together. They start within a fraction of a
# second, so after this delay all of them have registered.
FIRST_LIST_DELAY_S = 2.0
# Shortest interval between lists. Hosts are added within seconds and removed from the directory
# long after they are gone, so that their number errs on the safe side: the parts into which it
# divides budgets are too small rather than too large.
MIN_LIST_INTERVAL_S = 10.0
# Field of an entry with a number that each renewal draws again.
RENEWAL_FIELD = "renewal"
RENEWAL_BITS = 32
# Removals after one list; each is a call to the store.
MAX_REMOVALS_PER_LIST = 8
# Limit for all hosts together: a list grows, and costs more, with the number of hosts.
MAX_DEPLOYMENT_LISTS_PER_S = 5.0
RETRY_DELAY_S = 1.5


class DirectoryStore(ObjectStore, Protocol):
    """An object store in which entries can also be replaced and removed."""

    async def replace_object(self, kind: str, name: str, value: Any) -> Result[None, StoreError]:
        """Replace the value of an object."""

    async def remove_object(self, kind: str, name: str, revision: int) -> Result[None, StoreError]:
        """Remove an object if it still has a revision."""


class HostDirectory:
    """Registers this host in the store, and lists the hosts that are registered beside it.

    Parameters
    ----------
    store : DirectoryStore
        Client of the store.
    host : HostEntry
        This host.
    on_change : callable
        Called with the hosts of the data centre and the present time when they have changed.
    data_centres : int
        Number of data centres of the deployment, at least 1.
    is_first_start : bool
        Whether the other hosts of the deployment are starting at the same time.
    """

    def __init__(
        self,
        store: DirectoryStore,
        host: HostEntry,
        on_change: Callable[[list[HostEntry], float], None],
        *,
        data_centres: int = 1,
        is_first_start: bool = True,
    ) -> None:
        self._store = store
        self._host = host
        self._kind = HOSTS_KIND_PREFIX + host.data_centre
        self._data_centres = data_centres
        self._on_change = on_change
        self._is_first_start = is_first_start
        self._hosts: list[HostEntry] = []
        self._expiry = HostExpiry(2 * MIN_LIST_INTERVAL_S)
        self._renew_at = time.monotonic() + RENEWAL_INTERVAL_S * random.uniform(0.5, 1.0)

    @property
    def share_count(self) -> int:
        """Number of equal shares into which this host divides a budget of the deployment.

        The shares of all hosts add up to the budget, however many hosts each data centre has.
        """
        if not self._hosts:
            return ASSUMED_SHARE_COUNT
        return self._data_centres * len(self._hosts)

    async def run(self) -> None:
        """Register the host, then list the hosts periodically until cancelled.

        A host that starts again is in the list already. Reading the list from a replica costs
        less than an attempt to register, and the list is needed anyway.
        """
        while not self._is_first_start and not await self._update():
            await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))
        if self._host not in self._hosts:
            await self._register()
            await asyncio.sleep(FIRST_LIST_DELAY_S if self._is_first_start else 0.0)
            await self._update()
        while True:
            interval_s = max(MIN_LIST_INTERVAL_S, self.share_count / MAX_DEPLOYMENT_LISTS_PER_S)
            await asyncio.sleep(interval_s * random.uniform(0.8, 1.2))
            if await self._update():
                await self.maintain(time.monotonic())

    async def _register(self) -> None:
        """Create the entry of this host, and repeat the call until the store has answered it."""
        while True:
            created = await self._store.create_object(
                self._kind, self._host.name, self._make_entry()
            )
            if not isinstance(created, Err):
                return
            await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))

    def _make_entry(self) -> dict[str, Any]:
        return {
            "data_centre": self._host.data_centre,
            "peer_address": self._host.peer_address,
            # The store gives an entry a new revision only if its value changes.
            RENEWAL_FIELD: random.getrandbits(RENEWAL_BITS),
        }

    async def maintain(self, now: float) -> None:
        """Register again, renew the entry or remove expired ones, as far as that is due.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if self._host.name not in (host.name for host in self._hosts):
            log_event("host_entry_missing", host=self._host.name)
            await self._register()
            return
        if now >= self._renew_at:
            await self._renew(now)
        if self._expiry.may_remove(self._host.name):
            await self._remove_expired()

    async def _renew(self, now: float) -> None:
        renewed = await self._store.replace_object(self._kind, self._host.name, self._make_entry())
        if isinstance(renewed, Err):
            # The next list is followed by another attempt.
            log_event("host_entry_not_renewed", error=renewed.err_value.kind)
            return
        self._renew_at = now + RENEWAL_INTERVAL_S * random.uniform(0.8, 1.0)

    async def _remove_expired(self) -> None:
        expired = list(self._expiry.list_expired().items())
        for name, revision in expired[:MAX_REMOVALS_PER_LIST]:
            removed = await self._store.remove_object(self._kind, name, revision)
            if isinstance(removed, Err):
                log_event("host_entry_not_removed", host=name, error=removed.err_value.kind)
                if removed.err_value.kind is StoreErrorKind.UNAVAILABLE:
                    return
                continue
            log_event("host_entry_removed", host=name, revision=revision)

    async def _update(self) -> bool:
        """List the hosts, and return whether the store has answered."""
        listed = await self._store.list_objects(self._kind, may_lag=True)
        if isinstance(listed, Err):
            # The known hosts stay in use, since hosts change rarely.
            log_event("hosts_not_listed", error=listed.err_value.kind, kept=len(self._hosts))
            return False
        objects = [event.object for event in listed.ok_value.events]
        # Hosts of an earlier version do not renew their entries, which lack the field.
        renewed = [stored for stored in objects if RENEWAL_FIELD in _get_fields(stored)]
        self._expiry.record_list(
            {stored.name: stored.revision for stored in renewed}, time.monotonic()
        )
        hosts = [decode_host(stored) for stored in objects]
        if not hosts or hosts == self._hosts:
            return True
        log_event("hosts_listed", count=len(hosts), before=len(self._hosts))
        self._hosts = hosts
        self._on_change(hosts, time.monotonic())
        return True


def decode_host(stored: StoredObject) -> HostEntry:
    """Return a host; without a usable peer address it relays no changes, but is counted."""
    value = _get_fields(stored)
    peer_address = value.get("peer_address", "")
    if not isinstance(peer_address, str) or not is_address(peer_address):
        peer_address = ""
    return HostEntry(stored.name, str(value.get("data_centre", "")), peer_address)


def _get_fields(stored: StoredObject) -> dict[str, Any]:
    return stored.value if isinstance(stored.value, dict) else {}
