"""Values exchanged between the decision core and whatever drives it.

The entry process and the seeded benchmark model drive the same core: they
pass in events and carry out the returned actions. All times are seconds on a
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
    """Expected length of a request."""

    SHORT = "short"
    LONG = "long"


class UpstreamState(StrEnum):
    """State that an upstream reports of itself or that the host list gives."""

    SERVING = "serving"
    COLD = "cold"
    DRAINING = "draining"


class Member(NamedTuple):
    """One upstream of a service, as the host list gives it.

    Parameters
    ----------
    upstream : str
        Identifier of the upstream, unique in its service.
    address : str
        IP number and port, as `address:port`.
    data_centre : str
        Data centre in which the upstream runs.
    incarnation : int
        Grows with each restart of the upstream under the same identifier.
    state : UpstreamState
        Last known state.
    """

    upstream: str
    address: str
    data_centre: str
    incarnation: int
    state: UpstreamState = UpstreamState.SERVING


class LoadReport(NamedTuple):
    """Load that an upstream reports, on an answer or to a probe.

    Parameters
    ----------
    in_flight : int
        Requests that hold a slot.
    queued : int
        Requests that wait for a slot.
    slots : int
        Requests that the upstream runs at the same time.
    state : UpstreamState
        State of the upstream.
    incarnation : int
        Incarnation that made the report.
    slowdown : float
        How long work takes on the upstream's machine at the moment, as a multiple of the usual.
    """

    in_flight: int
    queued: int
    slots: int
    state: UpstreamState
    incarnation: int
    slowdown: float = 1.0


class RequestInfo(NamedTuple):
    """What the decision core knows of a request.

    Parameters
    ----------
    request_id : int
        Unique in the process.
    route : str
        Name of the matched route.
    idempotent : bool
        Whether the request may run more than once. Unknown means False.
    work_class : WorkClass
        Expected length by route.
    deadline : float
        Monotonic time in seconds after which the caller no longer waits.
    priority : int
        Higher values leave the queue first.
    replayable : bool
        Whether the whole body is held, so that it can be sent again.
    body_bytes : int
        Bytes of the body that are held while the request waits.
    latency_goal_s : float or None
        Time within which a response has its full value to the caller.
    max_attempts : int or None
        Most attempts; None leaves it to the service.
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


class AttemptStatus(StrEnum):
    """How one attempt ended. Only `REFUSED` and `NEVER_CONNECTED` prove that it was not run."""

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
        Status code of the answer, 0 without one.
    response_started : bool
        Whether bytes of the answer were passed to the caller, which rules out a retry.
    reason : OutcomeReason or None
        Cause of a failure, for the caller and the counters.
    is_draining : bool
        Whether the upstream refused because it is leaving.
    """

    status: AttemptStatus
    http_status: int = 0
    response_started: bool = False
    reason: OutcomeReason | None = None
    is_draining: bool = False


class Send(NamedTuple):
    """Send the request to an upstream; `load_summary` tells in a log what the choice rests on."""

    request_id: int
    attempt: int
    upstream: str
    timeout_s: float
    retry_reason: RetryReason | None = None
    load_summary: str = ""


class Complete(NamedTuple):
    """End the request; for outcomes other than answered, tell the caller why.

    `attempt` is the one whose response the caller gets, 0 without one.
    """

    request_id: int
    outcome: Outcome
    reason: OutcomeReason | None = None
    attempt: int = 0


class Refuse(NamedTuple):
    """Refuse the request, which has not run; `load_summary` tells in a log what that rests on."""

    request_id: int
    reason: OutcomeReason
    retry_after_s: float
    load_summary: str = ""


class Cancel(NamedTuple):
    """Cancel one attempt at its upstream."""

    request_id: int
    attempt: int


class Probe(NamedTuple):
    """Ask an upstream for its load."""

    upstream: str


Action = Send | Complete | Refuse | Cancel | Probe


class UpstreamView(NamedTuple):
    """What a process knows of one upstream, for the administration API.

    Parameters
    ----------
    member : Member
        The upstream.
    in_flight : int
        Own requests at the upstream.
    report : LoadReport or None
        Latest load report.
    report_age_s : float or None
        Age of that report.
    ejected : bool
        Whether the upstream receives no new work for now.
    """

    member: Member
    in_flight: int
    report: LoadReport | None
    report_age_s: float | None
    ejected: bool
