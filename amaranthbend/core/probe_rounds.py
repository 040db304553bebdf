"""Rounds of questions to upstreams about their load, just before an attempt is sent.

Load pattern: instances share their machines, so the time that work takes there changes
several times a second, and other processes fill slots meanwhile. Reports on earlier responses
are too old to choose by; a few answers of the last milliseconds are not.
"""

import math
import random
from collections.abc import Collection, Iterable, Sequence

from .actions import UpstreamState
from .occupancy import NEARLY_FULL_SHARE
from .policy import RequestProbePolicy
from .routing import UpstreamLoad

__all__ = [
    "SHARED_REPORT_MAX_AGE_S",
    "RequestProbeBudget",
    "ProbeRound",
    "PendingProbeRounds",
    "choose_candidates",
    "choose_without_probes",
    "count_excess",
    "count_outstanding",
    "describe_load",
    "estimate_completion_s",
]

# Answers of this age still decide, so that requests that arrive together share them.
SHARED_REPORT_MAX_AGE_S = 0.003
# An upstream that was full or slow this recently is asked only if no other is left. Longer than
# the time in which one slot becomes free, shorter than a slow spell of its machine.
BUSY_REPORT_MAX_AGE_S = 0.08
BUSY_SLOWDOWN = 2.0
# An upstream whose probe is under way may be silent; others are chosen if they are not far worse.
PENDING_PROBE_TIME_FACTOR = 4.0
# Upstreams close connections that were idle for 10 s (platform's pages: the time stands in
# `Keep-Alive`); below that a question probably finds an open one.
CONNECTION_OPEN_S = 8.0
# Upstreams asked lately from which on they are preferred: several times those of one round, so
# that there is a choice.
MIN_CONNECTED_UPSTREAMS = 12
# Part of the rounds that begin with an upstream that was not asked lately.
UNCONNECTED_ROUND_SHARE = 0.3
# The distance to another data centre is paid in traffic between them as well as in time.
REMOTE_TIME_FACTOR = 1.1
# Work on a starting instance takes about twice as long until it is warm (platform's pages).
COLD_TIME_FACTOR = 2.0
# Slowdown of a nearly full upstream as far as it is not measured yet.
NEARLY_FULL_TIME_FACTOR = 1.5
# Probes that a host can save up, some seconds of a peak; and those that a new process has, which
# may have spent as many just before it was restarted.
MAX_PROBE_TOKENS = 1500.0
INITIAL_TOKEN_SHARE = 0.3
# Probes that one request earns at most: as many as it can ask.
MAX_TOKENS_PER_REQUEST = 12.0
# Counts of submitted and sent requests cover about the last hundred.
COUNT_DECAY = 0.99
# Weight of the observed share of failures: a failure costs the caller far more than waiting.
FAILURE_TIME_WEIGHT = 8.0


def count_outstanding(load: UpstreamLoad) -> int:
    """Return how many requests an upstream holds, as far as is known."""
    report = load.report
    if report is None:
        return load.in_flight
    return report.in_flight + report.queued + load.sent_since_report


def count_excess(load: UpstreamLoad, best: int) -> int:
    """Return by how many requests a new one would exceed what the upstream runs best."""
    return max(0, count_outstanding(load) + 1 - best)


def estimate_completion_s(load: UpstreamLoad, slots: int, service_s: float, now: float) -> float:
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
        run_s *= NEARLY_FULL_TIME_FACTOR
    if load.member.state is UpstreamState.COLD:
        run_s *= COLD_TIME_FACTOR
    time_s = run_s * (1.0 + max(0, count_outstanding(load) + 1 - slots) / max(1, slots))
    time_s *= 1.0 + FAILURE_TIME_WEIGHT * load.health.read_failure_share(now)
    return time_s * REMOTE_TIME_FACTOR if load.is_remote else time_s


def describe_load(load: UpstreamLoad, now: float) -> str:
    """Return what is known of an upstream: requests held, slots, slowdown, age of the report."""
    report = load.report
    if report is None:
        return f"{load.member.upstream}/unknown"
    age_ms = int((now - load.report_at) * 1000)
    held = f"{count_outstanding(load)}of{report.slots}"
    return f"{load.member.upstream}/{held}/{report.slowdown:g}x/{age_ms}ms"


def is_busy(load: UpstreamLoad, now: float) -> bool:
    """Return whether the upstream was full or slow a moment ago."""
    report = load.report
    if report is None or now - load.report_at > BUSY_REPORT_MAX_AGE_S:
        return False
    return (
        count_outstanding(load) >= NEARLY_FULL_SHARE * report.slots
        or report.slowdown > BUSY_SLOWDOWN
    )


