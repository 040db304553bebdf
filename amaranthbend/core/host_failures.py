"""Hosts whose calls failed, and for how long they are passed over.

Load pattern: hosts are removed for good, many at a time, and calls to them hang until a timeout.
With a constant skip time a host would spend the same share of each minute on them for good, and
with enough of them all of its time. So the skip time doubles with each further failure.
"""

from collections.abc import Collection
from typing import NamedTuple

__all__ = ["HostFailures"]


class _Failure(NamedTuple):
    failed_at: float
    skip_s: float

    @property
    def skipped_until(self) -> float:
        return self.failed_at + self.skip_s


class HostFailures:
    """Consecutive failures of each host.

    Parameters
    ----------
    first_skip_s : float
        Time in seconds for which a host is skipped after its first failure.
    max_skip_s : float
        Longest such time in seconds.
    """

    def __init__(self, first_skip_s: float, max_skip_s: float) -> None:
        self._first_skip_s = first_skip_s
        self._max_skip_s = max_skip_s
        self._failures: dict[str, _Failure] = {}

    @property
    def names(self) -> set[str]:
        """Names of the hosts whose last call failed."""
        return set(self._failures)

    def record_failure(self, name: str, started_at: float, now: float) -> None:
        """Record a failed call to a host.

        Calls that ran at the same time fail together and count once.

        Parameters
        ----------
        name : str
            Name of the host.
        started_at : float
            Time in seconds at which the call started.
        now : float
            Present time in seconds.
        """
        failure = self._failures.get(name)
        if failure is None:
            self._failures[name] = _Failure(now, self._first_skip_s)
        elif started_at >= failure.failed_at:
            skip_s = min(self._max_skip_s, 2 * failure.skip_s)
            self._failures[name] = _Failure(now, skip_s)

    def record_answer(self, name: str) -> None:
        """Record that a host answered, so that it is used again at once."""
        self._failures.pop(name, None)

    def has_failed(self, name: str) -> bool:
        """Return whether the last call to a host failed, however long ago."""
        return name in self._failures

    def is_skipped(self, name: str, now: float) -> bool:
        """Return whether a host is passed over at a time in seconds."""
        failure = self._failures.get(name)
        return failure is not None and now < failure.skipped_until

    def get_skip_end(self, name: str) -> float:
        """Return the time in seconds until which a host that failed is passed over."""
        return self._failures[name].skipped_until

    def retain(self, names: Collection[str]) -> None:
        """Forget all hosts but the given ones."""
        for name in self.names.difference(names):
            del self._failures[name]
