"""Limits the requests of teams over all hosts."""

from typing import Protocol
from weakref import WeakSet

from ..adapters.caller import CallerRequest
from ..core.caller_times import has_lost_goal
from ..core.outcomes import Outcome, OutcomeReason
from ..core.quotas import Admission
from .local_responses import LocalResponse, make_refusal

__all__ = ["QuotaFilter", "QuotaSource"]


class QuotaSource(Protocol):
    """Decides on the requests of teams."""

    def admit(self, team: str, is_late: bool, now: float) -> Admission:
        """Return whether a request of a team is admitted, and count it if so."""

    def refund(self, team: str) -> None:
        """Take back the count of a request that has not run."""


class QuotaFilter:
    """Refuses requests of teams that have used up their quota.

    Retries and hedges are sent by the filter behind this one, so that they count once.

    Parameters
    ----------
    source : QuotaSource or None
        Decides on requests; None if quotas are disabled.
    """

    def __init__(self, source: QuotaSource | None) -> None:
        self._source = source
        # Requests that were counted and have not ended.
        self._counted: WeakSet[CallerRequest] = WeakSet()

    def run(self, request: CallerRequest, now: float) -> LocalResponse | None:
        """Count a request whose body is complete or streamed, or refuse it."""
        if self._source is None or request.team is None or request.team.rate_per_s <= 0:
            return None
        assert request.route is not None
        is_late = has_lost_goal(request.route.latency_goal_s, request.elapsed_s)
        admission = self._source.admit(request.team.name, is_late, now)
        if not admission.is_admitted:
            return make_refusal(OutcomeReason.QUOTA_EXCEEDED, admission.retry_after_s)
        self._counted.add(request)
        return None

    def abandon(self, request: CallerRequest, now: float) -> None:
        """Do nothing; `end` follows."""

    def end(self, request: CallerRequest, outcome: Outcome) -> None:
        """Refund a request that is known not to have run."""
        if self._source is None or request not in self._counted:
            return
        self._counted.discard(request)
        if outcome is Outcome.NOT_RUN and request.team is not None:
            self._source.refund(request.team.name)
