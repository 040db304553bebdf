"""Dispatcher that probes a few upstreams for their load before each attempt."""

import math
import random
from collections.abc import Iterable

from .actions import (
    Action,
    AttemptResult,
    AttemptStatus,
    Cancel,
    LoadReport,
    Member,
    Probe,
    RequestInfo,
    Send,
)
from .attempts import RequestState, is_upstream_failure
from .candidates import choose_candidates
from .deferrals import RESERVED_SLOTS, DeferralPolicy
from .dispatching import Dispatcher
from .hedging import HEDGE_COMPLETION_TIME_SHARE, HEDGE_RETRY_SHARE, HedgeTimers
from .occupancy import OccupancyProfile
from .outcomes import OutcomeReason, RetryReason
from .policy import ProbePolicy, ServicePolicy
from .probe_counts import MULTI_ROUND_TOKEN_SHARE, count_probes_allowed
from .probe_failures import ProbeFailures
from .probe_rounds import (
    SHARED_REPORT_MAX_AGE_S,
    PendingProbeRounds,
    ProbeRound,
    RequestProbeBudget,
    choose_without_probes,
    count_excess,
    count_outstanding,
    describe_load,
    estimate_completion_s,
)
from .refusals import has_refused_with_room
from .retries import RetryBudget, count_attempts_allowed
from .routing import UpstreamLoad

__all__ = ["COMPLETION_TIME_SHARE", "MULTI_ROUND_TOKEN_SHARE", "ProbingDispatcher"]

# Requests that an upstream may get beyond its best concurrency, as a share of it: for requests of
# the highest priority seen in the service, and for all others. At a peak, requests of lower
# priority are thus refused first.
URGENT_MAX_EXCESS_SHARE = 0.67
MAX_EXCESS_SHARE = 0.34
# Share of the expected completion time that must remain before the deadline. Durations vary, so
# that an attempt is worth the risk of being late.
COMPLETION_TIME_SHARE = 0.5


