import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule
from result import Err, Ok, Result
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from amaranthbend.adapters.claims import Claim, ClaimRefusal, ClaimRegistry
from amaranthbend.adapters.metrics import Counters
from amaranthbend.adapters.platform import PlatformClient
from amaranthbend.core.claims import (
    ClaimGranted,
    ClaimMachine,
    ClaimRefused,
    CreateClaim,
    CreateFailure,
    ReadClaim,
    get_claim_name,
)
from amaranthbend.core.outcomes import OutcomeReason
from standins.platform import PlatformState, make_app
from standins.processes import pick_endpoint, pick_network

TIMEOUT_S = 3.0
TOKENS = st.integers(0, 2)


class Stored(NamedTuple):
    """Claim stored on the platform; an empty token stands for a missing claim."""

    token: str
    version: int


class ClaimModel(RuleBasedStateMachine):
    """Requests with the same key on different hosts, with calls lost, late, repeated or stale."""

    late_creates = Bundle("late_creates")

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.history = [Stored("", 0)]
        self.machines: dict[str, ClaimMachine] = {}
        self.granted: dict[str, int] = {}
        self.sent: set[str] = set()
        self.not_run: set[str] = set()

    def write(self, token: str) -> None:
        """Store a claim, or its removal."""
        self.history.append(Stored(token, self.history[-1].version + 1))

    def create(self, token: str) -> bool:
        """Create the claim if there is none, and return whether there was none."""
        if self.history[-1].token:
            return False
        self.write(token)
        return True

    def get_machine(self, number: int) -> tuple[str, ClaimMachine]:
        """Return a request's machine; a new request replaces one that was refused."""
        alive = [token for token in self.machines if token.startswith(f"{number}.")]
        if alive and not isinstance(self.machines[alive[-1]].plan(self.now), ClaimRefused):
            return alive[-1], self.machines[alive[-1]]
        token = f"{number}.{len(self.machines)}"
        self.machines[token] = ClaimMachine(token, self.now + TIMEOUT_S)
        return token, self.machines[token]

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]))
    def advance(self, seconds: float) -> None:
        """Let time pass; a request that executes no step meanwhile is on a paused host."""
        self.now += seconds

    @rule(target=late_creates, number=TOKENS, fate=st.sampled_from(["ok", "lost", "late", "twice"]))
    def create_step(self, number: int, fate: str) -> str:
        """Execute a creation; "twice" stands for one that a library sends again."""
        token, machine = self.get_machine(number)
        if not isinstance(machine.plan(self.now), CreateClaim):
            return ""
        succeeded = fate != "late" and self.create(token)
        if fate in ("lost", "late"):
            machine.record_creation_failure(CreateFailure.LOST_RESPONSE)
        elif succeeded and fate == "ok":
            machine.record_creation(self.history[-1].version)
        else:
            machine.record_creation_failure(CreateFailure.CONFLICT)
        return token if fate == "late" else ""

    @rule(token=late_creates)
    def create_late(self, token: str) -> None:
        """Execute a creation whose sender no longer waits for the response."""
        if token:
            self.create(token)

    @rule(number=TOKENS, stale_by=st.sampled_from([0, 0, 1, 2]), fails=st.booleans())
    def read_step(self, number: int, stale_by: int, fails: bool) -> None:
        """Execute a read, which may be stale."""
        _token, machine = self.get_machine(number)
        if not isinstance(machine.plan(self.now), ReadClaim):
            return
        stored = self.history[max(0, len(self.history) - 1 - stale_by)]
        if fails:
            machine.record_read_failure()
        elif stored.token:
            machine.record_read(stored.token, stored.version)
        else:
            machine.record_absence()

    @rule(number=TOKENS)
    def send(self, number: int) -> None:
        """Send the request if its claim is granted."""
        token, machine = self.get_machine(number)
        step = machine.plan(self.now)
        if isinstance(step, ClaimGranted):
            self.sent.add(token)
            self.granted[token] = step.version

    @rule(number=TOKENS)
    def prove_not_run(self, number: int) -> None:
        """Let the upstream refuse a sent request, and remove its claim by version."""
        tokens = [token for token in self.sent - self.not_run if token.startswith(f"{number}.")]
        for token in tokens:
            self.not_run.add(token)
            self.machines[token].record_creation_failure(CreateFailure.UNAVAILABLE)
            if self.history[-1].version == self.granted[token]:
                self.write("")

    @invariant()
    def check_at_most_one_runs(self) -> None:
        """Check that at most one request with the key may have run."""
        assert len(self.sent - self.not_run) <= 1


ClaimModel.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestClaimModel = ClaimModel.TestCase


def test_unresolved_conflict_is_not_called_not_run() -> None:
    """Guards against reporting "not run" for a key whose earlier request may have run."""
    machine = ClaimMachine("t", 1.0)
    machine.record_creation_failure(CreateFailure.CONFLICT)
    refused = machine.plan(2.0)
    assert refused == ClaimRefused(OutcomeReason.DUPLICATE_REQUEST, claim_may_exist=True)


