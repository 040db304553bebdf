"""State-machine tests of the invariants of the dispatcher."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from amaranthbend.core.actions import (
    Action,
    AttemptResult,
    AttemptStatus,
    Complete,
    LoadReport,
    Member,
    Probe,
    Refuse,
    RequestInfo,
    Send,
    UpstreamState,
    WorkClass,
)
from amaranthbend.core.dispatching import Dispatcher
from amaranthbend.core.outcomes import Outcome
from amaranthbend.core.policy import LimitPolicy, ProbePolicy, RetryPolicy, ServicePolicy

UPSTREAMS = [f"u{n}" for n in range(4)]
PROBING = ProbePolicy(probes_per_s_per_upstream=32.0, probes_per_s=96.0)
SHARE = 1.0 / 16.0
RETRIES = RetryPolicy(ratio=0.2, floor_per_s=2.0, max_attempts=3)
POLICY = ServicePolicy("desk", 2, 4, RETRIES, LimitPolicy(queue_length=6))


class DispatcherMachine(RuleBasedStateMachine):
    """Drives one dispatcher with arbitrary events, and tracks the expected state itself."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.next_id = 0
        self.requests: dict[int, RequestInfo] = {}
        self.ended: set[int] = set()
        self.running: dict[tuple[int, int], str] = {}
        self.may_have_run: set[int] = set()
        self.departed: dict[str, int] = {}
        self.incarnations = dict.fromkeys(UPSTREAMS, 1)
        self.probes: list[tuple[float, str]] = []
        self.first_attempts = 0
        self.retries = 0

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Start with all upstreams present."""
        self.dispatcher = Dispatcher(POLICY, PROBING, "dc", seed, processes=2)
        self.set_members(UPSTREAMS)
        self.check(self.dispatcher.set_probe_share(SHARE, self.now))

    def set_members(self, names: list[str]) -> None:
        """Pass a host list with the present incarnations."""
        members = [Member(name, name, "dc", self.incarnations[name]) for name in names]
        self.check(self.dispatcher.set_members(members, self.now))

    def check(self, actions: list[Action]) -> None:
        """Record actions, and check each against the invariants."""
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Refuse):
                assert action.request_id not in self.may_have_run
                assert not any(key[0] == action.request_id for key in self.running)
                self.end(action.request_id)
            elif isinstance(action, Complete):
                if action.outcome is Outcome.UNKNOWN:
                    assert action.request_id in self.may_have_run
                self.end(action.request_id)
            elif isinstance(action, Probe):
                self.check_probe(action)

    def check_send(self, action: Send) -> None:
        """Check and record one attempt."""
        request = self.requests[action.request_id]
        assert action.request_id not in self.ended
        assert request.idempotent or action.request_id not in self.may_have_run
        assert self.incarnations[action.upstream] > self.departed.get(action.upstream, 0)
        assert 0.0 < action.timeout_s <= request.deadline - self.now + 1e-9
        if action.attempt == 1:
            self.first_attempts += 1
        else:
            self.retries += 1
        assert action.attempt <= RETRIES.max_attempts
        allowed = self.first_attempts * RETRIES.ratio + RETRIES.floor_per_s * (1.0 + self.now)
        assert self.retries <= allowed + 1e-6
        self.running[action.request_id, action.attempt] = action.upstream

    def check_probe(self, action: Probe) -> None:
        """Check the budget in the window of one second that ends with a probe."""
        self.probes.append((self.now, action.upstream))
        recent = [name for time, name in self.probes if time >= self.now - 1.0]
        assert len(recent) <= PROBING.probes_per_s * SHARE
        assert recent.count(action.upstream) <= PROBING.probes_per_s_per_upstream * SHARE

    def end(self, request_id: int) -> None:
        """Record the end of a request, which must be the only one."""
        assert request_id not in self.ended
        self.ended.add(request_id)

    @rule(
        idempotent=st.booleans(),
        work_class=st.sampled_from(WorkClass),
        wait=st.sampled_from([0.0, 0.05, 1.0, 5.0]),
        replayable=st.booleans(),
        count=st.integers(1, 6),
    )
    def submit(
        self, idempotent: bool, work_class: WorkClass, wait: float, replayable: bool, count: int
    ) -> None:
        """Submit requests."""
        for _ in range(count):
            self.next_id += 1
            request = RequestInfo(
                self.next_id, "r", idempotent, work_class, self.now + wait, 0, replayable
            )
            self.requests[self.next_id] = request
            self.check(self.dispatcher.submit(request, self.now))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), status=st.sampled_from(AttemptStatus), begun=st.booleans())
    def finish(self, data: st.DataObject, status: AttemptStatus, begun: bool) -> None:
        """End an attempt with any status."""
        key = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[key]
        if status not in (AttemptStatus.REFUSED, AttemptStatus.NEVER_CONNECTED):
            self.may_have_run.add(key[0])
        else:
            begun = False
        self.check(self.dispatcher.finish(*key, AttemptResult(status, 200, begun), self.now))

    @precondition(lambda self: self.running)
    @rule(status=st.sampled_from([AttemptStatus.REFUSED, AttemptStatus.FAILED]))
    def finish_all(self, status: AttemptStatus) -> None:
        """End all attempts with the same status, which puts load on the retry budget."""
        for key in sorted(self.running):
            del self.running[key]
            if status is AttemptStatus.FAILED:
                self.may_have_run.add(key[0])
            self.check(self.dispatcher.finish(*key, AttemptResult(status), self.now))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def abandon(self, data: st.DataObject) -> None:
        """Disconnect the caller of a request in flight; its attempts end later."""
        request_id = data.draw(st.sampled_from(sorted(self.running)))[0]
        self.may_have_run.add(request_id)
        self.check(self.dispatcher.abandon(request_id, self.now))
        assert request_id in self.ended

    @rule()
    def end_all(self) -> None:
        """Stop the process: each request ends, in flight or queued, without another attempt."""
        self.may_have_run |= {key[0] for key in self.running}
        actions = self.dispatcher.end_all()
        assert not any(isinstance(action, Send) for action in actions)
        self.check(actions)
        assert self.ended == set(self.requests)

    @rule(
        name=st.sampled_from(UPSTREAMS),
        in_flight=st.integers(0, 3),
        queued=st.integers(0, 5),
        # Mostly serving, since a run without usable upstreams tests little.
        state=st.sampled_from([UpstreamState.SERVING] * 6 + list(UpstreamState)),
        behind=st.integers(0, 1),
    )
    def report(
        self, name: str, in_flight: int, queued: int, state: UpstreamState, behind: int
    ) -> None:
        """Deliver a report, possibly of an earlier incarnation."""
        incarnation = self.incarnations[name] - behind
        if state is UpstreamState.DRAINING and behind == 0:
            self.departed[name] = incarnation
        report = LoadReport(in_flight, queued, 2, state, incarnation)
        self.check(self.dispatcher.report(name, report, self.now))

    @rule(name=st.sampled_from(UPSTREAMS))
    def record_departure(self, name: str) -> None:
        """Deliver a departure that another process has seen."""
        self.departed[name] = self.incarnations[name]
        self.check(self.dispatcher.record_departure(name, self.incarnations[name], self.now))

    @rule(names=st.lists(st.sampled_from(UPSTREAMS), min_size=1, unique=True))
    def restart(self, names: list[str]) -> None:
        """Restart upstreams, and pass the new host list."""
        for name in names:
            self.incarnations[name] += 1
        self.set_members(UPSTREAMS)

    @rule(name=st.sampled_from(UPSTREAMS))
    def fail_probe(self, name: str) -> None:
        """Let a probe fail."""
        self.check(self.dispatcher.report_probe_failure(name, self.now))

    @rule(seconds=st.sampled_from([0.001, 0.02, 0.3, 2.0]))
    def wait(self, seconds: float) -> None:
        """Advance the time, with a tick at each timer."""
        end = self.now + seconds
        for _ in range(200):
            time = self.dispatcher.get_next_tick_time(self.now)
            if time is None or time > end:
                break
            self.now = max(self.now, time)
            self.check(self.dispatcher.tick(self.now))
        else:
            raise AssertionError("timers do not advance")
        self.now = end
        self.check(self.dispatcher.tick(self.now))

    @invariant()
    def check_open_requests(self) -> None:
        """Compare the requests in flight with the attempts that have not ended."""
        in_flight = sum(view.in_flight for view in self.dispatcher.snapshot(self.now))
        assert in_flight == len(self.running)

    def teardown(self) -> None:
        """Check that all requests have ended once all attempts ended and all deadlines passed."""
        for key in sorted(self.running):
            del self.running[key]
            self.may_have_run.add(key[0])
            failed = AttemptResult(AttemptStatus.FAILED, response_started=True)
            self.check(self.dispatcher.finish(*key, failed, self.now))
        self.now += 100.0
        if self.requests:
            self.check(self.dispatcher.tick(self.now))
        while self.running:
            key = min(self.running)
            del self.running[key]
            self.may_have_run.add(key[0])
            failed = AttemptResult(AttemptStatus.FAILED, response_started=True)
            self.check(self.dispatcher.finish(*key, failed, self.now))
        assert self.ended == set(self.requests)


TestDispatcherStates = DispatcherMachine.TestCase
TestDispatcherStates.settings = settings(
    max_examples=80,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
