"""Limits on what the callers of a process hold together: connections and memory."""

import asyncio
import errno
import socket
import struct
import time
from typing import TYPE_CHECKING, Any

from tornado.iostream import IOStream

from ..core.buffers import BufferBudget
from ..core.connections import (
    CallerLimits,
    ConnectionStage,
    ConnectionView,
    choose_for_connection,
    choose_for_memory,
)
from ..core.outcomes import OutcomeReason
from ..filters.local_responses import make_refusal
from .logs import log_event
from .metrics import Counters
from .metrics_page import MetricsPage

if TYPE_CHECKING:
    from .caller import CallerRequest

__all__ = ["READ_SIZE_BYTES", "CallerGuard", "GuardedStream"]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Size of one read. A connection holds up to three such reads while a chunked body is read.
READ_SIZE_BYTES = 16 * 1024
# Unread input of this size is part of the fixed memory of a connection.
READ_ALLOWANCE_BYTES = READ_SIZE_BYTES
# About the time in which the uploads of a burst end and free their memory.
RETRY_AFTER_S = 0.2
# After a pass over all connections found none to close, no further one is made for this time: at
# 1,500 connections a pass takes some milliseconds.
RESCAN_INTERVAL_S = 0.05
# Displacements are logged together, at most once in this time.
LOG_INTERVAL_S = 5.0


