"""Header fields of the platform's clients and instances."""

import functools
from http import HTTPStatus

from ..adapters.dialect import ResponseMetadata
from ..adapters.headers import ResponseHead
from ..core.actions import LoadReport, Member, UpstreamState
from ..core.outcomes import OutcomeReason

__all__ = ["PlatformDialect"]

ATTEMPT_ID_FIELD = b"x-amaranthbend-attempt-id"
SIGNATURE_FIELD = b"x-amaranthbend-response-signature"
NOT_EXECUTED_FIELD = b"x-amaranthbend-not-executed"
LOAD_FIELD = b"x-amaranthbend-instance-load"
COLD_FIELD = b"x-amaranthbend-cold-remaining"
INSTANCE_FIELD = b"x-amaranthbend-instance-id"
TEAM_FIELD = "X-Amaranthbend-Tenant"
EXPECTED_INSTANCE_FIELD = "X-Amaranthbend-Expected-Instance"
ENCODING_FIELD = b"content-encoding"
NORMAL_TIME_PERCENT = 100
# In the platform's protocol these statuses assure the client that its request was not run and
# never will be.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
MAX_CACHED_REPORTS = 4096
MAX_REPORT_BYTES = 64
MAX_REPORTED_VALUE = 1_000_000
# Instances are cold for seconds. After this time an instance is asked again, whatever it has said.
MAX_COLD_S = 60.0
MS_PER_S = 1000


class PlatformDialect:
    """Parses and formats the platform's header fields."""

    deadline_field = "X-Amaranthbend-Request-Deadline"
    request_id_field = "X-Amaranthbend-Attempt-Id"
    reserved_request_fields = frozenset({EXPECTED_INSTANCE_FIELD.lower()})
    team_field = TEAM_FIELD
    buffers_responses = True

    def list_request_fields(self, member: Member) -> list[tuple[str, str]]:
        """Return the field that names the instance; any other instance refuses the request."""
        return [(EXPECTED_INSTANCE_FIELD, member.upstream)]

    def parse_response(
        self, head: ResponseHead, request_id: str, member: Member
    ) -> ResponseMetadata:
        """Return the load report, refusal or fault in the header of a response.

        A late or duplicate response of another request can arrive on the connection, or additional
        bytes that are no response. Only the echoed attempt id shows to which request a response
        belongs, whatever its status; only a refusal need not carry one.
        """
        fields = _get_fields(head)
        report = _parse_load(fields.get(LOAD_FIELD, b""), member.incarnation, member.state)
        echoed_id = fields.get(ATTEMPT_ID_FIELD)
        if echoed_id is not None and echoed_id.decode("latin1") != request_id:
            return ResponseMetadata(fault=OutcomeReason.MALFORMED_ANSWER)
        # A refusal need not carry an id. Then only a new connection shows whose refusal it is.
        is_ambiguous = echoed_id is None and head.on_reused_connection
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return ResponseMetadata(None, True, not is_ambiguous, is_ambiguous=is_ambiguous)
        if NOT_EXECUTED_FIELD in fields:
            return ResponseMetadata(
                None if is_ambiguous else report, True, is_ambiguous=is_ambiguous
            )
        is_success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        if (
            echoed_id is None
            or (is_success and not fields.get(SIGNATURE_FIELD))
            or ENCODING_FIELD in fields
            or head.status in NOT_RUN_STATUSES
        ):
            return ResponseMetadata(report, fault=OutcomeReason.MALFORMED_ANSWER)
        return ResponseMetadata(report)

    def parse_probe_response(self, head: ResponseHead, member: Member) -> LoadReport | None:
        """Return the load report of a healthy instance.

        None if the instance is unhealthy, the response comes from another instance, or it is a
        late response to a request.
        """
        fields = _get_fields(head)
        if head.status != HTTPStatus.OK or not self.is_probe_response(head):
            return None
        if fields.get(INSTANCE_FIELD, b"").decode("latin1") != member.upstream:
            return None
        report = _parse_load(fields.get(LOAD_FIELD, b""), member.incarnation, member.state)
        if report is None:
            return None
        # An instance that is not cold sends no such field.
        return report._replace(cold_s=_parse_cold_s(fields.get(COLD_FIELD, b"0")))

    def is_probe_response(self, head: ResponseHead) -> bool:
        """Return False for a response to a request, and for a refusal that may be one."""
        fields = _get_fields(head)
        is_ambiguous = NOT_EXECUTED_FIELD in fields and head.on_reused_connection
        return ATTEMPT_ID_FIELD not in fields and not is_ambiguous

    def format_retry_after(self, delay_s: float) -> str:
        """Return seconds with a fractional part, which the platform's clients accept."""
        return f"{delay_s:.3f}"


def _get_fields(head: ResponseHead) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in head.fields}


def _parse_cold_s(text: bytes) -> float | None:
    """Return for how long an instance stays cold, in seconds; None if malformed.

    The field holds whole milliseconds without a unit.
    """
    if not text.isdigit() or len(text) > MAX_REPORT_BYTES:
        return None
    return min(MAX_COLD_S, int(text) / MS_PER_S)


@functools.lru_cache(maxsize=MAX_CACHED_REPORTS)
def _parse_load(text: bytes, incarnation: int, state: UpstreamState) -> LoadReport | None:
    """Parse `running,waiting,slots[,percent of the normal time]`; return None if malformed.

    The text contains no state, so the report gets the state of the instance's store entry. A
    cold instance would otherwise receive full load.
    """
    if not text or len(text) > MAX_REPORT_BYTES:
        return None
    parts = text.split(b",")
    if len(parts) < 3 or not all(part.strip().isdigit() for part in parts[:4]):
        return None
    running, waiting, slots, percent = (*map(int, parts[:4]), NORMAL_TIME_PERCENT)[:4]
    if slots <= 0 or max(running, waiting, slots, percent) > MAX_REPORTED_VALUE:
        return None
    slowdown = max(percent, 1) / NORMAL_TIME_PERCENT
    return LoadReport(running, waiting, slots, state, incarnation, slowdown)
