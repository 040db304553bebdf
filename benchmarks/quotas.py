"""Model of quotas over all hosts, in virtual time.

Compares ways to keep a team within its quota, beside an exact global bucket that sees the same
requests. `python -m benchmarks.quotas` prints the figures of all cases at 139 hosts;
`--hosts 3813 --schemes collectors` those of one scheme at another size.
"""

from collections.abc import Callable

import fire

from .quota_model import Case, QuotaFigures, QuotaModel, Scheme
from .quota_schemes import Collectors, FlatSums, OwnerShares, PlainSums, StaticShares

__all__ = ["CASES", "SCHEMES", "run_case"]

CASES = (
    Case("calm", factor=1.0),
    Case("burst 4.1x", factor=4.1),
    Case("burst 7.5x, 5 s", burst_s=5.0),
    Case("burst 7.5x, 7 s"),
    Case("calm, cut off", factor=1.0, cut_at_s=0.0),
    Case("cut off before", cut_at_s=-2.0),
    Case("cut off at start", cut_at_s=0.0),
    Case("cut off in burst", cut_at_s=1.5),
    Case("cut off as a group", cut_at_s=0.0, is_cut_whole=True),
    Case("restart in burst", restart_at_s=0.8),
    Case("restart before", restart_at_s=-1.6),
    Case("calm, restart", factor=1.0, restart_at_s=0.0),
    Case("collectors freeze", freeze_at_s=0.5),
    Case("collectors end", kill_at_s=0.5),
    Case("two views", is_view_split=True),
    Case("hosts are added", grow_at_s=-1.0),
)


SCHEMES: dict[str, Callable[[QuotaModel], Scheme]] = {
    "equal shares": StaticShares,
    "owner": OwnerShares,
    "all to all": FlatSums,
    "summing hosts": PlainSums,
    "collectors": Collectors,
}


def run_case(
    scheme_name: str, case: Case, hosts: int, rates: tuple[float, ...], seed: int
) -> QuotaFigures:
    """Return the figures of one scheme in one case."""
    model = QuotaModel(case, hosts, rates, seed)
    scheme = SCHEMES[scheme_name](model)
    if isinstance(scheme, Collectors):
        first = scheme.list_first()
    else:
        first = list({host.data_centre: host for host in reversed(model.hosts)}.values())
    model.run(scheme, first)
    return model.get_figures()


def main(
    hosts: int = 139,
    seeds: int = 3,
    schemes: str = "",
    cases: str = "",
    rates: str = "2,4,8,16,32,80,160",
) -> None:
    """Print the figures of the cases as a Markdown table, each the worst of the seeds.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    seeds : int
        Number of seeds, from 0.
    schemes, cases : str
        Names, separated by semicolons; empty for all.
    rates : str
        Rates of the quotas, separated by commas.
    """
    parsed = rates if isinstance(rates, tuple) else str(rates).split(",")
    chosen_rates = tuple(float(rate) for rate in parsed)
    print("| case | scheme | peak | refused (exact) | refused below (exact) | messages |")
    print("|---|---|---|---|---|---|")
    for case in CASES:
        if cases and case.name not in cases.split(";"):
            continue
        for name in schemes.split(";") if schemes else SCHEMES:
            runs = [run_case(name, case, hosts, chosen_rates, seed) for seed in range(seeds)]
            peak = max(run.peak for run in runs)
            refused = sum(run.refused for run in runs)
            exactly = sum(run.refused_exactly for run in runs)
            below = max(run.refused_below for run in runs)
            below_exactly = max(run.refused_below_exactly for run in runs)
            messages = max(run.messages for run in runs)
            print(
                f"| {case.name} | {name} | {peak:.2f} | {refused} ({exactly}) "
                f"| {below:.4f} ({below_exactly:.4f}) | {messages:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    fire.Fire(main)
