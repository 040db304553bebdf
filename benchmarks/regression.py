"""Plays quick scores of several sites, and compares them with earlier ones of the same machine.

`python -m benchmarks.regression --settings benchmarks/regression.jsonc` scores the sites one after
the other with the bench of the platform, shows the progress, prints a table and exits with 1 if a
rule was broken, a gate was not passed, or a day has fallen by more than the settings allow.

Each run adds a line for each site to `benchmarks/regressions.jsonl`: scores of different kinds of
machines cannot be compared, and the journal of the bench does not tell them apart.
"""

import datetime
import json
import platform
import subprocess
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import fire
from tqdm import tqdm

from amaranthbend.core.errors import SettingsError
from amaranthbend.platform.scores import DayResult, find_entry_id, is_played_day, parse_days
from amaranthbend.settings.process import load_process_settings

__all__ = [
    "DayComparison",
    "RegressionSettings",
    "compare_days",
    "find_earlier_entry",
    "format_table",
]

DEFAULT_SETTINGS = "benchmarks/regression.jsonc"
RECORD = Path("benchmarks/regressions.jsonl")
JOURNAL = Path("journal")
# Days of a quick score; only the progress display depends on their number.
QUICK_DAYS = 3


class RegressionSettings(NamedTuple):
    """Settings of a regression run.

    Parameters
    ----------
    bench : str
        Path of the bench, relative to the settings file.
    sites : dict of str to str
        Site files by name, relative to the settings file, in the order in which they are played.
    jobs : int
        Days that are played at the same time.
    max_fall : float
        Largest fall of a day's worth that counts as noise.
    """

    bench: str
    sites: dict[str, str]
    jobs: int = 3
    max_fall: float = 0.03


class DayComparison(NamedTuple):
    """A day, the earlier result of the same day if there is one, and what is wrong with it."""

    site: str
    day: DayResult
    before: DayResult | None
    problems: tuple[str, ...]


def compare_days(
    site: str, days: Iterable[DayResult], before: Iterable[DayResult], max_fall: float
) -> list[DayComparison]:
    """Compare the days of a site with earlier ones of the same names.

    Parameters
    ----------
    site : str
        Name of the site.
    days, before : iterable of DayResult
        Results of this run and of the earlier one.
    max_fall : float
        Largest fall of the worth that counts as noise.
    """
    earlier = {day.name: day for day in before}
    comparisons: list[DayComparison] = []
    for day in days:
        known = earlier.get(day.name)
        problems = [f"rule broken: {rule}" for rule in day.broken_rules]
        if day.fault:
            problems.append(f"fault: {day.fault}")
        if not day.has_passed:
            problems.append("gate not passed")
        if known is not None and day.worth < known.worth - max_fall:
            problems.append(f"worth fell by {known.worth - day.worth:.3f}")
        comparisons.append(DayComparison(site, day, known, tuple(problems)))
    return comparisons


def find_earlier_entry(
    record_lines: Iterable[str], site: str, machine: str, has_entry: Callable[[str], bool]
) -> str | None:
    """Return the newest recorded entry of a site and a kind of machine that the journal still has.

    Parameters
    ----------
    record_lines : iterable of str
        Lines of the record, oldest first.
    site, machine : str
        Name of the site, and kind of the machine.
    has_entry : callable
        Returns whether the journal has an entry.
    """
    found: str | None = None
    for line in record_lines:
        row = json.loads(line)
        if row["site"] == site and row["machine"] == machine and has_entry(row["entry"]):
            found = row["entry"]
    return found


def format_table(comparisons: Sequence[DayComparison]) -> str:
    """Return a table of all days, one line each."""
    lines = [f"{'site':26} {'day':12} {'worth':>6} {'before':>6} {'score':>6}  problems"]
    for site, day, before, problems in comparisons:
        earlier = "-" if before is None else f"{before.worth:.3f}"
        verdict = "; ".join(problems) or "none"
        lines.append(
            f"{site:26} {day.name:12} {day.worth:6.3f} {earlier:>6} {day.score:6.2f}  {verdict}"
        )
    return "\n".join(lines)


def _read_entry(entry_id: str) -> dict[str, Any] | None:
    for path in JOURNAL.glob(f"*-{entry_id}.json"):
        entry: dict[str, Any] = json.loads(path.read_text())
        return entry
    return None


def _score_site(command: list[str], record_day: Callable[[], object]) -> str:
    """Run the bench, and return the identifier of its journal entry, empty without one."""
    entry_id = ""
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    ) as bench:
        assert bench.stdout is not None
        for line in bench.stdout:
            if is_played_day(line):
                record_day()
            entry_id = find_entry_id(line) or entry_id
    return entry_id


def run(settings: str = DEFAULT_SETTINGS, why: str = "regression run") -> None:
    """Score the sites, print the comparison, and exit with 1 if something is wrong.

    Parameters
    ----------
    settings : str
        Settings file, JSON with comments.
    why : str
        Reason of the run, for the journal.
    """
    try:
        loaded = load_process_settings(settings, RegressionSettings)
    except SettingsError as error:
        sys.exit(str(error))
    folder = Path(settings).parent
    machine = platform.machine()
    record_lines = RECORD.read_text().splitlines() if RECORD.exists() else []
    comparisons: list[DayComparison] = []
    unplayed: list[str] = []
    with tqdm(total=QUICK_DAYS * len(loaded.sites), unit="day") as progress:
        for number, (site, file) in enumerate(loaded.sites.items(), 1):
            progress.set_description(site)
            command = [str(folder / loaded.bench), "score", str(folder / file), "--quick"]
            command += ["--jobs", str(loaded.jobs), "--why", why]
            entry_id = _score_site(command, progress.update)
            # The bench does not report the last day of a site.
            progress.update(QUICK_DAYS * number - progress.n)
            entry = _read_entry(entry_id) if entry_id else None
            if entry is None or not entry.get("days"):
                unplayed.append(site)
                continue
            earlier_id = find_earlier_entry(
                record_lines, site, machine, lambda known: _read_entry(known) is not None
            )
            earlier = _read_entry(earlier_id) if earlier_id else None
            before = parse_days(earlier) if earlier else []
            comparisons += compare_days(site, parse_days(entry), before, loaded.max_fall)
            row = {
                "site": site,
                "machine": machine,
                "entry": entry_id,
                "at": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
            }
            with RECORD.open("a") as record:
                record.write(json.dumps(row) + "\n")
    print(format_table(comparisons))
    for site in unplayed:
        print(f"{site}: the bench has left no result; run it by itself to see why")
    if unplayed or any(comparison.problems for comparison in comparisons):
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run)
