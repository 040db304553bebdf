"""Components of the node process, which serves callers on a host by itself.

The platform's store configures it. `node_serving` runs it as a process.
"""

import asyncio
import functools
import socket
import time
from typing import TYPE_CHECKING

from ..adapters.addresses import split_address
from ..adapters.admin import AdminSources, make_admin_server
from ..adapters.caller_server import CallerServer
from ..adapters.change_relay import make_change_relay_server
from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..adapters.metrics_page import MetricsPage
from ..adapters.output import NonBlockingOutput
from ..adapters.pipelining import MAX_PIPELINED_REQUESTS
from ..adapters.readiness import make_readiness_server
from ..adapters.upstream import UpstreamClient
from ..controllers.first_lists import FIRST_START_LIST_WAITS, RESTART_LIST_WAITS
from ..controllers.host_directory import HostDirectory
from ..controllers.quota_exchange import make_quota_exchange
from ..controllers.relayed_store import RelayedStore
from ..controllers.store_watch import StoreWatch, begin_era, monitor_watches
from ..controllers.watch_handlers import (
    ConfigurationHandler,
    EvacuationHandler,
    UpstreamHandler,
    complete_policy,
)
from ..core.buffers import BufferBudget, compute_buffer_bytes
from ..core.change_relay import HostEntry, PeerSelector
from ..core.cold_limits import ColdLimits
from ..core.connections import UPSTREAM_CONNECTIONS_PER_CALLER, compute_max_connections
from ..core.policy import DeploymentPolicy
from ..core.positions import Eras
from ..core.reconciliation import InstanceReconciler, VersionReconciler
from ..filters.chain import FilterChain
from ..filters.dispatch import DispatchFilter
from ..filters.idempotency import IdempotencyAndDeadlineFilter
from ..filters.identity import IdentityFilter
from ..filters.quota import QuotaFilter
from ..filters.request_log import RequestLog
from ..filters.routes import RouteFilter
from ..filters.services import DispatchSettings
from ..filters.shutdown import ShutdownFilter
from ..filters.validation import ValidationFilter
from ..platform.dialect import PlatformDialect
from ..platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATIONS_KIND,
    INSTANCES_KIND,
    decode_configuration,
    decode_listing,
    read_progress,
    read_version,
)
from ..platform.store import StoreClient
from ..settings.node import NodeSettings
from .listener import LISTEN_BACKLOG, CallerListener
from .node_shutdown import ShutdownSequence

if TYPE_CHECKING:
    from ..filters.explanation import RequestExplainer

__all__ = ["NodeProcess"]

# Request bodies up to this size are buffered whole, so that a retry can send them again.
MAX_BUFFERED_BODY_BYTES = 1024 * 1024
# Size limit of heads until a configuration states one. It is large, since without a configuration
# all requests get a 503, which callers retry, unlike the 431 for a head above the limit.
INITIAL_MAX_HEADER_BYTES = 64 * 1024
# Timeout for connecting to an upstream: several round trips between data centres.
CONNECT_TIMEOUT_S = 0.25
# A connection on which the caller neither sends nor receives for this long is closed.
STALL_TIMEOUT_S = 30.0
MAINTENANCE_INTERVAL_S = 1.0
# Longest time for which connections wait at the start until the process is ready: several calls
# to a slow store. After that the process accepts them and answers 503 with Retry-After.
MAX_ACCEPT_DELAY_S = 0.5
READINESS_POLL_INTERVAL_S = 0.005
NO_EVACUATIONS = "no list of evacuations"
# Settings that are read only at the start; changing them requires a restart.
RESTART_ONLY_SETTINGS = frozenset(
    {
        "host_id",
        "data_centre",
        "data_centres",
        "caller_address",
        "readiness_address",
        "readiness_path",
        "peer_address",
        "quota_address",
        "quota_window_s",
        "quota_overshoot",
        "quota_slack",
        "data_centre_names",
        "store_address",
        "apply_s",
        "drain_s",
        "evacuation_s",
    }
)


