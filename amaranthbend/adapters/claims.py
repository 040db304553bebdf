"""Claims on idempotency keys, stored as platform objects."""

import asyncio
import secrets
import time
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from ..core.backoff import TokenBucket
from ..core.claims import (
    CLAIMS_KIND,
    ClaimGranted,
    ClaimMachine,
    ClaimRefused,
    CreateClaim,
    CreateFailure,
    get_claim_name,
)
from ..core.outcomes import OutcomeReason
from .logs import log_event
from .platform import Counters, PlatformCallError, PlatformClient, PlatformErrorKind, StoredObject

__all__ = ["Claim", "ClaimRefusal", "ClaimRegistry"]

# The platform normally responds within milliseconds; after this time it counts as unavailable.
CALL_TIMEOUT_S = 0.5
ACQUIRE_TIMEOUT_S = 1.5
RELEASE_ATTEMPTS = 3
REMOVAL_DELAY_S = 0.5
# Concurrent removals of unused claims; the claim sweeper removes any beyond this number.
MAX_CONCURRENT_REMOVALS = 64
TOKEN_BYTES = 16

CREATE_FAILURES_BY_ERROR_KIND = {
    PlatformErrorKind.CONFLICT: CreateFailure.CONFLICT,
    PlatformErrorKind.RATE_LIMITED: CreateFailure.RATE_LIMITED,
    PlatformErrorKind.LOST_RESPONSE: CreateFailure.LOST_RESPONSE,
}
REFUSAL_MESSAGES = {
    OutcomeReason.DUPLICATE_REQUEST: (
        "a request with this idempotency key was already accepted; ask the service for its result"
    ),
    OutcomeReason.CLAIM_RATE: "the claim rate of this host is used up; repeat with the same key",
    OutcomeReason.CLAIM_UNAVAILABLE: (
        "the platform that records claims is unavailable; repeat with the same key"
    ),
}


class Claim(NamedTuple):
    """A granted claim: its object name, holder token and object version."""

    name: str
    token: str
    version: int


class ClaimRefusal(NamedTuple):
    """Why a request must not be sent to an upstream.

    For every reason but `duplicate_request`, the request is reported as "not run".
    """

    reason: OutcomeReason
    message: str


