"""Conversion between the messages of `control.proto` and the package's own types."""

import json
from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..core.actions import Member, UpstreamState
from ..core.departures import Departure
from ..core.envelope import SettingsEnvelope, dump_envelope, load_envelope
from . import control_pb2

if TYPE_CHECKING:
    from .control_pb2 import Departure as DepartureMessage
    from .control_pb2 import MemberList as MemberListMessage

__all__ = [
    "MembersByService",
    "decode_departures",
    "decode_envelope",
    "decode_members",
    "encode_departures",
    "encode_envelope",
    "encode_members",
]

MembersByService = dict[str, tuple[Member, ...]]


def encode_envelope(envelope: SettingsEnvelope) -> bytes:
    """Return the JSON bytes of an envelope."""
    return json.dumps(dump_envelope(envelope), separators=(",", ":")).encode()


def decode_envelope(document: bytes) -> SettingsEnvelope:
    """Return the envelope of JSON bytes.

    Raises
    ------
    ValueError
        If they do not hold an envelope.
    """
    return load_envelope(json.loads(document))


def encode_departures(departures: Iterable[Departure]) -> list["DepartureMessage"]:
    """Return the messages of departures."""
    return [control_pb2.Departure(**departure._asdict()) for departure in departures]


def decode_departures(messages: Iterable["DepartureMessage"]) -> tuple[Departure, ...]:
    """Return the departures of messages."""
    return tuple(Departure(m.service, m.upstream, m.incarnation) for m in messages)


def encode_members(revision: int, members: MembersByService) -> "MemberListMessage":
    """Return the message of the member lists of all services."""
    message = control_pb2.MemberList(revision=revision)
    for service, service_members in sorted(members.items()):
        entry = message.services.add(service=service)
        for member in service_members:
            entry.members.add(**member._asdict())
    return message


def decode_members(message: "MemberListMessage") -> MembersByService:
    """Return the member lists of a message."""
    return {
        entry.service: tuple(
            Member(m.upstream, m.address, m.data_centre, m.incarnation, UpstreamState(m.state))
            for m in entry.members
        )
        for entry in message.services
    }
