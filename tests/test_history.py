"""Tests of the search of process logs for a request and the events that may explain it."""

import subprocess
import sys
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.adapters.logs import format_event, parse_log_line
from amaranthbend.programs.history import find_history, parse_log_lines

TIME_PREFIX = "time=2026-12-04T10:00:0"
ATTEMPTS = "i-7/1of6/1x/3ms:failed:upstream_failed:105ms,i-9/0of6/1x/0ms:failed:timeout:700ms"
HOST_1 = f"""\
{TIME_PREFIX}0+0000 level=INFO event=upstream_changed upstream=i-7 state=draining
{TIME_PREFIX}7+0000 level=INFO event=upstream_changed upstream=i-8 state=draining
{TIME_PREFIX}8+0000 level=INFO event=upstreams_removed names=i-1,i-7 kept=""
{TIME_PREFIX}9+0000 level=INFO event=request id=r1 outcome=unknown ms=900 attempts={ATTEMPTS}
{TIME_PREFIX}9+0000 level=INFO event=request id=r2 outcome=answered ms=100 attempts=i-7/1of6/1x/3ms
not a log line
"""
HOST_2 = """\
time=2026-12-04T10:00:08+0000 level=INFO event=node_draining connections=3
time=2026-12-04T10:00:08+0000 level=INFO event=upstream_changed upstream=i-9 state=serving
"""


def find_events(request_id: str) -> list[str]:
    """Return source and event of each line in the history of a request."""
    lines = parse_log_lines("host-1", HOST_1.splitlines()) + parse_log_lines(
        "host-2", HOST_2.splitlines()
    )
    found = find_history(request_id, lines)
    return [f"{line.source} {line.fields['event']}" for line in found]


def test_history_shows_the_request_and_related_events() -> None:
    """Guards against missing events of the request's upstreams and process, and extra ones."""
    assert find_events("r1") == [
        "host-1 upstreams_removed",
        "host-2 upstream_changed",
        "host-1 request",
    ]


def test_unknown_request_shows_nothing() -> None:
    """Guards against showing lines of other requests."""
    assert find_events("r3") == []


@given(st.dictionaries(st.from_regex(r"[a-z]{2,9}", fullmatch=True), st.text()))
def test_fields_are_read_as_written(fields: dict[str, str]) -> None:
    """Guards against a value with spaces or quotes that is parsed as several fields."""
    fields.pop("event", None)
    assert parse_log_line(format_event("x", **fields)) == {"event": "x", **fields}


def test_command_prints_the_lines(tmp_path: Path) -> None:
    """Guards against a request id such as 12e4 that the command line converts to a number."""
    file = tmp_path / "host-1.log"
    file.write_text(HOST_1.replace("id=r1", "id=12e4"))
    command = [sys.executable, "-m", "amaranthbend.programs.operator", "history"]
    done = subprocess.run(
        [*command, "12e4", str(file)], capture_output=True, text=True, check=False, timeout=60
    )
    assert done.returncode == 0, done.stderr
    assert "host-1.log: time=2026-12-04T10:00:09+0000" in done.stdout
    done = subprocess.run(
        [*command, "13e4", str(file)], capture_output=True, text=True, check=False, timeout=60
    )
    assert done.returncode == 1
    assert "no line with id '13e4'" in done.stderr
