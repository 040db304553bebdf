"""Command line of the soak: `python -m soak --seeds 50`."""

import asyncio
import itertools
import random
import signal
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import fire

from standins.hostile_callers import GROUPS

from .plan import has_changes, make_changes, make_hostile_groups, make_plan, make_returns
from .runs import run_seed

FIRST_RANDOM_SEED = 1000
LAST_RANDOM_SEED = 2**31


def choose_seeds(first: int, fresh: bool, teams: bool) -> Iterator[int]:
    """Yield the seeds from the first one on, or random ones; only those with teams if asked."""
    for number in itertools.count(first):
        seed = random.randrange(FIRST_RANDOM_SEED, LAST_RANDOM_SEED) if fresh else number
        if has_changes(seed) or not teams:
            yield seed


def run(
    seeds: int = 5,
    first: int = 0,
    seconds: float = 6.0,
    fresh: bool = False,
    teams: bool = False,
    returns: bool = False,
) -> None:
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
    teams : bool
        Take only seeds with teams and changes.
    returns : bool
        Let the store also come back from older copies of itself.
    """
    # Ends the nodes too when the soak itself is stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in itertools.islice(choose_seeds(first, fresh, teams), seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, calls = asyncio.run(run_seed(seed, seconds, folder, has_returns=returns))
        names = [fault.kind.value for fault in make_plan(seed, seconds)]
        names += [change.kind.value for change in make_changes(seed)]
        if returns:
            names += [f"return:{each.age_s:.1f}s" for each in make_returns(seed, seconds)]
        names += [g.name for g in make_hostile_groups(seed, seconds, sorted(GROUPS))]
        kinds = " ".join(names)
        verdict = "broken" if violations else "kept"
        print(f"seed {seed}: {verdict}, {calls} calls, {kinds}", flush=True)
        for violation in violations[:10]:
            print(f"  {violation}")
        if violations:
            again = f"python -m soak --seeds 1 --first {seed} --seconds {seconds}"
            again += " --returns" if returns else ""
            print(f"  logs: {folder}; again: {again}")
        failed += bool(violations)
    print(f"{seeds} seeds, {failed} with a broken promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(run)
