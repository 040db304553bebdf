"""Seeded event-driven model of callers, entry hosts and upstreams at the interface.

The model drives the real `Dispatcher` class in virtual time. Arrivals, service
times and faults are drawn from the seed in an order that does not depend on
the balancer, so that balancers are compared on the same sequence of work.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from amaranthbend.core.actions import (
    Action,
    AttemptResult,
    AttemptStatus,
    Cancel,
    Complete,
    LoadReport,
    Member,
    Probe,
    Refuse,
    RequestInfo,
    Send,
    UpstreamState,
)

from .scenario import Balancer, Fault, Scenario, Traffic

__all__ = ["BalancerFactory", "Model", "RequestRecord", "Upstream"]

# Bytes of one probe and its response, headers included.
PROBE_BYTES = 400
# Time in which an upstream answers a probe, when it is not stalled.
PROBE_SERVICE_S = 0.0002
# Delay between hosts of the same data centre.
LOCAL_DELAY_S = 0.0002
ANSWERED = AttemptResult(AttemptStatus.ANSWERED, 200)
FAILED_FAST = AttemptResult(AttemptStatus.ANSWERED, 500)
CANCELLED = AttemptResult(AttemptStatus.CANCELLED)


class RequestRecord:
    """What happened to one request."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "done_at",
        "failed",
        "is_long",
        "refused",
        "service_s",
        "started_at",
        "transfer_s",
    )

    def __init__(self, arrived_at: float, service_s: float, is_long: bool) -> None:
        self.arrived_at = arrived_at
        self.service_s = service_s
        self.is_long = is_long
        self.attempts = 0
        self.started_at = 0.0
        self.transfer_s = 0.0
        self.done_at: float | None = None
        self.refused = False
        self.failed = False

    @property
    def queueing_s(self) -> float:
        """Time spent waiting at the entry process and at the upstream."""
        return max(0.0, self.started_at - self.arrived_at - self.transfer_s)


class _Job:
    """One attempt at an upstream."""

    __slots__ = ("attempt", "cancelled", "host", "lost_seen", "record", "request_id")

    def __init__(self, host: "_Host", request_id: int, attempt: int, record: RequestRecord) -> None:
        self.host = host
        self.request_id = request_id
        self.attempt = attempt
        self.record = record
        self.cancelled = False
        self.lost_seen = 0.0


class Upstream:
    """An upstream with slots and a queue in order of arrival."""

    __slots__ = (
        "arriving",
        "data_centre",
        "factor",
        "failing",
        "lost_s",
        "misleading",
        "name",
        "past",
        "queue",
        "running",
        "slots",
        "stalled_until",
        "state",
    )

    def __init__(self, name: str, slots: int, data_centre: str) -> None:
        self.name = name
        self.slots = slots
        self.data_centre = data_centre
        self.running = 0
        self.arriving = 0
        self.queue: deque[_Job] = deque()
        self.factor = 1.0
        self.lost_s = 0.0
        self.stalled_until = 0.0
        self.misleading = False
        self.failing = False
        self.state = UpstreamState.SERVING
        self.past: deque[tuple[float, LoadReport]] = deque()

    @property
    def true_load(self) -> int:
        """Requests running, waiting or on their way."""
        return self.running + len(self.queue) + self.arriving

    def make_report(self, now: float, lag_s: float) -> LoadReport:
        """Return the report, which may lag behind or mislead."""
        if self.misleading:
            return LoadReport(0, 0, self.slots, UpstreamState.SERVING, 1)
        report = LoadReport(self.running, len(self.queue), self.slots, self.state, 1)
        if lag_s <= 0.0:
            return report
        self.past.append((now, report))
        while len(self.past) > 1 and self.past[1][0] <= now - lag_s:
            self.past.popleft()
        return self.past[0][1]


class _Host:
    """An entry host with one balancer."""

    __slots__ = ("balancer", "data_centre", "jobs", "name", "tick_at")

    def __init__(self, name: str, data_centre: str, balancer: Balancer) -> None:
        self.name = name
        self.data_centre = data_centre
        self.balancer = balancer
        self.jobs: dict[int, _Job] = {}
        self.tick_at: float | None = None


BalancerFactory = Callable[[int, str, tuple[Member, ...], dict[str, Upstream]], Balancer]


