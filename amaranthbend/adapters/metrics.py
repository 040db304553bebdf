"""Counters and timings, sent to a statsd server over UDP."""

from collections import deque
from typing import Any

from statsd import StatsClient

from ..core.outcomes import Outcome, OutcomeReason, RetryReason
from .addresses import split_address

__all__ = ["Counters"]

MS_PER_S = 1000
# Durations kept for each timing between two flushes; beyond that, new ones replace the oldest.
# They are stored individually because an append takes a hundredth of the time of HdrHistogram's
# `record_value`.
MAX_DURATIONS_PER_TIMING = 10_000
PERCENTILES = (50, 99)


class Counters:
    """Counters and timings in memory; `flush` sends the changes since the previous flush.

    Parameters
    ----------
    address : str
        `address:port` of the statsd server; if empty, nothing is sent.
    prefix : str
        Prefix of the metric names.
    """

    def __init__(self, address: str = "", prefix: str = "amaranthbend.entry") -> None:
        self._client: StatsClient | None = None
        if address:
            host, port = split_address(address)
            self._client = StatsClient(host, port, prefix=prefix)
        self._counts: dict[str, int] = {}
        self._sent_counts: dict[str, int] = {}
        self._timings: dict[str, deque[float]] = {}
        self._latest_timings_ms: dict[str, float] = {}
        for name in list_initial_counters():
            self._counts[name] = 0

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        self._counts[stat] = self._counts.get(stat, 0) + count

    def record(self, stat: str, duration_s: float) -> None:
        """Add a duration in seconds to a timing."""
        durations = self._timings.get(stat)
        if durations is None:
            durations = deque(maxlen=MAX_DURATIONS_PER_TIMING)
            self._timings[stat] = durations
        durations.append(duration_s)

    def get(self, stat: str) -> int:
        """Return the value of a counter."""
        return self._counts.get(stat, 0)

    def get_snapshot(self) -> dict[str, Any]:
        """Return all counters, and the timings as of the last flush in milliseconds."""
        return {"counters": dict(self._counts), "timings_ms": dict(self._latest_timings_ms)}

    def flush(self) -> None:
        """Send the changes since the previous flush, with several values in each packet."""
        changes = self._take_count_changes()
        self._latest_timings_ms = self._take_timings_ms()
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, change in changes.items():
                pipeline.incr(name, change)
            for name, value_ms in self._latest_timings_ms.items():
                pipeline.timing(name, value_ms)

    def _take_count_changes(self) -> dict[str, int]:
        changes: dict[str, int] = {}
        for name, value in self._counts.items():
            change = value - self._sent_counts.get(name, 0)
            if change:
                changes[name] = change
        self._sent_counts = dict(self._counts)
        return changes

    def _take_timings_ms(self) -> dict[str, float]:
        values: dict[str, float] = {}
        for name, durations in self._timings.items():
            if not durations:
                continue
            ordered = sorted(durations)
            durations.clear()
            for percentile in PERCENTILES:
                position = min(len(ordered) - 1, len(ordered) * percentile // 100)
                values[f"{name}.p{percentile}"] = ordered[position] * MS_PER_S
            values[f"{name}.max"] = ordered[-1] * MS_PER_S
        return values


def list_initial_counters() -> list[str]:
    """Return the names of the counters that start at 0 instead of at their first event."""
    names = [f"outcome.{outcome}" for outcome in Outcome]
    names += [f"reason.{reason}" for reason in OutcomeReason]
    names += [f"retry.{reason}" for reason in RetryReason]
    return names
