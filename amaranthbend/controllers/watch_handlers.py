"""Handlers that apply watched changes of configuration and upstreams to a node process."""

import asyncio
import math
import time
from collections.abc import Callable
from typing import Any

from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..core.evacuations import EvacuationChange, Evacuations
from ..core.policy import (
    DecodedConfiguration,
    DeploymentPolicy,
    RequestProbePolicy,
    RetryPolicy,
    ServicePolicy,
)
from ..core.positions import get_era
from ..core.registry import Listing, RegistryTimes, UpstreamRegistry
from ..core.watching import StoreChanges
from ..filters.dispatch import DispatchFilter
from ..settings.node import NodeSettings

__all__ = ["ConfigurationHandler", "EvacuationHandler", "UpstreamHandler", "complete_policy"]

# Part of the deployment's retry ratio that hosts use. The rest is a margin, since requests that
# start in one window can end in the next.
RETRY_RATIO_SHARE = 0.75
# Part of the retry burst that a new process has saved up at its start; the previous process may
# have spent as many just before the restart.
INITIAL_RETRY_SHARE = 0.5
# Retries that a host may spend before they are earned. Together with the retries that all hosts
# have saved up they stay within the deployment's retry slack.
BORROWED_RETRIES = 1.0
# Retry-After of refused requests: about the time in which an instance frees a slot, and short
# enough to leave a caller time for one more attempt.
RETRY_AFTER_S = 0.1
# Vanished upstreams are dropped this long before their drain time is over, since the drain time
# starts before the removal of their entry arrives here.
DRAIN_MARGIN_S = 0.6
# Number of unusable parts of one configuration that are logged.
MAX_LOGGED_FAULTS = 20
# Upstreams that vanished stay in use this long after an outage of the store. Live ones are listed
# again within about 2 s.
OUTAGE_RETENTION_S = 2.2
MS_PER_S = 1000
# Longest time for which a process that knows configuration and upstreams waits for the list of
# evacuations. All lists are asked for at the same time; a later one is that of a call that failed.
EVACUATIONS_WAIT_S = 0.5
WAIT_POLL_INTERVAL_S = 0.02
# Interval between two log lines about the evacuations in force.
EVACUATION_LOG_INTERVAL_S = 5.0


def complete_policy(
    policy: DeploymentPolicy, settings: NodeSettings, shares: int
) -> DeploymentPolicy:
    """Return a decoded configuration with the policies that come from the process settings.

    Parameters
    ----------
    policy : DeploymentPolicy
        Decoded configuration.
    settings : NodeSettings
        Process settings.
    shares : int
        Number of equal shares of the deployment's budgets, of which this host has one.
    """
    ratio = settings.retry_ratio * RETRY_RATIO_SHARE
    burst = max(1.0, settings.retry_slack / shares)
    services: dict[str, ServicePolicy] = {}
    for name, service in policy.services.items():
        retries = RetryPolicy(ratio, 0.0, 1, burst, INITIAL_RETRY_SHARE * burst, BORROWED_RETRIES)
        services[name] = service._replace(
            retries=retries,
            request_probes=RequestProbePolicy(probes_per_s_per_upstream=settings.probes_per_s),
            retry_after_s=RETRY_AFTER_S,
            defers_requests=policy.ranks_callers,
        )
    return policy._replace(services=services, entry_hosts_max=shares)


