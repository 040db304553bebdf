"""A node process in front of instances that are full, and never answer what they cannot queue."""

import asyncio
import time

from standins.node_caller import make_configuration

from .node_cases import NodeCase, run_node, wait_until

QUEUE = 8
ORDERING = {"orders_requests": True}


async def prioritize(case: NodeCase) -> None:
    """Put a configuration in force in which both routes have the highest priority."""
    configuration = make_configuration(2)
    for rule in configuration["listeners"][0]["rules"]:
        rule["priority"] = 0
    case.store.put("config", "main", configuration)
    await wait_until(lambda: case.process.configuration.version == 2)
    for instance in case.instances:
        instance.queue = QUEUE


def count_sent(case: NodeCase) -> int:
    """Return how many held requests were sent."""
    counters = case.process.counters.get_snapshot()["counters"]
    return sum(count for name, count in counters.items() if name.startswith("waiting.sent."))


def test_request_waits_for_a_full_instance() -> None:
    """Guards against a refusal, or a request that is dropped, while a slot becomes free in time."""

    async def check(case: NodeCase) -> None:
        await prioritize(case)
        for instance in case.instances:
            instance.held_for_others = instance.slots + QUEUE
        call = asyncio.ensure_future(case.call("/safe/a", request_id="waits"))
        await asyncio.sleep(0.1)
        assert not call.done()
        case.instances[0].held_for_others = 0
        assert (await call).status == 200
        assert count_sent(case) == 1
        assert not any(instance.dropped for instance in case.instances)

    run_node(check, instances=2, settings=ORDERING)


def test_burst_drops_no_request() -> None:
    """Guards against requests that an instance never answers, and callers that get no response.

    Load: many times what one instance takes, at once.
    """

    async def check(case: NodeCase) -> None:
        await prioritize(case)
        (instance,) = case.instances
        instance.run_s = 0.1
        started = time.monotonic()
        calls = [case.call("/safe/a", request_id=f"r{number}") for number in range(40)]
        answers = await asyncio.gather(*calls)
        assert {answer.status for answer in answers} <= {200, 503}
        refused = [answer for answer in answers if answer.status == 503]
        assert all(float(answer.fields["retry-after"]) > 0.0 for answer in refused)
        assert count_sent(case) > 0
        assert instance.dropped == []
        # No refusal is held back until near the deadline of 1.5 s.
        assert time.monotonic() - started < 1.4
        assert len(instance.ran) == len(answers) - len(refused)

    run_node(check, instances=1, settings=ORDERING)


def test_disconnect_of_a_waiting_caller() -> None:
    """Guards against running a request whose caller left while it waited."""

    async def check(case: NodeCase) -> None:
        await prioritize(case)
        (instance,) = case.instances
        instance.held_for_others = instance.slots + QUEUE
        call = asyncio.ensure_future(case.call("/safe/a", request_id="leaves"))
        await asyncio.sleep(0.05)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        await wait_until(lambda: case.process.counters.get("reason.caller_gone") == 1)
        instance.held_for_others = 0
        assert (await case.call("/safe/b", request_id="stays")).status == 200
        assert [request_id for request_id, _ in instance.ran] == ["stays"]

    run_node(check, instances=1, settings=ORDERING)


def test_error_is_delivered_although_another_instance_is_silent() -> None:
    """Guards against a 500 that is kept back until the deadline, as seen on deployment T.

    Of two instances one answers with 500 and the other one never answers.
    """

    async def check(case: NodeCase) -> None:
        await prioritize(case)
        case.instances[0].fault = "error"
        case.instances[1].fault = "hang"
        started = time.monotonic()
        answer = await case.call("/safe/a", deadline_ms=4000)
        assert answer.status == 500
        # The route's timeout is 2 s, its latency goal 0.3 s.
        assert time.monotonic() - started < 1.5

    run_node(check, instances=2, settings=ORDERING)
