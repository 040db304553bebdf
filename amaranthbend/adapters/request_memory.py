"""Memory that a request holds in the account of the process."""

from tornado.httputil import HTTPHeaders

from ..core.buffers import BufferBudget
from .headers import HEAD_ALLOWANCE_BYTES, estimate_head_bytes

__all__ = ["RequestMemory"]

# Request bodies up to this size are part of the fixed memory of a connection, and displace larger
# ones that are not complete, so that uploads do not displace short requests.
SMALL_BODY_BYTES = 8 * 1024
# Memory of a response that is streamed faster than its caller reads, beside what is counted when
# it is written: a part that libcurl has read, and the receive buffer of the upstream's connection.
STREAMED_RESPONSE_BYTES = 128 * 1024


class RequestMemory:
    """Reservations of a request, which are released together when it ends.

    Parameters
    ----------
    buffers : BufferBudget
        Account of the process.
    """

    __slots__ = (
        "_buffers",
        "_counts_streamed_response",
        "_is_released",
        "has_large_head",
        "is_reserving",
        "reserved_bytes",
    )

    def __init__(self, buffers: BufferBudget) -> None:
        self.reserved_bytes = 0
        # Whether a reservation is made for this request, so that it is not displaced for it.
        self.is_reserving = False
        self.has_large_head = False
        self._buffers = buffers
        self._counts_streamed_response = False
        self._is_released = False

    def reserve(self, size: int, *, is_large_body: bool = False) -> bool:
        """Reserve memory until the request ends; return whether it fits.

        A large request body leaves some memory to others.
        """
        if self._is_released:
            return False
        self.is_reserving = True
        fits = self._buffers.reserve(size, is_large_body=is_large_body)
        self.is_reserving = False
        if fits:
            self.reserved_bytes += size
        return fits

    def reserve_head(self, target: str, headers: HTTPHeaders) -> bool:
        """Reserve memory for a head that takes more than usual; return whether it fits."""
        size = estimate_head_bytes(target, headers) - HEAD_ALLOWANCE_BYTES
        self.has_large_head = size > 0
        return size <= 0 or self.reserve(size)

    def reserve_body(self, added_bytes: int, body_bytes: int) -> bool:
        """Reserve memory for a part of a buffered body; return whether it fits.

        Parameters
        ----------
        added_bytes : int
            Size of the part.
        body_bytes : int
            Size of the body with this part. Small bodies need no reservation.
        """
        return body_bytes <= SMALL_BODY_BYTES or self.reserve(added_bytes, is_large_body=True)

    def count_streamed_response(self) -> None:
        """Count the memory of a response that waits for its caller, once for each request."""
        if self._counts_streamed_response:
            return
        self._counts_streamed_response = True
        self._buffers.add(STREAMED_RESPONSE_BYTES)
        self.reserved_bytes += STREAMED_RESPONSE_BYTES

    def release(self) -> None:
        """Release all reservations at the end of the request."""
        self._is_released = True
        self._buffers.release(self.reserved_bytes)
        self.reserved_bytes = 0
