"""Log of requests that have ended, with a rate limit."""

import time

from ..adapters.caller import CallerRequest
from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..adapters.metrics_page import MetricsPage
from ..core.backoff import TokenBucket
from ..core.outcomes import Outcome

__all__ = ["RequestLog"]

# Several times the request rate of one host at a usual peak.
MAX_LINES_PER_S = 200.0
MS_PER_S = 1000


class RequestLog:
    """Logs each request with its route, configuration version, attempts and outcome.

    Parameters
    ----------
    counters : Counters
        Counts dropped lines.
    page : MetricsPage
        Records request durations.
    """

    def __init__(self, counters: Counters, page: MetricsPage) -> None:
        self._counters = counters
        self._page = page
        self._rate_limiter = TokenBucket(MAX_LINES_PER_S, MAX_LINES_PER_S, time.monotonic())
        # Version of the configuration that is in force.
        self.version = 0

    def write(self, request: CallerRequest, outcome: Outcome, reason: str, now: float) -> None:
        """Record the duration, and write the line or count it as dropped above the rate limit."""
        if request.arrived_at:
            self._page.observe(request.service, outcome, now - request.arrived_at)
        if not self._rate_limiter.take(now):
            self._counters.incr("log.dropped")
            return
        log_event(
            "request",
            id=request.caller_request_id,
            route=request.route.name if request.route is not None else "",
            service=request.service,
            team="" if request.team is None else request.team.name,
            version=self.version,
            outcome=outcome,
            reason=reason,
            ms=int((now - request.arrived_at) * MS_PER_S) if request.arrived_at else 0,
            left_ms=int((request.deadline - now) * MS_PER_S) if request.deadline else "",
            ahead=int(request.ran_ahead),
            attempts=",".join(request.attempt_results),
        )
