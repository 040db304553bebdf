"""Heads of upstreams' responses that break the grammar of HTTP/1.1, or stop before their end.

RFC 9112 section 4 (status line) and section 5 (field lines), RFC 9110 section 5.6.2 (names),
section 5.5 (values) and section 15 (status codes).
"""

import asyncio
import re
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from amaranthbend.adapters.calls import EndKind
from amaranthbend.adapters.upstream import UpstreamClient
from standins.instance import Instance
from standins.node_caller import make_configuration
from standins.processes import pick_endpoint

from .entry_cases import ScriptedUpstream, read_message
from .head_cases import MALFORMED_LINES, MALFORMED_STATUS_LINES
from .node_cases import ADDRESS, NodeCase, run_node, wait_until
from .test_upstream import Recorder, call

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FIELD = b"X-Sort: a\r\n"
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
# Whole responses by the place of their head that a test changes.
FINAL = STATUS_LINE + FIELD + LENGTH + b"\r\nbody"
TRAILED = STATUS_LINE + FIELD + CHUNKED + b"\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n"
RESPONSES = {
    "final": FINAL,
    "empty": STATUS_LINE + FIELD + b"Content-Length: 0\r\n\r\n",
    "chunked": STATUS_LINE + CHUNKED + b"\r\n4\r\nbody\r\n0\r\n\r\n",
    "trailer": TRAILED,
    "interim": INTERIM + FINAL,
    "refusal": b"HTTP/1.1 503 Full\r\nX-Not-Run: shed\r\nContent-Length: 0\r\n\r\n",
    "misdirected": b"HTTP/1.1 421 Misdirected\r\nX-Sort: a\r\nContent-Length: 0\r\n\r\n",
    "no_content": b"HTTP/1.1 204 No Content\r\nX-Sort: a\r\n\r\n",
}
# Line at which each response gets a malformed line before it.
PLACES = {
    "final": LENGTH,
    "empty": b"Content-Length",
    "chunked": CHUNKED,
    "trailer": b"X-Sum",
    "interim": b"Link",
    "refusal": b"X-Not-Run",
    "misdirected": b"X-Sort",
    "no_content": b"X-Sort",
}
# Whole head of a final response. A line may also end with LF alone (RFC 9112, section 2.2).
HEAD_PATTERN = re.compile(
    rb"HTTP/1\.[01] [2-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n"
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r?\n)*\r?\n"
)


class Reply(NamedTuple):
    """What an upstream sends, and how it then closes the connection.

    Parameters
    ----------
    data : bytes
        All bytes that it sends.
    resets : bool
        Whether the connection is reset.
    """

    data: bytes
    resets: bool = False


def run_replies(check: Callable[[Any], Coroutine[Any, Any, None]]) -> None:
    """Run a check with a function that returns what the client makes of a reply."""

    async def run() -> None:
        replies: list[Reply] = []

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            reply = replies.pop()
            writer.write(reply.data)
            await writer.drain()
            if reply.resets:
                # What was sent has arrived before the reset.
                await asyncio.sleep(0.002)
                connection: socket.socket = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

        client = UpstreamClient(force_instance=True)
        async with ScriptedUpstream(answer) as upstream:

            async def send(reply: Reply) -> Recorder:
                replies.append(reply)
                # A request that may not be repeated uses a connection of its own.
                return await call(client, upstream.address, idempotent=False)

            await check(send)
        client.close()

    asyncio.run(run())


def is_whole(recorder: Recorder) -> bool:
    """Return whether the client took what it received for a whole response."""
    assert recorder.end is not None
    return recorder.end.kind is EndKind.COMPLETE


def insert_line(place: str, line: bytes) -> bytes:
    """Return a response with a line before the one of its place."""
    before, found, after = RESPONSES[place].partition(PLACES[place])
    assert found
    return before + line + b"\r\n" + found + after


@pytest.mark.parametrize("place", RESPONSES)
def test_response_in_the_grammar_is_whole(place: str) -> None:
    """Guards against checks that refuse good responses; without it the others prove nothing."""

    async def check(send: Any) -> None:
        for line in (b"X-Other: a b\tc", b"!#$%&'*+-.^_`|~09azAZ:\xe9", b"X-Empty:"):
            assert is_whole(await send(Reply(insert_line(place, line))))
        assert is_whole(await send(Reply(RESPONSES[place].replace(b"\r\n", b"\n", 1))))

    run_replies(check)


