"""HTTP client for upstreams, based on the event handling of tornado's curl client.

Requests bypass `fetch`: creating its request and response objects and setting all libcurl options
for every request takes longer than all filters together.
"""

import asyncio
import contextlib
import socket
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError

from .calls import READ_SIZE_BYTES, ResponseHandler, UpstreamCall, UpstreamRequest

__all__ = ["UpstreamClient"]

# Maximum number of connections that libcurl keeps, for all upstreams together. Those in use count
# too: beyond it, calls that need a new connection fail.
MAX_CONNECTIONS = 512
# Upstreams close idle connections as well. An idle timeout shorter than theirs avoids most cases
# in which a request is sent on a connection that the upstream is closing.
MAX_CONNECTION_IDLE_S = 20
# Maximum number of idle handles of each kind, so that the memory used in a traffic peak is freed.
MAX_IDLE_HANDLES_PER_KIND = 256
# Methods whose handles are reused. Callers choose the method, and there is no end of others.
REUSED_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
# An idle handle keeps the body of its last request only up to this size.
MAX_IDLE_HANDLE_BODY_BYTES = 1024
# Receive buffer of a connection to an upstream. Bytes that wait in it while a caller does not read
# its response take memory of the host; without a limit the kernel lets it grow to megabytes.
RECEIVE_BUFFER_BYTES = 32 * 1024
MS_PER_S = 1000
# Number of accepted bytes by which a header callback makes libcurl end the transfer.
REJECT_HEADER = 0
FIXED_OPTIONS: tuple[tuple[int, Any], ...] = (
    (pycurl.PROTOCOLS, pycurl.PROTO_HTTP),
    (pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1),
    (pycurl.FOLLOWLOCATION, 0),
    (pycurl.PATH_AS_IS, 1),
    (pycurl.PROXY, ""),
    (pycurl.NOPROXY, "*"),
    (pycurl.NOSIGNAL, 1),
    (pycurl.MAXAGE_CONN, MAX_CONNECTION_IDLE_S),
    (pycurl.BUFFERSIZE, READ_SIZE_BYTES),
)

# Method, kind of body, and whether a new connection is required. A handle is reused only for
# requests of its kind, so that no other option has to be reset.
_HandleKind = tuple[str, str, bool]


class _Handle:
    """Reusable libcurl handle; the options of its kind are set at creation."""

    __slots__ = ("call", "curl", "kind")

    def __init__(self, kind: _HandleKind) -> None:
        self.kind = kind
        self.call: UpstreamCall | None = None
        self.curl = pycurl.Curl()
        curl = self.curl
        for option, value in FIXED_OPTIONS:
            curl.setopt(option, value)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_connect)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_body)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_send)
        method, body, requires_new_connection = kind
        if requires_new_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        if body == "streamed":
            curl.setopt(pycurl.UPLOAD, 1)
            curl.setopt(pycurl.READFUNCTION, self._on_read)
        if method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        else:
            curl.setopt(pycurl.CUSTOMREQUEST, method)

    def prepare(self, call: UpstreamCall) -> None:
        """Assign the handle to a call and set the options of its request."""
        self.call = call
        request = call.request
        curl = self.curl
        curl.setopt(pycurl.URL, f"http://{request.address}/")
        curl.setopt(pycurl.REQUEST_TARGET, request.target)
        curl.setopt(pycurl.HTTPHEADER, request.header_lines)
        connect_ms = max(1, int(request.connect_timeout_s * MS_PER_S))
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
        if request.source is not None:
            length = -1 if request.body_length is None else request.body_length
            curl.setopt(pycurl.INFILESIZE_LARGE, length)
        elif request.body is not None:
            curl.setopt(pycurl.POSTFIELDS, request.body)

    def release(self) -> None:
        """Detach the handle from its call and free a large request body."""
        call, self.call = self.call, None
        if call is None or call.request.body is None:
            return
        if len(call.request.body) > MAX_IDLE_HANDLE_BODY_BYTES:
            self.curl.setopt(pycurl.POSTFIELDS, b"")

    def _on_connect(self, fd: int, _purpose: int) -> int:
        connection = socket.socket(fileno=fd)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # The descriptor belongs to libcurl.
        connection.detach()
        if self.call is not None:
            self.call.record_connect()
        return int(pycurl.SOCKOPT_OK)

    def _on_header(self, line: bytes) -> int | None:
        if self.call is None or self.call.receive_header(line):
            return None
        return REJECT_HEADER

    def _on_body(self, chunk: bytes) -> int:
        return 0 if self.call is None else self.call.receive_body(chunk)

    def _on_read(self, size: int) -> bytes | int:
        return int(pycurl.READFUNC_ABORT) if self.call is None else self.call.read_body(size)

    def _on_send(self, *_addresses: object) -> int:
        if self.call is not None and self.call.record_send():
            return int(pycurl.PREREQFUNC_OK)
        return int(pycurl.PREREQFUNC_ABORT)


