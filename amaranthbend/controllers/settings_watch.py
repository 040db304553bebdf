"""Watch of the deployment's settings on the platform."""

import random

from result import Err, Result

from ..adapters.logs import log_event
from ..adapters.platform import ObjectChanges, PlatformCallError, PlatformClient
from ..core.backoff import Backoff
from .host_state import HostState

__all__ = ["SettingsWatch"]

SETTINGS_KIND = "settings"
# Length of one long poll. A working watch answers at once; one whose connection was lost silently
# delays a change by at most this time.
LONG_POLL_WAIT_S = 5.0


class SettingsWatch:
    """Passes each settings envelope of the platform to the host state.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    state : HostState
        Receives the envelopes.
    deployment : str
        Name of the deployment.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(
        self, platform: PlatformClient, state: HostState, deployment: str, rng: random.Random
    ) -> None:
        self._platform = platform
        self._state = state
        self._deployment = deployment
        self._backoff = Backoff(rng.random)
        self._revision: int | None = None

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            answer = await self._fetch()
            if isinstance(answer, Err):
                delay_s = self._backoff.next_delay()
                log_event(
                    "settings_watch_failed", delay_s=round(delay_s, 2), error=answer.err_value
                )
                await self._platform.wait_before_retry(delay_s)
                continue
            self._backoff.reset()
            self.handle_changes(answer.ok_value)

    async def fetch_once(self) -> bool:
        """Read the settings once, when the process starts.

        Returns
        -------
        bool
            Whether the platform answered.
        """
        answer = await self._platform.list(SETTINGS_KIND)
        if isinstance(answer, Err):
            return False
        self.handle_changes(answer.ok_value)
        return True

    def handle_changes(self, changes: ObjectChanges) -> None:
        """Pass on the envelope of the deployment if it is among the changes."""
        self._revision = changes.revision
        for stored in changes.objects:
            if stored.name != self._deployment:
                continue
            self._state.offer_settings(stored.value, "platform")

    async def _fetch(self) -> Result[ObjectChanges, PlatformCallError]:
        if self._revision is None:
            return await self._platform.list(SETTINGS_KIND)
        return await self._platform.watch(SETTINGS_KIND, self._revision, LONG_POLL_WAIT_S)
