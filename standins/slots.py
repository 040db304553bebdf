"""Slots, bounded queue, load reports and execution log of the upstream stand-in."""

import asyncio
import time
from collections import deque
from typing import Any, NamedTuple

from tornado.httputil import HTTPServerRequest

__all__ = ["ExecutionLog", "Load", "LoadHistory", "RefusedError", "SlotPool"]

HISTORY_LENGTH = 4096


class RefusedError(Exception):
    """The request was refused before it ran; the text is the `X-Not-Run` value."""


class Load(NamedTuple):
    """Load at one instant."""

    at: float
    in_flight: int
    queued: int


class LoadHistory:
    """Recent load values, so that reports can lag."""

    def __init__(self) -> None:
        self._loads: deque[Load] = deque([Load(float("-inf"), 0, 0)], maxlen=HISTORY_LENGTH)

    def record(self, in_flight: int, queued: int) -> None:
        """Store the present load."""
        self._loads.append(Load(time.monotonic(), in_flight, queued))

    def get(self, lag_s: float) -> Load:
        """Return the load as it was `lag_s` ago."""
        if lag_s <= 0:
            return self._loads[-1]
        seen_at = time.monotonic() - lag_s
        return next((load for load in reversed(self._loads) if load.at <= seen_at), self._loads[0])


class SlotPool:
    """Runs a limited number of requests, with a bounded first-in-first-out queue."""

    def __init__(self, slots: int, queue: int) -> None:
        self.slots = slots
        self.queue = queue
        self.in_flight = 0
        self.history = LoadHistory()
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def acquire(self, timeout_s: float | None) -> None:
        """Wait for a slot; raise RefusedError where the queue is full or the deadline passes."""
        if timeout_s is not None and timeout_s <= 0:
            raise RefusedError("deadline")
        if self.in_flight < self.slots:
            self.in_flight += 1
            self._record()
            return
        if len(self._waiting) >= self.queue:
            raise RefusedError("shed")
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._record()
        await self._wait(turn, timeout_s)

    async def _wait(self, turn: asyncio.Future[None], timeout_s: float | None) -> None:
        try:
            await asyncio.wait_for(asyncio.shield(turn), timeout_s)
        except TimeoutError:
            self._give_up(turn)
            raise RefusedError("deadline") from None
        except asyncio.CancelledError:
            self._give_up(turn)
            raise

    def _give_up(self, turn: asyncio.Future[None]) -> None:
        if turn.done():
            self.release()
            return
        self._waiting.remove(turn)
        self._record()

    def release(self) -> None:
        """Free a slot, or pass it to the next request in the queue."""
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self.in_flight -= 1
        self._record()

    def _record(self) -> None:
        self.history.record(self.in_flight, len(self._waiting))


class ExecutionLog:
    """Requests that got a slot, by idempotency key and request id.

    Times are seconds of the machine's monotonic clock, which all processes share.
    """

    def __init__(self) -> None:
        self.entries: list[dict[str, Any]] = []

    def start(self, request: HTTPServerRequest) -> dict[str, Any]:
        """Record the start of a request and return its entry."""
        entry: dict[str, Any] = {
            "method": request.method,
            "path": request.path,
            "key": request.headers.get("Idempotency-Key", ""),
            "request_id": request.headers.get("X-Request-Id", ""),
            "at": time.monotonic(),
            "end": "running",
        }
        self.entries.append(entry)
        return entry
