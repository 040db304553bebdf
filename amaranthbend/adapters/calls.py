"""One call at one upstream.

libcurl forbids adding or removing transfers inside its callbacks, so these
only store what arrived; it is delivered after libcurl has returned.
"""

import time
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, Protocol

import pycurl
from tornado.curl_httpclient import CurlError

from ..core.outcomes import OutcomeReason
from .headers import STATUS_WITHOUT_BODY, ResponseHead, decode_response_head

__all__ = [
    "AnswerSink",
    "BodySource",
    "CallEnd",
    "CallOwner",
    "EndKind",
    "UpstreamCall",
    "UpstreamRequest",
]

# Bytes that one read may bring; bounds what a slow caller keeps in memory for one request.
READ_BYTES = 64 * 1024
# Names and numbers of libcurl's errors; pycurl's stubs lack some of them.
ERROR_UNSUPPORTED_PROTOCOL = 1
ERROR_WEIRD_SERVER_REPLY = 8
ERROR_BAD_CONTENT_ENCODING = 61
ERROR_TOO_LARGE = 100
MALFORMED_ERRORS = frozenset(
    {
        ERROR_UNSUPPORTED_PROTOCOL,
        ERROR_WEIRD_SERVER_REPLY,
        ERROR_BAD_CONTENT_ENCODING,
        ERROR_TOO_LARGE,
    }
)


class BodySource(Protocol):
    """Gives the body of a streamed request."""

    def read(self, size: int) -> bytes | None:
        """Return the next bytes, empty at the end, None if there are none yet."""

    def notify(self, callback: Callable[[], None]) -> None:
        """Call back when there are bytes again."""


class UpstreamRequest(NamedTuple):
    """What is sent in one attempt.

    Parameters
    ----------
    address : str
        `address:port` of the upstream.
    method : str
        HTTP method.
    target : bytes
        Request target, sent as it is.
    lines : list of bytes
        Header lines in libcurl's form.
    body : bytes or None
        Whole body if it is held.
    source : BodySource or None
        Body if it is streamed.
    body_length : int or None
        Length of a streamed body, None if it is sent in chunks.
    reuses_connection : bool
        Whether the request may use a connection that was used before.
    connect_timeout_s : float
        Longest time to connect.
    accepts_excess : bool
        Whether bytes after a whole response are no fault, since responses name their request.
    """

    address: str
    method: str
    target: bytes
    lines: list[bytes]
    body: bytes | None
    source: BodySource | None
    body_length: int | None
    reuses_connection: bool
    connect_timeout_s: float
    accepts_excess: bool = False


class EndKind(Enum):
    """How a call ended."""

    COMPLETE = auto()
    NEVER_CONNECTED = auto()
    FAILED = auto()


class CallEnd(NamedTuple):
    """End of a call, with the reason and libcurl's message of a failure."""

    kind: EndKind
    reason: OutcomeReason | None = None
    message: str = ""


class AnswerSink(Protocol):
    """Receives what an upstream responds; never called inside a libcurl callback."""

    def deliver(self, head: ResponseHead | None, data: bytes, end: CallEnd | None) -> bool:
        """Take what arrived since the last call; return whether more may come at once."""


class CallOwner(Protocol):
    """What a call needs of the client that runs it."""

    guards_resend: bool

    def remove(self, call: "UpstreamCall") -> None:
        """Cancel the transfer."""

    def unpause(self, call: "UpstreamCall") -> None:
        """Let the transfer continue."""

    def note_ready(self, call: "UpstreamCall") -> None:
        """Call `flush` soon, outside of libcurl's callbacks."""


