"""Hosts that relay changes of a store to each other, with a stand-in for the store."""

import asyncio
from typing import Any

import pytest
from result import Ok, Result

from amaranthbend.adapters.addresses import split_address
from amaranthbend.adapters.change_relay import (
    PEER_LONG_POLL_S,
    RESPONSE_START_MARGIN_S,
    ChangeRelayClient,
    encode_peer_changes,
    make_change_relay_server,
)
from amaranthbend.core.change_log import PeerChanges
from amaranthbend.core.change_relay import (
    READERS_PER_DATA_CENTRE,
    SHORT_TURN_S,
)
from amaranthbend.core.watching import (
    ObjectEvent,
    StoreChanges,
    StoredObject,
    StoreError,
)
from standins.processes import pick_endpoint

from .node_cases import ADDRESS, wait_until
from .store_cases import (
    HOSTS,
    IN_FORCE_S,
    KIND,
    MAX_CONFIRMATION_AGE_S,
    OUTAGE_S,
    RETURN_S,
    Fleet,
    run_fleet,
)


def test_changes_reach_all_hosts_with_few_calls() -> None:
    """Guards against calls to the store that grow as hosts times changes."""

    async def check(fleet: Fleet) -> None:
        before = fleet.store.calls
        for value in range(2, 6):
            fleet.store.put(KIND, "u0", value)
            await wait_until(lambda value=value: fleet.all_have("u0", value), IN_FORCE_S)
        fleet.store.remove(KIND, "u0")
        await wait_until(lambda: fleet.all_have("u0", None), IN_FORCE_S)
        # Two readers make a watch call for each change and a check each second. One call of each
        # host for each change would be more than four times as many.
        assert fleet.store.calls - before < HOSTS

    run_fleet(check)


def test_killed_reader_delays_no_change() -> None:
    """Guards against hosts that wait for changes from a peer that was killed."""

    async def check(fleet: Fleet) -> None:
        for _ in range(2):
            await fleet.hosts.pop(0).stop()
        fleet.store.put(KIND, "u0", 2)
        await wait_until(lambda: fleet.all_have("u0", 2), IN_FORCE_S)

    run_fleet(check)


def test_silent_reader_delays_no_change() -> None:
    """Guards against hosts that wait for a frozen peer: it accepts connections and stays silent."""

    async def check(fleet: Fleet) -> None:
        frozen = fleet.hosts.pop(0)

        async def hang(_kind: str, _after: int = 0, _awaits_store: bool = False) -> Any:
            await asyncio.sleep(3600)

        frozen.server.stop()
        silent = make_change_relay_server(hang, hang)
        address, port = split_address(frozen.entry.peer_address)
        silent.listen(port, address)
        fleet.store.put(KIND, "u0", 2)
        await wait_until(lambda: fleet.all_have("u0", 2), IN_FORCE_S)
        silent.stop()
        await frozen.stop()

    run_fleet(check)


def test_slow_answer_that_has_begun_is_waited_for() -> None:
    """Guards against a timeout while a large configuration arrives over a slow link."""

    async def check() -> None:
        body = encode_peer_changes(PeerChanges(StoreChanges([], 7), 0.1)).encode()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body[:5])
            await asyncio.sleep(PEER_LONG_POLL_S + RESPONSE_START_MARGIN_S + 0.2)
            writer.write(body[5:])
            writer.close()

        port = pick_endpoint(ADDRESS).port
        server = await asyncio.start_server(serve, ADDRESS, port)
        answer = await ChangeRelayClient().fetch(f"{ADDRESS}:{port}", KIND, 5)
        server.close()
        assert answer.unwrap().changes.revision == 7

    asyncio.run(check())


@pytest.mark.parametrize("path", ["/news/config?after=1", "/list/config"])
def test_relayed_changes_are_compressed(path: str) -> None:
    """Guards against a large configuration that saturates the links between hosts."""

    async def check() -> None:
        value = {"routes": [{"name": f"r{n}", "pathPrefix": f"/p{n}/"} for n in range(1000)]}
        event = ObjectEvent(StoredObject("main", 7, value), False)
        relayed = PeerChanges(StoreChanges([event], 7), 0.1)

        async def answer(
            _kind: str, _after: int = 0, _awaits_store: bool = False
        ) -> Result[PeerChanges, StoreError]:
            return Ok(relayed)

        server = make_change_relay_server(answer, answer)
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        reader, writer = await asyncio.open_connection(ADDRESS, port)
        writer.write(f"GET {path} HTTP/1.0\r\nAccept-Encoding: gzip\r\n\r\n".encode())
        assert len(await reader.read()) < len(encode_peer_changes(relayed)) / 4
        client = ChangeRelayClient()
        assert (await client.fetch(f"{ADDRESS}:{port}", "config", 1)).unwrap() == relayed
        assert (await client.fetch_list(f"{ADDRESS}:{port}", "config")).unwrap() == relayed
        writer.close()
        server.stop()

    asyncio.run(check())


