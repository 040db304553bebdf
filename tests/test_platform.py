import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from result import Err, Ok, Result
from tornado.httpclient import HTTPError
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from amaranthbend.adapters.host_list import HostList, dump_host_list, load_host_list
from amaranthbend.adapters.metrics import Counters
from amaranthbend.adapters.platform import (
    PlatformCallError,
    PlatformClient,
    PlatformErrorKind,
    classify_error,
)
from standins.platform import PlatformState, make_app
from standins.processes import pick_endpoint, pick_network

Check = Callable[[PlatformClient, PlatformState, Counters], Awaitable[None]]


def run_check(check: Check, calls_per_s: float = 100.0) -> None:
    """Run a check with a client and a simulated platform in one event loop."""

    async def run() -> None:
        endpoint = pick_endpoint(f"{pick_network()}.1")
        state = PlatformState()
        server = HTTPServer(make_app(state))
        server.listen(endpoint.port, endpoint.address)
        counters = Counters()
        http_client = SimpleAsyncHTTPClient(force_instance=True)
        client = PlatformClient(
            f"http://{endpoint}", http_client, counters, calls_per_s, calls_per_s
        )
        async with asyncio.timeout(20):
            await check(client, state, counters)
        server.stop()

    asyncio.run(run())


def get_error_kind(answer: Result[Any, PlatformCallError]) -> PlatformErrorKind:
    """Return the kind of a failed call."""
    assert isinstance(answer, Err)
    return answer.err_value.kind


def test_conditional_writes() -> None:
    """Guards against lost updates by concurrent writers, and against calls that are not counted."""

    async def check(client: PlatformClient, _state: PlatformState, counters: Counters) -> None:
        assert get_error_kind(await client.get("k", "a")) is PlatformErrorKind.NOT_FOUND
        version = (await client.create("k", "a", {"n": 1})).unwrap()
        assert get_error_kind(await client.create("k", "a", 2)) is PlatformErrorKind.CONFLICT
        newer = (await client.replace("k", "a", {"n": 2}, version)).unwrap()
        assert (
            get_error_kind(await client.replace("k", "a", 3, version)) is PlatformErrorKind.CONFLICT
        )
        assert get_error_kind(await client.delete("k", "a", version)) is PlatformErrorKind.CONFLICT
        assert (await client.get("k", "a")).unwrap().value == {"n": 2}
        assert isinstance(await client.delete("k", "a", newer), Ok)
        assert (await client.watch("k", version, 1.0)).unwrap().deleted == ("a",)
        assert (counters.get("platform.put"), counters.get("platform.get")) == (4, 2)
        assert counters.get("platform.error.conflict") == 3

    run_check(check)


@pytest.mark.parametrize(
    "faults, read, write",
    [
        ({"outage": "unavailable"}, "unavailable", "unavailable"),
        ({"outage": "reset"}, "unavailable", "lost_response"),
        ({"outage": "hang"}, "unavailable", "lost_response"),
        ({"reads_per_s": 0, "writes_per_s": 0}, "rate_limited", "rate_limited"),
    ],
)
def test_faults(faults: dict[str, Any], read: str, write: str) -> None:
    """Guards against reporting a write as failed although it may have taken effect."""

    async def check(client: PlatformClient, state: PlatformState, _counters: Counters) -> None:
        state.faults.update(faults)  # type: ignore[typeddict-item]
        assert get_error_kind(await client.list("k", timeout_s=0.2)) == read
        assert get_error_kind(await client.create("k", "a", 1, timeout_s=0.2)) == write
        state.faults["outage"] = "none"

    run_check(check)


@pytest.mark.parametrize(
    "error, kind",
    [
        (ConnectionRefusedError(111, "refused"), PlatformErrorKind.UNAVAILABLE),
        (ConnectionResetError(104, "reset"), PlatformErrorKind.LOST_RESPONSE),
        (HTTPError(599, "Timeout while connecting"), PlatformErrorKind.UNAVAILABLE),
        (HTTPError(599, "Timeout during request"), PlatformErrorKind.LOST_RESPONSE),
        (HTTPError(500), PlatformErrorKind.LOST_RESPONSE),
        (HTTPError(400), PlatformErrorKind.MALFORMED),
        (HTTPError(413), PlatformErrorKind.TOO_LARGE),
    ],
)
def test_effect_of_failed_writes(error: HTTPError | OSError, kind: PlatformErrorKind) -> None:
    """Guards against reporting a write that was sent as certain to have had no effect."""
    assert classify_error(error, is_write=True) is kind


def test_own_rate_limit() -> None:
    """Guards against a process that overloads the platform with calls in a loop."""

    async def check(client: PlatformClient, state: PlatformState, counters: Counters) -> None:
        answers = [await client.get("k", "a") for _ in range(8)]
        assert get_error_kind(answers[-1]) is PlatformErrorKind.RATE_LIMITED
        assert state.counts.calls["get"] <= 6
        assert counters.get("platform.error.own_rate") >= 2

    run_check(check, calls_per_s=5.0)


def test_pause_ends_with_the_outage() -> None:
    """Guards against settings delayed by a 30 s backoff after the platform has recovered."""

    async def check(client: PlatformClient, state: PlatformState, _counters: Counters) -> None:
        state.faults["outage"] = "unavailable"
        await client.fetch_hosts()
        retry_wait = asyncio.ensure_future(client.wait_before_retry(30.0))
        await asyncio.sleep(0.05)
        assert not retry_wait.done()
        state.faults["outage"] = "none"
        await client.fetch_hosts()
        await asyncio.wait_for(retry_wait, 1.0)

    run_check(check)


@pytest.mark.parametrize("document", [None, {}, {"revision": 1, "hosts": [{"id": "a"}]}])
def test_malformed_host_list(document: Any) -> None:
    """Guards against a malformed host list that replaces a valid one."""
    with pytest.raises(ValueError, match="not a host list"):
        load_host_list(document)
    assert dump_host_list(HostList(1, ())) == b'{"revision": 1, "hosts": []}'
