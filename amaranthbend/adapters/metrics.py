"""Counters and latency timings, sent as statsd packets over UDP."""

from typing import Any

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from ..core.outcomes import Outcome, OutcomeReason, RetryReason

__all__ = ["Counters"]

US_PER_S = 1_000_000
US_PER_MS = 1000
LOWEST_US = 1
HIGHEST_US = 3600 * US_PER_S
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0)


class Counters:
    """Counts in memory; `flush` sends what was added since the last time.

    Parameters
    ----------
    address : str
        `address:port` of the statsd server; empty to count only.
    prefix : str
        Prefix of the names that are sent.
    """

    def __init__(self, address: str = "", prefix: str = "amaranthbend.entry") -> None:
        self._client: StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = StatsClient(host, int(port), prefix=prefix)
        self._counts: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._timings: dict[str, HdrHistogram] = {}
        self._latest: dict[str, float] = {}
        for name in list_names():
            self._counts[name] = 0

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        self._counts[stat] = self._counts.get(stat, 0) + count

    def record(self, stat: str, duration_s: float) -> None:
        """Add a duration to a timing."""
        histogram = self._timings.get(stat)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._timings[stat] = histogram
        histogram.record_value(max(LOWEST_US, int(duration_s * US_PER_S)))

    def get(self, stat: str) -> int:
        """Return the value of a counter."""
        return self._counts.get(stat, 0)

    def list_all(self) -> dict[str, Any]:
        """Return all counters, and the timings of the last interval in milliseconds."""
        return {"counters": dict(self._counts), "timings_ms": dict(self._latest)}

    def flush(self) -> None:
        """Send what was added since the last time, several values to a packet."""
        changes = self._take_changes()
        self._latest = self._take_timings()
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, change in changes.items():
                pipeline.incr(name, change)
            for name, value_ms in self._latest.items():
                pipeline.timing(name, value_ms)

    def _take_changes(self) -> dict[str, int]:
        changes: dict[str, int] = {}
        for name, value in self._counts.items():
            change = value - self._sent.get(name, 0)
            if change:
                changes[name] = change
        self._sent = dict(self._counts)
        return changes

    def _take_timings(self) -> dict[str, float]:
        values: dict[str, float] = {}
        for name, histogram in self._timings.items():
            if histogram.get_total_count() == 0:
                continue
            for percentile in PERCENTILES:
                value_us = histogram.get_value_at_percentile(percentile)
                values[f"{name}.p{percentile:g}"] = value_us / US_PER_MS
            values[f"{name}.max"] = histogram.get_max_value() / US_PER_MS
            histogram.reset()
        return values


def list_names() -> list[str]:
    """Return the names of the counters that exist from the start."""
    names = [f"outcome.{outcome}" for outcome in Outcome]
    names += [f"reason.{reason}" for reason in OutcomeReason]
    names += [f"retry.{reason}" for reason in RetryReason]
    return names
