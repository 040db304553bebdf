"""Helpers for several tests: entry processes, scripted upstreams and raw callers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any, NamedTuple

from amaranthbend.adapters.control_link import LinkCallbacks
from amaranthbend.core.actions import Member
from amaranthbend.core.departures import Departure
from amaranthbend.core.envelope import SettingsEnvelope
from amaranthbend.filters.claim import ClaimManager
from amaranthbend.programs.entry import EntryProcess
from amaranthbend.settings.process import EntrySettings
from standins.processes import pick_endpoint, pick_network

from .settings_cases import APPROVER_KEYS, make_envelope

SERVICE = "adopt-desk"
WAIT_S = 10.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
MERGED_SETTINGS: dict[str, Any] = {
    "deployment": "eeslikoda",
    "services": {SERVICE: {"slots_per_upstream": 6}},
    "routes": {
        "profiles": {
            "path_prefix": "/",
            "methods": ["GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS"],
            "service": SERVICE,
            "deadline_ms": 3000,
            "max_body_bytes": 8 * 1024 * 1024,
        },
        "adoptions": {
            "path_prefix": "/adopt",
            "methods": ["POST"],
            "service": SERVICE,
            "claim": "required",
        },
    },
}

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def make_settings(**changes: Any) -> EntrySettings:
    """Return process settings with unused loopback addresses."""
    network = pick_network()
    caller = pick_endpoint(f"{network}.1")
    admin = pick_endpoint(f"{network}.2")
    values: dict[str, Any] = {
        "deployment": "eeslikoda",
        "data_centre": "tartu-a",
        "host_id": "entry-1",
        "process_id": "entry-1-0",
        "address": caller.address,
        "port": caller.port,
        "admin_address": admin.address,
        "admin_port": admin.port,
        "control_target": "127.0.0.1:1",
        "approver_keys": APPROVER_KEYS,
        "balancer_lag_s": 0.0,
        "stall_timeout_s": 1.0,
    }
    return EntrySettings(**{**values, **changes})


class StaticControlLink:
    """Replaces the control link: delivers fixed settings and members to an entry process."""

    def __init__(
        self, callbacks: LinkCallbacks, envelope: SettingsEnvelope, addresses: Iterable[str]
    ) -> None:
        self.callbacks = callbacks
        self.envelope = envelope
        members = [
            Member(f"desk-{number}", address, "tartu-a", 1)
            for number, address in enumerate(addresses)
        ]
        self.members = {SERVICE: tuple(members)}
        self.departures: list[Departure] = []

    def deliver(self) -> None:
        """Deliver the members and the settings once."""
        self.callbacks.on_members(self.members)
        self.callbacks.on_settings(self.envelope)

    async def run(self) -> None:
        """Deliver the members and the settings once, then wait until cancelled."""
        self.deliver()
        await asyncio.Event().wait()

    def report_departures(self, departures: Iterable[Departure]) -> None:
        """Record the departures that the entry process has detected."""
        self.departures.extend(departures)

    def count_probe(self, size_bytes: int) -> None:
        """Ignore a probe."""


class ScriptedUpstream:
    """Server that runs a script on each connection and counts the connections."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""
        self.connections = 0
        self.requests: list[bytes] = []

    async def __aenter__(self) -> "ScriptedUpstream":
        """Start the server."""
        endpoint = pick_endpoint(f"{pick_network()}.9")
        self._server = await asyncio.start_server(self._serve, endpoint.address, endpoint.port)
        self.address = str(endpoint)
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop the server and close all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self._script(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return the header section and the body of one complete request or response."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head, await read_body(reader, head)


async def read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    """Return the body of a message with the given header section."""
    lines = [line.lower() for line in head.split(b"\r\n")]
    if b"transfer-encoding: chunked" in lines:
        parts = []
        while size := int((await reader.readline()).strip(), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        return b"".join(parts)
    lengths = [int(line[15:]) for line in lines if line.startswith(b"content-length:")]
    return await reader.readexactly(lengths[0]) if lengths else b""


def respond(response: bytes, *, closes: bool = False) -> Script:
    """Return a script that sends the same response to every request."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            writer.write(response)
            await writer.drain()
            if closes:
                return

    return script


class Entry(NamedTuple):
    """An entry process in the test's own event loop."""

    process: EntryProcess
    link: StaticControlLink

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a new connection to the entry process."""
        settings = self.process.settings
        return await asyncio.open_connection(settings.address, settings.port)

    async def exchange(self, request: bytes) -> tuple[bytes, bytes]:
        """Send a request on a new connection; return header section and body of the response."""
        reader, writer = await self.connect()
        try:
            writer.write(request)
            async with asyncio.timeout(WAIT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                has_body = not request.startswith(b"HEAD")
                return head, await read_body(reader, head) if has_body else b""
        finally:
            writer.close()

    async def read_all(self, request: bytes) -> tuple[bytes, bool]:
        """Send a request; return all bytes until the connection closes and whether it was reset."""
        reader, writer = await self.connect()
        data = b""
        try:
            writer.write(request)
            async with asyncio.timeout(WAIT_S):
                while part := await reader.read(65536):
                    data += part
        except ConnectionError:
            return data, True
        finally:
            writer.close()
        return data, False


@contextlib.asynccontextmanager
async def run_entry(
    addresses: Iterable[str],
    *,
    claims: ClaimManager | None = None,
    has_settings: bool = True,
    merged: dict[str, Any] | None = None,
    **changes: Any,
) -> AsyncIterator[Entry]:
    """Run an entry process in the current event loop.

    Parameters
    ----------
    addresses : iterable of str
        Addresses of the upstreams.
    claims : ClaimManager or None
        Replaces the claim manager of the settings.
    has_settings : bool
        Whether members and settings are delivered at the start.
    merged : dict or None
        Deployment settings in place of `MERGED_SETTINGS`.
    **changes
        Process settings that differ from those of `make_settings`.
    """
    process = EntryProcess(make_settings(**changes), claims)
    envelope = make_envelope(merged=merged or MERGED_SETTINGS)
    link = StaticControlLink(process.get_callbacks(), envelope, addresses)
    process.listen()
    run_maintenance = asyncio.ensure_future(process.run_maintenance())
    if has_settings:
        link.deliver()
    try:
        yield Entry(process, link)
    finally:
        run_maintenance.cancel()
        process.server.stop()
        process.admin.stop()
        await process.server.close_all_connections()
        process.client.close()


async def wait_for(condition: Callable[[], object], timeout_s: float = WAIT_S) -> None:
    """Wait until the condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


def get_field(head: bytes, name: str) -> list[str]:
    """Return the values of a header field, in order."""
    prefix = name.lower().encode() + b":"
    lines = head.split(b"\r\n")[1:]
    return [
        line[len(prefix) :].strip().decode() for line in lines if line.lower().startswith(prefix)
    ]


def make_request(
    method: str = "GET", path: str = "/donkeys/7", *fields: str, body: bytes = b""
) -> bytes:
    """Return the bytes of a request with the given extra header lines."""
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.test", *fields]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
