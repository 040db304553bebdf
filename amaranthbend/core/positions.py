"""Positions in the history of the store, which can come back from an older copy of itself.

After such a return the store gives out revisions again, for other contents. Each return begins a
new era, so that an era and a revision together name one state of the store.
"""

from collections.abc import Callable

__all__ = ["Eras", "Position", "get_era"]

# Revisions are below 2**53, see `platform/document_fields.py`.
REVISION_BITS = 64
REVISION_MASK = (1 << REVISION_BITS) - 1


class Position(int):
    """An era of the store and a revision in it, ordered by the era first.

    It is one integer, so that in the first era (0, also that of a store that states none) it equals
    the revision, and hosts of earlier versions exchange it unchanged.

    Parameters
    ----------
    era : int
        Number of the era, at least 0.
    revision : int
        Revision that the store states, below 2**64.
    """

    __slots__ = ()

    def __new__(cls, era: int, revision: int) -> "Position":
        """Return the position of a revision in an era."""
        return super().__new__(cls, era << REVISION_BITS | revision)

    @classmethod
    def from_number(cls, number: int) -> "Position":
        """Return a position that has become a plain integer on its way."""
        return cls(get_era(number), number & REVISION_MASK)

    @property
    def era(self) -> int:
        """Number of the era."""
        return get_era(self)

    @property
    def revision(self) -> int:
        """Revision in the era, as the store states it."""
        return self & REVISION_MASK

    def __str__(self) -> str:
        """Return the revision, after the era unless that is the first one."""
        return f"{self.era}:{self.revision}" if self.era else str(self.revision)


def get_era(position: int) -> int:
    """Return the era of a position, which may have become a plain integer on its way."""
    return position >> REVISION_BITS


class Eras:
    """The latest era of the store that this host has heard of, from the store or another host."""

    def __init__(self) -> None:
        # None before the first response.
        self._latest: int | None = None
        # Called with the earlier and the new era when the store has come back from a copy.
        self.on_return: Callable[[int, int], None] | None = None

    @property
    def latest(self) -> int:
        """Number of the latest era, 0 before one is known."""
        return self._latest or 0

    def note(self, era: int) -> None:
        """Record an era that the store has stated, maybe to another host."""
        known = self._latest
        if known is not None and era <= known:
            return
        self._latest = era
        if known is not None and self.on_return is not None:
            self.on_return(known, era)
