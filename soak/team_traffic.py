"""Callers with keys, which pipeline some of their requests."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from standins.node_caller import exchange_pipelined, make_call

from .changes import CHANGED_KEYS, LIMITED_KEY, STEADY_KEY
from .judge import Call
from .traffic import DEADLINE_MS, Connection, Traffic

__all__ = ["CALLER_GROUPS", "CallerGroup", "TeamTraffic"]

# A request of a batch may wait for those before it until they have reached their deadlines.
ANSWER_TIMEOUT_S = 2 * DEADLINE_MS / 1000
FRESH_CHANCE = 0.1
IDEMPOTENT_CHANCE = 0.8
UNKNOWN_KEY = "key-unknown"
NO_KEY = ""
KEY_FIELD = "Authorization"
FORGED_TEAM = {"X-Amaranthbend-Tenant": "forged"}


class CallerGroup(NamedTuple):
    """Callers that behave alike.

    Parameters
    ----------
    keys : tuple of str
        Keys of which each batch of requests gets one.
    callers : int
        Number of callers.
    pause_s : float
        Mean time between two batches, in seconds.
    most : int
        Most requests of a batch.
    calm_pause_s : float
        Mean time between two batches outside a burst of the team with a quota, in seconds.
    """

    keys: tuple[str, ...]
    callers: int
    pause_s: float
    most: int
    calm_pause_s: float


CALLER_GROUPS = (
    CallerGroup((STEADY_KEY,), 4, 0.05, 5, 0.05),
    CallerGroup(CHANGED_KEYS, 4, 0.05, 3, 0.05),
    CallerGroup((UNKNOWN_KEY, NO_KEY), 1, 0.1, 2, 0.1),
    CallerGroup((LIMITED_KEY,), 5, 0.06, 1, 0.8),
)


class TeamTraffic:
    """Callers of teams; their calls are added to those of the other traffic.

    Parameters
    ----------
    traffic : Traffic
        The other traffic.
    seed : int
        Seed of the run.
    is_bursting : callable
        Returns whether callers send as often as in a burst.
    """

    def __init__(self, traffic: Traffic, seed: int, is_bursting: Callable[[], bool]) -> None:
        self._traffic = traffic
        self._seed = seed
        self._is_bursting = is_bursting
        self._batches = 0

    async def run_all(self) -> None:
        """Let all callers send until the traffic ends."""
        callers = [
            self._run(group, random.Random(f"team-{self._seed}-{group.keys[0]}-{number}"))
            for group in CALLER_GROUPS
            for number in range(group.callers)
        ]
        await asyncio.gather(*callers)

    async def _run(self, group: CallerGroup, draw: random.Random) -> None:
        connection: Connection | None = None
        while not self._traffic.has_ended:
            mean_s = group.pause_s if self._is_bursting() else group.calm_pause_s
            await asyncio.sleep(draw.uniform(0.0, 2.0 * mean_s))
            if connection is not None and draw.random() < FRESH_CHANCE:
                connection.writer.close()
                connection = None
            if connection is None:
                connection = await self._traffic.connect(draw)
            if connection is None:
                continue
            if not await self._send_batch(connection, group, draw):
                connection.writer.close()
                connection = None
        if connection is not None:
            connection.writer.close()

    async def _send_batch(
        self, connection: Connection, group: CallerGroup, draw: random.Random
    ) -> bool:
        """Send requests together; return whether the connection can be used again."""
        key = draw.choice(group.keys)
        fields = {KEY_FIELD: f"Bearer {key}"} if key else {}
        if draw.random() < 0.5:
            fields |= FORGED_TEAM
        self._batches += 1
        batch = self._batches
        sent_at = time.monotonic()
        requests = [
            (self._traffic.make_id(), draw.random() < IDEMPOTENT_CHANCE)
            for _ in range(draw.randint(1, group.most))
        ]
        heads = []
        for request_id, idempotent in requests:
            path, method = ("/safe/x", "GET") if idempotent else ("/unsafe/x", "POST")
            heads.append(make_call(path, method, request_id, DEADLINE_MS, fields))
        answers = await exchange_pipelined(
            connection.reader, connection.writer, heads, ANSWER_TIMEOUT_S
        )
        ended_at = time.monotonic()
        for (request_id, idempotent), answer in zip(requests, answers, strict=True):
            self._traffic.calls.append(
                Call(
                    request_id,
                    idempotent,
                    answer,
                    is_after_faults=False,
                    key=key,
                    node=connection.node,
                    sent_at=sent_at,
                    ended_at=ended_at,
                    batch=batch,
                )
            )
        last = answers[-1]
        return last.status != 0 and last.fields.get("connection") != "close"
