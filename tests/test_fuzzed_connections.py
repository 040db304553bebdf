"""Fuzz tests of the bytes of callers' connections: memory account and requests that run.

AMARANTHBEND_FUZZ_EXAMPLES sets the number of examples for long runs.
"""

import asyncio
import contextlib
import os
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from .node_cases import NodeCase, start_node, wait_until

EXAMPLES = int(os.environ.get("AMARANTHBEND_FUZZ_EXAMPLES", "30"))
# Small limits, so that bodies are streamed, refused and displaced.
BUFFERED_BODY_BYTES = 20_000
MEMORY_BYTES = 400_000
READ_S = 0.15


class Request(NamedTuple):
    """Request of a caller; without chunks its body has a length."""

    body_bytes: int
    chunks: tuple[int, ...]
    is_upper_case: bool
    # Size of a further header field.
    field_bytes: int = 0

    def encode(self, request_id: str) -> bytes:
        """Return the bytes of the request."""
        head = (
            "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Amaranthbend-Attempt-Id: {request_id}\r\n"
            "X-Amaranthbend-Request-Deadline: 1500\r\n"
            f"X-More: {'x' * self.field_bytes}\r\n"
        )
        if not self.chunks:
            return f"{head}Content-Length: {self.body_bytes}\r\n\r\n".encode() + self.make_body()
        body, position, parts = self.make_body(), 0, []
        while position < len(body):
            size = min(self.chunks[len(parts) % len(self.chunks)], len(body) - position)
            digits = f"{size:X}" if self.is_upper_case else f"00{size:x}"
            part = body[position : position + size]
            parts.append(digits.encode() + b"\r\n" + part + b"\r\n")
            position += size
        return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + b"".join(parts) + b"0\r\n\r\n"

    def make_body(self) -> bytes:
        """Return the body."""
        return bytes(number % 251 for number in range(self.body_bytes))


class Connection(NamedTuple):
    """Requests that a caller sends at once, and where it stops.

    Parameters
    ----------
    requests : tuple of Request
        Requests in their order.
    cut : float
        Share of the bytes that are sent.
    piece_bytes : int
        Size of the writes.
    changed_byte : tuple of float and int, or None
        Position of a byte that is replaced, as a share of all bytes, and its value.
    aborts : bool
        Whether the caller resets the connection instead of reading.
    """

    requests: tuple[Request, ...]
    cut: float
    piece_bytes: int
    changed_byte: tuple[float, int] | None
    aborts: bool


REQUESTS = st.builds(
    Request,
    st.sampled_from([0, 1, 2, 100, 9_000, 70_000, 300_000]) | st.integers(0, 30_000),
    st.just(()) | st.lists(st.integers(1, 40_000), min_size=1, max_size=3).map(tuple),
    st.booleans(),
    st.sampled_from([0, 0, 20_000, 50_000, 70_000]),
)
CONNECTIONS = st.builds(
    Connection,
    st.lists(REQUESTS, min_size=1, max_size=3).map(tuple),
    st.just(1.0) | st.floats(0, 1),
    st.sampled_from([7, 1_000, 65_536]),
    st.none() | st.tuples(st.floats(0, 1), st.integers(0, 255)),
    st.booleans(),
)


async def play(case: NodeCase, number: int, connection: Connection) -> dict[str, bytes]:
    """Send the bytes of a connection; return the bodies of its whole requests by id.

    After a changed byte any request may differ from the one that was meant, so all of them are
    left out from the bodies that are compared.
    """
    prefix = "c" if connection.changed_byte is None else "x"
    ids = [f"{prefix}{number}-{index}" for index in range(len(connection.requests))]
    encoded = [request.encode(name) for request, name in zip(connection.requests, ids, strict=True)]
    data = bytearray(b"".join(encoded))
    if connection.changed_byte is not None:
        share, value = connection.changed_byte
        data[int(share * (len(data) - 1))] = value
    sent = bytes(data[: round(connection.cut * len(data))])
    reader, writer = await case.connect()
    with contextlib.suppress(ConnectionError, TimeoutError):
        for start in range(0, min(len(sent), 200 * connection.piece_bytes), connection.piece_bytes):
            writer.write(sent[start : start + connection.piece_bytes])
            await writer.drain()
        writer.write(sent[200 * connection.piece_bytes :])
        if not connection.aborts:
            async with asyncio.timeout(READ_S):
                while await reader.read(65_536):
                    pass
    writer.transport.abort()
    whole: dict[str, bytes] = {}
    end = 0
    for name, request, part in zip(ids, connection.requests, encoded, strict=True):
        end += len(part)
        if end <= len(sent):
            whole[name] = request.make_body()
    return whole


async def check_connections(case: NodeCase, connections: list[Connection]) -> None:
    """Play connections at the same time, and check what ran and what is still held."""
    for instance in case.instances:
        instance.ran.clear()
        instance.bodies.clear()
    results = await asyncio.gather(
        *(play(case, number, connection) for number, connection in enumerate(connections))
    )
    chain, server = case.process.chain, case.process.server
    await wait_until(lambda: server.count_connections() == 0)
    await wait_until(lambda: chain.buffers.reserved_bytes == 0)
    await wait_until(lambda: not any(instance.running for instance in case.instances))
    for number, (connection, whole) in enumerate(zip(connections, results, strict=True)):
        if connection.changed_byte is not None:
            continue
        for instance in case.instances:
            for request_id, bodies in instance.bodies.items():
                if request_id.startswith(f"c{number}-"):
                    assert bodies == [whole[request_id]]


@pytest.fixture(scope="module")
def runner() -> Iterator[asyncio.Runner]:
    """Return an event loop that all examples share."""
    with asyncio.Runner() as shared:
        yield shared


@pytest.fixture(scope="module")
def case(runner: asyncio.Runner) -> Iterator[NodeCase]:
    """Return a node process that all examples share."""
    context = start_node(2, True, {}, {}, ("huye",))
    node = runner.run(context.__aenter__())
    node.process.chain.held_body_bytes = BUFFERED_BODY_BYTES
    node.process.chain.buffers.set_limit(MEMORY_BYTES)
    yield node
    runner.run(context.__aexit__(None, None, None))


@settings(
    max_examples=EXAMPLES,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
@given(st.lists(CONNECTIONS, min_size=1, max_size=4))
@example([Connection((Request(300_000, (40_000,), False),), 0.99, 65_536, None, False)] * 4)
@example([Connection((Request(300_000, (), False),), 0.5, 65_536, None, True)] * 4)
@example([Connection((Request(0, (), False, 50_000),), 0.9, 7, None, False)] * 4)
@example([Connection((Request(9_000, (1,), False),), 0.9999, 7, None, True)] * 2)
def test_nothing_is_held_and_no_part_runs(
    runner: asyncio.Runner, case: NodeCase, connections: list[Connection]
) -> None:
    """Guards against memory that is never released, and requests that run without their end."""
    runner.run(check_connections(case, connections))
