"""Tells long work from short, by route and by observed running time."""

import math
from collections import deque

__all__ = ["LongWorkLimit", "OverdueTracker"]


class LongWorkLimit:
    """Bounds long work in flight from one process to its share of slots.

    Parameters
    ----------
    share : float
        Largest share of the slots of a service, 0 to 1.
    processes : int
        Entry processes among which the share is divided.
    """

    def __init__(self, share: float, processes: int) -> None:
        self._share = share
        self._processes = processes

    def set_share(self, share: float, processes: int) -> None:
        """Change the share, and the number of processes."""
        self._share = share
        self._processes = processes

    def count_allowed(self, slots: int) -> int:
        """Return the long requests that may be in flight, at least one, given all slots."""
        return max(1, math.floor(self._share * slots / self._processes))

    def count_allowed_at(self, slots: int) -> int:
        """Return the long requests that may be at one upstream, given its slots."""
        return max(1, math.floor(self._share * slots))


class OverdueTracker:
    """Finds requests that turn out to be long after they were sent as short."""

    def __init__(self) -> None:
        self._started: deque[tuple[float, tuple[int, int]]] = deque()

    def add(self, key: tuple[int, int], now: float) -> None:
        """Watch an attempt that starts."""
        self._started.append((now, key))

    def pop_overdue(self, long_after_s: float, now: float) -> list[tuple[int, int]]:
        """Return the attempts that have run, or would have, for longer than the limit."""
        overdue: list[tuple[int, int]] = []
        while self._started and self._started[0][0] + long_after_s <= now:
            overdue.append(self._started.popleft()[1])
        return overdue
