"""Tests of claims in the filter chain, and of its logs."""

import asyncio
from typing import Any

import pytest
from result import Err, Ok, Result

from amaranthbend.adapters.claims import ClaimRefusal
from amaranthbend.adapters.logs import format_event
from amaranthbend.core.outcomes import OutcomeReason

from .entry_cases import OK, ScriptedUpstream, get_field, make_request, respond, run_entry, wait_for

POST = make_request("POST", "/adopt", "Idempotency-Key: 7", body=b"donkey")


class InMemoryClaimManager:
    """Claim manager that keeps its claims in memory.

    Parameters
    ----------
    refusal : OutcomeReason or None
        Reason with which every claim is refused.
    delay_s : float
        Delay before each response, in seconds.
    """

    def __init__(self, refusal: OutcomeReason | None = None, delay_s: float = 0.0) -> None:
        self.refusal = refusal
        self.delay_s = delay_s
        self.granted: set[str] = set()
        self.released: list[str] = []

    async def acquire(
        self, service: str, key: str, now: float, timeout_s: float
    ) -> Result[Any, ClaimRefusal]:
        """Grant each key once."""
        assert 0 < timeout_s <= 5.0
        await asyncio.sleep(self.delay_s)
        reason = OutcomeReason.DUPLICATE_REQUEST if key in self.granted else self.refusal
        if reason is not None:
            return Err(ClaimRefusal(reason, ""))
        self.granted.add(key)
        return Ok(key)

    async def release(self, claim: Any) -> None:
        """Release a key."""
        self.granted.discard(claim)
        self.released.append(claim)

    def set_rate(self, writes_per_s: float, now: float) -> None:
        """Check the rate: 200 writes per second, divided among 16 hosts."""
        assert writes_per_s == 12.5


@pytest.mark.parametrize(
    ("refusal", "status", "outcome"),
    [
        (OutcomeReason.DUPLICATE_REQUEST, 409, "unknown"),
        (OutcomeReason.CLAIM_RATE, 503, "not-run"),
        (OutcomeReason.CLAIM_UNAVAILABLE, 503, "not-run"),
    ],
)
def test_nothing_is_sent_without_a_claim(refusal: OutcomeReason, status: int, outcome: str) -> None:
    """Guards against a request that is sent to an upstream although its claim was refused."""

    async def check() -> None:
        async with (
            ScriptedUpstream(respond(OK)) as upstream,
            run_entry([upstream.address], claims=InMemoryClaimManager(refusal)) as entry,
        ):
            head, _body = await entry.exchange(POST)
            assert entry.process.counters.get(f"reason.{refusal}") == 1
            assert upstream.connections == 0
        assert head.startswith(b"HTTP/1.1 %d " % status)
        assert get_field(head, "X-Request-Outcome") == [outcome]

    asyncio.run(check())


def test_repeat_of_an_answered_request_is_a_duplicate() -> None:
    """Guards against a claim that is released although the request was run."""

    async def check() -> None:
        claims = InMemoryClaimManager()
        async with (
            ScriptedUpstream(respond(OK)) as upstream,
            run_entry([upstream.address], claims=claims) as entry,
        ):
            first, _body = await entry.exchange(POST)
            second, _body = await entry.exchange(POST)
        assert (first[9:12], second[9:12]) == (b"200", b"409")
        assert claims.released == []

    asyncio.run(check())


def test_claim_of_a_request_that_was_not_run_is_released() -> None:
    """Guards against a request that cannot be retried although it was not run."""

    async def check() -> None:
        claims = InMemoryClaimManager()
        async with run_entry(["127.0.0.1:1"], claims=claims) as entry:
            head, _body = await entry.exchange(POST)
            await wait_for(lambda: claims.released == ["7"])
        assert get_field(head, "X-Request-Outcome") == ["not-run"]

    asyncio.run(check())


def test_claim_of_a_failed_request_is_kept() -> None:
    """Guards against a request that may have run and is run again."""

    async def check() -> None:
        claims = InMemoryClaimManager()
        async with (
            ScriptedUpstream(respond(b"", closes=True)) as upstream,
            run_entry([upstream.address], claims=claims) as entry,
        ):
            head, _body = await entry.exchange(POST)
        assert get_field(head, "X-Request-Outcome") == ["unknown"]
        assert (claims.granted, claims.released) == ({"7"}, [])

    asyncio.run(check())


def test_claim_granted_after_the_caller_left_is_released() -> None:
    """Guards against a request that runs, or a claim that is kept, for a disconnected caller."""

    async def check() -> None:
        claims = InMemoryClaimManager(delay_s=0.2)
        async with (
            ScriptedUpstream(respond(OK)) as upstream,
            run_entry([upstream.address], claims=claims) as entry,
        ):
            _reader, writer = await entry.connect()
            writer.write(POST)
            await asyncio.sleep(0.05)
            writer.close()
            await wait_for(lambda: claims.released == ["7"])
            assert upstream.connections == 0

    asyncio.run(check())


def test_log_values_cannot_forge_fields() -> None:
    """Guards against log injection: input that adds a line or a field to the log."""
    line = format_event("refused", path='/a b="c"\nevent=x', empty="", serial=7)
    assert line == r'event=refused path="/a b=\"c\"\nevent=x" empty="" serial=7'
