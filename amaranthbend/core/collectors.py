"""Choice of the host to which a host reports the counts of teams' requests.

Load pattern: each host may stop, freeze or be cut off at any moment, and counts that are not
collected for a second allow a team too much. All hosts of a data centre try the same hosts in the
same order, so that few of them collect.
"""

from collections.abc import Collection

import xxhash

from .host_failures import HostFailures

__all__ = ["COLLECTORS_PER_DATA_CENTRE", "CollectorSelector", "order_hosts"]

# Hosts of a data centre that collect, or are kept up to date in case they have to.
COLLECTORS_PER_DATA_CENTRE = 2
# Time for which a collector that did not answer is skipped, and the longest such time.
FAILED_COLLECTOR_SKIP_S = 5.0
MAX_FAILED_COLLECTOR_SKIP_S = 120.0


def order_hosts(hosts: list[str]) -> list[str]:
    """Return hosts in the order in which they collect, which is the same everywhere.

    The order is by hash, so that the collectors are not also the hosts that read the store.
    """
    return sorted(hosts, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name))


class CollectorSelector:
    """Selects the host to which this one reports: the first one that has not failed recently.

    Until one has answered, hosts that have never failed go before those that are due again, so that
    the search takes one report of each host that is gone. While one answers, the earlier ones are
    tried again one at a time.
    """

    def __init__(self) -> None:
        self._hosts: list[str] = []
        self._failures = HostFailures(FAILED_COLLECTOR_SKIP_S, MAX_FAILED_COLLECTOR_SKIP_S)
        # Host that answered last, empty if it has failed since.
        self._answering = ""
        self._try_others_at = 0.0
        self.selected = ""

    def set_hosts(self, hosts: list[str]) -> None:
        """Replace the hosts of the data centre, in the order in which they collect."""
        self._hosts = hosts
        self._failures.retain(hosts)
        if self._answering not in hosts:
            self._answering = ""

    def record_failure(self, host: str, now: float) -> None:
        """Skip a host for some seconds, longer with each further failure."""
        self._failures.record_failure(host, now, now)
        self._try_others_at = now + FAILED_COLLECTOR_SKIP_S
        if host == self._answering:
            self._answering = ""

    def record_answer(self, host: str) -> None:
        """Use a host again."""
        self._failures.record_answer(host)
        self._answering = host

    def list_answering(self, hosts: Collection[str], count: int) -> list[str]:
        """Return the first hosts whose last report was not left without an answer."""
        return [host for host in hosts if not self._failures.has_failed(host)][:count]

    def select(self, now: float) -> str:
        """Return the host to report to, empty if none is known.

        If all have failed, it is the one that is due first.
        """
        if self._answering and now < self._try_others_at:
            self.selected = self._answering
            return self.selected
        due = [host for host in self._hosts if not self._failures.is_skipped(host, now)]
        if not self._answering:
            due = self.list_answering(due, 1) or due
        if due:
            self.selected = due[0]
        else:
            self.selected = min(self._hosts, key=self._failures.get_skip_end, default="")
        return self.selected
