"""Signal handlers and garbage collector settings of all server programs.

This module must not import the settings parser: its library is not installed where the node
process runs.
"""

import asyncio
import gc
import signal

from ..adapters.steady_clock import use_steady_clock

__all__ = ["prepare_event_loop", "configure_garbage_collector"]

# The youngest generation is collected after this many new container objects, which is the number
# that about 100 requests create.
GC_THRESHOLDS = (20_000, 20, 20)


def prepare_event_loop() -> asyncio.Event:
    """Set up the running event loop of a server program.

    Returns an event that SIGTERM and SIGINT set. Must be called before the first use of tornado.
    """
    use_steady_clock()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    return stopped


def configure_garbage_collector() -> None:
    """Make garbage collections rare and short, since each one delays all requests in flight.

    Objects created until now live as long as the process, so later collections skip them.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
