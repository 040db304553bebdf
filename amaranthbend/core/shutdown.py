"""Steps of a graceful shutdown within a fixed time.

Load pattern: the platform's balancer notices after about two seconds that a machine is not
ready, and kept connections bring requests until they close.
"""

from enum import IntEnum
from typing import NamedTuple

__all__ = ["ShutdownPlan", "ShutdownStep", "make_shutdown_plan"]

# Two missed readiness questions, one a second, and the way of the second one.
BALANCER_LAG_S = 2.3
# Requests taken until here have half of the time left to finish.
ACCEPT_SHARE = 0.5
# Before the kill, so that requests still in flight get an answer, also from a slow machine.
ABORT_MARGIN_S = 0.6


class ShutdownStep(IntEnum):
    """What the process does, in this order."""

    ACCEPT = 0
    REFUSE = 1
    ABORT = 2


class ShutdownPlan(NamedTuple):
    """Times in seconds after the signal.

    Parameters
    ----------
    earliest_exit_s : float
        Before this the balancer may still send connections.
    refuse_s : float
        New requests are refused from here on.
    abort_s : float
        Requests still in flight are ended here.
    """

    earliest_exit_s: float
    refuse_s: float
    abort_s: float

    def find_step(self, elapsed_s: float) -> ShutdownStep:
        """Return the step after a time since the signal."""
        if elapsed_s >= self.abort_s:
            return ShutdownStep.ABORT
        return ShutdownStep.REFUSE if elapsed_s >= self.refuse_s else ShutdownStep.ACCEPT

    def may_exit(self, elapsed_s: float, requests: int) -> bool:
        """Return whether nothing is left to do."""
        if elapsed_s >= self.abort_s:
            return True
        return elapsed_s >= self.earliest_exit_s and requests == 0


def make_shutdown_plan(grace_s: float) -> ShutdownPlan:
    """Return the plan for the time between the signal and the kill."""
    abort_s = max(0.0, grace_s - ABORT_MARGIN_S)
    refuse_s = min(abort_s, grace_s * ACCEPT_SHARE)
    return ShutdownPlan(min(refuse_s, BALANCER_LAG_S), refuse_s, abort_s)
