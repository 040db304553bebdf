"""What the server programs do at the start: settings, signals and memory."""

import asyncio
import gc
import signal
import sys
from typing import TypeVar

from ..adapters.logs import log_event
from ..core.errors import SettingsError
from ..settings.process import load_process_settings

__all__ = ["EXIT_BAD_SETTINGS", "load_or_exit", "make_stop_event", "spare_collections"]

EXIT_BAD_SETTINGS = 2
# New container objects between two collections of the youngest generation; some 100 requests.
COLLECTION_THRESHOLDS = (20_000, 20, 20)

T = TypeVar("T")


def make_stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set, in the running event loop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


def spare_collections() -> None:
    """Keep garbage collections rare and short, since each one delays all requests under way.

    Objects of the start live as long as the process; later collections skip them.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


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
