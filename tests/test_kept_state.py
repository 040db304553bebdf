"""What a node process keeps when everything that it knows is replaced, again and again."""

import asyncio
import itertools
import time
from collections import Counter, deque
from collections.abc import Sized
from typing import Any

import pytest

from amaranthbend.adapters.metrics import MAX_DURATIONS_PER_TIMING
from amaranthbend.adapters.metrics_page import LATENCY_BUCKETS
from amaranthbend.core.actions import Member, UpstreamState
from amaranthbend.core.caller_times import MAX_ENTRIES as MAX_CALLER_TIMES
from amaranthbend.core.change_log import MAX_REMOVALS
from amaranthbend.core.change_relay import HostEntry
from amaranthbend.core.evacuations import MAX_REMOVED as MAX_REMOVED_EVACUATIONS
from amaranthbend.core.membership import MAX_DEPARTURES, Membership
from amaranthbend.core.quota_messages import QuotaReport
from amaranthbend.core.quotas import MAX_UNANSWERED
from amaranthbend.core.reconciliation import MAX_REMOVED as MAX_REMOVED_INSTANCES
from amaranthbend.programs.node_process import NodeProcess
from amaranthbend.settings.node import NodeSettings
from standins.instance import Instance
from standins.node_caller import make_call, make_configuration, read_answer
from standins.processes import pick_endpoint

from . import node_cases
from .node_cases import ADDRESS, NodeCase, add_quota_settings, run_node, wait_until

ROUNDS = 4
WAIT_S = 8.0
# Containers that grow up to a limit, in number or in time; all their elements are small, with no
# more than a few containers each.
LIMITED = {
    "._change_logs[]._changes": MAX_REMOVALS + ROUNDS,
    "._change_logs[]._removed": MAX_REMOVALS,
    "._reconcilers[]": MAX_REMOVED_INSTANCES + ROUNDS,
    "._caller_times._most_s": MAX_CALLER_TIMES,
    "._counters._timings[]": MAX_DURATIONS_PER_TIMING,
    "._evacuations._revisions": MAX_REMOVED_EVACUATIONS + ROUNDS,
    ".ledger._unanswered": MAX_UNANSWERED,
    # Hosts that are no longer listed count for a minute, those that report for some seconds.
    "._cold_limits._hosts": 3 * ROUNDS,
    "._cold_limits._missing_since": 3 * ROUNDS,
    "sums._hosts": 3 * ROUNDS + 1,
    "._reporting_addresses": 3 * ROUNDS,
    # One list of fixed length for each outcome of the services in use.
    "._latencies[].counts": len(LATENCY_BUCKETS) + 1,
    # Two numbers for each team that ever had a quota; other collectors compare them.
    "sums._counts": 3 * ROUNDS,
    "sums._late": 3 * ROUNDS,
}
# Containers of the libraries and of the test itself are not looked into.
PACKAGE = "amaranthbend"


@pytest.fixture(autouse=True)
def settings_with_quotas(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give the node an address for quotas."""
    make_settings = node_cases.make_settings

    def make(store_port: int) -> NodeSettings:
        return add_quota_settings(make_settings(store_port))

    monkeypatch.setattr(node_cases, "make_settings", make)


def list_attributes(value: Any) -> list[tuple[str, Any]]:
    """Return the attributes of an object of the package, with and without `__dict__`."""
    names = [name for cls in type(value).__mro__ for name in getattr(cls, "__slots__", ())]
    found = [(name, getattr(value, name)) for name in names if hasattr(value, name)]
    return [*found, *getattr(value, "__dict__", {}).items()]


def measure_containers(process: NodeProcess) -> Counter[str]:
    """Return the number of elements in all containers that the process holds, by their path."""
    sizes: Counter[str] = Counter()
    seen: set[int] = set()
    pending: list[tuple[str, Any]] = [("process", process)]
    while pending:
        path, value = pending.pop()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, dict | list | set | frozenset | deque | tuple):
            if isinstance(value, Sized) and not hasattr(value, "_fields"):
                sizes[path] += len(value)
            children = value.values() if isinstance(value, dict) else value
            pending += [(f"{path}[]", child) for child in children]
        elif type(value).__module__.startswith(PACKAGE):
            pending += [(f"{path}.{name}", child) for name, child in list_attributes(value)]
    return sizes


def make_replaced_configuration(number: int) -> dict[str, Any]:
    """Return a configuration in which everything has a new name."""
    configuration = make_configuration(10 + number)
    for rule in configuration["listeners"][0]["rules"]:
        rule["name"] += f"-{number}"
        rule["action"]["service"] = f"desk-{number}"
    configuration["clusters"][0]["name"] = f"desk-{number}"
    configuration["clusters"][0]["coldPerS"] = 1000.0
    configuration["tenants"] = [
        {"name": f"team-{number}", "apiKeys": [f"key-{number}"], "perS": 200.0, "burst": 50.0}
    ]
    return configuration


async def call_until_answered(case: NodeCase, method: str, number: int) -> None:
    """Send a request of the round's team again until it is answered: it may exceed the quota."""
    key = f"\r\nAuthorization: Bearer key-{number}\r\n\r\n".encode()
    async with asyncio.timeout(WAIT_S):
        for attempt in itertools.count():
            reader, writer = await case.connect()
            call = make_call("/safe/x", method, f"{method}-{number}-{attempt}", 1500)
            writer.write(call.replace(b"\r\n\r\n", key, 1))
            answer = await read_answer(reader)
            writer.close()
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)


