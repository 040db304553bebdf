"""Ways to keep the quotas of teams that the model compares."""

import random
from collections import defaultdict

from amaranthbend.core.collectors import order_hosts
from amaranthbend.core.policy import TeamPolicy
from amaranthbend.core.quota_credit import Credit, QuotaRule
from amaranthbend.core.quota_messages import compute_id
from amaranthbend.core.quota_node import Outgoing, QuotaNode

from .quota_model import LENGTH_S, Host, QuotaModel

__all__ = ["Collectors", "FlatSums", "OwnerShares", "PlainSums", "StaticShares"]


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
        """Return the hosts that a host knows: not all, with two views or while hosts are added."""
        if not self._model.is_late(host):
            names = {name: name for name in names if not self._model.is_late(self._by_name[name])}
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
