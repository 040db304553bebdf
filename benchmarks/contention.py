"""Model of a service with two kinds of requests that has too little room, in virtual time.

The loads are those of `benchmarks.contention_loads`. `python -m benchmarks.contention` prints for
each kind how many were served late and not at all, the share of the value that callers got, and the
mean times that requests spent at hosts before their first attempt and queued at upstreams, without
and with `defers_requests`. `--name=evacuation` selects a load of `LOADS`, and `--seeds=4` repeats
the runs with four seeds.
"""

from collections import Counter
from typing import Any, NamedTuple

import fire

from amaranthbend.core.actions import (
    Action,
    AttemptResult,
    AttemptStatus,
    Complete,
    Member,
    Refuse,
    RequestInfo,
    Send,
    WorkClass,
)
from amaranthbend.core.caller_times import CallerTimes
from amaranthbend.core.outcomes import Outcome, OutcomeReason
from amaranthbend.core.policy import ProbePolicy, RequestProbePolicy, RetryPolicy, ServicePolicy
from amaranthbend.core.probe_rounds import RequestProbeBudget
from amaranthbend.core.probing_dispatcher import ProbingDispatcher
from amaranthbend.filters.services import MAX_RETRY_AFTER_FACTOR

from .contention_loads import KINDS, LOADS, ContentionSettings, Kind
from .fleet import (
    NETWORK_DELAY_S,
    SLOWDOWN,
    AttemptKey,
    FleetModel,
    FleetSettings,
    ModelUpstream,
)

__all__ = ["KindResult", "Times", "run_contention_model"]

RETRY_RATIO = 0.1
RETRY_SLACK = 400.0
PROBES_PER_S = 42.0
BURST_FROM_S = 3.0
# Part of the time left up to which callers honour `Retry-After`.
HONOURED_SHARE = 1.0 / 3.0
DATA_CENTRES = 4
EVACUATED = "dc3"
EVACUATION_S = 9.0
# Upstreams are replaced this long after the start of a burst. New ones are cold for some seconds.
REPLACED_AFTER_S = 0.5
COLD_S = 3.0
COLD_FACTOR = 2.0
FREE_HOLD_GOAL_SHARE = 0.125
FULL_COST_TIME_SHARE = 0.75
LARGE_TEAM = "large"
SMALL_TEAMS = 85


class KindResult(NamedTuple):
    """What callers of one kind got; `value` is the share of the most that they could get."""

    requests: int
    in_time: int
    late: int
    unserved: int
    value: float


class Times(NamedTuple):
    """Times of the requests of one kind, in seconds.

    Parameters
    ----------
    held_s : float
        Mean time between the arrival at a host and the first attempt.
    queued_s : float
        Mean time that an attempt waited in the queue of its upstream.
    hedges : int
        Second attempts.
    """

    held_s: float
    queued_s: float
    hedges: int


class _Call(NamedTuple):
    kind: Kind
    team: str
    began_at: float
    is_second: bool


