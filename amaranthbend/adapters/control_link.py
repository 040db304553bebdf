"""Entry process's side of the feed from the control process of its host."""

import asyncio
import random
import time
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any, NamedTuple

import grpc

from ..core.backoff import Backoff
from ..core.departures import Departure
from ..core.envelope import SettingsEnvelope
from ..rpc import control_pb2, control_pb2_grpc
from ..rpc.messages import (
    MembersByService,
    decode_departures,
    decode_envelope,
    decode_members,
    encode_departures,
    encode_envelope,
)
from ..rpc.options import CHANNEL_OPTIONS
from .logs import log_event

__all__ = ["ControlLink", "LinkCallbacks"]

REPORT_INTERVAL_S = 1.0
# The control process answers every report; silence for this long means that it hangs.
SILENCE_S = 5.0
RECONNECT_BASE_S = 0.05
RECONNECT_CAP_S = 2.0
# Departures repeated after a reconnection, in case the control process has restarted.
KEPT_DEPARTURES = 1000


class LinkCallbacks(NamedTuple):
    """What the entry process does with the news.

    Parameters
    ----------
    on_settings : callable
        Receives an envelope, not yet verified.
    on_members : callable
        Receives the members of every service.
    on_departures : callable
        Receives upstreams that left.
    on_probe_share : callable
        Receives the host's fraction of the deployment's probe budget and its
        remaining validity in seconds; 0 and 0 when the host holds no share.
    """

    on_settings: Callable[[SettingsEnvelope], None]
    on_members: Callable[[MembersByService], None]
    on_departures: Callable[[tuple[Departure, ...]], None]
    on_probe_share: Callable[[float, float], None]


class ControlLink:
    """Keeps a subscription to the control process; all held state outlives it.

    Parameters
    ----------
    target : str
        `address:port` of the control process.
    process_id : str
        Identifier of the entry process on its host.
    callbacks : LinkCallbacks
        Receivers of the news.
    held : callable
        Gives the envelope in force, None without one.
    rng : random.Random
        Source of jitter.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        target: str,
        process_id: str,
        callbacks: LinkCallbacks,
        held: Callable[[], SettingsEnvelope | None],
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._target = target
        self._process_id = process_id
        self._callbacks = callbacks
        self._held = held
        self._clock = clock
        random_source = rng or random.Random()
        self._backoff = Backoff(random_source.random, RECONNECT_BASE_S, RECONNECT_CAP_S)
        self._departures: deque[Departure] = deque(maxlen=KEPT_DEPARTURES)
        self._unsent: list[Departure] = []
        self._wake = asyncio.Event()
        self._send_envelope = False
        self._sequence = 0
        self._subscription = 0
        self._sent_at: dict[int, float] = {}
        self._probes_sent = 0
        self._probe_bytes = 0
        self.connected = False

    def report_departures(self, departures: Iterable[Departure]) -> None:
        """Tell the control process at once of upstreams that this process saw leave."""
        news = list(departures)
        if not news:
            return
        self._departures.extend(news)
        self._unsent.extend(news)
        self._wake.set()

    def count_probe(self, size_bytes: int) -> None:
        """Count a probe, for the next report."""
        self._probes_sent += 1
        self._probe_bytes += size_bytes

    async def run(self) -> None:
        """Stay subscribed until cancelled."""
        while True:
            try:
                await self._subscribe()
            except (grpc.aio.AioRpcError, TimeoutError, ValueError) as error:
                code = error.code() if isinstance(error, grpc.aio.AioRpcError) else repr(error)
                log_event("control_link_lost", target=self._target, error=code)
            self.connected = False
            await asyncio.sleep(self._backoff.next_delay())

    async def _subscribe(self) -> None:
        async with grpc.aio.insecure_channel(self._target, options=CHANNEL_OPTIONS) as channel:
            self._unsent = list(self._departures)
            self._sent_at.clear()
            call = control_pb2_grpc.FeedStub(channel).Subscribe(self.make_reports())  # type: ignore[no-untyped-call]
            try:
                while True:
                    update = await _read(call)
                    if update is grpc.aio.EOF:
                        return
                    self.connected = True
                    self._backoff.reset()
                    self.take_update(update)
            finally:
                call.cancel()

    async def make_reports(self) -> AsyncIterator[Any]:
        """Give the reports of one subscription, until the next one begins.

        grpcio does not close the iterator of a call that failed, and it must not
        take what the next call has to send.
        """
        self._subscription += 1
        subscription = self._subscription
        while subscription == self._subscription:
            self._wake.clear()
            yield self.make_report()
            try:
                await asyncio.wait_for(self._wake.wait(), REPORT_INTERVAL_S)
            except TimeoutError:
                continue

    def make_report(self) -> Any:
        """Return the report to send now."""
        self._sequence += 1
        self._sent_at[self._sequence] = self._clock()
        envelope = self._held()
        report = control_pb2.EntryReport(
            process_id=self._process_id,
            sequence=self._sequence,
            departures=encode_departures(self._unsent),
            probes_sent=self._probes_sent,
            probe_bytes=self._probe_bytes,
        )
        self._unsent = []
        if envelope is None:
            return report
        report.serial = envelope.serial
        report.digest = envelope.digest
        if self._send_envelope:
            self._send_envelope = False
            report.envelope = encode_envelope(envelope)
        return report

    def take_update(self, update: Any) -> None:
        """Hand the news of an update to the callbacks."""
        if update.HasField("members"):
            self._take_members(update.members)
        if update.departures:
            self._callbacks.on_departures(decode_departures(update.departures))
        if update.envelope:
            self._take_envelope(update.envelope)
        if update.send_envelope:
            self._send_envelope = True
            self._wake.set()
        if update.HasField("probe_share"):
            self._take_probe_share(update.probe_share)

    def _take_members(self, message: Any) -> None:
        try:
            members = decode_members(message)
        except ValueError as error:
            # The members held so far stay in use.
            log_event("members_malformed", source="control", error=error)
            return
        self._callbacks.on_members(members)

    def _take_envelope(self, document: bytes) -> None:
        try:
            envelope = decode_envelope(document)
        except ValueError as error:
            log_event("settings_malformed", source="control", error=error)
            return
        self._callbacks.on_settings(envelope)
        # The next report tells the control process what is now in force.
        self._wake.set()

    def _take_probe_share(self, share: Any) -> None:
        sent_at = self._sent_at.get(share.answered_sequence)
        if sent_at is None:
            return
        self._sent_at = {
            sequence: at
            for sequence, at in self._sent_at.items()
            if sequence > share.answered_sequence
        }
        # Counted from the report, so that a delay on the way back never extends the lease.
        left_s = share.valid_for_s - (self._clock() - sent_at)
        if share.share > 0 and left_s > 0:
            self._callbacks.on_probe_share(share.share, left_s)
            return
        self._callbacks.on_probe_share(0.0, 0.0)


async def _read(call: Any) -> Any:
    """Return the next update, or the end-of-stream mark."""
    try:
        return await asyncio.wait_for(call.read(), SILENCE_S)
    except asyncio.CancelledError:
        # grpcio also raises this when the call failed on this side, for example in the
        # sending of a report; only a cancelled task may end the link.
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        return grpc.aio.EOF
