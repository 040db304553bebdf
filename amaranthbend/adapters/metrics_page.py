"""Counters and latency histograms in the Prometheus text exposition format."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from tornado.web import RequestHandler

from .metrics import Counters

__all__ = ["MetricsPage", "MetricsPageHandler"]

# Upper limits in seconds, from immediate responses to the longest deadline of a route.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.0, 5.0, 10.0)


class _CounterCollector:
    """Exports all counters of the process as one metric, with the counter name as a label."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def collect(self) -> Iterable[CounterMetricFamily]:
        """Yield the current values; called by prometheus_client."""
        family = CounterMetricFamily("amaranthbend_events", "Events by name", labels=["event"])
        for name, value in sorted(self._counters.get_snapshot()["counters"].items()):
            family.add_metric([name], value)
        yield family


class MetricsPage:
    """Latency histograms of this process, rendered together with its counters.

    Parameters
    ----------
    counters : Counters
        Counters of the process.
    """

    def __init__(self, counters: Counters) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_CounterCollector(counters))
        self._requests = Histogram(
            "amaranthbend_request_seconds",
            "Time from the arrival of a request to its end",
            ("service", "outcome"),
            registry=self._registry,
            buckets=LATENCY_BUCKETS,
        )

    def observe(self, service: str, outcome: str, duration_s: float) -> None:
        """Record the duration in seconds of a request that has ended."""
        self._requests.labels(service, outcome).observe(duration_s)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)


class MetricsPageHandler(RequestHandler):
    """Serves the metrics page."""

    def initialize(self, page: MetricsPage) -> None:
        """Set the page to serve; called by tornado."""
        self._page = page

    def get(self) -> None:
        """Send the rendered page."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._page.render())
