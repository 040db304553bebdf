"""Refusals that show a fault of an upstream.

Load pattern: a faulty instance answers its probes, looks idle, and refuses a part of its requests.
Each refusal costs a retry, of which the deployment has only a few, so such refusals count as
failures when the next upstream is chosen. Those of a full upstream do not.
"""

from .actions import AttemptResult, AttemptStatus
from .routing import UpstreamLoad

__all__ = ["has_refused_with_room"]

# A report up to this age shows whether an upstream had room for the request that it refused.
REFUSAL_REPORT_MAX_AGE_S = 0.1


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
