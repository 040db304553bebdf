import time
from pathlib import Path

from standins.deployment import Plan
from standins.processes import wait_until

from .harness import Background, count_executed, post, run_deployment

PLAN = Plan(hosts=2, upstreams={"adopt-desk": 2})
KEYS = 12
# Each process may claim 200 / 16 times a second.
PAUSE_S = 0.1


def test_same_key_at_two_hosts(tmp_path: Path) -> None:
    """An adoption sent twice at the same time must not be recorded twice."""
    with run_deployment(tmp_path, PLAN) as deployment, Background(2) as background:
        endpoints = [entry.endpoint for entry in deployment.entries]
        for number in range(KEYS):
            key = f"k{number}"
            calls = [background.start(post, e, "/adoptions?ms=20", key) for e in endpoints]
            answers = [started.result() for started in calls]
            outcomes = sorted((answer.status, answer.outcome) for answer in answers)
            assert outcomes == [(200, "answered"), (409, "unknown")]
            assert count_executed(deployment, key) == 1
            time.sleep(PAUSE_S)


def test_lost_response_to_claim_write(tmp_path: Path) -> None:
    """A claim whose write took effect unseen must neither block nor double the request."""
    with run_deployment(tmp_path, PLAN) as deployment:
        deployment.set_platform_faults(lose_responses=1, lose_kind="claims")
        first, second = [entry.endpoint for entry in deployment.entries]
        answer = post(first, "/adoptions", "k1")
        assert (answer.status, answer.outcome) == (200, "answered")
        repeated = post(second, "/adoptions", "k1")
        assert (repeated.status, repeated.reason) == (409, "duplicate_request")
        assert count_executed(deployment, "k1") == 1


def test_claim_holder_killed(tmp_path: Path) -> None:
    """A request whose entry process died may have run, so a repeat must not run."""
    with run_deployment(tmp_path, PLAN) as deployment, Background(1) as background:
        first, second = deployment.entries
        call = background.start(post, first.endpoint, "/adoptions?ms=1500", "k1")
        wait_until(lambda: count_executed(deployment, "k1"), 3.0, "request running")
        first.process.kill()
        assert not call.result().complete
        repeated = post(second.endpoint, "/adoptions", "k1")
        assert (repeated.status, repeated.outcome) == (409, "unknown")
        assert repeated.reason == "duplicate_request"
        assert count_executed(deployment, "k1") == 1


def test_claim_holder_paused(tmp_path: Path) -> None:
    """A holder that resumes after a repeat was sent elsewhere must not add a second run.

    The holder is paused while the platform delays the claim's response, so it
    resumes between the claim and the first send.
    """
    with run_deployment(tmp_path, PLAN) as deployment, Background(2) as background:
        first, second = deployment.entries
        deployment.set_platform_faults(response_delay_s=0.3)
        call = background.start(post, first.endpoint, "/adoptions", "k1")
        wait_until(
            lambda: deployment.get_platform_stats()["objects"].get("claims"), 3.0, "claim made"
        )
        first.process.pause()
        deployment.set_platform_faults(response_delay_s=0)
        assert post(second.endpoint, "/adoptions", "k1").status == 409
        time.sleep(0.5)
        first.process.resume()
        assert call.result().outcome in {"answered", "unknown"}
        assert count_executed(deployment, "k1") <= 1
