"""Choice of the upstream with the shortest expected queue for one request.

The load of an upstream is estimated as the requests of this process in flight
there, which are known exactly, plus those of other processes, which are taken
from load reports. As a report ages, the estimate moves from the reported value
towards the average of the upstream, and its uncertainty grows. The cost of an
upstream is the expected number of requests ahead of a new one. Uncertainty
raises the cost, so that an old report of an idle instance does not attract
requests of all processes at once.
"""

import math
import random
from collections.abc import Iterable

import xxhash

from .actions import Exclusion, LoadReport, Member, UpstreamState, UpstreamView
from .cold_limits import ColdGate, ColdLimits
from .ejection import UpstreamHealth, estimate_slowness_cost

__all__ = ["Router", "UpstreamLoad"]

# Time constant of the averages of other processes' load.
AVERAGING_TIME_S = 0.3
# Standard deviation of a fresh report, in requests.
FRESH_DEVIATION_REQUESTS = 0.2
# Scale of a logistic distribution whose standard deviation is 1: sqrt(3) / pi, about 0.55.
DEVIATION_SCALE = 0.55
# Time constant with which a load report loses its value, as a multiple of the service time; valid
# for service times of 5 to 40 ms.
RELAXATION_SERVICE_TIMES = 0.5
RELAXATION_MIN_S = 0.001
# Age that is added to a report, for the transit of the report and of the next request; both take
# longer between data centres.
REMOTE_EXTRA_AGE_S = 0.003
LOCAL_EXTRA_AGE_S = 0.0002
# Cost of an upstream in another data centre, in waiting requests: about the extra round trip
# divided by the time in which one slot of an instance becomes free. 0.3 holds for instances
# with 6 and with 3 slots.
REMOTE_COST_REQUESTS = 0.3
# Requests of this process sent within this time may not be in a report yet.
REQUEST_TRANSIT_S = 0.01
# A report of fewer requests than this process has in flight at the upstream adds 1 to the mismatch
# score of the upstream; any other report lowers it by less. From the limit on, the estimate uses
# averages in place of the report.
MISMATCH_LIMIT = 3.0
MISMATCH_MAX = 20.0
MISMATCH_DECAY = 0.25
# Largest random cost, so that processes without any reports choose different upstreams.
TIE_BREAK_COST = 1e-4
# Extra cost of an upstream at which the request was tried before, larger than any queue.
TRIED_BEFORE_COST = 1e6
# An upstream that refused a request gets fewer requests for this time, so that it can recover.
REFUSAL_PAUSE_S = 0.05


