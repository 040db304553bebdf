"""Dispatcher that asks a few upstreams for their load before each attempt."""

import heapq
import math
import random
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
)
from .attempts import RequestState, is_upstream_failure
from .dispatching import Dispatcher
from .occupancy import OccupancyProfile
from .outcomes import OutcomeReason, RetryReason
from .policy import ProbePolicy, ServicePolicy
from .probe_rounds import (
    SHARED_REPORT_MAX_AGE_S,
    PendingProbeRounds,
    ProbeRound,
    RequestProbeBudget,
    choose_candidates,
    choose_without_probes,
    count_excess,
    count_outstanding,
    describe_load,
    estimate_completion_s,
)
from .retries import count_attempts_allowed
from .routing import UpstreamLoad

__all__ = ["ProbingDispatcher"]

# An upstream whose probe failed is asked again after this time, doubled for each failure in a
# row up to the limit: long enough to spare requests the wait, short enough for a brief outage.
PROBE_FAILURE_PAUSE_S = 0.2
PROBE_FAILURE_PAUSE_MAX_S = 1.6
# Requests that an upstream may hold beyond what it runs best, as a share of that: for the most
# urgent ones of the service, and for all others, so that a peak costs the less urgent first.
URGENT_MAX_EXCESS_SHARE = 0.67
MAX_EXCESS_SHARE = 0.34
# Part of the saved probes below which requests ask only once, and below which they ask fewer
# upstreams.
MULTI_ROUND_TOKEN_SHARE = 0.8
FULL_ROUND_TOKEN_SHARE = 0.1
MIN_PROBES_PER_ROUND = 2
# Part of the expected time that has to be left before the deadline. Runs vary, so that a first
# attempt is worth a risk; a second one draws on a shared budget.
COMPLETION_TIME_SHARE = 0.5
HEDGE_COMPLETION_TIME_SHARE = 0.8


