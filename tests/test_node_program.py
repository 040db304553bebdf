"""Tests of the node process as a separate program."""

import asyncio
import os
import re
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

from amaranthbend.adapters.output import MAX_BUFFERED_BYTES, NonBlockingOutput
from standins.instance import Instance
from standins.node_caller import exchange
from standins.node_program import NodeProgram
from standins.processes import pick_endpoint

from .node_cases import ADDRESS, WAIT_TIMEOUT_S, wait_until
from .program_cases import run_program


def test_request_metrics_and_graceful_shutdown(tmp_path: Path) -> None:
    """Guards against missing metrics and log lines, and requests aborted by a shutdown."""

    async def check(program: NodeProgram, _instance: Instance) -> None:
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


def test_connections_wait_while_the_program_imports_modules(tmp_path: Path) -> None:
    """Guards against refused connections while a restarted process imports its modules.

    The import took 1.55 s on machines with 0.43 of a core.
    """

    async def check(program: NodeProgram, _instance: Instance) -> None:
        await program.restart()
        reader, writer = await program.connect_early()
        assert not await program.is_ready()
        answer = await exchange(reader, writer, "/safe/x", request_id="r1")
        assert answer.status == 200

    run_program(tmp_path, check)


def test_response_without_length_that_a_kill_cuts_off_is_not_whole(tmp_path: Path) -> None:
    """Guards against a part of a response that its caller takes for the whole.

    When a process is killed, the kernel ends its connections in order, as at the end of a
    response that only the end of the connection marks. Found by the soak, seed 7237.
    """

    async def check(program: NodeProgram, _instance: Instance) -> None:
        reader, writer = await program.connect()
        call = asyncio.ensure_future(exchange(reader, writer, "/safe/endless_body"))
        await asyncio.sleep(0.5)
        assert not call.done()
        await program.kill()
        assert (await call).status == 0
        writer.close()

    run_program(tmp_path, check)


def test_start_without_the_store_answers_503_with_retry_after(tmp_path: Path) -> None:
    """Guards against callers that wait for a process without a configuration."""

    async def check(program: NodeProgram, _instance: Instance) -> None:
        program.names["store"] = f"{ADDRESS}:{pick_endpoint(ADDRESS).port}"
        program.write_settings()
        await program.restart()
        reader, writer = await program.connect_early()
        answer = await exchange(reader, writer, "/safe/x", request_id="r1")
        assert answer.status == 503
        assert "retry-after" in answer.fields

    run_program(tmp_path, check)


def catches_sighup(pid: int) -> bool:
    """Return whether a process has a handler for SIGHUP."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    caught = next(line for line in text.splitlines() if line.startswith("SigCgt:"))
    return bool(int(caught.split()[1], 16) >> (signal.SIGHUP - 1) & 1)


def test_reload_request_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    """Guards against a process that ends because its settings change while it starts.

    Seen in the second review: a SIGHUP in the first 0.2 s. Until the interpreter runs the first
    line of the program, nothing can prevent that.
    """

    async def check(program: NodeProgram, _instance: Instance) -> None:
        await program.kill()
        started_at = time.monotonic()
        await program.start()
        assert program.process is not None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not catches_sighup(program.process.pid):
                await asyncio.sleep(0.001)
        caught_at = time.monotonic()
        program.signal(signal.SIGHUP)
        await program.wait_ready()
        ready_at = time.monotonic()
        assert program.process.returncode is None
        # The modules that take most of the start are imported after it.
        assert caught_at - started_at < 0.6 * (ready_at - started_at)
        await wait_until(lambda: "event=settings_reloaded" in program.log_file.read_text())

    run_program(tmp_path, check)


def read_metrics(address: str) -> str:
    """Return the text of the metrics page."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as answer:
        return str(answer.read().decode())


def test_changed_settings_are_reloaded(tmp_path: Path) -> None:
    """Guards against settings that need a restart, and a process that an invalid file stops."""

    async def check(program: NodeProgram, _instance: Instance) -> None:
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
    """Guards against an exit without a message that names the invalid setting."""
    file = tmp_path / "settings.toml"
    file.write_text('[self]\nnode = "host-1"\n')
    command = [sys.executable, "-m", "amaranthbend.programs.node", "--check", "--settings"]
    done = subprocess.run(
        [*command, str(file)], capture_output=True, text=True, check=False, timeout=60
    )
    assert done.returncode == 2
    assert "self.zone" in done.stderr + done.stdout


def test_blocked_log_output_does_not_block_the_writer() -> None:
    """Guards against requests that wait because nothing reads the log output."""
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
        while received < MAX_BUFFERED_BYTES:
            received += len(os.read(reading, 65536))
            output.flush()
        dropped = output.dropped
        output.write(line)
        assert output.dropped == dropped
    finally:
        os.close(reading)
        os.close(writing)


def test_imports_only_deployed_libraries() -> None:
    """Guards against a process that does not start because a library is not installed.

    A shared module imported the settings parser, whose library deploy/requirements.txt does not
    list.
    """
    listed = (Path(__file__).parent.parent / "deploy" / "requirements.txt").read_text()
    code = (
        "import sys, importlib.metadata as m; before = set(sys.modules); "
        "import amaranthbend.programs.node, amaranthbend.programs.node_serving, fire; "
        "tops = {name.partition('.')[0] for name in set(sys.modules) - before}; "
        "found = m.packages_distributions(); "
        "print(*sorted({d for t in tops for d in found.get(t, ())}))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    )
    names = {line.partition(">=")[0] for line in listed.splitlines() if not line.startswith("#")}
    loaded = {name.replace("_", "-") for name in done.stdout.split()}
    # This project itself and the dependencies of the listed libraries.
    indirect = {"amaranthbend", "termcolor", "certifi", "setuptools"}
    assert loaded - names - indirect == set()
