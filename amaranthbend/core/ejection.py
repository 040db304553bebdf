"""Takes slow or failing upstreams out of use, and brings them and cold ones back gradually.

Only observed behaviour counts: durations of own requests, finished or not, and
failures. Reports are not used, since a failing instance looks idle.
"""

import math
import random

__all__ = ["Ejector", "UpstreamHealth", "estimate_slowness_cost"]

# Slowness is a cumulative sum of log-likelihood ratios: exponential service of SLOW_FACTOR times
# the mean against the mean itself.
SLOW_FACTOR = 4.0
EJECTION_EVIDENCE = 8.0
# Bounds the weight of one request, so that a few heavy-tailed ones do not eject an upstream.
MAX_DURATION_RATIO = 6.0
# Failures: moving average over attempts, compared with the average of the service.
FAILURE_WEIGHT = 0.25
MIN_EJECTION_FAILURE_SHARE = 0.5
SERVICE_FAILURE_WEIGHT = 0.01
# An upstream fails more than the others only above this multiple of the average.
FAILURE_SHARE_FACTOR = 2.0
# Time in which the share of failures of an avoided upstream falls to about a third.
FAILURE_DECAY_S = 4.0
# Part of the upstreams that stays in use when all look bad.
MIN_USABLE_SHARE = 0.5
# First ejection; doubles with each repetition. Each return costs every process one or two slow
# requests; 10 s keeps these near 0.2% of the load with one instance in ten slowed tenfold.
INITIAL_EJECTION_S = 10.0
MAX_EJECTION_S = 60.0
EJECTION_JITTER_SHARE = 0.5
# Good answers, one at a time, before a returning or cold upstream gets full load.
ONE_AT_A_TIME_ANSWERS = 4
# Own requests in flight during the slow start: one more for each of these many answers.
ANSWERS_PER_RAMP_STEP = 8
MEAN_DURATION_WEIGHT = 0.01
# Evidence above this adds to the cost of an upstream, before it suffices for ejection; one request
# of six times the mean reaches it. It fades with time, since an avoided upstream gives no new one.
MIN_COST_EVIDENCE = 2.0
COST_PER_EVIDENCE = 1.0
EVIDENCE_DECAY_PER_S = 0.5


class UpstreamHealth:
    """Observed behaviour of one upstream.

    Parameters
    ----------
    in_slow_start : bool
        Whether the upstream starts with little load.
    """

    __slots__ = (
        "ejected_until",
        "ejections",
        "failed_at",
        "failure_share",
        "running",
        "slowness_evidence",
        "slowness_evidence_at",
        "start_time_sum",
        "slow_start_answers",
    )

    def __init__(self, in_slow_start: bool = False) -> None:
        self.failure_share = 0.0
        self.failed_at = 0.0
        self.slowness_evidence = 0.0
        self.slowness_evidence_at = 0.0
        self.ejected_until: float | None = None
        self.ejections = 0
        # Own short requests in flight and the sum of their start times, for the sum of their ages.
        self.running = 0
        self.start_time_sum = 0.0
        self.slow_start_answers: int | None = 0 if in_slow_start else None

    def count_allowed(self) -> int | None:
        """Return how many own requests may be in flight, or None without a limit."""
        if self.slow_start_answers is None:
            return None
        return 1 + max(0, self.slow_start_answers - ONE_AT_A_TIME_ANSWERS) // ANSWERS_PER_RAMP_STEP

    def get_failure_share(self, now: float) -> float:
        """Return the share of failures, faded since the last one."""
        return self.failure_share * math.exp(min(0.0, self.failed_at - now) / FAILURE_DECAY_S)

    def get_decayed_evidence(self, now: float) -> float:
        """Return the faded evidence of requests that have ended."""
        faded = EVIDENCE_DECAY_PER_S * (now - self.slowness_evidence_at)
        return max(0.0, self.slowness_evidence - faded) if faded > 0.0 else self.slowness_evidence

    def compute_total_evidence(self, mean_duration_s: float, now: float) -> float:
        """Return the evidence for slowness, with that of requests in flight."""
        evidence = self.get_decayed_evidence(now)
        if self.running:
            age = now - self.start_time_sum / self.running
            evidence += self.running * compute_duration_evidence(age / mean_duration_s, ended=False)
        return evidence

    def add_evidence(self, evidence: float, now: float) -> None:
        """Add the evidence of one request."""
        self.slowness_evidence = max(0.0, self.get_decayed_evidence(now) + evidence)
        self.slowness_evidence_at = now


def compute_duration_evidence(ratio: float, ended: bool) -> float:
    """Return the evidence for slowness in a duration, given as a multiple of the mean."""
    evidence = min(MAX_DURATION_RATIO, ratio) * (1.0 - 1.0 / SLOW_FACTOR)
    return evidence - math.log(SLOW_FACTOR) if ended else evidence


def estimate_slowness_cost(health: UpstreamHealth, mean_duration_s: float, now: float) -> float:
    """Return the cost of sending to an upstream that may be slow, in waiting requests."""
    is_late = health.running and now - health.start_time_sum / health.running > mean_duration_s
    if not is_late and health.slowness_evidence <= MIN_COST_EVIDENCE:
        return 0.0
    evidence = health.compute_total_evidence(mean_duration_s, now)
    return COST_PER_EVIDENCE * max(0.0, evidence - MIN_COST_EVIDENCE)