class ConfigurationHandler:
    """Puts stored configurations in force, and ignores those older than the one in force.

    Parameters
    ----------
    name : str
        Name of the object with the configuration.
    decode : callable
        Returns the configuration in a stored value; raises ValueError if it is not usable.
    put_in_force : callable
        Called with version, policy and the present time.
    counters : Counters
        Receives the counters of accepted and rejected configurations.
    """

    def __init__(
        self,
        name: str,
        decode: Callable[[Any], DecodedConfiguration],
        put_in_force: Callable[[int, DeploymentPolicy, float], None],
        counters: Counters,
    ) -> None:
        self._name = name
        self._decode = decode
        self._put_in_force = put_in_force
        self._counters = counters
        self._revision = 0
        self.version: int | None = None

    def replace_all(self, changes: StoreChanges, now: float) -> None:
        """Apply a list of all objects."""
        self.apply_changes(changes, now)

    def apply_changes(self, changes: StoreChanges, now: float) -> None:
        """Put newer configurations in force."""
        for event in changes.events:
            stored = event.object
            if stored.name != self._name or stored.revision <= self._revision:
                continue
            if event.is_removal:
                log_event("configuration_removed", kept_version=self.version)
                continue
            self._apply_configuration(stored.value, stored.revision, now)

    def set_store_reachable(self, is_reachable: bool, now: float) -> None:
        """Do nothing: the configuration stays in force while the store is unreachable."""

    def _apply_configuration(self, value: Any, revision: int, now: float) -> None:
        try:
            version, policy, faults = self._decode(value)
        except ValueError as error:
            self._counters.incr("configuration.rejected")
            log_event("configuration_rejected", revision=revision, error=error)
            return
        self._revision = revision
        self.version = version
        self._put_in_force(version, policy, now)
        self._counters.incr("configuration.accepted")
        log_event(
            "configuration_in_force",
            version=version,
            revision=revision,
            routes=len(policy.routes),
            services=len(policy.services),
            faults=len(faults),
        )
        self._counters.incr("configuration.faults", len(faults))
        for fault in faults[:MAX_LOGGED_FAULTS]:
            log_event("configuration_fault", version=version, revision=revision, fault=fault)


