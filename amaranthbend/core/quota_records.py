"""What a collector of team counts knows of the hosts that report to it, and of other collectors."""

import math

from .quota_messages import CollectorSums

__all__ = ["CollectorRecord", "HostRecord"]

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
