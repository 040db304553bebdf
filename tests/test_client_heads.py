"""Responses of the store and of peers whose head is malformed or stops: none of them is used."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from result import Err, Ok
from tornado.httpclient import HTTPClientError

from amaranthbend.adapters.change_relay import ChangeRelayClient
from amaranthbend.adapters.http_client import make_http_client
from amaranthbend.core.watching import StoreErrorKind
from amaranthbend.platform.store import StoreClient

from .entry_cases import ScriptedUpstream, read_message
from .head_cases import MALFORMED_LINES, MALFORMED_STATUS_LINES

OBJECT = {"metadata": {"name": "u0", "revision": 3}, "specification": {"a": 1}}
PAGE = json.dumps(
    {
        "items": [OBJECT],
        "hasMore": False,
        "at": 7,
        "events": [{"object": OBJECT, "deleted": False}],
    }
).encode()
RELAYED = json.dumps({"events": [], "revision": 7, "age_s": 0.1}).encode()
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
STORE_CALLS: dict[str, Callable[[str], Coroutine[Any, Any, Any]]] = {
    "list": lambda address: StoreClient(address).list_objects("servers"),
    "watch": lambda address: StoreClient(address).watch_objects("servers", 1, 0.1),
    "check": lambda address: StoreClient(address).check_changes("servers", 1),
    "revision": lambda address: StoreClient(address).read_revision("servers"),
    "create": lambda address: StoreClient(address).create_object("hosts-a", "h", {}),
}
PEER_CALLS: dict[str, Callable[[str], Coroutine[Any, Any, Any]]] = {
    "changes": lambda address: ChangeRelayClient().fetch(address, "servers", 1),
    "first_list": lambda address: ChangeRelayClient().fetch_list(address, "servers"),
}
CALLS = STORE_CALLS | PEER_CALLS


def make_response(call: str, status: bytes = b"200 OK", line: bytes = b"X-Sort: a") -> bytes:
    """Return a good response to a call, but for its status line and one further line."""
    body = RELAYED if call in PEER_CALLS else PAGE
    age = b"Confirmation-Age: 0.1\r\n" if call in PEER_CALLS else b""
    return (
        b"HTTP/1.1 %b\r\n%b%b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        % (
            status,
            age,
            line,
            len(body),
        )
        + (body)
    )


def run_calls(name: str, responses: list[bytes]) -> list[Any]:
    """Return the results of a call for each response, after which the connection is closed."""

    async def run() -> list[Any]:
        left = list(responses)

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(left.pop(0))
            await writer.drain()

        async with ScriptedUpstream(answer) as server:
            return [await CALLS[name](server.address) for _ in responses]

    return asyncio.run(run())


@pytest.mark.parametrize("call", CALLS)
def test_good_response_is_used(call: str) -> None:
    """Guards against checks that refuse good responses; without it the others prove nothing."""
    good = make_response(call)
    assert all(isinstance(each, Ok) for each in run_calls(call, [good, INTERIM + good]))


@pytest.mark.parametrize("call", CALLS)
def test_malformed_field_line_is_no_response(call: str) -> None:
    """Guards against objects and changes taken from bytes that are no response."""
    lines = [*MALFORMED_LINES, b" folded"]
    results = run_calls(call, [make_response(call, line=line) for line in lines])
    assert [line for line, each in zip(lines, results, strict=True) if isinstance(each, Ok)] == []


@pytest.mark.parametrize("call", ["list", "changes"])
def test_malformed_interim_response_is_no_response(call: str) -> None:
    """Guards against a faulty sender whose interim response shows it already."""
    lines = [line for line in MALFORMED_LINES if line != b"\r"]
    interim = [INTERIM.replace(b"Link: </a>", line) for line in lines]
    results = run_calls(call, [each + make_response(call) for each in interim])
    assert [line for line, each in zip(lines, results, strict=True) if isinstance(each, Ok)] == []


@pytest.mark.parametrize("call", CALLS)
def test_malformed_status_line_is_no_response(call: str) -> None:
    """Guards against a response with a status that is none, such as 000."""
    lines = [line for line in MALFORMED_STATUS_LINES if b" 100 " not in line]
    good = make_response(call)
    results = run_calls(call, [good.replace(b"HTTP/1.1 200 OK", line, 1) for line in lines])
    assert [line for line, each in zip(lines, results, strict=True) if isinstance(each, Ok)] == []


@pytest.mark.parametrize("call", CALLS)
def test_response_that_stops_at_any_byte_is_not_used(call: str) -> None:
    """Guards against a part of a list or of the changes that is taken for the whole."""
    data = make_response(call)
    results = run_calls(call, [data[:cut] for cut in range(len(data))])
    assert [cut for cut, each in enumerate(results) if isinstance(each, Ok)] == []


@pytest.mark.parametrize(
    ("call", "status", "kind"),
    [
        ("watch", b"410 Gone", StoreErrorKind.HISTORY_LOST),
        ("create", b"409 Conflict", None),
        ("changes", b"410 Gone", StoreErrorKind.HISTORY_LOST),
        ("changes", b"503 Unavailable", StoreErrorKind.UNCONFIRMED),
    ],
)
def test_error_status_counts_only_in_a_well_formed_head(
    call: str, status: bytes, kind: StoreErrorKind | None
) -> None:
    """Guards against history given up, or an object taken for existing, because of odd bytes."""
    good, odd = run_calls(
        call, [make_response(call, status), make_response(call, status, b"X Sort: a")]
    )
    assert (good.err_value.kind if isinstance(good, Err) else None) == kind
    assert isinstance(odd, Err)
    assert odd.err_value.kind is StoreErrorKind.UNAVAILABLE


def test_redirect_is_not_followed() -> None:
    """Guards against calls that a faulty store or peer sends elsewhere."""

    async def run() -> None:
        requests: list[bytes] = []

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append((await read_message(reader))[0])
            writer.write(b"HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n")

        async with ScriptedUpstream(answer) as server:
            with pytest.raises(HTTPClientError):
                await make_http_client().fetch(f"http://{server.address}/here")
        assert len(requests) == 1

    asyncio.run(run())
