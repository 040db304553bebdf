"""Quotas of teams over all hosts: what a host admits by the totals that it knows.

Load pattern: a team spreads its requests unevenly over hundreds of hosts, and each host sees a few
of them a second. For some seconds a team sends several times its usual rate, while a third of the
hosts may be cut off. One message for each request would cost more than the requests.

So each host counts what it admits, reports the counts now and then, and gets the team's credit at
all hosts in return (`core/quota_sums.py`). Far from the limit it admits everything. Near the limit,
or without answers, it admits only its share of what the team may send, in proportion to the
demand that it sees.
"""

import copy
import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from .quota_credit import AMPLE_SHARE, BURST_FACTOR, START_SHARE, QuotaPreview, QuotaRule
from .quota_messages import QuotaAnswer, QuotaReport, TeamCount, TeamCredit
from .quota_team import TeamState

__all__ = ["ADMITTED", "Admission", "QuotaLedger"]

# Below this part of the capacity a host admits its share of the credit only.
SCARCE_SHARE = 0.35
# Time in which credit above or below 0 is used up or regained while it is scarce.
BALANCE_S = 1.0
REPORT_INTERVAL_S = 1.6
# Part by which intervals vary, so that the reports of hosts that started together spread out.
REPORT_SPREAD = 0.25
SCARCE_REPORT_INTERVAL_S = 0.25
# Part of the capacity below which hosts with requests of the team report that often.
FREQUENT_SHARE = 0.5
MIN_REPORT_INTERVAL_S = 0.1
# A report without an answer for this long is sent again. Round trips take
# 3 ms; the rest is for busy hosts.
ANSWER_TIMEOUT_S = 0.07
# Reports follow each other more slowly once no collector has answered for this time.
LOST_AFTER_S = 1.0
LOST_INTERVAL_S = 0.3
# Time without an answer after which a host uses its share only: one repetition.
STALE_WAIT_S = 0.1
# Age of the last answer from which a host uses its share only: one report and one repetition.
STALE_AGE_S = 2.1
# Requests of a team that a host may count before it reports them early: a number, a multiple of
# those that are usual in the time since the last report, and a part of the host's share of the
# credit.
EARLY_REPORT_COUNT = 2
EARLY_REPORT_FACTOR = 1.0
# Usual demand of a team below which each of its requests is reported at once: callers keep their
# connections, so that requests at a new host are retries or the begin of a burst.
NEW_TEAM_PER_S = 0.02
EARLY_REPORT_SHARE = 0.25
# Part of its share that a host uses without answers, and the part while demand is above a multiple
# of the usual one and this rate besides. Hosts that are cut off may see more of a team's demand
# than their number suggests, while the others use the part of the quota that their number allows.
STALE_SHARE = 0.9
BURST_STALE_SHARE = 0.25
BURST_DEMAND_FACTOR = 2.0
BURST_DEMAND_PER_S = 0.7
# Shares follow the demand by this part, the rest is divided equally, for teams new to a host.
DEMAND_WEIGHT = 0.8
# Least number of requests that a host may save up from its share.
MIN_SHARE_CAPACITY = 2.0
# Smallest demand of a team, as a part of its rate, by which shares are computed.
MIN_DEMAND_SHARE = 0.5
# Demand below which a team is left out of reports: one request seven seconds ago.
MIN_REPORTED_DEMAND = 0.006
# Teams in one report, so that it fits into a datagram that is not fragmented.
MAX_ENTRIES = 48
# Reports that wait for an answer at the same time.
MAX_UNANSWERED = 8
# Number of hosts by which shares are computed before the hosts are listed.
ASSUMED_HOSTS = 100
# Time after the counting of requests began in which hosts admit this many equal shares. After a
# restart of all hosts, the callers that found none come back together, before any host knows what
# the others admit. Hosts start within 0.4 s of each other, and callers reach half of them first.
SETTLING_S = 0.6
SETTLING_SHARES = 2.0
# Longest delay over which refused callers are spread, in seconds after the credit returns.
MAX_SPREAD_S = 3.0
MIN_SPREAD_S = 0.2


class Admission(NamedTuple):
    """Decision on a request, and the seconds after which a refused caller should retry."""

    is_admitted: bool
    retry_after_s: float = 0.0


ADMITTED = Admission(True)


