"""Background probes: their budget, and the choice of the upstreams to probe.

Background probes are sent between requests. Probes for a single request, just before an
attempt, are in `probe_rounds`.
"""

import math
from collections import deque
from collections.abc import Iterable

from .policy import ProbePolicy
from .routing import UpstreamLoad

__all__ = ["ProbePlanner", "divide_budget"]

# Bytes of one probe and its response, as exchanged by the upstream adapter, rounded up.
PROBE_BYTES = 512
# CPU time that one probe takes in the entry process.
PROBE_CPU_S = 0.0005
# The budget holds in each window of this length, both ends included.
BUDGET_WINDOW_S = 1.0
# Delay of the first probe under a new budget: longer than a window, since both ends count.
BUDGET_CHANGE_WAIT_S = BUDGET_WINDOW_S + 0.05
# A probe without a result counts as lost after this time.
PROBE_TIMEOUT_S = 0.25
# An upstream with a report up to this age is not probed. Probes in addition to the reports in
# responses only raised p99 (docs/notes-routing.md), so only upstreams without traffic are probed.
FRESH_REPORT_S = 0.5


def divide_budget(policy: ProbePolicy, parts: int) -> ProbePolicy:
    """Return the budget of one service, as an equal part of the budget of a process.

    An upstream belongs to one service, so the limit per upstream is not divided.
    """
    return policy._replace(
        probes_per_s=policy.probes_per_s / parts,
        bytes_per_s=policy.bytes_per_s / parts,
        cpu_share=policy.cpu_share / parts,
    )


class ProbePlanner:
    """Spreads the probes of one dispatcher evenly over time, oldest reports first.

    The budget holds in every window of one second, as the planner remembers
    the probes of the last second. A new planner, and one whose budget has
    changed, waits for one window: an earlier process, or another service that
    had this part of the budget before, may have spent it within the last second.

    Parameters
    ----------
    policy : ProbePolicy
        Budget for background probes.
    """

    def __init__(self, policy: ProbePolicy) -> None:
        self._policy = policy
        self._share = 0.0
        self._sent: deque[tuple[float, str]] = deque()
        self._sent_to: dict[str, int] = {}
        self._next_at: float | None = None

    def set_policy(self, policy: ProbePolicy, now: float) -> None:
        """Apply a budget; if it differs from the present one, wait for one window first."""
        if policy == self._policy:
            return
        self._policy = policy
        self._next_at = now + BUDGET_CHANGE_WAIT_S

    def set_share(self, share: float, now: float) -> None:
        """Set the share of the budget that this planner may use, 0 to 1."""
        self._share = min(1.0, max(0.0, share))
        if self._next_at is None:
            self._next_at = now + BUDGET_CHANGE_WAIT_S

    def count_allowed(self) -> int:
        """Return the number of probes allowed per second."""
        policy = self._policy
        by_bytes = policy.bytes_per_s * self._share / PROBE_BYTES
        by_cpu = policy.cpu_share / PROBE_CPU_S
        return math.floor(min(policy.probes_per_s * self._share, by_bytes, by_cpu) + 1e-9)

    def count_allowed_per_upstream(self) -> int:
        """Return the number of probes to one upstream allowed per second."""
        return math.floor(self._policy.probes_per_s_per_upstream * self._share + 1e-9)

    def plan(self, loads: Iterable[UpstreamLoad], now: float) -> str | None:
        """Return the upstream to probe now, or None; the probe is recorded as sent."""
        allowed = self.count_allowed()
        if self._next_at is None or now < self._next_at or allowed <= 0:
            return None
        self._next_at = now + BUDGET_WINDOW_S / allowed
        self._drop_expired(now)
        if len(self._sent) >= allowed:
            return None
        max_per_upstream = self.count_allowed_per_upstream()
        best: UpstreamLoad | None = None
        for load in loads:
            if not load.usable or load.ejected or now - load.probed_at < PROBE_TIMEOUT_S:
                continue
            if now - load.report_at < FRESH_REPORT_S:
                continue
            if self._sent_to.get(load.member.upstream, 0) >= max_per_upstream:
                continue
            if best is None or load.report_at < best.report_at:
                best = load
        if best is None:
            return None
        name = best.member.upstream
        best.probed_at = now
        self._sent.append((now, name))
        self._sent_to[name] = self._sent_to.get(name, 0) + 1
        return name

    def get_next_probe_time(self) -> float | None:
        """Return the time of the next probe, or None if the budget allows none."""
        return (
            self._next_at
            if self.count_allowed() > 0 and self.count_allowed_per_upstream() > 0
            else None
        )

    def _drop_expired(self, now: float) -> None:
        """Remove the probes before the window; one at its very start still counts."""
        while self._sent and self._sent[0][0] < now - BUDGET_WINDOW_S:
            name = self._sent.popleft()[1]
            self._sent_to[name] -= 1
            if not self._sent_to[name]:
                del self._sent_to[name]
