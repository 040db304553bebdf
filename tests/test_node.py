"""Node process against stand-ins of the store and of instances."""

import asyncio
import contextlib

import pytest

from standins.instance import Instance
from standins.node_caller import exchange, make_configuration

from .node_cases import (
    ADDRESS,
    NodeCase,
    run_node,
    wait_until,
)


def test_request_is_answered_whole() -> None:
    """Guards against a path that does not serve a calm day."""

    async def check(case: NodeCase) -> None:
        answer = await case.call("/safe/x", request_id="r1")
        assert answer.status == 200
        name = answer.fields["x-amaranthbend-response-signature"].partition(".")[0]
        assert answer.body == f"{name} r1".encode()
        assert answer.fields["x-amaranthbend-attempt-id"] == "r1"
        assert case.count_executions("r1") == 1

    run_node(check)


def test_no_configuration_is_not_a_missing_route() -> None:
    """Guards against a 404 from a process that knows no routes yet."""

    async def check(case: NodeCase) -> None:
        assert (await case.call("/safe/x")).status == 503
        case.store.put("config", "main", make_configuration())
        await wait_until(lambda: not case.process.get_unready_reason())
        assert (await case.call("/safe/x")).status == 200
        assert (await case.call("/none/x")).status == 404

    run_node(check, configured=False)


def test_deadline_is_the_shorter_of_callers_and_routes() -> None:
    """Guards against an instance that works on for longer than anyone waits."""

    async def check(case: NodeCase) -> None:
        await case.call("/safe/x", request_id="r1", deadline_ms=700)
        await case.call("/safe/x", request_id="r2", deadline_ms=60_000)
        deadlines = dict(ran for entry in case.instances for ran in entry.ran)
        assert 500 < deadlines["r1"] <= 700
        assert 1500 < deadlines["r2"] <= 2000

    run_node(check)


def test_routes_timeout_ends_a_request() -> None:
    """Guards against a request held past the time that the operators allow."""

    async def check(case: NodeCase) -> None:
        configuration = make_configuration(2, timeout="200ms")
        case.store.put("config", "main", configuration)
        await wait_until(lambda: case.process.configuration.version == 2)
        started_at = asyncio.get_running_loop().time()
        answer = await case.call("/unsafe/hang", "POST", deadline_ms=5000)
        assert answer.status == 504
        assert asyncio.get_running_loop().time() - started_at < 0.6
        await wait_until(lambda: any(entry.cancelled for entry in case.instances))

    run_node(check)


@pytest.mark.parametrize("fault", ["cut", "late", "unsigned", "encoded", "plain503"])
def test_broken_response_never_reaches_the_caller(fault: str) -> None:
    """Guards against a success without a signature, with another body or of another request."""

    async def check(case: NodeCase) -> None:
        for method, kind in (("GET", "safe"), ("POST", "unsafe")):
            answer = await case.call(f"/{kind}/{fault}", method, f"{kind}-{fault}")
            assert answer.status in (0, 502)
            assert "x-amaranthbend-response-signature" not in answer.fields
        assert case.count_executions(f"unsafe-{fault}") == 1
        assert case.count_executions(f"safe-{fault}") == 2

    run_node(check)


def test_excess_bytes_do_not_spoil_a_response() -> None:
    """Guards against failing a whole and signed response because other bytes follow it."""

    async def check(case: NodeCase) -> None:
        for number in range(5):
            answer = await case.call("/unsafe/extra", "POST", f"r{number}")
            assert answer.status == 200
            assert answer.body.endswith(f"r{number}".encode())
            assert (await case.call("/safe/x", request_id=f"s{number}")).status == 200

    run_node(check)


def test_instances_own_failure_is_passed_on() -> None:
    """Guards against an answer of an instance that is replaced by one of our own."""

    async def check(case: NodeCase) -> None:
        answer = await case.call("/unsafe/error", "POST", "r1")
        assert answer.status == 500
        assert answer.fields["x-amaranthbend-response-signature"].endswith(".r1")
        assert case.count_executions("r1") == 1

    run_node(check)


def test_refused_everywhere_promises_that_nothing_ran() -> None:
    """Guards against a promise that does not hold, and against a wait that is too long."""

    async def check(case: NodeCase) -> None:
        answer = await case.call("/unsafe/shed", "POST", "r1")
        assert answer.status == 503
        assert 0.0 < float(answer.fields["retry-after"]) < 1.0
        assert case.count_executions("r1") == 0

    run_node(check)


def test_address_that_belongs_to_another_instance() -> None:
    """Guards against running a request at the new owner of an address."""

    async def check(case: NodeCase) -> None:
        new_owner = case.instances[0]
        new_owner.name = "i-other"
        for number in range(10):
            assert (await case.call("/unsafe/x", "POST", f"r{number}")).status == 200
        assert new_owner.ran == []

    run_node(check)


def test_draining_instance_gets_nothing_new() -> None:
    """Guards against requests to an instance that has reported its departure."""

    async def check(case: NodeCase) -> None:
        draining = case.instances[0]
        case.register(draining, "draining")
        await wait_until(
            lambda: any(
                entry["state"] == "draining"
                for entry in case.process.dispatch.snapshot(0.0).get("desk", [])
            )
        )
        for number in range(20):
            assert (await case.call("/safe/x", request_id=f"r{number}")).status == 200
        assert draining.ran == []

    run_node(check)


