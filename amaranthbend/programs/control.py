"""Control process: one on each entry host, between the platform, its peers and the host."""

import asyncio
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import fire
import grpc
from absl import logging
from result import Ok, Result
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..adapters.platform import PlatformClient
from ..controllers.entry_feed import EntryFeed, ShareValidity
from ..controllers.host_state import HostState
from ..controllers.host_watch import HostWatch
from ..controllers.settings_watch import SettingsWatch
from ..core.envelope import SettingsEnvelope
from ..core.errors import ApprovalError
from ..rpc import control_pb2_grpc

__all__ = ["ControlProcess", "ControlSettings", "main"]

# Calls at the same time: two long polls, leases, sweeps and status.
PLATFORM_CLIENTS = 32
STOP_GRACE_S = 1.0


class ControlSettings(NamedTuple):
    """Process settings that the control process uses."""

    deployment: str
    host_id: str
    control_address: str
    control_port: int
    platform_url: str


class LogCounters:
    """Counters kept in memory."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        self.values[stat] = self.values.get(stat, 0) + count


def accept_newer(
    held: SettingsEnvelope | None, offered: SettingsEnvelope
) -> Result[SettingsEnvelope, ApprovalError]:
    """Accept a higher serial."""
    if held is not None and offered.serial <= held.serial:
        from result import Err

        return Err(ApprovalError(f"serial {offered.serial} is not above {held.serial}"))
    return Ok(offered)


class ControlProcess:
    """Builds the parts of the control process and runs them until it is told to stop."""

    def __init__(self, settings: ControlSettings) -> None:
        rng = random.Random()
        self._settings = settings
        self._counters = LogCounters()
        client = SimpleAsyncHTTPClient(force_instance=True, max_clients=PLATFORM_CLIENTS)
        self.platform = PlatformClient(settings.platform_url, client, self._counters)
        self.state = HostState(settings.host_id, accept_newer, self._counters, time.monotonic)
        self.settings_watch = SettingsWatch(self.platform, self.state, settings.deployment, rng)
        self.host_watch = HostWatch(self.platform, self.state, rng)
        self.feed = EntryFeed(self.state, self._counters, lambda: ShareValidity(0.0, 0.0))

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until the event is set."""
        server = grpc.aio.server()
        control_pb2_grpc.add_FeedServicer_to_server(self.feed, server)  # type: ignore[no-untyped-call]
        server.add_insecure_port(f"{self._settings.control_address}:{self._settings.control_port}")
        await server.start()
        logging.info("event=control_started port=%d", self._settings.control_port)
        loops: list[Callable[[], Awaitable[None]]] = [self.settings_watch.run, self.host_watch.run]
        tasks = [asyncio.ensure_future(run()) for run in loops]
        await stopped.wait()
        for task in tasks:
            task.cancel()
        await server.stop(STOP_GRACE_S)
        logging.info("event=control_stopped")


async def serve(settings: ControlSettings) -> None:
    """Run until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    await ControlProcess(settings).run(stopped)


def run(settings: str) -> None:
    """Run the control process.

    Parameters
    ----------
    settings : str
        Path of the process settings file.
    """
    with open(settings) as stream:
        document: dict[str, Any] = json.load(stream)
    asyncio.run(serve(ControlSettings(**document)))


def main() -> None:
    """Run from the command line."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    fire.Fire(run)


if __name__ == "__main__":
    main()
