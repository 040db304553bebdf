"""State machine that acquires the claim on an idempotency key for one request.

A request is sent only after its claim is granted. Each request has its own token, so a claim with
that token was written by that request, even if the response to the creation was lost.
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
# Attempts of one request to create its claim. A lost response, and a claim that was removed just
# before it was read, each use up one.
MAX_CREATES = 3
MAX_READS = 4


class CreateClaim(NamedTuple):
    """Step: create the claim if it does not exist."""


class ReadClaim(NamedTuple):
    """Step: read the claim."""


class ClaimGranted(NamedTuple):
    """Result: the request may be sent. The claim is removed by its version."""

    version: int


class ClaimRefused(NamedTuple):
    """Result: the request must not be sent.

    Parameters
    ----------
    reason : OutcomeReason
        Why the claim was not granted.
    claim_may_exist : bool
        Whether a claim with this request's token may exist.
    """

    reason: OutcomeReason
    claim_may_exist: bool


ClaimStep = CreateClaim | ReadClaim | ClaimGranted | ClaimRefused


class CreateFailure(StrEnum):
    """Why the creation of a claim failed."""

    CONFLICT = "conflict"
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    LOST_RESPONSE = "lost_response"


def get_claim_name(service: str, key: str) -> str:
    """Return the object name of the claim on a key.

    SHA-256 prevents callers from choosing keys that collide with those of other callers.
    """
    return f"{service}.{hashlib.sha256(key.encode()).hexdigest()}"


class ClaimMachine:
    """Acquires one claim.

    Parameters
    ----------
    token : str
        Token that the claim stores, unique to this request.
    deadline : float
        Monotonic time in seconds after which the request is refused.
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
        """Return the next step, or the result of the acquisition."""
        if now < self._deadline or isinstance(self._step, ClaimRefused):
            return self._step
        if isinstance(self._step, ClaimGranted):
            # The process was paused after the grant: the request was not sent, and the caller no
            # longer waits, but the claim exists.
            self._may_remain = True
        self._refuse(OutcomeReason.CLAIM_UNAVAILABLE)
        return self._step

    def record_creation(self, version: int) -> None:
        """Record that the claim was created."""
        self._step = ClaimGranted(version)

    def record_creation_failure(self, failure: CreateFailure) -> None:
        """Record that the creation failed."""
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
            # The existing claim may also be this request's own, if a library sent the creation
            # twice.
            self._saw_conflict = True
        self._step = ReadClaim()

    def record_read(self, token: str, version: int) -> None:
        """Record the existing claim that was read."""
        if token == self.token:
            self._step = ClaimGranted(version)
            return
        self._step = ClaimRefused(OutcomeReason.DUPLICATE_REQUEST, claim_may_exist=False)

    def record_absence(self) -> None:
        """Record that no claim was found.

        It was removed, its creation is still in progress, or the read was stale. Another creation
        tells which, since it succeeds only if no claim exists.
        """
        self._reads += 1
        if self._creates >= MAX_CREATES:
            self._refuse(OutcomeReason.CLAIM_UNAVAILABLE)
            return
        self._step = CreateClaim()

    def record_read_failure(self) -> None:
        """Record that the read failed."""
        self._reads += 1
        if self._reads >= MAX_READS:
            self._refuse(OutcomeReason.CLAIM_UNAVAILABLE)

    def _refuse(self, reason: OutcomeReason) -> None:
        # The claim behind an unresolved conflict may be that of an earlier request with this key
        # that has run, so reporting "not run" could be wrong.
        if self._saw_conflict:
            reason = OutcomeReason.DUPLICATE_REQUEST
        self._step = ClaimRefused(reason, self._may_remain or self._saw_conflict)
