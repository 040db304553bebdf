"""Last filter of the chain: passes requests to the dispatcher of their service."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from ..adapters.caller import CallerRequest
from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..adapters.upstream import UpstreamClient
from ..core.actions import Member
from ..core.cold_limits import ColdLimits
from ..core.departures import Departure
from ..core.dispatching import Dispatcher
from ..core.outcomes import Outcome, OutcomeReason
from ..core.policy import DeploymentPolicy, ProbePolicy, RoutePolicy, ServicePolicy
from ..core.probe_rounds import RequestProbeBudget
from ..core.probing import divide_budget
from ..core.probing_dispatcher import ProbingDispatcher
from .local_responses import LocalResponse, make_refusal
from .services import DispatchSettings, ServiceDispatch, ignore_probe

__all__ = ["DispatchFilter"]


def choose_service(route: RoutePolicy, rng: random.Random) -> str:
    """Return the route's service, or a service drawn by weight if the route has a traffic split.

    An overloaded service keeps its share of the traffic, since operators decide on the weights.

    Parameters
    ----------
    route : RoutePolicy
        Route of the request.
    rng : random.Random
        Random number generator for the draw.
    """
    if not route.split:
        return route.service
    remaining_weight = rng.random() * sum(part.weight for part in route.split)
    for part in route.split:
        remaining_weight -= part.weight
        if remaining_weight < 0:
            return part.service
    return route.split[-1].service


class DispatchFilter:
    """Passes requests to the dispatcher of their service.

    Parameters
    ----------
    client : UpstreamClient
        Sends requests to upstreams.
    counters : Counters
        Counts retries and probes.
    settings : DispatchSettings
        Process settings.
    cold_limits : ColdLimits or None
        Limits on what this host sends to cold upstreams; None for no limits.
    """

    def __init__(
        self,
        client: UpstreamClient,
        counters: Counters,
        settings: DispatchSettings,
        cold_limits: ColdLimits | None = None,
    ) -> None:
        self.services: dict[str, ServiceDispatch] = {}
        self._client = client
        self._counters = counters
        self._settings = settings
        self._cold_limits = cold_limits
        self._members: dict[str, tuple[Member, ...]] = {}
        # Evacuated data centres, None while they are unknown.
        self.evacuated: frozenset[str] | None = frozenset()
        self._probe_share = 0.0
        self._random = random.Random()
        self._request_probe_budget = RequestProbeBudget()
        self._last_request_id = 0
        # Called with the size in bytes of each probe that is sent.
        self.on_probe_sent: Callable[[int], None] = ignore_probe

    def set_policy(self, policy: DeploymentPolicy, now: float) -> None:
        """Apply new settings; active requests of removed services still finish."""
        for name in list(self.services):
            if name not in policy.services:
                del self.services[name]
                self._request_probe_budget.remove_service(name)
        processes = policy.entry_hosts_max * self._settings.entry_processes
        probes_per_s_per_upstream = max(
            (
                service.request_probes.probes_per_s_per_upstream
                for service in policy.services.values()
                if service.request_probes
            ),
            default=0.0,
        )
        self._request_probe_budget.set_limit(probes_per_s_per_upstream)
        probing = divide_budget(policy.probing, max(1, len(policy.services)))
        for name, service_policy in policy.services.items():
            service = self.services.get(name)
            if service is not None:
                service.probe_path = service_policy.probe_path
                service.apply(service.dispatcher.set_policy(service_policy, processes, now))
                service.apply(service.dispatcher.set_probing(probing, now))
                continue
            dispatcher = self._make_dispatcher(service_policy, probing, processes)
            service = ServiceDispatch(dispatcher, self._client, self._counters, self._settings)
            service.on_probe_sent = self.on_probe_sent
            service.probe_path = service_policy.probe_path
            self.services[name] = service
            if self._cold_limits is not None:
                dispatcher.set_cold_limits(self._cold_limits)
            service.apply(dispatcher.set_evacuated(self.evacuated, now))
            service.set_members(self._members.get(name, ()), now)
            service.apply(dispatcher.set_probe_share(self._probe_share, now))
            log_event("service_added", service=name)

    def _make_dispatcher(
        self, policy: ServicePolicy, probing: ProbePolicy, processes: int
    ) -> Dispatcher:
        data_centre = self._settings.data_centre
        seed = random.getrandbits(32)
        if policy.request_probes is None:
            return Dispatcher(policy, probing, data_centre, seed, processes=processes)
        return ProbingDispatcher(
            policy,
            probing,
            data_centre,
            seed,
            processes=processes,
            budget=self._request_probe_budget,
        )

    def set_members(self, members: dict[str, tuple[Member, ...]], now: float) -> None:
        """Replace the members of all services."""
        self._members = members
        for name, service in self.services.items():
            service.set_members(members.get(name, ()), now)

    def set_evacuated(self, data_centres: frozenset[str] | None, now: float) -> None:
        """Set the evacuated data centres of all services, None while they are unknown."""
        self.evacuated = data_centres
        for service in self.services.values():
            service.apply(service.dispatcher.set_evacuated(data_centres, now))

    def record_departures(self, departures: Iterable[Departure], now: float) -> None:
        """Record upstream departures that other processes have detected."""
        for departure in departures:
            service = self.services.get(departure.service)
            if service is not None:
                actions = service.dispatcher.record_departure(
                    departure.upstream, departure.incarnation, now
                )
                service.apply(actions)

    def set_probe_share(self, share: float, now: float) -> None:
        """Set the probe budget of the host; each entry process gets an equal part.

        Parameters
        ----------
        share : float
            Share of the deployment's probe budget, 0 to 1.
        now : float
            Present monotonic time, in seconds.
        """
        self._probe_share = share / self._settings.entry_processes
        for service in self.services.values():
            service.apply(service.dispatcher.set_probe_share(self._probe_share, now))

    def run(self, request: CallerRequest, now: float) -> LocalResponse | None:
        """Pass a request to the dispatcher of its service."""
        assert request.route is not None
        request.service = choose_service(request.route, self._random)
        service = self.services.get(request.service)
        if service is None:
            return make_refusal(OutcomeReason.NO_UPSTREAM)
        self._last_request_id += 1
        request.request_id = self._last_request_id
        request.dispatch = service
        service.submit(request, now)
        return None

    def abandon(self, request: CallerRequest, now: float) -> None:
        """Stop work on a request whose caller has disconnected."""
        if isinstance(request.dispatch, ServiceDispatch):
            request.dispatch.abandon(request, now)

    def end(self, request: CallerRequest, outcome: Outcome) -> None:
        """Do nothing; the dispatcher has already recorded the end."""

    def abort_stalled_streams(self, now: float) -> None:
        """Abort streams that made no progress within the stall timeout."""
        for service in self.services.values():
            service.abort_stalled_streams(now)

    def abort_all(self) -> None:
        """End all requests, because the process is about to be killed."""
        for service in self.services.values():
            service.abort_all()

    def log_cold_upstreams(self, now: float) -> None:
        """Count what went to cold upstreams or was held back, and write a line about it."""
        limits = self._cold_limits
        if limits is None:
            return
        attempts, held_back = limits.pop_statistics()
        limits.prune(now)
        cold = sum(service.dispatcher.count_cold(now) for service in self.services.values())
        if not (attempts or held_back or cold):
            return
        self._counters.incr("cold.attempts", attempts)
        self._counters.incr("cold.held_back", held_back)
        self._counters.incr("cold.upstream_seconds", cold)
        log_event("cold_upstreams", count=cold, attempts=attempts, held_back=held_back)

    def snapshot(self, now: float) -> dict[str, Any]:
        """Return the state of each upstream, by service."""
        views: dict[str, Any] = {}
        for name, service in self.services.items():
            views[name] = [
                {
                    **view.member._asdict(),
                    "in_flight": view.in_flight,
                    "report": view.report._asdict() if view.report is not None else None,
                    "report_age_s": view.report_age_s,
                    "ejected": view.ejected,
                }
                for view in service.dispatcher.snapshot(now)
            ]
        return views