async def replace_everything(case: NodeCase, number: int) -> None:
    """Replace routes, services, teams, instances, hosts and evacuations, and send requests."""
    process = case.process
    instance = Instance(f"i-{number}", f"desk-{number}", "huye")
    endpoint = pick_endpoint(ADDRESS)
    await instance.start(endpoint.address, endpoint.port)
    case.register(instance)
    case.store.put("config", "main", make_replaced_configuration(number))
    case.store.put("evacuations", f"centre-{number}", {})
    await wait_until(lambda: process.configuration.version == 10 + number)
    await wait_until(lambda: f"i-{number}" in str(process.dispatch.snapshot(time.monotonic())))
    hosts = [HostEntry(f"host-{number}", "huye", f"{ADDRESS}:1")]
    process.update_hosts(hosts, time.monotonic())
    assert process.quotas is not None
    now = time.monotonic()
    process.quotas.node.receive(QuotaReport(number, 1, 1, 0, 0.0, ()), f"{ADDRESS}:{number}", now)
    for method in ("GET", "POST", f"METHOD{number}"):
        await call_until_answered(case, method, number)
    case.store.remove("evacuations", f"centre-{number}")
    case.store.remove("servers", f"i-{number}")
    await wait_until(lambda: process.dispatch.evacuated == frozenset())
    await instance.stop()
    # As the process does every second.
    process.cold_limits.prune(time.monotonic() + 60.0)


def test_departures_of_upstreams_that_are_gone_are_limited() -> None:
    """Guards against memory for each upstream that ever left, and a member that comes back."""
    membership = Membership()
    member = Member("u-first", "10.0.0.1:80", "huye", 1, UpstreamState.DRAINING)
    membership.set_members([member])
    for number in range(MAX_DEPARTURES + 100):
        membership.record_departure(f"u-{number}", 1)
    assert len(membership.list_departures()) == MAX_DEPARTURES + 1
    assert not membership.is_usable("u-first")
    assert not membership.record_departure(f"u-{MAX_DEPARTURES + 99}", 1)


def test_nothing_is_kept_for_each_name_that_was_ever_used() -> None:
    """Guards against memory that grows with each change, until the process is killed.

    Related paths of review case 7: what is kept by count, and outside the account of memory.
    """

    async def check(case: NodeCase) -> None:
        for number in range(ROUNDS):
            await replace_everything(case, number)
        before = measure_containers(case.process)
        for number in range(ROUNDS, 3 * ROUNDS):
            await replace_everything(case, number)
        after = measure_containers(case.process)
        grown = {
            path: (before[path], size)
            for path, size in after.items()
            if size - before[path] >= ROUNDS
            and size > 4 * max((LIMITED[part] for part in LIMITED if part in path), default=0)
        }
        assert "\n".join(f"{path}: {sizes}" for path, sizes in grown.items()) == ""

    run_node(check, instances=0, settings={"evacuation_s": 5.0, "drain_s": 0.7})
