"""Refusals that show a fault of an upstream, and when refused callers should come back.

Load pattern: a faulty instance answers its probes, looks idle, and refuses a part of its requests.
Each refusal costs a retry, of which the deployment has only a few, so such refusals count as
failures when the next upstream is chosen. Those of a full upstream do not.

Load pattern: for some seconds there is less room than requests, and callers come back once or
twice. One that comes back before there is room has lost a try; one that comes back late has lost
time. A caller is therefore told when room is expected.
"""

from .actions import AttemptResult, AttemptStatus
from .outcomes import OutcomeReason
from .routing import UpstreamLoad

__all__ = ["compute_retry_after_s", "has_refused_with_room"]

# A report up to this age shows whether an upstream had room for the request that it refused.
REFUSAL_REPORT_MAX_AGE_S = 0.1
# Refusals for want of room. After refusals for other reasons there may be room at once.
ROOM_REASONS = frozenset(
    {
        OutcomeReason.CONCURRENCY_LIMIT,
        OutcomeReason.DEADLINE_UNREACHABLE,
        OutcomeReason.QUEUE_FULL,
        OutcomeReason.QUEUE_TIMEOUT,
    }
)
# The delay is spread to twice its value (`MAX_RETRY_AFTER_FACTOR`), so that with this share of the
# expected time it lies around that time.
EARLIEST_SHARE = 0.75
# Forecasts do not reach further: bursts last some seconds.
MAX_RETRY_AFTER_S = 2.0


def has_refused_with_room(load: UpstreamLoad, result: AttemptResult, now: float) -> bool:
    """Return whether an upstream refused a request although its latest report shows a free slot.

    Parameters
    ----------
    load : UpstreamLoad
        Load of the upstream.
    result : AttemptResult
        Result of the attempt.
    now : float
        Present time.
    """
    if result.status is not AttemptStatus.REFUSED or result.is_draining or result.is_ambiguous:
        return False
    report = load.report
    if report is None or now - load.report_at > REFUSAL_REPORT_MAX_AGE_S:
        return False
    return report.in_flight + report.queued < report.slots


def compute_retry_after_s(reason: OutcomeReason, wait_s: float, least_s: float) -> float:
    """Return the least delay after which a refused caller should come back, in seconds.

    It is not shortened for callers with little time left: they shorten it themselves, and one that
    came back before there is room would take a try from another one.

    Parameters
    ----------
    reason : OutcomeReason
        Reason of the refusal.
    wait_s : float
        Expected time until there is room for the request, in seconds.
    least_s : float
        Delay for refusals that have other causes, and the least for all.
    """
    if reason not in ROOM_REASONS:
        return least_s
    return min(MAX_RETRY_AFTER_S, max(least_s, EARLIEST_SHARE * wait_s))
