"""Node process: serves callers on a machine by itself, following the platform's store."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import time

from absl import logging
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from ..adapters.addresses import split_address
from ..adapters.admin import AdminSources, make_admin_server
from ..adapters.caller_server import CallerServer
from ..adapters.logs import log_event, set_up_logs
from ..adapters.metrics import Counters
from ..adapters.metrics_page import MetricsPage
from ..adapters.output import NonBlockingOutput
from ..adapters.peer_news import make_news_server
from ..adapters.upstream import UpstreamClient
from ..controllers.host_directory import HostDirectory
from ..controllers.shared_store import SharedStore
from ..controllers.store_followers import (
    ConfigurationFollower,
    UpstreamFollower,
    complete_policy,
)
from ..controllers.store_watch import StoreWatch, look_after
from ..core.errors import SettingsError
from ..core.news import HostEntry, NewsSources
from ..core.policy import DeploymentPolicy
from ..core.shutdown import ShutdownStep, make_shutdown_plan
from ..filters.chain import FilterChain
from ..filters.dispatch import DispatchFilter
from ..filters.idempotency import IdempotencyAndDeadlineFilter
from ..filters.request_log import RequestLog
from ..filters.routes import RouteFilter
from ..filters.services import DispatchSettings
from ..filters.shutdown import ShutdownFilter
from ..filters.validation import ValidationFilter
from ..platform.dialect import PlatformDialect
from ..platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    INSTANCES_KIND,
    decode_configuration,
    decode_listing,
)
from ..platform.settings import load_node_settings
from ..platform.store import StoreClient
from ..settings.node import NodeSettings
from .listening import BACKLOG
from .startup import make_stop_event, spare_collections

__all__ = ["NodeProcess", "run_process"]

# Bodies up to this size are held whole, so that they can be sent again.
HELD_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
# Longest time to connect to an upstream: several round trips between data centres.
CONNECT_TIMEOUT_S = 0.25
# A caller that neither sends nor takes anything for this long is cut off.
STALL_TIMEOUT_S = 30.0
SWEEP_S = 1.0
# The settings file may change without a signal.
SETTINGS_POLL_S = 2.0
STOP_POLL_S = 0.02
# Time at the end for requests that were on their way when the process decided to leave; within
# the margin that the shutdown plan keeps before the kill.
LAST_REFUSALS_S = 0.2
# Longest time at the start for which connections wait until the process is ready to serve them;
# some calls to a slow store. Later they are told to come back.
ACCEPT_WAIT_S = 0.5
ACCEPT_POLL_S = 0.005


# Settings that are used once, at the start.
FIXED_SETTINGS = frozenset(
    {
        "host_id",
        "data_centre",
        "caller_address",
        "readiness_address",
        "readiness_path",
        "peer_address",
        "store_address",
        "drain_s",
    }
)


class _ReadinessHandler(RequestHandler):
    """Answers the platform's question whether the process takes new connections."""

    def initialize(self, process: "NodeProcess") -> None:
        self._process = process

    def get(self) -> None:
        if self._process.get_unreadiness():
            self.set_status(503)


