"""Pauses of a process, after which data that waits in its sockets is old."""

import math

__all__ = ["PauseTracker"]

# Longest time without any activity of a running process: it checks its watches each second.
MAX_ACTIVITY_GAP_S = 1.5


class PauseTracker:
    """Finds the time at which a response arrived, although the process may have been paused.

    Load pattern: a host is frozen or suspended for seconds. Responses that arrived before or
    during the pause are read after it, and seem to have just arrived.
    """

    def __init__(self) -> None:
        self._active_at = -math.inf
        self._paused_at = -math.inf
        self._resumed_at = -math.inf

    def record_activity(self, now: float) -> None:
        """Record that the process is running."""
        if now - self._active_at > MAX_ACTIVITY_GAP_S:
            self._paused_at = self._active_at
            self._resumed_at = now
        self._active_at = max(self._active_at, now)

    def find_arrival_time(self, asked_at: float, now: float) -> float:
        """Return the earliest time at which the response to a call can have arrived.

        Parameters
        ----------
        asked_at : float
            Time at which the call was made.
        now : float
            Present time, at which the response is read.
        """
        self.record_activity(now)
        if asked_at >= self._resumed_at:
            return now
        return max(asked_at, self._paused_at)
