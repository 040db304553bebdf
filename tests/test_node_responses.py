"""Responses of faulty instances: what their callers and later requests get."""

import asyncio

import pytest

from standins.node_caller import make_call, make_configuration

from .node_cases import (
    NodeCase,
    run_node,
    wait_until,
)


def test_route_timeout_ends_a_request() -> None:
    """Guards against a request that takes longer than the timeout of its route."""

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


@pytest.mark.parametrize(
    "fault", ["endless_chunks", "endless_body", "endless_trailers", "endless_extension"]
)
@pytest.mark.parametrize(("kind", "method"), [("safe", "GET"), ("unsafe", "POST")])
def test_response_without_end_is_ended_at_the_deadline(fault: str, kind: str, method: str) -> None:
    """Guards against a faulty instance that occupies a caller and its host without limit.

    A response that has begun may take longer than the timeout of its route, but not longer than
    the caller's own timeout, and its end must not look like the end of a complete response.
    """

    async def check(case: NodeCase) -> None:
        case.store.put("config", "main", make_configuration(2, timeout="400ms"))
        await wait_until(lambda: case.process.configuration.version == 2)
        reader, writer = await case.connect()
        started_at = asyncio.get_running_loop().time()
        writer.write(make_call(f"/{kind}/{fault}", method, "e1", 800))
        received = bytearray()
        was_reset = False
        async with asyncio.timeout(5):
            try:
                while data := await reader.read(1024 * 1024):
                    received += data
                    head, separator, body = bytes(received[:1024]).partition(b"\r\n\r\n")
                    if separator and head[9:12] in (b"502", b"504") and body:
                        break
            except ConnectionError:
                was_reset = True
        elapsed_s = asyncio.get_running_loop().time() - started_at
        writer.close()
        assert was_reset or received.startswith((b"HTTP/1.1 504", b"HTTP/1.1 502"))
        assert elapsed_s < 1.3
        await wait_until(lambda: not any(entry.running for entry in case.instances))
        if kind == "unsafe":
            assert case.count_executions("e1") == 1
        sent = sum(entry.endless_bytes for entry in case.instances)
        await asyncio.sleep(0.2)
        assert sum(entry.endless_bytes for entry in case.instances) == sent

    run_node(check)


@pytest.mark.parametrize(
    "refusal",
    [
        (503, {"X-Amaranthbend-Not-Executed": "1"}),
        (503, {"X-Amaranthbend-Not-Executed": "1", "X-Amaranthbend-Attempt-Id": "old"}),
        (421, {"X-Amaranthbend-Instance-Id": "i-0", "X-Amaranthbend-Attempt-Id": "old"}),
        (421, {"X-Amaranthbend-Instance-Id": "i-0"}),
    ],
)
@pytest.mark.parametrize("attempts", [1, 2])
def test_repeated_refusal_refuses_no_later_request(
    refusal: tuple[int, dict[str, str]], attempts: int
) -> None:
    """Guards against "not run" for a request that an instance has run.

    A faulty instance writes an earlier refusal once more on a kept connection, in front of the
    response to the next request there, which it runs.
    """

    async def check(case: NodeCase) -> None:
        case.store.put("config", "main", make_configuration(2, attempts=attempts))
        await wait_until(lambda: case.process.configuration.version == 2)
        instance = case.instances[0]
        instance.repeated_refusal = refusal
        statuses = []
        for number in range(12):
            kind, method = (("safe", "GET"), ("unsafe", "POST"))[number % 2]
            answer = await case.call(f"/{kind}/x", method, f"r{number}")
            runs = case.count_executions(f"r{number}")
            statuses.append((answer.status, runs))
            assert not (runs and answer.status in (408, 421, 429, 503))
            if kind == "unsafe":
                assert (answer.status, runs) in ((200, 1), (503, 0))
        # The instance stays in use: the repeated 421 does not mean that it has left.
        assert len(case.process.dispatch.snapshot(0.0)["desk"]) == 1
        assert statuses[-2][1] > 0

    run_node(check, instances=1)


