"""Entry process: serves callers through a chain of filters."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import fire
import uvloop
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..adapters.admin import AdminSources, make_admin_server
from ..adapters.caller_server import CallerServer
from ..adapters.claims import ClaimRegistry
from ..adapters.control_link import ControlLink, LinkCallbacks
from ..adapters.logs import log_event, set_up_logs
from ..adapters.metrics import Counters
from ..adapters.platform import PlatformClient
from ..adapters.upstream import UpstreamClient
from ..core.departures import Departure
from ..core.envelope import SettingsEnvelope
from ..core.versions import EnvelopeVerdict
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
from .runtime import load_or_exit
from .startup import make_stop_event, spare_collections

__all__ = ["EntryProcess", "main"]

FLUSH_INTERVAL_S = 1.0
# Departures have to reach all processes within 3 s; this is the first step of several.
DEPARTURE_INTERVAL_S = 0.2
STOP_POLL_S = 0.02
# An upstream may still work on a request whose last byte has arrived here; it would take the
# end of its connection for a cancellation.
UPSTREAM_LINGER_S = 0.5
BACKLOG = 1024
PLATFORM_CLIENTS = 32
# Has to exceed the process's share of the claim writes, which is the real limit.
PLATFORM_CALLS_PER_S = 200.0
# Replaced by the share in the settings as soon as there are any.
FIRST_CLAIM_RATE = 1.0


def make_claim_keeper(settings: EntrySettings, counters: Counters) -> ClaimManager:
    """Return the keeper of claims; it grants nothing before settings are in force."""
    if not settings.platform_url:
        return UnavailableClaims()
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=PLATFORM_CLIENTS)
    platform = PlatformClient(
        settings.platform_url, client, counters, PLATFORM_CALLS_PER_S, PLATFORM_CALLS_PER_S
    )
    return ClaimRegistry(platform, counters, FIRST_CLAIM_RATE)


class EntryProcess:
    """Builds the parts of the entry process, and takes settings and members.

    Parameters
    ----------
    settings : EntrySettings
        Process settings.
    claims : ClaimKeeper or None
        Keeper of claims in place of the one that the settings ask for.
    """

    def __init__(self, settings: EntrySettings, claims: ClaimManager | None = None) -> None:
        self.settings = settings
        self.counters = Counters(settings.statsd_target)
        self.client = UpstreamClient(force_instance=True)
        dispatch_settings = DispatchSettings(
            settings.data_centre,
            settings.entry_processes,
            settings.connect_timeout_s,
            settings.stall_timeout_s,
        )
        self.dispatch = DispatchFilter(self.client, self.counters, dispatch_settings)
        self.claims = claims or make_claim_keeper(settings, self.counters)
        self.routes = RouteFilter()
        self.chain = FilterChain(
            (ValidationFilter(), self.routes, IdempotencyAndDeadlineFilter()),
            (ClaimFilter(self.claims), self.dispatch),
            self.counters,
            settings.held_body_bytes,
        )
        self.server = CallerServer(self.chain, settings.max_header_bytes)
        self.admin = make_admin_server(
            AdminSources(
                self.get_unreadiness, self.get_config, self.get_upstreams, self.counters.list_all
            )
        )
        self.envelope: SettingsEnvelope | None = None
        self._approvers = Approvers(
            settings.deployment, settings.approver_keys, settings.required_approvals
        )
        self._has_members = False
        self._share_expiry: asyncio.TimerHandle | None = None
        self._known_departures: set[Departure] = set()

    def get_callbacks(self) -> LinkCallbacks:
        """Return what the control link calls."""
        return LinkCallbacks(
            self.on_settings, self.on_members, self.on_departures, self.on_probe_share
        )

    def on_settings(self, envelope: SettingsEnvelope) -> None:
        """Verify an envelope, and put it in force if it is newer."""
        now = time.monotonic()
        decision, accepted = accept_envelope(self.envelope, envelope, self._approvers, now)
        if accepted is None:
            if decision.verdict is EnvelopeVerdict.REJECTED:
                self.counters.incr(f"settings.rejected.{decision.reason}")
                log_event("settings_rejected", serial=envelope.serial, error=decision.message)
            return
        self.envelope = accepted.envelope
        self.routes.set_policy(accepted.policy)
        self.dispatch.set_policy(accepted.policy, now)
        shares = accepted.policy.entry_hosts_max * self.settings.entry_processes
        self.claims.set_rate(accepted.policy.claim_writes_per_s / shares, now)
        self.counters.incr("settings.accepted")
        log_event("settings_in_force", serial=envelope.serial, digest=envelope.digest)

    def on_members(self, members: MembersByService) -> None:
        """Take the members of all services."""
        self._has_members = True
        self.dispatch.set_members(members, time.monotonic())

    def on_departures(self, departures: tuple[Departure, ...]) -> None:
        """Take departures that other processes have seen."""
        self._known_departures.update(departures)
        self.dispatch.record_departures(departures, time.monotonic())

    def on_probe_share(self, share: float, valid_for_s: float) -> None:
        """Take the host's part of the probe budget; it ends unless it is renewed."""
        if self._share_expiry is not None:
            self._share_expiry.cancel()
            self._share_expiry = None
        now = time.monotonic()
        if valid_for_s <= 0:
            share = 0.0
        self.dispatch.set_probe_share(share, now)
        if share > 0:
            loop = asyncio.get_running_loop()
            self._share_expiry = loop.call_later(
                valid_for_s, lambda: self.dispatch.set_probe_share(0.0, time.monotonic())
            )

    def take_new_departures(self) -> list[Departure]:
        """Return the departures that this process has seen since the last call."""
        news: list[Departure] = []
        for name, service in self.dispatch.services.items():
            for seen in service.dispatcher.list_departures():
                departure = Departure(name, seen.upstream, seen.incarnation)
                if departure not in self._known_departures:
                    news.append(departure)
        self._known_departures.update(news)
        return news

    def get_unreadiness(self) -> str:
        """Return why the process should get no requests, empty if it should."""
        if self.chain.is_draining:
            return "shutting down"
        if self.envelope is None:
            return "no settings in force"
        if not self._has_members:
            return "no host list"
        return ""

    def get_config(self) -> dict[str, Any]:
        """Return serial and digest in force."""
        if self.envelope is None:
            return {"serial": 0, "digest": ""}
        return {"serial": self.envelope.serial, "digest": self.envelope.digest}

    def get_upstreams(self) -> dict[str, Any]:
        """Return what is known of each upstream."""
        return self.dispatch.snapshot(time.monotonic())

    def listen(self) -> None:
        """Start to accept connections."""
        settings = self.settings
        self.server.listen(
            settings.port, settings.address, backlog=BACKLOG, reuse_port=settings.reuse_port
        )
        self.admin.listen(settings.admin_port, settings.admin_address)
        log_event("entry_started", address=settings.address, port=settings.port)

    async def sweep(self) -> None:
        """Cut off stalled streams and send counters, until cancelled."""
        interval_s = min(FLUSH_INTERVAL_S, self.settings.stall_timeout_s / 4)
        while True:
            await asyncio.sleep(interval_s)
            now = time.monotonic()
            self.dispatch.abort_stalled_streams(now)
            self.server.close_stalled(self.settings.stall_timeout_s, now)
            self.counters.flush()

    async def shut_down(self) -> None:
        """Finish what is in flight, however long it takes as long as it makes progress."""
        self.chain.is_draining = True
        log_event("entry_draining", connections=self.server.count_connections())
        await asyncio.sleep(self.settings.balancer_lag_s)
        self.server.stop()
        while self.server.count_connections() > 0:
            # A connection may have been busy the last time.
            self.server.close_idle()
            await asyncio.sleep(STOP_POLL_S)
        await self.server.finish_drains()
        await asyncio.sleep(UPSTREAM_LINGER_S)
        self.counters.flush()
        log_event("entry_stopped")