class UpstreamLoad:
    """Load of one upstream, as known to this process.

    Parameters
    ----------
    member : Member
        The upstream.
    is_remote : bool
        Whether it runs in another data centre than this process.
    affinity : int
        Preference of this process for the upstream among others that are equally good.
    """

    __slots__ = (
        "absence",
        "affinity",
        "cold_gate",
        "mismatch_score",
        "ejected",
        "health",
        "in_flight",
        "is_remote",
        "last_sent_at",
        "long_in_flight",
        "mean_other_requests",
        "member",
        "max_in_flight",
        "other_requests",
        "paused_until",
        "probe_pending",
        "probed_at",
        "report",
        "report_at",
        "sent_since_report",
        "usable",
        "variance_other_requests",
    )

    def __init__(self, member: Member, is_remote: bool, affinity: int) -> None:
        self.member = member
        self.is_remote = is_remote
        self.affinity = affinity
        # Why it may not receive new requests, by the list of upstreams; None if it may. `usable`
        # says the same for loops over all upstreams, and both are set by `set_absence`.
        self.absence: Exclusion | None = None
        self.usable = True
        # None where cold upstreams are not limited.
        self.cold_gate: ColdGate | None = None
        self.health = UpstreamHealth()
        self.ejected = False
        self.in_flight = 0
        self.long_in_flight = 0
        self.max_in_flight: int | None = None
        self.paused_until = -math.inf
        self.last_sent_at = -math.inf
        self.probe_pending = False
        self.probed_at = -math.inf
        self.report: LoadReport | None = None
        self.report_at = -math.inf
        self.sent_since_report = 0
        self.other_requests = 0.0
        self.mean_other_requests = 1.0
        self.variance_other_requests = 2.0
        self.mismatch_score = 0.0

    def is_cold(self, now: float) -> bool:
        """Return whether work takes longer because the upstream has just started."""
        if self.cold_gate is None:
            return self.member.state is UpstreamState.COLD
        return self.cold_gate.is_cold(now)

    def allows_attempt(self, now: float) -> bool:
        """Return whether the upstream is usable and, while cold, may get a request now."""
        return self.usable and (self.cold_gate is None or self.cold_gate.allows_attempt(now))

    def allows_unprobed_attempt(self, now: float) -> bool:
        """Return whether it may get a request although it was not probed just before."""
        if self.cold_gate is None:
            return self.usable
        return self.usable and self.cold_gate.allows_unprobed_attempt(self.report_at, now)

    def set_absence(self, absence: Exclusion | None) -> None:
        """Set why the upstream may not receive new requests, None if it may."""
        self.absence = absence
        self.usable = absence is None

    def find_bar(self, now: float) -> Exclusion | None:
        """Return why the upstream may not get a request, whatever the others are like."""
        if self.absence is not None:
            return self.absence
        if self.max_in_flight is not None and self.in_flight >= self.max_in_flight:
            return Exclusion.SLOW_START
        if self.cold_gate is not None and not self.cold_gate.allows_attempt(now):
            return Exclusion.COLD
        return None

    def may_be_warm(self) -> bool:
        """Return whether a probe may show that an upstream counted as cold is not."""
        return self.cold_gate is None or not self.cold_gate.is_confirmed

    def is_below_slow_start_limit(self) -> bool:
        """Return whether its slow start allows another request."""
        return self.max_in_flight is None or self.in_flight < self.max_in_flight

    def record_report(self, report: LoadReport, own_requests: int, now: float) -> None:
        """Record a load report, and update the average load by other processes.

        Parameters
        ----------
        report : LoadReport
            The report.
        own_requests : int
            Requests of this process that the report should include.
        now : float
            Present time.
        """
        total = report.in_flight + report.queued
        if total < own_requests and now - self.last_sent_at > REQUEST_TRANSIT_S:
            self.mismatch_score = min(MISMATCH_MAX, self.mismatch_score + 1.0)
        else:
            self.mismatch_score = max(0.0, self.mismatch_score - MISMATCH_DECAY)
        interval_s = min(AVERAGING_TIME_S * 10, now - self.report_at)
        weight = 1.0 - math.exp(-interval_s / AVERAGING_TIME_S)
        self.report = report
        self.report_at = now
        self.sent_since_report = 0
        self.other_requests = float(max(0, total - own_requests))
        error = self.other_requests - self.mean_other_requests
        self.mean_other_requests += weight * error
        self.variance_other_requests += weight * (error * error - self.variance_other_requests)

    def describe(self, now: float) -> UpstreamView:
        """Return the state of the upstream for the administration API."""
        age_s = None if self.report is None else now - self.report_at
        is_unavailable = self.ejected or not self.usable
        return UpstreamView(self.member, self.in_flight, self.report, age_s, is_unavailable)


