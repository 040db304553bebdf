"""Client of the platform's metadata store: lists, watches and writes objects of one kind."""

import json
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httputil import HTTPHeaders
from tornado.iostream import UnsatisfiableReadError

from ..adapters.http_client import make_http_client
from ..core.positions import Eras, Position, get_era
from ..core.watching import ObjectEvent, StoreChanges, StoreError, StoreErrorKind
from .document_fields import get_non_negative_int
from .store_pages import decode_events, decode_objects, decode_page

__all__ = ["StoreClient"]

OBJECTS_PATH = "/api/objects/"
ERA_FIELD = "Store-Era"
MAX_ERA_DIGITS = 18
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


class _Page(NamedTuple):
    """Decoded response of the store, and the era in which it was made."""

    fields: dict[str, Any]
    era: int

    def get_position(self) -> Position:
        """Return the position up to which the response is complete."""
        return Position(self.era, get_non_negative_int(self.fields, "at"))


class StoreClient:
    """Creates, replaces, removes, lists and watches objects of the store.

    Each call opens its own connection, since a persistent connection can stop delivering data
    without being closed.

    Parameters
    ----------
    address : str
        `address:port` of the store.
    eras : Eras or None
        Learns the era of each response; those of earlier eras are not used.
    """

    def __init__(self, address: str, eras: Eras | None = None) -> None:
        self._base = f"http://{address}{OBJECTS_PATH}"
        self._client = make_http_client(MAX_CONCURRENT_CALLS)
        self._eras = eras or Eras()

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
        if get_era(revision) < self._eras.latest:
            # The same revision may belong to another state of the object by now.
            detail = f"{kind}/{name}: revision {revision} is of an earlier era"
            return Err(StoreError(StoreErrorKind.CONFLICT, detail))
        query = {"revision": str(Position.from_number(revision).revision)}
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
        position: Position | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"after": after} if after else {}
            if may_lag:
                query["serializable"] = "1"
            result = await self._call(kind, query, CALL_TIMEOUT_S)
            if isinstance(result, Err):
                return result
            page = result.ok_value
            if position is not None and page.era != position.era:
                return Err(StoreError(StoreErrorKind.UNAVAILABLE, f"list of {kind}: new era"))
            try:
                objects = decode_objects(page.fields["items"], page.era)
                # That of the first page; a watch from it repeats changes made between two pages.
                position = page.get_position() if position is None else position
                has_more = bool(page.fields.get("hasMore"))
            except (KeyError, TypeError, ValueError) as error:
                return Err(StoreError(StoreErrorKind.MALFORMED, f"list of {kind}: {error!r}"))
            events += [ObjectEvent(stored, False) for stored in objects]
            if not has_more or not objects:
                return Ok(StoreChanges(events, position))
            after = objects[-1].name
        return Err(StoreError(StoreErrorKind.MALFORMED, f"list of {kind} does not end"))

    async def check_changes(self, kind: str, revision: int) -> Result[StoreChanges, StoreError]:
        """Return at once the changes after a revision.

        Not from a replica, although that costs a tenth as much: it may lag behind by seconds, and
        then returns no changes like one that is up to date.
        """
        return await self._watch(kind, revision, 0.0, CALL_TIMEOUT_S)

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
            return Ok(result.ok_value.get_position())
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
        return await self._watch(kind, revision, wait_s, wait_s + WATCH_RESPONSE_MARGIN_S)

    async def _watch(
        self, kind: str, revision: int, wait_s: float, timeout_s: float
    ) -> Result[StoreChanges, StoreError]:
        position = Position.from_number(revision)
        query = {"watch": str(position.revision), "waitMs": str(int(wait_s * MS_PER_S))}
        result = await self._call(kind, query, timeout_s)
        if isinstance(result, Err):
            return result
        page = result.ok_value
        if page.era != position.era:
            # The revision names another state of the store in this era.
            detail = f"watch of {kind} from {position}: era {page.era}"
            return Err(StoreError(StoreErrorKind.HISTORY_LOST, detail))
        try:
            events = decode_events(page.fields["events"], page.era)
            return Ok(StoreChanges(events, page.get_position()))
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
    ) -> Result[_Page, StoreError]:
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
            era = self._accept_era(response.headers)
            return Ok(_Page(decode_page(response.body), era))
        except HTTPClientError as error:
            if error.response is not None and ERA_FIELD in error.response.headers:
                try:
                    self._accept_era(error.response.headers)
                except ValueError as problem:
                    return Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{path}: {problem}"))
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

    def _accept_era(self, headers: HTTPHeaders) -> int:
        """Return the era of a response, 0 for a store that states none, and record it.

        Raises
        ------
        ValueError
            If the field is malformed, or the response was made before the store came back.
        """
        text = headers.get(ERA_FIELD, "0")
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS):
            raise ValueError(f"{ERA_FIELD} {text[:MAX_ERA_DIGITS]!r} is not a number")
        era = int(text)
        if era < self._eras.latest:
            raise ValueError(f"response of the earlier era {era}")
        self._eras.note(era)
        return era
