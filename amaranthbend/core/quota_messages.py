"""Messages by which hosts and collectors exchange the counts of teams' requests."""

from typing import NamedTuple

import xxhash

__all__ = [
    "CollectorSums",
    "QuotaAnswer",
    "QuotaReport",
    "TeamCount",
    "TeamCredit",
    "TeamSum",
    "compute_id",
]


def compute_id(name: str) -> int:
    """Return the identifier of a team, host or data centre in datagrams."""
    return xxhash.xxh64_intdigest(name.encode("utf-8", "surrogatepass"))


class TeamCount(NamedTuple):
    """Requests of a team that a host has admitted.

    Parameters
    ----------
    team : int
        Identifier of the team.
    total : int
        Requests admitted since the process started, less those refunded.
    unacked : int
        Part of `total` that no collector has confirmed.
    demand_per_s : float
        Requests per second, refused ones included.
    """

    team: int
    total: int
    unacked: int
    demand_per_s: float


class QuotaReport(NamedTuple):
    """Counts that a host sends to its collector.

    Parameters
    ----------
    host, incarnation : int
        Identifiers of the host and of its process.
    sequence : int
        Number of the report.
    acked : int
        Number of the latest report that a collector has confirmed.
    waited_s : float
        Time since the latest answer, 0 before the first one.
    counts : tuple of TeamCount
        Counts of the teams that have changed.
    """

    host: int
    incarnation: int
    sequence: int
    acked: int
    waited_s: float
    counts: tuple[TeamCount, ...]


class TeamCredit(NamedTuple):
    """Credit of a team at all hosts, negative if overdrawn, and its demand per second."""

    team: int
    level: float
    demand_per_s: float


class QuotaAnswer(NamedTuple):
    """Credit of teams that a collector sends to a host.

    Parameters
    ----------
    sequence : int
        Number of the report that it confirms, 0 for an alert that credit has become scarce.
    incarnation : int
        Process of the host for which it is meant.
    hosts : int
        Number of hosts.
    coverage : float
        Part of the hosts whose counts arrive.
    age_s : float
        Time for which requests have been counted in the credit, by this collector or by one whose
        credit it has taken.
    credits : tuple of TeamCredit
        Teams named in the report, and those with scarce credit.
    """

    sequence: int
    incarnation: int
    hosts: int
    coverage: float
    age_s: float
    credits: tuple[TeamCredit, ...]


class TeamSum(NamedTuple):
    """Sum of one team at a collector.

    Parameters
    ----------
    team : int
        Identifier of the team.
    total : int
        Requests that the collector has added up since it started.
    demand_per_s : float
        Requests per second at the hosts that report to it, refused ones included.
    level : float
        Credit of the team at all hosts, as the collector knows it.
    late : int
        Part of `total` that hosts have reported after they had been cut off.
    """

    team: int
    total: int
    demand_per_s: float
    level: float
    late: int = 0


class CollectorSums(NamedTuple):
    """Sums that a collector sends to the others.

    Parameters
    ----------
    collector, incarnation : int
        Identifiers of the host and of its process.
    sequence : int
        Number of the message.
    data_centre : int
        Identifier of its data centre.
    age_s : float
        Time since its process started.
    heard, known : int
        Hosts that report to it at present, and hosts of its data centre that it has heard of.
    coverage : float
        Part of all hosts whose counts arrive at the collector, also by way of others.
    sums : tuple of TeamSum
        Sums of teams with traffic.
    """

    collector: int
    incarnation: int
    sequence: int
    data_centre: int
    age_s: float
    heard: int
    known: int
    coverage: float
    sums: tuple[TeamSum, ...]
