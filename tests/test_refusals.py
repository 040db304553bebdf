from typing import Any, cast

import pytest

from amaranthbend.adapters.caller import CallerRequest
from amaranthbend.adapters.metrics import Counters
from amaranthbend.core.buffers import BufferBudget
from amaranthbend.core.outcomes import Outcome, OutcomeReason
from amaranthbend.filters.chain import FilterChain
from amaranthbend.filters.local_responses import (
    LocalResponse,
    make_failure,
    make_refusal,
    render_local_response,
)

ALWAYS_UNKNOWN = {
    OutcomeReason.DUPLICATE_REQUEST,
    OutcomeReason.UPSTREAM_FAILED,
    OutcomeReason.TRUNCATED_ANSWER,
    OutcomeReason.MALFORMED_ANSWER,
    OutcomeReason.STALLED_STREAM,
}
NOT_RUN_STATUSES = {400, 401, 404, 405, 413, 429, 431, 503}
UNKNOWN_STATUSES = {409, 502, 504}


class EndedRequest:
    """The attributes of a request that `FilterChain.record_end` uses."""

    arrived_at = 0.0


def record_end(response: LocalResponse) -> Counters:
    """Return the counters after one request has ended with the response."""
    counters = Counters()
    chain = FilterChain((), (), counters, 0, BufferBudget(0))
    request: Any = EndedRequest()
    chain.record_end(cast(CallerRequest, request), response.outcome, response.reason)
    return counters


@pytest.mark.parametrize("reason", OutcomeReason)
def test_each_reason_has_counter_status_and_headers(reason: OutcomeReason) -> None:
    """Guards against a reason without its own counter, status or header field."""
    is_unknown = reason in ALWAYS_UNKNOWN
    response = make_failure(reason) if is_unknown else make_refusal(reason)
    assert response.status in (UNKNOWN_STATUSES if is_unknown else NOT_RUN_STATUSES)
    head = render_local_response(response, closes=False, has_body=False).decode()
    outcome = Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN
    assert f"\r\nX-Request-Outcome: {outcome}\r\n" in head
    assert f"\r\nX-Outcome-Reason: {reason}\r\n" in head
    counters = record_end(response)
    assert counters.get(f"reason.{reason}") == 1
    assert counters.get(f"outcome.{outcome}") == 1


def test_overload_response_has_retry_after() -> None:
    """Guards against overload by callers that retry refused requests immediately."""
    response = make_refusal(OutcomeReason.QUEUE_FULL, 2.4)
    assert b"\r\nRetry-After: 2\r\n" in render_local_response(
        response, closes=False, has_body=False
    )
