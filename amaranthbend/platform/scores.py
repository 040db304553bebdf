"""Results of the platform's bench: the lines that it prints, and the entries of its journal."""

import re
from typing import Any, NamedTuple

__all__ = ["DayResult", "find_entry_id", "is_played_day", "parse_days"]

PLAYED_PATTERN = re.compile(r"\S.* is played, after \d+ s")
# The bench calls the entry that a run leaves in the journal a snapshot.
ENTRY_PATTERN = re.compile(r"snapshot (\w+)")


class DayResult(NamedTuple):
    """Result of one day.

    Parameters
    ----------
    name : str
        Name of the day.
    worth, score : float
        The day's worth, and its score between the marks of the site.
    broken_rules : tuple of str
        Rules that were broken.
    has_passed : bool
        Whether the day passes the gate.
    fault : str
        Why the day does not count, empty if it counts.
    """

    name: str
    worth: float
    score: float
    broken_rules: tuple[str, ...] = ()
    has_passed: bool = True
    fault: str = ""


def is_played_day(line: str) -> bool:
    """Return whether a line of output tells that a day has been played."""
    return PLAYED_PATTERN.match(line) is not None


def find_entry_id(line: str) -> str:
    """Return the identifier of the journal entry that a line of output names, empty if none."""
    found = ENTRY_PATTERN.match(line)
    return found[1] if found else ""


def parse_days(entry: dict[str, Any]) -> list[DayResult]:
    """Return the results of the days in an entry of the journal.

    Parameters
    ----------
    entry : dict
        Entry as the bench has written it.

    Raises
    ------
    KeyError
        If a day lacks a field.
    """
    days: list[DayResult] = []
    for day in entry.get("days", []):
        days.append(
            DayResult(
                day["name"],
                # The bench calls the worth of a day G.
                float(day["G"] or 0.0),
                float(day["score"] or 0.0),
                tuple(f"{name} {count}" for name, count in sorted(day["rules"].items())),
                bool(day["gate"]),
                str(day["fault"] or ""),
            )
        )
    return days
