"""The bound on team quotas in the model of `benchmarks/quotas.py`, at a small size."""

import pytest

from benchmarks.quotas import CASES, Case, run_case

HOSTS = 30
RATES = (2.0, 8.0, 32.0)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_bound_holds(case: Case) -> None:
    """Guards against a change of a decision by which hosts together exceed a team's quota."""
    assert run_case("collectors", case, HOSTS, RATES, 0).peak <= 1.0


def test_teams_below_their_limit_are_admitted_in_calm() -> None:
    """Guards against refusals in calm beyond those of an exact bucket of the quota."""
    figures = run_case("collectors", CASES[0], HOSTS, RATES, 0)
    assert figures.refused_below <= figures.refused_below_exactly


def test_alternative_breaks_the_bound() -> None:
    """Guards against a model in which everything holds the bound."""
    case = next(case for case in CASES if case.name == "cut off at start")
    assert run_case("summing hosts", case, HOSTS, RATES, 0).peak > 1.0
