"""Returns of the store from an older copy of itself: what is kept, for how long, and the log."""

import math
from collections.abc import Mapping

from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..core.change_log import ChangeLog
from ..core.positions import Position
from ..core.reconciliation import REWRITE_S, Reconciler
from ..core.watching import StoreChanges

__all__ = ["StoreReturns"]

MAX_LOGGED_NAMES = 20


class StoreReturns:
    """Records and logs returns, and compares what the store then states with what is known.

    Parameters
    ----------
    reconcilers : mapping of str to Reconciler
        What to keep, by kind of object.
    counters : Counters
        Receives the counters of returns.
    """

    def __init__(self, reconcilers: Mapping[str, Reconciler], counters: Counters) -> None:
        self._reconcilers = reconcilers
        self._counters = counters
        # Time of the last return.
        self._returned_at = -math.inf

    def begin_era(
        self, before: int, era: int, change_logs: Mapping[str, ChangeLog], now: float
    ) -> None:
        """Record a return, after which nothing is relayed that was confirmed before.

        Parameters
        ----------
        before, era : int
            Numbers of the last era and of the new one.
        change_logs : mapping of str to ChangeLog
            What is known, by kind of object.
        now : float
            Present time in seconds.
        """
        self._counters.incr("store.returns")
        self._returned_at = now
        known = ",".join(
            f"{kind}@{Position.from_number(change_log.revision)}"
            for kind, change_log in change_logs.items()
            if change_log.revision is not None
        )
        log_event("store_returned", before=before, era=era, known=known)
        for change_log in change_logs.values():
            change_log.begin_era(era)

    def may_lack_writes(self, now: float) -> bool:
        """Return whether the store may still lack what it has lost in a return."""
        return now < self._returned_at + REWRITE_S

    def reconcile(self, kind: str, changes: StoreChanges, *, is_list: bool) -> StoreChanges:
        """Return changes in which what is known replaces what an older copy has brought back."""
        reconciler = self._reconcilers.get(kind)
        if reconciler is None:
            return changes
        reconciled = reconciler.reconcile(changes, is_list=is_list)
        if reconciled.events != changes.events:
            self._log_difference(kind, changes, reconciled)
        return reconciled

    def _log_difference(self, kind: str, stated: StoreChanges, reconciled: StoreChanges) -> None:
        values = {event.object.name: event.object.value for event in stated.events}
        used = {event.object.name: event for event in reconciled.events if not event.is_removal}
        kept = [name for name, event in used.items() if values.get(name) is not event.object.value]
        ignored = [name for name, value in values.items() if value and name not in used]
        self._counters.incr("store.reconciled")
        log_event(
            "store_reconciled",
            kind=kind,
            revision=stated.revision,
            kept=",".join(kept[:MAX_LOGGED_NAMES]),
            ignored=",".join(ignored[:MAX_LOGGED_NAMES]),
        )