class UpstreamClient(CurlAsyncHTTPClient):
    """Runs calls to upstreams, without a limit on concurrent calls.

    Parameters
    ----------
    prevents_resend : bool
        Whether to prevent libcurl from sending a request a second time by itself; False only in a
        test.
    max_connections : int
        Connections to upstreams, idle ones included; at most `MAX_CONNECTIONS`.
    """

    prevents_resend: bool

    def initialize(  # type: ignore[override]
        self, *, prevents_resend: bool = True, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        """Initialize the client; called by tornado instead of `__init__`."""
        # `super().initialize` already makes libcurl set a timer, which uses these attributes.
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.Handle | None = None
        self._is_in_libcurl = False
        super().initialize(max_clients=0)
        self.prevents_resend = prevents_resend
        self._ready: list[UpstreamCall] = []
        self._active: dict[pycurl.Curl, _Handle] = {}
        self._idle: dict[_HandleKind, list[_Handle]] = {}
        self._multi.setopt(pycurl.M_MAXCONNECTS, min(MAX_CONNECTIONS, max_connections))

    def close(self) -> None:
        """Cancel all calls without delivering a result, and close the client."""
        for handle in list(self._active.values()):
            self._release(handle)
        if self._timer is not None:
            self._timer.cancel()
        super().close()

    def start(self, request: UpstreamRequest, response_handler: ResponseHandler) -> UpstreamCall:
        """Start a call. Must not be called inside a libcurl callback."""
        body = "none"
        if request.source is not None:
            body = "streamed"
        elif request.body is not None:
            body = "held"
        requires_new_connection = not request.may_reuse_connection and self.prevents_resend
        kind = (request.method, body, requires_new_connection)
        idle = self._idle.get(kind)
        handle = idle.pop() if idle else _Handle(kind)
        call = UpstreamCall(self, request, response_handler, handle.curl)
        handle.prepare(call)
        self._active[handle.curl] = handle
        self._multi.add_handle(handle.curl)
        if not self._is_in_libcurl:
            # Starts the transfer at once instead of in the next event loop iteration. A call that
            # is started while libcurl events are processed waits for libcurl's timer.
            self._run_libcurl(pycurl.SOCKET_TIMEOUT, 0)
        return call

    def remove(self, call: UpstreamCall) -> None:
        """Cancel a transfer; deferred, since libcurl may be running one of its callbacks."""
        self._loop.call_soon(self._remove, call)

    def _remove(self, call: UpstreamCall) -> None:
        handle = self._active.get(call.curl)
        if handle is not None and handle.call is call:
            self._release(handle)

    def _release(self, handle: _Handle) -> None:
        """Remove a transfer from libcurl, and keep its handle for reuse or close it."""
        del self._active[handle.curl]
        self._multi.remove_handle(handle.curl)
        handle.release()
        method, _, _ = handle.kind
        idle = self._idle.setdefault(handle.kind, []) if method in REUSED_METHODS else None
        if idle is not None and len(idle) < MAX_IDLE_HANDLES_PER_KIND:
            idle.append(handle)
        else:
            handle.curl.close()

    def schedule_flush(self, call: UpstreamCall) -> None:
        """Schedule the delivery of the data that a call has buffered."""
        if not self._ready:
            self._loop.call_soon(self._flush_ready)
        self._ready.append(call)

    def unpause(self, call: UpstreamCall) -> None:
        """Let a paused transfer continue."""
        handle = self._active.get(call.curl)
        if handle is None or handle.call is not call:
            return
        # libcurl may raise the error of the transfer here; it also reports it at the end.
        with contextlib.suppress(pycurl.error):
            call.curl.pause(pycurl.PAUSE_CONT)
        self._set_timeout(0)

    def _set_timeout(self, msecs: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if msecs == 0:
            self._timer = self._loop.call_soon(self._handle_timeout)
        elif msecs > 0:
            self._timer = self._loop.call_later(msecs / MS_PER_S, self._handle_timeout)

    def _handle_timeout(self) -> None:
        self._timer = None
        self._run_libcurl(pycurl.SOCKET_TIMEOUT, 0)
        if self._timer is None and self._multi is not None:
            # libcurl announces a timeout only once. If the timer fired too early, no further timer
            # would be set, so the remaining time is requested here.
            msecs = self._multi.timeout()
            if msecs >= 0:
                self._set_timeout(max(1, msecs))

    def _handle_socket(self, event: int, fd: int, multi: pycurl.CurlMulti, data: Any) -> None:  # noqa: ARG002
        # libcurl may reuse a file descriptor without notification, so it is always registered
        # again.
        before = self._fds.pop(fd, 0)
        if before & pycurl.POLL_IN:
            self._loop.remove_reader(fd)
        if before & pycurl.POLL_OUT:
            self._loop.remove_writer(fd)
        if event == pycurl.POLL_REMOVE:
            return
        if event & pycurl.POLL_IN:
            self._loop.add_reader(fd, self._run_libcurl, fd, pycurl.CSELECT_IN)
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(fd, self._run_libcurl, fd, pycurl.CSELECT_OUT)
        self._fds[fd] = event

    def _run_libcurl(self, fd: int, action: int) -> None:
        """Let libcurl process an event, then deliver the received data."""
        self._is_in_libcurl = True
        try:
            self._process_event(fd, action)
        finally:
            self._is_in_libcurl = False

    def _process_event(self, fd: int, action: int) -> None:
        with contextlib.suppress(pycurl.error):
            self._multi.socket_action(fd, action)
        while True:
            queued, succeeded, failed = self._multi.info_read()
            for curl in succeeded:
                self._finish_call(curl, None)
            for curl, number, message in failed:
                self._finish_call(curl, CurlError(number, message))
            if queued == 0:
                break
        self._flush_ready()

    def _finish_call(self, curl: pycurl.Curl, error: CurlError | None) -> None:
        handle = self._active[curl]
        call = handle.call
        # Only available until the transfer is removed from the multi handle.
        connection_was_kept = int(curl.getinfo(pycurl.ACTIVESOCKET)) >= 0
        self._release(handle)
        if call is not None:
            call.finish(error, connection_was_kept=connection_was_kept)

    def _flush_ready(self) -> None:
        while self._ready:
            ready, self._ready = self._ready, []
            for call in ready:
                call.flush()
