"""A node process that has lost the store sends on to an instance that says that it leaves."""

import asyncio
import time
from pathlib import Path

from review.third import (
    SUCCESS,
    Case,
    Node,
    StoreLink,
    has_trouble,
    make_request,
    read_answer,
    run_case,
)
from standins.instance import Instance

DRAIN_S = 2.0
# `core_cut` cuts one machine off from the store for 5.5 s in the site file.
CUT_S = 5.5
# The instance reports `draining` so long after the cut, and ends so long after its report has been
# accepted: the drain period and a little longer.
REPORT_AFTER_S = 0.3
LEAVES_AFTER_S = 4.6
CLIENTS = 16
PAUSE_S = 0.03
RUN_S = 0.3
CONFIGURATION = {
    "version": 7,
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeout": "10s",
        "idleTimeout": "15s",
    },
    "listeners": [
        {
            "host": "shop.example",
            "rules": [
                {
                    "name": f"route-{kind}",
                    "kind": kind,
                    "latencyGoal": "400ms",
                    "priority": 1,
                    "match": {"pathPrefix": f"/{kind}/"},
                    "action": {"service": "desk", "timeout": "1s", "attempts": 2},
                }
                for kind in ("safe", "unsafe")
            ],
        }
    ],
    "clusters": [{"name": "desk", "healthCheckPath": "/health", "maxConnections": 220}],
}


class LeavingInstance(Instance):
    """An instance that says in all its answers when it leaves, as the users' pages ask."""

    is_leaving = False

    def _describe_self(self) -> dict[str, str]:
        fields = super()._describe_self()
        return {**fields, "Server-Leaving": "1"} if self.is_leaving else fields


class Sent:
    """A request as its client sees it."""

    def __init__(self, name: str, node: str) -> None:
        self.name = name
        self.node = node
        self.at = time.monotonic()
        self.answered_at = 0.0
        self.status = -1
        self.is_from_leaving = False


async def call(node: Node, sent: Sent, kind: str) -> None:
    """Send one request on a new connection, and note its answer."""
    method = "POST" if kind == "unsafe" else "GET"
    try:
        reader, writer = await node.connect()
    except OSError:
        sent.status = 0
        return
    sent.at = time.monotonic()
    writer.write(make_request(f"/{kind}/x", sent.name, method=method, deadline_ms=1500))
    answer = await read_answer(reader, 4.0)
    sent.answered_at = time.monotonic()
    sent.status = answer.status
    sent.is_from_leaving = answer.fields.get("server-leaving") == "1"
    writer.close()


async def send_traffic(node: Node, name: str, sent: list[Sent], until: float) -> None:
    """Send safe and unsafe requests by turns."""
    number = 0
    while time.monotonic() < until:
        number += 1
        request = Sent(f"{name}-{number}", node.name)
        sent.append(request)
        await call(node, request, "unsafe" if number % 2 else "safe")
        await asyncio.sleep(PAUSE_S)


async def check(case: Case) -> bool:
    """Return whether nothing reached the instance later than the drain period allows."""
    case.start_store()
    case.configure(CONFIGURATION)
    instances = []
    for number in range(4):
        instance = LeavingInstance(f"i-desk-{number}", "desk", "tartu-a")
        instance.slots = 6
        instance.run_s = RUN_S
        instances.append(await case.add_instance(instance))
    leaving = instances[0]
    link = StoreLink(case)
    await link.start()
    cut_node = await case.add_node(link.address)
    other_node = await case.add_node()
    await case.wait_ready()
    await asyncio.sleep(4.0)
    begun_at = time.monotonic()
    until = begun_at + REPORT_AFTER_S + LEAVES_AFTER_S + 1.0
    sent: list[Sent] = []
    clients = [
        asyncio.ensure_future(send_traffic(node, f"{node.name}-{client}", sent, until))
        for node in (cut_node, other_node)
        for client in range(CLIENTS // 2)
    ]
    if has_trouble():
        case.note(f"{cut_node.name} is cut off from the store for {CUT_S} s")
        link.cut()
        asyncio.get_running_loop().call_later(CUT_S, link.heal)
    await asyncio.sleep(REPORT_AFTER_S)
    leaving.is_leaving = True
    case.store.put("servers", leaving.name, leaving.describe("draining"))
    case.note(f"the store has accepted that {leaving.name} is draining")
    await asyncio.sleep(LEAVES_AFTER_S)
    case.store.remove("servers", leaving.name)
    await leaving.stop()
    case.note(f"{leaving.name} has ended")
    await asyncio.gather(*clients)
    return judge(case, leaving, sent)


def judge(case: Case, leaving: LeavingInstance, sent: list[Sent]) -> bool:
    """Write what happened to the record, and return whether the rule held."""
    ran_at = {name: at for (name, _deadline), at in zip(leaving.ran, leaving.ran_at, strict=True)}
    held = True
    for node in case.nodes:
        told = [one.answered_at for one in sent if one.node == node.name and one.is_from_leaving]
        if not told:
            case.note(f"{node.name} has passed on no answer with Server-Leaving")
            continue
        told_at = min(told)
        late = [
            one
            for one in sent
            if one.node == node.name and one.name in ran_at and one.at > told_at + DRAIN_S
        ]
        case.note(
            f"{node.name} has passed on {len(told)} answers with Server-Leaving; "
            f"{len(late)} requests sent later than the drain period reached the instance"
        )
        for one in late:
            case.note(
                f"  {one.name} sent {one.at - told_at:.2f} s after the first such answer, "
                f"run by {leaving.name}, status {one.status}"
            )
        lost = [one for one in late if one.status != SUCCESS]
        case.note(f"{len(lost)} of them were not answered with success")
        held = held and not late
    return held


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, check)
