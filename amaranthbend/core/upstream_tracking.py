"""What a dispatcher knows of the upstreams of its service: members, loads, health, coldness."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .actions import Exclusion, LoadReport, Member, RequestInfo, UpstreamState, UpstreamView
from .cold_limits import ColdLimits
from .ejection import Ejector
from .limits import ConcurrencyLimit
from .membership import MemberDeparture, Membership
from .policy import ServicePolicy
from .routing import Router, UpstreamLoad

if TYPE_CHECKING:
    from .explanations import UpstreamAssessment

__all__ = ["UpstreamTracker"]


class UpstreamTracker:
    """Keeps the load records of the upstreams of one service up to date.

    Parameters
    ----------
    policy : ServicePolicy
        Settings of the service.
    data_centre : str
        Data centre of this process.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, policy: ServicePolicy, data_centre: str, seed: int) -> None:
        self._policy = policy
        self._membership = Membership()
        self._router = Router(data_centre, policy.slots_per_upstream, seed)
        self._ejector = Ejector(seed)
        self._concurrency_limit = ConcurrencyLimit(policy.slots_per_upstream)
        self._cold_limits: ColdLimits | None = None
        self._loads: dict[str, UpstreamLoad] = {}

    @property
    def policy(self) -> ServicePolicy:
        """Settings of the service that are in force."""
        return self._policy

    def set_cold_limits(self, limits: ColdLimits) -> None:
        """Set the limits on what this host sends to cold upstreams."""
        self._cold_limits = limits
        self._limit_cold()

    def count_cold(self, now: float) -> int:
        """Return the number of usable upstreams that are limited because they are cold."""
        return sum(
            load.usable and load.cold_gate is not None and load.cold_gate.is_cold(now)
            for load in self._loads.values()
        )

    def list_departures(self) -> list[MemberDeparture]:
        """Return the known departures, for the exchange with other processes."""
        return self._membership.list_departures()

    def snapshot(self, now: float) -> list[UpstreamView]:
        """Return the known state and load of each upstream."""
        return [load.describe(now) for load in self._loads.values()]

    def assess_upstreams(self, now: float) -> "tuple[UpstreamAssessment, ...]":
        """Return how the upstreams stand in the choice for a new request, in order."""
        # Imported when first asked, as callers wait while the modules of the process load.
        from .explanations import assess_upstreams

        return assess_upstreams(
            self._loads.values(), self._router.slots, self._ejector.mean_duration_s, now
        )

    def is_deferrable(self, _request: RequestInfo, _now: float) -> bool:
        """Return whether a request gives way to more urgent ones; this changes nothing."""
        return False

    def _limit_cold(self) -> None:
        """Apply the limits on cold upstreams."""
        policy = self._policy
        self._router.limit_cold(self._cold_limits, policy.name, policy.cold_rate_per_s)

    def _replace_members(self, members: Iterable[Member], now: float) -> None:
        """Replace the members, and make or drop their load records."""
        is_first = not self._membership.members
        before = dict(self._membership.members)
        self._membership.set_members(members)
        for upstream in before.keys() - self._membership.members.keys():
            self._loads.pop(upstream).set_absence(Exclusion.UNKNOWN)
            self._ejector.remove(upstream)
        for upstream, member in self._membership.members.items():
            known = before.get(upstream)
            if known is None:
                self._loads[upstream] = self._router.make_load(member)
            load = self._loads[upstream]
            is_cold = member.state is UpstreamState.COLD
            is_new = known is None or known.incarnation != member.incarnation
            if is_new:
                # After the start of this process all upstreams are unknown to it, but only the
                # cold ones need a slow start.
                load.health = self._ejector.add(upstream, in_slow_start=not is_first or is_cold)
            if load.cold_gate is not None:
                load.cold_gate.record_entry(is_cold, is_new and not is_first, now)
        self._router.set_loads(self._loads.values())
        for load in self._loads.values():
            self._update_load(load)
        self._concurrency_limit.set_maximum(self._router.count_slots())

    def _replace_evacuated(self, data_centres: frozenset[str] | None, now: float) -> None:
        """Replace the evacuated data centres, None while they are unknown."""
        for upstream in self._membership.set_evacuated(data_centres):
            # All hosts use the upstream again at the same time, and it looks idle.
            load = self._loads[upstream]
            load.health = self._ejector.add(upstream, in_slow_start=True)
            if load.cold_gate is not None:
                load.cold_gate.assume_cold(now)
        for load in self._loads.values():
            self._update_load(load)

    def _record_report(self, upstream: str, report: LoadReport, now: float) -> bool:
        """Record a load report, and return whether it was used."""
        before = self._membership.members.get(upstream)
        if not self._membership.record_state(upstream, report.state, report.incarnation):
            return False
        load = self._loads[upstream]
        is_new = before is not None and before.incarnation != report.incarnation
        if is_new:
            load.health = self._ejector.add(upstream, in_slow_start=True)
        if load.cold_gate is not None and is_new:
            load.cold_gate.assume_cold(now)
        if load.cold_gate is not None and report.cold_s is not None:
            load.cold_gate.record_statement(report.cold_s, now)
        # The upstream frees the slot of a request before it adds the report to the response,
        # so that the report no longer counts that request.
        own_requests = load.in_flight if load.probe_pending else max(0, load.in_flight - 1)
        load.probe_pending = False
        load.record_report(report, own_requests, now)
        return True

    def _update_load(self, load: UpstreamLoad) -> None:
        """Update a load record from the membership and the ejector."""
        upstream = load.member.upstream
        load.member = self._membership.members[upstream]
        was_usable = load.usable
        load.set_absence(self._membership.find_absence(upstream))
        load.ejected = self._ejector.is_ejected(upstream)
        load.max_in_flight = self._ejector.count_allowed(upstream)
        if was_usable != load.usable:
            self._concurrency_limit.set_maximum(self._router.count_slots())

    def _readmit(self, now: float) -> None:
        """Readmit the upstreams whose ejection time has passed."""
        for upstream in self._ejector.readmit_due(now):
            self._update_load(self._loads[upstream])
