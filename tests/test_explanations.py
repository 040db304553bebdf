"""Decisions of explanations, without a network."""

import copy
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from amaranthbend.core.actions import Exclusion, LoadReport, Member, UpstreamState
from amaranthbend.core.cold_limits import ColdLimits
from amaranthbend.core.deferrals import Rank
from amaranthbend.core.explanation_document import make_explanation
from amaranthbend.core.explanations import (
    ConfigurationAge,
    ExplainedRequest,
    ExplainedService,
    Outlook,
    UpstreamAssessment,
    assess_upstreams,
    find_outlook,
    find_refusal,
    find_unknown_key_refusal,
    list_service_shares,
    parse_header,
)
from amaranthbend.core.outcomes import OutcomeReason
from amaranthbend.core.policy import RoutePolicy, TeamPolicy, WeightedService
from amaranthbend.core.probe_rounds import ProbeRound
from amaranthbend.core.quota_credit import QuotaPreview, QuotaRule
from amaranthbend.core.quotas import QuotaLedger
from amaranthbend.core.routing import Router

NOW = 50.0
ROUTE = RoutePolicy("r", "/", (), "desk", priority=-1, latency_goal_s=0.3)
TEAM = TeamPolicy("north", priority=-2, rate_per_s=4.0, burst=8.0)
QUOTA = QuotaPreview(3.0, 1.0, 0.0)


def make_upstream(exclusion: Exclusion | None) -> UpstreamAssessment:
    """Return an upstream without a report."""
    return UpstreamAssessment(Member("u", "u", "dc", 1), exclusion, None, 0.1, None, 0.0, 0)


USABLE = ExplainedService("desk", 1.0, (make_upstream(None),))
ABSENT = ExplainedService("desk", 1.0, (make_upstream(Exclusion.EVACUATED),))


def make_request(**changes: object) -> ExplainedRequest:
    """Return a request that would be sent, with some facts replaced."""
    request = ExplainedRequest(
        host="host-1",
        data_centre="dc",
        unready="",
        route=ROUTE,
        needs_key=True,
        team=TEAM,
        is_idempotent=True,
        timeout_s=2.0,
        fault=None,
        quota=QUOTA,
        configuration=ConfigurationAge(7, 0.1, 2.5),
        is_stopping=False,
        services=(USABLE,),
    )
    return request._replace(**changes)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, None),
        ({"is_stopping": True, "team": None}, OutcomeReason.SHUTTING_DOWN),
        ({"team": None, "fault": OutcomeReason.BAD_DEADLINE}, OutcomeReason.UNKNOWN_KEY),
        ({"team": None, "needs_key": False, "quota": None}, None),
        (
            {"fault": OutcomeReason.BAD_DEADLINE, "quota": QUOTA._replace(chance=0.0)},
            OutcomeReason.BAD_DEADLINE,
        ),
        (
            {"quota": QUOTA._replace(chance=0.0), "services": (ABSENT,)},
            OutcomeReason.QUOTA_EXCEEDED,
        ),
        ({"quota": QUOTA._replace(chance=0.2)}, None),
        ({"services": (ABSENT,)}, OutcomeReason.NO_UPSTREAM),
        ({"services": ()}, OutcomeReason.NO_UPSTREAM),
        ({"services": (ABSENT, USABLE)}, None),
    ],
)
def test_refusal(changes: dict[str, object], reason: OutcomeReason | None) -> None:
    """Guards against another refusal than the first one that the filters find."""
    assert find_refusal(make_request(**changes)) is reason


def test_outdated_configuration_changes_what_unknown_keys_get() -> None:
    """Guards against an answer that hides that a host may have missed a new key."""
    fresh, outdated = ConfigurationAge(1, 2.4, 2.5), ConfigurationAge(1, 2.6, 2.5)
    assert not fresh.is_outdated
    assert find_unknown_key_refusal(fresh) is OutcomeReason.UNKNOWN_KEY
    assert outdated.is_outdated
    assert find_unknown_key_refusal(outdated) is OutcomeReason.OUTDATED_CONFIGURATION
    explanation = make_explanation(
        make_request(configuration=ConfigurationAge(1, float("inf"), 2.5))
    )
    assert explanation["configuration"]["age_ms"] is None


@pytest.mark.parametrize(
    ("exclusions", "outlook"),
    [
        ([Exclusion.FULL, None], Outlook.SENT),
        ([Exclusion.FULL, Exclusion.COLD], Outlook.LAST_CHOICES),
        ([Exclusion.SLOW_START, Exclusion.LEAVING], Outlook.HELD_BACK),
        ([Exclusion.LEAVING, Exclusion.EVACUATED], Outlook.NO_UPSTREAM),
        ([], Outlook.NO_UPSTREAM),
    ],
)
def test_outlook(exclusions: list[Exclusion | None], outlook: Outlook) -> None:
    """Guards against a service that is shown as available, or as lost, when it is not."""
    assert find_outlook([make_upstream(exclusion) for exclusion in exclusions]) is outlook


@pytest.mark.parametrize("is_deferrable", [False, True])
def test_rank_and_deferral_are_shown(is_deferrable: bool) -> None:
    """Guards against an answer that hides why a request is refused while others are sent."""
    service = USABLE._replace(is_deferrable=is_deferrable)
    explanation = make_explanation(make_request(services=(service, USABLE)))
    assert explanation["rank"] == Rank(-2, -1).describe() == "t-2r-1"
    assert [part["is_deferrable"] for part in explanation["services"]] == [is_deferrable, False]
    assert make_explanation(make_request(team=None))["rank"] == Rank(0, -1).describe()


