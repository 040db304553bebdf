"""Which hosts are gone for good, as their entries in the directory are no longer renewed.

Load pattern: hosts are replaced every day, under new names. An entry that nobody removes is asked
for changes at the start of each search, makes the share that each host has of a budget smaller, and
makes each list of the directory longer.

No clock is compared between hosts: an entry ages while lists show it unchanged. The time of an
outage of the store, in which nobody can renew an entry, counts for no more than one interval.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["EXPIRY_S", "HostExpiry", "RENEWAL_INTERVAL_S"]

# Interval in seconds in which each host renews its entry: 10 writes a second for 5,600 hosts.
RENEWAL_INTERVAL_S = 600.0
# Age in seconds at which an entry expires; two renewals in a row may fail.
EXPIRY_S = 3 * RENEWAL_INTERVAL_S
# Hosts, the first ones that are not expired, that remove entries. The second one does so while the
# first is cut off from the store.
REMOVING_HOSTS = 2


class _Entry(NamedTuple):
    revision: int
    age_s: float


class HostExpiry:
    """Age of each entry of the directory.

    Parameters
    ----------
    max_gap_s : float
        Longest time in seconds between two lists that counts in full.
    """

    def __init__(self, max_gap_s: float) -> None:
        self._max_gap_s = max_gap_s
        self._entries: dict[str, _Entry] = {}
        self._listed_at: float | None = None

    def record_list(self, revisions: Mapping[str, int], now: float) -> None:
        """Record a list of the directory.

        Parameters
        ----------
        revisions : mapping of str to int
            Revision of each entry by the name of its host. Any other revision than the last one
            shows that the host has renewed its entry, also a lower one of an older replica.
        now : float
            Present time in seconds.
        """
        gap_s = 0.0 if self._listed_at is None else min(self._max_gap_s, now - self._listed_at)
        self._listed_at = now
        entries: dict[str, _Entry] = {}
        for name, revision in revisions.items():
            known = self._entries.get(name)
            is_unchanged = known is not None and known.revision == revision
            age_s = known.age_s + gap_s if known is not None and is_unchanged else 0.0
            entries[name] = _Entry(revision, age_s)
        self._entries = entries

    def list_expired(self) -> dict[str, int]:
        """Return the revisions of the expired entries by name."""
        return {
            name: entry.revision for name, entry in self._entries.items() if entry.age_s > EXPIRY_S
        }

    def may_remove(self, host: str) -> bool:
        """Return whether a host is one of those that remove expired entries."""
        expired = self.list_expired()
        first = sorted(name for name in self._entries if name not in expired)
        return host in first[:REMOVING_HOSTS]
