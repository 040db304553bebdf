import time
from pathlib import Path

import pytest

from amaranthbend.core.envelope import compute_digest, dump_envelope, load_envelope
from amaranthbend.settings.approvals import create_key, sign_envelope
from standins.deployment import Deployment, Plan
from standins.http import call, call_json
from standins.nodes import Operator
from standins.processes import wait_until

from .harness import SETTINGS, Background, read_accepted_serials, run_deployment

SMALL = Plan(hosts=1, upstreams={"adopt-desk": 1, "archive-shelf": 1})
TWO_HOSTS = SMALL._replace(hosts=2)
# An accepted configuration must be in force everywhere within this time.
IN_FORCE_S = 7.0
SETTLE_S = 2.5


def publish_change(deployment: Deployment, deadline_ms: int) -> int:
    """Change the settings, approve and publish them; return the serial."""
    return deployment.publish_settings_change(
        {"routes": {"profiles": {"deadline_ms": deadline_ms}}}
    )


def read_serials(deployment: Deployment) -> list[int]:
    """Return the serial in force in each process."""
    admins = [entry.admin for entry in deployment.entries]
    admins += [host.control_admin for host in deployment.hosts]
    return [deployment.hosts[0].get_serial(admin) for admin in admins]


def assert_only_raised_to(deployment: Deployment, serial: int) -> None:
    """Check that every process has this serial in force and never put a lower one in force.

    An entry process gives its settings back to a control process within
    milliseconds, so that only the log shows a short return to an older serial.
    """
    assert read_serials(deployment) == [serial] * 4
    for host in deployment.hosts:
        for process in host.processes:
            accepted = read_accepted_serials(process)
            assert accepted == sorted(set(accepted))
            assert accepted[-1] == serial


def test_accepted_settings_reach_every_host(tmp_path: Path) -> None:
    """Settings that take long to spread would leave callers under two sets of rules."""
    with run_deployment(tmp_path, SMALL._replace(hosts=3, entries=2)) as deployment:
        for deadline_ms in (2000, 2500):
            serial = publish_change(deployment, deadline_ms)
            deployment.wait_serial(serial, IN_FORCE_S)
        assert serial == 3


def test_lost_response_to_settings_write(tmp_path: Path) -> None:
    """A write that took effect without a response must not count as failed or be repeated."""
    with run_deployment(tmp_path, SMALL) as deployment:
        deployment.set_platform_faults(lose_responses=1, lose_kind="settings")
        assert publish_change(deployment, 2000) == 2
        deployment.wait_serial(2)


def test_two_operators_at_once(tmp_path: Path) -> None:
    """Of two changes on the same base, only the first may be published."""
    with run_deployment(tmp_path, SMALL) as deployment, Background() as background:
        second = Operator(
            "legal-2", tmp_path / "second", deployment.platform_endpoint, deployment.name
        )
        second.create(SETTINGS)
        # The second operator works with the same approver, from another machine.
        second.key_path = deployment.operator.key_path
        second.write_settings(deployment.approver_keys, 1)
        operators = (deployment.operator, second)
        for number, operator in enumerate(operators):
            operator.change({"claim_writes_per_s": 100 + number})
            operator.approve().check_returncode()
        # Both read the base before either has written.
        deployment.set_platform_faults(delay_s=0.6)
        results = [f.result() for f in [background.start(o.publish) for o in operators]]
        assert sorted(result.returncode for result in results) == [0, 1]
        refused = next(result for result in results if result.returncode == 1)
        assert "approve" in refused.stderr
        deployment.set_platform_faults(delay_s=0)
        deployment.wait_serial(2)
        assert deployment.get_platform_serial() == 2


