"""What an entry process and its upstreams tell each other in header fields.

The product has its own field names (`OWN_DIALECT`); an adapter for a platform brings another
dialect. Nothing else in the request path knows the names of these fields.
"""

import functools
from typing import NamedTuple, Protocol

from ..core.actions import LoadReport, Member, UpstreamState
from ..core.outcomes import OutcomeReason
from .headers import ResponseHead
from .host_list import MAX_NUMBER

__all__ = ["OWN_DIALECT", "Dialect", "ResponseMetadata", "parse_load_report"]

DEADLINE_FIELD = "X-Request-Deadline-Ms"
REFUSED_STATUS = 503
DRAINING = "draining"
NOT_RUN_VALUES = frozenset({"shed", DRAINING, "deadline"})
LOAD_REPORT_FIELDS = ("in_flight", "queued", "slots", "state", "incarnation")
MAX_LOAD_REPORT_LENGTH = 256
# Reports repeat, since their numbers are small.
MAX_CACHED_REPORTS = 4096
MS_PER_S = 1000


class ResponseMetadata(NamedTuple):
    """What the head of an upstream's response says besides status and body.

    Parameters
    ----------
    report : LoadReport or None
        Load that the upstream tells.
    is_refusal : bool
        Whether the upstream proves that it has not run the request and never will.
    is_draining : bool
        Whether it refused because it is leaving or has left.
    fault : OutcomeReason or None
        Why the response must not reach the caller.
    """

    report: LoadReport | None = None
    is_refusal: bool = False
    is_draining: bool = False
    fault: OutcomeReason | None = None


class Dialect(Protocol):
    """Header fields between an entry process, its callers and its upstreams."""

    # Field in which a caller tells for how many milliseconds it waits, and an upstream is told.
    deadline_field: str
    # Field that identifies a request in logs, empty if callers send none.
    request_id_field: str
    # Lower-case names of request fields that only the entry process may set.
    reserved_request_fields: frozenset[str]
    # Whether a response is held until it is complete, so that a broken one can be replaced.
    buffers_responses: bool

    def list_request_fields(self, member: Member) -> list[tuple[str, str]]:
        """Return the fields that a request to an upstream gets besides the deadline."""

    def parse_response(
        self, head: ResponseHead, request_id: str, member: Member
    ) -> ResponseMetadata:
        """Return what the head of a response says."""

    def parse_probe_response(self, head: ResponseHead, member: Member) -> LoadReport | None:
        """Return the load that the response to a probe tells, None without a valid one."""

    def format_retry_after(self, delay_s: float) -> str:
        """Return the value of `Retry-After`."""


class _OwnDialect:
    """The product's own header fields."""

    deadline_field = DEADLINE_FIELD
    request_id_field = ""
    reserved_request_fields: frozenset[str] = frozenset()
    buffers_responses = False

    def list_request_fields(self, member: Member) -> list[tuple[str, str]]:  # noqa: ARG002
        """Return nothing; the deadline is all that upstreams are told."""
        return []

    def parse_response(
        self,
        head: ResponseHead,
        request_id: str,  # noqa: ARG002
        member: Member,  # noqa: ARG002
    ) -> ResponseMetadata:
        """Return report and refusal."""
        report = parse_load_report(head.report) if head.report else None
        is_refusal = head.status == REFUSED_STATUS and head.not_run in NOT_RUN_VALUES
        return ResponseMetadata(report, is_refusal, is_refusal and head.not_run == DRAINING)

    def parse_probe_response(self, head: ResponseHead, member: Member) -> LoadReport | None:  # noqa: ARG002
        """Return the report."""
        return parse_load_report(head.report) if head.report else None

    def format_retry_after(self, delay_s: float) -> str:
        """Return whole seconds, as HTTP defines the field."""
        return str(max(1, round(delay_s)))


OWN_DIALECT: Dialect = _OwnDialect()


@functools.lru_cache(maxsize=MAX_CACHED_REPORTS)
def parse_load_report(text: str) -> LoadReport | None:
    """Return the report in an `X-Load-Report` field, None if it is malformed."""
    if len(text) > MAX_LOAD_REPORT_LENGTH:
        return None
    values: dict[str, str] = {}
    for part in text.split(";"):
        name, _, value = part.partition("=")
        values[name.strip()] = value.strip()
    try:
        in_flight, queued, slots, state, incarnation = (values[name] for name in LOAD_REPORT_FIELDS)
        report = LoadReport(
            int(in_flight), int(queued), int(slots), UpstreamState(state), int(incarnation)
        )
    except (KeyError, ValueError):
        return None
    numbers = (report.in_flight, report.queued, report.slots, report.incarnation)
    if min(numbers) < 0 or max(numbers) > MAX_NUMBER:
        return None
    return report
