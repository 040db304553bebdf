"""Exchange of the counts of teams' requests between hosts, so that quotas hold for all of them."""

import asyncio
import random
import time
from collections.abc import Iterable
from typing import NamedTuple

from result import Err

from ..adapters.addresses import is_address, split_address
from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..adapters.quota_link import QuotaLink, encode_message
from ..core.change_relay import HostEntry
from ..core.collectors import COLLECTORS_PER_DATA_CENTRE, order_hosts
from ..core.policy import DeploymentPolicy
from ..core.quota_credit import QuotaMargins, QuotaPreview, make_rules
from ..core.quota_messages import compute_id
from ..core.quota_node import Outgoing, QuotaMessage, QuotaNode
from ..core.quotas import ADMITTED, Admission
from ..core.watching import ObjectStore
from ..settings.node import NodeSettings
from .host_directory import HOSTS_KIND_PREFIX, decode_host

__all__ = ["QuotaExchange", "QuotaIdentity", "derive_quota_address", "make_quota_exchange"]

# Time after which a collector lists the hosts of the other data centres again. Each list has a
# price. Their collectors are met without it when they send their sums here.
LIST_INTERVAL_S = 120.0
# The same after the first list: hosts that start together may not have registered by then.
SECOND_LIST_DELAY_S = 8.0
LIST_RETRY_S = 3.0
# Interval of the log lines about one team, and about the collector.
LOG_INTERVAL_S = 5.0


class QuotaIdentity(NamedTuple):
    """Name and address of a host, as the others know it.

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


def list_addresses(hosts: Iterable[HostEntry]) -> dict[str, str]:
    """Return the addresses for counts of the hosts that have one, by their names."""
    return {
        host.name: address for host in hosts if (address := derive_quota_address(host.peer_address))
    }


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
        self._identity = identity
        self._margins = margins
        self._store = store
        self._counters = counters
        self._random = random.Random()
        self.node = QuotaNode(
            identity.host,
            identity.data_centre,
            identity.address,
            self._random.getrandbits(63),
            time.monotonic(),
            self._random,
        )
        self._link = QuotaLink(self._receive, self._count_invalid)
        self._team_ids: dict[str, int] = {}
        self._list_at = 0.0
        self._list_task: asyncio.Task[None] | None = None
        self._is_open = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._logged_at: dict[str, float] = {}
        self._collector = ""
        self._enabled = asyncio.Event()

    def set_policy(self, policy: DeploymentPolicy, now: float) -> None:
        """Replace the limits of the teams."""
        self._team_ids = {
            team.name: compute_id(team.name) for team in policy.teams if team.rate_per_s > 0
        }
        self._logged_at = {
            event: at for event, at in self._logged_at.items() if event in ("", *self._team_ids)
        }
        self.node.set_rules(make_rules(policy.teams, self._margins), now)
        if self._team_ids:
            self._enabled.set()
            self._schedule(now)

    def set_hosts(self, hosts: list[HostEntry], share_count: int, now: float) -> None:
        """Replace the hosts of the data centre, and the number of equal shares of a budget."""
        self.node.set_hosts(list_addresses(hosts), share_count, now)
        self._schedule(now)

    def admit(self, team: str, is_late: bool, now: float) -> Admission:
        """Return whether a request of a team is admitted, and count it if so.

        Parameters
        ----------
        team : str
            Name of the team.
        is_late : bool
            Whether the request will be answered later than its latency goal.
        now : float
            Present time.
        """
        team_id = self._team_ids.get(team)
        if team_id is None:
            return ADMITTED
        ledger = self.node.ledger
        admission = ledger.admit(team_id, now, is_late)
        if ledger.next_report_at < self._timer_at:
            self._schedule(now)
        if not admission.is_admitted:
            self._counters.incr("quota.refused")
            if is_late:
                self._counters.incr("quota.refused_late")
            if self._may_log(team, now):
                log_event("quota_exceeded", team=team, **ledger.describe(team_id, now))
        return admission

    def preview(self, team: str, now: float) -> QuotaPreview | None:
        """Return what would be decided on a request of a team now, None without a limit."""
        team_id = self._team_ids.get(team)
        return None if team_id is None else self.node.ledger.preview(team_id, now)

    def refund(self, team: str) -> None:
        """Take back the count of a request that has not run."""
        team_id = self._team_ids.get(team)
        if team_id is not None:
            self.node.ledger.refund(team_id)
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
            # The last counts of a process that stops.
            now = time.monotonic()
            self.node.ledger.next_report_at = now
            self._send(self.node.step(now))
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
        step_at = self.node.get_next_step_time(now)
        if self._timer is not None:
            if self._timer_at <= step_at:
                return
            self._timer.cancel()
        self._timer_at = step_at
        delay_s = max(0.0, step_at - now)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = time.monotonic()
        self._send(self.node.step(now))
        self._log_collector(now)
        if self.node.sums.is_collecting(now):
            self._list_others(now)
        self._schedule(now)

    def _receive(self, message: QuotaMessage, address: str) -> None:
        """Process a message of another host."""
        now = time.monotonic()
        self._counters.incr("quota.received")
        self._send(self.node.receive(message, address, now))
        self._schedule(now)

    def _send(self, outgoing: list[Outgoing]) -> None:
        """Send messages; one that goes to several hosts is encoded once."""
        last: QuotaMessage | None = None
        data = b""
        for message, address in outgoing:
            if message is not last:
                last, data = message, encode_message(message)
            self._link.send(data, address)
        self._counters.incr("quota.sent", len(outgoing))

    def _count_invalid(self) -> None:
        self._counters.incr("quota.invalid")

    def _log_collector(self, now: float) -> None:
        """Log that the host reports to another one than before; a lost collector changes it."""
        collector = self.node.collector
        if collector == self._collector or not self._may_log("", now):
            return
        log_event("quota_collector", host=collector, before=self._collector)
        self._collector = collector
        self._counters.incr("quota.collector_changed")

    def _list_others(self, now: float) -> None:
        """List the hosts of the other data centres if that is due."""
        if self._list_task is not None or now < self._list_at:
            return
        interval_s = LIST_INTERVAL_S if self._list_at else SECOND_LIST_DELAY_S
        self._list_at = now + interval_s * self._random.uniform(0.8, 1.2)
        if not self._identity.other_data_centres:
            return
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
                error = listed.err_value.kind
                log_event("quota_hosts_not_listed", data_centre=data_centre, error=error)
                self._list_at = time.monotonic() + LIST_RETRY_S * self._random.uniform(0.5, 1.5)
                return
            addresses = list_addresses(
                decode_host(event.object) for event in listed.ok_value.events
            )
            first = order_hosts(list(addresses))[:COLLECTORS_PER_DATA_CENTRE]
            collectors += [addresses[name] for name in first]
        self.node.set_other_collectors(tuple(collectors))

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
