"""Chain of filters that processes every request."""

import asyncio
import time
from collections.abc import Awaitable, Sequence
from typing import Protocol

from absl import logging

from ..adapters.caller import CallerRequest
from ..adapters.caller_guard import CallerGuard
from ..adapters.dialect import OWN_DIALECT, Dialect
from ..adapters.metrics import Counters
from ..core.buffers import BufferBudget
from ..core.outcomes import Outcome, OutcomeReason
from .local_responses import LocalResponse, make_refusal

__all__ = ["FilterChain", "HeaderFilter", "RequestFilter", "RequestLogWriter"]

US_PER_S = 1_000_000
DEFAULT_MAX_CONNECTIONS = 2048


class RequestLogWriter(Protocol):
    """Writes a log line for each request that has ended."""

    def write(self, request: CallerRequest, outcome: Outcome, reason: str, now: float) -> None:
        """Write the line, or drop it above the rate limit."""


class HeaderFilter(Protocol):
    """Checks the header of a request and sets attributes of the request from it."""

    def check(self, request: CallerRequest, now: float) -> LocalResponse | None:
        """Return the response that refuses the request, None to continue with the next filter."""


class RequestFilter(Protocol):
    """Processes a request whose header was accepted."""

    def run(
        self, request: CallerRequest, now: float
    ) -> Awaitable[LocalResponse | None] | LocalResponse | None:
        """Return the response that refuses the request, None to continue with the next filter.

        A filter that has to wait returns an awaitable of either.
        """

    def abandon(self, request: CallerRequest, now: float) -> None:
        """Stop work on a request whose caller has disconnected."""

    def end(self, request: CallerRequest, outcome: Outcome) -> None:
        """Release what the filter holds for a request that has ended."""


class FilterChain:
    """Runs requests through the filters, and counts their outcomes.

    Parameters
    ----------
    header_filters : sequence of HeaderFilter
        Filters that need only the request header.
    request_filters : sequence of RequestFilter
        Filters that run once the body is complete or will be streamed.
    counters : Counters
        Receives outcomes and durations.
    held_body_bytes : int
        Largest request body, in bytes, that is buffered so that it can be sent again.
    buffers : BufferBudget
        Limits the memory of the buffered bodies of all requests together.
    dialect : Dialect
        Header fields between callers, this process and upstreams.
    request_log : RequestLogWriter or None
        Logs the end of each request.
    max_connections : int
        Connections that callers may hold at the same time.
    """

    def __init__(
        self,
        header_filters: Sequence[HeaderFilter],
        request_filters: Sequence[RequestFilter],
        counters: Counters,
        held_body_bytes: int,
        buffers: BufferBudget,
        dialect: Dialect = OWN_DIALECT,
        request_log: RequestLogWriter | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self.dialect = dialect
        self._request_log = request_log
        self.held_body_bytes = held_body_bytes
        self.buffers = buffers
        self.guard = CallerGuard(buffers, counters, max_connections)
        self.is_draining = False
        self._header_filters = tuple(header_filters)
        self._request_filters = tuple(request_filters)
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def check(self, request: CallerRequest) -> LocalResponse | None:
        """Run the header filters; return the response that refuses the request, if any."""
        now = request.arrived_at
        for header_filter in self._header_filters:
            local_response = header_filter.check(request, now)
            if local_response is not None:
                return local_response
        return None

    def run(self, request: CallerRequest) -> None:
        """Run the request filters on a request whose body is complete or will be streamed."""
        self._run_from(request, 0)

    def _run_from(self, request: CallerRequest, start: int) -> None:
        for index in range(start, len(self._request_filters)):
            result = self._request_filters[index].run(request, time.monotonic())
            if result is None:
                continue
            if isinstance(result, LocalResponse):
                request.send_local_response(result)
                return
            task = asyncio.ensure_future(self._await_filter(request, result, index + 1))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return

    async def _await_filter(
        self, request: CallerRequest, result: Awaitable[LocalResponse | None], index: int
    ) -> None:
        try:
            local_response = await result
        except Exception:
            logging.exception("event=filter_failed")
            local_response = make_refusal(OutcomeReason.CLAIM_UNAVAILABLE)
        if request.has_ended:
            # The caller disconnected while the filter waited. The filter may have acquired a
            # resource in the meantime, such as a claim, which has to be released.
            for request_filter in self._request_filters:
                request_filter.end(request, Outcome.NOT_RUN)
            return
        if local_response is not None:
            request.send_local_response(local_response)
            return
        self._run_from(request, index)

    def abandon(self, request: CallerRequest) -> None:
        """Stop work on a request whose caller has disconnected."""
        now = time.monotonic()
        for request_filter in self._request_filters:
            request_filter.abandon(request, now)

    def record_end(self, request: CallerRequest, outcome: Outcome, reason: str) -> None:
        """Count and log the outcome of a request, and inform the filters."""
        self._counters.incr(f"outcome.{outcome}")
        if reason:
            self._counters.incr(f"reason.{reason}")
        now = time.monotonic()
        if request.arrived_at:
            self._counters.record("request", now - request.arrived_at)
        if self._request_log is not None:
            self._request_log.write(request, outcome, reason, now)
        for request_filter in self._request_filters:
            request_filter.end(request, outcome)
