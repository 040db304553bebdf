"""Limit on the requests that a cold upstream gets from all hosts together.

Load pattern: an upstream that has just started, or has become cold again, takes twice as long for
its work, tolerates a few requests per second and crashes well above that. It looks idle, and
hundreds of hosts see it at the same instant.

The bound is kept without messages. Only a few hosts of the upstream's own data centre may send to
it while it is cold: those with the highest hashes of upstream and host (rendezvous hashing). Each
of them has a fixed part of the rate, kept by a token bucket. The parts are so small that two
groups of hosts with different views of the membership, and thus different sets, still stay within
the bound.

If all upstreams of a service are cold, the few hosts of each set get a small part of the requests.
The others then send as a last resort, rarely, to upstreams whose reports of a moment ago show
fewer requests than the rate leads to. What they send together is limited in the mean, not in each
second, and uses what the bound leaves beside the sets.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

__all__ = [
    "ASSUMED_COLD_S",
    "COLD_TIME_FACTOR",
    "ColdGate",
    "ColdLimits",
    "ColdPart",
    "compute_part",
]

# Views of the membership that may be in use at the same time without exceeding the bound.
DIFFERING_VIEWS = 2
# Window in which a host stays within its part. The bound holds in each second of arrivals at the
# upstream, and requests sent further apart may arrive closer to each other.
WINDOW_S = 1.1
# Time for which a host counts that is no longer listed: many times the lag of a replica.
MISSING_HOST_RETENTION_S = 60.0
# Largest size of the token bucket of one host.
MAX_BURST = 3.0
# Keeps rounded sums below whole requests.
MARGIN = 0.01
# Time for which an upstream counts as cold without a statement about it: after the start of a new
# incarnation and after an evacuation.
ASSUMED_COLD_S = 3.0
# An upstream with an older report may have become cold again, so that a request without a probe
# counts as sent to a cold one.
MAX_WARM_REPORT_AGE_S = 1.0
# Work on a cold upstream takes about twice as long.
COLD_TIME_FACTOR = 2.0


class ColdPart(NamedTuple):
    """Part of the rate of a cold upstream that each host of a set may use.

    Parameters
    ----------
    hosts : int
        Number of hosts in the set.
    rate_per_s : float
        Requests per second of one host.
    burst : float
        Requests that one host may send at once.
    """

    hosts: int
    rate_per_s: float
    burst: float


def compute_part(rate_per_s: float, overshoot: float, slack: float, hosts: int) -> ColdPart:
    """Return how the rate of a cold upstream is divided.

    As many hosts as possible share it, since each has few requests and can use only a small part.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that the upstream tolerates, above 0.
    overshoot : float
        Factor on that rate in the bound.
    slack : float
        Requests in a second that the bound allows besides.
    hosts : int
        Known hosts of the data centre, at least 1.
    """
    bound = (rate_per_s * overshoot + slack) / DIFFERING_VIEWS
    best_hosts, best_requests, best_total = 1, 1, 0.0
    for count in range(1, hosts + 1):
        requests = math.floor(bound / count)
        if requests < 1:
            break
        total = count * _limit_rate(rate_per_s, count, requests)
        if total >= best_total - MARGIN:
            best_hosts, best_requests, best_total = count, requests, max(total, best_total)
    part_rate = _limit_rate(rate_per_s, best_hosts, best_requests)
    # No more than `best_requests` whole requests fit into a window.
    burst = best_requests + 1 - MARGIN - part_rate * WINDOW_S
    return ColdPart(best_hosts, part_rate, min(MAX_BURST, max(1.0, burst)))


def _limit_rate(rate_per_s: float, hosts: int, requests: int) -> float:
    """Return the rate of one host with which a bucket of one request stays within the window."""
    return min(rate_per_s / hosts, (requests - MARGIN) / WINDOW_S)


class _Bucket:
    """Token bucket of one upstream."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.updated_at = now

    def count_tokens(self, part: ColdPart, now: float) -> float:
        """Return the tokens, with those added since the last update."""
        added = part.rate_per_s * max(0.0, now - self.updated_at)
        return min(part.burst, self.tokens + added)


