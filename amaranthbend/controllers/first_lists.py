"""The first list of a process that starts: how long it waits for which source, and the result."""

from typing import NamedTuple

from ..adapters.change_relay import PEER_LONG_POLL_S
from ..core.watching import StoreChanges

__all__ = [
    "FIRST_START_LIST_WAITS",
    "MAX_HOSTS_WAIT_S",
    "NEW_ERA_LIST_WAITS",
    "RESTART_LIST_WAITS",
    "STORE_SOURCE",
    "FetchedList",
    "FirstListWaits",
]

# Longest wait for the list of hosts before the first watch. It covers the time until hosts that
# start together have registered, and the call for the list.
MAX_HOSTS_WAIT_S = 2.5
# Source of a list in logs that does not come from a peer.
STORE_SOURCE = "store"


class FirstListWaits(NamedTuple):
    """How long the first list waits for a peer, in seconds.

    Parameters
    ----------
    hosts_s : float
        For the list of hosts, which names the peer.
    peer_s : float
        For the peer's answer; then the store is asked as well, and the list that arrives first is
        used.
    """

    hosts_s: float
    peer_s: float


# Callers wait for a process that starts again: a peer answers within some milliseconds, or hardly
# at all.
RESTART_LIST_WAITS = FirstListWaits(hosts_s=0.25, peer_s=0.06)
# At the first start of the deployment nobody calls yet, and the peer itself has to list first.
FIRST_START_LIST_WAITS = FirstListWaits(hosts_s=MAX_HOSTS_WAIT_S, peer_s=PEER_LONG_POLL_S)

# When the store has come back from a copy, all hosts list at once, and the peer lists first.
NEW_ERA_LIST_WAITS = FirstListWaits(hosts_s=0.25, peer_s=PEER_LONG_POLL_S)


class FetchedList(NamedTuple):
    """All objects of a kind.

    Parameters
    ----------
    changes : StoreChanges
        The objects.
    confirmed_at : float
        Time in seconds at which the store confirmed them, negative infinity if it has not.
    source : str
        Name of the peer, or `STORE_SOURCE`.
    """

    changes: StoreChanges
    confirmed_at: float
    source: str
