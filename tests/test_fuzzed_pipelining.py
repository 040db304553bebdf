"""Property test of sequences of requests that a caller sends ahead on one connection.

AMARANTHBEND_FUZZ_EXAMPLES sets the number of examples for long runs.
"""

import asyncio
import os
from typing import NamedTuple

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from standins.instance import Instance
from standins.node_caller import DESK, Answer, make_configuration, read_answer
from standins.processes import pick_endpoint

from .node_cases import ADDRESS, NodeCase, run_node, wait_until
from .test_identity import put_in_force

EXAMPLES = int(os.environ.get("AMARANTHBEND_FUZZ_EXAMPLES", "20"))
STEP_S = 0.01
# Kinds of requests after whose response the connection is closed.
CLOSING_KINDS = ("closing", "old", "garbage")
UNSAFE_KINDS = ("unsafe", "unsafe_get")


class Call(NamedTuple):
    """A request: its kind, and the duration of its run in steps."""

    kind: str
    steps: int

    def render(self, number: int) -> bytes:
        """Return the bytes of the request."""
        kind = "unsafe" if self.kind in UNSAFE_KINDS else "safe"
        method = "POST" if self.kind in ("unsafe", "chunked") else "GET"
        prefix = "none" if self.kind == "none" else kind
        version = "HTTP/1.0" if self.kind == "old" else "HTTP/1.1"
        head = f"{method} /{prefix}/{kind}-{self.steps} {version}\r\nHost: shop.example\r\n"
        head += f"X-Amaranthbend-Attempt-Id: r{number}\r\n"
        rest = {
            "unsafe": "Content-Length: 2\r\n\r\n{}",
            "chunked": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            "closing": "Connection: close\r\n\r\n",
            "garbage": "no field\r\n\r\n",
            "cut": "X-Rest: ",
        }
        return (head + rest.get(self.kind, "\r\n")).encode()


class TimedInstance(Instance):
    """Instance whose runs take as long as their paths say; it notes runs beside an unsafe one."""

    # Kinds of the requests that run at all instances.
    kinds: list[str] = []  # noqa: RUF012
    overlaps = 0

    async def _run(self, reader: asyncio.StreamReader, fault: str) -> bool:
        kind, _, steps = fault.partition("-")
        self.kinds.append(kind)
        TimedInstance.overlaps += "unsafe" in self.kinds and len(self.kinds) > 1
        self.run_s = int(steps) * STEP_S
        try:
            return await super()._run(reader, fault)
        finally:
            self.kinds.remove(kind)


KINDS = ("safe", "safe", "safe", "unsafe", "unsafe_get", "none", "chunked", "cut", *CLOSING_KINDS)
CALLS = st.lists(
    st.builds(Call, st.sampled_from(KINDS), st.integers(0, 8)), min_size=1, max_size=12
)


def select_whole(calls: list[Call]) -> list[Call]:
    """Return the requests up to the first one that closes the connection, or is not whole."""
    for index, call in enumerate(calls):
        if call.kind == "cut":
            return calls[:index]
        if call.kind in CLOSING_KINDS:
            return calls[: index + 1]
    return calls


def find_cut(calls: list[Call]) -> int:
    """Return the number of requests up to the first one whose head does not end."""
    kinds = [call.kind for call in calls]
    return kinds.index("cut") + 1 if "cut" in kinds else len(calls)


def check_answer(case: NodeCase, answer: Answer, call: Call, number: int) -> None:
    """Check that an answer belongs to a request, and says nothing untrue."""
    runs = case.count_executions(f"r{number}")
    if call.kind in ("none", "garbage"):
        assert answer.status == (404 if call.kind == "none" else 400)
        assert runs == 0
    elif answer.status == 503:
        assert runs == 0
    else:
        assert answer.status == 200
        assert answer.body.split()[-1] == f"r{number}".encode()
        assert runs == 1


@settings(
    max_examples=EXAMPLES,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)
@given(CALLS, st.lists(st.integers(0, 1500), max_size=5), st.none() | st.integers(0, 4))
def test_sequences_of_requests(
    calls: list[Call], cuts: list[int], leaves_after: int | None
) -> None:
    """Guards against mixed or reordered responses, and runs that no caller asked for."""

    async def check(case: NodeCase) -> None:
        TimedInstance.overlaps = 0
        for number in range(3):
            instance = TimedInstance(f"t-{number}", DESK, "huye")
            await instance.start(ADDRESS, pick_endpoint(ADDRESS).port)
            case.instances.append(instance)
            case.register(instance)
        await put_in_force(case, make_configuration(2, attempts=1))
        await wait_until(lambda: len(case.process.dispatch.snapshot(0.0).get("desk", [])) == 3)
        reader, writer = await case.connect()
        whole = select_whole(calls)
        # Whatever follows a head without an end would be the rest of it, and complete the request.
        sent = calls[: find_cut(calls)]
        data = b"".join(call.render(number) for number, call in enumerate(sent))
        answered = whole if leaves_after is None else whole[:leaves_after]
        sending = asyncio.ensure_future(send_in_parts(writer, data, cuts))
        for number, call in enumerate(answered):
            check_answer(case, await read_answer(reader), call, number)
        if leaves_after is None and whole and whole[-1].kind in CLOSING_KINDS:
            assert await reader.read() == b""
        await sending
        writer.close()
        await wait_until(lambda: case.process.server.count_connections() == 0)
        await wait_until(lambda: not TimedInstance.kinds)
        ran = [ran[0] for entry in case.instances for ran in entry.ran]
        assert set(ran) <= {f"r{number}" for number in range(len(whole))}
        # Without retries nothing runs twice.
        assert len(set(ran)) == len(ran)
        assert TimedInstance.overlaps == 0
        assert case.process.chain.buffers.reserved_bytes == 0

    run_node(check, instances=0)


async def send_in_parts(writer: asyncio.StreamWriter, data: bytes, cuts: list[int]) -> None:
    """Send bytes in parts with a pause after each."""
    offset = 0
    for cut in sorted(cuts):
        writer.write(data[offset:cut])
        offset = max(offset, cut)
        await asyncio.sleep(STEP_S)
    writer.write(data[offset:])
