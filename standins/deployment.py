"""A whole deployment on loopback: platform, upstreams, entry hosts and an operator."""

import json
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

from .http import call, call_json
from .nodes import DATA_CENTRES, EntryProcess, Host, Operator, Upstream
from .processes import Endpoint, ManagedProcess, pick_endpoint, pick_network, wait_until

__all__ = ["Deployment", "Plan"]

START_TIMEOUT_S = 15.0
# Hosts get the addresses from 10 on, upstreams those from 100 on.
FIRST_HOST_NUMBER = 10
FIRST_UPSTREAM_NUMBER = 100


class Plan(NamedTuple):
    """Size of a deployment.

    Parameters
    ----------
    hosts, entries : int
        Entry hosts, and entry processes on each.
    upstreams : dict of str to int
        Upstreams of each service.
    upstream_arguments : tuple of str
        Further arguments of the upstream stand-ins.
    required_approvals : int
        Approvals that a change needs.
    data_centres : int
        Data centres over which hosts and upstreams are spread.
    control_settings, entry_settings : dict
        Process settings that replace the usual ones.
    """

    hosts: int = 2
    entries: int = 1
    upstreams: dict[str, int] = {"adopt-desk": 2, "archive-shelf": 1}
    upstream_arguments: tuple[str, ...] = ()
    required_approvals: int = 1
    data_centres: int = len(DATA_CENTRES)
    control_settings: dict[str, Any] = {}
    entry_settings: dict[str, Any] = {}


