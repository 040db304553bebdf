"""Requests of one connection that are processed at the same time and answered in order.

`CallerConnection` reads the requests of a connection. While idempotent requests without a body are
in progress, it reads the next ones. Each request has an `Exchange`, which its `CallerRequest` uses
as its stream: output is written through while it is the request's turn, and held before that.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from absl import logging
from tornado.http1connection import HTTP1ConnectionParameters, HTTP1ServerConnection
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from ..core.buffers import BufferBudget
from .caller import RequestHandler
from .exchange import Exchange, may_be_followed

if TYPE_CHECKING:
    from .caller_server import CallerStream

__all__ = ["MAX_HELD_BYTES", "MAX_PIPELINED_REQUESTS", "CallerConnection", "PipeliningCounters"]

# Most requests of a connection in progress at the same time. Callers send a handful ahead; with
# more, one connection could occupy the slots of several upstreams.
MAX_PIPELINED_REQUESTS = 8
# No further request of a connection runs ahead while its held responses have this size. A quarter
# of the largest response that is buffered, so that usual responses do not reach it.
MAX_HELD_BYTES = 256 * 1024


class PipeliningCounters(Protocol):
    """Counts events; implemented by `Counters`."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""


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
            len(self.exchanges) < self._max_requests
            and may_be_followed(self.exchanges[-1].request)
            and self.may_run_ahead()
        )

    def may_run_ahead(self) -> bool:
        """Return whether another request may run before the responses to earlier ones."""
        held_bytes = sum(exchange.held_bytes for exchange in self.exchanges)
        return not self.is_closing and held_bytes < MAX_HELD_BYTES

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
