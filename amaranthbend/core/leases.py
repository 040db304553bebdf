"""State machine of one lease, and the fencing of objects that its holder writes.

Clocks are never compared between hosts. A challenger takes the lease over only after it has seen
the same version of the lease object for a full TTL on its own clock. The holder trusts its lease
until the start of its last successful renewal + TTL - margin. Since a paused holder cannot know
that its lease has expired, every write under the lease is conditional on a version of the object
that was read under the lease's current epoch.
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
# Renewals per TTL; two in succession may fail before the lease expires.
RENEWALS_PER_TTL = 3
# Reads by a challenger per TTL of the record whose expiry it awaits.
READS_PER_TTL = 2
FIRST_EPOCH = 1
# A record with a longer TTL is rejected, so that no challenger waits longer.
MAX_TTL_S = 300.0


class LeaseRecord(NamedTuple):
    """Value of a lease object; an empty holder means that the lease was released."""

    holder: str
    epoch: int
    ttl_s: float


class LeaseRead(NamedTuple):
    """Step: read the lease object."""


class LeaseWrite(NamedTuple):
    """Step: write the record if the object has this version, or does not exist for None."""

    record: LeaseRecord
    version: int | None


class LeaseWait(NamedTuple):
    """Step: wait until a time."""

    until: float


LeaseStep = LeaseRead | LeaseWrite | LeaseWait


def dump_lease(record: LeaseRecord) -> dict[str, Any]:
    """Return the JSON form of a record."""
    return record._asdict()


def load_lease(value: Any) -> LeaseRecord:
    """Return the record from its JSON form.

    Raises
    ------
    ValueError
        If a field is missing or not valid.
    """
    try:
        record = LeaseRecord(str(value["holder"]), int(value["epoch"]), float(value["ttl_s"]))
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"malformed lease: {error!r}; valid: holder, epoch, ttl_s") from error
    if not 0 < record.ttl_s <= MAX_TTL_S:
        raise ValueError(f"ttl_s {record.ttl_s} is not valid; use more than 0 up to {MAX_TTL_S}")
    return record


class LeaseMachine:
    """State of one lease as one process knows it.

    The caller executes the steps that `plan` returns, one at a time, and reports the result of
    each.

    Parameters
    ----------
    holder : str
        Identifier of this process; a restarted process uses a new one.
    ttl_s : float
        Time in seconds after which another process may take the lease over.
    margin_s : float
        Allowance in seconds for clocks that run at different speeds.
    """

    def __init__(self, holder: str, ttl_s: float, margin_s: float) -> None:
        self._holder = holder
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self._is_known = False
        self._version: int | None = None
        self._record: LeaseRecord | None = None
        # Reads may be stale, so only a version above all known ones is a new state.
        self._highest_version = 0
        self._version_seen_at = NEVER
        self._read_at = NEVER
        # When the last write started that is known to have taken effect.
        self._renewed_at = NEVER
        # When the earliest write started whose effect is unknown.
        self._unresolved_at: float | None = None
        self._is_trusted = False

    def get_epoch(self, now: float) -> int | None:
        """Return the epoch if this process holds the lease at this time, otherwise None."""
        if not self._is_trusted or self._record is None:
            return None
        # If the clock was set back, it is unknown how much time has passed.
        if not self._renewed_at <= now < self._renewed_at + self._ttl_s - self._margin_s:
            return None
        return self._record.epoch

    def compute_remaining(self, now: float) -> float:
        """Return the number of seconds for which the lease may still be trusted."""
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
        """Return the write that releases the lease, None if it is not held.

        The object is not removed, since epochs must never start again from the first.
        """
        if self.get_epoch(now) is None or self._record is None:
            return None
        self._is_trusted = False
        self._is_known = False
        return LeaseWrite(self._record._replace(holder=""), self._version)

    def record_read(self, record: LeaseRecord | None, version: int | None, now: float) -> None:
        """Record the result of a read; record and version are None if the object is absent."""
        if version != self._version:
            self._version_seen_at = now
        self._is_known = True
        self._read_at = now
        self._version = version
        self._record = record
        started_at = self._unresolved_at
        is_newer = version is not None and version > self._highest_version
        if is_newer and version is not None:
            # Writes conditional on an earlier version can no longer take effect.
            self._highest_version = version
            self._unresolved_at = None
        if record is None or record.holder != self._holder:
            self._is_trusted = False
            return
        if is_newer and started_at is not None:
            # Only this process writes its own identifier, so one of its unresolved writes took
            # effect. Counting from the earliest one gives the shortest, hence safe, validity.
            self._renewed_at = started_at
            self._is_trusted = True

    def record_write(self, written: LeaseWrite, version: int, started_at: float) -> None:
        """Record that a write succeeded."""
        self._record = written.record
        self._version = version
        self._highest_version = max(self._highest_version, version)
        self._renewed_at = started_at
        self._unresolved_at = None
        # The write may also have released the lease.
        self._is_trusted = written.record.holder == self._holder

    def record_write_conflict(self) -> None:
        """Record that a write was refused because the object has another version."""
        self._is_trusted = False
        self._is_known = False

    def record_unknown_write(self, started_at: float) -> None:
        """Record that the effect of a write is unknown, as when its response was lost."""
        if self._unresolved_at is None:
            self._unresolved_at = started_at
        self._is_known = False


class Fence:
    """Version on which a lease holder's writes to another object are conditional."""

    def __init__(self) -> None:
        self._epoch = 0
        self._version: int | None = None
        self._is_read = False

    def needs_read(self, epoch: int) -> bool:
        """Return whether the object has to be read before a write under this epoch."""
        return not self._is_read or self._epoch != epoch

    @property
    def version(self) -> int | None:
        """Version on which the write is conditional, None if the object must not exist."""
        return self._version

    def record_read(self, epoch: int, version: int | None, stored_epoch: int) -> bool:
        """Record the result of a read under this epoch.

        Returns
        -------
        bool
            False if the holder of a later epoch has written the object, so the lease is lost.
        """
        self._is_read = stored_epoch <= epoch
        self._epoch = epoch
        self._version = version
        return self._is_read

    def record_write(self, version: int) -> None:
        """Record that a write succeeded."""
        self._version = version

    def record_write_failure(self) -> None:
        """Record a conflict or an unknown effect: the object has to be read again."""
        self._is_read = False
