"""A store that comes back from an older copy of itself, seen by a node process."""

import asyncio
import time
from typing import Any

import pytest
from result import Err, Ok, Result

from amaranthbend.adapters.change_relay import ChangeRelayClient, make_change_relay_server
from amaranthbend.controllers.watch_handlers import OUTAGE_RETENTION_S
from amaranthbend.core.change_log import PeerChanges
from amaranthbend.core.change_relay import READERS_PER_DATA_CENTRE
from amaranthbend.core.positions import Position
from amaranthbend.core.watching import StoreChanges, StoreError, StoreErrorKind
from standins.instance import Instance
from standins.node_caller import make_call, make_configuration, read_answer
from standins.processes import pick_endpoint

from .node_cases import ADDRESS, NodeCase, run_node, wait_until
from .store_cases import IN_FORCE_S, KIND, Fleet, run_fleet

COPY_AGE_S = 1.0
KEYS = ("key-withdrawn", "key-kept")


def make_version(version: int, *prefixes: str, keys: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return a configuration with further routes, and a team if there are keys."""
    configuration = make_configuration(version)
    rules = configuration["listeners"][0]["rules"]
    for prefix in prefixes:
        rules.append({**rules[0], "name": f"r{prefix}", "match": {"pathPrefix": f"/{prefix}/"}})
    if keys:
        configuration["tenants"] = [{"name": "north", "apiKeys": list(keys)}]
    return configuration


async def put_in_force(case: NodeCase, configuration: dict[str, Any]) -> None:
    """Write a configuration, and wait until it is in force."""
    case.store.put("config", "main", configuration)
    await wait_until(
        lambda: case.process.configuration.version == configuration["version"], IN_FORCE_S
    )


async def lose(case: NodeCase, age_s: float = COPY_AGE_S) -> None:
    """Let the store be away for a moment, and come back from a copy."""
    case.store.faults.mode = "reset"
    case.store.silence_watches()
    case.store.return_from_copy(age_s)
    await asyncio.sleep(0.2)
    case.store.faults.mode = "none"


async def call_with_key(case: NodeCase, path: str, key: str, request_id: str) -> int:
    """Return the status of a request with a key."""
    reader, writer = await case.connect()
    call = make_call(path, "GET", request_id, 1500)
    writer.write(call.replace(b"\r\n\r\n", f"\r\nAuthorization: Bearer {key}\r\n\r\n".encode(), 1))
    answer = await read_answer(reader)
    writer.close()
    return answer.status


def test_lost_configuration_stays_in_force() -> None:
    """Guards against a dropped route that returns, and an added one that is refused again."""

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_version(10, "dropped"))
        await asyncio.sleep(COPY_AGE_S)
        await put_in_force(case, make_version(20, "added"))
        await lose(case, 0.5)
        for number in range(20):
            assert (await case.call("/added/x", "GET", f"a{number}")).status == 200
            assert (await case.call("/dropped/x", "GET", f"d{number}")).status == 404
            await asyncio.sleep(0.1)
        assert case.process.configuration.version == 20

    run_node(check)


def test_configuration_after_a_return_is_in_force_in_time() -> None:
    """Guards against versions that are ignored until the revisions have caught up."""

    async def check(case: NodeCase) -> None:
        for version in range(10, 20):
            case.store.put("config", "main", make_version(version, f"v{version}"))
        await put_in_force(case, make_version(20, "v20"))
        await asyncio.sleep(0.2)
        await lose(case, 30.0)
        # The copy holds no configuration at all; the operator writes the last ones again.
        for instance in case.instances:
            case.register(instance)
        await put_in_force(case, make_version(21, "v21"))
        assert (await case.call("/v21/x", "GET", "n1")).status == 200
        await put_in_force(case, make_version(30, "v30"))
        assert (await case.call("/v21/x", "GET", "n2")).status == 404

    run_node(check)


def test_withdrawn_key_is_not_served_after_a_return() -> None:
    """Guards against a withdrawn key, or a revision with another content, that comes back."""

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_version(10, keys=KEYS))
        assert await call_with_key(case, "/safe/x", KEYS[0], "k0") == 200
        await asyncio.sleep(COPY_AGE_S)
        await put_in_force(case, make_version(20, keys=KEYS[1:]))
        assert await call_with_key(case, "/safe/x", KEYS[0], "k1") == 401
        await lose(case, 0.5)
        until = time.monotonic() + 2.5
        number = 0
        while time.monotonic() < until:
            number += 1
            assert await call_with_key(case, "/safe/x", KEYS[0], f"w{number}") in (401, 503)
            await asyncio.sleep(0.05)
        assert await call_with_key(case, "/safe/x", KEYS[1], "kept") == 200
        # Other versions are written first; the withdrawal holds all the same.
        case.store.put("config", "main", make_version(15, keys=KEYS))
        await asyncio.sleep(0.5)
        assert await call_with_key(case, "/safe/x", KEYS[0], "w-again") in (401, 503)

    run_node(check)


def test_key_that_the_store_may_have_lost_is_not_denied_for_good() -> None:
    """Guards against a 401 for a key whose version was acknowledged and then lost.

    Seen in soak seed 3002 with returns of the store.
    """

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_version(10, keys=KEYS[1:]))
        assert await call_with_key(case, "/safe/x", "key-new", "u0") == 401
        await asyncio.sleep(COPY_AGE_S)
        # Acknowledged, and lost before any host has read it.
        case.store.put("config", "main", make_version(20, keys=(*KEYS[1:], "key-new")))
        await lose(case, 0.5)
        await wait_until(lambda: case.process.counters.get("store.returns") == 1)
        for number in range(10):
            assert await call_with_key(case, "/safe/x", "key-new", f"n{number}") == 503
            await asyncio.sleep(0.1)
        await put_in_force(case, make_version(20, keys=(*KEYS[1:], "key-new")))
        assert await call_with_key(case, "/safe/x", "key-new", "u1") == 200

    run_node(check)


@pytest.mark.parametrize("leaves_by", ["removal", "draining"])
def test_instance_that_has_left_gets_nothing_after_a_return(leaves_by: str) -> None:
    """Guards against work for an instance whose returned entry says that it is there."""

    async def check(case: NodeCase) -> None:
        gone = case.instances[0]
        await asyncio.sleep(COPY_AGE_S)
        if leaves_by == "removal":
            case.store.remove("servers", gone.name)
        else:
            case.store.put("servers", gone.name, {**gone.describe("draining"), "sequence": 2})
        await wait_until(lambda: gone.name not in list_usable(case))
        ran = len(gone.ran)
        await lose(case, 0.5)
        for number in range(30):
            await case.call("/safe/x", "GET", f"g{number}")
            await asyncio.sleep(0.05)
        assert len(gone.ran) == ran
        # It comes back for good once it is written in the new era.
        case.store.put("servers", gone.name, {**gone.describe(), "sequence": 3, "born": 2})
        await wait_until(lambda: gone.name in list_usable(case))

    run_node(check)


def list_usable(case: NodeCase) -> set[str]:
    """Return the names of the instances that may get requests."""
    service = case.process.dispatch.services["desk"]
    dispatcher = service.dispatcher
    return {name for name in service.members if dispatcher._membership.is_usable(name)}


def test_living_instance_that_the_copy_lacks_stays_for_a_while() -> None:
    """Guards against a service without instances until they have written their entries again."""

    async def check(case: NodeCase) -> None:
        await asyncio.sleep(COPY_AGE_S)
        late = Instance("i-late", "desk", "huye")
        endpoint = pick_endpoint(ADDRESS)
        await late.start(endpoint.address, endpoint.port)
        case.instances.append(late)
        case.register(late)
        await wait_until(lambda: late.name in list_usable(case))
        await lose(case, 0.5)
        returned_at = time.monotonic()
        await asyncio.sleep(0.4)
        assert late.name in list_usable(case)
        await wait_until(lambda: late.name not in list_usable(case))
        assert time.monotonic() - returned_at == pytest.approx(OUTAGE_RETENTION_S, abs=0.8)
        case.register(late)
        await wait_until(lambda: late.name in list_usable(case))

    run_node(check)


def test_lost_evacuation_holds_until_it_is_written_again() -> None:
    """Guards against requests to an evacuated data centre that the store has forgotten."""

    async def check(case: NodeCase) -> None:
        await asyncio.sleep(COPY_AGE_S)
        case.store.put("evacuations", "huye", {})
        await wait_until(lambda: case.process.dispatch.evacuated == {"huye"})
        await lose(case, 0.5)
        await asyncio.sleep(1.0)
        assert case.process.dispatch.evacuated == {"huye"}
        case.store.put("evacuations", "huye", {})
        await asyncio.sleep(1.5)
        case.store.remove("evacuations", "huye")
        await wait_until(lambda: case.process.dispatch.evacuated == frozenset())

    run_node(check, settings={"evacuation_s": 5.0}, data_centres=("huye", "kaya"))


def test_all_hosts_follow_a_return_with_few_calls() -> None:
    """Guards against a storm of calls by all hosts of a data centre, and hosts that stay behind."""

    async def check(fleet: Fleet) -> None:
        await asyncio.sleep(COPY_AGE_S)
        fleet.store.put(KIND, "u1", {"born": 1, "sequence": 7})
        await wait_until(lambda: fleet.all_have("u1", {"born": 1, "sequence": 7}))
        calls = fleet.store.calls
        fleet.store.return_from_copy(0.5)
        written_at = time.monotonic()
        fleet.store.put(KIND, "u2", {"born": 2, "sequence": 1})
        await wait_until(lambda: fleet.all_have("u2", {"born": 2, "sequence": 1}))
        assert time.monotonic() - written_at < IN_FORCE_S
        assert fleet.store.calls - calls < 2 * len(fleet.hosts)
        await wait_until(lambda: fleet.count_readers() == READERS_PER_DATA_CENTRE)
        # From then on, followers ask their peers as before.
        failures = fleet.sum_counter("peers.failures")
        await asyncio.sleep(2.0)
        assert fleet.sum_counter("peers.failures") == failures

    run_fleet(check)


def test_follower_states_its_position_in_a_form_that_peers_read() -> None:
    """Guards against calls that peers refuse (400) in all eras but the first.

    Seen in soak seed 7014 with returns of the store.
    """

    async def check() -> None:
        asked: list[int] = []

        async def answer(_kind: str, after: int, _awaits: bool) -> Result[PeerChanges, StoreError]:
            asked.append(after)
            return Ok(PeerChanges(StoreChanges([], after), 0.0))

        async def list_nothing(_kind: str) -> Result[PeerChanges, StoreError]:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "nothing"))

        server = make_change_relay_server(answer, list_nothing)
        port = pick_endpoint(ADDRESS).port
        server.listen(port, ADDRESS)
        for position in (Position(0, 7), Position(2, 16), Position(9, 2**53)):
            fetched = await ChangeRelayClient().fetch(f"{ADDRESS}:{port}", "servers", position)
            assert fetched.unwrap().changes.revision == position
        assert asked == [Position(0, 7), Position(2, 16), Position(9, 2**53)]
        server.stop()

    asyncio.run(check())