def test_silent_instance_delays_nobody_for_long() -> None:
    """Guards against requests that wait for an instance behind a partition."""

    async def check(case: NodeCase) -> None:
        unresponsive = case.instances[0]
        await unresponsive.stop()
        unresponsive_server = await asyncio.start_server(
            lambda _reader, _writer: asyncio.sleep(30), *unresponsive.address.split(":")
        )
        loop = asyncio.get_running_loop()
        for number in range(10):
            started_at = loop.time()
            assert (await case.call("/unsafe/x", "POST", f"r{number}")).status == 200
            assert loop.time() - started_at < 0.3
        unresponsive_server.close()

    run_node(check)


def test_caller_that_leaves_ends_the_run() -> None:
    """Guards against instances that work for callers who are gone."""

    async def check(case: NodeCase) -> None:
        reader, writer = await case.connect()
        call = asyncio.ensure_future(exchange(reader, writer, "/safe/hang", request_id="r1"))
        await wait_until(lambda: case.count_executions("r1") == 1)
        writer.close()
        await wait_until(lambda: any("r1" in entry.cancelled for entry in case.instances), 0.5)
        call.cancel()

    run_node(check)


@pytest.mark.parametrize("mode", ["busy", "many", "reset", "silent"])
def test_store_outage_changes_nothing_for_callers(mode: str) -> None:
    """Guards against requests that depend on the store, and against changes missed in an outage."""

    async def check(case: NodeCase) -> None:
        case.store.faults.mode = mode
        for number in range(5):
            assert (await case.call("/safe/x", request_id=f"r{number}")).status == 200
        case.store.put("config", "main", make_configuration(2))
        await asyncio.sleep(0.5)
        case.store.faults.mode = "none"
        await wait_until(lambda: case.process.configuration.version == 2, 4.0)

    run_node(check)


def test_forgotten_history_is_read_again() -> None:
    """Guards against changes lost with the history of the store."""

    async def check(case: NodeCase) -> None:
        case.store.objects.write("config", "main", make_configuration(2), 0.0)
        case.store.compact()
        await wait_until(lambda: case.process.configuration.version == 2, 4.0)

    run_node(check)


def test_invalid_configuration_keeps_the_one_in_force() -> None:
    """Guards against a process without routes because of one bad write."""

    async def check(case: NodeCase) -> None:
        case.store.put("config", "main", {"version": 2, "listeners": "none"})
        case.store.put("servers", "i-foreign", {"service": 5})
        case.store.put("servers", "i-foreign-2", ["x"])
        await wait_until(lambda: case.process.counters.get("configuration.rejected") == 1)
        assert case.process.configuration.version == 1
        assert (await case.call("/safe/x")).status == 200

    run_node(check)


def test_shutdown_answers_every_whole_request() -> None:
    """Guards against a request cut off because it arrived just as the process left.

    Seen on the bench (eeslikoda-adopt trouble-2, score 09c6a0ec): a request read 10 ms after the
    last one had ended was at its instance when the process exited.
    """

    async def check(case: NodeCase) -> None:
        loop = asyncio.get_running_loop()
        failures: list[str] = []
        has_shut_down = asyncio.Event()

        async def send_continuously(number: int) -> None:
            reader, writer = await case.connect()
            while not has_shut_down.is_set():
                answer = await exchange(reader, writer, "/safe/x", request_id=f"r{number}")
                if answer.status not in (200, 503):
                    # A connection that closes between two requests took none with it.
                    if case.count_executions(f"r{number}"):
                        failures.append(f"r{number}: {answer}")
                    return
                if answer.fields.get("connection") == "close":
                    writer.close()
                    with contextlib.suppress(OSError):
                        reader, writer = await case.connect()
                number += 1000
                await asyncio.sleep(0.005)

        calls = [asyncio.ensure_future(send_continuously(number)) for number in range(20)]
        await asyncio.sleep(0.3)
        started_at = loop.time()
        await case.process.shut_down()
        assert loop.time() - started_at < 6.0
        has_shut_down.set()
        await asyncio.wait(calls, timeout=3.0)
        assert failures == []

    run_node(check)


def test_instance_restarted_under_its_id_is_used_again() -> None:
    """Guards against an instance that stays excluded after it started anew."""

    async def check(case: NodeCase) -> None:
        instance: Instance = case.instances[0]
        case.register(instance, "draining")
        instance.born = 2
        case.register(instance)
        await asyncio.sleep(0.5)
        assert (await case.call("/safe/x")).status == 200
        assert len(instance.ran) == 1

    run_node(check, instances=1)


def test_addresses_stay_on_loopback() -> None:
    """Guards against tests that reach other machines."""
    assert ADDRESS.startswith("127.")


def test_watch_on_a_dead_connection_is_replaced() -> None:
    """Guards against changes that arrive only after the time for which a watch waits."""

    async def check(case: NodeCase) -> None:
        await asyncio.sleep(0.7)
        # The watches that wait now are never woken again.
        case.store.changed = asyncio.Event()
        case.store.put("config", "main", make_configuration(2))
        await wait_until(lambda: case.process.configuration.version == 2, 3.0)

    run_node(check)
