"""Which upstreams may be used, given a store that can lose the entries of live upstreams.

Load pattern: during an outage of the store, entries of live upstreams vanish and return after
its recovery, while the entry of an upstream that leaves vanishes for good. Dropping the former
would leave a service without upstreams; keeping the latter would send requests to an upstream
that is about to exit.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from .actions import Member, UpstreamState
from .positions import get_era

__all__ = ["Listing", "RegistryTimes", "UpstreamRegistry"]


class Listing(NamedTuple):
    """Entry of an upstream in the store.

    Parameters
    ----------
    service : str
        Service that the upstream belongs to.
    member : Member
        Address and state of the upstream.
    slots : int
        Number of requests that it runs at the same time.
    cold_s : float
        Seconds for which it is still cold, that is slow after its start.
    revision : int
        Revision of the entry's last change.
    """

    service: str
    member: Member
    slots: int
    cold_s: float
    revision: int


class RegistryTimes(NamedTuple):
    """How long upstreams stay in use after their entries vanished, in seconds.

    Parameters
    ----------
    retention_s : float
        After an entry vanished together with most others of its service while the store was
        reachable; shorter than the time for which leaving upstreams still serve.
    outage_retention_s : float
        After an outage of the store; live upstreams are listed again within this time.
    """

    retention_s: float
    outage_retention_s: float


class _Entry:
    __slots__ = ("cold_until", "listing", "usable_until")

    def __init__(self, listing: Listing, cold_until: float) -> None:
        self.listing = listing
        self.cold_until = cold_until
        # Infinite as long as the store lists the upstream.
        self.usable_until = math.inf


class UpstreamRegistry:
    """Tracks the store's entries of upstreams, and retains for a while those lost in an outage.

    Parameters
    ----------
    times : RegistryTimes
        How long vanished entries are retained.
    """

    def __init__(self, times: RegistryTimes) -> None:
        self._times = times
        self._entries: dict[str, _Entry] = {}
        self._is_reachable = True
        # End of the latest outage.
        self._recovered_at = -math.inf

    def set_reachable(self, is_reachable: bool, now: float) -> None:
        """Record whether the store responds; the end of an outage extends the retention."""
        if is_reachable and not self._is_reachable:
            self._recovered_at = now
            for entry in self._entries.values():
                if entry.usable_until < math.inf:
                    entry.usable_until = max(
                        entry.usable_until, now + self._times.outage_retention_s
                    )
        self._is_reachable = is_reachable

    def record_return(self, now: float) -> None:
        """Record that the store has come back from an older copy, which may lack live upstreams."""
        self._recovered_at = now

    def put(self, listing: Listing, now: float) -> bool:
        """Add or update an entry, and return whether that changed anything."""
        name = listing.member.upstream
        known = self._entries.get(name)
        if known is not None and known.listing.revision >= listing.revision:
            if known.usable_until < math.inf and known.listing.revision == listing.revision:
                known.usable_until = math.inf
                return True
            return False
        entry = _Entry(listing, now + listing.cold_s)
        if known is not None and _is_same_entry(known.listing, listing):
            entry.cold_until = known.cold_until
        self._entries[name] = entry
        return True

    def remove(self, names: Iterable[str], now: float) -> list[str]:
        """Record that entries vanished together, and return the upstreams that stay in use."""
        vanished_entries = [
            self._entries[name]
            for name in names
            if name in self._entries and self._entries[name].usable_until == math.inf
        ]
        retained: list[str] = []
        for service in {entry.listing.service for entry in vanished_entries}:
            members = [entry for entry in vanished_entries if entry.listing.service == service]
            retention_end = self._compute_retention_end(service, len(members), now)
            for entry in members:
                is_leaving = entry.listing.member.state is UpstreamState.DRAINING
                entry.usable_until = now if is_leaving else retention_end
                if entry.usable_until > now:
                    retained.append(entry.listing.member.upstream)
        self._drop_expired(now)
        return retained

    def replace(self, listings: Iterable[Listing], now: float) -> list[str]:
        """Replace all entries, and return the upstreams that vanished but stay in use."""
        listed: set[str] = set()
        for listing in listings:
            listed.add(listing.member.upstream)
            self.put(listing, now)
        return self.remove(self._entries.keys() - listed, now)

    def list_members(self, now: float) -> dict[str, tuple[Member, ...]]:
        """Return the usable upstreams by service, and drop those whose retention has ended."""
        self._drop_expired(now)
        members: dict[str, list[Member]] = {}
        for entry in self._entries.values():
            member = entry.listing.member
            if member.state is UpstreamState.SERVING and entry.cold_until > now:
                member = member._replace(state=UpstreamState.COLD)
            members.setdefault(entry.listing.service, []).append(member)
        return {service: tuple(group) for service, group in members.items()}

    def get_next_change_time(self, now: float) -> float | None:
        """Return the next time at which the members change by time alone, None if never."""
        times = [entry.usable_until for entry in self._entries.values()]
        times += [entry.cold_until for entry in self._entries.values()]
        return min((time for time in times if now < time < math.inf), default=None)

    def _compute_retention_end(self, service: str, vanished: int, now: float) -> float:
        """Return the time until which vanished upstreams of a service stay in use."""
        if not self._is_reachable or now < self._recovered_at + self._times.outage_retention_s:
            return max(now, self._recovered_at) + self._times.outage_retention_s
        listed = sum(
            entry.listing.service == service and entry.usable_until == math.inf
            for entry in self._entries.values()
        )
        # Upstreams leave one at a time. If most of a service vanish at once, the store lost them.
        return now + self._times.retention_s if vanished > 1 and 2 * vanished > listed else now

    def _drop_expired(self, now: float) -> None:
        for name in [name for name, entry in self._entries.items() if entry.usable_until <= now]:
            del self._entries[name]


def _is_same_entry(known: Listing, listing: Listing) -> bool:
    """Return whether a store that has come back from a copy states a known entry again."""
    is_new_era = get_era(listing.revision) > get_era(known.revision)
    return is_new_era and known._replace(revision=listing.revision) == listing
