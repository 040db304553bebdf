"""Model of quotas over all hosts, in virtual time.

Compares ways to keep a team within its quota, beside an exact global bucket that sees the same
requests. `python -m benchmarks.quotas` prints the figures of all cases at 139 hosts;
`--hosts 3813 --schemes collectors` those of one scheme at another size.
"""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple, Protocol

import fire

from amaranthbend.core.collectors import order_hosts
from amaranthbend.core.policy import TeamPolicy
from amaranthbend.core.quota_credit import Credit, QuotaMargins, QuotaRule, make_rules
from amaranthbend.core.quota_messages import compute_id
from amaranthbend.core.quota_node import Outgoing, QuotaNode

__all__ = ["CASES", "Case", "QuotaFigures", "QuotaModel", "SCHEMES", "run_case"]

MARGINS = QuotaMargins(5.0, 0.1, 20.0)
# Quotas are this multiple of the usual rate, and the burst is the rate.
QUOTA_FACTOR = 1.6
BURST_AT_S = 8.0
LENGTH_S = 24.0
LATENCY_S = (0.0009, 0.0025)
DATAGRAM_LOSS = 0.01
CUT_OFF_SHARE = 3
CUT_OFF_S = 8.0
RESTART_S = 1.5
# Hosts that were killed together are up again within this time of each other.
RESTART_SPREAD_S = 0.3
# Longest wait that refused callers accept; they retry once, at another host.
MAX_RETRY_WAIT_S = 0.8
# Requests per second and connection. Bursts come on as many new connections as there were.
CONNECTION_RATE = 2.0
HOSTS_PER_DATA_CENTRE = 35


class Case(NamedTuple):
    """Load and faults of one run.

    Parameters
    ----------
    name : str
        Name of the case.
    factor : float
        Rate of the bursting teams over their usual one; 1 for calm.
    burst_s : float
        Duration of the burst.
    cut_at_s : float or None
        Time from the start of the burst at which a third of the hosts is cut off.
    is_cut_whole : bool
        Whether the hosts that are cut off still reach each other.
    restart_at_s : float or None
        Time from the start of the burst at which all hosts are killed.
    freeze_at_s : float or None
        Time from the start of the burst at which all first collectors freeze for 3 s.
    kill_at_s : float or None
        Time from the start of the burst at which all first collectors end for good.
    is_view_split : bool
        Whether half of the hosts take other hosts for the first collectors.
    """

    name: str
    factor: float = 7.5
    burst_s: float = 7.0
    cut_at_s: float | None = None
    is_cut_whole: bool = False
    restart_at_s: float | None = None
    freeze_at_s: float | None = None
    kill_at_s: float | None = None
    is_view_split: bool = False


CASES = (
    Case("calm", factor=1.0),
    Case("burst 4.1x", factor=4.1),
    Case("burst 7.5x, 5 s", burst_s=5.0),
    Case("burst 7.5x, 7 s"),
    Case("calm, cut off", factor=1.0, cut_at_s=0.0),
    Case("cut off before", cut_at_s=-2.0),
    Case("cut off at start", cut_at_s=0.0),
    Case("cut off in burst", cut_at_s=1.5),
    Case("cut off as a group", cut_at_s=0.0, is_cut_whole=True),
    Case("restart in burst", restart_at_s=0.8),
    Case("restart before", restart_at_s=-1.6),
    Case("calm, restart", factor=1.0, restart_at_s=0.0),
    Case("collectors freeze", freeze_at_s=0.5),
    Case("collectors end", kill_at_s=0.5),
    Case("two views", is_view_split=True),
)


class QuotaFigures(NamedTuple):
    """Figures of one run.

    Parameters
    ----------
    peak : float
        Most requests of a team in a window, as a part of what is permitted.
    refused_exactly, refused : int
        Refusals of bursting teams by the exact bucket, and by the scheme.
    refused_below : float
        Refusals of teams below their limit, as a part of their requests.
    refused_below_exactly : float
        The same by the exact bucket.
    messages : float
        Datagrams for each request, without bursts and with them.
    """

    peak: float
    refused_exactly: int
    refused: int
    refused_below: float
    refused_below_exactly: float
    messages: float