class _ContentionModel(FleetModel):
    def __init__(self, settings: ContentionSettings) -> None:
        self._contention = settings
        self._calls: dict[int, _Call] = {}
        self._caller_times = [CallerTimes() for _ in range(settings.hosts)]
        self.in_time: dict[tuple[str, str], int] = {}
        self.late: dict[tuple[str, str], int] = {}
        self.lost: dict[tuple[str, str], int] = {}
        self.hold_cost = 0.0
        self.full_arrivals = 0
        self.probes = 0
        self.held_s: dict[str, list[float]] = {}
        self.queued_s: dict[str, list[float]] = {}
        self.hedges: Counter[str] = Counter()
        self._arrived_at: dict[AttemptKey, float] = {}
        self._cold_until: dict[str, float] = {}
        # The last ones, so that they aren't the faulty ones.
        slow = round(settings.slow_share * settings.upstreams)
        self._slow = {f"u{settings.upstreams - 1 - number}" for number in range(slow)}
        super().__init__(
            FleetSettings(
                hosts=settings.hosts,
                upstreams=settings.upstreams,
                data_centres=DATA_CENTRES,
                slots=3,
                load=settings.load,
                length_s=settings.length_s,
                faulty_share=settings.faulty_share,
                seed=settings.seed,
            )
        )

    def _make_dispatcher(self, number: int) -> ProbingDispatcher:
        settings = self._contention
        burst = max(1.0, RETRY_SLACK / settings.hosts)
        policy = ServicePolicy(
            settings.service,
            3,
            retries=RetryPolicy(0.75 * RETRY_RATIO, 0.0, 1, burst, burst / 2.0),
            request_probes=RequestProbePolicy(probes_per_s_per_upstream=PROBES_PER_S),
            retry_after_s=0.1,
            defers_requests=settings.defers_requests,
        )
        budget = RequestProbeBudget()
        budget.set_limit(PROBES_PER_S)
        dispatcher = ProbingDispatcher(
            policy,
            ProbePolicy(),
            f"dc{number % DATA_CENTRES}",
            seed=settings.seed * settings.hosts + number,
            processes=settings.hosts,
            budget=budget,
        )
        dispatcher.set_members(self._list_members(0), 0.0)
        return dispatcher

    def _list_members(self, replaced: int) -> list[Member]:
        members: list[Member] = []
        for number in range(self._contention.upstreams):
            name = f"new{number}" if number < replaced else f"u{number}"
            members.append(Member(name, name, f"dc{number % DATA_CENTRES}", 1))
        return members

    def _evacuate(self, data_centres: frozenset[str]) -> None:
        for number, host in enumerate(self._hosts):
            self._apply(number, host.set_evacuated(data_centres, self._now))

    def _replace(self) -> None:
        replaced = round(self._contention.replaced_share * self._contention.upstreams)
        for number in range(replaced):
            self._upstreams[f"new{number}"] = ModelUpstream(f"new{number}", is_faulty=False)
            self._cold_until[f"new{number}"] = self._now + COLD_S
        for number, host in enumerate(self._hosts):
            self._apply(number, host.set_members(self._list_members(replaced), self._now))

    def run_contention(self) -> None:
        """Run until all requests have ended."""
        settings = self._contention
        kinds = KINDS[settings.service]
        # A quarter of the machines is five times slower, so that work takes twice as long.
        work_s = 2.0 * sum(kind.work_s * kind.share for kind in kinds)
        rate = settings.load * settings.upstreams * 3 / work_s
        for number, kind in enumerate(kinds):
            time = 0.0
            while True:
                is_burst = BURST_FROM_S <= time < BURST_FROM_S + settings.burst_s
                factor = settings.burst_factor if is_burst and number == settings.burst_kind else 1
                time += self._random.expovariate(factor * rate * kind.share)
                if time >= settings.length_s:
                    break
                is_extra = factor > 1 and self._random.random() < settings.large_team_share
                team = LARGE_TEAM if is_extra else f"t{self._random.randrange(SMALL_TEAMS)}"
                call = _Call(kind, team, time, False)
                self._schedule(time, lambda call=call: self._begin(call))  # type: ignore[misc]
        if settings.is_evacuated:
            self._schedule(BURST_FROM_S, lambda: self._evacuate(frozenset({EVACUATED})))
            self._schedule(BURST_FROM_S + EVACUATION_S, lambda: self._evacuate(frozenset()))
        if settings.replaced_share:
            self._schedule(BURST_FROM_S + REPLACED_AFTER_S, self._replace)
        self.run_events()

    def _begin(self, call: _Call) -> None:
        host = self._random.randrange(len(self._hosts))
        self._requests += 1
        number, kind = self._requests, call.kind
        self._calls[number] = call
        self._submitted_at[number] = self._now
        if not kind.is_idempotent:
            self._writes.add(number)
        left_s = call.began_at + kind.caller_s - self._now
        request = RequestInfo(
            number,
            kind.name,
            kind.is_idempotent,
            WorkClass.SHORT,
            self._now + min(kind.timeout_s, left_s),
            priority=kind.priority,
            latency_goal_s=kind.goal_s,
            max_attempts=2,
            team_priority=-self._get_team_rank(call.team),
            elapsed_s=self._caller_times[host].estimate_elapsed_s("", kind.name, left_s),
        )
        self._apply(host, self._hosts[host].submit(request, self._now))

    def _get_team_rank(self, team: str) -> int:
        return 0 if team == LARGE_TEAM else int(team[1:]) % self._contention.team_priorities

    def _apply(self, host: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Refuse):
                self._retry(action)
            elif isinstance(action, Complete):
                self._record(action)
            elif isinstance(action, Send) and action.request_id in self._calls:
                kind = self._calls[action.request_id].kind.name
                if action.attempt == 1:
                    held_s = self._now - self._submitted_at[action.request_id]
                    self.held_s.setdefault(kind, []).append(held_s)
                else:
                    self.hedges[kind] += 1
        super()._apply(host, actions)

    def _retry(self, action: Refuse) -> None:
        call = self._calls.pop(action.request_id)
        held_s = self._now - self._submitted_at[action.request_id]
        had_s = min(call.kind.timeout_s, call.began_at + call.kind.caller_s - self._now + held_s)
        free_s = FREE_HOLD_GOAL_SHARE * call.kind.goal_s
        full_s = FULL_COST_TIME_SHARE * had_s
        self.hold_cost += min(1.0, max(0.0, held_s - free_s) / max(0.01, full_s - free_s))
        left_s = call.began_at + call.kind.caller_s - self._now
        if call.is_second or left_s <= 0.0:
            self._count(self.lost, call)
            return
        delay_s = action.retry_after_s * self._random.uniform(1.0, MAX_RETRY_AFTER_FACTOR)
        again = call._replace(is_second=True)
        delay_s = min(delay_s, HONOURED_SHARE * left_s)
        self._later(delay_s + 2 * NETWORK_DELAY_S, self._begin, again)

    def _record(self, action: Complete) -> None:
        call = self._calls.pop(action.request_id)
        took_s = self._now - call.began_at
        if action.outcome is not Outcome.ANSWERED or took_s > call.kind.caller_s:
            self._count(self.lost, call)
        else:
            self._count(self.in_time if took_s <= call.kind.goal_s else self.late, call)

    def get_times(self, kind: str) -> Times:
        """Return where the requests of a kind spent their time."""
        held, queued = self.held_s.get(kind, []), self.queued_s.get(kind, [])
        return Times(
            sum(held) / max(1, len(held)), sum(queued) / max(1, len(queued)), self.hedges[kind]
        )

    @staticmethod
    def _count(counts: dict[tuple[str, str], int], call: _Call) -> None:
        key = (call.kind.name, call.team)
        counts[key] = counts.get(key, 0) + 1

    def _answer_probe(self, host: int, name: str) -> None:
        self.probes += 1
        super()._answer_probe(host, name)

    def _arrive(self, key: AttemptKey) -> None:
        upstream = self._upstream_of.get(key)
        if upstream is None:
            return
        settings = self._contention
        is_full = len(upstream.running) >= 3 and len(upstream.waiting) >= settings.queue
        is_fault = upstream.is_faulty and self._random.random() < settings.refused_share
        if not is_full and not is_fault:
            upstream.arrivals += 1
            self._runs[key[1]] += 1
            self._arrived_at[key] = self._now
            if len(upstream.running) < 3:
                self._start(upstream, key)
            else:
                upstream.waiting.append(key)
            self._limit(key)
            return
        self.full_arrivals += is_full
        if is_full and settings.is_silent:
            self._limit(key)
            return
        del self._upstream_of[key]
        refusal = AttemptResult(AttemptStatus.REFUSED, 503)
        self._later(NETWORK_DELAY_S, self._finish, key, refusal)

    def _limit(self, key: AttemptKey) -> None:
        """End the attempt at the deadline of its request."""
        call = self._calls.get(key[1])
        if call is None:
            return
        left_s = call.began_at + call.kind.caller_s - self._submitted_at[key[1]]
        due = self._submitted_at[key[1]] + min(call.kind.timeout_s, left_s)
        result = AttemptResult(AttemptStatus.FAILED, reason=OutcomeReason.TIMEOUT)
        self._schedule(max(self._now, due), lambda: self._end(key, result))

    def _start(self, upstream: ModelUpstream, key: AttemptKey) -> None:
        call = self._calls.get(key[1])
        if call is not None:
            waited_s = self._now - self._arrived_at[key]
            self.queued_s.setdefault(call.kind.name, []).append(waited_s)
        super()._start(upstream, key)

    def _get_slowdown(self, upstream: ModelUpstream, time: float) -> float:
        slowdown = super()._get_slowdown(upstream, time)
        if time < self._cold_until.get(upstream.name, 0.0):
            slowdown *= COLD_FACTOR
        if upstream.name in self._slow:
            slowdown = SLOWDOWN
        return slowdown

    def _draw_work(self, key: AttemptKey) -> float:
        call = self._calls.get(key[1])
        work_s = self._settings.work_s if call is None else call.kind.work_s
        spread = self._contention.work_spread
        if spread:
            return work_s * self._random.lognormvariate(-spread * spread / 2.0, spread)
        return self._random.expovariate(1.0 / work_s)


