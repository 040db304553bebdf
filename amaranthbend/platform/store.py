"""Client of the platform's metadata store: lists, watches and writes objects of one kind."""

import json
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.iostream import UnsatisfiableReadError

from ..adapters.http_client import make_http_client
from ..core.watching import ObjectEvent, StoreChanges, StoreError, StoreErrorKind
from .document_fields import get_non_negative_int
from .store_pages import decode_events, decode_objects, decode_page

__all__ = ["StoreClient"]

OBJECTS_PATH = "/api/objects/"
# The store responds within a few milliseconds normally, and within a few hundred when it is slow.
CALL_TIMEOUT_S = 1.5
# Several round trips between data centres. The kernel resends a lost SYN after a second or more,
# so failing early and calling again is faster.
CONNECT_TIMEOUT_S = 0.5
# Time for the response of a watch to arrive after the store has stopped waiting for changes.
WATCH_RESPONSE_MARGIN_S = 1.0
MAX_CONCURRENT_CALLS = 16
MS_PER_S = 1000
# Far more pages than the objects of any deployment fill; ends a list in which a faulty store
# repeats its pages.
MAX_PAGES = 1000
# Sorts after the names of all objects.
LAST_NAME = "\U0010ffff"


class StoreClient:
    """Creates, replaces, removes, lists and watches objects of the store.

    Each call opens its own connection, since a persistent connection can stop delivering data
    without being closed.

    Parameters
    ----------
    address : str
        `address:port` of the store.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}{OBJECTS_PATH}"
        self._client = make_http_client(MAX_CONCURRENT_CALLS)

    async def create_object(self, kind: str, name: str, value: Any) -> Result[bool, StoreError]:
        """Create an object; return False if it already exists."""
        document = {"metadata": {"name": name}, "specification": value}
        body = json.dumps(document)
        result = await self._call(kind, {}, CALL_TIMEOUT_S, method="POST", body=body)
        if isinstance(result, Ok):
            return Ok(True)
        error = result.err_value
        return Ok(False) if error.kind is StoreErrorKind.CONFLICT else Err(error)

    async def replace_object(self, kind: str, name: str, value: Any) -> Result[None, StoreError]:
        """Replace the value of an object; the error is NOT_FOUND if it does not exist."""
        document = {"metadata": {"name": name}, "specification": value}
        body = json.dumps(document)
        result = await self._call(kind, {}, CALL_TIMEOUT_S, name=name, method="PUT", body=body)
        return result.map(lambda _page: None)

    async def remove_object(self, kind: str, name: str, revision: int) -> Result[None, StoreError]:
        """Remove an object; the error is CONFLICT if it has another revision.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        revision : int
            Revision of its last change, as listed.
        """
        query = {"revision": str(revision)}
        result = await self._call(kind, query, CALL_TIMEOUT_S, name=name, method="DELETE")
        return result.map(lambda _page: None)

    async def list_objects(
        self, kind: str, *, may_lag: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Return all objects of a kind, and the revision from which to watch for changes.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        may_lag : bool
            Whether to read from a replica, which may lag behind and costs a tenth as much.
        """
        events: list[ObjectEvent] = []
        revision: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"after": after} if after else {}
            if may_lag:
                query["serializable"] = "1"
            result = await self._call(kind, query, CALL_TIMEOUT_S)
            if isinstance(result, Err):
                return result
            page = result.ok_value
            try:
                objects = decode_objects(page["items"])
                # The first page's revision; a watch from it repeats changes made between two pages.
                revision = get_non_negative_int(page, "at") if revision is None else revision
                has_more = bool(page.get("hasMore"))
            except (KeyError, TypeError, ValueError) as error:
                return Err(StoreError(StoreErrorKind.MALFORMED, f"list of {kind}: {error!r}"))
            events += [ObjectEvent(stored, False) for stored in objects]
            if not has_more or not objects:
                return Ok(StoreChanges(events, revision))
            after = objects[-1].name
        return Err(StoreError(StoreErrorKind.MALFORMED, f"list of {kind} does not end"))

    async def check_changes(self, kind: str, revision: int) -> Result[StoreChanges, StoreError]:
        """Return at once the changes after a revision.

        Not from a replica, although that costs a tenth as much: it may lag behind by seconds, and
        then returns no changes like one that is up to date.
        """
        query = {"watch": str(revision), "waitMs": "0"}
        return await self._call_watch(kind, query, CALL_TIMEOUT_S)

    async def read_revision(self, kind: str) -> Result[int, StoreError]:
        """Return the present revision of the store, which any object of any kind may have raised.

        Parameters
        ----------
        kind : str
            Kind whose list is read; only what follows its last possible name, so no objects.
        """
        result = await self._call(kind, {"after": LAST_NAME}, CALL_TIMEOUT_S)
        if isinstance(result, Err):
            return result
        try:
            return Ok(get_non_negative_int(result.ok_value, "at"))
        except (KeyError, TypeError, ValueError) as error:
            return Err(StoreError(StoreErrorKind.MALFORMED, f"revision of {kind}: {error!r}"))

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[StoreChanges, StoreError]:
        """Return the changes after a revision; wait for some if there are none yet.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        revision : int
            Revision after which changes are returned.
        wait_s : float
            Longest time to wait for changes, in seconds.
        """
        query = {"watch": str(revision), "waitMs": str(int(wait_s * MS_PER_S))}
        return await self._call_watch(kind, query, wait_s + WATCH_RESPONSE_MARGIN_S)

    async def _call_watch(
        self, kind: str, query: dict[str, str], timeout_s: float
    ) -> Result[StoreChanges, StoreError]:
        result = await self._call(kind, query, timeout_s)
        if isinstance(result, Err):
            return result
        page = result.ok_value
        try:
            return Ok(StoreChanges(decode_events(page["events"]), get_non_negative_int(page, "at")))
        except (KeyError, TypeError, ValueError) as error:
            return Err(StoreError(StoreErrorKind.MALFORMED, f"watch of {kind}: {error!r}"))

    async def _call(
        self,
        kind: str,
        query: dict[str, str],
        timeout_s: float,
        *,
        name: str = "",
        method: str = "GET",
        body: str | None = None,
    ) -> Result[dict[str, Any], StoreError]:
        path = "/".join(quote(part, safe="") for part in (kind, name) if part)
        url = self._base + path
        if query:
            url += "?" + urlencode(query)
        request = HTTPRequest(
            url,
            method=method,
            headers=None if body is None else {"Content-Type": "application/json"},
            body=body,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        try:
            response = await self._client.fetch(request)
            return Ok(decode_page(response.body))
        except HTTPClientError as error:
            error_kind = StoreErrorKind.UNAVAILABLE
            if error.code == HTTPStatus.GONE:
                error_kind = StoreErrorKind.HISTORY_LOST
            if error.code == HTTPStatus.CONFLICT:
                error_kind = StoreErrorKind.CONFLICT
            if error.code == HTTPStatus.NOT_FOUND:
                error_kind = StoreErrorKind.NOT_FOUND
            return Err(StoreError(error_kind, f"{path}: {error.code} {error.message}"))
        except OSError as error:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{path}: {error!r}"))
        except (UnsatisfiableReadError, KeyError, TypeError, ValueError, RecursionError) as error:
            return Err(StoreError(StoreErrorKind.MALFORMED, f"{path}: {error!r}"))
