"""Members of one service, and the incarnations that have left it."""

from collections.abc import Iterable
from typing import NamedTuple

from .actions import Exclusion, Member, UpstreamState

__all__ = ["MAX_DEPARTURES", "MemberDeparture", "Membership"]

# Departures kept of upstreams that are no longer members, in case an outdated list names them.
MAX_DEPARTURES = 8192


class MemberDeparture(NamedTuple):
    """An upstream that left: this incarnation and all earlier ones get no new requests."""

    upstream: str
    incarnation: int


class Membership:
    """Merges the host list, load reports, and departures observed by other processes.

    A departure is stored with its incarnation, so an outdated host list or report cannot bring
    a leaving upstream back; only a higher incarnation can. An upstream that is absent from the
    host list gets no new requests, but does not count as departed, since a stale list may lack
    a new upstream that is alive.
    """

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._departed: dict[str, int] = {}
        # Evacuated data centres, None while they are unknown.
        self._evacuated: frozenset[str] | None = frozenset()

    @property
    def members(self) -> dict[str, Member]:
        """Members of the latest host list, including departed ones."""
        return self._members

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres that are known to be evacuated."""
        return self._evacuated or frozenset()

    def set_evacuated(self, data_centres: frozenset[str] | None) -> list[str]:
        """Replace the evacuated data centres, and return the upstreams that are free again.

        Parameters
        ----------
        data_centres : frozenset of str or None
            Evacuated data centres; None while they are unknown, so that no upstream is usable.
        """
        before, self._evacuated = self.evacuated, data_centres
        if data_centres is None:
            return []
        lifted = before - data_centres
        return [name for name, member in self._members.items() if member.data_centre in lifted]

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the host list, but keep members whose reports gave a higher incarnation."""
        merged: dict[str, Member] = {}
        for member in members:
            known = self._members.get(member.upstream)
            if known is not None and known.incarnation > member.incarnation:
                member = known
            merged[member.upstream] = member
            if member.state is UpstreamState.DRAINING:
                self.record_departure(member.upstream, member.incarnation)
        self._members = merged

    def record_state(self, upstream: str, state: UpstreamState, incarnation: int) -> bool:
        """Record the state that an upstream reports.

        Returns
        -------
        bool
            False if the report comes from an earlier incarnation or an unknown upstream.
        """
        member = self._members.get(upstream)
        if member is None or incarnation < member.incarnation:
            return False
        if state is UpstreamState.DRAINING:
            self.record_departure(upstream, incarnation)
        if state is not member.state or incarnation != member.incarnation:
            self._members[upstream] = member._replace(state=state, incarnation=incarnation)
        return True

    def record_departure(self, upstream: str, incarnation: int) -> bool:
        """Record that an incarnation leaves, and return whether that was unknown."""
        if self._departed.get(upstream, -1) >= incarnation:
            return False
        # Inserted again, so that the latest departures come last.
        self._departed.pop(upstream, None)
        self._departed[upstream] = incarnation
        if len(self._departed) > MAX_DEPARTURES + len(self._members):
            oldest = next(name for name in self._departed if name not in self._members)
            del self._departed[oldest]
        return True

    def is_usable(self, upstream: str) -> bool:
        """Return whether the upstream may receive new requests."""
        return self.find_absence(upstream) is None

    def find_absence(self, upstream: str) -> Exclusion | None:
        """Return why the upstream may not receive new requests, None if it may."""
        member = self._members.get(upstream)
        if member is None:
            return Exclusion.UNKNOWN
        if self._evacuated is None:
            return Exclusion.EVACUATIONS_UNKNOWN
        if member.data_centre in self._evacuated:
            return Exclusion.EVACUATED
        if member.incarnation <= self._departed.get(upstream, -1):
            return Exclusion.LEAVING
        return None

    def list_departures(self) -> list[MemberDeparture]:
        """Return the departures known so far, for the exchange with other processes."""
        return [MemberDeparture(upstream, number) for upstream, number in self._departed.items()]