class ColdLimits:
    """Decides which attempts of this host may go to cold upstreams.

    Parameters
    ----------
    host : str
        Name of this host.
    data_centre : str
        Its data centre.
    started_at : float
        Start of this process. Nothing is sent to cold upstreams in the first moment, since the
        previous process of the host may have used its part just before.
    """

    def __init__(self, host: str, data_centre: str, started_at: float) -> None:
        self._host = host
        self._data_centre = data_centre
        self._quiet_until = started_at + WINDOW_S
        self._overshoot = 1.0
        self._slack = 0.0
        # Hosts of the data centre; empty until the first list.
        self._hosts: set[str] = set()
        # Since when hosts that were listed before are missing.
        self._missing_since: dict[str, float] = {}
        # Part of this host by upstream, None where it is not in the set.
        self._parts: dict[tuple[str, float], ColdPart | None] = {}
        self._buckets: dict[str, _Bucket] = {}
        # Since the last `pop_statistics`.
        self._attempts = 0
        self._held_back = 0

    def set_bound(self, overshoot: float, slack: float) -> None:
        """Set the bound for all hosts: a factor on the rate, and requests in a second besides."""
        self._overshoot = overshoot
        self._slack = slack
        self._parts.clear()

    def set_hosts(self, hosts: Iterable[str], now: float) -> None:
        """Replace the hosts of the data centre.

        A host that is missing counts for a while, as the list of a replica that lags may lack it.

        Parameters
        ----------
        hosts : iterable of str
            Names of the listed hosts.
        now : float
            Present time in seconds.
        """
        listed = set(hosts)
        missing = self._hosts - listed
        self._missing_since = {host: self._missing_since.get(host, now) for host in missing}
        self._hosts = listed | {
            host
            for host, since in self._missing_since.items()
            if now - since < MISSING_HOST_RETENTION_S
        }
        self._parts.clear()

    def may_send(self, upstream: str, data_centre: str, rate_per_s: float, now: float) -> bool:
        """Return whether this host may send a request to a cold upstream now.

        Parameters
        ----------
        upstream : str
            Service and name of the upstream.
        data_centre : str
            Its data centre.
        rate_per_s : float
            Requests per second that it tolerates from all hosts.
        now : float
            Present time.
        """
        if data_centre != self._data_centre or now < self._quiet_until:
            return False
        part = self._get_part(upstream, rate_per_s)
        if part is None:
            return False
        bucket = self._buckets.get(upstream)
        if bucket is None:
            return True
        return bucket.count_tokens(part, now) >= 1.0

    def get_last_resort_interval_s(
        self, data_centre: str, rate_per_s: float, now: float
    ) -> float | None:
        """Return the time between two requests that this host sends to one upstream without a part.

        With it, all hosts of the data centre together send no more than the upstream's rate. None
        in another data centre, before the hosts are known, and just after the start.
        """
        if data_centre != self._data_centre or not self._hosts or now < self._quiet_until:
            return None
        return max(WINDOW_S, len(self._hosts) / rate_per_s)

    def record_send(self, upstream: str, rate_per_s: float, is_cold: bool, now: float) -> None:
        """Record an attempt, also one at a warm upstream, which may become cold at any moment."""
        self._attempts += is_cold
        part = self._get_part(upstream, rate_per_s)
        if part is None:
            return
        bucket = self._buckets.get(upstream)
        if bucket is None:
            bucket = self._buckets[upstream] = _Bucket(part.burst, now)
        bucket.tokens = max(0.0, bucket.count_tokens(part, now) - 1.0)
        bucket.updated_at = now

    def record_held_back(self) -> None:
        """Count a choice in which the limit left out an upstream."""
        self._held_back += 1

    def pop_statistics(self) -> tuple[int, int]:
        """Return the attempts at cold upstreams and the choices held back since the last call."""
        statistics = self._attempts, self._held_back
        self._attempts = self._held_back = 0
        return statistics

    def prune(self, now: float) -> None:
        """Drop the buckets that are full again, and parts without one; both are made anew."""
        rates = [part.rate_per_s for part in self._parts.values() if part is not None]
        longest_refill_s = MAX_BURST / min(rates, default=MARGIN)
        for upstream, bucket in list(self._buckets.items()):
            if now - bucket.updated_at > longest_refill_s:
                del self._buckets[upstream]
        for key in list(self._parts):
            if key[0] not in self._buckets:
                del self._parts[key]

    def _get_part(self, upstream: str, rate_per_s: float) -> ColdPart | None:
        """Return the part of this host, None if it is not in the set of the upstream."""
        key = (upstream, rate_per_s)
        if key not in self._parts:
            self._parts[key] = self._find_part(upstream, rate_per_s)
        return self._parts[key]

    def _find_part(self, upstream: str, rate_per_s: float) -> ColdPart | None:
        if self._host not in self._hosts:
            # The hosts do not count this one yet.
            return None
        part = compute_part(rate_per_s, self._overshoot, self._slack, len(self._hosts))
        own_rank = _hash(upstream, self._host)
        preceding = sum(_hash(upstream, host) > own_rank for host in self._hosts)
        return part if preceding < part.hosts else None


