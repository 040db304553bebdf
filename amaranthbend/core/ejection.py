"""Outlier ejection: stops using slow or failing upstreams, and brings them back by a slow start.

Only observed behaviour counts: the failures and the durations of this process's own requests,
finished or not. Load reports are not used, since a failing upstream looks idle. Cold upstreams
get a slow start too.
"""

import math
import random

__all__ = ["Ejector", "UpstreamHealth", "estimate_slowness_cost"]

# The evidence for slowness is a cumulative sum (CUSUM) of log-likelihood ratios. The hypotheses
# are exponential service times with SLOW_FACTOR times the mean, and with the mean itself.
SLOW_FACTOR = 4.0
EJECTION_EVIDENCE = 8.0
# Durations count up to this multiple of the mean, so that a few requests from a heavy tail do
# not eject an upstream.
MAX_DURATION_RATIO = 6.0
# The share of failures is a moving average over the attempts at an upstream, and is compared with
# the average of the service.
FAILURE_WEIGHT = 0.25
MIN_EJECTION_FAILURE_SHARE = 0.5
SERVICE_FAILURE_WEIGHT = 0.01
# An upstream is an outlier only if it fails more than this multiple of the average.
FAILURE_SHARE_FACTOR = 2.0
# Time constant of the decay of an upstream's share of failures: while the upstream is avoided, the
# share falls to about a third in this time.
FAILURE_DECAY_S = 4.0
# Share of the usable upstreams that is never ejected, even if all of them are outliers.
MIN_USABLE_SHARE = 0.5
# Duration of the first ejection; it doubles with each repetition. Each return costs every process
# one or two slow requests; 10 s keeps these near 0.2% of the load if one upstream in ten is slowed
# tenfold.
INITIAL_EJECTION_S = 10.0
MAX_EJECTION_S = 60.0
EJECTION_JITTER_SHARE = 0.5
# First phase of the slow start of a returning or cold upstream: this many answers with one own
# request in flight at a time.
ONE_AT_A_TIME_ANSWERS = 4
# Second phase: the limit on own requests in flight grows by one per this many answers.
ANSWERS_PER_RAMP_STEP = 8
MEAN_DURATION_WEIGHT = 0.01
# Evidence above this adds to the cost of an upstream before it suffices for ejection; one request
# of six times the mean reaches it. Evidence decays with time, since an upstream that is avoided
# provides no new evidence.
MIN_COST_EVIDENCE = 2.0
COST_PER_EVIDENCE = 1.0
EVIDENCE_DECAY_PER_S = 0.5


