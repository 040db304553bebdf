"""Request of a caller and its response."""

import asyncio
import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine

from ..core.outcomes import Outcome, OutcomeReason
from ..core.policy import RoutePolicy, TeamPolicy
from ..filters.local_responses import (
    LocalResponse,
    make_failure,
    make_refusal,
    render_local_response,
)
from .body import STREAM_BUFFER_BYTES, RequestBody
from .caller_response import CallerResponse
from .headers import ResponseHead, list_connection_options
from .request_handler import RequestHandler
from .request_memory import RequestMemory

if TYPE_CHECKING:
    from .exchange import ExchangeConnection

__all__ = ["CallerRequest", "RequestHandler"]

# The body of a refused request is read and discarded up to this size. For a body of
# larger or unknown size, the refusal is sent at once and the connection is closed.
MAX_DISCARDED_BODY_BYTES = 64 * 1024
# About the time in which the uploads of a burst end and free their memory.
BUFFERS_FULL_RETRY_S = 0.2
BUFFERS_FULL_REFUSAL = make_refusal(OutcomeReason.BUFFERS_FULL, BUFFERS_FULL_RETRY_S, closes=True)


class CallerRequest(HTTPMessageDelegate):
    """Request of a caller and its response; the filters set further attributes.

    Parameters
    ----------
    handler : RequestHandler
        Handles the request.
    connection : ExchangeConnection
        Connection as this request sees it.
    """

    method = ""
    target = ""
    path = ""
    host = ""
    headers: HTTPHeaders
    body: RequestBody | None = None
    route: RoutePolicy | None = None
    # Monotonic times by which the response has to start, and by which it has to be complete.
    deadline = 0.0
    response_deadline = math.inf
    # Estimated time since the caller first sent the request, 0 unless it was refused before.
    elapsed_s = 0.0
    is_idempotent = False
    idempotency_key = ""
    # Number of the request within the process, 0 until it is passed to the dispatcher.
    request_id = 0
    # Request identifier that the caller sent, for logs.
    caller_request_id = ""
    service = ""
    # Team that holds the key of the request, None without one.
    team: TeamPolicy | None = None
    # Whether the deployment has teams, so that the field with the team is set for upstreams.
    has_team_fields = False
    claim: object = None
    dispatch: object = None
    # Whether it was passed on before the responses to earlier requests of its connection.
    ran_ahead = False

    def __init__(self, handler: RequestHandler, connection: "ExchangeConnection") -> None:
        self.connection = connection
        self.arrived_at = 0.0
        self.last_progress = time.monotonic()
        self.is_sent = False
        # Result of each attempt, for the request log.
        self.attempt_results: list[str] = []
        self.has_response_started = False
        self.has_ended = False
        self.on_writable: Callable[[], None] | None = None
        self._handler = handler
        self._local_response: LocalResponse | None = None
        self.is_running = False
        self._closes_connection = False
        self._version = "HTTP/1.1"
        self._body_timer: asyncio.TimerHandle | None = None
        self.memory = RequestMemory(handler.buffers)
        self._response = CallerResponse(connection)

    def _set_ended(self) -> None:
        """Mark the request as ended, and release the memory of its head and its bodies."""
        self.has_ended = True
        self.memory.release()
        # Ended requests are in reference cycles, and would keep their heads and bodies until the
        # next garbage collection.
        if self.body is not None:
            self.body.discard()
        if self.memory.has_large_head:
            for name in list(self.headers):
                del self.headers[name]
        if self._body_timer is not None:
            self._body_timer.cancel()

    @property
    def is_http_1_1(self) -> bool:
        """Whether the caller supports chunked transfer coding."""
        return self._version == "HTTP/1.1"

    @property
    def closes_connection(self) -> bool:
        """Whether the connection is closed after the response, as far as is known yet."""
        return self._closes_connection

    @property
    def is_refused(self) -> bool:
        """Whether the request was refused because of its head."""
        return self._local_response is not None

    @property
    def is_response_partial(self) -> bool:
        """Whether a part of the response has been sent, and the rest not."""
        return self.has_response_started and not self.has_ended

    def record_progress(self) -> None:
        """Start the time without progress anew."""
        self.last_progress = time.monotonic()

    def _is_last_before_stop(self) -> bool:
        """Return whether a planned stop closes the connection after the response."""
        return self._handler.is_draining and not self.connection.has_followers

    # Request.

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Process the head of the request; called by tornado."""
        line = cast(RequestStartLine, start_line)
        self.method, self.target, self._version = line.method, line.path, line.version
        self.headers = headers
        if self.connection.stream.closed():
            # tornado read the end of the connection together with that of the head, and reports it
            # later. A request whose body is streamed would be sent at once.
            self._set_ended()
            return
        field = self._handler.dialect.request_id_field
        if field:
            self.caller_request_id = headers.get(field, "")
        self.arrived_at = self.last_progress = time.monotonic()
        options = list_connection_options(headers.get_list("Connection"))
        self._closes_connection = not self.is_http_1_1 or "close" in options
        if headers.get("Expect", "").lower() == "100-continue":
            # tornado compares the value case-sensitively: without this, a caller that uses another
            # case would never receive "100 Continue".
            headers["Expect"] = "100-continue"
        self._local_response = self._handler.check(self)
        if self._local_response is None and not self.memory.reserve_head(self.target, headers):
            self._local_response = BUFFERS_FULL_REFUSAL
        body = self.body
        length = body.length if body is not None else 0
        if self._local_response is not None:
            if self._local_response.closes or length is None or length > MAX_DISCARDED_BODY_BYTES:
                self._closes_connection = True
                self.send_local_response(self._local_response)
            return
        if length is not None and not self._may_buffer(length):
            self._start_streaming()
        elif length != 0:
            self._body_timer = asyncio.get_running_loop().call_later(
                self.deadline - self.arrived_at, self._time_out_body
            )

    def _may_buffer(self, length: int) -> bool:
        """Return whether a body of a known length may be buffered whole, and reserve its memory."""
        if length > self._handler.held_body_bytes:
            return False
        return self.memory.reserve_body(length, length)

    def _time_out_body(self) -> None:
        """Refuse a request whose body is still incomplete at its deadline."""
        if not self.has_ended and not self.is_running:
            self.send_local_response(make_refusal(OutcomeReason.TIMEOUT, closes=True))

    def data_received(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Process a part of the body; called by tornado."""
        body = self.body
        if self.has_ended or self._local_response is not None or body is None or self.route is None:
            return None
        self.last_progress = time.monotonic()
        if body.size + len(chunk) > self.route.max_body_bytes:
            self._refuse_large_body()
            return None
        writable = body.append(chunk)
        if body.streamed or body.length is not None:
            return writable
        is_buffered = self.memory.reserve_body(len(chunk), body.size)
        if not is_buffered or body.size > self._handler.held_body_bytes:
            self._start_streaming()
        return writable

    def finish(self) -> None:
        """Handle the end of the request; called by tornado."""
        if self.has_ended:
            return
        if self.connection.stream.closed():
            # The connection closed while the rest of the body was in memory, which tornado passes
            # on before it reports the close.
            self.on_connection_close()
            return
        if self._body_timer is not None:
            self._body_timer.cancel()
        self.connection.set_close_callback(self.on_connection_close)
        if self._local_response is not None:
            self.send_local_response(self._local_response)
            return
        if self.body is not None:
            self.body.set_complete()
        if not self.is_running:
            self.is_running = True
            self._handler.run(self)

    def on_connection_close(self) -> None:
        """Cancel the request after a disconnect; called by tornado."""
        if self.body is not None:
            self.body.resume_reading()
        if self.has_ended or not self.method:
            return
        self._set_ended()
        if self.is_running:
            self._handler.abandon(self)
        outcome = Outcome.UNKNOWN if self.is_sent else Outcome.NOT_RUN
        self._handler.record_end(self, outcome, OutcomeReason.CALLER_GONE)

    def _start_streaming(self) -> None:
        """Stream the body to an upstream, or refuse the request if not even that fits."""
        body = self.body
        assert body is not None
        needed = STREAM_BUFFER_BYTES if body.length is None else body.length
        missing = min(needed, STREAM_BUFFER_BYTES) - self.memory.reserved_bytes
        if missing > 0 and not self.memory.reserve(missing, is_large_body=True):
            self.send_local_response(BUFFERS_FULL_REFUSAL)
            return
        body.streamed = True
        self.is_running = True
        self._handler.run(self)

    def _refuse_large_body(self) -> None:
        self._closes_connection = True
        if self.is_sent:
            # A part of the request may already have been sent to an upstream.
            self.send_local_response(make_failure(OutcomeReason.BODY_TOO_LARGE))
        else:
            self.send_local_response(make_refusal(OutcomeReason.BODY_TOO_LARGE))
        if self.is_running:
            self._handler.abandon(self)

    def abandon_upload(self) -> None:
        """End a request that is streamed to an upstream and whose caller has stopped sending."""
        if self.is_sent:
            response = make_failure(OutcomeReason.STALLED_STREAM, closes=True)
        else:
            response = BUFFERS_FULL_REFUSAL
        self.send_local_response(response)
        self._handler.abandon(self)

    def reject_malformed(self, reason: OutcomeReason) -> bytes:
        """End the request because of malformed input; return the response to send before closing.

        The result is empty if the request has already ended or its response has started.
        """
        if self.has_ended:
            return b""
        self._set_ended()
        if self.body is not None:
            self.body.resume_reading()
        if self.is_running:
            self._handler.abandon(self)
        local_response = make_failure(reason) if self.is_sent else make_refusal(reason)
        self._handler.record_end(self, local_response.outcome, reason)
        if self.has_response_started:
            return b""
        has_body = self.method != "HEAD"
        dialect = self._handler.dialect
        return render_local_response(
            local_response, closes=True, has_body=has_body, dialect=dialect
        )

    # Response.

    def send_local_response(self, local_response: LocalResponse) -> None:
        """Send a response that the load balancer generates itself and end the request."""
        if self.has_ended:
            return
        if self.has_response_started:
            self.abort_response(local_response.reason)
            return
        self._closes_connection = (
            self._closes_connection or local_response.closes or self._is_last_before_stop()
        )
        has_body = self.method != "HEAD"
        rendered = render_local_response(
            local_response,
            closes=self._closes_connection,
            has_body=has_body,
            dialect=self._handler.dialect,
        )
        self._response.replace(rendered)
        self._handler.record_end(self, local_response.outcome, local_response.reason)
        self._finish_response()

    def start_response(self, head: ResponseHead) -> None:
        """Buffer the head of an upstream's response, before anything is sent to the caller."""
        self._closes_connection = self._response.start(
            head,
            self.method,
            is_http_1_1=self.is_http_1_1,
            closes=self._closes_connection or self._is_last_before_stop(),
        )

    def append(self, data: bytes) -> None:
        """Buffer bytes of the response body; `flush` or `complete_response` sends them."""
        self._response.append(data)

    def flush(self) -> bool:
        """Send the buffered data; return whether it was written completely.

        After False, `on_writable` is called once the data is written, unless the request has
        ended.
        """
        if self.has_ended:
            return False
        self.has_response_started = True
        written = self._response.flush()
        if written is None:
            return False
        if written.done():
            self.record_progress()
            return True
        self.memory.count_streamed_response()
        written.add_done_callback(self._on_written)
        return False

    def _on_written(self, _written: object) -> None:
        self.record_progress()
        if self.on_writable is not None and not self.has_ended:
            self.on_writable()

    def complete_response(self) -> None:
        """Send the remaining data of an upstream's response and end the request."""
        if self.has_ended:
            return
        self._response.append_end()
        self._handler.record_end(self, Outcome.ANSWERED, "")
        self._finish_response()

    def abort_response(self, reason: OutcomeReason) -> None:
        """Reset the connection, so that the caller cannot take a partial response as complete."""
        if self.has_ended:
            return
        self._set_ended()
        self._handler.record_end(self, Outcome.UNKNOWN, reason)
        if self.body is not None:
            self.body.resume_reading()
        self._response.abort()

    def _finish_response(self) -> None:
        self._set_ended()
        self.last_progress = time.monotonic()
        self.on_writable = None
        body = self.body
        if body is not None:
            body.resume_reading()
            if not body.is_complete:
                self._closes_connection = True
        self._response.finish(
            closes=self._closes_connection, lingers=body is not None and not body.is_complete
        )
