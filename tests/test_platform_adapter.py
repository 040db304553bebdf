"""Tests of the platform adapter: settings file, stored objects and header fields."""

import copy
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.adapters.headers import ResponseHead
from amaranthbend.core.actions import LoadReport, Member, UpstreamState
from amaranthbend.core.errors import SettingsError
from amaranthbend.core.outcomes import OutcomeReason
from amaranthbend.core.policy import WeightedService
from amaranthbend.platform.dialect import PlatformDialect
from amaranthbend.platform.document_fields import parse_duration
from amaranthbend.platform.documents import decode_configuration, decode_listing
from amaranthbend.platform.settings import load_node_settings

SETTINGS = """
[self]
node = "frontend-huye-1"
zone = "huye"
future = [1, 2]
[network.listenAddresses]
frontend = "127.0.0.1:8161"
readiness = "127.0.0.1:8167"
[network.zones]
huye = "rw-south"
nyanza = "rw-south"
[platform]
heartbeat = "1500ms"
[platform.platform]
address = "127.0.0.1:8169"
[terms.bounds]
gracePeriod = "6s"
drainPeriod = "2000ms"
configApply = "2500ms"
retryBudgetRatio = 0.2
retryBudgetSlack = 56
probesPerS = 60
"""
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "limits": {"maxBodyBytes": 1000},
    "listeners": [
        {
            "host": "Shop.example",
            "rules": [
                {
                    "name": "r1",
                    "kind": "unsafe",
                    "latencyGoal": "400ms",
                    "priority": 1,
                    "match": {"pathPrefix": "/pay/"},
                    "action": {"service": "desk", "timeout": "1s", "attempts": 2},
                },
                {
                    "name": "r2",
                    "kind": "safe",
                    "match": {"pathPrefix": "/look/"},
                    "action": {
                        "trafficSplit": [
                            {"service": "desk", "weight": 90},
                            {"service": "shelf", "weight": 10},
                        ]
                    },
                },
            ],
        }
    ],
    "clusters": [{"name": "desk", "healthCheckPath": "/health", "maxConnections": 220}],
}
LISTING: dict[str, Any] = {
    "service": "desk",
    "address": "127.0.0.1:9000",
    "zone": "huye",
    "slots": 3,
    "state": "ready",
    "coldRemaining": "1500ms",
    "sequence": 4,
    "born": 1787798547120,
}
MEMBER = Member("i-1", "127.0.0.1:9000", "huye", 5)
ID = (b"X-Amaranthbend-Attempt-Id", b"abc")
SIGNATURE = (b"X-Amaranthbend-Response-Signature", b"3e1b.07")
NOT_EXECUTED = (b"X-Amaranthbend-Not-Executed", b"1")
LOAD = (b"X-Amaranthbend-Instance-Load", b"2,1,3,500")
INSTANCE = (b"X-Amaranthbend-Instance-Id", b"i-1")


def make_head(status: int, *fields: tuple[bytes, bytes]) -> ResponseHead:
    """Return a response header with the given fields."""
    return ResponseHead(status, b"", fields, 0, False, "", "")


def test_settings_are_read_and_new_fields_ignored(tmp_path: Path) -> None:
    """Guards against a start that fails because the platform has added fields to the file."""
    file = tmp_path / "settings.toml"
    file.write_text(SETTINGS)
    settings = load_node_settings(str(file))
    assert (settings.data_centre, settings.data_centres) == ("huye", 2)
    assert settings.data_centre_names == ("huye", "nyanza")
    assert settings.store_address == "127.0.0.1:8169"
    assert (settings.grace_s, settings.apply_s, settings.drain_s) == (6.0, 2.5, 2.0)
    assert (settings.retry_ratio, settings.retry_slack, settings.probes_per_s) == (0.2, 56.0, 60.0)


