"""One of several requests of a connection, whose response is written when it is its turn."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, cast

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from ..core.outcomes import OutcomeReason
from .caller import CallerRequest

if TYPE_CHECKING:
    from .pipelining import CallerConnection

__all__ = ["Exchange", "ExchangeConnection", "may_be_followed"]

# Reserved in the buffer budget for each request that runs ahead, besides its head: the size up to
# which a response is buffered whatever the budget (`filters/attempts.py`).
HELD_RESPONSE_BYTES = 8 * 1024
# Requests of these methods change nothing, so a refused one may be followed by others.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
# Response that tornado writes to input that it cannot parse.
TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


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

    # Most requests change none of these, so that they cost a request nothing.
    has_turn = False
    lingers = False
    is_dropped = False
    held_bytes = 0
    _is_reset = False
    _is_finished = False
    _is_closing = False
    _last_write: "asyncio.Future[None] | None" = None
    _held: tuple[bytes, ...] = ()
    _held_writes: "tuple[asyncio.Future[None], ...]" = ()
    # Memory of the head of a request that runs ahead, and all that is reserved for it.
    _head_bytes = 0
    _reserved_bytes = 0

    def __init__(self, owner: "CallerConnection") -> None:
        self._owner = owner
        self._stream = owner.caller_stream
        connection = ExchangeConnection(self, owner.params, owner.context)
        self.request = CallerRequest(owner.handler, connection)

    # Request, called by tornado.

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Pass the head on, at once or when all responses before this one are written."""
        self._stream.head_started_at = 0.0
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
        if self.is_dropped or not has_no_body(headers) or not owner.may_run_ahead():
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
            if self.request.is_response_partial:
                # An orderly end could make it look complete.
                self.reset()
            data = self.request.reject_malformed(OutcomeReason.MALFORMED_REQUEST)
        if self.request.closes_connection:
            self._owner.drop_behind(self)
        if self.has_turn:
            self._last_write = self._stream.write(data)
            return self._last_write
        return self._hold(data)

    def _hold(self, data: bytes) -> "asyncio.Future[None]":
        written: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._held += (data,)
        self._held_writes += (written,)
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
            self._held = self._held_writes = ()
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
        self._call_when_written(self._end)

    def _end(self) -> None:
        self._owner.advance(self)

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
        for write in self._held_writes:
            if not write.done():
                write.set_exception(StreamClosedError())
                # Marks the exception as retrieved: nobody may wait for the write.
                write.exception()
        self._held = self._held_writes = ()
        self._release()

    def _release(self) -> None:
        """Release the memory that was reserved for running ahead."""
        if not self._reserved_bytes:
            return
        self._owner.buffers.release(self._reserved_bytes)
        self._reserved_bytes = self.held_bytes = self._head_bytes = 0


def resolve_writes(writes: "tuple[asyncio.Future[None], ...]") -> None:
    """Report that held data has been written."""
    for write in writes:
        if not write.done():
            write.set_result(None)
