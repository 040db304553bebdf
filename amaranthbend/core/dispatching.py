"""Dispatcher that schedules the requests of one service in one entry process."""

from collections.abc import Iterable

from .actions import (
    Action,
    AttemptResult,
    AttemptStatus,
    Cancel,
    LoadReport,
    Member,
    Probe,
    Refuse,
    RequestInfo,
    Send,
    WorkClass,
)
from .attempts import AttemptState, RequestState, describe_failure, is_upstream_failure
from .limits import find_refusal
from .long_work import LongWorkLimit, OverdueTracker
from .outcomes import OutcomeReason
from .policy import ProbePolicy, ServicePolicy
from .probing import ProbePlanner
from .queueing import ClassQueues
from .request_table import RequestTable, cancel_attempts
from .retries import RetryBudget, decide_retry, proves_not_run
from .routing import REFUSAL_PAUSE_S, UpstreamLoad
from .upstream_tracking import UpstreamTracker

__all__ = ["Dispatcher"]

# Shortest `Retry-After` while all upstreams of a service are in evacuated data centres. Evacuations
# last for seconds, and callers retry only once or twice; with the random factor on it, a caller of
# the shortest deadline, 2.5 s, still honours it.
EVACUATED_RETRY_AFTER_S = 0.4


class Dispatcher(UpstreamTracker):
    """Decides when each request of a service is sent, and to which upstream.

    It performs no I/O and reads no clock: its methods take events with the
    present time in seconds on a monotonic clock, and return the actions to
    carry out. Each submitted request ends with exactly one `Complete` or
    `Refuse`. For a response that carries a load report, call `report` before
    `finish`, so that a retry after a refusal uses the new report.

    Parameters
    ----------
    policy : ServicePolicy
        Settings of the service.
    probing : ProbePolicy
        The deployment's budget for background probes.
    data_centre : str
        Data centre of this process.
    seed : int
        Seed of the random choices.
    processes : int
        Entry processes that share the connection limit of each upstream.
    """

    def __init__(
        self,
        policy: ServicePolicy,
        probing: ProbePolicy,
        data_centre: str,
        seed: int,
        *,
        processes: int = 1,
    ) -> None:
        super().__init__(policy, data_centre, seed)
        self._processes = max(1, processes)
        self._probe_planner = ProbePlanner(probing)
        self._retry_budget = RetryBudget(policy.retries)
        self._long_work_limit = LongWorkLimit(policy.limits.long_share, self._processes)
        self._overdue_tracker = OverdueTracker()
        self._requests = RequestTable(policy.retry_after_s)
        self._attempts: dict[tuple[int, int], AttemptState] = {}
        self._queues = ClassQueues()
        self._in_flight = {WorkClass.SHORT: 0, WorkClass.LONG: 0}

    def submit(self, request: RequestInfo, now: float) -> list[Action]:
        """Send, queue or refuse a new request.

        Raises
        ------
        ValueError
            If a request with the same identifier has not ended yet.
        """
        self._requests.check_new(request)
        self._reclassify_overdue(now)
        actions = self._end_expired(now)
        reason = self._find_refusal(request, now)
        if reason is not None:
            actions.append(self._make_refusal(request, reason))
            return actions
        actions += self._enqueue(self._requests.add(request), now)
        return actions + self._dispatch_ready(now)

    def finish(
        self, request_id: int, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Record the end of an attempt, then complete, refuse or retry its request."""
        ended = self._attempts.pop((request_id, attempt), None)
        if ended is None:
            return []
        self._release_attempt(ended, result, now)
        actions: list[Action] = []
        record = self._requests.get(request_id)
        if record is not None and attempt in record.running:
            record.running.discard(attempt)
            actions += self._complete_or_retry(record, attempt, result, now)
        if result.is_draining:
            actions += self._end_queued_without_upstream()
        return actions + self._dispatch_ready(now)

    def record_response_start(self, request_id: int, attempt: int) -> list[Action]:
        """Record that the caller gets the beginning of a response, and cancel other attempts.

        What the caller has got can be continued by that attempt only, so neither another attempt
        nor an earlier error response may end the request.
        """
        record = self._requests.get(request_id)
        if record is None:
            return []
        record.has_response_started = True
        record.fallback_attempt = 0
        return [Cancel(request_id, number) for number in sorted(record.running - {attempt})]

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:
        """Record a load report that came with a response or in answer to a probe."""
        if not self._record_report(upstream, report, now):
            return []
        self._concurrency_limit.record_queue_length(
            report.queued,
            report.slots,
            self._in_flight[WorkClass.SHORT],
            self._ejector.mean_duration_s,
            now,
        )
        self._update_load(self._loads[upstream])
        return self._end_queued_without_upstream() + self._dispatch_ready(now)

    def report_probe_failure(self, upstream: str, now: float) -> list[Action]:
        """Record that a probe failed or returned no load report."""
        load = self._loads.get(upstream)
        if load is not None:
            load.probe_pending = False
        return self._dispatch_ready(now)

    def abandon(self, request_id: int, now: float) -> list[Action]:
        """End a request whose caller has disconnected, and cancel its attempts."""
        record = self._requests.get(request_id)
        if record is None:
            return []
        self._queues.get(record.info.work_class).remove(request_id)
        if record.running:
            record.may_have_run = True
        actions = cancel_attempts(record)
        actions.append(self._requests.end(record, OutcomeReason.CALLER_GONE))
        return actions + self._end_expired(now)

    def end_all(self) -> list[Action]:
        """End all requests, because the process is about to be killed.

        None is retried: a further attempt would not end in time, and its caller get no answer.
        """
        actions: list[Action] = []
        for record in self._requests.list_pending():
            self._queues.get(record.info.work_class).remove(record.info.request_id)
            if record.running:
                record.may_have_run = True
            actions += self._requests.fail(record, OutcomeReason.SHUTTING_DOWN)
        return actions

    def tick(self, now: float) -> list[Action]:
        """Handle the timers that are due."""
        self._reclassify_overdue(now)
        self._readmit(now)
        actions = self._dispatch_ready(now)
        probed = self._probe_planner.plan(self._loads.values(), now)
        if probed is not None:
            self._loads[probed].probe_pending = True
            actions.append(Probe(probed))
        return actions

    def get_next_tick_time(self, now: float) -> float | None:
        """Return the time of the next timer, or None without one."""
        times = (
            self._queues.get_next_deadline(),
            self._ejector.get_next_readmission_time(),
            self._probe_planner.get_next_probe_time(),
        )
        return min((max(now, time) for time in times if time is not None), default=None)

    def set_members(self, members: Iterable[Member], now: float) -> list[Action]:
        """Replace the members of the service, and end requests that no upstream can serve."""
        self._replace_members(members, now)
        return self._end_queued_without_upstream() + self._dispatch_ready(now)

    def record_departure(self, upstream: str, incarnation: int, now: float) -> list[Action]:
        """Record that another process saw an upstream leave."""
        if not self._membership.record_departure(upstream, incarnation):
            return []
        if upstream in self._loads:
            self._update_load(self._loads[upstream])
        return self._end_queued_without_upstream() + self._dispatch_ready(now)

    def set_evacuated(self, data_centres: frozenset[str] | None, now: float) -> list[Action]:
        """Stop sending to the upstreams of evacuated data centres, and use others again.

        Requests in flight there finish.

        Parameters
        ----------
        data_centres : frozenset of str or None
            Evacuated data centres; None while they are unknown, so that nothing is sent.
        now : float
            Present time.
        """
        self._replace_evacuated(data_centres, now)
        return self._end_queued_without_upstream() + self._dispatch_ready(now)

    def set_policy(self, policy: ServicePolicy, processes: int, now: float) -> list[Action]:
        """Apply new settings; requests already accepted are kept."""
        self._policy = policy
        self._processes = max(1, processes)
        self._requests.retry_after_s = policy.retry_after_s
        self._retry_budget.set_policy(policy.retries)
        self._long_work_limit.set_share(policy.limits.long_share, self._processes)
        self._router.slots = policy.slots_per_upstream
        self._concurrency_limit.set_maximum(self._router.count_slots())
        self._limit_cold()
        return self._dispatch_ready(now)

    def set_probing(self, probing: ProbePolicy, now: float) -> list[Action]:
        """Apply a new budget for background probes."""
        self._probe_planner.set_policy(probing, now)
        return self._dispatch_ready(now)

    def set_probe_share(self, share: float, now: float) -> list[Action]:
        """Set the share of the deployment's probe budget that this dispatcher may use, 0 to 1."""
        self._probe_planner.set_share(share, now)
        return self._dispatch_ready(now)

    def _make_refusal(self, request: RequestInfo, reason: OutcomeReason) -> Action:
        """Return the action that refuses a new request."""
        refusal = self._requests.refuse(request, reason)
        is_evacuated = reason is OutcomeReason.NO_UPSTREAM and self._membership.evacuated
        if not is_evacuated or not isinstance(refusal, Refuse):
            return refusal
        delay_s = max(refusal.retry_after_s, EVACUATED_RETRY_AFTER_S)
        return refusal._replace(retry_after_s=delay_s)

    def _find_refusal(self, request: RequestInfo, now: float) -> OutcomeReason | None:
        """Return the reason to refuse a new request immediately, or None to accept it."""
        if not self._router.count_usable():
            return OutcomeReason.NO_UPSTREAM
        return find_refusal(
            request,
            len(self._queues.get(request.work_class)),
            self._queues.total_bytes,
            self._in_flight[WorkClass.SHORT],
            self._policy.limits,
            self._ejector.mean_duration_s,
            now,
        )

    def _reclassify_overdue(self, now: float) -> None:
        """Reclassify short requests as long work if they have run for too long."""
        for key in self._overdue_tracker.pop_overdue(self._policy.limits.long_after_s, now):
            attempt = self._attempts.get(key)
            if attempt is None or attempt.is_long:
                continue
            attempt.is_long = True
            attempt.load.long_in_flight += 1
            self._in_flight[WorkClass.SHORT] -= 1
            self._in_flight[WorkClass.LONG] += 1
            self._ejector.record_overdue(attempt.health, attempt.started_at, now)

    def _release_attempt(self, ended: AttemptState, result: AttemptResult, now: float) -> None:
        """Free the capacity that an attempt took, and record how its upstream behaved."""
        load = ended.load
        load.in_flight -= 1
        self._in_flight[WorkClass.LONG if ended.is_long else WorkClass.SHORT] -= 1
        failed = is_upstream_failure(result)
        if result.status is AttemptStatus.REFUSED:
            load.paused_until = now + REFUSAL_PAUSE_S
        elif result.status is not AttemptStatus.CANCELLED:
            self._ejector.record_failure(ended.health, failed, now)
        if ended.is_long:
            load.long_in_flight -= 1
        elif result.status is AttemptStatus.ANSWERED and not failed:
            self._ejector.record_duration(ended.health, ended.started_at, now)
        else:
            self._ejector.stop_tracking(ended.health, ended.started_at)
        if load.member.upstream in self._loads:
            if result.is_draining:
                self._membership.record_departure(load.member.upstream, ended.incarnation)
                self._update_load(load)
            load.max_in_flight = self._ejector.count_allowed(load.member.upstream)

    def _enqueue(self, record: RequestState, now: float) -> list[Action]:  # noqa: ARG002
        """Queue a request; a retry goes ahead of requests that were never sent."""
        queue = self._queues.get(record.info.work_class)
        queue.push(record.info, is_retry=record.attempts > 0)
        return []

    def _end_expired(self, now: float) -> list[Action]:
        """End the queued requests whose deadlines have passed."""
        return self._requests.end_all(self._queues.pop_expired(now), OutcomeReason.QUEUE_TIMEOUT)

    def _end_queued_without_upstream(self) -> list[Action]:
        """End all queued requests if no upstream is usable."""
        waiting = [] if self._router.count_usable() else self._queues.pop_all()
        return self._requests.end_all(waiting, OutcomeReason.NO_UPSTREAM)

    def _dispatch_ready(self, now: float) -> list[Action]:
        """End expired requests, then send queued ones while limits allow, short work first."""
        actions = self._end_expired(now)
        for work_class in (WorkClass.SHORT, WorkClass.LONG):
            queue = self._queues.get(work_class)
            while (request := queue.peek()) is not None and self._has_room(work_class):
                record = self._requests.require(request.request_id)
                load = self._choose_upstream(record, now)
                if load is None:
                    break
                queue.remove(request.request_id)
                actions.append(self._send(record, load, now))
        return actions

    def _has_room(self, work_class: WorkClass) -> bool:
        """Return whether the limits of this process allow another request of a work class."""
        running = self._in_flight[work_class]
        if work_class is WorkClass.LONG:
            return running < self._long_work_limit.count_allowed(self._router.count_slots())
        return running < self._concurrency_limit.limit

    def _choose_upstream(self, record: RequestState, now: float) -> UpstreamLoad | None:
        """Return the upstream for a request, and eject unhealthy ones found on the way."""
        long_limit = None
        if record.info.work_class is WorkClass.LONG:
            long_limit = self._long_work_limit.count_allowed_per_upstream(self._router.slots)
        if self._router.are_all_ejected():
            # Departures may leave only ejected upstreams; these must then serve again.
            self._ejector.end_all(now)
            self._readmit(now)
        connections = max(1, self._policy.connections_per_upstream // self._processes)
        while True:
            load = self._router.choose(
                connections, record.tried_upstreams, long_limit, self._ejector.mean_duration_s, now
            )
            if load is None or not self._ejector.is_outlier(load.member.upstream, now):
                return load
            if self._ejector.count_ejectable(self._router.count_usable()) <= 0:
                return load
            self._ejector.eject(load.member.upstream, now)
            load.ejected = True

    def _send(self, record: RequestState, load: UpstreamLoad, now: float) -> Send:
        """Record the start of an attempt, and return the action that sends it."""
        request = record.info
        record.attempts += 1
        record.running.add(record.attempts)
        record.tried_upstreams |= {load.member.upstream}
        if record.attempts == 1:
            self._retry_budget.record_first_attempt()
        key = (request.request_id, record.attempts)
        health = load.health
        is_long = request.work_class is WorkClass.LONG
        self._attempts[key] = AttemptState(load, health, now, is_long)
        self._in_flight[request.work_class] += 1
        load.in_flight += 1
        load.last_sent_at = now
        if load.cold_gate is not None:
            load.cold_gate.record_send(now)
        load.sent_since_report += 1
        if is_long:
            load.long_in_flight += 1
        else:
            self._ejector.record_start(health, now)
            self._overdue_tracker.add(key, now)
        timeout_s = request.deadline - now
        return Send(*key, load.member.upstream, timeout_s, record.retry_reason)

    def _complete_or_retry(
        self, record: RequestState, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Complete the request, end it without success, or retry it, as the result demands."""
        request = record.info
        is_answer = result.status is AttemptStatus.ANSWERED
        if not proves_not_run(result):
            record.may_have_run = True
        reason = decide_retry(request, result, record.attempts, self._policy.retries, now)
        is_failure = is_upstream_failure(result)
        if is_answer and not (is_failure and record.running) and reason is None:
            return self._requests.complete(record, attempt)
        if is_answer:
            record.fallback_attempt = attempt
        if record.running:
            return []
        if reason is None:
            return self._requests.fail(record, describe_failure(result))
        # A draining upstream refuses all its requests at about the same time and gets no more,
        # so the retry budget may lend the tokens for this one burst.
        if not self._retry_budget.take(now, may_borrow=result.is_draining):
            return self._requests.fail(record, OutcomeReason.RETRY_BUDGET)
        record.retry_reason = reason
        if not self._router.count_usable():
            return self._requests.fail(record, OutcomeReason.NO_UPSTREAM)
        return self._enqueue(record, now)
