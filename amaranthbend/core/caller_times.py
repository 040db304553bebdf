"""How long callers have been trying, and which requests they have probably repeated.

Load pattern: for some seconds more requests arrive than may run, and each refused caller comes back
once or twice. A request that comes back may have lost its latency goal already.
"""

import math

__all__ = ["CallerTimes", "has_lost_goal"]

# A caller that has less than this share of the usual time left has probably been refused before.
# Callers come back after 0.1 s at the earliest, which is 0.04 of a deadline of 2.5 s.
FIRST_TIME_SHARE = 0.97
# Decay for each request of the most time that callers had, in case they get less.
CALLER_TIME_DECAY = 0.999
# More pairs of team and route than one host sees within minutes; about 0.2 MB.
MAX_ENTRIES = 1024
# Latency goals are 2.5 to 4.7 times the usual work, mostly about 2.5 times (docs/design/README.md).
# A request that has used this share of such a goal before it is sent is answered late; one with a
# longer goal may still be in time.
LOST_GOAL_SHARE = 0.6


def has_lost_goal(latency_goal_s: float | None, elapsed_s: float) -> bool:
    """Return whether a request will probably be answered later than its latency goal.

    Parameters
    ----------
    latency_goal_s : float or None
        Latency goal of the route in seconds, None without one.
    elapsed_s : float
        Time since its caller first sent it, in seconds.
    """
    return latency_goal_s is not None and elapsed_s > LOST_GOAL_SHARE * latency_goal_s


class CallerTimes:
    """Detects requests that their caller has repeated after a refusal.

    A repeated request carries no mark and mostly arrives at another host, but its caller has less
    time left than with a first request of the same team and route. Teams are kept apart, so that
    one with unusual timeouts does not affect what is expected of the others.
    """

    def __init__(self) -> None:
        self._most_s: dict[tuple[str, str], float] = {}

    def estimate_elapsed_s(self, team: str, route: str, left_s: float) -> float:
        """Record a request, and return for how long its caller has been trying, in seconds.

        Parameters
        ----------
        team : str
            Team of the caller, empty without one.
        route : str
            Route of the request.
        left_s : float
            Time that the caller had left when the request arrived, in seconds.
        """
        if not math.isfinite(left_s):
            return 0.0
        key = (team, route)
        if key not in self._most_s and len(self._most_s) >= MAX_ENTRIES:
            self._most_s.clear()
        most_s = max(left_s, CALLER_TIME_DECAY * self._most_s.get(key, 0.0))
        self._most_s[key] = most_s
        return most_s - left_s if left_s < FIRST_TIME_SHARE * most_s else 0.0