class Router:
    """Chooses the upstream with the shortest expected queue.

    Parameters
    ----------
    data_centre : str
        Data centre of this process, preferred until its upstreams cost more than remote ones.
    slots : int
        Slots of an upstream that has not reported yet.
    seed : int
        Seed of the random cost that breaks ties, and of the affinities.
    """

    def __init__(self, data_centre: str, slots: int, seed: int) -> None:
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._seed = seed
        self._loads: list[UpstreamLoad] = []
        self.slots = slots
        self._service = ""
        self._cold_limits: ColdLimits | None = None
        self._cold_rate_per_s = 0.0

    def make_load(self, member: Member) -> UpstreamLoad:
        """Return the load record of a new upstream."""
        affinity = xxhash.xxh64_intdigest(member.upstream.encode(), self._seed)
        load = UpstreamLoad(member, member.data_centre != self._data_centre, affinity)
        self._set_cold_gate(load)
        return load

    def limit_cold(self, limits: ColdLimits | None, service: str, rate_per_s: float) -> None:
        """Limit what cold upstreams get.

        Parameters
        ----------
        limits : ColdLimits or None
            Limits of this host; None for no limit.
        service : str
            Name of the service.
        rate_per_s : float
            Requests per second that a cold upstream tolerates from all hosts; 0 for no limit.
        """
        self._service = service
        self._cold_limits = limits
        self._cold_rate_per_s = rate_per_s
        for load in self._loads:
            self._set_cold_gate(load)

    def _set_cold_gate(self, load: UpstreamLoad) -> None:
        rate_per_s = self._cold_rate_per_s
        if self._cold_limits is None or rate_per_s <= 0:
            load.cold_gate = None
        elif load.cold_gate is not None:
            load.cold_gate.rate_per_s = rate_per_s
        else:
            name = f"{self._service}/{load.member.upstream}"
            load.cold_gate = ColdGate(self._cold_limits, name, load.member.data_centre, rate_per_s)

    def set_loads(self, loads: Iterable[UpstreamLoad]) -> None:
        """Set the upstreams to choose from; local ones come first, which shortens the search."""
        self._loads = sorted(loads, key=lambda load: load.is_remote)

    def list_loads(self) -> list[UpstreamLoad]:
        """Return the upstreams to choose from, local ones first."""
        return self._loads

    def count_usable(self) -> int:
        """Return the number of upstreams that have not departed, ejected ones included."""
        return sum(load.usable for load in self._loads)

    def are_all_ejected(self) -> bool:
        """Return whether all usable upstreams are ejected."""
        return not any(load.usable and not load.ejected for load in self._loads)

    def count_slots(self) -> int:
        """Return the slots of all usable upstreams."""
        slots = 0
        for load in self._loads:
            if load.usable:
                slots += self.slots if load.report is None else load.report.slots
        return slots

    def choose(
        self,
        connection_limit: int,
        avoid: frozenset[str],
        long_limit: int | None,
        service_s: float,
        now: float,
    ) -> UpstreamLoad | None:
        """Return the upstream for the next request, or None if all are at their limit.

        Parameters
        ----------
        connection_limit : int
            Maximum number of requests of this process in flight at one upstream.
        avoid : frozenset of str
            Upstreams at which this request was tried before; used only if no other is left.
        long_limit : int or None
            Maximum number of long requests of this process at one upstream; None for a short
            request.
        service_s : float
            Mean duration of recent requests in seconds.
        now : float
            Present time.
        """
        best: UpstreamLoad | None = None
        best_cost = math.inf
        relaxation_s = max(RELAXATION_MIN_S, service_s * RELAXATION_SERVICE_TIMES)
        for load in self._loads:
            # All following upstreams are remote too, and cost at least REMOTE_COST_REQUESTS.
            if load.is_remote and best_cost <= REMOTE_COST_REQUESTS:
                break
            if load.ejected or load.in_flight >= connection_limit:
                continue
            if load.find_bar(now) is not None:
                continue
            if long_limit is not None and load.long_in_flight >= long_limit:
                continue
            cost = self._estimate_cost(load, relaxation_s, now)
            cost += estimate_slowness_cost(load.health, service_s, now)
            if load.paused_until > now:
                cost += load.report.slots if load.report is not None else self.slots
            if avoid and load.member.upstream in avoid:
                cost += TRIED_BEFORE_COST
            if cost < best_cost:
                best = load
                best_cost = cost
        return best

    def _average_other_requests(self) -> float:
        """Return the average load by other processes, over upstreams with plausible reports."""
        trusted = [
            load.mean_other_requests for load in self._loads if load.mismatch_score < MISMATCH_LIMIT
        ]
        return sum(trusted) / len(trusted) if trusted else 0.0

    def _estimate_cost(self, load: UpstreamLoad, relaxation_s: float, now: float) -> float:
        """Return the expected number of requests ahead of a new one, plus the remote cost."""
        report = load.report
        slots = self.slots if report is None else report.slots
        if load.mismatch_score >= MISMATCH_LIMIT:
            other_requests = max(self._average_other_requests(), load.mean_other_requests)
            deviation = FRESH_DEVIATION_REQUESTS + DEVIATION_SCALE * math.sqrt(
                load.variance_other_requests
            )
        else:
            age_s = (
                now - load.report_at + (REMOTE_EXTRA_AGE_S if load.is_remote else LOCAL_EXTRA_AGE_S)
            )
            report_weight = math.exp(-age_s / relaxation_s)
            mean = load.mean_other_requests
            other_requests = mean + (load.other_requests - mean) * report_weight
            variance = load.variance_other_requests * (1.0 - report_weight * report_weight)
            deviation = FRESH_DEVIATION_REQUESTS + DEVIATION_SCALE * math.sqrt(variance)
        excess = (other_requests + load.in_flight - slots + 1) / deviation
        ahead = math.log1p(math.exp(excess)) if excess < 30.0 else excess
        cost = deviation * ahead + TIE_BREAK_COST * self._random.random()
        return cost + REMOTE_COST_REQUESTS if load.is_remote else cost
