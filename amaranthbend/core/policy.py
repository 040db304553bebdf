"""Typed settings in force, built from the merged settings of an accepted envelope.

Times are in seconds, sizes in bytes, and rates per second. The defaults here
are the defaults of the settings files.
"""

import math
from enum import StrEnum
from typing import NamedTuple

from .actions import WorkClass
from .connections import CallerLimits

__all__ = [
    "DecodedConfiguration",
    "ClaimRule",
    "DeploymentPolicy",
    "LimitPolicy",
    "ProbePolicy",
    "RequestProbePolicy",
    "RetryPolicy",
    "RoutePolicy",
    "ServicePolicy",
    "TeamPolicy",
    "WeightedService",
]


class ClaimRule(StrEnum):
    """Whether a request needs a claim on its idempotency key before it is sent."""

    NONE = "none"
    REQUIRED = "required"


class RetryPolicy(NamedTuple):
    """Limits on retries in one service.

    Parameters
    ----------
    ratio : float
        Retries allowed as a share of first attempts: tokens added for each first attempt.
    floor_per_s : float
        Retries per second that are allowed in any case.
    max_attempts : int
        Maximum number of attempts of one request, the first included.
    burst : float
        Maximum number of tokens, one for each retry. The default covers the requests of one host
        in flight at one upstream.
    initial_tokens : float
        Tokens at the start of a process.
    max_borrowed : float
        Maximum debt in tokens, for retries of requests that a draining upstream refused.
    """

    ratio: float = 0.1
    floor_per_s: float = 1.0
    max_attempts: int = 3
    burst: float = 20.0
    initial_tokens: float = 0.0
    max_borrowed: float = 20.0


class RequestProbePolicy(NamedTuple):
    """How upstreams are probed for their load just before each attempt, and how hedges are sent.

    It suits instances on shared machines, whose speed changes within a few hundred milliseconds:
    a load report of an earlier response says little about the next request.

    Parameters
    ----------
    local_probes, remote_probes : int
        Upstreams probed per round in the data centre of this process, and in others.
    soft_timeout_s : float
        Time after which the reports received so far decide.
    timeout_s : float
        Time after which the round ends without any report.
    max_rounds : int
        Maximum number of probe rounds for one attempt; each probes other upstreams.
    hedge_delay_share : float
        Share of the latency goal after which an idempotent request may be hedged, that is, sent
        to a second upstream while the first attempt is in flight; 0 disables hedging.
    early_hedge_delay_share : float
        The same share while the retry budget is full and further tokens would be lost.
    probes_per_s_per_upstream : float
        Maximum average rate of probes to one upstream from all hosts; 0 for no limit.
    """

    local_probes: int = 3
    remote_probes: int = 1
    soft_timeout_s: float = 0.012
    timeout_s: float = 0.06
    max_rounds: int = 3
    hedge_delay_share: float = 0.6
    early_hedge_delay_share: float = 0.4
    probes_per_s_per_upstream: float = 0.0


class LimitPolicy(NamedTuple):
    """Limits on queued and running requests of one service in one entry process.

    Parameters
    ----------
    queue_length : int
        Maximum number of queued requests.
    queue_bytes : int
        Maximum size of the bodies of all queued requests.
    long_share : float
        Maximum share of slots and connections for long work, 0 to 1.
    long_after_s : float
        Time in flight after which a request counts as long work.
    """

    queue_length: int = 256
    queue_bytes: int = 8 * 1024 * 1024
    long_share: float = 0.3
    long_after_s: float = 1.0


class ServicePolicy(NamedTuple):
    """Settings of one service.

    Parameters
    ----------
    name : str
        Name of the service, as in the host list.
    slots_per_upstream : int
        Requests that one upstream can run at the same time.
    connections_per_upstream : int
        Maximum number of connections to one upstream from all entry processes.
    retries : RetryPolicy
        Limits on retries.
    limits : LimitPolicy
        Limits on queued and running requests.
    request_probes : RequestProbePolicy or None
        How upstreams are probed before each attempt; None uses earlier load reports only.
    probe_path : str
        Path of the probe requests, at which upstreams report their load.
    retry_after_s : float
        Delay after which a refused caller should retry; jitter is added.
    cold_rate_per_s : float
        Requests per second that a cold upstream tolerates from all hosts; 0 for no limit.
    defers_requests : bool
        Whether requests that can wait leave room to more urgent ones, see `core/deferrals.py` and
        `DeploymentPolicy.ranks_callers`.
    """

    name: str
    slots_per_upstream: int
    connections_per_upstream: int = 200
    retries: RetryPolicy = RetryPolicy()
    limits: LimitPolicy = LimitPolicy()
    request_probes: RequestProbePolicy | None = None
    probe_path: str = "/load"
    retry_after_s: float = 1.0
    cold_rate_per_s: float = 0.0
    defers_requests: bool = False


