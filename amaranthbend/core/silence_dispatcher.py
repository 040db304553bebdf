"""Dispatcher that acts on upstreams which never answer.

Load pattern: an upstream that cannot queue a request never answers it. Its requests would wait
until their deadlines, also those whose other attempt has been answered with an error.
"""

from .actions import Action, AttemptResult, AttemptStatus, LoadReport, Probe, Send
from .attempts import RequestState
from .hedging import HedgeTimers
from .outcomes import OutcomeReason
from .policy import ProbePolicy, ServicePolicy
from .probe_rounds import RequestProbeBudget
from .probing_dispatcher import ProbingDispatcher
from .routing import UpstreamLoad
from .silence import AttemptKey, compute_fallback_time, find_silent

__all__ = ["SilenceDispatcher"]

# An upstream that has dropped a request is avoided for this time, in which its queue drains.
SILENCE_PAUSE_S = 0.5
# A request is looked for again after this time, in which a response arrives that is on its way.
CONFIRMATION_S = 0.05


class SilenceDispatcher(ProbingDispatcher):
    """Probing dispatcher that moves requests away from silent upstreams.

    Idempotent requests are hedged within the retry budget; the others wait, as nothing proves that
    they did not run. Without `ServicePolicy.is_prioritized` it decides exactly as
    `ProbingDispatcher`.

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
        Processes that send to the same upstreams.
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
        super().__init__(policy, probing, data_centre, seed, processes=processes, budget=budget)
        self._fallback_timers = HedgeTimers()
        # Since when probes have not found an attempt at its upstream, and when to probe again.
        self._missing_since: dict[AttemptKey, float] = {}
        self._confirmations: dict[str, float] = {}

    @property
    def is_prioritized(self) -> bool:
        """Whether requests are ordered by urgency, and upstreams may be silent when full."""
        return self._policy.is_prioritized

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:
        """Record a load report, and find requests that the upstream has dropped."""
        load = self._loads.get(upstream)
        # Only the answer to a probe counts exactly the requests in flight.
        is_probe = load is not None and load.probe_pending
        actions = super().report(upstream, report, now)
        if self.is_prioritized and load is not None and is_probe:
            self._record_dropped_requests(load, report.in_flight + report.queued, now)
        return actions

    def finish(
        self, request_id: int, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Record the end of an attempt; a timeout moves the other requests at its upstream."""
        key = (request_id, attempt)
        state = self._attempts.get(key)
        self._missing_since.pop(key, None)
        is_timeout = result.reason is OutcomeReason.TIMEOUT
        if (
            self.is_prioritized
            and state is not None
            and result.status is AttemptStatus.FAILED
            and is_timeout
        ):
            for other_key, other in list(self._attempts.items()):
                if other.load is state.load:
                    self._move_request(other_key, now)
        return super().finish(request_id, attempt, result, now)

    def tick(self, now: float) -> list[Action]:
        """Handle the timers that are due."""
        actions = self._deliver_fallbacks(now) + self._start_confirmations(now)
        return actions + super().tick(now)

    def get_next_tick_time(self, now: float) -> float | None:
        """Return the time of the next timer, or None without one."""
        times = [super().get_next_tick_time(now), self._fallback_timers.get_next_time()]
        times += self._confirmations.values()
        return min((max(now, time) for time in times if time is not None), default=None)

    def _complete_or_retry(
        self, record: RequestState, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Act on the end of an attempt, and bound the wait for another one beside an error."""
        actions = super()._complete_or_retry(record, attempt, result, now)
        if record.fallback_attempt and record.running:
            self._schedule_fallback(record, now)
        return actions

    def _send(self, record: RequestState, load: UpstreamLoad, now: float) -> Send:
        """Record the start of an attempt, which may follow one that ended with an error."""
        send = super()._send(record, load, now)
        if record.fallback_attempt:
            self._schedule_fallback(record, now)
        return send

    def _schedule_fallback(self, record: RequestState, now: float) -> None:
        """Set the time until which an error response is kept back for the attempts in flight."""
        if not self.is_prioritized:
            return
        info = record.info
        sent_at = max(
            self._attempts[info.request_id, number].started_at for number in record.running
        )
        goal_s = info.latency_goal_s or info.deadline - record.began_at
        due = compute_fallback_time(sent_at, goal_s, info.deadline, now)
        self._fallback_timers.schedule(info.request_id, max(now, due))

    def _deliver_fallbacks(self, now: float) -> list[Action]:
        """Deliver the error responses that were kept back for long enough."""
        actions: list[Action] = []
        for request_id in self._fallback_timers.pop_due(now):
            record = self._requests.get(request_id)
            if record is None or not record.fallback_attempt or not record.running:
                continue
            self._rounds.cancel(request_id)
            actions += self._requests.complete(record, record.fallback_attempt)
        return actions

    def _record_dropped_requests(self, load: UpstreamLoad, held: int, now: float) -> None:
        """Avoid an upstream that has dropped requests of this host, and move them.

        A response may be on its way while the upstream no longer holds its request. So a request
        counts as dropped when a second probe some time later still does not find it.
        """
        attempts = [
            (key, attempt.started_at)
            for key, attempt in self._attempts.items()
            if attempt.load is load
        ]
        missing = find_silent(attempts, held, now)
        for key, _ in attempts:
            if key not in missing:
                self._missing_since.pop(key, None)
        for key in missing:
            since = self._missing_since.setdefault(key, now)
            if now - since < CONFIRMATION_S:
                self._confirmations.setdefault(load.member.upstream, since + CONFIRMATION_S)
                continue
            load.paused_until = max(load.paused_until, now + SILENCE_PAUSE_S)
            self._move_request(key, now)

    def _start_confirmations(self, now: float) -> list[Action]:
        """Probe the upstreams at which requests were missing before."""
        actions: list[Action] = []
        for upstream, due in list(self._confirmations.items()):
            if now < due:
                continue
            del self._confirmations[upstream]
            load = self._loads.get(upstream)
            if load is None or load.probe_pending or self._probe_budget.get_tokens() < 1.0:
                continue
            load.probe_pending = True
            self._probe_budget.spend(1)
            actions.append(Probe(upstream))
        return actions

    def _move_request(self, key: AttemptKey, now: float) -> None:
        """Let a request be hedged now, within the retry budget, if it may run more than once."""
        record = self._requests.get(key[0])
        if record is None or not record.info.idempotent or key[1] not in record.running:
            return
        if self._may_hedge(record):
            record.hedge_at = now
            self._schedule_hedge(now, record)
