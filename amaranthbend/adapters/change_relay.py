"""Client and server that relay store changes between hosts over HTTP."""

import asyncio
import gzip
import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.iostream import UnsatisfiableReadError
from tornado.web import Application, RequestHandler

from ..core.change_log import PeerChanges
from ..core.watching import ObjectEvent, StoreChanges, StoredObject, StoreError, StoreErrorKind
from .http_client import make_http_client

__all__ = [
    "PEER_LONG_POLL_S",
    "ChangeRelayClient",
    "ChangeSource",
    "ListSource",
    "make_change_relay_server",
]

CHANGE_RELAY_PATH = "/news/"
LIST_PATH = "/list/"
# Field with the seconds since the store confirmed a relayed list. The body is the same for all
# followers, so that the age in it is that of the first response only.
CONFIRMATION_AGE_FIELD = "Confirmation-Age"
# Field with the latest era of the store that a peer knows, in a refusal.
ERA_FIELD = "Era"
MAX_ERA_DIGITS = 18
# Time for which a peer holds a request open. Short, so that a stopped peer is detected soon.
PEER_LONG_POLL_S = 0.5
# Time allowed after the long poll until the response starts: several round trips within a data
# centre.
RESPONSE_START_MARGIN_S = 0.3
# Time for the rest of a response: a configuration of 1 MB over a link of 10 Mbit/s takes 0.8 s.
BODY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.3
# The fastest zlib level: hosts that start wait for the list.
LIST_COMPRESSION_LEVEL = 1
# One call for each kind of object, and abandoned calls that have not reached their timeout yet.
MAX_CONCURRENT_CALLS = 16

ERROR_KINDS: dict[int, StoreErrorKind] = {
    HTTPStatus.GONE: StoreErrorKind.HISTORY_LOST,
    HTTPStatus.SERVICE_UNAVAILABLE: StoreErrorKind.UNCONFIRMED,
}

ChangeSource = Callable[[str, int, bool], Awaitable[Result[PeerChanges, StoreError]]]
ListSource = Callable[[str], Awaitable[Result[PeerChanges, StoreError]]]


def encode_peer_changes(relayed: PeerChanges) -> str:
    """Return relayed changes as JSON."""
    events = [
        {
            "name": event.object.name,
            "revision": event.object.revision,
            "value": event.object.value,
            "is_removal": event.is_removal,
        }
        for event in relayed.changes.events
    ]
    return json.dumps(
        {"events": events, "revision": relayed.changes.revision, "age_s": relayed.age_s}
    )


def decode_peer_changes(text: bytes) -> PeerChanges:
    """Return relayed changes from their JSON form.

    Raises
    ------
    ValueError
        If a part is missing or of the wrong type.
    """
    try:
        document: dict[str, Any] = json.loads(text)
        events = [
            ObjectEvent(
                StoredObject(str(event["name"]), int(event["revision"]), event["value"]),
                bool(event["is_removal"]),
            )
            for event in document["events"]
        ]
        changes = StoreChanges(events, int(document["revision"]))
        return PeerChanges(changes, max(0.0, float(document["age_s"])))
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"peer response is not a valid set of changes: {error!r}") from error


class ChangeRelayClient:
    """Fetches changes from peers, without kept-alive connections: these can fail unnoticed."""

    def __init__(self) -> None:
        self._client = make_http_client(MAX_CONCURRENT_CALLS)

    async def fetch(
        self, address: str, kind: str, after: int, *, awaits_store: bool = False
    ) -> Result[PeerChanges, StoreError]:
        """Return the changes after a revision, as soon as there are any.

        Parameters
        ----------
        address : str
            `address:port` of the peer.
        kind : str
            Kind of object.
        after : int
            Revision after which changes are returned.
        awaits_store : bool
            Whether a peer that has lost the store waits for it before it answers.
        """
        url = f"http://{address}{CHANGE_RELAY_PATH}{kind}"
        # As a number: a position in a later era has another text form, for logs.
        query = f"after={int(after)}&awaits_store={awaits_store:d}"
        fetched = await self._fetch(address, f"{url}?{query}")
        if isinstance(fetched, Err):
            return fetched
        return _decode_response(address, fetched.ok_value)

    async def fetch_list(self, address: str, kind: str) -> Result[PeerChanges, StoreError]:
        """Return all objects, as soon as the peer has a list that the store has confirmed.

        Parameters
        ----------
        address : str
            `address:port` of the peer.
        kind : str
            Kind of object.
        """
        fetched = await self._fetch(address, f"http://{address}{LIST_PATH}{kind}")
        if isinstance(fetched, Err):
            return fetched
        response = fetched.ok_value
        try:
            age_s = float(response.headers[CONFIRMATION_AGE_FIELD])
        except (KeyError, ValueError) as error:
            detail = f"{address}: {CONFIRMATION_AGE_FIELD}: {error!r}"
            return Err(StoreError(StoreErrorKind.MALFORMED, detail))
        return _decode_response(address, response).map(
            lambda relayed: relayed._replace(age_s=max(0.0, age_s))
        )

    async def _fetch(self, address: str, url: str) -> Result[HTTPResponse, StoreError]:
        """Return the response to a call that the peer may hold open for `PEER_LONG_POLL_S`."""
        begun = asyncio.Event()
        start_timeout_s = PEER_LONG_POLL_S + RESPONSE_START_MARGIN_S
        call = self._client.fetch(
            url,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=start_timeout_s + BODY_TIMEOUT_S,
            header_callback=lambda _line: begun.set(),
        )
        beginning = asyncio.ensure_future(begun.wait())
        waits: set[asyncio.Future[Any]] = {call, beginning}
        await asyncio.wait(waits, timeout=start_timeout_s, return_when=asyncio.FIRST_COMPLETED)
        beginning.cancel()
        if not call.done() and not begun.is_set():
            # The call continues until its own timeout; its exception is then retrieved and ignored.
            call.add_done_callback(lambda late: late.exception())
            return Err(
                StoreError(
                    StoreErrorKind.UNAVAILABLE, f"{address}: no response in {start_timeout_s} s"
                )
            )
        try:
            return Ok(await call)
        except HTTPClientError as error:
            kind_of_error = ERROR_KINDS.get(error.code, StoreErrorKind.UNAVAILABLE)
            detail = f"{address}: {error.code} {error.message}"
            return Err(StoreError(kind_of_error, detail, _read_era(error.response)))
        except OSError as error:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{address}: {error!r}"))
        except UnsatisfiableReadError as error:
            return Err(StoreError(StoreErrorKind.MALFORMED, f"{address}: {error}"))


