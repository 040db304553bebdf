"""State of pending requests and of their attempts."""

from .actions import AttemptResult, AttemptStatus, Complete, Refuse, RequestInfo
from .ejection import UpstreamHealth
from .outcomes import Outcome, OutcomeReason, RetryReason
from .routing import UpstreamLoad

__all__ = [
    "AttemptState",
    "RequestState",
    "describe_failure",
    "is_upstream_failure",
    "make_end_action",
]

SERVER_ERROR = 500


class RequestState:
    """State of a request that has not ended."""

    __slots__ = (
        "fresh_since",
        "attempts",
        "load_summary",
        "fallback_attempt",
        "has_response_started",
        "info",
        "may_have_run",
        "retry_reason",
        "running",
        "hedge_at",
        "has_postponed_hedge",
        "tried_upstreams",
    )

    def __init__(self, info: RequestInfo) -> None:
        self.info = info
        self.attempts = 0
        # Load reports received since this time are fresh enough to decide the next attempt.
        self.fresh_since = 0.0
        # Load of the upstream considered last, for the log.
        self.load_summary = ""
        # Time from which the request may be hedged even if the retry budget is not full.
        self.hedge_at = 0.0
        # Whether a hedge was due before and could not be sent.
        self.has_postponed_hedge = False
        # Numbers of the attempts in flight.
        self.running: set[int] = set()
        # Attempt with a complete error response, which the caller gets if no other attempt
        # succeeds; 0 without one.
        self.fallback_attempt = 0
        # Whether the caller has got the beginning of a response, which only its attempt may end.
        self.has_response_started = False
        self.may_have_run = False
        self.retry_reason: RetryReason | None = None
        self.tried_upstreams: frozenset[str] = frozenset()


class AttemptState:
    """One attempt that occupies a connection, possibly after its request has ended."""

    __slots__ = ("has_vanished", "health", "incarnation", "is_long", "load", "started_at")

    def __init__(
        self, load: UpstreamLoad, health: UpstreamHealth, started_at: float, is_long: bool
    ) -> None:
        self.load = load
        # Kept because a refusal by an earlier incarnation says nothing about the present one.
        self.incarnation = load.member.incarnation
        self.health = health
        self.started_at = started_at
        self.is_long = is_long
        # Whether the entry of its upstream was found to be gone from the store.
        self.has_vanished = False


def make_end_action(
    record: RequestState, reason: OutcomeReason, retry_after_s: float
) -> Complete | Refuse:
    """Return the action that ends a request without a complete response."""
    request_id = record.info.request_id
    if record.may_have_run:
        return Complete(request_id, Outcome.UNKNOWN, reason)
    return Refuse(request_id, reason, retry_after_s, record.load_summary)


def describe_failure(result: AttemptResult) -> OutcomeReason:
    """Return the outcome reason for the caller of a failed attempt."""
    if result.status is AttemptStatus.REFUSED:
        return OutcomeReason.UPSTREAM_REFUSED
    if result.status is AttemptStatus.NEVER_CONNECTED:
        return OutcomeReason.UPSTREAM_UNREACHABLE
    return result.reason or OutcomeReason.UPSTREAM_FAILED


def is_upstream_failure(result: AttemptResult) -> bool:
    """Return whether the attempt counts as a failure of the upstream; a refusal does not."""
    if result.status is AttemptStatus.ANSWERED:
        return result.http_status >= SERVER_ERROR
    return result.status in (AttemptStatus.FAILED, AttemptStatus.NEVER_CONNECTED)
