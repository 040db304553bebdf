"""Estimates of the room at upstreams, now and in the near future.

Load pattern: hundreds of hosts send to the same upstreams, and an upstream that cannot queue a
request may never answer it. A report is out of date after some milliseconds, so that room is
judged by the report, the host's own sends since then, and what other hosts have probably sent.
"""

import math
from collections.abc import Iterable

from .probe_rounds import FAILURE_TIME_WEIGHT, estimate_completion_s
from .routing import UpstreamLoad
from .urgency import Rank

__all__ = ["RoomForecast", "estimate_outstanding", "estimate_run_s"]

# Weight of one report in the means, which thus cover about the last 20 reports.
AVERAGING_WEIGHT = 0.05
MIN_SERVICE_S = 0.01
# Time in which a request reaches an upstream, on a new connection and from a busy host.
MAX_TRANSIT_S = 0.05
# Weight of one held request that found room, and for how long it is an example.
INTERVAL_WEIGHT = 0.2
SERVED_MAX_AGE_S = 2.0


def estimate_run_s(load: UpstreamLoad, slots: int, service_s: float, now: float) -> float:
    """Return the expected time to complete a request, without the risk of a failure.

    That risk counts when upstreams are compared. Here it would make all upstreams too slow if each
    of them refuses some requests.
    """
    risk = 1.0 + FAILURE_TIME_WEIGHT * load.health.get_failure_share(now)
    return estimate_completion_s(load, slots, service_s, now) / risk


def estimate_outstanding(
    load: UpstreamLoad,
    sent_at: Iterable[float],
    usual: float,
    hosts: int,
    service_s: float,
    now: float,
) -> float:
    """Return the number of requests that an upstream holds now, on the safe side.

    The value of a report fades with the time in which requests complete. In its place come the
    usual number at an upstream and the standard deviation of random arrivals, as far as other
    hosts send them. Requests of this host that were sent just before the report may have arrived
    after it, so they are added: in a burst, each report would otherwise hide those on their way.

    Parameters
    ----------
    load : UpstreamLoad
        Load of the upstream.
    sent_at : iterable of float
        Times at which this host's attempts in flight at the upstream were sent.
    usual : float
        Mean number of requests at an upstream of the service.
    hosts : int
        Hosts that send to the upstream.
    service_s : float
        Mean duration of a request in seconds.
    now : float
        Present time.
    """
    others = (usual + math.sqrt(usual)) * (1.0 - 1.0 / max(1, hosts))
    report = load.report
    if report is None:
        return load.in_flight + others
    age_s = max(0.0, now - load.report_at)
    weight = math.exp(-age_s / max(MIN_SERVICE_S, service_s))
    reported = report.in_flight + report.queued
    own = load.sent_since_report
    own += sum(load.report_at - MAX_TRANSIT_S < time <= load.report_at for time in sent_at)
    return max(load.in_flight, own + reported * weight + others * (1.0 - weight))


class RoomForecast:
    """Expects when a request finds room: from durations, outstanding requests and slots."""

    def __init__(self) -> None:
        self._usual = 0.0
        self._slots = 0.0
        # Since when no report has shown room for a rank.
        self._full_since: dict[Rank, float] = {}
        # Mean time between two held requests that found room, 0 while unknown.
        self._served_interval_s = 0.0
        self._served_at = -math.inf

    @property
    def usual_outstanding(self) -> float:
        """Mean number of requests at an upstream, by the reports received."""
        return self._usual

    def record_report(self, outstanding: int, slots: int) -> None:
        """Record a report."""
        if not self._slots:
            self._usual, self._slots = float(outstanding), float(slots)
            return
        self._usual += AVERAGING_WEIGHT * (outstanding - self._usual)
        self._slots += AVERAGING_WEIGHT * (slots - self._slots)

    def record_room(
        self, ranks: Iterable[Rank], limits: Iterable[float], held: int, now: float
    ) -> None:
        """Record for which ranks a report shows room.

        Parameters
        ----------
        ranks : iterable of Rank
            Ranks of the service.
        limits : iterable of float
            Requests that the upstream may hold for one of each rank to be added.
        held : int
            Requests at the upstream, the report's own not included.
        now : float
            Present time.
        """
        before = self._full_since
        self._full_since = {
            rank: before.get(rank, now)
            for rank, limit in zip(ranks, limits, strict=True)
            if held + 1 > limit
        }

    def record_service(self, since: float, now: float) -> None:
        """Record that a request held since some time has found room."""
        interval_s = now - max(since, self._served_at)
        self._served_at = now
        if not self._served_interval_s:
            self._served_interval_s = interval_s
        self._served_interval_s += INTERVAL_WEIGHT * (interval_s - self._served_interval_s)

    def estimate_interval_s(
        self, upstreams: int, hosts: int, service_s: float, now: float
    ) -> float:
        """Return the mean time between two slots that become free for this host, in seconds.

        Each host is expected to get an equal part of them. One that gets most requests of its data
        centre, as others restart, gets more: it goes by what it has got within the last seconds.
        """
        slots = self._slots * max(1, upstreams)
        interval_s = service_s * max(1, hosts) / slots if slots else service_s
        if self._served_interval_s and now - self._served_at < SERVED_MAX_AGE_S:
            return min(interval_s, self._served_interval_s)
        return interval_s

    def estimate_wait_s(
        self, rank: Rank, ahead: int, upstreams: int, hosts: int, service_s: float, now: float
    ) -> float:
        """Return the expected time until a request finds room, in seconds.

        Each request ahead takes one of the slots that become free for this host. If no report has
        shown room for the rank for some time, that is expected to go on for as long again.

        Parameters
        ----------
        rank : Rank
            Rank of the request.
        ahead : int
            Requests of this host that go first.
        upstreams : int
            Usable upstreams of the service.
        hosts : int
            Hosts that send to them.
        service_s : float
            Mean duration of a request in seconds.
        now : float
            Present time.
        """
        interval_s = self.estimate_interval_s(upstreams, hosts, service_s, now)
        full_s = now - self._full_since.get(rank, now)
        return max((ahead + 1) * interval_s, full_s)
