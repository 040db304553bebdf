"""Dispatcher: joins the parts of the decision core for one service and entry process."""

from collections.abc import Iterable

from .actions import (
    Action,
    AttemptResult,
    AttemptStatus,
    LoadReport,
    Member,
    Probe,
    RequestInfo,
    Send,
    UpstreamState,
    UpstreamView,
    WorkClass,
)
from .attempts import AttemptState, RequestState, describe_failure, is_upstream_failure
from .ejection import Ejector
from .limits import ConcurrencyLimit, find_refusal
from .long_work import LongWorkLimit, OverdueTracker
from .membership import Departure, Membership
from .outcomes import OutcomeReason
from .policy import ProbePolicy, ServicePolicy
from .probing import ProbePlanner
from .queueing import ClassQueues
from .request_table import RequestTable, cancel_attempts
from .retries import RetryBudget, decide_retry, proves_not_run
from .routing import REFUSAL_PAUSE_S, Router, UpstreamLoad

__all__ = ["Dispatcher"]


class Dispatcher:
    """Decides where and when requests of one service run. Pure: no I/O, no clock.

    Each submitted request ends with exactly one `Complete` or `Refuse`. For a
    response that carries a load report, call `report` before `finish`, so that
    a retry after a refusal already knows the state of the upstream.

    Parameters
    ----------
    policy : ServicePolicy
        Settings of the service.
    probing : ProbePolicy
        Budget of the deployment for measuring load.
    data_centre : str
        Data centre of this process.
    seed : int
        Seed of random choices.
    processes : int
        Entry processes among which the connections to one upstream are divided.
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
        self._policy = policy
        self._processes = max(1, processes)
        self._membership = Membership()
        self._router = Router(data_centre, policy.slots_per_upstream, seed)
        self._ejector = Ejector(seed)
        self._planner = ProbePlanner(probing)
        self._retry_budget = RetryBudget(policy.retries)
        self._concurrency_limit = ConcurrencyLimit(policy.slots_per_upstream)
        self._long_limit = LongWorkLimit(policy.limits.long_share, self._processes)
        self._overdue_tracker = OverdueTracker()
        self._loads: dict[str, UpstreamLoad] = {}
        self._requests = RequestTable(policy.retry_after_s)
        self._attempts: dict[tuple[int, int], AttemptState] = {}
        self._queues = ClassQueues()
        self._in_flight = {WorkClass.SHORT: 0, WorkClass.LONG: 0}

    def submit(self, request: RequestInfo, now: float) -> list[Action]:
        """Accept a new request: it is sent, queued or refused.

        Raises
        ------
        ValueError
            If a request with the same identifier has not ended.
        """
        self._requests.check_new(request)
        self._reclassify_overdue(now)
        actions = self._end_expired(now)
        reason = self._find_refusal(request, now)
        if reason is not None:
            actions.append(self._requests.refuse(request, reason))
            return actions
        actions += self._enqueue(self._requests.add(request), now)
        return actions + self._dispatch_ready(now)

    def finish(
        self, request_id: int, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Record the end of an attempt: the request is completed, refused or sent again."""
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

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:
        """Record a load report, from a response or from a probe."""
        before = self._membership.members.get(upstream)
        if not self._membership.note_state(upstream, report.state, report.incarnation):
            return []
        load = self._loads[upstream]
        if before is not None and before.incarnation != report.incarnation:
            load.health = self._ejector.add(upstream, on_trial=True)
        # A response frees the slot of its own request before it carries the report.
        own = load.in_flight if load.probe_pending else max(0, load.in_flight - 1)
        load.probe_pending = False
        load.record_report(report, own, now)
        self._concurrency_limit.record_queue_length(
            report.queued, report.slots, self._in_flight[WorkClass.SHORT], self._ejector.mean_s, now
        )
        self._update_load(load)
        return self._end_queued_without_upstream() + self._dispatch_ready(now)

    def report_probe_failure(self, upstream: str, now: float) -> list[Action]:
        """Record that a probe brought no report."""
        load = self._loads.get(upstream)
        if load is not None:
            load.probe_pending = False
        return self._dispatch_ready(now)

    def abandon(self, request_id: int, now: float) -> list[Action]:
        """End a request whose caller went away."""
        record = self._requests.get(request_id)
        if record is None:
            return []
        self._queues.get(record.info.work_class).remove(request_id)
        if record.running:
            record.may_have_run = True
        actions = cancel_attempts(record)
        actions.append(self._requests.end(record, OutcomeReason.CALLER_GONE))
        return actions + self._end_expired(now)

    def tick(self, now: float) -> list[Action]:
        """Act on timers that are due."""
        self._reclassify_overdue(now)
        self._readmit(now)
        actions = self._dispatch_ready(now)
        probed = self._planner.plan(self._loads.values(), now)
        if probed is not None:
            self._loads[probed].probe_pending = True
            actions.append(Probe(probed))
        return actions

    def get_next_tick_time(self, now: float) -> float | None:
        """Return the time of the next timer, or None."""
        times = (
            self._queues.get_next_deadline(),
            self._ejector.next_readmission(),
            self._planner.get_next_probe_time(),
        )
        return min((max(now, time) for time in times if time is not None), default=None)

    def set_members(self, members: Iterable[Member], now: float) -> list[Action]:
        """Replace the host list of the service."""
        is_first = not self._membership.members
        before = dict(self._membership.members)
        self._membership.set_members(members)
        for upstream in before.keys() - self._membership.members.keys():
            self._loads.pop(upstream).usable = False
            self._ejector.remove(upstream)
        for upstream, member in self._membership.members.items():
            known = before.get(upstream)
            if known is None:
                self._loads[upstream] = self._router.make_load(member)
            if known is None or known.incarnation != member.incarnation:
                # A process that has just started must not treat all upstreams as new.
                on_trial = not is_first or member.state is UpstreamState.COLD
                self._loads[upstream].health = self._ejector.add(upstream, on_trial)
        self._router.set_loads(self._loads.values())
        for load in self._loads.values():
            self._update_load(load)
        self._concurrency_limit.set_maximum(self._router.count_slots())
        return self._end_queued_without_upstream() + self._dispatch_ready(now)

    def record_departure(self, upstream: str, incarnation: int, now: float) -> list[Action]:
        """Record a departure that another process has seen."""
        if not self._membership.depart(upstream, incarnation):
            return []
        if upstream in self._loads:
            self._update_load(self._loads[upstream])
        return self._end_queued_without_upstream() + self._dispatch_ready(now)

    def list_departures(self) -> list[Departure]:
        """Return the departures known so far, for the exchange with other processes."""
        return self._membership.list_departures()

    def set_policy(self, policy: ServicePolicy, processes: int, now: float) -> list[Action]:
        """Use other settings from now on; requests already accepted are kept."""
        self._policy = policy
        self._processes = max(1, processes)
        self._requests.retry_after_s = policy.retry_after_s
        self._retry_budget.set_policy(policy.retries)
        self._long_limit.set_share(policy.limits.long_share, self._processes)
        self._router.slots = policy.slots_per_upstream
        self._concurrency_limit.set_maximum(self._router.count_slots())
        return self._dispatch_ready(now)

    def set_probing(self, probing: ProbePolicy, now: float) -> list[Action]:
        """Use another budget for measuring load."""
        self._planner.set_policy(probing, now)
        return self._dispatch_ready(now)

    def set_probe_share(self, share: float, now: float) -> list[Action]:
        """Set the part of the deployment's probe budget that this dispatcher may spend, 0 to 1."""
        self._planner.set_share(share, now)
        return self._dispatch_ready(now)

    def snapshot(self, now: float) -> list[UpstreamView]:
        """Return what is known of each upstream."""
        return [load.describe(now) for load in self._loads.values()]

    def _update_load(self, load: UpstreamLoad) -> None:
        """Copy the state of the member and the verdict on it to its load record."""
        upstream = load.member.upstream
        load.member = self._membership.members[upstream]
        was_usable = load.usable
        load.usable = self._membership.is_usable(upstream)
        load.ejected = self._ejector.is_ejected(upstream)
        load.max_in_flight = self._ejector.count_allowed(upstream)
        if was_usable != load.usable:
            self._concurrency_limit.set_maximum(self._router.count_slots())

    def _find_refusal(self, request: RequestInfo, now: float) -> OutcomeReason | None:
        """Return why a new request is refused at once, or None."""
        if not self._router.count_usable():
            return OutcomeReason.NO_UPSTREAM
        return find_refusal(
            request,
            len(self._queues.get(request.work_class)),
            self._queues.total_bytes,
            self._in_flight[WorkClass.SHORT],
            self._policy.limits,
            self._ejector.mean_s,
            now,
        )

    def _reclassify_overdue(self, now: float) -> None:
        """Count short requests that run for too long as long work."""
        for key in self._overdue_tracker.pop_overdue(self._policy.limits.long_after_s, now):
            attempt = self._attempts.get(key)
            if attempt is None or attempt.is_long:
                continue
            attempt.is_long = True
            attempt.load.long_in_flight += 1
            self._in_flight[WorkClass.SHORT] -= 1
            self._in_flight[WorkClass.LONG] += 1
            self._ejector.note_overdue(attempt.health, attempt.started_at, now)

    def _release_attempt(self, ended: AttemptState, result: AttemptResult, now: float) -> None:
        """Give back what an attempt held, and judge its upstream."""
        load = ended.load
        load.in_flight -= 1
        self._in_flight[WorkClass.LONG if ended.is_long else WorkClass.SHORT] -= 1
        failed = is_upstream_failure(result)
        if result.status is AttemptStatus.REFUSED:
            load.paused_until = now + REFUSAL_PAUSE_S
        elif result.status is not AttemptStatus.CANCELLED:
            self._ejector.note_failure(ended.health, failed, now)
        if ended.is_long:
            load.long_in_flight -= 1
        elif result.status is AttemptStatus.ANSWERED and not failed:
            self._ejector.note_duration(ended.health, ended.started_at, now)
        else:
            self._ejector.stop_watching(ended.health, ended.started_at)
        if load.member.upstream in self._loads:
            if result.is_draining:
                self._membership.depart(load.member.upstream, ended.incarnation)
                self._update_load(load)
            load.max_in_flight = self._ejector.count_allowed(load.member.upstream)

    def _enqueue(self, record: RequestState, now: float) -> list[Action]:  # noqa: ARG002
        """Let a request wait for an upstream; one that was sent before goes ahead."""
        queue = self._queues.get(record.info.work_class)
        queue.push(record.info, in_progress=record.attempts > 0)
        return []

    def _end_expired(self, now: float) -> list[Action]:
        """End the queued requests whose deadline has passed."""
        return self._requests.end_all(self._queues.pop_expired(now), OutcomeReason.QUEUE_TIMEOUT)

    def _end_queued_without_upstream(self) -> list[Action]:
        """End the queued requests when no upstream is left to serve them."""
        waiting = [] if self._router.count_usable() else self._queues.pop_all()
        return self._requests.end_all(waiting, OutcomeReason.NO_UPSTREAM)

    def _dispatch_ready(self, now: float) -> list[Action]:
        """Send queued requests while upstreams accept them, short work first."""
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
        """Return whether the limits allow another request of this class."""
        running = self._in_flight[work_class]
        if work_class is WorkClass.LONG:
            return running < self._long_limit.count_allowed(self._router.count_slots())
        return running < self._concurrency_limit.limit

    def _choose_upstream(self, record: RequestState, now: float) -> UpstreamLoad | None:
        """Return the upstream for a request, ejecting those that prove bad."""
        long_limit = None
        if record.info.work_class is WorkClass.LONG:
            long_limit = self._long_limit.count_allowed_at(self._router.slots)
        if self._router.are_all_ejected():
            # Departures can leave only upstreams that were ejected before.
            self._ejector.end_all(now)
            self._readmit(now)
        connections = max(1, self._policy.connections_per_upstream // self._processes)
        while True:
            load = self._router.choose(
                connections, record.tried_upstreams, long_limit, self._ejector.mean_s, now
            )
            if load is None or not self._ejector.is_bad(load.member.upstream, now):
                return load
            if self._ejector.count_removable(self._router.count_usable()) <= 0:
                return load
            self._ejector.eject(load.member.upstream, now)
            load.ejected = True

    def _readmit(self, now: float) -> None:
        """Bring back the upstreams whose ejection is over."""
        for upstream in self._ejector.readmit_due(now):
            self._update_load(self._loads[upstream])

    def _send(self, record: RequestState, load: UpstreamLoad, now: float) -> Send:
        """Start an attempt."""
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
        load.sent_since_report += 1
        if is_long:
            load.long_in_flight += 1
        else:
            self._ejector.note_start(health, now)
            self._overdue_tracker.add(key, now)
        timeout_s = request.deadline - now
        return Send(*key, load.member.upstream, timeout_s, record.retry_reason)

    def _complete_or_retry(
        self, record: RequestState, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """End the request after an attempt, or queue it again."""
        request = record.info
        is_answer = result.status is AttemptStatus.ANSWERED
        if not proves_not_run(result.status):
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
        # Requests at an upstream that leaves are refused together, and none follow them there.
        if not self._retry_budget.take(now, may_borrow=result.is_draining):
            return self._requests.fail(record, OutcomeReason.RETRY_BUDGET)
        record.retry_reason = reason
        if not self._router.count_usable():
            return self._requests.fail(record, OutcomeReason.NO_UPSTREAM)
        return self._enqueue(record, now)