@pytest.mark.parametrize("place", RESPONSES)
def test_malformed_field_line_is_no_response(place: str) -> None:
    """Guards against a name with a blank or control byte that reaches a caller (MIXED)."""

    async def check(send: Any) -> None:
        taken = [
            line
            for line in MALFORMED_LINES
            if is_whole(await send(Reply(insert_line(place, line))))
        ]
        assert not taken

    run_replies(check)


@pytest.mark.parametrize("place", ["final", "empty", "interim", "refusal", "no_content"])
def test_malformed_status_line_is_no_response(place: str) -> None:
    """Guards against an answer with a status that is none, such as 000."""

    async def check(send: Any) -> None:
        _, _, rest = RESPONSES[place].partition(b"\r\n")
        taken = [
            line
            for line in MALFORMED_STATUS_LINES
            if is_whole(await send(Reply(line + b"\r\n" + rest)))
        ]
        # An interim response in the place of another one is in the grammar.
        assert taken == ([b"HTTP/1.1 100 Continue"] if place == "interim" else [])

    run_replies(check)


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("place", RESPONSES)
def test_response_that_stops_at_any_byte_is_not_whole(place: str, resets: bool) -> None:
    """Guards against a 200 with an empty or short body, framed as whole (MIXED, ORDER)."""

    async def check(send: Any) -> None:
        data = RESPONSES[place]
        taken = [
            data[:cut]
            for cut in range(len(data))
            if is_whole(await send(Reply(data[:cut], resets)))
        ]
        assert not taken

    run_replies(check)


@pytest.mark.parametrize("line", [b" X-Sort: a", b"\tfolded"])
def test_folded_line_is_refused_or_joined(line: bytes) -> None:
    """Guards against a folded line that is passed on (RFC 9112, section 5.2).

    Versions of libcurl join it with the line before, which the section allows as well.
    """

    async def check(send: Any) -> None:
        joined = await send(Reply(insert_line("final", line)))
        assert not is_whole(joined) or joined.head.fields == ((b"X-Sort", b"a " + line.strip()),)
        for place in ("interim", "refusal", "misdirected", "no_content"):
            # There is no field before it.
            assert not is_whole(await send(Reply(insert_line(place, line))))

    run_replies(check)


def test_head_that_is_followed_by_another_is_no_response() -> None:
    """Guards against a head that stops in the middle and is taken for the start of the next one."""

    async def check(send: Any) -> None:
        head = STATUS_LINE + FIELD + LENGTH + b"\r\n"
        for cut in range(1, len(head) - 2):
            data = head[:cut] + FINAL
            # Within a reason phrase or a value, the next status line looks like a part of it.
            if HEAD_PATTERN.match(data) is None:
                assert not is_whole(await send(Reply(data))), data

    run_replies(check)


@settings(max_examples=40, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(
        st.tuples(
            st.integers(0, len(STATUS_LINE + FIELD + LENGTH) + 1),
            st.sampled_from([0, 1]),
            st.binary(min_size=1, max_size=2),
        ),
        min_size=1,
        max_size=20,
    )
)
@example([(12, 0, b"\x00"), (20, 0, b" "), (22, 1, b"\r"), (9, 1, b"0")])
def test_changed_head_outside_the_grammar_is_no_response(
    changes: list[tuple[int, int, bytes]],
) -> None:
    """Guards against any other head outside the grammar that is taken for a response."""

    async def check(send: Any) -> None:
        head = STATUS_LINE + FIELD + LENGTH + b"\r\n"
        for position, removed, inserted in changes:
            data = head[:position] + inserted + head[position + removed :] + b"body"
            found = HEAD_PATTERN.match(data)
            if found is not None:
                continue
            assert not is_whole(await send(Reply(data))), data

    run_replies(check)


