"""The promises that callers and instances can check."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from standins.node_caller import Answer

__all__ = ["Call", "find_violations"]

# Statuses that promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
# Part of the requests after the last fault that has to be answered.
RECOVERED_SHARE = 0.9


class Call(NamedTuple):
    """A request and what its caller got.

    Parameters
    ----------
    request_id : str
        Its id.
    idempotent : bool
        Whether it may run more than once.
    answer : Answer
        What the caller got; status 0 for a connection that ended.
    is_after_faults : bool
        Whether it was sent when all had had time to recover.
    key : str
        Key that it carried.
    node : str
        Name of the node that it was sent to.
    sent_at : float
        Time at which it was sent, in seconds of the machine's monotonic clock.
    ended_at : float
        Time at which its caller had the answer.
    batch : int
        Number of the requests that were sent together on a connection, negative if alone.
    """

    request_id: str
    idempotent: bool
    answer: Answer
    is_after_faults: bool
    key: str = ""
    node: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0
    batch: int = -1


def find_violations(calls: Iterable[Call], runs: Iterable[str]) -> list[str]:
    """Return a line for each promise that was broken.

    Parameters
    ----------
    calls : iterable of Call
        All calls of a run.
    runs : iterable of str
        Ids of the requests that instances ran, as often as they did.
    """
    calls = list(calls)
    counts = Counter(runs)
    violations: list[str] = []
    for call in calls:
        violations += _judge(call, counts[call.request_id])
    unasked = counts.keys() - {call.request_id for call in calls}
    violations += [f"{request_id}: ran, but no caller sent it" for request_id in sorted(unasked)]
    late = [call for call in calls if call.is_after_faults]
    answered = sum(call.answer.status == 200 for call in late)
    if answered < RECOVERED_SHARE * len(late):
        violations.append(f"after the faults {answered} of {len(late)} were answered")
    return violations


def _judge(call: Call, runs: int) -> list[str]:
    request_id, status = call.request_id, call.answer.status
    violations: list[str] = []
    if not call.idempotent and runs > 1:
        violations.append(f"{request_id}: ran {runs} times")
    if not call.idempotent and status in PROMISES and runs:
        violations.append(f"{request_id}: refused with {status}, but ran")
    if status == 404:
        violations.append(f"{request_id}: 404 for a configured route")
    if status == 200:
        name, _, signed = call.answer.fields.get("x-amaranthbend-response-signature", "").partition(
            "."
        )
        if signed != request_id or call.answer.body != f"{name} {request_id}".encode():
            violations.append(f"{request_id}: answer of another request, or not whole")
        if not runs:
            violations.append(f"{request_id}: answered, but never ran")
    return violations
