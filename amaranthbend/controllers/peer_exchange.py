"""Gossip of settings serials and departures between the control processes of the hosts."""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import grpc

from ..adapters.host_list import dump_host_list, load_host_list
from ..adapters.logs import log_event
from ..adapters.platform import Counters
from ..rpc import control_pb2, control_pb2_grpc
from ..rpc.messages import decode_departures, encode_departures, encode_envelope
from ..rpc.options import CHANNEL_OPTIONS
from .fleet_status import HostReport, HostReports
from .host_state import HostState

__all__ = ["PeerExchange"]

EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_JITTER_SHARE = 0.3
PERIODIC_EXCHANGE_PEERS = 2
# Number of peers that are called at once after a change. Each of them calls as many again, so a
# change reaches every host within a few rounds of some milliseconds. The periodic exchange covers
# hosts that were missed.
CHANGE_EXCHANGE_PEERS = 4
# Pause that batches changes which arrive together, such as the departure of a rack of upstreams.
CHANGE_BATCH_S = 0.02
CALL_TIMEOUT_S = 1.0
MAX_CHANNELS = 32
# Host lists are taken from the platform; a peer's list is used only if the platform has given none
# for this long.
PLATFORM_LIST_MAX_AGE_S = 6.0


class PeerExchange(control_pb2_grpc.PeersServicer):
    """Server and client side of the `Peers` service.

    Parameters
    ----------
    state : HostState
        State of this host.
    reports : HostReports
        Receives the reports of other hosts.
    make_host_report : callable
        Returns the report of this host.
    seeds : iterable of str
        `address:port` of the control processes to call while the host list is unknown.
    counters : Counters
        Receives the counters.
    rng : random.Random
        Source of the jitter and of the choice of peers.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        state: HostState,
        reports: HostReports,
        make_host_report: Callable[[], HostReport],
        seeds: Iterable[str],
        counters: Counters,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._state = state
        self._reports = reports
        self._make_host_report = make_host_report
        self._seeds = list(seeds)
        self._counters = counters
        self._rng = rng
        self._clock = clock
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._active_fetches: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    # Server side.

    async def Exchange(self, request: Any, _context: Any) -> Any:  # noqa: N802
        """Merge the state of another host, and return the state of this one."""
        self._merge_state(request)
        target = self._find_target(request.host.host_id)
        if target is not None:
            self._start_fetches(target, request)
        return self.make_peer_state(request)

    async def FetchSettings(self, request: Any, _context: Any) -> Any:  # noqa: N802
        """Return the envelope in force if it is newer than the caller's."""
        envelope = self._state.envelope
        if envelope is None or envelope.serial <= request.held_serial:
            return control_pb2.SettingsResponse()
        return control_pb2.SettingsResponse(envelope=encode_envelope(envelope))

    async def FetchHostList(self, request: Any, _context: Any) -> Any:  # noqa: N802
        """Return the host list if it is newer than the caller's."""
        host_list = self._state.host_list
        if host_list is None or host_list.revision <= request.held_revision:
            return control_pb2.HostListResponse()
        return control_pb2.HostListResponse(host_list=dump_host_list(host_list))

    # Client side.

    async def run(self) -> None:
        """Exchange state periodically and after changes, until cancelled."""
        await asyncio.gather(self._run_periodic(), self._run_on_change())

    async def fetch_initial_state(self) -> None:
        """Fetch settings and host list from known peers or seeds, when the process starts."""
        targets = self._choose_targets(MAX_CHANNELS)
        await asyncio.gather(*(self._fetch_state_from(target) for target in targets))

    async def close(self) -> None:
        """Cancel the running tasks, and close the connections."""
        for task in self._tasks:
            task.cancel()
        for channel in self._channels.values():
            await channel.close()

    async def _run_periodic(self) -> None:
        while True:
            jitter = self._rng.uniform(1 - EXCHANGE_JITTER_SHARE, 1 + EXCHANGE_JITTER_SHARE)
            await asyncio.sleep(EXCHANGE_INTERVAL_S * jitter)
            await self._exchange_with(self._choose_targets(PERIODIC_EXCHANGE_PEERS))

    async def _run_on_change(self) -> None:
        announced = (self._state.serial, self._state.departures.sequence)
        with self._state.subscribe() as changed:
            while True:
                await changed.wait()
                changed.clear()
                current = (self._state.serial, self._state.departures.sequence)
                if current == announced:
                    continue
                announced = current
                self._counters.incr("peers.news")
                self._start_task(self._exchange_with(self._choose_targets(CHANGE_EXCHANGE_PEERS)))
                await asyncio.sleep(CHANGE_BATCH_S)

    def _start_task(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _choose_targets(self, count: int) -> list[str]:
        peers = [f"{host.address}:{host.control_port}" for host in self._state.list_peers()]
        targets = peers or self._seeds
        return self._rng.sample(targets, min(count, len(targets)))

    def _find_target(self, host_id: str) -> str | None:
        for host in self._state.list_peers():
            if host.id == host_id:
                return f"{host.address}:{host.control_port}"
        return None

    async def _exchange_with(self, targets: list[str]) -> None:
        await asyncio.gather(*(self._exchange(target) for target in targets))

    async def _exchange(self, target: str) -> None:
        answer = await self._call(target, "Exchange", self.make_peer_state(None))
        if answer is None:
            return
        self._merge_state(answer)
        self._start_fetches(target, answer)

    async def _fetch_state_from(self, target: str) -> None:
        await asyncio.gather(self._fetch_settings(target), self._fetch_host_list(target))

    def make_peer_state(self, request: Any | None) -> Any:
        """Return the state of this host as a message.

        Parameters
        ----------
        request : Any or None
            State of the caller. If its departures differ from those of this host, the message has
            all relevant departures, otherwise the recent ones only.
        """
        report = self._make_host_report()
        departures = self._state.departures
        departures_hash = departures.compute_hash()
        message = control_pb2.PeerState(
            digest=self._state.digest,
            host_list_revision=self._state.host_list_revision,
            departures=encode_departures(departures.list_recent(self._clock())),
            departures_hash=departures_hash,
        )
        message.host.host_id = self._state.host_id
        message.host.serial = report.serial
        message.host.entry_serial = report.entry_serial
        message.host.entry_processes = report.entry_processes
        if request is not None and self._has_different_departures(request, departures_hash):
            message.departures.extend(encode_departures(departures.list_relevant()))
        return message

    def _has_different_departures(self, request: Any, departures_hash: int) -> bool:
        # The hashes cover the departures of listed upstreams, so they are comparable only between
        # hosts with the same host list.
        same_list = request.host_list_revision == self._state.host_list_revision
        return same_list and bool(request.departures_hash != departures_hash)

    def _merge_state(self, message: Any) -> None:
        host = message.host
        report = HostReport(host.serial, host.entry_serial, host.entry_processes)
        self._reports.record(host.host_id, report)
        self._state.add_departures(decode_departures(message.departures))

    def _start_fetches(self, target: str, message: Any) -> None:
        peer_is_newer = message.host.serial > self._state.serial
        if peer_is_newer and not self._state.was_rejected(message.digest, f"peer:{target}"):
            self._start_fetch(self._fetch_settings, target)
        if (
            message.host_list_revision > self._state.host_list_revision
            and self._is_platform_list_stale()
        ):
            self._start_fetch(self._fetch_host_list, target)

    def _start_fetch(self, fetch: Callable[[str], Awaitable[None]], target: str) -> None:
        """Start a fetch unless the same one is already running."""
        key = (fetch.__name__, target)
        if key in self._active_fetches:
            return
        self._active_fetches.add(key)
        self._start_task(self._run_fetch(fetch, target))

    async def _run_fetch(self, fetch: Callable[[str], Awaitable[None]], target: str) -> None:
        try:
            await fetch(target)
        finally:
            self._active_fetches.discard((fetch.__name__, target))

    def _is_platform_list_stale(self) -> bool:
        received_at = self._state.platform_list_received_at
        return received_at is None or self._clock() - received_at > PLATFORM_LIST_MAX_AGE_S

    async def _fetch_settings(self, target: str) -> None:
        request = control_pb2.SettingsRequest(held_serial=self._state.serial)
        answer = await self._call(target, "FetchSettings", request)
        if answer is not None and answer.envelope:
            self._state.offer_settings(answer.envelope, f"peer:{target}")

    async def _fetch_host_list(self, target: str) -> None:
        request = control_pb2.HostListRequest(held_revision=self._state.host_list_revision)
        answer = await self._call(target, "FetchHostList", request)
        if answer is None or not answer.host_list:
            return
        try:
            host_list = load_host_list(json.loads(answer.host_list))
        except ValueError as error:
            log_event("host_list_malformed", source=target, error=error)
            return
        self._state.offer_host_list(host_list, "peer")

    async def _call(self, target: str, method: str, request: Any) -> Any | None:
        """Call a method of a peer, and return None if the call fails or times out."""
        self._counters.incr(f"peers.{method}")
        stub = control_pb2_grpc.PeersStub(self._open_channel(target))  # type: ignore[no-untyped-call]
        try:
            return await getattr(stub, method)(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._counters.incr(f"peers.failed.{error.code().name.lower()}")
            return None

    def _open_channel(self, target: str) -> grpc.aio.Channel:
        channel = self._channels.pop(target, None)
        if channel is None:
            channel = grpc.aio.insecure_channel(target, options=CHANNEL_OPTIONS)
        # Reinsertion keeps the dictionary in order of use, the least recently used channel first.
        self._channels[target] = channel
        if len(self._channels) > MAX_CHANNELS:
            oldest = next(iter(self._channels))
            self._start_task(self._channels.pop(oldest).close())
        return channel
