"""Groups of callers outside the limits, and the measurements of the process that serves them."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import psutil

__all__ = ["GROUPS", "HOSTILE_ID_PREFIX", "Figures", "Target", "hold_group", "measure"]

Script = Callable[["Target", int, asyncio.StreamWriter], Awaitable[None]]

POLL_S = 0.02
# Open descriptors and unread bytes are read once in this many polls, as that takes longer.
SLOW_POLLS = 5
PIECE = b"x" * 64 * 1024
BODY_BYTES = 900 * 1000
LARGE_BODY_BYTES = 64 * 1024 * 1024
HEAD_BYTES = 16_000
ESTABLISHED = "01"
# Prefix of the ids of their requests.
HOSTILE_ID_PREFIX = "h"


class Target(NamedTuple):
    """Process that the callers connect to.

    Parameters
    ----------
    address : tuple of str and int
        Address and port for callers.
    host : str
        Host in the requests.
    upload_path : str
        Path that takes a POST.
    download_path : str
        Path whose response to a GET is large.
    """

    address: tuple[str, int]
    host: str
    upload_path: str
    download_path: str

    def make_head(self, *lines: str, is_upload: bool = True, number: int = 0) -> bytes:
        """Return the head of a request with further header lines."""
        start = f"POST {self.upload_path}" if is_upload else f"GET {self.download_path}"
        fields = [
            f"Host: {self.host}",
            f"X-Amaranthbend-Attempt-Id: {HOSTILE_ID_PREFIX}{number}",
            *lines,
        ]
        return "\r\n".join([f"{start} HTTP/1.1", *fields]).encode() + b"\r\n\r\n"


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write bytes, and wait until the kernel has taken them."""
    writer.write(data)
    await writer.drain()