class TeamPolicy(NamedTuple):
    """A team of callers, with its keys and its quota.

    Parameters
    ----------
    name : str
        Name of the team, which upstreams receive in place of the key.
    key_digests : tuple of bytes
        Digests of the team's keys, see `core.identity.compute_key_digest`.
    priority : int or None
        Priority that goes before that of the route; higher values are more urgent. None to leave
        the order to the routes.
    rate_per_s : float
        Requests per second that the team may make at all hosts together; 0 for no limit.
    burst : float
        Requests that the team may make at once beyond that rate.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class WeightedService(NamedTuple):
    """A service that gets a share of a route's requests, in proportion to its weight."""

    service: str
    weight: float


class RoutePolicy(NamedTuple):
    """Settings of one route.

    Parameters
    ----------
    name : str
        Name of the route.
    path_prefix : str
        Paths that start with it match; the longest prefix wins.
    methods : tuple of str
        HTTP methods that match; empty matches every method.
    service : str
        Service of the route.
    idempotent : bool or None
        Whether requests may run more than once; None decides by HTTP method.
    work_class : WorkClass
        Expected duration class of the requests.
    deadline_s : float
        Maximum time until the response starts.
    priority : int
        Higher values leave the queue first.
    claim : ClaimRule
        Whether requests need a claim on their idempotency key.
    max_body_bytes : int
        Maximum size of a request body.
    host : str
        Host name that matches, in lower case; empty matches every host.
    split : tuple of WeightedService
        Services among which requests are divided in place of `service`.
    latency_goal_s : float or None
        Latency target: a later response is worth less to the caller. None without a target.
    max_attempts : int or None
        Maximum number of attempts of one request; None for the limit of the service.
    max_response_s : float
        Maximum time until the response is complete, for requests whose caller sends no timeout.
    is_public : bool
        Whether callers need no key, in a deployment that has teams.
    """

    name: str
    path_prefix: str
    methods: tuple[str, ...]
    service: str
    idempotent: bool | None = None
    work_class: WorkClass = WorkClass.SHORT
    deadline_s: float = 5.0
    priority: int = 0
    claim: ClaimRule = ClaimRule.NONE
    max_body_bytes: int = 1024 * 1024
    host: str = ""
    split: tuple[WeightedService, ...] = ()
    latency_goal_s: float | None = None
    max_attempts: int | None = None
    max_response_s: float = math.inf
    is_public: bool = False


class ProbePolicy(NamedTuple):
    """Budget for background probes of upstreams, over all entry hosts of a deployment.

    Parameters
    ----------
    probes_per_s_per_upstream : float
        Maximum number of probes to one upstream in one second.
    probes_per_s : float
        Maximum number of probes of the deployment in one second.
    bytes_per_s : float
        Maximum size of probes and their responses in one second.
    cpu_share : float
        Maximum share of an entry process's CPU time for probes, 0 to 1.
    """

    probes_per_s_per_upstream: float = 40.0
    probes_per_s: float = 1000.0
    bytes_per_s: float = 500_000.0
    cpu_share: float = 0.05


class DeploymentPolicy(NamedTuple):
    """All settings in force of a deployment.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    services : dict of str to ServicePolicy
        Services by name.
    routes : tuple of RoutePolicy
        Routes.
    probing : ProbePolicy
        Budget for background probes.
    entry_hosts_max : int
        Number of equal shares into which the budgets of the deployment are divided.
    claim_writes_per_s : float
        Maximum rate of platform writes for claims, over all entry hosts.
    claim_retention_s : float
        Age from which a claim may be removed.
    teams : tuple of TeamPolicy
        Teams whose keys callers need on routes that are not public; empty if callers need none.
    ranks_callers : bool
        Whether teams or non-idempotent routes have the highest priority of the platform, so that
        requests that can wait give way when there is too little room.
    caller_limits : CallerLimits
        Limits for heads and idle connections of callers.
    """

    deployment: str
    services: dict[str, ServicePolicy]
    routes: tuple[RoutePolicy, ...]
    probing: ProbePolicy = ProbePolicy()
    entry_hosts_max: int = 16
    claim_writes_per_s: float = 200.0
    claim_retention_s: float = 86_400.0
    teams: tuple[TeamPolicy, ...] = ()
    ranks_callers: bool = False
    caller_limits: CallerLimits = CallerLimits()


class DecodedConfiguration(NamedTuple):
    """A configuration that was read from the store.

    Parameters
    ----------
    version : int
        Version of the configuration.
    policy : DeploymentPolicy
        Settings of its usable parts.
    faults : tuple of str
        Parts that are not usable, each with its position and the error.
    """

    version: int
    policy: DeploymentPolicy
    faults: tuple[str, ...] = ()
