"""Helpers that run hosts of one data centre with a stand-in for their store."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from tornado.httpserver import HTTPServer

from amaranthbend.adapters.addresses import split_address
from amaranthbend.adapters.change_relay import (
    make_change_relay_server,
)
from amaranthbend.adapters.metrics import Counters
from amaranthbend.controllers.first_lists import RESTART_LIST_WAITS, FirstListWaits
from amaranthbend.controllers.relayed_store import RelayedStore
from amaranthbend.controllers.store_watch import StoreWatch, monitor_watches
from amaranthbend.core.change_relay import (
    FAILED_PEER_SKIP_S,
    READERS_PER_DATA_CENTRE,
    HostEntry,
    PeerSelector,
    compute_max_confirmation_age,
)
from amaranthbend.core.watch_checks import compute_check_age
from amaranthbend.core.watching import (
    StoreChanges,
)
from amaranthbend.platform.store import StoreClient
from standins.processes import pick_endpoint
from standins.store import StoreState, make_store_app

from .node_cases import ADDRESS, WAIT_TIMEOUT_S, wait_until

__all__ = [
    "CHECK_AGE_S",
    "HOSTS",
    "IN_FORCE_S",
    "KIND",
    "MAX_CONFIRMATION_AGE_S",
    "OUTAGE_S",
    "RETURN_S",
    "Fleet",
    "Host",
    "run_fleet",
]

KIND = "servers"
HOSTS = 30
# Changes must be in force within 2 s in the smaller deployments.
IN_FORCE_S = 2.0
MAX_CONFIRMATION_AGE_S = compute_max_confirmation_age(IN_FORCE_S)
CHECK_AGE_S = compute_check_age(MAX_CONFIRMATION_AGE_S)
OUTAGE_S = 4.0
# Hosts count as connected to the store again this long after an outage.
RETURN_S = 3.0


class Host:
    """One host: its watch, and the values that it knows."""

    def __init__(
        self,
        entry: HostEntry,
        store_address: str,
        list_waits: FirstListWaits = RESTART_LIST_WAITS,
    ) -> None:
        self.entry = entry
        self.store_address = store_address
        self.counters = Counters()
        selector = PeerSelector(entry.name, entry.data_centre)
        store = StoreClient(store_address)
        self.relayed = RelayedStore(store, selector, self.counters, list_waits=list_waits)
        self.watch = StoreWatch(self.relayed, KIND, self, self.counters)
        self.server = make_change_relay_server(
            self.relayed.wait_for_changes, self.relayed.wait_for_list
        )
        self.values: dict[str, Any] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, hosts: list[HostEntry]) -> None:
        """Start to watch the store and to relay changes, with all hosts known."""
        address, port = split_address(self.entry.peer_address)
        self.server.listen(port, address)
        self.relayed.set_hosts(hosts)
        self.tasks = [
            asyncio.ensure_future(self.watch.run()),
            asyncio.ensure_future(monitor_watches([self.watch])),
        ]

    async def stop(self) -> None:
        """Stop at once, like a killed process."""
        self.server.stop()
        await self.server.close_all_connections()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def replace_all(self, changes: StoreChanges, now: float) -> None:
        """Apply a list."""
        self.values = {event.object.name: event.object.value for event in changes.events}

    def apply_changes(self, changes: StoreChanges, now: float) -> None:
        """Apply changes."""
        for event in changes.events:
            if event.is_removal:
                self.values.pop(event.object.name, None)
            else:
                self.values[event.object.name] = event.object.value

    def set_store_reachable(self, is_reachable: bool, now: float) -> None:
        """Do nothing."""


class Fleet:
    """Hosts of one data centre and their store."""

    def __init__(self, store: StoreState, hosts: list[Host]) -> None:
        self.store = store
        self.hosts = hosts
        # Running hosts that a test leaves out of its checks.
        self.others: list[Host] = []

    def all_have(self, name: str, value: Any) -> bool:
        """Return whether all running hosts have a value."""
        return all(host.values.get(name) == value for host in self.hosts)

    def sum_counter(self, stat: str) -> int:
        """Return the sum of a counter over all running hosts."""
        return sum(host.counters.get(stat) for host in self.hosts)

    def count_readers(self) -> int:
        """Return the number of hosts that have not read changes from a peer last."""
        return sum(not host.relayed._peer_name for host in self.hosts)


def run_fleet(
    check: Callable[[Fleet], Coroutine[Any, Any, None]],
    list_waits: FirstListWaits = RESTART_LIST_WAITS,
) -> None:
    """Run a check with hosts that have listed the store and read changes from their peers."""

    async def run() -> None:
        store = StoreState()
        server = HTTPServer(make_store_app(store))
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        store.put(KIND, "u0", 1)
        entries = [
            HostEntry(f"host-{n:03}", "huye", f"{ADDRESS}:{pick_endpoint(ADDRESS).port}")
            for n in range(HOSTS)
        ]
        fleet = Fleet(store, [Host(entry, f"{ADDRESS}:{port}", list_waits) for entry in entries])
        for host in fleet.hosts:
            host.start(entries)
        try:
            await wait_until(lambda: fleet.all_have("u0", 1))
            await wait_until(lambda: fleet.sum_counter(f"peers.calls.{KIND}") >= 2 * HOSTS)
            # On a busy machine a reader may start late; another host then reads the store for
            # a while.
            await wait_until(
                lambda: fleet.count_readers() == READERS_PER_DATA_CENTRE,
                FAILED_PEER_SKIP_S + WAIT_TIMEOUT_S,
            )
            await check(fleet)
        finally:
            for host in fleet.hosts + fleet.others:
                await host.stop()
            server.stop()

    asyncio.run(run())
