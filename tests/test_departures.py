from amaranthbend.core.backoff import Backoff, TokenBucket
from amaranthbend.core.departures import MAX_DEPARTURES, RETENTION_S, Departure, Departures

LEFT = Departure("desk", "u1", 4)


def test_only_a_higher_incarnation_returns() -> None:
    """Guards against an old message that brings a departed upstream back into use."""
    departures = Departures()
    assert departures.add(LEFT, 0.0)
    assert not departures.add(LEFT, 1.0)
    assert not departures.add(LEFT._replace(incarnation=3), 1.0)
    assert departures.has_departed("desk", "u1", 4)
    assert not departures.has_departed("desk", "u1", 5)
    assert departures.list_after(0) == [LEFT]
    assert departures.list_after(departures.sequence) == []


def test_hosts_with_equal_knowledge_have_equal_hashes() -> None:
    """Guards against full exchanges every second because of departures that have no effect."""
    first, second = Departures(), Departures()
    first.add(Departure("desk", "gone", 1), 0.0)
    for departures in (first, second):
        departures.add(LEFT, 0.0)
        departures.set_listed_incarnations({("desk", "u1"): 4}, 1.0)
    assert first.compute_hash() == second.compute_hash()
    second.set_listed_incarnations({("desk", "u1"): 5}, 1.0)
    assert first.compute_hash() != second.compute_hash()


def test_memory_is_bounded() -> None:
    """Guards against unbounded memory for departures of upstreams that never return."""
    departures = Departures()
    for number in range(MAX_DEPARTURES + 5):
        departures.add(Departure("desk", f"u{number}", 1), 0.0)
    assert len(departures.list_after(0)) == MAX_DEPARTURES
    departures.set_listed_incarnations({("desk", "u9"): 1}, RETENTION_S)
    assert departures.list_after(0) == [Departure("desk", "u9", 1)]


def test_backoff_limits() -> None:
    """Guards against retries without jitter, or with delays that are too short or unbounded."""
    highest, lowest = Backoff(lambda: 1.0), Backoff(lambda: 0.0)
    assert [highest.next_delay() for _ in range(9)] == [
        0.2,
        0.4,
        0.8,
        1.6,
        3.2,
        6.4,
        12.8,
        25.6,
        30,
    ]
    assert [lowest.next_delay() for _ in range(3)] == [0.0, 0.0, 0.0]
    highest.reset()
    assert highest.next_delay() == 0.2


def test_token_bucket() -> None:
    """Guards against more tokens than the burst after a pause, or after a clock is set back."""
    bucket = TokenBucket(2.0, 3.0, 100.0)
    assert [bucket.take(100.0) for _ in range(4)] == [True, True, True, False]
    assert [bucket.take(100.5), bucket.take(100.5)] == [True, False]
    assert not bucket.take(50.0)
    assert [bucket.take(1000.0) for _ in range(4)] == [True, True, True, False]
