"""Dispatcher: joins the parts of the decision core for one service and entry process."""

from collections.abc import Iterable

from .actions import (
    Action,
    AttemptResult,
    AttemptStatus,
    Cancel,
    Complete,
    LoadReport,
    Member,
    Refuse,
    RequestInfo,
    Send,
    UpstreamView,
    WorkClass,
)
from .membership import Departure, Membership
from .outcomes import Outcome, OutcomeReason, RetryReason
from .policy import ProbePolicy, ServicePolicy
from .queueing import RequestQueue
from .retries import RetryBudget, decide_retry, proves_not_run
from .routing import Router, UpstreamLoad

__all__ = ["Dispatcher"]

# Callers are asked to come back after this time; the entry process adds jitter.
RETRY_AFTER_S = 1.0


class _Request:
    """State of a request that has not ended."""

    __slots__ = ("attempts", "info", "may_have_run", "retry_reason", "running", "tried")

    def __init__(self, info: RequestInfo) -> None:
        self.info = info
        self.attempts = 0
        self.running = False
        self.may_have_run = False
        self.retry_reason: RetryReason | None = None
        self.tried: frozenset[str] = frozenset()


class _Attempt:
    """One attempt that holds a connection, also after its request has ended."""

    __slots__ = ("is_long", "load", "started_at")

    def __init__(self, load: UpstreamLoad, started_at: float, is_long: bool) -> None:
        self.load = load
        self.started_at = started_at
        self.is_long = is_long


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
        self._probing = probing
        self._data_centre = data_centre
        self._processes = max(1, processes)
        self._probe_share = 0.0
        self._membership = Membership()
        self._router = Router(seed)
        self._budget = RetryBudget(policy.retries)
        self._loads: dict[str, UpstreamLoad] = {}
        self._requests: dict[int, _Request] = {}
        self._attempts: dict[tuple[int, int], _Attempt] = {}
        self._queues = {WorkClass.SHORT: RequestQueue(), WorkClass.LONG: RequestQueue()}

    def submit(self, request: RequestInfo, now: float) -> list[Action]:
        """Accept a new request: it is sent, queued or refused.

        Raises
        ------
        ValueError
            If a request with the same identifier has not ended.
        """
        if request.request_id in self._requests:
            raise ValueError(f"request {request.request_id} is already submitted; use a new id")
        if now >= request.deadline:
            return [Refuse(request.request_id, OutcomeReason.DEADLINE_UNREACHABLE, RETRY_AFTER_S)]
        if not any(load.usable for load in self._loads.values()):
            return [Refuse(request.request_id, OutcomeReason.NO_UPSTREAM, RETRY_AFTER_S)]
        actions = self._expire(now)
        if self._count_waiting() >= self._policy.limits.queue_length:
            actions.append(Refuse(request.request_id, OutcomeReason.QUEUE_FULL, RETRY_AFTER_S))
            return actions
        self._requests[request.request_id] = _Request(request)
        self._queues[request.work_class].push(request)
        actions += self._drain(now)
        return actions

    def finish(
        self, request_id: int, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Record the end of an attempt: the request is completed, refused or sent again."""
        ended = self._attempts.pop((request_id, attempt), None)
        if ended is None:
            return []
        ended.load.in_flight -= 1
        if ended.is_long:
            ended.load.long_in_flight -= 1
        actions: list[Action] = []
        record = self._requests.get(request_id)
        if record is not None and record.running and record.attempts == attempt:
            record.running = False
            actions += self._settle(record, result, now)
        return actions + self._drain(now)

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:
        """Record a load report, from a response or from a probe."""
        if not self._membership.note_state(upstream, report.state, report.incarnation):
            return []
        load = self._loads[upstream]
        load.report = report
        load.report_at = now
        self._refresh(load)
        return self._refuse_all_if_unusable() + self._drain(now)

    def probe_failed(self, upstream: str, now: float) -> list[Action]:
        """Record that a probe brought no report, which makes the last report worthless."""
        load = self._loads.get(upstream)
        if load is not None:
            load.report = None
        return self._drain(now)

    def abandon(self, request_id: int, now: float) -> list[Action]:
        """End a request whose caller went away."""
        record = self._requests.get(request_id)
        if record is None:
            return []
        self._queues[record.info.work_class].remove(request_id)
        actions: list[Action] = []
        if record.running:
            record.may_have_run = True
            actions.append(Cancel(request_id, record.attempts))
        actions.append(self._end(record, OutcomeReason.CALLER_GONE))
        return actions + self._expire(now)

    def tick(self, now: float) -> list[Action]:
        """Act on timers that are due."""
        return self._expire(now) + self._drain(now)

    def next_tick(self, now: float) -> float | None:
        """Return the time of the next timer, or None."""
        times = [queue.next_deadline() for queue in self._queues.values()]
        return min((max(now, time) for time in times if time is not None), default=None)

    def set_members(self, members: Iterable[Member], now: float) -> list[Action]:
        """Replace the host list of the service."""
        self._membership.set_members(members)
        known = self._membership.members
        for upstream in list(self._loads):
            if upstream not in known:
                self._loads.pop(upstream).usable = False
        for upstream, member in known.items():
            if upstream not in self._loads:
                self._loads[upstream] = UpstreamLoad(member)
            self._refresh(self._loads[upstream])
        return self._refuse_all_if_unusable() + self._drain(now)

    def depart(self, upstream: str, incarnation: int, now: float) -> list[Action]:
        """Record a departure that another process has seen."""
        if not self._membership.depart(upstream, incarnation):
            return []
        if upstream in self._loads:
            self._refresh(self._loads[upstream])
        return self._refuse_all_if_unusable() + self._drain(now)

    def list_departures(self) -> list[Departure]:
        """Return the departures known so far, for the exchange with other processes."""
        return self._membership.list_departures()

    def set_policy(self, policy: ServicePolicy, now: float) -> list[Action]:
        """Use other settings from now on; requests already accepted are kept."""
        self._policy = policy
        self._budget.set_policy(policy.retries)
        return self._drain(now)

    def set_probe_share(self, share: float, now: float) -> list[Action]:
        """Set the part of the deployment's probe budget that this dispatcher may spend, 0 to 1."""
        self._probe_share = share
        return self._drain(now)

    def snapshot(self, now: float) -> list[UpstreamView]:
        """Return what is known of each upstream."""
        views: list[UpstreamView] = []
        for load in self._loads.values():
            age = None if load.report is None else now - load.report_at
            views.append(
                UpstreamView(load.member, load.in_flight, load.report, age, not load.usable)
            )
        return views

    def _count_waiting(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def _refresh(self, load: UpstreamLoad) -> None:
        """Copy the state of the member to its load record."""
        load.member = self._membership.members[load.member.upstream]
        load.usable = self._membership.is_usable(load.member.upstream)

    def _expire(self, now: float) -> list[Action]:
        """End the queued requests whose deadline has passed."""
        actions: list[Action] = []
        for queue in self._queues.values():
            for request_id in queue.pop_expired(now):
                actions.append(self._end(self._requests[request_id], OutcomeReason.QUEUE_TIMEOUT))
        return actions

    def _refuse_all_if_unusable(self) -> list[Action]:
        """End the queued requests when no upstream is left to serve them."""
        if any(load.usable for load in self._loads.values()):
            return []
        actions: list[Action] = []
        for queue in self._queues.values():
            while (request := queue.peek()) is not None:
                queue.remove(request.request_id)
                record = self._requests[request.request_id]
                actions.append(self._end(record, OutcomeReason.NO_UPSTREAM))
        return actions

    def _drain(self, now: float) -> list[Action]:
        """Send queued requests while upstreams accept them, short work first."""
        actions: list[Action] = []
        for work_class in (WorkClass.SHORT, WorkClass.LONG):
            queue = self._queues[work_class]
            while (request := queue.peek()) is not None:
                if now >= request.deadline:
                    queue.remove(request.request_id)
                    record = self._requests[request.request_id]
                    actions.append(self._end(record, OutcomeReason.QUEUE_TIMEOUT))
                    continue
                record = self._requests[request.request_id]
                load = self._router.choose(
                    self._loads.values(), self._connection_limit(), record.tried
                )
                if load is None:
                    break
                queue.remove(request.request_id)
                actions.append(self._send(record, load, now))
        return actions

    def _connection_limit(self) -> int:
        return max(1, self._policy.connections_per_upstream // self._processes)

    def _send(self, record: _Request, load: UpstreamLoad, now: float) -> Send:
        """Start an attempt."""
        request = record.info
        record.attempts += 1
        record.running = True
        record.tried |= {load.member.upstream}
        if record.attempts == 1:
            self._budget.note_first_attempt()
        is_long = request.work_class is WorkClass.LONG
        load.in_flight += 1
        if is_long:
            load.long_in_flight += 1
        self._attempts[request.request_id, record.attempts] = _Attempt(load, now, is_long)
        return Send(
            request.request_id,
            record.attempts,
            load.member.upstream,
            request.deadline - now,
            record.retry_reason,
        )

    def _settle(self, record: _Request, result: AttemptResult, now: float) -> list[Action]:
        """End the request after an attempt, or queue it again."""
        request = record.info
        if result.status is AttemptStatus.ANSWERED:
            del self._requests[request.request_id]
            return [Complete(request.request_id, Outcome.ANSWERED)]
        if not proves_not_run(result.status):
            record.may_have_run = True
        reason = decide_retry(request, result, record.attempts, self._policy.retries, now)
        if reason is None:
            return [self._end(record, _describe_failure(result))]
        if not self._budget.take(now):
            return [self._end(record, OutcomeReason.RETRY_BUDGET)]
        record.retry_reason = reason
        if not any(load.usable for load in self._loads.values()):
            return [self._end(record, OutcomeReason.NO_UPSTREAM)]
        self._queues[request.work_class].push(request, in_progress=True)
        return []

    def _end(self, record: _Request, reason: OutcomeReason) -> Action:
        """End a request that has no complete answer."""
        request_id = record.info.request_id
        del self._requests[request_id]
        if record.may_have_run:
            return Complete(request_id, Outcome.UNKNOWN, reason)
        return Refuse(request_id, reason, RETRY_AFTER_S)


def _describe_failure(result: AttemptResult) -> OutcomeReason:
    """Return the reason that the caller gets for a failed attempt."""
    if result.status is AttemptStatus.REFUSED:
        return OutcomeReason.UPSTREAM_REFUSED
    if result.status is AttemptStatus.NEVER_CONNECTED:
        return result.reason or OutcomeReason.UPSTREAM_UNREACHABLE
    return result.reason or OutcomeReason.UPSTREAM_FAILED
