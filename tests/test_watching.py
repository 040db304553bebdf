"""When a watcher lists, watches and waits."""

from result import Err, Ok

from amaranthbend.core.watching import (
    MAX_RETRY_DELAY_S,
    ObjectEvent,
    StoreChanges,
    StoredObject,
    StoreError,
    StoreErrorKind,
    WatchPlan,
)

EVENT = ObjectEvent(StoredObject("u0", 7, {}), False)
UNAVAILABLE = StoreError(StoreErrorKind.UNAVAILABLE, "503")


def make_plan() -> WatchPlan:
    """Return a plan that has listed up to revision 7, and always draws the longest delay."""
    plan = WatchPlan(lambda: 1.0)
    plan.record_changes(StoreChanges([EVENT], 7))
    return plan


def test_first_call_lists_and_then_watches() -> None:
    """Guards against a watch from a revision that was never listed."""
    plan = WatchPlan(lambda: 1.0)
    assert plan.revision is None
    plan.record_changes(StoreChanges([EVENT], 7))
    assert plan.revision == 7


def test_lost_history_lists_at_once() -> None:
    """Guards against missing changes that the store no longer keeps."""
    plan = make_plan()
    assert plan.record_failure(StoreError(StoreErrorKind.HISTORY_LOST, "410")) == 0.0
    assert plan.revision is None
    assert plan.is_reachable


def test_outage_delays_stay_short() -> None:
    """Guards against noticing the end of an outage seconds late, and against retries in a loop."""
    plan = make_plan()
    delays = [plan.record_failure(UNAVAILABLE) for _ in range(8)]
    assert not plan.is_reachable
    assert delays[0] > 0.0
    assert max(delays) == MAX_RETRY_DELAY_S
    assert plan.revision == 7
    plan.record_changes(StoreChanges([], 9))
    assert plan.is_reachable


def test_malformed_answer_lists_again() -> None:
    """Guards against skipping the changes in a response that could not be decoded."""
    plan = make_plan()
    plan.record_failure(StoreError(StoreErrorKind.MALFORMED, "not JSON"))
    assert plan.revision is None


def test_silent_watch_is_restarted() -> None:
    """Guards against a watch on a dead connection that returns no changes until it times out."""
    plan = make_plan()
    assert not plan.should_restart_watch(7, Ok(StoreChanges([], 7)))
    assert plan.should_restart_watch(7, Ok(StoreChanges([EVENT], 8)))
    assert plan.should_restart_watch(7, Err(UNAVAILABLE))


def test_check_overtaken_by_the_watch_is_ignored() -> None:
    """Guards against restarting a watch that has returned the checked changes meanwhile."""
    plan = make_plan()
    plan.record_changes(StoreChanges([EVENT], 8))
    assert not plan.should_restart_watch(7, Ok(StoreChanges([EVENT], 8)))
    plan.record_failure(UNAVAILABLE)
    assert not plan.should_restart_watch(8, Err(UNAVAILABLE))


def test_call_to_a_waiting_peer_is_followed_by_the_next_at_once() -> None:
    """Guards against news that waits for the end of a pause when the store is back.

    The peer has waited for the store itself. The store still counts as lost, so that entries which
    vanish with its return are kept for a while.
    """
    plan = WatchPlan(lambda: 0.5)
    plan.record_changes(StoreChanges([], 5))
    assert plan.record_failure(StoreError(StoreErrorKind.UNCONFIRMED, "503")) == 0.0
    assert not plan.is_reachable
    assert plan.revision == 5