@pytest.mark.parametrize(
    ("old", "new", "setting"),
    [
        ('"127.0.0.1:8161"', '"127.0.0.1"', "network.listenAddresses.frontend"),
        ('node = "frontend-huye-1"', "", "self.node"),
        ('"2000ms"', '"2 minutes"', "terms.bounds.drainPeriod"),
        ("[network.zones]", "[network]\nzones = 3\n[other]", "network.zones"),
        ("0.2", '"much"', "terms.bounds.retryBudgetRatio"),
    ],
)
def test_settings_error_names_field_and_remedy(
    tmp_path: Path, old: str, new: str, setting: str
) -> None:
    """Guards against an error from which operators cannot tell the invalid field."""
    file = tmp_path / "settings.toml"
    file.write_text(SETTINGS.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load_node_settings(str(file))
    assert caught.value.setting == setting
    assert caught.value.remedy


def test_configuration_is_decoded() -> None:
    """Guards against a configuration field that is decoded into a wrong setting."""
    version, policy, faults = decode_configuration(CONFIGURATION)
    assert version == 7
    assert faults == ()
    pay, look = policy.routes
    assert (pay.host, pay.path_prefix, pay.service) == ("shop.example", "/pay/", "desk")
    assert (pay.idempotent, pay.deadline_s, pay.latency_goal_s) == (False, 1.0, 0.4)
    assert (pay.max_attempts, pay.priority, pay.max_body_bytes) == (2, -1, 1000)
    assert look.idempotent
    assert look.split == (WeightedService("desk", 90), WeightedService("shelf", 10))
    assert look.deadline_s > 10
    assert policy.services["desk"].probe_path == "/health"
    assert policy.services["desk"].connections_per_upstream == 220


def change_rule(**changes: Any) -> dict[str, Any]:
    """Return the configuration with changed fields of its first route; None removes a field."""
    configuration = copy.deepcopy(CONFIGURATION)
    rule = configuration["listeners"][0]["rules"][0]
    rule.update(changes)
    for name in [name for name, value in rule.items() if value is None]:
        del rule[name]
    return configuration


@pytest.mark.parametrize("kind", ["upload", "stream", "", 3, None, ["safe"]])
def test_requests_of_uploads_and_of_unknown_kinds_run_once_at_most(kind: Any) -> None:
    """Guards against a kind that this version does not know and that takes all routes down.

    A second run of a request that must not be repeated is worse than a failed request.
    """
    configuration = decode_configuration(change_rule(kind=kind))
    pay, look = configuration.policy.routes
    assert (pay.service, pay.idempotent) == ("desk", False)
    assert look.idempotent
    assert len(configuration.faults) == (kind != "upload")


@pytest.mark.parametrize(
    "changes",
    [
        {"name": 5},
        {"latencyGoal": 400},
        {"priority": "high"},
        {"action": {"service": "desk", "timeout": "1s", "attempts": -1}},
        {"action": {"service": "desk", "timeout": 1, "attempts": 2}},
    ],
)
def test_invalid_limit_of_a_route_gets_a_safe_default(changes: dict[str, Any]) -> None:
    """Guards against a route that is lost because of a field other than its match or target."""
    configuration = decode_configuration(change_rule(**changes))
    pay, look = configuration.policy.routes
    assert (pay.path_prefix, pay.service, pay.idempotent) == ("/pay/", "desk", False)
    assert pay.max_attempts in (1, 2)
    assert look.split
    assert len(configuration.faults) == 1


@pytest.mark.parametrize(
    "action",
    [
        "desk",
        {"service": 7},
        {},
        {"trafficSplit": [{"service": "desk", "weight": "all"}]},
        {"trafficSplit": [{"service": "desk", "weight": 0}]},
        {"trafficSplit": {"desk": 100}},
    ],
)
def test_route_with_an_unusable_target_stays_and_refuses(action: Any) -> None:
    """Guards against requests that a route with a shorter prefix sends to another service."""
    configuration = decode_configuration(change_rule(action=action))
    pay, look = configuration.policy.routes
    assert (pay.path_prefix, pay.service, pay.split) == ("/pay/", "", ())
    assert look.split
    assert configuration.faults


@pytest.mark.parametrize("match", [None, "/pay/", {"pathPrefix": 1}, {"pathPrefix": "pay"}])
def test_route_without_a_usable_prefix_is_left_out_alone(match: Any) -> None:
    """Guards against a route with an unknown match that takes the others down."""
    configuration = decode_configuration(change_rule(match=match))
    assert [route.path_prefix for route in configuration.policy.routes] == ["/look/"]
    assert len(configuration.faults) == 1


@pytest.mark.parametrize(
    ("part", "value"),
    [
        ("limits", {"maxBodyBytes": "many"}),
        ("limits", []),
        ("clusters", [*CONFIGURATION["clusters"], {"name": "shelf", "healthCheckPath": "health"}]),
        ("clusters", [{"name": "desk", "healthCheckPath": "/health", "maxConnections": 1.5}]),
        ("listeners", [*CONFIGURATION["listeners"], {"host": 4, "rules": []}]),
        ("listeners", [*CONFIGURATION["listeners"], {"host": "b.example", "rules": [3]}]),
    ],
)
def test_invalid_part_outside_the_routes_affects_nothing_else(part: str, value: Any) -> None:
    """Guards against one service, listener or limit that takes the whole configuration down."""
    configuration = decode_configuration({**CONFIGURATION, part: value})
    assert [route.path_prefix for route in configuration.policy.routes] == ["/pay/", "/look/"]
    assert list(configuration.policy.services) == ["desk"]
    assert len(configuration.faults) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "7"},
        {"listeners": "none"},
        {"clusters": None},
        {"listeners": [{"host": "a.example", "rules": [{"kind": "safe"}]}]},
    ],
)
def test_unusable_configuration_is_rejected_whole(changes: dict[str, Any]) -> None:
    """Guards against an unusable document that replaces the configuration in force."""
    with pytest.raises(ValueError, match=r".+"):
        decode_configuration({**CONFIGURATION, **changes})