async def send_large_chunks(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send a body in chunks of 64 KiB, without the last one."""
    await send(writer, target.make_head("Transfer-Encoding: chunked", number=number))
    for _ in range(BODY_BYTES // len(PIECE)):
        await send(writer, b"%x\r\n%b\r\n" % (len(PIECE), PIECE))


async def send_byte_chunks(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send a body in chunks of one byte, without the last one."""
    await send(writer, target.make_head("Transfer-Encoding: chunked", number=number))
    for _ in range(200):
        await send(writer, b"1\r\nx\r\n" * 1000)
        await asyncio.sleep(0.01)


async def send_separate_pieces(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send chunks of two bytes, each in a packet of its own."""
    await send(writer, target.make_head("Transfer-Encoding: chunked", number=number))
    while True:
        await send(writer, b"2\r\nxx\r\n")
        await asyncio.sleep(0.001)


async def stop_short_of_length(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send a body with a length, without its last byte."""
    await send(writer, target.make_head(f"Content-Length: {BODY_BYTES}", number=number))
    await send(writer, b"x" * (BODY_BYTES - 1))


async def stop_in_large_body(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send the first 2 MiB of a body of 64 MiB."""
    await send(writer, target.make_head(f"Content-Length: {LARGE_BODY_BYTES}", number=number))
    for _ in range(32):
        await send(writer, PIECE)


async def send_endless_head(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send a head that does not end: a few kilobytes and then single bytes, or without pause."""
    await send(writer, target.make_head("X-More: ")[:-4])
    if number % 2:
        while True:
            await send(writer, PIECE)
    await send(writer, b"x" * HEAD_BYTES)
    while True:
        await send(writer, b"x")
        await asyncio.sleep(0.1)


async def send_many_fields(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send a head of 16 KB with fields of a few bytes, and a body that does not end."""
    fields = [f"{index:x}x:" for index in range(HEAD_BYTES // 7)]
    await send(writer, target.make_head("Transfer-Encoding: chunked", *fields, number=number))
    await send(writer, b"2\r\nxx\r\n")


async def pipeline_unread(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send many requests for large responses, and read none."""
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    for index in range(200):
        await send(writer, target.make_head(is_upload=False, number=number * 1000 + index))


async def stop_reading(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Request a large response, and read nothing."""
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await send(writer, target.make_head(is_upload=False, number=number))


async def send_nothing(_target: Target, _number: int, _writer: asyncio.StreamWriter) -> None:
    """Hold a connection open."""


async def send_endless_extension(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send a chunk extension that does not end."""
    await send(writer, target.make_head("Transfer-Encoding: chunked", number=number))
    await send(writer, b"4;x=")
    while True:
        await send(writer, PIECE)


async def send_endless_trailers(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send trailer fields that do not end."""
    await send(writer, target.make_head("Transfer-Encoding: chunked", number=number))
    await send(writer, b"4\r\nxxxx\r\n0\r\n")
    while True:
        await send(writer, b"X-More: 1\r\n" * 1000)


async def send_unknown_key(target: Target, number: int, writer: asyncio.StreamWriter) -> None:
    """Send a body of 64 MiB with a key that no team has, whatever the response is."""
    fields = ("Authorization: Bearer unknown", f"Content-Length: {LARGE_BODY_BYTES}")
    await send(writer, target.make_head(*fields, number=number))
    for _ in range(LARGE_BODY_BYTES // len(PIECE)):
        await send(writer, PIECE)


# Number of callers of each group, and what each of them does.
GROUPS: dict[str, tuple[int, Script]] = {
    "large_chunks": (160, send_large_chunks),
    "byte_chunks": (160, send_byte_chunks),
    "separate_pieces": (160, send_separate_pieces),
    "short_of_length": (160, stop_short_of_length),
    "large_bodies": (160, stop_in_large_body),
    "endless_heads": (160, send_endless_head),
    "many_fields": (160, send_many_fields),
    "pipelined_unread": (60, pipeline_unread),
    "stopped_readers": (160, stop_reading),
    "silent": (400, send_nothing),
    "endless_extensions": (60, send_endless_extension),
    "endless_trailers": (60, send_endless_trailers),
    "unknown_key": (60, send_unknown_key),
}


async def run_caller(target: Target, number: int, script: Script) -> None:
    """Run a script on one connection, and hold the connection until cancelled."""
    with contextlib.suppress(OSError):
        _reader, writer = await asyncio.open_connection(*target.address)
        try:
            with contextlib.suppress(ConnectionError):
                await script(target, number, writer)
            await asyncio.Event().wait()
        finally:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def hold_group(target: Target, name: str) -> AsyncIterator[None]:
    """Run the callers of a group while the context is open."""
    count, script = GROUPS[name]
    tasks = [asyncio.ensure_future(run_caller(target, n, script)) for n in range(count)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Figures(NamedTuple):
    """Highest values of a process in a time, in bytes and open descriptors.

    Parameters
    ----------
    memory : int
        Resident memory and the unread bytes of the callers' connections together.
    resident : int
        Resident memory.
    unread : int
        Bytes that the kernel holds for the process on the callers' connections.
    descriptors : int
        Open file descriptors.
    """

    memory: int = 0
    resident: int = 0
    unread: int = 0
    descriptors: int = 0


async def measure(pid: int, address: tuple[str, int], duration_s: float) -> Figures:
    """Return the highest values of a running process.

    Raises
    ------
    psutil.NoSuchProcess
        If the process ends meanwhile.
    """
    process = psutil.Process(pid)
    peak = Figures()
    unread = descriptors = 0
    for poll in range(int(duration_s / POLL_S)):
        resident = process.memory_info().rss
        if poll % SLOW_POLLS == 0:
            unread, descriptors = read_unread_bytes(address), process.num_fds()
        values = Figures(resident + unread, resident, unread, descriptors)
        peak = Figures(*map(max, peak, values))
        await asyncio.sleep(POLL_S)
    return peak


def read_unread_bytes(address: tuple[str, int]) -> int:
    """Return the bytes in the receive buffers of the connections to an address and port."""
    (number,) = struct.unpack("=I", socket.inet_aton(address[0]))
    local = f"{number:08X}:{address[1]:04X}"
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local and fields[3] == ESTABLISHED:
            unread += int(fields[4].partition(":")[2], 16)
    return unread
