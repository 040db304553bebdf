"""Reads behind a large download that its instance breaks off are passed on and get no answer."""

import asyncio
from pathlib import Path

from review.third import Case, Node, has_trouble, make_request, read_answer, run_case
from standins.instance import Instance

CONNECTIONS = 100
BROKEN_OF_100 = 5
READS = 2
DOWNLOAD_BYTES = 1_500_000
# A download takes so long, so that the reads arrive and run meanwhile.
SEND_S = 0.3
CLIENTS = 4
MAX_LOST = 3
CONFIGURATION = {
    "version": 7,
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
    "listeners": [
        {
            "host": "shop.example",
            "rules": [
                {
                    "name": f"route-{service}",
                    "kind": kind,
                    "latencyGoal": "400ms",
                    "priority": 1,
                    "match": {"pathPrefix": f"/{service}/"},
                    "action": {"service": service, "timeout": "4s", "attempts": 2},
                }
                for service, kind in (("desk", "safe"), ("shelf", "download"))
            ],
        }
    ],
    "clusters": [
        {"name": service, "healthCheckPath": "/health", "maxConnections": 220}
        for service in ("desk", "shelf")
    ],
}


class Shelf(Instance):
    """An instance that sends downloads with a length, and breaks some of them off."""

    broken: frozenset[str] = frozenset()

    def _finish(
        self,
        writer: asyncio.StreamWriter,
        fault: str,  # noqa: ARG002
        request_id: str,
        fields: dict[str, str],
    ) -> bool:
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"HTTP/1.1 200 OK\r\n{lines}Content-Length: {DOWNLOAD_BYTES}\r\n\r\n"
        writer.write(head.encode("latin1"))
        asyncio.ensure_future(self._send_body(writer, request_id))
        return True

    async def _send_body(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        pieces = 30
        for number in range(pieces):
            if number == pieces // 2 and request_id in self.broken:
                writer.transport.abort()
                return
            writer.write(b"d" * (DOWNLOAD_BYTES // pieces))
            await asyncio.sleep(SEND_S / pieces)


async def use_connection(node: Node, number: int) -> list[tuple[str, int]]:
    """Get a small answer, then send a download and two reads; return the answers to the reads."""
    reader, writer = await node.connect()
    writer.write(make_request("/desk/a", f"first-{number}"))
    first = await read_answer(reader, 4.0)
    calls = make_request("/shelf/a", f"download-{number}", deadline_ms=4000)
    names = [f"read-{number}-{read}" for read in range(READS)]
    for name in names:
        calls += make_request("/desk/a", name, deadline_ms=4000)
    writer.write(calls)
    answers: list[tuple[str, int]] = []
    is_open = not first.closes and not (await read_answer(reader, 6.0)).closes
    for name in names:
        status = 0
        if is_open:
            answer = await read_answer(reader, 6.0)
            status, is_open = answer.status, not answer.closes
        answers.append((name, status))
    writer.close()
    return answers


async def check(case: Case) -> bool:
    """Return whether the reads that were passed on are answered."""
    case.start_store()
    case.configure(CONFIGURATION)
    desks = [await case.add_instance(Instance(f"i-desk-{n}", "desk", "tartu-a")) for n in range(4)]
    shelves = [await case.add_instance(Shelf(f"i-shelf-{n}", "shelf", "tartu-a")) for n in range(4)]
    if has_trouble():
        broken = frozenset(
            f"download-{n}" for n in range(0, CONNECTIONS, CONNECTIONS // BROKEN_OF_100)
        )
        for shelf in shelves:
            shelf.broken = broken
    for instance in (*desks, *shelves):
        instance.slots = 6
    node = await case.add_node()
    await case.wait_ready()
    await asyncio.sleep(4.0)
    numbers = iter(range(CONNECTIONS))
    answers: list[tuple[str, int]] = []

    async def use_connections() -> None:
        for number in numbers:
            answers.extend(await use_connection(node, number))

    await asyncio.gather(*(use_connections() for _ in range(CLIENTS)))
    ran = {name for desk in desks for name, _deadline in desk.ran}
    lost = [name for name, status in answers if status == 0 and name in ran]
    case.note(f"{len(answers)} reads behind downloads: {len(lost)} were passed on and not answered")
    for name in lost:
        case.note(f"  {name} ran at an instance of desk, and its connection was closed")
    return len(lost) <= MAX_LOST


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, check)
