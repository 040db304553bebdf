import signal
import time
from pathlib import Path
from typing import Any

import pytest

from standins.deployment import Deployment, Plan
from standins.http import Answer, call, call_json
from standins.nodes import Upstream
from standins.processes import wait_until

from .harness import Background, count_executed, post, repeat, run_deployment

PLAN = Plan(hosts=2, upstreams={"adopt-desk": 3, "archive-shelf": 1})
# An upstream that is leaving receives no new work after this time.
DRAIN_S = 3.0
REQUESTS = 200


def send_reads(deployment: Deployment, number: int) -> Answer:
    """Send one short request through one of the hosts."""
    entries = deployment.entries
    return call(entries[number % len(entries)].endpoint, f"/profiles/{number}")


def start_drain(deployment: Deployment, upstream: Upstream, sign: str) -> None:
    """Let an upstream leave, with one kind of sign."""
    if sign == "stale_list":
        deployment.set_platform_faults(host_lag_s=300)
    if sign == "outage":
        deployment.set_platform_faults(outage="unavailable")
    if sign == "host_list":
        upstream.state = "leaving"
        deployment.publish_hosts()
        return
    upstream.set_faults(drain="refuse" if sign == "refusal" else "report")


@pytest.mark.parametrize("sign", ["report", "refusal", "host_list", "outage", "stale_list"])
def test_leaving_upstream_gets_no_new_work(tmp_path: Path, sign: str) -> None:
    """Work for an upstream that is leaving is cut off when it stops."""
    with run_deployment(tmp_path, PLAN) as deployment:
        upstream = deployment.get_upstreams("adopt-desk")[0]
        with repeat(lambda n: send_reads(deployment, n), 4, 0.01) as answers:
            wait_until(lambda: upstream.get_stats()["received"], 5.0, "upstream in use")
            started_at = time.monotonic()
            start_drain(deployment, upstream, sign)
            time.sleep(DRAIN_S + 1.5)
        last_s = upstream.get_stats()["last_received_at"] - started_at
        assert last_s <= DRAIN_S
        assert {answer.outcome for answer in answers} == {"answered"}


def sees_drain(deployment: Deployment, upstream: Upstream) -> bool:
    """Return whether the first entry process knows that an upstream leaves."""
    views = call_json(deployment.entries[0].admin, "/upstreamz")[upstream.service]
    return any(v["upstream"] == upstream.name and v["state"] == "draining" for v in views)


@pytest.mark.parametrize("sign", ["outage", "stale_list"])
def test_drain_is_known_to_hosts_without_traffic(tmp_path: Path, sign: str) -> None:
    """A host that has not met the leaving upstream itself must learn of it from the others."""
    # In one data centre, so that the quiet host would choose the leaving upstream too.
    with run_deployment(tmp_path, PLAN._replace(data_centres=1)) as deployment:
        # Probes would show the quiet host the leaving upstream's own report.
        serial = deployment.publish_settings_change({"probing": {"probes_per_s": 0}})
        deployment.wait_serial(serial)
        upstream = deployment.get_upstreams("adopt-desk")[0]
        quiet = deployment.entries[1].endpoint
        busy = deployment.entries[0].endpoint
        with repeat(lambda n: call(busy, f"/profiles/{n}?ms=20"), 12, 0.01):
            wait_until(lambda: upstream.get_stats()["received"], 5.0, "upstream in use")
            start_drain(deployment, upstream, sign)
            # The first sign is the report on a response that is sent after the start.
            wait_until(lambda: sees_drain(deployment, upstream), 5.0, "sign seen")
            time.sleep(DRAIN_S)
        before = upstream.get_stats()["received"]
        with repeat(lambda n: call(quiet, f"/profiles/{n}?ms=20"), 8, 0.0) as answers:
            time.sleep(0.5)
        assert len(answers) > 30
        assert {answer.outcome for answer in answers} == {"answered"}
        assert upstream.get_stats()["received"] == before


