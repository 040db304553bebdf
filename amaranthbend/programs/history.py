"""What several processes logged about one request, and about what it met."""

from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok, Result

from ..adapters.logs import parse_line

__all__ = ["LogLine", "find_history", "load_history", "parse_log_lines"]

# Beliefs that changed this long before a request, or during it, can explain its end: longer
# than an upstream takes to leave.
EXPLANATION_WINDOW_S = 5.0
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S%z"
UPSTREAM_EVENTS = frozenset({"upstream_changed", "upstreams_removed", "upstream_rejected"})
# Events of a process that concern all its requests; those on the store's watch are not.
PROCESS_EVENTS = frozenset(
    {
        "configuration_in_force",
        "configuration_rejected",
        "node_started",
        "node_accepting",
        "node_draining",
        "node_leaving",
        "node_stopped",
        "settings_reloaded",
        "store_call_failed",
        "store_reached",
    }
)


class LogLine(NamedTuple):
    """A line of a process's log.

    Parameters
    ----------
    source : str
        Name of the file.
    unix_time_s : float
        Unix time in seconds.
    text : str
        The line.
    fields : dict of str to str
        Its fields.
    """

    source: str
    unix_time_s: float
    text: str
    fields: dict[str, str]


def parse_log_lines(source: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines of a log that tell an event and its time."""
    log_lines: list[LogLine] = []
    for text in lines:
        fields = parse_line(text)
        if "event" not in fields or "time" not in fields:
            continue
        try:
            unix_time_s = datetime.strptime(fields["time"], TIME_FORMAT).timestamp()
        except ValueError:
            # Not written by this project; the line tells nothing of when it was.
            continue
        log_lines.append(LogLine(source, unix_time_s, text.rstrip("\n"), fields))
    return log_lines


def find_history(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines on a request, and those that may explain it, in the order of time.

    Parameters
    ----------
    request_id : str
        The caller's id of the request.
    lines : iterable of LogLine
        Lines of all processes.
    """
    lines = list(lines)
    ends = [line for line in lines if line.fields.get("id") == request_id]
    related_lines = [line for line in lines if any(_may_explain(line, end) for end in ends)]
    return sorted([*ends, *related_lines], key=lambda line: line.unix_time_s)


def load_history(request_id: str, files: Iterable[Path]) -> Result[list[LogLine], str]:
    """Return the history of a request from log files, or what is wrong with them."""
    lines: list[LogLine] = []
    for file in files:
        try:
            lines += parse_log_lines(file.name, file.read_text(errors="replace").splitlines())
        except OSError as error:
            return Err(f"{file}: {error.strerror}; give the paths of log files")
    log_lines = find_history(request_id, lines)
    if not log_lines:
        return Err(f"no line with id {request_id!r}; it may have been dropped, or is in other logs")
    return Ok(log_lines)


def _may_explain(line: LogLine, end: LogLine) -> bool:
    """Return whether a line tells of what a request met, shortly before its end or during it."""
    duration_s = int(end.fields.get("ms") or 0) / 1000
    if (
        not end.unix_time_s - duration_s - EXPLANATION_WINDOW_S
        <= line.unix_time_s
        <= end.unix_time_s + 1.0
    ):
        return False
    event = line.fields["event"]
    if event in UPSTREAM_EVENTS:
        named_upstreams = f"{line.fields.get('upstream', '')},{line.fields.get('names', '')}".split(
            ","
        )
        return bool(_list_attempted_upstreams(end) & set(named_upstreams))
    return event in PROCESS_EVENTS and line.source == end.source


def _list_attempted_upstreams(end: LogLine) -> set[str]:
    """Return the upstreams that a request met, from the parts `UPSTREAM/...` of its attempts."""
    parts = end.fields.get("attempts", "").split(",")
    return {part.removeprefix("refused:").partition("/")[0] for part in parts if part}
