"""Rounds of probes that ask upstreams for their load just before an attempt is sent.

Load pattern: instances share their machines, so the duration of work there changes several
times a second, and other entry processes fill slots in the meantime. Load reports of earlier
responses are too old to choose an upstream by; reports a few milliseconds old are not.
"""

import math
from collections.abc import Collection, Iterable, Sequence

from .cold_limits import COLD_TIME_FACTOR
from .occupancy import NEARLY_FULL_SHARE
from .policy import RequestProbePolicy
from .routing import UpstreamLoad

__all__ = [
    "SHARED_REPORT_MAX_AGE_S",
    "PendingProbeRounds",
    "ProbeRound",
    "RequestProbeBudget",
    "choose_without_probes",
    "count_excess",
    "count_outstanding",
    "describe_load",
    "estimate_completion_s",
]

# Reports up to this age are used without a new probe, so that requests that arrive together
# share them.
SHARED_REPORT_MAX_AGE_S = 0.003
# Factor on the expected time of an upstream with a pending probe, which may be unresponsive: it is
# chosen only if all others are much slower.
PENDING_PROBE_TIME_FACTOR = 4.0
# Factor on the expected time in another data centre, for the traffic between data centres as
# well as the delay.
REMOTE_TIME_FACTOR = 1.1
# Reports of cold upstreams in one round, and of no warm one, by which all count as cold.
MIN_COLD_REPORTS = 2
# Assumed slowdown of a nearly full upstream beyond the slowdown that it reports.
NEARLY_FULL_TIME_FACTOR = 1.5
# Size of the token bucket for probes, enough for some seconds of a peak, and the share of it that
# a new process starts with. The process may have spent as much just before its restart.
MAX_PROBE_TOKENS = 1500.0
INITIAL_TOKEN_SHARE = 0.3
# Most tokens added for one request: as many as it can spend on probes.
MAX_TOKENS_PER_REQUEST = 12.0
# Decay per request of the counts of submitted and sent requests, which thus cover about the last
# 100 requests.
COUNT_DECAY = 0.99
# Factor on the observed failure share: a failure costs the caller far more than waiting.
FAILURE_TIME_WEIGHT = 8.0


def count_outstanding(load: UpstreamLoad) -> int:
    """Return the known number of requests running or queued at an upstream."""
    report = load.report
    if report is None:
        return load.in_flight
    return report.in_flight + report.queued + load.sent_since_report


def count_excess(load: UpstreamLoad, best: int) -> int:
    """Return the number of requests above the best concurrency that a new one would lead to.

    Parameters
    ----------
    load : UpstreamLoad
        Load of the upstream.
    best : int
        Number of requests that the upstream runs best at the same time.
    """
    return max(0, count_outstanding(load) + 1 - best)


def estimate_completion_s(load: UpstreamLoad, slots: int, service_s: float, now: float) -> float:
    """Return the expected time in which an upstream completes a new request, in seconds.

    The risk of a failure and the cost of another data centre are included as extra time.

    Parameters
    ----------
    load : UpstreamLoad
        Load of the upstream.
    slots : int
        Slots of an upstream that has not reported any.
    service_s : float
        Mean duration of recent requests in seconds.
    now : float
        Present time.
    """
    report = load.report
    if report is not None:
        slots = report.slots
    running = load.in_flight if report is None else report.in_flight + load.sent_since_report
    run_s = service_s * (1.0 if report is None else report.slowdown)
    if running + 1 > NEARLY_FULL_SHARE * slots:
        run_s *= NEARLY_FULL_TIME_FACTOR
    if load.is_cold(now):
        run_s *= COLD_TIME_FACTOR
    time_s = run_s * (1.0 + max(0, count_outstanding(load) + 1 - slots) / max(1, slots))
    time_s *= 1.0 + FAILURE_TIME_WEIGHT * load.health.get_failure_share(now)
    return time_s * REMOTE_TIME_FACTOR if load.is_remote else time_s


