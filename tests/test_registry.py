"""Use of upstreams whose entries the store can lose."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.core.actions import Member, UpstreamState
from amaranthbend.core.registry import Listing, RegistryTimes, UpstreamRegistry

TIMES = RegistryTimes(retention_s=1.4, outage_retention_s=2.2)


def make_listing(
    name: str, revision: int = 1, *, state: UpstreamState = UpstreamState.SERVING, cold_s: float = 0
) -> Listing:
    """Return the entry of an upstream of the service `desk`."""
    return Listing("desk", Member(name, "127.0.0.1:9000", "huye", 1, state), 4, cold_s, revision)


def make_registry(count: int = 6) -> UpstreamRegistry:
    """Return a registry with upstreams u0, u1, ..."""
    registry = UpstreamRegistry(TIMES)
    registry.replace([make_listing(f"u{n}") for n in range(count)], 0.0)
    return registry


def list_names(registry: UpstreamRegistry, now: float) -> list[str]:
    """Return the usable upstreams."""
    members = registry.list_members(now).get("desk", ())
    return sorted(member.upstream for member in members)


def test_single_removal_takes_effect_at_once() -> None:
    """Guards against requests to an upstream that left without reporting that it drains."""
    registry = make_registry()
    assert registry.remove(["u1"], 1.0) == []
    assert list_names(registry, 1.0) == ["u0", "u2", "u3", "u4", "u5"]


def test_upstreams_are_retained_after_a_mass_removal() -> None:
    """Guards against an empty service when the store loses the entries of live upstreams."""
    registry = make_registry()
    names = [f"u{n}" for n in range(6)]
    assert sorted(registry.remove(names, 1.0)) == names
    assert list_names(registry, 1.0 + TIMES.retention_s - 0.01) == names
    assert list_names(registry, 1.0 + TIMES.retention_s) == []


def test_upstream_that_registers_again_stays() -> None:
    """Guards against dropping an upstream whose entry came back."""
    registry = make_registry()
    registry.remove([f"u{n}" for n in range(6)], 1.0)
    registry.put(make_listing("u3", 2), 1.5)
    assert list_names(registry, 10.0) == ["u3"]


def test_draining_upstream_is_never_retained() -> None:
    """Guards against new requests to a draining upstream because others vanished with it."""
    registry = make_registry()
    registry.put(make_listing("u0", 2, state=UpstreamState.DRAINING), 0.5)
    registry.remove([f"u{n}" for n in range(6)], 1.0)
    assert "u0" not in list_names(registry, 1.0)


def test_entries_lost_in_an_outage_have_time_to_return() -> None:
    """Guards against dropping upstreams whose entries expired during an outage of the store."""
    registry = make_registry()
    registry.set_reachable(False, 1.0)
    registry.set_reachable(True, 5.0)
    registry.replace([make_listing("u0")], 5.0)
    assert len(list_names(registry, 5.0 + TIMES.outage_retention_s - 0.01)) == 6
    assert list_names(registry, 5.0 + TIMES.outage_retention_s) == ["u0"]


def test_older_revision_changes_nothing() -> None:
    """Guards against changes that arrive twice or out of order."""
    registry = make_registry()
    registry.put(make_listing("u0", 5, state=UpstreamState.DRAINING), 1.0)
    assert not registry.put(make_listing("u0", 4), 1.1)
    (member,) = [m for m in registry.list_members(1.2)["desk"] if m.upstream == "u0"]
    assert member.state is UpstreamState.DRAINING


def test_cold_upstream_becomes_warm_by_time_alone() -> None:
    """Guards against an upstream that stays cold forever."""
    registry = UpstreamRegistry(TIMES)
    registry.put(make_listing("u0", cold_s=3.0), 1.0)
    assert registry.list_members(1.0)["desk"][0].state is UpstreamState.COLD
    assert registry.get_next_change_time(1.0) == 4.0
    assert registry.list_members(4.0)["desk"][0].state is UpstreamState.SERVING


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["put", "remove", "lose", "reach", "replace"]),
            st.sets(st.integers(0, 5)),
            st.floats(0.0, 2.0),
        ),
        max_size=30,
    )
)
def test_listed_upstreams_are_usable_and_others_expire(
    steps: list[tuple[str, set[int], float]],
) -> None:
    """Guards against a state of the registry in which an entry is lost or retained forever."""
    registry = UpstreamRegistry(TIMES)
    listed: set[str] = set()
    now = 0.0
    for revision, (kind, numbers, delay) in enumerate(steps, 1):
        now += delay
        names = {f"u{n}" for n in numbers}
        if kind in ("lose", "reach"):
            registry.set_reachable(kind == "reach", now)
        elif kind == "put":
            for name in names:
                registry.put(make_listing(name, revision), now)
            listed |= names
        elif kind == "remove":
            registry.remove(sorted(names), now)
            listed -= names
        else:
            registry.replace([make_listing(name, revision) for name in sorted(names)], now)
            listed = names
        assert listed <= set(list_names(registry, now))
    registry.set_reachable(True, now)
    later = now + 2 * TIMES.outage_retention_s
    assert set(list_names(registry, later)) == listed


@pytest.mark.parametrize("now", [0.0, 3.0])
def test_without_pending_changes_there_is_no_timer(now: float) -> None:
    """Guards against a timer that wakes the process although nothing can change."""
    registry = make_registry()
    assert registry.get_next_change_time(now) is None
