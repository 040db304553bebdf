"""HTTP server for callers and their connections."""

import asyncio
import contextlib
import socket
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate, HTTPServerConnectionDelegate
from tornado.iostream import IOStream, UnsatisfiableReadError

from ..core.buffers import BufferBudget
from ..core.outcomes import OutcomeReason
from ..filters.local_responses import LocalResponse, make_refusal
from .caller import CallerRequest, RequestHandler
from .caller_guard import READ_SIZE_BYTES, GuardedStream

__all__ = ["CallerServer", "CallerStream"]

# Response that tornado writes to input that it cannot parse.
TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"
# Duration of a lingering close. A caller that still sends afterwards gets a connection reset, which
# can make it lose the refusal.
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
# Limits the sockets and tasks that callers with invalid input can occupy.
MAX_LINGERING_CLOSES = 128

_lingering_closes: set["asyncio.Task[None]"] = set()


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
    """Stream of a caller's connection; responds to refused input with the reason."""

    lingers = False
    # Counts the data that the caller has not read yet.
    buffers: BufferBudget | None = None

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write data; tornado's response to malformed input is replaced by one with the reason."""
        if data == TORNADO_BAD_REQUEST and self.request is not None:
            self.lingers = True
            data = self.request.reject_malformed(OutcomeReason.MALFORMED_REQUEST)
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
        if isinstance(exc_info, UnsatisfiableReadError) and self.request is not None:
            self._refuse_oversized(self.request)
        if self.lingers:
            self._start_lingering_close()
        super().close(exc_info)

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
        self.lingers = True
        reason = OutcomeReason.HEADERS_TOO_LARGE
        if request.method:
            # The head was complete: an overlong line between the chunks of the body.
            reason = OutcomeReason.MALFORMED_REQUEST
        with contextlib.suppress(OSError):
            self.socket.send(request.reject_malformed(reason))

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

    def set_nodelay(self, value: bool) -> None:
        """Do nothing; the server sets the option once per connection."""


def _is_in_progress(request: CallerRequest | None) -> bool:
    """Return whether the head of a request has been received, and the request has not ended."""
    return request is not None and bool(request.method) and not request.has_ended


class CallerServer(HTTPServer, HTTPServerConnectionDelegate):
    """Server for callers.

    Parameters
    ----------
    handler : RequestHandler
        Handles the requests.
    max_header_bytes : int
        Maximum size of the request line and the header fields together.
    """

    def initialize(self, handler: RequestHandler, max_header_bytes: int) -> None:  # type: ignore[override]
        """Initialize the server; called by tornado instead of `__init__`."""
        super().initialize(
            self,
            chunk_size=READ_SIZE_BYTES,
            max_header_size=max_header_bytes,
            # No limit here: the limit of the route applies to the body.
            max_body_size=1 << 62,
            max_buffer_size=max_header_bytes + 4 * READ_SIZE_BYTES,
        )
        # `close_stalled` closes idle connections; tornado would set a timer for each request.
        self.conn_params.header_timeout = None
        self._handler = handler
        self._streams: set[CallerStream] = set()

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
        super().handle_stream(caller_stream, address)

    def start_request(
        self,
        server_conn: object,  # noqa: ARG002
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate of the next request on a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        stream = request_conn.stream
        assert isinstance(stream, CallerStream)
        request = CallerRequest(self._handler, request_conn)
        stream.request = request
        return request

    def on_close(self, server_conn: Any) -> None:
        """Remove a closed connection; called by tornado."""
        super().on_close(server_conn)
        self._streams.discard(server_conn.stream)
        self._handler.guard.forget(server_conn.stream)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._streams)

    def count_requests(self) -> int:
        """Return the number of requests in progress.

        They include those whose bodies are still read, and those whose response is not written
        completely: the caller of a large one may be slow to read it.
        """
        return sum(_is_in_progress(stream.request) or stream.writing() for stream in self._streams)

    def refuse_incomplete(self, response: LocalResponse) -> None:
        """Refuse the requests whose bodies are still read, which have not been passed on."""
        for stream in list(self._streams):
            request = stream.request
            if request is not None and _is_in_progress(request) and not request.is_running:
                request.send_local_response(response)

    def close_idle(self) -> None:
        """Close connections on which no part of a request has been received."""
        for stream in list(self._streams):
            request = stream.request
            if request is None or (not request.method and not stream.has_unread_input()):
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
            request = stream.request
            if request is None:
                continue
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
