"""Stand-in for the platform's metadata store: objects by kind, lists, watches and faults.

Faults, set on `StoreFaults`:

- `mode`: "none", "busy" (503), "many" (429), "reset" (connection closed) or "silent" (no answer
  until it ends);
- `delay_s`: delay of each answer;
- `loses_writes`: writes take effect, but their connection is closed without an answer;
- `replica_lag_s`: age of the state that a `serializable` call returns.

`StoreState.return_from_copy` lets the store go back to an earlier state of itself, in a new era.
"""

import asyncio
import json
import time
from typing import Any

import tornado.web

from .objects import Change, ObjectStore

__all__ = ["RawJson", "StoreFaults", "StoreState", "make_store_app"]

PAGE_ITEMS = 500
MAX_WAIT_S = 30.0
RECHECK_S = 0.02


class RawJson:
    """A value of another writer, which is sent as it was written."""

    def __init__(self, text: bytes) -> None:
        self.text = text


def encode_document(document: Any) -> bytes:
    """Return a document as JSON, with its raw values unchanged."""
    raw_values: list[bytes] = []

    def replace_raw(value: RawJson) -> str:
        raw_values.append(value.text)
        return f"raw-value-{len(raw_values) - 1}"

    text = json.dumps(document, default=replace_raw).encode()
    for number, raw in enumerate(raw_values):
        text = text.replace(b'"raw-value-%d"' % number, raw, 1)
    return text


class StoreFaults:
    """Faults in force."""

    def __init__(self) -> None:
        self.mode = "none"
        self.delay_s = 0.0
        self.loses_writes = False
        self.replica_lag_s = 0.0


