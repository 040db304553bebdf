"""Outcomes of a request, and the reasons for refusals, failures and retries.

Every reason has its own statsd counter, named after its value.
"""

from enum import StrEnum

__all__ = ["Outcome", "OutcomeReason", "RetryReason"]


class Outcome(StrEnum):
    """Outcome of a request, sent to the caller in the `X-Request-Outcome` header."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class OutcomeReason(StrEnum):
    """Reason why a request has no complete response, sent in the `X-Outcome-Reason` header."""

    # The outcome is "not-run", except for `BODY_TOO_LARGE` after part of a streamed body was sent
    # to an upstream: then it is "unknown".
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    CONCURRENCY_LIMIT = "concurrency_limit"
    DEFERRED = "deferred"
    RETRY_BUDGET = "retry_budget"
    BUFFERS_FULL = "buffers_full"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    SHUTTING_DOWN = "shutting_down"
    MALFORMED_REQUEST = "malformed_request"
    CONFLICTING_LENGTH = "conflicting_length"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BAD_DEADLINE = "bad_deadline"
    BAD_IDEMPOTENCY_KEY = "bad_idempotency_key"
    UNKNOWN_KEY = "unknown_key"
    OUTDATED_CONFIGURATION = "outdated_configuration"
    QUOTA_EXCEEDED = "quota_exceeded"
    CLAIM_RATE = "claim_rate"
    CLAIM_UNAVAILABLE = "claim_unavailable"

    # The outcome is "not-run" or "unknown", depending on what was sent to an upstream.
    CALLER_GONE = "caller_gone"
    TIMEOUT = "timeout"

    # The outcome is always "unknown".
    DUPLICATE_REQUEST = "duplicate_request"
    UPSTREAM_FAILED = "upstream_failed"
    TRUNCATED_ANSWER = "truncated_answer"
    MALFORMED_ANSWER = "malformed_answer"
    STALLED_STREAM = "stalled_stream"


class RetryReason(StrEnum):
    """Reason why a request is sent again."""

    UPSTREAM_REFUSED = "upstream_refused"
    NEVER_CONNECTED = "never_connected"
    IDEMPOTENT_FAILURE = "idempotent_failure"
    SERVER_ERROR = "server_error"
    # A hedge: the first attempt is slow, and still in flight.
    SLOW_ATTEMPT = "slow_attempt"