class Host:
    """One host of the model."""

    def __init__(self, index: int, data_centre: int, name: str) -> None:
        self.index = index
        self.data_centre = data_centre
        self.name = name
        self.is_up = True
        self.is_cut = False
        self.frozen_until = 0.0


class Scheme(Protocol):
    """A way to keep quotas."""

    def start_host(self, host: Host, now: float) -> None:
        """Start the process of a host without any memory."""

    def admit(self, host: Host, team: TeamPolicy, now: float) -> tuple[bool, float]:
        """Return whether a request is admitted, and when to retry otherwise."""


class QuotaModel:
    """Hosts, callers and network of one run.

    Parameters
    ----------
    case : Case
        Load and faults.
    hosts : int
        Number of hosts.
    rates : sequence of float
        Rates of the quotas; for each there is a bursting team and one that stays below its limit.
    seed : int
        Seed of all random draws.
    """

    def __init__(self, case: Case, hosts: int, rates: tuple[float, ...], seed: int) -> None:
        self.case = case
        self.random = random.Random(seed)
        centres = max(3, hosts // HOSTS_PER_DATA_CENTRE) if hosts < 1000 else 27
        self.hosts = [Host(n, n % centres, f"h{n}") for n in range(hosts)]
        self.data_centres = centres
        self.teams = [
            TeamPolicy(f"{kind}-{rate:g}", rate_per_s=rate, burst=rate)
            for rate in rates
            for kind in ("bursting", "steady")
        ]
        self.rules = make_rules(self.teams, MARGINS)
        self.now = 0.0
        self.messages = 0
        self.requests = 0
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.admitted_exactly: dict[str, list[float]] = defaultdict(list)
        self.refusals: dict[str, int] = defaultdict(int)
        self.refusals_exactly: dict[str, int] = defaultdict(int)
        self.arrivals: dict[str, int] = defaultdict(int)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._exact = {
            team.name: Credit(QuotaRule(team.rate_per_s, team.burst), team.burst, 0.0)
            for team in self.teams
        }

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (at, next(self._order), action))

    def send(self, sender: Host, receiver: Host, deliver: Callable[[], None]) -> None:
        """Deliver a message unless it is lost, and keep it for a receiver that is frozen."""
        self.messages += 1
        if self.random.random() < DATAGRAM_LOSS or not self._is_connected(sender, receiver):
            return
        arrives_at = self.now + self.random.uniform(*LATENCY_S)

        def arrive() -> None:
            if not receiver.is_up or not self._is_connected(sender, receiver):
                return
            if receiver.frozen_until > self.now:
                self.schedule(receiver.frozen_until, deliver)
                return
            deliver()

        self.schedule(arrives_at, arrive)

    def _is_connected(self, sender: Host, receiver: Host) -> bool:
        if sender.is_cut != receiver.is_cut:
            return False
        return sender is receiver or not sender.is_cut or self.case.is_cut_whole

    def run(self, scheme: Scheme, collectors: list[Host]) -> None:
        """Run the case.

        Parameters
        ----------
        scheme : Scheme
            How the quotas are kept.
        collectors : list of Host
            Hosts that freeze or end where the case says so.
        """
        for host in self.hosts:
            scheme.start_host(host, 0.0)
        self._plan_faults(scheme, collectors)
        for team in self.teams:
            self._plan_team(scheme, team)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > LENGTH_S:
                return
            self.now = at
            action()

    def _plan_faults(self, scheme: Scheme, collectors: list[Host]) -> None:
        case = self.case
        if case.cut_at_s is not None:
            cut = self.random.sample(self.hosts, len(self.hosts) // CUT_OFF_SHARE)
            self.schedule(BURST_AT_S + case.cut_at_s, lambda: _set_cut(cut, True))
            self.schedule(BURST_AT_S + case.cut_at_s + CUT_OFF_S, lambda: _set_cut(cut, False))
        if case.restart_at_s is not None:
            self.schedule(BURST_AT_S + case.restart_at_s, lambda: self._restart_all(scheme))
        if case.freeze_at_s is not None:
            self.schedule(BURST_AT_S + case.freeze_at_s, lambda: self._freeze(collectors))
        if case.kill_at_s is not None:
            self.schedule(BURST_AT_S + case.kill_at_s, lambda: _stop(collectors))

    def _freeze(self, hosts: list[Host]) -> None:
        for host in hosts:
            host.frozen_until = self.now + 3.0

    def _restart_all(self, scheme: Scheme) -> None:
        _stop(self.hosts)
        for host in self.hosts:
            starts_at = self.now + RESTART_S + self.random.uniform(0.0, RESTART_SPREAD_S)

            def start(host: Host = host) -> None:
                host.is_up = True
                scheme.start_host(host, self.now)

            self.schedule(starts_at, start)

    def _plan_team(self, scheme: Scheme, team: TeamPolicy) -> None:
        """Plan the requests of a team: uneven over hosts, on kept connections."""
        usual = team.rate_per_s / QUOTA_FACTOR
        count = max(1, round(usual / CONNECTION_RATE))
        weights = [self.random.expovariate(1.0) for _ in range(2 * count)]
        hosts = [self.random.choice(self.hosts) for _ in range(2 * count)]
        at = 0.0
        bursts_until = BURST_AT_S + self.case.burst_s
        is_bursting = team.name.startswith("bursting") and self.case.factor > 1.0
        while True:
            is_peak = is_bursting and BURST_AT_S <= at < bursts_until
            at += self.random.expovariate(usual * (self.case.factor if is_peak else 1.0))
            if at > LENGTH_S:
                return
            if is_bursting and not is_peak and BURST_AT_S <= at < bursts_until:
                at = BURST_AT_S
            used = 2 * count if is_peak else count
            host = self.random.choices(hosts[:used], weights[:used])[0]
            self.schedule(
                at,
                lambda host=host: self._request(scheme, host, team, True),  # type: ignore[misc]
            )

    def _request(self, scheme: Scheme, host: Host, team: TeamPolicy, is_first: bool) -> None:
        if not host.is_up:
            running = [other for other in self.hosts if other.is_up]
            if not running:
                return
            host = self.random.choice(running)
        if host.frozen_until > self.now:
            self.schedule(host.frozen_until, lambda: self._request(scheme, host, team, is_first))
            return
        if is_first:
            self.requests += 1
            self.arrivals[team.name] += 1
            exact = self._exact[team.name]
            if exact.refill(self.now) >= 1.0:
                exact.consume(1)
                self.admitted_exactly[team.name].append(self.now)
            else:
                self.refusals_exactly[team.name] += 1
        is_admitted, retry_after_s = scheme.admit(host, team, self.now)
        if is_admitted:
            self.admitted[team.name].append(self.now)
            return
        if is_first:
            self.refusals[team.name] += 1
        if is_first and retry_after_s <= MAX_RETRY_WAIT_S:
            other = self.random.choice(self.hosts)
            self.schedule(
                self.now + retry_after_s, lambda: self._request(scheme, other, team, False)
            )

    def get_figures(self) -> QuotaFigures:
        """Return the figures of the run."""
        steady = [team.name for team in self.teams if team.name.startswith("steady")]
        bursting = [team.name for team in self.teams if team.name.startswith("bursting")]
        if self.case.factor <= 1.0:
            steady += bursting
        requests = sum(self.arrivals[name] for name in steady)
        return QuotaFigures(
            max(measure_peak(self.admitted[team.name], team) for team in self.teams),
            sum(self.refusals_exactly[name] for name in bursting),
            sum(self.refusals[name] for name in bursting),
            sum(self.refusals[name] for name in steady) / requests,
            sum(self.refusals_exactly[name] for name in steady) / requests,
            self.messages / self.requests,
        )


def measure_peak(times: list[float], team: TeamPolicy) -> float:
    """Return the most requests in a window, as a part of what is permitted."""
    quota = team.rate_per_s * MARGINS.window_s + team.burst
    permitted = quota * (1.0 + MARGINS.overshoot) + MARGINS.slack
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] > MARGINS.window_s:
            first += 1
        most = max(most, last - first + 1)
    return most / permitted


