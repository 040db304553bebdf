"""Model of a deployment whose upstreams are cold for 3 s, on the model of `benchmarks.fleet`.

`python -m benchmarks.cold` prints for each case, without and with the limit for cold upstreams: the
share of requests that are refused while upstreams are cold, the most requests of any second at a
cold one, the bound, and the mean of requests a second at cold ones.
"""

from collections import defaultdict
from typing import NamedTuple

import fire

from amaranthbend.core.actions import Action, LoadReport, Refuse, UpstreamState
from amaranthbend.core.cold_limits import COLD_TIME_FACTOR, ColdLimits
from amaranthbend.core.probing_dispatcher import ProbingDispatcher

from .fleet import AttemptKey, FleetModel, FleetSettings, ModelUpstream

__all__ = ["ColdCase", "ColdResult", "run_cold_case"]

OVERSHOOT = 1.5
SLACK = 8.0
# Time until the upstreams become cold, in which the hosts learn how long requests take.
WARM_S = 12.0
COLD_S = 3.0


class ColdCase(NamedTuple):
    """A case of the benchmark.

    Parameters
    ----------
    name : str
        Short description.
    settings : FleetSettings
        Size and load of the deployment.
    rate : float
        Requests per second that a cold upstream tolerates.
    cold : str
        Which upstreams become cold: "all", "one", or "centre" for those of one data centre.
    """

    name: str
    settings: FleetSettings
    rate: float
    cold: str


class ColdResult(NamedTuple):
    """Figures of one run while upstreams are cold."""

    refused_share: float
    most_in_a_second: int
    mean_per_s: float


LARGE = FleetSettings(hosts=139, upstreams=88, data_centres=4, slots=3, work_s=0.25)
WIDE = FleetSettings(hosts=130, upstreams=114, data_centres=3, slots=4, work_s=0.2)
NARROW = FleetSettings(hosts=130, upstreams=5, data_centres=3, slots=4, work_s=0.2)
SMALL = FleetSettings(hosts=12, upstreams=8, data_centres=3, slots=3, work_s=0.25)
CASES = (
    ColdCase("139 hosts, 88 upstreams, all", LARGE._replace(load=0.41), 3.3, "all"),
    ColdCase("the same, one data centre", LARGE._replace(load=0.41), 3.3, "centre"),
    ColdCase("the same, one upstream", LARGE._replace(load=0.41), 3.3, "one"),
    ColdCase("the same, all, peak", LARGE._replace(load=1.2), 3.3, "all"),
    ColdCase("the same, one data centre, peak", LARGE._replace(load=1.2), 3.3, "centre"),
    ColdCase("130 hosts, 114 upstreams, all", WIDE._replace(load=0.3), 5.8, "all"),
    ColdCase("the same, peak", WIDE._replace(load=0.9), 5.8, "all"),
    ColdCase("130 hosts, 5 upstreams, all", NARROW._replace(load=0.25), 5.8, "all"),
    ColdCase("the same, twice the load", NARROW._replace(load=0.5), 5.8, "all"),
    ColdCase("the same, peak", NARROW._replace(load=2.0), 5.8, "all"),
    ColdCase("the same, peak, one upstream", NARROW._replace(load=2.0), 5.8, "one"),
    ColdCase("12 hosts, 8 upstreams, all", SMALL._replace(load=0.4), 3.3, "all"),
    ColdCase("the same, peak", SMALL._replace(load=1.2), 3.3, "all"),
)