def _read_era(response: HTTPResponse | None) -> int:
    """Return the era that a peer states in a refusal, 0 if it does not."""
    text = "" if response is None else response.headers.get(ERA_FIELD, "")
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS else 0


def _decode_response(address: str, response: HTTPResponse) -> Result[PeerChanges, StoreError]:
    """Return the changes in a peer's response, or why they cannot be decoded."""
    try:
        return Ok(decode_peer_changes(response.body))
    except ValueError as error:
        return Err(StoreError(StoreErrorKind.MALFORMED, f"{address}: {error}"))


class _ChangeRelayHandler(RequestHandler):
    def initialize(self, source: ChangeSource) -> None:
        self._source = source

    async def get(self, kind: str) -> None:
        after = self.get_query_argument("after", "")
        if not after.isdecimal():
            self.set_status(HTTPStatus.BAD_REQUEST)
            return
        awaits_store = self.get_query_argument("awaits_store", "0") == "1"
        relayed = await self._source(kind, int(after), awaits_store)
        if isinstance(relayed, Err):
            error = relayed.err_value
            is_lost = error.kind is StoreErrorKind.HISTORY_LOST
            self.set_status(HTTPStatus.GONE if is_lost else HTTPStatus.SERVICE_UNAVAILABLE)
            if error.era:
                self.set_header(ERA_FIELD, str(error.era))
            return
        self.set_header("Content-Type", "application/json")
        self.finish(encode_peer_changes(relayed.ok_value))


class EncodedLists:
    """Encodes each list once for all followers that ask for it."""

    def __init__(self) -> None:
        # Revision and compressed body of the last list, by kind of object.
        self._last: dict[str, tuple[int, bytes]] = {}

    def encode(self, kind: str, relayed: PeerChanges) -> bytes:
        """Return the compressed body of a list."""
        revision = relayed.changes.revision
        known = self._last.get(kind)
        if known is not None and known[0] == revision:
            return known[1]
        body = gzip.compress(encode_peer_changes(relayed).encode(), LIST_COMPRESSION_LEVEL)
        self._last[kind] = revision, body
        return body


class _ListHandler(RequestHandler):
    def initialize(self, source: ListSource, encoded: EncodedLists) -> None:
        self._source = source
        self._encoded = encoded

    async def get(self, kind: str) -> None:
        listed = await self._source(kind)
        if isinstance(listed, Err):
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        relayed = listed.ok_value
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Encoding", "gzip")
        self.set_header(CONFIRMATION_AGE_FIELD, str(relayed.age_s))
        self.finish(self._encoded.encode(kind, relayed))


def make_change_relay_server(source: ChangeSource, list_source: ListSource) -> HTTPServer:
    """Return an HTTP server that relays changes; the caller starts listening.

    Parameters
    ----------
    source : callable
        Takes a kind of object, a revision and whether to wait for a lost store, and returns the
        changes after the revision.
    list_source : callable
        Takes a kind of object, and returns all objects.
    """
    handlers: list[tuple[str, Any, dict[str, Any]]] = [
        (CHANGE_RELAY_PATH + r"([a-z]+)", _ChangeRelayHandler, {"source": source}),
        (
            LIST_PATH + r"([a-z]+)",
            _ListHandler,
            {"source": list_source, "encoded": EncodedLists()},
        ),
    ]
    # Compressed, since configurations are large and repetitive, and bandwidth may be low.
    application = Application(handlers, compress_response=True, log_function=lambda _handler: None)
    return HTTPServer(application)