class StoreState:
    """Everything the stand-in holds."""

    def __init__(self) -> None:
        self.objects = ObjectStore()
        self.faults = StoreFaults()
        self.changed = asyncio.Event()
        # Changes up to this revision are forgotten.
        self.compacted = 0
        # What was last written, by kind and name, also if a return from a copy has lost it.
        self.written: dict[tuple[str, str], Any] = {}
        # Number of returns from a copy, stated in all responses.
        self.era = 0
        self.calls = 0
        # Watches that began before this number was raised get no answer.
        self.silenced = 0
        self.waiting_watches = 0

    def put(self, kind: str, name: str, specification: Any) -> int:
        """Write an object as its owner would, and return the revision."""
        self.written[kind, name] = specification
        change = self.objects.write(kind, name, specification, time.monotonic())
        self.notify()
        return change.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.put(kind, name, None)

    def compact(self) -> None:
        """Forget the history and cut the waiting watches."""
        self.compacted = self.objects.revision + 1
        self.objects.revision += 1
        self.notify()

    def return_from_copy(self, age_s: float) -> None:
        """Come back from a copy of some age: later writes are gone, and revisions go back."""
        self.objects.go_back(time.monotonic() - age_s)
        self.era += 1
        self.compacted = min(self.compacted, self.objects.revision)
        self.notify()

    def silence_watches(self) -> None:
        """Let the connections of the waiting watches go silent, without closing them."""
        self.silenced += 1

    def notify(self) -> None:
        """Wake the waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()


def describe(change: Change) -> dict[str, Any]:
    """Return the JSON form of an object."""
    metadata = {
        "name": change.name,
        "revision": change.revision,
        "created": change.revision,
        "finalizers": [],
        "deletionRequested": False,
    }
    return {"metadata": metadata, "specification": change.value, "status": None}


class _Handler(tornado.web.RequestHandler):
    def initialize(self, state: StoreState) -> None:
        self.state = state

    def log_exception(self, *args: Any) -> None:
        """Log nothing for the statuses that the stand-in gives on purpose."""
        if not isinstance(args[1], tornado.web.HTTPError):
            super().log_exception(*args)

    def set_era(self) -> None:
        """State the era, as in each response."""
        self.set_header("Store-Era", str(self.state.era))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error, whose headers start anew."""
        self.set_era()
        super().write_error(status_code, **kwargs)

    async def prepare(self) -> None:
        """Refuse, delay or hold a call as the faults demand."""
        self.state.calls += 1
        faults = self.state.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        while faults.mode == "silent":
            await asyncio.sleep(RECHECK_S)
        if faults.mode == "busy":
            raise tornado.web.HTTPError(503)
        if faults.mode == "many":
            raise tornado.web.HTTPError(429)
        if faults.mode == "reset":
            self.cut()

    def cut(self) -> None:
        """Close the connection without an answer."""
        self.request.connection.detach().close()  # type: ignore[union-attr]
        self._finished = True
        raise tornado.web.Finish

    def answer(self, document: Any, status: int = 200) -> None:
        """Send JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_era()
        self.finish(encode_document(document))


class _KindHandler(_Handler):
    async def get(self, kind: str) -> None:
        watch = self.get_query_argument("watch", "")
        if watch:
            await self.watch(kind, int(watch), int(self.get_query_argument("waitMs", "0")) / 1000)
            return
        after = self.get_query_argument("after", "")
        seen_at = time.monotonic() - self.get_lag_s()
        changes = self.state.objects.list_changes(kind, seen_at)
        found = sorted((c for c in changes if c.value is not None), key=lambda c: c.name)
        found = [change for change in found if change.name > after]
        items = [describe(change) for change in found[:PAGE_ITEMS]]
        more = len(found) > PAGE_ITEMS
        self.answer({"items": items, "hasMore": more, "at": self.find_revision(seen_at)})

    def get_lag_s(self) -> float:
        """Return the age of the state that this call sees."""
        may_lag = bool(self.get_query_argument("serializable", ""))
        return self.state.faults.replica_lag_s if may_lag else 0.0

    def find_revision(self, seen_at: float) -> int:
        """Return the revision of the store at a time."""
        return self.state.objects.find_revision(seen_at)

    async def watch(self, kind: str, revision: int, wait_s: float) -> None:
        """Answer as soon as there is a change after a revision."""
        until = time.monotonic() + min(wait_s, MAX_WAIT_S)
        silenced = self.state.silenced
        era = self.state.era
        while True:
            await self.wait_while_silenced(silenced)
            if revision < self.state.compacted or revision > self.state.objects.revision:
                raise tornado.web.HTTPError(410)
            if era != self.state.era:
                # The connection ends with the store that it was opened to.
                self.cut()
            now = time.monotonic()
            seen_at = now - self.get_lag_s()
            changes = self.state.objects.list_changes(kind, seen_at, revision)
            if changes or now >= until:
                break
            changed = self.state.changed
            self.state.waiting_watches += 1
            try:
                await asyncio.wait_for(changed.wait(), until - now)
            except TimeoutError:
                continue
            finally:
                self.state.waiting_watches -= 1
            await self.prepare()
        events = [{"object": describe(c), "deleted": c.value is None} for c in changes]
        self.answer({"events": events, "at": max(revision, self.find_revision(seen_at))})

    async def wait_while_silenced(self, silenced: int) -> None:
        """Give no answer on a connection that has gone silent, until the caller closes it."""
        while silenced != self.state.silenced:
            if self.request.connection.stream.closed():  # type: ignore[union-attr]
                raise tornado.web.Finish
            await asyncio.sleep(RECHECK_S)

    async def post(self, kind: str) -> None:
        document = json.loads(self.request.body)
        name = document["metadata"]["name"]
        found = self.state.objects.read(kind, name)
        if found is not None:
            self.answer(describe(found), 409)
            return
        await self.take_write(kind, name, document["specification"])

    async def take_write(self, kind: str, name: str, value: Any) -> None:
        """Take a write, and lose its answer if the faults say so."""
        self.state.put(kind, name, value)
        if self.state.faults.loses_writes:
            self.cut()
        found = self.state.objects.read(kind, name)
        self.answer(describe(found) if found is not None else {})


class _ObjectHandler(_KindHandler):
    async def get(self, kind: str, name: str) -> None:  # type: ignore[override]
        found = self.state.objects.read(kind, name)
        if found is None:
            raise tornado.web.HTTPError(404)
        self.answer(describe(found))

    async def put(self, kind: str, name: str) -> None:
        document = json.loads(self.request.body)
        found = self.state.objects.read(kind, name)
        if found is None:
            raise tornado.web.HTTPError(404)
        expected = document.get("metadata", {}).get("revision")
        if expected is not None and expected != found.revision:
            self.answer(describe(found), 409)
            return
        await self.take_write(kind, name, document["specification"])

    async def delete(self, kind: str, name: str) -> None:
        found = self.state.objects.read(kind, name)
        if found is None:
            raise tornado.web.HTTPError(404)
        expected = self.get_query_argument("revision", "")
        if expected and int(expected) != found.revision:
            self.answer(describe(found), 409)
            return
        await self.take_write(kind, name, None)


def make_store_app(state: StoreState) -> tornado.web.Application:
    """Return the application of the stand-in."""
    return tornado.web.Application(
        [
            (r"/api/objects/([^/]+)", _KindHandler, {"state": state}),
            (r"/api/objects/([^/]+)/([^/]+)", _ObjectHandler, {"state": state}),
        ],
        log_function=lambda _handler: None,
    )