class Link(Protocol):
    """Source of settings and members."""

    async def run(self) -> None:
        """Feed the callbacks until cancelled."""

    def report_departures(self, departures: Iterable[Departure]) -> None:
        """Tell others of upstreams that this process saw leave."""

    def count_probe(self, size_bytes: int) -> None:
        """Count a probe, for the report to the control process."""


def make_control_link(process: EntryProcess) -> Link:
    """Return the link to the control process of the host."""
    return ControlLink(
        process.settings.control_target,
        process.settings.process_id,
        process.get_callbacks(),
        lambda: process.envelope,
    )


async def report_departures(process: EntryProcess, link: Link) -> None:
    """Tell the control process of departures, until cancelled."""
    while True:
        await asyncio.sleep(DEPARTURE_INTERVAL_S)
        link.report_departures(process.take_new_departures())


async def serve(
    settings: EntrySettings, make_link: Callable[[EntryProcess], Link] = make_control_link
) -> None:
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : EntrySettings
        Process settings.
    make_link : callable
        Makes the source of settings and members.
    """
    stopped = make_stop_event()
    process = EntryProcess(settings)
    link = make_link(process)
    process.dispatch.on_probe_sent = link.count_probe
    spare_collections()
    process.listen()
    tasks = [
        asyncio.ensure_future(link.run()),
        asyncio.ensure_future(report_departures(process, link)),
        asyncio.ensure_future(process.sweep()),
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
        Path of the process settings file, JSON with comments.
    """
    loaded = load_or_exit(settings, EntrySettings)
    uvloop.run(serve(loaded))


def main() -> None:
    """Run from the command line."""
    set_up_logs()
    fire.Fire(run)


if __name__ == "__main__":
    main()
