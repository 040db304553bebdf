"""Limit on long requests, and detection of short requests that turn out to be long."""

import math
from collections import deque

__all__ = ["LongWorkLimit", "OverdueTracker"]


class LongWorkLimit:
    """Limits the long requests in flight to a share of the slots.

    Parameters
    ----------
    share : float
        Maximum share of the slots of a service, 0 to 1.
    processes : int
        Entry processes that divide this share among them.
    """

    def __init__(self, share: float, processes: int) -> None:
        self._share = share
        self._processes = processes

    def set_share(self, share: float, processes: int) -> None:
        """Change the share and the number of processes."""
        self._share = share
        self._processes = processes

    def count_allowed(self, slots: int) -> int:
        """Return the limit of this process, at least 1, given the slots of the service."""
        return max(1, math.floor(self._share * slots / self._processes))

    def count_allowed_per_upstream(self, slots: int) -> int:
        """Return the limit at one upstream, at least 1, given the slots of that upstream."""
        return max(1, math.floor(self._share * slots))


class OverdueTracker:
    """Finds attempts of short requests that run for longer than a limit."""

    def __init__(self) -> None:
        self._started: deque[tuple[float, tuple[int, int]]] = deque()

    def add(self, key: tuple[int, int], now: float) -> None:
        """Track an attempt that starts now."""
        self._started.append((now, key))

    def pop_overdue(self, long_after_s: float, now: float) -> list[tuple[int, int]]:
        """Remove and return the attempts that started longer ago than the limit.

        Attempts that have ended in the meantime are among them.
        """
        overdue: list[tuple[int, int]] = []
        while self._started and self._started[0][0] + long_after_s <= now:
            overdue.append(self._started.popleft()[1])
        return overdue
