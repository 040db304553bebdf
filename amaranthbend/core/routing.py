"""Choice of an upstream for one request."""

import random
from collections.abc import Iterable

from .actions import LoadReport, Member

__all__ = ["Router", "UpstreamLoad"]


class UpstreamLoad:
    """What this process knows of the load at one upstream.

    Parameters
    ----------
    member : Member
        The upstream.
    """

    __slots__ = ("in_flight", "long_in_flight", "member", "report", "report_at", "usable")

    def __init__(self, member: Member) -> None:
        self.member = member
        self.usable = True
        self.in_flight = 0
        self.long_in_flight = 0
        self.report: LoadReport | None = None
        self.report_at = 0.0


class Router:
    """Chooses the usable upstream with the fewest own requests.

    Parameters
    ----------
    seed : int
        Seed of the tie-breaking choices.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def choose(
        self, loads: Iterable[UpstreamLoad], connection_limit: int, avoid: frozenset[str]
    ) -> UpstreamLoad | None:
        """Return the upstream for the next request, or None if all are at their limit.

        Parameters
        ----------
        loads : iterable of UpstreamLoad
            All upstreams.
        connection_limit : int
            Most own requests at one upstream.
        avoid : frozenset of str
            Upstreams that failed this request before; used only when no other is left.
        """
        best: UpstreamLoad | None = None
        best_key = (True, 0, 0.0)
        for load in loads:
            if not load.usable or load.in_flight >= connection_limit:
                continue
            key = (load.member.upstream in avoid, load.in_flight, self._random.random())
            if best is None or key < best_key:
                best = load
                best_key = key
        return best
