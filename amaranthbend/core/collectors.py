"""Choice of the host to which a host reports the counts of teams' requests.

Load pattern: each host may stop, freeze or be cut off at any moment, and counts that are not
collected for a second allow a team too much. All hosts of a data centre try the same hosts in the
same order, so that few of them collect.
"""

import xxhash

__all__ = ["COLLECTORS_PER_DATA_CENTRE", "CollectorSelector", "order_hosts"]

# Hosts of a data centre that collect, or are kept up to date in case they have to.
COLLECTORS_PER_DATA_CENTRE = 2
# Time for which a collector that did not answer is skipped.
FAILED_COLLECTOR_SKIP_S = 5.0


def order_hosts(hosts: list[str]) -> list[str]:
    """Return hosts in the order in which they collect, which is the same everywhere.

    The order is by hash, so that the collectors are not also the hosts that read the store.
    """
    return sorted(hosts, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name))


class CollectorSelector:
    """Selects the host to which this one reports: the first one that has not failed recently."""

    def __init__(self) -> None:
        self._hosts: list[str] = []
        self._failed_until: dict[str, float] = {}
        self.selected = ""

    def set_hosts(self, hosts: list[str]) -> None:
        """Replace the hosts of the data centre, in the order in which they collect."""
        self._hosts = hosts

    def record_failure(self, host: str, now: float) -> None:
        """Skip a host for some seconds."""
        self._failed_until[host] = now + FAILED_COLLECTOR_SKIP_S

    def record_answer(self, host: str) -> None:
        """Use a host again."""
        self._failed_until.pop(host, None)

    def select(self, now: float) -> str:
        """Return the host to report to, empty if none is known.

        If all have failed, it is the one whose failure is the oldest.
        """
        for host in self._hosts:
            if self._failed_until.get(host, now) <= now:
                self.selected = host
                return host
        self.selected = min(self._hosts, key=lambda host: self._failed_until[host], default="")
        return self.selected
