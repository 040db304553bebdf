"""Fuzz tests of the input from platform, upstreams and peers."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.adapters.dialect import parse_load_report
from amaranthbend.adapters.host_list import HostList, dump_host_list, load_host_list
from amaranthbend.controllers.host_state import group_members
from amaranthbend.core.actions import Member, UpstreamState
from amaranthbend.core.departures import Departure
from amaranthbend.rpc import control_pb2
from amaranthbend.rpc.messages import decode_members, encode_departures, encode_members

NUMBERS = st.integers() | st.floats() | st.sampled_from([2**63, 2**70, -1, 1e400])
SCALARS = st.none() | st.booleans() | NUMBERS | st.text(max_size=8)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)
FIELDS = ("id", "role", "address", "port", "control_port", "data_centre", "state", "incarnation")
HOST: dict[str, Any] = {
    "id": "u0",
    "role": "adopt-desk",
    "address": "127.0.0.1",
    "port": 1,
    "control_port": 0,
    "data_centre": "tartu-a",
    "state": "live",
    "incarnation": 1,
}


@given(st.dictionaries(st.sampled_from(FIELDS), VALUES), NUMBERS | VALUES)
def test_host_list_loads_or_raises_value_error(changes: dict[str, Any], revision: Any) -> None:
    """Guards against a malformed host list that ends the polling loop."""
    document = {"revision": revision, "hosts": [HOST | changes]}
    try:
        host_list = load_host_list(document)
    except ValueError:
        return
    assert isinstance(host_list, HostList)
    encode_members(host_list.revision, group_members(host_list))
    assert load_host_list(json.loads(dump_host_list(host_list))) == host_list


@given(VALUES)
def test_any_json_as_host_list(document: Any) -> None:
    """Guards against a response of unexpected shape that ends the polling loop."""
    try:
        load_host_list(document)
    except ValueError:
        return


PARTS = st.sampled_from(["in_flight", "queued", "slots", "state", "incarnation", "x"])
TEXTS = st.sampled_from(["1", "-1", "serving", "draining", "9" * 30, "", "1.5"]) | st.text()


@given(st.lists(st.tuples(PARTS, TEXTS), max_size=8))
def test_load_report_parses_or_is_ignored(parts: list[tuple[str, str]]) -> None:
    """Guards against a load report that aborts the response, or cannot be encoded for peers."""
    report = parse_load_report(";".join(f"{name}={value}" for name, value in parts))
    if report is None:
        return
    assert min(report.in_flight, report.queued, report.slots) >= 0
    encode_departures([Departure("adopt-desk", "u0", report.incarnation)])


def test_report_with_an_incarnation_beyond_64_bits_is_ignored() -> None:
    """Guards against a departure whose incarnation does not fit the 64-bit message field."""
    text = f"in_flight=1;queued=0;slots=6;state=draining;incarnation={2**63}"
    assert parse_load_report(text) is None


@given(st.binary(max_size=64))
def test_any_bytes_as_member_list(data: bytes) -> None:
    """Guards against a malformed message that ends the connection to the control process."""
    message = control_pb2.MemberList()
    try:
        message.ParseFromString(data)
    except Exception:
        return
    try:
        decode_members(message)
    except ValueError:
        return


@pytest.mark.parametrize("state", ["", "SERVING", "leaving"])
def test_unknown_state_of_a_member_is_a_value_error(state: str) -> None:
    """Guards against an unknown state that is treated as a serving upstream."""
    member = Member("u0", "127.0.0.1:1", "tartu-a", 1, UpstreamState.SERVING)
    message = encode_members(1, {"adopt-desk": (member,)})
    message.services[0].members[0].state = state
    with pytest.raises(ValueError, match="UpstreamState"):
        decode_members(message)
