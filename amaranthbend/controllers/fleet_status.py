"""Status of the deployment, written to the platform by the host that holds the status lease."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from ..adapters.platform import Counters, PlatformClient
from .fenced_object import FencedObject
from .host_state import HostState
from .lease_manager import LeaseManager

__all__ = ["FleetStatusWriter", "HostReport", "HostReports"]

STATUS_KIND = "status"
CHECK_INTERVAL_S = 2.0
# An unchanged status is written again after this time, so that readers can tell it is current.
REFRESH_INTERVAL_S = 30.0
# A host without a report for this long is removed from the status.
REPORT_TTL_S = 60.0


class HostReport(NamedTuple):
    """Serials of the settings in force on one host.

    Parameters
    ----------
    serial : int
        Serial in the control process.
    entry_serial : int
        Lowest serial in the entry processes, 0 if none is connected.
    entry_processes : int
        Number of connected entry processes.
    """

    serial: int
    entry_serial: int
    entry_processes: int


class HostReports:
    """Latest report of each host."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._reports: dict[str, tuple[HostReport, float]] = {}

    def record(self, host_id: str, report: HostReport) -> None:
        """Store the report of a host."""
        self._reports[host_id] = (report, self._clock())

    def list_reports(self) -> dict[str, dict[str, int]]:
        """Return the reports as fields by host id, and drop expired ones."""
        now = self._clock()
        self._reports = {
            host_id: entry
            for host_id, entry in self._reports.items()
            if now - entry[1] < REPORT_TTL_S
        }
        return {host_id: entry[0]._asdict() for host_id, entry in sorted(self._reports.items())}


class FleetStatusWriter:
    """Writes `status/<deployment>` while this host holds the lease.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    lease : LeaseManager
        Lease whose holder writes the status.
    state : HostState
        State of this host.
    reports : HostReports
        Reports of the hosts, this one included.
    deployment : str
        Name of the deployment.
    counters : Counters
        Receives the counters.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        platform: PlatformClient,
        lease: LeaseManager,
        state: HostState,
        reports: HostReports,
        deployment: str,
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        self._lease = lease
        self._state = state
        self._reports = reports
        self._clock = clock
        self._object = FencedObject(platform, lease, counters, STATUS_KIND, deployment)
        self._written: dict[str, Any] = {}
        self._written_at = float("-inf")

    async def run(self) -> None:
        """Write the status when it is due, until cancelled."""
        while True:
            await self.update()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def update(self) -> bool:
        """Write the status if it is due and this host holds the lease.

        Returns
        -------
        bool
            Whether it was written.
        """
        epoch = self._lease.get_epoch()
        if epoch is None or not await self._object.ensure_read(epoch, lambda _value: None):
            return False
        status = self._make_status(epoch)
        if status == self._written and self._clock() - self._written_at < REFRESH_INTERVAL_S:
            return False
        return await self._write(status)

    def _make_status(self, epoch: int) -> dict[str, Any]:
        return {
            "epoch": epoch,
            "serial": self._state.serial,
            "digest": self._state.digest,
            "host_list_revision": self._state.host_list_revision,
            "hosts": self._reports.list_reports(),
        }

    async def _write(self, status: dict[str, Any]) -> bool:
        if not await self._object.write(status):
            return False
        self._written = status
        self._written_at = self._clock()
        return True
