"""Upstream side of the entry process, on tornado's curl client."""

import contextlib
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from .calls import READ_BYTES, AnswerSink, UpstreamCall, UpstreamRequest

__all__ = ["UpstreamClient"]

# Idle connections kept for reuse, over all upstreams.
MAX_IDLE_CONNECTIONS = 512
# Upstreams close idle connections too; a shorter time here avoids most of those races.
MAX_IDLE_S = 20
# Error number for a transfer that could not be set up; libcurl's own are positive.
SETUP_FAILED = -1


class _CallRequest(HTTPRequest):
    """Request of tornado's client that knows its call."""

    call: UpstreamCall


class UpstreamClient(CurlAsyncHTTPClient):
    """Runs calls at upstreams, as many at once as are started.

    Parameters
    ----------
    guards_resend : bool
        Whether libcurl is kept from sending a request twice; only a test turns it off.
    """

    guards_resend: bool
    fixed_options: tuple[tuple[int, Any], ...]

    def initialize(self, *, guards_resend: bool = True) -> None:  # type: ignore[override]
        """Set up the client; called by tornado in place of a constructor."""
        super().initialize(max_clients=0)
        self.guards_resend = guards_resend
        self.fixed_options = _list_fixed_options()
        self._ready: list[UpstreamCall] = []
        self._running: dict[UpstreamCall, pycurl.Curl] = {}
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)

    def start(self, request: UpstreamRequest, sink: AnswerSink) -> UpstreamCall:
        """Start an attempt. Must not be called inside a libcurl callback."""
        call = UpstreamCall(self, request, sink)
        if not self._free_list:
            # tornado queues requests beyond its number of handles; here each gets one.
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        self._running[call] = self._free_list[-1]
        template = _CallRequest(
            f"http://{request.address}/",
            connect_timeout=request.connect_timeout_s,
            request_timeout=0,
            follow_redirects=False,
            max_redirects=0,
            decompress_response=False,
            prepare_curl_callback=call.prepare,
        )
        template.call = call
        self.fetch_impl(template, lambda response: self._end(call, response))
        return call

    def remove(self, call: UpstreamCall) -> None:
        """Cancel a transfer; deferred, since libcurl may be in a callback of it."""
        if call in self._running:
            self.io_loop.add_callback(self._remove, call)

    def _remove(self, call: UpstreamCall) -> None:
        curl = self._running.pop(call, None)
        if curl is None:
            return
        self._multi.remove_handle(curl)
        curl.info = None  # type: ignore[attr-defined]
        curl.reset()
        self._free_list.append(curl)

    def _finish(
        self, curl: Any, curl_error: int | None = None, curl_message: str | None = None
    ) -> None:
        # Only known until the transfer is removed from the multi handle.
        curl.info["request"].call.note_socket(curl.getinfo(pycurl.ACTIVESOCKET))
        super()._finish(curl, curl_error, curl_message)

    def _end(self, call: UpstreamCall, response: HTTPResponse) -> None:
        curl = self._running.pop(call, None)
        if curl is None:
            return
        error = response.error
        if isinstance(error, CurlError):
            call.finish(error)
        elif error is None or isinstance(error, HTTPError):
            # tornado reports error statuses of the upstream as errors too.
            call.finish(None)
        else:
            call.finish(CurlError(SETUP_FAILED, repr(error)))

    def note_ready(self, call: UpstreamCall) -> None:
        """Remember that a call has something to deliver."""
        if not self._ready:
            self.io_loop.add_callback(self._flush_ready)
        self._ready.append(call)

    def unpause(self, call: UpstreamCall, curl: pycurl.Curl) -> None:
        """Let a paused transfer continue."""
        if self._running.get(call) is not curl:
            return
        # libcurl reports a pending error here as well as at the end of the transfer.
        with contextlib.suppress(pycurl.error):
            curl.pause(pycurl.PAUSE_CONT)
        self._set_timeout(0)

    def _finish_pending_requests(self) -> None:
        super()._finish_pending_requests()
        self._flush_ready()

    def _flush_ready(self) -> None:
        while self._ready:
            ready, self._ready = self._ready, []
            for call in ready:
                call.flush()


def _list_fixed_options() -> tuple[tuple[int, Any], ...]:
    """Return the options that are the same for every call."""
    return (
        (pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1),
        (pycurl.PATH_AS_IS, 1),
        (pycurl.PROXY, ""),
        (pycurl.NOPROXY, "*"),
        (pycurl.NOSIGNAL, 1),
        (pycurl.MAXAGE_CONN, MAX_IDLE_S),
        (pycurl.BUFFERSIZE, READ_BYTES),
    )
