import asyncio
import json

import pytest
import tornado.testing
import tornado.web
from tornado.httpclient import HTTPError, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError

from standins.platform import PlatformState, make_app


class PlatformTest(tornado.testing.AsyncHTTPTestCase):
    """Failures of the stand-in itself, which would make the failure tests pass wrongly."""

    def get_app(self) -> tornado.web.Application:
        """Return the stand-in."""
        self.state = PlatformState()
        return make_app(self.state)

    def call(
        self, path: str, method: str = "GET", body: object = None, **headers: str
    ) -> HTTPResponse:
        """Make one call."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        text = None if body is None else json.dumps(body)
        return self.fetch(path, method=method, body=text, headers=named)

    def test_conditional_update(self) -> None:
        """A stand-in that accepts stale versions would hide lost updates."""
        first = json.loads(self.call("/objects/a/x", "PUT", {"n": 1}, If_None_Match="*").body)
        assert self.call("/objects/a/x", "PUT", {"n": 2}, If_None_Match="*").code == 412
        version = str(first["version"])
        assert self.call("/objects/a/x", "PUT", {"n": 2}, If_Match=version).code == 200
        assert self.call("/objects/a/x", "DELETE", If_Match=version).code == 412
        assert json.loads(self.call("/objects/a/x").body)["value"] == {"n": 2}
        assert self.call("/objects/a/y").code == 404

    def test_lost_response_takes_effect(self) -> None:
        """A lost response must leave the write in place, or the fault is a plain failure."""
        self.call("/_faults", "PUT", {"lose_responses": 1, "lose_kind": "a"})
        with pytest.raises(HTTPStreamClosedError):
            self.call("/objects/a/x", "PUT", 1)
        assert json.loads(self.call("/objects/a/x").body)["value"] == 1
        assert self.call("/objects/a/x", "PUT", 2).code == 200

    def test_outage_limits_and_stats(self) -> None:
        """Refused calls must be counted, or retry storms would not be seen."""
        self.call("/_faults", "PUT", {"outage": True})
        assert self.call("/hosts").code == 503
        self.call("/_faults", "PUT", {"outage": False, "reads_per_s": 2})
        assert [self.call("/hosts").code for _ in range(3)][-1] == 429
        stats = json.loads(self.call("/_stats").body)
        assert stats["calls"] == {"hosts": 4}
        assert stats["refused"]["429"] >= 1
        assert stats["peak_per_s"]["read"] >= 3

    def test_lagging_host_list(self) -> None:
        """A host list that does not lag would hide reliance on a fresh one."""
        self.call("/_hosts", "PUT", {"hosts": [1]})
        assert json.loads(self.call("/hosts").body) == {"revision": 1, "hosts": [1]}
        self.call("/_faults", "PUT", {"host_lag_s": 60})
        assert json.loads(self.call("/hosts").body)["revision"] == 0

    @tornado.testing.gen_test
    async def test_watch(self) -> None:
        """A watch that misses a change would stall every watcher in the tests."""
        client = self.http_client
        url = self.get_url("/objects/a")
        waiting = asyncio.ensure_future(client.fetch(f"{url}?after=0&wait_s=5"))
        await asyncio.sleep(0.05)
        await client.fetch(f"{url}/x", method="PUT", body="1")
        result = json.loads((await waiting).body)
        assert result["objects"] == [{"name": "x", "version": 1, "value": 1}]
        assert self.state.counts.calls["watch"] == 1
        self.state.faults["outage"] = "unavailable"
        try:
            await client.fetch(f"{url}?after=1&wait_s=1")
        except HTTPError as error:
            assert error.code == 503
