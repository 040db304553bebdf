"""When the store is asked whether a watch has missed changes, and by which call.

A connection can stop delivering data without being closed, and a replica can lag behind, so only
the store itself shows that a watch which returns nothing has missed nothing.

Load pattern: each call has a price, and most of the time nothing changes. So a check is made only
when the last answer of the store has a certain age, and one call that reads the store's revision
checks all kinds of objects that are due. A kind whose known changes do not reach that revision is
then checked by itself.
"""

from collections.abc import Mapping
from enum import Enum, auto

from .change_log import ChangeLog

__all__ = ["WatchCheck", "choose_check", "compute_check_age", "compute_check_delay"]

# Age of the last confirmation at which a check is due, as a share of the age at which it is no
# longer valid. The rest is for the check itself, also by a slow store.
CHECK_AGE_SHARE = 2 / 3
# Kinds whose last confirmation has at least this share of that age are checked together.
SHARED_CHECK_AGE_SHARE = 0.5


class WatchCheck(Enum):
    """A call that shows whether a watch has missed changes."""

    # None is due.
    NONE = auto()
    # Read the revision of the store, for all kinds.
    REVISION = auto()
    # Read the changes of one kind.
    CHANGES = auto()


def compute_check_age(max_age_s: float) -> float:
    """Return the age in seconds of a confirmation, valid up to a given age, to check it at."""
    return CHECK_AGE_SHARE * max_age_s


def compute_check_delay(change_log: ChangeLog, now: float) -> float:
    """Return the seconds until a kind is due for a check, given what is known of its changes."""
    due_at = change_log.confirmed_at + compute_check_age(change_log.max_age_s)
    return max(0.0, due_at - now)


def choose_check(kind: str, change_logs: Mapping[str, ChangeLog], now: float) -> WatchCheck:
    """Return the check to make for a kind, given what is known of the changes of all kinds."""
    if compute_check_delay(change_logs[kind], now) > 0.0:
        return WatchCheck.NONE
    check_age_s = compute_check_age(change_logs[kind].max_age_s)
    share_at = now - SHARED_CHECK_AGE_SHARE * check_age_s
    for other, change_log in change_logs.items():
        if other == kind or change_log.is_unconfirmed:
            continue
        if change_log.confirmed_at <= share_at:
            return WatchCheck.REVISION
    return WatchCheck.CHANGES
