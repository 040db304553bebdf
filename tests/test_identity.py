"""Callers are identified by the keys of their teams, and upstreams get the team's name only."""

import asyncio
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.core.identity import KeyRing, KeyVerdict, compute_key_digest, decide_key
from amaranthbend.core.policy import TeamPolicy
from amaranthbend.filters.identity import parse_bearer_key
from amaranthbend.platform.documents import decode_configuration
from amaranthbend.programs.node_process import NodeProcess
from standins.node_caller import Answer, make_call, make_configuration, read_answer
from standins.processes import pick_endpoint

from .node_cases import ADDRESS, NodeCase, run_node, serve, wait_until

NORTH_KEY = "north-key-1"
SOUTH_KEY = "south-key-1"
KEY_FIELD = "Authorization"
TEAM_FIELD = "X-Amaranthbend-Tenant"


def make_teams(*teams: tuple[str, list[str]], version: int = 2, public: bool = False) -> Any:
    """Return a configuration with teams; its unsafe route is public if asked for."""
    configuration = make_configuration(version)
    configuration["tenants"] = [{"name": name, "apiKeys": keys} for name, keys in teams]
    configuration["listeners"][0]["rules"][1]["public"] = public
    return configuration


def make_keyed_call(
    path: str, fields: dict[str, str], method: str = "GET", request_id: str = "r"
) -> bytes:
    """Return the bytes of a request with further header fields."""
    head, _, body = make_call(path, method, request_id, 1500).partition(b"\r\n\r\n")
    lines = "".join(f"\r\n{name}: {value}" for name, value in fields.items())
    return head + lines.encode() + b"\r\n\r\n" + body


async def call_with_key(
    case: NodeCase, fields: dict[str, str], path: str = "/safe/x", method: str = "GET"
) -> Answer:
    """Send one request with further header fields on a new connection."""
    reader, writer = await case.connect()
    try:
        writer.write(make_keyed_call(path, fields, method))
        return await read_answer(reader)
    finally:
        writer.close()


async def put_in_force(case: NodeCase, configuration: Any) -> None:
    """Write a configuration to the store, and wait until the node has it."""
    case.store.put("config", "main", configuration)
    await wait_until(lambda: case.process.configuration.version == configuration["version"])


def find_heads(case: NodeCase, request_id: str = "r") -> list[dict[str, str]]:
    """Return the header fields of all runs of a request."""
    return [head for entry in case.instances for head in entry.heads.get(request_id, [])]


def test_team_name_replaces_the_key() -> None:
    """Guards against a key that is passed on, and a team name that the caller chose."""

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_teams(("north", [NORTH_KEY]), ("south", [SOUTH_KEY])))
        fields = {KEY_FIELD: f"Bearer {NORTH_KEY}", TEAM_FIELD: "south"}
        assert (await call_with_key(case, fields)).status == 200
        (head,) = find_heads(case)
        assert head[TEAM_FIELD.lower()] == "north"
        assert KEY_FIELD.lower() not in head
        assert NORTH_KEY not in str(head)

    run_node(check)


def test_retry_carries_the_team() -> None:
    """Guards against a second attempt with the key, or without the team's name."""

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_teams(("north", [NORTH_KEY])))
        fields = {KEY_FIELD: f"Bearer {NORTH_KEY}"}
        await call_with_key(case, fields, "/safe/error")
        heads = find_heads(case)
        assert len(heads) == 2
        assert all(head[TEAM_FIELD.lower()] == "north" for head in heads)
        assert not any(KEY_FIELD.lower() in head for head in heads)

    run_node(check)


@pytest.mark.parametrize(
    "value", ["", "Bearer wrong", f"Basic {NORTH_KEY}", NORTH_KEY, f"Bearer {NORTH_KEY}, Bearer x"]
)
def test_unknown_key_runs_nothing(value: str) -> None:
    """Guards against a request that runs without the key of a team."""

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_teams(("north", [NORTH_KEY])))
        answer = await call_with_key(case, {KEY_FIELD: value} if value else {})
        assert answer.status == 401
        assert not find_heads(case)

    run_node(check)


