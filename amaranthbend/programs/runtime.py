"""What both server programs do at the start: settings and signals."""

import asyncio
import signal
import sys
from typing import TypeVar

from ..adapters.logs import log_event
from ..core.errors import SettingsError
from ..settings.process import load_process_settings

__all__ = ["load_or_exit", "make_stop_event"]

EXIT_BAD_SETTINGS = 2

T = TypeVar("T")


def make_stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set, in the running event loop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


def load_or_exit(file: str, kind: type[T]) -> T:
    """Return the process settings in a file; log the error and exit if they are not valid.

    Parameters
    ----------
    file : str
        Path of the file, JSON with comments.
    kind : type
        NamedTuple whose fields are the settings.
    """
    try:
        return load_process_settings(file, kind)
    except SettingsError as error:
        log_event("settings_invalid", error=error)
        sys.exit(EXIT_BAD_SETTINGS)
