"""Acquires a claim on a request's idempotency key before the request is sent."""

import asyncio
from collections.abc import Awaitable
from typing import Any, Protocol

from result import Err, Ok, Result

from ..adapters.caller import CallerRequest
from ..adapters.claims import ACQUIRE_TIMEOUT_S, ClaimRefusal
from ..core.outcomes import Outcome, OutcomeReason
from ..core.policy import ClaimRule
from .local_responses import LocalResponse, make_failure, make_refusal

__all__ = ["ClaimFilter", "ClaimManager", "UnavailableClaims"]


class ClaimManager(Protocol):
    """Acquires and releases claims on idempotency keys.

    Implemented by `ClaimRegistry`, and by `UnavailableClaims` for processes without a platform.
    """

    async def acquire(
        self, service: str, key: str, now: float, timeout_s: float
    ) -> Result[Any, ClaimRefusal]:
        """Return the claim, or the reason why the request must not be sent.

        Parameters
        ----------
        service : str
            Service of the request.
        key : str
            Idempotency key.
        now : float
            Present monotonic time, in seconds.
        timeout_s : float
            Time within which the method returns, in seconds.
        """

    async def release(self, claim: Any) -> None:
        """Release the claim of a request that was not run; takes a bounded time."""

    def set_rate(self, writes_per_s: float, now: float) -> None:
        """Set this process's share of the rate of claim writes, in writes per second."""


class UnavailableClaims:
    """Refuses all claims in a process without a platform."""

    async def acquire(
        self,
        service: str,  # noqa: ARG002
        key: str,  # noqa: ARG002
        now: float,  # noqa: ARG002
        timeout_s: float,  # noqa: ARG002
    ) -> Result[Any, ClaimRefusal]:
        """Return that claims are unavailable."""
        message = "set platform_url in the process settings"
        return Err(ClaimRefusal(OutcomeReason.CLAIM_UNAVAILABLE, message))

    async def release(self, claim: Any) -> None:
        """Do nothing, since there are no claims."""

    def set_rate(self, writes_per_s: float, now: float) -> None:
        """Do nothing, since there are no claims."""


class ClaimFilter:
    """Acquires the claim that a route requires; releases it if the request was not run.

    Parameters
    ----------
    claim_manager : ClaimManager
        Acquires and releases the claims.
    """

    def __init__(self, claim_manager: ClaimManager) -> None:
        self._claim_manager = claim_manager
        self._releases: set[asyncio.Task[None]] = set()

    def run(self, request: CallerRequest, now: float) -> Awaitable[LocalResponse | None] | None:
        """Acquire the claim if the route requires one."""
        route = request.route
        assert route is not None
        if route.claim is not ClaimRule.REQUIRED:
            return None
        return self._acquire(request, route.service, now)

    async def _acquire(
        self, request: CallerRequest, service: str, now: float
    ) -> LocalResponse | None:
        timeout_s = min(ACQUIRE_TIMEOUT_S, max(0.0, request.deadline - now))
        key = request.idempotency_key
        result = await self._claim_manager.acquire(service, key, now, timeout_s)
        if isinstance(result, Ok):
            request.claim = result.ok_value
            return None
        reason = result.err_value.reason
        if reason is OutcomeReason.DUPLICATE_REQUEST:
            return make_failure(reason)
        return make_refusal(reason)

    def abandon(self, request: CallerRequest, now: float) -> None:
        """Do nothing; `end` is called afterwards and releases the claim."""

    def end(self, request: CallerRequest, outcome: Outcome) -> None:
        """Release the claim of a request that was not run; keep it if the request may have run."""
        claim, request.claim = request.claim, None
        if claim is None or outcome is not Outcome.NOT_RUN:
            return
        task = asyncio.ensure_future(self._claim_manager.release(claim))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)
