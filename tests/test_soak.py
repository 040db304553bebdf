"""The soak itself: its plan, its judge, and short seeded runs of it."""

import asyncio
from pathlib import Path

import pytest

from soak.judge import Call, find_violations
from soak.plan import FaultKind, make_hostile_groups, make_plan
from soak.runs import run_seed
from standins.hostile_callers import GROUPS
from standins.node_caller import Answer

# Seed and seconds of a run. In seed 5 with 6 s callers keep connections on which a response
# without end is cut off, and took its bytes for the next response. In seed 43 it ends with the
# connection, and the callers took it for an empty one.
RUNS = ((0, 3.0), (1, 3.0), (5, 6.0), (43, 6.0))
OWN = {"x-amaranthbend-response-signature": "i-0.r1"}


def make_call(status: int, body: bytes = b"i-0 r1", *, idempotent: bool = False) -> Call:
    """Return a call with an answer that instance i-0 signed for r1."""
    return Call("r1", idempotent, Answer(status, OWN, body), False)


def test_plan_is_repeatable_and_uses_all_faults() -> None:
    """Guards against a failed seed that cannot be played again, and faults never played."""
    assert make_plan(7, 6.0) == make_plan(7, 6.0)
    kinds = {fault.kind for seed in range(50) for fault in make_plan(seed, 6.0)}
    assert kinds == set(FaultKind)


def test_hostile_groups_leave_the_faults_of_a_seed_as_they_are() -> None:
    """Guards against a failed seed that plays other faults or callers when it is run again."""
    groups = [make_hostile_groups(seed, 6.0, sorted(GROUPS)) for seed in range(200)]
    assert groups == [make_hostile_groups(seed, 6.0, sorted(GROUPS)) for seed in range(200)]
    assert {group.name for played in groups for group in played} == set(GROUPS)
    assert sum(map(bool, groups)) == 50


@pytest.mark.parametrize(
    ("call", "runs", "problem"),
    [
        (make_call(200), ["r1", "r1"], "ran 2 times"),
        (make_call(503), ["r1"], "refused with 503, but ran"),
        (make_call(404), [], "404"),
        (make_call(200, b"i-0 r2"), ["r1"], "answer of another request"),
        (make_call(200), [], "never ran"),
        (make_call(200), ["r1", "x"], "no caller sent it"),
        (make_call(502)._replace(is_after_faults=True), ["r1"], "0 of 1 were answered"),
    ],
)
def test_judge_finds_each_broken_promise(call: Call, runs: list[str], problem: str) -> None:
    """Guards against a soak that cannot fail."""
    violations = find_violations([call], runs)
    assert len(violations) == 1
    assert problem in violations[0]


def test_judge_allows_what_is_promised() -> None:
    """Guards against blaming a request that was refused, repeated or cut within the rules."""
    calls = [
        make_call(200),
        Call("r2", False, Answer(503, {}, b""), False),
        Call("r3", False, Answer(0, {}, b""), False),
        Call("r4", True, Answer(503, {}, b""), False),
    ]
    assert find_violations(calls, ["r1", "r3", "r4", "r4"]) == []


@pytest.mark.parametrize(("seed", "length_s"), RUNS)
def test_promises_hold_under_faults(tmp_path: Path, seed: int, length_s: float) -> None:
    """Guards against requests that run twice, mix or stay refused after overlapping faults."""
    violations, calls = asyncio.run(run_seed(seed, length_s, tmp_path))
    assert violations == []
    assert calls > 100


# Seed and seconds of runs in which the store comes back from copies, with and without teams.
RETURN_RUNS = ((1, 4.0), (2, 6.0), (3, 4.0))


@pytest.mark.parametrize(("seed", "length_s"), RETURN_RUNS)
def test_promises_hold_when_the_store_returns_from_copies(
    tmp_path: Path, seed: int, length_s: float
) -> None:
    """Guards against withdrawn keys, departed instances and evacuations that a copy brings back."""
    violations, calls = asyncio.run(run_seed(seed, length_s, tmp_path, has_returns=True))
    assert violations == []
    assert calls > 100
    logs = "".join(file.read_text() for file in tmp_path.glob("*.log"))
    assert "event=store_returned" in logs
