"""Upstreams, hosts and operators of a local deployment, each in processes of its own."""

import json
import shutil
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from .http import call, call_json
from .processes import Endpoint, ManagedProcess, pick_endpoint

__all__ = ["EntryProcess", "Host", "Operator", "Upstream"]

OPERATOR_TIMEOUT_S = 20.0
DATA_CENTRES = ("tartu-a", "tartu-b", "voru-a", "polva-a")


class Upstream:
    """One upstream stand-in and its entry in the host list."""

    def __init__(self, name: str, service: str, endpoint: Endpoint, data_centre: str) -> None:
        self.name = name
        self.service = service
        self.endpoint = endpoint
        self.data_centre = data_centre
        self.incarnation = 1
        self.state = "live"
        self.process: ManagedProcess | None = None

    def start(self, folder: Path, arguments: Iterable[str]) -> None:
        """Start the stand-in."""
        values = {
            "port": self.endpoint.port,
            "address": self.endpoint.address,
            "name": self.name,
            "incarnation": self.incarnation,
        }
        named = [f"--{name}={value}" for name, value in values.items()]
        self.process = ManagedProcess(self.name, "standins.upstream", [*named, *arguments], folder)
        self.process.start()

    def set_faults(self, **faults: Any) -> None:
        """Switch faults."""
        call_json(self.endpoint, "/_faults", "PUT", faults)

    def get_executed(self) -> list[dict[str, Any]]:
        """Return the log of executed requests."""
        executed: list[dict[str, Any]] = call_json(self.endpoint, "/_executed")["executed"]
        return executed

    def get_stats(self) -> dict[str, Any]:
        """Return the counts."""
        stats: dict[str, Any] = call_json(self.endpoint, "/_stats")
        return stats

    def describe(self) -> dict[str, Any]:
        """Return the entry of the host list."""
        return {
            "id": self.name,
            "role": self.service,
            "address": self.endpoint.address,
            "port": self.endpoint.port,
            "control_port": 0,
            "data_centre": self.data_centre,
            "state": self.state,
            "incarnation": self.incarnation,
        }


class EntryProcess(NamedTuple):
    """One entry process."""

    process: ManagedProcess
    endpoint: Endpoint
    admin: Endpoint


class Host:
    """One entry host: a control process and entry processes."""

    def __init__(self, number: int, address: str, data_centre: str) -> None:
        self.id = f"entry-{number}"
        self.address = address
        self.data_centre = data_centre
        self.control_endpoint = pick_endpoint(address)
        self.control_admin = pick_endpoint(address)
        self.control: ManagedProcess | None = None
        self.entries: list[EntryProcess] = []
        self.state = "live"

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes of the host."""
        control = [] if self.control is None else [self.control]
        return control + [entry.process for entry in self.entries]

    def describe(self) -> dict[str, Any]:
        """Return the entry of the host list."""
        return {
            "id": self.id,
            "role": "entry",
            "address": self.address,
            "port": self.entries[0].endpoint.port if self.entries else 0,
            "control_port": self.control_endpoint.port,
            "data_centre": self.data_centre,
            "state": self.state,
            "incarnation": 1,
        }

    def get_serial(self, admin: Endpoint | None = None) -> int:
        """Return the serial in force, 0 if there is none or no answer."""
        answer = call(admin or self.entries[0].admin, "/configz", timeout_s=2.0)
        if answer.status != 200 or not answer.complete:
            return 0
        return int(answer.load_json().get("serial") or 0)


class Operator:
    """An operator with a folder of settings, a key and the operators' program."""

    def __init__(self, name: str, folder: Path, platform: Endpoint, deployment: str) -> None:
        self.name = name
        self.folder = folder
        self.settings_folder = folder / "settings"
        self.key_path = folder / f"{name}.key"
        self.settings_path = folder / "operator.jsonc"
        self.public_key = ""
        self._platform = platform
        self._deployment = deployment

    def create(self, settings: Path) -> None:
        """Copy a settings folder and generate a key."""
        self.folder.mkdir(parents=True)
        shutil.copytree(settings, self.settings_folder)
        self.run("keygen", f"--key_id={self.name}", f"--out={self.key_path}").check_returncode()
        self.public_key = json.loads(self.key_path.read_text())["public_key"]

    def write_settings(self, approver_keys: dict[str, str], required_approvals: int) -> None:
        """Write the settings of the operators' program."""
        settings = {
            "deployment": self._deployment,
            "folder": str(self.settings_folder),
            "platform_url": f"http://{self._platform}",
            "approver_keys": approver_keys,
            "required_approvals": required_approvals,
        }
        self.settings_path.write_text(json.dumps(settings, indent=2))

    def change(self, settings: dict[str, Any]) -> None:
        """Add or replace a settings file that is merged last."""
        (self.settings_folder / "90-change.jsonc").write_text(json.dumps(settings))

    def run(self, command: str, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Run one command of the operators' program."""
        module = [sys.executable, "-m", "amaranthbend.programs.operator", command]
        return subprocess.run(
            [*module, *arguments],
            capture_output=True,
            text=True,
            timeout=OPERATOR_TIMEOUT_S,
            check=False,
        )

    def run_with_settings(
        self, command: str, *arguments: str
    ) -> "subprocess.CompletedProcess[str]":
        """Run a command that needs the operator settings."""
        return self.run(command, f"--settings={self.settings_path}", *arguments)

    def approve(self) -> "subprocess.CompletedProcess[str]":
        """Approve the folder."""
        return self.run_with_settings("approve", f"--key={self.key_path}", "--yes")

    def publish(self) -> "subprocess.CompletedProcess[str]":
        """Publish the folder."""
        return self.run_with_settings("publish")
