"""Read-only HTTP administration API of the server programs."""

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from result import Err, Result
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from ..core.errors import ExplanationError
from .metrics_page import MetricsPage, MetricsPageHandler

if TYPE_CHECKING:
    from ..core.explanation_document import Explanation
    from ..core.explanations import ExplanationQuery

__all__ = ["EXPLANATION_PATH", "AdminSources", "Explain", "make_admin_server"]

BAD_REQUEST = 400
SERVICE_UNAVAILABLE = 503
EXPLANATION_PATH = "/explainz"

Explain = Callable[["ExplanationQuery"], Result["Explanation", ExplanationError]]


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
    explain : callable or None
        Returns what would happen to a request; None if the process cannot tell.
    """

    get_unready_reason: Callable[[], str]
    get_config: Callable[[], dict[str, Any]]
    get_upstreams: Callable[[], dict[str, Any]]
    get_counters: Callable[[], dict[str, Any]]
    explain: Explain | None = None


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


class _ExplanationHandler(RequestHandler):
    """Explains what would happen to the request that the arguments describe."""

    def initialize(self, explain: Explain) -> None:
        self._explain = explain

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        result = self._explain_arguments()
        if not isinstance(result, Err):
            self.finish(json.dumps(result.ok_value, indent=1) + "\n")
            return
        error = result.err_value
        self.set_status(SERVICE_UNAVAILABLE if error.is_temporary else BAD_REQUEST)
        self.finish(json.dumps({"error": str(error)}) + "\n")

    def _explain_arguments(self) -> "Result[Explanation, ExplanationError]":
        # Imported when first asked, as callers wait while the modules of the process load.
        from ..core.explanations import ExplanationQuery, parse_header

        headers: list[tuple[str, str]] = []
        for text in self.get_arguments("header"):
            parsed = parse_header(text)
            if isinstance(parsed, Err):
                return parsed
            headers.append(parsed.ok_value)
        query = ExplanationQuery(
            self.get_argument("path", ""),
            self.get_argument("method", "GET"),
            tuple(headers),
            self.get_argument("team", ""),
        )
        return self._explain(query)


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
    if sources.explain is not None:
        handlers.append((EXPLANATION_PATH, _ExplanationHandler, {"explain": sources.explain}))
    if page is not None:
        handlers.append(("/metrics", MetricsPageHandler, {"page": page}))
    return HTTPServer(Application(handlers, log_function=lambda _handler: None))
