"""One attempt of a request, and one probe."""

import asyncio
import time
from typing import Protocol

from ..adapters.caller import CallerRequest
from ..adapters.calls import CallEnd, EndKind, UpstreamCall, UpstreamRequest
from ..adapters.dialect import Dialect
from ..adapters.headers import (
    HOP_BY_HOP,
    STATUS_WITHOUT_BODY,
    ResponseHead,
    encode_lines,
    list_connection_options,
)
from ..core.actions import AttemptResult, AttemptStatus, LoadReport, Member
from ..core.outcomes import OutcomeReason

__all__ = ["Attempt", "AttemptOwner", "build_upstream_request"]

# Time for the rest of a refusal, whose proof is in its head; after its end the connection can
# be used again.
REFUSAL_END_S = 0.05
# Larger responses are passed on while they arrive.
HELD_RESPONSE_BYTES = 1024 * 1024
MS_PER_S = 1000
DROPPED_FROM_REQUEST = HOP_BY_HOP | {
    "host",
    "content-length",
    "expect",
}
# Fields that libcurl would add; a line without a value keeps it from doing so.
LIBCURL_FIELDS = {
    "user-agent": b"User-Agent:",
    "accept": b"Accept:",
    "content-type": b"Content-Type:",
}


class AttemptOwner(Protocol):
    """What an attempt tells the dispatch filter."""

    def note_report(self, upstream: str, report: LoadReport) -> None:
        """Take a load report."""

    def accept_answer(self, attempt: "Attempt") -> bool:
        """Return whether this attempt's response goes to the caller."""

    def finish_attempt(self, attempt: "Attempt", result: AttemptResult) -> None:
        """Take the result."""


