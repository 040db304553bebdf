"""A safe request with a long body is hedged while one instance is slow."""

import asyncio
import hashlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins import (  # noqa: E402
    CONTACT_S,
    Case,
    Instance,
    Node,
    Store,
    make_config,
    run_case,
    send_request,
)

BODY_BYTES = 2_000_000
REQUESTS = 24
USUAL_RUN_S = 0.2
# "Instances turn slow" (`srv_slow`): one in three, five times as long. The days of the site file
# go up to a share of 0.4 and twelve times as long.
INSTANCES = 3
SLOW_FACTOR = 5.0


async def play(case: Case) -> str:
    """Send long bodies while one instance is slow; return how UNASKED was broken."""
    store = Store(case.record)
    await store.start()
    node = Node(case.folder, "frontend-tartu-a-1", store.address, case.record)
    case.nodes.append(node)
    instances = [
        Instance(f"i-{number}", "adopt-desk", case.record, USUAL_RUN_S)
        for number in range(1, INSTANCES + 1)
    ]
    for instance in instances:
        await instance.start()
        store.put("servers", instance.name, instance.describe())
    rule: dict[str, object] = {
        "name": "r-matching",
        "kind": "safe",
        "latencyGoal": "1000ms",
        "priority": 2,
        "match": {"pathPrefix": "/matching/"},
        "action": {"service": "adopt-desk", "timeout": "3000ms", "attempts": 2},
    }
    store.put("config", "main", make_config(7, [rule], ["adopt-desk"]))
    node.start()
    await node.wait_ready()
    await asyncio.sleep(CONTACT_S + 1.0)
    if case.has_trouble:
        instances[0].run_s = USUAL_RUN_S * SLOW_FACTOR
        case.record.add("i-1 turns slow")
    source = random.Random(1)
    wanted = {}
    wrong = []
    for number in range(REQUESTS):
        body = source.randbytes(BODY_BYTES)
        answer = await send_request(node.port, "POST", f"/matching/{number}", 4000, body)
        wanted[answer.attempt_id] = hashlib.sha256(body).hexdigest()
        runs = [run for i in instances for run in i.runs if run.attempt_id == answer.attempt_id]
        changed = [run for run in runs if run.digest != wanted[answer.attempt_id]]
        case.record.add(
            f"client: {answer.attempt_id} sent {BODY_BYTES} bytes, status {answer.status}, after "
            f"{answer.ended_at - answer.sent_at:.3f} s; bodies run: "
            f"{[run.body_bytes for run in runs]}, of them changed {len(changed)}",
            answer.ended_at,
        )
        wrong += [(run, answer) for run in changed]
    if not wrong:
        return ""
    successes = sum(200 <= answer.status < 300 for _, answer in wrong)
    return (
        f"UNASKED: {len(wrong)} of {REQUESTS} requests were run with a changed body, and "
        f"{successes} of these clients were told of success"
    )


run_case(Path(__file__).resolve().parent, play)
