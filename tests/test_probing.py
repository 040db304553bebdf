import random

import pytest

from amaranthbend.core.actions import Member
from amaranthbend.core.policy import ProbePolicy
from amaranthbend.core.probing import ProbePlanner, divide_budget
from amaranthbend.core.routing import UpstreamLoad

BUDGET = ProbePolicy(probes_per_s_per_upstream=1000.0, probes_per_s=20.0, bytes_per_s=1e9)
STEP_S = 0.01


def make_loads(service: str) -> list[UpstreamLoad]:
    """Return the load records of 40 upstreams."""
    return [
        UpstreamLoad(
            Member(f"{service}-{n}", "127.0.0.1:1", "huye", 1), is_remote=False, affinity=0
        )
        for n in range(40)
    ]


def run_planner(planner: ProbePlanner, start: float, end: float, service: str) -> list[float]:
    """Return the times of the probes that a planner sends."""
    loads = make_loads(service)
    steps = int((end - start) / STEP_S)
    times = [start + number * STEP_S for number in range(steps)]
    return [now for now in times if planner.plan(loads, now) is not None]


def count_max_in_window(times: list[float]) -> int:
    """Return the largest number of probes in a window of one second, both ends included."""
    return max(sum(start <= time <= start + 1.0 for time in times) for start in times)


@pytest.mark.parametrize("restarts", [1, 5])
def test_restarted_planners_share_one_budget(restarts: int) -> None:
    """Guards against a restarted process that spends the budget of the last second again."""
    times: list[float] = []
    start = 0.0
    rng = random.Random(restarts)
    for _ in range(restarts + 1):
        planner = ProbePlanner(BUDGET)
        planner.set_share(1.0, start)
        end = start + rng.uniform(1.5, 3.0)
        times += run_planner(planner, start, end, "adopt-desk")
        start = end
    assert 0 < count_max_in_window(times) <= BUDGET.probes_per_s


def test_services_share_one_budget() -> None:
    """Guards against each service spending the whole budget of its process."""
    parts = divide_budget(BUDGET, 2)
    times: list[float] = []
    for service in ("adopt-desk", "archive-shelf"):
        planner = ProbePlanner(parts)
        planner.set_share(1.0, 0.0)
        times += run_planner(planner, 0.0, 5.0, service)
    assert 0 < count_max_in_window(times) <= BUDGET.probes_per_s


def test_lower_budget_counts_probes_already_sent() -> None:
    """Guards against a new budget that ignores the probes of the last second."""
    planner = ProbePlanner(BUDGET)
    planner.set_share(1.0, 0.0)
    run_planner(planner, 0.0, 3.0, "adopt-desk")
    lower = BUDGET._replace(probes_per_s=5.0)
    planner.set_policy(lower, 3.0)
    times = run_planner(planner, 3.0, 8.0, "adopt-desk")
    assert times[0] > 4.0
    assert count_max_in_window(times) <= lower.probes_per_s
