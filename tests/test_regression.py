"""What the regression runs report, with a stand-in for the bench."""

import json
import os
import platform
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from amaranthbend.platform.scores import DayResult, is_played_day
from benchmarks.regression import compare_days, find_earlier_entry, format_table

ROOT = Path(__file__).parent.parent
GOOD = DayResult("trouble-1", 0.70, 1.0)
BENCH = """#!{python}
import json, pathlib, sys
site = pathlib.Path(sys.argv[2]).stem
assert sys.argv[1] == "score" and "--quick" in sys.argv
day = json.loads(pathlib.Path(sys.argv[2]).read_text())
if day:
    print("trouble-1 is played, after 3 s")
    pathlib.Path("journal").mkdir(exist_ok=True)
    number = len(list(pathlib.Path("journal").iterdir()))
    entry = {{"days": [day]}}
    pathlib.Path(f"journal/20260101T000000-e{{number}}.json").write_text(json.dumps(entry))
    print(f"snapshot e{{number}}")
"""


@pytest.mark.parametrize(
    ("day", "problem"),
    [
        (GOOD._replace(worth=0.68), ""),
        (GOOD._replace(worth=0.66), "worth fell by 0.040"),
        (GOOD._replace(broken_rules=("TWICE 1",)), "rule broken: TWICE 1"),
        (GOOD._replace(has_passed=False), "gate not passed"),
        (GOOD._replace(fault="no request is served"), "fault: no request is served"),
        (GOOD._replace(name="new-day", worth=0.1), ""),
    ],
)
def test_each_kind_of_regression_is_found(day: DayResult, problem: str) -> None:
    """Guards against a change that lands although a day got worse or broke a rule."""
    (comparison,) = compare_days("site", [day], [GOOD], 0.03)
    assert comparison.problems == ((problem,) if problem else ())
    assert (problem or "none") in format_table([comparison])


def test_scores_of_other_machines_are_not_compared() -> None:
    """Guards against a fall that is only the speed of another kind of machine."""
    rows = [
        {"site": "a", "machine": "x86_64", "entry": "1"},
        {"site": "a", "machine": "aarch64", "entry": "2"},
        {"site": "b", "machine": "aarch64", "entry": "3"},
        {"site": "a", "machine": "aarch64", "entry": "gone"},
    ]
    lines = [json.dumps(row) for row in rows]
    found = find_earlier_entry(lines, "a", "aarch64", lambda entry: entry != "gone")
    assert found == "2"
    assert find_earlier_entry(lines, "c", "aarch64", lambda _entry: True) is None


def test_lines_of_played_days_are_counted() -> None:
    """Guards against a progress display that stands still, or counts other lines."""
    assert is_played_day("trouble-1 is played, after 48 s")
    assert is_played_day("mix --seed 44236000882 is played, after 929 s")
    assert not is_played_day("quick estimate on the standard days of kithul-gw: 0.890")


def make_day(worth: float, rules: dict[str, int] | None = None) -> dict[str, Any]:
    """Return a day as the bench records it."""
    return {
        "name": "trouble-1",
        "G": worth,
        "score": 1.0,
        "rules": rules or {},
        "gate": not rules,
        "fault": None,
    }


def run_regression(folder: Path, days: dict[str, Any]) -> subprocess.CompletedProcess[str]:
    """Run the command in a folder, with a bench that plays one given day a site."""
    (folder / "benchmarks").mkdir(exist_ok=True)
    bench = folder / "bench"
    bench.write_text(BENCH.format(python=sys.executable))
    bench.chmod(0o755)
    for site, day in days.items():
        (folder / f"{site}.toml").write_text(json.dumps(day))
    settings = {"bench": "bench", "sites": {site: f"{site}.toml" for site in days}, "jobs": 1}
    (folder / "settings.jsonc").write_text(json.dumps(settings) + "// played daily")
    return subprocess.run(
        [sys.executable, "-m", "benchmarks.regression", f"--settings={folder}/settings.jsonc"],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_runs_are_compared_with_the_last_one(tmp_path: Path) -> None:
    """Guards against a command that compares nothing, or whose exit status says nothing."""
    first = run_regression(tmp_path, {"a": make_day(0.7), "b": make_day(0.6)})
    assert first.returncode == 0, first.stderr
    second = run_regression(tmp_path, {"a": make_day(0.6), "b": make_day(0.61)})
    assert second.returncode == 1
    assert "worth fell by 0.100" in second.stdout
    third = run_regression(tmp_path, {"a": make_day(0.6), "b": make_day(0.61, {"TWICE": 2})})
    assert third.returncode == 1
    assert "rule broken: TWICE 2; gate not passed" in third.stdout
    record = (tmp_path / "benchmarks" / "regressions.jsonl").read_text().splitlines()
    assert len(record) == 6
    assert {json.loads(line)["machine"] for line in record} == {platform.machine()}


def test_site_without_a_result_fails_the_run(tmp_path: Path) -> None:
    """Guards against a green run in which the bench played nothing."""
    result = run_regression(tmp_path, {"a": None})
    assert result.returncode == 1
    assert "a: the bench has left no result" in result.stdout


def test_wrong_setting_is_named(tmp_path: Path) -> None:
    """Guards against a run with a misspelt setting."""
    file = tmp_path / "settings.jsonc"
    file.write_text('{"bench": "b", "sites": {}, "job": 3}')
    result = subprocess.run(
        [sys.executable, "-m", "benchmarks.regression", f"--settings={file}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 1
    assert "job" in result.stderr
    assert "unknown setting" in result.stderr
