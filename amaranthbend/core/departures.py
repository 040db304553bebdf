"""Upstreams that left, by incarnation, as exchanged between processes and hosts."""

from typing import NamedTuple

import xxhash

__all__ = ["Departure", "Departures"]

# Departures learned this recently are sent with every exchange between hosts, so that one lost
# message does not delay them until the next full exchange.
RECENT_DEPARTURE_S = 10.0
# A departure whose upstream is no longer in the host list is retained this long, in case an
# outdated list names the upstream again.
RETENTION_S = 3600.0
# Bounds memory if identifiers of upstreams are never reused.
MAX_DEPARTURES = 8192


class Departure(NamedTuple):
    """An upstream that left; only a higher incarnation of it may be used again."""

    service: str
    upstream: str
    incarnation: int


class _Entry(NamedTuple):
    incarnation: int
    learned_at: float
    sequence: int


class Departures:
    """The highest departed incarnation of each upstream."""

    def __init__(self) -> None:
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._listed_incarnations: dict[tuple[str, str], int] = {}
        self._sequence = 0
        self._hash: int | None = None

    @property
    def sequence(self) -> int:
        """Sequence number of the departure learned last, for `list_after`."""
        return self._sequence

    def add(self, departure: Departure, now: float) -> bool:
        """Add a departure.

        Returns
        -------
        bool
            Whether it was unknown.
        """
        key = (departure.service, departure.upstream)
        known = self._entries.get(key)
        if known is not None and known.incarnation >= departure.incarnation:
            return False
        self._sequence += 1
        self._hash = None
        # Removing the key first keeps the dictionary in the order in which entries were learned.
        self._entries.pop(key, None)
        self._entries[key] = _Entry(departure.incarnation, now, self._sequence)
        if len(self._entries) > MAX_DEPARTURES:
            del self._entries[next(iter(self._entries))]
        return True

    def set_listed_incarnations(self, incarnations: dict[tuple[str, str], int], now: float) -> None:
        """Set the incarnations of the host list, and drop expired departures that it lacks."""
        self._listed_incarnations = incarnations
        self._hash = None
        for key, entry in list(self._entries.items()):
            if key in incarnations or now - entry.learned_at < RETENTION_S:
                continue
            del self._entries[key]

    def has_departed(self, service: str, upstream: str, incarnation: int) -> bool:
        """Return whether this incarnation has left."""
        entry = self._entries.get((service, upstream))
        return entry is not None and incarnation <= entry.incarnation

    def list_after(self, sequence: int) -> list[Departure]:
        """Return the departures learned after a sequence number."""
        return [
            Departure(*key, entry.incarnation)
            for key, entry in self._entries.items()
            if entry.sequence > sequence
        ]

    def list_recent(self, now: float) -> list[Departure]:
        """Return the departures learned in the last `RECENT_DEPARTURE_S` seconds."""
        return [
            Departure(*key, entry.incarnation)
            for key, entry in self._entries.items()
            if now - entry.learned_at < RECENT_DEPARTURE_S
        ]

    def list_relevant(self) -> list[Departure]:
        """Return the departures that exclude an upstream of the current host list."""
        return sorted(
            Departure(*key, entry.incarnation)
            for key, entry in self._entries.items()
            if self._listed_incarnations.get(key, entry.incarnation + 1) <= entry.incarnation
        )

    def compute_hash(self) -> int:
        """Return a hash of the relevant departures, equal on hosts that know the same ones."""
        if self._hash is None:
            lines = [f"{d.service}\t{d.upstream}\t{d.incarnation}" for d in self.list_relevant()]
            self._hash = xxhash.xxh64_intdigest("\n".join(lines).encode())
        return self._hash
