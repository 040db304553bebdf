"""Stand-in for an instance on the platform: slots, load header, signature, and faults.

A request with the id X whose path ends in `/NAME` meets the fault NAME, if it is one of:

- `cut`: the response breaks off; `extra`: another response follows it; `late`: the response of
  another request comes first; `unsigned`, `encoded`, `error`, `shed`, `plain503`, `hang`;
- `slow`: the run takes a second;
- a name in `ENDLESS_PARTS` or `ENDLESS_HEADS`: a signed response whose named part continues until
  the caller closes;
- a name in `ENDLESS_BYTES`: bytes that are no response, until the caller closes.
"""

import asyncio
import socket
import struct
import time
from typing import Any

from .node_caller import read_chunks

__all__ = ["ENDLESS_BYTES", "ENDLESS_HEADS", "ENDLESS_PARTS", "Instance"]

REASONS = {200: "OK", 421: "Misdirected Request", 500: "Error", 503: "Unavailable"}
RUN_S = 0.01
# Work on a cold instance takes so many times as long.
COLD_TIME_FACTOR = 2.0
SLOW_S = 1.0
COPIED_ID = {"X-Amaranthbend-Attempt-Id": "copy"}
HANG_S = 30.0
FILLER = b"x" * 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Framing of the responses without end, and the piece that is repeated.
ENDLESS_PARTS = {
    "endless_chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"4000\r\n" + FILLER + b"\r\n"),
    "endless_body": (b"Connection: close\r\n\r\n", FILLER),
    "endless_trailers": (b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-More: 1\r\n"),
    "endless_extension": (b"Transfer-Encoding: chunked\r\n\r\n4;x=", FILLER),
}
# The same for heads without end. Kept apart, since the seeds of the soak choose among the parts.
ENDLESS_HEADS = {
    "endless_fields": (b"", b"X-More: 1\r\n" * 1000),
    "endless_field": (b"X-More: ", FILLER),
}
# Bytes in place of a response: first ones, and the piece that is repeated.
ENDLESS_BYTES = {
    "endless_garbage": (b"", FILLER),
    "endless_lines": (b"", b"garbage\r\n" * 1000),
    "endless_status": (b"HTTP/1.1 200 ", FILLER),
    "endless_interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "endless_error": (b"HTTP/1.1 500 Error\r\n\r\n", FILLER),
    "endless_refusal": (
        b"HTTP/1.1 503 Unavailable\r\nX-Amaranthbend-Not-Executed: 1\r\n\r\n",
        FILLER,
    ),
}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return the body of a request, which has a length, is chunked or is empty."""
    if fields.get("transfer-encoding") == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def parse_fields(lines: list[str]) -> dict[str, str]:
    """Return header fields by lower-case name; values of repeated ones are joined."""
    fields: dict[str, str] = {}
    for line in lines:
        name, separator, value = line.partition(": ")
        name = name.lower()
        if separator:
            fields[name] = f"{fields[name]}, {value}" if name in fields else value
    return fields


class Instance:
    """One instance, on raw sockets, so that it can break the protocol.

    Parameters
    ----------
    name : str
        Id under which it registers.
    service : str
        Service that it belongs to.
    data_centre : str
        Data centre in which it runs.
    """

    def __init__(self, name: str, service: str, data_centre: str) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.slots = 4
        self.running = 0
        # Time of a run, and how long it takes at this moment in percent of that.
        self.run_s = RUN_S
        self.percent = 100
        # Body of its good responses, None for one that tells its name and the request's id.
        self.body: bytes | None = None
        # Time in which it sends them, 0 for all at once, and whether in chunks or until it closes.
        self.send_s = 0.0
        self.sends_chunks = True
        # Such responses that break off in the middle, still to come; and those sent whole.
        self.broken_responses = 0
        self.whole_responses = 0
        self.is_healthy = True
        # Seconds for which its health responses say that it stays cold, None for a warm one; the
        # entry says `entry_cold`.
        self.cold_s: float | None = None
        self.entry_cold = "0ms"
        # Time until which it is cold by `become_cold`.
        self._cold_until = 0.0
        # Number of health checks answered.
        self.health_checks = 0
        # Whether health checks get a good head and a body without end.
        self.has_endless_health = False
        # Fault that all requests meet; empty for the one that their path names.
        self.fault = ""
        # Header fields of a refusal that is written once more before the next request of a kept
        # connection runs, and its status.
        self.repeated_refusal: tuple[int, dict[str, str]] | None = None
        # Requests on kept connections that first get a copy of the response before, and whether
        # such connections are reset with their next request.
        self.late_copies = 0
        self.resets_kept_connections = False
        self.born = 1
        # Number of its writes of its entry.
        self.sequence = 0
        # Ids of the requests that ran, in order, with their deadlines in milliseconds.
        self.ran: list[tuple[str, int]] = []
        # Times at which they began to run.
        self.ran_at: list[float] = []
        self.cancelled: list[str] = []
        # Bodies of the requests that ran, by id.
        self.bodies: dict[str, list[bytes]] = {}
        # Header fields of the requests that ran, by id, with lower-case names.
        self.heads: dict[str, list[dict[str, str]]] = {}
        self.endless_bytes = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, address, port)
        self.address = f"{address}:{port}"

    async def stop(self) -> None:
        """Crash: close everything without a word."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def become_cold(self, duration_s: float) -> None:
        """Be slower for some seconds, and state in health responses how many remain."""
        self._cold_until = time.monotonic() + duration_s

    def get_cold_s(self) -> float | None:
        """Return for how many seconds health responses say that it stays cold."""
        left_s = self._cold_until - time.monotonic()
        return left_s if left_s > 0 else self.cold_s

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry under which it registers, for another write of it."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemaining": self.entry_cold,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            is_first = True
            while await self._serve_one(reader, writer, is_first):
                is_first = False
                if self.resets_kept_connections:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.transport.abort()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_first: bool
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        start, *lines = head.strip().split("\r\n")
        fields = parse_fields(lines)
        body = await read_body(reader, fields)
        path = start.split(" ")[1]
        if path == "/health" and self.has_endless_health:
            await self._send_endless(writer, "endless_chunks", self._describe_self())
        if path == "/health":
            self.health_checks += 1
            health_fields = self._describe_self()
            cold_s = self.get_cold_s()
            if cold_s is not None:
                health_fields["X-Amaranthbend-Cold-Remaining"] = f"{cold_s * 1000:.0f}"
            self._answer(writer, 200 if self.is_healthy else 503, b"", health_fields)
            return True
        request_id = fields.get("x-amaranthbend-attempt-id", "")
        expected = fields.get("x-amaranthbend-expected-instance", self.name)
        echo = {"X-Amaranthbend-Attempt-Id": request_id}
        if expected != self.name:
            self._answer(writer, 421, b"", {"X-Amaranthbend-Instance-Id": self.name})
            return True
        fault = self.fault or path.rpartition("/")[2]
        if fault == "shed":
            self._answer(writer, 503, b"", {**echo, "X-Amaranthbend-Not-Executed": "1"})
            return True
        if self.repeated_refusal is not None and not is_first:
            status, refusal_fields = self.repeated_refusal
            self._answer(writer, status, b"", refusal_fields)
        if self.late_copies > 0 and not is_first:
            self.late_copies -= 1
            self._answer(writer, 200, b"copy", {**self._sign("copy"), **echo, **COPIED_ID})
        self.ran.append((request_id, int(fields.get("x-amaranthbend-request-deadline", "0"))))
        self.ran_at.append(time.monotonic())
        self.bodies.setdefault(request_id, []).append(body)
        self.heads.setdefault(request_id, []).append(fields)
        if not await self._run(reader, fault):
            self.cancelled.append(request_id)
            return False
        fields = {**echo, **self._sign(request_id), **self._describe_self()}
        if fault in ENDLESS_PARTS | ENDLESS_HEADS | ENDLESS_BYTES:
            await self._send_endless(writer, fault, fields)
        if self.send_s and self.body is not None:
            return await self._send_slowly(writer, self.body, fields)
        return self._finish(writer, fault, request_id, fields)

    async def _send_slowly(
        self, writer: asyncio.StreamWriter, body: bytes, fields: dict[str, str]
    ) -> bool:
        """Send a good response in `send_s` seconds; return whether the connection is kept."""
        framing = "Transfer-Encoding: chunked" if self.sends_chunks else "Connection: close"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}{framing}\r\n\r\n".encode("latin1"))
        for start in range(0, len(body), len(FILLER)):
            if self.broken_responses and start > len(body) // 2:
                self.broken_responses -= 1
                # A response without a length would look complete at an orderly end.
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
                return False
            piece = body[start : start + len(FILLER)]
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if self.sends_chunks else piece)
            await writer.drain()
            await asyncio.sleep(self.send_s * len(piece) / len(body))
        if self.sends_chunks:
            writer.write(b"0\r\n\r\n")
        self.whole_responses += 1
        return self.sends_chunks

    async def _send_endless(
        self, writer: asyncio.StreamWriter, fault: str, fields: dict[str, str]
    ) -> None:
        """Send a response, or other bytes, until the caller closes: raises ConnectionError."""
        if fault in ENDLESS_BYTES:
            start, piece = ENDLESS_BYTES[fault]
        else:
            framing, piece = (ENDLESS_PARTS | ENDLESS_HEADS)[fault]
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            start = b"HTTP/1.1 200 OK\r\n" + lines.encode("latin1") + framing
        writer.write(start)
        while True:
            writer.write(piece)
            await writer.drain()
            self.endless_bytes += len(piece)
            # A transport whose peer keeps reading never makes `drain` wait.
            await asyncio.sleep(0)

    async def _run(self, reader: asyncio.StreamReader, fault: str) -> bool:
        """Hold a slot; return whether the caller is still there."""
        self.running += 1
        usual_s = self.run_s * self.percent / 100
        if time.monotonic() < self._cold_until:
            usual_s *= COLD_TIME_FACTOR
        duration_s = {"slow": SLOW_S, "hang": HANG_S}.get(fault, usual_s)
        try:
            left = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({left}, timeout=duration_s)
            left.cancel()
            # The reader serves one waiter at a time.
            await asyncio.wait({left})
            return not done
        finally:
            self.running -= 1

    def _finish(
        self, writer: asyncio.StreamWriter, fault: str, request_id: str, fields: dict[str, str]
    ) -> bool:
        body = f"{self.name} {request_id}".encode() if self.body is None else self.body
        if fault == "late":
            other = {**fields, **self._sign("other"), "X-Amaranthbend-Attempt-Id": "other"}
            self._answer(writer, 200, b"other", other)
        if fault == "unsigned":
            fields.pop("X-Amaranthbend-Response-Signature")
        if fault == "encoded":
            fields["Content-Encoding"] = "gzip"
        status = {"error": 500, "plain503": 503}.get(fault, 200)
        if fault == "cut":
            self._answer(writer, status, body, fields, length=len(body) + 5)
            return False
        self._answer(writer, status, body, fields)
        if fault == "extra":
            self._answer(writer, 200, b"extra", {**fields, **self._sign("extra")})
        return True

    def _describe_self(self) -> dict[str, str]:
        load = f"{self.running},0,{self.slots},{self.percent}"
        return {
            "X-Amaranthbend-Instance-Id": self.name,
            "X-Amaranthbend-Instance-Load": load,
        }

    def _sign(self, request_id: str) -> dict[str, str]:
        return {"X-Amaranthbend-Response-Signature": f"{self.name}.{request_id}"}

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        fields: dict[str, str],
        length: int | None = None,
    ) -> None:
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body) if length is None else length}")
        writer.write("\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body)
