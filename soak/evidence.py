"""What happened in a run with teams and changes, as far as the promises depend on it."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from .judge import Call

__all__ = ["Arrival", "Evidence", "KeyPeriod", "Period", "Records"]


class Period(NamedTuple):
    """Time for which something held.

    Parameters
    ----------
    target : str
        Name of the node, instance or data centre; empty for the store.
    begin : float
        Begin, in seconds of the machine's monotonic clock.
    end : float
        End.
    """

    target: str
    begin: float
    end: float = math.inf


class KeyPeriod(NamedTuple):
    """Time for which a key was in the configuration.

    Parameters
    ----------
    team : str
        Team that it belonged to.
    added_at : float
        Time at which the store had acknowledged the version with the key.
    withdrawn_at : float
        Time at which it had acknowledged the first version without it.
    """

    team: str
    added_at: float = -math.inf
    withdrawn_at: float = math.inf


class Arrival(NamedTuple):
    """A request that a node sent to an instance.

    Parameters
    ----------
    at : float
        Time at which it arrived.
    instance : str
        Name of the instance.
    request_id : str
        Id of the request.
    """

    at: float
    instance: str
    request_id: str


class Records:
    """Changes and faults of a run that decide what nodes had to know."""

    def __init__(self) -> None:
        self.keys: dict[str, KeyPeriod] = {}
        self.evacuations: list[Period] = []
        self.colds: list[Period] = []
        # Times in which the store gave no answers.
        self.outages: list[Period] = []
        # Times in which a node stood still, and those at which one started.
        self.pauses: list[Period] = []
        self.starts: list[tuple[str, float]] = []

    def had_to_know(self, node: str, stored_at: float, at: float, bound_s: float) -> bool:
        """Return whether a node had to know at a time what the store had acknowledged before.

        It must know within the bound, in which the time of outages and pauses does not count, and
        keep it. Only a node that starts before the end of an outage need not know it any more.
        """
        since = stored_at
        outages = [period for period in self.outages if period.begin < at]
        starts = [start for name, start in self.starts if name == node and stored_at < start < at]
        if starts and any(period.end > max(starts) for period in outages):
            since = max(starts)
        pauses = [period for period in self.pauses if period.target == node and period.begin < at]
        reachable_s = 0.0
        for period in sorted(outages + pauses, key=lambda period: period.begin):
            reachable_s += max(0.0, period.begin - since)
            since = max(since, period.end)
        return reachable_s + max(0.0, at - since) > bound_s


class Evidence(NamedTuple):
    """All that a run with teams and changes is judged by.

    Parameters
    ----------
    records : Records
        Its changes and faults.
    calls : list of Call
        Its calls.
    arrivals : list of Arrival
        What nodes sent to instances.
    heads : dict
        Header fields of the requests that ran, by id, with lower-case names.
    data_centres : dict
        Data centre of each instance.
    """

    records: Records
    calls: list[Call]
    arrivals: list[Arrival]
    heads: dict[str, list[dict[str, str]]]
    data_centres: dict[str, str]


def count_most(times: Iterable[float], window_s: float) -> int:
    """Return the largest number of times within a window."""
    ordered = sorted(times)
    most = first = 0
    for last, at in enumerate(ordered):
        while ordered[first] < at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
