"""Whether an upstream may be sent a request now and, if not, why.

Load pattern: a deployment has hundreds of upstreams, of which some leave, are evacuated, have just
started, fail or are full at any moment. Each choice of an upstream has to leave out the same ones.
An operator who asks why an upstream gets nothing must get the reason by which the choice is made,
so both use this function.
"""

from collections.abc import Collection

from .actions import Exclusion
from .occupancy import NEARLY_FULL_SHARE
from .probe_rounds import count_outstanding
from .routing import UpstreamLoad

__all__ = ["LAST_CHOICES", "NEVER_PROBED", "find_deferral", "find_exclusion"]

# An upstream that was full or slow in a report up to this age is probed only if no other is left.
# The time is longer than a slot takes to become free, and shorter than a machine stays slow.
BUSY_REPORT_MAX_AGE_S = 0.08
# Reported slowdown above which an upstream counts as slow.
BUSY_SLOWDOWN = 2.0
# Reasons for which an upstream is used only if too few others are left.
LAST_CHOICES = frozenset({Exclusion.PAUSED, Exclusion.EJECTED, Exclusion.FULL, Exclusion.SLOW})
# Reasons for which it is neither probed nor used. A cold upstream may be probed, to learn whether
# it is warm.
NEVER_PROBED = frozenset(Exclusion) - LAST_CHOICES - {Exclusion.COLD}


def find_exclusion(load: UpstreamLoad, tried: Collection[str], now: float) -> Exclusion | None:
    """Return why an upstream is not sent a request, or only as a last choice; None if it may be.

    If there are several reasons, the one that leaves the least choice is returned.

    Parameters
    ----------
    load : UpstreamLoad
        What is known of the upstream.
    tried : collection of str
        Upstreams that the request was sent to, or that were probed for it, before.
    now : float
        Present time.
    """
    if tried and load.member.upstream in tried:
        return Exclusion.TRIED
    return load.find_bar(now) or find_deferral(load, now)


def find_deferral(load: UpstreamLoad, now: float) -> Exclusion | None:
    """Return why an upstream that may get requests is only a last choice, None if it is not."""
    if load.paused_until > now:
        return Exclusion.PAUSED
    if load.ejected:
        return Exclusion.EJECTED
    report = load.report
    if report is None or now - load.report_at > BUSY_REPORT_MAX_AGE_S:
        return None
    if count_outstanding(load) >= NEARLY_FULL_SHARE * report.slots:
        return Exclusion.FULL
    return Exclusion.SLOW if report.slowdown > BUSY_SLOWDOWN else None
