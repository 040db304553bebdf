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
from .asking import (
    SHARED_ANSWER_S,
    AskBudget,
    AskRound,
    AskRounds,
    choose_candidates,
    choose_unasked,
    count_ahead,
    count_held,
    describe_load,
    estimate_time,
)
from .attempts import RequestState, is_upstream_failure
from .dispatching import Dispatcher
from .outcomes import OutcomeReason, RetryReason
from .policy import ProbePolicy, ServicePolicy
from .retries import count_attempts_allowed
from .routing import UpstreamLoad
from .saturation import OccupancyProfile

__all__ = ["AskedDispatcher"]

# An upstream whose probe failed is asked again after this time, doubled for each failure in a
# row up to the limit: long enough to spare requests the wait, short enough for a brief outage.
SILENCE_PAUSE_S = 0.2
SILENCE_PAUSE_MAX_S = 1.6
# Requests that an upstream may hold beyond what it runs best, as a share of that: for the most
# urgent ones of the service, and for all others, so that a peak costs the less urgent first.
URGENT_QUEUE_SHARE = 0.67
QUEUE_SHARE = 0.34
# Part of the saved probes below which requests ask only once, and below which they ask fewer
# upstreams.
AMPLE_SHARE = 0.8
SCARCE_SHARE = 0.1
LEAST_ASKED = 2
# Part of the expected time that has to be left before the deadline. Runs vary, so that a first
# attempt is worth a risk; a second one draws on a shared budget.
FIRST_TIME_SHARE = 0.5
SECOND_TIME_SHARE = 0.8


