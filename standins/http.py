"""Plain blocking HTTP calls that show how a response ended."""

import http.client
import json
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

from .processes import Endpoint

__all__ = ["Answer", "call", "call_json"]

READ_BYTES = 64 * 1024


class Answer(NamedTuple):
    """What a caller received.

    Parameters
    ----------
    status : int
        Status code; 0 if none was received.
    headers : dict
        Headers, names in lower case.
    body : bytes
        Bytes that arrived.
    complete : bool
        Whether the response ended properly.
    duration_s : float
        Time from the connection to the end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    duration_s: float

    @property
    def outcome(self) -> str:
        """Outcome that the entry process stated."""
        return self.headers.get("x-request-outcome", "")

    @property
    def reason(self) -> str:
        """Reason that the entry process stated."""
        return self.headers.get("x-outcome-reason", "")

    def load_json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def call(
    endpoint: Endpoint,
    path: str,
    method: str = "GET",
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer:
    """Make one call on a new connection; never raises for a failed connection."""
    started_at = time.monotonic()
    connection = http.client.HTTPConnection(endpoint.address, endpoint.port, timeout=timeout_s)
    status, received, parts, complete = 0, {}, [], False
    try:
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
        status = response.status
        received = {name.lower(): value for name, value in response.getheaders()}
        while part := response.read1(READ_BYTES):
            parts.append(part)
        # A body that ends before its declared length reads as a plain end of file, and one
        # that only the end of the connection limits may be cut off anywhere.
        complete = response.chunked or response.length == 0
    except (OSError, http.client.HTTPException):
        complete = False
    finally:
        connection.close()
    return Answer(status, received, b"".join(parts), complete, time.monotonic() - started_at)


def call_json(endpoint: Endpoint, path: str, method: str = "GET", body: Any = None) -> Any:
    """Make a call that must succeed, with JSON in both directions.

    Raises
    ------
    ConnectionError
        If the call did not succeed.
    """
    data = None if body is None else json.dumps(body).encode()
    answer = call(endpoint, path, method, data)
    if answer.status != 200 or not answer.complete:
        raise ConnectionError(f"{method} http://{endpoint}{path}: {answer.status} {answer.body!r}")
    return answer.load_json()
