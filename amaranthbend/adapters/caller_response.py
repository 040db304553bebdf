"""Response to a caller: its framing, the parts that are not sent yet, and its end."""

import asyncio
from typing import TYPE_CHECKING, cast

from tornado.iostream import StreamClosedError

from .headers import STATUS_WITHOUT_BODY, ResponseHead

if TYPE_CHECKING:
    from .caller_server import CallerStream
    from .exchange import ExchangeConnection

__all__ = ["CallerResponse"]

LAST_CHUNK = b"0\r\n\r\n"


class CallerResponse:
    """Frames a response and writes it to the connection.

    Parameters
    ----------
    connection : ExchangeConnection
        Connection as the request sees it.
    """

    __slots__ = ("_connection", "_output", "_sends_chunked")

    def __init__(self, connection: "ExchangeConnection") -> None:
        self._connection = connection
        self._output: list[bytes] = []
        self._sends_chunked = False

    def start(self, head: ResponseHead, method: str, *, is_http_1_1: bool, closes: bool) -> bool:
        """Buffer the head of an upstream's response in place of what was buffered.

        Parameters
        ----------
        head : ResponseHead
            Head of the upstream's response.
        method : str
            Method of the request.
        is_http_1_1 : bool
            Whether the caller supports chunked transfer coding.
        closes : bool
            Whether the connection is closed after the response in any case.

        Returns
        -------
        bool
            Whether the connection is closed after the response.
        """
        self._output.clear()
        self._sends_chunked = False
        lines = [b"HTTP/1.1 %d %s" % (head.status, head.reason)]
        lines += [name + b": " + value for name, value in head.fields]
        lines.append(b"X-Request-Outcome: answered")
        has_body = head.status not in STATUS_WITHOUT_BODY and method != "HEAD"
        if head.length is not None:
            if head.status != 204:
                lines.append(b"Content-Length: %d" % head.length)
        elif has_body and is_http_1_1:
            # Also where the upstream marks the end by closing its connection: if this process is
            # killed, the kernel closes its connections as in order, and a part would look whole.
            self._sends_chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        elif has_body:
            # The end of the body is marked by closing the connection.
            closes = True
        if closes:
            lines.append(b"Connection: close")
        lines.append(b"\r\n")
        self._output.append(b"\r\n".join(lines))
        return closes

    def replace(self, data: bytes) -> None:
        """Buffer a whole response in place of what was buffered."""
        self._output.clear()
        self._output.append(data)

    def append(self, data: bytes) -> None:
        """Buffer bytes of the body."""
        if not data:
            return
        if self._sends_chunked:
            self._output.append(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._output.append(data)

    def append_end(self) -> None:
        """Buffer what marks the end of the body."""
        if self._sends_chunked:
            self._output.append(LAST_CHUNK)

    def _take(self) -> bytes:
        data = b"".join(self._output)
        self._output.clear()
        return data

    def flush(self) -> "asyncio.Future[None] | None":
        """Write the buffered data; return its completion, None if the connection is closed."""
        data = self._take()
        try:
            return self._connection.stream.write(data)
        except StreamClosedError:
            return None

    def finish(self, *, closes: bool, lingers: bool) -> None:
        """Write the buffered data and end the response.

        Parameters
        ----------
        closes : bool
            Whether the connection is closed afterwards.
        lingers : bool
            Whether the caller may still be sending then.
        """
        data = self._take()
        connection = self._connection
        if connection.stream.closed():
            return
        if not closes:
            connection.write(data)
            connection.finish()
            return
        stream = cast("CallerStream", connection.stream)
        stream.lingers = lingers
        stream.write(data).add_done_callback(lambda _written: connection.close())

    def abort(self) -> None:
        """Reset the connection, so that the caller cannot take a partial response as complete."""
        stream = cast("CallerStream", self._connection.stream)
        stream.reset()
        self._connection.close()
