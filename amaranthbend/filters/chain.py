"""Chain of filters that every request passes."""

import asyncio
import time
from collections.abc import Awaitable, Sequence
from typing import Protocol

from absl import logging

from ..adapters.caller import CallerRequest
from ..adapters.dialect import OWN_DIALECT, Dialect
from ..adapters.metrics import Counters
from ..core.outcomes import Outcome, OutcomeReason
from .refusals import Refusal, make_refusal

__all__ = ["FilterChain", "HeadFilter", "RequestLog", "RunFilter"]

US_PER_S = 1_000_000


class RequestLog(Protocol):
    """Writes a line for each request that ended."""

    def write(self, request: CallerRequest, outcome: Outcome, reason: str, now: float) -> None:
        """Write the line, or drop it when there are too many."""


class HeadFilter(Protocol):
    """Looks at the head of a request and notes on it what it finds."""

    def check(self, request: CallerRequest, now: float) -> Refusal | None:
        """Return a refusal, or None to let the request pass."""


class RunFilter(Protocol):
    """Takes part in running a request whose head was accepted."""

    def run(self, request: CallerRequest, now: float) -> Awaitable[Refusal | None] | Refusal | None:
        """Return a refusal, None to let the request pass, or either of them later."""

    def abandon(self, request: CallerRequest, now: float) -> None:
        """Stop work on a request whose caller went away."""

    def end(self, request: CallerRequest, outcome: Outcome) -> None:
        """Note the end of a request."""


class FilterChain:
    """Passes requests through the filters, and counts how they end.

    Parameters
    ----------
    head_filters : sequence of HeadFilter
        Filters that need the head only.
    run_filters : sequence of RunFilter
        Filters that run once the body is complete or will be streamed.
    counters : Counters
        Where outcomes and times are counted.
    held_body_bytes : int
        Largest body that is held whole, so that it can be sent again.
    dialect : Dialect
        Header fields between callers, this process and upstreams.
    request_log : RequestLog or None
        Where the end of each request is logged.
    """

    def __init__(
        self,
        head_filters: Sequence[HeadFilter],
        run_filters: Sequence[RunFilter],
        counters: Counters,
        held_body_bytes: int,
        dialect: Dialect = OWN_DIALECT,
        request_log: RequestLog | None = None,
    ) -> None:
        self.dialect = dialect
        self._request_log = request_log
        self.held_body_bytes = held_body_bytes
        self.is_draining = False
        # Requests whose body is complete or streamed, and that have not ended.
        self.running = 0
        self._head_filters = tuple(head_filters)
        self._run_filters = tuple(run_filters)
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def check(self, request: CallerRequest) -> Refusal | None:
        """Check the head of a request."""
        now = request.arrived_at
        for head_filter in self._head_filters:
            refusal = head_filter.check(request, now)
            if refusal is not None:
                return refusal
        return None

    def run(self, request: CallerRequest) -> None:
        """Run a request whose body is complete or will be streamed."""
        self.running += 1
        self._run_from(request, 0)

    def _run_from(self, request: CallerRequest, start: int) -> None:
        for position in range(start, len(self._run_filters)):
            verdict = self._run_filters[position].run(request, time.monotonic())
            if verdict is None:
                continue
            if isinstance(verdict, Refusal):
                request.refuse(verdict)
                return
            task = asyncio.ensure_future(self._wait(request, verdict, position + 1))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return

    async def _wait(
        self, request: CallerRequest, verdict: Awaitable[Refusal | None], position: int
    ) -> None:
        try:
            refusal = await verdict
        except Exception:
            logging.exception("event=filter_failed")
            refusal = make_refusal(OutcomeReason.CLAIM_UNAVAILABLE)
        if request.has_ended:
            # The caller left; a filter may have acquired something in the meantime.
            for run_filter in self._run_filters:
                run_filter.end(request, Outcome.NOT_RUN)
            return
        if refusal is not None:
            request.refuse(refusal)
            return
        self._run_from(request, position)

    def abandon(self, request: CallerRequest) -> None:
        """Stop a request whose caller went away."""
        now = time.monotonic()
        for run_filter in self._run_filters:
            run_filter.abandon(request, now)

    def count_end(self, request: CallerRequest, outcome: Outcome, reason: str) -> None:
        """Count how a request ended."""
        if request.is_running:
            self.running -= 1
        self._counters.incr(f"outcome.{outcome}")
        if reason:
            self._counters.incr(f"reason.{reason}")
        now = time.monotonic()
        if request.arrived_at:
            self._counters.record("request", now - request.arrived_at)
        if self._request_log is not None:
            self._request_log.write(request, outcome, reason, now)
        for run_filter in self._run_filters:
            run_filter.end(request, outcome)