def order_connected_first(
    ranked: list[tuple[float, UpstreamLoad]], rng: random.Random, now: float
) -> list[tuple[float, UpstreamLoad]]:
    """Return upstreams in the order of their ranks, those asked lately before the others.

    Load pattern: a host of a large deployment has few requests and hundreds of upstreams. Drawn
    evenly, nearly each question opens a connection that is closed again before the next one.
    A few others are asked all the time, so that what each host prefers keeps changing.
    """
    connected: list[tuple[float, UpstreamLoad]] = []
    unconnected: list[tuple[float, UpstreamLoad]] = []
    for entry in ranked:
        (connected if now - entry[1].report_at < CONNECTION_OPEN_S else unconnected).append(entry)
    if len(connected) < MIN_CONNECTED_UPSTREAMS or not unconnected:
        return sorted(ranked, key=lambda entry: entry[0])
    connected.sort(key=lambda entry: entry[0])
    unconnected.sort(key=lambda entry: entry[0])
    if rng.random() < UNCONNECTED_ROUND_SHARE:
        connected.insert(0, unconnected.pop(0))
    return connected + unconnected


def choose_candidates(
    loads: Sequence[UpstreamLoad],
    policy: RequestProbePolicy,
    excluded: frozenset[str],
    max_probes: int,
    rng: random.Random,
    now: float,
) -> list[UpstreamLoad]:
    """Return the upstreams to ask: mostly near ones, drawn at random among the promising.

    Parameters
    ----------
    loads : sequence of UpstreamLoad
        All upstreams of the service.
    policy : AskPolicy
        How many to ask.
    excluded : frozenset of str
        Upstreams that were asked or tried for this request before.
    max_probes : int
        Most upstreams to return.
    rng : random.Random
        Source of the draw.
    now : float
        Present time.
    """
    local: list[tuple[float, UpstreamLoad]] = []
    remote: list[tuple[float, UpstreamLoad]] = []
    rest: list[tuple[float, UpstreamLoad]] = []
    for load in loads:
        if load.member.upstream in excluded or not load.has_room():
            continue
        # Lower ranks are asked first; the random part spreads the processes.
        rank = rng.random()
        if load.paused_until > now:
            rest.append((rank + 3.0, load))
        elif load.ejected:
            rest.append((rank + 2.0, load))
        elif is_busy(load, now):
            rest.append((rank + (1.0 if load.is_remote else 0.5), load))
        else:
            (remote if load.is_remote else local).append((rank, load))
    local = order_connected_first(local, rng, now)
    remote = order_connected_first(remote, rng, now)
    rest.sort(key=lambda entry: entry[0])
    probe_count = min(max_probes, policy.local_probes + policy.remote_probes)
    chosen = local[: min(probe_count, policy.local_probes)]
    chosen += remote[: probe_count - len(chosen)]
    chosen += local[policy.local_probes :][: probe_count - len(chosen)]
    chosen += rest[: probe_count - len(chosen)]
    return [load for _, load in chosen]


class RequestProbeBudget:
    """Limits probes before attempts to what upstreams should bear from all hosts together.

    Load pattern: requests are spread unevenly over the hosts, and one host may get all of a
    data centre's while others restart. Equal shares would leave it blind. So each request earns
    probes in proportion to what the deployment's requests leave for it; their rate follows from
    Little's law, as requests held at the upstreams over the mean time that they stay. Unspent
    probes are saved up, since the limit holds on average, and a peak needs more.
    """

    def __init__(self) -> None:
        self._rate_per_upstream = 0.0
        self._upstreams: dict[str, int] = {}
        # Estimated requests a second of all hosts, by service.
        self._requests_per_s: dict[str, float] = {}
        self._tokens = INITIAL_TOKEN_SHARE * MAX_PROBE_TOKENS
        self._submitted = 1.0
        self._sent = 1.0

    def set_limit(self, per_upstream: float) -> None:
        """Set the probes to one upstream in a second on average; 0 for no limit."""
        self._rate_per_upstream = per_upstream

    def set_upstreams(self, service: str, count: int) -> None:
        """Set how many upstreams a service has."""
        self._upstreams[service] = count

    def record_send(self) -> None:
        """Record that a request was sent; refused ones ask too, but hold nothing anywhere."""
        self._sent += 1.0

    def refill(self, service: str, held: int, residence_s: float) -> None:
        """Record a new request, and save up the probes that it may spend.

        Parameters
        ----------
        service : str
            Service of the request.
        held : int
            Requests that all upstreams of the service hold.
        residence_s : float
            Mean time that a request stays there.
        """
        self._submitted = 1.0 + COUNT_DECAY * self._submitted
        self._sent *= COUNT_DECAY
        self._requests_per_s[service] = max(1.0, held) / max(residence_s, 0.001)
        if not self._rate_per_upstream:
            return
        submitted_per_sent = max(1.0, self._submitted / max(1.0, self._sent))
        demand = sum(self._requests_per_s.values()) * submitted_per_sent
        allowed = self._rate_per_upstream * sum(self._upstreams.values())
        self._tokens = min(
            MAX_PROBE_TOKENS, self._tokens + min(MAX_TOKENS_PER_REQUEST, allowed / demand)
        )

    def get_tokens(self) -> float:
        """Return how many probes are left; infinite without a limit."""
        return self._tokens if self._rate_per_upstream else math.inf

    def compute_token_share(self) -> float:
        """Return the part of the probes that can be saved up which is left, 0 to 1."""
        return self._tokens / MAX_PROBE_TOKENS if self._rate_per_upstream else 1.0

    def spend(self, probes: int) -> None:
        """Record probes."""
        self._tokens = max(0.0, self._tokens - probes)


