"""Stream of updates from the control process to the entry processes of its host."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

from ..adapters.logs import log_event
from ..rpc import control_pb2, control_pb2_grpc
from ..rpc.messages import (
    decode_departures,
    encode_departures,
    encode_envelope,
    encode_members,
)
from .fleet_status import HostReport
from .host_state import HostState

__all__ = ["EntryFeed", "EntrySession", "ProbeShareSource"]


# Number of reports of an entry process for each answer. An answer costs CPU time on both sides,
# but must come often enough: the entry process closes the stream after 5 s without a message, and
# the probe share in the answer is valid for 13 s.
REPORTS_PER_ANSWER = 2


class ProbeShareGrant(NamedTuple):
    """Fraction of the deployment's probe budget, and for how many seconds it may still be used."""

    share: float
    valid_for_s: float


ProbeShareSource = Callable[[], ProbeShareGrant]


class EntrySession:
    """Latest report of a connected entry process, and the state that was sent to it."""

    def __init__(self) -> None:
        self.process_id = ""
        self.serial = 0
        self.digest = ""
        self.sequence = 0
        self.probes_sent = 0
        self.probe_bytes = 0
        self.answered_sequence = 0
        self.sent_digest = ""
        self.sent_host_list: object = None
        self.sent_departure_sequence = 0
        self.requested_serial = 0
        self.closed = False

    def needs_answer(self) -> bool:
        """Return whether the first report, or enough reports since the last answer, arrived."""
        unanswered = self.sequence - self.answered_sequence
        return unanswered >= REPORTS_PER_ANSWER or self.answered_sequence == 0


class EntryFeed(control_pb2_grpc.FeedServicer):
    """Serves `Feed.Subscribe`.

    Updates carry the latest state only, so no queue builds up for a slow entry process.

    Parameters
    ----------
    state : HostState
        State to send.
    probe_share : callable
        Returns the host's probe share.
    """

    def __init__(self, state: HostState, probe_share: ProbeShareSource) -> None:
        self._state = state
        self._probe_share = probe_share
        self.sessions: set[EntrySession] = set()

    async def Subscribe(  # noqa: N802
        self, request_iterator: AsyncIterator[Any], _context: Any
    ) -> AsyncIterator[Any]:
        """Send updates until the entry process disconnects."""
        session = EntrySession()
        with self._state.subscribe() as changed:
            reader = asyncio.create_task(self._read(session, request_iterator, changed))
            try:
                while True:
                    await changed.wait()
                    changed.clear()
                    if session.closed:
                        break
                    if not session.process_id:
                        continue
                    update = self.make_update(session)
                    if update is not None:
                        yield update
            finally:
                reader.cancel()
                self.sessions.discard(session)
                log_event("entry_disconnected", process_id=session.process_id)

    async def _read(
        self, session: EntrySession, reports: AsyncIterator[Any], changed: asyncio.Event
    ) -> None:
        try:
            async for report in reports:
                self.record_report(session, report)
                changed.set()
        finally:
            session.closed = True
            changed.set()

    def record_report(self, session: EntrySession, report: Any) -> None:
        """Store the report of an entry process, and apply the state that it carries."""
        if not session.process_id:
            log_event("entry_connected", process_id=report.process_id, serial=report.serial)
        session.process_id = report.process_id
        session.serial = report.serial
        session.digest = report.digest
        session.sequence = report.sequence
        session.probes_sent = report.probes_sent
        session.probe_bytes = report.probe_bytes
        self.sessions.add(session)
        self._state.add_departures(decode_departures(report.departures))
        if report.envelope:
            self._state.offer_settings(report.envelope, f"entry:{session.process_id}")

    def make_host_report(self) -> HostReport:
        """Return the settings serials of the control process and the entry processes."""
        serials = [session.serial for session in self.sessions]
        return HostReport(self._state.serial, min(serials, default=0), len(serials))

    def make_update(self, session: EntrySession) -> Any | None:
        """Return the state that the entry process does not have yet, None if it has all."""
        update = control_pb2.ControlUpdate()
        changed = self._add_settings(session, update)
        changed |= self._add_members(session, update)
        changed |= self._add_departures(session, update)
        if session.needs_answer():
            session.answered_sequence = session.sequence
            self._add_probe_share(session, update)
            changed = True
        return update if changed else None

    def _add_settings(self, session: EntrySession, update: Any) -> bool:
        state = self._state
        if session.serial > state.serial:
            if session.requested_serial == session.serial:
                return False
            session.requested_serial = session.serial
            update.send_envelope = True
            return True
        has_current_settings = state.digest in (session.digest, session.sent_digest)
        if state.envelope is None or has_current_settings:
            return False
        update.envelope = encode_envelope(state.envelope)
        session.sent_digest = state.digest
        return True

    def _add_members(self, session: EntrySession, update: Any) -> bool:
        host_list = self._state.host_list
        # Without a host list no members are sent, so that the entry process keeps its own.
        if host_list is None or session.sent_host_list is host_list:
            return False
        update.members.CopyFrom(encode_members(host_list.revision, self._state.members))
        session.sent_host_list = host_list
        return True

    def _add_departures(self, session: EntrySession, update: Any) -> bool:
        departures = self._state.departures
        new_departures = departures.list_after(session.sent_departure_sequence)
        session.sent_departure_sequence = departures.sequence
        update.departures.extend(encode_departures(new_departures))
        return bool(new_departures)

    def _add_probe_share(self, session: EntrySession, update: Any) -> None:
        share = self._probe_share()
        update.probe_share.share = share.share
        update.probe_share.valid_for_s = share.valid_for_s
        update.probe_share.answered_sequence = session.sequence
