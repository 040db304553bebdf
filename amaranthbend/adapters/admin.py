"""Read-only HTTP administration API of the server programs."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from .metrics_page import MetricsPage, MetricsPageHandler

__all__ = ["AdminSources", "make_admin_server"]

SERVICE_UNAVAILABLE = 503


class AdminSources(NamedTuple):
    """Functions that provide the content of the administration API.

    Parameters
    ----------
    get_unready_reason : callable
        Returns why the process is not ready; empty if it is ready.
    get_config : callable
        Returns the serial and digest of the settings in force.
    get_upstreams : callable
        Returns the known state of each upstream, by service.
    get_counters : callable
        Returns the counters and timings.
    """

    get_unready_reason: Callable[[], str]
    get_config: Callable[[], dict[str, Any]]
    get_upstreams: Callable[[], dict[str, Any]]
    get_counters: Callable[[], dict[str, Any]]


class _JsonHandler(RequestHandler):
    def initialize(self, source: Callable[[], dict[str, Any]]) -> None:
        self._source = source

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self._source(), sort_keys=True, indent=1) + "\n")


class _ReadyHandler(RequestHandler):
    def initialize(self, source: Callable[[], str]) -> None:
        self._source = source

    def get(self) -> None:
        unready_reason = self._source()
        if unready_reason:
            self.set_status(SERVICE_UNAVAILABLE)
        self.set_header("Content-Type", "text/plain")
        self.finish((unready_reason or "ready") + "\n")


def make_admin_server(sources: AdminSources, page: MetricsPage | None = None) -> HTTPServer:
    """Return the HTTP server of the administration API; the caller starts listening.

    Parameters
    ----------
    sources : AdminSources
        Functions that provide the content.
    page : MetricsPage or None
        Content of `/metrics`; without it, that path does not exist.
    """
    handlers: list[Any] = [
        ("/livez", _ReadyHandler, {"source": lambda: ""}),
        ("/readyz", _ReadyHandler, {"source": sources.get_unready_reason}),
        ("/configz", _JsonHandler, {"source": sources.get_config}),
        ("/upstreamz", _JsonHandler, {"source": sources.get_upstreams}),
        ("/counterz", _JsonHandler, {"source": sources.get_counters}),
    ]
    if page is not None:
        handlers.append(("/metrics", MetricsPageHandler, {"page": page}))
    return HTTPServer(Application(handlers, log_function=lambda _handler: None))