def _set_cut(hosts: list[Host], is_cut: bool) -> None:
    for host in hosts:
        host.is_cut = is_cut


def _stop(hosts: list[Host]) -> None:
    for host in hosts:
        host.is_up = False


class Collectors:
    """The product's own exchange (`core/quota_node.py`)."""

    def __init__(self, model: QuotaModel) -> None:
        self._model = model
        self._nodes: dict[str, QuotaNode] = {}
        self._step_at: dict[str, float] = {}
        self._by_name = {host.name: host for host in model.hosts}
        self._ids = {team.name: compute_id(team.name) for team in model.teams}
        self._centres: dict[int, dict[str, str]] = defaultdict(dict)
        for host in model.hosts:
            self._centres[host.data_centre][host.name] = host.name

    def start_host(self, host: Host, now: float) -> None:
        """Start a host that finds its data centre in the store."""
        model = self._model
        centre = f"dc{host.data_centre}"
        node = QuotaNode(
            host.name, centre, host.name, model.random.getrandbits(63), now, model.random
        )
        node.set_rules(model.rules, now)
        node.set_other_collectors(
            tuple(
                name
                for number, names in self._centres.items()
                if number != host.data_centre
                for name in self._order(names, host)[:2]
            )
        )
        self._nodes[host.name] = node
        self._step_at[host.name] = LENGTH_S * 2
        listed_at = now + (model.random.uniform(0.01, 0.1) if now > 0.0 else 0.0)
        model.schedule(listed_at, lambda: self._set_hosts(host, node))

    def _order(self, names: dict[str, str], host: Host) -> list[str]:
        return order_hosts(self._hide_first(names, host))

    def _hide_first(self, names: dict[str, str], host: Host) -> list[str]:
        """Return the hosts that a host knows: half of them miss the first one of two views."""
        known = list(names)
        if self._model.case.is_view_split and host.index % 2:
            known.remove(order_hosts(known)[0])
        return known

    def _set_hosts(self, host: Host, node: QuotaNode) -> None:
        if self._nodes[host.name] is not node:
            return
        known = self._hide_first(self._centres[host.data_centre], host)
        node.set_hosts({name: name for name in known}, len(self._model.hosts), self._model.now)
        self._schedule(host, node)

    def list_first(self) -> list[Host]:
        """Return the first collector of each data centre."""
        return [self._by_name[order_hosts(list(names))[0]] for names in self._centres.values()]

    def admit(self, host: Host, team: TeamPolicy, now: float) -> tuple[bool, float]:
        """Ask the ledger of the host."""
        node = self._nodes[host.name]
        admission = node.ledger.admit(self._ids[team.name], now)
        self._schedule(host, node)
        return admission.is_admitted, admission.retry_after_s

    def _schedule(self, host: Host, node: QuotaNode) -> None:
        step_at = max(self._model.now, node.get_next_step_time(self._model.now))
        if step_at >= self._step_at[host.name] > self._model.now:
            return
        self._step_at[host.name] = step_at
        self._model.schedule(step_at, lambda: self._step(host, node, step_at))

    def _step(self, host: Host, node: QuotaNode, step_at: float) -> None:
        if self._nodes[host.name] is not node or self._step_at[host.name] != step_at:
            return
        if not host.is_up:
            return
        now = self._model.now
        self._step_at[host.name] = LENGTH_S * 2
        if host.frozen_until > now:
            self._step_at[host.name] = host.frozen_until
            self._model.schedule(
                host.frozen_until, lambda: self._step(host, node, host.frozen_until)
            )
            return
        self._send(host, node.step(now))
        self._schedule(host, node)

    def _send(self, host: Host, outgoing: list[Outgoing]) -> None:
        for message, address in outgoing:
            target = self._by_name[address]

            def deliver(target: Host = target, message: object = message) -> None:
                node = self._nodes[target.name]
                answers = node.receive(message, host.name, self._model.now)  # type: ignore[arg-type]
                self._send(target, answers)
                self._schedule(target, node)

            self._model.send(host, target, deliver)


