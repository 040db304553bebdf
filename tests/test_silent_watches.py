"""Watches of the store whose connections go silent, while replicas lag behind."""

import asyncio

import pytest

from amaranthbend.core.change_relay import READERS_PER_DATA_CENTRE
from standins.node_caller import make_configuration

from .node_cases import NodeCase, run_node, wait_until
from .store_cases import CHECK_AGE_S, IN_FORCE_S, KIND, Fleet, run_fleet

# A lag that replicas of the store may have.
REPLICA_LAG_S = 3.0


@pytest.mark.parametrize("pause_s", [0.0, 0.4, 0.8])
def test_configuration_is_in_force_in_time_beside_a_silent_watch(pause_s: float) -> None:
    """Guards against acting on a replaced configuration for as long as a replica lags.

    The store's connections go silent, and a replica shows changes late. The pause shifts the
    change against the checks.
    """

    async def check(case: NodeCase) -> None:
        case.store.faults.replica_lag_s = REPLICA_LAG_S
        await wait_until(lambda: case.store.waiting_watches == 2)
        case.store.silence_watches()
        await asyncio.sleep(pause_s)
        case.store.put("config", "main", make_configuration(2))
        await wait_until(lambda: case.process.configuration.version == 2, IN_FORCE_S)

    run_node(check)


def test_followers_have_changes_in_time_beside_silent_watches() -> None:
    """Guards against readers that relay a state as confirmed which the store has left behind."""

    async def check(fleet: Fleet) -> None:
        fleet.store.faults.replica_lag_s = REPLICA_LAG_S
        await wait_until(lambda: fleet.store.waiting_watches == READERS_PER_DATA_CENTRE)
        for value in (2, 3):
            fleet.store.silence_watches()
            fleet.store.put(KIND, "u0", value)
            await wait_until(lambda value=value: fleet.all_have("u0", value), IN_FORCE_S)

    run_fleet(check)


def test_idle_watches_are_checked_by_one_call() -> None:
    """Guards against a price for each kind of object in each interval in which nothing changes."""
    rounds = 3

    async def check(case: NodeCase) -> None:
        await wait_until(lambda: case.store.waiting_watches == 2)
        before = case.store.calls
        await asyncio.sleep((rounds + 0.5) * CHECK_AGE_S)
        # A first round may check each kind by itself, after the changes of the start.
        assert rounds <= case.store.calls - before <= rounds + 2

    run_node(check)