class GuardedStream(IOStream):
    """Stream of a caller's connection that records its progress and counts its unread input."""

    guard: "CallerGuard | None" = None
    address = ""
    number = 0
    opened_at = 0.0
    progressed_at = 0.0
    # Time of the first byte of a head that is not complete, 0 if there is none.
    head_started_at = 0.0
    written_bytes = 0
    _charged_bytes = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; called by tornado."""
        count = super().read_from_fd(buf)
        guard = self.guard
        if count and guard is not None:
            self.progressed_at = time.monotonic()
            if not self.head_started_at and self.is_reading_head():
                self.head_started_at = self.progressed_at
            self.charge(guard, self._read_buffer_size + count)
        return count

    def list_requests(self) -> "list[CallerRequest]":
        """Return the requests whose responses are not written, in order."""
        return []

    def is_reading_head(self) -> bool:
        """Return whether the next input belongs to a head."""
        return True

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket; called by tornado."""
        count = super().write_to_fd(data)
        if count:
            self.progressed_at = time.monotonic()
            self.written_bytes += count
        return count

    def reset(self) -> None:
        """Make the following close reset the connection.

        Callers do not take a connection reset as the end of a body.
        """
        if not self.closed():
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def charge(self, guard: "CallerGuard", unread_bytes: int) -> None:
        """Count the unread input in the memory account, beyond the part that is always allowed."""
        size = max(0, unread_bytes - READ_ALLOWANCE_BYTES)
        change, self._charged_bytes = size - self._charged_bytes, size
        if change > 0:
            guard.buffers.add(change)
        elif change < 0:
            guard.buffers.release(-change)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the caller has not read."""
        return len(self._write_buffer) if self._write_buffer is not None else 0

    def make_view(self) -> ConnectionView:
        """Return the state of the connection."""
        requests = self.list_requests()
        request = requests[0] if requests else None
        stage, held_bytes, started_at, moved_bytes = ConnectionStage.SILENT, 0, self.opened_at, 0
        if self.unsent_bytes and (request is None or request.has_ended or not request.method):
            stage, moved_bytes = ConnectionStage.RESPONSE, self.written_bytes
        elif self.head_started_at:
            stage, started_at = ConnectionStage.HEAD, self.head_started_at
        elif request is not None and not request.method:
            stage = ConnectionStage.IDLE if self.written_bytes else ConnectionStage.SILENT
        elif request is not None:
            stage, started_at = _find_request_stage(request, self), request.arrived_at
            body = request.body
            moved_bytes = body.size if body is not None else 0
            if stage is ConnectionStage.RESPONSE:
                moved_bytes = self.written_bytes
            held_bytes = sum(entry.memory.reserved_bytes for entry in requests)
        held_bytes += self._charged_bytes + self.unsent_bytes
        return ConnectionView(
            self.number,
            self.address,
            stage,
            started_at,
            self.progressed_at,
            held_bytes,
            moved_bytes,
        )


def _find_request_stage(request: "CallerRequest", stream: GuardedStream) -> ConnectionStage:
    """Return what a request whose head is complete waits for."""
    body = request.body
    if request.has_ended:
        return ConnectionStage.RESPONSE if stream.unsent_bytes else ConnectionStage.IDLE
    if request.has_response_started:
        return ConnectionStage.RESPONSE if stream.unsent_bytes else ConnectionStage.RUNNING
    if body is None or body.is_complete or body.is_paused:
        return ConnectionStage.RUNNING
    return ConnectionStage.STREAMED_BODY if request.is_running else ConnectionStage.BODY


class CallerGuard:
    """Admits connections, and closes some of them where memory or descriptors are short.

    Parameters
    ----------
    buffers : BufferBudget
        Memory account of the process.
    counters : Counters
        Counts refused and closed connections.
    max_connections : int
        Connections that callers may hold at the same time.
    """

    def __init__(self, buffers: BufferBudget, counters: Counters, max_connections: int) -> None:
        self.buffers = buffers
        self.max_connections = max_connections
        self.limits = CallerLimits()
        self._counters = counters
        self._streams: dict[int, GuardedStream] = {}
        self._arrived = 0
        self._is_enforcing = False
        # Times until which new connections and large bodies are refused without another pass.
        self._refuses_connections_until = 0.0
        self._refuses_bodies_until = 0.0
        self._unlogged: dict[str, int] = {}
        self._logged_at = 0.0
        buffers.on_shortage = self._make_room
        buffers.on_excess = self._schedule_enforcement

    @property
    def max_lingering_closes(self) -> int:
        """Closed connections whose remaining input may be read at the same time."""
        return self.max_connections // 4

    def add_gauges(self, page: MetricsPage) -> None:
        """Show the connections and the memory account on the metrics page."""
        buffers = self.buffers
        page.add_gauge("caller_connections", "Connections of callers", lambda: len(self._streams))
        page.add_gauge(
            "caller_connections_limit", "Most connections of callers", lambda: self.max_connections
        )
        page.add_gauge(
            "buffered_bytes", "Bytes in the memory account", lambda: buffers.reserved_bytes
        )
        page.add_gauge(
            "buffered_bytes_limit", "Limit of the memory account", lambda: buffers.limit_bytes
        )

    def admit(self, stream: GuardedStream, address: tuple[Any, ...]) -> bool:
        """Register a new connection; return False if it has to be closed at once."""
        now = time.monotonic()
        if len(self._streams) >= self.max_connections and not self._make_place(now):
            self._record("refused", "connections")
            return False
        self._arrived += 1
        stream.number = self._arrived
        stream.address = str(address[0]) if address else ""
        stream.opened_at = stream.progressed_at = now
        stream.guard = self
        self._streams[stream.number] = stream
        return True

    def _make_place(self, now: float) -> bool:
        """Close connections for a new one; return whether there are any to close."""
        if now < self._refuses_connections_until:
            return False
        views = [stream.make_view() for stream in self._streams.values()]
        chosen = choose_for_connection(views, self.max_connections, now, self.limits)
        for view in chosen:
            self._close(self._streams[view.number], view.stage, "connections")
        if not chosen:
            self._refuses_connections_until = now + RESCAN_INTERVAL_S
        return bool(chosen)

    def forget(self, stream: GuardedStream) -> None:
        """Remove a closed connection, and release what it holds."""
        self._streams.pop(stream.number, None)
        stream.charge(self, 0)

    def handle_failed_accept(self, error: OSError) -> None:
        """Close a connection that does nothing after the process ran out of descriptors."""
        self._record("failed", errno.errorcode.get(error.errno or 0, "accept").lower())
        views = [stream.make_view() for stream in self._streams.values()]
        now = time.monotonic()
        for view in choose_for_connection(views, self.max_connections, now, self.limits):
            self._close(self._streams[view.number], view.stage, "descriptors")

    def sweep(self, now: float) -> None:
        """Close connections whose head is not complete in time, and enforce the memory limit."""
        for stream in list(self._streams.values()):
            started_at = stream.head_started_at
            if started_at and now - started_at > self.limits.longest_head_s:
                self._close(stream, ConnectionStage.HEAD, "head_timeout")
        self._enforce()
        self._log(now)

    def _make_room(self, missing: int, is_large_body: bool) -> None:
        """Release memory for a reservation that does not fit."""
        now = time.monotonic()
        if is_large_body and now < self._refuses_bodies_until:
            return
        views = [stream.make_view() for stream in self._streams.values() if _may_close(stream)]
        chosen = choose_for_memory(views, missing, now, is_large_body=is_large_body)
        for view in chosen:
            self._close(self._streams[view.number], view.stage, "memory")
        if is_large_body and not chosen:
            self._refuses_bodies_until = now + RESCAN_INTERVAL_S

    def _schedule_enforcement(self) -> None:
        if self._is_enforcing:
            return
        self._is_enforcing = True
        asyncio.get_running_loop().call_soon(self._enforce)

    def _enforce(self) -> None:
        """Close connections until the memory in use is within the limit again."""
        self._is_enforcing = False
        excess = self.buffers.excess_bytes
        if not excess:
            return
        views = [stream.make_view() for stream in self._streams.values()]
        now = time.monotonic()
        chosen = choose_for_memory(views, excess, now, is_large_body=False)
        if not chosen:
            # What arrived and what was sent cannot be refused any more: the slowest readers and
            # streams go first.
            holders = [
                view
                for view in views
                if view.held_bytes and view.stage is not ConnectionStage.RUNNING
            ]
            holders.sort(key=lambda view: (view.compute_rate(now), view.number))
            for view in holders:
                if excess <= 0:
                    break
                chosen.append(view)
                excess -= view.held_bytes
        for view in chosen:
            self._close(self._streams[view.number], view.stage, "memory")

    def _close(self, stream: GuardedStream, stage: ConnectionStage, cause: str) -> None:
        """Refuse or abort the request of a connection, and close the connection."""
        self._record(stage.name.lower(), cause)
        requests = stream.list_requests()
        request = requests[0] if requests else None
        stream.head_started_at = 0.0
        if request is not None and stage is ConnectionStage.BODY:
            refusal = make_refusal(OutcomeReason.BUFFERS_FULL, RETRY_AFTER_S, closes=True)
            request.send_local_response(refusal)
        elif request is not None and stage is ConnectionStage.STREAMED_BODY:
            request.abandon_upload()
        else:
            if stage is ConnectionStage.RESPONSE:
                # An orderly close could look like the end of the response.
                stream.reset()
            stream.close()
        self._streams.pop(stream.number, None)

    def _record(self, stage: str, cause: str) -> None:
        self._counters.incr(f"callers.{cause}.{stage}")
        key = f"{cause}.{stage}"
        self._unlogged[key] = self._unlogged.get(key, 0) + 1

    def _log(self, now: float) -> None:
        """Log what was closed since the last line, in one line."""
        if not self._unlogged or now - self._logged_at < LOG_INTERVAL_S:
            return
        log_event(
            "callers_limited",
            connections=len(self._streams),
            max_connections=self.max_connections,
            reserved_bytes=self.buffers.reserved_bytes,
            limit_bytes=self.buffers.limit_bytes,
            closed=",".join(f"{key}:{count}" for key, count in sorted(self._unlogged.items())),
        )
        self._unlogged.clear()
        self._logged_at = now


def _may_close(stream: GuardedStream) -> bool:
    """Return whether a connection is not the one that a reservation is for."""
    return not any(request.memory.is_reserving for request in stream.list_requests())
