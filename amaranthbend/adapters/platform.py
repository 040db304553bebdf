"""Client of the platform's object API and host list."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple, Protocol, TypeVar
from urllib.parse import quote, urlencode

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse
from tornado.iostream import UnsatisfiableReadError

from ..core.backoff import TokenBucket
from ..core.errors import PlatformError
from .host_list import HostList, load_host_list, load_non_negative_int

__all__ = [
    "Counters",
    "ObjectChanges",
    "PlatformCallError",
    "PlatformClient",
    "PlatformErrorKind",
    "StoredObject",
]

T = TypeVar("T")

DEFAULT_TIMEOUT_S = 2.0
# Time allowed for the response of a watch, in addition to its waiting time.
WATCH_RESPONSE_MARGIN_S = 5.0
# Rate limit of one process. It keeps 14 hosts, each with a control process and a few entry
# processes, below the platform's limits of 2,000 reads and several hundred writes per second.
MAX_CALLS_PER_S = 20.0
MAX_CALL_BURST = 20.0
# Callers that waited for the end of an outage retry after a random delay of up to this time, so
# that they don't all call at once.
RECOVERY_JITTER_S = 0.5


class PlatformErrorKind(StrEnum):
    """Why a call failed, which also determines what is known about its effect."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    TOO_LARGE = "too_large"
    # It is unknown whether a write took effect; the caller has to read the object back.
    LOST_RESPONSE = "lost_response"
    MALFORMED = "malformed"


REMEDIES = {
    PlatformErrorKind.CONFLICT: "read the object again and decide by its current value",
    PlatformErrorKind.NOT_FOUND: "create the object first",
    PlatformErrorKind.RATE_LIMITED: "repeat later with backoff",
    PlatformErrorKind.UNAVAILABLE: "repeat later with backoff",
    PlatformErrorKind.TOO_LARGE: "keep values below 1 MB",
    PlatformErrorKind.LOST_RESPONSE: "read the object back to learn whether the write took effect",
    PlatformErrorKind.MALFORMED: "check that platform_url is the address of the object API",
}


class PlatformCallError(PlatformError):
    """A failed call to the platform.

    Parameters
    ----------
    kind : PlatformErrorKind
        Why it failed.
    call : str
        Method and path.
    detail : str
        Status code or connection error.
    """

    def __init__(self, kind: PlatformErrorKind, call: str, detail: str) -> None:
        super().__init__(f"{call}: {kind}: {detail}; {REMEDIES[kind]}")
        self.kind = kind


class Counters(Protocol):
    """Interface of the counters that the client increments."""

    def incr(self, stat: str, count: int = 1) -> Any:
        """Add to a counter."""


class StoredObject(NamedTuple):
    """An object; its version changes with each write and is never reused."""

    name: str
    version: int
    value: Any


class ObjectChanges(NamedTuple):
    """All objects of a kind, or those that changed after a revision."""

    revision: int
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...]


