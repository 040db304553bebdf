"""Changes within the rules: evacuations, keys, cold instances and bursts of a team."""

import asyncio
import time
from typing import Any

from standins.node_caller import DESK, make_configuration
from standins.store import StoreState

from .evidence import KeyPeriod, Period, Records
from .plan import COLD_S, Change, ChangeKind, Fault
from .site import DATA_CENTRES, STORE_MODES, Site
from .team_judge import COLD_RATE, QUOTA_BURST, QUOTA_RATE

__all__ = ["CHANGED_KEYS", "LIMITED_KEY", "STEADY_KEY", "Changes"]

STEADY_KEY = "key-steady"
LIMITED_KEY = "key-limited"
# Keys that are added and withdrawn.
CHANGED_KEYS = ("key-changed-0", "key-changed-1")
EVACUATIONS_KIND = "evacuations"


class Changes:
    """Makes the changes of a run, and records them.

    Parameters
    ----------
    site : Site
        The site.
    """

    def __init__(self, site: Site) -> None:
        self.is_bursting = False
        self._site = site
        self._store: StoreState = site.store
        self._records: Records = site.records
        # Keys of the team whose keys change.
        self._changed: list[str] = []
        self._version = 1

    def start(self) -> None:
        """Write the first configuration with teams."""
        self._records.keys[STEADY_KEY] = KeyPeriod("steady")
        self._records.keys[LIMITED_KEY] = KeyPeriod("limited")
        self._write_configuration()

    async def make(self, change: Change) -> None:
        """Make a change at its time, and take it back."""
        await asyncio.sleep(change.at_s)
        makers = {
            ChangeKind.EVACUATION: self._evacuate,
            ChangeKind.COLD: self._cool_down,
            ChangeKind.KEY: self._change_key,
            ChangeKind.BURST: self._burst,
            ChangeKind.OUTAGE: self._take_store_away,
        }
        await makers[change.kind](change)

    async def _evacuate(self, change: Change) -> None:
        data_centre = DATA_CENTRES[change.target % len(DATA_CENTRES)]
        self._store.put(EVACUATIONS_KIND, data_centre, {"reason": "soak"})
        began_at = time.monotonic()
        await asyncio.sleep(change.length_s)
        ended_at = time.monotonic()
        # Upstreams of a data centre that is used again are cold.
        for instance in self._site.instances:
            if instance.data_centre == data_centre:
                self._site.make_cold(instance)
        self._store.remove(EVACUATIONS_KIND, data_centre)
        self._records.evacuations.append(Period(data_centre, began_at, ended_at))

    async def _cool_down(self, change: Change) -> None:
        self._site.make_cold(self._site.instances[change.target % len(self._site.instances)])
        await asyncio.sleep(COLD_S)

    async def _change_key(self, change: Change) -> None:
        key = CHANGED_KEYS[change.target % len(CHANGED_KEYS)]
        self._changed.append(key)
        self._records.keys[key] = KeyPeriod("changed", time.monotonic())
        self._write_configuration()
        await asyncio.sleep(change.length_s)
        self._changed.remove(key)
        self._write_configuration()
        added_at = self._records.keys[key].added_at
        self._records.keys[key] = KeyPeriod("changed", added_at, time.monotonic())

    async def _burst(self, change: Change) -> None:
        self.is_bursting = True
        await asyncio.sleep(change.length_s)
        self.is_bursting = False

    async def _take_store_away(self, change: Change) -> None:
        kinds = list(STORE_MODES)
        kind = kinds[change.target % len(kinds)]
        await self._site.strike(Fault(change.at_s, kind, change.target, change.length_s))

    def _write_configuration(self) -> None:
        self._version += 1
        configuration: dict[str, Any] = make_configuration(self._version)
        limits = {"perS": QUOTA_RATE, "burst": QUOTA_BURST}
        configuration["tenants"] = [
            {"name": "steady", "apiKeys": [STEADY_KEY]},
            {"name": "limited", "apiKeys": [LIMITED_KEY], **limits},
            {"name": "changed", "apiKeys": list(self._changed)},
        ]
        (service,) = (entry for entry in configuration["clusters"] if entry["name"] == DESK)
        service["coldPerS"] = COLD_RATE
        self._store.put("config", "main", configuration)
