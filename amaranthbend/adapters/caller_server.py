"""Caller's side of the entry process: connections."""

import asyncio
import contextlib
import socket
import struct
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate, HTTPServerConnectionDelegate
from tornado.iostream import IOStream, UnsatisfiableReadError

from ..core.outcomes import OutcomeReason
from ..filters.local_responses import make_refusal
from .caller import CallerRequest, RequestHandler

__all__ = ["CallerServer", "CallerStream"]

# Written by tornado in response to input that it cannot parse.
TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"
# After this time a caller that still sends loses its refusal to a connection reset.
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
READ_SIZE_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
IDLE_TIMEOUT_S = 75.0
# Bounds the sockets and tasks that callers with bad input can hold.
MAX_LINGERING_CLOSES = 128

_lingering_closes: set["asyncio.Task[None]"] = set()


async def read_and_discard(connection: socket.socket) -> None:
    """Read and discard what a caller still sends, within bounds."""
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


class CallerStream(IOStream):
    """Stream of one caller's connection, which explains every refusal of its input."""

    request: CallerRequest | None = None
    lingers = False

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write, with tornado's bare refusal replaced by ours."""
        if data == TORNADO_BAD_REQUEST and self.request is not None:
            self.lingers = True
            data = self.request.reject_malformed(OutcomeReason.MALFORMED_REQUEST)
        return super().write(data)

    def close(self, exc_info: Any = False) -> None:
        """Close; a caller that still sends is read for a while, or the refusal would be lost."""
        if self.closed():
            return
        if isinstance(exc_info, UnsatisfiableReadError) and self.request is not None:
            self._refuse_oversized(self.request)
        if self.lingers:
            self._start_lingering_close()
        super().close(exc_info)

    def _start_lingering_close(self) -> None:
        if len(_lingering_closes) >= MAX_LINGERING_CLOSES:
            return
        task = asyncio.ensure_future(read_and_discard(self.socket.dup()))
        _lingering_closes.add(task)
        task.add_done_callback(_lingering_closes.discard)

    def _refuse_oversized(self, request: CallerRequest) -> None:
        self.lingers = True
        reason = OutcomeReason.HEADERS_TOO_LARGE
        if request.method:
            # A line between chunks of the body that does not end.
            reason = OutcomeReason.MALFORMED_REQUEST
        with contextlib.suppress(OSError):
            self.socket.send(request.reject_malformed(reason))

    def reset(self) -> None:
        """Make the close a connection reset, which no caller takes for the end of a body."""
        if not self.closed():
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def has_unread_input(self) -> bool:
        """Return whether a part of the next request has arrived."""
        if self._read_buffer_size > 0:
            return True
        # A closed stream stays listed until the server is told of it.
        if self.closed():
            return False
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def set_nodelay(self, value: bool) -> None:
        """Ignore; the option is set once, for the life of the connection."""


class CallerServer(HTTPServer, HTTPServerConnectionDelegate):
    """Server for callers.

    Parameters
    ----------
    handler : RequestHandler
        What to do with requests.
    max_header_bytes : int
        Largest start line and headers.
    """

    def initialize(self, handler: RequestHandler, max_header_bytes: int) -> None:  # type: ignore[override]
        """Set up the server; called by tornado in place of a constructor."""
        super().initialize(
            self,
            chunk_size=READ_SIZE_BYTES,
            max_header_size=max_header_bytes,
            # The filters refuse long bodies, with the limit of the route.
            max_body_size=1 << 62,
            max_buffer_size=max_header_bytes + 4 * READ_SIZE_BYTES,
        )
        # `close_stalled` ends idle connections; tornado would set a timer for each head.
        self.conn_params.header_timeout = None
        self._handler = handler
        self._streams: set[CallerStream] = set()

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection."""
        stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller_stream = CallerStream(
            stream.socket, max_buffer_size=self.max_buffer_size, read_chunk_size=READ_SIZE_BYTES
        )
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
        """Forget a connection."""
        super().on_close(server_conn)
        self._streams.discard(server_conn.stream)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._streams)

    def close_idle(self) -> None:
        """Close the connections on which no request has started to arrive."""
        for stream in list(self._streams):
            request = stream.request
            if request is None or (not request.method and not stream.has_unread_input()):
                stream.close()

    def close_stalled(self, stall_timeout_s: float, now: float) -> None:
        """Close connections whose caller neither sends its request nor takes the response.

        Parameters
        ----------
        stall_timeout_s : float
            Time without progress after which a request or response is given up.
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
        """Wait until callers that were refused early have got their refusals."""
        if _lingering_closes:
            await asyncio.wait(_lingering_closes, timeout=LINGER_TIMEOUT_S)
