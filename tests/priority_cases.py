"""Helpers for tests of the dispatcher that holds requests for room."""

from amaranthbend.core.actions import Complete, LoadReport, Member, Refuse, RequestInfo, WorkClass
from amaranthbend.core.policy import LimitPolicy, ProbePolicy, RequestProbePolicy, ServicePolicy
from amaranthbend.core.prioritizing_dispatcher import PrioritizingDispatcher
from amaranthbend.core.probe_rounds import RequestProbeBudget

from .dispatcher_cases import AMPLE_RETRIES, SLOTS, make_report

__all__ = ["FULL", "Ended", "list_ended", "make_call", "make_policy", "make_prioritizing"]

# Holds more than a request of any rank may add to.
FULL = make_report(running=SLOTS, queued=2 * SLOTS)
Ended = Complete | Refuse


def make_policy(*, is_prioritized: bool = True, **limits: int) -> ServicePolicy:
    """Return the policy of the service `desk`."""
    return ServicePolicy(
        "desk",
        SLOTS,
        retries=AMPLE_RETRIES,
        limits=LimitPolicy()._replace(**limits),
        request_probes=RequestProbePolicy(),
        retry_after_s=0.1,
        is_prioritized=is_prioritized,
    )


def make_prioritizing(
    upstreams: int = 2,
    policy: ServicePolicy | None = None,
    budget: RequestProbeBudget | None = None,
    processes: int = 1,
) -> PrioritizingDispatcher:
    """Return a dispatcher with upstreams u0, u1, ... in its own data centre."""
    dispatcher = PrioritizingDispatcher(
        policy or make_policy(),
        ProbePolicy(),
        "huye",
        seed=1,
        processes=processes,
        budget=budget,
    )
    dispatcher.set_members(list_members(upstreams), 0.0)
    return dispatcher


def list_members(upstreams: int) -> list[Member]:
    """Return upstreams u0, u1, ..."""
    return [Member(f"u{n}", f"127.0.0.1:{9000 + n}", "huye", 1) for n in range(upstreams)]


def make_call(
    number: int,
    *,
    priority: int = 0,
    team: str = "",
    at: float = 0.0,
    idempotent: bool = True,
    goal_s: float = 0.4,
    deadline_s: float = 1.2,
    body_bytes: int = 0,
    elapsed_s: float = 0.0,
) -> RequestInfo:
    """Return a request with the times of `rate-check` of deployment N."""
    return RequestInfo(
        number,
        f"route{priority}",
        idempotent,
        WorkClass.SHORT,
        at + deadline_s,
        priority=priority,
        body_bytes=body_bytes,
        latency_goal_s=goal_s,
        max_attempts=2,
        team=team,
        elapsed_s=elapsed_s,
    )


def list_ended(actions: list[object]) -> list[int]:
    """Return the requests that the actions end."""
    return [action.request_id for action in actions if isinstance(action, Complete | Refuse)]


def make_full_reports(upstreams: int) -> dict[str, LoadReport]:
    """Return reports of upstreams that have no room."""
    return {f"u{n}": FULL for n in range(upstreams)}