def test_upstream_killed_during_answer(tmp_path: Path) -> None:
    """A truncated response that looks complete hands a caller half a vet record."""
    with run_deployment(tmp_path, PLAN) as deployment, Background() as background:
        archive = deployment.get_upstreams("archive-shelf")[0]
        entry = deployment.entries[0].endpoint
        download = background.start(call, entry, "/archives/juku?size=2000000&rate=400000")
        wait_until(archive.get_executed, 3.0, "download started")
        time.sleep(0.3)
        assert archive.process is not None
        archive.process.kill()
        answer = download.result()
        assert not answer.complete
        assert 0 < len(answer.body) < 2_000_000


@pytest.mark.parametrize(
    "fault", ["truncated", "truncated_chunked", "headers_only", "malformed", "reset"]
)
def test_faulty_answer_to_write(tmp_path: Path, fault: str) -> None:
    """A write whose response is broken may have run: it must not run again or look answered."""
    with run_deployment(tmp_path, PLAN) as deployment:
        entry = deployment.entries[0].endpoint
        for upstream in deployment.get_upstreams("adopt-desk"):
            upstream.set_faults(answer_fault=fault)
        answer = post(entry, "/visits", "k1")
        assert not answer.complete or answer.outcome == "unknown"
        assert count_executed(deployment, "k1") == 1


def test_no_answer_of_another_request(tmp_path: Path) -> None:
    """Surplus or late bytes on a reused connection must not become another caller's response."""
    with run_deployment(tmp_path, PLAN) as deployment:
        for upstream in deployment.get_upstreams("adopt-desk"):
            upstream.set_faults(answer_fault="overlong", answer_fault_count=20)

        def read(number: int) -> tuple[int, Answer]:
            headers = {"X-Request-Id": f"r{number}"}
            entry = deployment.entries[number % 2].endpoint
            return number, call(entry, f"/profiles/{number}", headers=headers)

        with repeat(read, 4, 0.005) as answers:
            time.sleep(1.5)
            wait_until(lambda: len(answers) > 100, 30.0, "answers")
        for number, answer in answers:
            if answer.status != 200 or not answer.complete:
                continue
            assert answer.load_json()["request_id"] == f"r{number}"


@pytest.mark.parametrize("faults", [{"answer_fault": "reset"}, {"shed_ratio": 1.0}])
def test_attempts_stay_within_retry_budget(tmp_path: Path, faults: dict[str, Any]) -> None:
    """Retries without a budget multiply the load of upstreams that all fail."""
    with run_deployment(tmp_path, PLAN) as deployment, Background(4) as background:
        upstreams = deployment.get_upstreams("adopt-desk")
        for upstream in upstreams:
            upstream.set_faults(**faults)
        started_at = time.monotonic()
        calls = [background.start(send_reads, deployment, n) for n in range(REQUESTS)]
        outcomes = {started.result().outcome for started in calls}
        duration_s = time.monotonic() - started_at
        assert outcomes <= {"not-run", "unknown"}
        attempts = sum(upstream.get_stats()["received"] for upstream in upstreams)
        # A share of 0.1 of the first attempts, and the 1 a second in each entry process that
        # is always allowed, of which it may hold one in advance.
        floor = len(deployment.entries) * (duration_s + 1)
        assert attempts <= REQUESTS * 1.1 + floor


def test_not_run_is_true(tmp_path: Path) -> None:
    """A caller that is told "not run" repeats its request, so it must not have run."""
    plan = PLAN._replace(upstream_arguments=("--slots=2", "--queue=2", "--service_ms=10"))
    with run_deployment(tmp_path, plan) as deployment, Background(24) as background:
        shedding, draining, resetting = deployment.get_upstreams("adopt-desk")
        shedding.set_faults(shed_ratio=0.5)
        draining.set_faults(drain="refuse")
        resetting.set_faults(answer_fault="reset", answer_fault_count=20)
        entries = [entry.endpoint for entry in deployment.entries]
        keys = [f"k{number}" for number in range(REQUESTS)]
        calls = [
            background.start(post, entries[number % 2], "/visits", key)
            for number, key in enumerate(keys)
        ]
        answers = dict(zip(keys, [started.result() for started in calls], strict=True))
        counts = count_all(deployment)
        refused = [key for key, answer in answers.items() if answer.outcome == "not-run"]
        assert refused
        assert [key for key in refused if counts.get(key)] == []
        assert [key for key, count in counts.items() if count > 1] == []


