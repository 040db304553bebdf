from amaranthbend.core.outcomes import Outcome, OutcomeReason


def test_outcomes_are_exactly_three() -> None:
    """Guards against a fourth outcome that callers do not know."""
    assert {outcome.value for outcome in Outcome} == {"answered", "not-run", "unknown"}


def test_reasons_are_usable_as_counter_names() -> None:
    """Guards against a reason that statsd would reject or split."""
    for reason in OutcomeReason:
        assert reason.value.replace("_", "").isalpha()
