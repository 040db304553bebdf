"""Datagrams by which hosts exchange the counts of teams' requests.

The format is binary, big-endian: a head with the kind of the message and its fixed fields, then one
entry for each team. A datagram that does not have exactly this form is dropped.
"""

import asyncio
import contextlib
import math
import struct
from collections.abc import Callable
from typing import cast

from ..core.quota_messages import (
    CollectorSums,
    QuotaAnswer,
    QuotaReport,
    TeamCount,
    TeamCredit,
    TeamSum,
)
from ..core.quota_node import QuotaMessage
from .addresses import split_address

__all__ = ["QuotaLink", "decode_message", "encode_message"]

# The first bytes of each datagram: a mark, the version of the format, and the kind of the message.
PREFIX = struct.Struct("!2sBc")
MARK = b"AQ"
VERSION = 2
REPORT_KIND, ANSWER_KIND, SUMS_KIND = b"r", b"a", b"s"
REPORT_HEAD = struct.Struct("!QQIIf")
COUNT = struct.Struct("!Qqif")
ANSWER_HEAD = struct.Struct("!IQIff")
CREDIT = struct.Struct("!Qff")
SUMS_HEAD = struct.Struct("!QQIQfIIf")
SUM = struct.Struct("!Qqffq")


def encode_message(message: QuotaMessage) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, QuotaReport):
        kind, head, entry, entries = REPORT_KIND, REPORT_HEAD, COUNT, message.counts
        return _pack(kind, head.pack(*message[:-1]), [entry.pack(*each) for each in entries])
    if isinstance(message, QuotaAnswer):
        credits = [CREDIT.pack(*each) for each in message.credits]
        return _pack(ANSWER_KIND, ANSWER_HEAD.pack(*message[:-1]), credits)
    sums = [SUM.pack(*each) for each in message.sums]
    return _pack(SUMS_KIND, SUMS_HEAD.pack(*message[:-1]), sums)


def _pack(kind: bytes, head: bytes, entries: list[bytes]) -> bytes:
    return b"".join((PREFIX.pack(MARK, VERSION, kind), head, *entries))


def decode_message(data: bytes) -> QuotaMessage:
    """Return the message in a datagram.

    Raises
    ------
    ValueError
        If the datagram does not have the expected form.
    """
    try:
        mark, version, kind = PREFIX.unpack_from(data)
        if mark != MARK or version != VERSION:
            raise ValueError("unknown format")
        if kind == REPORT_KIND:
            report = REPORT_HEAD.unpack_from(data, PREFIX.size)
            counts = _unpack(COUNT, data, PREFIX.size + REPORT_HEAD.size)
            return _check(
                QuotaReport._make((*report, tuple(TeamCount._make(each) for each in counts)))
            )
        if kind == ANSWER_KIND:
            answer = ANSWER_HEAD.unpack_from(data, PREFIX.size)
            known = _unpack(CREDIT, data, PREFIX.size + ANSWER_HEAD.size)
            return _check(
                QuotaAnswer._make((*answer, tuple(TeamCredit._make(each) for each in known)))
            )
        if kind == SUMS_KIND:
            head = SUMS_HEAD.unpack_from(data, PREFIX.size)
            sums = _unpack(SUM, data, PREFIX.size + SUMS_HEAD.size)
            return _check(CollectorSums._make((*head, tuple(TeamSum._make(each) for each in sums))))
    except struct.error as error:
        raise ValueError(str(error)) from error
    raise ValueError("unknown kind")


def _unpack(entry: struct.Struct, data: bytes, start: int) -> list[tuple[int | float, ...]]:
    return list(entry.iter_unpack(memoryview(data)[start:]))


def _check(message: QuotaMessage) -> QuotaMessage:
    """Return a message if all its numbers are finite; others would spoil the sums for good."""
    for value in message[:-1]:
        if not math.isfinite(value):
            raise ValueError("number out of range")
    for entry in message[-1]:
        if not math.isfinite(sum(entry)):
            raise ValueError("number out of range")
    return message


class QuotaLink(asyncio.DatagramProtocol):
    """Socket of this host for these datagrams.

    Parameters
    ----------
    on_message : callable
        Called with each message and the address of its sender.
    on_invalid : callable
        Called for each datagram that is not a message.
    """

    def __init__(
        self, on_message: Callable[[QuotaMessage, str], None], on_invalid: Callable[[], None]
    ) -> None:
        self._on_message = on_message
        self._on_invalid = on_invalid
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: str) -> None:
        """Bind the socket.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=split_address(address)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio."""
        # The transports of asyncio and uvloop have no common base class for datagrams.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram; it is lost without notice if that is impossible at present."""
        if self._transport is not None and not self._transport.is_closing():
            with contextlib.suppress(OSError):
                self._transport.sendto(data, split_address(address))

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode a datagram; called by asyncio."""
        try:
            message = decode_message(data)
        except ValueError:
            self._on_invalid()
            return
        self._on_message(message, f"{address[0]}:{address[1]}")

    def error_received(self, error: Exception) -> None:
        """Do nothing: a host that cannot be reached does not answer, which is noticed anyway."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