def count_all(deployment: Deployment) -> dict[str, int]:
    """Return how often each request got a slot."""
    counts: dict[str, int] = {}
    for upstream in deployment.upstreams:
        for entry in upstream.get_executed():
            counts[entry["request_id"]] = counts.get(entry["request_id"], 0) + 1
    return counts


def test_paused_entry_keeps_answers_apart(tmp_path: Path) -> None:
    """An entry process that was paused must not give a late response to the wrong caller."""
    with (
        run_deployment(tmp_path, PLAN._replace(hosts=1)) as deployment,
        Background(8) as background,
    ):
        entry = deployment.entries[0]
        calls = [
            background.start(post, entry.endpoint, "/visits?ms=200", f"k{number}")
            for number in range(8)
        ]
        time.sleep(0.1)
        entry.process.send_signal(signal.SIGSTOP)
        time.sleep(0.5)
        entry.process.send_signal(signal.SIGCONT)
        for number, started in enumerate(calls):
            answer = started.result()
            assert answer.outcome != "answered" or answer.load_json()["key"] == f"k{number}"
            assert count_executed(deployment, f"k{number}") <= 1


def test_probes_stay_within_budget(tmp_path: Path) -> None:
    """Probes above the operators' budget are load that nobody approved.

    Each of 16 shares is for one host, so 2 hosts may spend an eighth of the budget.
    """
    with run_deployment(tmp_path, PLAN) as deployment:
        probing = {"probes_per_s": 160, "probes_per_s_per_upstream": 80}
        serial = deployment.publish_settings_change({"probing": probing})
        deployment.wait_serial(serial)
        with repeat(lambda n: send_reads(deployment, n), 4, 0.01):
            time.sleep(3.0)
        stats = [upstream.get_stats() for upstream in deployment.upstreams]
        assert sum(s["load_calls"] for s in stats) > 0
        # The default before the change allows 5 a second to one upstream, 125 in all.
        assert max(s["load_peak_per_s"] for s in stats) <= 10
        assert sum(s["load_peak_per_s"] for s in stats) <= 20
        serial = deployment.publish_settings_change({"probing": {"probes_per_s": 0}})
        deployment.wait_serial(serial)
        time.sleep(0.3)
        before = [upstream.get_stats()["load_calls"] for upstream in deployment.upstreams]
        time.sleep(1.0)
        assert before == [upstream.get_stats()["load_calls"] for upstream in deployment.upstreams]


def test_upstream_killed_during_write(tmp_path: Path) -> None:
    """A write that was running when its upstream died may have run, so no other may run it."""
    with run_deployment(tmp_path, PLAN) as deployment, Background(1) as background:
        upstreams = deployment.get_upstreams("adopt-desk")
        entry = deployment.entries[0].endpoint
        write = background.start(post, entry, "/visits?ms=2000", "k1")
        wait_until(lambda: count_executed(deployment, "k1"), 3.0, "write running")
        running = next(upstream for upstream in upstreams if upstream.get_executed())
        assert running.process is not None
        running.process.kill()
        assert write.result().outcome == "unknown"
        others = [upstream for upstream in upstreams if upstream is not running]
        assert [upstream.get_executed() for upstream in others] == [[], []]


def test_upstream_that_fails_fast_is_avoided(tmp_path: Path) -> None:
    """An upstream that fails at once looks idle, and would draw most of the work."""
    with run_deployment(tmp_path, PLAN._replace(data_centres=1)) as deployment:
        failing = deployment.get_upstreams("adopt-desk")[0]
        failing.set_faults(fail_ratio=1.0)
        with repeat(lambda n: send_reads(deployment, n), 4, 0.005) as answers:
            time.sleep(2.0)
            learned = len(answers)
            time.sleep(2.0)
        statuses = [answer.status for answer in answers[learned:]]
        assert len(statuses) > 100
        # A third of the work would be its even share.
        assert statuses.count(500) <= len(statuses) * 0.1
