"""A call to an upstream: one request and its response.

libcurl forbids adding or removing transfers inside its callbacks. The callbacks therefore only
buffer the received data, which is delivered after libcurl has returned.
"""

import time
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, Protocol

import pycurl
from tornado.curl_httpclient import CurlError

from ..core.outcomes import OutcomeReason
from .head_grammar import parse_field_line, strip_line_end
from .headers import STATUS_WITHOUT_BODY, ResponseHead, decode_response_head, is_interim_head

__all__ = [
    "ResponseHandler",
    "BodySource",
    "CallEnd",
    "CallOwner",
    "EndKind",
    "UpstreamCall",
    "UpstreamRequest",
]

# Maximum size of one read; limits the memory that a request of a slow caller occupies.
READ_SIZE_BYTES = 64 * 1024
# Maximum size of the head of a response. Whether and how libcurl limits the number of its lines
# depends on the version.
MAX_HEAD_BYTES = 64 * 1024
# libcurl error codes; the type stubs of pycurl lack some of them.
ERROR_UNSUPPORTED_PROTOCOL = 1
ERROR_WEIRD_SERVER_REPLY = 8
ERROR_BAD_CONTENT_ENCODING = 61
ERROR_TOO_LARGE = 100
MALFORMED_RESPONSE_ERRORS = frozenset(
    {
        ERROR_UNSUPPORTED_PROTOCOL,
        ERROR_WEIRD_SERVER_REPLY,
        ERROR_BAD_CONTENT_ENCODING,
        ERROR_TOO_LARGE,
    }
)


