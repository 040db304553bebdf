"""Holds a SIGHUP that arrives before the process can reload its settings.

By default it ends a process. This module imports next to nothing, so that it can act before all
others are imported.
"""

import signal
from types import FrameType

__all__ = ["has_reload_request", "hold_reload_requests"]

_requests: list[int] = []


def hold_reload_requests() -> None:
    """Remember further signals SIGHUP, until the event loop handles them."""
    signal.signal(signal.SIGHUP, _remember)


def has_reload_request() -> bool:
    """Return whether a SIGHUP has arrived since `hold_reload_requests`."""
    return bool(_requests)


def _remember(number: int, _frame: FrameType | None) -> None:
    _requests.append(number)
