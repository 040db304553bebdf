"""Entries of another writer that cannot be read or used: the others hold."""

import asyncio
import json
from typing import Any

import pytest

from standins.instance import Instance
from standins.processes import pick_endpoint
from standins.store import RawJson

from .node_cases import ADDRESS, NodeCase, run_node, wait_until

# Changes must be in force within 2 s in the smaller deployments.
IN_FORCE_S = 2.0
GOOD = {
    "service": "desk",
    "address": f"{ADDRESS}:1",
    "zone": "huye",
    "slots": 4,
    "state": "ready",
    "born": 1,
}


def make_raw(field: str, text: bytes) -> RawJson:
    """Return a good entry in which one field has another text."""
    return RawJson(json.dumps({**GOOD, field: "@"}).encode().replace(b'"@"', text))


def nest(depth: int) -> bytes:
    """Return lists in lists."""
    return b"[" * depth + b"]" * depth


ODD_VALUES: dict[str, Any] = {
    "nested 40 deep": make_raw("slots", nest(40)),
    "nested 900 deep": make_raw("slots", nest(900)),
    "nested 2,000 deep": make_raw("slots", nest(2000)),
    "nested 200,000 deep": make_raw("slots", nest(200_000)),
    "objects nested deep": make_raw("zone", b'{"a":' * 3000 + b"1" + b"}" * 3000),
    "unknown field nested deep": make_raw("note", nest(2000)),
    "integer of 5,000 digits": make_raw("slots", b"9" * 5000),
    "unknown field of 5,000 digits": make_raw("note", b"9" * 5000),
    "infinite number": make_raw("slots", b"1e999"),
    "negative number": make_raw("slots", b"-1"),
    "start time beyond exact integers": make_raw("born", b"99999999999999999999"),
    "endless cold time": {**GOOD, "coldRemaining": "9" * 400 + "s"},
    "not a number": make_raw("slots", b"NaN"),
    "invalid UTF-8": make_raw("zone", b'"\xff\xfe"'),
    "lone surrogate": make_raw("service", b'"\\ud800"'),
    "port above the range": {**GOOD, "address": f"{ADDRESS}:65536"},
    "port far above the range": {**GOOD, "address": f"{ADDRESS}:99999999999999999999"},
    "port 0": {**GOOD, "address": f"{ADDRESS}:0"},
    "port of other digits": {**GOOD, "address": f"{ADDRESS}:\u00b2\u00b2"},
    "address with a path": {**GOOD, "address": f"{ADDRESS}/x?:80"},
    "address with a user": {**GOOD, "address": f"user@{ADDRESS}:80"},
    "name instead of an address": {**GOOD, "address": "instance.invalid:80"},
    "address with a line break": {**GOOD, "address": "127.0.0.1\r\nX: 1:80"},
    "list": [GOOD],
    "null": RawJson(b"null"),
    "long text": "x" * 500_000,
}
ODD_NAMES = ["i-\r\nX-More: 1", "i-\u20ac", "i- 9", "i-" + "9" * 5000]


async def check_others(case: NodeCase) -> None:
    """Check that requests are served, and that joining and leaving instances are followed."""
    for number in range(8):
        assert (await case.call("/unsafe/x", "POST", f"a{number}")).status == 200
    joining = Instance("i-joining", "desk", "huye")
    await joining.start(ADDRESS, pick_endpoint(ADDRESS).port)
    try:
        case.register(joining)
        leaving, *staying = [instance.name for instance in case.instances]
        case.store.remove("servers", leaving)
        await wait_until(lambda: list_used(case) == {joining.name, *staying}, IN_FORCE_S)
        assert (await case.call("/unsafe/x", "POST", "b")).status == 200
    finally:
        await joining.stop()


def list_used(case: NodeCase) -> set[str]:
    """Return the names of the instances in use."""
    return {view["upstream"] for view in case.process.dispatch.snapshot(0.0).get("desk", [])}


@pytest.mark.parametrize("odd", sorted(ODD_VALUES))
@pytest.mark.parametrize("is_first", [True, False])
def test_odd_entry_leaves_the_others_in_use(odd: str, is_first: bool) -> None:
    """Guards against one entry that hides all others, or ends the task that follows them.

    It comes before the process starts, or while it runs, and then changes again.
    """

    async def check(case: NodeCase) -> None:
        if not is_first:
            case.store.put("servers", "i-odd", ODD_VALUES[odd])
            await asyncio.sleep(0.1)
        await check_others(case)

    run_node(check, entries={"i-odd": ODD_VALUES[odd]} if is_first else {})


@pytest.mark.parametrize("name", ODD_NAMES)
def test_odd_name_leaves_the_others_in_use(name: str) -> None:
    """Guards against an entry whose name cannot be sent in a header field."""

    async def check(case: NodeCase) -> None:
        case.store.put("servers", name, GOOD)
        await asyncio.sleep(0.1)
        await check_others(case)
        assert case.process.counters.get("upstreams.rejected") > 0

    run_node(check)


def test_entry_that_turns_unreadable_names_no_instance() -> None:
    """Guards against requests to an instance whose entry another writer has replaced."""

    async def check(case: NodeCase) -> None:
        name = case.instances[0].name
        case.store.put("servers", name, ODD_VALUES["nested 2,000 deep"])
        await wait_until(lambda: name not in list_used(case), IN_FORCE_S)
        assert len(list_used(case)) == len(case.instances) - 1
        case.register(case.instances[0])
        await wait_until(lambda: name in list_used(case), IN_FORCE_S)

    run_node(check)
