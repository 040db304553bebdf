"""Runs the dispatcher of one service: passes events to it and executes its actions."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..adapters.caller import CallerRequest
from ..adapters.calls import CallEnd, EndKind, UpstreamCall, UpstreamRequest
from ..adapters.dialect import OWN_DIALECT, Dialect
from ..adapters.headers import ResponseHead
from ..adapters.metrics import Counters
from ..adapters.upstream import UpstreamClient
from ..core.actions import (
    Action,
    AttemptResult,
    Cancel,
    Complete,
    LoadReport,
    Member,
    Probe,
    Refuse,
    RequestInfo,
    Send,
)
from ..core.dispatching import Dispatcher
from ..core.outcomes import Outcome, OutcomeReason
from ..core.probing import PROBE_BYTES, PROBE_TIMEOUT_S
from .attempts import Attempt, build_upstream_request
from .local_responses import make_failure, make_refusal

__all__ = ["DispatchSettings", "ServiceDispatch", "ignore_probe"]

# `Retry-After` gets random jitter up to this factor, so that refused callers do not retry at the
# same time.
MAX_RETRY_AFTER_FACTOR = 2.0
MIN_TIMER_DELAY_S = 0.001
# A probe with a longer body has failed: a faulty upstream may send one without end.
MAX_PROBE_BODY_BYTES = 64 * 1024


class DispatchSettings(NamedTuple):
    """Process settings that the dispatch filter uses.

    Parameters
    ----------
    data_centre : str
        Data centre of this process.
    entry_processes : int
        Number of entry processes on this host.
    connect_timeout_s : float
        Timeout for connecting to an upstream, in seconds.
    stall_timeout_s : float
        Time without progress after which a stream is aborted, in seconds.
    dialect : Dialect
        Header fields between this process, callers and upstreams.
    """

    data_centre: str
    entry_processes: int
    connect_timeout_s: float
    stall_timeout_s: float
    dialect: Dialect = OWN_DIALECT


class ActiveRequest(NamedTuple):
    """A request that has not ended, with its attempts.

    Parameters
    ----------
    request : CallerRequest
        The request.
    attempts : dict of int to Attempt
        Attempts in flight, by number.
    held : dict of int to Attempt
        Ended attempts whose response is buffered, by number.
    """

    request: CallerRequest
    attempts: dict[int, Attempt]
    held: dict[int, Attempt]


def ignore_probe(_size_bytes: int) -> None:
    """Do nothing; default callback, used when probes are not reported to a control process."""


class ProbeResponseHandler:
    """Reads the load report from the response to a probe and passes it to the service.

    Parameters
    ----------
    service : ServiceDispatch
        Receives the report.
    member : Member
        Upstream that was probed.
    dialect : Dialect
        Parses the response's header fields.
    """

    def __init__(self, service: "ServiceDispatch", member: Member, dialect: Dialect) -> None:
        self._service = service
        self._member = member
        self._dialect = dialect
        self._report: LoadReport | None = None
        self._is_own_response = False
        self._body_bytes = 0
        self.call: UpstreamCall | None = None

    def is_own_response(self, head: ResponseHead) -> bool:
        """Return False for a late response to a request."""
        self._is_own_response = self._dialect.is_probe_response(head)
        return self._is_own_response

    def deliver(self, head: ResponseHead | None, data: bytes, end: CallEnd | None) -> bool:
        """Process a part of the response; called by the upstream client."""
        if head is not None:
            self._report = self._dialect.parse_probe_response(head, self._member)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_PROBE_BODY_BYTES and self.call is not None:
            self.call.abort()
            self._service.finish_probe(self._member.upstream, None)
            return False
        if end is not None:
            if end.on_reused_connection and not self._is_own_response:
                self._service.repeat_probe(self._member)
                return True
            is_complete = end.kind is EndKind.COMPLETE
            self._service.finish_probe(self._member.upstream, self._report if is_complete else None)
        return True


class ServiceDispatch:
    """Connects the dispatcher of one service to requests, upstreams and a timer.

    Parameters
    ----------
    dispatcher : Dispatcher
        Decides on the actions to execute.
    client : UpstreamClient
        Sends requests to upstreams.
    counters : Counters
        Counts retries and probes.
    settings : DispatchSettings
        Process settings.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        client: UpstreamClient,
        counters: Counters,
        settings: DispatchSettings,
    ) -> None:
        self.dispatcher = dispatcher
        self.members: dict[str, Member] = {}
        self.active_requests: dict[int, ActiveRequest] = {}
        self._client = client
        self._counters = counters
        self._settings = settings
        self.on_probe_sent: Callable[[int], None] = ignore_probe
        self.probe_path = "/load"
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0

    def submit(self, request: CallerRequest, now: float) -> None:
        """Pass a request to the dispatcher."""
        route = request.route
        assert route is not None
        info = RequestInfo(
            request.request_id,
            route.name,
            request.is_idempotent,
            route.work_class,
            request.deadline,
            route.priority,
            request.body is None or not request.body.streamed,
            0 if request.body is None else request.body.buffered_bytes,
            route.latency_goal_s,
            route.max_attempts,
            0 if request.team is None else request.team.priority or 0,
            request.elapsed_s,
        )
        self.active_requests[request.request_id] = ActiveRequest(request, {}, {})
        self.apply(self.dispatcher.submit(info, now))

    def abandon(self, request: CallerRequest, now: float) -> None:
        """Stop work on a request whose caller has disconnected."""
        if request.request_id in self.active_requests:
            self.apply(self.dispatcher.abandon(request.request_id, now))

    def set_members(self, members: tuple[Member, ...], now: float) -> None:
        """Replace the members of the service."""
        self.members = {member.upstream: member for member in members}
        self.apply(self.dispatcher.set_members(members, now))

    def apply(self, actions: Iterable[Action]) -> None:
        """Execute the dispatcher's actions, then set the timer for its next one."""
        for action in actions:
            self._apply_one(action)
        self._set_timer()

    def _apply_one(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Complete):
            self._complete(action)
        elif isinstance(action, Refuse):
            self._refuse(action)
        elif isinstance(action, Cancel):
            self._cancel(action)
        else:
            self._probe(action)

    def _send(self, action: Send) -> None:
        active = self.active_requests[action.request_id]
        request = active.request
        if action.retry_reason is not None:
            self._counters.incr(f"retry.{action.retry_reason}")
        member = self.members[action.upstream]
        dialect = self._settings.dialect
        attempt = Attempt(self, request, action.attempt, member, dialect, action.load_summary)
        active.attempts[action.attempt] = attempt
        upstream_request = build_upstream_request(
            request,
            member,
            action.timeout_s,
            self._settings.connect_timeout_s,
            dialect,
            is_repeat=action.attempt > 1,
        )
        request.is_sent = True
        loop = asyncio.get_running_loop()
        attempt.timer = loop.call_later(action.timeout_s, attempt.fail, OutcomeReason.TIMEOUT)
        # The attempt may have ended before `start` returns.
        attempt.call = self._client.start(upstream_request, attempt)

    def _complete(self, action: Complete) -> None:
        active = self.active_requests.pop(action.request_id)
        request = active.request
        if action.outcome is Outcome.ANSWERED:
            attempt = active.held.get(action.attempt)
            if attempt is not None:
                attempt.forward_buffered_response()
            request.complete_response()
            return
        reason = action.reason or OutcomeReason.UPSTREAM_FAILED
        if request.has_response_started:
            request.abort_response(reason)
        elif action.outcome is Outcome.NOT_RUN:
            request.send_local_response(make_refusal(reason))
        else:
            request.send_local_response(make_failure(reason))

    def _refuse(self, action: Refuse) -> None:
        request = self.active_requests.pop(action.request_id).request
        request.is_sent = False
        if action.load_summary:
            request.attempt_results.append(f"refused:{action.load_summary}")
        delay_s = action.retry_after_s * random.uniform(1.0, MAX_RETRY_AFTER_FACTOR)
        request.send_local_response(make_refusal(action.reason, delay_s))

    def _cancel(self, action: Cancel) -> None:
        active = self.active_requests.get(action.request_id)
        attempt = active.attempts.get(action.attempt) if active is not None else None
        if attempt is None:
            return
        if action.reason is None:
            attempt.cancel()
        elif not attempt.has_response_begun:
            attempt.fail(action.reason)

    def _probe(self, action: Probe) -> None:
        member = self.members.get(action.upstream)
        if member is None:
            self.finish_probe(action.upstream, None)
            return
        self._send_probe(member, may_reuse_connection=True)

    def repeat_probe(self, member: Member) -> None:
        """Send a probe on a new connection, because a reused one did not bring its response.

        An idle connection may have been closed or forgotten by the upstream, or hold a late
        response, while the upstream itself is healthy.
        """
        self._counters.incr("probe.repeated")
        self._send_probe(member, may_reuse_connection=False)

    def _send_probe(self, member: Member, *, may_reuse_connection: bool) -> None:
        self._counters.incr("probe.sent")
        self.on_probe_sent(PROBE_BYTES)
        lines = [b"User-Agent:", b"Accept:"]
        target = self.probe_path.encode("latin1")
        upstream_request = UpstreamRequest(
            address=member.address,
            method="GET",
            target=target,
            header_lines=lines,
            body=None,
            source=None,
            body_length=None,
            may_reuse_connection=may_reuse_connection,
            connect_timeout_s=PROBE_TIMEOUT_S,
        )
        handler = ProbeResponseHandler(self, member, self._settings.dialect)
        call = handler.call = self._client.start(upstream_request, handler)
        loop = asyncio.get_running_loop()
        loop.call_later(PROBE_TIMEOUT_S, self._time_out_probe, member.upstream, call)

    def _time_out_probe(self, upstream: str, call: UpstreamCall) -> None:
        if call.has_ended:
            return
        call.abort()
        self.finish_probe(upstream, None)

    def finish_probe(self, upstream: str, report: LoadReport | None) -> None:
        """Pass the result of a probe to the dispatcher.

        Parameters
        ----------
        upstream : str
            Upstream that was probed.
        report : LoadReport or None
            Its load, None if the probe failed.
        """
        now = time.monotonic()
        if report is not None:
            self.apply(self.dispatcher.report(upstream, report, now))
            return
        self._counters.incr("probe.failed")
        self.apply(self.dispatcher.report_probe_failure(upstream, now))

    def record_report(self, upstream: str, report: LoadReport) -> None:
        """Pass a load report from a response to the dispatcher."""
        self.apply(self.dispatcher.report(upstream, report, time.monotonic()))

    def should_forward_response(self, attempt: Attempt) -> bool:
        """Return whether to forward this attempt's response: only the first one is forwarded."""
        return (
            attempt.request.request_id in self.active_requests
            and not attempt.request.has_response_started
        )

    def record_response_start(self, attempt: Attempt) -> None:
        """Record that the caller gets the beginning of this attempt's response."""
        request_id = attempt.request.request_id
        self.apply(self.dispatcher.record_response_start(request_id, attempt.number))

    def finish_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """Pass the result of an attempt to the dispatcher."""
        request_id = attempt.request.request_id
        active = self.active_requests.get(request_id)
        if active is not None:
            active.attempts.pop(attempt.number, None)
            if attempt.has_buffered_response:
                active.held[attempt.number] = attempt
        now = time.monotonic()
        self.apply(self.dispatcher.finish(request_id, attempt.number, result, now))

    def _set_timer(self) -> None:
        """Set the timer for the dispatcher's next tick.

        A timer that is due earlier stays in place, so a tick may come early but never late.
        """
        now = time.monotonic()
        due = self.dispatcher.get_next_tick_time(now)
        if due is None:
            return
        if self._timer is not None:
            if self._timer_due_at <= due:
                return
            self._timer.cancel()
        self._timer_due_at = due
        delay_s = max(MIN_TIMER_DELAY_S, due - now)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.apply(self.dispatcher.tick(time.monotonic()))

    def abort_all(self) -> None:
        """End all requests, because the process is about to be killed."""
        self.apply(self.dispatcher.end_all())

    def abort_stalled_streams(self, now: float) -> None:
        """Abort streams that made no progress within the stall timeout."""
        stalled_before = now - self._settings.stall_timeout_s
        for active in list(self.active_requests.values()):
            if (
                not active.request.has_response_started
                or active.request.last_progress > stalled_before
            ):
                continue
            for attempt in list(active.attempts.values()):
                if attempt.call is not None and attempt.call.last_progress <= stalled_before:
                    attempt.fail(OutcomeReason.STALLED_STREAM)