def describe_load(load: UpstreamLoad, now: float) -> str:
    """Return a short text with the requests, slots, slowdown and report age of an upstream."""
    report = load.report
    if report is None:
        return f"{load.member.upstream}/unknown"
    age_ms = int((now - load.report_at) * 1000)
    occupancy = f"{count_outstanding(load)}of{report.slots}"
    return f"{load.member.upstream}/{occupancy}/{report.slowdown:g}x/{age_ms}ms"


class RequestProbeBudget:
    """Token bucket that limits the request probes of all hosts together at each upstream.

    Load pattern: requests are spread unevenly over the hosts, and one host may get all requests
    of a data centre while others restart. With an equal share of the probes for each host, that
    host would run out of them. So the bucket is refilled by requests: each adds the allowed
    probe rate of all upstreams, divided by the request rate of the deployment. The request rate
    follows from Little's law: outstanding requests at the upstreams over their mean residence
    time. Unused tokens are kept, since the limit holds on average and a peak needs more.
    """

    def __init__(self) -> None:
        self._rate_per_upstream = 0.0
        self._upstreams: dict[str, int] = {}
        # Estimated requests per second of all hosts, by service.
        self._requests_per_s: dict[str, float] = {}
        self._tokens = INITIAL_TOKEN_SHARE * MAX_PROBE_TOKENS
        self._submitted = 1.0
        self._sent = 1.0

    def set_limit(self, probes_per_s_per_upstream: float) -> None:
        """Set the average number of probes to one upstream in a second; 0 for no limit."""
        self._rate_per_upstream = probes_per_s_per_upstream

    def set_upstreams(self, service: str, count: int) -> None:
        """Set the number of upstreams of a service."""
        self._upstreams[service] = count

    def remove_service(self, service: str) -> None:
        """Forget a service that no longer exists; its upstreams allow no probes to others."""
        self._upstreams.pop(service, None)
        self._requests_per_s.pop(service, None)

    def record_send(self) -> None:
        """Record that a request was sent.

        Refused requests use probes too, but are not among the outstanding ones at upstreams.
        """
        self._sent += 1.0

    def refill(self, service: str, outstanding: int, residence_s: float) -> None:
        """Record a new request, and add its tokens.

        Parameters
        ----------
        service : str
            Service of the request.
        outstanding : int
            Requests running or queued at all upstreams of the service.
        residence_s : float
            Mean time in seconds that a request stays at an upstream.
        """
        self._submitted = 1.0 + COUNT_DECAY * self._submitted
        self._sent *= COUNT_DECAY
        self._requests_per_s[service] = max(1.0, outstanding) / max(residence_s, 0.001)
        if not self._rate_per_upstream:
            return
        submitted_per_sent = max(1.0, self._submitted / max(1.0, self._sent))
        demand = sum(self._requests_per_s.values()) * submitted_per_sent
        allowed = self._rate_per_upstream * sum(self._upstreams.values())
        self._tokens = min(
            MAX_PROBE_TOKENS, self._tokens + min(MAX_TOKENS_PER_REQUEST, allowed / demand)
        )

    def get_tokens(self) -> float:
        """Return the number of probes that may be sent now; infinite without a limit."""
        return self._tokens if self._rate_per_upstream else math.inf

    def compute_token_share(self) -> float:
        """Return the fill level of the bucket, 0 to 1; 1 without a limit."""
        return self._tokens / MAX_PROBE_TOKENS if self._rate_per_upstream else 1.0

    def spend(self, probes: int) -> None:
        """Remove the tokens of a number of probes."""
        self._tokens = max(0.0, self._tokens - probes)


def choose_fastest(
    weighted: Iterable[tuple[UpstreamLoad, float]], slots: int, service_s: float, now: float
) -> UpstreamLoad | None:
    """Return the upstream with the shortest expected time after multiplication by its weight."""
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
    """Return the upstream with the shortest expected time by the reports at hand."""
    eligible = [
        (load, PENDING_PROBE_TIME_FACTOR if load.probe_pending else 1.0)
        for load in loads
        if load.member.upstream not in excluded
        and load.is_below_slow_start_limit()
        and load.allows_unprobed_attempt(now)
    ]
    return choose_fastest(eligible, slots, service_s, now)


