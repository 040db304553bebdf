import asyncio
import json
from collections.abc import Callable

import pytest
import tornado.testing
import tornado.web
from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import HTTPStreamClosedError

from standins.upstream import Options, UpstreamState, make_app

OPTIONS = Options(name="u1", incarnation=3, service_ms=1.0, cold_s=0.0, cold_factor=5.0)
WAIT_S = 5.0


class UpstreamTest(tornado.testing.AsyncHTTPTestCase):
    """Failures of the stand-in itself, which would make the failure tests pass wrongly."""

    def get_app(self) -> tornado.web.Application:
        """Return the stand-in."""
        self.state = UpstreamState(OPTIONS, slots=1, queue=1)
        return make_app(self.state)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a state of the stand-in; the order of connections is not that of the calls."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0)

    def test_own_answer_and_execution_log(self) -> None:
        """An execution log that misses a run would hide a request run twice."""
        headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
        response = self.fetch("/work", method="POST", body="abc", headers=headers)
        assert json.loads(response.body)["request_id"] == "r1"
        report = response.headers["X-Load-Report"]
        assert report == "in_flight=1;queued=0;slots=1;state=serving;incarnation=3"
        entry = json.loads(self.fetch("/_executed").body)["executed"][0]
        assert (entry["key"], entry["request_id"], entry["end"]) == ("k1", "r1", "answered")

    @tornado.testing.gen_test
    async def test_shed_and_deadline_are_not_run(self) -> None:
        """A refused request in the execution log would make true refusals look false."""
        fetch = self.http_client.fetch
        first = fetch(self.get_url("/a?ms=1000"))
        await self.wait_until(lambda: self.state.pool.in_flight == 1)
        waits = fetch(
            self.get_url("/b"), headers={"X-Request-Deadline-Ms": "50"}, raise_error=False
        )
        await self.wait_until(lambda: self.state.pool.history.get(0).queued == 1)
        shed = await fetch(self.get_url("/c"), raise_error=False)
        assert (shed.code, shed.headers["X-Not-Run"]) == (503, "shed")
        assert (await waits).headers["X-Not-Run"] == "deadline"
        await first
        assert [entry["path"] for entry in self.state.log.entries] == ["/a"]

    @tornado.testing.gen_test
    async def test_disconnect_frees_the_slot(self) -> None:
        """A slot kept after its caller left would hide missing cancellation."""
        with pytest.raises(HTTPClientError):
            await self.http_client.fetch(self.get_url("/a?ms=5000"), request_timeout=0.1)
        await asyncio.sleep(0.05)
        assert self.state.pool.in_flight == 0
        assert self.state.log.entries[0]["end"] == "cancelled"

    def test_truncated_answer(self) -> None:
        """A truncated response that ends properly would not test truncation."""
        self.state.faults["answer_fault"] = "truncated"
        with pytest.raises(HTTPStreamClosedError):
            self.fetch("/a", raise_error=True)
        self.state.faults["answer_fault"] = "none"
        assert len(self.fetch("/a?size=100000").body) == 100_000
