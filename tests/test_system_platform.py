import time
from pathlib import Path
from typing import Any

import pytest

from standins.deployment import Deployment, Plan
from standins.http import call
from standins.nodes import Host
from standins.processes import wait_until

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
        assert answers
        assert [answer for answer in answers if answer.outcome != "answered"] == []
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


def read_value(deployment: Deployment, path: str) -> dict[str, Any]:
    """Return the value of an object on the platform, empty if there is none."""
    answer = call(deployment.platform_endpoint, f"/objects/{path}")
    return answer.load_json()["value"] if answer.status == 200 else {}


def read_epoch(deployment: Deployment) -> int:
    """Return the epoch of the fleet status."""
    return int(read_value(deployment, "status/eeslikoda").get("epoch", 0))


def pause_before_status_write(deployment: Deployment, holder: Host) -> None:
    """Pause the lease holder when it has a settings change that is not in its status yet."""
    for claim_rate in (100, 101, 102, 103):
        serial = deployment.publish_settings_change({"claim_writes_per_s": claim_rate})
        wait_until(lambda s=serial: holder.get_serial(holder.control_admin) >= s, 7.0, "settings")  # type: ignore[misc]
        assert holder.control is not None
        holder.control.pause()
        if read_value(deployment, "status/eeslikoda")["serial"] < serial:
            return
        holder.control.resume()
    raise AssertionError("the status was written at once each time")


def test_paused_lease_holder_writes_nothing(tmp_path: Path) -> None:
    """A holder that resumes after its lease lapsed must not overwrite its successor's status.

    A slow platform keeps the holder from learning of its successor before it writes.
    """
    timing = {"lease_ttl_s": 1.5, "lease_margin_s": 0.3}
    plan = Plan(hosts=2, upstreams={"adopt-desk": 1}, control_settings=timing)
    with run_deployment(tmp_path, plan) as deployment:
        wait_until(lambda: read_epoch(deployment), 5.0, "status written")
        holder_id = read_value(deployment, "leases/fleet-status")["holder"]
        holder = next(host for host in deployment.hosts if holder_id.startswith(host.id))
        first_epoch = read_epoch(deployment)
        pause_before_status_write(deployment, holder)
        wait_until(lambda: read_epoch(deployment) > first_epoch, 8.0, "status of the successor")
        with repeat(lambda _: read_epoch(deployment), 1, 0.02) as epochs:
            deployment.set_platform_faults(delay_s=0.3)
            assert holder.control is not None
            holder.control.resume()
            time.sleep(1.0)
            deployment.set_platform_faults(delay_s=0)
            time.sleep(1.5)
        assert epochs == sorted(epochs)
        assert epochs[-1] > first_epoch
