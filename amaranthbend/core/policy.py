"""Typed settings in force, built from the merged settings of an accepted envelope.

Times are seconds, sizes bytes, rates per second. The defaults here are the
defaults of the settings files.
"""

from enum import StrEnum
from typing import NamedTuple

from .actions import WorkClass

__all__ = [
    "RequestProbePolicy",
    "ClaimRule",
    "DeploymentPolicy",
    "LimitPolicy",
    "ProbePolicy",
    "RetryPolicy",
    "RoutePolicy",
    "ServicePolicy",
    "WeightedService",
]


class ClaimRule(StrEnum):
    """Whether a request needs a claim on its idempotency key before it is sent."""

    NONE = "none"
    REQUIRED = "required"


class RetryPolicy(NamedTuple):
    """Limits on repeated attempts of one service.

    Parameters
    ----------
    ratio : float
        Retries allowed as a share of first attempts.
    floor_per_s : float
        Retries a second that are always allowed.
    max_attempts : int
        Most attempts of one request, the first included.
    burst : float
        Most retries that can be saved up. The default covers one host's requests in flight at
        one upstream.
    initial_tokens : float
        Retries saved up at the start of a process.
    max_borrowed : float
        Most retries spent before they are earned, by requests at an upstream that leaves.
    """

    ratio: float = 0.1
    floor_per_s: float = 1.0
    max_attempts: int = 3
    burst: float = 20.0
    initial_tokens: float = 0.0
    max_borrowed: float = 20.0


class RequestProbePolicy(NamedTuple):
    """How upstreams are asked for their load at the moment of choice.

    Answers the load pattern of instances on shared machines, whose speed changes within a few
    hundred milliseconds: a report from an earlier response says little about the next request.

    Parameters
    ----------
    local_probes, remote_probes : int
        Upstreams asked in the own data centre and elsewhere.
    soft_timeout_s : float
        Time after which the answers that are there decide.
    timeout_s : float
        Time after which an upstream counts as unreachable.
    max_rounds : int
        Most rounds for one attempt; each asks other upstreams.
    hedge_delay_share : float
        Part of the latency goal after which an idempotent request may be sent to a second
        upstream; 0 never sends a second one.
    early_hedge_delay_share : float
        The same while no more retries can be saved up, so that they are not lost.
    probes_per_s_per_upstream : float
        Most probes to one upstream in a second on average, over all hosts; 0 for no limit.
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
    """Limits on queued and running work of one service in one entry process.

    Parameters
    ----------
    queue_length : int
        Most requests that wait.
    queue_bytes : int
        Most bytes of request bodies that wait.
    long_share : float
        Largest share of slots and connections that long work may take, 0 to 1.
    long_after_s : float
        Running time after which a request counts as long.
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
        Requests that one upstream runs at the same time.
    connections_per_upstream : int
        Most connections to one upstream, summed over all entry processes.
    retries : RetryPolicy
        Limits on repeated attempts.
    limits : LimitPolicy
        Limits on queued and running work.
    request_probes : AskPolicy or None
        How upstreams are asked before each attempt; None chooses by earlier reports only.
    probe_path : str
        Path at which upstreams report their load.
    retry_after_s : float
        Time after which refused callers are asked to come back; jitter is added.
    """

    name: str
    slots_per_upstream: int
    connections_per_upstream: int = 200
    retries: RetryPolicy = RetryPolicy()
    limits: LimitPolicy = LimitPolicy()
    request_probes: RequestProbePolicy | None = None
    probe_path: str = "/load"
    retry_after_s: float = 1.0


class WeightedService(NamedTuple):
    """A service that gets part of a route's requests."""

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
        Methods that match.
    service : str
        Service that serves the route.
    idempotent : bool or None
        Whether requests may run more than once; None decides by method.
    work_class : WorkClass
        Expected length of the requests.
    deadline_s : float
        Longest time to wait for the start of the response.
    priority : int
        Higher values leave the queue first.
    claim : ClaimRule
        Whether requests need a claim on their idempotency key.
    max_body_bytes : int
        Largest request body.
    host : str
        Host, in lower case, whose requests match; empty matches every host.
    split : tuple of WeightedService
        Services among which requests are divided in place of `service`.
    latency_goal_s : float or None
        Time within which a response has its full value to the caller.
    max_attempts : int or None
        Most attempts of one request; None leaves it to the service.
    """

    name: str
    path_prefix: str
    # Empty matches every method.
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


class ProbePolicy(NamedTuple):
    """Budget for measuring the load of upstreams, over all entry hosts of a deployment.

    Parameters
    ----------
    probes_per_s_per_upstream : float
        Most probes to one upstream in one second.
    probes_per_s : float
        Most probes of the deployment in one second.
    bytes_per_s : float
        Most bytes of probes and their responses in one second.
    cpu_share : float
        Largest share of an entry process's time spent on probes, 0 to 1.
    """

    probes_per_s_per_upstream: float = 40.0
    probes_per_s: float = 1000.0
    bytes_per_s: float = 500_000.0
    cpu_share: float = 0.05


class DeploymentPolicy(NamedTuple):
    """All settings in force.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    services : dict of str to ServicePolicy
        Services by name.
    routes : tuple of RoutePolicy
        Routes.
    probing : ProbePolicy
        Budget for measuring load.
    entry_hosts_max : int
        Shares into which budgets of the deployment are split.
    claim_writes_per_s : float
        Platform writes a second for claims, over all entry hosts.
    claim_retention_s : float
        Time after which a claim may be removed.
    """

    deployment: str
    services: dict[str, ServicePolicy]
    routes: tuple[RoutePolicy, ...]
    probing: ProbePolicy = ProbePolicy()
    entry_hosts_max: int = 16
    claim_writes_per_s: float = 200.0
    claim_retention_s: float = 86_400.0