class StaticShares:
    """Equal shares: each host has its part of rate and burst, whatever the demand."""

    def __init__(self, model: QuotaModel) -> None:
        self._model = model
        self._credits: dict[tuple[int, str], Credit] = {}

    def start_host(self, host: Host, now: float) -> None:
        """Give the host its part."""
        count = len(self._model.hosts)
        for team in self._model.teams:
            rule = QuotaRule(team.rate_per_s / count, max(1.0, team.burst / count))
            self._credits[host.index, team.name] = Credit(rule, team.burst / count, now)

    def admit(self, host: Host, team: TeamPolicy, now: float) -> tuple[bool, float]:
        """Spend the part of the host, with fractions rounded by chance."""
        return spend(self._credits[host.index, team.name], now, self._model.random)


def spend(credit: Credit, now: float, rng: random.Random) -> tuple[bool, float]:
    """Spend one request of a credit, or a fraction with that probability."""
    level = credit.refill(now)
    if level >= 1.0:
        credit.consume(1)
        return True, 0.0
    credit.consume(max(0.0, level))
    return rng.random() < level, 1.0 / credit.rule.rate_per_s


class OwnerShares:
    """Shares by demand, which one owner hands out each second and which expire after 3 s."""

    def __init__(self, model: QuotaModel) -> None:
        self._model = model
        self._shares: dict[tuple[int, str], float] = {}
        self._expires_at: dict[int, float] = defaultdict(float)
        self._credits: dict[tuple[int, str], Credit] = {}
        self._demands: dict[tuple[int, str], int] = defaultdict(int)
        self._owner = model.hosts[0]
        self._is_started = False

    def start_host(self, host: Host, now: float) -> None:
        """Start a host with an equal share of the rate and nothing saved up."""
        self._expires_at[host.index] = 0.0
        for team in self._model.teams:
            rule = QuotaRule(team.rate_per_s, max(1.0, team.burst))
            level = team.burst / len(self._model.hosts) if now == 0.0 else 0.0
            self._credits[host.index, team.name] = Credit(rule, level, now)
        if not self._is_started:
            self._is_started = True
            self._model.schedule(1.0, self._divide)

    def _divide(self) -> None:
        model = self._model
        model.schedule(model.now + 1.0, self._divide)
        if not self._owner.is_up or self._owner.frozen_until > model.now:
            return
        demands, self._demands = self._demands, defaultdict(int)
        totals: dict[str, int] = defaultdict(int)
        for (_, name), count in demands.items():
            totals[name] += count
        for host in model.hosts:
            model.messages += 1

            def deliver(host: Host = host) -> None:
                self._expires_at[host.index] = model.now + 3.0
                for team in model.teams:
                    equal = 1.0 / len(model.hosts)
                    demand = demands.get((host.index, team.name), 0)
                    by_demand = demand / max(1, totals[team.name])
                    share = 0.8 * by_demand + 0.2 * equal
                    self._credits[host.index, team.name].refill(
                        model.now, self._shares.get((host.index, team.name), equal)
                    )
                    self._shares[host.index, team.name] = share

            model.send(self._owner, host, deliver)

    def admit(self, host: Host, team: TeamPolicy, now: float) -> tuple[bool, float]:
        """Spend the host's share, or an equal one after it has expired."""
        self._demands[host.index, team.name] += 1
        equal = 1.0 / len(self._model.hosts)
        share = self._shares.get((host.index, team.name), equal)
        if now > self._expires_at[host.index]:
            share = equal
        credit = self._credits[host.index, team.name]
        level = min(credit.refill(now, share), max(1.0, share * team.burst))
        credit.consume(credit.level - level)
        if level >= 1.0:
            credit.consume(1)
            return True, 0.0
        credit.consume(max(0.0, level))
        return self._model.random.random() < level, 1.0 / team.rate_per_s


