"""One host's part in the exchange of counts: which messages it sends when, to whom.

Load pattern: as in `core/quotas.py`. The ledger, the collector's sums and the choice of a collector
decide separately; this module puts them together, without I/O, so that tests and models run it in
virtual time.
"""

import random
from typing import NamedTuple

from .collectors import COLLECTORS_PER_DATA_CENTRE, CollectorSelector, order_hosts
from .quota_credit import QuotaRule
from .quota_messages import CollectorSums, QuotaAnswer, QuotaReport, compute_id
from .quota_sums import FORGET_S, QuotaSums
from .quotas import QuotaLedger

__all__ = ["Outgoing", "QuotaMessage", "QuotaNode"]

QuotaMessage = QuotaReport | QuotaAnswer | CollectorSums

UPDATE_INTERVAL_S = 0.25
# Interval in which hosts that do not collect get sums, in case they have to.
UPDATE_OTHERS_INTERVAL_S = 0.9
# First hosts of the own data centre that get all sums. While hosts are added, some know others as
# the first ones; with four, the collectors of both views nearly always know each other.
UPDATED_HOSTS = 4
# Reports without an answer after which the next host becomes the collector; one may get lost.
UNANSWERED_REPORTS = 2
# Collectors from which sums came within this time get those of this host.
MET_COLLECTOR_S = 5.0
# A longer pause between two steps of this process means that the host was frozen.
FROZEN_S = 1.5
# Time after a freeze in which the sums that arrived meanwhile are read before hosts get answers.
THAW_S = 0.1


class Outgoing(NamedTuple):
    """A message and the address to which it is sent."""

    message: QuotaMessage
    address: str


