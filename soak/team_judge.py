"""The promises about teams, quotas, evacuations, cold instances and pipelined requests."""

from collections import defaultdict
from collections.abc import Iterator

from .evidence import Arrival, Evidence, KeyPeriod, count_most
from .judge import Call

__all__ = [
    "APPLY_S",
    "COLD_OVERSHOOT",
    "COLD_RATE",
    "COLD_SLACK",
    "EVACUATION_S",
    "QUOTA_BURST",
    "QUOTA_OVERSHOOT",
    "QUOTA_RATE",
    "QUOTA_SLACK",
    "QUOTA_WINDOW_S",
    "find_team_violations",
]

# Bounds of the platform, see docs/design/README.md; the nodes get them in their settings.
APPLY_S = 2.5
EVACUATION_S = 5.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 8.0
COLD_WINDOW_S = 1.0
# Limits of the configuration.
COLD_RATE = 3.3
QUOTA_RATE = 10.0
QUOTA_BURST = 10.0
KEY_FIELD = "authorization"
TEAM_FIELD = "x-amaranthbend-tenant"
UNKNOWN_KEY = 401


def find_team_violations(evidence: Evidence) -> list[str]:
    """Return a line for each promise that was broken."""
    calls = {call.request_id: call for call in evidence.calls}
    violations: list[str] = []
    for arrival in evidence.arrivals:
        call = calls.get(arrival.request_id)
        if call is None:
            violations.append(f"{arrival.request_id}: sent without a key")
            continue
        violations += _judge_key(evidence, call, arrival)
        violations += _judge_evacuation(evidence, call, arrival)
    sent = {arrival.request_id for arrival in evidence.arrivals}
    for call in evidence.calls:
        violations += _judge_refusal(evidence, call, call.request_id in sent)
        violations += _judge_heads(evidence, call)
    violations += _judge_quotas(evidence, calls)
    violations += _judge_cold_instances(evidence)
    violations += _judge_batches(evidence)
    return violations


def _find_key(evidence: Evidence, call: Call) -> KeyPeriod | None:
    return evidence.records.keys.get(call.key)


def _judge_key(evidence: Evidence, call: Call, arrival: Arrival) -> Iterator[str]:
    """Check that nothing is sent with an unknown key, or with a withdrawn one after its time."""
    key = _find_key(evidence, call)
    if key is None or arrival.at < key.added_at:
        yield f"{call.request_id}: sent with an unknown key"
        return
    if evidence.records.had_to_know(call.node, key.withdrawn_at, arrival.at, APPLY_S):
        late_s = arrival.at - key.withdrawn_at
        yield f"{call.request_id}: sent by {call.node} {late_s:.2f} s after its key was withdrawn"


def _judge_evacuation(evidence: Evidence, call: Call, arrival: Arrival) -> Iterator[str]:
    """Check that nothing is sent to an evacuated data centre after its time."""
    for evacuation in evidence.records.evacuations:
        if evidence.data_centres[arrival.instance] != evacuation.target:
            continue
        if arrival.at >= evacuation.end:
            continue
        if evidence.records.had_to_know(call.node, evacuation.begin, arrival.at, EVACUATION_S):
            late_s = arrival.at - evacuation.begin
            yield (
                f"{call.request_id}: sent by {call.node} to {arrival.instance} {late_s:.2f} s after"
                f" {evacuation.target} was evacuated"
            )


def _judge_refusal(evidence: Evidence, call: Call, is_sent: bool) -> Iterator[str]:
    """Check that a key counts as unknown only where it is, and then nothing is sent.

    A node that may have missed the version with the key must answer 503, so there is no
    exception for outages.
    """
    if call.answer.status != UNKNOWN_KEY:
        return
    if is_sent:
        yield f"{call.request_id}: refused with 401, but sent"
    key = _find_key(evidence, call)
    if key is None:
        return
    if call.sent_at > key.added_at + APPLY_S and call.ended_at < key.withdrawn_at:
        yield f"{call.request_id}: 401 by {call.node} for a key of {key.team}"


def _judge_heads(evidence: Evidence, call: Call) -> Iterator[str]:
    """Check that instances see the name of the team and never the key."""
    key = _find_key(evidence, call)
    for head in evidence.heads.get(call.request_id, []):
        if KEY_FIELD in head or any(call.key in value for value in head.values() if call.key):
            yield f"{call.request_id}: the instance got the key"
        if key is not None and head.get(TEAM_FIELD) != key.team:
            yield f"{call.request_id}: the instance got the team {head.get(TEAM_FIELD)}"


def _judge_quotas(evidence: Evidence, calls: dict[str, Call]) -> Iterator[str]:
    """Check the requests of the team with a quota that ran in any window."""
    first: dict[str, float] = {}
    for arrival in sorted(evidence.arrivals):
        call = calls.get(arrival.request_id)
        key = None if call is None else _find_key(evidence, call)
        if key is not None and key.team == "limited" and arrival.request_id in evidence.heads:
            first.setdefault(arrival.request_id, arrival.at)
    most = count_most(first.values(), QUOTA_WINDOW_S)
    bound = (QUOTA_RATE * QUOTA_WINDOW_S + QUOTA_BURST) * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK
    if most > bound:
        yield f"quota: {most} requests ran in {QUOTA_WINDOW_S:g} s, bound {bound:g}"


def _judge_cold_instances(evidence: Evidence) -> Iterator[str]:
    """Check what cold instances got in any second."""
    bound = COLD_RATE * COLD_OVERSHOOT + COLD_SLACK
    for cold in evidence.records.colds:
        times = [
            arrival.at
            for arrival in evidence.arrivals
            if arrival.instance == cold.target and cold.begin <= arrival.at < cold.end
        ]
        most = count_most(times, COLD_WINDOW_S)
        if most > bound:
            yield f"{cold.target}: got {most} requests in a second while cold, bound {bound:g}"


def _judge_batches(evidence: Evidence) -> Iterator[str]:
    """Check the order of pipelined responses, and what ran behind one that closes."""
    batches: dict[int, list[Call]] = defaultdict(list)
    for call in evidence.calls:
        if call.batch >= 0:
            batches[call.batch].append(call)
    for batch in batches.values():
        ids = {call.request_id for call in batch}
        is_closed = False
        for call in batch:
            signature = call.answer.fields.get("x-amaranthbend-response-signature", "")
            signed = signature.partition(".")[2]
            if signed in ids and signed != call.request_id:
                yield f"{call.request_id}: got the pipelined response of {signed}"
            if is_closed and not call.idempotent and call.request_id in evidence.heads:
                yield f"{call.request_id}: ran behind a response that closed the connection"
            is_closed = is_closed or call.answer.fields.get("connection") == "close"