def choose_fastest(
    weighted: Iterable[tuple[UpstreamLoad, float]], slots: int, service_s: float, now: float
) -> UpstreamLoad | None:
    """Return the upstream whose expected time, times its weight, is the least."""
    best: UpstreamLoad | None = None
    best_s = math.inf
    for load, weight in weighted:
        time_s = weight * estimate_completion_s(load, slots, service_s, now)
        if time_s < best_s:
            best, best_s = load, time_s
    return best


def choose_without_probes(
    loads: Sequence[UpstreamLoad],
    excluded: Collection[str],
    slots: int,
    service_s: float,
    now: float,
) -> UpstreamLoad | None:
    """Return the upstream with the least expected time by the news that is there."""
    eligible = [
        (load, PENDING_PROBE_TIME_FACTOR if load.probe_pending else 1.0)
        for load in loads
        if load.member.upstream not in excluded and load.has_room()
    ]
    return choose_fastest(eligible, slots, service_s, now)


class ProbeRound:
    """Questions asked for one attempt of one request."""

    __slots__ = (
        "probed",
        "candidates",
        "is_hedge",
        "number",
        "pending",
        "request_id",
        "started_at",
    )

    def __init__(
        self,
        request_id: int,
        candidates: list[UpstreamLoad],
        probed: frozenset[str],
        number: int,
        is_hedge: bool,
        now: float,
    ) -> None:
        self.request_id = request_id
        self.candidates = candidates
        self.probed = probed | {load.member.upstream for load in candidates}
        self.pending: set[str] = set()
        self.number = number
        self.is_hedge = is_hedge
        self.started_at = now

    def choose(self, slots: int, service_s: float, now: float) -> UpstreamLoad | None:
        """Return the upstream with the least expected time among those that answered."""
        oldest = self.started_at - SHARED_REPORT_MAX_AGE_S
        answered = [
            (load, 1.0) for load in self.candidates if load.usable and load.report_at >= oldest
        ]
        return choose_fastest(answered, slots, service_s, now)


class PendingProbeRounds:
    """The rounds that have not been decided.

    Parameters
    ----------
    policy : AskPolicy
        How many upstreams are asked, and for how long.
    """

    def __init__(self, policy: RequestProbePolicy) -> None:
        self.policy = policy
        self._rounds: dict[int, ProbeRound] = {}

    def begin(self, probe_round: ProbeRound, now: float) -> list[str]:
        """Register a round, and return the upstreams that have to be probed for it."""
        self._rounds[probe_round.request_id] = probe_round
        probes: list[str] = []
        for load in probe_round.candidates:
            if now - load.report_at <= SHARED_REPORT_MAX_AGE_S:
                continue
            probe_round.pending.add(load.member.upstream)
            if not load.probe_pending:
                load.probe_pending = True
                probes.append(load.member.upstream)
        return probes

    def get(self, request_id: int) -> ProbeRound | None:
        """Return the round of a request."""
        return self._rounds.get(request_id)

    def cancel(self, request_id: int) -> None:
        """Forget the round of a request."""
        self._rounds.pop(request_id, None)

    def record_probe_end(self, upstream: str) -> None:
        """Record that a question was answered or has failed."""
        for probe_round in self._rounds.values():
            probe_round.pending.discard(upstream)

    def pop_ready(self, now: float) -> list[ProbeRound]:
        """Remove and return the rounds whose answers suffice, or whose time is over."""
        decided: list[ProbeRound] = []
        for probe_round in self._rounds.values():
            age_s = now - probe_round.started_at
            if probe_round.pending and age_s < self.policy.timeout_s:
                answered = len(probe_round.pending) < len(probe_round.candidates)
                if not answered or age_s < self.policy.soft_timeout_s:
                    continue
            decided.append(probe_round)
        for probe_round in decided:
            del self._rounds[probe_round.request_id]
        return decided

    def get_next_check_time(self, now: float) -> float | None:
        """Return when the next round has to be looked at."""
        due: float | None = None
        for probe_round in self._rounds.values():
            patient_until = probe_round.started_at + self.policy.soft_timeout_s
            limit = probe_round.started_at + self.policy.timeout_s
            time = patient_until if now < patient_until else limit
            due = time if due is None else min(due, time)
        return due
