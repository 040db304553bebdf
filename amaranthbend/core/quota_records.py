"""What a collector of team counts knows of the hosts that report to it, and of other collectors."""

import math
from collections.abc import Iterable

from .quota_messages import CollectorSums

__all__ = [
    "COLLECTOR_SILENT_S",
    "CollectorRecord",
    "HostRecord",
    "count_hosts",
    "find_best_coverage",
]

# Silence of a collector after which its sums count as cut off.
COLLECTOR_SILENT_S = 1.05
# A collector that is met for the first time adds its whole sum if it started within this time.
NEW_COLLECTOR_AGE_S = 5.0


class HostRecord:
    """What a collector knows of a host that reports to it."""

    __slots__ = (
        "incarnation",
        "earlier_incarnation",
        "heard_at",
        "alerted_at",
        "counts",
        "demands",
    )

    def __init__(self, incarnation: int, earlier_incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self.earlier_incarnation = earlier_incarnation
        self.heard_at = now
        self.alerted_at = -math.inf
        # Number of the report and count, by team.
        self.counts: dict[int, tuple[int, int]] = {}
        self.demands: dict[int, float] = {}


class CollectorRecord:
    """What a collector knows of another one."""

    __slots__ = (
        "incarnation",
        "sequence",
        "data_centre",
        "heard",
        "known",
        "heard_at",
        "counts",
        "demands",
        "is_new",
        "met_at",
        "coverage",
        "late_until",
    )

    def __init__(self, sums: CollectorSums, now: float) -> None:
        self.incarnation = sums.incarnation
        self.sequence = -1
        self.data_centre = sums.data_centre
        self.heard = 0
        self.known = 0
        self.heard_at = now
        # Sums and late sums by team.
        self.counts: dict[int, tuple[int, int]] = {}
        self.late_until = -math.inf
        self.demands: dict[int, float] = {}
        self.is_new = sums.age_s < NEW_COLLECTOR_AGE_S
        self.met_at = now
        self.coverage = 1.0


def count_hosts(
    data_centre: int,
    own_known: int,
    own_heard: int,
    collectors: Iterable[CollectorRecord],
    now: float,
) -> tuple[int, int]:
    """Return how many hosts are known, and how many of them are heard, also by other collectors.

    Parameters
    ----------
    data_centre : int
        Identifier of the collector's data centre.
    own_known, own_heard : int
        Hosts that have reported to this collector, and those that do at present.
    collectors : iterable of CollectorRecord
        The other collectors. Two of a data centre may both know a host.
    now : float
        Present time.
    """
    known = {data_centre: own_known}
    heard = {data_centre: own_heard}
    for other in collectors:
        centre = other.data_centre
        known[centre] = max(known.get(centre, 0), other.known)
        if now - other.heard_at < COLLECTOR_SILENT_S:
            heard[centre] = heard.get(centre, 0) + other.heard
    return sum(known.values()), sum(min(count, known[centre]) for centre, count in heard.items())


def find_best_coverage(collectors: Iterable[CollectorRecord], heard_since: float) -> float:
    """Return the highest coverage that a collector has stated since a time, 0 without any."""
    return max(
        (record.coverage for record in collectors if record.heard_at > heard_since), default=0.0
    )
