"""How many requests an upstream runs best at the same time."""

import random

import pytest

from amaranthbend.core.occupancy import MIN_SAMPLES, OccupancyProfile

# Mean durations in ms by requests held, measured on the bench in a peak of eeslikoda-adopt
# (trial on a scratch copy, scale-2 with seed 589021551356): a knee above 4 of 6 slots.
KNEE = {1: 98, 2: 114, 3: 119, 4: 129, 5: 188, 6: 208, 7: 255}


def make_profile(
    means: dict[int, float], slots: int = 6, answers: int = 200, seed: int = 0
) -> OccupancyProfile:
    """Return a profile of answers whose durations vary as on the bench."""
    rng = random.Random(seed)
    profile = OccupancyProfile()
    for _ in range(answers):
        for outstanding, mean in means.items():
            tail = 7.0 if rng.random() < 0.03 else 1.0
            profile.record_response(outstanding, slots, mean * tail * rng.uniform(0.7, 1.3) / 1000)
    return profile


@pytest.mark.parametrize("seed", range(10))
def test_stops_below_the_knee(seed: int) -> None:
    """Guards against a peak in which all instances run full, slowly, and every answer is late."""
    assert make_profile(KNEE, seed=seed).find_best_concurrency(6) == 4


@pytest.mark.parametrize("slots", [2, 3, 6, 16])
@pytest.mark.parametrize("seed", range(5))
def test_uses_all_slots_without_a_knee(slots: int, seed: int) -> None:
    """Guards against refusing requests for which a slot is free."""
    profile = make_profile(dict.fromkeys(range(1, slots + 1), 140.0), slots, seed=seed)
    assert profile.find_best_concurrency(slots) == slots


def test_unknown_uses_all_slots() -> None:
    """Guards against a limit drawn from a few answers."""
    assert OccupancyProfile().find_best_concurrency(6) == 6
    assert make_profile(KNEE, answers=MIN_SAMPLES // 6).find_best_concurrency(6) == 6


@pytest.mark.parametrize("slots", [1, 2])
def test_few_slots(slots: int) -> None:
    """Guards against a limit of zero."""
    assert make_profile(KNEE, slots).find_best_concurrency(slots) >= 1