class Attempt:
    """Passes one upstream's response on to the caller, unless it is a refusal.

    Parameters
    ----------
    owner : AttemptOwner
        Receives reports and the result.
    request : CallerRequest
        Request that is sent.
    number : int
        Number of the attempt, from 1.
    member : Member
        Where it is sent.
    dialect : Dialect
        Reads the response's header fields.
    basis : str
        What the choice of the upstream rests on, for the log.
    """

    __slots__ = (
        "_basis",
        "_dialect",
        "_held",
        "_held_bytes",
        "_held_head",
        "_member",
        "_owner",
        "_passes",
        "_status",
        "call",
        "has_ended",
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
        basis: str = "",
    ) -> None:
        self.request = request
        self._basis = basis
        self.number = number
        self.upstream = member.upstream
        self.sent_at = time.monotonic()
        self._member = member
        self._dialect = dialect
        # Response that is passed on once it is complete.
        self._held_head: ResponseHead | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self.call: UpstreamCall | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.refused = False
        self.is_draining = False
        self.has_ended = False
        self._owner = owner
        self._passes = False
        self._status = 0

    def deliver(self, head: ResponseHead | None, data: bytes, end: CallEnd | None) -> bool:
        """Take a part of the response; called by the upstream client."""
        if head is not None:
            self._take_head(head)
        if self.has_ended:
            return False
        if self._held_head is not None and data:
            self._hold(data)
        elif self._passes:
            self.request.append(data)
        if end is not None:
            self._end(self._describe(end))
            return True
        return self.request.flush() if self._passes else True

    def _take_head(self, head: ResponseHead) -> None:
        self._status = head.status
        reading = self._dialect.read_response(head, self.request.caller_id, self._member)
        if reading.report is not None:
            self._owner.note_report(self.upstream, reading.report)
        if reading.fault is not None:
            self.fail(reading.fault)
            return
        if reading.is_refusal:
            self.stop_timer()
            self.refused = True
            self.is_draining = reading.is_draining
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(REFUSAL_END_S, self.fail, OutcomeReason.UPSTREAM_REFUSED)
            return
        if self.has_ended:
            return
        if self._dialect.holds_responses and (head.length or 0) <= HELD_RESPONSE_BYTES:
            self._held_head = head
            return
        self._pass_on(head)

    def _pass_on(self, head: ResponseHead) -> None:
        self.stop_timer()
        if self._owner.accept_answer(self):
            self._passes = True
            self.request.on_writable = self._resume
            self.request.begin(head)

    def _hold(self, data: bytes) -> None:
        """Keep a part of the body; pass everything on when it becomes too much."""
        self._held.append(data)
        self._held_bytes += len(data)
        if self._held_bytes <= HELD_RESPONSE_BYTES:
            return
        head, self._held_head = self._held_head, None
        assert head is not None
        self._pass_on(head)
        if self._passes:
            self.request.append(b"".join(self._held))
        self._held.clear()

    @property
    def holds_response(self) -> bool:
        """Whether a response waits to be passed on."""
        return self._held_head is not None

    def release_response(self) -> None:
        """Pass the held response on; it is complete."""
        head = self._held_head
        if head is None:
            return
        if self.request.method != "HEAD" and head.status not in STATUS_WITHOUT_BODY:
            head = head._replace(length=self._held_bytes, chunked=False)
        self.request.begin(head)
        self.request.append(b"".join(self._held))
        self._held.clear()

    def _resume(self) -> None:
        if self.call is not None:
            self.call.resume()

    @property
    def _has_begun(self) -> bool:
        return self._passes and self.request.has_begun

    def _describe(self, end: CallEnd) -> AttemptResult:
        if self.refused:
            # The proof is in the head; whether the rest arrived does not matter.
            return self._make_refusal()
        if self.holds_response and self.request.has_begun:
            # The response of another attempt is on its way to the caller.
            return AttemptResult(AttemptStatus.CANCELLED, self._status)
        if end.kind is EndKind.COMPLETE:
            return AttemptResult(AttemptStatus.ANSWERED, self._status, self._passes)
        if end.kind is EndKind.NEVER_CONNECTED:
            return AttemptResult(AttemptStatus.NEVER_CONNECTED, reason=end.reason)
        return AttemptResult(AttemptStatus.FAILED, self._status, self._has_begun, end.reason)

    def fail(self, reason: OutcomeReason) -> None:
        """Give up waiting for the upstream."""
        if self.has_ended:
            return
        if self.call is not None:
            self.call.abort()
        if self.refused:
            self._end(self._make_refusal())
            return
        result = AttemptResult(AttemptStatus.FAILED, self._status, self._has_begun, reason)
        self._end(result)

    def _make_refusal(self) -> AttemptResult:
        return AttemptResult(AttemptStatus.REFUSED, self._status, is_draining=self.is_draining)

    def cancel(self) -> None:
        """Cancel at the upstream."""
        if self.has_ended:
            return
        if self.call is not None:
            self.call.abort()
        self._end(AttemptResult(AttemptStatus.CANCELLED, self._status, self._has_begun))

    def _end(self, result: AttemptResult) -> None:
        self.has_ended = True
        self.stop_timer()
        duration_ms = (time.monotonic() - self.sent_at) * MS_PER_S
        cause = result.reason or result.http_status or ""
        where = self._basis or self.upstream
        self.request.trace.append(f"{where}:{result.status}:{cause}:{duration_ms:.0f}ms")
        self._owner.finish_attempt(self, result)

    def stop_timer(self) -> None:
        """Stop the timer for the start of the response."""
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
    """Return what is sent to an upstream.

    Parameters
    ----------
    request : CallerRequest
        Request of the caller.
    member : Member
        The upstream.
    timeout_s : float
        Time left until the deadline.
    connect_timeout_s : float
        Longest time to connect.
    dialect : Dialect
        Names the fields that this process sets.
    is_repeat : bool
        Whether an attempt was made before, which may have met a connection that had died idle.
    """
    address = member.address
    deadline_field = dialect.deadline_field
    headers = request.headers
    dropped: frozenset[str] = DROPPED_FROM_REQUEST | dialect.own_request_fields
    dropped |= {deadline_field.lower()}
    if "Connection" in headers:
        dropped |= list_connection_options(headers.get_list("Connection"))
    fields = [("Host", request.host or address)]
    present: set[str] = set()
    for name, value in headers.get_all():
        key = name.lower()
        if key in dropped:
            continue
        present.add(key)
        fields.append((name, value))
    fields.append((deadline_field, str(max(1, int(timeout_s * MS_PER_S)))))
    fields += dialect.list_request_fields(member)
    lines = encode_lines(fields)
    lines += [line for key, line in LIBCURL_FIELDS.items() if key not in present]
    body = request.body
    streamed = body is not None and body.streamed
    if streamed and body is not None and body.length is None:
        lines.append(b"Transfer-Encoding: chunked")
    return UpstreamRequest(
        address=address,
        method=request.method,
        target=request.target.encode("latin1"),
        lines=lines,
        body=body.get_held() if body is not None and not streamed else None,
        source=body if streamed else None,
        body_length=body.length if body is not None else None,
        reuses_connection=request.is_idempotent and not is_repeat,
        connect_timeout_s=min(connect_timeout_s, timeout_s),
        accepts_excess=dialect.holds_responses,
    )