def run_contention_model(settings: ContentionSettings) -> dict[str, KindResult]:
    """Run the model once, and return the figures of each kind; `" small"` is without a large team.

    Parameters
    ----------
    settings : ContentionSettings
        Load and faults of the service.
    """
    return _summarize(settings, _run(settings))


def _run(settings: ContentionSettings) -> _ContentionModel:
    model = _ContentionModel(settings)
    model.run_contention()
    return model


def _summarize(settings: ContentionSettings, model: _ContentionModel) -> dict[str, KindResult]:
    results: dict[str, KindResult] = {}
    for kind in KINDS[settings.service]:
        for name, only_small in ((kind.name, False), (f"{kind.name} small", True)):
            in_time, late, lost = (
                sum(
                    count
                    for (of_kind, team), count in counts.items()
                    if of_kind == kind.name and not (only_small and team == LARGE_TEAM)
                )
                for counts in (model.in_time, model.late, model.lost)
            )
            total = in_time + late + lost
            worth = in_time * kind.value + late * kind.late_value
            results[name] = KindResult(total, in_time, late, lost, worth / (total * kind.value))
    return results


def print_runs(*, name: str = "", seeds: int = 1, **settings: Any) -> None:
    """Print the figures without and with deferrals.

    Parameters
    ----------
    name : str
        A key of `LOADS`; none for the defaults.
    seeds : int
        Number of runs, each with the seed of the one before plus 1.
    settings
        Fields of `ContentionSettings`.
    """
    base = (LOADS[name] if name else ContentionSettings())._replace(**settings)
    for seed in range(base.seed, base.seed + seeds):
        for defers_requests in (False, True):
            values = base._replace(defers_requests=defers_requests, seed=seed)
            model = _run(values)
            per_s = model.probes / values.upstreams / values.length_s
            results = _summarize(values, model)
            print(
                f"{name} seed={seed} defers={defers_requests} hold_cost={model.hold_cost:.1f} "
                f"full_arrivals={model.full_arrivals} probes_per_s={per_s:.1f} "
                f"worth={_sum_worth(values, results):.1f}"
            )
            for kind, result in results.items():
                if kind.endswith("small") and not values.large_team_share:
                    continue
                times = model.get_times(kind)
                print(
                    f"  {kind:24} requests {result.requests:5} late {result.late:5} "
                    f"unserved {result.unserved:5} value {result.value:.3f} "
                    f"held {times.held_s:.3f} queued {times.queued_s:.3f} hedges {times.hedges:5}",
                    flush=True,
                )


def _sum_worth(settings: ContentionSettings, results: dict[str, KindResult]) -> float:
    """Return the value that callers of all kinds got."""
    return sum(
        results[kind.name].value * results[kind.name].requests * kind.value
        for kind in KINDS[settings.service]
    )


if __name__ == "__main__":
    fire.Fire(print_runs)