class ProbingDispatcher(Dispatcher):
    """Sends each attempt to the best of a few upstreams that were probed just before.

    Requests are not queued: a request that finds no upstream with room is refused at once, so
    that its caller can retry in time. An idempotent request whose attempt is slow is hedged: it
    gets a second attempt at another upstream, and the first good response wins.

    Parameters
    ----------
    policy : ServicePolicy
        Settings of the service; `request_probes` must be set.
    probing : ProbePolicy
        The deployment's budget for background probes.
    data_centre : str
        Data centre of this process.
    seed : int
        Seed of the random choices.
    processes : int
        Entry processes that share the connection limit of each upstream.
    budget : RequestProbeBudget or None
        Limit on request probes, shared by the dispatchers of all services.
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
        self._retry_budget = RetryBudget(policy.retries, self._rng.random)
        self._probe_failures = ProbeFailures()
        self._hedge_timers = HedgeTimers()
        # Highest priority of all requests so far.
        self._highest_priority = -math.inf
        self._occupancy_profile = OccupancyProfile()
        # State of the upstream when an attempt was sent: requests with this one, slots, slowdown.
        self._occupancy_at_send: dict[tuple[int, int], tuple[int, int, float]] = {}
        self._probe_budget = budget or RequestProbeBudget()
        self._deferrals = DeferralPolicy()
        self._requests.estimate_retry_after = self._estimate_retry_after

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:
        """Record a load report, and decide the probe rounds that waited for it."""
        self._probe_failures.record_answer(upstream)
        actions = super().report(upstream, report, now)
        self._rounds.record_probe_end(upstream)
        return actions + self._dispatch_ready(now)

    def finish(
        self, request_id: int, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Record the end of an attempt, and how long it took at that occupancy of the upstream."""
        occupancy = self._occupancy_at_send.pop((request_id, attempt), None)
        state = self._attempts.get((request_id, attempt))
        if state is not None and state.load.report_at <= state.started_at:
            # No report has arrived since the attempt was sent, so it is still in this count.
            state.load.sent_since_report = max(0, state.load.sent_since_report - 1)
        if state is not None and has_refused_with_room(state.load, result, now):
            self._ejector.record_failure(state.health, True, now)
        if occupancy is not None and state is not None and result.status is AttemptStatus.ANSWERED:
            outstanding, slots, slowdown = occupancy
            if not is_upstream_failure(result) and outstanding <= slots:
                record = self._requests.get(request_id)
                if record is not None:
                    self._deferrals.record_work(record.info.route, now - state.started_at, slowdown)
            if slowdown <= 1.0 and not is_upstream_failure(result):
                self._occupancy_profile.record_response(outstanding, slots, now - state.started_at)
        return super().finish(request_id, attempt, result, now)

    def report_probe_failure(self, upstream: str, now: float) -> list[Action]:
        """Record a failed probe; the upstream is paused for longer with each one in a row."""
        load = self._loads.get(upstream)
        if load is not None:
            pause_s = self._probe_failures.record_failure(upstream)
            load.paused_until = max(load.paused_until, now + pause_s)
        self._rounds.record_probe_end(upstream)
        return super().report_probe_failure(upstream, now)

    def abandon(self, request_id: int, now: float) -> list[Action]:
        """End a request whose caller has disconnected, and cancel its round and attempts."""
        self._rounds.cancel(request_id)
        return super().abandon(request_id, now)

    def end_all(self) -> list[Action]:
        """End all requests, because the process is about to be killed."""
        for record in self._requests.list_pending():
            self._rounds.cancel(record.info.request_id)
        return super().end_all()

    def set_members(self, members: Iterable[Member], now: float) -> list[Action]:
        """Replace the members of the service."""
        actions = super().set_members(members, now)
        actions += self._replace_lost_attempts(now)
        self._probe_failures.retain(self._loads.keys())
        self._probe_budget.set_upstreams(self._policy.name, len(self._loads))
        return actions

    def _replace_lost_attempts(self, now: float) -> list[Action]:
        """Act on the attempts whose upstream is no longer registered as it was when they began.

        Load pattern: an upstream dies without closing its connections, and requests with long
        deadlines wait for it. If it has started anew, the earlier process has ended and an attempt
        without a response has failed. If its entry has vanished, it may also be finishing its
        work, so idempotent requests are hedged and the others wait.
        """
        actions: list[Action] = []
        for (request_id, number), attempt in self._attempts.items():
            member = self._membership.members.get(attempt.load.member.upstream)
            if member is not None and member.incarnation == attempt.incarnation:
                continue
            record = self._requests.get(request_id)
            if record is None or number not in record.running:
                continue
            if member is not None:
                actions.append(Cancel(request_id, number, OutcomeReason.UPSTREAM_FAILED))
            elif not attempt.has_vanished and record.info.idempotent and self._may_hedge(record):
                attempt.has_vanished = True
                record.hedge_at = now
                self._schedule_hedge(now, record)
        return actions

    def set_policy(self, policy: ServicePolicy, processes: int, now: float) -> list[Action]:
        """Apply new settings; requests already accepted are kept."""
        actions = super().set_policy(policy, processes, now)
        if policy.request_probes is not None:
            self._rounds.policy = policy.request_probes
        return actions

    def tick(self, now: float) -> list[Action]:
        """Handle the timers that are due."""
        actions = self._start_due_hedges(now)
        return actions + super().tick(now)

    def get_next_tick_time(self, now: float) -> float | None:
        """Return the time of the next timer, or None without one."""
        times = [
            super().get_next_tick_time(now),
            self._rounds.get_next_check_time(now),
            self._hedge_timers.get_next_time(),
        ]
        return min((max(now, time) for time in times if time is not None), default=None)

    def _find_refusal(self, request: RequestInfo, now: float) -> OutcomeReason | None:
        """Return the reason to refuse a new request immediately, or None to accept it."""
        self._highest_priority = max(self._highest_priority, request.priority)
        self._deferrals.observe(request, now)
        if not self._router.count_usable():
            return OutcomeReason.NO_UPSTREAM
        return OutcomeReason.DEADLINE_UNREACHABLE if now >= request.deadline else None

    def _enqueue(self, record: RequestState, now: float) -> list[Action]:
        """Start the first probe round for the next attempt of a request."""
        record.fresh_since = now - SHARED_REPORT_MAX_AGE_S
        if record.attempts == 0:
            self._refill_probe_budget()
        return self._start_round(record, frozenset(), 1, False, now)

    def _refill_probe_budget(self) -> None:
        """Add the probes that a new request earns."""
        outstanding = sum(count_outstanding(load) for load in self._loads.values() if load.usable)
        self._probe_budget.refill(self._policy.name, outstanding, self._ejector.mean_duration_s)

    def _start_round(
        self,
        record: RequestState,
        probed: frozenset[str],
        number: int,
        is_hedge: bool,
        now: float,
    ) -> list[Action]:
        """Start a probe round; without candidates, end probing unless an attempt is in flight.

        Parameters
        ----------
        record : RequestState
            The request.
        probed : frozenset of str
            Upstreams of the earlier rounds for this attempt.
        number : int
            Number of the round, from 1.
        is_hedge : bool
            Whether the round is for a hedge.
        now : float
            Present time.
        """
        policy = self._rounds.policy
        excluded = probed | record.tried_upstreams
        loads = self._router.list_loads()
        max_probes = count_probes_allowed(policy, self._probe_budget, number)
        candidates = choose_candidates(loads, policy, excluded, max_probes, self._rng, now)
        if not candidates and not probed and not is_hedge:
            # All upstreams were tried before: another attempt at one of them is better than none.
            candidates = choose_candidates(loads, policy, frozenset(), max_probes, self._rng, now)
        if not candidates:
            if is_hedge:
                self._postpone_hedge(record, now)
            return [] if record.running else self._end_probing(record, probed, now)
        probe_round = ProbeRound(record.info.request_id, candidates, probed, number, is_hedge, now)
        probes = self._rounds.begin(probe_round, now)
        self._probe_budget.spend(len(probes))
        return [Probe(upstream) for upstream in probes]

    def _dispatch_ready(self, now: float) -> list[Action]:
        """Decide the rounds that are ready."""
        actions: list[Action] = []
        for probe_round in self._rounds.pop_ready(now):
            record = self._requests.get(probe_round.request_id)
            if record is not None:
                actions += self._decide_round(record, probe_round, now)
        return actions

    def _decide_round(
        self, record: RequestState, probe_round: ProbeRound, now: float
    ) -> list[Action]:
        """Send to the best candidate, start a further round, or end probing."""
        if now >= record.info.deadline:
            if record.running:
                return []
            return self._requests.fail(record, OutcomeReason.DEADLINE_UNREACHABLE)
        load = probe_round.choose(self._router.slots, self._ejector.mean_duration_s, now)
        if probe_round.is_hedge:
            hedge = None if load is None else self._send_hedge(record, load, now)
            if hedge is None:
                self._postpone_hedge(record, now)
                return []
            return [hedge]
        if load is not None and self._has_room_at(load, record, now):
            return [self._send_and_schedule_hedge(record, load, now)]
        if probe_round.number < self._rounds.policy.max_rounds:
            return self._start_round(record, probe_round.probed, probe_round.number + 1, False, now)
        return self._end_probing(record, probe_round.probed, now)

    def _end_probing(
        self, record: RequestState, probed: frozenset[str], now: float
    ) -> list[Action]:
        """Refuse a request if fresh reports show no room, else choose by older reports.

        Fresh reports are missing if this host is itself so slow that all of them come too late,
        or if the probe budget is used up in a long peak.
        """
        if self._has_fresh_report(record, probed):
            return self._refuse_without_room(record, now)
        load = self._choose_without_probes(record, now)
        if load is None:
            return self._requests.fail(record, OutcomeReason.UPSTREAM_UNREACHABLE)
        if not self._has_room_at(load, record, now):
            return self._refuse_without_room(record, now)
        return [self._send_and_schedule_hedge(record, load, now)]

    def _refuse_without_room(self, record: RequestState, now: float) -> list[Action]:
        """End a request for which no upstream has room."""
        is_deferred = self.is_deferrable(record.info, now)
        reason = OutcomeReason.DEFERRED if is_deferred else OutcomeReason.CONCURRENCY_LIMIT
        return self._requests.fail(record, reason)

    def _has_fresh_report(self, record: RequestState, probed: frozenset[str]) -> bool:
        """Return whether a probed upstream has reported since the probes for an attempt began."""
        return any(
            self._loads[name].report_at >= record.fresh_since
            for name in probed & self._loads.keys()
        )

    def _choose_without_probes(self, record: RequestState, now: float) -> UpstreamLoad | None:
        """Return the best upstream by the reports at hand."""
        # An upstream whose last probe failed is not chosen without another probe.
        excluded = record.tried_upstreams | self._probe_failures.upstreams
        return choose_without_probes(
            self._router.list_loads(),
            excluded,
            self._router.slots,
            self._ejector.mean_duration_s,
            now,
        )

    def _has_room_at(self, load: UpstreamLoad, record: RequestState, now: float) -> bool:
        """Return whether an upstream may take a request, by its queue and the deadline."""
        record.load_summary = describe_load(load, now)
        slots = self._router.slots if load.report is None else load.report.slots
        is_urgent = record.info.priority >= self._highest_priority
        share = URGENT_MAX_EXCESS_SHARE if is_urgent else MAX_EXCESS_SHARE
        best_concurrency = self._occupancy_profile.find_best_concurrency(slots)
        if self.is_deferrable(record.info, now):
            if count_excess(load, max(1, best_concurrency - RESERVED_SLOTS)) > 0:
                return False
        elif count_excess(load, best_concurrency) > share * best_concurrency:
            return False
        completion_s = estimate_completion_s(load, slots, self._ejector.mean_duration_s, now)
        return now + COMPLETION_TIME_SHARE * completion_s < record.info.deadline

    def is_deferrable(self, request: RequestInfo, now: float) -> bool:
        """Return whether a request gives way to more urgent ones; this changes nothing."""
        return self._policy.defers_requests and self._deferrals.is_deferrable(request, now)

    def _estimate_retry_after(self, request: RequestInfo, reason: OutcomeReason) -> float:
        """Return the least delay after which a refused caller should come back."""
        least_s = self._policy.retry_after_s
        if reason is not OutcomeReason.DEFERRED:
            return least_s
        return max(least_s, self._deferrals.compute_return_delay_s(request))

    def _send_and_schedule_hedge(
        self, record: RequestState, load: UpstreamLoad, now: float
    ) -> Action:
        """Send an attempt, and schedule a hedge for the case that it is slow."""
        info = record.info
        policy = self._rounds.policy
        if info.idempotent and policy.hedge_delay_share > 0 and info.latency_goal_s:
            record.hedge_at = now + policy.hedge_delay_share * info.latency_goal_s
            early = now + policy.early_hedge_delay_share * info.latency_goal_s
            self._schedule_hedge(min(early, record.hedge_at), record)
        return self._send(record, load, now)

    def _schedule_hedge(self, due: float, record: RequestState) -> None:
        """Set the timer for a hedge, unless the deadline comes first."""
        if due < record.info.deadline:
            self._hedge_timers.schedule(record.info.request_id, due)

    def _may_hedge(self, record: RequestState) -> bool:
        """Return whether a request has one attempt in flight and may have another."""
        if record.has_response_started:
            return False
        max_attempts = count_attempts_allowed(record.info, self._policy.retries)
        return len(record.running) == 1 and record.attempts < max_attempts

    def _send(self, record: RequestState, load: UpstreamLoad, now: float) -> Send:
        """Record the start of an attempt, and return the action that sends it."""
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
        """Start probe rounds for the hedges that are due."""
        actions: list[Action] = []
        for request_id in self._hedge_timers.pop_due(now):
            record = self._requests.get(request_id)
            if record is None or self._rounds.get(request_id) is not None:
                continue
            if not self._may_hedge(record):
                continue
            if now < record.hedge_at and not self._retry_budget.is_full():
                self._schedule_hedge(record.hedge_at, record)
                continue
            if not self._retry_budget.has_token(now) or self._lacks_probes_for(record):
                self._postpone_hedge(record, now)
                continue
            actions += self._start_round(record, frozenset(), 1, True, now)
        return actions

    def _lacks_probes_for(self, record: RequestState) -> bool:
        """Return whether probes are too scarce to look for an idle upstream again."""
        return (
            record.has_postponed_hedge
            and self._probe_budget.compute_token_share() < MULTI_ROUND_TOKEN_SHARE
        )

    def _postpone_hedge(self, record: RequestState, now: float) -> None:
        """Schedule another try of a hedge for which there was no retry or no idle upstream.

        Load pattern: a host with few requests has a retry to spend only every few seconds. A
        request at an instance that never responds would otherwise wait until its deadline.
        """
        if record.info.latency_goal_s and self._may_hedge(record):
            record.has_postponed_hedge = True
            self._schedule_hedge(now + HEDGE_RETRY_SHARE * record.info.latency_goal_s, record)

    def _send_hedge(self, record: RequestState, load: UpstreamLoad, now: float) -> Send | None:
        """Return a hedge if the upstream has a free slot and will probably complete it in time."""
        info = record.info
        slots = self._router.slots if load.report is None else load.report.slots
        best_concurrency = self._occupancy_profile.find_best_concurrency(slots)
        if not self._may_hedge(record) or count_excess(load, best_concurrency) > 0:
            return None
        completion_s = estimate_completion_s(load, slots, self._ejector.mean_duration_s, now)
        if (
            now + HEDGE_COMPLETION_TIME_SHARE * completion_s >= info.deadline
            or not self._retry_budget.take(now)
        ):
            return None
        record.retry_reason = RetryReason.SLOW_ATTEMPT
        return self._send(record, load, now)