@pytest.mark.parametrize("status", [200, 204, 302, 400, 404, 500, 504])
@pytest.mark.parametrize("attempts", [1, 2])
def test_response_without_the_id_of_its_request_is_nobody_s(status: int, attempts: int) -> None:
    """Guards against additional bytes of an instance that a caller gets as its answer (MIXED).

    They arrive on a kept connection, where the response to the next request is due. Seen in review
    case 9: a 400, as of a server that takes left-over bytes for a request.
    """

    async def check(case: NodeCase) -> None:
        case.store.put("config", "main", make_configuration(2, attempts=attempts))
        await wait_until(lambda: case.process.configuration.version == 2)
        case.instances[0].repeated_refusal = (status, {})
        statuses = []
        for number in range(12):
            answer = await case.call("/safe/x", "GET", f"b{number}")
            statuses.append(answer.status)
            if answer.status == 200:
                assert answer.fields["x-amaranthbend-attempt-id"] == f"b{number}"
        # With one attempt, a request that met such bytes fails.
        assert set(statuses) <= ({200} if attempts == 2 else {200, 502})
        assert 200 in statuses

    run_node(check, instances=1)


def test_connection_with_a_late_response_is_not_used_again() -> None:
    """Guards against a connection on which each request gets the response to the one before.

    A faulty instance sends a second copy of a response in front of the next one on a kept
    connection. The copy is complete, so libcurl would keep the connection.
    """

    async def check(case: NodeCase) -> None:
        instance = case.instances[0]
        instance.run_s = 0.2
        assert (await case.call("/safe/x", request_id="r0")).status == 200
        instance.late_copies = 1
        first = asyncio.ensure_future(case.call("/safe/x", request_id="r1"))
        await wait_until(lambda: case.count_executions("r1") == 2)
        assert instance.late_copies == 0
        answer = await case.call("/safe/x", request_id="r2")
        assert (answer.status, case.count_executions("r2")) == (200, 1)
        assert answer.body.endswith(b" r2")
        assert (await first).body.endswith(b" r1")
        assert case.process.counters.get_snapshot()["counters"].get("probe.failed", 0) == 0

    run_node(check, instances=1)


def test_dead_idle_connection_does_not_fail_a_probe() -> None:
    """Guards against refusals, and a pause of the instance, after it has forgotten connections."""

    async def check(case: NodeCase) -> None:
        assert (await case.call("/safe/x", request_id="r0")).status == 200
        case.instances[0].resets_kept_connections = True
        for number in range(5):
            # After this pause the last report is too old to choose by.
            await asyncio.sleep(0.02)
            assert (await case.call("/unsafe/x", "POST", f"p{number}")).status == 200
        counters = case.process.counters.get_snapshot()["counters"]
        assert counters.get("probe.failed", 0) == 0
        assert counters.get("probe.repeated", 0) > 0

    run_node(check, instances=1)


@pytest.mark.parametrize("fault", ["cut", "late", "unsigned", "encoded", "plain503"])
def test_invalid_response_never_reaches_the_caller(fault: str) -> None:
    """Guards against forwarding a response that is unsigned, cut off or of another request."""

    async def check(case: NodeCase) -> None:
        for method, kind in (("GET", "safe"), ("POST", "unsafe")):
            answer = await case.call(f"/{kind}/{fault}", method, f"{kind}-{fault}")
            assert answer.status in (0, 502)
            assert "x-amaranthbend-response-signature" not in answer.fields
        assert case.count_executions(f"unsafe-{fault}") == 1
        assert case.count_executions(f"safe-{fault}") == 2

    run_node(check)


def test_extra_bytes_do_not_fail_a_response() -> None:
    """Guards against failing a complete, signed response because other bytes follow it."""

    async def check(case: NodeCase) -> None:
        for number in range(5):
            answer = await case.call("/unsafe/extra", "POST", f"r{number}")
            assert answer.status == 200
            assert answer.body.endswith(f"r{number}".encode())
            assert (await case.call("/safe/x", request_id=f"s{number}")).status == 200

    run_node(check)
