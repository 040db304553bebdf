"""Stand-in for an upstream: slots, queue, load reports, switchable faults.

Any path is work. The query may set `ms` (service time), `size` (bytes of the
response) and `rate` (bytes a second while the response is sent). Without
`size` the response is JSON that names the upstream and repeats the request id
(`X-Request-Id`), method, path and idempotency key, so that a caller can tell
whether the response is its own.

Faults at `PUT /_faults` (fields not named keep their value):

- `drain`: "none", "report" (reports draining, still serves) or "refuse";
- `stalled`: no response makes progress until it is false again;
- `slow_factor`: multiplies service times;
- `fail_ratio`, `fail_status`: share of requests that fail at once, without a slot;
- `shed_ratio`: share of requests that are shed, with `X-Not-Run: shed`;
- `report_lag_s`: age of the load reports; `report`: values that replace the true ones;
- `load_stalled`: `GET /load` does not respond;
- `answer_fault`, `answer_fault_count`: faulty responses (see `answers`), this many or -1
  for all; `late_s`: delay of a "late" response.
"""

import asyncio
import json
import random
import time
from typing import Any, TypedDict

import fire
import tornado.web
from tornado.iostream import StreamClosedError

from .answers import ANSWER_FAULTS, write_faulty_answer
from .objects import RateWindow
from .serving import serve
from .slots import ExecutionLog, RefusedError, SlotPool

__all__ = ["Faults", "UpstreamState", "main", "make_app"]

CHUNK_BYTES = 16 * 1024
STALL_RECHECK_S = 0.01


class Faults(TypedDict):
    """Faults in force."""

    drain: str
    stalled: bool
    slow_factor: float
    fail_ratio: float
    fail_status: int
    shed_ratio: float
    report_lag_s: float
    report: dict[str, Any]
    load_stalled: bool
    answer_fault: str
    answer_fault_count: int
    late_s: float


NO_FAULTS = Faults(
    drain="none",
    stalled=False,
    slow_factor=1.0,
    fail_ratio=0.0,
    fail_status=500,
    shed_ratio=0.0,
    report_lag_s=0.0,
    report={},
    load_stalled=False,
    answer_fault="none",
    answer_fault_count=-1,
    late_s=1.0,
)


class Options(TypedDict):
    """Fixed properties of one upstream."""

    name: str
    incarnation: int
    service_ms: float
    cold_s: float
    cold_factor: float


class UpstreamState:
    """Everything the stand-in holds."""

    def __init__(self, options: Options, slots: int, queue: int, seed: int = 0) -> None:
        self.options = options
        self.pool = SlotPool(slots, queue)
        self.log = ExecutionLog()
        self.faults = Faults(**NO_FAULTS)
        self.random = random.Random(seed)
        self.started_at = time.monotonic()
        self.received: list[float] = []
        self.loads = RateWindow()
        self.load_calls = 0
        self.cancelled = 0

    def is_cold(self) -> bool:
        """Return whether the upstream still warms up."""
        return time.monotonic() < self.started_at + self.options["cold_s"]

    def compute_service_s(self, asked_ms: str) -> float:
        """Return the service time of a request."""
        service_s = float(asked_ms or self.options["service_ms"]) / 1000
        if self.is_cold():
            service_s *= self.options["cold_factor"]
        return service_s * self.faults["slow_factor"]

    def describe_load(self) -> str:
        """Return the value of the load report header."""
        load = self.pool.history.get(self.faults["report_lag_s"])
        state = "cold" if self.is_cold() else "serving"
        if self.faults["drain"] != "none":
            state = "draining"
        fields = {
            "in_flight": load.in_flight,
            "queued": load.queued,
            "slots": self.pool.slots,
            "state": state,
            "incarnation": self.options["incarnation"],
            **self.faults["report"],
        }
        return ";".join(f"{name}={value}" for name, value in fields.items())

    def take_answer_fault(self) -> str:
        """Return the fault of the next response, and count it."""
        fault = self.faults["answer_fault"]
        if fault == "none" or self.faults["answer_fault_count"] == 0:
            return "none"
        if self.faults["answer_fault_count"] > 0:
            self.faults["answer_fault_count"] -= 1
        return fault