def _hash(upstream: str, host: str) -> tuple[int, str]:
    """Return the rank of a host for an upstream, the same on all hosts."""
    return xxhash.xxh64_intdigest(f"{upstream}\n{host}".encode()), host


class ColdGate:
    """What is known of the coldness of one upstream, and whether it may get a request.

    The newest statement counts: a health response, an entry in the store, the start of a new
    incarnation, or the end of an evacuation. Only a health response confirms it; the others may be
    old when they arrive, so that the upstream is still probed.

    Parameters
    ----------
    limits : ColdLimits
        Limits of this host.
    upstream : str
        Service and name of the upstream.
    data_centre : str
        Its data centre.
    rate_per_s : float
        Requests per second that it tolerates from all hosts while it is cold.
    """

    __slots__ = (
        "_cold_until",
        "_data_centre",
        "is_confirmed",
        "_is_entry_cold",
        "_last_resort_sent_at",
        "_limits",
        "_upstream",
        "rate_per_s",
    )

    def __init__(
        self, limits: ColdLimits, upstream: str, data_centre: str, rate_per_s: float
    ) -> None:
        self._limits = limits
        self._upstream = upstream
        self._data_centre = data_centre
        self.rate_per_s = rate_per_s
        self._cold_until = -math.inf
        # Whether the newest statement is a health response.
        self.is_confirmed = False
        self._is_entry_cold = False
        self._last_resort_sent_at = -math.inf

    def record_entry(self, is_cold: bool, is_new: bool, now: float) -> None:
        """Record the entry in the store.

        Parameters
        ----------
        is_cold : bool
            Whether the entry says that the upstream is still cold.
        is_new : bool
            Whether it is that of an incarnation which started while this process was running.
        now : float
            Present time.
        """
        if is_new or (is_cold and not self._is_entry_cold):
            self.assume_cold(now)
        self._is_entry_cold = is_cold

    def assume_cold(self, now: float) -> None:
        """Count the upstream as cold until a health response says otherwise."""
        self._cold_until = max(self._cold_until, now + ASSUMED_COLD_S)
        self.is_confirmed = False

    def record_statement(self, cold_s: float, now: float) -> None:
        """Record for how many seconds the upstream stays cold, by a health response."""
        self._cold_until = now + cold_s
        self.is_confirmed = True

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold, as far as is known."""
        return now < self._cold_until or (self._is_entry_cold and not self.is_confirmed)

    def allows_attempt(self, now: float) -> bool:
        """Return whether the upstream may get a request from this host now."""
        return not self.is_cold(now) or self._may_send(now)

    def allows_unprobed_attempt(self, report_at: float, now: float) -> bool:
        """Return whether it may get a request without a probe, given the time of its report."""
        if not self.is_cold(now) and now - report_at <= MAX_WARM_REPORT_AGE_S:
            return True
        return self._may_send(now)

    def allows_last_resort(self, outstanding: int, service_s: float, now: float) -> bool:
        """Return whether the upstream may get a request because no upstream is warm.

        By Little's law, an upstream with this many requests gets no more per second than it
        tolerates. That cannot be seen where requests are so short that it is idle most of the time.

        Parameters
        ----------
        outstanding : int
            Requests at the upstream, by a report of the present probe round.
        service_s : float
            Mean time in seconds of a request at a warm upstream.
        now : float
            Present time.
        """
        if self.rate_per_s * COLD_TIME_FACTOR * service_s < 1.0:
            return False
        interval_s = self._limits.get_last_resort_interval_s(
            self._data_centre, self.rate_per_s, now
        )
        if interval_s is None or now < self._last_resort_sent_at + interval_s:
            return False
        return outstanding + 1 <= max(1.0, self.rate_per_s * service_s)

    def record_send(self, now: float) -> None:
        """Record an attempt."""
        if self.is_cold(now) and not self._may_send(now):
            self._last_resort_sent_at = now
        self._limits.record_send(self._upstream, self.rate_per_s, self.is_cold(now), now)

    def record_held_back(self) -> None:
        """Count a choice that left out the upstream."""
        self._limits.record_held_back()

    def _may_send(self, now: float) -> bool:
        return self._limits.may_send(self._upstream, self._data_centre, self.rate_per_s, now)
