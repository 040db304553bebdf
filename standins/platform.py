"""Stand-in for the platform: object API, host list, switchable faults.

Responses: an object is `{"name", "version", "value"}`; a write returns
`{"version"}`; a list or watch returns `{"revision", "objects", "deleted"}`.
Versions and revisions come from one counter, so a version is never used twice.
A watch whose `after` is ahead of the platform's own revision is answered at
once with the full list.

Faults at `PUT /_faults` (fields not named keep their value):

- `outage`: "none", "unavailable" (503), "hang" (no response until it ends) or
  "reset" (connection closed); true means "unavailable";
- `delay_s`, `response_delay_s`: delay before and after a call takes effect;
- `lose_responses`, `lose_kind`: this many writes (of this kind) take effect,
  but their connection is closed without a response; -1 loses all;
- `read_lag_s`, `host_lag_s`: reads and host lists are this old;
- `reads_per_s`, `writes_per_s`: rate limits.
"""

import asyncio
import json
import time
from typing import Any, TypedDict

import fire
import tornado.web

from .objects import CallCounts, Change, HostHistory, ObjectStore
from .serving import serve

__all__ = ["Faults", "PlatformState", "main", "make_app"]

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 60.0
# Interval at which a waiting watch looks again while reads lag or calls hang.
RECHECK_S = 0.02


class Faults(TypedDict):
    """Faults and limits in force."""

    outage: str
    delay_s: float
    response_delay_s: float
    lose_responses: int
    lose_kind: str
    read_lag_s: float
    host_lag_s: float
    reads_per_s: int
    writes_per_s: int


class PlatformState:
    """Everything the stand-in holds."""

    def __init__(self, reads_per_s: int = 2000, writes_per_s: int = 300) -> None:
        self.objects = ObjectStore()
        self.hosts = HostHistory()
        self.counts = CallCounts()
        self.changed = asyncio.Event()
        self.waiting_watches = 0
        self.faults = Faults(
            outage="none",
            delay_s=0.0,
            response_delay_s=0.0,
            lose_responses=0,
            lose_kind="",
            read_lag_s=0.0,
            host_lag_s=0.0,
            reads_per_s=reads_per_s,
            writes_per_s=writes_per_s,
        )

    def notify(self) -> None:
        """Wake the waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next change, for a limited time."""
        if self.faults["read_lag_s"] > 0:
            timeout_s = min(timeout_s, RECHECK_S)
        try:
            await asyncio.wait_for(self.changed.wait(), timeout_s)
        except TimeoutError:
            return


def describe_object(change: Change) -> dict[str, Any]:
    """Return the JSON form of an object."""
    return {"name": change.name, "version": change.revision, "value": change.value}


def describe_changes(changes: list[Change], revision: int) -> dict[str, Any]:
    """Return the JSON form of a list or of a watch result."""
    return {
        "revision": revision,
        "objects": [describe_object(change) for change in changes if change.value is not None],
        "deleted": [change.name for change in changes if change.value is None],
    }