@pytest.mark.parametrize("lost", [2, 6])
def test_host_that_lost_the_store_still_gets_the_news(lost: int) -> None:
    """Guards against followers of a reader that has lost the store.

    The calls of the first hosts to the store fail; the others notice, and read the store directly.
    """

    async def check(fleet: Fleet) -> None:
        cut_hosts = fleet.hosts[:lost]
        for host in cut_hosts:
            host.relayed._store._base = f"http://{ADDRESS}:1/"
        fleet.store.notify()
        # Restarts the watches now; otherwise they would end by their timeouts or failed checks.
        for host in cut_hosts:
            host.watch.restart()
        fleet.store.put(KIND, "u0", 2)
        followers = Fleet(fleet.store, fleet.hosts[lost:])
        await wait_until(lambda: followers.all_have("u0", 2), 2 * IN_FORCE_S)

    run_fleet(check)


@pytest.mark.parametrize("cut_host", [None, 0, 1])
def test_few_hosts_try_the_store_in_an_outage(cut_host: int | None) -> None:
    """Guards against refused calls, each with its price, of every host through an outage.

    Seen in benchmark kithul-gw-grown trouble-3: 4,864 calls, most of them in 8 s without the store.
    One host may be cut off from the store for longer than the others.
    """

    async def check(fleet: Fleet) -> None:
        if cut_host is not None:
            cut = fleet.hosts.pop(cut_host)
            cut.relayed._store._base = f"http://{ADDRESS}:1/"
            cut.watch.restart()
            fleet.others.append(cut)
        fleet.store.faults.mode = "busy"
        fleet.store.notify()
        for host in fleet.hosts:
            host.watch.restart()
        # Until all hosts have noticed it, each by one call of its own.
        await asyncio.sleep(MAX_CONFIRMATION_AGE_S + 1.5)
        before = fleet.store.calls
        await asyncio.sleep(OUTAGE_S)
        calls = fleet.store.calls - before
        # At their shortest pauses the readers make a call each 0.4 s, a follower each 1.5 s.
        readers = READERS_PER_DATA_CENTRE
        followers = HOSTS - readers
        assert calls <= OUTAGE_S * (readers / 0.4 + followers / (0.5 * SHORT_TURN_S))
        fleet.store.put(KIND, "u0", 2)
        fleet.store.faults.mode = "none"
        await wait_until(lambda: fleet.all_have("u0", 2), RETURN_S)

    run_fleet(check)


def test_lost_history_loses_no_change() -> None:
    """Guards against followers that miss changes which the store has dropped from its history."""

    async def check(fleet: Fleet) -> None:
        lists = fleet.sum_counter(f"store.lists.{KIND}")
        fleet.store.put(KIND, "u1", 1)
        fleet.store.compact()
        fleet.store.put(KIND, "u0", 2)
        await wait_until(lambda: fleet.all_have("u0", 2) and fleet.all_have("u1", 1), IN_FORCE_S)
        # Only the readers list again. Counts lists, since each page of a list is a call.
        assert fleet.sum_counter(f"store.lists.{KIND}") - lists <= READERS_PER_DATA_CENTRE, {
            host.entry.name: (host.relayed._peer_name, host.counters.get("peers.failures"))
            for host in fleet.hosts
        }

    run_fleet(check)


def test_changes_from_a_peer_are_not_delayed() -> None:
    """Guards against a delay at each host on the way of a change."""

    async def check(fleet: Fleet) -> None:
        for value in range(2, 5):
            fleet.store.put(KIND, "u0", value)
            await wait_until(lambda value=value: fleet.all_have("u0", value), IN_FORCE_S)
        delays = [host.relayed.get_watch_delay(KIND) for host in fleet.hosts]
        assert sum(delay > 0.0 for delay in delays) <= READERS_PER_DATA_CENTRE

    run_fleet(check)
