"""Checks of the request's own form."""

from urllib.parse import unquote

from ..adapters.body import RequestBody
from ..adapters.caller import CallerRequest
from ..core.outcomes import OutcomeReason
from .local_responses import LocalResponse, make_refusal

__all__ = ["ValidationFilter", "normalise_path"]

UNSUPPORTED_METHODS = frozenset({"CONNECT", "TRACE"})
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
MAX_CONTENT_LENGTH_DIGITS = 18


class ValidationFilter:
    """Refuses requests whose form is wrong or whose length is ambiguous."""

    def check(self, request: CallerRequest, now: float) -> LocalResponse | None:  # noqa: ARG002
        """Check the framing, then the target."""
        reason = _parse_framing(request)
        if reason is not None:
            # Where the next request starts is not known.
            return make_refusal(reason, closes=True)
        if request.method in UNSUPPORTED_METHODS:
            return make_refusal(OutcomeReason.METHOD_NOT_ALLOWED)
        if not _parse_target(request):
            return make_refusal(OutcomeReason.MALFORMED_REQUEST)
        return None


def _parse_framing(request: CallerRequest) -> OutcomeReason | None:
    """Set up the body, or return why its length is not known."""
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
    """Set host and path; return whether they are well-formed."""
    hosts = request.headers.get_list("Host")
    if len(hosts) > 1 or (not hosts and request.is_http_1_1):
        return False
    request.host = hosts[0] if hosts else ""
    target = request.target
    if target[:7].lower() == "http://":
        # A server has to accept the absolute form, whose authority replaces `Host`.
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


def normalise_path(target: str) -> str | None:
    """Return the path by which a route is chosen, None if it could be read in two ways.

    An upstream may resolve escapes, dot segments and repeated slashes; a path
    that means one route here and another there would evade the claim rule.
    """
    path = target.partition("?")[0]
    if "%" in path:
        path = unquote(path, "latin1")
    if "//" in path:
        path = "/" + "/".join(segment for segment in path.split("/") if segment)
    if "/." in path and any(segment in (".", "..") for segment in path.split("/")):
        return None
    return path
