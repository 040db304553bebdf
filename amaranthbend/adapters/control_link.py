"""Client with which an entry process subscribes to the control process of its host."""

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
# The control process responds at least to every second report; without an update for this time it
# counts as hung.
UPDATE_TIMEOUT_S = 5.0
INITIAL_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 2.0
# Latest departures, sent again after a reconnection in case the control process has restarted.
MAX_RESENT_DEPARTURES = 1000


class LinkCallbacks(NamedTuple):
    """Functions of the entry process that receive the contents of updates.

    Parameters
    ----------
    on_settings : callable
        Receives a settings envelope that has not been verified yet.
    on_members : callable
        Receives the members of every service.
    on_departures : callable
        Receives departures of upstreams.
    on_probe_share : callable
        Receives the host's fraction of the deployment's probe budget and its
        remaining validity in seconds; both are 0 if the host holds no share.
    """

    on_settings: Callable[[SettingsEnvelope], None]
    on_members: Callable[[MembersByService], None]
    on_departures: Callable[[tuple[Departure, ...]], None]
    on_probe_share: Callable[[float, float], None]


class ControlLink:
    """Subscribes to the control process, and subscribes again after each failure.

    Settings and members received so far stay in use while there is no subscription.

    Parameters
    ----------
    target : str
        `address:port` of the control process.
    process_id : str
        Identifier of the entry process on its host.
    callbacks : LinkCallbacks
        Receivers of the contents of updates.
    get_current_envelope : callable
        Returns the settings envelope in force, or None.
    rng : random.Random
        Random generator for the jitter of reconnection delays.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        target: str,
        process_id: str,
        callbacks: LinkCallbacks,
        get_current_envelope: Callable[[], SettingsEnvelope | None],
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._target = target
        self._process_id = process_id
        self._callbacks = callbacks
        self._get_current_envelope = get_current_envelope
        self._clock = clock
        random_source = rng or random.Random()
        self._backoff = Backoff(
            random_source.random, INITIAL_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S
        )
        self._recent_departures: deque[Departure] = deque(maxlen=MAX_RESENT_DEPARTURES)
        self._unsent_departures: list[Departure] = []
        self._report_due = asyncio.Event()
        self._envelope_requested = False
        self._sequence = 0
        self._subscription_number = 0
        self._sent_at: dict[int, float] = {}
        self._probes_sent = 0
        self._probe_bytes = 0
        self.connected = False

    def report_departures(self, departures: Iterable[Departure]) -> None:
        """Report departures that this process detected to the control process without delay."""
        new_departures = list(departures)
        if not new_departures:
            return
        self._recent_departures.extend(new_departures)
        self._unsent_departures.extend(new_departures)
        self._report_due.set()

    def count_probe(self, size_bytes: int) -> None:
        """Add a probe to the totals that are sent with each report."""
        self._probes_sent += 1
        self._probe_bytes += size_bytes

    async def run(self) -> None:
        """Keep the subscription until cancelled."""
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
            self._unsent_departures = list(self._recent_departures)
            self._sent_at.clear()
            call = control_pb2_grpc.FeedStub(channel).Subscribe(self.generate_reports())  # type: ignore[no-untyped-call]
            try:
                while True:
                    update = await _read_update(call)
                    if update is grpc.aio.EOF:
                        return
                    self.connected = True
                    self._backoff.reset()
                    self.handle_update(update)
            finally:
                call.cancel()

    async def generate_reports(self) -> AsyncIterator[Any]:
        """Yield the reports of one subscription, until the next subscription starts.

        grpcio does not close the request iterator of a failed call. Without the check of the
        subscription number, it could consume a report that the next call has to send.
        """
        self._subscription_number += 1
        number = self._subscription_number
        while number == self._subscription_number:
            self._report_due.clear()
            yield self.make_report()
            try:
                await asyncio.wait_for(self._report_due.wait(), REPORT_INTERVAL_S)
            except TimeoutError:
                continue

    def make_report(self) -> Any:
        """Return the next report; its departures and envelope are then no longer pending."""
        self._sequence += 1
        self._sent_at[self._sequence] = self._clock()
        envelope = self._get_current_envelope()
        report = control_pb2.EntryReport(
            process_id=self._process_id,
            sequence=self._sequence,
            departures=encode_departures(self._unsent_departures),
            probes_sent=self._probes_sent,
            probe_bytes=self._probe_bytes,
        )
        self._unsent_departures = []
        if envelope is None:
            return report
        report.serial = envelope.serial
        report.digest = envelope.digest
        if self._envelope_requested:
            self._envelope_requested = False
            report.envelope = encode_envelope(envelope)
        return report

    def handle_update(self, update: Any) -> None:
        """Pass the contents of an update to the callbacks."""
        if update.HasField("members"):
            self._handle_members(update.members)
        if update.departures:
            self._callbacks.on_departures(decode_departures(update.departures))
        if update.envelope:
            self._handle_envelope(update.envelope)
        if update.send_envelope:
            self._envelope_requested = True
            self._report_due.set()
        if update.HasField("probe_share"):
            self._handle_probe_share(update.probe_share)

    def _handle_members(self, message: Any) -> None:
        try:
            members = decode_members(message)
        except ValueError as error:
            # The members received before stay in use.
            log_event("members_malformed", source="control", error=error)
            return
        self._callbacks.on_members(members)

    def _handle_envelope(self, document: bytes) -> None:
        try:
            envelope = decode_envelope(document)
        except ValueError as error:
            log_event("settings_malformed", source="control", error=error)
            return
        self._callbacks.on_settings(envelope)
        # Reports to the control process without delay which settings are now in force.
        self._report_due.set()

    def _handle_probe_share(self, share: Any) -> None:
        sent_at = self._sent_at.get(share.answered_sequence)
        if sent_at is None:
            return
        self._sent_at = {
            sequence: at
            for sequence, at in self._sent_at.items()
            if sequence > share.answered_sequence
        }
        # Validity counts from the time the report was sent, so that a delayed update cannot extend
        # the lease.
        remaining_s = share.valid_for_s - (self._clock() - sent_at)
        if share.share > 0 and remaining_s > 0:
            self._callbacks.on_probe_share(share.share, remaining_s)
            return
        self._callbacks.on_probe_share(0.0, 0.0)


async def _read_update(call: Any) -> Any:
    """Return the next update, or `grpc.aio.EOF` at the end of the stream."""
    try:
        return await asyncio.wait_for(call.read(), UPDATE_TIMEOUT_S)
    except asyncio.CancelledError:
        # grpcio also raises this if the call failed locally, for example while a report was sent.
        # Only the cancellation of this task may end the link.
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        return grpc.aio.EOF