class NodeProcess:
    """Builds the parts of the node process.

    Parameters
    ----------
    settings : NodeSettings
        Process settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.counters = Counters()
        dialect = PlatformDialect()
        client = UpstreamClient(force_instance=True)
        dispatch_settings = DispatchSettings(
            settings.data_centre, 1, CONNECT_TIMEOUT_S, STALL_TIMEOUT_S, dialect
        )
        self.dispatch = DispatchFilter(client, self.counters, dispatch_settings)
        self.routes = RouteFilter()
        self.gate = ShutdownFilter()
        page = MetricsPage(self.counters)
        self.request_log = RequestLog(self.counters, page)
        self.chain = FilterChain(
            (ValidationFilter(), self.gate, self.routes, IdempotencyAndDeadlineFilter(dialect)),
            (self.dispatch,),
            self.counters,
            HELD_BODY_BYTES,
            dialect,
            self.request_log,
        )
        self.server = CallerServer(self.chain, MAX_HEADER_BYTES)
        self.readiness = HTTPServer(
            Application(
                [(settings.readiness_path, _ReadinessHandler, {"process": self})],
                log_function=lambda _handler: None,
            )
        )
        self.configuration = ConfigurationFollower(
            CONFIGURATION_NAME, decode_configuration, self.put_in_force, self.counters
        )
        self.upstreams = UpstreamFollower(decode_listing, self.dispatch, settings, self.counters)
        self._policy: DeploymentPolicy | None = None
        store = StoreClient(settings.store_address)
        sources = NewsSources(settings.host_id, settings.data_centre)
        self._store = SharedStore(store, sources, self.counters)
        self.news = make_news_server(self._store.wait_for_news)
        self.hosts = HostDirectory(
            store,
            HostEntry(settings.host_id, settings.data_centre, settings.peer_address),
            self.take_hosts,
            is_first_start=settings.is_first_start,
        )
        self.admin = make_admin_server(
            AdminSources(
                self.get_unreadiness,
                lambda: {"version": self.configuration.version},
                lambda: self.dispatch.snapshot(time.monotonic()),
                self.counters.list_all,
            ),
            page,
        )

    def put_in_force(self, version: int, policy: DeploymentPolicy, now: float) -> None:
        """Use a configuration from now on."""
        self._policy = policy
        complete = complete_policy(policy, self.settings, self.hosts.count)
        self.dispatch.set_policy(complete, now)
        self.routes.set_policy(complete)
        self.request_log.version = version

    def take_hosts(self, hosts: list[HostEntry], now: float) -> None:
        """Take another list of the deployment's hosts."""
        self._store.set_hosts(hosts)
        self.divide_budgets(len(hosts), now)

    def divide_budgets(self, hosts: int, now: float) -> None:
        """Divide the budgets of the deployment among another number of hosts."""
        if self._policy is not None:
            self.dispatch.set_policy(complete_policy(self._policy, self.settings, hosts), now)

    def get_unreadiness(self) -> str:
        """Return why the process should get no new connections, empty if it should."""
        if self.chain.is_draining:
            return "shutting down"
        if self.configuration.version is None:
            return "no configuration"
        if not self.upstreams.is_known:
            return "no list of upstreams"
        return ""

    def listen(self) -> None:
        """Answer the platform and other hosts; `accept` takes the callers' connections."""
        host, port = split_address(self.settings.readiness_address)
        self.readiness.listen(port, host)
        if self.settings.peer_address:
            host, port = split_address(self.settings.peer_address)
            self.news.listen(port, host, backlog=BACKLOG)
        log_event(
            "node_started",
            host=self.settings.host_id,
            data_centre=self.settings.data_centre,
            address=self.settings.caller_address,
        )

    async def accept(self, listener: socket.socket) -> None:
        """Take callers' connections as soon as they can be served.

        Load pattern: after a loss of power all hosts start at once, and many callers have one
        try left. Those that connect meanwhile wait for some hundredths of a second rather than
        hear that there is no configuration yet.
        """
        started_at = time.monotonic()
        while self.get_unreadiness() and time.monotonic() < started_at + ACCEPT_WAIT_S:
            await asyncio.sleep(ACCEPT_POLL_S)
        self.server.add_sockets([listener])
        log_event(
            "node_accepting",
            after_ms=int((time.monotonic() - started_at) * 1000),
            unready=self.get_unreadiness(),
        )

    def follow_store(self) -> list["asyncio.Task[None]"]:
        """Start to follow configuration and upstreams, and return the tasks."""
        watches = [
            StoreWatch(self._store, CONFIGURATION_KIND, self.configuration, self.counters),
            StoreWatch(self._store, INSTANCES_KIND, self.upstreams, self.counters),
        ]
        tasks = [asyncio.ensure_future(watch.run()) for watch in watches]
        tasks.append(asyncio.ensure_future(look_after(watches)))
        tasks.append(asyncio.ensure_future(self.hosts.run()))
        return tasks

    def replace_settings(self, settings: NodeSettings, now: float) -> None:
        """Use other settings from now on; addresses stay until the process starts anew."""
        changed = [
            name
            for name, before, after in zip(settings._fields, self.settings, settings, strict=True)
            if before != after
        ]
        self.counters.incr("settings.reloaded")
        log_event(
            "settings_reloaded",
            changed=",".join(changed),
            needs_restart=",".join(name for name in changed if name in FIXED_SETTINGS),
        )
        self.settings = settings
        self.divide_budgets(self.hosts.count, now)

    async def sweep(self, output: NonBlockingOutput) -> None:
        """Cut off stalled connections and count dropped log lines, until cancelled."""
        dropped = 0
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            self.counters.incr("log.dropped", output.dropped - dropped)
            dropped = output.dropped
            output.flush()
            self.dispatch.abort_stalled_streams(now)
            self.server.close_stalled(STALL_TIMEOUT_S, now)

    async def shut_down(self) -> None:
        """Finish what is in flight, within the time until the process is killed."""
        plan = make_shutdown_plan(self.settings.grace_s)
        started_at = time.monotonic()
        self.chain.is_draining = True
        log_event("node_draining", connections=self.server.count_connections())
        elapsed_s = 0.0
        while not plan.may_exit(elapsed_s, self.chain.active_request_count):
            self.gate.refuses_requests = plan.find_step(elapsed_s) is not ShutdownStep.ACCEPT
            await asyncio.sleep(STOP_POLL_S)
            elapsed_s = time.monotonic() - started_at
        log_event(
            "node_leaving", elapsed_ms=int(elapsed_s * 1000), cut=self.chain.active_request_count
        )
        await self.close_connections()
        log_event("node_stopped")

    async def close_connections(self) -> None:
        """End what is in flight, refuse what still arrives, and close the connections."""
        self.gate.refuses_requests = True
        self.server.stop()
        self.dispatch.abort_all()
        deadline = time.monotonic() + LAST_REFUSALS_S
        while self.server.count_connections() > 0 and time.monotonic() < deadline:
            self.server.close_idle()
            await asyncio.sleep(STOP_POLL_S)


