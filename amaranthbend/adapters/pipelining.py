"""Requests of one connection that are processed at the same time and answered in order.

`CallerConnection` reads the requests of a connection. While idempotent requests without a body are
in progress, it reads the next ones. Each request has an `Exchange`, which its `CallerRequest` uses
as its stream: output is written through while it is the request's turn, and held before that.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Protocol, cast

from absl import logging
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
    HTTP1ServerConnection,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..core.buffers import BufferBudget
from ..core.outcomes import OutcomeReason
from .caller import CallerRequest, RequestHandler

if TYPE_CHECKING:
    from .caller_server import CallerStream

__all__ = ["MAX_PIPELINED_REQUESTS", "CallerConnection", "PipeliningCounters"]

# Most requests of a connection in progress at the same time. Callers send a handful ahead; with
# more, one connection could occupy the slots of several upstreams.
MAX_PIPELINED_REQUESTS = 8
# Reserved in the buffer budget for each request that runs ahead, besides its head: the size up to
# which a response is buffered whatever the budget (`filters/attempts.py`).
HELD_RESPONSE_BYTES = 8 * 1024
# No further request of a connection is read while its held responses have this size. A quarter of
# the largest response that is buffered, so that usual responses do not reach it.
MAX_HELD_BYTES = 256 * 1024
# Requests of these methods change nothing, so a refused one may be followed by others.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
# Response that tornado writes to input that it cannot parse.
TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class PipeliningCounters(Protocol):
    """Counts events; implemented by `Counters`."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""


def may_be_followed(request: CallerRequest) -> bool:
    """Return whether the next request may be read before the response to this one is written."""
    if request.closes_connection or (request.body is not None and request.body.length != 0):
        return False
    return request.is_idempotent or (request.is_refused and request.method in SAFE_METHODS)


def has_no_body(headers: HTTPHeaders) -> bool:
    """Return whether the header fields announce no body."""
    if "Transfer-Encoding" in headers:
        return False
    return headers.get("Content-Length", "0") == "0"


def count_bytes(headers: HTTPHeaders) -> int:
    """Return the size of header fields."""
    return sum(len(name) + len(value) for name, value in headers.get_all())


class ExchangeConnection(HTTP1Connection):
    """Reads one request by tornado's parser; the response goes to the `Exchange`.

    Parameters
    ----------
    exchange : Exchange
        Stream of the request.
    params : HTTP1ConnectionParameters
        Limits of the parser.
    context : object
        Address of the caller, for log lines of tornado.
    """

    def __init__(
        self, exchange: "Exchange", params: HTTP1ConnectionParameters, context: object
    ) -> None:
        super().__init__(cast(IOStream, exchange), False, params, context)
        self._exchange = exchange
        # `read_response` returns at the end of the request instead of at the end of the response,
        # which `CallerConnection` waits for where it has to.
        self._finish_future.set_result(None)

    @property
    def has_followers(self) -> bool:
        """Whether requests behind this one were passed on, and wait for their responses."""
        return self._exchange.has_followers

    def write(self, chunk: bytes) -> "asyncio.Future[None]":
        """Write the last part of the response."""
        return self._exchange.write(chunk)

    def finish(self) -> None:
        """End the response; the connection stays open."""
        self._exchange.finish_response()


