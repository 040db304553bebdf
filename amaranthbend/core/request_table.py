"""Table of pending requests, and the actions that end them."""

from collections.abc import Callable, Iterable

from .actions import Action, Cancel, Complete, RequestInfo
from .attempts import RequestState, make_end_action
from .outcomes import Outcome, OutcomeReason

__all__ = ["RequestTable", "cancel_attempts"]


def cancel_attempts(record: RequestState) -> list[Action]:
    """Return the actions that cancel all attempts in flight of a request."""
    return [Cancel(record.info.request_id, number) for number in sorted(record.running)]


class RequestTable:
    """Tracks each request from its submission until the action that ends it.

    Parameters
    ----------
    retry_after_s : float
        Delay in seconds after which a refused caller should retry.
    """

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s
        # Returns the delay for one refused request; None for the same delay for all.
        self.estimate_retry_after: Callable[[RequestInfo, OutcomeReason], float] | None = None
        self._records: dict[int, RequestState] = {}

    def check_new(self, request: RequestInfo) -> None:
        """Check that the identifier of a request is not in use.

        Raises
        ------
        ValueError
            If a request with the same identifier has not ended yet.
        """
        if request.request_id in self._records:
            raise ValueError(
                f"request {request.request_id} has not ended yet; use a new identifier"
            )

    def add(self, request: RequestInfo) -> RequestState:
        """Add a new request, and return its state."""
        record = RequestState(request)
        self._records[request.request_id] = record
        return record

    def get(self, request_id: int) -> RequestState | None:
        """Return the state of a request, or None if it has ended."""
        return self._records.get(request_id)

    def list_pending(self) -> list[RequestState]:
        """Return the states of all requests that have not ended."""
        return list(self._records.values())

    def require(self, request_id: int) -> RequestState:
        """Return the state of a request that must be pending."""
        return self._records[request_id]

    def refuse(self, request: RequestInfo, reason: OutcomeReason) -> Action:
        """Return the action that refuses a request that was not added."""
        return make_end_action(RequestState(request), reason, self._get_delay(request, reason))

    def end(self, record: RequestState, reason: OutcomeReason) -> Action:
        """End a request that has no complete response."""
        del self._records[record.info.request_id]
        return make_end_action(record, reason, self._get_delay(record.info, reason))

    def _get_delay(self, request: RequestInfo, reason: OutcomeReason) -> float:
        if self.estimate_retry_after is None:
            return self.retry_after_s
        return self.estimate_retry_after(request, reason)

    def end_all(self, request_ids: Iterable[int], reason: OutcomeReason) -> list[Action]:
        """End requests that have no complete response."""
        return [self.end(self.require(request_id), reason) for request_id in request_ids]

    def complete(self, record: RequestState, attempt: int) -> list[Action]:
        """End a request with the response of an attempt, and cancel its other attempts."""
        request_id = record.info.request_id
        del self._records[request_id]
        actions = cancel_attempts(record)
        actions.append(Complete(request_id, Outcome.ANSWERED, None, attempt))
        return actions

    def fail(self, record: RequestState, reason: OutcomeReason) -> list[Action]:
        """End a request without success.

        The caller gets the error response of an upstream if there is one, else the reason.
        """
        if record.fallback_attempt:
            return self.complete(record, record.fallback_attempt)
        return [*cancel_attempts(record), self.end(record, reason)]