@pytest.mark.parametrize("paused", ["control", "entry"])
def test_paused_process_keeps_newest_serial(tmp_path: Path, paused: str) -> None:
    """A process that resumes and finds old settings on the platform must not go back to them."""
    with run_deployment(tmp_path, TWO_HOSTS) as deployment:
        host = deployment.hosts[0]
        process = host.control if paused == "control" else host.entries[0].process
        assert process is not None
        path = f"/objects/settings/{deployment.name}"
        first = call_json(deployment.platform_endpoint, path)["value"]
        serial = publish_change(deployment, 2000)
        deployment.wait_serial(serial)
        process.pause()
        call_json(deployment.platform_endpoint, path, "PUT", first)
        time.sleep(0.5)
        process.resume()
        time.sleep(SETTLE_S)
        assert_only_raised_to(deployment, serial)


def test_control_restarted_in_outage_learns_from_entries(tmp_path: Path) -> None:
    """A restarted control process without the platform must not wait for it with no settings."""
    with run_deployment(tmp_path, SMALL) as deployment:
        serial = publish_change(deployment, 2000)
        deployment.wait_serial(serial)
        host = deployment.hosts[0]
        assert host.control is not None
        deployment.set_platform_faults(outage="unavailable")
        host.control.kill()
        deployment.start_control(host)
        held = lambda: host.get_serial(host.control_admin) == serial  # noqa: E731
        wait_until(held, IN_FORCE_S, "settings in the restarted control process")


def test_fresh_host_takes_settings_of_peers(tmp_path: Path) -> None:
    """A host that starts during an outage must serve as long as a peer has the settings."""
    with run_deployment(tmp_path, SMALL) as deployment:
        serial = publish_change(deployment, 2000)
        deployment.wait_serial(serial)
        deployment.set_platform_faults(outage="unavailable")
        fresh = deployment.add_host()
        deployment.start_control(fresh)
        entry = deployment.start_entry(fresh)
        deployment.wait_serial(serial, 10.0)
        deployment.wait_ready()
        assert call(entry.endpoint, "/profiles/1").outcome == "answered"


def test_fresh_host_alone_refuses(tmp_path: Path) -> None:
    """A host without any source of settings must refuse, not guess."""
    with run_deployment(tmp_path, SMALL, publish=False, outage=True) as deployment:
        entry = deployment.entries[0]
        wait_until(lambda: call(entry.endpoint, "/").status, 5.0, "entry process listens")
        answer = call(entry.endpoint, "/profiles/1")
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.reason == "no_configuration"
        assert call(entry.admin, "/readyz").status == 503


def forge(document: dict[str, object], kind: str) -> dict[str, object]:
    """Return an envelope that must not come into force."""
    envelope = load_envelope(document)
    merged = {**envelope.merged, "claim_writes_per_s": 1}
    changed = envelope._replace(
        serial=envelope.serial + 1,
        base_digest=envelope.digest,
        merged=merged,
        digest=compute_digest(envelope.manifest, merged),
    )
    if kind == "replayed":
        return dict(dump_envelope(changed))
    if kind == "unsigned":
        return dict(dump_envelope(changed._replace(signatures=())))
    key = create_key("legal-1").unwrap()
    return dict(dump_envelope(changed._replace(signatures=(sign_envelope(changed, key),))))


@pytest.mark.parametrize("kind", ["forged", "replayed", "unsigned", "old"])
def test_unapproved_settings_are_never_in_force(tmp_path: Path, kind: str) -> None:
    """Whoever can write to the platform must not be able to change what callers meet."""
    with run_deployment(tmp_path, TWO_HOSTS) as deployment:
        path = f"/objects/settings/{deployment.name}"
        first = call_json(deployment.platform_endpoint, path)["value"]
        serial = publish_change(deployment, 2000)
        deployment.wait_serial(serial)
        present = call_json(deployment.platform_endpoint, path)["value"]
        bad = first if kind == "old" else forge(present, kind)
        call_json(deployment.platform_endpoint, path, "PUT", bad)
        time.sleep(SETTLE_S)
        assert_only_raised_to(deployment, serial)
        digests = {call_json(entry.admin, "/configz")["digest"] for entry in deployment.entries}
        assert digests == {present["digest"]}