def test_public_route_needs_no_key() -> None:
    """Guards against a refusal, a forged team or a forwarded bearer token on a public route."""

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_teams(("north", [NORTH_KEY]), public=True))
        fields = {KEY_FIELD: "Bearer withdrawn", TEAM_FIELD: "north"}
        assert (await call_with_key(case, fields, "/unsafe/x", "POST")).status == 200
        (head,) = find_heads(case)
        assert TEAM_FIELD.lower() not in head
        assert KEY_FIELD.lower() not in head

    run_node(check)


def test_withdrawn_key_is_refused_on_an_open_connection() -> None:
    """Guards against connections that keep the identity of their first request."""

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_teams(("north", [NORTH_KEY, "north-key-2"])))
        reader, writer = await case.connect()
        fields = {KEY_FIELD: f"Bearer {NORTH_KEY}"}
        writer.write(make_keyed_call("/safe/x", fields))
        assert (await read_answer(reader)).status == 200
        await put_in_force(case, make_teams(("north", ["north-key-2"]), version=3))
        writer.write(make_keyed_call("/safe/x", fields))
        assert (await read_answer(reader)).status == 401
        writer.close()

    run_node(check)


def test_withdrawn_key_stays_withdrawn_after_a_restart() -> None:
    """Guards against a process that starts with the list of a lagging replica and runs by it.

    There is no other host in its data centre that it could ask. Found by the soak, seed 473232220.
    """

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_teams(("north", [NORTH_KEY, SOUTH_KEY])))
        await asyncio.sleep(2.0)
        await put_in_force(case, make_teams(("north", [SOUTH_KEY]), version=3))
        case.store.faults.replica_lag_s = 4.0
        await asyncio.sleep(case.process.settings.apply_s + 0.6)
        # Widens the time between the list and the watch that follows it.
        case.store.faults.delay_s = 0.3
        settings = case.process.settings._replace(
            host_id="host-2",
            data_centre="kaya",
            caller_address=f"{ADDRESS}:{pick_endpoint(ADDRESS).port}",
            readiness_address=f"{ADDRESS}:{pick_endpoint(ADDRESS).port}",
            peer_address=f"{ADDRESS}:{pick_endpoint(ADDRESS).port}",
        )
        other = NodeCase(NodeProcess(settings), case.store, case.instances)
        async with serve(other.process):
            await wait_until(lambda: other.process.configuration.version is not None)
            answer = await call_with_key(other, {KEY_FIELD: f"Bearer {NORTH_KEY}"})
        assert answer.status in {401, 503}
        assert not find_heads(case)

    run_node(check)


def test_unknown_key_at_a_host_without_the_store_is_not_denied() -> None:
    """Guards against a 401 by a host that may have missed the version that added the key."""

    async def check(case: NodeCase) -> None:
        await put_in_force(case, make_teams(("north", [NORTH_KEY])))
        case.store.faults.mode = "reset"
        age_s = case.process.settings.apply_s + 0.5
        await asyncio.sleep(age_s)
        answer = await call_with_key(case, {KEY_FIELD: f"Bearer {SOUTH_KEY}"})
        assert answer.status == 503
        assert "retry-after" in answer.fields
        assert (await call_with_key(case, {KEY_FIELD: f"Bearer {NORTH_KEY}"})).status == 200

    run_node(check)


def test_shared_key_keeps_the_configuration_in_force() -> None:
    """Guards against a request that is taken for that of another team."""
    shared = make_teams(("north", [NORTH_KEY]), ("south", [NORTH_KEY]))
    with pytest.raises(ValueError, match="north and south share a key") as caught:
        decode_configuration(shared)
    assert NORTH_KEY not in str(caught.value)


@pytest.mark.parametrize("keys", [NORTH_KEY, [1], [[NORTH_KEY]], {"k": NORTH_KEY}])
def test_error_about_keys_does_not_show_them(keys: Any) -> None:
    """Guards against keys in logs when a configuration is refused."""
    for tenants in ([{"name": "north", "apiKeys": keys}], [[keys]]):
        configuration = {**make_configuration(), "tenants": tenants}
        with pytest.raises(ValueError, match="tenants") as caught:
            decode_configuration(configuration)
        assert NORTH_KEY not in str(caught.value)


