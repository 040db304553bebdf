"""Tests of the operators' command line program against the platform stand-in."""

import json
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any

import pytest

from amaranthbend.core.envelope_decisions import RejectionReason
from amaranthbend.core.outcomes import OutcomeReason, RetryReason
from amaranthbend.programs.control import ControlSettings
from amaranthbend.settings.approvals import save_key
from amaranthbend.settings.defaults import render_reference
from amaranthbend.settings.folder import check_folder, read_folder
from amaranthbend.settings.operator_settings import load_operator_settings
from amaranthbend.settings.policies import build_policy
from amaranthbend.settings.process import EntrySettings, load_process_settings
from amaranthbend.settings.publishing import PublishStatus
from standins.http import call
from standins.processes import ManagedProcess, pick_endpoint, pick_network, wait_until

from .settings_cases import KEYS, write_folder, write_operator_settings

ROOT = Path(__file__).parent.parent
MODULE = "amaranthbend.programs.operator"


class OperatorSetup:
    """A platform stand-in, a settings folder, operator settings and approver keys."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.folder = path / "settings"
        self.folder.mkdir()
        write_folder(self.folder)
        self.endpoint = endpoint = pick_endpoint(f"{pick_network()}.1")
        write_operator_settings(path / "operator.jsonc", f"http://{endpoint}")
        for key in KEYS:
            save_key(key, path / key.key_id).unwrap()
        arguments = [f"--port={endpoint.port}", f"--address={endpoint.address}"]
        self.platform = ManagedProcess("platform", "standins.platform", arguments, path)

    def run(self, command: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run one command of the operators' program."""
        line = [sys.executable, "-m", MODULE, command, f"--settings={self.path}/operator.jsonc"]
        return subprocess.run(
            [*line, *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            stdin=subprocess.DEVNULL,
            check=False,
        )

    def approve(self) -> None:
        """Approve the present settings with two keys."""
        for key in KEYS[:2]:
            done = self.run("approve", f"--key={self.path}/{key.key_id}", "--yes")
            assert done.returncode == 0, done.stderr

    def read_stored_envelope(self) -> Any:
        """Return the envelope on the platform, or None without one."""
        answer = call(self.endpoint, "/objects/settings/eeslikoda")
        return answer.load_json()["value"] if answer.status == 200 else None

    def set_faults(self, **faults: Any) -> bool:
        """Set faults of the platform stand-in; return whether it responds."""
        body = json.dumps(faults).encode()
        return call(self.endpoint, "/_faults", "PUT", body).status == 200


@pytest.fixture
def operator_setup(tmp_path: Path) -> Iterator[OperatorSetup]:
    """Run the platform stand-in for a test."""
    operator_setup = OperatorSetup(tmp_path)
    operator_setup.platform.start()
    try:
        wait_until(operator_setup.set_faults, 15, "platform stand-in")
        yield operator_setup
    finally:
        operator_setup.platform.clean_up()


def test_change_from_check_to_status(operator_setup: OperatorSetup) -> None:
    """Guards against a command that fails when the program runs as a process."""
    assert "valid: 1 services, 1 routes" in operator_setup.run("check").stdout
    shown = operator_setup.run("diff").stdout
    assert "route profiles (service adopt-desk), added:" in shown
    refused = operator_setup.run("publish")
    assert refused.returncode == 1
    assert "too_few_approvals" in refused.stderr
    assert operator_setup.read_stored_envelope() is None
    operator_setup.approve()
    names = sorted(path.name for path in operator_setup.folder.glob("*.approval.json"))
    assert names == ["000001-legal-0.approval.json", "000001-legal-1.approval.json"]
    operator_setup.set_faults(lose_responses=1, lose_kind="settings")
    published = operator_setup.run("publish")
    assert (published.returncode, "status=published" in published.stderr) == (0, True)
    assert operator_setup.read_stored_envelope()["serial"] == 1
    (operator_setup.folder / "90-change.jsonc").write_text(
        '{"routes": {"profiles": {"deadline_ms": 900}}}'
    )
    shown = operator_setup.run("diff").stdout
    assert "routes.profiles.deadline_ms: 2500 -> 900 (90-change.jsonc:1)" in shown
    status = operator_setup.run("status").stdout
    assert "platform: serial=1" in status
    assert "folder: differs, approvals=0 required=2" in status


def test_each_result_of_publish_is_counted(operator_setup: OperatorSetup) -> None:
    """Guards against a publication result that no counter counts."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as statsd:
        statsd.bind((operator_setup.endpoint.address, 0))
        statsd.settimeout(5)
        path = operator_setup.path / "operator.jsonc"
        target = f"{operator_setup.endpoint.address}:{statsd.getsockname()[1]}"
        path.write_text(json.dumps({**json.loads(path.read_text()), "statsd_target": target}))

        def publish() -> str:
            operator_setup.run("publish")
            while True:
                # Skips the counters of calls to the platform.
                for line in statsd.recv(65536).decode().splitlines():
                    if ".publish." in line:
                        return line

        prefix = "amaranthbend.operator.publish."
        assert publish() == f"{prefix}too_few_approvals:1|c"
        operator_setup.approve()
        assert publish() == f"{prefix}published:1|c"
        assert publish() == f"{prefix}in_force:1|c"
        (operator_setup.folder / "99.jsonc").write_text("{")
        assert publish() == f"{prefix}invalid_settings:1|c"
        (operator_setup.folder / "99.jsonc").unlink()
        operator_setup.set_faults(outage="unavailable")
        assert publish() == f"{prefix}platform_unavailable:1|c"


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["--key={path}/legal-2", "--yes"], "not in approver_keys"),
        (["--key={path}/legal-0"], "--yes"),
        (["--key={path}/legal-0", "--yes", "--rnew"], "Could not consume arg"),
        (["--key={path}/none", "--yes"], "check the path"),
    ],
)
def test_refused_approvals_write_nothing(
    operator_setup: OperatorSetup, arguments: list[str], message: str
) -> None:
    """Guards against an unintended approval, for example after a misspelt flag."""
    done = operator_setup.run(
        "approve", *(text.format(path=operator_setup.path) for text in arguments)
    )
    assert done.returncode != 0
    assert message in done.stderr
    assert not list(operator_setup.folder.glob("*.approval.json"))


def test_watch_publishes_after_an_outage_and_stops_on_sigterm(
    operator_setup: OperatorSetup,
) -> None:
    """Guards against a watch that ends in an outage of the platform or ignores SIGTERM."""
    operator_setup.approve()
    operator_setup.set_faults(outage="unavailable")
    arguments = ["publish", f"--settings={operator_setup.path}/operator.jsonc", "--watch"]
    watch = ManagedProcess("watch", MODULE, arguments, operator_setup.path)
    watch.start()
    try:
        wait_until(
            lambda: "status=platform_unavailable" in watch.read_output(), 20, "outage report"
        )
        assert watch.read_output().count("event=publish ") == 1
        operator_setup.set_faults(outage="none")
        wait_until(lambda: operator_setup.read_stored_envelope() is not None, 40, "publication")
        watch.send_signal(signal.SIGTERM)
        assert watch.wait() == 0
    finally:
        watch.clean_up()


@pytest.mark.parametrize("deployment", ["eeslikoda", "ihuriro"])
def test_examples_are_valid(deployment: str) -> None:
    """Guards against example settings that the programs reject."""
    settings = load_operator_settings(ROOT / "examples" / deployment / "operator.jsonc").unwrap()
    checked = check_folder(read_folder(settings.folder).unwrap(), deployment).unwrap()
    assert build_policy(checked.merged.value).deployment == deployment
    folder = ROOT / "examples" / deployment
    entry = load_process_settings(str(folder / "entry-1.jsonc"), EntrySettings)
    control = load_process_settings(str(folder / "control.jsonc"), ControlSettings)
    assert {entry.deployment, control.deployment} == {deployment}
    assert entry.approver_keys == control.approver_keys == settings.approver_keys


def test_reference_page_is_up_to_date() -> None:
    """Guards against documented keys, ranges and defaults that differ from the code."""
    assert render_reference() in (ROOT / "docs" / "settings.md").read_text()


@pytest.mark.parametrize("reasons", [OutcomeReason, RetryReason, RejectionReason, PublishStatus])
def test_guide_explains_every_reason(reasons: type[StrEnum]) -> None:
    """Guards against a reason that the operators' guide does not explain."""
    text = (ROOT / "docs" / "operators.md").read_text()
    assert [reason for reason in reasons if f"`{reason}`" not in text] == []


def test_settings_acceptance_does_not_import_the_parser() -> None:
    """Guards against loading lark, which costs memory in every entry and control process."""
    code = (
        "import sys, amaranthbend.settings.acceptance; "
        "sys.exit(any(name.split('.')[0] == 'lark' for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False, timeout=60).returncode == 0
