"""Child processes, loopback addresses and bounded waits for tests and the demo."""

import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

__all__ = [
    "Endpoint",
    "ManagedProcess",
    "pick_endpoint",
    "pick_network",
    "wait_until",
]

T = TypeVar("T")

POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 10.0
NETWORK_COUNT = 60_000
# Test workers have adjacent process ids; none of them uses this many networks.
NETWORKS_PER_PROCESS = 997
_network_numbers = itertools.count(os.getpid() * NETWORKS_PER_PROCESS)
_picked: set["Endpoint"] = set()


class Endpoint(tuple[str, int]):
    """Address and port."""

    @property
    def address(self) -> str:
        """IP number."""
        return self[0]

    @property
    def port(self) -> int:
        """Port."""
        return self[1]

    def __str__(self) -> str:
        return f"{self[0]}:{self[1]}"


def pick_network() -> str:
    """Return the first three numbers of a loopback network that nothing else should use.

    Parallel test processes would otherwise compete for ports between the
    moment a port is found free and the moment a child listens on it.
    """
    number = next(_network_numbers) % NETWORK_COUNT
    return f"127.{number // 250 + 1}.{number % 250 + 1}"


def pick_endpoint(address: str) -> Endpoint:
    """Return a port of the address that is free now and was not returned before.

    The kernel may give the same free port again before a child listens on it.
    """
    while True:
        with socket.socket() as probe:
            probe.bind((address, 0))
            endpoint = Endpoint((address, probe.getsockname()[1]))
        if endpoint in _picked:
            continue
        _picked.add(endpoint)
        return endpoint


def wait_until(condition: Callable[[], T], timeout_s: float, what: str) -> T:
    """Return the first true value of the condition.

    Raises
    ------
    TimeoutError
        If there is none in time.
    """
    give_up_at = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"{what}: not within {timeout_s} s")
        time.sleep(POLL_INTERVAL_S)


class ManagedProcess:
    """A Python module run as a child process, whose output goes to a file.

    Parameters
    ----------
    name : str
        Name for messages and for the output file.
    module : str
        Module to run.
    arguments : sequence of str
        Command-line arguments.
    folder : Path
        Folder for the output file.
    """

    def __init__(self, name: str, module: str, arguments: Sequence[str], folder: Path) -> None:
        self.name = name
        self.output_path = folder / f"{name}.log"
        self._command = [sys.executable, "-m", module, *arguments]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None, f"{self.name} was not started"
        return self._process.pid

    def start(self) -> None:
        """Start the process."""
        with self.output_path.open("ab") as output:
            self._process = subprocess.Popen(
                self._command, stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT
            )

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        assert self._process is not None, f"{self.name} was not started"
        self._process.send_signal(number)

    def terminate(self) -> None:
        """Ask for a graceful shutdown."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once, and wait until it is gone."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def pause(self) -> None:
        """Stop the process from running until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run again."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit code."""
        assert self._process is not None, f"{self.name} was not started"
        return self._process.wait(timeout_s)

    def clean_up(self) -> None:
        """End the process if it still runs."""
        if self.is_running():
            self.resume()
            self.kill()

    def read_output(self) -> str:
        """Return everything that the process printed."""
        return self.output_path.read_text(errors="replace")