class OddInstance(Instance):
    """Instance that runs each request, and answers with an odd line in a signed head."""

    odd_line = b""
    status_line = b"HTTP/1.1 200 OK"
    # Whether health checks are answered with the odd line.
    has_odd_health = False
    # Bytes of the response after which the connection is closed, None for all.
    cut: int | None = None

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_first: bool
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        start, *lines = head.strip().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines)
        await reader.readexactly(int(fields.get("content-length", "0")))
        if start.split(" ")[1] == "/health":
            self.health_checks += 1
            described = self._describe_self()
            if self.has_odd_health:
                described[self.odd_line.decode("latin1")] = "1"
            self._answer(writer, 200, b"", described)
            return True
        request_id = fields["x-amaranthbend-attempt-id"]
        self.ran.append((request_id, 0))
        writer.write(self.make_response(request_id)[: self.cut])
        await writer.drain()
        return self.cut is None

    def make_response(self, request_id: str) -> bytes:
        """Return the response to a request."""
        return (
            self.status_line + b"\r\n" + self.odd_line + b": 1\r\n"
            b"X-Amaranthbend-Attempt-Id: " + request_id.encode() + b"\r\n"
            b"X-Amaranthbend-Response-Signature: s\r\nContent-Length: 4\r\n\r\nbody"
        )


def run_odd_instance(check: Callable[[NodeCase, OddInstance], Coroutine[Any, Any, None]]) -> None:
    """Run a check with a node whose only instance may answer with odd heads."""

    async def run(case: NodeCase) -> None:
        instance = OddInstance("odd", "desk", "huye")
        endpoint = pick_endpoint(ADDRESS)
        await instance.start(endpoint.address, endpoint.port)
        case.instances.append(instance)
        case.register(instance)
        case.store.put("config", "main", make_configuration(2, attempts=1))
        await wait_until(lambda: case.process.configuration.version == 2)
        await wait_until(lambda: "odd" in str(case.process.dispatch.snapshot(0.0)))
        await check(case, instance)

    run_node(run, instances=0)


@pytest.mark.parametrize("name", [b"X Odd", b"X\x01Odd", b"X-Odd ", b"X\tOdd"])
def test_caller_gets_no_answer_with_an_odd_field_name(name: bytes) -> None:
    """Guards against a success whose head is not the instance's, or is no head at all (MIXED)."""

    async def check(case: NodeCase, instance: OddInstance) -> None:
        instance.odd_line = name
        for number, (path, method) in enumerate((("/safe/x", "GET"), ("/unsafe/x", "POST"))):
            answer = await case.call(path, method, f"o{number}")
            assert answer.status == 502
            assert "x-amaranthbend-response-signature" not in answer.fields
            assert case.count_executions(f"o{number}") == 1
        instance.odd_line = b"X-Even"
        assert (await case.call("/safe/x", "GET", "o9")).status == 200

    run_odd_instance(check)


@pytest.mark.parametrize("status", [b"000", b"099", b"600"])
def test_caller_gets_no_answer_with_an_odd_status(status: bytes) -> None:
    """Guards against an answer whose status is none."""

    async def check(case: NodeCase, instance: OddInstance) -> None:
        instance.odd_line = b"X-Even"
        instance.status_line = b"HTTP/1.1 " + status + b" Odd"
        assert (await case.call("/unsafe/x", "POST", "s0")).status == 502

    run_odd_instance(check)


def test_caller_gets_no_answer_from_a_head_that_stops() -> None:
    """Guards against a 200 with an empty or short body, framed as whole (MIXED, ORDER)."""

    async def check(case: NodeCase, instance: OddInstance) -> None:
        instance.odd_line = b"X-Even"
        for cut in range(1, len(instance.make_response("c000")), 3):
            instance.cut = cut
            answer = await case.call("/unsafe/x", "POST", f"c{cut:03}")
            assert answer.status == 502, cut

    run_odd_instance(check)


def test_health_check_with_an_odd_head_tells_nothing() -> None:
    """Guards against load reports and health taken from a response that is none."""

    async def check(case: NodeCase, instance: OddInstance) -> None:
        instance.odd_line = b"X Odd"
        instance.has_odd_health = True
        for number in range(8):
            await asyncio.gather(
                *(case.call("/safe/x", "GET", f"h{number}-{each}") for each in range(8))
            )
        assert instance.health_checks > 0
        await wait_until(lambda: case.process.counters.get("probe.failed") > 0)

    run_odd_instance(check)
