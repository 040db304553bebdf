"""Sums of the counts that hosts report, kept by the collectors.

Load pattern: as in `core/quotas.py`. Each host reports to the first host of its data centre that
answers, its collector. Collectors add up the reports, and tell each other their sums. Each request
is in the sum of one collector.

Nobody is appointed: any host that receives reports is a collector, and two in one data centre do
no harm, as each adds its own part. Counts are cumulative, so that lost, repeated and reordered
datagrams change nothing once the next one arrives. A host that changes its collector tells how much
of its count no collector has confirmed, and the new one adds that part only.

Hosts that fall silent may still admit their share, so credit accrues by the part that is heard.
"""

from collections.abc import Set

from .quota_credit import AMPLE_SHARE, BURST_FACTOR, START_SHARE, Credit, QuotaRule
from .quota_messages import CollectorSums, QuotaAnswer, QuotaReport, TeamCredit, TeamSum
from .quota_records import (
    COLLECTOR_SILENT_S,
    CollectorRecord,
    HostRecord,
    count_hosts,
    find_best_coverage,
)

__all__ = ["FORGET_S", "QuotaSums"]

# Silence after which a host counts as cut off: one report and its repetitions.
SILENT_S = 2.5
# The same after an alert, which every host answers at once.
SILENT_AFTER_ALERT_S = 0.3
# Part of the hosts that has to fall silent for credit to be reserved for what they have admitted
# meanwhile. Fewer are hosts that restart, or lost datagrams.
RESERVE_FROM_SHARE = 0.06
# Time after the last report in which a host goes on collecting.
COLLECTING_S = 3.0
# Silence after which a host or a collector is no longer a part of the deployment. Cut-offs are
# shorter; hosts that were removed stay in the directory.
FORGET_S = 20.0
# A collector without any input for this long knows nothing about the present credit.
IDLE_RESET_S = 6.0
# Time in which a new collector takes the credit that others know, if it is lower.
FRESH_S = 2.0
# Time after the start of a process in which it expects no hosts that it has not heard: after a
# restart of all hosts they report one after the other.
WARM_UP_S = 5.0
# Time for which the sums of a collector that was cut off are late ones.
LATE_SUMS_S = 1.0
# A collector that hears a smaller part of the hosts takes the credit of one that hears more.
MINORITY_COVERAGE = 0.4
# A longer pause between two updates of a collector means that the host was frozen.
FROZEN_S = 1.5
THAW_S = 0.3
SUMS_INTERVAL_S = 0.5
SCARCE_SUMS_INTERVAL_S = 0.1
ALERT_INTERVAL_S = 1.0
# Time in which a host that begins to collect takes the coverage from other collectors: until then
# they do not know it, and send it few sums.
ACQUAINTANCE_S = 0.1
# Part of the capacity below which collectors exchange sums often, and requests and part that a
# collector may add up before it tells the others early.
FREQUENT_SHARE = 0.5
EARLY_SUMS_COUNT = 5
EARLY_SUMS_SHARE = 0.3
# Teams in one message, so that it fits into a datagram that is not fragmented.
MAX_SUMS = 42


