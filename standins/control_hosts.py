"""Real control processes and a platform on loopback, for tests and benchmarks."""

import json
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from amaranthbend.core.envelope import (
    ManifestEntry,
    SettingsEnvelope,
    compute_digest,
    dump_envelope,
)
from amaranthbend.settings.approvals import create_key, sign_envelope

from .http import call_json
from .processes import Endpoint, ManagedProcess, pick_endpoint, pick_network, wait_until

__all__ = ["ControlHosts", "make_envelope", "run_control_hosts"]

DEPLOYMENT = "eeslikoda"
START_TIMEOUT_S = 20.0
SERVICE = "adopt-desk"
APPROVER = create_key("legal").unwrap()
MERGED: dict[str, Any] = {
    "deployment": DEPLOYMENT,
    "services": {SERVICE: {"slots_per_upstream": 6}},
    "routes": {"all": {"path_prefix": "/", "methods": ["GET", "POST"], "service": SERVICE}},
}
UPSTREAM_PORT = 9000


def make_envelope(serial: int, **changes: Any) -> SettingsEnvelope:
    """Return an approved envelope; other top-level settings may be given."""
    manifest = (ManifestEntry("10-base.jsonc", f"{serial:064x}"),)
    merged = {**MERGED, **changes}
    digest = compute_digest(manifest, merged)
    envelope = SettingsEnvelope(DEPLOYMENT, serial, "", digest, manifest, merged, ())
    return envelope._replace(signatures=(sign_envelope(envelope, APPROVER),))


class ControlHosts:
    """A platform and the control processes of some hosts, each host with its own address.

    Parameters
    ----------
    folder : Path
        Folder for settings files and output.
    count : int
        Number of hosts.
    upstreams : int
        Number of upstreams in the host list.
    uses_relays : bool
        Whether hosts reach the platform and each other at `platform_targets` and
        `peer_targets`, where the caller runs relays that count bytes.
    """

    def __init__(
        self, folder: Path, count: int, upstreams: int = 3, uses_relays: bool = False
    ) -> None:
        self._folder = folder
        self._network = pick_network()
        self.platform_endpoint = pick_endpoint(f"{self._network}.250")
        self.endpoints = [pick_endpoint(f"{self._network}.{n + 1}") for n in range(count)]
        self.admin_endpoints = [pick_endpoint(endpoint.address) for endpoint in self.endpoints]
        self.platform_targets = [self.platform_endpoint] * count
        self.peer_targets = self.endpoints
        if uses_relays:
            self.platform_targets = [pick_endpoint(e.address) for e in self.endpoints]
            self.peer_targets = [pick_endpoint(e.address) for e in self.endpoints]
        self.hosts = [self._describe_entry(n) for n in range(count)]
        self.hosts += [self._describe_upstream(n) for n in range(upstreams)]
        arguments = [f"--port={self.platform_endpoint.port}"]
        arguments.append(f"--address={self.platform_endpoint.address}")
        self.platform = ManagedProcess("platform", "standins.platform", arguments, folder)
        self.processes = [self._make_control(n) for n in range(count)]

    def _describe_entry(self, number: int) -> dict[str, Any]:
        endpoint = self.peer_targets[number]
        return {
            "id": f"host-{number}",
            "role": "entry",
            "address": endpoint.address,
            "port": 8080,
            "control_port": endpoint.port,
            "data_centre": "tartu-a",
            "state": "live",
            "incarnation": 1,
        }

    def _describe_upstream(self, number: int) -> dict[str, Any]:
        return {
            "id": f"desk-{number}",
            "role": SERVICE,
            "address": f"{self._network}.{100 + number}",
            "port": UPSTREAM_PORT,
            "control_port": 0,
            "data_centre": "tartu-a",
            "state": "live",
            "incarnation": 1,
        }

    def _make_control(self, number: int) -> ManagedProcess:
        path = self._folder / f"control-{number}.json"
        path.write_text(json.dumps(self._make_settings(number)))
        arguments = ["--settings", str(path)]
        module = "amaranthbend.programs.control"
        return ManagedProcess(f"control-{number}", module, arguments, self._folder)

    def _make_settings(self, number: int) -> dict[str, Any]:
        endpoint = self.endpoints[number]
        return {
            "deployment": DEPLOYMENT,
            "host_id": f"host-{number}",
            "control_address": endpoint.address,
            "control_port": endpoint.port,
            "platform_url": f"http://{self.platform_targets[number]}",
            "approver_keys": {APPROVER.key_id: APPROVER.public_key},
            "required_approvals": 1,
            "peers": {f"host-{n}": str(peer) for n, peer in enumerate(self.peer_targets)},
            "admin_address": endpoint.address,
            "admin_port": self.admin_endpoints[number].port,
        }

    def start_platform(self) -> None:
        """Start the platform and give it the host list."""
        self.platform.start()
        wait_until(self._is_platform_ready, START_TIMEOUT_S, "platform ready")
        self.put_hosts()

    def _is_platform_ready(self) -> bool:
        return "event=ready" in self.platform.read_output()

    def start(self, numbers: Sequence[int] | None = None) -> None:
        """Start control processes and wait until they listen."""
        chosen = range(len(self.processes)) if numbers is None else numbers
        for number in chosen:
            self.processes[number].output_path.unlink(missing_ok=True)
            self.processes[number].start()
        for number in chosen:
            self.wait_for_log(number, "event=control_started")

    def wait_for_log(self, number: int, text: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the output of a control process holds a text."""
        process = self.processes[number]
        wait_until(lambda: text in process.read_output(), timeout_s, f"{process.name}: {text}")

    def put_hosts(self) -> None:
        """Give the platform the present host list."""
        call_json(self.platform_endpoint, "/_hosts", "PUT", {"hosts": self.hosts})

    def put_object(self, kind: str, name: str, value: Any) -> None:
        """Write an object without a condition."""
        call_json(self.platform_endpoint, f"/objects/{kind}/{name}", "PUT", value)

    def publish(self, envelope: SettingsEnvelope) -> None:
        """Store an envelope on the platform."""
        self.put_object("settings", DEPLOYMENT, dump_envelope(envelope))

    def set_faults(self, **faults: Any) -> None:
        """Change the faults of the platform."""
        call_json(self.platform_endpoint, "/_faults", "PUT", faults)

    def target(self, number: int) -> Endpoint:
        """Return the endpoint of a control process."""
        return self.endpoints[number]

    def clean_up(self) -> None:
        """End what still runs."""
        for process in [*self.processes, self.platform]:
            process.clean_up()


@contextmanager
def run_control_hosts(
    folder: Path, count: int, upstreams: int = 3, uses_relays: bool = False
) -> Iterator[ControlHosts]:
    """Give hosts whose processes end with the block; the platform is started."""
    hosts = ControlHosts(folder, count, upstreams, uses_relays)
    try:
        hosts.start_platform()
        yield hosts
    finally:
        hosts.clean_up()
