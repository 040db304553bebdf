"""Readiness check of the platform."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

__all__ = ["make_readiness_server"]


class _ReadinessHandler(RequestHandler):
    """Answers the platform's readiness check: whether the process takes new connections."""

    def initialize(self, get_unready_reason: Callable[[], str]) -> None:
        self._get_unready_reason = get_unready_reason

    def get(self) -> None:
        if self._get_unready_reason():
            self.set_status(503)


def make_readiness_server(path: str, get_unready_reason: Callable[[], str]) -> HTTPServer:
    """Return a server for the readiness check, which does not listen yet.

    Parameters
    ----------
    path : str
        Path of the check.
    get_unready_reason : callable
        Returns why the process is not ready for new connections, empty if it is ready.
    """
    routes = [(path, _ReadinessHandler, {"get_unready_reason": get_unready_reason})]
    return HTTPServer(Application(routes, log_function=lambda _handler: None))