class ProbeRound:
    """Probes of several upstreams for one attempt of one request.

    Parameters
    ----------
    request_id : int
        Request that the attempt belongs to.
    candidates : list of UpstreamLoad
        Upstreams to choose from after the round.
    probed : frozenset of str
        Upstreams of the earlier rounds for this attempt.
    number : int
        Number of the round for this attempt, from 1.
    is_hedge : bool
        Whether the attempt is a hedge: a second one beside a slow one.
    now : float
        Present time.
    """

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
        """Return the upstream with the shortest expected time among those with fresh reports."""
        oldest = self.started_at - SHARED_REPORT_MAX_AGE_S
        reported = [load for load in self.candidates if load.usable and load.report_at >= oldest]
        allowed = [load for load in reported if load.allows_attempt(now)]
        held_back = [load.cold_gate for load in reported if load not in allowed]
        if held_back and held_back[0] is not None:
            held_back[0].record_held_back()
            allowed = allowed or self._list_last_resorts(reported, service_s, now)
        return choose_fastest([(load, 1.0) for load in allowed], slots, service_s, now)

    def _list_last_resorts(
        self, reported: list[UpstreamLoad], service_s: float, now: float
    ) -> list[UpstreamLoad]:
        """Return the upstreams that may be used because all that have reported are cold.

        Load pattern: all upstreams of a service have started together. The few hosts that may
        send to each of them get a small part of the requests, and all others would be refused.
        """
        if self.is_hedge or len(reported) < min(MIN_COLD_REPORTS, len(self.candidates)):
            return []
        return [
            load
            for load in reported
            if load.cold_gate is not None
            and load.cold_gate.allows_last_resort(count_outstanding(load), service_s, now)
        ]


class PendingProbeRounds:
    """Rounds that wait for probe results, by request.

    Parameters
    ----------
    policy : RequestProbePolicy
        Numbers of probes, and timeouts.
    """

    def __init__(self, policy: RequestProbePolicy) -> None:
        self.policy = policy
        self._rounds: dict[int, ProbeRound] = {}

    def begin(self, probe_round: ProbeRound, now: float) -> list[str]:
        """Register a round, and return the upstreams to which a probe has to be sent."""
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
        """Return the pending round of a request, or None."""
        return self._rounds.get(request_id)

    def cancel(self, request_id: int) -> None:
        """Remove the round of a request."""
        self._rounds.pop(request_id, None)

    def record_probe_end(self, upstream: str) -> None:
        """Record that the probe of an upstream was answered or has failed."""
        for probe_round in self._rounds.values():
            probe_round.pending.discard(upstream)

    def pop_ready(self, now: float) -> list[ProbeRound]:
        """Remove and return the rounds that can be decided.

        A round is ready when no probe is pending; after the soft timeout, when a probe of at
        least one candidate has ended or was not needed; and after the timeout in any case.
        """
        ready: list[ProbeRound] = []
        for probe_round in self._rounds.values():
            age_s = now - probe_round.started_at
            if probe_round.pending and age_s < self.policy.timeout_s:
                has_result = len(probe_round.pending) < len(probe_round.candidates)
                if not has_result or age_s < self.policy.soft_timeout_s:
                    continue
            ready.append(probe_round)
        for probe_round in ready:
            del self._rounds[probe_round.request_id]
        return ready

    def get_next_check_time(self, now: float) -> float | None:
        """Return the time at which the next round may become ready, or None."""
        due: float | None = None
        for probe_round in self._rounds.values():
            soft_limit = probe_round.started_at + self.policy.soft_timeout_s
            limit = probe_round.started_at + self.policy.timeout_s
            time = soft_limit if now < soft_limit else limit
            due = time if due is None else min(due, time)
        return due
