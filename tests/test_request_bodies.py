"""Request bodies that are too large to be buffered: what the instances receive of them."""

import random
import re
import time

import pytest

from standins.instance import RUN_S
from standins.node_caller import Answer, exchange_upload, make_configuration

from .node_cases import NodeCase, run_node, wait_until

# Above the size up to which a node buffers a body.
BODY_BYTES = 1_500_000
# The latency goal of the route is 300 ms; a hedge is sent after 0.6 of it at the latest.
SLOW_RUN_S = 0.8
# Below the second for which libcurl waits for an interim response.
MAX_UPLOAD_S = 0.7
REQUESTS = 6


async def make_slow_instance(case: NodeCase) -> None:
    """Accept large bodies, and let one of the instances work slowly."""
    configuration = make_configuration(2)
    configuration["limits"]["maxBodyBytes"] = 2 * BODY_BYTES
    case.store.put("config", "main", configuration)
    await wait_until(lambda: case.process.configuration.version == 2)
    case.instances[0].run_s = SLOW_RUN_S


async def upload(
    case: NodeCase,
    request_id: str,
    body: bytes,
    *,
    chunked: bool,
    duration_s: float = 0.0,
    path: str = "/safe/x",
) -> Answer:
    """Send a request with a body that takes `duration_s` seconds to arrive."""
    reader, writer = await case.connect()
    try:
        return await exchange_upload(
            reader, writer, path, request_id, body, chunked=chunked, duration_s=duration_s
        )
    finally:
        writer.close()


@pytest.mark.parametrize("chunked", [True, False])
def test_large_body_is_sent_without_waiting(chunked: bool) -> None:
    """Guards against uploads that wait a second for an interim response of the instance."""

    async def check(case: NodeCase) -> None:
        await make_slow_instance(case)
        case.instances[0].run_s = RUN_S
        started_at = time.monotonic()
        answer = await upload(case, "u1", b"x" * BODY_BYTES, chunked=chunked)
        assert answer.status == 200
        assert time.monotonic() - started_at < MAX_UPLOAD_S

    run_node(check, instances=2)


@pytest.mark.parametrize("chunked", [True, False])
@pytest.mark.parametrize("duration_s", [0.0, 0.5])
def test_slow_upload_runs_with_its_whole_body_only(chunked: bool, duration_s: float) -> None:
    """Guards against a hedge that sends what is left of a streamed body, or nothing.

    A streamed body can be read once. The instance would run the remainder as if it were whole, and
    the caller would be told of success.
    """

    async def check(case: NodeCase) -> None:
        await make_slow_instance(case)
        source = random.Random(1)
        for number in range(REQUESTS):
            body = source.randbytes(BODY_BYTES)
            answer = await upload(case, f"u{number}", body, chunked=chunked, duration_s=duration_s)
            assert answer.status == 200
            ran = [sent for entry in case.instances for sent in entry.bodies.get(f"u{number}", [])]
            assert [len(sent) for sent in ran] == [BODY_BYTES]
            assert ran == [body]

    run_node(check, instances=2)


def test_request_log_tells_how_much_of_a_streamed_body_was_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a partial body that cannot be seen in the logs."""
    attempts: dict[str, str] = {}

    def record_event(_event: str, **fields: str) -> None:
        attempts[fields["id"]] = fields["attempts"]

    monkeypatch.setattr("amaranthbend.filters.request_log.log_event", record_event)

    async def check(case: NodeCase) -> None:
        await make_slow_instance(case)
        body = b"x" * BODY_BYTES
        answer = await upload(case, "u1", body, chunked=True, path="/unsafe/x")
        assert answer.status == 200
        await case.call("/safe/x", request_id="u2")

    run_node(check, instances=2)
    assert re.fullmatch(rf"[^,]*:answered:200:\d+ms:{BODY_BYTES}B", attempts["u1"])
    assert re.search(r":answered:200:\d+ms(,|$)", attempts["u2"])
    assert not re.search(r"ms:\d+B", attempts["u2"])
