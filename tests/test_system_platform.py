import time
from pathlib import Path

import pytest

from standins.deployment import Deployment, Plan
from standins.http import call

from .harness import count_executed, post, repeat, run_deployment

PLAN = Plan(hosts=3, entries=2, upstreams={"adopt-desk": 2})
OUTAGE_S = 2.5
RECOVERY_S = 2.0
# The platform's rates are for a whole deployment of 14 hosts.
HOSTS_IN_DEPLOYMENT = 14


@pytest.mark.parametrize("outage", ["unavailable", "hang", "reset"])
def test_serving_through_an_outage(tmp_path: Path, outage: str) -> None:
    """A platform outage must not stop reads, run unclaimed writes or end in a storm of calls."""
    with run_deployment(tmp_path, PLAN) as deployment:
        entries = [entry.endpoint for entry in deployment.entries]
        deployment.set_platform_faults(outage=outage)
        with repeat(lambda n: call(entries[n % 6], f"/profiles/{n}"), 4, 0.02) as answers:
            time.sleep(OUTAGE_S)
        assert {answer.outcome for answer in answers} == {"answered"}
        refused = post(entries[0], "/adoptions", "k1")
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert refused.reason == "claim_unavailable"
        assert count_executed(deployment, "k1") == 0
        deployment.set_platform_faults(outage="none")
        assert_calls_stay_within_rates(deployment)
        assert post(entries[0], "/adoptions", "k2").outcome == "answered"


def assert_calls_stay_within_rates(deployment: Deployment) -> None:
    """Check the share of this many hosts in the platform's rates after an outage."""
    time.sleep(RECOVERY_S)
    stats = deployment.get_platform_stats()
    share = PLAN.hosts / HOSTS_IN_DEPLOYMENT
    assert stats["peak_per_s"]["read"] <= 2000 * share
    assert stats["peak_per_s"]["write"] <= 300 * share
    assert "429" not in stats["refused"]


def test_paused_lease_holder_writes_nothing(tmp_path: Path) -> None:
    """A holder that resumes after its lease lapsed must not overwrite its successor's status."""
    timing = {"lease_ttl_s": 1.5, "lease_margin_s": 0.3}
    plan = Plan(hosts=2, upstreams={"adopt-desk": 1}, control_settings=timing)
    with run_deployment(tmp_path, plan) as deployment:
        raise NotImplementedError(deployment)