class UpstreamHandler:
    """Updates the members of the dispatchers from the stored upstream entries.

    Parameters
    ----------
    decode : callable
        Returns the listing for name, revision and value of a stored entry; raises ValueError if
        the entry describes no usable upstream.
    dispatch : DispatchFilter
        Receives the members.
    settings : NodeSettings
        Process settings.
    counters : Counters
        Receives the counters of rejected entries.
    """

    def __init__(
        self,
        decode: Callable[[str, int, Any], Listing],
        dispatch: DispatchFilter,
        settings: NodeSettings,
        counters: Counters,
    ) -> None:
        self._decode = decode
        self._dispatch = dispatch
        self._counters = counters
        retention_s = max(0.0, settings.drain_s - DRAIN_MARGIN_S)
        self._registry = UpstreamRegistry(RegistryTimes(retention_s, OUTAGE_RETENTION_S))
        self._timer: asyncio.TimerHandle | None = None
        self.has_listed = False
        # Era of the store in which the entries were last listed.
        self._era = 0

    def replace_all(self, changes: StoreChanges, now: float) -> None:
        """Apply a list of all entries."""
        era = get_era(changes.revision)
        if self.has_listed and era > self._era:
            self._registry.record_return(now)
        self._era = era
        listings: list[Listing] = []
        for event in changes.events:
            listing = self._decode_entry(
                event.object.name, event.object.revision, event.object.value
            )
            if listing is not None:
                listings.append(listing)
        kept = self._registry.replace(listings, now)
        self.has_listed = True
        log_event("upstreams_listed", count=len(listings), kept=len(kept))
        self._publish(now)

    def apply_changes(self, changes: StoreChanges, now: float) -> None:
        """Apply changes of entries."""
        removed: list[str] = []
        for event in changes.events:
            stored = event.object
            if event.is_removal:
                removed.append(stored.name)
                continue
            listing = self._decode_entry(stored.name, stored.revision, stored.value)
            if listing is None:
                removed.append(stored.name)
                continue
            if stored.name in removed:
                removed.remove(stored.name)
            if self._registry.put(listing, now):
                log_event(
                    "upstream_changed",
                    upstream=stored.name,
                    service=listing.service,
                    state=listing.member.state,
                    incarnation=listing.member.incarnation,
                    revision=stored.revision,
                )
        if removed:
            kept = self._registry.remove(removed, now)
            log_event("upstreams_removed", names=",".join(removed), kept=",".join(kept))
        self._publish(now)

    def set_store_reachable(self, is_reachable: bool, now: float) -> None:
        """Record whether the store is reachable."""
        self._registry.set_reachable(is_reachable, now)

    def _decode_entry(self, name: str, revision: int, value: Any) -> Listing | None:
        try:
            return self._decode(name, revision, value)
        except ValueError as error:
            self._counters.incr("upstreams.rejected")
            log_event("upstream_rejected", upstream=name, revision=revision, error=error)
            return None

    def _publish(self, now: float) -> None:
        """Pass the members to the dispatchers, now and when the passing of time changes them."""
        self._dispatch.set_members(self._registry.list_members(now), now)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_change_at = self._registry.get_next_change_time(now)
        if next_change_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(next_change_at - now + 0.001, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._publish(time.monotonic())


class EvacuationHandler:
    """Tells the dispatchers which data centres are evacuated.

    Until the first list nothing is sent, as any data centre may be evacuated. That wait is limited:
    a process that can read all but the evacuations serves after it.

    Parameters
    ----------
    dispatch : DispatchFilter
        Receives the evacuated data centres.
    get_age : callable
        Returns the seconds since the store confirmed what is known, for the log.
    counters : Counters
        Receives the counters of evacuations.
    """

    def __init__(
        self, dispatch: DispatchFilter, get_age: Callable[[], float], counters: Counters
    ) -> None:
        self._dispatch = dispatch
        self._get_age = get_age
        self._counters = counters
        self._evacuations = Evacuations()
        self.has_listed = False
        self.is_waiting = True
        dispatch.set_evacuated(None, time.monotonic())

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres that are known to be evacuated."""
        return self._evacuations.data_centres

    def replace_all(self, changes: StoreChanges, now: float) -> None:
        """Apply a list of all evacuations."""
        self.has_listed = True
        self._publish(self._evacuations.replace(changes, now), now)

    def apply_changes(self, changes: StoreChanges, now: float) -> None:
        """Apply changes of evacuations."""
        self._publish(self._evacuations.apply(changes.events, now), now)

    def set_store_reachable(self, is_reachable: bool, now: float) -> None:
        """Do nothing: the last known evacuations hold while the store is unreachable."""

    async def run(self, lacks_only_this: Callable[[], bool]) -> None:
        """Limit the wait for the first list, then log the evacuations in force, until cancelled.

        Parameters
        ----------
        lacks_only_this : callable
            Returns whether the process has read all else that it needs to serve.
        """
        while self.is_waiting:
            if lacks_only_this():
                await asyncio.sleep(EVACUATIONS_WAIT_S)
                self.stop_waiting(time.monotonic())
            await asyncio.sleep(WAIT_POLL_INTERVAL_S)
        while True:
            await asyncio.sleep(EVACUATION_LOG_INTERVAL_S)
            now = time.monotonic()
            self._publish(self._evacuations.lift_lost(now), now)
            self.log_state()

    def stop_waiting(self, now: float) -> None:
        """Send to all data centres if there is no list yet."""
        if self.is_waiting:
            self._counters.incr("evacuation.unknown")
            log_event("evacuations_unknown")
            self._publish([], now)

    def log_state(self) -> None:
        """Write a line about the evacuations in force, if there are any."""
        if self.data_centres:
            log_event(
                "evacuations_in_force",
                data_centres=",".join(sorted(self.data_centres)),
                age_ms=_to_ms(self._get_age()),
            )

    def _publish(self, changes: list[EvacuationChange], now: float) -> None:
        for change in changes:
            self._counters.incr("evacuation.lifted" if change.is_lifted else "evacuation.begun")
            log_event(
                "evacuation_lifted" if change.is_lifted else "evacuation_begun",
                data_centre=change.data_centre,
                revision=change.revision,
                lasted_ms=_to_ms(change.lasted_s),
                age_ms=_to_ms(self._get_age()),
            )
        if changes or self.is_waiting:
            self.is_waiting = False
            self._dispatch.set_evacuated(self.data_centres, now)


def _to_ms(duration_s: float) -> int:
    """Return a duration in whole milliseconds, -1 for one that is not known."""
    return int(duration_s * MS_PER_S) if duration_s < math.inf else -1
