"""Control process: distributes settings, upstream members and departures to entry processes.

One runs on each entry host. It reads from the platform and from the control processes of other
hosts (its peers), and sends updates to the entry processes of its own host.
"""

import asyncio
import random
import secrets
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import fire
import grpc
import uvloop

from ..adapters.admin import AdminSources, make_admin_server
from ..adapters.http_client import make_http_client
from ..adapters.logs import configure_logging, log_event
from ..adapters.metrics import Counters
from ..adapters.platform import PlatformClient
from ..controllers.claim_sweeper import ClaimSweeper
from ..controllers.entry_feed import EntryFeed
from ..controllers.fleet_status import FleetStatusWriter, HostReports
from ..controllers.host_list_poller import HostListPoller
from ..controllers.host_state import HostState
from ..controllers.lease_manager import LeaseDriver, LeaseManager, LeaseTiming
from ..controllers.peer_exchange import PeerExchange
from ..controllers.probe_shares import ProbeShareManager
from ..controllers.settings_watch import SettingsWatch
from ..rpc import control_pb2_grpc
from ..rpc.options import SERVER_OPTIONS
from ..settings.acceptance import Approvers
from .process_settings import load_settings_or_exit
from .startup import prepare_event_loop

__all__ = ["ControlProcess", "main"]

# Enough for the settings watch, the host list, the leases, the removal of old claims and the
# fleet status at the same time. The HTTP client queues calls above this limit.
MAX_CONCURRENT_PLATFORM_CALLS = 32
# A starting process uses the settings with the highest serial that it receives within this time.
INITIAL_FETCH_TIMEOUT_S = 1.0
SERVER_STOP_GRACE_S = 1.0
LEASE_RELEASE_TIMEOUT_S = 2.0
HOLDER_TOKEN_BYTES = 8
EXIT_FAILED = 1


class ControlSettings(NamedTuple):
    """Settings of a control process.

    Parameters
    ----------
    deployment, host_id : str
        Names of the deployment and of this host; `host_id` is its id in the host list.
    control_address, control_port : str, int
        Address and port for entry processes and for the control processes of other hosts.
    admin_address, admin_port : str, int
        Address and port of the administration API.
    platform_url : str
        Base URL of the platform.
    approver_keys : dict of str to str
        Public keys of the approvers as hexadecimal text, by key id.
    peers : dict of str to str
        `address:port` of the control processes to contact while the host list is unknown, by
        host id.
    statsd_target : str
        `address:port` of the statsd server; empty to send no metrics.
    required_approvals : int
        Minimum number of approvals of a change to the settings.
    lease_ttl_s, lease_margin_s : float
        Time without renewal after which another process may take over a lease, and the part of
        that time that the holder leaves unused because clocks differ in speed.
    """

    deployment: str
    host_id: str
    control_address: str
    control_port: int
    admin_address: str
    admin_port: int
    platform_url: str
    approver_keys: dict[str, str]
    peers: dict[str, str] = {}
    statsd_target: str = ""
    required_approvals: int = 2
    lease_ttl_s: float = LeaseTiming().ttl_s
    lease_margin_s: float = LeaseTiming().margin_s


