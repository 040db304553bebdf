"""How a host finds the other hosts of its data centre, and which share of the budgets it gets."""

import asyncio
from collections import Counter
from typing import Any

import pytest
from result import Err, Ok, Result

from amaranthbend.controllers import host_directory
from amaranthbend.controllers.host_directory import ASSUMED_SHARE_COUNT, HostDirectory
from amaranthbend.core.change_relay import HostEntry
from amaranthbend.core.watching import (
    ObjectEvent,
    StoreChanges,
    StoredObject,
    StoreError,
    StoreErrorKind,
)

from .node_cases import ADDRESS, wait_until

PAGE_ITEMS = 50
# Hosts by data centre, as in a large deployment.
HOSTS_BY_DATA_CENTRE = {"a": 53, "b": 51, "c": 58, "d": 48, "e": 46, "f": 56}


class PagedStore:
    """Objects by kind, and the calls made: one for each page of a list."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Any]] = {}
        self.calls: Counter[str] = Counter()
        self.is_down = False

    async def create_object(self, kind: str, name: str, value: Any) -> Result[bool, StoreError]:
        """Create an object if its name is free."""
        self.calls["create"] += 1
        if self.is_down:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "down"))
        objects = self.objects.setdefault(kind, {})
        is_new = name not in objects
        objects.setdefault(name, value)
        return Ok(is_new)

    async def list_objects(
        self, kind: str, *, may_lag: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Return all objects of a kind."""
        if self.is_down:
            self.calls["page"] += 1
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "down"))
        objects = self.objects.get(kind, {})
        self.calls["page"] += max(1, -(-len(objects) // PAGE_ITEMS))
        events = [
            ObjectEvent(StoredObject(name, 1, value), False) for name, value in objects.items()
        ]
        return Ok(StoreChanges(events, 1))

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[StoreChanges, StoreError]:
        """Fail: the directory does not watch."""
        raise AssertionError

    async def check_changes(self, kind: str, revision: int) -> Result[StoreChanges, StoreError]:
        """Fail: the directory does not watch."""
        raise AssertionError


def make_entries() -> list[HostEntry]:
    """Return the hosts of all data centres."""
    return [
        HostEntry(f"host-{data_centre}-{n}", data_centre, f"10.0.0.{n}:7720")
        for data_centre, count in HOSTS_BY_DATA_CENTRE.items()
        for n in range(1, count + 1)
    ]


class Start:
    """The start of all hosts, and what each of them knows then."""

    def __init__(self, store: PagedStore) -> None:
        self.store = store
        self.known: dict[str, list[HostEntry]] = {}
        self.directories: dict[str, HostDirectory] = {}

    def run(self, *, is_first_start: bool) -> None:
        """Start all hosts, and wait until each has listed the others."""

        async def run() -> None:
            entries = make_entries()
            for entry in entries:
                self.directories[entry.name] = HostDirectory(
                    self.store,
                    entry,
                    lambda hosts, _now, name=entry.name: self.known.update({name: hosts}),
                    data_centres=len(HOSTS_BY_DATA_CENTRE),
                    is_first_start=is_first_start,
                )
            tasks = [asyncio.ensure_future(each.run()) for each in self.directories.values()]
            await wait_until(lambda: len(self.known) == len(entries))
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run(run())


@pytest.fixture
def started(monkeypatch: pytest.MonkeyPatch) -> Start:
    """All hosts after their first start."""
    monkeypatch.setattr(host_directory, "FIRST_LIST_DELAY_S", 0.05)
    monkeypatch.setattr(host_directory, "RETRY_DELAY_S", 0.05)
    start = Start(PagedStore())
    start.run(is_first_start=True)
    return start


def test_first_start_takes_few_calls(started: Start) -> None:
    """Guards against pages of all hosts for each host: 7 of 50 entries each with 312 hosts."""
    assert started.store.calls["create"] == sum(HOSTS_BY_DATA_CENTRE.values())
    pages = sum(count * -(-count // PAGE_ITEMS) for count in HOSTS_BY_DATA_CENTRE.values())
    assert started.store.calls["page"] == pages


def test_restart_registers_nobody_again(started: Start) -> None:
    """Guards against a refused call of each host after a loss of power."""
    started.store.calls.clear()
    again = Start(started.store)
    again.run(is_first_start=False)
    assert not started.store.calls["create"]
    assert {name: len(hosts) for name, hosts in again.known.items()} == {
        entry.name: HOSTS_BY_DATA_CENTRE[entry.data_centre] for entry in make_entries()
    }


def test_shares_of_all_hosts_add_up_to_the_budget(started: Start) -> None:
    """Guards against a retry budget that is exceeded, or lost, by hosts of uneven data centres."""
    shares = [1 / directory.share_count for directory in started.directories.values()]
    assert sum(shares) == pytest.approx(1.0)


def test_host_of_another_data_centre_is_not_listed(started: Start) -> None:
    """Guards against a host that follows one elsewhere: traffic between them has a price."""
    for entry in make_entries():
        assert {host.data_centre for host in started.known[entry.name]} == {entry.data_centre}


def test_lost_list_keeps_the_hosts(started: Start) -> None:
    """Guards against budgets and peers that are lost with one failed call to the store."""
    directory = started.directories["host-a-1"]
    before = directory.share_count
    started.store.is_down = True
    asyncio.run(directory._update())
    assert directory.share_count == before


def test_share_before_the_first_list_is_small() -> None:
    """Guards against a host that takes the whole budget because it knows of no other host yet."""
    entry = make_entries()[0]
    directory = HostDirectory(PagedStore(), entry, lambda _hosts, _now: None, data_centres=6)
    assert directory.share_count == ASSUMED_SHARE_COUNT


def test_restart_in_an_outage_registers_nobody_again(started: Start) -> None:
    """Guards against refused calls of hosts that restart while the store is away.

    Each attempt to register costs ten times as much as a list of a replica.
    """
    entry = make_entries()[0]
    known: list[list[HostEntry]] = []
    directory = HostDirectory(
        started.store, entry, lambda hosts, _now: known.append(hosts), is_first_start=False
    )

    async def run() -> None:
        started.store.is_down = True
        started.store.calls.clear()
        task = asyncio.ensure_future(directory.run())
        await wait_until(lambda: started.store.calls["page"] >= 2)
        started.store.is_down = False
        await wait_until(lambda: bool(known))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())
    assert not started.store.calls["create"]


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "127.0.0.1:\u00b2", "host.invalid:1", 5, []]
)
def test_host_with_an_odd_peer_address_is_counted_only(address: Any) -> None:
    """Guards against calls to an address that end the task which follows the store."""

    async def check() -> None:
        store = PagedStore()
        entry = HostEntry("host-a-1", "a", f"{ADDRESS}:7720")
        odd = {"data_centre": "a", "peer_address": address}
        await store.create_object("hosts-a", "host-a-2", odd)
        known: list[list[HostEntry]] = []
        directory = HostDirectory(store, entry, lambda hosts, _now: known.append(hosts))
        task = asyncio.ensure_future(directory.run())
        await wait_until(lambda: bool(known))
        task.cancel()
        assert known[-1] == [HostEntry("host-a-2", "a", ""), entry]

    asyncio.run(check())