def test_listing_is_decoded() -> None:
    """Guards against an instance whose restart under the same id is not detected."""
    listing = decode_listing("i-1", 9, LISTING)
    assert listing.member == Member(
        "i-1", "127.0.0.1:9000", "huye", 1787798547120, UpstreamState.SERVING
    )
    assert (listing.service, listing.slots, listing.cold_s) == ("desk", 3, 1.5)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": 3},
        {"address": "somewhere"},
        {"address": None},
        {"service": ""},
        {"slots": "3"},
        {"born": 1.5},
        {"coldRemaining": 5},
        {"zone": ["huye"]},
    ],
)
def test_invalid_listing_is_rejected(change: dict[str, Any]) -> None:
    """Guards against an invalid entry that receives traffic or stops the process."""
    with pytest.raises(ValueError, match=r".+"):
        decode_listing("i-1", 9, {**LISTING, **change})


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=10,
)


@given(JSON, st.sampled_from(sorted(LISTING)), st.sampled_from(sorted(CONFIGURATION)))
def test_any_document_is_decoded_or_rejected(value: Any, field: str, part: str) -> None:
    """Guards against a stored object that ends the watch with an unexpected exception."""
    for decode in (
        lambda: decode_listing("i-1", 9, value),
        lambda: decode_listing("i-1", 9, {**LISTING, field: value}),
        lambda: decode_configuration(value),
        lambda: decode_configuration({**CONFIGURATION, part: value}),
    ):
        try:
            decode()
        except ValueError:
            continue


