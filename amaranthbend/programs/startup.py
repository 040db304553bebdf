"""What all server programs do at the start: signals and memory.

Imports nothing of the settings parser, which the node process does without.
"""

import asyncio
import gc
import signal

__all__ = ["make_stop_event", "configure_garbage_collector"]

# New container objects between two collections of the youngest generation; some 100 requests.
GC_THRESHOLDS = (20_000, 20, 20)


def make_stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set, in the running event loop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    return stopped


def configure_garbage_collector() -> None:
    """Keep garbage collections rare and short, since each one delays all requests under way.

    Objects of the start live as long as the process; later collections skip them.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
