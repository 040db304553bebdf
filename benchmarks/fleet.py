"""Model of a large deployment: many hosts with few requests each, in virtual time.

Each host runs the same dispatcher as a node process. Upstreams have slots and a queue, and share
their machines: at any time a quarter of them is five times slower, which changes several times a
second. `python -m benchmarks.fleet --hosts 312 --upstreams 270` prints the figures of one run.
"""

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

import fire
import xxhash

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
    WorkClass,
)
from amaranthbend.core.policy import ProbePolicy, RequestProbePolicy, RetryPolicy, ServicePolicy
from amaranthbend.core.probing_dispatcher import ProbingDispatcher

__all__ = [
    "AttemptKey",
    "FleetModel",
    "FleetResult",
    "FleetSettings",
    "ModelUpstream",
    "run_fleet_model",
]

NETWORK_DELAY_S = 0.001
# Upstreams close connections that were idle for this long.
IDLE_TIMEOUT_S = 10.0
SLOW_MACHINES_ONE_IN = 4
SLOWDOWN = 5.0
SLOWDOWN_INTERVAL_S = 0.15
NON_IDEMPOTENT_SHARE = 0.25
DEADLINE_S = 12.0
LATENCY_GOAL_S = 2.0
# Share of its requests that a faulty upstream refuses.
REFUSED_SHARE = 0.45
# Retries of all hosts together beyond the share of requests, and that share.
RETRY_SLACK = 430.0
RETRY_RATIO = 0.15
# Share of all slots that has to be free for an upstream's queue to count as avoidable.
FREE_SLOTS_SHARE = 0.25
MIN_TICK_DELAY_S = 0.001


class FleetSettings(NamedTuple):
    """Size and load of the modelled deployment.

    Parameters
    ----------
    hosts, upstreams, data_centres : int
        How many there are; hosts and upstreams are spread evenly over the data centres.
    slots : int
        Requests that an upstream runs at the same time.
    work_s : float
        Mean time of a run on a machine at its usual speed, in seconds.
    load : float
        Requests a second, as a share of what all slots can run.
    length_s : float
        Length of the run in seconds of virtual time.
    faulty_share : float
        Share of the upstreams that refuse `REFUSED_SHARE` of their requests, also with free slots.
    seed : int
        Seed of all random draws.
    """

    hosts: int = 100
    upstreams: int = 90
    data_centres: int = 2
    slots: int = 6
    work_s: float = 0.3
    load: float = 0.5
    length_s: float = 6.0
    faulty_share: float = 0.0
    seed: int = 0


class FleetResult(NamedTuple):
    """Figures of one run.

    Parameters
    ----------
    requests, refused, late : int
        Requests of callers, those that were refused, and those answered after `LATENCY_GOAL_S`.
    attempts : int
        Requests that arrived at upstreams.
    waited_beside_room : int
        Attempts that had to queue while at least a quarter of all slots was free.
    most_runs_of_a_write : int
        Highest number of attempts of a non-idempotent request.
    busiest_to_mean : float
        Attempts at the busiest upstream over those at the mean one.
    new_connections : int
        Connections that hosts opened to upstreams.
    """

    requests: int
    refused: int
    late: int
    attempts: int
    waited_beside_room: int
    most_runs_of_a_write: int
    busiest_to_mean: float
    new_connections: int


# Host, identifier of the request, number of the attempt.
AttemptKey = tuple[int, int, int]


class ModelUpstream:
    """An upstream with its running and waiting attempts."""

    def __init__(self, name: str, is_faulty: bool) -> None:
        self.name = name
        self.is_faulty = is_faulty
        self.running: set[AttemptKey] = set()
        self.waiting: deque[AttemptKey] = deque()
        self.arrivals = 0


