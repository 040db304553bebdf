"""State machine that acquires the claim on an idempotency key for one request.

A request is sent only after its claim is granted. The token belongs to one
request, so a claim that holds it was written by that request, whatever became
of the response.
"""

import hashlib
from enum import StrEnum
from typing import NamedTuple

from .outcomes import OutcomeReason

__all__ = [
    "CLAIMS_KIND",
    "ClaimGranted",
    "ClaimMachine",
    "ClaimRefused",
    "ClaimStep",
    "CreateClaim",
    "CreateFailure",
    "ReadClaim",
    "get_claim_name",
]

CLAIMS_KIND = "claims"
# Creations of one request: a lost response and a claim that was just removed
# each cost one.
MAX_CREATES = 3
MAX_READS = 4


class CreateClaim(NamedTuple):
    """Create the claim if it does not exist."""


class ReadClaim(NamedTuple):
    """Read the claim."""


class ClaimGranted(NamedTuple):
    """The request may be sent; the version serves to remove the claim."""

    version: int


class ClaimRefused(NamedTuple):
    """The request must not be sent.

    Parameters
    ----------
    reason : OutcomeReason
        Cause.
    claim_may_exist : bool
        Whether a claim with this request's token may exist.
    """

    reason: OutcomeReason
    claim_may_exist: bool


ClaimStep = CreateClaim | ReadClaim | ClaimGranted | ClaimRefused


class CreateFailure(StrEnum):
    """Why a creation failed."""

    CONFLICT = "conflict"
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    LOST_RESPONSE = "lost_response"


def get_claim_name(service: str, key: str) -> str:
    """Return the object name of the claim on a key.

    SHA-256 keeps callers from choosing keys that collide with those of others.
    """
    return f"{service}.{hashlib.sha256(key.encode()).hexdigest()}"


class ClaimMachine:
    """Acquires one claim.

    Parameters
    ----------
    token : str
        Holder token, unique to this request.
    deadline : float
        Monotonic time after which the request is refused.
    """

    def __init__(self, token: str, deadline: float) -> None:
        self.token = token
        self._deadline = deadline
        self._step: ClaimStep = CreateClaim()
        self._creates = 0
        self._reads = 0
        self._saw_conflict = False
        self._may_remain = False

    def plan(self, now: float) -> ClaimStep:
        """Return the next step, or how the acquisition ended."""
        if now < self._deadline or isinstance(self._step, ClaimRefused):
            return self._step
        if isinstance(self._step, ClaimGranted):
            # The process was paused: nothing was sent, and the caller no longer waits.
            self._may_remain = True
        self._refuse(OutcomeReason.CLAIM_UNAVAILABLE)
        return self._step

    def create_done(self, version: int) -> None:
        """Take the success of a creation."""
        self._step = ClaimGranted(version)

    def create_failed(self, failure: CreateFailure) -> None:
        """Take the failure of a creation."""
        self._creates += 1
        if failure is CreateFailure.RATE_LIMITED:
            self._refuse(OutcomeReason.CLAIM_RATE)
            return
        if failure is CreateFailure.UNAVAILABLE:
            self._refuse(OutcomeReason.CLAIM_UNAVAILABLE)
            return
        if failure is CreateFailure.LOST_RESPONSE:
            self._may_remain = True
        else:
            # Also possible for the request's own claim, if a library sent the creation twice.
            self._saw_conflict = True
        self._step = ReadClaim()

    def read_done(self, token: str, version: int) -> None:
        """Take the claim that exists."""
        if token == self.token:
            self._step = ClaimGranted(version)
            return
        self._step = ClaimRefused(OutcomeReason.DUPLICATE_REQUEST, claim_may_exist=False)

    def read_absent(self) -> None:
        """Take the absence of a claim.

        It was removed, the creation is still under way, or the read was stale;
        another creation settles which, since it is conditional.
        """
        self._reads += 1
        if self._creates >= MAX_CREATES:
            self._refuse(OutcomeReason.CLAIM_UNAVAILABLE)
            return
        self._step = CreateClaim()

    def read_failed(self) -> None:
        """Take the failure of a read."""
        self._reads += 1
        if self._reads >= MAX_READS:
            self._refuse(OutcomeReason.CLAIM_UNAVAILABLE)

    def _refuse(self, reason: OutcomeReason) -> None:
        # A conflict that was never resolved may be an earlier run of the same request, so
        # "not run" could be false.
        if self._saw_conflict:
            reason = OutcomeReason.DUPLICATE_REQUEST
        self._step = ClaimRefused(reason, self._may_remain or self._saw_conflict)
