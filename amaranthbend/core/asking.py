"""Rounds of questions to upstreams about their load, just before an attempt is sent.

Load pattern: instances share their machines, so the time that work takes there changes
several times a second, and other processes fill slots meanwhile. Reports on earlier responses
are too old to choose by; a few answers of the last milliseconds are not.
"""

import math
import random
from collections.abc import Sequence

from .actions import UpstreamState
from .policy import AskPolicy
from .routing import UpstreamLoad

__all__ = ["AskRound", "AskRounds", "choose_candidates", "estimate_time"]

# Answers of this age still decide, so that requests that arrive together share them.
SHARED_ANSWER_S = 0.003
# An upstream that was full or slow this recently is asked only if no other is left.
BUSY_MEMORY_S = 0.04
# The distance to another data centre is paid in traffic between them as well as in time.
REMOTE_FACTOR = 1.1
# Work on a starting instance takes about twice as long until it is warm (platform's pages).
COLD_FACTOR = 2.0
# Instances may slow down when nearly full; applies above this share of the slots.
NEARLY_FULL_SHARE = 0.8
NEARLY_FULL_FACTOR = 1.5
# Weight of the observed share of failures: a failure costs the caller far more than waiting.
FAILURE_WEIGHT = 8.0


def count_ahead(load: UpstreamLoad, slots: int) -> int:
    """Return how many requests a new one would wait for, 0 if a slot is free."""
    report = load.report
    if report is None:
        return max(0, load.in_flight - slots + 1)
    held = report.in_flight + report.queued + load.sent_since_report
    return max(0, held - report.slots + 1)


def estimate_time(load: UpstreamLoad, slots: int, service_s: float, now: float) -> float:
    """Return the expected time until an upstream has run a new request, with its risks as time.

    Parameters
    ----------
    load : UpstreamLoad
        What is known of the upstream.
    slots : int
        Slots of an upstream that has not reported.
    service_s : float
        Mean time of recent requests, in seconds.
    now : float
        Present time.
    """
    report = load.report
    if report is not None:
        slots = report.slots
    held = load.in_flight if report is None else report.in_flight + load.sent_since_report
    run_s = service_s * (1.0 if report is None else report.slowdown)
    if held + 1 > NEARLY_FULL_SHARE * slots:
        run_s *= NEARLY_FULL_FACTOR
    if load.member.state is UpstreamState.COLD:
        run_s *= COLD_FACTOR
    time_s = run_s * (1.0 + count_ahead(load, slots) / max(1, slots))
    time_s *= 1.0 + FAILURE_WEIGHT * load.health.read_failure_share(now)
    return time_s * REMOTE_FACTOR if load.is_remote else time_s


def is_busy(load: UpstreamLoad, now: float) -> bool:
    """Return whether the upstream was full or slow a moment ago."""
    report = load.report
    if report is None or now - load.report_at > BUSY_MEMORY_S:
        return False
    return report.in_flight >= report.slots or report.slowdown > 2.0


def choose_candidates(
    loads: Sequence[UpstreamLoad],
    policy: AskPolicy,
    avoid: frozenset[str],
    draw: random.Random,
    now: float,
) -> list[UpstreamLoad]:
    """Return the upstreams to ask: mostly near ones, drawn at random among the promising.

    Parameters
    ----------
    loads : sequence of UpstreamLoad
        All upstreams of the service.
    policy : AskPolicy
        How many to ask.
    avoid : frozenset of str
        Upstreams that were asked or tried for this request before.
    draw : random.Random
        Source of the draw.
    now : float
        Present time.
    """
    near: list[tuple[float, UpstreamLoad]] = []
    far: list[tuple[float, UpstreamLoad]] = []
    for load in loads:
        if not load.usable or load.member.upstream in avoid:
            continue
        if load.most_in_flight is not None and load.in_flight >= load.most_in_flight:
            continue
        # Lower ranks are asked first; the random part spreads the processes.
        rank = draw.random()
        if is_busy(load, now):
            rank += 1.0
        if load.ejected:
            rank += 2.0
        if load.paused_until > now:
            rank += 4.0
        (far if load.is_remote else near).append((rank, load))
    near.sort(key=lambda entry: entry[0])
    far.sort(key=lambda entry: entry[0])
    count = policy.near + policy.far
    promising = [entry for entry in near if entry[0] < 2.0][: policy.near]
    promising += [entry for entry in far if entry[0] < 2.0][: count - len(promising)]
    if len(promising) < count:
        chosen = {id(entry[1]) for entry in promising}
        rest = [entry for entry in near + far if id(entry[1]) not in chosen]
        rest.sort(key=lambda entry: entry[0])
        promising += rest[: count - len(promising)]
    return [load for _, load in promising]


