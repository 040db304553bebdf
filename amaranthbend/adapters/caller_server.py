"""HTTP server for callers and their connections."""

import asyncio
import contextlib
import select
import socket
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream, UnsatisfiableReadError

from ..core.buffers import BufferBudget
from ..core.outcomes import OutcomeReason
from ..filters.local_responses import LocalResponse, make_refusal
from .caller import CallerRequest, RequestHandler
from .caller_guard import READ_SIZE_BYTES, GuardedStream
from .metrics import Counters
from .pipelining import CallerConnection

__all__ = ["CallerServer", "CallerStream"]

# Duration of a lingering close. A caller that still sends afterwards gets a connection reset, which
# can make it lose the refusal.
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
# Limits the sockets and tasks that callers with invalid input can occupy.
MAX_LINGERING_CLOSES = 128

_lingering_closes: set["asyncio.Task[None]"] = set()


def compute_read_buffer_bytes(max_header_bytes: int) -> int:
    """Return how much unread input a stream may hold: a head and some reads behind it."""
    return max_header_bytes + 4 * READ_SIZE_BYTES


async def read_and_discard(connection: socket.socket) -> None:
    """Read and discard the remaining input of a connection up to limits of time and size."""
    loop = asyncio.get_running_loop()
    count = 0
    try:
        connection.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LINGER_TIMEOUT_S):
            while count < MAX_LINGER_BYTES and (
                data := await loop.sock_recv(connection, READ_SIZE_BYTES)
            ):
                count += len(data)
    except (OSError, TimeoutError):
        pass
    finally:
        connection.close()


