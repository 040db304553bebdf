"""One attempt of a request, and one probe."""

import asyncio
import functools
from typing import Protocol

from ..adapters.caller import CallerRequest
from ..adapters.calls import CallEnd, EndKind, UpstreamCall, UpstreamRequest
from ..adapters.headers import HOP_BY_HOP, ResponseHead, encode_lines, list_connection_options
from ..adapters.host_list import MAX_NUMBER
from ..core.actions import AttemptResult, AttemptStatus, LoadReport, UpstreamState
from ..core.outcomes import OutcomeReason
from .idempotency import DEADLINE_FIELD

__all__ = ["Attempt", "AttemptOwner", "build_upstream_request", "parse_load_report"]

REFUSED_STATUS = 503
DRAINING = "draining"
NOT_RUN_PROOFS = frozenset({"shed", DRAINING, "deadline"})
LOAD_FIELDS = ("in_flight", "queued", "slots", "state", "incarnation")
MAX_REPORT_LENGTH = 256
# Time for the rest of a refusal, whose proof is in its head; after its end the connection can
# be used again.
REFUSAL_END_S = 0.05
# Reports repeat, since their numbers are small.
KEPT_REPORTS = 4096
MS_PER_S = 1000
DROPPED_FROM_REQUEST = HOP_BY_HOP | {
    "host",
    "content-length",
    "expect",
    DEADLINE_FIELD.lower(),
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
    upstream : str
        Where it is sent.
    """

    __slots__ = (
        "_owner",
        "_passes",
        "_status",
        "call",
        "has_ended",
        "is_draining",
        "number",
        "refused",
        "request",
        "timer",
        "upstream",
    )

    def __init__(
        self, owner: AttemptOwner, request: CallerRequest, number: int, upstream: str
    ) -> None:
        self.request = request
        self.number = number
        self.upstream = upstream
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
        if self._passes:
            self.request.append(data)
        if end is not None:
            self._end(self._describe(end))
            return True
        return self.request.flush() if self._passes else True

    def _take_head(self, head: ResponseHead) -> None:
        self.stop_timer()
        self._status = head.status
        report = parse_load_report(head.report) if head.report else None
        if report is not None:
            self._owner.note_report(self.upstream, report)
        if head.status == REFUSED_STATUS and head.not_run in NOT_RUN_PROOFS:
            self.refused = True
            self.is_draining = head.not_run == DRAINING
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(REFUSAL_END_S, self.fail, OutcomeReason.UPSTREAM_REFUSED)
            return
        if not self.has_ended and self._owner.accept_answer(self):
            self._passes = True
            self.request.on_writable = self._resume
            self.request.begin(head)

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
        if end.kind is EndKind.COMPLETE:
            return AttemptResult(AttemptStatus.ANSWERED, self._status, True)
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
        self._owner.finish_attempt(self, result)

    def stop_timer(self) -> None:
        """Stop the timer for the start of the response."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def build_upstream_request(
    request: CallerRequest, address: str, timeout_s: float, connect_timeout_s: float
) -> UpstreamRequest:
    """Return what is sent to an upstream.

    Parameters
    ----------
    request : CallerRequest
        Request of the caller.
    address : str
        `address:port` of the upstream.
    timeout_s : float
        Time left until the deadline.
    connect_timeout_s : float
        Longest time to connect.
    """
    headers = request.headers
    dropped: frozenset[str] = DROPPED_FROM_REQUEST
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
    fields.append((DEADLINE_FIELD, str(max(1, int(timeout_s * MS_PER_S)))))
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
        idempotent=request.is_idempotent,
        connect_timeout_s=min(connect_timeout_s, timeout_s),
    )


@functools.lru_cache(maxsize=KEPT_REPORTS)
def parse_load_report(text: str) -> LoadReport | None:
    """Return the report in an `X-Load-Report` field, None if it is malformed."""
    if len(text) > MAX_REPORT_LENGTH:
        return None
    values: dict[str, str] = {}
    for part in text.split(";"):
        name, _, value = part.partition("=")
        values[name.strip()] = value.strip()
    try:
        in_flight, queued, slots, state, incarnation = (values[name] for name in LOAD_FIELDS)
        report = LoadReport(
            int(in_flight), int(queued), int(slots), UpstreamState(state), int(incarnation)
        )
    except (KeyError, ValueError):
        return None
    numbers = (report.in_flight, report.queued, report.slots, report.incarnation)
    if min(numbers) < 0 or max(numbers) > MAX_NUMBER:
        return None
    return report