class UpstreamCall:
    """One attempt; created by `UpstreamClient.start`."""

    __slots__ = (
        "_buffered",
        "_chunks",
        "_client",
        "_head",
        "_head_error",
        "_is_connected",
        "_is_open",
        "_lines",
        "_paused",
        "_pending_head",
        "_received",
        "_sends",
        "_sink",
        "curl",
        "last_progress",
        "request",
    )

    def __init__(
        self,
        client: CallOwner,
        request: UpstreamRequest,
        sink: AnswerSink,
        curl: pycurl.Curl,
    ) -> None:
        self.request = request
        self.last_progress = time.monotonic()
        self._client = client
        self._sink: AnswerSink | None = sink
        self.curl = curl
        self._lines: list[bytes] = []
        self._head: ResponseHead | None = None
        self._pending_head: ResponseHead | None = None
        self._head_error = ""
        self._chunks: list[bytes] = []
        self._received = 0
        self._buffered = 0
        self._sends = 0
        self._paused = False
        self._is_open = True
        self._is_connected = False

    @property
    def has_ended(self) -> bool:
        """Whether nothing more is delivered."""
        return self._sink is None

    def abort(self) -> None:
        """End the call; nothing is delivered from now on."""
        self._sink = None
        self._client.remove(self)

    def resume(self) -> None:
        """Let the response flow again after `deliver` returned False."""
        self._is_open = True
        if self._paused and self._sink is not None:
            self._paused = False
            self._client.unpause(self)

    def may_send(self) -> bool:
        """Forbid a second send: libcurl repeats requests on connections that close early."""
        self._sends += 1
        return self._sends == 1 or not self._client.guards_resend

    def take_header(self, line: bytes) -> None:
        """Take a start line, a header line or the empty line after them."""
        if self._head is not None:
            # Trailer fields; they are not passed on.
            return
        if line.startswith(b"HTTP/") and self._lines:
            self._lines.clear()
        text = line.rstrip(b"\r\n")
        if text:
            self._lines.append(text)
            return
        if self._lines and self._lines[0][9:10] == b"1" and self._lines[0][9:12] != b"101":
            # An interim response; the final one follows.
            self._lines.clear()
            return
        self._finish_head()

    def _finish_head(self) -> None:
        try:
            self._head = decode_response_head(self._lines)
        except (ValueError, IndexError) as error:
            self._head_error = str(error)
            return
        self._pending_head = self._head
        self.last_progress = time.monotonic()
        self._client.note_ready(self)

    def take_body(self, chunk: bytes) -> int:
        """Take a part of the body; return what libcurl expects of its write callback."""
        if self._sink is None or self._head_error or self._head is None:
            return 0
        if not self._is_open:
            self._paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._chunks.append(chunk)
        self._received += len(chunk)
        self.last_progress = time.monotonic()
        self._buffered += len(chunk)
        if self._buffered >= READ_BYTES:
            # Nothing is delivered before libcurl returns, so the rest has to wait.
            self._is_open = False
        self._client.note_ready(self)
        return len(chunk)

    def give_body(self, size: int) -> bytes | int:
        """Return what libcurl expects of its read callback."""
        source = self.request.source
        if self._sink is None or source is None:
            return int(pycurl.READFUNC_ABORT)
        data = source.read(size)
        if data is None:
            source.notify(self._continue_body)
            return int(pycurl.READFUNC_PAUSE)
        self.last_progress = time.monotonic()
        return data

    def _continue_body(self) -> None:
        if self._sink is not None:
            self._client.unpause(self)

    def flush(self) -> None:
        """Deliver what has arrived, but for the last bytes of a body of known length.

        Those are kept until libcurl reports the end, which shows whether the
        response was longer than it said.
        """
        if self._sink is None or self._is_last(self._received):
            return
        head, self._pending_head = self._pending_head, None
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        self._is_open = self._sink.deliver(head, data, None)
        if self._is_open and self._paused:
            self.resume()

    def _is_last(self, received: int) -> bool:
        head = self._head
        if head is None:
            return False
        if self.request.method == "HEAD" or head.status in STATUS_WITHOUT_BODY:
            return True
        return head.length is not None and received >= head.length

    def finish(self, error: CurlError | None, *, is_connected: bool) -> None:
        """Deliver the rest and the end.

        Parameters
        ----------
        error : CurlError or None
            Why libcurl ended the transfer before its end.
        is_connected : bool
            Whether libcurl has kept the connection.
        """
        sink, self._sink = self._sink, None
        self._is_connected = is_connected
        if sink is None:
            return
        end = self._describe_end(error)
        head, self._pending_head = self._pending_head, None
        data = b"".join(self._chunks)
        if end.kind is not EndKind.COMPLETE and self._is_last(self._received):
            # All the bytes that were announced would look like a complete response.
            data = data[:-1]
        sink.deliver(head, data, end)

    def _describe_end(self, error: CurlError | None) -> CallEnd:
        if self._head_error:
            return CallEnd(EndKind.FAILED, OutcomeReason.MALFORMED_ANSWER, self._head_error)
        if error is not None:
            return self._describe_error(error)
        if self._head is None:
            # libcurl takes a connection that closes inside the header lines for a response.
            message = "the connection closed inside the header lines"
            return CallEnd(EndKind.FAILED, OutcomeReason.TRUNCATED_ANSWER, message)
        if self._closed_with_excess():
            message = "bytes after the end of the response"
            return CallEnd(EndKind.FAILED, OutcomeReason.MALFORMED_ANSWER, message)
        return CallEnd(EndKind.COMPLETE)

    def _closed_with_excess(self) -> bool:
        """Return whether libcurl dropped a connection that it would otherwise keep.

        It does so without an error when bytes follow a response of known length.
        """
        head = self._head
        if self.request.accepts_excess:
            return False
        if head is None or head.chunked or not self._is_last(self._received):
            return False
        if not self._keeps_connection():
            return False
        return not self._is_connected

    def _keeps_connection(self) -> bool:
        if not self._lines[0].startswith(b"HTTP/1.1"):
            return False
        return not any(
            line[:11].lower() == b"connection:" and b"close" in line.lower() for line in self._lines
        )

    def _describe_error(self, error: CurlError) -> CallEnd:
        message = f"libcurl error {error.errno}: {error.message}"
        if self._sends == 0:
            return CallEnd(EndKind.NEVER_CONNECTED, OutcomeReason.UPSTREAM_UNREACHABLE, message)
        if error.errno in MALFORMED_ERRORS or "chunk" in str(error.message):
            return CallEnd(EndKind.FAILED, OutcomeReason.MALFORMED_ANSWER, message)
        if self._head is not None or self._lines:
            return CallEnd(EndKind.FAILED, OutcomeReason.TRUNCATED_ANSWER, message)
        return CallEnd(EndKind.FAILED, OutcomeReason.UPSTREAM_FAILED, message)