class PlainSums:
    """One summing host in each data centre; hosts refuse only while the known total is used up.

    With `is_flat`, each host sends its counts to all others instead, once a second.
    """

    is_flat = False

    def __init__(self, model: QuotaModel) -> None:
        self._model = model
        self._counts: dict[tuple[int, str], int] = defaultdict(int)
        self._credits: dict[tuple[int, str], Credit] = {}
        # Counts of each host that a host knows.
        self._known: dict[int, dict[tuple[int, str], int]] = defaultdict(dict)
        self._summing = {host.data_centre: host for host in reversed(model.hosts)}

    def start_host(self, host: Host, now: float) -> None:
        """Start a host with the whole burst."""
        for team in self._model.teams:
            rule = QuotaRule(team.rate_per_s, team.burst)
            self._credits[host.index, team.name] = Credit(rule, team.burst, now)
            self._counts[host.index, team.name] = 0
        self._known[host.index] = {}
        first_at = now + self._model.random.random()
        self._model.schedule(first_at, lambda: self._report(host))

    def _report(self, host: Host) -> None:
        model = self._model
        if not host.is_up:
            return
        model.schedule(model.now + 1.0, lambda: self._report(host))
        if host.frozen_until > model.now:
            return
        counts = {
            (host.index, team.name): self._counts[host.index, team.name] for team in model.teams
        }
        if self.is_flat:
            for other in model.hosts:
                if other is not host:
                    self._tell(host, other, counts)
            return
        summing = self._summing[host.data_centre]
        if summing is not host:
            self._tell(host, summing, counts)
            return
        known = {**self._known[host.index], **counts}
        for other in model.hosts:
            if other is not host and (
                other.data_centre == host.data_centre or other in self._summing.values()
            ):
                self._tell(host, other, known)

    def _tell(self, sender: Host, other: Host, counts: dict[tuple[int, str], int]) -> None:
        def deliver() -> None:
            known = self._known[other.index]
            for key, count in counts.items():
                if key[0] == other.index:
                    continue
                added = count - known.get(key, 0)
                if added:
                    known[key] = count
                    credit = self._credits[other.index, key[1]]
                    credit.refill(self._model.now)
                    credit.consume(max(0, added))

        self._model.send(sender, other, deliver)

    def admit(self, host: Host, team: TeamPolicy, now: float) -> tuple[bool, float]:
        """Admit while the known total is not used up."""
        credit = self._credits[host.index, team.name]
        if credit.refill(now) < 1.0:
            return False, -min(0.0, credit.level) / team.rate_per_s + self._model.random.random()
        credit.consume(1)
        self._counts[host.index, team.name] += 1
        return True, 0.0


