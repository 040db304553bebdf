"""What a host keeps of the changes that it relays."""

import weakref

from hypothesis import given
from hypothesis import strategies as st
from result import Err

from amaranthbend.core.change_log import MAX_REMOVALS, ChangeLog
from amaranthbend.core.watching import ObjectEvent, StoreChanges, StoredObject, StoreErrorKind

MAX_AGE_S = 1.8
NAMES = ("u0", "u1", "u2", "u3")


class Value(dict[str, int]):
    """A value whose end can be observed."""


def make_log(*objects: StoredObject, revision: int = 1) -> ChangeLog:
    """Return a log after its first list, confirmed at time 0."""
    log = ChangeLog(MAX_AGE_S)
    log.record_list(StoreChanges([ObjectEvent(each, False) for each in objects], revision), 0.0)
    return log


def test_value_of_an_earlier_change_is_not_kept() -> None:
    """Guards against memory for each change of a large configuration.

    Seen in review case 7: 46 changes of a configuration of 996,033 bytes took 300 MB.
    """
    log = make_log()
    alive: weakref.WeakSet[Value] = weakref.WeakSet()
    Value.__hash__ = object.__hash__  # type: ignore[method-assign, assignment]
    for revision in range(2, 60):
        value = Value(version=revision)
        alive.add(value)
        event = ObjectEvent(StoredObject("main", revision, value), False)
        log.record_changes(StoreChanges([event], revision), 0.0)
        del value, event
        assert len(alive) == 1
    removal = ObjectEvent(StoredObject("main", 60, Value(version=60)), True)
    alive.add(removal.object.value)
    log.record_changes(StoreChanges([removal], 60), 0.0)
    del removal
    assert not alive


def test_names_of_removed_objects_are_limited() -> None:
    """Guards against memory for each object that ever was."""
    log = make_log()
    for number in range(1, 1 + 3 * MAX_REMOVALS):
        stored = StoredObject(f"u{number}", 2 * number, {})
        log.record_changes(StoreChanges([ObjectEvent(stored, False)], 2 * number), 0.0)
        log.record_changes(StoreChanges([ObjectEvent(stored, True)], 2 * number + 1), 0.0)
    relayed = log.get_changes(1 + 2 * 2 * MAX_REMOVALS, 0.0).unwrap()
    assert len(relayed.changes.events) == MAX_REMOVALS
    lagging = log.get_changes(1, 0.0)
    assert isinstance(lagging, Err)
    assert lagging.err_value.kind is StoreErrorKind.HISTORY_LOST


# Batches of changes: names and whether each is removed, and how many revisions they take.
BATCHES = st.lists(
    st.tuples(
        st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=3),
        st.integers(0, 2),
    ),
    max_size=12,
)


@given(BATCHES, st.integers(0, 12))
def test_follower_that_lags_behind_ends_with_the_same_objects(
    batches: list[tuple[list[tuple[str, bool]], int]], follows_after: int
) -> None:
    """Guards against a follower that misses a change or a removal, or brings an object back."""
    revision = 5
    log = make_log(StoredObject("u0", 3, 3), StoredObject("u9", 4, 4), revision=revision)
    truth: dict[str, int] = {"u0": 3, "u9": 4}
    followed, followed_at = dict(truth), revision
    for number, (names, gap) in enumerate(batches):
        if number == follows_after:
            followed, followed_at = dict(truth), revision
        events: list[ObjectEvent] = []
        for name, is_removal in names:
            revision += 1
            if is_removal:
                truth.pop(name, None)
                # The store states the revision that the object had.
                events.append(ObjectEvent(StoredObject(name, revision - 1, None), True))
                continue
            truth[name] = revision
            events.append(ObjectEvent(StoredObject(name, revision, revision), False))
        revision += gap
        log.record_changes(StoreChanges(events, revision), 0.0)
    changes = log.get_changes(followed_at, 0.0).unwrap().changes
    for event in changes.events:
        if event.is_removal:
            followed.pop(event.object.name, None)
            continue
        followed[event.object.name] = event.object.value
    assert followed == truth
    assert changes.revision == revision
    listed = log.get_list(0.0).unwrap().changes
    assert {event.object.name: event.object.value for event in listed.events} == truth
