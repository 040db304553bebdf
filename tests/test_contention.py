"""Who is served while a service has too little room, in the model of deployment N."""

import pytest

from benchmarks.contention import KINDS, ContentionSettings, run_contention_model

# Bounds of docs/design/README.md: what callers count as a fault.
MAX_SERVED_GAP = 0.05
MAX_VALUE_GAP = 0.15


@pytest.mark.parametrize("service", ["front", "back"])
@pytest.mark.parametrize("burst_kind", [0, 1])
def test_less_urgent_kind_is_not_served_more_often(service: str, burst_kind: int) -> None:
    """Guards against refusing a kind while a less urgent one of its service is served.

    Load: one of two kinds comes 2.6 times as often for five seconds, at 39 hosts.
    """
    settings = ContentionSettings(
        service, True, burst_kind, load=0.9, hosts=39, upstreams=30, length_s=8.5
    )
    results = run_contention_model(settings)
    urgent, other = (results[kind.name] for kind in KINDS[service])
    served = [1.0 - result.unserved / result.requests for result in (urgent, other)]
    assert served[0] > served[1] - MAX_SERVED_GAP
    assert urgent.value > other.value - MAX_VALUE_GAP


def test_waiting_serves_more_requests() -> None:
    """Guards against refusals for good of requests for which there would be room soon.

    Load: `rate-check` comes 2.6 times as often for five seconds. Sums of two runs, as a run of this
    size has some tens of such requests.
    """
    unserved = {False: 0, True: 0}
    for seed in (0, 1):
        for is_on in unserved:
            settings = ContentionSettings(
                "front", is_on, load=0.9, hosts=39, upstreams=30, length_s=8.5, seed=seed
            )
            results = run_contention_model(settings)
            unserved[is_on] += sum(results[kind.name].unserved for kind in KINDS["front"])
    assert unserved[True] < unserved[False]


def test_burst_of_one_team_does_not_starve_the_others() -> None:
    """Guards against small teams that are refused for the burst of a large one.

    Load: one team sends nine tenths of a burst of 2.6 times the usual rate. All callers together
    are served less often than those of the small teams.
    """
    settings = ContentionSettings(
        load=0.9, hosts=39, upstreams=30, length_s=8.5, large_team_share=0.9
    )
    results = run_contention_model(settings)
    for kind in KINDS["front"]:
        every, small = results[kind.name], results[f"{kind.name} small"]
        assert small.unserved / small.requests <= every.unserved / every.requests