class QuotaNode:
    """Ledger of a host, and sums that it keeps when it is a collector.

    Parameters
    ----------
    host, data_centre : str
        Names of the host and of its data centre.
    address : str
        Address at which the host receives messages.
    incarnation : int
        Identifier of this process.
    now : float
        Present time.
    rng : random.Random
        Random number generator.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        address: str,
        incarnation: int,
        now: float,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._id = compute_id(host)
        self._address = address
        self.ledger = QuotaLedger(self._id, incarnation, now, rng)
        self.sums = QuotaSums(self._id, incarnation, compute_id(data_centre), now)
        self._selector = CollectorSelector()
        # Hosts of this data centre in the order in which they collect, and their addresses.
        self._order: list[str] = []
        self._addresses: dict[str, str] = {}
        self._reporting_addresses: dict[int, str] = {}
        # First hosts of the other data centres, and collectors met with the time of their sums.
        self._other_collectors: tuple[str, ...] = ()
        self._met_collectors: dict[str, float] = {}
        self._unanswered = 0
        self._updates_at = now
        self._update_at = now
        self._step_at = now
        self._thawed_at = now - THAW_S

    @property
    def collector(self) -> str:
        """Host to which this one reports, empty before it knows one."""
        return self._selector.selected

    def set_rules(self, rules: dict[int, QuotaRule], now: float) -> None:
        """Replace the limits of the teams."""
        self.ledger.set_rules(rules, now)
        self.sums.set_rules(rules, now)

    def set_hosts(self, addresses: dict[str, str], share_count: int, now: float) -> None:
        """Replace the addresses of the hosts of the data centre, by their names.

        Parameters
        ----------
        addresses : dict of str to str
            Addresses by name.
        share_count : int
            Number of hosts of the deployment, as far as the directory tells.
        now : float
            Present time.
        """
        self._addresses = {**addresses, self._host: self._address}
        self._order = order_hosts(list(self._addresses))
        self._selector.set_hosts(self._order)
        self.ledger.set_hosts(share_count)
        self.ledger.next_report_at = min(self.ledger.next_report_at, now)

    def set_other_collectors(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses of the first hosts of the other data centres."""
        self._other_collectors = addresses

    def get_next_step_time(self, now: float) -> float:
        """Return the time at which `step` has something to do."""
        step_at = self.ledger.next_report_at
        if self.sums.is_collecting(now):
            step_at = min(step_at, self._update_at, self.sums.get_next_sums_time())
        return step_at

    def step(self, now: float) -> list[Outgoing]:
        """Do what is due, and return the messages to send."""
        self._note_step(now)
        outgoing: list[Outgoing] = []
        if now >= self.ledger.next_report_at:
            outgoing += self._report(now)
        if not self.sums.is_collecting(now):
            return outgoing
        if now >= self._update_at:
            self._update_at = now + UPDATE_INTERVAL_S
            self.sums.update(now)
            for host in self._reporting_addresses.keys() - self.sums.host_ids:
                del self._reporting_addresses[host]
        if now >= self.sums.get_next_sums_time():
            addresses = self._list_collectors(now)
            outgoing += [
                Outgoing(sums, address)
                for sums in self.sums.make_sums(now)
                for address in addresses
            ]
        return outgoing + self._make_alerts(now)

    def receive(self, message: QuotaMessage, address: str, now: float) -> list[Outgoing]:
        """Process a message of another host, and return the messages to send."""
        self._note_step(now)
        if isinstance(message, QuotaReport):
            self._reporting_addresses[message.host] = address
            answer = self.sums.record_report(message, now)
            alerts = self._make_alerts(now)
            if now - self._thawed_at < THAW_S:
                return alerts
            return [Outgoing(answer, address), *alerts]
        if isinstance(message, CollectorSums):
            self.sums.record_sums(message, now)
            if address not in self._met_collectors and self.sums.is_collecting(now):
                self.sums.request_sums()
            self._met_collectors[address] = now
            return self._make_alerts(now)
        if self.ledger.apply_answer(message, now) and message.sequence:
            self._unanswered = 0
            self._selector.record_answer(self._selector.selected)
            self.sums.expect_hosts(message.hosts, now)
        return []

    def _note_step(self, now: float) -> None:
        """Notice that the host was frozen, so that it knows less than it seems to."""
        if now - self._step_at > FROZEN_S:
            self._thawed_at = now
        self._step_at = now

    def _report(self, now: float) -> list[Outgoing]:
        """Return the reports to the collector; a host that collects reports to itself."""
        if self.ledger.is_waiting and self._selector.selected:
            self._unanswered += 1
            if self._unanswered >= UNANSWERED_REPORTS:
                self._unanswered = 0
                self._selector.record_failure(self._selector.selected, now)
        target = self._selector.select(now)
        if not target:
            self.ledger.next_report_at = now + UPDATE_INTERVAL_S
            return []
        reports = self.ledger.make_reports(now)
        if target != self._host:
            return [Outgoing(report, self._addresses[target]) for report in reports]
        if self._may_collect(now):
            for report in reports:
                self.ledger.apply_answer(self.sums.record_report(report, now), now)
        return []

    def _may_collect(self, now: float) -> bool:
        """Return whether this host may report to itself.

        A host that is cut off from all others, and is not one of the first, knows no sums at all.
        It uses its share without answers, until the others must be taken for removed.
        """
        if self.ledger.get_silence(now) > FORGET_S:
            return True
        if self.sums.is_alone:
            return False
        return self._host in self._order[:COLLECTORS_PER_DATA_CENTRE] or self.sums.is_collecting(
            now
        )

    def _list_collectors(self, now: float) -> list[str]:
        """Return the addresses that get the sums of this host.

        Collectors get all of them. Hosts that would have to collect next get some.
        """
        for address, met_at in list(self._met_collectors.items()):
            if now - met_at > MET_COLLECTOR_S:
                del self._met_collectors[address]
        if self._met_collectors and now < self._updates_at and not self.sums.is_early:
            return [address for address in self._met_collectors if address != self._address]
        self._updates_at = now + UPDATE_OTHERS_INTERVAL_S
        # Also the first that answer: where the first ones are gone, these collect in their place.
        first = self._order[:UPDATED_HOSTS]
        first += self._selector.list_answering(self._order, UPDATED_HOSTS)
        own = [self._addresses[host] for host in first]
        addresses = dict.fromkeys((*own, *self._other_collectors, *self._met_collectors))
        addresses.pop(self._address, None)
        return list(addresses)

    def _make_alerts(self, now: float) -> list[Outgoing]:
        """Return messages that tell hosts which credit has become scarce."""
        outgoing: list[Outgoing] = []
        for host, alert in self.sums.make_alerts(now).items():
            address = self._reporting_addresses.get(host)
            if host == self._id:
                self.ledger.apply_answer(alert, now)
            elif address is not None:
                outgoing.append(Outgoing(alert, address))
        return outgoing
