"""Search of process logs for one request and for the events that may explain its outcome."""

from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok, Result

from ..adapters.logs import parse_log_line

__all__ = ["LogLine", "find_history", "load_history", "parse_log_lines"]

# An event up to this long before a request started may explain its outcome. This is longer than
# an upstream takes to depart.
EXPLANATION_WINDOW_S = 5.0
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S%z"
UPSTREAM_EVENTS = frozenset({"upstream_changed", "upstreams_removed", "upstream_rejected"})
# Events that concern all requests of a process. Not included: events of a single watch on the
# store, such as `watch_restarted`.
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
        Name of the log file.
    time_s : float
        Unix time in seconds; logs give it to the whole second.
    text : str
        The line without its newline.
    fields : dict of str to str
        Values of the fields in the line, by field name.
    """

    source: str
    time_s: float
    text: str
    fields: dict[str, str]


def parse_log_lines(source: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines of a log that contain an event and a time; skip all others."""
    log_lines: list[LogLine] = []
    for text in lines:
        fields = parse_log_line(text)
        if "event" not in fields or "time" not in fields:
            continue
        try:
            time_s = datetime.strptime(fields["time"], TIME_FORMAT).timestamp()
        except ValueError:
            # The time has another format, so the line is not from this project.
            continue
        log_lines.append(LogLine(source, time_s, text.rstrip("\n"), fields))
    return log_lines


def find_history(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines about a request and those that may explain its outcome, sorted by time.

    Parameters
    ----------
    request_id : str
        Request id, set by the caller.
    lines : iterable of LogLine
        Log lines of all processes.
    """
    lines = list(lines)
    ends = [line for line in lines if line.fields.get("id") == request_id]
    related_lines = [line for line in lines if any(_may_explain(line, end) for end in ends)]
    return sorted([*ends, *related_lines], key=lambda line: line.time_s)


def load_history(request_id: str, files: Iterable[Path]) -> Result[list[LogLine], str]:
    """Return the history of a request from log files.

    Parameters
    ----------
    request_id : str
        Request id, set by the caller.
    files : iterable of Path
        Log files, one of each process.

    Returns
    -------
    Result of list of LogLine, str
        The lines sorted by time, or a message for the operator if a file cannot be read or no
        line has the request id.
    """
    lines: list[LogLine] = []
    for file in files:
        try:
            lines += parse_log_lines(file.name, file.read_text(errors="replace").splitlines())
        except OSError as error:
            return Err(f"{file}: cannot read the log file: {error.strerror}; check the path")
    log_lines = find_history(request_id, lines)
    if not log_lines:
        return Err(
            f"no line with id {request_id!r} in the given log files; search the logs of the other "
            "processes too; a process also drops log lines while its output is blocked"
        )
    return Ok(log_lines)


def _may_explain(line: LogLine, end: LogLine) -> bool:
    """Return whether a line may explain the outcome of a request.

    Such a line concerns an upstream of the request or the process that handled it, and is from
    the time of the request or shortly before.

    Parameters
    ----------
    line : LogLine
        Any line.
    end : LogLine
        Line that a process logs at the end of the request.
    """
    duration_s = int(end.fields.get("ms") or 0) / 1000
    # Times in the log are whole seconds, so the window ends 1 s after the request.
    if not end.time_s - duration_s - EXPLANATION_WINDOW_S <= line.time_s <= end.time_s + 1.0:
        return False
    event = line.fields["event"]
    if event in UPSTREAM_EVENTS:
        names = f"{line.fields.get('upstream', '')},{line.fields.get('names', '')}".split(",")
        return bool(_list_attempted_upstreams(end) & set(names))
    return event in PROCESS_EVENTS and line.source == end.source


def _list_attempted_upstreams(end: LogLine) -> set[str]:
    """Return the upstreams in the field `attempts`, whose parts are `[refused:]UPSTREAM/...`."""
    parts = end.fields.get("attempts", "").split(",")
    return {part.removeprefix("refused:").partition("/")[0] for part in parts if part}
