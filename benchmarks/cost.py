"""Processor time of the Dispatcher: `python -m benchmarks.cost`."""

import time

from amaranthbend.core.actions import (
    AttemptResult,
    AttemptStatus,
    LoadReport,
    Member,
    RequestInfo,
    Send,
    UpstreamState,
    WorkClass,
)
from amaranthbend.core.dispatching import Dispatcher
from amaranthbend.core.policy import ProbePolicy, ServicePolicy

__all__ = ["measure_pair"]

UPSTREAMS = 35
IN_FLIGHT = 20


def measure_pair(rounds: int = 5000) -> float:
    """Return the seconds of one submit, report and finish at 35 upstreams with 20 in flight."""
    dispatcher = Dispatcher(ServicePolicy("desk", 6), ProbePolicy(), "dc0", 1, processes=14)
    members = [Member(f"u{n}", f"u{n}", f"dc{n % 4}", 1) for n in range(UPSTREAMS)]
    dispatcher.set_members(members, 0.0)
    answered = AttemptResult(AttemptStatus.ANSWERED, 200)
    report = LoadReport(4, 0, 6, UpstreamState.SERVING, 1)
    now = 0.0
    running: list[Send] = []
    spent = 0.0
    for request_id in range(rounds):
        now += 0.002
        request = RequestInfo(request_id, "r", True, WorkClass.SHORT, now + 5.0)
        start = time.process_time()
        actions = dispatcher.submit(request, now)
        spent += time.process_time() - start
        running += [action for action in actions if isinstance(action, Send)]
        if len(running) <= IN_FLIGHT:
            continue
        send = running.pop(0)
        start = time.process_time()
        dispatcher.report(send.upstream, report, now)
        dispatcher.finish(send.request_id, send.attempt, answered, now)
        spent += time.process_time() - start
    return spent / rounds


if __name__ == "__main__":
    print(f"submit + report + finish: {measure_pair() * 1e6:.1f} microseconds")
