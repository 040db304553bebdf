"""Dispatcher that asks a few upstreams for their load before each attempt."""

import heapq
import random
from collections.abc import Iterable

from .actions import Action, LoadReport, Member, Probe, RequestInfo
from .asking import AskRound, AskRounds, choose_candidates, count_ahead, estimate_time
from .attempts import RequestState
from .dispatching import Dispatcher
from .outcomes import OutcomeReason, RetryReason
from .policy import ProbePolicy, ServicePolicy
from .routing import UpstreamLoad

__all__ = ["AskedDispatcher"]

# An upstream whose probe failed is asked again after this time, doubled for each failure in a
# row up to the limit: long enough to spare requests the wait, short enough for a brief outage.
SILENCE_PAUSE_S = 0.2
SILENCE_PAUSE_MAX_S = 1.6
# Requests that may wait at an upstream, as a share of its slots: the most urgent ones of the
# service, and all others, so that a peak costs the less urgent first.
URGENT_QUEUE_SHARE = 1.0
QUEUE_SHARE = 0.5
# A second attempt pays only on an upstream that will probably finish sooner than the first.
SECOND_GAIN = 0.8


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
        super().__init__(policy, probing, data_centre, seed, processes=processes)
        assert policy.asking is not None
        self._rounds = AskRounds(policy.asking)
        self._draw = random.Random(seed)
        self._silences: dict[str, int] = {}
        # Times at which requests in flight may get a second attempt.
        self._seconds: list[tuple[float, int]] = []
        self._top_priority = -(10**9)

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:
        """Record a load report, and decide the rounds that waited for it."""
        self._silences.pop(upstream, None)
        actions = super().report(upstream, report, now)
        self._rounds.note_end(upstream)
        return actions + self._drain(now)

    def probe_failed(self, upstream: str, now: float) -> list[Action]:
        """Record that a probe brought no report, and leave the upstream alone for a while."""
        load = self._loads.get(upstream)
        if load is not None:
            failures = self._silences.get(upstream, 0)
            self._silences[upstream] = min(8, failures + 1)
            pause_s = min(SILENCE_PAUSE_MAX_S, SILENCE_PAUSE_S * 2.0**failures)
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
        candidates = choose_candidates(loads, policy, avoid, self._draw, now)
        if not candidates and not asked and not is_second:
            # All were tried before; a new attempt at one of them is better than none.
            candidates = choose_candidates(loads, policy, frozenset(), self._draw, now)
        if not candidates:
            return [] if record.running else self._end_asking(record, asked, now)
        ask_round = AskRound(record.info.request_id, candidates, asked, number, is_second, now)
        probes = self._rounds.begin(ask_round, now)
        return [Probe(upstream) for upstream in probes]

    def _drain(self, now: float) -> list[Action]:
        """Decide the rounds that have their answers."""
        actions: list[Action] = []
        for ask_round in self._rounds.pop_decided(now):
            record = self._requests.get(ask_round.request_id)
            if record is not None:
                actions += self._decide(record, ask_round, now)
        return actions

    def _decide(self, record: RequestState, ask_round: AskRound, now: float) -> list[Action]:
        """Send to the best candidate, ask others, or refuse."""
        if now >= record.info.deadline:
            return (
                [] if record.running else self._give_up(record, OutcomeReason.DEADLINE_UNREACHABLE)
            )
        load = ask_round.choose(self._router.slots, self._ejector.mean_s, now)
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
        """Refuse a request that found no room, or send it although nobody answered in time.

        On a machine that is slow itself, all answers come too late to decide.
        """
        answered_after = now - self._rounds.policy.rounds * self._rounds.policy.timeout_s
        if any(load.report_at > answered_after for load in self._list_loads(asked)):
            return self._give_up(record, OutcomeReason.CONCURRENCY_LIMIT)
        limit = max(1, self._policy.connections_per_upstream // self._processes)
        load = self._router.choose(limit, record.tried, None, self._ejector.mean_s, now)
        if load is None or load.paused_until > now:
            return self._give_up(record, OutcomeReason.UPSTREAM_UNREACHABLE)
        return [self._send_first(record, load, now)]

    def _list_loads(self, upstreams: frozenset[str]) -> list[UpstreamLoad]:
        return [self._loads[name] for name in upstreams if name in self._loads]

    def _has_room_at(self, load: UpstreamLoad, record: RequestState, now: float) -> bool:
        """Return whether the queue at an upstream is short enough for a request."""
        slots = self._router.slots if load.report is None else load.report.slots
        is_urgent = record.info.priority >= self._top_priority
        share = URGENT_QUEUE_SHARE if is_urgent else QUEUE_SHARE
        if count_ahead(load, slots) > share * slots:
            return False
        wait_s = estimate_time(load, slots, self._ejector.mean_s, now)
        return now + 0.5 * wait_s < record.info.deadline

    def _send_first(self, record: RequestState, load: UpstreamLoad, now: float) -> Action:
        """Send an attempt, and plan a second one for the case that it is slow."""
        info = record.info
        share = self._rounds.policy.second_share
        if info.idempotent and share > 0 and info.latency_goal_s:
            due = now + share * info.latency_goal_s
            if due < info.deadline:
                heapq.heappush(self._seconds, (due, info.request_id))
        return self._send(record, load, now)

    def _may_send_second(self, record: RequestState) -> bool:
        """Return whether the only attempt in flight may get another one beside it."""
        most = record.info.max_attempts
        if most is None:
            most = self._policy.retries.max_attempts
        return len(record.running) == 1 and record.attempts < most

    def _begin_seconds(self, now: float) -> list[Action]:
        """Ask upstreams for requests whose only attempt is slow."""
        actions: list[Action] = []
        while self._seconds and self._seconds[0][0] <= now:
            _, request_id = heapq.heappop(self._seconds)
            record = self._requests.get(request_id)
            if record is None or self._rounds.get(request_id) is not None:
                continue
            if not self._may_send_second(record):
                continue
            if not self._budget.has_one(now):
                continue
            actions += self._ask(record, frozenset(), 1, True, now)
        return actions

    def _send_second(self, record: RequestState, load: UpstreamLoad, now: float) -> list[Action]:
        """Send a second attempt if it will probably end within the goal."""
        info = record.info
        slots = self._router.slots
        if not self._may_send_second(record) or count_ahead(load, slots) > 0:
            return []
        time_s = estimate_time(load, slots, self._ejector.mean_s, now)
        if now + SECOND_GAIN * time_s >= info.deadline or not self._budget.take(now):
            return []
        record.retry_reason = RetryReason.SLOW_ATTEMPT
        return [self._send(record, load, now)]