class NodeProcess:
    """Builds the components of the node process and connects them.

    Parameters
    ----------
    settings : NodeSettings
        Process settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.counters = Counters()
        dialect = PlatformDialect()
        max_connections = compute_max_connections(settings.max_descriptors, settings.memory_bytes)
        client = UpstreamClient(
            force_instance=True, max_connections=max_connections * UPSTREAM_CONNECTIONS_PER_CALLER
        )
        dispatch_settings = DispatchSettings(
            settings.data_centre, 1, CONNECT_TIMEOUT_S, STALL_TIMEOUT_S, dialect
        )
        self.cold_limits = ColdLimits(settings.host_id, settings.data_centre, time.monotonic())
        self.cold_limits.set_bound(settings.cold_overshoot, settings.cold_slack)
        self.dispatch = DispatchFilter(client, self.counters, dispatch_settings, self.cold_limits)
        self.route_filter = RouteFilter()
        self.identity_filter = IdentityFilter(
            self.counters,
            lambda now: now - self._store.get_certain_age(CONFIGURATION_KIND),
            settings.apply_s,
        )
        self.shutdown_filter = ShutdownFilter()
        eras = Eras()
        store = StoreClient(settings.store_address, eras)
        self.quotas = make_quota_exchange(settings, store, self.counters)
        self._page = page = MetricsPage(self.counters)
        self.request_log = RequestLog(self.counters, page)
        self.chain = FilterChain(
            (
                ValidationFilter(),
                self.shutdown_filter,
                self.route_filter,
                self.identity_filter,
                IdempotencyAndDeadlineFilter(dialect),
            ),
            (self.shutdown_filter, QuotaFilter(self.quotas), self.dispatch),
            self.counters,
            MAX_BUFFERED_BODY_BYTES,
            BufferBudget(compute_buffer_bytes(settings.memory_bytes)),
            dialect,
            self.request_log,
            max_connections,
        )
        self.chain.guard.add_gauges(page)
        self.server = CallerServer(
            self.chain, INITIAL_MAX_HEADER_BYTES, MAX_PIPELINED_REQUESTS, self.counters
        )
        self._shutdown = ShutdownSequence(
            self.server, self.chain, self.shutdown_filter, self.dispatch
        )
        self.readiness_server = make_readiness_server(
            settings.readiness_path, self.get_unready_reason
        )
        self.configuration = ConfigurationHandler(
            CONFIGURATION_NAME, decode_configuration, self.apply_configuration, self.counters
        )
        self.upstreams = UpstreamHandler(decode_listing, self.dispatch, settings, self.counters)
        self._policy: DeploymentPolicy | None = None
        peer_selector = PeerSelector(settings.host_id, settings.data_centre)
        list_waits = FIRST_START_LIST_WAITS if settings.is_first_start else RESTART_LIST_WAITS
        self._store = RelayedStore(
            store,
            peer_selector,
            self.counters,
            list_waits=list_waits,
            # An upstream that leaves must be known in time too.
            apply_s=min(settings.apply_s, settings.drain_s),
            # A key or route that was withdrawn must not be served by the list of a lagging replica.
            current_kinds=(CONFIGURATION_KIND,),
            eras=eras,
            reconcilers={
                CONFIGURATION_KIND: VersionReconciler(read_version),
                INSTANCES_KIND: InstanceReconciler(read_progress),
            },
        )
        self.evacuations: EvacuationHandler | None = None
        if settings.evacuation_s > 0:
            self.evacuations = EvacuationHandler(
                self.dispatch,
                lambda: self._store.get_confirmation_age(EVACUATIONS_KIND),
                self.counters,
            )
        self.change_relay_server = make_change_relay_server(
            self._store.wait_for_changes, self._store.wait_for_list
        )
        self.host_directory = HostDirectory(
            store,
            HostEntry(settings.host_id, settings.data_centre, settings.peer_address),
            self.update_hosts,
            data_centres=settings.data_centres,
            is_first_start=settings.is_first_start,
        )
        self.admin = make_admin_server(
            AdminSources(
                self.get_unready_reason,
                lambda: {"version": self.configuration.version},
                lambda: self.dispatch.snapshot(time.monotonic()),
                self.counters.get_snapshot,
                lambda query: self.explainer.explain(query, time.monotonic()),
            ),
            page,
        )

    @functools.cached_property
    def explainer(self) -> "RequestExplainer":
        """Explains requests. It is imported when first used, as callers wait during the start."""
        from ..filters.explanation import ExplainedHost, RequestExplainer

        host = ExplainedHost(
            self.settings.host_id,
            self.settings.data_centre,
            lambda: self.configuration.version,
            self.get_unready_reason,
        )
        return RequestExplainer(
            host,
            self.route_filter,
            self.identity_filter,
            self.shutdown_filter,
            self.dispatch,
            self.quotas,
            self.chain.dialect,
        )

    def apply_configuration(self, version: int, policy: DeploymentPolicy, now: float) -> None:
        """Put a configuration in force.

        Parameters
        ----------
        version : int
            Version of the configuration.
        policy : DeploymentPolicy
            Decoded configuration.
        now : float
            Monotonic time in seconds.
        """
        self._policy = policy
        completed_policy = complete_policy(policy, self.settings, self.host_directory.share_count)
        self.dispatch.set_policy(completed_policy, now)
        self.route_filter.set_policy(completed_policy)
        self.identity_filter.set_policy(completed_policy)
        self.chain.guard.limits = policy.caller_limits
        self.server.set_max_header_bytes(policy.caller_limits.max_head_bytes)
        if self.quotas is not None:
            self.quotas.set_policy(completed_policy, now)
        self.request_log.version = version
        self._page.retain_services(completed_policy.services.keys())

    def update_hosts(self, hosts: list[HostEntry], now: float) -> None:
        """Replace the list of the hosts of the data centre."""
        self._store.set_hosts(hosts)
        self.cold_limits.set_hosts((host.name for host in hosts), now)
        if self.quotas is not None:
            self.quotas.set_hosts(hosts, self.host_directory.share_count, now)
        self.divide_budgets(now)

    def divide_budgets(self, now: float) -> None:
        """Divide the deployment's budgets, such as that of retries, among the hosts."""
        if self._policy is None:
            return
        shares = self.host_directory.share_count
        self.dispatch.set_policy(complete_policy(self._policy, self.settings, shares), now)

    def get_unready_reason(self) -> str:
        """Return why the process is not ready for new connections, empty if it is ready."""
        if self.chain.is_draining:
            return "shutting down"
        if self.configuration.version is None:
            return "no configuration"
        if not self.upstreams.has_listed:
            return "no list of upstreams"
        if self.evacuations is not None and self.evacuations.is_waiting:
            return NO_EVACUATIONS
        return ""

    def _lacks_evacuations_only(self) -> bool:
        return self.get_unready_reason() == NO_EVACUATIONS

    def listen(self) -> None:
        """Listen for the platform and other hosts; `accept_when_ready` serves the callers."""
        host, port = split_address(self.settings.readiness_address)
        self.readiness_server.listen(port, host)
        if self.settings.peer_address:
            host, port = split_address(self.settings.peer_address)
            self.change_relay_server.listen(port, host, backlog=LISTEN_BACKLOG)
        log_event(
            "node_started",
            host=self.settings.host_id,
            data_centre=self.settings.data_centre,
            address=self.settings.caller_address,
        )

    async def accept_when_ready(self, listener: socket.socket) -> None:
        """Accept callers' connections once the process is ready, or after MAX_ACCEPT_DELAY_S.

        After a loss of power all hosts start at once, and many callers have only one attempt left.
        Letting their connections wait for some hundredths of a second avoids a refusal because
        the configuration has not been read yet.

        Parameters
        ----------
        listener : socket.socket
            Listening socket for the callers' connections.
        """
        started_at = time.monotonic()
        while self.get_unready_reason() and time.monotonic() < started_at + MAX_ACCEPT_DELAY_S:
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)
        if isinstance(listener, CallerListener):
            listener.on_exhaustion = self.chain.guard.handle_failed_accept
        self.server.add_sockets([listener])
        log_event(
            "node_accepting",
            after_ms=int((time.monotonic() - started_at) * 1000),
            unready=self.get_unready_reason(),
        )

    def start_store_tasks(self) -> list["asyncio.Task[None]"]:
        """Start and return the tasks that follow configuration, upstreams and hosts."""
        watches = [
            StoreWatch(self._store, CONFIGURATION_KIND, self.configuration, self.counters),
            StoreWatch(self._store, INSTANCES_KIND, self.upstreams, self.counters),
        ]
        if self.evacuations is not None:
            watches.append(
                StoreWatch(self._store, EVACUATIONS_KIND, self.evacuations, self.counters)
            )
        self._store.on_new_era = lambda: begin_era(watches)
        tasks = [asyncio.ensure_future(watch.run()) for watch in watches]
        if self.evacuations is not None:
            tasks.append(asyncio.ensure_future(self.evacuations.run(self._lacks_evacuations_only)))
        tasks.append(asyncio.ensure_future(monitor_watches(watches)))
        tasks.append(asyncio.ensure_future(self.host_directory.run()))
        if self.quotas is not None:
            tasks.append(asyncio.ensure_future(self.quotas.run()))
        return tasks

    def replace_settings(self, settings: NodeSettings, now: float) -> None:
        """Apply new settings; those in RESTART_ONLY_SETTINGS take effect at the next start."""
        changed = [
            name
            for name, old, new in zip(settings._fields, self.settings, settings, strict=True)
            if old != new
        ]
        self.counters.incr("settings.reloaded")
        log_event(
            "settings_reloaded",
            changed=",".join(changed),
            needs_restart=",".join(name for name in changed if name in RESTART_ONLY_SETTINGS),
        )
        self.settings = settings
        self.cold_limits.set_bound(settings.cold_overshoot, settings.cold_slack)
        self.chain.buffers.set_limit(compute_buffer_bytes(settings.memory_bytes))
        self.chain.guard.max_connections = compute_max_connections(
            settings.max_descriptors, settings.memory_bytes
        )
        self.divide_budgets(now)

    async def run_maintenance(self, output: NonBlockingOutput) -> None:
        """Close stalled connections and count dropped log lines periodically, until cancelled."""
        dropped = 0
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            now = time.monotonic()
            self.counters.incr("log.dropped", output.dropped - dropped)
            dropped = output.dropped
            output.flush()
            self.dispatch.abort_stalled_streams(now)
            self.dispatch.log_cold_upstreams(now)
            self.server.close_stalled(STALL_TIMEOUT_S, now)
            self.chain.guard.sweep(now)

    async def shut_down(self) -> None:
        """Finish the requests in flight within the grace period before the process is killed."""
        await self._shutdown.run(self.settings.grace_s)