@pytest.mark.parametrize(("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)])
def test_durations(text: str, seconds: float) -> None:
    """Guards against milliseconds that are parsed as seconds."""
    assert parse_duration(text) == seconds


@pytest.mark.parametrize("text", ["5", "5 s", "-1s", "1m", "", None, 3])
def test_invalid_durations_are_rejected(text: Any) -> None:
    """Guards against durations with a missing or unknown unit that are accepted."""
    with pytest.raises(ValueError, match="duration"):
        parse_duration(text)


def test_signed_success_is_forwarded() -> None:
    """Guards against a valid response that is rejected."""
    reading = PlatformDialect().parse_response(make_head(200, ID, SIGNATURE, LOAD), "abc", MEMBER)
    assert reading.fault is None
    assert not reading.is_refusal
    assert reading.report == LoadReport(2, 1, 3, UpstreamState.SERVING, 5, 5.0)


@pytest.mark.parametrize(
    ("status", "fields"),
    [
        (200, (SIGNATURE,)),
        (200, (ID,)),
        (200, (SIGNATURE, (b"X-Amaranthbend-Attempt-Id", b"other"))),
        (500, (SIGNATURE, (b"X-Amaranthbend-Attempt-Id", b"other"))),
        (503, (SIGNATURE, (b"X-Amaranthbend-Attempt-Id", b"other"), NOT_EXECUTED)),
        (200, (ID, SIGNATURE, (b"Content-Encoding", b"gzip"))),
        (503, (ID, SIGNATURE)),
        (429, (ID, SIGNATURE)),
        (408, (ID, SIGNATURE)),
    ],
)
def test_invalid_response_is_a_fault(status: int, fields: tuple[tuple[bytes, bytes], ...]) -> None:
    """Guards against forwarding another request's response or a status that wrongly means not run.

    Statuses 408, 429 and 503 assure the client that its request was not run, which the upstream
    has not stated here.
    """
    reading = PlatformDialect().parse_response(make_head(status, *fields), "abc", MEMBER)
    assert reading.fault is OutcomeReason.MALFORMED_ANSWER
    assert not reading.is_refusal


@pytest.mark.parametrize("status", [400, 429, 503])
def test_not_executed_is_a_refusal(status: int) -> None:
    """Guards against a request that fails although another upstream can run it."""
    reading = PlatformDialect().parse_response(make_head(status, ID, NOT_EXECUTED), "abc", MEMBER)
    assert reading.is_refusal
    assert not reading.is_draining


def test_misdirected_request_is_a_refusal_by_a_draining_upstream() -> None:
    """Guards against further requests to an address that another service has taken over."""
    reading = PlatformDialect().parse_response(make_head(421, INSTANCE), "abc", MEMBER)
    assert reading.is_refusal
    assert reading.is_draining


@pytest.mark.parametrize(
    ("status", "fields", "is_report"),
    [
        (200, (INSTANCE, LOAD), True),
        (503, (INSTANCE, LOAD), False),
        (200, (LOAD,), False),
        (200, ((b"X-Amaranthbend-Instance-Id", b"i-2"), LOAD), False),
        (200, (INSTANCE, LOAD, ID), False),
        (200, (INSTANCE, (b"X-Amaranthbend-Instance-Load", b"x,1,3")), False),
        (200, (INSTANCE, (b"X-Amaranthbend-Instance-Load", b"0,1,0")), False),
    ],
)
def test_probe_response_is_validated(
    status: int, fields: tuple[tuple[bytes, bytes], ...], is_report: bool
) -> None:
    """Guards against a load report from another instance or from a late response to a request."""
    report = PlatformDialect().parse_probe_response(make_head(status, *fields), MEMBER)
    assert (report is not None) is is_report


@pytest.mark.parametrize(
    ("text", "cold_s"),
    [
        (b"1200", 1.2),
        (b"0", 0.0),
        (b"9000000", 60.0),
        (b"1200ms", None),
        (b"3s", None),
        (b"-1", None),
        (b"9" * 100, None),
        (b"", None),
        (b"\xff", None),
    ],
)
def test_health_response_states_coldness(text: bytes, cold_s: float | None) -> None:
    """Guards against an instance that counts as warm, or as cold forever, by a misread field."""
    field = (b"X-Amaranthbend-Cold-Remaining", text)
    report = PlatformDialect().parse_probe_response(make_head(200, INSTANCE, LOAD, field), MEMBER)
    assert report is not None
    assert report.cold_s == cold_s


def test_health_response_without_a_statement_is_that_of_a_warm_instance() -> None:
    """Guards against instances that are held back for seconds after an evacuation."""
    report = PlatformDialect().parse_probe_response(make_head(200, INSTANCE, LOAD), MEMBER)
    assert report is not None
    assert report.cold_s == 0.0


def test_response_to_a_request_says_nothing_of_coldness() -> None:
    """Guards against a cold instance that counts as warm after the response to a request."""
    reading = PlatformDialect().parse_response(make_head(200, ID, SIGNATURE, LOAD), "abc", MEMBER)
    assert reading.report is not None
    assert reading.report.cold_s is None


def test_retry_after_has_fractions() -> None:
    """Guards against delays that are rounded up to whole seconds."""
    assert PlatformDialect().format_retry_after(0.15) == "0.150"


def test_report_of_a_cold_instance_keeps_it_cold() -> None:
    """Guards against full load on a cold instance after its first load report."""
    cold = MEMBER._replace(state=UpstreamState.COLD)
    report = PlatformDialect().parse_probe_response(make_head(200, INSTANCE, LOAD), cold)
    assert report is not None
    assert report.state is UpstreamState.COLD