class UpstreamHealth:
    """Observed behaviour of one upstream.

    Parameters
    ----------
    in_slow_start : bool
        Whether the upstream starts with a limit on own requests in flight.
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
        # Own short requests in flight, and the sum of their start times, which together give the
        # sum of their ages.
        self.running = 0
        self.start_time_sum = 0.0
        self.slow_start_answers: int | None = 0 if in_slow_start else None

    def count_allowed(self) -> int | None:
        """Return the limit on own requests in flight, None without a limit."""
        if self.slow_start_answers is None:
            return None
        return 1 + max(0, self.slow_start_answers - ONE_AT_A_TIME_ANSWERS) // ANSWERS_PER_RAMP_STEP

    def get_failure_share(self, now: float) -> float:
        """Return the share of failures, decayed since the last failure."""
        return self.failure_share * math.exp(min(0.0, self.failed_at - now) / FAILURE_DECAY_S)

    def get_decayed_evidence(self, now: float) -> float:
        """Return the decayed evidence from requests that have ended."""
        decay = EVIDENCE_DECAY_PER_S * (now - self.slowness_evidence_at)
        return max(0.0, self.slowness_evidence - decay) if decay > 0.0 else self.slowness_evidence

    def compute_total_evidence(self, mean_duration_s: float, now: float) -> float:
        """Return the evidence for slowness, including that from requests in flight."""
        evidence = self.get_decayed_evidence(now)
        if self.running:
            age = now - self.start_time_sum / self.running
            evidence += self.running * compute_duration_evidence(age / mean_duration_s, ended=False)
        return evidence

    def add_evidence(self, evidence: float, now: float) -> None:
        """Add the evidence from one request."""
        self.slowness_evidence = max(0.0, self.get_decayed_evidence(now) + evidence)
        self.slowness_evidence_at = now


def compute_duration_evidence(ratio: float, ended: bool) -> float:
    """Return the evidence for slowness from one request.

    Parameters
    ----------
    ratio : float
        Duration as a multiple of the mean.
    ended : bool
        Whether the request has ended; if not, it takes at least this long.
    """
    evidence = min(MAX_DURATION_RATIO, ratio) * (1.0 - 1.0 / SLOW_FACTOR)
    return evidence - math.log(SLOW_FACTOR) if ended else evidence


def estimate_slowness_cost(health: UpstreamHealth, mean_duration_s: float, now: float) -> float:
    """Return the cost of sending to an upstream that may be slow, in units of waiting requests."""
    is_late = health.running and now - health.start_time_sum / health.running > mean_duration_s
    if not is_late and health.slowness_evidence <= MIN_COST_EVIDENCE:
        return 0.0
    evidence = health.compute_total_evidence(mean_duration_s, now)
    return COST_PER_EVIDENCE * max(0.0, evidence - MIN_COST_EVIDENCE)


class Ejector:
    """Detects and ejects outliers among the upstreams of one service.

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
        """Start observing an upstream, or a new incarnation of it."""
        health = UpstreamHealth(in_slow_start)
        self._health[upstream] = health
        return health

    def remove(self, upstream: str) -> None:
        """Stop observing an upstream."""
        self._health.pop(upstream, None)

    def count_allowed(self, upstream: str) -> int | None:
        """Return the limit on own requests in flight at the upstream, None without a limit."""
        return self._health[upstream].count_allowed()

    def record_start(self, health: UpstreamHealth, now: float) -> None:
        """Record that a short request was sent."""
        health.running += 1
        health.start_time_sum += now

    def stop_tracking(self, health: UpstreamHealth, started_at: float) -> None:
        """Stop tracking a short request without recording a duration.

        For requests that were cancelled or refused, that failed, or that turned out to be long.
        """
        health.running -= 1
        health.start_time_sum = health.start_time_sum - started_at if health.running else 0.0

    def record_overdue(self, health: UpstreamHealth, started_at: float, now: float) -> None:
        """Record that a short request was classified as long; the upstream may be the cause."""
        self.stop_tracking(health, started_at)
        evidence = compute_duration_evidence((now - started_at) / self.mean_duration_s, ended=False)
        health.add_evidence(evidence, now)

    def record_failure(self, health: UpstreamHealth, failed: bool, now: float) -> None:
        """Record whether an attempt failed because of the upstream."""
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
        """Return whether the upstream fails more, or is slower, than the others."""
        health = self._health[upstream]
        threshold = max(MIN_EJECTION_FAILURE_SHARE, FAILURE_SHARE_FACTOR * self._failure_share)
        if health.failure_share > threshold:
            return True
        return health.compute_total_evidence(self.mean_duration_s, now) > EJECTION_EVIDENCE

    def is_ejected(self, upstream: str) -> bool:
        """Return whether the upstream is ejected."""
        return self._health[upstream].ejected_until is not None

    def eject(self, upstream: str, now: float) -> None:
        """Eject the upstream for a time with jitter that doubles with each repetition."""
        health = self._health[upstream]
        base = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2.0**health.ejections)
        jitter = 1.0 + EJECTION_JITTER_SHARE * (2.0 * self._random.random() - 1.0)
        health.ejected_until = now + base * jitter
        health.ejections = min(10, health.ejections + 1)

    def end_all(self, now: float) -> None:
        """Let all ejections end now, because no other upstream is left."""
        for health in self._health.values():
            if health.ejected_until is not None:
                health.ejected_until = now

    def readmit_due(self, now: float) -> list[str]:
        """Return the upstreams whose ejection is over, and put them into a slow start."""
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

    def get_next_readmission_time(self) -> float | None:
        """Return the time at which the next ejection ends, None if there is none."""
        times = [health.ejected_until for health in self._health.values()]
        return min((time for time in times if time is not None), default=None)

    def count_ejectable(self, usable: int) -> int:
        """Return how many more of the usable upstreams may be ejected."""
        ejected = sum(health.ejected_until is not None for health in self._health.values())
        return usable - math.ceil(usable * MIN_USABLE_SHARE) - ejected

    def _update_mean_duration(self, duration: float) -> None:
        """Update the moving average of durations; the first ones have a higher weight."""
        self._duration_count += 1
        weight = max(MEAN_DURATION_WEIGHT, 1.0 / self._duration_count)
        self.mean_duration_s = max(
            1e-4, self.mean_duration_s + weight * (duration - self.mean_duration_s)
        )

    def _advance_slow_start(self, health: UpstreamHealth) -> None:
        """Count an answer of the slow start, and end the slow start after enough of them."""
        answers = (health.slow_start_answers or 0) + 1
        is_over = answers >= ONE_AT_A_TIME_ANSWERS + 4 * ANSWERS_PER_RAMP_STEP
        health.slow_start_answers = None if is_over else answers
        if is_over:
            health.ejections = 0
