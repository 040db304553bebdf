"""Node process as a program of its own."""

import asyncio
import contextlib
import os
import re
import signal
import subprocess
import sys
import urllib.request
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer

from amaranthbend.adapters.output import HELD_BYTES, NonBlockingOutput
from amaranthbend.programs.node import METRICS_VARIABLE
from standins.instance import Instance
from standins.processes import pick_endpoint
from standins.store import StoreState, make_store_app

from .node_cases import ADDRESS, exchange, make_configuration

START_S = 20.0
SETTINGS = """
[self]
node = "host-1"
zone = "huye"
[network.listenAddresses]
frontend = "{frontend}"
readiness = "{readiness}"
[platform.platform]
address = "{store}"
[terms.bounds]
gracePeriod = "{grace}"
probesPerS = 600
"""


class Program:
    """The program and what surrounds it."""

    def __init__(self, folder: Path) -> None:
        self.file = folder / "settings.toml"
        self.names = {
            name: f"{ADDRESS}:{pick_endpoint(ADDRESS).port}"
            for name in ("frontend", "readiness", "store", "metrics")
        }
        self.process: asyncio.subprocess.Process | None = None
        self.output = b""

    def write_settings(self, grace: str = "6s") -> None:
        """Write the settings file."""
        self.file.write_text(SETTINGS.format(grace=grace, **self.names))

    async def start(self) -> None:
        """Start the program."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "amaranthbend.programs.node",
            env={
                **os.environ,
                "AMARANTHBEND_CONFIG": str(self.file),
                METRICS_VARIABLE: self.names["metrics"],
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

    async def restart(self) -> None:
        """Kill the program, and start it again."""
        assert self.process is not None
        self.process.kill()
        await self.process.wait()
        await self.start()

    async def connect_early(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection as soon as the program takes any."""
        async with asyncio.timeout(START_S):
            while True:
                with contextlib.suppress(OSError):
                    return await self.connect()
                await asyncio.sleep(0.002)

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        host, _, port = self.names["readiness"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await reader.read()
        writer.close()
        return answer.startswith(b"HTTP/1.1 200")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection to the program."""
        host, _, port = self.names["frontend"].rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def signal(self, number: int) -> None:
        """Send a signal to the program."""
        assert self.process is not None
        self.process.send_signal(number)

    async def read_output(self) -> str:
        """Wait for the end, and return what the program wrote."""
        assert self.process is not None
        output, _ = await asyncio.wait_for(self.process.communicate(), START_S)
        return output.decode()


@contextlib.asynccontextmanager
async def start_program(folder: Path) -> AsyncIterator[Program]:
    """Run the program with a store and an instance."""
    program = Program(folder)
    program.write_settings()
    store = StoreState()
    server = HTTPServer(make_store_app(store))
    server.listen(int(program.names["store"].rpartition(":")[2]), ADDRESS)
    instance = Instance("i-0", "desk", "huye")
    await instance.start(ADDRESS, pick_endpoint(ADDRESS).port)
    store.put("servers", "i-0", instance.describe())
    store.put("config", "main", make_configuration())
    await program.start()
    assert program.process is not None
    try:
        async with asyncio.timeout(START_S):
            while not await program.is_ready():
                await asyncio.sleep(0.05)
        yield program
    finally:
        if program.process.returncode is None:
            program.process.kill()
            await program.process.wait()
        server.stop()
        await instance.stop()


def run_program(folder: Path, check: Callable[[Program], Coroutine[Any, Any, None]]) -> None:
    """Run a check against the program."""

    async def run() -> None:
        async with start_program(folder) as program:
            await check(program)

    asyncio.run(run())


def test_request_metrics_and_graceful_shutdown(tmp_path: Path) -> None:
    """Guards against a program that cannot be watched, or that cuts off requests when stopped."""

    async def check(program: Program) -> None:
        reader, writer = await program.connect()
        assert (await exchange(reader, writer, "/safe/x", request_id="r1")).status == 200
        page = await asyncio.to_thread(read_metrics, program.names["metrics"])
        assert 'amaranthbend_events_total{event="outcome.answered"} 1.0' in page
        pattern = r'request_seconds_count\{outcome="answered",service="desk"\} 1\.0'
        assert re.search(pattern, page)
        slow = asyncio.ensure_future(exchange(reader, writer, "/unsafe/slow", "POST", "r2"))
        await asyncio.sleep(0.2)
        program.signal(signal.SIGTERM)
        assert (await slow).status == 200
        assert not await program.is_ready()
        output = await program.read_output()
        assert re.search(r"event=request id=r2 .*outcome=answered .*attempts=i-0/", output)
        for event in ("node_started", "configuration_in_force", "node_draining", "node_stopped"):
            assert f"event={event}" in output

    run_program(tmp_path, check)


def test_connections_wait_while_the_program_loads(tmp_path: Path) -> None:
    """Guards against refusing callers for the time in which a restarted process loads itself.

    Seen on the bench (eeslikoda-adopt-grown trouble-1, seed 175598858): 1.55 s on machines with
    0.43 of a core.
    """

    async def check(program: Program) -> None:
        await program.restart()
        reader, writer = await program.connect_early()
        assert not await program.is_ready()
        answer = await exchange(reader, writer, "/safe/x", request_id="r1")
        assert answer.status == 200

    run_program(tmp_path, check)


def test_start_without_the_store_tells_callers_to_come_back(tmp_path: Path) -> None:
    """Guards against callers that wait for a process which cannot serve them."""

    async def check(program: Program) -> None:
        program.names["store"] = f"{ADDRESS}:{pick_endpoint(ADDRESS).port}"
        program.write_settings()
        await program.restart()
        reader, writer = await program.connect_early()
        answer = await exchange(reader, writer, "/safe/x", request_id="r1")
        assert answer.status == 503
        assert "retry-after" in answer.fields

    run_program(tmp_path, check)


def read_metrics(address: str) -> str:
    """Return the metrics page."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as answer:
        return str(answer.read().decode())


def test_changed_settings_are_read_again(tmp_path: Path) -> None:
    """Guards against settings that need a restart, and against a bad file that ends the process."""

    async def check(program: Program) -> None:
        program.file.write_text("[self")
        program.signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        program.write_settings(grace="5s")
        program.signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert await program.is_ready()
        program.signal(signal.SIGTERM)
        output = await program.read_output()
        assert "event=settings_invalid" in output
        assert "event=settings_reloaded changed=grace_s" in output

    run_program(tmp_path, check)


def test_check_names_the_bad_setting(tmp_path: Path) -> None:
    """Guards against a process that dies without saying which field is wrong."""
    file = tmp_path / "settings.toml"
    file.write_text('[self]\nnode = "host-1"\n')
    command = [sys.executable, "-m", "amaranthbend.programs.node", "--check", "--settings"]
    done = subprocess.run(
        [*command, str(file)], capture_output=True, text=True, check=False, timeout=60
    )
    assert done.returncode == 2
    assert "self.zone" in done.stderr + done.stdout


def test_blocked_output_holds_up_nothing() -> None:
    """Guards against requests that wait for whoever reads the logs."""
    reading, writing = os.pipe()
    try:
        output = NonBlockingOutput(writing)
        line = "x" * 1000 + "\n"
        for _ in range(2000):
            output.write(line)
            output.flush()
        assert output.dropped > 0
        assert output.dropped < 2000
        received = 0
        while received < HELD_BYTES:
            received += len(os.read(reading, 65536))
            output.flush()
        dropped = output.dropped
        output.write(line)
        assert output.dropped == dropped
    finally:
        os.close(reading)
        os.close(writing)


def test_imports_only_what_a_machine_has() -> None:
    """Guards against a process that does not start for want of a library.

    Seen on the bench (hunt 86c2, 40 days): a shared module brought in the settings parser,
    whose library deploy/requirements.txt does not list.
    """
    listed = (Path(__file__).parent.parent / "deploy" / "requirements.txt").read_text()
    code = (
        "import sys, importlib.metadata as m; before = set(sys.modules); "
        "import amaranthbend.programs.node, amaranthbend.programs.node_process, fire; "
        "tops = {name.partition('.')[0] for name in set(sys.modules) - before}; "
        "found = m.packages_distributions(); "
        "print(*sorted({d for t in tops for d in found.get(t, ())}))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    )
    names = {line.partition(">=")[0] for line in listed.splitlines() if not line.startswith("#")}
    loaded = {name.replace("_", "-") for name in done.stdout.split()}
    # What the listed ones need in turn, and this project itself.
    indirect = {"amaranthbend", "termcolor", "certifi", "setuptools"}
    assert loaded - names - indirect == set()
