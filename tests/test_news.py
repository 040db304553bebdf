"""Which peer a host follows, and which changes it relays."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from amaranthbend.adapters.change_relay import decode_peer_changes, encode_peer_changes
from amaranthbend.core.change_log import MAX_REMOVALS, ChangeLog, PeerChanges
from amaranthbend.core.change_relay import (
    FAILED_PEER_SKIP_S,
    LONG_TURN_PER_HOST_S,
    LONG_TURN_S,
    MAX_HOSTS_PER_READER,
    READERS_PER_DATA_CENTRE,
    SHORT_TURN_S,
    WAITING_PEER_SKIP_S,
    HostEntry,
    PeerSelector,
)
from amaranthbend.core.watching import ObjectEvent, StoreChanges, StoredObject, StoreErrorKind

from .store_cases import MAX_CONFIRMATION_AGE_S

HOSTS = [HostEntry(f"host-{n}", "huye", f"10.0.0.{n}:7720") for n in range(1, 41)]


def make_selector(name: str, hosts: list[HostEntry] = HOSTS) -> PeerSelector:
    """Return the peer selector of a host that knows all others."""
    selector = PeerSelector(name, "huye")
    selector.set_hosts(hosts)
    return selector


def make_list(*revisions: int, at: int) -> StoreChanges:
    """Return a complete list as of revision `at`, with one object for each given revision."""
    return make_changes(*revisions)._replace(revision=at)


def make_changes(*revisions: int) -> StoreChanges:
    """Return changes with one changed object for each revision."""
    events = [ObjectEvent(StoredObject(f"u{n}", n, {"n": n}), False) for n in revisions]
    return StoreChanges(events, revisions[-1])


def list_revisions(log: ChangeLog, after: int, now: float = 0.0) -> list[int]:
    """Return the revisions of the changes that a follower receives."""
    return [event.object.revision for event in log.get_changes(after, now).unwrap().changes.events]


def test_few_hosts_read_the_store() -> None:
    """Guards against a number of store calls that grows with the number of hosts."""
    chosen = [make_selector(host.name).select_peer(0.0) for host in HOSTS]
    assert chosen[:READERS_PER_DATA_CENTRE] == [None] * READERS_PER_DATA_CENTRE
    readers = {host.name for host in chosen if host is not None}
    assert readers == {host.name for host in HOSTS[:READERS_PER_DATA_CENTRE]}


@pytest.mark.parametrize("count", [1, 2, 5, MAX_HOSTS_PER_READER])
def test_one_host_of_a_small_data_centre_reads_the_store(count: int) -> None:
    """Guards against a small deployment whose calls grow with the number of its hosts.

    Each call has a price of its own, which can be higher than that of a small fleet's other work.
    """
    hosts = HOSTS[:count]
    chosen = [make_selector(host.name, hosts).select_peer(0.0) for host in hosts]
    assert chosen == [None] + [hosts[0]] * (count - 1)


def test_hosts_elsewhere_or_without_an_address_are_not_followed() -> None:
    """Guards against traffic between data centres, and calls to hosts that relay no changes.

    Hosts of an earlier version register without a peer address.
    """
    elsewhere = [host._replace(data_centre="nyanza") for host in HOSTS[:10]]
    without_address = [host._replace(peer_address="") for host in HOSTS[10:20]]
    chosen = make_selector("host-40", elsewhere + without_address + HOSTS[20:]).select_peer(0.0)
    assert chosen is not None
    assert chosen.name in ("host-21", "host-22")


def test_failed_peer_is_skipped_for_a_while() -> None:
    """Guards against repeated waits for a peer that has failed."""
    selector = make_selector("host-40")
    first = selector.select_peer(0.0)
    assert first is not None
    selector.record_failure(first.name, 0.0, 0.0)
    second = selector.select_peer(0.0)
    assert second is not None
    assert second.name != first.name
    assert selector.select_peer(FAILED_PEER_SKIP_S) == first


@pytest.mark.parametrize(
    ("name", "turn_s"),
    [
        ("host-10", SHORT_TURN_S),
        ("host-40", max(LONG_TURN_S, 30 * LONG_TURN_PER_HOST_S)),
    ],
)
def test_each_host_takes_turns_at_a_lost_store(name: str, turn_s: float) -> None:
    """Guards against refused calls of every host in an outage, and against none at all."""
    selector = PeerSelector(name, "huye", lambda: 1.0)
    selector.set_hosts(HOSTS)
    assert selector.may_call_store(0.0)
    selector.record_store_failure(0.0)
    assert not selector.may_call_store(turn_s - 0.01)
    assert selector.may_call_store(turn_s)
    selector.record_confirmed_changes()
    assert selector.may_call_store(0.0)


def test_reader_tries_a_lost_store_at_any_time() -> None:
    """Guards against a deployment in which nobody notices the end of an outage."""
    for host in HOSTS[:READERS_PER_DATA_CENTRE]:
        selector = make_selector(host.name)
        selector.record_store_failure(0.0)
        assert selector.may_call_store(0.0)


def count_outage_calls(hosts: int, length_s: float) -> int:
    """Return the calls to a lost store after the first one of each host of a data centre."""
    entries = [HostEntry(f"host-{n}", "huye", f"10.0.0.{n}:7720") for n in range(1, hosts + 1)]
    calls = -hosts
    for entry in entries:
        rng = random.Random(entry.name)
        selector = PeerSelector(entry.name, "huye", rng.random)
        selector.set_hosts(entries)
        for step in range(int(length_s / 0.2)):
            if selector.may_call_store(0.2 * step):
                calls += 1
                selector.record_store_failure(0.2 * step)
    return calls


def test_calls_in_an_outage_do_not_grow_with_the_hosts() -> None:
    """Guards against a price of each outage in proportion to the hosts of a data centre.

    Seen in benchmark eeslikoda-adopt-large trouble-3, whose outage lasts 8 s.
    """
    assert count_outage_calls(400, 8.0) < 2 * count_outage_calls(40, 8.0)


def test_peers_without_the_store_are_asked_again_in_an_outage() -> None:
    """Guards against followers that turn to the store because they skip all of their peers."""
    selector = make_selector("host-40")
    asked: list[HostEntry] = []
    for _ in range(READERS_PER_DATA_CENTRE):
        peer = selector.select_peer(0.0)
        assert peer is not None
        asked.append(peer)
        selector.record_unconfirmed_peer(peer.name, 0.0)
    # Only these may have lost the store: others are followed for a while.
    assert selector.select_peer(0.0) not in asked
    selector.record_store_failure(0.0)
    readers = set(HOSTS[:READERS_PER_DATA_CENTRE])
    assert draw_peers(selector, 0.0) == readers
    for peer in readers:
        selector.record_unconfirmed_peer(peer.name, 0.0)
    assert draw_peers(selector, 0.0) == set(HOSTS[:-1]) - readers
    assert draw_peers(selector, WAITING_PEER_SKIP_S) == readers
    selector.record_confirmed_changes()
    assert len(draw_peers(selector, WAITING_PEER_SKIP_S)) == 1


def draw_peers(selector: PeerSelector, now: float) -> set[HostEntry]:
    """Return the peers that a host selects in many tries."""
    peers = {selector.select_peer(now) for _ in range(1000)}
    return {peer for peer in peers if peer is not None}


@given(st.sets(st.sampled_from([host.name for host in HOSTS])))
def test_hosts_never_follow_each_other_in_a_cycle(failed: set[str]) -> None:
    """Guards against hosts that follow each other in a cycle while none of them reads the store.

    They would confirm outdated changes to each other.
    """
    readers = 0
    for host in HOSTS:
        selector = make_selector(host.name)
        for name in failed:
            selector.record_failure(name, 0.0, 0.0)
        chosen = selector.select_peer(1.0)
        if chosen is None:
            readers += 1
            continue
        assert HOSTS.index(chosen) < HOSTS.index(host)
        assert chosen.name not in failed
    assert readers >= READERS_PER_DATA_CENTRE


def test_log_returns_the_missing_changes() -> None:
    """Guards against a follower that misses a change, or gets all changes from the start again."""
    log = ChangeLog(MAX_CONFIRMATION_AGE_S)
    log.record_list(make_list(4, at=5), 0.0)
    log.record_changes(make_changes(6, 7), 0.0)
    log.record_changes(make_changes(9), 0.0)
    assert list_revisions(log, 5) == [6, 7, 9]
    assert list_revisions(log, 7) == [9]
    assert list_revisions(log, 9) == []
    # A follower that received its last changes from another source can be ahead of this host.
    assert log.get_changes(12, 0.0).unwrap().changes == StoreChanges([], 12)


def test_only_the_last_change_of_an_object_is_relayed() -> None:
    """Guards against sending several large configurations in one response over a slow link.

    Seen in the benchmark eeslikoda-adopt-grown scale-1, seed 240648027: CONFIG 52.
    """
    log = ChangeLog(MAX_CONFIRMATION_AGE_S)
    log.record_list(make_list(4, at=5), 0.0)
    for revision in (6, 7, 8):
        stored = StoredObject("main", revision, {"version": revision})
        log.record_changes(StoreChanges([ObjectEvent(stored, False)], revision), 0.0)
    removal = ObjectEvent(StoredObject("u4", 4, None), True)
    log.record_changes(StoreChanges([removal], 9), 0.0)
    assert list_revisions(log, 5) == [8, 4]


def test_list_after_lost_history_is_relayed_as_changes() -> None:
    """Guards against a list call by every follower when the store has compacted its history."""
    log = ChangeLog(MAX_CONFIRMATION_AGE_S)
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
    """Guards against relaying removals of objects that only an outdated first list contained."""
    log = ChangeLog(MAX_CONFIRMATION_AGE_S)
    log.record_list(make_list(3, at=5), float("-inf"))
    log.record_list(make_list(4, at=6), 0.0)
    log.record_list(make_list(4, at=7), 0.0)
    assert list_revisions(log, 6) == []


@pytest.mark.parametrize("overflow", [False, True])
def test_dropped_changes_are_not_skipped(overflow: bool) -> None:
    """Guards against a follower that silently misses changes which this host no longer keeps."""
    log = ChangeLog(MAX_CONFIRMATION_AGE_S)
    log.record_list(make_list(4, at=5), 0.0)
    after = 4
    if overflow:
        after = 5
        for revision in range(6, 7 + MAX_REMOVALS):
            removal = ObjectEvent(StoredObject(f"u{revision}", revision, None), True)
            log.record_changes(StoreChanges([removal], revision), 0.0)
    relayed = log.get_changes(after, 0.0)
    assert isinstance(relayed, Err)
    assert relayed.err_value.kind is StoreErrorKind.HISTORY_LOST


def test_outdated_changes_are_not_relayed() -> None:
    """Guards against followers that rely on a host which itself no longer reaches the store."""
    log = ChangeLog(MAX_CONFIRMATION_AGE_S)
    log.record_list(make_list(4, at=5), 0.0)
    log.record_changes(make_changes(6), 1.0)
    assert log.get_changes(6, 1.0 + MAX_CONFIRMATION_AGE_S).unwrap().age_s == pytest.approx(
        MAX_CONFIRMATION_AGE_S
    )
    assert isinstance(log.get_changes(6, 1.1 + MAX_CONFIRMATION_AGE_S), Err)
    log.confirm(2.0)
    assert isinstance(log.get_changes(6, 1.1 + MAX_CONFIRMATION_AGE_S), Ok)


def test_lagging_list_confirms_nothing() -> None:
    """Guards against relaying a replica's list, which may be seconds old, as confirmed."""
    log = ChangeLog(MAX_CONFIRMATION_AGE_S)
    log.record_list(make_list(4, at=5), float("-inf"))
    assert isinstance(log.get_changes(5, 0.0), Err)


@given(st.recursive(st.none() | st.integers() | st.text(), lambda inner: st.lists(inner)))
def test_encoding_keeps_the_changes(value: object) -> None:
    """Guards against an encoding that changes a relayed value."""
    event = ObjectEvent(StoredObject("u0", 7, value), True)
    relayed = PeerChanges(StoreChanges([event], 8), 0.25)
    assert decode_peer_changes(encode_peer_changes(relayed).encode()) == relayed


@pytest.mark.parametrize("text", [b"", b"[]", b"{}", b'{"events": [1], "revision": 1, "age_s": 0}'])
def test_malformed_changes_are_refused(text: bytes) -> None:
    """Guards against a call that never ends because its response cannot be decoded."""
    with pytest.raises(ValueError):
        decode_peer_changes(text)