class PlatformClient:
    """Calls the platform, with a timeout, a rate limit and counters for all calls.

    Parameters
    ----------
    base_url : str
        Address of the platform, without a trailing slash.
    http_client : AsyncHTTPClient
        Tornado client that sends the requests.
    counters : Counters
        Receives `platform.<call>` for each call and `platform.error.<kind>` for each failure.
    calls_per_s, burst : float
        Limit on the calls of the process.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        base_url: str,
        http_client: AsyncHTTPClient,
        counters: Counters,
        calls_per_s: float = MAX_CALLS_PER_S,
        burst: float = MAX_CALL_BURST,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._http_client = http_client
        self._counters = counters
        self._clock = clock
        self._bucket = TokenBucket(calls_per_s, burst, clock())
        self._platform_available = asyncio.Event()
        self._platform_available.set()

    async def wait_before_retry(self, delay_s: float) -> None:
        """Wait before a failed call is retried, but only until shortly after an outage ends.

        The first successful call of the process ends the outage for all of its callers. Otherwise
        they would wait for the rest of their backoff delays of up to 30 s.

        Parameters
        ----------
        delay_s : float
            Backoff delay in seconds; it is waited in full unless an outage ends earlier.
        """
        if self._platform_available.is_set():
            # The platform is available but rejected the call, for example due to its rate limit.
            await asyncio.sleep(delay_s)
            return
        try:
            await asyncio.wait_for(self._platform_available.wait(), delay_s)
        except TimeoutError:
            return
        await asyncio.sleep(min(delay_s, random.uniform(0, RECOVERY_JITTER_S)))

    async def get(
        self, kind: str, name: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[StoredObject, PlatformCallError]:
        """Read one object."""
        path = _make_object_path(kind, name)
        answer = await self._call("get", "GET", path, timeout_s)
        return _parse_response(answer, path, _load_object)

    async def list(
        self, kind: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[ObjectChanges, PlatformCallError]:
        """Read all objects of a kind."""
        path = _make_object_path(kind)
        return _parse_response(
            await self._call("list", "GET", path, timeout_s), path, _load_changes
        )

    async def watch(
        self, kind: str, after: int, wait_s: float
    ) -> Result[ObjectChanges, PlatformCallError]:
        """Wait up to `wait_s` seconds for changes after a revision."""
        path = _make_object_path(kind) + "?" + urlencode({"after": after, "wait_s": wait_s})
        answer = await self._call("watch", "GET", path, wait_s + WATCH_RESPONSE_MARGIN_S)
        return _parse_response(answer, path, _load_changes)

    async def fetch_hosts(
        self, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[HostList, PlatformCallError]:
        """Read the host list."""
        answer = await self._call("hosts", "GET", "/hosts", timeout_s)
        return _parse_response(answer, "/hosts", load_host_list)

    async def create(
        self, kind: str, name: str, value: Any, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[int, PlatformCallError]:
        """Create an object and return its version; fails if the object exists."""
        return await self._write(kind, name, {"If-None-Match": "*"}, value, timeout_s)

    async def replace(
        self, kind: str, name: str, value: Any, version: int, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[int, PlatformCallError]:
        """Replace an object and return its new version; fails if its version is not `version`."""
        return await self._write(kind, name, {"If-Match": str(version)}, value, timeout_s)

    async def delete(
        self, kind: str, name: str, version: int, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[None, PlatformCallError]:
        """Delete an object; fails if its version is not `version`."""
        path = _make_object_path(kind, name)
        headers = {"If-Match": str(version)}
        answer = await self._call("delete", "DELETE", path, timeout_s, headers)
        return answer.map(lambda _response: None)

    async def _write(
        self, kind: str, name: str, headers: dict[str, str], value: Any, timeout_s: float
    ) -> Result[int, PlatformCallError]:
        path = _make_object_path(kind, name)
        headers = {**headers, "Content-Type": "application/json"}
        body = json.dumps(value).encode()
        answer = await self._call("put", "PUT", path, timeout_s, headers, body)
        parsed = _parse_response(answer, path, lambda document: int(document["version"]))
        if isinstance(parsed, Err) and parsed.err_value.kind is PlatformErrorKind.MALFORMED:
            # The write succeeded, but the response does not contain its version.
            return Err(
                PlatformCallError(PlatformErrorKind.LOST_RESPONSE, path, "response has no version")
            )
        return parsed

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        timeout_s: float,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Result[HTTPResponse, PlatformCallError]:
        if not self._bucket.take(self._clock()):
            self._counters.incr("platform.error.own_rate")
            kind = PlatformErrorKind.RATE_LIMITED
            return Err(
                PlatformCallError(
                    kind, f"{method} {path}", "call rate limit of this process exceeded"
                )
            )
        self._counters.incr(f"platform.{call}")
        request = HTTPRequest(
            self._base_url + path,
            method=method,
            headers=headers,
            body=body,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=True,
        )
        try:
            response = await self._http_client.fetch(request)
            self._platform_available.set()
            return Ok(response)
        except (HTTPError, OSError, UnsatisfiableReadError) as error:
            kind = classify_error(error, is_write=method != "GET")
            self._counters.incr(f"platform.error.{kind}")
            if kind in OUTAGE_ERROR_KINDS:
                self._platform_available.clear()
            return Err(PlatformCallError(kind, f"{method} {path}", str(error)))


ERROR_KINDS_BY_STATUS = {
    404: PlatformErrorKind.NOT_FOUND,
    412: PlatformErrorKind.CONFLICT,
    413: PlatformErrorKind.TOO_LARGE,
    429: PlatformErrorKind.RATE_LIMITED,
    503: PlatformErrorKind.UNAVAILABLE,
}
# Errors that indicate an outage; any other error is a rejection by an available platform.
OUTAGE_ERROR_KINDS = (PlatformErrorKind.UNAVAILABLE, PlatformErrorKind.LOST_RESPONSE)
# Error codes of libcurl for failures before the request is sent: host name not resolved (6),
# connection failed (7).
CURL_UNSENT_ERRORS = {6, 7}
# Parts of the messages of tornado's simple client for timeouts before the request is sent.
TORNADO_UNSENT_MESSAGES = ("while connecting", "in request queue")


def classify_error(
    error: HTTPError | OSError | UnsatisfiableReadError, *, is_write: bool
) -> PlatformErrorKind:
    """Return the error kind of a failed call.

    A write is known to have had no effect only if the platform's status code says so, or if the
    request was not sent. After any other failure it may have taken effect.

    Parameters
    ----------
    error : HTTPError, OSError or UnsatisfiableReadError
        Error raised by the HTTP client.
    is_write : bool
        Whether the call would have changed an object.
    """
    if isinstance(error, HTTPError) and error.code in ERROR_KINDS_BY_STATUS:
        return ERROR_KINDS_BY_STATUS[error.code]
    if isinstance(error, HTTPError) and 400 <= error.code < 500:
        return PlatformErrorKind.MALFORMED
    if not is_write or _failed_before_sending(error):
        return PlatformErrorKind.UNAVAILABLE
    return PlatformErrorKind.LOST_RESPONSE


def _failed_before_sending(error: Exception) -> bool:
    if isinstance(error, ConnectionRefusedError):
        return True
    if getattr(error, "errno", None) in CURL_UNSENT_ERRORS and isinstance(error, HTTPError):
        return True
    return any(message in str(error) for message in TORNADO_UNSENT_MESSAGES)


def _make_object_path(*parts: str) -> str:
    return "/objects/" + "/".join(quote(part, safe="") for part in parts)


def _parse_response(
    answer: Result[HTTPResponse, PlatformCallError], path: str, load: Callable[[Any], T]
) -> Result[T, PlatformCallError]:
    if isinstance(answer, Err):
        return answer
    try:
        return Ok(load(json.loads(answer.ok_value.body)))
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return Err(PlatformCallError(PlatformErrorKind.MALFORMED, path, repr(error)))


def _load_object(document: Any) -> StoredObject:
    return StoredObject(
        str(document["name"]), load_non_negative_int(document["version"]), document["value"]
    )


def _load_changes(document: Any) -> ObjectChanges:
    return ObjectChanges(
        revision=load_non_negative_int(document["revision"]),
        objects=tuple(_load_object(entry) for entry in document["objects"]),
        deleted=tuple(str(name) for name in document.get("deleted", ())),
    )
