"""Which host is followed, and which news it passes on."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from amaranthbend.adapters.peer_news import decode_news, encode_news
from amaranthbend.core.change_relay import (
    FAILED_PEER_SKIP_S,
    MAX_BATCHES,
    MAX_CONFIRMATION_AGE_S,
    MIN_HOSTS_FOR_RELAY,
    READERS_PER_DATA_CENTRE,
    ChangeLog,
    HostEntry,
    PeerChanges,
    PeerSelector,
)
from amaranthbend.core.watching import ObjectEvent, StoreChanges, StoredObject, StoreErrorKind

HOSTS = [HostEntry(f"host-{n}", "huye", f"10.0.0.{n}:7720") for n in range(1, 41)]


def make_selector(name: str, hosts: list[HostEntry] = HOSTS) -> PeerSelector:
    """Return the sources of a host that knows all others."""
    selector = PeerSelector(name, "huye")
    selector.set_hosts(hosts)
    return selector


def make_list(*revisions: int, at: int) -> StoreChanges:
    """Return a list at a revision, of one object for each revision."""
    return make_changes(*revisions)._replace(revision=at)


def make_changes(*revisions: int) -> StoreChanges:
    """Return one change for each revision."""
    events = [ObjectEvent(StoredObject(f"u{n}", n, {"n": n}), False) for n in revisions]
    return StoreChanges(events, revisions[-1])


def list_revisions(log: ChangeLog, after: int, now: float = 0.0) -> list[int]:
    """Return the revisions of the changes that a follower gets."""
    return [event.object.revision for event in log.get_changes(after, now).unwrap().changes.events]


def test_few_hosts_read_the_store() -> None:
    """Guards against calls to the store that grow with the number of hosts."""
    chosen = [make_selector(host.name).select_peer(0.0) for host in HOSTS]
    assert chosen[:READERS_PER_DATA_CENTRE] == [None] * READERS_PER_DATA_CENTRE
    readers = {host.name for host in chosen if host is not None}
    assert readers == {host.name for host in HOSTS[:READERS_PER_DATA_CENTRE]}


def test_small_deployments_read_the_store_themselves() -> None:
    """Guards against a detour for news where it saves next to nothing."""
    hosts = HOSTS[: MIN_HOSTS_FOR_RELAY - 1]
    assert all(make_selector(host.name, hosts).select_peer(0.0) is None for host in hosts)


def test_hosts_elsewhere_or_without_an_address_are_not_followed() -> None:
    """Guards against traffic between data centres, and calls to hosts of an earlier version."""
    elsewhere = [host._replace(data_centre="nyanza") for host in HOSTS[:10]]
    without_address = [host._replace(peer_address="") for host in HOSTS[10:20]]
    chosen = make_selector("host-40", elsewhere + without_address + HOSTS[20:]).select_peer(0.0)
    assert chosen is not None
    assert chosen.name in ("host-21", "host-22")


def test_failed_peer_is_skipped_for_a_while() -> None:
    """Guards against waiting again and again for a host that is gone."""
    selector = make_selector("host-40")
    first = selector.select_peer(0.0)
    assert first is not None
    selector.record_failure(first.name, 0.0)
    second = selector.select_peer(0.0)
    assert second is not None
    assert second.name != first.name
    assert selector.select_peer(FAILED_PEER_SKIP_S) == first


@given(st.sets(st.sampled_from([host.name for host in HOSTS])))
def test_hosts_never_follow_each_other_in_a_cycle(failed: set[str]) -> None:
    """Guards against hosts that confirm old news to each other while nobody reads the store."""
    readers = 0
    for host in HOSTS:
        selector = make_selector(host.name)
        for name in failed:
            selector.record_failure(name, 0.0)
        chosen = selector.select_peer(1.0)
        if chosen is None:
            readers += 1
            continue
        assert HOSTS.index(chosen) < HOSTS.index(host)
        assert chosen.name not in failed
    assert readers >= READERS_PER_DATA_CENTRE


def test_log_returns_the_missing_changes() -> None:
    """Guards against a follower that misses a change or starts from nothing."""
    log = ChangeLog()
    log.record_list(make_list(4, at=5), 0.0)
    log.record_changes(make_changes(6, 7), 0.0)
    log.record_changes(make_changes(9), 0.0)
    assert list_revisions(log, 5) == [6, 7, 9]
    assert list_revisions(log, 7) == [9]
    assert list_revisions(log, 9) == []
    # A follower that took its last news elsewhere can be ahead.
    assert log.get_changes(12, 0.0).unwrap().changes == StoreChanges([], 12)


def test_only_the_last_change_of_an_object_is_relayed() -> None:
    """Guards against several large configurations in one answer over a thin link.

    Seen on the bench (eeslikoda-adopt-grown scale-1, seed 240648027): CONFIG 52.
    """
    log = ChangeLog()
    log.record_list(make_list(4, at=5), 0.0)
    for revision in (6, 7, 8):
        stored = StoredObject("main", revision, {"version": revision})
        log.record_changes(StoreChanges([ObjectEvent(stored, False)], revision), 0.0)
    removal = ObjectEvent(StoredObject("u4", 4, None), True)
    log.record_changes(StoreChanges([removal], 9), 0.0)
    assert list_revisions(log, 5) == [8, 4]


def test_list_after_lost_history_is_relayed_as_changes() -> None:
    """Guards against a list by every follower when the store forgets its history."""
    log = ChangeLog()
    log.record_list(make_list(3, 4, at=5), 0.0)
    log.record_changes(make_changes(6), 0.0)
    log.record_list(make_list(4, 6, 9, at=10), 1.0)
    changes = log.get_changes(6, 1.0).unwrap().changes
    assert changes.revision == 10
    assert [(event.object.name, event.is_removal) for event in changes.events] == [
        ("u3", True),
        ("u9", False),
    ]


def test_second_list_at_the_start_replaces_the_first() -> None:
    """Guards against removals of objects that a lagging list named and no follower knows."""
    log = ChangeLog()
    log.record_list(make_list(3, at=5), float("-inf"))
    log.record_list(make_list(4, at=6), 0.0)
    log.record_list(make_list(4, at=7), 0.0)
    assert list_revisions(log, 6) == []


@pytest.mark.parametrize("overflow", [False, True])
def test_dropped_changes_are_not_skipped(overflow: bool) -> None:
    """Guards against a follower that goes on without changes that this host no longer has."""
    log = ChangeLog()
    log.record_list(make_list(4, at=5), 0.0)
    after = 4
    if overflow:
        after = 5
        for revision in range(6, 7 + MAX_BATCHES):
            log.record_changes(make_changes(revision), 0.0)
    relayed = log.get_changes(after, 0.0)
    assert isinstance(relayed, Err)
    assert relayed.err_value.kind is StoreErrorKind.HISTORY_LOST


def test_outdated_changes_are_not_relayed() -> None:
    """Guards against followers that trust a host which lost the store itself."""
    log = ChangeLog()
    log.record_list(make_list(4, at=5), 0.0)
    log.record_changes(make_changes(6), 1.0)
    assert log.get_changes(6, 1.0 + MAX_CONFIRMATION_AGE_S).unwrap().age_s == pytest.approx(
        MAX_CONFIRMATION_AGE_S
    )
    assert isinstance(log.get_changes(6, 1.1 + MAX_CONFIRMATION_AGE_S), Err)
    log.confirm(2.0)
    assert isinstance(log.get_changes(6, 1.1 + MAX_CONFIRMATION_AGE_S), Ok)


def test_lagging_list_confirms_nothing() -> None:
    """Guards against passing on a replica's list, which may be seconds old, as fresh."""
    log = ChangeLog()
    log.record_list(make_list(4, at=5), float("-inf"))
    assert isinstance(log.get_changes(5, 0.0), Err)


@given(st.recursive(st.none() | st.integers() | st.text(), lambda inner: st.lists(inner)))
def test_encoding_keeps_the_changes(value: object) -> None:
    """Guards against a value that changes on its way between hosts."""
    event = ObjectEvent(StoredObject("u0", 7, value), True)
    relayed = PeerChanges(StoreChanges([event], 8), 0.25)
    assert decode_news(encode_news(relayed).encode()) == relayed


@pytest.mark.parametrize("text", [b"", b"[]", b"{}", b'{"events": [1], "revision": 1, "age_s": 0}'])
def test_malformed_changes_are_refused(text: bytes) -> None:
    """Guards against a call that never ends because its answer cannot be read."""
    with pytest.raises(ValueError):
        decode_news(text)