class ClaimRegistry:
    """Acquires and releases claims, within this process's share of the claim write rate.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform; its rate limit must exceed `writes_per_s`.
    counters : Counters
        Receives `claims.granted`, `claims.refused.<reason>` and others.
    writes_per_s : float
        Claim writes per second that this process may make: its share of the deployment's rate.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        platform: PlatformClient,
        counters: Counters,
        writes_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._platform = platform
        self._counters = counters
        self._clock = clock
        self._bucket = TokenBucket(writes_per_s, compute_burst(writes_per_s), clock())
        self._removals: set[asyncio.Task[None]] = set()

    def set_rate(self, writes_per_s: float, now: float) -> None:
        """Change the claim write rate of this process."""
        self._bucket.set_rate(writes_per_s, compute_burst(writes_per_s), now)

    async def acquire(
        self, service: str, key: str, now: float, timeout_s: float = ACQUIRE_TIMEOUT_S
    ) -> Result[Claim, ClaimRefusal]:
        """Acquire the claim on an idempotency key, before the request is sent.

        Parameters
        ----------
        service : str
            Service that the request is for.
        key : str
            Idempotency key sent by the caller.
        now : float
            Monotonic time in seconds.
        timeout_s : float
            Seconds after which the request is refused.

        Returns
        -------
        Result
            The claim, or why the request must not be sent.
        """
        name = get_claim_name(service, key)
        machine = ClaimMachine(secrets.token_hex(TOKEN_BYTES), now + timeout_s)
        token = machine.token
        while True:
            step = machine.plan(self._clock())
            if isinstance(step, ClaimGranted):
                self._counters.incr("claims.granted")
                return Ok(Claim(name, token, step.version))
            if isinstance(step, ClaimRefused):
                return Err(self._refuse(name, token, step))
            if isinstance(step, CreateClaim):
                await self._create(machine, name, service)
                continue
            await self._read(machine, name)

    async def release(self, claim: Claim) -> None:
        """Remove the claim of a request that provably did not run, so that it can be repeated."""
        for _ in range(RELEASE_ATTEMPTS):
            if self._bucket.take(self._clock()):
                answer = await self._platform.delete(
                    CLAIMS_KIND, claim.name, claim.version, CALL_TIMEOUT_S
                )
                if is_removed(answer):
                    self._counters.incr("claims.released")
                    return
            await asyncio.sleep(REMOVAL_DELAY_S)
        self._counters.incr("claims.release_failed")
        log_event("claim_release_failed", claim=claim.name)

    async def close(self) -> None:
        """Wait for pending removals, each of which makes a limited number of attempts."""
        if self._removals:
            await asyncio.wait(self._removals)

    async def _create(self, machine: ClaimMachine, name: str, service: str) -> None:
        if not self._bucket.take(self._clock()):
            machine.record_creation_failure(CreateFailure.RATE_LIMITED)
            return
        value = {"holder": machine.token, "service": service}
        answer = await self._platform.create(CLAIMS_KIND, name, value, CALL_TIMEOUT_S)
        if isinstance(answer, Ok):
            machine.record_creation(answer.ok_value)
            return
        failure = CREATE_FAILURES_BY_ERROR_KIND.get(
            answer.err_value.kind, CreateFailure.UNAVAILABLE
        )
        self._counters.incr(f"claims.create_failed.{failure}")
        machine.record_creation_failure(failure)

    async def _read(self, machine: ClaimMachine, name: str) -> None:
        answer = await self._platform.get(CLAIMS_KIND, name, CALL_TIMEOUT_S)
        if isinstance(answer, Ok):
            machine.record_read(get_holder_token(answer.ok_value), answer.ok_value.version)
            return
        if answer.err_value.kind is PlatformErrorKind.NOT_FOUND:
            machine.record_absence()
            return
        machine.record_read_failure()

    def _refuse(self, name: str, token: str, refused: ClaimRefused) -> ClaimRefusal:
        self._counters.incr(f"claims.refused.{refused.reason}")
        if refused.claim_may_exist and len(self._removals) < MAX_CONCURRENT_REMOVALS:
            task = asyncio.create_task(self._remove_unused_claim(name, token))
            self._removals.add(task)
            task.add_done_callback(self._removals.discard)
        return ClaimRefusal(refused.reason, REFUSAL_MESSAGES[refused.reason])

    async def _remove_unused_claim(self, name: str, token: str) -> None:
        """Remove the claim of a request that was never sent, if its creation took effect."""
        # The platform may still be processing the creation.
        await asyncio.sleep(REMOVAL_DELAY_S)
        answer = await self._platform.get(CLAIMS_KIND, name, CALL_TIMEOUT_S)
        if isinstance(answer, Err) or get_holder_token(answer.ok_value) != token:
            return
        await self.release(Claim(name, token, answer.ok_value.version))


def compute_burst(writes_per_s: float) -> float:
    """Return the burst size for a rate: the writes of half a second, but at least one."""
    return max(1.0, writes_per_s / 2)


def get_holder_token(stored: StoredObject) -> str:
    """Return the holder token of a stored claim, empty if it is malformed."""
    value = stored.value
    return str(value.get("holder", "")) if isinstance(value, dict) else ""


def is_removed(answer: Result[None, PlatformCallError]) -> bool:
    """Return whether the response to a deletion shows that this version no longer exists."""
    gone = (PlatformErrorKind.NOT_FOUND, PlatformErrorKind.CONFLICT)
    return isinstance(answer, Ok) or answer.err_value.kind in gone
