"""Shutdown of the node process."""

import asyncio
import time

from ..adapters.caller_server import CallerServer
from ..adapters.logs import log_event
from ..core.shutdown import ShutdownStep, make_shutdown_plan
from ..filters.chain import FilterChain
from ..filters.dispatch import DispatchFilter
from ..filters.shutdown import ShutdownFilter, make_shutdown_refusal

__all__ = ["FINAL_REFUSAL_PERIOD_S", "ShutdownSequence"]

DRAIN_POLL_INTERVAL_S = 0.02
# Longest time for which the process, before it exits, still refuses requests that were in transit
# when it decided to exit. It is part of the margin that the shutdown plan leaves before the kill.
FINAL_REFUSAL_PERIOD_S = 0.2


class ShutdownSequence:
    """Ends the requests and the connections of callers before the process exits.

    Parameters
    ----------
    server : CallerServer
        Server for callers.
    chain : FilterChain
        Filters of the requests.
    shutdown_filter : ShutdownFilter
        Refuses new requests.
    dispatch : DispatchFilter
        Holds the requests in flight.
    """

    def __init__(
        self,
        server: CallerServer,
        chain: FilterChain,
        shutdown_filter: ShutdownFilter,
        dispatch: DispatchFilter,
    ) -> None:
        self._server = server
        self._chain = chain
        self._shutdown_filter = shutdown_filter
        self._dispatch = dispatch

    async def run(self, grace_s: float) -> None:
        """Finish the requests in flight and close all connections.

        Parameters
        ----------
        grace_s : float
            Time in seconds after which the process is killed.
        """
        plan = make_shutdown_plan(grace_s)
        started_at = time.monotonic()
        self._chain.is_draining = True
        log_event("node_draining", connections=self._server.count_connections())
        elapsed_s = 0.0
        while not plan.may_exit(elapsed_s, self._server.count_requests()):
            self._shutdown_filter.refuses_requests = (
                plan.find_step(elapsed_s) is not ShutdownStep.ACCEPT
            )
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            elapsed_s = time.monotonic() - started_at
        log_event(
            "node_leaving", elapsed_ms=int(elapsed_s * 1000), cut=self._server.count_requests()
        )
        await self.close_connections()
        log_event("node_stopped")

    async def close_connections(self) -> None:
        """Abort the requests in flight, refuse new ones and close all connections."""
        self._shutdown_filter.refuses_requests = True
        self._server.stop()
        self._server.refuse_incomplete(make_shutdown_refusal())
        self._dispatch.abort_all()
        deadline = time.monotonic() + FINAL_REFUSAL_PERIOD_S
        while self._server.count_connections() > 0 and time.monotonic() < deadline:
            self._server.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self._server.reset_unwritten()
