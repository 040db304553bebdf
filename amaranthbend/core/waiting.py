"""Requests that wait for room at an upstream, in order of urgency.

Load pattern: bursts of 1.6 to 2.6 times the usual load last a few seconds, and slots become free
every few hundredths of a second. A request that waits for the next one is still answered in time;
one that is refused comes back when the next one has been taken. A host has about three requests a
second, so that its queue is short. One large team sends a burst beside many small teams.
"""

import bisect
import math
from collections import deque
from enum import StrEnum
from typing import NamedTuple

from .actions import RequestInfo
from .urgency import OrderKey, Rank, get_rank

__all__ = [
    "TeamTurns",
    "WaitEnd",
    "WaitingRequest",
    "WaitingRequests",
    "WaitRecord",
    "compute_give_up_time",
]

# Share of the time that a request had after which it is given up if its latency goal is lost. A
# late response is worth a tenth of one in time, while holding a request that ends unserved costs
# callers nothing up to an eighth of the latency goal and everything at three quarters of its time.
MAX_HOLD_SHARE = 0.25
MAX_TEAMS = 512
# Ends of waits kept until they are read.
MAX_RECORDS = 1024


class WaitEnd(StrEnum):
    """How the wait of a request ended."""

    SENT = "sent"
    REFUSED = "refused"
    DISPLACED = "displaced"
    ABANDONED = "abandoned"
    # The service is no longer prioritized.
    RELEASED = "released"


class WaitRecord(NamedTuple):
    """A wait that has ended, for logs and metrics."""

    request_id: int
    rank: Rank
    waited_s: float
    end: WaitEnd


def compute_give_up_time(request: RequestInfo, began_at: float, work_s: float, now: float) -> float:
    """Return until when a request may wait.

    It may wait as long as its expected completion meets its latency goal. If that is lost, it may
    wait until its deadline is lost too, but only for the first part of the time that it had since
    its caller first sent it. The slots that later ones took would make others late (trials in
    docs/design/queueing.md).

    Parameters
    ----------
    request : RequestInfo
        The request.
    began_at : float
        Time at which the caller first sent the request.
    work_s : float
        Expected work in seconds.
    now : float
        Present time.
    """
    until = began_at + MAX_HOLD_SHARE * (request.deadline - began_at)
    if request.latency_goal_s is not None:
        in_time_until = began_at + request.latency_goal_s - work_s
        if in_time_until > now:
            until = max(until, in_time_until)
    return min(until, request.deadline - work_s)


class TeamTurns:
    """Turns of the requests of each team within a rank: fair queueing in whole requests.

    The first request of each team has the same turn, its second one the next turn, and so on. A
    team that has many requests waiting thus does not delay the first request of another one.
    """

    def __init__(self) -> None:
        self._current: dict[Rank, int] = {}
        self._last: dict[tuple[Rank, str], int] = {}

    def assign(self, rank: Rank, team: str) -> int:
        """Return the turn of a new request."""
        if len(self._last) >= MAX_TEAMS:
            self._last = {
                key: turn for key, turn in self._last.items() if turn > self._current.get(key[0], 0)
            }
        turn = max(self._current.get(rank, 0), self._last.get((rank, team), 0) + 1)
        self._last[rank, team] = turn
        return turn

    def record_end(self, rank: Rank, turn: int) -> None:
        """Record that a request of a turn was sent or refused."""
        self._current[rank] = max(self._current.get(rank, 0), turn)


class WaitingRequest:
    """A request that has no attempt in flight.

    Parameters
    ----------
    request : RequestInfo
        The request.
    key : OrderKey
        Its position in the order.
    give_up_at : float
        Time until which it may wait.
    now : float
        Present time.
    """

    __slots__ = ("give_up_at", "is_held", "key", "rank", "request", "since")

    def __init__(self, request: RequestInfo, key: OrderKey, give_up_at: float, now: float) -> None:
        self.request = request
        self.key = key
        self.rank = get_rank(request)
        self.give_up_at = give_up_at
        self.since = now
        # Whether its own probe rounds are over and found no room.
        self.is_held = False


