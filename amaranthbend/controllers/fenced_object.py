"""Platform object that only the holder of a lease may write, fenced by version and epoch."""

from collections.abc import Callable
from typing import Any

from result import Err, Ok

from ..adapters.logs import log_event
from ..adapters.platform import Counters, PlatformClient, PlatformErrorKind
from ..core.leases import Fence
from .lease_manager import LeaseManager

__all__ = ["FencedObject", "read_epoch"]


class FencedObject:
    """Rejects writes of a former lease holder.

    The object is read once in each lease epoch, and each write is conditional on the version
    that was read or written last.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    lease : LeaseManager
        Lease whose holder may write.
    counters : Counters
        Receives the counters.
    kind, name : str
        Kind and name of the object, whose value holds the lease epoch under the key `epoch`.
    """

    def __init__(
        self,
        platform: PlatformClient,
        lease: LeaseManager,
        counters: Counters,
        kind: str,
        name: str,
    ) -> None:
        self._platform = platform
        self._lease = lease
        self._counters = counters
        self._kind = kind
        self._name = name
        self._fence = Fence()

    async def ensure_read(self, epoch: int, on_read: Callable[[Any], None]) -> bool:
        """Read the object unless it has been read in this epoch.

        Parameters
        ----------
        epoch : int
            Epoch of the lease.
        on_read : callable
            Called with the value after a read, with None if the object does not exist.

        Returns
        -------
        bool
            False if the read failed, or if the object has a later epoch: then another host holds
            the lease.
        """
        if not self._fence.needs_read(epoch):
            return True
        answer = await self._platform.get(self._kind, self._name)
        value, version = None, None
        if isinstance(answer, Ok):
            value, version = answer.ok_value.value, answer.ok_value.version
        elif answer.err_value.kind is not PlatformErrorKind.NOT_FOUND:
            return False
        if self._fence.record_read(epoch, version, read_epoch(value)):
            on_read(value)
            return True
        self._counters.incr("leases.fenced")
        log_event("lease_fenced", kind=self._kind, name=self._name, epoch=epoch)
        self._lease.invalidate()
        return False

    async def write(self, value: dict[str, Any]) -> bool:
        """Write the object if its version is unchanged, and return whether it was written."""
        version = self._fence.version
        if version is None:
            answer = await self._platform.create(self._kind, self._name, value)
        else:
            answer = await self._platform.replace(self._kind, self._name, value, version)
        if isinstance(answer, Err):
            self._fence.record_write_failure()
            return False
        self._fence.record_write(answer.ok_value)
        return True


def read_epoch(value: Any) -> int:
    """Return the epoch of a stored value, 0 if it is absent or malformed."""
    epoch = value.get("epoch") if isinstance(value, dict) else None
    return epoch if isinstance(epoch, int) else 0