class BaseHandler(tornado.web.RequestHandler):
    """Common part of all handlers."""

    def initialize(self, state: UpstreamState) -> None:
        """Keep the shared state."""
        self.state = state

    def compute_etag(self) -> str | None:
        """Send no entity tags."""
        return None


class WorkHandler(BaseHandler):
    """Any path: work that takes a slot."""

    task: asyncio.Task[None] | None = None

    async def get(self) -> None:
        """Run a request until it is answered or its caller goes away."""
        self.state.received.append(time.monotonic())
        self.task = asyncio.ensure_future(self.run())
        try:
            await self.task
        except (asyncio.CancelledError, StreamClosedError):
            self.state.cancelled += 1
            raise tornado.web.Finish from None

    head = post = put = patch = delete = options = get

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that went away."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Run the request, unless it is refused or fails at once."""
        faults = self.state.faults
        if faults["drain"] == "refuse":
            self.refuse("draining")
        elif self.state.random.random() < faults["shed_ratio"]:
            self.refuse("shed")
        elif self.state.random.random() < faults["fail_ratio"]:
            self.set_header("X-Load-Report", self.state.describe_load())
            self.set_status(faults["fail_status"])
            await self.finish("failed")
        else:
            await self.run_in_slot()

    async def run_in_slot(self) -> None:
        """Wait for a slot, then serve."""
        deadline_ms = self.request.headers.get("X-Request-Deadline-Ms")
        timeout_s = None if deadline_ms is None else float(deadline_ms) / 1000
        try:
            await self.state.pool.acquire(timeout_s)
        except RefusedError as refusal:
            self.refuse(str(refusal))
            return
        entry = self.state.log.start(self.request)
        try:
            await self.serve()
            entry["end"] = "answered"
        except (asyncio.CancelledError, StreamClosedError):
            entry["end"] = "cancelled"
            raise
        finally:
            self.state.pool.release()

    async def serve(self) -> None:
        """Work for the service time, then respond."""
        await self.pause(self.state.compute_service_s(self.get_query_argument("ms", "")))
        fault = self.state.take_answer_fault()
        if fault == "late":
            await self.pause(self.state.faults["late_s"])
        size = int(self.get_query_argument("size", "0"))
        if fault not in {"none", "late"}:
            await self.respond_faulty(fault)
        elif size > 0:
            await self.respond_slowly(size, float(self.get_query_argument("rate", "0")))
        else:
            self.set_header("X-Load-Report", self.state.describe_load())
            self.set_header("Content-Type", "application/json")
            await self.finish(self.describe_request())

    async def pause(self, duration_s: float) -> None:
        """Wait, and go on waiting while the upstream is stalled."""
        if duration_s > 0:
            await asyncio.sleep(duration_s)
        while self.state.faults["stalled"]:
            await asyncio.sleep(STALL_RECHECK_S)

    def describe_request(self) -> str:
        """Return a response body that repeats the request."""
        answer = {
            "upstream": self.state.options["name"],
            "incarnation": self.state.options["incarnation"],
            "request_id": self.request.headers.get("X-Request-Id", ""),
            "key": self.request.headers.get("Idempotency-Key", ""),
            "method": self.request.method,
            "path": self.request.path,
            "body_bytes": len(self.request.body),
        }
        return json.dumps(answer)

    async def respond_slowly(self, size: int, rate: float) -> None:
        """Send a long response in pieces."""
        self.set_header("X-Load-Report", self.state.describe_load())
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Length", str(size))
        left = size if self.request.method != "HEAD" else 0
        chunk_bytes = CHUNK_BYTES if rate <= 0 else max(1, min(CHUNK_BYTES, int(rate / 20)))
        while left > 0:
            piece = min(left, chunk_bytes)
            self.write(b"x" * piece)
            await self.flush()
            left -= piece
            # A caller may close as soon as it has everything, which is no cancellation.
            if left > 0:
                await self.pause(piece / rate if rate > 0 else 0)
        self.finish()

    async def respond_faulty(self, fault: str) -> None:
        """Send a faulty response as raw bytes."""
        headers = f"X-Load-Report: {self.state.describe_load()}\r\n"
        body = self.describe_request().encode()
        self._finished = True
        stream = self.detach()
        await write_faulty_answer(stream, fault, headers, body)

    def refuse(self, cause: str) -> None:
        """Refuse the request before it ran."""
        self.set_header("X-Load-Report", self.state.describe_load())
        self.set_header("X-Not-Run", cause)
        self.set_status(503)
        self.finish()


