"""Header fields for load reports, deadlines and refusals between entry processes and upstreams.

`OWN_DIALECT` defines the default field names; an adapter for a platform provides another dialect.
The rest of the request path does not depend on the names of these fields.
"""

import functools
from typing import NamedTuple, Protocol

from ..core.actions import LoadReport, Member, UpstreamState
from ..core.outcomes import OutcomeReason
from .headers import ResponseHead
from .host_list import MAX_INT64

__all__ = ["OWN_DIALECT", "Dialect", "ResponseMetadata", "parse_load_report"]

DEADLINE_FIELD = "X-Request-Deadline-Ms"
REFUSED_STATUS = 503
DRAINING = "draining"
NOT_RUN_VALUES = frozenset({"shed", DRAINING, "deadline"})
LOAD_REPORT_FIELDS = ("in_flight", "queued", "slots", "state", "incarnation")
MAX_REPORT_CHARACTERS = 256
# Parsed reports are cached: their numbers are small, so the same texts recur.
MAX_CACHED_REPORTS = 4096
MS_PER_S = 1000


class ResponseMetadata(NamedTuple):
    """Information in the head of an upstream's response besides status and framing.

    Parameters
    ----------
    report : LoadReport or None
        Load that the upstream reports.
    is_refusal : bool
        Whether the response states that the upstream has not run the request and never will.
    is_draining : bool
        Whether the upstream refused the request because it is draining or has left.
    fault : OutcomeReason or None
        Reason why the response must not be forwarded to the caller, None if it may be.
    is_ambiguous : bool
        Whether a refusal may belong to an earlier request on the same connection, so that the
        upstream may run the request after all.
    """

    report: LoadReport | None = None
    is_refusal: bool = False
    is_draining: bool = False
    fault: OutcomeReason | None = None
    is_ambiguous: bool = False


class Dialect(Protocol):
    """Header fields between an entry process, its callers and its upstreams."""

    # Field with the time in milliseconds until the deadline, from callers and to upstreams.
    deadline_field: str
    # Field with the identifier of a request for logs, empty if callers send none.
    request_id_field: str
    # Lower-case names of request fields that only the entry process may set.
    reserved_request_fields: frozenset[str]
    # Field that names the team of the caller to an upstream, empty if upstreams get no such field.
    team_field: str
    # Whether a response is buffered until it is complete, so that an invalid one can be replaced.
    buffers_responses: bool

    def list_request_fields(self, member: Member) -> list[tuple[str, str]]:
        """Return the fields to add to a request to an upstream, besides the deadline."""

    def parse_response(
        self, head: ResponseHead, request_id: str, member: Member
    ) -> ResponseMetadata:
        """Return the information in the head of a response to a request."""

    def parse_probe_response(self, head: ResponseHead, member: Member) -> LoadReport | None:
        """Return the load reported in the response to a probe, None if missing or malformed."""

    def is_probe_response(self, head: ResponseHead) -> bool:
        """Return whether a response on the connection of a probe is the response to the probe."""

    def format_retry_after(self, delay_s: float) -> str:
        """Return the value of `Retry-After`."""


class _OwnDialect:
    """Default dialect."""

    deadline_field = DEADLINE_FIELD
    request_id_field = ""
    reserved_request_fields: frozenset[str] = frozenset()
    team_field = ""
    buffers_responses = False

    def list_request_fields(self, member: Member) -> list[tuple[str, str]]:  # noqa: ARG002
        """Return no fields; upstreams receive only the deadline."""
        return []

    def parse_response(
        self,
        head: ResponseHead,
        request_id: str,  # noqa: ARG002
        member: Member,  # noqa: ARG002
    ) -> ResponseMetadata:
        """Return the load report and whether the response is a refusal."""
        report = parse_load_report(head.report) if head.report else None
        is_refusal = head.status == REFUSED_STATUS and head.not_run in NOT_RUN_VALUES
        is_draining = is_refusal and head.not_run == DRAINING
        return ResponseMetadata(report, is_refusal, is_draining)

    def parse_probe_response(self, head: ResponseHead, member: Member) -> LoadReport | None:  # noqa: ARG002
        """Return the load report."""
        return parse_load_report(head.report) if head.report else None

    def is_probe_response(self, head: ResponseHead) -> bool:  # noqa: ARG002
        """Return True; responses do not say to which request they belong."""
        return True

    def format_retry_after(self, delay_s: float) -> str:
        """Return the delay in whole seconds, the format that HTTP defines."""
        return str(max(1, round(delay_s)))


OWN_DIALECT: Dialect = _OwnDialect()


@functools.lru_cache(maxsize=MAX_CACHED_REPORTS)
def parse_load_report(text: str) -> LoadReport | None:
    """Parse the value of an `X-Load-Report` field; return None if it is malformed."""
    if len(text) > MAX_REPORT_CHARACTERS:
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
    if min(numbers) < 0 or max(numbers) > MAX_INT64:
        return None
    return report
