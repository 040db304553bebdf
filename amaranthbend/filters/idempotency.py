"""Idempotency and deadline of a request."""

from typing import NamedTuple

from tornado.httputil import HTTPHeaders

from ..adapters.caller import CallerRequest
from ..adapters.dialect import OWN_DIALECT, Dialect
from ..core.caller_times import CallerTimes
from ..core.outcomes import OutcomeReason
from ..core.policy import ClaimRule, RoutePolicy
from .local_responses import LocalResponse, make_refusal

__all__ = [
    "IDEMPOTENCY_KEY_FIELD",
    "IdempotencyAndDeadlineFilter",
    "RequestFields",
    "parse_request_fields",
]

IDEMPOTENCY_KEY_FIELD = "Idempotency-Key"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_KEY_LENGTH = 255
MAX_DEADLINE_DIGITS = 9
MS_PER_S = 1000


class RequestFields(NamedTuple):
    """What the header fields of a request say about its execution.

    Parameters
    ----------
    is_idempotent : bool
        Whether the request may run more than once.
    idempotency_key : str
        Its idempotency key, empty without one.
    timeout_s : float
        Seconds until the response has to be complete.
    """

    is_idempotent: bool
    idempotency_key: str
    timeout_s: float


class IdempotencyAndDeadlineFilter:
    """Sets whether a request may run more than once, its idempotency key and its deadlines.

    Parameters
    ----------
    dialect : Dialect
        Defines the header field in which callers send their timeout.
    """

    def __init__(self, dialect: Dialect = OWN_DIALECT) -> None:
        self._dialect = dialect
        self._caller_times = CallerTimes()

    def check(self, request: CallerRequest, now: float) -> LocalResponse | None:
        """Set the idempotency, key and times of a request; refuse invalid fields."""
        route = request.route
        assert route is not None
        fields = parse_request_fields(request.method, request.headers, route, self._dialect)
        if isinstance(fields, OutcomeReason):
            return make_refusal(fields)
        request.is_idempotent = fields.is_idempotent
        request.idempotency_key = fields.idempotency_key
        request.deadline = now + min(route.deadline_s, fields.timeout_s)
        request.response_deadline = now + fields.timeout_s
        team = "" if request.team is None else request.team.name
        request.elapsed_s = self._caller_times.estimate_elapsed_s(
            team, route.name, fields.timeout_s
        )
        return None


def parse_request_fields(
    method: str, headers: HTTPHeaders, route: RoutePolicy, dialect: Dialect
) -> RequestFields | OutcomeReason:
    """Return what the header fields say, or the reason to refuse the request.

    Parameters
    ----------
    method : str
        HTTP method.
    headers : HTTPHeaders
        Header fields of the request.
    route : RoutePolicy
        Its route.
    dialect : Dialect
        Defines the header field in which callers send their timeout.
    """
    is_idempotent = method in IDEMPOTENT_METHODS
    if route.idempotent is not None:
        is_idempotent = route.idempotent
    key = _parse_key(headers)
    if key is None or (route.claim is ClaimRule.REQUIRED and not key):
        return OutcomeReason.BAD_IDEMPOTENCY_KEY
    timeout_s = _parse_timeout(headers, dialect.deadline_field, route.max_response_s)
    if timeout_s is None:
        return OutcomeReason.BAD_DEADLINE
    return RequestFields(is_idempotent, key, timeout_s)


def _parse_key(headers: HTTPHeaders) -> str | None:
    """Return the idempotency key, empty without one; None if the field is invalid."""
    keys = headers.get_list(IDEMPOTENCY_KEY_FIELD)
    if not keys:
        return ""
    key = keys[0]
    if len(keys) > 1 or not key.isascii() or not 0 < len(key) <= MAX_KEY_LENGTH:
        return None
    return key


def _parse_timeout(headers: HTTPHeaders, field: str, default_s: float) -> float | None:
    """Return the caller's timeout in seconds, or the default; None if the field is invalid."""
    values = headers.get_list(field)
    if not values:
        return default_s
    text = values[0]
    if len(values) > 1 or not (text.isascii() and text.isdigit()):
        return None
    if len(text) > MAX_DEADLINE_DIGITS or int(text) == 0:
        return None
    return int(text) / MS_PER_S
