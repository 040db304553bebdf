"""Command line of the soak: `python -m soak --seeds 50`."""

import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

import fire

from standins.hostile_callers import GROUPS

from .plan import make_hostile_groups, make_plan
from .runs import run_seed

FIRST_RANDOM_SEED = 1000
LAST_RANDOM_SEED = 2**31


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
        names = [fault.kind.value for fault in make_plan(seed, seconds)]
        names += [g.name for g in make_hostile_groups(seed, seconds, sorted(GROUPS))]
        kinds = " ".join(names)
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