class AskRound:
    """Questions asked for one attempt of one request."""

    __slots__ = (
        "asked",
        "candidates",
        "is_second",
        "number",
        "pending",
        "request_id",
        "started_at",
    )

    def __init__(
        self,
        request_id: int,
        candidates: list[UpstreamLoad],
        asked: frozenset[str],
        number: int,
        is_second: bool,
        now: float,
    ) -> None:
        self.request_id = request_id
        self.candidates = candidates
        self.asked = asked | {load.member.upstream for load in candidates}
        self.pending: set[str] = set()
        self.number = number
        self.is_second = is_second
        self.started_at = now

    def choose(self, slots: int, service_s: float, now: float) -> UpstreamLoad | None:
        """Return the upstream with the least expected time among those that answered."""
        best: UpstreamLoad | None = None
        best_s = math.inf
        for load in self.candidates:
            if not load.usable or load.report_at < self.started_at - SHARED_ANSWER_S:
                continue
            time_s = estimate_time(load, slots, service_s, now)
            if time_s < best_s:
                best, best_s = load, time_s
        return best


class AskRounds:
    """The rounds that have not been decided.

    Parameters
    ----------
    policy : AskPolicy
        How many upstreams are asked, and for how long.
    """

    def __init__(self, policy: AskPolicy) -> None:
        self.policy = policy
        self._rounds: dict[int, AskRound] = {}

    def begin(self, ask_round: AskRound, now: float) -> list[str]:
        """Register a round, and return the upstreams that have to be probed for it."""
        self._rounds[ask_round.request_id] = ask_round
        probes: list[str] = []
        for load in ask_round.candidates:
            if now - load.report_at <= SHARED_ANSWER_S:
                continue
            ask_round.pending.add(load.member.upstream)
            if not load.probe_pending:
                load.probe_pending = True
                probes.append(load.member.upstream)
        return probes

    def get(self, request_id: int) -> AskRound | None:
        """Return the round of a request."""
        return self._rounds.get(request_id)

    def cancel(self, request_id: int) -> None:
        """Forget the round of a request."""
        self._rounds.pop(request_id, None)

    def note_end(self, upstream: str) -> None:
        """Record that a question was answered or has failed."""
        for ask_round in self._rounds.values():
            ask_round.pending.discard(upstream)

    def pop_decided(self, now: float) -> list[AskRound]:
        """Remove and return the rounds whose answers suffice, or whose time is over."""
        decided: list[AskRound] = []
        for ask_round in self._rounds.values():
            age_s = now - ask_round.started_at
            if ask_round.pending and age_s < self.policy.timeout_s:
                answered = len(ask_round.pending) < len(ask_round.candidates)
                if not answered or age_s < self.policy.patience_s:
                    continue
            decided.append(ask_round)
        for ask_round in decided:
            del self._rounds[ask_round.request_id]
        return decided

    def next_time(self, now: float) -> float | None:
        """Return when the next round has to be looked at."""
        due: float | None = None
        for ask_round in self._rounds.values():
            patient_until = ask_round.started_at + self.policy.patience_s
            limit = ask_round.started_at + self.policy.timeout_s
            time = patient_until if now < patient_until else limit
            due = time if due is None else min(due, time)
        return due
