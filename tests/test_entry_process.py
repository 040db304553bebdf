"""Tests of the entry process as a program: shutdown, administration API and settings file."""

import asyncio
import contextlib
import json
import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.http import call, call_json
from standins.processes import Endpoint, ManagedProcess, wait_until

from .entry_cases import (
    OK,
    WAIT_S,
    ScriptedUpstream,
    get_field,
    make_request,
    make_settings,
    read_message,
)

BLOCK = b"x" * 1000


class RunningEntry:
    """An entry process and the addresses on which it listens."""

    def __init__(self, folder: Path, address: str, balancer_lag_s: float) -> None:
        settings = make_settings(balancer_lag_s=balancer_lag_s, stall_timeout_s=5.0)
        path = folder / "entry.jsonc"
        path.write_text("// Test.\n" + json.dumps(settings._asdict()))
        self.process = ManagedProcess("entry", "tests.entry_runner", [str(path), address], folder)
        self.admin = Endpoint((settings.admin_address, settings.admin_port))
        self.caller = (settings.address, settings.port)

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""

        def is_ready() -> bool:
            with contextlib.suppress(OSError):
                return call(self.admin, "/readyz").status == 200
            return False

        await asyncio.to_thread(wait_until, is_ready, WAIT_S, "ready")


@contextlib.contextmanager
def run_entry_process(
    folder: Path, address: str, balancer_lag_s: float = 0.2
) -> Iterator[RunningEntry]:
    """Run an entry process while the context is open."""
    process = RunningEntry(folder, address, balancer_lag_s)
    process.process.start()
    try:
        yield process
    finally:
        process.process.clean_up()


@pytest.mark.parametrize("signals", [1, 2])
def test_shutdown_interrupts_nothing(tmp_path: Path, signals: int) -> None:
    """Guards against a shutdown that aborts a long download or drops a late request."""

    async def download(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head, _body = await read_message(reader)
        if b" /archive " not in head:
            writer.write(OK)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (30 * len(BLOCK)))
        for _ in range(30):
            writer.write(BLOCK)
            await writer.drain()
            await asyncio.sleep(0.05)

    async def check() -> None:
        async with ScriptedUpstream(download) as upstream:
            with run_entry_process(tmp_path, upstream.address, balancer_lag_s=0.3) as entry:
                await entry.wait_ready()
                reader, writer = await asyncio.open_connection(*entry.caller)
                idle_reader, idle_writer = await asyncio.open_connection(*entry.caller)
                writer.write(make_request("GET", "/archive"))
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
                for _ in range(signals):
                    entry.process.send_signal(signal.SIGTERM)
                    await asyncio.sleep(0.05)
                ready = await asyncio.to_thread(call, entry.admin, "/readyz")
                assert ready.status == 503
                # The balancer still sends requests until its next readiness check.
                late_reader, late_writer = await asyncio.open_connection(*entry.caller)
                late_writer.write(make_request("GET", "/late"))
                late, _body = await asyncio.wait_for(read_message(late_reader), WAIT_S)
                assert get_field(late, "Connection") == ["close"]
                assert await asyncio.wait_for(idle_reader.read(), WAIT_S) == b""
                with pytest.raises(OSError):
                    await asyncio.open_connection(*entry.caller)
                length = int(get_field(head, "Content-Length")[0])
                body = await asyncio.wait_for(reader.readexactly(length), WAIT_S)
                for stream in (writer, idle_writer, late_writer):
                    stream.close()
                assert body == BLOCK * 30
                code = await asyncio.to_thread(entry.process.wait)
                assert code == 0, entry.process.read_output()

    asyncio.run(check())


def test_administration_api_shows_the_state(tmp_path: Path) -> None:
    """Guards against missing settings, counters or upstreams in the administration API."""

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        report = b"X-Load-Report: in_flight=1;queued=0;slots=6;state=serving;incarnation=1\r\n"
        writer.write(OK.replace(b"Content-", report + b"Content-"))

    async def check() -> None:
        async with ScriptedUpstream(respond) as upstream:
            with run_entry_process(tmp_path, upstream.address) as entry:
                await entry.wait_ready()
                reader, writer = await asyncio.open_connection(*entry.caller)
                writer.write(make_request())
                await asyncio.wait_for(read_message(reader), WAIT_S)
                writer.close()

                def read(path: str) -> dict[str, object]:
                    result: dict[str, object] = call_json(entry.admin, path)
                    return result

                assert (await asyncio.to_thread(call, entry.admin, "/livez")).status == 200
                config = await asyncio.to_thread(read, "/configz")
                counters = await asyncio.to_thread(read, "/counterz")
                upstreams = await asyncio.to_thread(read, "/upstreamz")
        assert config["serial"] == 1
        assert json.loads(json.dumps(counters))["counters"]["outcome.answered"] == 1
        [view] = json.loads(json.dumps(upstreams))["adopt-desk"]
        assert (view["upstream"], view["report"]["slots"]) == ("desk-0", 6)

    asyncio.run(check())


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ('"port": "80"', ":3: port: '80' is not a whole number"),
        ('"prot": 80', ":3: prot: unknown setting"),
        ('"address": "127.0.0.1"', "missing"),
        ('"approver_keys": {"a": 1}', "is not an object of strings"),
    ],
)
def test_bad_process_settings_end_the_program(tmp_path: Path, change: str, expected: str) -> None:
    """Guards against an invalid or misspelt setting that is ignored."""
    path = tmp_path / "entry.jsonc"
    path.write_text('{\n  "deployment": "eeslikoda",\n  ' + change + "\n}\n")
    arguments = [f"--settings={path}"]
    process = ManagedProcess("bad", "amaranthbend.programs.entry", arguments, tmp_path)
    process.start()
    assert process.wait() == 2
    assert str(path) in process.read_output()
    assert expected in process.read_output()


def test_statsd_packets_hold_every_counter_change(tmp_path: Path) -> None:
    """Guards against counter changes and timings that are not sent to statsd."""
    from amaranthbend.adapters.metrics import Counters

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(WAIT_S)
        counters = Counters(f"127.0.0.1:{server.getsockname()[1]}", "entry")
        for _ in range(3):
            counters.incr("reason.queue_full")
        counters.record("request", 0.25)
        counters.flush()
        lines = set(server.recv(4096).decode().split("\n"))
        counters.incr("reason.queue_full")
        counters.flush()
        assert "entry.reason.queue_full:3|c" in lines
        assert "entry.request.p99:250.000000|ms" in lines
        assert server.recv(4096) == b"entry.reason.queue_full:1|c"