class QuotaLedger:
    """Admits the requests at one host, and decides when to report their counts.

    Parameters
    ----------
    host, incarnation : int
        Identifiers of the host and of this process.
    now : float
        Present time.
    rng : random.Random
        Draws the spread of retries, and rounds shares below one request.
    """

    def __init__(self, host: int, incarnation: int, now: float, rng: random.Random) -> None:
        self._host = host
        self._incarnation = incarnation
        self._random = rng
        self._started_at = now
        self._teams: dict[int, TeamState] = {}
        self._sequence = 0
        self._acked = 0
        # Counts in the reports that wait for an answer, by number of the report.
        self._unanswered: dict[int, dict[int, int]] = {}
        # Time of the first report that has not been answered since, None without one.
        self._waiting_since: float | None = None
        self._answered_at: float | None = None
        self._last_report_at = -math.inf
        self._hosts = ASSUMED_HOSTS
        self._listed_hosts = ASSUMED_HOSTS
        self._counted_since = now
        self._coverage = 1.0
        self.next_report_at = now

    @property
    def is_waiting(self) -> bool:
        """Whether a report has no answer yet."""
        return self._waiting_since is not None

    def set_rules(self, rules: dict[int, QuotaRule], now: float) -> None:
        """Replace the limits; the counts of a team whose limit changes are kept."""
        start_share = 1.0 if self._teams else START_SHARE
        teams: dict[int, TeamState] = {}
        for team, rule in rules.items():
            state = self._teams.get(team)
            if state is None:
                state = TeamState(rule, start_share * rule.capacity, now)
            state.rule = rule
            state.level = min(state.level, rule.capacity)
            teams[team] = state
        self._teams = teams

    def get_silence(self, now: float) -> float:
        """Return the seconds since the latest answer, or since the start without one."""
        return now - (self._started_at if self._answered_at is None else self._answered_at)

    @property
    def hosts(self) -> int:
        """Number of hosts, as stated by the latest answer."""
        return self._hosts

    def set_hosts(self, hosts: int) -> None:
        """Set the number of hosts by which shares are computed until counts have settled."""
        self._listed_hosts = max(1, hosts)
        if self._answered_at is None:
            self._hosts = self._listed_hosts

    def admit(self, team: int, now: float, is_late: bool = False) -> Admission:
        """Return whether a request of a team is admitted, and count it if so.

        Parameters
        ----------
        team : int
            Identifier of the team.
        now : float
            Present time.
        is_late : bool
            Whether the request will be answered later than its latency goal. While credit is
            scarce, it gets only what is left over: a late response is worth about a tenth.
        """
        state = self._teams.get(team)
        if state is None:
            return ADMITTED
        state.measure_demand(now, 1)
        share = self._get_share(state.demand_share)
        level = self._estimate_level(state, now)
        # A part of a request admits one with that probability, and is spent in either case. So the
        # hosts together admit what they have, even if the share of each is below one request.
        chance = self._spend(state, share, level, now, is_late)
        if chance < 1.0 and self._random.random() >= chance:
            if not state.rule.is_small:
                self._advance_report(now + SCARCE_REPORT_INTERVAL_S)
            return Admission(False, self._draw_retry_delay(state, level, now))
        state.count += 1
        unacked = state.count - state.acked
        elapsed_s = min(REPORT_INTERVAL_S, now - self._last_report_at)
        usual = EARLY_REPORT_FACTOR * state.usual_demand * elapsed_s
        is_new = state.usual_demand < NEW_TEAM_PER_S
        early = max(EARLY_REPORT_COUNT + usual, EARLY_REPORT_SHARE * share * level)
        if state.rule.is_small:
            return ADMITTED
        if is_new or unacked >= early:
            self._advance_report(now)
        elif state.is_scarce:
            self._advance_report(now + SCARCE_REPORT_INTERVAL_S)
        return ADMITTED

    def refund(self, team: int) -> None:
        """Take back the count of a request that has not run."""
        state = self._teams.get(team)
        if state is not None:
            state.count -= 1

    def preview(self, team: int, now: float) -> QuotaPreview | None:
        """Return what `admit` would decide now, without a change of state; None without a limit."""
        if team not in self._teams:
            return None
        state = copy.copy(self._teams[team])
        state.measure_demand(now, 1)
        level = self._estimate_level(state, now)
        chance = self._spend(state, self._get_share(state.demand_share), level, now, False)
        return QuotaPreview(level, chance, max(0.0, -level) / state.rule.rate_per_s)

    def describe(self, team: int, now: float) -> dict[str, float]:
        """Return what the decisions on a team rest on, for logs."""
        state = self._teams[team]
        return {
            "credit": round(self._estimate_level(state, now), 1),
            "demand": round(state.fleet_demand, 1),
            "share": round(self._get_share(state.demand_share), 4),
            "coverage": round(self._coverage, 3),
            "age_ms": int(self.get_silence(now) * 1000),
        }

    def _spend(
        self, state: TeamState, share: float, level: float, now: float, is_late: bool
    ) -> float:
        """Return the probability, 0 to 1, that the credit or the host's share of it covers one."""
        rule = state.rule
        is_stale = self._is_stale(state, now)
        is_settling = now - self._counted_since < SETTLING_S and not rule.is_small
        if is_stale:
            share = self._get_share(state.usual_share)
        elif is_settling:
            # Neither the demand at all hosts nor their number is known by counts yet.
            share = SETTLING_SHARES / max(self._hosts, self._listed_hosts)
        scarce_level = max(1.0, SCARCE_SHARE * rule.capacity)
        if state.fleet_demand > BURST_FACTOR * rule.rate_per_s:
            scarce_level = max(scarce_level, rule.alert_level)
        if not is_stale and not is_settling and level >= scarce_level:
            state.is_scarce = False
            return 1.0
        if not state.is_scarce:
            state.is_scarce = True
            # Without answers, the host pays its share of a debt at once; with them, the rate falls.
            # The others reserve a part of the capacity for hosts that they do not hear.
            state.tokens = share * (START_SHARE * level if is_stale else max(0.0, level))
            state.tokens_at = now
        rate = self._choose_stale_share(state, now) * rule.rate_per_s
        if not is_stale:
            rate = max(0.0, rule.rate_per_s * self._coverage + level / BALANCE_S)
        capacity = max(MIN_SHARE_CAPACITY, share * rule.capacity * START_SHARE)
        accrued = share * rate * max(0.0, now - state.tokens_at)
        state.tokens = min(capacity, state.tokens + accrued)
        state.tokens_at = now
        # A full share shows that no other request has needed it.
        if state.tokens >= (capacity if is_late else 1.0):
            state.tokens -= 1.0
            return 1.0
        if is_late:
            return 0.0
        chance = max(0.0, state.tokens)
        state.tokens = min(0.0, state.tokens)
        return chance

    def _choose_stale_share(self, state: TeamState, now: float) -> float:
        """Return which part of its share the host uses without answers."""
        usual = BURST_DEMAND_FACTOR * state.answered_usual + BURST_DEMAND_PER_S
        return BURST_STALE_SHARE if state.measure_demand(now) > usual else STALE_SHARE

    def _is_stale(self, state: TeamState, now: float) -> bool:
        """Return whether answers are too old, or are missing while much is unconfirmed."""
        if self._answered_at is None:
            return now - self._started_at > STALE_AGE_S
        if now - self._answered_at > STALE_AGE_S:
            return True
        waiting_since = self._waiting_since
        return (
            waiting_since is not None
            and now - waiting_since > STALE_WAIT_S
            and state.count - state.acked >= EARLY_REPORT_COUNT
        )

    def _get_share(self, demand_share: float) -> float:
        """Return the part of the team's credit that this host may use by itself.

        It follows the demand as of the last answer: without answers, a burst here must not seem to
        be a larger part of the demand at all hosts.
        """
        return DEMAND_WEIGHT * demand_share + (1.0 - DEMAND_WEIGHT) / self._hosts

    def _estimate_level(self, state: TeamState, now: float) -> float:
        """Return the credit of a team by the last answer and the counts since then."""
        rule = state.rule
        level, level_at = state.level, state.level_at
        if self._answered_at is not None and level_at < self._answered_at:
            # The last answer left the team out, so that its credit was ample.
            level, level_at = max(level, AMPLE_SHARE * rule.capacity), self._answered_at
        age_s = max(0.0, now - level_at)
        rate = rule.rate_per_s * self._coverage
        level += max(0.0, rate - min(rate, state.fleet_demand)) * age_s
        return min(rule.capacity, level) - (state.count - state.acked)

    def _draw_retry_delay(self, state: TeamState, level: float, now: float) -> float:
        """Return when credit returns, spread over the time in which refused callers fit in.

        That time follows from the demand at all hosts, or from the callers refused here if they are
        more: many at once would otherwise come back together, each at another host.
        """
        rate = state.rule.rate_per_s
        state.refused = max(0.0, state.refused - rate * (now - state.refused_at)) + 1.0
        state.refused_at = now
        returns_after_s = max(0.0, -level) / rate
        excess = state.fleet_demand / rate - 1.0
        spread_s = min(MAX_SPREAD_S, max(MIN_SPREAD_S, excess, state.refused / rate))
        return returns_after_s + self._random.uniform(0.1, 1.0) * spread_s

    def make_reports(self, now: float) -> list[QuotaReport]:
        """Return the reports that are due, at least one; `apply_answer` takes their answers."""
        counts: list[TeamCount] = []
        for team, state in self._teams.items():
            demand = state.measure_demand(now)
            unacked = state.count - state.acked
            if demand < MIN_REPORTED_DEMAND:
                if not unacked and not state.is_reported:
                    continue
                demand = 0.0
            state.is_reported = demand > 0.0
            counts.append(TeamCount(team, state.count, unacked, demand))
        reports: list[QuotaReport] = []
        waited_s = 0.0 if self._answered_at is None else now - self._answered_at
        for first in range(0, max(1, len(counts)), MAX_ENTRIES):
            part = tuple(counts[first : first + MAX_ENTRIES])
            self._sequence += 1
            self._unanswered[self._sequence] = {entry.team: entry.total for entry in part}
            report = QuotaReport(
                self._host, self._incarnation, self._sequence, self._acked, waited_s, part
            )
            reports.append(report)
        while len(self._unanswered) > MAX_UNANSWERED:
            del self._unanswered[min(self._unanswered)]
        if self._waiting_since is None:
            self._waiting_since = now
        self._last_report_at = now
        is_lost = now - self._waiting_since > LOST_AFTER_S
        self.next_report_at = now + (LOST_INTERVAL_S if is_lost else ANSWER_TIMEOUT_S)
        return reports

    def apply_answer(self, answer: QuotaAnswer, now: float) -> bool:
        """Apply the answer of a collector, and return whether it was of use.

        An answer to another report than the latest one confirms counts, but its credit is not
        used: the collector may have been frozen when it received the report.
        """
        if answer.incarnation != self._incarnation:
            return False
        if answer.sequence == 0:
            self._set_credits(answer.credits, now)
            if any(
                state.is_reported
                for credit in answer.credits
                if (state := self._teams.get(credit.team)) is not None
            ):
                delay_s = self._random.uniform(0.0, MIN_REPORT_INTERVAL_S)
                self.next_report_at = min(self.next_report_at, now + delay_s)
            return True
        counts = self._unanswered.pop(answer.sequence, None)
        if counts is None:
            return False
        for team, count in counts.items():
            state = self._teams.get(team)
            # Reports may be answered in another order than they were sent in.
            if state is not None and state.acked_sequence < answer.sequence:
                state.acked, state.acked_sequence = count, answer.sequence
        self._acked = max(self._acked, answer.sequence)
        if answer.sequence != self._sequence:
            return True
        self._unanswered.clear()
        self._waiting_since = None
        self._answered_at = now
        self._hosts = max(1, answer.hosts)
        self._coverage = answer.coverage
        self._counted_since = now - answer.age_s
        self._set_credits(answer.credits, now)
        is_scarce = any(
            credit.level < FREQUENT_SHARE * state.rule.capacity
            and state.is_reported
            and not state.rule.is_small
            for credit in answer.credits
            if (state := self._teams.get(credit.team)) is not None
        )
        interval_s = SCARCE_REPORT_INTERVAL_S if is_scarce else REPORT_INTERVAL_S
        spread = self._random.uniform(1.0 - REPORT_SPREAD, 1.0 + REPORT_SPREAD)
        self.next_report_at = self._last_report_at + interval_s * spread
        return True

    def _set_credits(self, known: Iterable[TeamCredit], now: float) -> None:
        for credit in known:
            state = self._teams.get(credit.team)
            if state is None:
                continue
            state.level = credit.level
            state.level_at = now
            state.fleet_demand = credit.demand_per_s
            demand = state.measure_demand(now)
            least = MIN_DEMAND_SHARE * state.rule.rate_per_s
            state.answered_usual = state.usual_demand
            state.demand_share = demand / max(demand, credit.demand_per_s, least)
            state.usual_share = min(1.0, state.usual_demand / max(credit.demand_per_s, least))

    def _advance_report(self, report_at: float) -> None:
        """Bring the next report forward; one that waits for its answer keeps its time."""
        if self._waiting_since is None:
            earliest_at = self._last_report_at + MIN_REPORT_INTERVAL_S
            self.next_report_at = min(self.next_report_at, max(report_at, earliest_at))
