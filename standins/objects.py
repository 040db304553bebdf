"""Versioned objects, host list, call counts and rate limits of the platform stand-in."""

from collections import Counter, deque
from typing import Any, NamedTuple

__all__ = ["CallCounts", "Change", "HostHistory", "ObjectStore", "RateWindow"]

RATE_WINDOW_S = 1.0


class Change(NamedTuple):
    """One write or removal; `value` is None for a removal."""

    at: float
    revision: int
    name: str
    value: Any


class ObjectStore:
    """Objects by kind and name, with the history that lagging reads need."""

    def __init__(self) -> None:
        self.revision = 0
        self._changes: dict[str, list[Change]] = {}
        self._latest: dict[tuple[str, str], Change] = {}

    def write(self, kind: str, name: str, value: Any, now: float) -> Change:
        """Store a value, or remove the object where the value is None."""
        self.revision += 1
        change = Change(now, self.revision, name, value)
        self._changes.setdefault(kind, []).append(change)
        self._latest[kind, name] = change
        return change

    def go_back(self, at: float) -> None:
        """Return to the state of an earlier time; later revisions are given out again."""
        for kind, log in self._changes.items():
            self._changes[kind] = [change for change in log if change.at <= at]
        kept = [change for log in self._changes.values() for change in log]
        self.revision = max((change.revision for change in kept), default=0)
        self._latest = {
            (kind, change.name): change for kind, log in self._changes.items() for change in log
        }

    def read(self, kind: str, name: str, seen_at: float | None = None) -> Change | None:
        """Return the object, as of `seen_at` if given; None if it does not exist."""
        change = self._latest.get((kind, name))
        if seen_at is not None and change is not None and change.at > seen_at:
            change = next((c for c in self._seen(kind, seen_at)[::-1] if c.name == name), None)
        if change is None or change.value is None:
            return None
        return change

    def list_changes(self, kind: str, seen_at: float, after: int = 0) -> list[Change]:
        """Return the latest change of each object that changed after a revision."""
        latest = {c.name: c for c in self._seen(kind, seen_at) if c.revision > after}
        return list(latest.values())

    def find_revision(self, seen_at: float) -> int:
        """Return the revision as of `seen_at`."""
        later = sum(change.at > seen_at for log in self._changes.values() for change in log)
        return self.revision - later

    def count_objects(self) -> dict[str, int]:
        """Return the number of existing objects by kind."""
        counts = Counter(key[0] for key, change in self._latest.items() if change.value is not None)
        return dict(counts)

    def _seen(self, kind: str, seen_at: float) -> list[Change]:
        return [change for change in self._changes.get(kind, []) if change.at <= seen_at]


class HostHistory:
    """Versions of the host list, so that an older one can be given out."""

    def __init__(self) -> None:
        self._versions: list[tuple[float, int, list[Any]]] = [(float("-inf"), 0, [])]

    def set(self, hosts: list[Any], now: float) -> int:
        """Store the true host list and return its revision."""
        revision = self._versions[-1][1] + 1
        self._versions.append((now, revision, hosts))
        return revision

    def get(self, seen_at: float) -> dict[str, Any]:
        """Return the host list as of `seen_at`."""
        at_first = self._versions[0]
        seen = next((v for v in reversed(self._versions) if v[0] <= seen_at), at_first)
        return {"revision": seen[1], "hosts": seen[2]}


class RateWindow:
    """Counts calls in every sliding second and remembers the highest count."""

    def __init__(self) -> None:
        self.peak = 0
        self._times: deque[float] = deque()

    def count(self, now: float) -> int:
        """Count a call and return the number in the second that ends now."""
        self._times.append(now)
        while self._times[0] <= now - RATE_WINDOW_S:
            self._times.popleft()
        self.peak = max(self.peak, len(self._times))
        return len(self._times)


class CallCounts:
    """Calls by kind, and the highest number in any second."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.by_kind: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.windows = {name: RateWindow() for name in ("read", "write", "any")}

    def count(self, call: str, kind: str, now: float) -> int:
        """Count a call and return the number of its class (read, write) in the last second."""
        self.calls[call] += 1
        self.by_kind[f"{call} {kind}"] += 1
        self.windows["any"].count(now)
        return self.windows["write" if call in {"put", "delete"} else "read"].count(now)

    def describe(self) -> dict[str, Any]:
        """Return the counts for `GET /_stats`."""
        return {
            "calls": dict(self.calls),
            "by_kind": dict(self.by_kind),
            "refused": dict(self.refused),
            "peak_per_s": {name: window.peak for name, window in self.windows.items()},
        }
