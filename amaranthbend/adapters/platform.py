"""Client of the platform: object API and host list."""

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
# Allowance on top of the waiting time of a watch, for the response to arrive.
WATCH_RESPONSE_ALLOWANCE_S = 5.0
# Calls a second of one process. 14 hosts with a control process and a few entry
# processes each then stay below the platform's 2,000 reads and several hundred writes.
MAX_CALLS_PER_S = 20.0
MAX_CALL_BURST = 20.0
# Spread of the calls that waited for the end of an outage.
RECOVERY_JITTER_S = 0.5


class PlatformErrorKind(StrEnum):
    """Why a call failed, and so what is known of its effect."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    TOO_LARGE = "too_large"
    # A write whose effect is unknown: read it back.
    LOST_RESPONSE = "lost_response"
    MALFORMED = "malformed"


REMEDIES = {
    PlatformErrorKind.CONFLICT: "read the object again and decide anew",
    PlatformErrorKind.NOT_FOUND: "create the object first",
    PlatformErrorKind.RATE_LIMITED: "repeat later with backoff",
    PlatformErrorKind.UNAVAILABLE: "repeat later with backoff",
    PlatformErrorKind.TOO_LARGE: "keep values below 1 MB",
    PlatformErrorKind.LOST_RESPONSE: "read the object back to learn whether the write took effect",
    PlatformErrorKind.MALFORMED: "check that platform_url is the address of the object API",
}


class PlatformCallError(PlatformError):
    """A failed call.

    Parameters
    ----------
    kind : PlatformErrorKind
        Why it failed.
    call : str
        Method and path.
    detail : str
        Status code or error of the connection.
    """

    def __init__(self, kind: PlatformErrorKind, call: str, detail: str) -> None:
        super().__init__(f"{call}: {kind}: {detail}; {REMEDIES[kind]}")
        self.kind = kind


class Counters(Protocol):
    """Sink for counters."""

    def incr(self, stat: str, count: int = 1) -> Any:
        """Add to a counter."""


class StoredObject(NamedTuple):
    """One object; the version changes with each write and is never used twice."""

    name: str
    version: int
    value: Any


class ObjectChanges(NamedTuple):
    """Objects of a kind, or the changes since a revision."""

    revision: int
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...]


class PlatformClient:
    """Calls to the platform, each with a deadline and a counter.

    Parameters
    ----------
    base_url : str
        Address of the platform, without a trailing slash.
    http_client : AsyncHTTPClient
        Any tornado client.
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
        """Wait after a failed call, but not much longer than until another call succeeds.

        One caller's success ends the outage for the whole process, whose other
        callers may have drawn delays of up to 30 s.
        """
        if self._platform_available.is_set():
            # The platform works but refused the call, for example above its rate limit.
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
        answer = await self._call("watch", "GET", path, wait_s + WATCH_RESPONSE_ALLOWANCE_S)
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
        """Create an object that must not exist; return its version."""
        return await self._write(kind, name, {"If-None-Match": "*"}, value, timeout_s)

    async def replace(
        self, kind: str, name: str, value: Any, version: int, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[int, PlatformCallError]:
        """Replace an object that must have the given version; return the new one."""
        return await self._write(kind, name, {"If-Match": str(version)}, value, timeout_s)

    async def delete(
        self, kind: str, name: str, version: int, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[None, PlatformCallError]:
        """Remove an object that must have the given version."""
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
            # The write was answered with success, but its version is not known.
            return Err(PlatformCallError(PlatformErrorKind.LOST_RESPONSE, path, "no version"))
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
            return Err(PlatformCallError(kind, f"{method} {path}", "own limit on calls"))
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
        except (HTTPError, OSError) as error:
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
# Kinds that end with the outage; a refusal proves that the platform works.
OUTAGE_ERROR_KINDS = (PlatformErrorKind.UNAVAILABLE, PlatformErrorKind.LOST_RESPONSE)
# Errors of libcurl that precede the sending: unresolved name, failed connection.
CURL_UNSENT_ERRORS = {6, 7}
# Messages of tornado's simple client for timeouts that precede the sending.
TORNADO_UNSENT_MESSAGES = ("while connecting", "in request queue")


def classify_error(error: HTTPError | OSError, *, is_write: bool) -> PlatformErrorKind:
    """Return the kind of a failed call.

    A write counts as without effect only when the platform says so or when no
    connection was made; every other failure leaves its effect unknown.
    """
    if isinstance(error, HTTPError) and error.code in ERROR_KINDS_BY_STATUS:
        return ERROR_KINDS_BY_STATUS[error.code]
    if isinstance(error, HTTPError) and 400 <= error.code < 500:
        return PlatformErrorKind.MALFORMED
    if not is_write or _failed_before_sending(error):
        return PlatformErrorKind.UNAVAILABLE
    return PlatformErrorKind.LOST_RESPONSE


def _failed_before_sending(error: HTTPError | OSError) -> bool:
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