class ProbingDispatcher(Dispatcher):
    """Sends each attempt to the best of a few upstreams that were asked just before.

    Requests do not queue here: one that finds no upstream with room is refused at once, so that
    its caller can come back while there is time.

    Parameters
    ----------
    policy : ServicePolicy
        Settings of the service; `request_probes` must be set.
    probing : ProbePolicy
        Budget of the deployment for probes between requests.
    data_centre : str
        Data centre of this process.
    seed : int
        Seed of random choices.
    processes : int
        Entry processes among which the connections to one upstream are divided.
    budget : AskBudget or None
        Limit on probes, shared by the dispatchers of all services.
    """

    def __init__(
        self,
        policy: ServicePolicy,
        probing: ProbePolicy,
        data_centre: str,
        seed: int,
        *,
        processes: int = 1,
        budget: RequestProbeBudget | None = None,
    ) -> None:
        super().__init__(policy, probing, data_centre, seed, processes=processes)
        assert policy.request_probes is not None
        self._rounds = PendingProbeRounds(policy.request_probes)
        self._rng = random.Random(seed)
        # Probes in a row that brought nothing, by upstream; those that answered are not listed.
        self._probe_failures: dict[str, int] = {}
        # Times at which requests in flight may get a second attempt.
        self._hedge_timers: list[tuple[float, int]] = []
        # Priority of the most urgent request seen so far.
        self._highest_priority = -math.inf
        self._occupancy_profile = OccupancyProfile()
        # What an attempt met when it was sent: requests held with it, slots, slowdown.
        self._occupancy_at_send: dict[tuple[int, int], tuple[int, int, float]] = {}
        self._probe_budget = budget or RequestProbeBudget()

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:
        """Record a load report, and decide the rounds that waited for it."""
        self._probe_failures.pop(upstream, None)
        actions = super().report(upstream, report, now)
        self._rounds.record_probe_end(upstream)
        return actions + self._dispatch_ready(now)

    def finish(
        self, request_id: int, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Record the end of an attempt, and learn how the upstream's load told on it."""
        occupancy = self._occupancy_at_send.pop((request_id, attempt), None)
        state = self._attempts.get((request_id, attempt))
        if state is not None and state.load.report_at <= state.started_at:
            # No report since it was sent tells that it has ended.
            state.load.sent_since_report = max(0, state.load.sent_since_report - 1)
        if occupancy is not None and state is not None and result.status is AttemptStatus.ANSWERED:
            outstanding, slots, slowdown = occupancy
            if slowdown <= 1.0 and not is_upstream_failure(result):
                self._occupancy_profile.record_response(outstanding, slots, now - state.started_at)
        return super().finish(request_id, attempt, result, now)

    def report_probe_failure(self, upstream: str, now: float) -> list[Action]:
        """Record that a probe brought no report, and leave the upstream alone for a while."""
        load = self._loads.get(upstream)
        if load is not None:
            failures = self._probe_failures.get(upstream, 0)
            self._probe_failures[upstream] = failures + 1
            pause_s = min(
                PROBE_FAILURE_PAUSE_MAX_S, PROBE_FAILURE_PAUSE_S * 2.0 ** min(failures, 8)
            )
            load.paused_until = max(load.paused_until, now + pause_s)
        self._rounds.record_probe_end(upstream)
        return super().report_probe_failure(upstream, now)

    def abandon(self, request_id: int, now: float) -> list[Action]:
        """End a request whose caller went away."""
        self._rounds.cancel(request_id)
        return super().abandon(request_id, now)

    def set_members(self, members: Iterable[Member], now: float) -> list[Action]:
        """Replace the host list of the service."""
        actions = super().set_members(members, now)
        for upstream in self._probe_failures.keys() - self._loads.keys():
            del self._probe_failures[upstream]
        self._probe_budget.set_upstreams(self._policy.name, len(self._loads))
        return actions

    def set_policy(self, policy: ServicePolicy, processes: int, now: float) -> list[Action]:
        """Use other settings from now on; requests already accepted are kept."""
        actions = super().set_policy(policy, processes, now)
        if policy.request_probes is not None:
            self._rounds.policy = policy.request_probes
        return actions

    def tick(self, now: float) -> list[Action]:
        """Act on timers that are due."""
        actions = self._start_due_hedges(now)
        return actions + super().tick(now)

    def get_next_tick_time(self, now: float) -> float | None:
        """Return the time of the next timer, or None."""
        times = [super().get_next_tick_time(now), self._rounds.get_next_check_time(now)]
        if self._hedge_timers:
            times.append(self._hedge_timers[0][0])
        return min((max(now, time) for time in times if time is not None), default=None)

    def _find_refusal(self, request: RequestInfo, now: float) -> OutcomeReason | None:
        """Return why a new request is refused at once, or None."""
        self._highest_priority = max(self._highest_priority, request.priority)
        if not self._router.count_usable():
            return OutcomeReason.NO_UPSTREAM
        return OutcomeReason.DEADLINE_UNREACHABLE if now >= request.deadline else None

    def _enqueue(self, record: RequestState, now: float) -> list[Action]:
        """Ask the first upstreams for a request."""
        record.probed_since = now - SHARED_REPORT_MAX_AGE_S
        if record.attempts == 0:
            outstanding = sum(
                count_outstanding(load) for load in self._loads.values() if load.usable
            )
            self._probe_budget.refill(self._policy.name, outstanding, self._ejector.mean_s)
        return self._start_round(record, frozenset(), 1, False, now)

    def _start_round(
        self,
        record: RequestState,
        probed: frozenset[str],
        number: int,
        is_hedge: bool,
        now: float,
    ) -> list[Action]:
        """Begin a round; without candidates the request ends, unless an attempt is running."""
        policy = self._rounds.policy
        excluded = probed | record.tried_upstreams
        loads = self._router.list_loads()
        most = self._count_probes_allowed(number)
        candidates = choose_candidates(loads, policy, excluded, most, self._rng, now)
        if not candidates and not probed and not is_hedge:
            # All were tried before; a new attempt at one of them is better than none.
            candidates = choose_candidates(loads, policy, frozenset(), most, self._rng, now)
        if not candidates:
            return [] if record.running else self._end_probing(record, probed, now)
        probe_round = ProbeRound(record.info.request_id, candidates, probed, number, is_hedge, now)
        probes = self._rounds.begin(probe_round, now)
        self._probe_budget.spend(len(probes))
        return [Probe(upstream) for upstream in probes]

    def _count_probes_allowed(self, number: int) -> int:
        """Return how many upstreams a round may ask; further rounds only with many probes saved."""
        most = self._rounds.policy.local_probes + self._rounds.policy.remote_probes
        token_share = self._probe_budget.compute_token_share()
        if number > 1 and token_share < MULTI_ROUND_TOKEN_SHARE:
            return 0
        # Two answers bring most of the gain, so that scarce probes are spread over the requests.
        wanted = max(
            MIN_PROBES_PER_ROUND, math.ceil(most * min(1.0, token_share / FULL_ROUND_TOKEN_SHARE))
        )
        return int(min(most, wanted, self._probe_budget.get_tokens()))

    def _dispatch_ready(self, now: float) -> list[Action]:
        """Decide the rounds that have their answers."""
        actions: list[Action] = []
        for probe_round in self._rounds.pop_ready(now):
            record = self._requests.get(probe_round.request_id)
            if record is not None:
                actions += self._decide_round(record, probe_round, now)
        return actions

    def _decide_round(
        self, record: RequestState, probe_round: ProbeRound, now: float
    ) -> list[Action]:
        """Send to the best candidate, ask others, or refuse."""
        if now >= record.info.deadline:
            return (
                []
                if record.running
                else self._requests.fail(record, OutcomeReason.DEADLINE_UNREACHABLE)
            )
        load = probe_round.choose(self._router.slots, self._ejector.mean_s, now)
        if load is not None and probe_round.is_hedge:
            return self._send_hedge(record, load, now)
        if load is not None and self._has_room_at(load, record, now):
            return [self._send_and_schedule_hedge(record, load, now)]
        if probe_round.is_hedge:
            return []
        if probe_round.number < self._rounds.policy.max_rounds:
            return self._start_round(record, probe_round.probed, probe_round.number + 1, False, now)
        return self._end_probing(record, probe_round.probed, now)

    def _end_probing(
        self, record: RequestState, probed: frozenset[str], now: float
    ) -> list[Action]:
        """Refuse a request that found no room, or choose by older news.

        On a machine that is slow itself, all answers come too late to decide; and the probes of
        a long peak are limited.
        """
        if any(
            self._loads[name].report_at >= record.probed_since
            for name in probed & self._loads.keys()
        ):
            return self._requests.fail(record, OutcomeReason.CONCURRENCY_LIMIT)
        # An upstream that was silent when it was asked last is no choice without asking again.
        excluded = record.tried_upstreams | self._probe_failures.keys()
        load = choose_without_probes(
            self._router.list_loads(), excluded, self._router.slots, self._ejector.mean_s, now
        )
        if load is None:
            return self._requests.fail(record, OutcomeReason.UPSTREAM_UNREACHABLE)
        if not self._has_room_at(load, record, now):
            return self._requests.fail(record, OutcomeReason.CONCURRENCY_LIMIT)
        return [self._send_and_schedule_hedge(record, load, now)]

    def _has_room_at(self, load: UpstreamLoad, record: RequestState, now: float) -> bool:
        """Return whether the queue at an upstream is short enough for a request."""
        record.load_summary = describe_load(load, now)
        slots = self._router.slots if load.report is None else load.report.slots
        is_urgent = record.info.priority >= self._highest_priority
        share = URGENT_MAX_EXCESS_SHARE if is_urgent else MAX_EXCESS_SHARE
        best_concurrency = self._occupancy_profile.find_best_concurrency(slots)
        if count_excess(load, best_concurrency) > share * best_concurrency:
            return False
        completion_s = estimate_completion_s(load, slots, self._ejector.mean_s, now)
        return now + COMPLETION_TIME_SHARE * completion_s < record.info.deadline

    def _send_and_schedule_hedge(
        self, record: RequestState, load: UpstreamLoad, now: float
    ) -> Action:
        """Send an attempt, and plan a second one for the case that it is slow."""
        info = record.info
        policy = self._rounds.policy
        if info.idempotent and policy.hedge_delay_share > 0 and info.latency_goal_s:
            record.hedge_at = now + policy.hedge_delay_share * info.latency_goal_s
            early = now + policy.early_hedge_delay_share * info.latency_goal_s
            self._schedule_hedge(min(early, record.hedge_at), record)
        return self._send(record, load, now)

    def _schedule_hedge(self, due: float, record: RequestState) -> None:
        """Look at a request again at a time, unless its deadline has passed by then."""
        if due < record.info.deadline:
            heapq.heappush(self._hedge_timers, (due, record.info.request_id))

    def _may_hedge(self, record: RequestState) -> bool:
        """Return whether the only attempt in flight may get another one beside it."""
        most = count_attempts_allowed(record.info, self._policy.retries)
        return len(record.running) == 1 and record.attempts < most

    def _send(self, record: RequestState, load: UpstreamLoad, now: float) -> Send:
        """Start an attempt."""
        occupancy = None
        record.load_summary = describe_load(load, now)
        if load.report is not None:
            occupancy = (count_outstanding(load) + 1, load.report.slots, load.report.slowdown)
        send = super()._send(record, load, now)
        if send.attempt == 1:
            self._probe_budget.record_send()
        if occupancy is not None:
            self._occupancy_at_send[send.request_id, send.attempt] = occupancy
        return send._replace(load_summary=record.load_summary)

    def _start_due_hedges(self, now: float) -> list[Action]:
        """Ask upstreams for requests whose only attempt is slow."""
        actions: list[Action] = []
        while self._hedge_timers and self._hedge_timers[0][0] <= now:
            _, request_id = heapq.heappop(self._hedge_timers)
            record = self._requests.get(request_id)
            if record is None or self._rounds.get(request_id) is not None:
                continue
            if not self._may_hedge(record):
                continue
            if now < record.hedge_at and not self._retry_budget.is_full():
                self._schedule_hedge(record.hedge_at, record)
                continue
            if not self._retry_budget.has_token(now):
                continue
            actions += self._start_round(record, frozenset(), 1, True, now)
        return actions

    def _send_hedge(self, record: RequestState, load: UpstreamLoad, now: float) -> list[Action]:
        """Send a second attempt if it will probably end within the goal."""
        info = record.info
        slots = self._router.slots if load.report is None else load.report.slots
        best_concurrency = self._occupancy_profile.find_best_concurrency(slots)
        if not self._may_hedge(record) or count_excess(load, best_concurrency) > 0:
            return []
        completion_s = estimate_completion_s(load, slots, self._ejector.mean_s, now)
        if (
            now + HEDGE_COMPLETION_TIME_SHARE * completion_s >= info.deadline
            or not self._retry_budget.take(now)
        ):
            return []
        record.retry_reason = RetryReason.SLOW_ATTEMPT
        return [self._send(record, load, now)]
