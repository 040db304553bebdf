"""Balancers that the Dispatcher is compared with, and the oracle."""

import random
from collections.abc import Callable

from amaranthbend.core.actions import (
    Action,
    AttemptResult,
    Complete,
    LoadReport,
    Member,
    RequestInfo,
    Send,
)
from amaranthbend.core.dispatching import Dispatcher
from amaranthbend.core.outcomes import Outcome
from amaranthbend.core.policy import ProbePolicy, ServicePolicy

from .model import BalancerFactory, Upstream
from .scenario import Balancer

__all__ = ["BASELINES", "SimpleBalancer", "make_dispatcher_factory"]

# Shares into which the probe budget is split, for 14 hosts with room to grow.
ENTRY_HOSTS_MAX = 16


class SimpleBalancer:
    """Sends each request at once to the upstream that a rule chooses.

    Parameters
    ----------
    index : int
        Index of the host, which also seeds its choices.
    data_centre : str
        Data centre of the host.
    members : tuple of Member
        Upstreams.
    upstreams : dict of str to Upstream
        True state, for the oracle only.
    """

    def __init__(
        self,
        index: int,
        data_centre: str,
        members: tuple[Member, ...],
        upstreams: dict[str, Upstream],
    ) -> None:
        self.random = random.Random(index)
        self.names = [member.upstream for member in members]
        self.data_centre = data_centre
        self.upstreams = upstreams
        self.in_flight = dict.fromkeys(self.names, 0)
        self.reported = dict.fromkeys(self.names, 0)
        self._sent: dict[int, str] = {}

    def choose(self) -> str:
        """Return the upstream for the next request."""
        raise NotImplementedError

    def submit(self, request: RequestInfo, now: float) -> list[Action]:
        """Send the request."""
        name = self.choose()
        self.in_flight[name] += 1
        self._sent[request.request_id] = name
        return [Send(request.request_id, 1, name, request.deadline - now)]

    def finish(
        self,
        request_id: int,
        attempt: int,  # noqa: ARG002
        result: AttemptResult,  # noqa: ARG002
        now: float,  # noqa: ARG002
    ) -> list[Action]:
        """Complete the request."""
        self.in_flight[self._sent.pop(request_id)] -= 1
        return [Complete(request_id, Outcome.ANSWERED)]

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:  # noqa: ARG002
        """Keep the reported load."""
        self.reported[upstream] = report.in_flight + report.queued
        return []

    def tick(self, now: float) -> list[Action]:  # noqa: ARG002
        """Do nothing; there are no timers."""
        return []

    def get_next_tick_time(self, now: float) -> float | None:  # noqa: ARG002
        """Return None; there are no timers."""
        return None


class RandomChoice(SimpleBalancer):
    """Any upstream."""

    def choose(self) -> str:
        """Return any upstream."""
        return self.random.choice(self.names)


class RoundRobin(SimpleBalancer):
    """All upstreams in turn, from a random start."""

    _next = -1

    def choose(self) -> str:
        """Return the upstream after the last one."""
        if self._next < 0:
            self._next = self.random.randrange(len(self.names))
        self._next = (self._next + 1) % len(self.names)
        return self.names[self._next]


class LeastInFlight(SimpleBalancer):
    """The upstream with the fewest requests of this host."""

    def choose(self) -> str:
        """Return the upstream with the fewest own requests, ties at random."""
        return min(self.names, key=lambda name: (self.in_flight[name], self.random.random()))


class TwoChoicesOnReports(SimpleBalancer):
    """The better of two by last report and own requests."""

    def choose(self) -> str:
        """Return the better of two random upstreams."""
        pair = self.random.sample(self.names, 2)
        return min(pair, key=lambda name: self.reported[name] + self.in_flight[name])


class Oracle(SimpleBalancer):
    """The shortest true queue, the nearest among equals."""

    def choose(self) -> str:
        """Return the upstream with a free slot nearest to this host, or the shortest queue."""
        return min(self.names, key=self._rank)

    def _rank(self, name: str) -> tuple[float, bool, float]:
        upstream = self.upstreams[name]
        waiting = max(0, upstream.true_load - upstream.slots + 1)
        is_remote = upstream.data_centre != self.data_centre
        return (waiting, is_remote, self.random.random())


BASELINES: dict[str, Callable[..., Balancer]] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least in-flight per host": LeastInFlight,
    "two choices, reports": TwoChoicesOnReports,
    "oracle": Oracle,
}


def make_dispatcher_factory(
    policy: ServicePolicy, probing: ProbePolicy, seed: int, hosts: int
) -> BalancerFactory:
    """Return a factory of Dispatchers that share the probe budget of the deployment."""

    def make(
        index: int,
        data_centre: str,
        members: tuple[Member, ...],
        upstreams: dict[str, Upstream],  # noqa: ARG001
    ) -> Balancer:
        dispatcher = Dispatcher(policy, probing, data_centre, seed * 1000 + index, processes=hosts)
        dispatcher.set_members(members, 0.0)
        dispatcher.set_probe_share(1.0 / ENTRY_HOSTS_MAX, 0.0)
        return dispatcher

    return make