class FlatSums(PlainSums):
    """Counts sent by each host to all others."""

    is_flat = True


SCHEMES: dict[str, Callable[[QuotaModel], Scheme]] = {
    "equal shares": StaticShares,
    "owner": OwnerShares,
    "all to all": FlatSums,
    "summing hosts": PlainSums,
    "collectors": Collectors,
}


def run_case(
    scheme_name: str, case: Case, hosts: int, rates: tuple[float, ...], seed: int
) -> QuotaFigures:
    """Return the figures of one scheme in one case."""
    model = QuotaModel(case, hosts, rates, seed)
    scheme = SCHEMES[scheme_name](model)
    if isinstance(scheme, Collectors):
        first = scheme.list_first()
    else:
        first = list({host.data_centre: host for host in reversed(model.hosts)}.values())
    model.run(scheme, first)
    return model.get_figures()


def main(
    hosts: int = 139,
    seeds: int = 3,
    schemes: str = "",
    cases: str = "",
    rates: str = "2,4,8,16,32,80,160",
) -> None:
    """Print the figures of the cases as a Markdown table, each the worst of the seeds.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    seeds : int
        Number of seeds, from 0.
    schemes, cases : str
        Names, separated by semicolons; empty for all.
    rates : str
        Rates of the quotas, separated by commas.
    """
    parsed = rates if isinstance(rates, tuple) else str(rates).split(",")
    chosen_rates = tuple(float(rate) for rate in parsed)
    print("| case | scheme | peak | refused (exact) | refused below (exact) | messages |")
    print("|---|---|---|---|---|---|")
    for case in CASES:
        if cases and case.name not in cases.split(";"):
            continue
        for name in schemes.split(";") if schemes else SCHEMES:
            runs = [run_case(name, case, hosts, chosen_rates, seed) for seed in range(seeds)]
            peak = max(run.peak for run in runs)
            refused = sum(run.refused for run in runs)
            exactly = sum(run.refused_exactly for run in runs)
            below = max(run.refused_below for run in runs)
            below_exactly = max(run.refused_below_exactly for run in runs)
            messages = max(run.messages for run in runs)
            print(
                f"| {case.name} | {name} | {peak:.2f} | {refused} ({exactly}) "
                f"| {below:.4f} ({below_exactly:.4f}) | {messages:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    fire.Fire(main)