class Exchange(HTTPMessageDelegate):
    """One request of a connection and its response.

    It passes what tornado's parser reads to the `CallerRequest`, and takes the place of the
    connection's stream for both.

    Parameters
    ----------
    owner : CallerConnection
        Connection of the request.
    """

    def __init__(self, owner: "CallerConnection") -> None:
        self._owner = owner
        self._stream = owner.caller_stream
        self.has_turn = False
        self.lingers = False
        self.is_dropped = False
        self._is_reset = False
        self._is_finished = False
        self._is_closing = False
        self._last_write: asyncio.Future[None] | None = None
        self._held: list[bytes] = []
        self._held_writes: list[asyncio.Future[None]] = []
        self.held_bytes = 0
        # Memory of the head of a request that runs ahead, and all that is reserved for it.
        self._head_bytes = 0
        self._reserved_bytes = 0
        connection = ExchangeConnection(self, owner.params, owner.context)
        self.request = CallerRequest(owner.handler, connection)

    # Request, called by tornado.

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Pass the head on, at once or when all responses before this one are written."""
        if self.has_turn:
            self.request.headers_received(start_line, headers)
            return None
        if self._run_ahead(start_line, headers):
            return None
        return self._run_in_turn(start_line, headers)

    def _run_ahead(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> bool:
        """Pass the head on before the request's turn if that is allowed; return whether it is."""
        owner = self._owner
        if owner.is_closing or self.is_dropped or not has_no_body(headers):
            return False
        if owner.count_held_bytes() >= MAX_HELD_BYTES:
            return False
        head_bytes = count_bytes(headers)
        if not owner.buffers.reserve(head_bytes + HELD_RESPONSE_BYTES):
            return False
        self._head_bytes = head_bytes
        self._reserved_bytes = head_bytes + HELD_RESPONSE_BYTES
        request = self.request
        request.ran_ahead = True
        request.headers_received(start_line, headers)
        # A refusal that closes the connection has been sent already.
        if request.has_ended or may_be_followed(request):
            owner.count_ahead()
            return True
        # A request without a body that has not ended has no effects yet. It is checked again in its
        # turn, with the configuration of that time.
        self._release()
        self.request = CallerRequest(owner.handler, request.connection)
        return False

    async def _run_in_turn(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if not self.is_dropped:
            self._owner.count_waiting()
        await self._owner.wait_until(lambda: self.has_turn)
        if self.has_turn and not self._stream.closed():
            self.request.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on."""
        return self.request.data_received(chunk)

    def finish(self) -> None:
        """Run the request, unless it was dropped before its turn."""
        if self.request.method:
            self.request.finish()

    def on_connection_close(self) -> None:
        """End the request, whose input ended early."""
        self.request.on_connection_close()

    # Stream, used by tornado's parser and by `CallerRequest`.

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read the head of the request."""
        return self._stream.read_until_regex(regex, max_bytes)

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read a line between the chunks of the body."""
        return self._stream.read_until(delimiter, max_bytes)

    def read_bytes(self, num_bytes: int, partial: bool = False) -> Awaitable[bytes]:
        """Read a part of the body."""
        return self._stream.read_bytes(num_bytes, partial)

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Do nothing; the connection ends its requests itself when the stream closes."""

    def closed(self) -> bool:
        """Return whether no response can be written any more."""
        return self.is_dropped or self._is_closing or self._stream.closed()

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Write a part of the response, or hold it until all responses before it are written."""
        if self.closed():
            raise StreamClosedError
        if data == TORNADO_BAD_REQUEST:
            self.lingers = True
            data = self.request.reject_malformed(OutcomeReason.MALFORMED_REQUEST)
        if self.request.closes_connection:
            self._owner.drop_behind(self)
        if self.has_turn:
            self._last_write = self._stream.write(data)
            return self._last_write
        return self._hold(data)

    def _hold(self, data: bytes) -> "asyncio.Future[None]":
        written: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._held.append(data)
        self._held_writes.append(written)
        self.held_bytes += len(data)
        excess = self.held_bytes + self._head_bytes - self._reserved_bytes
        if excess > 0:
            self._owner.buffers.add(excess)
            self._reserved_bytes += excess
        return written

    def refuse_oversized(self) -> None:
        """Answer a head above the size limit in its turn, and close the connection."""
        self.lingers = True
        written = self.write(self.request.reject_malformed(OutcomeReason.HEADERS_TOO_LARGE))
        written.add_done_callback(lambda _written: self.close())

    def reset(self) -> None:
        """Let the following close show that the response is incomplete.

        Before the request's turn nothing of the response was sent: it is discarded, and the
        responses before it must not be lost by a reset.
        """
        if self.has_turn:
            self._is_reset = True
            self._stream.reset()
        else:
            self._discard()

    def close(self, exc_info: Any = False) -> None:  # noqa: ARG002
        """Close the connection, at once or when all responses before this one are written."""
        if self._is_closing or self.is_dropped:
            return
        self._is_closing = True
        self._owner.drop_behind(self)
        if self.has_turn:
            self._close_stream()

    def _close_stream(self) -> None:
        stream = self._stream
        if self._is_reset:
            # An orderly end could make a partial response look complete.
            pass
        elif self.lingers or self._owner.has_dropped or stream.has_unread_input():
            # Unread input would make the kernel reset the connection, and the caller could lose the
            # response.
            stream.lingers = True
        stream.close()

    # Order.

    @property
    def has_followers(self) -> bool:
        """Whether requests behind this one were passed on, and wait for their responses."""
        return self._owner.has_followers(self)

    def finish_response(self) -> None:
        """Give the turn to the next request when the response is written."""
        self._is_finished = True
        if self.has_turn:
            self._end_when_written()

    def take_turn(self) -> None:
        """Write the held part of the response, and write the rest through."""
        self.has_turn = True
        if self._held:
            held, writes = b"".join(self._held), self._held_writes
            self._held, self._held_writes = [], []
            written = self._last_write = self._stream.write(held)
            if written.done():
                resolve_writes(writes)
            else:
                written.add_done_callback(lambda _written: resolve_writes(writes))
        self._release()
        if self._is_closing:
            self._call_when_written(self._close_stream)
        elif self._is_finished:
            self._end_when_written()

    def _end_when_written(self) -> None:
        self._call_when_written(lambda: self._owner.advance(self))

    def _call_when_written(self, callback: Callable[[], None]) -> None:
        written = self._last_write
        if written is None or written.done():
            callback()
        else:
            written.add_done_callback(lambda _written: callback())

    def drop(self) -> bool:
        """End the request, whose response can never be sent; return whether it was passed on."""
        request = self.request
        was_passed_on = request.is_running
        self.is_dropped = True
        request.on_connection_close()
        self._discard()
        return was_passed_on

    def _discard(self) -> None:
        self._held.clear()
        for write in self._held_writes:
            if not write.done():
                write.set_exception(StreamClosedError())
                # Marks the exception as retrieved: nobody may wait for the write.
                write.exception()
        self._held_writes.clear()
        self._release()

    def _release(self) -> None:
        """Release the memory that was reserved for running ahead."""
        self._owner.buffers.release(self._reserved_bytes)
        self._reserved_bytes = self.held_bytes = self._head_bytes = 0


def resolve_writes(writes: "list[asyncio.Future[None]]") -> None:
    """Report that held data has been written."""
    for write in writes:
        if not write.done():
            write.set_result(None)


class CallerConnection(HTTP1ServerConnection):
    """Reads the requests of a connection and keeps their responses in order.

    Parameters
    ----------
    stream : CallerStream
        Stream of the connection.
    params : HTTP1ConnectionParameters
        Limits of the parser.
    address : object
        Address of the caller, for log lines of tornado.
    handler : RequestHandler
        Handles the requests.
    counters : PipeliningCounters or None
        Counts requests that run ahead.
    max_requests : int
        Most requests in progress at the same time; with 1, they are served one after the other.
    """

    def __init__(
        self,
        stream: "CallerStream",
        params: HTTP1ConnectionParameters,
        address: object,
        handler: RequestHandler,
        counters: PipeliningCounters | None,
        max_requests: int,
    ) -> None:
        super().__init__(stream, params, address)
        self.caller_stream = stream
        self.handler = handler
        self.buffers: BufferBudget = handler.buffers
        # Requests in the order of their responses. The last one may not have been read yet.
        self.exchanges: deque[Exchange] = deque()
        # Request that is read, or was read last.
        self.reading: Exchange | None = None
        # Whether a response that closes the connection has been determined.
        self.is_closing = False
        # Whether requests behind such a response have been dropped.
        self.has_dropped = False
        self._has_pipelined = False
        self._counters = counters
        self._max_requests = max_requests
        self._changed: asyncio.Future[None] | None = None

    async def _server_request_loop(self, delegate: HTTPServerConnectionDelegate) -> None:
        """Read requests until the connection closes; called by tornado."""
        stream = self.caller_stream
        stream.set_close_callback(self._end_requests)
        try:
            while not stream.closed():
                exchange = self.reading = Exchange(self)
                exchange.has_turn = not self.exchanges
                self.exchanges.append(exchange)
                if not await self._read_request(exchange):
                    # A response that closes the connection may still wait for its turn.
                    await self.wait_until(lambda: False)
                    return
                # Lets other connections proceed if the next request is in memory already.
                await asyncio.sleep(0)
                if not self._may_read():
                    await self.wait_until(self._may_read)
        finally:
            self._end_requests()
            self.reading = None
            stream.set_close_callback(None)
            delegate.on_close(self)

    async def _read_request(self, exchange: Exchange) -> bool:
        """Read a request; return whether another one may follow."""
        try:
            return await exchange.request.connection.read_response(exchange)
        except UnsatisfiableReadError:
            if not exchange.closed():
                exchange.refuse_oversized()
        except StreamClosedError:
            # The stream is closed, or open for a response after which it will be closed.
            pass
        except asyncio.CancelledError:
            self.stream.close()
        except Exception:
            logging.exception("event=connection_failed")
            self.caller_stream.reset()
            self.stream.close()
        return False

    def _may_read(self) -> bool:
        """Return whether the next request may be read."""
        if not self.exchanges:
            return True
        return (
            not self.is_closing
            and len(self.exchanges) < self._max_requests
            and may_be_followed(self.exchanges[-1].request)
            and self.count_held_bytes() < MAX_HELD_BYTES
        )

    def count_held_bytes(self) -> int:
        """Return the size of the responses that wait for their turn."""
        return sum(exchange.held_bytes for exchange in self.exchanges)

    @property
    def is_reading(self) -> bool:
        """Whether the next bytes of the caller are read as soon as they arrive."""
        return self._changed is None

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds or the connection is closed."""
        while not self.stream.closed() and not condition():
            self._changed = asyncio.get_running_loop().create_future()
            await self._changed
        self._changed = None

    def _notify(self) -> None:
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def advance(self, exchange: Exchange) -> None:
        """Remove the first request, whose response is written, and give the turn to the next."""
        if self.stream.closed() or not self.exchanges or self.exchanges[0] is not exchange:
            return
        self.exchanges.popleft()
        # Breaks the reference cycle of the request with its connection.
        del exchange.request
        self._notify()
        if not self.exchanges:
            return
        following = self.exchanges[0]
        following.request.record_progress()
        following.take_turn()

    def has_followers(self, exchange: Exchange) -> bool:
        """Return whether requests behind a request were passed on."""
        is_behind = False
        for other in self.exchanges:
            if is_behind and other.request.method:
                return True
            is_behind = is_behind or other is exchange
        return False

    def drop_behind(self, exchange: Exchange) -> None:
        """End the requests behind a response that closes the connection."""
        self.is_closing = True
        if exchange not in self.exchanges:
            return
        dropped = 0
        while self.exchanges[-1] is not exchange:
            dropped += self.exchanges.pop().drop()
        if dropped:
            self.has_dropped = True
            self._count("pipelining.cancelled", dropped)

    def _end_requests(self) -> None:
        """End all requests after the connection has been closed."""
        while self.exchanges:
            self.exchanges.pop().drop()
        self._notify()

    def count_ahead(self) -> None:
        """Count a request that runs before its turn."""
        self._count("pipelining.ahead")
        if not self._has_pipelined:
            self._has_pipelined = True
            self._count("pipelining.connections")

    def count_waiting(self) -> None:
        """Count a request that was read ahead and waits for its turn."""
        self._count("pipelining.waiting")

    def _count(self, stat: str, count: int = 1) -> None:
        if self._counters is not None:
            self._counters.incr(stat, count)
