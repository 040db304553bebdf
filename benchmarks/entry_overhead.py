"""Time that the entry process adds to a call, its processor time per call, and its memory.

Direct calls to an upstream stand-in alternate with calls through a real entry
process, so that both see the same machine. Loopback only, bounded in count and time.
"""

import asyncio
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import fire
import psutil
import uvloop
from hdrh.histogram import HdrHistogram

from standins.deployment import Deployment, Plan
from standins.processes import Endpoint

__all__ = ["Overhead", "Throughput", "main"]

# Target of the design page, at p99.
TARGET_ADDED_MS = 1.2
SERVICE = "adopt-desk"
SETTINGS = Path(__file__).parent.parent / "demo" / "settings"
WARM_UP_CALLS = 300
PAIRED_CALLS = 4000
LOAD_CONNECTIONS = 16
LOAD_CALLS = 8000
TIMEOUT_S = 10.0
NS_PER_US = 1000
US_PER_MS = 1000
HIGHEST_US = 10_000_000
MIB = 1024 * 1024
GET = b"GET /profiles/7?ms=0 HTTP/1.1\r\nHost: desk.test\r\n\r\n"
POST = (
    b"POST /visits/7?ms=0 HTTP/1.1\r\nHost: desk.test\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 9\r\n\r\ndonkey 77"
)
REQUESTS = {"get": GET, "post": POST}


class Overhead(NamedTuple):
    """Times in milliseconds."""

    name: str
    direct_p50: float
    direct_p99: float
    entry_p50: float
    entry_p99: float
    added_p50: float
    added_p99: float

    @property
    def is_met(self) -> bool:
        """Whether the target is met."""
        return self.added_p99 <= TARGET_ADDED_MS


class Throughput(NamedTuple):
    """Result of the load part."""

    calls_per_s: float
    entry_cpu_us_per_call: float
    calls_per_s_per_core: float
    rss_mib: float
    pss_mib: float


class Connection:
    """Keep-alive connection with blocking calls."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._socket = socket.create_connection((endpoint.address, endpoint.port), TIMEOUT_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def time_call(self, request: bytes) -> int:
        """Return the duration of one call in microseconds.

        Raises
        ------
        ConnectionError
            If the response is not a complete 200.
        """
        started_at = time.perf_counter_ns()
        self._socket.sendall(request)
        data = self._socket.recv(65536)
        while not is_complete(data):
            part = self._socket.recv(65536)
            if not part:
                raise ConnectionError(f"response cut off: {data!r}")
            data += part
        duration_us = (time.perf_counter_ns() - started_at) // NS_PER_US
        if not data.startswith(b"HTTP/1.1 200 "):
            raise ConnectionError(f"call failed: {data[:200]!r}")
        return duration_us

    def close(self) -> None:
        """Close."""
        self._socket.close()


def is_complete(data: bytes) -> bool:
    """Return whether the data holds a whole response with a declared length."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    lowered = head.lower()
    position = lowered.index(b"content-length:") + len(b"content-length:")
    return len(body) >= int(lowered[position:].split(b"\r\n")[0])


def make_histogram() -> Any:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, HIGHEST_US, 3)


def read_ms(histogram: Any, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return float(histogram.get_value_at_percentile(percentile)) / US_PER_MS


def measure_overhead(name: str, direct: Endpoint, entry: Endpoint, calls: int) -> Overhead:
    """Alternate direct calls and calls through the entry process.

    Parameters
    ----------
    name : str
        Key of `REQUESTS`.
    direct, entry : Endpoint
        Upstream and entry process.
    calls : int
        Number of pairs.
    """
    request = REQUESTS[name]
    connections = Connection(direct), Connection(entry)
    for _ in range(WARM_UP_CALLS):
        for connection in connections:
            connection.time_call(request)
    direct_times, entry_times, added = make_histogram(), make_histogram(), make_histogram()
    for number in range(calls):
        # The order alternates, so that neither side always finds warm caches.
        if number % 2:
            direct_us = connections[0].time_call(request)
            entry_us = connections[1].time_call(request)
        else:
            entry_us = connections[1].time_call(request)
            direct_us = connections[0].time_call(request)
        direct_times.record_value(max(1, direct_us))
        entry_times.record_value(max(1, entry_us))
        added.record_value(max(1, entry_us - direct_us))
    for connection in connections:
        connection.close()
    times = [read_ms(h, p) for h in (direct_times, entry_times, added) for p in (50, 99)]
    return Overhead(name, *times)


async def call_repeatedly(endpoint: Endpoint, count: int) -> None:
    """Make calls one after another on one connection."""
    reader, writer = await asyncio.open_connection(*endpoint)
    for _ in range(count):
        writer.write(GET)
        data = b""
        while not is_complete(data):
            part = await reader.read(65536)
            if not part:
                raise ConnectionError(f"response cut off: {data!r}")
            data += part
    writer.close()


async def run_load(endpoint: Endpoint, calls: int) -> float:
    """Return the duration of a closed-loop load in seconds."""
    started_at = time.monotonic()
    share = calls // LOAD_CONNECTIONS
    async with asyncio.timeout(TIMEOUT_S * 6):
        await asyncio.gather(*(call_repeatedly(endpoint, share) for _ in range(LOAD_CONNECTIONS)))
    return time.monotonic() - started_at


def measure_throughput(pid: int, endpoint: Endpoint, calls: int) -> Throughput:
    """Measure processor time per call and memory of an entry process under load."""
    process = psutil.Process(pid)
    before = process.cpu_times()
    duration_s = uvloop.run(run_load(endpoint, calls))
    after = process.cpu_times()
    cpu_s = after.user + after.system - before.user - before.system
    memory = process.memory_full_info()
    return Throughput(
        calls / duration_s, cpu_s / calls * 1e6, calls / cpu_s, memory.rss / MIB, memory.pss / MIB
    )


def run(calls: int = PAIRED_CALLS, load_calls: int = LOAD_CALLS) -> bool:
    """Run the benchmark; return whether the target is met.

    Parameters
    ----------
    calls : int
        Pairs of calls for each kind of request.
    load_calls : int
        Calls of the load part.
    """
    plan = Plan(hosts=1, entries=1, upstreams={SERVICE: 1, "archive-shelf": 1})
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder), plan, SETTINGS) as deployment,
    ):
        deployment.start_outside()
        deployment.start_hosts()
        deployment.publish_settings()
        deployment.wait_ready()
        direct = deployment.get_upstreams(SERVICE)[0].endpoint
        entry = deployment.entries[0]
        results = [measure_overhead(n, direct, entry.endpoint, calls) for n in REQUESTS]
        load = measure_throughput(entry.process.pid, entry.endpoint, load_calls)
        deployment.stop_gracefully()
    for result in results:
        values = " ".join(
            f"{key}={value:.3f}" for key, value in result._asdict().items() if key != "name"
        )
        print(f"request={result.name} {values} target={TARGET_ADDED_MS} met={result.is_met}")
    print(" ".join(f"{key}={value:.1f}" for key, value in load._asdict().items()))
    return all(result.is_met for result in results)


def main() -> None:
    """Run from the command line; exit code 1 if the target is missed."""
    met: list[bool] = []
    fire.Fire(lambda calls=PAIRED_CALLS, load_calls=LOAD_CALLS: met.append(run(calls, load_calls)))
    sys.exit(0 if all(met) else 1)


if __name__ == "__main__":
    main()
