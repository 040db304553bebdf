"""Polling of the platform's host list."""

import asyncio
import random

from result import Err, Ok

from ..adapters.logs import log_event
from ..adapters.platform import PlatformClient
from ..core.backoff import Backoff
from .host_state import HostState

__all__ = ["HostListPoller"]

# Mean interval between polls of one host. The first host that sees a departure passes it on to
# the others, so all hosts know of it long before a full interval has passed.
POLL_INTERVAL_S = 2.0
POLL_JITTER_SHARE = 0.25


class HostListPoller:
    """Polls the host list, and passes each answer to the host state.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    state : HostState
        Receives the host lists.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, platform: PlatformClient, state: HostState, rng: random.Random) -> None:
        self._platform = platform
        self._state = state
        self._rng = rng
        self._backoff = Backoff(rng.random)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            answer = await self._platform.fetch_hosts()
            if isinstance(answer, Err):
                delay_s = self._backoff.next_delay()
                log_event("host_list_failed", delay_s=round(delay_s, 2), error=answer.err_value)
                await self._platform.wait_before_retry(delay_s)
                continue
            self._backoff.reset()
            self._state.offer_host_list(answer.ok_value)
            await asyncio.sleep(
                POLL_INTERVAL_S * self._rng.uniform(1 - POLL_JITTER_SHARE, 1 + POLL_JITTER_SHARE)
            )

    async def fetch_once(self) -> None:
        """Fetch the host list once, when the process starts."""
        answer = await self._platform.fetch_hosts()
        if isinstance(answer, Ok):
            self._state.offer_host_list(answer.ok_value)