class PlatformHandler(tornado.web.RequestHandler):
    """Common part of the calls that count and can fail."""

    def initialize(self, state: PlatformState) -> None:
        """Keep the shared state."""
        self.state = state

    def log_exception(self, *args: Any) -> None:
        """Log nothing for the statuses that the stand-in gives on purpose."""
        if not isinstance(args[1], tornado.web.HTTPError):
            super().log_exception(*args)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Return errors as JSON."""
        self.finish({"error": status_code, "reason": self._reason, "detail": sorted(kwargs)})

    async def admit(self, call: str, kind: str) -> None:
        """Count a call; refuse, delay or hold it as the faults demand."""
        faults = self.state.faults
        in_second = self.state.counts.count(call, kind, time.monotonic())
        await self.apply_outage()
        limit = faults["writes_per_s"] if call in {"put", "delete"} else faults["reads_per_s"]
        if in_second > limit:
            self.refuse(429)
        if faults["delay_s"] > 0:
            await asyncio.sleep(faults["delay_s"])
            await self.apply_outage()

    async def apply_outage(self) -> None:
        """Fail the call while the platform is out."""
        while self.state.faults["outage"] == "hang":
            await asyncio.sleep(RECHECK_S)
        if self.state.faults["outage"] == "unavailable":
            self.refuse(503)
        if self.state.faults["outage"] == "reset":
            self.close_connection()
            raise tornado.web.Finish

    def refuse(self, status: int) -> None:
        """Count and raise a refusal."""
        self.state.counts.refused[str(status)] += 1
        raise tornado.web.HTTPError(status)

    def close_connection(self) -> None:
        """Close the connection without a response."""
        self.state.counts.refused["closed"] += 1
        stream = self.request.connection.detach()  # type: ignore[union-attr]
        stream.close()
        self._finished = True

    async def respond(self, body: Any) -> None:
        """Send a JSON response, late if the faults say so."""
        if self.state.faults["response_delay_s"] > 0:
            await asyncio.sleep(self.state.faults["response_delay_s"])
            await self.apply_outage()
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    def compute_read_time(self) -> float:
        """Return the time as of which reads see the objects."""
        return time.monotonic() - self.state.faults["read_lag_s"]


class ObjectHandler(PlatformHandler):
    """`/objects/<kind>/<name>`."""

    async def get(self, kind: str, name: str) -> None:
        """Return one object."""
        await self.admit("get", kind)
        change = self.state.objects.read(kind, name, self.compute_read_time())
        if change is None:
            raise tornado.web.HTTPError(404)
        self.set_header("ETag", str(change.revision))
        await self.respond(describe_object(change))

    async def put(self, kind: str, name: str) -> None:
        """Store an object under the given conditions."""
        await self.admit("put", kind)
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.refuse(413)
        try:
            value = json.loads(self.request.body)
        except ValueError:
            value = None
        if value is None:
            self.refuse(400)
        await self.change(kind, name, value)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object under the given conditions."""
        await self.admit("delete", kind)
        if self.state.objects.read(kind, name) is None:
            raise tornado.web.HTTPError(404)
        await self.change(kind, name, None)

    async def change(self, kind: str, name: str, value: Any) -> None:
        """Write if the condition holds; lose the response if the faults say so."""
        self.check_condition(self.state.objects.read(kind, name))
        change = self.state.objects.write(kind, name, value, time.monotonic())
        self.state.notify()
        if self.takes_lost_response(kind):
            self.close_connection()
            return
        self.set_header("ETag", str(change.revision))
        await self.respond({"version": change.revision})

    def check_condition(self, present: Change | None) -> None:
        """Raise 412 unless the conditions of the request hold."""
        must_be_absent = self.request.headers.get("If-None-Match", "").strip() == "*"
        expected = self.request.headers.get("If-Match", "").strip().strip('"')
        version = "" if present is None else str(present.revision)
        if (must_be_absent and present is not None) or (expected and expected != version):
            self.refuse(412)

    def takes_lost_response(self, kind: str) -> bool:
        """Return whether the response of this write is to be lost."""
        faults = self.state.faults
        if faults["lose_responses"] == 0 or faults["lose_kind"] not in {"", kind}:
            return False
        if faults["lose_responses"] > 0:
            faults["lose_responses"] -= 1
        return True

    def compute_etag(self) -> str | None:
        """Keep tornado from computing a tag: the version is the tag."""
        return None


