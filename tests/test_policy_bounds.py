"""Short, seeded form of the policy benchmarks; the bounds are those of docs/design.md, 1.4."""

from functools import cache

import pytest

from amaranthbend.core.policy import ProbePolicy, ServicePolicy
from benchmarks.baselines import BASELINES, make_dispatcher_factory
from benchmarks.cases import (
    DEPLOYMENTS,
    Deployment,
    Verdict,
    combine_verdicts,
    run_case,
    run_steady_load,
)
from benchmarks.model import Model
from benchmarks.scenario import Fault, Scenario, Traffic

# Virtual seconds of each case; the slow case needs time after its first two, and the peak case
# sets its own duration.
DURATIONS_S = {"80% load": 3.0, "slow instances": 4.0, "peak": 0.0, "long work": 2.5}
SEEDS = {"80% load": (0, 1), "slow instances": (0,), "peak": (0,), "long work": (0,)}


@cache
def run_seeds(case: str, deployment: Deployment) -> tuple[Verdict, ...]:
    """Run a case once for all the tests that need it."""
    verdicts: list[Verdict] = []
    for seed in SEEDS[case]:
        if case == "80% load":
            result = run_steady_load(case, deployment, seed, DURATIONS_S[case], heavy=False)
        else:
            result = run_case(case, deployment, seed, DURATIONS_S[case])
        verdicts += result[1]
    return tuple(combine_verdicts(verdicts))


def check_bounds(case: str, deployment: Deployment, bounds: str) -> None:
    """Check the bounds of a case whose names start with a text."""
    chosen = [v for v in run_seeds(case, deployment) if v.bound.startswith(bounds)]
    assert chosen
    missed = [verdict for verdict in chosen if not verdict.is_met]
    assert not missed, missed


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda deployment: deployment.name)
class TestBounds:
    """One test for each target, so that a missed one does not hide another."""

    def test_queueing_at_80_percent_load(self, deployment: Deployment) -> None:
        """Guards against queues that form at some upstreams while slots are free at others."""
        check_bounds("80% load", deployment, "p99 queueing")

    def test_response_at_80_percent_load(self, deployment: Deployment) -> None:
        """Guards against response times far from those of a balancer that knows the true state."""
        check_bounds("80% load", deployment, "p99 response")

    def test_probe_budget(self, deployment: Deployment) -> None:
        """Guards against probes beyond the budget in any one-second window."""
        check_bounds("80% load", deployment, "probe")

    def test_slow_instances(self, deployment: Deployment) -> None:
        """Guards against work that keeps going to instances that became slow."""
        check_bounds("slow instances", deployment, "p99")

    def test_peak(self, deployment: Deployment) -> None:
        """Guards against goodput lost at twice capacity."""
        check_bounds("peak", deployment, "goodput")

    def test_long_work(self, deployment: Deployment) -> None:
        """Guards against short work that waits behind long work."""
        check_bounds("long work", deployment, "p99")


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
