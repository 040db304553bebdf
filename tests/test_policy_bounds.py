"""Short, seeded form of the policy benchmarks; the bounds are those of docs/design.md, 1.4."""

import pytest

from amaranthbend.core.policy import ProbePolicy, ServicePolicy
from benchmarks.baselines import BASELINES, make_dispatcher_factory
from benchmarks.cases import (
    CASES,
    DEPLOYMENTS,
    Deployment,
    combine_verdicts,
    run_case,
    run_steady_load,
)
from benchmarks.model import Fault, Model, Scenario, Traffic

SEEDS = (0, 1)
DURATION_S = 3.0


def check_bounds(case: str, deployment: Deployment, bounds: str, seeds: tuple[int, ...]) -> None:
    """Run a case and check the bounds whose names start with a text."""
    if case.startswith("80% load"):
        heavy = case.endswith("heavy tail")
        results = [run_steady_load(case, deployment, seed, DURATION_S, heavy) for seed in seeds]
    else:
        results = [run_case(case, deployment, seed, DURATION_S) for seed in seeds]
    verdicts = combine_verdicts(verdict for _, each in results for verdict in each)
    chosen = [verdict for verdict in verdicts if verdict.bound.startswith(bounds)]
    assert chosen
    missed = [verdict for verdict in chosen if not verdict.is_met]
    assert not missed, missed


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda deployment: deployment.name)
class TestBounds:
    """One test for each target, so that a missed one does not hide another."""

    def test_queueing_at_80_percent_load(self, deployment: Deployment) -> None:
        """Guards against queues that form at some upstreams while slots are free at others."""
        check_bounds("80% load", deployment, "p99 queueing", SEEDS)

    def test_response_at_80_percent_load(self, deployment: Deployment) -> None:
        """Guards against response times far from those of a balancer that knows the true state."""
        check_bounds("80% load", deployment, "p99 response", SEEDS)

    def test_probe_budget(self, deployment: Deployment) -> None:
        """Guards against probes beyond the budget in any one-second window."""
        check_bounds("80% load", deployment, "probe", SEEDS[:1])

    def test_slow_instances(self, deployment: Deployment) -> None:
        """Guards against work that keeps going to instances that became slow."""
        check_bounds("slow instances", deployment, "p99", SEEDS)

    def test_peak(self, deployment: Deployment) -> None:
        """Guards against goodput lost at twice capacity."""
        check_bounds("peak", deployment, "goodput", SEEDS[:1])

    def test_long_work(self, deployment: Deployment) -> None:
        """Guards against short work that waits behind long work."""
        check_bounds("long work", deployment, "p99", SEEDS)


def test_same_seed_gives_same_result() -> None:
    """Guards against verdicts that change from run to run."""
    scenario = Scenario(3, (Traffic(0.8),), 0.5)

    def run() -> list[float | None]:
        factory = make_dispatcher_factory(ServicePolicy("desk", 3), ProbePolicy(), 1, 14)
        return [record.done_at for record in Model(scenario, 1, factory).run().records]

    assert run() == run()


@pytest.mark.parametrize("kind", ["mislead", "fail"])
def test_misleading_upstream_attracts_no_herd(kind: str) -> None:
    """Guards against an instance that reports no load, or fails at once, and so attracts work."""
    faults = (Fault(kind, (0,), 0.5, 3.0),)
    scenario = Scenario(6, (Traffic(0.7),), 3.0, faults=faults)
    factory = make_dispatcher_factory(ServicePolicy("desk", 6), ProbePolicy(), 1, 14)
    records = [r for r in Model(scenario, 1, factory).run().records if r.arrived_at > 1.0]
    assert sum(record.failed for record in records) <= 0.01 * len(records)
    times = sorted((r.done_at or 0.0) - r.arrived_at for r in records)
    plain = Model(scenario._replace(faults=()), 1, BASELINES["oracle"]).run().records
    healthy = sorted((r.done_at or 0.0) - r.arrived_at for r in plain if r.arrived_at > 1.0)
    assert times[int(0.99 * len(times))] <= 1.5 * healthy[int(0.99 * len(healthy))]


def test_all_cases_are_known() -> None:
    """Guards against a case that the tests above no longer name."""
    assert set(CASES) == {
        "80% load",
        "80% load, heavy tail",
        "slow instances",
        "peak",
        "long work",
    }
