"""Which host collects the counts of teams when others are gone."""

import random

import pytest

from amaranthbend.core.collectors import (
    FAILED_COLLECTOR_SKIP_S,
    CollectorSelector,
    order_hosts,
)
from amaranthbend.core.quota_messages import CollectorSums, QuotaReport
from amaranthbend.core.quota_node import QuotaNode

STEP_S = 0.01
RUN_S = 120.0


def make_hosts(count: int) -> list[str]:
    """Return names of hosts in the order in which they collect."""
    return order_hosts([f"host-{number}" for number in range(count)])


def make_node(name: str, hosts: list[str]) -> QuotaNode:
    """Return a host that knows the others."""
    node = QuotaNode(name, "huye", f"{name}:1", 1, 0.0, random.Random(0))
    node.set_hosts({host: f"{host}:1" for host in hosts}, len(hosts), 0.0)
    return node


@pytest.mark.parametrize("gone", [1, 8, 24, 60])
def test_report_arrives_behind_collectors_that_are_gone(gone: int) -> None:
    """Guards against a host that reports to gone hosts in turn and never to one that runs.

    With enough of them the first was due again before the last had failed, so that the host
    admitted no more than its share of each quota for good.
    """
    hosts = make_hosts(gone + 3)
    running = hosts[gone]
    node = make_node(hosts[-1], hosts)
    collector = make_node(running, hosts)
    answered_at: list[float] = []
    waited_s = 0.0
    for step in range(int(RUN_S / STEP_S)):
        now = step * STEP_S
        for message, address in node.step(now):
            if address != f"{running}:1" or not isinstance(message, QuotaReport):
                continue
            for answer, _ in collector.receive(message, f"{hosts[-1]}:1", now):
                node.receive(answer, address, now)
                answered_at.append(now)
        collector.step(now)
        if answered_at and node.ledger.is_waiting:
            waited_s += STEP_S
    # The search takes the time of two reports for each host that is gone.
    assert answered_at[0] < 1.0 * gone
    assert waited_s < 0.1 * RUN_S


def test_first_collector_is_used_again() -> None:
    """Guards against hosts that report to several collectors for good after one was away."""
    hosts = make_hosts(4)
    selector = CollectorSelector()
    selector.set_hosts(hosts)
    selector.record_failure(hosts[0], 0.0)
    assert selector.select(0.0) == hosts[1]
    selector.record_answer(hosts[1])
    assert selector.select(FAILED_COLLECTOR_SKIP_S - 0.1) == hosts[1]
    assert selector.select(FAILED_COLLECTOR_SKIP_S) == hosts[0]
    selector.record_failure(hosts[0], FAILED_COLLECTOR_SKIP_S)
    # The one that answers is not given up for one that still fails.
    assert selector.select(2 * FAILED_COLLECTOR_SKIP_S) == hosts[1]
    assert selector.select(3 * FAILED_COLLECTOR_SKIP_S) == hosts[0]
    selector.record_answer(hosts[0])
    assert selector.select(4 * FAILED_COLLECTOR_SKIP_S) == hosts[0]


def test_collectors_behind_hosts_that_are_gone_exchange_sums() -> None:
    """Guards against two collectors that do not know each other, as the first hosts are gone.

    Each would grant the whole quota to the hosts that report to it.
    """
    hosts = make_hosts(10)
    collector = make_node(hosts[6], hosts)
    sent: set[str] = set()
    for step in range(int(30 / STEP_S)):
        now = step * STEP_S
        for message, address in collector.step(now):
            if isinstance(message, CollectorSums):
                sent.add(address)
        if step % 100 == 0:
            # Another host reports to it as well.
            report = QuotaReport(7, 1, 1 + step // 100, step // 100, 0.5, ())
            collector.receive(report, f"{hosts[9]}:1", now)
    assert f"{hosts[7]}:1" in sent
