"""Calls that the demonstration sends, and a summary of the results."""

import itertools
import threading
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from standins.http import Answer, call
from standins.processes import Endpoint

__all__ = ["Summary", "send_traffic", "summarise"]

CALLERS = 8
# One call in 21 is an adoption, which needs a claim on the platform. The rate of claims is split
# over 16 hosts, so more of them, or all at one entry process, would mostly show refusals.
WRITE_INTERVAL = 21
PAUSE_S = 0.02
MICROSECONDS = 1_000_000
LONGEST_US = 60 * MICROSECONDS


class Summary(NamedTuple):
    """Results of many calls.

    Parameters
    ----------
    sent, answered : int
        Calls sent, and those with a complete response.
    others : dict of str to int
        Other calls by outcome and reason.
    p50_ms, p99_ms : float
        Response times of the complete ones.
    """

    sent: int
    answered: int
    others: dict[str, int]
    p50_ms: float
    p99_ms: float


def send_traffic(endpoints: Sequence[Endpoint], duration_s: float) -> list[Answer]:
    """Send reads and adoptions from several callers for a limited time."""
    numbers = itertools.count()
    lock = threading.Lock()
    answers: list[Answer] = []
    give_up_at = time.monotonic() + duration_s

    def run_caller() -> None:
        while time.monotonic() < give_up_at:
            with lock:
                number = next(numbers)
            answer = send_call(endpoints[number % len(endpoints)], number)
            with lock:
                answers.append(answer)
            time.sleep(PAUSE_S)

    with ThreadPoolExecutor(CALLERS) as pool:
        for caller in [pool.submit(run_caller) for _ in range(CALLERS)]:
            caller.result()
    return answers


def send_call(endpoint: Endpoint, number: int) -> Answer:
    """Send a read or an adoption."""
    headers = {"X-Request-Id": f"demo-{number}"}
    if number % WRITE_INTERVAL != 0:
        return call(endpoint, f"/profiles/{number}", headers=headers)
    headers["Idempotency-Key"] = f"adoption-{number}"
    return call(endpoint, "/adoptions", "POST", b'{"donkey": "Juku"}', headers)


def summarise(answers: Sequence[Answer]) -> Summary:
    """Return the summary of many calls."""
    histogram = HdrHistogram(1, LONGEST_US, 3)
    others: Counter[str] = Counter()
    for answer in answers:
        if answer.complete and answer.outcome == "answered":
            histogram.record_value(max(1, int(answer.duration_s * MICROSECONDS)))
            continue
        others[f"{answer.outcome or 'no answer'} {answer.reason}".strip()] += 1
    return Summary(
        sent=len(answers),
        answered=len(answers) - others.total(),
        others=dict(others),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
    )