class BodySource(Protocol):
    """Source of the body of a streamed request."""

    def read(self, size: int) -> bytes | None:
        """Return up to `size` bytes: empty at the end of the body, None if not available yet."""

    def call_when_readable(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, when bytes are available or the body is complete."""


class UpstreamRequest(NamedTuple):
    """Request that one attempt sends.

    Parameters
    ----------
    address : str
        `address:port` of the upstream.
    method : str
        HTTP method.
    target : bytes
        Request target, sent unchanged.
    header_lines : list of bytes
        Header lines in the format of libcurl's `HTTPHEADER` option.
    body : bytes or None
        Complete body if it is buffered, None if it is streamed or there is none.
    source : BodySource or None
        Source of a streamed body, None otherwise.
    body_length : int or None
        Length of a streamed body in bytes, None if it is sent with chunked encoding.
    may_reuse_connection : bool
        Whether the request may be sent on a connection that has already carried a request.
    connect_timeout_s : float
        Timeout in seconds for establishing the connection.
    allows_excess_bytes : bool
        Whether bytes after the end of a response are tolerated. This is safe if responses carry
        the identifier of their request.
    """

    address: str
    method: str
    target: bytes
    header_lines: list[bytes]
    body: bytes | None
    source: BodySource | None
    body_length: int | None
    may_reuse_connection: bool
    connect_timeout_s: float
    allows_excess_bytes: bool = False


class EndKind(Enum):
    """How a call ended."""

    COMPLETE = auto()
    NEVER_CONNECTED = auto()
    FAILED = auto()


class CallEnd(NamedTuple):
    """How a call ended; for a failure also its reason and a message.

    Parameters
    ----------
    kind : EndKind
        Whether the response is complete.
    reason : OutcomeReason or None
        Reason of a failure.
    message : str
        Details of a failure, for logs.
    on_reused_connection : bool
        Whether the call used a connection that had carried another request. Its end then says
        little about the upstream: the connection may have died or hold a late response.
    """

    kind: EndKind
    reason: OutcomeReason | None = None
    message: str = ""
    on_reused_connection: bool = False


class ResponseHandler(Protocol):
    """Handles the response of an upstream."""

    def is_own_response(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to the request of this call.

        Otherwise the connection is closed, since the response to this request may still follow on
        it and would be taken for the next one. Called inside a libcurl callback, so that it must
        not start or abort calls.
        """

    def deliver(self, head: ResponseHead | None, data: bytes, end: CallEnd | None) -> bool:
        """Handle the data received since the last call; return whether to continue receiving.

        After False the body is paused until `UpstreamCall.resume` is called. Never called inside
        a libcurl callback.
        """


class CallOwner(Protocol):
    """Interface of the client that runs a call."""

    prevents_resend: bool

    def remove(self, call: "UpstreamCall") -> None:
        """Cancel the transfer."""

    def unpause(self, call: "UpstreamCall") -> None:
        """Continue a paused transfer."""

    def schedule_flush(self, call: "UpstreamCall") -> None:
        """Schedule a call of `flush` outside the libcurl callbacks."""


class UpstreamCall:
    """Call to an upstream for one attempt; created by `UpstreamClient.start`."""

    __slots__ = (
        "_buffered_bytes",
        "_chunks",
        "_client",
        "_head",
        "_head_bytes",
        "_head_error",
        "_connection_was_kept",
        "_accepts_body",
        "_header_lines",
        "_is_paused",
        "_pending_head",
        "_received_bytes",
        "_opened_connection",
        "_send_count",
        "_response_handler",
        "curl",
        "last_progress",
        "request",
        "sent_body_bytes",
    )

    def __init__(
        self,
        client: CallOwner,
        request: UpstreamRequest,
        response_handler: ResponseHandler,
        curl: pycurl.Curl,
    ) -> None:
        self.request = request
        self.last_progress = time.monotonic()
        self._client = client
        self._response_handler: ResponseHandler | None = response_handler
        self.curl = curl
        self._header_lines: list[bytes] = []
        # Size of the head with all interim responses before it.
        self._head_bytes = 0
        self._head: ResponseHead | None = None
        self._pending_head: ResponseHead | None = None
        self._head_error = ""
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._buffered_bytes = 0
        self._send_count = 0
        # Bytes of a streamed request body that libcurl has taken.
        self.sent_body_bytes = 0
        self._opened_connection = False
        self._is_paused = False
        self._accepts_body = True
        self._connection_was_kept = False

    @property
    def has_ended(self) -> bool:
        """Whether the call has finished or was aborted, so that nothing more is delivered."""
        return self._response_handler is None

    def abort(self) -> None:
        """Cancel the call; nothing more is delivered."""
        self._response_handler = None
        self._client.remove(self)

    def resume(self) -> None:
        """Continue receiving the response after `deliver` returned False."""
        self._accepts_body = True
        if self._is_paused and self._response_handler is not None:
            self._is_paused = False
            self._client.unpause(self)

    def record_send(self) -> bool:
        """Count a send of the request and return whether it is allowed.

        libcurl repeats a request by itself if a reused connection closes before the first byte of
        the response. Only the first send is allowed, unless the client permits repeats.
        """
        self._send_count += 1
        return self._send_count == 1 or not self._client.prevents_resend

    def record_connect(self) -> None:
        """Record that libcurl opens a connection for the call."""
        self._opened_connection = True

    def receive_header(self, line: bytes) -> bool:
        """Process a status line, a header line or the empty line that ends the head.

        Returns whether to continue. After False libcurl closes the connection.
        """
        if not line.endswith(b"\n"):
            # The connection closed within the line, which libcurl passes on all the same.
            return True
        text = strip_line_end(line)
        if self._head is not None:
            return not text or self._receive_trailer(text)
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._header_lines.clear()
            return self._reject_head(f"the head is larger than {MAX_HEAD_BYTES} bytes")
        if text:
            self._header_lines.append(text)
            return True
        return self._finish_head()

    def _receive_trailer(self, text: bytes) -> bool:
        """Check a trailer field, which is not forwarded."""
        try:
            parse_field_line(text)
        except ValueError as error:
            return self._reject_head(f"trailer: {error}")
        return True

    def _finish_head(self) -> bool:
        """Decode the head, and return whether to continue after it."""
        try:
            if is_interim_head(self._header_lines):
                self._header_lines.clear()
                return True
            head = decode_response_head(self._header_lines)
        except (ValueError, IndexError) as error:
            return self._reject_head(str(error))
        head = head._replace(on_reused_connection=self.uses_reused_connection())
        self._head = self._pending_head = head
        self.last_progress = time.monotonic()
        self._client.schedule_flush(self)
        return self._response_handler is None or self._response_handler.is_own_response(head)

    def _reject_head(self, problem: str) -> bool:
        """Record that the response is malformed; the result makes libcurl close the connection.

        Nothing tells what follows a malformed head on its connection.
        """
        self._head_error = problem
        return False

    def receive_body(self, chunk: bytes) -> int:
        """Buffer a part of the response body; return the result of libcurl's write callback."""
        if self._response_handler is None or self._head_error or self._head is None:
            return 0
        if not self._accepts_body:
            self._is_paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._chunks.append(chunk)
        self._received_bytes += len(chunk)
        self.last_progress = time.monotonic()
        self._buffered_bytes += len(chunk)
        if self._buffered_bytes >= READ_SIZE_BYTES:
            # The buffer is delivered only after libcurl returns; pause the transfer until then.
            self._accepts_body = False
        self._client.schedule_flush(self)
        return len(chunk)

    def read_body(self, size: int) -> bytes | int:
        """Return a part of the request body, or a code of libcurl's read callback."""
        source = self.request.source
        if self._response_handler is None or source is None:
            return int(pycurl.READFUNC_ABORT)
        data = source.read(size)
        if data is None:
            source.call_when_readable(self._resume_sending)
            return int(pycurl.READFUNC_PAUSE)
        self.last_progress = time.monotonic()
        self.sent_body_bytes += len(data)
        return data

    def _resume_sending(self) -> None:
        if self._response_handler is not None:
            self._client.unpause(self)

    def flush(self) -> None:
        """Deliver the buffered data, except the last bytes of a body of known length.

        These stay buffered until libcurl reports the end of the transfer. Only then is it known
        whether more bytes than the announced length were received.
        """
        if self._response_handler is None or self._has_whole_body(self._received_bytes):
            return
        head, self._pending_head = self._pending_head, None
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        self._accepts_body = self._response_handler.deliver(head, data, None)
        if self._accepts_body and self._is_paused:
            self.resume()

    def _has_whole_body(self, received: int) -> bool:
        head = self._head
        if head is None:
            return False
        if self.request.method == "HEAD" or head.status in STATUS_WITHOUT_BODY:
            return True
        return head.length is not None and received >= head.length

    def uses_reused_connection(self) -> bool:
        """Return whether the first connection of the call had carried another request before."""
        if not self.request.may_reuse_connection:
            return False
        # libcurl opens a connection after the first one if that turned out to be closed.
        return not self._opened_connection or self._send_count > 1

    def finish(self, error: CurlError | None, *, connection_was_kept: bool) -> None:
        """Deliver the remaining data and the end of the call.

        Parameters
        ----------
        error : CurlError or None
            Error that ended the transfer, None if it succeeded.
        connection_was_kept : bool
            Whether libcurl kept the connection open after the transfer.
        """
        response_handler, self._response_handler = self._response_handler, None
        self._connection_was_kept = connection_was_kept
        if response_handler is None:
            return
        end = self._make_end(error)._replace(on_reused_connection=self.uses_reused_connection())
        head, self._pending_head = self._pending_head, None
        data = b"".join(self._chunks)
        if end.kind is not EndKind.COMPLETE and self._has_whole_body(self._received_bytes):
            # With all announced bytes, the failed response would look complete to the caller.
            data = data[:-1]
        response_handler.deliver(head, data, end)

    def _make_end(self, error: CurlError | None) -> CallEnd:
        if self._head_error:
            return CallEnd(EndKind.FAILED, OutcomeReason.MALFORMED_ANSWER, self._head_error)
        if error is not None:
            return self._make_error_end(error)
        if self._head is None:
            # libcurl reports success if the connection closes within the header lines.
            message = "the connection closed within the header lines"
            return CallEnd(EndKind.FAILED, OutcomeReason.TRUNCATED_ANSWER, message)
        if self._closed_with_excess():
            message = "bytes after the end of the response"
            return CallEnd(EndKind.FAILED, OutcomeReason.MALFORMED_ANSWER, message)
        return CallEnd(EndKind.COMPLETE)

    def _closed_with_excess(self) -> bool:
        """Return whether libcurl closed the connection because of bytes after the response.

        If bytes follow a response of known length, libcurl reports no error, but closes a
        connection that it would otherwise keep open.
        """
        head = self._head
        if self.request.allows_excess_bytes:
            return False
        if head is None or head.chunked or not self._has_whole_body(self._received_bytes):
            return False
        if not self._allows_keep_alive():
            return False
        return not self._connection_was_kept

    def _allows_keep_alive(self) -> bool:
        if not self._header_lines[0].startswith(b"HTTP/1.1"):
            return False
        return not any(
            line[:11].lower() == b"connection:" and b"close" in line.lower()
            for line in self._header_lines
        )

    def _make_error_end(self, error: CurlError) -> CallEnd:
        message = f"libcurl error {error.errno}: {error.message}"
        if self._send_count == 0:
            return CallEnd(EndKind.NEVER_CONNECTED, OutcomeReason.UPSTREAM_UNREACHABLE, message)
        if error.errno in MALFORMED_RESPONSE_ERRORS or "chunk" in str(error.message):
            return CallEnd(EndKind.FAILED, OutcomeReason.MALFORMED_ANSWER, message)
        if self._head is not None or self._header_lines:
            return CallEnd(EndKind.FAILED, OutcomeReason.TRUNCATED_ANSWER, message)
        return CallEnd(EndKind.FAILED, OutcomeReason.UPSTREAM_FAILED, message)
