"""Events that the decision core takes, and actions that it returns.

The entry process and the benchmark model use the same core: they pass in
events and carry out the returned actions. All times are seconds on a
monotonic clock.
"""

from enum import StrEnum
from typing import NamedTuple

from .outcomes import Outcome, OutcomeReason, RetryReason

__all__ = [
    "Action",
    "AttemptResult",
    "AttemptStatus",
    "Cancel",
    "Complete",
    "Exclusion",
    "LoadReport",
    "Member",
    "Probe",
    "Refuse",
    "RequestInfo",
    "Send",
    "UpstreamState",
    "UpstreamView",
    "WorkClass",
]


class WorkClass(StrEnum):
    """Expected duration class of a request."""

    SHORT = "short"
    LONG = "long"


class UpstreamState(StrEnum):
    """State of an upstream, from its own load reports or from the host list."""

    SERVING = "serving"
    COLD = "cold"
    DRAINING = "draining"


class Exclusion(StrEnum):
    """Reason why an upstream is not sent a request, or only if no other is left.

    `exclusions.find_exclusion` decides on it.
    """

    # Not in the list of upstreams.
    UNKNOWN = "unknown"
    # It is not known yet which data centres are evacuated, so nothing is sent to any of them.
    EVACUATIONS_UNKNOWN = "evacuations_unknown"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    # The request was sent there, or the upstream was probed for it, before.
    TRIED = "tried"
    # The slow start after a return allows no more requests of this process at the same time.
    SLOW_START = "slow_start"
    # Cold, and this host may not send to it now.
    COLD = "cold"
    # After a refusal or a failed probe.
    PAUSED = "paused"
    # An outlier by failures or durations.
    EJECTED = "ejected"
    # Nearly full by its latest report.
    FULL = "full"
    # On a slow machine by its latest report.
    SLOW = "slow"


class Member(NamedTuple):
    """One upstream of a service, as listed in the host list.

    Parameters
    ----------
    upstream : str
        Identifier of the upstream, unique within its service.
    address : str
        IP address and port, as `address:port`.
    data_centre : str
        Data centre in which the upstream runs.
    incarnation : int
        Restart counter: it grows with each restart of the upstream under the same identifier.
    state : UpstreamState
        Last known state.
    """

    upstream: str
    address: str
    data_centre: str
    incarnation: int
    state: UpstreamState = UpstreamState.SERVING


class LoadReport(NamedTuple):
    """Load that an upstream reports, with a response or in answer to a probe.

    Parameters
    ----------
    in_flight : int
        Requests that occupy a slot.
    queued : int
        Requests that wait for a slot.
    slots : int
        Requests that the upstream can run at the same time.
    state : UpstreamState
        State of the upstream.
    incarnation : int
        Incarnation that made the report.
    slowdown : float
        Present duration of work on the upstream's machine, as a multiple of the usual one.
    cold_s : float or None
        Seconds for which the upstream stays cold, 0 if it is not; None if it does not say.
    """

    in_flight: int
    queued: int
    slots: int
    state: UpstreamState
    incarnation: int
    slowdown: float = 1.0
    cold_s: float | None = None


class RequestInfo(NamedTuple):
    """The properties of a request that the decision core needs.

    Parameters
    ----------
    request_id : int
        Unique in the process.
    route : str
        Name of the matched route.
    idempotent : bool
        Whether the request may run more than once; False if unknown.
    work_class : WorkClass
        Expected duration class, set by the route.
    deadline : float
        Monotonic time in seconds after which the caller no longer waits.
    priority : int
        Higher values leave the queue first.
    replayable : bool
        Whether the whole body is buffered, so that it can be sent again.
    body_bytes : int
        Bytes of the body that stay buffered while the request is queued.
    latency_goal_s : float or None
        Latency target: a later response is worth less to the caller. None without a target.
    max_attempts : int or None
        Maximum number of attempts; None for the limit of the service.
    team_priority : int
        Priority of the team, compared before `priority` where requests give way to others.
    elapsed_s : float
        Time since the caller first sent the request, which was then refused; 0 for a new request.
    """

    request_id: int
    route: str
    idempotent: bool
    work_class: WorkClass
    deadline: float
    priority: int = 0
    replayable: bool = True
    body_bytes: int = 0
    latency_goal_s: float | None = None
    max_attempts: int | None = None
    team_priority: int = 0
    elapsed_s: float = 0.0


class AttemptStatus(StrEnum):
    """How one attempt ended.

    Only `NEVER_CONNECTED`, and `REFUSED` unless it is ambiguous, prove that the upstream did not
    run the request.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    NEVER_CONNECTED = "never_connected"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptResult(NamedTuple):
    """Result of one attempt at an upstream.

    Parameters
    ----------
    status : AttemptStatus
        How the attempt ended.
    http_status : int
        Status code of the response, 0 without one.
    response_started : bool
        Whether bytes of the response were sent to the caller, which rules out a retry.
    reason : OutcomeReason or None
        Reason of a failure, for the caller and the counters.
    is_draining : bool
        Whether the upstream refused the request because it is draining.
    is_ambiguous : bool
        Whether a refusal may belong to an earlier request on the same connection.
    """

    status: AttemptStatus
    http_status: int = 0
    response_started: bool = False
    reason: OutcomeReason | None = None
    is_draining: bool = False
    is_ambiguous: bool = False


class Send(NamedTuple):
    """Send the request to an upstream.

    `load_summary` describes the load of that upstream as known at the choice, for logs.
    """

    request_id: int
    attempt: int
    upstream: str
    timeout_s: float
    retry_reason: RetryReason | None = None
    load_summary: str = ""


class Complete(NamedTuple):
    """End the request; for outcomes other than `ANSWERED`, tell the caller the reason.

    `attempt` is the number of the attempt whose response the caller gets, 0 without one.
    """

    request_id: int
    outcome: Outcome
    reason: OutcomeReason | None = None
    attempt: int = 0


class Refuse(NamedTuple):
    """Refuse the request, which has not run.

    `load_summary` describes the load of the upstream considered last, for logs.
    """

    request_id: int
    reason: OutcomeReason
    retry_after_s: float
    load_summary: str = ""


class Cancel(NamedTuple):
    """Cancel one attempt in flight.

    With a reason, the attempt ends as failed, and only if its response has not begun.
    """

    request_id: int
    attempt: int
    reason: OutcomeReason | None = None


class Probe(NamedTuple):
    """Send a probe: ask an upstream for its load report."""

    upstream: str


Action = Send | Complete | Refuse | Cancel | Probe


class UpstreamView(NamedTuple):
    """State of one upstream as known to this process, for the administration API.

    Parameters
    ----------
    member : Member
        The upstream.
    in_flight : int
        Requests of this process in flight at the upstream.
    report : LoadReport or None
        Latest load report, None before the first one.
    report_age_s : float or None
        Age of that report in seconds.
    ejected : bool
        Whether the upstream receives no new work, because it is ejected or has left.
    """

    member: Member
    in_flight: int
    report: LoadReport | None
    report_age_s: float | None
    ejected: bool
