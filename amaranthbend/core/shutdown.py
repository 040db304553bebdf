"""Steps of a graceful shutdown within a fixed time.

Load pattern: the platform's balancer takes about two seconds to notice that a machine is not
ready, and persistent connections bring further requests until they are closed.
"""

from enum import IntEnum
from typing import NamedTuple

__all__ = ["ShutdownPlan", "ShutdownStep", "make_shutdown_plan"]

# Two failed readiness checks, one per second, and the transit time of the second one.
BALANCER_LAG_S = 2.3
# Share of the grace period in which new requests are accepted; the last ones have the other half
# to finish.
ACCEPT_SHARE = 0.5
# Longest time for which new requests are accepted. The balancer sends none any more by then, and a
# request on a persistent connection reaches another host without loss if it is refused.
MAX_ACCEPT_S = 3.0
# Time before the kill at which requests in flight are aborted, so that their callers get a
# response, also from a slow machine.
ABORT_MARGIN_S = 0.6


class ShutdownStep(IntEnum):
    """Steps of the shutdown, in this order."""

    ACCEPT = 0
    REFUSE = 1
    ABORT = 2


class ShutdownPlan(NamedTuple):
    """Times in seconds after the signal.

    Parameters
    ----------
    earliest_exit_s : float
        Before this time the balancer may still send connections.
    refuse_s : float
        From this time on, new requests are refused.
    abort_s : float
        At this time, requests still in flight are aborted.
    """

    earliest_exit_s: float
    refuse_s: float
    abort_s: float

    def find_step(self, elapsed_s: float) -> ShutdownStep:
        """Return the step at a time after the signal."""
        if elapsed_s >= self.abort_s:
            return ShutdownStep.ABORT
        return ShutdownStep.REFUSE if elapsed_s >= self.refuse_s else ShutdownStep.ACCEPT

    def may_exit(self, elapsed_s: float, requests: int) -> bool:
        """Return whether the process may exit.

        Parameters
        ----------
        elapsed_s : float
            Seconds since the signal.
        requests : int
            Number of requests in flight.
        """
        if elapsed_s >= self.abort_s:
            return True
        return elapsed_s >= self.earliest_exit_s and requests == 0


def make_shutdown_plan(grace_s: float) -> ShutdownPlan:
    """Return the plan for a grace period, the seconds between the signal and the kill."""
    abort_s = max(0.0, grace_s - ABORT_MARGIN_S)
    refuse_s = min(abort_s, grace_s * ACCEPT_SHARE, MAX_ACCEPT_S)
    return ShutdownPlan(min(refuse_s, BALANCER_LAG_S), refuse_s, abort_s)
