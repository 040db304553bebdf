"""What a host knows of one team with a quota: counts, credit and demand, see `quotas.py`."""

import math

from .quota_credit import QuotaRule

__all__ = ["TeamState"]

# Period of the present demand.
DEMAND_PERIOD_S = 1.5
# Period of the usual demand, longer than a burst.
USUAL_PERIOD_S = 10.0


class TeamState:
    """What a host knows of one team."""

    __slots__ = (
        "rule",
        "count",
        "acked",
        "level",
        "level_at",
        "fleet_demand",
        "demand_share",
        "usual_share",
        "usual_demand",
        "answered_usual",
        "_demand",
        "_demand_at",
        "_demand_age_s",
        "tokens",
        "tokens_at",
        "is_scarce",
        "refused",
        "refused_at",
        "is_reported",
        "acked_sequence",
    )

    def __init__(self, rule: QuotaRule, level: float, now: float) -> None:
        self.rule = rule
        self.count = 0
        self.acked = 0
        self.level = level
        self.level_at = now
        self.fleet_demand = 0.0
        self.demand_share = 0.0
        self.usual_share = 0.0
        self.usual_demand = 0.0
        self.answered_usual = 0.0
        self._demand = 0.0
        self._demand_at = now
        self._demand_age_s = 0.0
        self.tokens = 0.0
        self.tokens_at = now
        self.is_scarce = False
        self.refused = 0.0
        self.refused_at = now
        self.is_reported = False
        self.acked_sequence = 0

    def measure_demand(self, now: float, arrivals: int = 0) -> float:
        """Add arrivals, and return the requests per second of the last seconds."""
        elapsed_s = max(0.0, now - self._demand_at)
        # A plain mean until the period is over.
        self._demand_age_s += elapsed_s
        weight = elapsed_s / max(elapsed_s, min(USUAL_PERIOD_S, self._demand_age_s), 1e-9)
        self.usual_demand += weight * (self._demand - self.usual_demand)
        self._demand *= math.exp(-elapsed_s / DEMAND_PERIOD_S)
        self._demand_at = now
        self._demand += arrivals / DEMAND_PERIOD_S
        return self._demand