class AskedDispatcher(Dispatcher):
    """Sends each attempt to the best of a few upstreams that were asked just before.

    Requests do not queue here: one that finds no upstream with room is refused at once, so that
    its caller can come back while there is time.

    Parameters
    ----------
    policy : ServicePolicy
        Settings of the service; `asking` must be set.
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
        budget: AskBudget | None = None,
    ) -> None:
        super().__init__(policy, probing, data_centre, seed, processes=processes)
        assert policy.asking is not None
        self._rounds = AskRounds(policy.asking)
        self._draw = random.Random(seed)
        # Probes in a row that brought nothing, by upstream; those that answered are not listed.
        self._silences: dict[str, int] = {}
        # Times at which requests in flight may get a second attempt.
        self._seconds: list[tuple[float, int]] = []
        # Priority of the most urgent request seen so far.
        self._top_priority = -math.inf
        self._profile = OccupancyProfile()
        # What an attempt met when it was sent: requests held with it, slots, slowdown.
        self._met: dict[tuple[int, int], tuple[int, int, float]] = {}
        self._asks = budget or AskBudget()

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:
        """Record a load report, and decide the rounds that waited for it."""
        self._silences.pop(upstream, None)
        actions = super().report(upstream, report, now)
        self._rounds.note_end(upstream)
        return actions + self._drain(now)

    def finish(
        self, request_id: int, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Record the end of an attempt, and learn how the upstream's load told on it."""
        met = self._met.pop((request_id, attempt), None)
        state = self._attempts.get((request_id, attempt))
        if state is not None and state.load.report_at <= state.started_at:
            # No report since it was sent tells that it has ended.
            state.load.sent_since_report = max(0, state.load.sent_since_report - 1)
        if met is not None and state is not None and result.status is AttemptStatus.ANSWERED:
            held, slots, slowdown = met
            if slowdown <= 1.0 and not is_upstream_failure(result):
                self._profile.note_answer(held, slots, now - state.started_at)
        return super().finish(request_id, attempt, result, now)

    def probe_failed(self, upstream: str, now: float) -> list[Action]:
        """Record that a probe brought no report, and leave the upstream alone for a while."""
        load = self._loads.get(upstream)
        if load is not None:
            failures = self._silences.get(upstream, 0)
            self._silences[upstream] = failures + 1
            pause_s = min(SILENCE_PAUSE_MAX_S, SILENCE_PAUSE_S * 2.0 ** min(failures, 8))
            load.paused_until = max(load.paused_until, now + pause_s)
        self._rounds.note_end(upstream)
        return super().probe_failed(upstream, now)

    def abandon(self, request_id: int, now: float) -> list[Action]:
        """End a request whose caller went away."""
        self._rounds.cancel(request_id)
        return super().abandon(request_id, now)

    def set_members(self, members: Iterable[Member], now: float) -> list[Action]:
        """Replace the host list of the service."""
        actions = super().set_members(members, now)
        for upstream in self._silences.keys() - self._loads.keys():
            del self._silences[upstream]
        self._asks.set_upstreams(self._policy.name, len(self._loads))
        return actions

    def set_policy(self, policy: ServicePolicy, processes: int, now: float) -> list[Action]:
        """Use other settings from now on; requests already accepted are kept."""
        actions = super().set_policy(policy, processes, now)
        if policy.asking is not None:
            self._rounds.policy = policy.asking
        return actions

    def tick(self, now: float) -> list[Action]:
        """Act on timers that are due."""
        actions = self._begin_seconds(now)
        return actions + super().tick(now)

    def next_tick(self, now: float) -> float | None:
        """Return the time of the next timer, or None."""
        times = [super().next_tick(now), self._rounds.next_time(now)]
        if self._seconds:
            times.append(self._seconds[0][0])
        return min((max(now, time) for time in times if time is not None), default=None)

    def _find_refusal(self, request: RequestInfo, now: float) -> OutcomeReason | None:
        """Return why a new request is refused at once, or None."""
        self._top_priority = max(self._top_priority, request.priority)
        if not self._router.count_usable():
            return OutcomeReason.NO_UPSTREAM
        return OutcomeReason.DEADLINE_UNREACHABLE if now >= request.deadline else None

    def _enqueue(self, record: RequestState, now: float) -> list[Action]:
        """Ask the first upstreams for a request."""
        record.asked_since = now - SHARED_ANSWER_S
        if record.attempts == 0:
            held = sum(count_held(load) for load in self._loads.values() if load.usable)
            self._asks.earn(self._policy.name, held, self._ejector.mean_duration_s)
        return self._ask(record, frozenset(), 1, False, now)

    def _ask(
        self,
        record: RequestState,
        asked: frozenset[str],
        number: int,
        is_second: bool,
        now: float,
    ) -> list[Action]:
        """Begin a round; without candidates the request ends, unless an attempt is running."""
        policy = self._rounds.policy
        avoid = asked | record.tried
        loads = self._router.list_loads()
        most = self._count_asks(number)
        candidates = choose_candidates(loads, policy, avoid, most, self._draw, now)
        if not candidates and not asked and not is_second:
            # All were tried before; a new attempt at one of them is better than none.
            candidates = choose_candidates(loads, policy, frozenset(), most, self._draw, now)
        if not candidates:
            return [] if record.running else self._end_asking(record, asked, now)
        ask_round = AskRound(record.info.request_id, candidates, asked, number, is_second, now)
        probes = self._rounds.begin(ask_round, now)
        self._asks.spend(len(probes))
        return [Probe(upstream) for upstream in probes]

    def _count_asks(self, number: int) -> int:
        """Return how many upstreams a round may ask; further rounds only with many probes saved."""
        most = self._rounds.policy.near + self._rounds.policy.far
        saved_share = self._asks.measure_saved()
        if number > 1 and saved_share < AMPLE_SHARE:
            return 0
        # Two answers bring most of the gain, so that scarce probes are spread over the requests.
        wanted = max(LEAST_ASKED, math.ceil(most * min(1.0, saved_share / SCARCE_SHARE)))
        return int(min(most, wanted, self._asks.count()))

    def _drain(self, now: float) -> list[Action]:
        """Decide the rounds that have their answers."""
        actions: list[Action] = []
        for ask_round in self._rounds.pop_decided(now):
            record = self._book.get(ask_round.request_id)
            if record is not None:
                actions += self._decide(record, ask_round, now)
        return actions

    def _decide(self, record: RequestState, ask_round: AskRound, now: float) -> list[Action]:
        """Send to the best candidate, ask others, or refuse."""
        if now >= record.info.deadline:
            return (
                []
                if record.running
                else self._book.give_up(record, OutcomeReason.DEADLINE_UNREACHABLE)
            )
        load = ask_round.choose(self._router.slots, self._ejector.mean_duration_s, now)
        if load is not None and ask_round.is_second:
            return self._send_second(record, load, now)
        if load is not None and self._has_room_at(load, record, now):
            return [self._send_first(record, load, now)]
        if ask_round.is_second:
            return []
        if ask_round.number < self._rounds.policy.rounds:
            return self._ask(record, ask_round.asked, ask_round.number + 1, False, now)
        return self._end_asking(record, ask_round.asked, now)

    def _end_asking(self, record: RequestState, asked: frozenset[str], now: float) -> list[Action]:
        """Refuse a request that found no room, or choose by older news.

        On a machine that is slow itself, all answers come too late to decide; and the probes of
        a long peak are limited.
        """
        if any(
            self._loads[name].report_at >= record.asked_since for name in asked & self._loads.keys()
        ):
            return self._book.give_up(record, OutcomeReason.CONCURRENCY_LIMIT)
        # An upstream that was silent when it was asked last is no choice without asking again.
        avoid = record.tried | self._silences.keys()
        load = choose_unasked(
            self._router.list_loads(), avoid, self._router.slots, self._ejector.mean_duration_s, now
        )
        if load is None:
            return self._book.give_up(record, OutcomeReason.UPSTREAM_UNREACHABLE)
        if not self._has_room_at(load, record, now):
            return self._book.give_up(record, OutcomeReason.CONCURRENCY_LIMIT)
        return [self._send_first(record, load, now)]

    def _has_room_at(self, load: UpstreamLoad, record: RequestState, now: float) -> bool:
        """Return whether the queue at an upstream is short enough for a request."""
        record.basis = describe_load(load, now)
        slots = self._router.slots if load.report is None else load.report.slots
        is_urgent = record.info.priority >= self._top_priority
        share = URGENT_QUEUE_SHARE if is_urgent else QUEUE_SHARE
        best = self._profile.find_best(slots)
        if count_ahead(load, best) > share * best:
            return False
        time_s = estimate_time(load, slots, self._ejector.mean_duration_s, now)
        return now + FIRST_TIME_SHARE * time_s < record.info.deadline

    def _send_first(self, record: RequestState, load: UpstreamLoad, now: float) -> Action:
        """Send an attempt, and plan a second one for the case that it is slow."""
        info = record.info
        policy = self._rounds.policy
        if info.idempotent and policy.second_share > 0 and info.latency_goal_s:
            record.second_due = now + policy.second_share * info.latency_goal_s
            early = now + policy.early_second_share * info.latency_goal_s
            self._plan_second(min(early, record.second_due), record)
        return self._send(record, load, now)

    def _plan_second(self, due: float, record: RequestState) -> None:
        """Look at a request again at a time, unless its deadline has passed by then."""
        if due < record.info.deadline:
            heapq.heappush(self._seconds, (due, record.info.request_id))

    def _may_send_second(self, record: RequestState) -> bool:
        """Return whether the only attempt in flight may get another one beside it."""
        most = count_attempts_allowed(record.info, self._policy.retries)
        return len(record.running) == 1 and record.attempts < most

    def _send(self, record: RequestState, load: UpstreamLoad, now: float) -> Send:
        """Start an attempt."""
        met = None
        record.basis = describe_load(load, now)
        if load.report is not None:
            met = (count_held(load) + 1, load.report.slots, load.report.slowdown)
        send = super()._send(record, load, now)
        if send.attempt == 1:
            self._asks.note_send()
        if met is not None:
            self._met[send.request_id, send.attempt] = met
        return send._replace(basis=record.basis)

    def _begin_seconds(self, now: float) -> list[Action]:
        """Ask upstreams for requests whose only attempt is slow."""
        actions: list[Action] = []
        while self._seconds and self._seconds[0][0] <= now:
            _, request_id = heapq.heappop(self._seconds)
            record = self._book.get(request_id)
            if record is None or self._rounds.get(request_id) is not None:
                continue
            if not self._may_send_second(record):
                continue
            if now < record.second_due and not self._budget.is_full():
                self._plan_second(record.second_due, record)
                continue
            if not self._budget.has_one(now):
                continue
            actions += self._ask(record, frozenset(), 1, True, now)
        return actions

    def _send_second(self, record: RequestState, load: UpstreamLoad, now: float) -> list[Action]:
        """Send a second attempt if it will probably end within the goal."""
        info = record.info
        slots = self._router.slots if load.report is None else load.report.slots
        best = self._profile.find_best(slots)
        if not self._may_send_second(record) or count_ahead(load, best) > 0:
            return []
        time_s = estimate_time(load, slots, self._ejector.mean_duration_s, now)
        if now + SECOND_TIME_SHARE * time_s >= info.deadline or not self._budget.take(now):
            return []
        record.retry_reason = RetryReason.SLOW_ATTEMPT
        return [self._send(record, load, now)]
