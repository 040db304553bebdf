"""Entry process: passes callers' requests through a chain of filters to upstreams."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import fire
import uvloop

from ..adapters.admin import AdminSources, make_admin_server
from ..adapters.caller_server import CallerServer
from ..adapters.claims import ClaimRegistry
from ..adapters.control_link import ControlLink, LinkCallbacks
from ..adapters.http_client import make_http_client
from ..adapters.logs import configure_logging, log_event
from ..adapters.metrics import Counters
from ..adapters.platform import PlatformClient
from ..adapters.upstream import UpstreamClient
from ..core.buffers import BufferBudget
from ..core.connections import UPSTREAM_CONNECTIONS_PER_CALLER, compute_max_connections
from ..core.departures import Departure
from ..core.envelope import SettingsEnvelope
from ..core.envelope_decisions import EnvelopeVerdict
from ..filters.chain import FilterChain
from ..filters.claim import ClaimFilter, ClaimManager, UnavailableClaims
from ..filters.dispatch import DispatchFilter
from ..filters.idempotency import IdempotencyAndDeadlineFilter
from ..filters.routes import RouteFilter
from ..filters.services import DispatchSettings
from ..filters.validation import ValidationFilter
from ..rpc.messages import MembersByService
from ..settings.acceptance import Approvers, accept_envelope
from ..settings.process import EntrySettings
from .listener import open_listener
from .process_settings import load_settings_or_exit
from .startup import configure_garbage_collector, prepare_event_loop

__all__ = ["EntryProcess", "main"]

FLUSH_INTERVAL_S = 1.0
# A departure has to reach the processes of all hosts within 3 s. The report to the control
# process is the first of several steps.
DEPARTURE_REPORT_INTERVAL_S = 0.2
DRAIN_POLL_INTERVAL_S = 0.02
# An upstream may still be processing a request after the last byte of its response has arrived.
# It would treat a closed connection as a cancellation of that request.
UPSTREAM_CLOSE_DELAY_S = 0.5
MAX_CONCURRENT_PLATFORM_CALLS = 32
# Limit of the platform client. It has to be higher than this process's share of
# `claim_writes_per_s`, which is the effective limit.
PLATFORM_CALLS_PER_S = 200.0
# Used until settings are in force; then this process's share of `claim_writes_per_s` applies.
INITIAL_CLAIM_WRITES_PER_S = 1.0


def make_claim_manager(settings: EntrySettings, counters: Counters) -> ClaimManager:
    """Return the object that grants claims on idempotency keys.

    It grants none before settings are in force, and none at all without a platform URL.
    """
    if not settings.platform_url:
        return UnavailableClaims()
    client = make_http_client(MAX_CONCURRENT_PLATFORM_CALLS)
    platform = PlatformClient(
        settings.platform_url, client, counters, PLATFORM_CALLS_PER_S, PLATFORM_CALLS_PER_S
    )
    return ClaimRegistry(platform, counters, INITIAL_CLAIM_WRITES_PER_S)


class EntryProcess:
    """Builds the components of the entry process and applies settings and upstream members.

    Parameters
    ----------
    settings : EntrySettings
        Process settings.
    claims : ClaimManager or None
        Grants claims on idempotency keys; by default the one that the settings select.
    """

    def __init__(self, settings: EntrySettings, claims: ClaimManager | None = None) -> None:
        self.settings = settings
        self.counters = Counters(settings.statsd_target)
        max_connections = compute_max_connections(settings.max_descriptors, None)
        self.client = UpstreamClient(
            force_instance=True, max_connections=max_connections * UPSTREAM_CONNECTIONS_PER_CALLER
        )
        dispatch_settings = DispatchSettings(
            settings.data_centre,
            settings.entry_processes,
            settings.connect_timeout_s,
            settings.stall_timeout_s,
        )
        self.dispatch = DispatchFilter(self.client, self.counters, dispatch_settings)
        self.claims = claims or make_claim_manager(settings, self.counters)
        self.route_filter = RouteFilter()
        self.chain = FilterChain(
            (ValidationFilter(), self.route_filter, IdempotencyAndDeadlineFilter()),
            (ClaimFilter(self.claims), self.dispatch),
            self.counters,
            settings.held_body_bytes,
            BufferBudget(settings.buffered_bytes),
            max_connections=max_connections,
        )
        self.server = CallerServer(self.chain, settings.max_header_bytes)
        self.admin = make_admin_server(
            AdminSources(
                self.get_unready_reason,
                self.get_config,
                self.get_upstreams,
                self.counters.get_snapshot,
            )
        )
        self.envelope: SettingsEnvelope | None = None
        self._approvers = Approvers(
            settings.deployment, settings.approver_keys, settings.required_approvals
        )
        self._has_members = False
        self._probe_share_expiry: asyncio.TimerHandle | None = None
        self._known_departures: set[Departure] = set()

    def get_callbacks(self) -> LinkCallbacks:
        """Return the callbacks for the control link."""
        return LinkCallbacks(
            self.on_settings, self.on_members, self.on_departures, self.on_probe_share
        )

    def on_settings(self, envelope: SettingsEnvelope) -> None:
        """Verify an envelope and put it in force if it is newer than the present one."""
        now = time.monotonic()
        decision, accepted = accept_envelope(self.envelope, envelope, self._approvers, now)
        if accepted is None:
            if decision.verdict is EnvelopeVerdict.REJECTED:
                self.counters.incr(f"settings.rejected.{decision.reason}")
                log_event("settings_rejected", serial=envelope.serial, error=decision.message)
            return
        self.envelope = accepted.envelope
        self.route_filter.set_policy(accepted.policy)
        self.dispatch.set_policy(accepted.policy, now)
        shares = accepted.policy.entry_hosts_max * self.settings.entry_processes
        self.claims.set_rate(accepted.policy.claim_writes_per_s / shares, now)
        self.counters.incr("settings.accepted")
        log_event("settings_in_force", serial=envelope.serial, digest=envelope.digest)

    def on_members(self, members: MembersByService) -> None:
        """Replace the upstream members of all services."""
        self._has_members = True
        self.dispatch.set_members(members, time.monotonic())

    def on_departures(self, departures: tuple[Departure, ...]) -> None:
        """Record departures of upstreams that other processes observed."""
        self._known_departures.update(departures)
        self.dispatch.record_departures(departures, time.monotonic())

    def on_probe_share(self, share: float, valid_for_s: float) -> None:
        """Set this host's share of the probe budget until it expires or is renewed.

        Parameters
        ----------
        share : float
            Fraction of the deployment's probe budget.
        valid_for_s : float
            Seconds until the share expires.
        """
        if self._probe_share_expiry is not None:
            self._probe_share_expiry.cancel()
            self._probe_share_expiry = None
        now = time.monotonic()
        if valid_for_s <= 0:
            share = 0.0
        self.dispatch.set_probe_share(share, now)
        if share > 0:
            loop = asyncio.get_running_loop()
            self._probe_share_expiry = loop.call_later(
                valid_for_s, lambda: self.dispatch.set_probe_share(0.0, time.monotonic())
            )

    def collect_new_departures(self) -> list[Departure]:
        """Return the departures that this process has observed since the last call."""
        new_departures: list[Departure] = []
        for name, service in self.dispatch.services.items():
            for departed in service.dispatcher.list_departures():
                departure = Departure(name, departed.upstream, departed.incarnation)
                if departure not in self._known_departures:
                    new_departures.append(departure)
        self._known_departures.update(new_departures)
        return new_departures

    def get_unready_reason(self) -> str:
        """Return why the process is not ready for requests, empty if it is ready."""
        if self.chain.is_draining:
            return "shutting down"
        if self.envelope is None:
            return "no settings in force"
        if not self._has_members:
            return "no host list"
        return ""

    def get_config(self) -> dict[str, Any]:
        """Return serial and digest of the settings in force."""
        if self.envelope is None:
            return {"serial": 0, "digest": ""}
        return {"serial": self.envelope.serial, "digest": self.envelope.digest}

    def get_upstreams(self) -> dict[str, Any]:
        """Return the known state of each upstream, by service."""
        return self.dispatch.snapshot(time.monotonic())

    def listen(self) -> None:
        """Start accepting connections from callers and to the administration API."""
        settings = self.settings
        address = f"{settings.address}:{settings.port}"
        listener = open_listener(address, reuse_port=settings.reuse_port)
        listener.on_exhaustion = self.chain.guard.handle_failed_accept
        self.server.add_sockets([listener])
        self.admin.listen(settings.admin_port, settings.admin_address)
        log_event("entry_started", address=settings.address, port=settings.port)

    async def run_maintenance(self) -> None:
        """Close stalled streams and send counters periodically, until cancelled."""
        interval_s = min(FLUSH_INTERVAL_S, self.settings.stall_timeout_s / 4)
        while True:
            await asyncio.sleep(interval_s)
            now = time.monotonic()
            self.dispatch.abort_stalled_streams(now)
            self.server.close_stalled(self.settings.stall_timeout_s, now)
            self.chain.guard.sweep(now)
            self.counters.flush()

    async def shut_down(self) -> None:
        """Finish the requests in flight, without a time limit as long as they make progress."""
        self.chain.is_draining = True
        log_event("entry_draining", connections=self.server.count_connections())
        await asyncio.sleep(self.settings.balancer_lag_s)
        self.server.stop()
        while self.server.count_connections() > 0:
            # A connection that had a request at the last check may be idle now.
            self.server.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.server.wait_for_lingering_closes()
        await asyncio.sleep(UPSTREAM_CLOSE_DELAY_S)
        self.counters.flush()
        log_event("entry_stopped")


class Link(Protocol):
    """Link to the control process, which is the source of settings and upstream members."""

    async def run(self) -> None:
        """Receive updates and pass them to the callbacks, until cancelled."""

    def report_departures(self, departures: Iterable[Departure]) -> None:
        """Report departures of upstreams that this process observed."""

    def count_probe(self, size_bytes: int) -> None:
        """Count a probe and its bytes for the next report to the control process."""


def make_control_link(process: EntryProcess) -> Link:
    """Return the link to the control process of this host."""
    return ControlLink(
        process.settings.control_target,
        process.settings.process_id,
        process.get_callbacks(),
        lambda: process.envelope,
    )


async def report_departures(process: EntryProcess, link: Link) -> None:
    """Report new departures to the control process periodically, until cancelled."""
    while True:
        await asyncio.sleep(DEPARTURE_REPORT_INTERVAL_S)
        link.report_departures(process.collect_new_departures())


async def serve(
    settings: EntrySettings, make_link: Callable[[EntryProcess], Link] = make_control_link
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Parameters
    ----------
    settings : EntrySettings
        Process settings.
    make_link : callable
        Creates the link to the control process.
    """
    stopped = prepare_event_loop()
    process = EntryProcess(settings)
    link = make_link(process)
    process.dispatch.on_probe_sent = link.count_probe
    configure_garbage_collector()
    process.listen()
    tasks = [
        asyncio.ensure_future(link.run()),
        asyncio.ensure_future(report_departures(process, link)),
        asyncio.ensure_future(process.run_maintenance()),
    ]
    await stopped.wait()
    await process.shut_down()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run(settings: str) -> None:
    """Run an entry process.

    Parameters
    ----------
    settings : str
        Path of the file with the process settings (JSON with comments).
    """
    loaded = load_settings_or_exit(settings, EntrySettings)
    uvloop.run(serve(loaded))


def main() -> None:
    """Run an entry process from the command line."""
    configure_logging()
    fire.Fire(run)


if __name__ == "__main__":
    main()
