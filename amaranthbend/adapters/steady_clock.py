"""Steady clock for the timeouts of tornado."""

from tornado.platform.asyncio import AsyncIOMainLoop

__all__ = ["use_steady_clock"]


class _SteadyLoop(AsyncIOMainLoop):
    """Loop of tornado whose clock is that of asyncio, which is not affected by changes of time."""

    def time(self) -> float:
        """Return the time of the running asyncio loop, in seconds."""
        return self.asyncio_loop.time()


def use_steady_clock() -> None:
    """Make tornado use a steady clock in the running event loop.

    Tornado takes the time of day by default. If that is set back between the start of a call and
    its connection, the timeout of the call grows by the difference. Must be called before the
    first use of tornado in the event loop.
    """
    _SteadyLoop()
