"""Scenarios of the model, and what it expects of a balancer."""

from typing import NamedTuple, Protocol

from amaranthbend.core.actions import Action, AttemptResult, LoadReport, RequestInfo, WorkClass

__all__ = ["Balancer", "Fault", "Scenario", "Traffic"]


class Balancer(Protocol):
    """The part of the Dispatcher's interface that the model drives."""

    def submit(self, request: RequestInfo, now: float) -> list[Action]:
        """Accept a new request."""

    def finish(
        self, request_id: int, attempt: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Record the end of an attempt."""

    def report(self, upstream: str, report: LoadReport, now: float) -> list[Action]:
        """Record a load report."""

    def tick(self, now: float) -> list[Action]:
        """Act on timers."""

    def get_next_tick_time(self, now: float) -> float | None:
        """Return the time of the next timer."""


class Traffic(NamedTuple):
    """One kind of request.

    Parameters
    ----------
    load : float
        Offered work as a share of the capacity of all slots.
    mean_s : float
        Mean service time.
    heavy : bool
        Whether service times are heavy-tailed instead of exponential.
    declared : WorkClass
        Length that the route declares.
    is_long : bool
        True length; measured as short work when False.
    deadline_s : float
        Longest wait of the caller.
    peaks : tuple of (float, float, float)
        Start, end and factor of each change of demand.
    """

    load: float
    mean_s: float = 0.020
    heavy: bool = False
    declared: WorkClass = WorkClass.SHORT
    is_long: bool = False
    deadline_s: float = 5.0
    peaks: tuple[tuple[float, float, float], ...] = ()


class Fault(NamedTuple):
    """A fault of some upstreams during a time.

    Parameters
    ----------
    kind : str
        `slow` (service times grow by `factor`), `stall` (no progress), `mislead` (reports an
        idle instance) or `fail` (answers 500 at once).
    upstreams : tuple of int
        Indices of the upstreams.
    start, end : float
        Time of the fault.
    factor : float
        Factor on service times that start during the fault.
    """

    kind: str
    upstreams: tuple[int, ...]
    start: float
    end: float
    factor: float = 1.0


class Scenario(NamedTuple):
    """Everything that a run depends on, apart from the seed and the balancer."""

    slots: int
    traffic: tuple[Traffic, ...]
    duration_s: float
    upstreams: int = 25
    hosts: int = 14
    data_centres: int = 4
    remote_delay_s: float = 0.0015
    report_lag_s: float = 0.0
    faults: tuple[Fault, ...] = ()
    cold: tuple[int, ...] = ()

    @property
    def capacity(self) -> float:
        """Seconds of work that the upstreams do in a second."""
        return float(self.upstreams * self.slots)