class KindHandler(PlatformHandler):
    """`/objects/<kind>`: list, or watch where `after` is given."""

    async def get(self, kind: str) -> None:
        """Return the objects of a kind, or the changes after a revision."""
        after_text = self.get_query_argument("after", "")
        wait_s = float(self.get_query_argument("wait_s", "0"))
        await self.admit("watch" if after_text else "list", kind)
        after = int(after_text or 0)
        if after_text and after <= self.state.objects.revision:
            await self.watch(kind, after, min(wait_s, MAX_WAIT_S))
            return
        changes = self.state.objects.list_changes(kind, self.compute_read_time())
        body = describe_changes(changes, max([0, *(c.revision for c in changes)]))
        await self.respond({**body, "deleted": []})

    async def watch(self, kind: str, after: int, wait_s: float) -> None:
        """Wait for changes after a revision, for a limited time."""
        give_up_at = time.monotonic() + wait_s
        self.state.waiting_watches += 1
        try:
            while True:
                changes = self.state.objects.list_changes(kind, self.compute_read_time(), after)
                left_s = give_up_at - time.monotonic()
                if changes or left_s <= 0:
                    break
                await self.state.wait(left_s)
                await self.apply_outage()
        finally:
            self.state.waiting_watches -= 1
        revision = max([after, *(change.revision for change in changes)])
        await self.respond(describe_changes(changes, revision))


class HostsHandler(PlatformHandler):
    """`/hosts`."""

    async def get(self) -> None:
        """Return the host list, which may lag."""
        await self.admit("hosts", "hosts")
        seen_at = time.monotonic() - self.state.faults["host_lag_s"]
        await self.respond(self.state.hosts.get(seen_at))


class ControlHandler(tornado.web.RequestHandler):
    """Calls for tests: they neither count nor fail."""

    def initialize(self, state: PlatformState) -> None:
        """Keep the shared state."""
        self.state = state


class FaultsHandler(ControlHandler):
    """`/_faults`."""

    def get(self) -> None:
        """Return the faults in force."""
        self.finish(dict(self.state.faults))

    def put(self) -> None:
        """Change the given faults."""
        changes = json.loads(self.request.body)
        unknown = set(changes) - set(self.state.faults)
        if unknown:
            raise tornado.web.HTTPError(400, f"unknown faults {unknown}")
        if isinstance(changes.get("outage"), bool):
            changes["outage"] = "unavailable" if changes["outage"] else "none"
        self.state.faults.update(changes)
        self.state.notify()
        self.finish(dict(self.state.faults))


class StatsHandler(ControlHandler):
    """`/_stats`."""

    def get(self) -> None:
        """Return the call counts."""
        stats = self.state.counts.describe()
        stats["objects"] = self.state.objects.count_objects()
        stats["waiting_watches"] = self.state.waiting_watches
        self.finish(stats)

    def delete(self) -> None:
        """Start counting again from zero."""
        self.state.counts = CallCounts()
        self.finish({})


class TrueHostsHandler(ControlHandler):
    """`/_hosts`."""

    def put(self) -> None:
        """Set the true host list."""
        hosts = json.loads(self.request.body)["hosts"]
        self.finish({"revision": self.state.hosts.set(hosts, time.monotonic())})


def make_app(state: PlatformState) -> tornado.web.Application:
    """Return the stand-in as a tornado application."""
    shared = {"state": state}
    return tornado.web.Application(
        [
            (r"/objects/([^/]+)/([^/]+)", ObjectHandler, shared),
            (r"/objects/([^/]+)", KindHandler, shared),
            (r"/hosts", HostsHandler, shared),
            (r"/_faults", FaultsHandler, shared),
            (r"/_stats", StatsHandler, shared),
            (r"/_hosts", TrueHostsHandler, shared),
        ],
        log_function=lambda _handler: None,
    )


def main(
    port: int, address: str = "127.0.0.1", reads_per_s: int = 2000, writes_per_s: int = 300
) -> None:
    """Run the platform stand-in.

    Parameters
    ----------
    port : int
        Port to listen on.
    address : str
        Address to listen on.
    reads_per_s : int
        Reads, lists, watches and host lists allowed in any second.
    writes_per_s : int
        Writes and removals allowed in any second.
    """
    asyncio.run(serve(make_app(PlatformState(reads_per_s, writes_per_s)), address, port))


if __name__ == "__main__":
    fire.Fire(main)