class LoadHandler(BaseHandler):
    """`GET /load`."""

    async def get(self) -> None:
        """Return the load report."""
        self.state.load_calls += 1
        self.state.loads.count(time.monotonic())
        while self.state.faults["load_stalled"] or self.state.faults["stalled"]:
            await asyncio.sleep(STALL_RECHECK_S)
        report = self.state.describe_load()
        self.set_header("X-Load-Report", report)
        self.finish(report)


class FaultsHandler(BaseHandler):
    """`/_faults`."""

    def get(self) -> None:
        """Return the faults in force."""
        self.finish(dict(self.state.faults))

    def put(self) -> None:
        """Change the given faults."""
        changes = json.loads(self.request.body)
        unknown = set(changes) - set(self.state.faults)
        if unknown or changes.get("answer_fault", "none") not in ANSWER_FAULTS:
            raise tornado.web.HTTPError(400, f"unknown faults {changes}")
        self.state.faults.update(changes)
        self.finish(dict(self.state.faults))


class ExecutedHandler(BaseHandler):
    """`/_executed`."""

    def get(self) -> None:
        """Return every request that got a slot."""
        self.finish({"executed": self.state.log.entries})


class StatsHandler(BaseHandler):
    """`/_stats`."""

    def get(self) -> None:
        """Return counts; times are on the machine's monotonic clock."""
        received = self.state.received
        self.finish(
            {
                "received": len(received),
                "last_received_at": received[-1] if received else None,
                "executed": len(self.state.log.entries),
                "cancelled": self.state.cancelled,
                "in_flight": self.state.pool.in_flight,
                "load_calls": self.state.load_calls,
                "load_peak_per_s": self.state.loads.peak,
            }
        )


def make_app(state: UpstreamState) -> tornado.web.Application:
    """Return the stand-in as a tornado application."""
    shared = {"state": state}
    return tornado.web.Application(
        [
            (r"/load", LoadHandler, shared),
            (r"/_faults", FaultsHandler, shared),
            (r"/_executed", ExecutedHandler, shared),
            (r"/_stats", StatsHandler, shared),
            (r"/.*", WorkHandler, shared),
        ],
        log_function=lambda _handler: None,
    )


def main(
    port: int,
    address: str = "127.0.0.1",
    name: str = "upstream",
    slots: int = 6,
    queue: int = 32,
    incarnation: int = 1,
    service_ms: float = 2.0,
    cold_s: float = 0.0,
    cold_factor: float = 5.0,
    seed: int = 0,
) -> None:
    """Run the upstream stand-in.

    Parameters
    ----------
    port, address : int, str
        Where to listen.
    name, incarnation : str, int
        Identity that reports and responses carry.
    slots, queue : int
        Requests that run, and that wait, at the same time.
    service_ms : float
        Service time of a request that names none.
    cold_s, cold_factor : float
        For so long after the start, service times are multiplied.
    seed : int
        Seed of the random failures.
    """
    options = Options(
        name=name,
        incarnation=incarnation,
        service_ms=service_ms,
        cold_s=cold_s,
        cold_factor=cold_factor,
    )
    state = UpstreamState(options, slots, queue, seed)
    asyncio.run(serve(make_app(state), address, port))


if __name__ == "__main__":
    fire.Fire(main)
