"""Exchange of the counts of teams' requests between hosts, so that quotas hold for all of them."""

import asyncio
import random
import time
from typing import NamedTuple

from result import Err

from ..adapters.addresses import is_address, split_address
from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..adapters.quota_link import Message, QuotaLink, encode_message
from ..core.change_relay import HostEntry
from ..core.collectors import COLLECTORS_PER_DATA_CENTRE, CollectorSelector, order_hosts
from ..core.policy import DeploymentPolicy
from ..core.quota_credit import QuotaMargins, make_rules
from ..core.quota_messages import CollectorSums, QuotaReport, compute_id
from ..core.quota_sums import FORGET_S, QuotaSums
from ..core.quotas import ADMITTED, Admission, QuotaLedger
from ..core.watching import ObjectStore
from ..settings.node import NodeSettings
from .host_directory import HOSTS_KIND_PREFIX, decode_host

__all__ = ["QuotaExchange", "QuotaIdentity", "derive_quota_address", "make_quota_exchange"]

# Time after which a collector lists the hosts of the other data centres again. Each list has a
# price. Their collectors are met without it when they send their sums here.
LIST_INTERVAL_S = 120.0
LIST_RETRY_S = 3.0
UPDATE_INTERVAL_S = 0.5
# Collectors from which sums came within this time get those of this host.
MET_COLLECTOR_S = 5.0
# A longer pause between two steps of this process means that the host was frozen.
FROZEN_S = 1.5
# Time after a freeze in which the sums that arrived meanwhile are read before hosts get answers.
THAW_S = 0.1
# Interval of the log lines of one kind of event.
LOG_INTERVAL_S = 5.0


class QuotaIdentity(NamedTuple):
    """Name and addresses of a host, as the others know it.

    Parameters
    ----------
    host : str
        Name of the host.
    data_centre : str
        Its data centre.
    address : str
        `address:port` of its socket.
    other_data_centres : tuple of str
        Names of the other data centres.
    """

    host: str
    data_centre: str
    address: str
    other_data_centres: tuple[str, ...] = ()


def derive_quota_address(peer_address: str) -> str:
    """Return the address for counts of a host: the port after the one for relayed changes."""
    if not is_address(peer_address):
        return ""
    host, port = split_address(peer_address)
    return f"{host}:{port + 1}"


