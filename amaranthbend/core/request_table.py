"""Requests that have not ended, and the actions that end them."""

from collections.abc import Iterable

from .actions import Action, Cancel, Complete, RequestInfo
from .attempts import RequestState, make_end_action
from .outcomes import Outcome, OutcomeReason

__all__ = ["RequestTable", "cancel_attempts"]


def cancel_attempts(record: RequestState) -> list[Action]:
    """Return the actions that cancel the attempts of a request that are in flight."""
    return [Cancel(record.info.request_id, number) for number in sorted(record.running)]


class RequestTable:
    """Holds each request from its submission to its one end.

    Parameters
    ----------
    retry_after_s : float
        Time after which refused callers are asked to come back.
    """

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s
        self._records: dict[int, RequestState] = {}

    def check_new(self, request: RequestInfo) -> None:
        """Check that a request has not been submitted before.

        Raises
        ------
        ValueError
            If a request with the same identifier has not ended.
        """
        if request.request_id in self._records:
            raise ValueError(f"request {request.request_id} is already submitted; use a new id")

    def add(self, request: RequestInfo) -> RequestState:
        """Hold a new request, and return its state."""
        record = RequestState(request)
        self._records[request.request_id] = record
        return record

    def get(self, request_id: int) -> RequestState | None:
        """Return the state of a request, None if it has ended."""
        return self._records.get(request_id)

    def require(self, request_id: int) -> RequestState:
        """Return the state of a request that has not ended."""
        return self._records[request_id]

    def refuse(self, request: RequestInfo, reason: OutcomeReason) -> Action:
        """End a request that was not added."""
        return make_end_action(RequestState(request), reason, self.retry_after_s)

    def end(self, record: RequestState, reason: OutcomeReason) -> Action:
        """End a request that has no complete answer."""
        del self._records[record.info.request_id]
        return make_end_action(record, reason, self.retry_after_s)

    def end_all(self, request_ids: Iterable[int], reason: OutcomeReason) -> list[Action]:
        """End requests that have no complete answer."""
        return [self.end(self.require(request_id), reason) for request_id in request_ids]

    def complete(self, record: RequestState, attempt: int) -> list[Action]:
        """End a request with the response of an attempt; others in flight are cancelled."""
        request_id = record.info.request_id
        del self._records[request_id]
        actions = cancel_attempts(record)
        actions.append(Complete(request_id, Outcome.ANSWERED, None, attempt))
        return actions

    def fail(self, record: RequestState, reason: OutcomeReason) -> list[Action]:
        """End a request, with the upstream's own failure if there is one."""
        if record.fallback_attempt:
            return self.complete(record, record.fallback_attempt)
        return [*cancel_attempts(record), self.end(record, reason)]
