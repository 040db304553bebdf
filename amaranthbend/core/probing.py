"""Probe budget and choice of the upstreams to probe."""

import math
from collections import deque
from collections.abc import Iterable

from .policy import ProbePolicy
from .routing import UpstreamLoad

__all__ = ["ProbePlanner", "divide_budget"]

# Bytes of one probe with its response, as sent by the upstream adapter, rounded up.
PROBE_BYTES = 512
# Processor time of one probe in the entry process.
PROBE_CPU_S = 0.0005
BUDGET_WINDOW_S = 1.0
# Wait before the first probe under a budget; longer than a window, whose ends both count.
BUDGET_CHANGE_WAIT_S = BUDGET_WINDOW_S + 0.05
# A probe without result counts as lost after this time.
PROBE_TIMEOUT_S = 0.25
# Reports younger than this make a probe needless. Where responses carry reports, probes between
# them only raised p99 (docs/notes-routing.md), so they go to upstreams without traffic.
FRESH_REPORT_S = 0.5


def divide_budget(policy: ProbePolicy, parts: int) -> ProbePolicy:
    """Return the part of a process's budget that each of its services may spend.

    An upstream belongs to one service, so the budget of an upstream is not divided.
    """
    return policy._replace(
        probes_per_s=policy.probes_per_s / parts,
        bytes_per_s=policy.bytes_per_s / parts,
        cpu_share=policy.cpu_share / parts,
    )


class ProbePlanner:
    """Spends the probe budget of one dispatcher evenly, on the upstreams with the oldest reports.

    The budget holds in every window of one second, since the times of the
    probes of the last second are kept. A new planner, and one whose budget
    changed, waits for one window: a process that ran before it, or another
    service that had this part of the budget, may just have spent it.

    Parameters
    ----------
    policy : ProbePolicy
        Budget of the deployment.
    """

    def __init__(self, policy: ProbePolicy) -> None:
        self._policy = policy
        self._share = 0.0
        self._sent: deque[tuple[float, str]] = deque()
        self._sent_to: dict[str, int] = {}
        self._next_at: float | None = None

    def set_policy(self, policy: ProbePolicy, now: float) -> None:
        """Use another budget, after one window if it differs from the present one."""
        if policy == self._policy:
            return
        self._policy = policy
        self._next_at = now + BUDGET_CHANGE_WAIT_S

    def set_share(self, share: float, now: float) -> None:
        """Set the part of the deployment's budget that may be spent here, 0 to 1."""
        self._share = min(1.0, max(0.0, share))
        if self._next_at is None:
            self._next_at = now + BUDGET_CHANGE_WAIT_S

    def count_allowed(self) -> int:
        """Return the probes allowed in one second."""
        policy = self._policy
        by_bytes = policy.bytes_per_s * self._share / PROBE_BYTES
        by_cpu = policy.cpu_share / PROBE_CPU_S
        return math.floor(min(policy.probes_per_s * self._share, by_bytes, by_cpu) + 1e-9)

    def count_allowed_per_upstream(self) -> int:
        """Return the probes to one upstream allowed in one second."""
        return math.floor(self._policy.probes_per_s_per_upstream * self._share + 1e-9)

    def plan(self, loads: Iterable[UpstreamLoad], now: float) -> str | None:
        """Return the upstream to probe now, or None; a returned probe counts as sent."""
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
        """Return the time of the next planned probe, or None without a budget."""
        return (
            self._next_at
            if self.count_allowed() > 0 and self.count_allowed_per_upstream() > 0
            else None
        )

    def _drop_expired(self, now: float) -> None:
        """Drop probes that left the window; one exactly a second old still counts."""
        while self._sent and self._sent[0][0] < now - BUDGET_WINDOW_S:
            name = self._sent.popleft()[1]
            self._sent_to[name] -= 1
            if not self._sent_to[name]:
                del self._sent_to[name]
