"""Claim on the idempotency key, before the first send."""

import asyncio
from collections.abc import Awaitable
from typing import Any, Protocol

from result import Err, Result

from ..adapters.caller import CallerRequest
from ..core.outcomes import Outcome, OutcomeReason
from ..core.policy import ClaimRule
from .refusals import Refusal, make_failure, make_refusal

__all__ = ["ClaimFilter", "ClaimKeeper", "UnavailableClaims"]


class ClaimKeeper(Protocol):
    """Acquires and releases claims on idempotency keys."""

    async def acquire(self, service: str, key: str) -> Result[Any, OutcomeReason]:
        """Return the claim, or why there is none. Waits a bounded time."""

    async def release(self, claim: Any) -> None:
        """Give up a claim whose request was not run. Waits a bounded time."""


class UnavailableClaims:
    """Keeper of a process without a platform client."""

    async def acquire(self, service: str, key: str) -> Result[Any, OutcomeReason]:  # noqa: ARG002
        """Return that claims are unavailable."""
        return Err(OutcomeReason.CLAIM_UNAVAILABLE)

    async def release(self, claim: Any) -> None:
        """Do nothing, since there are no claims."""


class ClaimFilter:
    """Acquires the claim that a route requires; releases it if the request was not run."""

    def __init__(self, keeper: ClaimKeeper) -> None:
        self._keeper = keeper
        self._releases: set[asyncio.Task[None]] = set()

    def run(self, request: CallerRequest, now: float) -> Awaitable[Refusal | None] | None:  # noqa: ARG002
        """Acquire the claim if the route requires one."""
        route = request.route
        assert route is not None
        if route.claim is not ClaimRule.REQUIRED:
            return None
        return self._acquire(request, route.service)

    async def _acquire(self, request: CallerRequest, service: str) -> Refusal | None:
        result = await self._keeper.acquire(service, request.idempotency_key)
        if not isinstance(result, Err):
            request.claim = result.ok_value
            return None
        if result.err_value is OutcomeReason.DUPLICATE_REQUEST:
            return make_failure(result.err_value)
        return make_refusal(result.err_value)

    def abandon(self, request: CallerRequest, now: float) -> None:
        """Do nothing; `end` follows."""

    def end(self, request: CallerRequest, outcome: Outcome) -> None:
        """Release the claim of a request that was not run; any other claim stays."""
        claim, request.claim = request.claim, None
        if claim is None or outcome is not Outcome.NOT_RUN:
            return
        task = asyncio.ensure_future(self._keeper.release(claim))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)
