"""Short, seeded runs of the policy benchmarks, with the bounds of docs/design.md, section 1.4."""

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

# Simulated seconds per case. The slow case needs time after the first 2 s of its fault, where one
# of its bounds begins; the peak case sets its own duration.
DURATIONS_S = {"80% load": 3.0, "slow instances": 4.0, "peak": 0.0, "long work": 2.5}
SEEDS = {"80% load": (0, 1), "slow instances": (0,), "peak": (0,), "long work": (0,)}


@cache
def run_seeds(case: str, deployment: Deployment) -> tuple[Verdict, ...]:
    """Return the verdicts of a case over its seeds, run once for all tests."""
    verdicts: list[Verdict] = []
    for seed in SEEDS[case]:
        if case == "80% load":
            result = run_steady_load(case, deployment, seed, DURATIONS_S[case], heavy=False)
        else:
            result = run_case(case, deployment, seed, DURATIONS_S[case])
        verdicts += result[1]
    return tuple(combine_verdicts(verdicts))


def check_bounds(case: str, deployment: Deployment, bounds: str) -> None:
    """Check the bounds of a case whose names start with a prefix."""
    chosen = [v for v in run_seeds(case, deployment) if v.bound.startswith(bounds)]
    assert chosen
    missed = [verdict for verdict in chosen if not verdict.is_met]
    assert not missed, missed


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda deployment: deployment.name)
class TestBounds:
    """One test for each bound, so that a failed one does not hide another."""

    def test_queueing_at_80_percent_load(self, deployment: Deployment) -> None:
        """Guards against queues at some upstreams while others have free slots."""
        check_bounds("80% load", deployment, "p99 queueing")

    def test_response_at_80_percent_load(self, deployment: Deployment) -> None:
        """Guards against response times far above those of an ideal balancer (the oracle)."""
        check_bounds("80% load", deployment, "p99 response")

    def test_probe_budget(self, deployment: Deployment) -> None:
        """Guards against probes beyond the budget in any one-second window."""
        check_bounds("80% load", deployment, "probe")

    def test_slow_instances(self, deployment: Deployment) -> None:
        """Guards against sending further work to instances that became slow."""
        check_bounds("slow instances", deployment, "p99")

    def test_peak(self, deployment: Deployment) -> None:
        """Guards against a loss of goodput at a load of twice the capacity."""
        check_bounds("peak", deployment, "goodput")

    def test_long_work(self, deployment: Deployment) -> None:
        """Guards against short work that waits behind long work."""
        check_bounds("long work", deployment, "p99")


def test_same_seed_gives_same_result() -> None:
    """Guards against results that differ between runs with the same seed."""
    scenario = Scenario(3, (Traffic(0.8),), 0.5)

    def run() -> list[float | None]:
        factory = make_dispatcher_factory(ServicePolicy("desk", 3), ProbePolicy(), 1, 14)
        return [record.done_at for record in Model(scenario, 1, factory).run().records]

    assert run() == run()


@pytest.mark.parametrize("kind", ["mislead", "fail"])
def test_misleading_upstream_is_not_overloaded(kind: str) -> None:
    """Guards against an instance that attracts work as it reports no load or fails at once."""
    faults = (Fault(kind, (0,), 0.5, 3.0),)
    scenario = Scenario(6, (Traffic(0.7),), 3.0, faults=faults)
    factory = make_dispatcher_factory(ServicePolicy("desk", 6), ProbePolicy(), 1, 14)
    records = [r for r in Model(scenario, 1, factory).run().records if r.arrived_at > 1.0]
    assert sum(record.failed for record in records) <= 0.01 * len(records)
    times = sorted((r.done_at or 0.0) - r.arrived_at for r in records)
    plain = Model(scenario._replace(faults=()), 1, BASELINES["oracle"]).run().records
    healthy = sorted((r.done_at or 0.0) - r.arrived_at for r in plain if r.arrived_at > 1.0)
    assert times[int(0.99 * len(times))] <= 1.5 * healthy[int(0.99 * len(healthy))]