class Deployment:
    """Everything of one deployment; use it as a context manager.

    Parameters
    ----------
    folder : Path
        Folder for settings, keys and the output of the processes.
    plan : Plan
        Size.
    settings : Path
        Folder of settings files to copy for the operator.
    """

    def __init__(self, folder: Path, plan: Plan, settings: Path) -> None:
        self.folder = folder
        self.plan = plan
        self.name = "eeslikoda"
        self._settings = settings
        self._network = pick_network()
        self.platform_endpoint = pick_endpoint(f"{self._network}.1")
        self.platform: ManagedProcess | None = None
        self.upstreams: list[Upstream] = []
        self.hosts: list[Host] = []
        self.approver_keys: dict[str, str] = {}
        self.operator = Operator("legal-1", folder / "operator", self.platform_endpoint, self.name)

    def __enter__(self) -> "Deployment":
        self.folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *_error: object) -> None:
        for process in self.processes:
            process.clean_up()

    @property
    def processes(self) -> list[ManagedProcess]:
        """All started processes, the platform last."""
        processes = [process for host in self.hosts for process in host.processes]
        processes += [up.process for up in self.upstreams if up.process is not None]
        return processes + ([] if self.platform is None else [self.platform])

    @property
    def entries(self) -> list[EntryProcess]:
        """All entry processes."""
        return [entry for host in self.hosts for entry in host.entries]

    def start_outside(self) -> None:
        """Start the platform and the upstreams, and create the operator's folder."""
        self.start_platform()
        for service, count in self.plan.upstreams.items():
            for number in range(count):
                self.add_upstream(service, number)
        self.operator.create(self._settings)
        self.approver_keys[self.operator.name] = self.operator.public_key
        self.operator.write_settings(self.approver_keys, self.plan.required_approvals)
        for upstream in self.upstreams:
            wait_for_answer(upstream.endpoint, "/_stats")
        wait_for_answer(self.platform_endpoint, "/_stats")
        for _ in range(self.plan.hosts):
            self.add_host()
        self.publish_hosts()

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        endpoint = self.platform_endpoint
        arguments = [f"--port={endpoint.port}", f"--address={endpoint.address}"]
        self.platform = ManagedProcess("platform", "standins.platform", arguments, self.folder)
        self.platform.start()

    def add_upstream(self, service: str, number: int) -> Upstream:
        """Start one more upstream; the host list names it from the next `publish_hosts` on."""
        address = f"{self._network}.{FIRST_UPSTREAM_NUMBER + len(self.upstreams)}"
        data_centre = DATA_CENTRES[number % self.plan.data_centres]
        upstream = Upstream(f"{service}-{number}", service, pick_endpoint(address), data_centre)
        upstream.start(self.folder, self.plan.upstream_arguments)
        self.upstreams.append(upstream)
        return upstream

    def add_host(self) -> Host:
        """Add an entry host, without processes yet."""
        number = len(self.hosts)
        address = f"{self._network}.{FIRST_HOST_NUMBER + number}"
        host = Host(number, address, DATA_CENTRES[number % self.plan.data_centres])
        self.hosts.append(host)
        return host

    def get_upstreams(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return [upstream for upstream in self.upstreams if upstream.service == service]

    def publish_hosts(self) -> None:
        """Give the platform the true host list."""
        hosts = [host.describe() for host in self.hosts]
        hosts += [upstream.describe() for upstream in self.upstreams]
        call_json(self.platform_endpoint, "/_hosts", "PUT", {"hosts": hosts})

    def set_platform_faults(self, **faults: Any) -> None:
        """Switch faults of the platform."""
        call_json(self.platform_endpoint, "/_faults", "PUT", faults)

    def get_platform_stats(self) -> dict[str, Any]:
        """Return the call counts of the platform."""
        stats: dict[str, Any] = call_json(self.platform_endpoint, "/_stats")
        return stats

    def start_hosts(self) -> None:
        """Start the control and entry processes of all hosts."""
        for host in self.hosts:
            self.start_control(host)
            for _ in range(self.plan.entries):
                self.start_entry(host)
        self.publish_hosts()

    def start_control(self, host: Host) -> ManagedProcess:
        """Start, or start again, the control process of a host."""
        path = self.folder / f"{host.id}-control.jsonc"
        path.write_text(json.dumps(self.compose_control_settings(host), indent=2))
        module, arguments = "amaranthbend.programs.control", [f"--settings={path}"]
        host.control = ManagedProcess(f"{host.id}-control", module, arguments, self.folder)
        host.control.start()
        return host.control

    def start_entry(self, host: Host) -> EntryProcess:
        """Start one more entry process on a host."""
        name = f"{host.id}-entry-{len(host.entries)}"
        path = self.folder / f"{name}.jsonc"
        module, arguments = "amaranthbend.programs.entry", [f"--settings={path}"]
        process = ManagedProcess(name, module, arguments, self.folder)
        entry = EntryProcess(process, pick_endpoint(host.address), pick_endpoint(host.address))
        path.write_text(json.dumps(self.compose_entry_settings(host, entry), indent=2))
        host.entries.append(entry)
        process.start()
        return entry

    def compose_common_settings(self, host: Host) -> dict[str, Any]:
        """Return the process settings that control and entry processes share."""
        return {
            "deployment": self.name,
            "host_id": host.id,
            "platform_url": f"http://{self.platform_endpoint}",
            "approver_keys": self.approver_keys,
            "required_approvals": self.plan.required_approvals,
        }

    def compose_control_settings(self, host: Host) -> dict[str, Any]:
        """Return the process settings of a control process."""
        return {
            **self.compose_common_settings(host),
            "peers": {
                peer.id: str(peer.control_endpoint) for peer in self.hosts if peer is not host
            },
            "control_address": host.address,
            "control_port": host.control_endpoint.port,
            "admin_address": host.address,
            "admin_port": host.control_admin.port,
            **self.plan.control_settings,
        }

    def compose_entry_settings(self, host: Host, entry: EntryProcess) -> dict[str, Any]:
        """Return the process settings of an entry process."""
        return {
            **self.compose_common_settings(host),
            "data_centre": host.data_centre,
            "process_id": entry.process.name,
            "address": entry.endpoint.address,
            "port": entry.endpoint.port,
            "admin_address": entry.admin.address,
            "admin_port": entry.admin.port,
            "control_target": str(host.control_endpoint),
            "entry_processes": self.plan.entries,
            "balancer_lag_s": 0.2,
            **self.plan.entry_settings,
        }

    def publish_settings(self) -> int:
        """Check, approve and publish the operator's folder; return the serial.

        Raises
        ------
        RuntimeError
            If the operators' program refuses.
        """
        check = lambda: self.operator.run_with_settings("check")  # noqa: E731
        steps: tuple[Callable[[], Any], ...] = (check, self.operator.approve, self.operator.publish)
        for step in steps:
            result = step()
            if result.returncode != 0:
                raise RuntimeError(f"{result.args}: {result.stdout}{result.stderr}")
        return self.get_platform_serial()

    def publish_settings_change(self, settings: dict[str, Any]) -> int:
        """Change the operator's folder, approve and publish it; return the serial."""
        self.operator.change(settings)
        return self.publish_settings()

    def get_platform_serial(self) -> int:
        """Return the serial of the settings on the platform."""
        path = f"/objects/settings/{self.name}"
        return int(call_json(self.platform_endpoint, path)["value"]["serial"])

    def wait_ready(self) -> None:
        """Wait until every entry process is ready."""
        for entry in self.entries:
            wait_for_answer(entry.admin, "/readyz", entry.process)

    def wait_serial(self, serial: int, timeout_s: float = 7.0) -> None:
        """Wait until every entry process has a serial in force."""

        def is_in_force() -> bool:
            check_running([entry.process for entry in self.entries])
            return all(
                host.get_serial(e.admin) >= serial for host in self.hosts for e in host.entries
            )

        wait_until(is_in_force, timeout_s, f"serial {serial} in force everywhere")

    def stop_gracefully(self, timeout_s: float = 15.0) -> dict[str, int]:
        """Stop entry and control processes by SIGTERM; return their exit codes."""
        entries = [entry.process for entry in self.entries]
        controls = [host.control for host in self.hosts if host.control is not None]
        codes: dict[str, int] = {}
        for group in (entries, controls):
            running = [process for process in group if process.is_running()]
            for process in running:
                process.terminate()
            with ThreadPoolExecutor(max(1, len(running))) as pool:
                waits = pool.map(lambda process: process.wait(timeout_s), running)
                codes.update(zip([process.name for process in running], waits, strict=True))
        return codes


def check_running(processes: Iterable[ManagedProcess]) -> None:
    """Raise an error that quotes the output of a process that has ended."""
    for process in processes:
        if not process.is_running():
            raise RuntimeError(f"{process.name} ended: {process.read_output()[-2000:]}")


def wait_for_answer(endpoint: Endpoint, path: str, process: ManagedProcess | None = None) -> None:
    """Wait until a path answers 200; fail at once if the process has ended."""

    def is_answered() -> bool:
        check_running([] if process is None else [process])
        return call(endpoint, path, timeout_s=2.0).status == 200

    wait_until(is_answered, START_TIMEOUT_S, f"http://{endpoint}{path}")
