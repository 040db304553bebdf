"""Loads of a service with two kinds of requests, for the model of `benchmarks.contention`.

The services are those of deployment N (docs/design/README.md): 139 hosts, upstreams of 3 slots and
a queue of 6. One kind of requests comes at a multiple of its usual rate for some seconds, callers
retry once, and upstreams may be faulty, slow, silent when full, evacuated or replaced.
"""

from typing import NamedTuple

__all__ = ["KINDS", "LOADS", "ContentionSettings", "Kind"]


class Kind(NamedTuple):
    """A kind of requests; times in seconds."""

    name: str
    is_idempotent: bool
    goal_s: float
    timeout_s: float
    caller_s: float
    value: float
    late_value: float
    priority: int
    work_s: float
    share: float


KINDS = {
    "front": (
        Kind("rate-check", True, 0.4, 1.2, 2.5, 1.5, 0.059, 0, 0.16, 0.6),
        Kind("booking-confirm", False, 0.5, 1.5, 3.0, 1.6, 0.16, -1, 0.21, 0.4),
    ),
    "back": (
        Kind("night-audit", True, 1.0, 2.5, 5.0, 0.78, 0.078, -1, 0.4, 0.69),
        Kind("stay-history", True, 3.0, 4.0, 8.0, 0.39, 0.058, -2, 0.64, 0.31),
    ),
}


class ContentionSettings(NamedTuple):
    """Load and faults of the modelled service.

    Parameters
    ----------
    service : str
        Which kinds it serves, a key of `KINDS`.
    defers_requests : bool
        Whether requests that can wait leave room to more urgent ones.
    burst_kind : int
        Position of the kind that comes more often for some seconds.
    burst_factor, burst_s : float
        How much more often, and for how long in seconds.
    load : float
        Usual load, as a share of what all slots can run.
    hosts, upstreams : int
        How many there are.
    queue : int
        Requests that an upstream queues; more are refused, or never answered.
    refused_share, faulty_share : float
        Share of its requests that a faulty upstream refuses, and share of faulty ones.
    slow_share : float
        Share of upstreams that are five times slower for the whole run.
    is_evacuated : bool
        Whether a quarter of the upstreams is evacuated with the start of the burst.
    replaced_share : float
        Share of the other upstreams that are replaced by cold ones during the burst.
    is_silent : bool
        Whether full upstreams never answer.
    large_team_share : float
        Share of the burst that one team sends.
    team_priorities : int
        Number of different priorities of the small teams.
    work_spread : float
        Spread of the logarithm of the work; 0 for exponential work.
    length_s : float
        Length of the run in seconds of virtual time.
    seed : int
        Seed of all random draws.
    """

    service: str = "front"
    defers_requests: bool = True
    burst_kind: int = 0
    burst_factor: float = 2.6
    burst_s: float = 5.0
    load: float = 0.6
    hosts: int = 139
    upstreams: int = 106
    queue: int = 6
    refused_share: float = 0.55
    faulty_share: float = 0.0
    slow_share: float = 0.0
    is_evacuated: bool = False
    replaced_share: float = 0.0
    is_silent: bool = False
    large_team_share: float = 0.0
    team_priorities: int = 1
    work_spread: float = 0.0
    length_s: float = 12.0
    seed: int = 0


# Spread of the work of the kinds of N.
SPREAD = 0.3
# The loads of part 7 of docs/design/README.md, and calm ones. In the first one, both kinds together
# need about as many slots as there are, that of slow machines included.
_CALM_BACK = ContentionSettings("back", burst_factor=1.0, load=0.6, work_spread=SPREAD)
_CALM_FRONT = ContentionSettings(burst_factor=1.0, load=0.6, upstreams=88, work_spread=SPREAD)
_FRONT = _CALM_FRONT._replace(burst_factor=1.6, burst_s=3.0)
LOADS: dict[str, ContentionSettings] = {
    "evacuation": _CALM_BACK._replace(
        burst_kind=1,
        burst_factor=2.5,
        burst_s=6.0,
        load=0.75,
        length_s=13.0,
        is_evacuated=True,
        replaced_share=0.2,
    ),
    "refusing": _FRONT._replace(faulty_share=1.0),
    "slow": _FRONT._replace(slow_share=0.15),
    "burst": ContentionSettings(load=0.9),
    "calm-back": _CALM_BACK,
    "calm-front": _CALM_FRONT,
}
