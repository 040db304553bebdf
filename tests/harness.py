"""Whole deployments for the failure tests."""

import contextlib
import re
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

from standins.deployment import Deployment, Plan
from standins.http import Answer, call
from standins.processes import Endpoint, ManagedProcess

__all__ = [
    "SETTINGS",
    "Background",
    "count_executed",
    "post",
    "read_accepted_serials",
    "repeat",
    "run_deployment",
]

T = TypeVar("T")

SETTINGS = Path(__file__).parent.parent / "demo" / "settings"
OUTPUT_TAIL = 3000


@contextlib.contextmanager
def run_deployment(
    folder: Path, plan: Plan, *, publish: bool = True, outage: bool = False
) -> Iterator[Deployment]:
    """Run a deployment with settings in force; print the output of its processes on a failure."""
    deployment = Deployment(folder, plan, SETTINGS)
    with deployment:
        try:
            deployment.start_outside()
            serial = deployment.publish_settings() if publish else 0
            deployment.set_platform_faults(outage=outage)
            deployment.start_hosts()
            if publish:
                deployment.wait_serial(serial, timeout_s=15.0)
                deployment.wait_ready()
            yield deployment
        except BaseException:
            for process in deployment.processes:
                print(
                    f"--- {process.name}\n{process.read_output()[-OUTPUT_TAIL:]}", file=sys.stderr
                )
            raise


class Background:
    """Runs functions in threads and collects their results."""

    def __init__(self, threads: int = 16) -> None:
        self._pool = ThreadPoolExecutor(threads)

    def __enter__(self) -> "Background":
        return self

    def __exit__(self, *_error: object) -> None:
        self._pool.shutdown(cancel_futures=True)

    def start(self, function: Callable[..., T], *args: Any, **kwargs: Any) -> "Future[T]":
        """Start a function."""
        return self._pool.submit(function, *args, **kwargs)


@contextlib.contextmanager
def repeat(function: Callable[[int], T], threads: int, pause_s: float) -> Iterator[list[T]]:
    """Call a function over and over with growing numbers, and collect the results."""
    results: list[T] = []
    stopped = threading.Event()

    def run(first: int) -> None:
        number = first
        while not stopped.is_set():
            results.append(function(number))
            number += threads
            time.sleep(pause_s)

    with ThreadPoolExecutor(threads) as pool:
        runs = [pool.submit(run, first) for first in range(threads)]
        try:
            yield results
        finally:
            stopped.set()
        for ended in runs:
            ended.result()


def post(endpoint: Endpoint, path: str, key: str, **kwargs: Any) -> Answer:
    """Send a request that must run at most once, with its key as request id too."""
    headers = {"Idempotency-Key": key, "X-Request-Id": key}
    return call(endpoint, path, "POST", b"{}", headers, **kwargs)


def count_executed(deployment: Deployment, request_id: str) -> int:
    """Return how often a request got a slot at any upstream."""
    logs = [upstream.get_executed() for upstream in deployment.upstreams]
    return sum(entry["request_id"] == request_id for log in logs for entry in log)


def read_accepted_serials(process: ManagedProcess) -> list[int]:
    """Return the serials that a process has put in force, in that order, from its log."""
    pattern = r"event=settings_(?:accepted|in_force) .*?serial=(\d+)"
    return [int(serial) for serial in re.findall(pattern, process.read_output())]
