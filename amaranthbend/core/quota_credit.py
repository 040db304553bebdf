"""Limits of teams over all hosts, and the credit that a team has left."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from .policy import TeamPolicy
from .quota_messages import compute_id

__all__ = [
    "AMPLE_SHARE",
    "BURST_FACTOR",
    "START_SHARE",
    "Credit",
    "QuotaMargins",
    "QuotaPreview",
    "QuotaRule",
    "make_rules",
]

# Part of the permitted excess by which the capacity of the credit exceeds the burst, so that a team
# below its limit is not refused because hosts know the totals late. The rest is for late counts.
CAPACITY_SHARE = 0.2
# Time for which credit that was withheld for hosts that were cut off pays for their requests, once
# all are heard again.
WITHHELD_S = 3.0
# A longer gap between two refills means that the host was frozen; the counts of that time are read
# within the second time.
GAP_S = 1.0
SPARE_S = 0.3
# A team whose rate in this time is within the slack needs no alerts: what it sends until the next
# reports, at several times its usual rate, is within the slack too.
ALERT_RATE_PERIOD_S = 8.0
# Demand over the rate of the quota from which a team is bursting, and credit is scarce from the
# first alert on.
BURST_FACTOR = 1.25
# Part of the capacity, and requests missing from it, at which a burst is taken to have begun. A
# team at its usual rate seldom lacks so many, whatever its rate: the sum of arrivals above the rate
# does not grow with it. The part that grows with the rate is what hosts report late.
ALERT_SHARE = 0.5
ALERT_DEFICIT = 10.0
ALERT_DEFICIT_S = 0.3
# Debt of a team in seconds of its rate. Older debt has left every window that is judged.
MAX_DEBT_S = 3.0
# Part of the capacity with which a process starts, as the requests of before are unknown.
START_SHARE = 0.5
# Time for which the rate is reserved for hosts that fall silent: the longest until they are missed.
RESERVED_S = 2.0
# Answers leave out teams with at least this part of their capacity, unless the report named them.
AMPLE_SHARE = 0.6


class QuotaPreview(NamedTuple):
    """What a quota means for a request that is not sent.

    Parameters
    ----------
    credit : float
        Requests that the team may still send at all hosts together, as this host knows it.
    chance : float
        Probability, 0 to 1, that a request would be admitted at this host.
    returns_after_s : float
        Seconds until the credit is no longer negative.
    """

    credit: float
    chance: float
    returns_after_s: float


class QuotaMargins(NamedTuple):
    """What all hosts together may admit beyond a quota.

    Parameters
    ----------
    window_s : float
        Window in which the requests of a team are counted.
    overshoot : float
        Part of the quota of a window by which it may be exceeded.
    slack : float
        Requests in a window by which it may be exceeded besides.
    """

    window_s: float
    overshoot: float
    slack: float


class QuotaRule(NamedTuple):
    """Limit of a team.

    Parameters
    ----------
    rate_per_s : float
        Requests per second.
    capacity : float
        Largest credit, in requests.
    alert_level : float
        Credit below which all hosts are told at once.
    """

    rate_per_s: float
    capacity: float
    alert_level: float = -math.inf

    @property
    def is_small(self) -> bool:
        """Whether what the team sends until the next reports is within the slack."""
        return self.alert_level == -math.inf

    def compute_reserve(self) -> float:
        """Return what all hosts together may admit until it is noticed that they are cut off."""
        return START_SHARE * self.capacity + self.rate_per_s * RESERVED_S


def make_rules(teams: Iterable[TeamPolicy], margins: QuotaMargins) -> dict[int, QuotaRule]:
    """Return the limits of the teams that have one, by the identifier of the team."""
    rules: dict[int, QuotaRule] = {}
    for team in teams:
        if team.rate_per_s <= 0:
            continue
        quota = team.rate_per_s * margins.window_s + team.burst
        excess = quota * margins.overshoot + margins.slack
        capacity = max(1.0, team.burst + CAPACITY_SHARE * excess)
        rules[compute_id(team.name)] = QuotaRule(
            team.rate_per_s,
            capacity,
            compute_alert_level(team.rate_per_s, capacity, margins.slack),
        )
    return rules


def compute_alert_level(rate_per_s: float, capacity: float, slack: float) -> float:
    """Return the credit below which all hosts are told at once."""
    if rate_per_s * ALERT_RATE_PERIOD_S < slack:
        return -math.inf
    deficit = ALERT_DEFICIT + ALERT_DEFICIT_S * rate_per_s
    return max(ALERT_SHARE * capacity, capacity - deficit)


class Credit:
    """Credit of a team, which grows with its rate up to its capacity.

    Parameters
    ----------
    rule : QuotaRule
        Limit of the team.
    level : float
        Credit at the start.
    now : float
        Present time.
    """

    __slots__ = (
        "rule",
        "level",
        "_updated_at",
        "_spare",
        "_spare_until",
        "_withheld",
        "_withheld_at",
        "_reserve",
        "_reserved",
    )

    def __init__(self, rule: QuotaRule, level: float, now: float) -> None:
        self.rule = rule
        self.level = level
        self._updated_at = now
        self._spare = 0.0
        self._spare_until = now
        self._withheld = 0.0
        self._withheld_at = now
        # What should be reserved, and what could be before the greatest debt was reached.
        self._reserve = 0.0
        self._reserved = 0.0

    def refill(self, now: float, coverage: float = 1.0) -> float:
        """Add what has accrued, in proportion to the coverage, and return the level."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        accrued = self.rule.rate_per_s * coverage * elapsed_s
        if coverage < 1.0:
            self._withheld += self.rule.rate_per_s * (1.0 - coverage) * elapsed_s
            self._withheld_at = now
        elif now > self._withheld_at + WITHHELD_S:
            self._withheld = 0.0
        level = self.level + accrued
        self.level = min(self.rule.capacity, level)
        if elapsed_s > GAP_S:
            # The host was frozen. The requests of that time are counted next, all at once, and use
            # what would not have been lost if they had been counted in time.
            self._spare = level - self.level
            self._spare_until = now + SPARE_S
        return self.level

    def reserve(self, count: float) -> None:
        """Set aside credit for hosts that have fallen silent, or return what is set aside."""
        change = count - self._reserve
        before = self.level
        if change > 0:
            self.consume(change)
            self._reserved += before - self.level
        elif change < 0:
            returned = self._reserved * (-change / self._reserve)
            self._reserved -= returned
            self.consume(-returned)
        self._reserve = count

    def take_over(self, level: float, reserve: float) -> None:
        """Replace the credit by that of a collector that has reserved so much."""
        self.level = level
        self._reserve = self._reserved = reserve

    def consume_late(self, count: float) -> None:
        """Subtract requests of hosts that were cut off, first from what was withheld for them."""
        used = max(0.0, min(count, self._withheld))
        self._withheld -= used
        self.consume(count - used)

    def lower(self, level: float) -> None:
        """Lower the credit to a level, and forget what a freeze has left over."""
        self.level = min(self.level, level)
        self._spare = 0.0

    def consume(self, count: float) -> None:
        """Subtract admitted requests; a negative number is a refund."""
        if self._spare and count > 0:
            used = min(count, self._spare) if self._updated_at < self._spare_until else 0.0
            self._spare = self._spare - used if used else 0.0
            count -= used
        lowest = -MAX_DEBT_S * self.rule.rate_per_s
        self.level = min(self.rule.capacity, max(lowest, self.level - count))