class ControlProcess:
    """Builds the components of the control process and runs them until a stop is requested.

    Parameters
    ----------
    settings : ControlSettings
        Process settings.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._is_stopping = False
        self._counters = Counters(settings.statsd_target, "amaranthbend.control")
        self._rng = random.Random()
        client = make_http_client(MAX_CONCURRENT_PLATFORM_CALLS)
        self.platform = PlatformClient(settings.platform_url, client, self._counters)
        approvers = Approvers(
            settings.deployment, settings.approver_keys, settings.required_approvals
        )
        self.state = HostState(settings.host_id, approvers, self._counters)
        self._build_watches()
        self._build_leases()
        self._build_servicers()

    def _build_watches(self) -> None:
        deployment = self._settings.deployment
        self._settings_watch = SettingsWatch(self.platform, self.state, deployment, self._rng)
        self._host_list_poller = HostListPoller(self.platform, self.state, self._rng)
        self._reports = HostReports(time.monotonic)

    def _build_leases(self) -> None:
        # A random token makes a restarted process a different lease holder, since it does not
        # know which writes were made before the restart.
        holder = f"{self._settings.host_id}.{secrets.token_hex(HOLDER_TOKEN_BYTES)}"
        timing = LeaseTiming(self._settings.lease_ttl_s, self._settings.lease_margin_s)
        lease_driver = LeaseDriver(self.platform, self._counters, self._rng)
        sweeper_lease = LeaseManager(lease_driver, "claim-sweeper", holder, timing)
        status_lease = LeaseManager(lease_driver, "fleet-status", holder, timing)
        self._leases = [sweeper_lease, status_lease]
        self._probe_share_manager = ProbeShareManager(
            lease_driver, holder, timing, self._get_probe_share_count
        )
        self._claim_sweeper = ClaimSweeper(
            self.platform,
            sweeper_lease,
            self._counters,
            self._get_claim_retention_s,
            time.monotonic,
        )
        self._fleet_status_writer = FleetStatusWriter(
            self.platform,
            status_lease,
            self.state,
            self._reports,
            self._settings.deployment,
            self._counters,
            time.monotonic,
        )

    def _build_servicers(self) -> None:
        self.feed = EntryFeed(self.state, self._probe_share_manager.get_share)
        self.peers = PeerExchange(
            self.state,
            self._reports,
            self.feed.make_host_report,
            self._list_seed_addresses(),
            self._counters,
            self._rng,
        )

    def _list_seed_addresses(self) -> list[str]:
        peers = self._settings.peers
        return [target for host_id, target in peers.items() if host_id != self._settings.host_id]

    def _get_probe_share_count(self) -> int:
        return 0 if self.state.policy is None else self.state.policy.entry_hosts_max

    def _get_claim_retention_s(self) -> float | None:
        return None if self.state.policy is None else self.state.policy.claim_retention_s

    async def run(self, stopped: asyncio.Event) -> bool:
        """Serve until the event is set or a background loop ends, then shut down gracefully.

        Parameters
        ----------
        stopped : asyncio.Event
            Requests the shutdown.

        Returns
        -------
        bool
            False if a background loop ended before the shutdown.
        """
        await self._fetch_initial_state()
        server = grpc.aio.server(options=SERVER_OPTIONS)
        control_pb2_grpc.add_FeedServicer_to_server(self.feed, server)  # type: ignore[no-untyped-call]
        control_pb2_grpc.add_PeersServicer_to_server(self.peers, server)  # type: ignore[no-untyped-call]
        server.add_insecure_port(f"{self._settings.control_address}:{self._settings.control_port}")
        await server.start()
        self._admin_server = make_admin_server(self._make_admin_sources())
        self._admin_server.listen(self._settings.admin_port, self._settings.admin_address)
        log_event("control_started", port=self._settings.control_port, serial=self.state.serial)
        tasks = [asyncio.ensure_future(run()) for run in self._list_background_loops()]
        stop_wait = asyncio.ensure_future(stopped.wait())
        await asyncio.wait([stop_wait, *tasks], return_when=asyncio.FIRST_COMPLETED)
        stop_wait.cancel()
        has_failed = any(task.done() for task in tasks)
        await self._stop(server, tasks)
        return not has_failed

    def _make_admin_sources(self) -> AdminSources:
        return AdminSources(
            self._get_unready_reason,
            lambda: {"serial": self.state.serial, "digest": self.state.digest},
            self._describe_upstreams,
            self._counters.get_snapshot,
        )

    def _get_unready_reason(self) -> str:
        if self._is_stopping:
            return "stopping"
        if self.state.envelope is None:
            return "no settings: none valid on the platform, on peers or in entry processes"
        return "" if self.state.host_list is not None else "no host list"

    def _describe_upstreams(self) -> dict[str, Any]:
        departed = self.state.departures.has_departed
        return {
            service: [
                {**member._asdict(), "departed": departed(service, member[0], member.incarnation)}
                for member in members
            ]
            for service, members in self.state.members.items()
        }

    def _list_background_loops(self) -> list[Callable[[], Awaitable[None]]]:
        loops: list[Callable[[], Awaitable[None]]] = [
            self._settings_watch.run,
            self._host_list_poller.run,
            self.peers.run,
            self._probe_share_manager.run,
            self._claim_sweeper.run,
            self._fleet_status_writer.run,
            self._run_maintenance,
        ]
        return loops + [lease.run for lease in self._leases]

    async def _run_maintenance(self) -> None:
        while True:
            self._counters.flush()
            self._reports.record(self.state.host_id, self.feed.make_host_report())
            await asyncio.sleep(1.0)

    async def _fetch_initial_state(self) -> None:
        """Fetch settings and host list from the platform and from peers, within a time limit."""
        try:
            async with asyncio.timeout(INITIAL_FETCH_TIMEOUT_S):
                await asyncio.gather(self._fetch_from_platform(), self.peers.fetch_initial_state())
        except TimeoutError:
            log_event("start_collection_timeout", limit_s=INITIAL_FETCH_TIMEOUT_S)

    async def _fetch_from_platform(self) -> None:
        await asyncio.gather(self._settings_watch.fetch_once(), self._host_list_poller.fetch_once())
        # The host list may contain peers that the process settings do not list.
        await self.peers.fetch_initial_state()

    async def _stop(self, server: Any, tasks: Sequence[asyncio.Future[None]]) -> None:
        self._is_stopping = True
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                log_event("loop_failed", error=repr(task.exception()))
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The lease of the probe share expires by itself: entry processes may use the share until
        # then, so if another host acquired it now, the probe budget would be exceeded.
        releases = [lease.release() for lease in self._leases]
        try:
            async with asyncio.timeout(LEASE_RELEASE_TIMEOUT_S):
                await asyncio.gather(*releases)
        except TimeoutError:
            log_event("lease_release_timeout", limit_s=LEASE_RELEASE_TIMEOUT_S)
        await server.stop(SERVER_STOP_GRACE_S)
        self._admin_server.stop()
        await self.peers.close()
        self._counters.flush()
        log_event("control_stopped")


async def serve(settings: ControlSettings) -> bool:
    """Run until SIGTERM or SIGINT; return False if a background loop failed."""
    stopped = prepare_event_loop()
    return await ControlProcess(settings).run(stopped)


def run(settings: str) -> None:
    """Run the control process.

    Parameters
    ----------
    settings : str
        Path of the file with the process settings (JSON with comments).
    """
    loaded = load_settings_or_exit(settings, ControlSettings)
    if not uvloop.run(serve(loaded)):
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Run the control process from the command line."""
    configure_logging()
    fire.Fire(run)


if __name__ == "__main__":
    main()
