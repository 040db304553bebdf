"""One attempt to send a request to an upstream, and the request that is sent."""

import asyncio
import math
import time
from typing import Protocol

from ..adapters.caller import CallerRequest
from ..adapters.calls import CallEnd, EndKind, UpstreamCall, UpstreamRequest
from ..adapters.dialect import Dialect, ResponseMetadata
from ..adapters.headers import (
    HOP_BY_HOP_FIELDS,
    STATUS_WITHOUT_BODY,
    ResponseHead,
    encode_header_lines,
    list_connection_options,
)
from ..core.actions import AttemptResult, AttemptStatus, LoadReport, Member
from ..core.outcomes import OutcomeReason

__all__ = ["Attempt", "AttemptOwner", "build_upstream_request"]

# The header fields of a refusal already state that the request was not run. Waiting this long for
# its body allows the connection to be reused.
REFUSAL_BODY_TIMEOUT_S = 0.05
# Larger responses are streamed to the caller.
MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024
# Responses up to this size are buffered whatever the buffer budget.
SMALL_RESPONSE_BYTES = 8 * 1024
MS_PER_S = 1000
KEY_FIELD = "authorization"
KEY_SCHEME = "bearer"
FIELDS_NOT_FORWARDED = HOP_BY_HOP_FIELDS | {
    "host",
    "content-length",
    "expect",
}
# Fields that libcurl adds by default; a line without a value suppresses the field. For a large body
# libcurl would wait a second for an interim response that upstreams need not send.
LIBCURL_DEFAULT_FIELDS = {
    "user-agent": b"User-Agent:",
    "accept": b"Accept:",
    "content-type": b"Content-Type:",
    "expect": b"Expect:",
}


class AttemptOwner(Protocol):
    """Receives load reports and the result of an attempt; implemented by `ServiceDispatch`."""

    def record_report(self, upstream: str, report: LoadReport) -> None:
        """Record a load report from the upstream."""

    def should_forward_response(self, attempt: "Attempt") -> bool:
        """Return whether this attempt's response is forwarded to the caller."""

    def record_response_start(self, attempt: "Attempt") -> None:
        """Record that the caller gets the beginning of this attempt's response."""

    def finish_attempt(self, attempt: "Attempt", result: AttemptResult) -> None:
        """Handle the result of the attempt."""


