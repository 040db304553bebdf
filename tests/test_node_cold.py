"""Cold instances, with a node process and stand-ins of the store and of instances."""

import asyncio
import time
from typing import Any

from amaranthbend.core.cold_limits import DIFFERING_VIEWS, WINDOW_S
from amaranthbend.programs.node_process import NodeProcess
from standins.instance import Instance
from standins.node_caller import make_configuration
from standins.processes import pick_endpoint

from .node_cases import ADDRESS, NodeCase, run_node, serve, wait_until

RATE = 3.3
SETTINGS: dict[str, Any] = {"cold_overshoot": 1.5, "cold_slack": 8.0}
# What one group of hosts that know the same members may send in a second.
GROUP_BOUND = (RATE * 1.5 + 8.0) / DIFFERING_VIEWS
LONG_COLD_S = 30.0


def count_most_in_a_second(instance: Instance, since: float) -> int:
    """Return the largest number of requests that began to run within a second."""
    times = [at for at in instance.ran_at if at >= since]
    return max((sum(first <= at <= first + 1.0 for at in times) for first in times), default=0)


async def limit_cold(case: NodeCase, rate: float = RATE) -> None:
    """Put a configuration with a rate for cold instances in force, and wait for the hosts.

    The first moment of a process, in which it sends nothing to cold instances, is over then.
    """
    configuration = make_configuration(2)
    configuration["clusters"][0]["coldPerS"] = rate
    case.store.put("config", "main", configuration)
    await wait_until(lambda: case.process.configuration.version == 2)
    await wait_until(lambda: case.process.host_directory.share_count == 4)
    await asyncio.sleep(WINDOW_S)


async def call_for(case: NodeCase, duration_s: float, prefix: str) -> list[int]:
    """Send 40 requests a second for some time, and return the statuses of the responses."""
    calls: list[asyncio.Task[int]] = []
    ends_at = time.monotonic() + duration_s
    while time.monotonic() < ends_at:
        calls.append(asyncio.ensure_future(get_status(case, f"{prefix}-{len(calls)}")))
        await asyncio.sleep(0.025)
    return list(await asyncio.gather(*calls))


async def get_status(case: NodeCase, request_id: str) -> int:
    """Return the status of the response to a request."""
    return (await case.call("/safe/x", request_id=request_id)).status


def test_cold_instance_gets_little_and_the_others_the_rest() -> None:
    """Guards against a full load on an instance that has become cold again without notice."""

    async def check(case: NodeCase) -> None:
        await limit_cold(case)
        assert set(await call_for(case, 0.5, "warm")) == {200}
        cold = case.instances[0]
        assert len(cold.ran) > 0
        cold.cold_s = LONG_COLD_S
        since = time.monotonic()
        assert set(await call_for(case, 2.0, "cold")) == {200}
        assert count_most_in_a_second(cold, since) <= GROUP_BOUND
        cold.cold_s = 0.0

    run_node(check, instances=3, settings=SETTINGS)


def test_cold_instances_alone_are_used_within_the_bound() -> None:
    """Guards against a service that is refused altogether, or crashes, when all are cold."""

    async def check(case: NodeCase) -> None:
        for instance in case.instances:
            instance.cold_s = LONG_COLD_S
            instance.entry_cold = "30000ms"
            case.register(instance)
        await limit_cold(case)
        since = time.monotonic()
        statuses = await call_for(case, 2.0, "cold")
        assert set(statuses) == {200, 503}
        for instance in case.instances:
            assert len(instance.ran) >= 0.5 * 2 * RATE
            assert count_most_in_a_second(instance, since) <= GROUP_BOUND

    run_node(check, instances=2, settings=SETTINGS)


def test_two_hosts_together_stay_within_the_bound() -> None:
    """Guards against hosts that each use the whole rate, also just after one of them restarts."""

    async def check(case: NodeCase) -> None:
        for instance in case.instances:
            instance.cold_s = LONG_COLD_S
        await limit_cold(case)
        settings = case.process.settings._replace(
            host_id="host-2",
            caller_address=f"{ADDRESS}:{pick_endpoint(ADDRESS).port}",
            readiness_address=f"{ADDRESS}:{pick_endpoint(ADDRESS).port}",
            peer_address=f"{ADDRESS}:{pick_endpoint(ADDRESS).port}",
        )
        since = time.monotonic()
        for start in range(2):
            other = NodeCase(NodeProcess(settings), case.store, case.instances)
            async with serve(other.process):
                await wait_until(lambda: not other.process.get_unready_reason())  # noqa: B023
                await asyncio.gather(
                    call_for(case, 1.5, f"a{start}"), call_for(other, 1.5, f"b{start}")
                )
        for instance in case.instances:
            assert len(instance.ran) > 0
            assert count_most_in_a_second(instance, since) <= DIFFERING_VIEWS * GROUP_BOUND

    run_node(check, instances=1, settings=SETTINGS)


def test_cold_entry_of_long_ago_does_not_limit_a_warm_instance() -> None:
    """Guards against hosts that restart and treat all instances as cold, by their old entries."""

    async def check(case: NodeCase) -> None:
        for instance in case.instances:
            instance.cold_s = 0.0
            instance.entry_cold = "30000ms"
            case.register(instance)
        await limit_cold(case)
        assert set(await call_for(case, 1.0, "warm")) == {200}
        assert max(len(instance.ran) for instance in case.instances) > 2 * GROUP_BOUND

    run_node(check, instances=2, settings=SETTINGS)


def test_instance_is_not_limited_without_a_rate() -> None:
    """Guards against a limit in a deployment whose configuration does not ask for one."""

    async def check(case: NodeCase) -> None:
        for instance in case.instances:
            instance.cold_s = LONG_COLD_S
        await limit_cold(case, rate=0.0)
        assert set(await call_for(case, 1.0, "any")) == {200}
        assert max(len(instance.ran) for instance in case.instances) > 2 * GROUP_BOUND

    run_node(check, instances=2, settings=SETTINGS)


def test_freed_data_centre_counts_as_cold_until_it_is_asked() -> None:
    """Guards against a surge to instances that are cold after an evacuation."""

    async def check(case: NodeCase) -> None:
        case.store.put("evacuations", "huye", {})
        await limit_cold(case)
        freed = [entry for entry in case.instances if entry.data_centre == "huye"]
        for instance in freed:
            instance.cold_s = LONG_COLD_S
        case.store.remove("evacuations", "huye")
        await wait_until(lambda: case.process.dispatch.evacuated == frozenset())
        since = time.monotonic()
        assert 200 in await call_for(case, 2.0, "freed")
        for instance in freed:
            assert count_most_in_a_second(instance, since) <= GROUP_BOUND
            instance.cold_s = 0.0
        assert 200 in await call_for(case, 1.0, "warm")
        for instance in freed:
            assert len(instance.ran) > GROUP_BOUND

    settings = {**SETTINGS, "evacuation_s": 5.0}
    run_node(check, instances=4, settings=settings, data_centres=("huye", "kaya"))
