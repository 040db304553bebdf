"""State machine of one lease, and the fence of an object that its holder writes.

Clocks are never compared between hosts. A challenger takes over only after it
has seen the same version for a full ttl on its own clock. The holder trusts
its lease until the start of its last successful renewal + ttl - margin. Since
a paused holder cannot know that its lease lapsed, every write under the lease
is conditional on a version that was read under its epoch.
"""

from typing import Any, NamedTuple

__all__ = [
    "Fence",
    "LeaseMachine",
    "LeaseRead",
    "LeaseRecord",
    "LeaseStep",
    "LeaseWait",
    "LeaseWrite",
    "dump_lease",
    "load_lease",
]

NEVER = float("-inf")
# Renewals in one ttl; two may fail before the lease lapses.
RENEWALS_PER_TTL = 3
# Reads of a challenger in one ttl of the record that it waits for.
READS_PER_TTL = 2
FIRST_EPOCH = 1
# Longest ttl that a challenger waits for, whatever the record says.
MAX_TTL_S = 300.0


class LeaseRecord(NamedTuple):
    """Value of a lease object; an empty holder means that it was given up."""

    holder: str
    epoch: int
    ttl_s: float


class LeaseRead(NamedTuple):
    """Read the lease object."""


class LeaseWrite(NamedTuple):
    """Write the record if the object has the version, or is absent for None."""

    record: LeaseRecord
    version: int | None


class LeaseWait(NamedTuple):
    """Do nothing until a time."""

    until: float


LeaseStep = LeaseRead | LeaseWrite | LeaseWait


def dump_lease(record: LeaseRecord) -> dict[str, Any]:
    """Return the JSON form of a record."""
    return record._asdict()


def load_lease(value: Any) -> LeaseRecord:
    """Return the record of a JSON form.

    Raises
    ------
    ValueError
        If the value has not the shape of a lease.
    """
    try:
        record = LeaseRecord(str(value["holder"]), int(value["epoch"]), float(value["ttl_s"]))
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"not a lease: {error!r}; valid: holder, epoch, ttl_s") from error
    if not 0 < record.ttl_s <= MAX_TTL_S:
        raise ValueError(f"ttl_s {record.ttl_s} is not valid; use more than 0 up to {MAX_TTL_S}")
    return record


class LeaseMachine:
    """One process's view of one lease.

    The driver carries out the steps of `plan` one at a time and reports how
    each ended.

    Parameters
    ----------
    holder : str
        Identifier of this process, never used again after a restart.
    ttl_s : float
        Time after which another process may take over.
    margin_s : float
        Allowance for clocks that run at different speeds.
    """

    def __init__(self, holder: str, ttl_s: float, margin_s: float) -> None:
        self._holder = holder
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self._is_known = False
        self._version: int | None = None
        self._record: LeaseRecord | None = None
        # Reads may be stale, so only a version above all known ones is news.
        self._highest_version = 0
        self._version_seen_at = NEVER
        self._read_at = NEVER
        # Start of the last write that is known to have taken effect.
        self._renewed_at = NEVER
        # Start of the earliest write whose effect is unknown.
        self._unresolved_at: float | None = None
        self._is_trusted = False

    def get_epoch(self, now: float) -> int | None:
        """Return the epoch if the lease is held at this time."""
        if not self._is_trusted or self._record is None:
            return None
        # A clock that was set back gives no evidence of how much time has passed.
        if not self._renewed_at <= now < self._renewed_at + self._ttl_s - self._margin_s:
            return None
        return self._record.epoch

    def compute_remaining(self, now: float) -> float:
        """Return for how many more seconds the lease may be trusted."""
        if self.get_epoch(now) is None:
            return 0.0
        return self._renewed_at + self._ttl_s - self._margin_s - now

    def plan(self, now: float) -> LeaseStep:
        """Return the next step."""
        if not self._is_known:
            return LeaseRead()
        record = self._record
        if record is None:
            return LeaseWrite(LeaseRecord(self._holder, FIRST_EPOCH, self._ttl_s), None)
        if record.holder == self._holder:
            return self._plan_renewal(record, now)
        successor = LeaseRecord(self._holder, record.epoch + 1, self._ttl_s)
        expires_at = self._version_seen_at + record.ttl_s
        if not record.holder or now >= expires_at:
            return LeaseWrite(successor, self._version)
        read_at = self._read_at + record.ttl_s / READS_PER_TTL
        if now >= read_at:
            return LeaseRead()
        return LeaseWait(min(read_at, expires_at))

    def _plan_renewal(self, record: LeaseRecord, now: float) -> LeaseStep:
        renew_at = self._renewed_at + self._ttl_s / RENEWALS_PER_TTL
        if self.get_epoch(now) is None or now >= renew_at:
            return LeaseWrite(record._replace(ttl_s=self._ttl_s), self._version)
        return LeaseWait(renew_at)

    def plan_release(self, now: float) -> LeaseWrite | None:
        """Return the write that gives the lease up, None if it is not held.

        The object stays, since its epoch must never start again.
        """
        if self.get_epoch(now) is None or self._record is None:
            return None
        self._is_trusted = False
        self._is_known = False
        return LeaseWrite(self._record._replace(holder=""), self._version)

    def read_done(self, record: LeaseRecord | None, version: int | None, now: float) -> None:
        """Take the result of a read; None for both if the object does not exist."""
        if version != self._version:
            self._version_seen_at = now
        self._is_known = True
        self._read_at = now
        self._version = version
        self._record = record
        started_at = self._unresolved_at
        is_newer = version is not None and version > self._highest_version
        if is_newer and version is not None:
            # Writes that depend on an earlier version can no longer take effect.
            self._highest_version = version
            self._unresolved_at = None
        if record is None or record.holder != self._holder:
            self._is_trusted = False
            return
        if is_newer and started_at is not None:
            # Only this process writes its own name, so one of its unresolved writes took
            # effect. The earliest one gives the shortest trust.
            self._renewed_at = started_at
            self._is_trusted = True

    def write_done(self, written: LeaseWrite, version: int, started_at: float) -> None:
        """Take the success of a write."""
        self._record = written.record
        self._version = version
        self._highest_version = max(self._highest_version, version)
        self._renewed_at = started_at
        self._unresolved_at = None
        # Giving the lease up is a write as well.
        self._is_trusted = written.record.holder == self._holder

    def write_conflicted(self) -> None:
        """Take the refusal of a write because of its version."""
        self._is_trusted = False
        self._is_known = False

    def write_lost(self, started_at: float) -> None:
        """Take a write whose effect is unknown."""
        if self._unresolved_at is None:
            self._unresolved_at = started_at
        self._is_known = False


class Fence:
    """Version under which the holder of a lease may write another object."""

    def __init__(self) -> None:
        self._epoch = 0
        self._version: int | None = None
        self._is_read = False

    def needs_read(self, epoch: int) -> bool:
        """Return whether the object must be read before a write under this epoch."""
        return not self._is_read or self._epoch != epoch

    @property
    def version(self) -> int | None:
        """Version that the write depends on, None if the object must be absent."""
        return self._version

    def read_done(self, epoch: int, version: int | None, stored_epoch: int) -> bool:
        """Take the result of a read under this epoch.

        Returns
        -------
        bool
            False if a later holder has written the object, so the lease is lost.
        """
        self._is_read = stored_epoch <= epoch
        self._epoch = epoch
        self._version = version
        return self._is_read

    def write_done(self, version: int) -> None:
        """Take the success of a write."""
        self._version = version

    def write_failed(self) -> None:
        """Take a conflict or an unknown effect: the object must be read again."""
        self._is_read = False