class WaitingRequests:
    """Requests without an attempt in flight, in order: those probing, and those held for room."""

    def __init__(self) -> None:
        self._ordered: list[tuple[OrderKey, WaitingRequest]] = []
        self._by_id: dict[int, WaitingRequest] = {}
        self._turns = TeamTurns()
        self._records: deque[WaitRecord] = deque(maxlen=MAX_RECORDS)
        self._held_bytes = 0
        self._held = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def count_held(self) -> int:
        """Return the number of requests that are held."""
        return self._held

    def get(self, request_id: int) -> WaitingRequest | None:
        """Return a waiting request, or None."""
        return self._by_id.get(request_id)

    def add(
        self,
        request: RequestInfo,
        *,
        is_retried: bool,
        goal_at: float,
        work_s: float,
        give_up_at: float,
        now: float,
    ) -> WaitingRequest:
        """Add a request.

        Parameters
        ----------
        request : RequestInfo
            The request.
        is_retried : bool
            Whether it was sent or refused before.
        goal_at : float
            Time of its latency goal.
        work_s : float
            Expected work in seconds.
        give_up_at : float
            Time until which it may wait.
        now : float
            Present time.
        """
        rank = get_rank(request)
        turn = self._turns.assign(rank, request.team)
        key = OrderKey(
            -rank.team_priority,
            -rank.priority,
            not is_retried,
            turn,
            goal_at,
            work_s,
            request.request_id,
        )
        waiting = WaitingRequest(request, key, give_up_at, now)
        self._by_id[request.request_id] = waiting
        bisect.insort(self._ordered, (key, waiting))
        return waiting

    def hold(self, waiting: WaitingRequest) -> None:
        """Record that a request found no room and is held."""
        if waiting.is_held:
            return
        waiting.is_held = True
        self._held += 1
        self._held_bytes += waiting.request.body_bytes

    def remove(self, request_id: int, end: WaitEnd, now: float) -> WaitingRequest | None:
        """Remove a request, and return it if it was waiting."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is None:
            return None
        del self._ordered[bisect.bisect_left(self._ordered, (waiting.key,))]
        self._turns.record_end(waiting.rank, waiting.key.turn)
        if waiting.is_held:
            self._held -= 1
            self._held_bytes -= waiting.request.body_bytes
            self._records.append(WaitRecord(request_id, waiting.rank, now - waiting.since, end))
        return waiting

    def list_ordered(self) -> list[WaitingRequest]:
        """Return all requests in order of urgency."""
        return [waiting for _, waiting in self._ordered]

    def list_held(self) -> list[WaitingRequest]:
        """Return the requests that are held, in order of urgency."""
        return [waiting for _, waiting in self._ordered if waiting.is_held]

    def count_ahead(self, waiting: WaitingRequest) -> int:
        """Return how many held requests go before one."""
        return sum(other.is_held for key, other in self._ordered if key < waiting.key)

    def count_ahead_of_rank(self, rank: Rank) -> int:
        """Return how many held requests go before a new one of a rank."""
        return sum(other.is_held and other.rank >= rank for _, other in self._ordered)

    def list_excess(self, max_held: int, max_bytes: int) -> list[WaitingRequest]:
        """Return the least urgent held requests that are too many or too large together."""
        excess: list[WaitingRequest] = []
        held, held_bytes = self._held, self._held_bytes
        for _, waiting in reversed(self._ordered):
            if held <= max_held and held_bytes <= max_bytes:
                break
            if waiting.is_held:
                excess.append(waiting)
                held -= 1
                held_bytes -= waiting.request.body_bytes
        return excess

    def list_due(self, now: float) -> list[WaitingRequest]:
        """Return the requests that may wait no longer, least urgent first."""
        return [
            waiting
            for _, waiting in reversed(self._ordered)
            if now >= waiting.request.deadline or (waiting.is_held and now >= waiting.give_up_at)
        ]

    def get_next_due_time(self) -> float | None:
        """Return the next time at which a request may wait no longer, None without one."""
        due = math.inf
        for waiting in self._by_id.values():
            time = waiting.give_up_at if waiting.is_held else waiting.request.deadline
            due = min(due, time)
        return due if due < math.inf else None

    def pop_records(self) -> list[WaitRecord]:
        """Remove and return the waits that have ended."""
        records = list(self._records)
        self._records.clear()
        return records
