"""Requests that can wait, and leave room to more urgent ones while their service is short of it.

Load pattern: for some seconds, requests with a long latency goal and long work come more than twice
as often, while a part of the upstreams is missing. They fill the slots and queues of all upstreams,
and more urgent requests with a short goal are answered late behind them.

Hundreds of hosts decide independently, and each has a few requests a second, so that a queue in one
host would order few of them. The order across hosts comes from what a request may use of an
upstream, and from when refused callers come back.
"""

from collections import Counter
from typing import NamedTuple

from .actions import RequestInfo

__all__ = ["RESERVED_SLOTS", "DeferralPolicy", "Rank", "get_rank"]

# Slots of an upstream that deferrable requests leave free. Work is not interrupted, so a more
# urgent request finds a slot without waiting only if one is free already.
RESERVED_SLOTS = 1
# A request is deferrable if its latency goal leaves this multiple of its usual work: it then has
# time to come back once and to wait for the work of another request.
DEFERRABLE_WORK = 3.5
# Part of the time that is left after twice the usual work in which a refused caller comes back at
# the earliest. The delay is spread to twice its value (`MAX_RETRY_AFTER_FACTOR`).
RETURN_SHARE = 0.5
# A rank that was not seen for this time no longer counts: longer than the pauses of a host with 3
# requests a second.
RANK_RETENTION_S = 60.0
# More than any deployment has; beyond that, everything is learnt anew.
MAX_ENTRIES = 256
# Least weight of one response in the mean work of a route, which follows changes within 20
# responses; a plain mean before.
WORK_WEIGHT = 0.05
# Responses from which the work of a route counts as known: after a single one that happens to be
# short, requests that cannot wait would be deferred.
MIN_RESPONSES = 2


class Rank(NamedTuple):
    """Priority of the team, then of the route; higher values are more urgent."""

    team_priority: int
    priority: int

    def describe(self) -> str:
        """Return a name for explanations."""
        return f"t{self.team_priority}r{self.priority}"


def get_rank(request: RequestInfo) -> Rank:
    """Return the rank of a request."""
    return Rank(request.team_priority, request.priority)


class DeferralPolicy:
    """Decides which requests of a service are deferrable."""

    def __init__(self) -> None:
        self._seen_at: dict[Rank, float] = {}
        # Mean time that the requests of a route need at an upstream of the usual speed, and the
        # number of responses.
        self._work_s: dict[str, float] = {}
        self._responses: Counter[str] = Counter()

    def observe(self, request: RequestInfo, now: float) -> None:
        """Record a new request."""
        if len(self._seen_at) >= MAX_ENTRIES:
            self._seen_at.clear()
        self._seen_at[get_rank(request)] = now

    def record_work(self, route: str, duration_s: float, slowdown: float) -> None:
        """Record the duration of a request that did not have to queue.

        Parameters
        ----------
        route : str
            Route of the request.
        duration_s : float
            Duration in seconds.
        slowdown : float
            Reported slowdown of the upstream when the request was sent.
        """
        if len(self._work_s) >= MAX_ENTRIES:
            self._work_s.clear()
            self._responses.clear()
        usual_s = duration_s / max(1.0, slowdown)
        self._responses[route] += 1
        weight = max(WORK_WEIGHT, 1.0 / self._responses[route])
        mean_s = self._work_s.get(route, 0.0)
        self._work_s[route] = mean_s + weight * (usual_s - mean_s)

    def is_deferrable(self, request: RequestInfo, now: float) -> bool:
        """Return whether a request can wait, and more urgent ones of its service have come lately.

        A request that has come back is not deferred again: its caller may have no further try.

        Parameters
        ----------
        request : RequestInfo
            The request.
        now : float
            Present time.
        """
        if request.latency_goal_s is None or request.elapsed_s > 0.0:
            return False
        if self._responses[request.route] < MIN_RESPONSES:
            return False
        if request.latency_goal_s < DEFERRABLE_WORK * self._work_s[request.route]:
            return False
        rank = get_rank(request)
        for other, seen_at in self._seen_at.items():
            if other > rank and now - seen_at < RANK_RETENTION_S:
                return True
        return False

    def compute_return_delay_s(self, request: RequestInfo) -> float:
        """Return the least delay after which the caller of a deferred request should come back.

        It comes back as late as it can still be answered within its goal, when the shortage is
        over or has been served by others.
        """
        assert request.latency_goal_s is not None
        return RETURN_SHARE * (request.latency_goal_s - 2.0 * self._work_s[request.route])