def read_modification_time(file: str) -> float:
    """Return when a file was changed last, 0 while it cannot be read."""
    try:
        return os.stat(file).st_mtime
    except OSError:
        return 0.0


async def follow_settings(process: NodeProcess, file: str, signalled: asyncio.Event) -> None:
    """Read the settings again after SIGHUP and when the file has changed without a signal."""
    modified_at = read_modification_time(file)
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(signalled.wait(), SETTINGS_POLL_S)
        found_at = read_modification_time(file)
        if not signalled.is_set() and found_at == modified_at:
            continue
        signalled.clear()
        modified_at = found_at
        try:
            settings = load_node_settings(file)
        except SettingsError as error:
            # The file may be half written; the settings in force stay.
            process.counters.incr("settings.rejected")
            log_event("settings_invalid", error=error)
            continue
        process.replace_settings(settings, time.monotonic())


async def _serve(
    settings: NodeSettings,
    file: str,
    metrics_address: str,
    output: NonBlockingOutput,
    listener: socket.socket,
) -> None:
    """Serve until SIGTERM or SIGINT; `run_process` describes the parameters."""
    loop = asyncio.get_running_loop()
    stopped = make_stop_event()
    signalled = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, signalled.set)
    process = NodeProcess(settings)
    spare_collections()
    process.listen()
    if metrics_address:
        host, port = split_address(metrics_address)
        process.admin.listen(port, host)
    tasks = process.follow_store()
    tasks.append(asyncio.ensure_future(process.accept(listener)))
    tasks.append(asyncio.ensure_future(process.sweep(output)))
    tasks.append(asyncio.ensure_future(follow_settings(process, file, signalled)))
    await stopped.wait()
    await process.shut_down()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    output.flush()


def run_process(
    settings: NodeSettings, file: str, metrics_address: str, listener: socket.socket
) -> None:
    """Serve until the process is told to stop, and end it.

    Parameters
    ----------
    settings : NodeSettings
        Process settings.
    file : str
        Path of their file.
    metrics_address : str
        `address:port` of the administration API, empty for none.
    listener : socket.socket
        Takes the callers' connections.
    """
    set_up_logs()
    output = NonBlockingOutput(sys.stdout.fileno())
    logging.get_absl_handler().python_handler.stream = output
    asyncio.run(_serve(settings, file, metrics_address, output, listener))
    # Skips the teardown of libraries, which takes longer than all of the shutdown's last step.
    os._exit(0)