class Attempt:
    """Forwards one upstream's response to the caller, unless it is a refusal.

    Parameters
    ----------
    owner : AttemptOwner
        Receives load reports and the result.
    request : CallerRequest
        Request to send.
    number : int
        Number of the attempt, starting at 1.
    member : Member
        Upstream that receives the request.
    dialect : Dialect
        Parses the response's header fields.
    load_summary : str
        Load data on which the choice of the upstream is based, for the request log.
    """

    __slots__ = (
        "_load_summary",
        "_dialect",
        "_buffered_parts",
        "_buffered_bytes",
        "_buffered_head",
        "_member",
        "_owner",
        "_reading",
        "_is_forwarding",
        "_status",
        "call",
        "has_ended",
        "is_ambiguous",
        "is_draining",
        "number",
        "refused",
        "request",
        "sent_at",
        "timer",
        "upstream",
    )

    def __init__(
        self,
        owner: AttemptOwner,
        request: CallerRequest,
        number: int,
        member: Member,
        dialect: Dialect,
        load_summary: str = "",
    ) -> None:
        self.request = request
        self._load_summary = load_summary
        self.number = number
        self.upstream = member.upstream
        self.sent_at = time.monotonic()
        self._member = member
        self._dialect = dialect
        # Response that is buffered until it is complete.
        self._buffered_head: ResponseHead | None = None
        self._buffered_parts: list[bytes] = []
        self._buffered_bytes = 0
        self.call: UpstreamCall | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.refused = False
        self.is_draining = False
        self.is_ambiguous = False
        self.has_ended = False
        self._owner = owner
        self._is_forwarding = False
        self._status = 0
        self._reading = ResponseMetadata()

    def is_own_response(self, head: ResponseHead) -> bool:
        """Return False if the response, or the refusal, may be that of another request."""
        reading = self._dialect.parse_response(head, self.request.caller_request_id, self._member)
        self._reading = reading
        return reading.fault is None and not reading.is_ambiguous

    def deliver(self, head: ResponseHead | None, data: bytes, end: CallEnd | None) -> bool:
        """Process a part of the response; called by the upstream client."""
        if head is not None:
            self._handle_head(head)
        if self.has_ended:
            return False
        if self._buffered_head is not None and data:
            self._buffer(data)
        elif self._is_forwarding:
            self.request.append(data)
        if self.has_ended:
            return False
        if end is not None:
            self._finish(self._make_result(end))
            return True
        return self.request.flush() if self._is_forwarding else True

    def _handle_head(self, head: ResponseHead) -> None:
        self._status = head.status
        reading = self._reading
        if reading.report is not None:
            self._owner.record_report(self.upstream, reading.report)
        if reading.fault is not None:
            self.fail(reading.fault)
            return
        if reading.is_refusal:
            self.stop_timer()
            self.refused = True
            self.is_draining = reading.is_draining
            self.is_ambiguous = reading.is_ambiguous
            if reading.is_ambiguous:
                self.fail(OutcomeReason.UPSTREAM_REFUSED)
                return
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(
                REFUSAL_BODY_TIMEOUT_S, self.fail, OutcomeReason.UPSTREAM_REFUSED
            )
            return
        if self.has_ended:
            return
        if self._dialect.buffers_responses and (head.length or 0) <= MAX_BUFFERED_RESPONSE_BYTES:
            self._buffered_head = head
            return
        self._start_forwarding(head)

    def _start_forwarding(self, head: ResponseHead) -> None:
        """Start to forward the response, which has to be complete by the caller's deadline.

        The deadline of the request no longer applies: it limits the wait for the response, and a
        large response may take longer on a slow link.
        """
        if not self._owner.should_forward_response(self):
            # The caller gets the response of another attempt.
            self.cancel()
            return
        self._owner.record_response_start(self)
        self.stop_timer()
        remaining_s = self.request.response_deadline - time.monotonic()
        if remaining_s < math.inf:
            self.timer = asyncio.get_running_loop().call_later(
                remaining_s, self.fail, OutcomeReason.TIMEOUT
            )
        self._is_forwarding = True
        self.request.on_writable = self._resume
        self.request.start_response(head)

    def _buffer(self, data: bytes) -> None:
        """Buffer a part of the body; start to forward the response if the buffer is full."""
        self._buffered_parts.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes <= MAX_BUFFERED_RESPONSE_BYTES and self._has_memory(len(data)):
            return
        head, self._buffered_head = self._buffered_head, None
        assert head is not None
        self._start_forwarding(head)
        if self._is_forwarding:
            self.request.append(b"".join(self._buffered_parts))
        self._buffered_parts.clear()

    def _has_memory(self, size: int) -> bool:
        """Return whether another part of the body may be buffered, and reserve its memory."""
        return self._buffered_bytes <= SMALL_RESPONSE_BYTES or self.request.memory.reserve(size)

    @property
    def has_response_begun(self) -> bool:
        """Whether the head of the response has been received."""
        return self._status > 0

    @property
    def has_buffered_response(self) -> bool:
        """Whether the response is buffered instead of streamed to the caller."""
        return self._buffered_head is not None

    def forward_buffered_response(self) -> None:
        """Forward the buffered response, which is complete, to the caller."""
        head = self._buffered_head
        if head is None:
            return
        if self.request.method != "HEAD" and head.status not in STATUS_WITHOUT_BODY:
            head = head._replace(length=self._buffered_bytes, chunked=False)
        self.request.start_response(head)
        self.request.append(b"".join(self._buffered_parts))
        self._buffered_parts.clear()

    def _resume(self) -> None:
        if self.call is not None:
            self.call.resume()

    @property
    def _has_sent_to_caller(self) -> bool:
        return self._is_forwarding and self.request.has_response_started

    def _make_result(self, end: CallEnd) -> AttemptResult:
        if self.refused:
            # The header fields state that the request was not run, whether or not the body arrived.
            return self._make_refusal_result()
        if self.has_buffered_response and self.request.has_response_started:
            # Another attempt's response is already being sent to the caller.
            return AttemptResult(AttemptStatus.CANCELLED, self._status)
        if end.kind is EndKind.COMPLETE:
            return AttemptResult(AttemptStatus.ANSWERED, self._status, self._is_forwarding)
        if end.kind is EndKind.NEVER_CONNECTED:
            return AttemptResult(AttemptStatus.NEVER_CONNECTED, reason=end.reason)
        return AttemptResult(
            AttemptStatus.FAILED, self._status, self._has_sent_to_caller, end.reason
        )

    def fail(self, reason: OutcomeReason) -> None:
        """Abort the call and end the attempt as failed, or as refused after a refusal.

        Parameters
        ----------
        reason : OutcomeReason
            Cause of the failure.
        """
        if self.has_ended:
            return
        if self.call is not None:
            self.call.abort()
        if self.refused:
            self._finish(self._make_refusal_result())
            return
        result = AttemptResult(AttemptStatus.FAILED, self._status, self._has_sent_to_caller, reason)
        self._finish(result)

    def _make_refusal_result(self) -> AttemptResult:
        return AttemptResult(
            AttemptStatus.REFUSED,
            self._status,
            is_draining=self.is_draining,
            is_ambiguous=self.is_ambiguous,
        )

    def cancel(self) -> None:
        """Abort the call at the upstream and end the attempt as cancelled."""
        if self.has_ended:
            return
        if self.call is not None:
            self.call.abort()
        self._finish(AttemptResult(AttemptStatus.CANCELLED, self._status, self._has_sent_to_caller))

    def _finish(self, result: AttemptResult) -> None:
        self.has_ended = True
        self.stop_timer()
        duration_ms = (time.monotonic() - self.sent_at) * MS_PER_S
        cause = result.reason or result.http_status or ""
        upstream = self._load_summary or self.upstream
        summary = f"{upstream}:{result.status}:{cause}:{duration_ms:.0f}ms"
        if self.call is not None and self.call.request.source is not None:
            summary += f":{self.call.sent_body_bytes}B"
        self.request.attempt_results.append(summary)
        self._owner.finish_attempt(self, result)

    def stop_timer(self) -> None:
        """Stop the timeout for the start or the end of the response, or the body of a refusal."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def build_upstream_request(
    request: CallerRequest,
    member: Member,
    timeout_s: float,
    connect_timeout_s: float,
    dialect: Dialect,
    *,
    is_repeat: bool = False,
) -> UpstreamRequest:
    """Return the request to send to an upstream.

    Parameters
    ----------
    request : CallerRequest
        Request of the caller.
    member : Member
        Upstream that receives the request.
    timeout_s : float
        Time until the deadline, in seconds.
    connect_timeout_s : float
        Connect timeout, in seconds.
    dialect : Dialect
        Defines the header fields that this process sets.
    is_repeat : bool
        Whether the request was already sent in an earlier attempt. A repeat opens a new
        connection, since the earlier attempt may have failed on an idle one that had died.
    """
    address = member.address
    team_field = dialect.team_field if request.has_team_fields else ""
    deadline_field = dialect.deadline_field
    headers = request.headers
    excluded: frozenset[str] = FIELDS_NOT_FORWARDED | dialect.reserved_request_fields
    excluded |= {deadline_field.lower()}
    if team_field:
        excluded |= {team_field.lower()}
    if "Connection" in headers:
        excluded |= list_connection_options(headers.get_list("Connection"))
    fields = [("Host", request.host or address)]
    present: set[str] = set()
    for name, value in headers.get_all():
        key = name.lower()
        if key in excluded or (request.has_team_fields and _may_hold_key(key, value, request)):
            continue
        present.add(key)
        fields.append((name, value))
    fields.append((deadline_field, str(max(1, int(timeout_s * MS_PER_S)))))
    fields += dialect.list_request_fields(member)
    if team_field and request.team is not None:
        fields.append((team_field, request.team.name))
    header_lines = encode_header_lines(fields)
    header_lines += [line for key, line in LIBCURL_DEFAULT_FIELDS.items() if key not in present]
    body = request.body
    streamed = body is not None and body.streamed
    if streamed and body is not None and body.length is None:
        header_lines.append(b"Transfer-Encoding: chunked")
    return UpstreamRequest(
        address=address,
        method=request.method,
        target=request.target.encode("latin1"),
        header_lines=header_lines,
        body=body.get_buffered_body() if body is not None and not streamed else None,
        source=body if streamed else None,
        body_length=body.length if body is not None else None,
        may_reuse_connection=request.is_idempotent and not is_repeat,
        connect_timeout_s=min(connect_timeout_s, timeout_s),
        allows_excess_bytes=dialect.buffers_responses,
    )


def _may_hold_key(name: str, value: str, request: CallerRequest) -> bool:
    """Return whether a field may hold the key of a team, which upstreams must not get.

    On a public route other schemes belong to the upstream. A bearer token may be a key that has
    been withdrawn, so it is not forwarded there either.
    """
    if name != KEY_FIELD:
        return False
    route = request.route
    return route is None or not route.is_public or value.strip().lower().startswith(KEY_SCHEME)
