import time
from pathlib import Path

import pytest

from standins.deployment import Plan
from standins.http import call
from standins.processes import wait_until

from .harness import Background, post, repeat, run_deployment

PLAN = Plan(hosts=1, upstreams={"adopt-desk": 1, "archive-shelf": 1})
SIZE = 400_000
RATE = 200_000


@pytest.mark.parametrize("signals", [1, 2])
def test_download_outlives_sigterm(tmp_path: Path, signals: int) -> None:
    """A planned stop that cuts off a long download breaks the graceful shutdown."""
    with run_deployment(tmp_path, PLAN) as deployment, Background() as background:
        entry = deployment.entries[0]
        archive = deployment.get_upstreams("archive-shelf")[0]
        path = f"/archives/juku?size={SIZE}&rate={RATE}"
        download = background.start(call, entry.endpoint, path)
        wait_until(archive.get_executed, 3.0, "download started")
        for _ in range(signals):
            entry.process.terminate()
        wait_until(lambda: call(entry.admin, "/readyz").status != 200, 2.0, "readiness off")
        assert entry.process.is_running()
        answer = download.result()
        assert answer.complete
        assert len(answer.body) == SIZE
        assert entry.process.wait(5.0) == 0
        assert archive.get_executed()[0]["end"] == "answered"


def test_entries_serve_without_control(tmp_path: Path) -> None:
    """Entry processes that depend on a live control process would turn its crash into an outage."""
    with run_deployment(tmp_path, PLAN) as deployment:
        host, entry = deployment.hosts[0], deployment.entries[0].endpoint
        assert host.control is not None
        host.control.kill()
        with repeat(lambda n: call(entry, f"/profiles/{n}"), 2, 0.02) as answers:
            time.sleep(1.5)
        assert {answer.outcome for answer in answers} == {"answered"}
        assert post(entry, "/adoptions", "k1").outcome == "answered"
        deployment.start_control(host)
        serial = deployment.publish_settings_change({"claim_writes_per_s": 100})
        deployment.wait_serial(serial)
