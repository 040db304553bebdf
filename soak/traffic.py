"""Callers of the nodes under soak."""

import asyncio
import itertools
import random
import time
from typing import NamedTuple

from standins.node_caller import Answer, make_call, read_answer
from standins.node_program import NodeProgram

from .judge import Call

__all__ = ["CALLERS", "DEADLINE_MS", "Connection", "Traffic"]

CALLERS = 12
PAUSE_S = 0.02
DEADLINE_MS = 1500
# Chance that a caller opens another connection before its next request.
FRESH_CHANCE = 0.2


class Connection(NamedTuple):
    """A connection to a node.

    Parameters
    ----------
    node : str
        Name of the node.
    reader : asyncio.StreamReader
        Its responses.
    writer : asyncio.StreamWriter
        Its requests.
    """

    node: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Traffic:
    """Callers that keep their connections open until a node ends them.

    Parameters
    ----------
    nodes : list of NodeProgram
        The nodes.
    seed : int
        Seed of the run.
    key : str
        Key of their team; empty for none.
    """

    def __init__(self, nodes: list[NodeProgram], seed: int, key: str = "") -> None:
        self.calls: list[Call] = []
        self.is_after_faults = False
        self.has_ended = False
        self._nodes = nodes
        self._seed = seed
        self._key = key
        self._fields = {"Authorization": f"Bearer {key}"} if key else {}
        self._numbers = itertools.count()

    async def run(self, caller: int) -> None:
        """Send requests one after the other until the traffic ends."""
        draw = random.Random(self._seed * CALLERS + caller)
        connection: Connection | None = None
        while not self.has_ended:
            await asyncio.sleep(draw.uniform(0.0, 2.0 * PAUSE_S))
            if connection is None or draw.random() < FRESH_CHANCE:
                if connection is not None:
                    connection.writer.close()
                connection = await self.connect(draw)
                if connection is None:
                    continue
            if not await self._call(connection, draw.random() < 0.5):
                connection.writer.close()
                connection = None
        if connection is not None:
            connection.writer.close()

    async def connect(self, draw: random.Random) -> Connection | None:
        """Return a connection to some node, None if there is none in time."""
        node = draw.choice(self._nodes)
        try:
            return Connection(node.name, *await asyncio.wait_for(node.connect(), 1.0))
        except (OSError, TimeoutError):
            return None

    def make_id(self) -> str:
        """Return the id of another request."""
        return f"s{self._seed}-{next(self._numbers)}"

    async def _call(self, connection: Connection, idempotent: bool) -> bool:
        """Send one request, and return whether the connection can be used again."""
        request_id = self.make_id()
        is_after_faults = self.is_after_faults
        path, method = ("/safe/x", "GET") if idempotent else ("/unsafe/x", "POST")
        sent_at = time.monotonic()
        connection.writer.write(make_call(path, method, request_id, DEADLINE_MS, self._fields))
        try:
            answer = await asyncio.wait_for(
                read_answer(connection.reader), DEADLINE_MS / 1000 + 0.5
            )
        except (OSError, TimeoutError):
            answer = Answer(0, {}, b"")
        self.calls.append(
            Call(
                request_id,
                idempotent,
                answer,
                is_after_faults,
                key=self._key,
                node=connection.node,
                sent_at=sent_at,
                ended_at=time.monotonic(),
            )
        )
        return answer.status != 0 and answer.fields.get("connection") != "close"
