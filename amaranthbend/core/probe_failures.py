"""Consecutive failed probes of each upstream, and the pauses that follow them."""

from collections.abc import Collection

__all__ = ["ProbeFailures"]

# An upstream whose probe failed is paused for this time, doubled for each consecutive failure up
# to the maximum: long enough that few requests wait for its probes, short enough to use it soon
# after a brief outage.
PROBE_FAILURE_PAUSE_S = 0.2
PROBE_FAILURE_PAUSE_MAX_S = 1.6


class ProbeFailures:
    """Failed probes in a row by upstream; an upstream that answered has no entry."""

    def __init__(self) -> None:
        self._failures: dict[str, int] = {}

    @property
    def upstreams(self) -> frozenset[str]:
        """Upstreams whose last probe failed."""
        return frozenset(self._failures)

    def record_answer(self, upstream: str) -> None:
        """Record that an upstream answered its probe."""
        self._failures.pop(upstream, None)

    def record_failure(self, upstream: str) -> float:
        """Record a failed probe, and return for how long the upstream is paused, in seconds."""
        failures = self._failures.get(upstream, 0)
        self._failures[upstream] = failures + 1
        return min(PROBE_FAILURE_PAUSE_MAX_S, PROBE_FAILURE_PAUSE_S * 2.0 ** min(failures, 8))

    def retain(self, upstreams: Collection[str]) -> None:
        """Forget all upstreams but these."""
        for upstream in self._failures.keys() - upstreams:
            del self._failures[upstream]
