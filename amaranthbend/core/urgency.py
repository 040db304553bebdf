"""Order of requests by urgency, and what requests of each rank may use of an upstream.

Load pattern: for some seconds a service gets more requests than its upstreams can run. Hundreds of
hosts decide independently, and each of them has only a few requests a second, so that a queue in
one host orders few of them. The order across hosts comes from limits: a more urgent rank may go
further beyond the best concurrency of an upstream. Once the upstreams are filled up to the limit
of a rank, only more urgent requests find room.
"""

import bisect
import math
from typing import NamedTuple

import xxhash

from .actions import RequestInfo

__all__ = ["CallerTimes", "OrderKey", "Rank", "RankTable", "WorkEstimates", "get_rank"]

# Requests that an upstream may get beyond its best concurrency, as a share of it: for the most
# urgent rank seen in the service, and for the least urgent one. The ranks in between are spaced
# evenly. The first value is that of deployments without ranks. With the second, upstreams of 3
# slots get no request or one for the queue, so that a slot that becomes free does not stay unused
# until the next probe.
MOST_URGENT_SHARE = 0.67
LEAST_URGENT_SHARE = 0.17
# A rank that was not seen for this time no longer counts: longer than the pauses of a host with 3
# requests a second, shorter than a change of the priorities stays relevant.
RANK_RETENTION_S = 60.0
# More ranks than any deployment has; beyond that, those not seen for the longest time are dropped.
MAX_RANKS = 64
MAX_ROUTES = 256
# Weight of one response in the mean work of a route, which follows changes within 20 responses.
WORK_WEIGHT = 0.05
# A caller that has less than this share of the usual time left has probably been refused before.
# Callers come back after 0.1 s at the earliest, which is 0.04 of a deadline of 2.5 s.
FIRST_TIME_SHARE = 0.97
# Decay for each request of the most time that callers of a route had, in case they get less.
CALLER_TIME_DECAY = 0.999
HASH_RANGE = 2.0**64


class Rank(NamedTuple):
    """Priority of the team, then of the route; higher values are more urgent."""

    team_priority: int
    priority: int

    def describe(self) -> str:
        """Return a name for logs and metrics."""
        return f"t{self.team_priority}r{self.priority}"


class OrderKey(NamedTuple):
    """Position of a request in the order of urgency; smaller keys go first.

    Parameters
    ----------
    team_rank, route_rank : int
        Negated priorities of team and route.
    is_new : bool
        False for a request that was sent or refused before.
    turn : int
        Turn of the request in its rank, see `waiting.TeamTurns`.
    goal_at : float
        Time of its latency goal.
    work_s : float
        Expected work in seconds.
    request_id : int
        Breaks ties by arrival.
    """

    team_rank: int
    route_rank: int
    is_new: bool
    turn: int
    goal_at: float
    work_s: float
    request_id: int


def get_rank(request: RequestInfo) -> Rank:
    """Return the rank of a request."""
    return Rank(request.team_priority, request.priority)


class RankTable:
    """The ranks that were seen in a service, and what each may use."""

    def __init__(self) -> None:
        self._seen_at: dict[Rank, float] = {}
        self._ordered: list[Rank] = []

    def observe(self, rank: Rank, now: float) -> None:
        """Record a request of a rank."""
        is_new = rank not in self._seen_at
        self._seen_at[rank] = now
        oldest = min(self._seen_at, key=self._seen_at.__getitem__)
        if now - self._seen_at[oldest] > RANK_RETENTION_S or len(self._seen_at) > MAX_RANKS:
            del self._seen_at[oldest]
            is_new = True
        if is_new:
            self._ordered = sorted(self._seen_at)

    def list_ranks(self) -> list[Rank]:
        """Return the ranks, the least urgent one first."""
        return self._ordered

    def compute_share(self, rank: Rank) -> float:
        """Return the requests beyond the best concurrency that a rank may cause, as a share."""
        last = len(self._ordered) - 1
        if last < 1:
            return MOST_URGENT_SHARE
        position = min(last, bisect.bisect_left(self._ordered, rank)) / last
        return LEAST_URGENT_SHARE + position * (MOST_URGENT_SHARE - LEAST_URGENT_SHARE)

    def compute_limit(self, rank: Rank, best: int, upstream: str) -> float:
        """Return how many requests an upstream may hold for one of this rank to be added.

        Upstreams have few slots, so that whole numbers would give several ranks the same limit.
        The limit is therefore a fraction, and each upstream adds a fixed part of 1 that is the
        same at all hosts and for all ranks. A more urgent rank never has the lower limit.

        Parameters
        ----------
        rank : Rank
            Rank of the request.
        best : int
            Best concurrency of the upstream.
        upstream : str
            The upstream.
        """
        part = xxhash.xxh64_intdigest(upstream.encode()) / HASH_RANGE
        return best * (1.0 + self.compute_share(rank)) + part


class WorkEstimates:
    """Mean time that an upstream at its usual speed needs for the requests of each route."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, route: str, duration_s: float) -> None:
        """Record the duration of a request that did not have to queue.

        Parameters
        ----------
        route : str
            Route of the request.
        duration_s : float
            Duration in seconds, divided by the slowdown of the upstream.
        """
        mean = self._means.get(route)
        if mean is None:
            if len(self._means) >= MAX_ROUTES:
                self._means.clear()
            self._means[route] = duration_s
            return
        self._means[route] = mean + WORK_WEIGHT * (duration_s - mean)

    def estimate(self, route: str, default_s: float) -> float:
        """Return the expected work of a request in seconds, the default for an unknown route."""
        return self._means.get(route, default_s)


class CallerTimes:
    """Detects requests that their caller has repeated after a refusal.

    A repeated request carries no mark and mostly arrives at another host, but its caller has less
    time left than with a first request of the same route.
    """

    def __init__(self) -> None:
        self._most_s: dict[str, float] = {}

    def is_repeated(self, route: str, left_s: float) -> bool:
        """Record a request, and return whether its caller has probably been refused before.

        Parameters
        ----------
        route : str
            Route of the request.
        left_s : float
            Time that the caller had left when the request arrived, in seconds.
        """
        if not math.isfinite(left_s):
            return False
        if route not in self._most_s and len(self._most_s) >= MAX_ROUTES:
            self._most_s.clear()
        most_s = max(left_s, CALLER_TIME_DECAY * self._most_s.get(route, 0.0))
        self._most_s[route] = most_s
        return left_s < FIRST_TIME_SHARE * most_s
