"""Entries of hosts in the directory: renewed, expired, removed, and written again."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from result import Err
from tornado.httpserver import HTTPServer

from amaranthbend.controllers import host_directory
from amaranthbend.controllers.host_directory import HostDirectory
from amaranthbend.core.change_relay import HostEntry
from amaranthbend.core.host_expiry import EXPIRY_S, RENEWAL_INTERVAL_S, HostExpiry
from amaranthbend.core.watching import StoreErrorKind
from amaranthbend.platform.store import StoreClient
from standins.processes import pick_endpoint
from standins.store import StoreState, make_store_app

from .node_cases import ADDRESS

LIST_INTERVAL_S = 10.0
MAX_GAP_S = 20.0
KIND = "hosts-huye"


def list_for(
    expiry: HostExpiry, seconds: float, *hosts: str, now: float, renews: str = ""
) -> float:
    """Record lists for a time, in which one host renews its entry, and return the present time."""
    until = now + seconds
    while now < until:
        now += LIST_INTERVAL_S
        revisions = dict.fromkeys(hosts, 1)
        if renews:
            revisions[renews] = 1 + int(now / RENEWAL_INTERVAL_S)
        expiry.record_list(revisions, now)
    return now


def test_entry_expires_unless_it_is_renewed() -> None:
    """Guards against entries that stay for good, and against the loss of those of running hosts."""
    expiry = HostExpiry(MAX_GAP_S)
    now = list_for(expiry, EXPIRY_S - 30, "host-1", "host-2", now=0.0, renews="host-1")
    assert not expiry.list_expired()
    now = list_for(expiry, 60, "host-1", "host-2", now=now, renews="host-1")
    assert expiry.list_expired() == {"host-2": 1}
    list_for(expiry, 10 * EXPIRY_S, "host-1", "host-2", now=now, renews="host-1")
    assert set(expiry.list_expired()) == {"host-2"}


def test_outage_of_the_store_expires_nobody() -> None:
    """Guards against a directory that is emptied after an outage, in which nobody could renew."""
    expiry = HostExpiry(MAX_GAP_S)
    now = list_for(expiry, EXPIRY_S / 2, "host-1", "host-2", now=0.0)
    now = list_for(expiry, LIST_INTERVAL_S, "host-1", "host-2", now=now + 3 * EXPIRY_S)
    assert not expiry.list_expired()


def test_store_with_lower_revisions_expires_nobody() -> None:
    """Guards against entries taken for old where the revisions go back."""
    expiry = HostExpiry(MAX_GAP_S)
    list_for(expiry, EXPIRY_S - 60, "host-1", now=0.0)
    expiry.record_list({"host-1": 0}, EXPIRY_S)
    assert not expiry.list_expired()
    expiry.record_list({}, EXPIRY_S + 10)
    expiry.record_list({"host-1": 1}, EXPIRY_S + 5000)
    assert not expiry.list_expired()


def test_few_hosts_remove_entries() -> None:
    """Guards against calls of each host for each entry, and none where the first are gone."""
    expiry = HostExpiry(MAX_GAP_S)
    hosts = [f"host-{number}" for number in range(1, 9)]
    expiry.record_list(dict.fromkeys(hosts, 1), 0.0)
    now = list_for(expiry, EXPIRY_S + 60, *hosts, now=0.0)
    assert not any(expiry.may_remove(host) for host in hosts)
    expiry.record_list({host: 1 if host in hosts[:4] else 2 for host in hosts}, now + 10)
    assert [host for host in hosts if expiry.may_remove(host)] == ["host-5", "host-6"]


def run_directory(
    check: Callable[[StoreState, HostDirectory], Coroutine[Any, Any, None]],
) -> None:
    """Run a check with the directory of `host-1` and a store that also knows `host-2`."""

    async def run() -> None:
        store = StoreState()
        server = HTTPServer(make_store_app(store))
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        store.put(KIND, "host-2", {"data_centre": "huye", "peer_address": f"{ADDRESS}:1"})
        directory = HostDirectory(
            StoreClient(f"{ADDRESS}:{port}"),
            HostEntry("host-1", "huye", f"{ADDRESS}:2"),
            lambda _hosts, _now: None,
        )
        await directory._register()
        await directory._update()
        try:
            await check(store, directory)
        finally:
            server.stop()

    asyncio.run(run())


def test_expired_entry_is_removed_and_the_own_one_renewed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the entries of replaced hosts, whose number grows with each day."""
    monkeypatch.setattr(host_directory, "RENEWAL_INTERVAL_S", 0.0)

    async def check(store: StoreState, directory: HostDirectory) -> None:
        directory._renew_at = 0.0
        expiry = directory._expiry
        for step in range(int(EXPIRY_S / MAX_GAP_S) + 2):
            own = store.objects.read(KIND, "host-1")
            assert own is not None
            expiry.record_list({"host-1": own.revision, "host-2": 1}, 1e6 + step * MAX_GAP_S)
            await directory.maintain(float(step))
        assert store.objects.read(KIND, "host-2") is None
        renewed = store.objects.read(KIND, "host-1")
        assert renewed is not None
        # The last renewal has changed the entry.
        assert renewed.revision > own.revision
        own = renewed
        assert own.value["peer_address"] == f"{ADDRESS}:2"

    run_directory(check)


def test_entry_that_was_renewed_meanwhile_is_not_removed() -> None:
    """Guards against the removal of a host that has come back, by a list that is older."""

    async def check(store: StoreState, directory: HostDirectory) -> None:
        store.put(KIND, "host-2", {"renewal": 7})
        removed = await directory._store.remove_object(KIND, "host-2", 1)
        assert isinstance(removed, Err)
        assert removed.err_value.kind is StoreErrorKind.CONFLICT
        assert store.objects.read(KIND, "host-2") is not None

    run_directory(check)


def test_missing_entry_is_written_again() -> None:
    """Guards against a running host that others no longer know, as its entry was removed."""

    async def check(store: StoreState, directory: HostDirectory) -> None:
        store.remove(KIND, "host-1")
        await directory._update()
        await directory.maintain(0.0)
        assert store.objects.read(KIND, "host-1") is not None

    run_directory(check)


def test_entry_of_an_earlier_version_stays() -> None:
    """Guards against the removal of running hosts that do not renew their entries."""

    async def check(store: StoreState, directory: HostDirectory) -> None:
        assert set(directory._expiry._entries) == {"host-1"}

    run_directory(check)


def test_missing_entry_cannot_be_renewed() -> None:
    """Guards against an error kind that a watch would take for the loss of its history."""

    async def check(_store: StoreState, directory: HostDirectory) -> None:
        renewed = await directory._store.replace_object(KIND, "host-9", {})
        assert isinstance(renewed, Err)
        assert renewed.err_value.kind is StoreErrorKind.NOT_FOUND

    run_directory(check)
