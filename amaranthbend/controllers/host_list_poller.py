"""Poll of the platform's host list."""

import asyncio
import random

from result import Err, Ok

from ..adapters.logs import log_event
from ..adapters.platform import PlatformClient
from ..core.backoff import Backoff
from .host_state import HostState

__all__ = ["HostListPoller"]

# Mean time between polls. The first of the hosts to see a departure tells the
# others, so a departure is known long before one host's interval has passed.
POLL_INTERVAL_S = 2.0
POLL_JITTER_SHARE = 0.25


class HostListPoller:
    """Offers the host list to the host state.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    state : HostState
        Receiver of the lists.
    rng : random.Random
        Source of jitter.
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
                await self._platform.pause(delay_s)
                continue
            self._backoff.reset()
            self._state.offer_host_list(answer.ok_value)
            await asyncio.sleep(
                POLL_INTERVAL_S * self._rng.uniform(1 - POLL_JITTER_SHARE, 1 + POLL_JITTER_SHARE)
            )

    async def fetch_once(self) -> None:
        """Fetch the list once, for the start."""
        answer = await self._platform.fetch_hosts()
        if isinstance(answer, Ok):
            self._state.offer_host_list(answer.ok_value)
