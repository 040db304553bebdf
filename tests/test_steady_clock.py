"""Tests of timeouts while the time of day jumps."""

import asyncio
import contextlib
import time

import pytest
from result import Err
from tornado.ioloop import IOLoop

from amaranthbend.adapters.steady_clock import use_steady_clock
from amaranthbend.platform.store import CALL_TIMEOUT_S, StoreClient
from standins.processes import pick_endpoint, pick_network

STEP_S = 2400.0


@pytest.mark.parametrize("step_s", [-STEP_S, STEP_S])
def test_timeout_of_a_call_survives_a_jump_of_the_time_of_day(
    step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call to the store that waits for 40 minutes, or fails at once.

    The time of day is set back or forward after the call has begun and before it is connected.
    """
    get_time = time.time

    closed = asyncio.Event()

    async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()
        closed.set()

    async def check() -> None:
        use_steady_clock()
        address = f"{pick_network()}.1"
        port = pick_endpoint(address).port
        server = await asyncio.start_server(hang, address, port)
        started_at = time.monotonic()
        call = asyncio.ensure_future(StoreClient(f"{address}:{port}").list_objects("config"))
        await asyncio.sleep(0)
        with monkeypatch.context() as patch, contextlib.suppress(TimeoutError):
            patch.setattr(time, "time", lambda: get_time() + step_s)
            async with asyncio.timeout(4 * CALL_TIMEOUT_S):
                assert isinstance(await call, Err)
        elapsed_s = time.monotonic() - started_at
        assert 0.8 * CALL_TIMEOUT_S < elapsed_s < 1.5 * CALL_TIMEOUT_S
        await closed.wait()
        server.close()

    asyncio.run(check())


def test_steady_clock_belongs_to_the_loop_that_tornado_uses() -> None:
    """Guards against a clock that is set for a loop that tornado does not use."""

    async def check() -> None:
        use_steady_clock()
        assert IOLoop.current().time() == pytest.approx(asyncio.get_running_loop().time(), abs=1.0)

    asyncio.run(check())
