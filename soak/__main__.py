"""Command line of the soak: `python -m soak --seeds 50`."""

import asyncio
import itertools
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import fire

from standins.node_caller import Answer, exchange
from standins.node_program import NodeProgram

from .judge import Call, find_violations
from .plan import make_plan
from .site import Site

__all__ = ["run_seed"]

CALLERS = 12
PAUSE_S = 0.02
DEADLINE_MS = 1500
# Traffic after the last fault, of which the first part is for recovery.
RECOVERY_S = 3.5
CALM_S = 1.5
# Chance that a caller opens another connection before its next request.
FRESH_CHANCE = 0.2
FIRST_RANDOM_SEED = 1000
LAST_RANDOM_SEED = 2**31


class Traffic:
    """Callers that keep their connections open until a node ends them."""

    def __init__(self, nodes: list[NodeProgram], seed: int) -> None:
        self.calls: list[Call] = []
        self.is_after_faults = False
        self.has_ended = False
        self._nodes = nodes
        self._seed = seed
        self._numbers = itertools.count()

    async def run(self, caller: int) -> None:
        """Send requests one after the other until the traffic ends."""
        draw = random.Random(self._seed * CALLERS + caller)
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self.has_ended:
            await asyncio.sleep(draw.uniform(0.0, 2.0 * PAUSE_S))
            if connection is None or draw.random() < FRESH_CHANCE:
                if connection is not None:
                    connection[1].close()
                connection = await self._connect(draw)
                if connection is None:
                    continue
            if not await self._call(connection, draw.random() < 0.5):
                connection[1].close()
                connection = None
        if connection is not None:
            connection[1].close()

    async def _connect(
        self, draw: random.Random
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        try:
            return await asyncio.wait_for(draw.choice(self._nodes).connect(), 1.0)
        except (OSError, TimeoutError):
            return None

    async def _call(
        self, connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], idempotent: bool
    ) -> bool:
        """Send one request, and return whether the connection can be used again."""
        request_id = f"s{self._seed}-{next(self._numbers)}"
        is_after_faults = self.is_after_faults
        path, method = ("/safe/x", "GET") if idempotent else ("/unsafe/x", "POST")
        try:
            answer = await asyncio.wait_for(
                exchange(*connection, path, method, request_id, DEADLINE_MS),
                DEADLINE_MS / 1000 + 0.5,
            )
        except (OSError, TimeoutError):
            answer = Answer(0, {}, b"")
        self.calls.append(Call(request_id, idempotent, answer, is_after_faults))
        return answer.status != 0 and answer.fields.get("connection") != "close"


async def run_seed(seed: int, length_s: float, folder: Path) -> tuple[list[str], int]:
    """Play the faults of a seed; return the broken promises and the number of calls."""
    site = Site(folder)
    traffic = Traffic(site.nodes, seed)
    try:
        await site.start()
        callers = [asyncio.ensure_future(traffic.run(number)) for number in range(CALLERS)]
        started_at = time.monotonic()
        strikes = []
        for fault in make_plan(seed, length_s):
            await asyncio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
            strikes.append(asyncio.ensure_future(site.strike(fault)))
        await asyncio.gather(*strikes)
        for node in site.nodes:
            await node.wait_ready()
        await asyncio.sleep(RECOVERY_S)
        traffic.is_after_faults = True
        await asyncio.sleep(CALM_S)
        traffic.has_ended = True
        await asyncio.gather(*callers)
        runs = [request_id for instance in site.instances for request_id, _ in instance.ran]
        return find_violations(traffic.calls, runs), len(traffic.calls)
    finally:
        await site.stop()


def run(seeds: int = 5, first: int = 0, seconds: float = 6.0, fresh: bool = False) -> None:
    """Run seeds one after the other; exit with 1 if one broke a promise.

    Parameters
    ----------
    seeds : int
        How many seeds.
    first : int
        The first one; the others follow it.
    seconds : float
        Time within which faults begin, for each seed.
    fresh : bool
        Take random seeds in place of those.
    """
    # Ends the nodes too when the soak itself is stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for number in range(first, first + seeds):
        seed = random.randrange(FIRST_RANDOM_SEED, LAST_RANDOM_SEED) if fresh else number
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, calls = asyncio.run(run_seed(seed, seconds, folder))
        kinds = " ".join(fault.kind for fault in make_plan(seed, seconds))
        verdict = "broken" if violations else "kept"
        print(f"seed {seed}: {verdict}, {calls} calls, {kinds}", flush=True)
        for violation in violations[:10]:
            print(f"  {violation}")
        if violations:
            print(f"  logs: {folder}; again: python -m soak --seeds 1 --first {seed}")
        failed += bool(violations)
    print(f"{seeds} seeds, {failed} with a broken promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(run)
