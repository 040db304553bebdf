"""Validation of a request's framing and target."""

from ..adapters.body import RequestBody
from ..adapters.caller import CallerRequest
from ..core.outcomes import OutcomeReason
from ..core.paths import normalise_path
from .local_responses import LocalResponse, make_refusal

__all__ = ["ValidationFilter"]

UNSUPPORTED_METHODS = frozenset({"CONNECT", "TRACE"})
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
MAX_CONTENT_LENGTH_DIGITS = 18


class ValidationFilter:
    """Refuses requests that are malformed or whose body length is ambiguous."""

    def check(self, request: CallerRequest, now: float) -> LocalResponse | None:  # noqa: ARG002
        """Validate the framing, the method and the target."""
        reason = _parse_framing(request)
        if reason is not None:
            # The start of the next request on the connection cannot be determined.
            return make_refusal(reason, closes=True)
        if request.method in UNSUPPORTED_METHODS:
            return make_refusal(OutcomeReason.METHOD_NOT_ALLOWED)
        if not _parse_target(request):
            return make_refusal(OutcomeReason.MALFORMED_REQUEST)
        return None


def _parse_framing(request: CallerRequest) -> OutcomeReason | None:
    """Set the request's body; return the reason if its length cannot be determined."""
    lengths = request.headers.get_list("Content-Length")
    codings = request.headers.get_list("Transfer-Encoding")
    if len(lengths) > 1 or (lengths and codings) or (lengths and "," in lengths[0]):
        return OutcomeReason.CONFLICTING_LENGTH
    if codings:
        if len(codings) > 1 or codings[0].lower() != "chunked" or not request.is_http_1_1:
            return OutcomeReason.MALFORMED_REQUEST
        request.body = RequestBody(None)
        return None
    if lengths:
        text = lengths[0]
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_CONTENT_LENGTH_DIGITS):
            return OutcomeReason.MALFORMED_REQUEST
        request.body = RequestBody(int(text))
        return None
    if request.method in METHODS_WITH_BODY:
        request.body = RequestBody(0)
    return None


def _parse_target(request: CallerRequest) -> bool:
    """Set the request's host and path; return whether they are well-formed."""
    hosts = request.headers.get_list("Host")
    if len(hosts) > 1 or (not hosts and request.is_http_1_1):
        return False
    request.host = hosts[0] if hosts else ""
    target = request.target
    if target[:7].lower() == "http://":
        # Servers must accept the absolute form, whose authority overrides `Host` (RFC 9112, 3.2.2).
        request.host, slash, rest = target[7:].partition("/")
        target = slash + rest or "/"
        request.target = target
    if target == "*":
        request.path = target
        return request.method == "OPTIONS"
    if not target.startswith("/") or "#" in target:
        return False
    path = normalise_path(target)
    if path is None:
        return False
    request.path = path
    return True
