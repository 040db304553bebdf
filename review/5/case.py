"""Open connections to the store go silent, and replicas return data that is seconds old."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins import (  # noqa: E402
    CONTACT_S,
    Case,
    Instance,
    Node,
    SilencingProxy,
    Store,
    Traffic,
    make_config,
    run_case,
)

# "May return data that is seconds old"; the bench's own figure for stale reads is 3.
REPLICA_LAG_S = 3.0
CONFIG_APPLY_S = 2.0
WATCHED_S = 6.0
# The watch that goes silent has just begun, so that its own timeout comes late.
MAX_WATCH_AGE_S = 1.0


def make_rules(service: str) -> list[dict[str, object]]:
    """Return the only route, which goes to a service."""
    return [
        {
            "name": "r-actions",
            "kind": "unsafe",
            "latencyGoal": "400ms",
            "priority": 1,
            "match": {"pathPrefix": "/actions/"},
            "action": {"service": service, "timeout": "1000ms", "attempts": 2},
        }
    ]


async def play(case: Case) -> str:
    """Move the route after `contact` has passed; return how CONFIG was broken."""
    store = Store(case.record)
    store.replica_lag_s = REPLICA_LAG_S
    await store.start()
    proxy = SilencingProxy(case.record)
    await proxy.start(store.address)
    node = Node(case.folder, "frontend-tartu-a-1", proxy.address, case.record)
    case.nodes.append(node)
    services = ["desk-old", "desk-new"]
    instances = [
        Instance(f"{service}-{number}", service, case.record, 0.05)
        for service in services
        for number in (1, 2)
    ]
    for instance in instances:
        await instance.start()
        store.put("servers", instance.name, instance.describe())
    store.put("config", "main", make_config(7, make_rules("desk-old"), services))
    node.start()
    await node.wait_ready()
    await asyncio.sleep(CONTACT_S + 1.0)
    traffic = Traffic(node.port, "POST", "/actions/adopt", 30.0, case.record)
    traffic.start()
    while (age_s := store.find_watch_age("config")) is None or age_s > MAX_WATCH_AGE_S:
        await asyncio.sleep(0.1)
    if case.has_trouble:
        proxy.silence_open_connections()
    await asyncio.sleep(CONTACT_S + 0.3)
    text = make_config(9, make_rules("desk-new"), services)
    acknowledged_at = store.put("config", "main", text)
    await asyncio.sleep(WATCHED_S)
    await traffic.stop()
    sent_late = {
        answer.attempt_id: answer.sent_at - acknowledged_at
        for answer in traffic.answers
        if answer.sent_at > acknowledged_at + CONFIG_APPLY_S
    }
    old = [
        sent_late[run.attempt_id]
        for instance in instances
        for run in instance.runs
        if instance.service == "desk-old" and run.attempt_id in sent_late
    ]
    case.record.add(f"{len(sent_late)} requests sent later than {CONFIG_APPLY_S} s after it")
    case.record.add(f"{len(old)} of them run by the old service")
    if not old:
        return ""
    return (
        f"CONFIG: {len(old)} requests sent later than {CONFIG_APPLY_S} s after the acknowledgement "
        f"were run by the old service, the last one sent {max(old):.2f} s after it"
    )


run_case(Path(__file__).resolve().parent, play)
