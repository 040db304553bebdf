"""Tests of the estimate of the best concurrency of an upstream."""

import random

import pytest

from amaranthbend.core.occupancy import MIN_SAMPLES, OccupancyProfile

# Mean response times in ms by the number of requests at an instance with 6 slots: they rise
# steeply above 4 requests. Measured in a benchmark peak of eeslikoda-adopt (trial on a scratch
# copy, scale-2 with seed 589021551356).
DURATIONS_MS = {1: 98, 2: 114, 3: 119, 4: 129, 5: 188, 6: 208, 7: 255}


def make_profile(
    means_ms: dict[int, float], slots: int = 6, responses: int = 200, seed: int = 0
) -> OccupancyProfile:
    """Return a profile of responses whose durations vary as in the benchmark."""
    rng = random.Random(seed)
    profile = OccupancyProfile()
    for _ in range(responses):
        for outstanding, mean_ms in means_ms.items():
            tail = 7.0 if rng.random() < 0.03 else 1.0
            profile.record_response(
                outstanding, slots, mean_ms * tail * rng.uniform(0.7, 1.3) / 1000
            )
    return profile


@pytest.mark.parametrize("seed", range(10))
def test_limits_concurrency_where_durations_rise(seed: int) -> None:
    """Guards against a peak in which all instances run full and slow, and responses are late."""
    assert make_profile(DURATIONS_MS, seed=seed).find_best_concurrency(6) == 4


@pytest.mark.parametrize("slots", [2, 3, 6, 16])
@pytest.mark.parametrize("seed", range(5))
def test_uses_all_slots_if_durations_are_constant(slots: int, seed: int) -> None:
    """Guards against refusing requests for which a slot is free."""
    profile = make_profile(dict.fromkeys(range(1, slots + 1), 140.0), slots, seed=seed)
    assert profile.find_best_concurrency(slots) == slots


def test_uses_all_slots_while_unknown() -> None:
    """Guards against a limit estimated from a few responses."""
    assert OccupancyProfile().find_best_concurrency(6) == 6
    assert make_profile(DURATIONS_MS, responses=MIN_SAMPLES // 6).find_best_concurrency(6) == 6


@pytest.mark.parametrize("slots", [1, 2])
def test_few_slots(slots: int) -> None:
    """Guards against a limit of zero."""
    assert make_profile(DURATIONS_MS, slots).find_best_concurrency(slots) >= 1
