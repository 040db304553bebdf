"""Running node process: signals, reloads of the settings file, and its end."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import time

from absl import logging

from ..adapters.addresses import split_address
from ..adapters.logs import configure_logging, log_event
from ..adapters.output import NonBlockingOutput
from ..core.errors import SettingsError
from ..platform.settings import load_node_settings
from ..settings.node import NodeSettings
from .early_signals import has_reload_request
from .node_process import NodeProcess
from .startup import configure_garbage_collector, prepare_event_loop

__all__ = ["run_process"]

# The settings file may also change without a SIGHUP, so its modification time is polled.
SETTINGS_POLL_INTERVAL_S = 2.0


def read_modification_time(file: str) -> float:
    """Return the modification time of a file as Unix time, 0 if it cannot be read."""
    try:
        return os.stat(file).st_mtime
    except OSError:
        return 0.0


async def reload_settings_on_change(
    process: NodeProcess, file: str, reload_requested: asyncio.Event
) -> None:
    """Reload the settings file after SIGHUP or a new modification time, until cancelled."""
    modified_at = read_modification_time(file)
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reload_requested.wait(), SETTINGS_POLL_INTERVAL_S)
        new_modified_at = read_modification_time(file)
        if not reload_requested.is_set() and new_modified_at == modified_at:
            continue
        reload_requested.clear()
        modified_at = new_modified_at
        try:
            settings = load_node_settings(file)
        except SettingsError as error:
            # The file may be written only in part; the present settings stay in force.
            process.counters.incr("settings.rejected")
            log_event("settings_invalid", error=error)
            continue
        process.replace_settings(settings, time.monotonic())


async def _serve(
    settings: NodeSettings,
    file: str,
    metrics_address: str,
    output: NonBlockingOutput,
    listener: socket.socket,
) -> None:
    """Serve until SIGTERM or SIGINT; `run_process` describes the parameters."""
    loop = asyncio.get_running_loop()
    stopped = prepare_event_loop()
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    if has_reload_request():
        reload_requested.set()
    process = NodeProcess(settings)
    configure_garbage_collector()
    process.listen()
    if metrics_address:
        host, port = split_address(metrics_address)
        process.admin.listen(port, host)
    tasks = process.start_store_tasks()
    tasks.append(asyncio.ensure_future(process.accept_when_ready(listener)))
    tasks.append(asyncio.ensure_future(process.run_maintenance(output)))
    tasks.append(asyncio.ensure_future(reload_settings_on_change(process, file, reload_requested)))
    await stopped.wait()
    await process.shut_down()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    output.flush()


def run_process(
    settings: NodeSettings, file: str, metrics_address: str, listener: socket.socket
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down and exit the process with status 0.

    Parameters
    ----------
    settings : NodeSettings
        Process settings.
    file : str
        Path of the settings file, which is reloaded when it changes.
    metrics_address : str
        `address:port` of the administration API, empty for none.
    listener : socket.socket
        Listening socket for the callers' connections.
    """
    configure_logging()
    output = NonBlockingOutput(sys.stdout.fileno())
    logging.get_absl_handler().python_handler.stream = output
    asyncio.run(_serve(settings, file, metrics_address, output, listener))
    # Skips the cleanup of libraries at exit, which takes longer than the last step of the shutdown.
    os._exit(0)