class FleetModel:
    """Deployment in virtual time; a subclass may change the requests and the upstreams.

    Parameters
    ----------
    settings : FleetSettings
        Size and load of the deployment.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        faulty = round(settings.faulty_share * settings.upstreams)
        self._upstreams = {
            f"u{n}": ModelUpstream(f"u{n}", n < faulty) for n in range(settings.upstreams)
        }
        self._upstream_of: dict[AttemptKey, ModelUpstream] = {}
        self._tick_at: dict[int, float] = {}
        self._connection_used_at: dict[tuple[int, str], float] = {}
        self._writes: set[int] = set()
        self._runs: Counter[int] = Counter()
        self._requests = self._refused = self._late = self._waited = self._connections = 0
        self._submitted_at: dict[int, float] = {}
        self._hosts = [self._make_dispatcher(number) for number in range(settings.hosts)]

    def _make_dispatcher(self, number: int) -> ProbingDispatcher:
        settings = self._settings
        burst = max(1.0, RETRY_SLACK / settings.hosts)
        policy = ServicePolicy(
            "desk",
            settings.slots,
            retries=RetryPolicy(RETRY_RATIO, 0.0, 1, burst, burst / 2.0),
            request_probes=RequestProbePolicy(),
        )
        data_centre = f"dc{number % settings.data_centres}"
        dispatcher = ProbingDispatcher(
            policy, ProbePolicy(), data_centre, seed=settings.seed * settings.hosts + number
        )
        members = [
            Member(name, name, f"dc{index % settings.data_centres}", 1)
            for index, name in enumerate(self._upstreams)
        ]
        dispatcher.set_members(members, 0.0)
        return dispatcher

    def run(self) -> FleetResult:
        """Run until all requests have ended."""
        settings = self._settings
        mean_work_s = settings.work_s * (1.0 + (SLOWDOWN - 1.0) / SLOW_MACHINES_ONE_IN)
        rate = settings.load * settings.upstreams * settings.slots / mean_work_s
        time = 0.0
        while (time := time + self._random.expovariate(rate)) < settings.length_s:
            self._schedule(time, self._submit)
        self.run_events()
        arrivals = [upstream.arrivals for upstream in self._upstreams.values()]
        return FleetResult(
            self._requests,
            self._refused,
            self._late,
            sum(arrivals),
            self._waited,
            max((self._runs[request] for request in self._writes), default=0),
            max(arrivals) * len(arrivals) / max(1, sum(arrivals)),
            self._connections,
        )

    def run_events(self) -> None:
        """Handle all events in the order of their times."""
        while self._events:
            self._now, _, handle = heapq.heappop(self._events)
            handle()

    def _schedule(self, time: float, handle: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), handle))

    def _submit(self) -> None:
        host = self._random.randrange(len(self._hosts))
        self._requests += 1
        is_write = self._random.random() < NON_IDEMPOTENT_SHARE
        if is_write:
            self._writes.add(self._requests)
        self._submitted_at[self._requests] = self._now
        request = RequestInfo(
            self._requests,
            "route",
            not is_write,
            WorkClass.SHORT,
            self._now + DEADLINE_S,
            latency_goal_s=LATENCY_GOAL_S,
            max_attempts=2,
        )
        self._apply(host, self._hosts[host].submit(request, self._now))

    def _apply(self, host: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Probe):
                self._record_connection(host, action.upstream, is_reusable=True)
                self._later(2 * NETWORK_DELAY_S, self._answer_probe, host, action.upstream)
            elif isinstance(action, Send):
                key = (host, action.request_id, action.attempt)
                is_reusable = action.request_id not in self._writes and action.attempt == 1
                self._record_connection(host, action.upstream, is_reusable=is_reusable)
                self._upstream_of[key] = self._upstreams[action.upstream]
                self._later(NETWORK_DELAY_S, self._arrive, key)
            elif isinstance(action, Refuse):
                self._refused += 1
            elif isinstance(action, Complete):
                duration_s = self._now - self._submitted_at[action.request_id]
                self._late += duration_s > LATENCY_GOAL_S
            elif isinstance(action, Cancel):
                key = (host, action.request_id, action.attempt)
                self._later(0.0, self._end, key, AttemptResult(AttemptStatus.CANCELLED))
        self._set_timer(host)

    def _later(self, delay_s: float, handle: Callable[..., None], *arguments: object) -> None:
        self._schedule(self._now + delay_s, lambda: handle(*arguments))

    def _record_connection(self, host: int, upstream: str, *, is_reusable: bool) -> None:
        key = (host, upstream)
        used_at = self._connection_used_at.get(key, -IDLE_TIMEOUT_S)
        if not is_reusable or self._now - used_at >= IDLE_TIMEOUT_S:
            self._connections += 1
        if is_reusable:
            self._connection_used_at[key] = self._now

    def _answer_probe(self, host: int, name: str) -> None:
        upstream = self._upstreams[name]
        report = LoadReport(
            len(upstream.running),
            len(upstream.waiting),
            self._settings.slots,
            UpstreamState.SERVING,
            1,
            self._get_slowdown(upstream, self._now),
        )
        self._apply(host, self._hosts[host].report(name, report, self._now))

    def _arrive(self, key: AttemptKey) -> None:
        upstream = self._upstream_of.get(key)
        if upstream is None:
            return
        upstream.arrivals += 1
        if upstream.is_faulty and self._random.random() < REFUSED_SHARE:
            del self._upstream_of[key]
            refusal = AttemptResult(AttemptStatus.REFUSED, 503)
            self._later(NETWORK_DELAY_S, self._finish, key, refusal)
            return
        self._runs[key[1]] += 1
        if len(upstream.running) < self._settings.slots:
            self._start(upstream, key)
            return
        upstream.waiting.append(key)
        slots = self._settings.slots * len(self._upstreams)
        running = sum(len(other.running) for other in self._upstreams.values())
        self._waited += slots - running >= FREE_SLOTS_SHARE * slots

    def _start(self, upstream: ModelUpstream, key: AttemptKey) -> None:
        upstream.running.add(key)
        work_s = self._draw_work(key)
        time = self._now
        while work_s > 0.0:
            slowdown = self._get_slowdown(upstream, time)
            interval_s = SLOWDOWN_INTERVAL_S - time % SLOWDOWN_INTERVAL_S
            time += min(interval_s, work_s * slowdown) + 1e-9
            work_s -= interval_s / slowdown
        self._schedule(time, lambda: self._end(key, AttemptResult(AttemptStatus.ANSWERED, 200)))

    def _draw_work(self, key: AttemptKey) -> float:  # noqa: ARG002
        return self._random.expovariate(1.0 / self._settings.work_s)

    def _end(self, key: AttemptKey, result: AttemptResult) -> None:
        upstream = self._upstream_of.pop(key, None)
        if upstream is None:
            return
        if key in upstream.waiting:
            upstream.waiting.remove(key)
        upstream.running.discard(key)
        if upstream.waiting and len(upstream.running) < self._settings.slots:
            self._start(upstream, upstream.waiting.popleft())
        self._later(NETWORK_DELAY_S, self._finish, key, result)

    def _finish(self, key: AttemptKey, result: AttemptResult) -> None:
        host, request_id, attempt = key
        self._apply(host, self._hosts[host].finish(request_id, attempt, result, self._now))

    def _set_timer(self, host: int) -> None:
        due = self._hosts[host].get_next_tick_time(self._now)
        if due is None:
            return
        due = max(due, self._now + MIN_TICK_DELAY_S)
        if self._tick_at.get(host, math.inf) <= due:
            return
        self._tick_at[host] = due
        self._schedule(due, lambda: self._tick(host))

    def _tick(self, host: int) -> None:
        self._tick_at.pop(host, None)
        self._apply(host, self._hosts[host].tick(self._now))

    def _get_slowdown(self, upstream: ModelUpstream, time: float) -> float:
        interval = int(time / SLOWDOWN_INTERVAL_S)
        draw = xxhash.xxh64_intdigest(f"{upstream.name}/{interval}".encode(), self._settings.seed)
        return SLOWDOWN if draw % SLOW_MACHINES_ONE_IN == 0 else 1.0


def run_fleet_model(settings: FleetSettings) -> FleetResult:
    """Run the model once.

    Parameters
    ----------
    settings : FleetSettings
        Size and load of the deployment.
    """
    return FleetModel(settings).run()


def print_run(**settings: float) -> None:
    """Print the figures of one run; the flags are the fields of `FleetSettings`."""
    result = run_fleet_model(FleetSettings(**settings))  # type: ignore[arg-type]
    for name, value in result._asdict().items():
        print(f"{name:22} {value:10.3f}" if isinstance(value, float) else f"{name:22} {value:10}")


if __name__ == "__main__":
    fire.Fire(print_run)
