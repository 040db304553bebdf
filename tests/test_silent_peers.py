"""Hosts of a data centre that are gone or silent, and what the others still learn in time."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Iterator

import pytest
from tornado.httpserver import HTTPServer

from amaranthbend.core.change_relay import HostEntry, PeerSelector
from amaranthbend.core.host_failures import HostFailures
from standins.processes import pick_endpoint
from standins.store import StoreState, make_store_app

from .node_cases import ADDRESS, wait_until
from .store_cases import IN_FORCE_S, KIND, Host

FIRST_SKIP_S = 5.0
MAX_SKIP_S = 40.0


@contextlib.contextmanager
def listen_silently(*, accepts: bool) -> Iterator[str]:
    """Give an address at which calls get no response.

    Parameters
    ----------
    accepts : bool
        Whether connections open, as at a frozen host; otherwise their first packet is dropped, as
        at a host without power.
    """
    with contextlib.ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.bind((ADDRESS, 0))
        listener.listen(1024 if accepts else 0)
        for _ in range(0 if accepts else 4):
            filler = sockets.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield f"{ADDRESS}:{listener.getsockname()[1]}"


@pytest.mark.parametrize("gone", [2, 8, 24, 60])
@pytest.mark.parametrize("accepts", [False, True])
def test_change_is_known_in_time_behind_hosts_that_are_gone(accepts: bool, gone: int) -> None:
    """Guards against a host that asks gone hosts in turn and never reaches the store.

    Seen in review case 6: with 24 removed hosts before it, a host kept its first configuration.
    """

    async def run(peer_address: str) -> None:
        store = StoreState()
        server = HTTPServer(make_store_app(store))
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        store.put(KIND, "u0", 0)
        own = HostEntry("host-999", "huye", f"{ADDRESS}:{pick_endpoint(ADDRESS).port}")
        entries = [HostEntry(f"host-{n:03}", "huye", peer_address) for n in range(gone)]
        host = Host(own, f"{ADDRESS}:{port}")
        host.start([*entries, own])
        try:
            await wait_until(lambda: host.values == {"u0": 0})
            # The moments of the changes fall into different parts of the search.
            for value in range(1, 5):
                await asyncio.sleep(0.37)
                store.put(KIND, "u0", value)
                changed_at = time.monotonic()
                while host.values != {"u0": value}:
                    assert time.monotonic() < changed_at + IN_FORCE_S
                    await asyncio.sleep(0.01)
        finally:
            await host.stop()
            server.stop()

    with listen_silently(accepts=accepts) as peer_address:
        asyncio.run(run(peer_address))


def test_host_that_stays_away_is_asked_ever_less_often() -> None:
    """Guards against calls to gone hosts that take as much of each minute, however long ago."""
    failures = HostFailures(FIRST_SKIP_S, MAX_SKIP_S)
    calls = 0
    for step in range(6000):
        now = 0.1 * step
        if not failures.is_skipped("host-1", now):
            calls += 1
            failures.record_failure("host-1", now, now)
    assert calls == 3 + (600 - 35) // MAX_SKIP_S + 1


def test_calls_that_fail_together_count_once() -> None:
    """Guards against a long skip after one pause of a peer that the watch of each kind has seen."""
    failures = HostFailures(FIRST_SKIP_S, MAX_SKIP_S)
    for started_at, now in ((0.0, 0.3), (0.1, 0.4), (0.2, 0.5)):
        failures.record_failure("host-1", started_at, now)
    assert failures.is_skipped("host-1", 0.3 + FIRST_SKIP_S - 0.01)
    assert not failures.is_skipped("host-1", 0.3 + FIRST_SKIP_S)


def test_answer_of_a_host_ends_its_failures() -> None:
    """Guards against a host that is skipped for minutes because it was away long ago."""
    failures = HostFailures(FIRST_SKIP_S, MAX_SKIP_S)
    for moment in (0.0, 10.0, 30.0):
        failures.record_failure("host-1", moment, moment)
    failures.record_answer("host-1")
    assert not failures.is_skipped("host-1", 30.0)
    failures.record_failure("host-1", 100.0, 100.0)
    assert not failures.is_skipped("host-1", 100.0 + FIRST_SKIP_S)


def test_failures_of_hosts_that_left_are_forgotten() -> None:
    """Guards against memory for each host that ever was."""
    failures = HostFailures(FIRST_SKIP_S, MAX_SKIP_S)
    for number in range(100):
        failures.record_failure(f"host-{number}", 0.0, 0.0)
    failures.retain({"host-7"})
    assert failures.names == {"host-7"}


def test_peer_selector_forgets_hosts_that_left() -> None:
    """Guards against memory for each host that a data centre ever had."""
    selector = PeerSelector("host-9", "huye")
    for number in range(1, 9):
        entry = HostEntry(f"host-{number}", "huye", f"{ADDRESS}:1")
        selector.set_hosts([entry])
        selector.record_failure(entry.name, 0.0, 0.0)
        selector.record_unconfirmed_peer(entry.name, 0.0)
        selector.record_failure(entry.name, 10.0, 10.0)
    selector.set_hosts([])
    assert selector.count_kept_hosts() == 0