def test_shares_of_a_split_route() -> None:
    """Guards against an answer that shows one service of a traffic split only."""
    assert list_service_shares(ROUTE) == [("desk", 1.0)]
    split = (WeightedService("a", 3.0), WeightedService("b", 1.0))
    assert list_service_shares(ROUTE._replace(split=split)) == [("a", 0.75), ("b", 0.25)]


@given(st.lists(st.tuples(st.integers(0, 8), st.floats(1.0, 1.9)), min_size=1, max_size=6))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_first_place_is_the_choice_of_a_probe_round(states: list[tuple[int, float]]) -> None:
    """Guards against an order by anything else than what the dispatcher compares."""
    router = Router("near", 12, 1)
    loads = []
    for number, (running, slowdown) in enumerate(states):
        load = router.make_load(Member(f"u{number}", "", ["near", "far"][number % 2], 1))
        load.record_report(
            LoadReport(running, 0, 12, UpstreamState.SERVING, 1, slowdown), 0, NOW - 0.001
        )
        loads.append(load)
    ordered = assess_upstreams(loads, 12, 0.3, NOW)
    assert [upstream.place for upstream in ordered] == list(range(1, len(loads) + 1))
    chosen = ProbeRound(1, loads, frozenset(), 1, False, NOW).choose(12, 0.3, NOW)
    assert chosen is not None
    expected = {upstream.member.upstream: upstream.completion_s for upstream in ordered}
    assert ordered[0].completion_s == expected[chosen.member.upstream]


def test_last_choices_come_after_the_others_and_excluded_ones_have_no_place() -> None:
    """Guards against a full upstream in front, and a place for one that gets nothing."""
    router = Router("near", 3, 1)
    loads = [router.make_load(Member(f"u{number}", "", "near", 1)) for number in range(3)]
    loads[0].set_absence(Exclusion.LEAVING)
    loads[1].paused_until = NOW + 1.0
    places = {
        upstream.member.upstream: (upstream.place, upstream.exclusion)
        for upstream in assess_upstreams(loads, 3, 0.3, NOW)
    }
    assert places == {
        "u2": (1, None),
        "u1": (2, Exclusion.PAUSED),
        "u0": (None, Exclusion.LEAVING),
    }


def test_looking_at_a_cold_upstream_leaves_its_credit_as_it_is() -> None:
    """Guards against an explanation that writes the bucket of a cold upstream."""
    limits = ColdLimits("host", "near", NOW - 60.0)
    limits.set_hosts(["host"], 0.0)
    router = Router("near", 3, 1)
    router.limit_cold(limits, "desk", 4.0)
    load = router.make_load(Member("u0", "", "near", 1))
    assert load.cold_gate is not None
    load.cold_gate.record_statement(9.0, NOW)
    while load.cold_gate.allows_attempt(NOW):
        load.cold_gate.record_send(NOW)
    (bucket,) = limits._buckets.values()
    before = (bucket.tokens, bucket.updated_at)
    reasons = []
    for later_s in (0.0, 0.01, 5.0):
        (upstream,) = assess_upstreams([load], 3, 0.3, NOW + later_s)
        reasons.append(upstream.exclusion)
    assert reasons == [Exclusion.COLD, Exclusion.COLD, None]
    assert (bucket.tokens, bucket.updated_at) == before


@given(st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(0, 4)), max_size=30), st.integers(0, 9))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_preview_of_a_quota_is_what_a_request_meets(
    steps: list[tuple[float, int]], seed: int
) -> None:
    """Guards against a preview that spends credit, or that differs from the decision after it."""
    rules = {1: QuotaRule(3.0, 6.0)}
    ledger = QuotaLedger(1, 1, 0.0, random.Random(seed))
    ledger.set_rules(rules, 0.0)
    now = 0.0
    for pause_s, requests in steps:
        now += pause_s
        for _ in range(requests):
            untouched = copy.deepcopy(ledger)
            preview = ledger.preview(1, now)
            assert preview is not None
            admission = ledger.admit(1, now)
            assert admission == untouched.admit(1, now)
            if preview.chance >= 1.0:
                assert admission.is_admitted
            if preview.chance <= 0.0:
                assert not admission.is_admitted
    assert ledger.preview(2, now) is None


@pytest.mark.parametrize(
    ("text", "parsed"),
    [
        ("Host:shop.example", ("Host", "shop.example")),
        ("X-Mode: a:b ", ("X-Mode", "a:b")),
        ("X-Empty:", ("X-Empty", "")),
    ],
)
def test_header_field(text: str, parsed: tuple[str, str]) -> None:
    """Guards against a value that is cut at its own colon."""
    assert parse_header(text) == Ok(parsed)


@pytest.mark.parametrize(
    "text", ["secret-key", ":secret-key", "a b:secret-key", "X:secret-key\r\nY:1"]
)
def test_malformed_header_field(text: str) -> None:
    """Guards against a field that breaks the head, and against its value in an error."""
    parsed = parse_header(text)
    assert isinstance(parsed, Err)
    assert "secret-key" not in str(parsed.err_value)


@pytest.mark.parametrize("name", ["Authorization", "authorization", "Cookie"])
def test_field_with_a_key_is_rejected(name: str) -> None:
    """Guards against keys in the question, and thus in lists of processes and in answers."""
    parsed = parse_header(f"{name}: Bearer secret-key")
    assert isinstance(parsed, Err)
    assert "--team" in str(parsed.err_value)
    assert "secret-key" not in str(parsed.err_value)
