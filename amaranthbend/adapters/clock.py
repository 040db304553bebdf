"""Clock that also counts the time for which the host was suspended."""

import time

__all__ = ["read_clock"]


def read_clock() -> float:
    """Return the seconds since the host was started, including suspensions.

    `time.monotonic` stops while a host is suspended, so that whatever expired meanwhile would
    still seem valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