class Ejector:
    """Judges the upstreams of one service.

    Parameters
    ----------
    seed : int
        Seed of the jitter.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._health: dict[str, UpstreamHealth] = {}
        self._failure_share = 0.0
        self.mean_duration_s = 0.020
        self._duration_count = 0

    def add(self, upstream: str, in_slow_start: bool) -> UpstreamHealth:
        """Start judging an upstream, or a new incarnation of it."""
        health = UpstreamHealth(in_slow_start)
        self._health[upstream] = health
        return health

    def remove(self, upstream: str) -> None:
        """Forget an upstream."""
        self._health.pop(upstream, None)

    def count_allowed(self, upstream: str) -> int | None:
        """Return how many own requests may be at the upstream, or None without a limit."""
        return self._health[upstream].count_allowed()

    def record_start(self, health: UpstreamHealth, now: float) -> None:
        """Record that a short request was sent."""
        health.running += 1
        health.start_time_sum += now

    def stop_tracking(self, health: UpstreamHealth, started_at: float) -> None:
        """Stop counting a short request that was cancelled, refused, or turned out to be long."""
        health.running -= 1
        health.start_time_sum = health.start_time_sum - started_at if health.running else 0.0

    def record_overdue(self, health: UpstreamHealth, started_at: float, now: float) -> None:
        """Record that a request turned out to be long, which may be the upstream's fault."""
        self.stop_tracking(health, started_at)
        evidence = compute_duration_evidence((now - started_at) / self.mean_duration_s, ended=False)
        health.add_evidence(evidence, now)

    def record_failure(self, health: UpstreamHealth, failed: bool, now: float) -> None:
        """Record whether an attempt failed through the upstream's fault."""
        if failed:
            health.failed_at = now
        outcome = 1.0 if failed else 0.0
        health.failure_share += FAILURE_WEIGHT * (outcome - health.failure_share)
        self._failure_share += SERVICE_FAILURE_WEIGHT * (outcome - self._failure_share)

    def record_duration(self, health: UpstreamHealth, started_at: float, now: float) -> None:
        """Record that a short request was answered."""
        self.stop_tracking(health, started_at)
        duration = now - started_at
        health.add_evidence(
            compute_duration_evidence(duration / self.mean_duration_s, ended=True), now
        )
        if health.ejected_until is None:
            self._update_mean_duration(duration)
        if health.slow_start_answers is not None:
            self._advance_slow_start(health)

    def is_outlier(self, upstream: str, now: float) -> bool:
        """Return whether the upstream behaves worse than the others."""
        health = self._health[upstream]
        threshold = max(MIN_EJECTION_FAILURE_SHARE, FAILURE_SHARE_FACTOR * self._failure_share)
        if health.failure_share > threshold:
            return True
        return health.compute_total_evidence(self.mean_duration_s, now) > EJECTION_EVIDENCE

    def is_ejected(self, upstream: str) -> bool:
        """Return whether the upstream is out of use."""
        return self._health[upstream].ejected_until is not None

    def eject(self, upstream: str, now: float) -> None:
        """Take the upstream out for a time that grows with repetition and carries jitter."""
        health = self._health[upstream]
        base = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2.0**health.ejections)
        jitter = 1.0 + EJECTION_JITTER_SHARE * (2.0 * self._random.random() - 1.0)
        health.ejected_until = now + base * jitter
        health.ejections = min(10, health.ejections + 1)

    def end_all(self, now: float) -> None:
        """Make all ejections due, for when no other upstream is left."""
        for health in self._health.values():
            if health.ejected_until is not None:
                health.ejected_until = now

    def readmit_due(self, now: float) -> list[str]:
        """Bring back the upstreams whose time is over, on trial, and return them."""
        due: list[str] = []
        for upstream, health in self._health.items():
            if health.ejected_until is None or health.ejected_until > now:
                continue
            health.ejected_until = None
            health.slowness_evidence = 0.0
            health.failure_share = 0.0
            health.slow_start_answers = 0
            due.append(upstream)
        return due

    def next_readmission(self) -> float | None:
        """Return the time of the next return."""
        times = [health.ejected_until for health in self._health.values()]
        return min((time for time in times if time is not None), default=None)

    def count_ejectable(self, usable: int) -> int:
        """Return how many more of the usable upstreams may be ejected."""
        ejected = sum(health.ejected_until is not None for health in self._health.values())
        return usable - math.ceil(usable * MIN_USABLE_SHARE) - ejected

    def _update_mean_duration(self, duration: float) -> None:
        """Follow the mean duration, quickly at first."""
        self._duration_count += 1
        weight = max(MEAN_DURATION_WEIGHT, 1.0 / self._duration_count)
        self.mean_duration_s = max(
            1e-4, self.mean_duration_s + weight * (duration - self.mean_duration_s)
        )

    def _advance_slow_start(self, health: UpstreamHealth) -> None:
        """Allow more load after each answer; end the trial after enough of them."""
        answers = (health.slow_start_answers or 0) + 1
        is_over = answers >= ONE_AT_A_TIME_ANSWERS + 4 * ANSWERS_PER_RAMP_STEP
        health.slow_start_answers = None if is_over else answers
        if is_over:
            health.ejections = 0
