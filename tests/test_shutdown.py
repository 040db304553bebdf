"""Steps of a graceful shutdown."""

import pytest

from amaranthbend.core.shutdown import ShutdownStep, make_shutdown_plan


def test_waits_for_the_balancer_when_idle() -> None:
    """Guards against connections refused because the balancer has not noticed the stop yet."""
    plan = make_shutdown_plan(6.0)
    assert not plan.may_exit(2.0, 0)
    assert plan.may_exit(2.5, 0)


def test_waits_for_requests_in_flight() -> None:
    """Guards against aborting a request that could still be answered."""
    plan = make_shutdown_plan(6.0)
    assert not plan.may_exit(5.0, 1)
    assert plan.may_exit(5.8, 1)


def test_refuses_what_could_not_be_finished() -> None:
    """Guards against accepting a request just before the process is killed."""
    plan = make_shutdown_plan(6.0)
    assert plan.find_step(2.9) is ShutdownStep.ACCEPT
    assert plan.find_step(3.1) is ShutdownStep.REFUSE
    assert plan.find_step(5.9) is ShutdownStep.ABORT


@pytest.mark.parametrize("grace_s", [6.0, 10.0, 60.0])
def test_long_grace_period_is_not_open_for_longer(grace_s: float) -> None:
    """Guards against requests that come late in the grace period and are cut off at its end."""
    assert make_shutdown_plan(grace_s).find_step(3.1) is ShutdownStep.REFUSE


@pytest.mark.parametrize("grace_s", [0.0, 0.2, 1.0, 6.0, 60.0])
def test_ends_within_the_grace_period(grace_s: float) -> None:
    """Guards against a process that is killed with requests in flight."""
    plan = make_shutdown_plan(grace_s)
    assert 0.0 <= plan.earliest_exit_s <= plan.refuse_s <= plan.abort_s <= grace_s
    assert plan.may_exit(grace_s, 100)