class Model:
    """One run of a scenario.

    Parameters
    ----------
    scenario : Scenario
        What happens.
    seed : int
        Seed of arrivals, service times and delays.
    make_balancer : BalancerFactory
        Makes the balancer of one host from its index, data centre, the members and the upstreams.
    """

    def __init__(self, scenario: Scenario, seed: int, make_balancer: BalancerFactory) -> None:
        self.scenario = scenario
        self.records: list[RequestRecord] = []
        self.probes: list[tuple[float, str]] = []
        self._random = random.Random(seed)
        self._delays = random.Random(seed + 1)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0
        self._open = 0
        self.now = 0.0
        self.upstreams = {
            f"u{n}": Upstream(f"u{n}", scenario.slots, f"dc{n % scenario.data_centres}")
            for n in range(scenario.upstreams)
        }
        for n in scenario.cold:
            self.upstreams[f"u{n}"].state = UpstreamState.COLD
        members = tuple(
            Member(upstream.name, upstream.name, upstream.data_centre, 1, upstream.state)
            for upstream in self.upstreams.values()
        )
        self._hosts: list[_Host] = []
        for n in range(scenario.hosts):
            data_centre = f"dc{n % scenario.data_centres}"
            balancer = make_balancer(n, data_centre, members, self.upstreams)
            self._hosts.append(_Host(f"h{n}", data_centre, balancer))

    def run(self) -> "Model":
        """Run until all work has ended, and return the model itself."""
        for traffic in self.scenario.traffic:
            self._schedule_arrival(traffic)
        for fault in self.scenario.faults:
            self._at(fault.start, self._begin_fault, fault)
            self._at(fault.end, self._end_fault, fault)
        # Timers for probes never end by themselves.
        while self._events and (self.now < self.scenario.duration_s or self._open):
            time, _, function, arguments = heapq.heappop(self._events)
            self.now = time
            function(*arguments)
        return self

    def _at(self, time: float, function: Callable[..., None], *arguments: Any) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, function, arguments))

    def _get_demand_factor(self, traffic: Traffic) -> float:
        for start, end, factor in traffic.peaks:
            if start <= self.now < end:
                return factor
        return 1.0

    def _schedule_arrival(self, traffic: Traffic) -> None:
        if not traffic.load:
            return
        rate = traffic.load * self.scenario.capacity / traffic.mean_s
        rate *= self._get_demand_factor(traffic)
        time = self.now + self._random.expovariate(rate)
        if time < self.scenario.duration_s:
            self._at(time, self._arrive, traffic)

    def _draw_service(self, traffic: Traffic) -> float:
        if not traffic.heavy:
            return self._random.expovariate(1.0 / traffic.mean_s)
        # One request in ten is on average 7.7 times as long as the others; the mean is the same.
        is_heavy = self._random.random() < 0.1
        factor = 4.6 if is_heavy else 0.6
        return self._random.expovariate(1.0 / (traffic.mean_s * factor))

    def _arrive(self, traffic: Traffic) -> None:
        host = self._hosts[self._random.randrange(len(self._hosts))]
        record = RequestRecord(self.now, self._draw_service(traffic), traffic.is_long)
        request_id = len(self.records)
        self.records.append(record)
        self._open += 1
        self._schedule_arrival(traffic)
        request = RequestInfo(
            request_id, "route", True, traffic.declared, self.now + traffic.deadline_s
        )
        self._perform(host, host.balancer.submit(request, self.now))

    def _perform(self, host: _Host, actions: list[Action]) -> None:
        """Carry out the actions of one host, and schedule its timer."""
        for action in actions:
            if isinstance(action, Send):
                self._send(host, action)
            elif isinstance(action, Complete):
                self._complete(action)
            elif isinstance(action, Refuse):
                self.records[action.request_id].refused = True
                self._open -= 1
            elif isinstance(action, Probe):
                self._probe(host, action.upstream)
            elif isinstance(action, Cancel):
                host.jobs[action.request_id].cancelled = True
        wake = host.balancer.get_next_tick_time(self.now)
        if wake is not None and (host.tick_at is None or wake < host.tick_at):
            host.tick_at = wake
            self._at(wake, self._tick, host, wake)

    def _complete(self, action: Complete) -> None:
        record = self.records[action.request_id]
        record.done_at = self.now
        self._open -= 1
        record.failed = record.failed or action.reason is not None

    def _tick(self, host: _Host, time: float) -> None:
        if host.tick_at != time:
            return
        host.tick_at = None
        self._perform(host, host.balancer.tick(self.now))

    def _draw_delay(self, host: _Host, upstream: Upstream) -> float:
        is_local = host.data_centre == upstream.data_centre
        base = LOCAL_DELAY_S if is_local else self.scenario.remote_delay_s
        return base * (0.9 + 0.2 * self._delays.random())

    def _send(self, host: _Host, action: Send) -> None:
        upstream = self.upstreams[action.upstream]
        record = self.records[action.request_id]
        record.attempts += 1
        job = _Job(host, action.request_id, action.attempt, record)
        host.jobs[action.request_id] = job
        delay = self._draw_delay(host, upstream)
        record.transfer_s = delay
        upstream.arriving += 1
        self._at(self.now + delay, self._reach_upstream, upstream, job)

    def _reach_upstream(self, upstream: Upstream, job: _Job) -> None:
        upstream.arriving -= 1
        if upstream.failing:
            job.record.failed = True
            job.record.started_at = self.now
            self._answer(upstream, job, FAILED_FAST)
        elif upstream.running < upstream.slots:
            self._start(upstream, job)
        else:
            upstream.queue.append(job)

    def _start(self, upstream: Upstream, job: _Job) -> None:
        upstream.running += 1
        job.record.started_at = self.now
        job.lost_seen = upstream.lost_s
        stall = max(0.0, upstream.stalled_until - self.now)
        duration = job.record.service_s * upstream.factor
        self._at(self.now + stall + duration, self._end_service, upstream, job)

    def _end_service(self, upstream: Upstream, job: _Job) -> None:
        if upstream.lost_s > job.lost_seen:
            lost = upstream.lost_s - job.lost_seen
            job.lost_seen = upstream.lost_s
            self._at(self.now + lost, self._end_service, upstream, job)
            return
        upstream.running -= 1
        while upstream.queue and upstream.running < upstream.slots:
            following = upstream.queue.popleft()
            if following.cancelled:
                self._answer(upstream, following, CANCELLED)
                continue
            self._start(upstream, following)
        self._answer(upstream, job, CANCELLED if job.cancelled else ANSWERED)

    def _answer(self, upstream: Upstream, job: _Job, result: AttemptResult) -> None:
        report = upstream.make_report(self.now, self.scenario.report_lag_s)
        delay = self._draw_delay(job.host, upstream)
        self._at(self.now + delay, self._receive, upstream, job, result, report)

    def _receive(
        self, upstream: Upstream, job: _Job, result: AttemptResult, report: LoadReport
    ) -> None:
        host = job.host
        actions = host.balancer.report(upstream.name, report, self.now)
        actions += host.balancer.finish(job.request_id, job.attempt, result, self.now)
        self._perform(host, actions)

    def _probe(self, host: _Host, name: str) -> None:
        self.probes.append((self.now, name))
        upstream = self.upstreams[name]
        delay = self._draw_delay(host, upstream) + PROBE_SERVICE_S
        self._at(self.now + delay, self._answer_probe, host, upstream)

    def _answer_probe(self, host: _Host, upstream: Upstream) -> None:
        if upstream.stalled_until > self.now:
            self._at(upstream.stalled_until, self._answer_probe, host, upstream)
            return
        report = upstream.make_report(self.now, self.scenario.report_lag_s)
        delay = self._draw_delay(host, upstream)
        self._at(self.now + delay, self._receive_probe, host, upstream.name, report)

    def _receive_probe(self, host: _Host, name: str, report: LoadReport) -> None:
        self._perform(host, host.balancer.report(name, report, self.now))

    def _begin_fault(self, fault: Fault) -> None:
        for n in fault.upstreams:
            upstream = self.upstreams[f"u{n}"]
            if fault.kind == "slow":
                upstream.factor = fault.factor
            elif fault.kind == "stall":
                upstream.lost_s += fault.end - fault.start
                upstream.stalled_until = fault.end
            elif fault.kind == "mislead":
                upstream.misleading = True
            elif fault.kind == "fail":
                upstream.failing = True

    def _end_fault(self, fault: Fault) -> None:
        for n in fault.upstreams:
            upstream = self.upstreams[f"u{n}"]
            if fault.kind == "slow":
                upstream.factor = 1.0
            elif fault.kind == "mislead":
                upstream.misleading = False
            elif fault.kind == "fail":
                upstream.failing = False