def test_pause_after_the_grant() -> None:
    """Guards against a resumed host that sends a request after its deadline."""
    machine = ClaimMachine("t", 1.0)
    machine.record_creation(5)
    assert machine.plan(0.9) == ClaimGranted(5)
    assert machine.plan(1.0) == ClaimRefused(OutcomeReason.CLAIM_UNAVAILABLE, claim_may_exist=True)


class Setup(NamedTuple):
    """Claim registry of an entry process, and the platform stand-in, in one event loop."""

    registry: ClaimRegistry
    platform: PlatformState
    counters: Counters

    async def acquire(self, key: str = "k") -> Result[Claim, ClaimRefusal]:
        """Acquire a claim."""
        now = asyncio.get_running_loop().time()
        return await self.registry.acquire("adopt-desk", key, now)

    def count_claims(self) -> int:
        """Return the number of claims on the platform."""
        return self.platform.objects.count_objects().get("claims", 0)


def run_with_platform(check: Callable[[Setup], Awaitable[None]], writes_per_s: float) -> None:
    """Run a check against a platform stand-in."""

    async def run() -> None:
        endpoint = pick_endpoint(f"{pick_network()}.1")
        state = PlatformState()
        server = HTTPServer(make_app(state))
        server.listen(endpoint.port, endpoint.address)
        counters = Counters()
        client = PlatformClient(
            f"http://{endpoint}", SimpleAsyncHTTPClient(force_instance=True), counters, 100, 100
        )
        registry = ClaimRegistry(client, counters, writes_per_s)
        async with asyncio.timeout(20):
            await check(Setup(registry, state, counters))
            await registry.close()
        server.stop()

    asyncio.run(run())


def get_reason(answer: Result[Claim, ClaimRefusal]) -> OutcomeReason:
    """Return the reason of a refusal."""
    assert isinstance(answer, Err)
    return answer.err_value.reason


def test_second_request_is_refused_until_release() -> None:
    """Guards against a request run twice, and against a key blocked after a proven "not run"."""

    async def check(setup: Setup) -> None:
        first = await setup.acquire()
        assert isinstance(first, Ok)
        assert get_reason(await setup.acquire()) is OutcomeReason.DUPLICATE_REQUEST
        assert isinstance(await setup.acquire("other"), Ok)
        await setup.registry.release(first.ok_value)
        assert isinstance(await setup.acquire(), Ok)
        assert setup.counters.get("claims.refused.duplicate_request") == 1

    run_with_platform(check, 100)


@pytest.mark.parametrize(
    "faults, reason",
    [
        ({"lose_responses": 1}, None),
        ({"outage": "unavailable"}, OutcomeReason.CLAIM_UNAVAILABLE),
        ({"outage": "reset"}, OutcomeReason.CLAIM_UNAVAILABLE),
        ({"outage": "hang"}, OutcomeReason.CLAIM_UNAVAILABLE),
        ({"writes_per_s": 0}, OutcomeReason.CLAIM_RATE),
    ],
)
def test_platform_faults(faults: dict[str, object], reason: OutcomeReason | None) -> None:
    """Guards against a request sent without a stored claim, and one refused for a lost response."""

    async def check(setup: Setup) -> None:
        setup.platform.faults.update(faults)  # type: ignore[typeddict-item]
        answer = await setup.acquire()
        if reason is None:
            assert isinstance(answer, Ok)
            assert setup.counters.get("claims.create_failed.lost_response") == 1
            return
        assert get_reason(answer) is reason
        assert setup.counters.get(f"claims.refused.{reason}") == 1
        assert setup.count_claims() == 0

    run_with_platform(check, 100)


def test_late_creation_is_removed() -> None:
    """Guards against a refused request whose late claim blocks the caller's retry for a day."""

    async def check(setup: Setup) -> None:
        setup.platform.faults["delay_s"] = 0.8
        assert get_reason(await setup.acquire()) is OutcomeReason.CLAIM_UNAVAILABLE
        setup.platform.faults["delay_s"] = 0.0
        await setup.registry.close()
        assert setup.count_claims() == 0

    run_with_platform(check, 100)


def test_share_of_the_write_rate() -> None:
    """Guards against a host that uses up the write rate of the other hosts during a peak."""

    async def check(setup: Setup) -> None:
        answers = [await setup.acquire(f"key-{number}") for number in range(10)]
        refused = [answer for answer in answers if isinstance(answer, Err)]
        assert len(refused) == 8
        assert {get_reason(answer) for answer in refused} == {OutcomeReason.CLAIM_RATE}

    run_with_platform(check, 4)


def test_keys_do_not_collide() -> None:
    """Guards against keys or services that share a claim."""
    names = {get_claim_name(service, key) for service in ("a", "b") for key in ("1", "2", "")}
    assert len(names) == 6
