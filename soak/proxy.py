"""Loopback proxy that harms connections."""

import asyncio
import contextlib
import re
import time
from enum import StrEnum

from amaranthbend.adapters.addresses import split_address

__all__ = ["LinkState", "Proxy"]

READ_BYTES = 65536
DELAY_S = 0.08
RECHECK_S = 0.01
REQUEST_ID = re.compile(rb"\r\nx-amaranthbend-attempt-id: ([^\r]+)\r\n", re.IGNORECASE)


class LinkState(StrEnum):
    """What happens to bytes."""

    PASS = "pass"
    DELAY = "delay"
    # Bytes towards the server are held, those back pass.
    ONE_WAY = "one_way"
    SILENT = "silent"


class Proxy:
    """Passes connections on to a server.

    Parameters
    ----------
    target : str
        `address:port` of the server.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.state = LinkState.PASS
        self.address = ""
        # Times at which requests arrived, with their ids. Each head arrives in one piece.
        self.arrivals: list[tuple[float, str]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, address, port)
        self.address = f"{address}:{port}"

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.state = LinkState.PASS
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            back_reader, back_writer = await asyncio.open_connection(*split_address(self.target))
        except OSError:
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(back_writer)
        try:
            await asyncio.gather(
                self._copy(reader, back_writer, forwards=True),
                self._copy(back_reader, writer, forwards=False),
            )
        finally:
            for end in (writer, back_writer):
                self._writers.discard(end)
                end.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forwards: bool
    ) -> None:
        """Pass bytes on in one direction; its end ends the other direction too."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if forwards:
                    now = time.monotonic()
                    ids = REQUEST_ID.findall(data)
                    self.arrivals += [(now, request_id.decode("latin1")) for request_id in ids]
                if self.state is LinkState.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self._holds(forwards=forwards):
                    await asyncio.sleep(RECHECK_S)
                writer.write(data)
                await writer.drain()
        writer.close()

    def _holds(self, *, forwards: bool) -> bool:
        return self.state is LinkState.SILENT or (self.state is LinkState.ONE_WAY and forwards)
