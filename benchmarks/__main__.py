"""Runs the policy benchmarks: `python -m benchmarks [--seeds 10] [--seconds 5] [--workers 4]`."""

import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

import fire

from .cases import CASES, DEPLOYMENTS, Deployment, Figures, Verdict, combine_verdicts, run_case

OUTPUT = Path("build/bench")
Job = tuple[str, Deployment, int, float]
Outcome = tuple[Job, dict[str, Figures], list[Verdict]]
COLUMNS = (
    "queueing_p50",
    "queueing_p99",
    "queueing_p999",
    "response_p50",
    "response_p99",
    "response_p999",
    "refused",
    "probes_per_request",
    "probe_bytes_per_request",
)


def _run_job(job: Job) -> Outcome:
    table, verdicts = run_case(*job)
    return job, table, verdicts


def _describe_spread(values: list[float]) -> str:
    """Return mean, least and greatest value."""
    return f"{mean(values):.2f} ({min(values):.2f}-{max(values):.2f})"


def _format_tables(outcomes: list[Outcome]) -> str:
    """Return the figures of all seeds as Markdown tables; times in ms, mean (least-greatest)."""
    lines: list[str] = []
    for case, deployment in itertools.product(CASES, DEPLOYMENTS):
        tables = [table for job, table, _ in outcomes if job[:2] == (case, deployment)]
        if not tables:
            continue
        lines += ["", f"## {case}, {deployment.name} ({deployment.slots} slots)", ""]
        lines.append("| run | " + " | ".join(COLUMNS) + " |")
        lines.append("|---" * (len(COLUMNS) + 1) + "|")
        for row in tables[0]:
            cells = [
                _describe_spread([float(getattr(table[row], column)) for table in tables])
                for column in COLUMNS
            ]
            lines.append(f"| {row} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _format_verdicts(verdicts: list[Verdict]) -> str:
    """Return the bounds as a Markdown table with the spread over seeds."""
    lines = ["| case | deployment | bound | measured | limit | met |", "|---|---|---|---|---|---|"]
    for combined in combine_verdicts(verdicts):
        key = (combined.case, combined.deployment, combined.bound)
        values = [v.measured for v in verdicts if (v.case, v.deployment, v.bound) == key]
        sign = "<=" if combined.is_upper else ">="
        met = "yes" if combined.is_met else "MISSED"
        spread = _describe_spread(values)
        limit = f"{sign} {combined.limit:.2f}"
        lines.append(f"| {' | '.join(key)} | {spread} | {limit} | {met} |")
    return "\n".join(lines)


def _plot(outcomes: list[Outcome], path: Path) -> None:
    """Draw the p99 of queueing delay and response time at 80% load."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(2, len(DEPLOYMENTS), figsize=(12, 8))
    for column, deployment in enumerate(DEPLOYMENTS):
        tables = [table for job, table, _ in outcomes if job[:2] == ("80% load", deployment)]
        if not tables:
            continue
        for row, field in enumerate(("queueing_p99", "response_p99")):
            names = list(tables[0])
            axes[row][column].boxplot(
                [[getattr(table[name], field) for table in tables] for name in names]
            )
            axes[row][column].set_xticklabels(names, rotation=20, fontsize=7)
            axes[row][column].set_title(f"{deployment.name}: {field} (ms), 80% load")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def main(seeds: int = 10, seconds: float = 5.0, workers: int = 4, cases: str = "") -> None:
    """Run the cases for all seeds, write tables and a plot, and exit 1 if a bound is missed.

    Parameters
    ----------
    seeds : int
        Number of seeds, from 0.
    seconds : float
        Virtual duration of a run.
    workers : int
        Processes.
    cases : str
        Names of the cases, separated by semicolons; empty for all.
    """
    chosen = cases.split(";") if cases else list(CASES)
    jobs = [
        (case, deployment, seed, float(seconds))
        for case, deployment, seed in itertools.product(chosen, DEPLOYMENTS, range(seeds))
    ]
    with ProcessPoolExecutor(workers) as executor:
        outcomes = list(executor.map(_run_job, jobs))
    verdicts = [verdict for _, _, each in outcomes for verdict in each]
    summary = _format_verdicts(verdicts)
    text = f"# Policy benchmarks, {seeds} seeds of {seconds} s\n\n{summary}\n"
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / "policy.md").write_text(text + _format_tables(outcomes) + "\n")
    _plot(outcomes, OUTPUT / "policy.png")
    print(summary)
    missed = [verdict for verdict in combine_verdicts(verdicts) if not verdict.is_met]
    if missed:
        print(f"{len(missed)} bounds missed; see {OUTPUT / 'policy.md'}")
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(main)