class CallerStream(GuardedStream):
    """Stream of a caller's connection; responds to oversized input with the reason."""

    connection: CallerConnection | None = None
    lingers = False
    # Counts the data that the caller has not read yet.
    buffers: BufferBudget | None = None

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write data, whose unsent part counts in the buffer budget."""
        written = super().write(data)
        if self.buffers is not None and not written.done():
            buffers, size = self.buffers, len(data)
            buffers.add(size)
            written.add_done_callback(lambda _written: buffers.release(size))
        return written

    def close(self, exc_info: Any = False) -> None:
        """Close the stream, with a lingering close if the caller may still be sending.

        Closing a socket with unread input resets the connection, and the caller could lose the
        refusal.
        """
        if self.closed():
            return
        reading = self.connection.reading if self.connection is not None else None
        if isinstance(exc_info, UnsatisfiableReadError) and reading is not None:
            if not reading.has_turn:
                self._fail_read(exc_info)
                return
            self._refuse_oversized(reading.request)
        if self.lingers:
            self._start_lingering_close()
        super().close(exc_info)

    def _fail_read(self, error: UnsatisfiableReadError) -> None:
        """End the present read with an error; the stream stays open for responses."""
        future, self._read_future = self._read_future, None
        self._read_regex = self._read_delimiter = self._read_max_bytes = None
        if future is not None:
            future.set_exception(error)

    def _start_lingering_close(self) -> None:
        limit = MAX_LINGERING_CLOSES
        if self.guard is not None:
            limit = min(limit, self.guard.max_lingering_closes)
        if len(_lingering_closes) >= limit:
            return
        task = asyncio.ensure_future(read_and_discard(self.socket.dup()))
        _lingering_closes.add(task)
        task.add_done_callback(_lingering_closes.discard)

    def _refuse_oversized(self, request: CallerRequest) -> None:
        if request.is_response_partial:
            # An orderly end could make it look complete.
            self.reset()
            request.reject_malformed(OutcomeReason.MALFORMED_REQUEST)
            return
        self.lingers = True
        reason = OutcomeReason.HEADERS_TOO_LARGE
        if request.method:
            # The head was complete: an overlong line between the chunks of the body.
            reason = OutcomeReason.MALFORMED_REQUEST
        with contextlib.suppress(OSError):
            self.socket.send(request.reject_malformed(reason))

    def reset(self) -> None:
        """Make the following close reset the connection, without reading further input."""
        self.lingers = False
        super().reset()

    def list_requests(self) -> list[CallerRequest]:
        """Return the requests whose responses are not written, in order."""
        connection = self.connection
        return [] if connection is None else [entry.request for entry in connection.exchanges]

    def is_reading_head(self) -> bool:
        """Return whether the next input belongs to a head."""
        reading = self.connection.reading if self.connection is not None else None
        return reading is None or not reading.request.method

    def set_max_header_bytes(self, max_header_bytes: int) -> None:
        """Change the size limit of the next head, whose read may wait already.

        A head that has begun keeps its limit.
        """
        # A smaller buffer could be too small for a head that has begun.
        self.max_buffer_size = max(
            self.max_buffer_size, compute_read_buffer_bytes(max_header_bytes)
        )
        if self._read_regex is not None and self._read_buffer_size == 0:
            self._read_max_bytes = max_header_bytes

    def has_unread_input(self) -> bool:
        """Return whether a part of the next request has arrived."""
        if self._read_buffer_size > 0:
            return True
        # A closed stream stays in the list of the server until `on_close` is called.
        if self.closed():
            return False
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def has_caller_left(self) -> bool:
        """Return whether the caller has closed the connection behind input that is not read yet.

        The event loop does not report that while unread input remains.
        """
        if self.closed():
            return False
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        return bool(poll.poll(0))


def _is_in_progress(request: CallerRequest) -> bool:
    """Return whether the head of a request has been received, and the request has not ended."""
    return bool(request.method) and not request.has_ended


class CallerServer(HTTPServer, HTTPServerConnectionDelegate):
    """Server for callers.

    Parameters
    ----------
    handler : RequestHandler
        Handles the requests.
    max_header_bytes : int
        Maximum size of the request line and the header fields together.
    max_requests : int
        Most requests of a connection that are in progress at the same time.
    counters : Counters or None
        Counts requests that run ahead of earlier ones of their connection.
    """

    def initialize(  # type: ignore[override]
        self,
        handler: RequestHandler,
        max_header_bytes: int,
        max_requests: int = 1,
        counters: Counters | None = None,
    ) -> None:
        """Initialize the server; called by tornado instead of `__init__`."""
        super().initialize(
            self,
            chunk_size=READ_SIZE_BYTES,
            max_header_size=max_header_bytes,
            # No limit here: the limit of the route applies to the body.
            max_body_size=1 << 62,
            max_buffer_size=compute_read_buffer_bytes(max_header_bytes),
        )
        # `close_stalled` closes idle connections; tornado would set a timer for each request.
        self.conn_params.header_timeout = None
        self._handler = handler
        self._max_requests = max_requests
        self._counters = counters
        self._streams: set[CallerStream] = set()

    def set_max_header_bytes(self, max_header_bytes: int) -> None:
        """Change the size limit of heads, from the next head of each connection on.

        Parameters
        ----------
        max_header_bytes : int
            Maximum size of the request line and the header fields together.
        """
        if max_header_bytes == self.conn_params.max_header_size:
            return
        self.conn_params.max_header_size = max_header_bytes
        self.max_buffer_size = compute_read_buffer_bytes(max_header_bytes)
        for stream in self._streams:
            stream.set_max_header_bytes(max_header_bytes)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection."""
        stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller_stream = CallerStream(
            stream.socket, max_buffer_size=self.max_buffer_size, read_chunk_size=READ_SIZE_BYTES
        )
        caller_stream.buffers = self._handler.buffers
        if not self._handler.guard.admit(caller_stream, address):
            caller_stream.close()
            return
        self._streams.add(caller_stream)
        connection = CallerConnection(
            caller_stream,
            self.conn_params,
            address[0] if address else "",
            self._handler,
            self._counters,
            self._max_requests,
        )
        caller_stream.connection = connection
        self._connections.add(connection)
        connection.start_serving(self)

    def on_close(self, server_conn: Any) -> None:
        """Remove a closed connection; called by `CallerConnection`."""
        super().on_close(server_conn)
        stream = server_conn.caller_stream
        # Breaks the reference cycle, so that the memory of its requests is free before the next
        # garbage collection.
        stream.connection = None
        self._streams.discard(stream)
        self._handler.guard.forget(stream)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._streams)

    def count_requests(self) -> int:
        """Return the number of requests in progress.

        They include those whose bodies are still read, and those whose response is not written
        completely: the caller of a large one may be slow to read it.
        """
        return sum(
            sum(bool(request.method) for request in stream.list_requests()) or stream.writing()
            for stream in self._streams
        )

    def refuse_incomplete(self, response: LocalResponse) -> None:
        """Refuse the requests whose bodies are still read, which have not been passed on."""
        for stream in list(self._streams):
            for request in stream.list_requests():
                if _is_in_progress(request) and not request.is_running:
                    request.send_local_response(response)

    def close_idle(self) -> None:
        """Close connections on which no part of a request has been received."""
        for stream in list(self._streams):
            is_idle = not any(request.method for request in stream.list_requests())
            if is_idle and not stream.has_unread_input():
                stream.close()

    def reset_unwritten(self) -> None:
        """Reset the connections whose response is not written completely.

        At the end of the process the kernel closes connections in order, and a response whose end
        is marked by that would look complete.
        """
        for stream in list(self._streams):
            if stream.writing():
                stream.reset()
                stream.close()

    def close_stalled(self, stall_timeout_s: float, now: float) -> None:
        """Close connections that are idle or whose caller has stopped sending or reading.

        Parameters
        ----------
        stall_timeout_s : float
            Time without progress in seconds after which a request or response is aborted.
        now : float
            Monotonic time in seconds.
        """
        for stream in list(self._streams):
            connection = stream.connection
            if connection is not None and not connection.is_reading and stream.has_caller_left():
                stream.close()
                continue
            requests = stream.list_requests()
            if not requests:
                continue
            for request in requests[1:]:
                # Waits for the requests before it.
                request.last_progress = now
            request = requests[0]
            idle_s = now - request.last_progress
            if not request.method:
                if idle_s > (stall_timeout_s if self._handler.is_draining else IDLE_TIMEOUT_S):
                    stream.close()
            elif idle_s <= stall_timeout_s:
                continue
            elif request.has_ended and stream.writing():
                stream.reset()
                stream.close()
            elif not request.has_ended and not request.is_running:
                request.send_local_response(make_refusal(OutcomeReason.TIMEOUT, closes=True))

    async def wait_for_lingering_closes(self) -> None:
        """Wait for the lingering closes, so that refused callers receive their responses."""
        if _lingering_closes:
            await asyncio.wait(_lingering_closes, timeout=LINGER_TIMEOUT_S)