class QuotaExchange:
    """Admits the requests of teams, and exchanges their counts with the other hosts.

    Parameters
    ----------
    identity : QuotaIdentity
        This host.
    margins : QuotaMargins
        What all hosts together may admit beyond a quota.
    store : ObjectStore
        Client of the store, for the hosts of the other data centres.
    counters : Counters
        Counts datagrams and decisions.
    """

    def __init__(
        self,
        identity: QuotaIdentity,
        margins: QuotaMargins,
        store: ObjectStore,
        counters: Counters,
    ) -> None:
        now = time.monotonic()
        self._identity = identity
        self._margins = margins
        self._store = store
        self._counters = counters
        self._random = random.Random()
        self._id = compute_id(identity.host)
        incarnation = self._random.getrandbits(63)
        self._ledger = QuotaLedger(self._id, incarnation, now, self._random)
        self._sums = QuotaSums(self._id, incarnation, compute_id(identity.data_centre), now)
        self._selector = CollectorSelector()
        self._link = QuotaLink(self._receive, self._count_invalid)
        self._team_ids: dict[str, int] = {}
        # Hosts of this data centre in the order in which they collect, and their addresses.
        self._order: list[str] = []
        self._addresses: dict[str, str] = {}
        self._reporting_addresses: dict[int, str] = {}
        # First hosts of the other data centres, and collectors met with the time of their sums.
        self._other_collectors: list[str] = []
        self._met_collectors: dict[str, float] = {}
        self._listed_at = -LIST_INTERVAL_S
        self._list_task: asyncio.Task[None] | None = None
        self._is_open = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._update_at = 0.0
        self._step_at = now
        self._thawed_at = now
        self._logged_at: dict[str, float] = {}
        self._enabled = asyncio.Event()

    @property
    def collector(self) -> str:
        """Host to which this one reports, empty before it knows one."""
        return self._selector.selected

    def get_credits(self, now: float) -> dict[int, float]:
        """Return the credit of each team as this host collects it."""
        return {credit.team: credit.level for credit in self._sums.list_credits(now)}

    def set_policy(self, policy: DeploymentPolicy, now: float) -> None:
        """Replace the limits of the teams."""
        rules = make_rules(policy.teams, self._margins)
        self._team_ids = {
            team.name: compute_id(team.name) for team in policy.teams if team.rate_per_s > 0
        }
        self._ledger.set_rules(rules, now)
        self._sums.set_rules(rules, now)
        if rules:
            self._enabled.set()
            self._schedule(now)

    def set_hosts(self, hosts: list[HostEntry], share_count: int, now: float) -> None:
        """Replace the hosts of the data centre, and the number of equal shares of a budget."""
        self._addresses = {
            host.name: address
            for host in hosts
            if (address := derive_quota_address(host.peer_address))
        }
        self._addresses[self._identity.host] = self._identity.address
        self._order = order_hosts(list(self._addresses))
        self._selector.set_hosts(self._order)
        self._ledger.set_hosts(share_count)
        self._ledger.next_report_at = min(self._ledger.next_report_at, now)
        self._schedule(now)

    def admit(self, team: str, now: float) -> Admission:
        """Return whether a request of a team is admitted, and count it if so."""
        team_id = self._team_ids.get(team)
        if team_id is None:
            return ADMITTED
        admission = self._ledger.admit(team_id, now)
        if self._ledger.next_report_at < self._timer_at:
            self._schedule(now)
        if not admission.is_admitted:
            self._counters.incr("quota.refused")
            if self._may_log("quota_exceeded:" + team, now):
                log_event("quota_exceeded", team=team, **self._ledger.describe(team_id, now))
        return admission

    def refund(self, team: str) -> None:
        """Take back the count of a request that has not run."""
        team_id = self._team_ids.get(team)
        if team_id is not None:
            self._ledger.refund(team_id)
            self._counters.incr("quota.refunded")

    async def run(self) -> None:
        """Exchange counts once a team has a limit, until cancelled."""
        await self._enabled.wait()
        try:
            await self._link.open(self._identity.address)
        except OSError as error:
            # The host admits its share of each quota without answers.
            log_event("quota_link_failed", address=self._identity.address, error=error)
            return
        self._is_open = True
        self._schedule(time.monotonic())
        try:
            await asyncio.Event().wait()
        finally:
            self._is_open = False
            if self._timer is not None:
                self._timer.cancel()
            if self._list_task is not None:
                self._list_task.cancel()
            self._link.close()

    def _schedule(self, now: float) -> None:
        """Set the timer of the next step."""
        if not self._is_open:
            return
        step_at = self._ledger.next_report_at
        if self._sums.is_collecting(now):
            step_at = min(step_at, self._update_at, self._sums.get_next_sums_time())
        if self._timer is not None:
            if self._timer_at <= step_at and self._timer_at > now:
                return
            self._timer.cancel()
        self._timer_at = step_at
        delay_s = max(0.0, step_at - now)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = time.monotonic()
        self._note_step(now)
        if now >= self._ledger.next_report_at:
            self._report(now)
        if self._sums.is_collecting(now):
            self._collect(now)
        self._schedule(now)

    def _note_step(self, now: float) -> None:
        """Notice that the host was frozen, so that it knows less than it seems to."""
        if now - self._step_at > FROZEN_S:
            self._thawed_at = now
        self._step_at = now

    def _report(self, now: float) -> None:
        """Send the counts of this host to its collector."""
        before = self._selector.selected
        if self._ledger.is_waiting and before:
            self._selector.record_failure(before, now)
            self._counters.incr("quota.unanswered")
        target = self._selector.select(now)
        if not target:
            self._ledger.next_report_at = now + UPDATE_INTERVAL_S
            return
        if target != before:
            log_event("quota_collector", host=target, before=before)
        reports = self._ledger.make_reports(now)
        self._counters.incr("quota.reports", len(reports))
        if target != self._identity.host:
            for report in reports:
                self._link.send(encode_message(report), self._addresses[target])
            return
        if not self._may_collect(now):
            return
        for report in reports:
            self._ledger.apply_answer(self._sums.record_report(report, now), now)

    def _may_collect(self, now: float) -> bool:
        """Return whether this host may report to itself.

        A host that is cut off from all others, and is not one of the first, knows no sums at all.
        It uses its share without answers, until the others must be taken for removed.
        """
        first = self._order[:COLLECTORS_PER_DATA_CENTRE]
        return (
            self._identity.host in first
            or self._sums.is_collecting(now)
            or self._ledger.get_silence(now) > FORGET_S
        )

    def _collect(self, now: float) -> None:
        """Do the periodic work of a collector."""
        if now >= self._update_at:
            self._update_at = now + UPDATE_INTERVAL_S
            self._sums.update(now)
            self._list_others(now)
        if now >= self._sums.get_next_sums_time():
            for sums in self._sums.make_sums(now):
                data = encode_message(sums)
                for address in self._list_collectors(now):
                    self._link.send(data, address)
                    self._counters.incr("quota.sums_sent")
        self._send_alerts(now)

    def _list_collectors(self, now: float) -> set[str]:
        """Return the addresses of the collectors that get the sums of this host."""
        for address, met_at in list(self._met_collectors.items()):
            if now - met_at > MET_COLLECTOR_S:
                del self._met_collectors[address]
        first = [self._addresses[host] for host in self._order[: COLLECTORS_PER_DATA_CENTRE + 1]]
        addresses = {*first, *self._other_collectors, *self._met_collectors}
        addresses.discard(self._identity.address)
        return addresses

    def _send_alerts(self, now: float) -> None:
        """Tell all hosts that report here which credit has become scarce."""
        alerts = self._sums.take_alerts(now)
        if not alerts:
            return
        self._counters.incr("quota.alerts")
        for host, incarnation in self._sums.list_reporting(now).items():
            alert = self._sums.make_alert(incarnation, alerts)
            address = self._reporting_addresses.get(host)
            if host == self._id:
                self._ledger.apply_answer(alert, now)
            elif address is not None:
                self._link.send(encode_message(alert), address)

    def _receive(self, message: Message, address: str) -> None:
        """Process a message of another host."""
        now = time.monotonic()
        self._note_step(now)
        if isinstance(message, QuotaReport):
            answer = self._sums.record_report(message, now)
            self._reporting_addresses[message.host] = address
            if now - self._thawed_at >= THAW_S:
                self._link.send(encode_message(answer), address)
            self._send_alerts(now)
        elif isinstance(message, CollectorSums):
            self._sums.record_sums(message, now)
            self._met_collectors[address] = now
            self._send_alerts(now)
        elif self._ledger.apply_answer(message, now) and message.sequence:
            self._selector.record_answer(self._selector.selected)
            self._sums.expect_hosts(message.hosts, now)
        self._schedule(now)

    def _count_invalid(self) -> None:
        self._counters.incr("quota.invalid")

    def _list_others(self, now: float) -> None:
        """List the hosts of the other data centres if that is due."""
        if not self._identity.other_data_centres or self._list_task is not None:
            return
        if now >= self._listed_at + LIST_INTERVAL_S:
            self._listed_at = now
            self._list_task = asyncio.ensure_future(self._list_hosts())
            self._list_task.add_done_callback(self._end_list)

    def _end_list(self, _task: "asyncio.Task[None]") -> None:
        self._list_task = None

    async def _list_hosts(self) -> None:
        collectors: list[str] = []
        for data_centre in self._identity.other_data_centres:
            listed = await self._store.list_objects(HOSTS_KIND_PREFIX + data_centre, may_lag=True)
            if isinstance(listed, Err):
                # The known ones stay in use, as hosts change rarely.
                log_event(
                    "quota_hosts_not_listed",
                    data_centre=data_centre,
                    error=listed.err_value.kind,
                    kept=len(self._other_collectors),
                )
                self._listed_at = (
                    time.monotonic()
                    - LIST_INTERVAL_S
                    + LIST_RETRY_S * self._random.uniform(0.5, 1.5)
                )
                return
            hosts = [decode_host(event.object) for event in listed.ok_value.events]
            addresses = {host.name: derive_quota_address(host.peer_address) for host in hosts}
            usable = [name for name, address in addresses.items() if address]
            first = order_hosts(usable)[:COLLECTORS_PER_DATA_CENTRE]
            collectors += [addresses[name] for name in first]
        self._other_collectors = collectors

    def _may_log(self, event: str, now: float) -> bool:
        """Return whether an event may be logged again."""
        if now - self._logged_at.get(event, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return False
        self._logged_at[event] = now
        return True


def make_quota_exchange(
    settings: NodeSettings, store: ObjectStore, counters: Counters
) -> QuotaExchange | None:
    """Return the exchange of teams' counts, None if the settings have no address for it."""
    if not settings.quota_address:
        return None
    others = tuple(name for name in settings.data_centre_names if name != settings.data_centre)
    return QuotaExchange(
        QuotaIdentity(settings.host_id, settings.data_centre, settings.quota_address, others),
        QuotaMargins(settings.quota_window_s, settings.quota_overshoot, settings.quota_slack),
        store,
        counters,
    )