class QuotaSums:
    """Adds up the counts of hosts and of other collectors.

    Parameters
    ----------
    host, incarnation : int
        Identifiers of this host and of its process.
    data_centre : int
        Identifier of its data centre.
    now : float
        Present time.
    """

    def __init__(self, host: int, incarnation: int, data_centre: int, now: float) -> None:
        self._host = host
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._started_at = now
        # Since when the requests are counted that the credit rests on.
        self._counted_since = now
        self._credits: dict[int, Credit] = {}
        self._hosts: dict[int, HostRecord] = {}
        self._collectors: dict[int, CollectorRecord] = {}
        self._counts: dict[int, int] = {}
        self._late: dict[int, int] = {}
        self._demands: dict[int, float] = {}
        self._sequence = 0
        self._input_at = now
        self._report_at = -FORGET_S
        self._collecting_since = now
        self._fresh_until = now + FRESH_S
        # Times of the last messages with all sums and with those of scarce credit.
        self._sums_at = -FORGET_S
        self._scarce_sums_at = -FORGET_S
        self._alerted: dict[int, float] = {}
        # Requests by team that were added since the last message that named the team.
        self._unsent: dict[int, int] = {}
        self.is_early = False
        self._updated_at = -FORGET_S
        self._thawed_until = now
        self._heard = 0
        self._known = 1
        self._expected = 0
        self._expected_until = now
        self.coverage = 1.0

    def set_rules(self, rules: dict[int, QuotaRule], now: float) -> None:
        """Replace the limits; credit of teams whose limit changes is kept up to the new one."""
        start_share = 1.0 if self._credits else START_SHARE
        kept: dict[int, Credit] = {}
        for team, rule in rules.items():
            credit = self._credits.get(team)
            if credit is None:
                credit = Credit(rule, start_share * rule.capacity, now)
            credit.refill(now, self.coverage)
            credit.rule = rule
            credit.level = min(credit.level, rule.capacity)
            kept[team] = credit
        self._credits = kept
        # The counts are kept, as other collectors compare them with those that they know.
        self._alerted = {team: at for team, at in self._alerted.items() if team in kept}
        for demands in (self._demands, *(record.demands for record in self._hosts.values())):
            for team in demands.keys() - kept.keys():
                del demands[team]

    @property
    def host_ids(self) -> Set[int]:
        """Identifiers of the hosts that have reported and are not forgotten."""
        return self._hosts.keys()

    @property
    def is_alone(self) -> bool:
        """Whether this host hears no other one, although there are others."""
        return self._known > 1 and self.coverage * self._known < 1.5

    def expect_hosts(self, hosts: int, now: float) -> None:
        """Set the number of hosts that another collector has stated.

        A host that has to collect after it was cut off thus knows what part it can hear.
        """
        self._expected = hosts
        self._expected_until = now + FORGET_S

    def is_collecting(self, now: float) -> bool:
        """Return whether hosts report to this one."""
        return now - self._report_at < COLLECTING_S

    def record_report(self, report: QuotaReport, now: float) -> QuotaAnswer:
        """Add the counts of a host, and return the answer to it."""
        self._wake(now)
        if not self.is_collecting(now):
            self._collecting_since = now
            self.update(now)
        self._report_at = now
        record = self._hosts.get(report.host)
        if record is None or record.incarnation != report.incarnation:
            if record is not None and record.earlier_incarnation == report.incarnation:
                # A late datagram of the process that ran there before.
                return self._make_answer(report, now)
            earlier = 0 if record is None else record.incarnation
            if record is not None:
                self._drop_demands(record)
            record = self._hosts[report.host] = HostRecord(report.incarnation, earlier, now)
        record.heard_at = now
        for team, count, unacked, demand in report.counts:
            known_sequence, known = record.counts.get(team, (-1, 0))
            if known_sequence >= report.sequence or team not in self._credits:
                continue
            # Counts up to the confirmed report are in the sum of some collector already.
            base = known if known_sequence > report.acked else count - unacked
            record.counts[team] = report.sequence, count
            self._demands[team] = (
                self._demands.get(team, 0.0) + demand - record.demands.get(team, 0.0)
            )
            record.demands[team] = demand
            if count != base:
                self._counts[team] = self._counts.get(team, 0) + count - base
                late = count - base if report.waited_s > SILENT_S else 0
                self._late[team] = self._late.get(team, 0) + late
                self._consume(team, count - base, late, now)
                self._note_unsent(team, count - base)
        return self._make_answer(report, now)

    def record_sums(self, sums: CollectorSums, now: float) -> None:
        """Add the sums of another collector."""
        if sums.collector == self._host:
            return
        self._wake(now)
        record = self._collectors.get(sums.collector)
        if record is None or record.incarnation != sums.incarnation:
            record = self._collectors[sums.collector] = CollectorRecord(sums, now)
        if sums.sequence <= record.sequence:
            return
        if now - record.heard_at > SILENT_S:
            record.late_until = now + LATE_SUMS_S
        record.sequence = sums.sequence
        record.data_centre = sums.data_centre
        record.coverage = sums.coverage
        record.heard_at = now
        # A host that does not collect gets sums late, and takes the credit of those that hear the
        # most. So does a new collector, if that is lower.
        is_collecting = self.is_collecting(now)
        is_best = sums.coverage >= find_best_coverage(self._collectors.values(), now - SILENT_S)
        is_fresh = now < self._fresh_until and sums.age_s > now - self._started_at
        # Nor does a collector that was cut off know what the others have admitted.
        is_minority = self.coverage < min(MINORITY_COVERAGE, sums.coverage)
        takes_over = is_minority or not is_collecting
        if is_best and (takes_over or is_fresh):
            self._counted_since = min(self._counted_since, now - sums.age_s)
        for team, count, demand, level, late in sums.sums:
            known = record.counts.get(team)
            if known is None:
                # Of a collector that is older than this acquaintance, what it added before is
                # part of the credit already.
                is_known = record.is_new or now - record.met_at > 4.0 * SUMS_INTERVAL_S
                known = (0, 0) if is_known else (count, late)
            record.counts[team] = count, late
            record.demands[team] = demand
            credit = self._credits.get(team)
            if credit is None:
                continue
            if takes_over:
                credit.refill(now, self.coverage)
                if is_best:
                    missing = 1.0 - sums.coverage
                    reserved_share = missing if missing > RESERVE_FROM_SHARE else 0.0
                    credit.take_over(level, credit.rule.compute_reserve() * reserved_share)
                continue
            added = count - known[0]
            added_late = added if now < record.late_until else late - known[1]
            self._consume(team, added, added_late, now)
            if is_best and is_fresh:
                credit.level = min(credit.level, level)
        record.heard = sums.heard
        record.known = sums.known

    def _wake(self, now: float) -> None:
        """Forget what is out of date after a time without input, such as a frozen host."""
        if now - self._input_at > FROZEN_S:
            self._thawed_until = now + THAW_S
        if now - self._input_at > IDLE_RESET_S:
            self._fresh_until = now + FRESH_S
            self._counted_since = now
            self._collectors.clear()
            for credit in self._credits.values():
                credit.refill(now, self.coverage)
                credit.lower(START_SHARE * credit.rule.capacity)
        self._input_at = now

    def _consume(self, team: int, count: int, late: int, now: float) -> None:
        """Subtract requests from the credit; credit was withheld for the late ones."""
        credit = self._credits.get(team)
        if credit is None or not count:
            return
        credit.refill(now, self.coverage)
        credit.consume(count - late)
        credit.consume_late(late)

    def _drop_demands(self, record: HostRecord) -> None:
        for team, demand in record.demands.items():
            self._demands[team] = self._demands.get(team, 0.0) - demand
        record.demands.clear()

    def _sum_demand(self, team: int, now: float) -> float:
        """Return the demand of a team at all hosts, refused requests included."""
        demand = max(0.0, self._demands.get(team, 0.0))
        for record in self._collectors.values():
            if now - record.heard_at < COLLECTOR_SILENT_S:
                demand += record.demands.get(team, 0.0)
        return demand

    def _make_answer(self, report: QuotaReport, now: float) -> QuotaAnswer:
        named = {entry.team for entry in report.counts}
        return QuotaAnswer(
            report.sequence,
            report.incarnation,
            self._known,
            self.coverage,
            now - self._counted_since,
            tuple(
                self._describe(team, credit, now)
                for team, credit in self._credits.items()
                if team in named
                or credit.refill(now, self.coverage) < AMPLE_SHARE * credit.rule.capacity
            ),
        )

    def list_credits(self, now: float) -> list[TeamCredit]:
        """Return the credit of all teams."""
        return [self._describe(team, credit, now) for team, credit in self._credits.items()]

    def _describe(self, team: int, credit: Credit, now: float) -> TeamCredit:
        return TeamCredit(team, credit.refill(now, self.coverage), self._sum_demand(team, now))

    def _take_scarce(self, now: float) -> tuple[TeamCredit, ...]:
        """Return the teams whose credit has become scarce since the last call."""
        alerts: list[TeamCredit] = []
        for team, credit in self._credits.items():
            level = credit.refill(now, self.coverage)
            if level >= credit.rule.alert_level:
                continue
            if now - self._alerted.get(team, -FORGET_S) < ALERT_INTERVAL_S:
                self._alerted[team] = now
                continue
            self._alerted[team] = now
            alerts.append(self._describe(team, credit, now))
        return tuple(alerts)

    def make_alerts(self, now: float) -> dict[int, QuotaAnswer]:
        """Return messages about scarce credit for hosts with requests of the team.

        While it bursts, all hosts get one: its next requests may arrive there.
        """
        scarce = self._take_scarce(now)
        if not scarce:
            return {}
        alerts: dict[int, QuotaAnswer] = {}
        bursting = [
            credit
            for credit in scarce
            if credit.demand_per_s > BURST_FACTOR * self._credits[credit.team].rule.rate_per_s
        ]
        for host, record in self._hosts.items():
            is_concerned = any(record.demands.get(credit.team) for credit in scarce)
            named = tuple(scarce if is_concerned else bursting)
            if not named or now - record.heard_at > SILENT_S:
                continue
            if is_concerned:
                record.alerted_at = now
            age_s = now - self._counted_since
            alerts[host] = QuotaAnswer(
                0, record.incarnation, self._known, self.coverage, age_s, named
            )
        return alerts

    def update(self, now: float) -> None:
        """Determine which part of the hosts is heard."""
        is_frozen = self._updated_at > self._collecting_since and (
            now - self._updated_at > FROZEN_S
        )
        if is_frozen:
            self._thawed_until = now + THAW_S
        if now < self._thawed_until:
            # After a freeze, what arrived meanwhile is read first; nobody seems to be heard before.
            self._updated_at = now
            return
        heard = 0
        for host, record in list(self._hosts.items()):
            silent_s = now - record.heard_at
            if silent_s > FORGET_S:
                del self._hosts[host]
                self._drop_demands(record)
                continue
            is_alert_missed = (
                record.heard_at < record.alerted_at
                and now - record.alerted_at > SILENT_AFTER_ALERT_S
            )
            if silent_s > SILENT_S or is_alert_missed:
                self._drop_demands(record)
                continue
            heard += 1
        self._heard = heard
        self._updated_at = now
        for name, other in list(self._collectors.items()):
            if now - other.heard_at > FORGET_S:
                del self._collectors[name]
        others = self._collectors.values()
        known, covered = count_hosts(self._data_centre, len(self._hosts), heard, others, now)
        if now < self._expected_until and now > self._started_at + WARM_UP_S:
            known = max(known, self._expected)
        self._set_coverage(known, known - covered, now)

    def _set_coverage(self, known: int, uncovered: int, now: float) -> None:
        """Let credit accrue for the hosts that are heard, and reserve some for those just lost."""
        if now < self._collecting_since + ACQUAINTANCE_S:
            coverage = find_best_coverage(self._collectors.values(), now - SILENT_S)
            if coverage:
                uncovered = min(uncovered, round((1.0 - coverage) * known))
        reserved_hosts = uncovered if uncovered > RESERVE_FROM_SHARE * known else 0
        # Hosts that are heard again, as they have found another collector, return their part.
        reserved_share = reserved_hosts / max(1, known)
        for credit in self._credits.values():
            credit.refill(now, self.coverage)
            credit.reserve(credit.rule.compute_reserve() * reserved_share)
        self._known = max(1, known)
        self.coverage = 1.0 if known == 0 else (known - uncovered) / known

    def get_next_sums_time(self) -> float:
        """Return the time at which the next sums should be sent."""
        due_at = self._sums_at + SUMS_INTERVAL_S
        if self.is_early:
            due_at = min(due_at, self._scarce_sums_at + SCARCE_SUMS_INTERVAL_S)
        return due_at

    def request_sums(self) -> None:
        """Send all sums at once, as another collector does not know them yet."""
        self._sums_at = -FORGET_S

    def _note_unsent(self, team: int, count: int) -> None:
        """Send sums early if the credit is scarce, or much of it was used since the last ones."""
        self._unsent[team] = self._unsent.get(team, 0) + count
        self.is_early = self.is_early or self._is_urgent(team)

    def _is_urgent(self, team: int) -> bool:
        credit, unsent = self._credits.get(team), self._unsent.get(team, 0)
        if credit is None or not unsent or credit.rule.is_small:
            return False
        capacity = credit.rule.capacity
        if credit.level < FREQUENT_SHARE * capacity:
            return True
        return unsent > max(EARLY_SUMS_COUNT, EARLY_SUMS_SHARE * capacity)

    def make_sums(self, now: float) -> list[CollectorSums]:
        """Return the messages that are due: all sums, or those of scarce credit."""
        self.update(now)
        self._scarce_sums_at = now
        if now >= self._sums_at + SUMS_INTERVAL_S:
            self._sums_at = now
            teams = [team for team in self._credits if team in self._counts]
        else:
            teams = [team for team in self._unsent if self._is_urgent(team)]
        self.is_early = False
        for team in teams:
            self._unsent.pop(team, None)
        messages: list[CollectorSums] = []
        for first in range(0, max(1, len(teams)), MAX_SUMS):
            self._sequence += 1
            messages.append(
                CollectorSums(
                    self._host,
                    self._incarnation,
                    self._sequence,
                    self._data_centre,
                    now - self._started_at,
                    self._heard,
                    len(self._hosts),
                    self.coverage,
                    tuple(self._sum_up(team, now) for team in teams[first : first + MAX_SUMS]),
                )
            )
        return messages

    def _sum_up(self, team: int, now: float) -> TeamSum:
        return TeamSum(
            team,
            self._counts.get(team, 0),
            max(0.0, self._demands.get(team, 0.0)),
            self._credits[team].refill(now, self.coverage),
            self._late.get(team, 0),
        )
