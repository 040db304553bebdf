"""Conversion between the messages of `control.proto` and the types of `core`."""

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
    """Return an envelope encoded as JSON."""
    return json.dumps(dump_envelope(envelope), separators=(",", ":")).encode()


def decode_envelope(document: bytes) -> SettingsEnvelope:
    """Return the envelope decoded from JSON.

    Raises
    ------
    ValueError
        If the document is not a valid envelope.
    """
    return load_envelope(json.loads(document))


def encode_departures(departures: Iterable[Departure]) -> list["DepartureMessage"]:
    """Convert departures to messages."""
    return [control_pb2.Departure(**departure._asdict()) for departure in departures]


def decode_departures(messages: Iterable["DepartureMessage"]) -> tuple[Departure, ...]:
    """Convert messages to departures."""
    return tuple(Departure(m.service, m.upstream, m.incarnation) for m in messages)


def encode_members(revision: int, members: MembersByService) -> "MemberListMessage":
    """Convert the member lists of all services to one message."""
    message = control_pb2.MemberList(revision=revision)
    for service, service_members in sorted(members.items()):
        entry = message.services.add(service=service)
        for member in service_members:
            entry.members.add(**member._asdict())
    return message


def decode_members(message: "MemberListMessage") -> MembersByService:
    """Convert a message to member lists by service."""
    return {
        entry.service: tuple(
            Member(m.upstream, m.address, m.data_centre, m.incarnation, UpstreamState(m.state))
            for m in entry.members
        )
        for entry in message.services
    }