class _ColdModel(FleetModel):
    def __init__(self, case: ColdCase, *, is_limited: bool, seed: int) -> None:
        self._case = case
        self._is_limited = is_limited
        self._refused_at: list[float] = []
        self._arrived_at: dict[str, list[float]] = defaultdict(list)
        super().__init__(case.settings._replace(length_s=WARM_S + COLD_S, seed=seed))

    def _make_dispatcher(self, number: int) -> ProbingDispatcher:
        dispatcher = super()._make_dispatcher(number)
        count, centres = self._case.settings.hosts, self._case.settings.data_centres
        limits = ColdLimits(f"host-{number}", f"dc{number % centres}", -COLD_S)
        limits.set_bound(OVERSHOOT, SLACK)
        limits.set_hosts((f"host-{n}" for n in range(number % centres, count, centres)), -COLD_S)
        dispatcher.set_cold_limits(limits)
        rate = self._case.rate if self._is_limited else 0.0
        dispatcher.set_policy(dispatcher.policy._replace(cold_rate_per_s=rate), 1, 0.0)
        return dispatcher

    def _get_cold_s(self, name: str) -> float:
        """Return for how long an upstream stays cold, in seconds."""
        number, centres = int(name[1:]), self._case.settings.data_centres
        is_affected = {"all": True, "one": number == 0, "centre": number % centres == 0}
        if self._now < WARM_S or not is_affected[self._case.cold]:
            return 0.0
        return max(0.0, WARM_S + COLD_S - self._now)

    def _get_slowdown(self, upstream: ModelUpstream, time: float) -> float:
        slowdown = super()._get_slowdown(upstream, time)
        return slowdown * COLD_TIME_FACTOR if self._get_cold_s(upstream.name) else slowdown

    def _answer_probe(self, host: int, name: str) -> None:
        upstream = self._upstreams[name]
        report = LoadReport(
            len(upstream.running),
            len(upstream.waiting),
            self._settings.slots,
            UpstreamState.SERVING,
            1,
            # The report is that of the machine, which is not slower for a cold upstream.
            super()._get_slowdown(upstream, self._now),
            self._get_cold_s(name),
        )
        self._apply(host, self._hosts[host].report(name, report, self._now))

    def _arrive(self, key: AttemptKey) -> None:
        upstream = self._upstream_of.get(key)
        if upstream is not None and self._get_cold_s(upstream.name):
            self._arrived_at[upstream.name].append(self._now)
        super()._arrive(key)

    def _apply(self, host: int, actions: list[Action]) -> None:
        self._refused_at += [self._now for action in actions if isinstance(action, Refuse)]
        super()._apply(host, actions)

    def summarize(self) -> ColdResult:
        """Run the model, and return its figures."""
        self.run()
        submitted = sum(at >= WARM_S for at in self._submitted_at.values())
        refused = sum(at >= WARM_S for at in self._refused_at)
        most = 0
        for times in self._arrived_at.values():
            most = max(most, *(sum(t <= at <= t + 1.0 for at in times) for t in times))
        cold = {"all": len(self._upstreams), "one": 1}.get(
            self._case.cold, len(self._upstreams) / self._case.settings.data_centres
        )
        arrivals = sum(map(len, self._arrived_at.values()))
        return ColdResult(refused / max(1, submitted), most, arrivals / cold / COLD_S)


def run_cold_case(case: ColdCase, *, is_limited: bool, seed: int) -> ColdResult:
    """Run one case of the model.

    Parameters
    ----------
    case : ColdCase
        The case.
    is_limited : bool
        Whether the limit for cold upstreams is in force.
    seed : int
        Seed of all random draws.
    """
    return _ColdModel(case, is_limited=is_limited, seed=seed).summarize()


def print_cases(seeds: int = 2) -> None:
    """Print the figures of all cases.

    Parameters
    ----------
    seeds : int
        Runs of each case; the figures are the worst of them.
    """
    for case in CASES:
        bound = case.rate * OVERSHOOT + SLACK
        for is_limited in (False, True):
            results = [
                run_cold_case(case, is_limited=is_limited, seed=seed) for seed in range(seeds)
            ]
            refused, most, mean = (max(values) for values in zip(*results, strict=True))
            limit = "limit" if is_limited else "none "
            print(f"{case.name:34} {limit} {refused:.3f} {most:3} of {bound:.1f} {mean:.2f}")


if __name__ == "__main__":
    fire.Fire(print_cases)
