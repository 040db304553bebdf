"""Counters and latency histograms in the Prometheus text exposition format."""

from bisect import bisect_left
from collections.abc import Callable, Collection, Iterable
from itertools import accumulate
from typing import TYPE_CHECKING

from tornado.web import RequestHandler

from .metrics import Counters

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["MetricsPage", "MetricsPageHandler"]

# Upper limits in seconds, from immediate responses to the longest deadline of a route.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.0, 5.0, 10.0)


class _LatencyHistogram:
    """Counts of durations by bucket, and their sum in seconds."""

    __slots__ = ("counts", "sum_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS) + 1)
        self.sum_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Count a duration; it belongs to the first bucket whose limit it does not exceed."""
        self.counts[bisect_left(LATENCY_BUCKETS, duration_s)] += 1
        self.sum_s += duration_s

    def list_buckets(self) -> list[tuple[str, float]]:
        """Return each limit with the number of durations up to it."""
        limits = [*map(str, LATENCY_BUCKETS), "+Inf"]
        return list(zip(limits, map(float, accumulate(self.counts)), strict=True))


class MetricsPage:
    """Latency histograms of this process, rendered together with its counters.

    The Prometheus library is imported by the first `render`: its import would take a sixth of the
    start of a process, during which callers wait.

    Parameters
    ----------
    counters : Counters
        Counters of the process.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        # By service and outcome.
        self._latencies: dict[tuple[str, str], _LatencyHistogram] = {}
        # Name, description, and function that returns the value.
        self._gauges: list[tuple[str, str, Callable[[], float]]] = []

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a value that is read whenever the page is rendered."""
        self._gauges.append((name, description, read))

    def observe(self, service: str, outcome: str, duration_s: float) -> None:
        """Record the duration in seconds of a request that has ended."""
        key = (service, outcome)
        histogram = self._latencies.get(key)
        if histogram is None:
            histogram = self._latencies[key] = _LatencyHistogram()
        histogram.observe(duration_s)

    def retain_services(self, services: Collection[str]) -> None:
        """Forget the histograms of all services but the given ones, and of no service."""
        for key in list(self._latencies):
            if key[0] and key[0] not in services:
                del self._latencies[key]

    def collect(self) -> "Iterable[Metric]":
        """Yield the current values; called by prometheus_client."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily("amaranthbend_events", "Events by name", labels=["event"])
        for name, value in sorted(self._counters.get_snapshot()["counters"].items()):
            events.add_metric([name], value)
        yield events
        for name, description, read in self._gauges:
            yield GaugeMetricFamily(f"amaranthbend_{name}", description, value=read())
        latencies = HistogramMetricFamily(
            "amaranthbend_request_seconds",
            "Time from the arrival of a request to its end",
            labels=["service", "outcome"],
        )
        for key, histogram in sorted(self._latencies.items()):
            latencies.add_metric(key, histogram.list_buckets(), histogram.sum_s)
        yield latencies

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)


class MetricsPageHandler(RequestHandler):
    """Serves the metrics page."""

    def initialize(self, page: MetricsPage) -> None:
        """Set the page to serve; called by tornado."""
        self._page = page

    def get(self) -> None:
        """Send the rendered page."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._page.render())
