import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from amaranthbend.adapters.metrics import Counters
from amaranthbend.adapters.platform import PlatformClient
from amaranthbend.controllers import probe_shares
from amaranthbend.controllers.claim_sweeper import (
    ClaimSweeper,
    VersionAge,
    compute_expired_version,
    increase_ages,
)
from amaranthbend.controllers.fleet_status import FleetStatusWriter, HostReport, HostReports
from amaranthbend.controllers.host_state import HostState
from amaranthbend.controllers.lease_manager import LeaseDriver, LeaseManager, LeaseTiming
from amaranthbend.controllers.probe_shares import ProbeShareManager
from amaranthbend.settings.acceptance import Approvers
from standins.platform import PlatformState, make_app
from standins.processes import pick_endpoint, pick_network

TIMING = LeaseTiming(ttl_s=1.0, margin_s=0.1)
RETENTION_S = 3600.0


class Environment:
    """Platform stand-in, and a clock that tests advance."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.platform = PlatformState()
        self.counters = Counters()
        endpoint = pick_endpoint(f"{pick_network()}.1")
        self._server = HTTPServer(make_app(self.platform))
        self._server.listen(endpoint.port, endpoint.address)
        http_client = SimpleAsyncHTTPClient(force_instance=True)
        self.client = PlatformClient(f"http://{endpoint}", http_client, self.counters, 500, 500)

    def stop(self) -> None:
        """Stop the platform stand-in."""
        self._server.stop()

    def read_clock(self) -> float:
        """Return the present time."""
        return self.now

    def make_driver(self) -> LeaseDriver:
        """Return a lease driver that uses the clock of the tests."""
        return LeaseDriver(self.client, self.counters, random.Random(1), self.read_clock)

    async def acquire_lease(self, holder: str, name: str) -> LeaseManager:
        """Return the manager of a lease after it has acquired the lease."""
        lease = LeaseManager(self.make_driver(), name, holder, TIMING)
        task = asyncio.create_task(lease.run())
        while lease.get_epoch() is None:
            await asyncio.sleep(0.01)
            self.now += 0.05
        task.cancel()
        return lease

    def make_sweeper(self, lease: LeaseManager) -> ClaimSweeper:
        """Return a sweeper."""
        return ClaimSweeper(self.client, lease, self.counters, lambda: RETENTION_S, self.read_clock)

    def make_status(self, lease: LeaseManager, reports: HostReports) -> FleetStatusWriter:
        """Return a writer of the fleet status."""
        state = HostState("host", Approvers("eeslikoda", {}, 1), self.counters, self.read_clock)
        args = (self.client, lease, state, reports, "eeslikoda", self.counters, self.read_clock)
        return FleetStatusWriter(*args)

    def read(self, kind: str, name: str) -> Any:
        """Return a stored value."""
        change = self.platform.objects.read(kind, name)
        return None if change is None else change.value

    def count_claims(self) -> int:
        """Return the number of claims."""
        return self.platform.objects.count_objects().get("claims", 0)


def run_check(check: Callable[[Environment], Awaitable[None]]) -> None:
    """Run a check with a new environment in an event loop of its own."""

    async def run() -> None:
        env = Environment()
        async with asyncio.timeout(20):
            await check(env)
        env.stop()

    asyncio.run(run())


def test_claims_are_removed_after_retention_only() -> None:
    """Guards against claims that are never removed, or too early: a repeat would run again."""

    async def check(env: Environment) -> None:
        await env.client.create("claims", "a.1", {"holder": "t1"})
        lease = await env.acquire_lease("host-0", "claim-sweeper")
        sweeper = env.make_sweeper(lease)
        assert await sweeper.sweep()
        await env.client.create("claims", "a.2", {"holder": "t2"})
        env.now += RETENTION_S - 1
        assert not await sweeper.sweep(), "the lease has expired"
        assert env.count_claims() == 2

    run_check(check)


@pytest.mark.parametrize("elapsed_s, left", [(RETENTION_S - 100, 2), (RETENTION_S + 100, 1)])
def test_age_of_claims_outlives_the_sweeper(elapsed_s: float, left: int) -> None:
    """Guards against claim ages that restart with each new holder, or count time without one."""

    async def check(env: Environment) -> None:
        await env.client.create("claims", "a.1", {"holder": "t1"})
        first = env.make_sweeper(await env.acquire_lease("host-0", "claim-sweeper"))
        assert await first.sweep()
        await env.client.create("claims", "a.2", {"holder": "t2"})
        sweeps = env.read("sweeps", "claims")
        # Simulates a holder that kept the lease for this long.
        change = env.platform.objects.read("sweeps", "claims")
        assert change is not None
        sweeps["marks"] = [[version, elapsed_s] for version, _age in sweeps["marks"]]
        await env.client.replace("sweeps", "claims", sweeps, change.revision)
        env.now += 10 * RETENTION_S
        second = env.make_sweeper(await env.acquire_lease("host-1", "claim-sweeper"))
        assert await second.sweep()
        assert env.count_claims() == left

    run_check(check)


def test_version_ages() -> None:
    """Guards against an age that is applied to claims of later versions."""
    ages = increase_ages(increase_ages([], 0.0, 10), 60.0, 20)
    assert ages == [VersionAge(10, 60.0), VersionAge(20, 0.0)]
    assert compute_expired_version(ages, 60.0) == 10
    assert compute_expired_version(ages, 61.0) == 0
    assert increase_ages(ages, 1.0, 20) == [VersionAge(10, 61.0), VersionAge(20, 1.0)]


def test_status_of_a_resumed_holder_is_refused() -> None:
    """Guards against a former holder that overwrites the status of a later epoch."""

    async def check(env: Environment) -> None:
        reports = HostReports(env.read_clock)
        first = await env.acquire_lease("host-0", "fleet-status")
        held_at = env.now
        first_status = env.make_status(first, reports)
        assert await first_status.update()
        env.now += 10.0
        second = await env.acquire_lease("host-1", "fleet-status")
        reports.record("host-1", HostReport(3, 2, 4))
        assert await env.make_status(second, reports).update()
        # Sets the clock back, so that the first host still counts its lease as held.
        env.now = held_at
        assert first.get_epoch() == 1
        assert not await first_status.update(), "conflict"
        assert not await first_status.update(), "later epoch"
        assert env.read("status", "eeslikoda")["epoch"] == 2
        assert env.counters.get("leases.fenced") == 1
        assert first.get_epoch() is None

    run_check(check)


def test_probe_shares_stay_within_the_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against shares whose sum exceeds the budget, also while their number changes."""
    monkeypatch.setattr(probe_shares, "COUNT_SETTLE_S", 0.5)

    async def check(env: Environment) -> None:
        counts = [2] * 5

        def count_of(number: int) -> Callable[[], int]:
            return lambda: counts[number]

        managers = [
            ProbeShareManager(env.make_driver(), f"host-{n}", TIMING, count_of(n)) for n in range(5)
        ]
        tasks = [asyncio.create_task(manager.run()) for manager in managers]

        def sum_shares() -> float:
            return sum(manager.get_share().share for manager in managers)

        started_at = asyncio.get_running_loop().time()
        changes = list(list_changes())
        highest = 0.0
        for step in range(250):
            if step % 5 == 0 and step // 5 < len(changes):
                host, count = changes[step // 5]
                counts[host] = count
            await asyncio.sleep(0.02)
            env.now = 1000.0 + asyncio.get_running_loop().time() - started_at
            highest = max(highest, sum_shares())
        assert 0 < highest <= 1.0 + 1e-9
        assert sum_shares() == pytest.approx(1.0), "all four shares are in use in the end"
        for task in tasks:
            task.cancel()

    run_check(check)


def list_changes() -> Iterator[tuple[int, int]]:
    """Yield each change of the number of shares on a host, as host and number."""
    for count in (2, 5, 3, 1, 4):
        for host in range(5):
            yield host, count