@pytest.mark.parametrize("name", ["Tallinn Zoo", "v\u00f5ru", "\u7af9", "", 5, None, "n" * 300])
def test_tenant_with_an_odd_name_hides_no_others(name: Any) -> None:
    """Guards against a configuration that is rejected as a whole because of one tenant.

    A withdrawn key would go on being served then, and a new one be refused.
    """
    configuration = make_configuration()
    configuration["tenants"] = [
        {"name": name, "apiKeys": ["odd-key"]},
        {"name": "north", "apiKeys": ["north-key"]},
    ]
    decoded = decode_configuration(configuration)
    assert [team.name for team in decoded.policy.teams] == ["north"]
    (fault,) = decoded.faults
    assert "tenants[0]" in fault
    assert "odd-key" not in fault


def test_quota_and_priority_are_decoded() -> None:
    """Guards against a team's priority with the wrong sign, and quotas that are dropped."""
    configuration = make_teams(("north", [NORTH_KEY]), ("south", []))
    configuration["tenants"][0] |= {"priority": 1, "perS": 2.5, "burst": 4}
    north, south = decode_configuration(configuration).policy.teams
    assert (north.priority, north.rate_per_s, north.burst) == (-1, 2.5, 4.0)
    assert (south.priority, south.rate_per_s) == (None, 0.0)


def test_deployment_without_teams_forwards_all_fields() -> None:
    """Guards against a change for deployments whose configuration has no teams."""

    async def check(case: NodeCase) -> None:
        fields = {KEY_FIELD: "Bearer of-the-upstream", TEAM_FIELD: "x"}
        assert (await call_with_key(case, fields)).status == 200
        (head,) = find_heads(case)
        assert head[KEY_FIELD.lower()] == "Bearer of-the-upstream"
        assert head[TEAM_FIELD.lower()] == "x"

    run_node(check)


@given(
    key=st.text(max_size=20),
    known=st.lists(st.text(min_size=1, max_size=20), max_size=4),
    age_s=st.floats(0, 10),
    is_public=st.booleans(),
)
def test_verdicts(key: str, known: list[str], age_s: float, is_public: bool) -> None:
    """Guards against a verdict that lets an unknown key run, or denies a key that may be new."""
    ring = KeyRing([TeamPolicy("north", tuple(compute_key_digest(name) for name in known))])
    identity = decide_key(
        ring, key, is_public=is_public, confirmed_at=-age_s, max_age_s=2.0, now=0.0
    )
    assert (identity.team is not None) == (bool(key) and key in known)
    if identity.team is not None or is_public:
        assert identity.verdict is KeyVerdict.ACCEPTED
    elif key and age_s > 2.0:
        assert identity.verdict is KeyVerdict.UNDECIDED
    else:
        assert identity.verdict is KeyVerdict.UNKNOWN


@pytest.mark.parametrize(
    ("value", "key"),
    [
        ("Bearer k", "k"),
        ("bearer  k ", "k"),
        ("Basic k", ""),
        ("k", ""),
        ("Bearer " + "x" * 2000, ""),
    ],
)
def test_bearer_keys(value: str, key: str) -> None:
    """Guards against keys that are read from other schemes."""
    assert parse_bearer_key(value) == key


@pytest.mark.parametrize(
    ("kind", "rank", "team_rank", "ranks_callers"),
    [
        ("unsafe", 0, None, True),
        ("upload", 0, None, True),
        ("safe", 0, None, False),
        ("unsafe", 1, None, False),
        ("unsafe", None, None, False),
        ("safe", 1, 0, True),
        ("safe", 1, 1, False),
    ],
)
def test_order_is_asked_for_by_ranks(
    kind: str, rank: int | None, team_rank: int | None, ranks_callers: bool
) -> None:
    """Guards against deferred requests in deployments whose idle `safe` routes have rank 0."""
    configuration = make_configuration()
    rules = configuration["listeners"][0]["rules"]
    for rule in rules:
        rule["priority"] = 1
    rules[0]["kind"] = kind
    rules[0]["priority"] = rank
    if rank is None:
        del rules[0]["priority"]
    if team_rank is not None:
        configuration["tenants"] = [{"name": "north", "apiKeys": ["k"], "priority": team_rank}]
    assert decode_configuration(configuration).policy.ranks_callers is ranks_callers
