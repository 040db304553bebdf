"""Responses that the load balancer generates itself, instead of forwarding an upstream's."""

from http import HTTPStatus
from typing import NamedTuple

from ..adapters.dialect import OWN_DIALECT, Dialect
from ..core.outcomes import Outcome, OutcomeReason

__all__ = ["LocalResponse", "make_failure", "make_refusal", "render_local_response"]

INVALID_REQUEST_STATUSES = {
    OutcomeReason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    OutcomeReason.MALFORMED_REQUEST: HTTPStatus.BAD_REQUEST,
    OutcomeReason.CONFLICTING_LENGTH: HTTPStatus.BAD_REQUEST,
    OutcomeReason.HEADERS_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    OutcomeReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    OutcomeReason.METHOD_NOT_ALLOWED: HTTPStatus.METHOD_NOT_ALLOWED,
    OutcomeReason.BAD_DEADLINE: HTTPStatus.BAD_REQUEST,
    OutcomeReason.BAD_IDEMPOTENCY_KEY: HTTPStatus.BAD_REQUEST,
    OutcomeReason.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
}
# All other refusals are 503.
REFUSED_STATUSES = {OutcomeReason.QUOTA_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS}
UNKNOWN_OUTCOME_STATUSES = {
    OutcomeReason.DUPLICATE_REQUEST: HTTPStatus.CONFLICT,
    OutcomeReason.TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
    OutcomeReason.QUEUE_TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
    OutcomeReason.STALLED_STREAM: HTTPStatus.GATEWAY_TIMEOUT,
}
DEFAULT_RETRY_AFTER_S = 1.0


class LocalResponse(NamedTuple):
    """A response that refuses a request or reports its failure.

    Parameters
    ----------
    status : HTTPStatus
        Status of the response.
    outcome : Outcome
        `NOT_RUN`, or `UNKNOWN` if the request may have run.
    reason : OutcomeReason
        Reason for the refusal or failure.
    retry_after_s : float
        Delay before a retry, in seconds; 0 if the same request would be refused again.
    allow : tuple of str
        Methods that the target supports, for `METHOD_NOT_ALLOWED`.
    closes : bool
        Whether the connection cannot be reused, for example because the end of the request
        cannot be determined.
    """

    status: HTTPStatus
    outcome: Outcome
    reason: OutcomeReason
    retry_after_s: float = 0.0
    allow: tuple[str, ...] = ()
    closes: bool = False


def make_refusal(
    reason: OutcomeReason,
    retry_after_s: float = DEFAULT_RETRY_AFTER_S,
    *,
    allow: tuple[str, ...] = (),
    closes: bool = False,
) -> LocalResponse:
    """Return the response to a request that was not run.

    Parameters
    ----------
    reason : OutcomeReason
        Reason for the refusal.
    retry_after_s : float
        Delay before a retry, in seconds; ignored for invalid requests, where a retry is useless.
    allow : tuple of str
        Methods that the target supports.
    closes : bool
        Whether the connection cannot be reused.
    """
    status = INVALID_REQUEST_STATUSES.get(reason)
    if status is not None:
        return LocalResponse(status, Outcome.NOT_RUN, reason, 0.0, allow, closes)
    status = REFUSED_STATUSES.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)
    return LocalResponse(status, Outcome.NOT_RUN, reason, retry_after_s, closes=closes)


def make_failure(reason: OutcomeReason, *, closes: bool = False) -> LocalResponse:
    """Return the response to a request that may have run."""
    status = UNKNOWN_OUTCOME_STATUSES.get(reason, HTTPStatus.BAD_GATEWAY)
    return LocalResponse(status, Outcome.UNKNOWN, reason, closes=closes)


def render_local_response(
    response: LocalResponse, *, closes: bool, has_body: bool, dialect: Dialect = OWN_DIALECT
) -> bytes:
    """Return the bytes of the response.

    Parameters
    ----------
    response : LocalResponse
        Response to render.
    closes : bool
        Whether the connection is closed after the response.
    has_body : bool
        Whether the response may have a body; False in response to HEAD.
    dialect : Dialect
        Defines the format of `Retry-After`.
    """
    body = f"{response.outcome}: {response.reason}\n".encode()
    lines = [
        f"HTTP/1.1 {response.status.value} {response.status.phrase}",
        f"X-Request-Outcome: {response.outcome}",
        f"X-Outcome-Reason: {response.reason}",
        "Content-Type: text/plain",
        f"Content-Length: {len(body)}",
    ]
    if response.retry_after_s > 0:
        lines.append(f"Retry-After: {dialect.format_retry_after(response.retry_after_s)}")
    if response.allow:
        lines.append(f"Allow: {', '.join(response.allow)}")
    if closes:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    return head + body if has_body else head
