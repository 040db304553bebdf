"""Connections of callers: how many a process may hold, and which ones it closes for others.

Load pattern: callers outside of any control open connections that send nothing, heads and bodies
that stop before their end, and requests whose responses they do not read. They hold descriptors
and memory for as long as they like, so that ordinary callers find none.
"""

from collections import Counter
from collections.abc import Sequence
from enum import Enum, auto
from typing import NamedTuple

from .buffers import BUFFER_SHARE, PROCESS_BYTES

__all__ = [
    "CONNECTION_BYTES",
    "UPSTREAM_CONNECTIONS_PER_CALLER",
    "CallerLimits",
    "RECEIVE_BUFFER_BYTES",
    "ConnectionStage",
    "ConnectionView",
    "choose_for_connection",
    "choose_for_memory",
    "compute_max_connections",
]

# Receive buffer of a caller's connection in the kernel. Bytes that wait there count as memory of
# the host. At 2.8 ms, twice the latency between data centres, this allows 90 Mbit/s.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Memory of a connection beside what the account counts: its receive buffer (the kernel doubles
# its size), its objects (20 KB), and buffers for reads of 16 KiB (three while a chunked body is
# read).
CONNECTION_BYTES = 2 * RECEIVE_BUFFER_BYTES + 20_000 + 3 * 16 * 1024
# Descriptors for the store, peers, readiness, metrics and the process itself.
RESERVED_DESCRIPTORS = 64
# A request needs up to two connections to upstreams: for an attempt and a hedge, or a probe.
UPSTREAM_CONNECTIONS_PER_CALLER = 2
MIN_CONNECTIONS = 8

# A connection that was just accepted has sent nothing yet; its request arrives within a round trip.
FRESH_S = 1.0
# A body or reader without progress for this time has stalled. The platform's `headerTimeout`
# allows callers as long for a whole head.
STALLED_S = 3.0
# Callers reuse connections that have been idle for up to this share of the idle timeout.
REUSABLE_IDLE_SHARE = 0.8
# Time allowed for a head beyond the configured one: two intervals between checks.
HEADER_TIMEOUT_MARGIN_S = 2.0
# Least value of a configured timeout, in case it is 0 or a mistyped unit.
MIN_TIMEOUT_S = 1.0
# Incomplete bodies may hold this share of the connections; above it they make way for others.
MAX_BODY_SHARE = 0.5
# Number of connections that send nothing which are closed at a time, as a share of all: choosing
# takes a pass over all connections.
SILENT_BATCH_SHARE = 1 / 16
# Allowed for the request line beside the header fields: the platform limits the fields, and does
# not say whether the line counts. A caller within the limit must not get a final refusal.
REQUEST_LINE_BYTES = 8 * 1024


class CallerLimits(NamedTuple):
    """Limits of the configuration for heads and idle connections of callers.

    Parameters
    ----------
    header_timeout_s : float
        Time for a whole head from its first byte on.
    idle_timeout_s : float
        Time for which a connection may be idle between two requests.
    max_head_bytes : int
        Largest head: the request line and the header fields together.
    """

    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0
    max_head_bytes: int = 16 * 1024 + REQUEST_LINE_BYTES

    @property
    def longest_head_s(self) -> float:
        """Time after which a head that is not complete is given up."""
        return max(MIN_TIMEOUT_S, self.header_timeout_s) + HEADER_TIMEOUT_MARGIN_S

    @property
    def reusable_idle_s(self) -> float:
        """Longest time after which callers still reuse an idle connection."""
        return max(MIN_TIMEOUT_S, self.idle_timeout_s) * REUSABLE_IDLE_SHARE


class ConnectionStage(Enum):
    """What a connection waits for."""

    # The first byte of its first request.
    SILENT = auto()
    # The rest of a head.
    HEAD = auto()
    # The next request.
    IDLE = auto()
    # The rest of a body of a request that was not passed on.
    BODY = auto()
    # The rest of a body that is streamed to an upstream.
    STREAMED_BODY = auto()
    # The response of an upstream.
    RUNNING = auto()
    # The caller, to read the response.
    RESPONSE = auto()


class ConnectionView(NamedTuple):
    """State of a connection, as far as it matters for closing it.

    Parameters
    ----------
    number : int
        Number of the connection in the order of arrival.
    address : str
        Address of the caller.
    stage : ConnectionStage
        What the connection waits for.
    started_at : float
        Monotonic time at which its request began, or at which it was opened.
    progressed_at : float
        Monotonic time at which it last sent or read bytes.
    held_bytes : int
        Bytes of the memory account that closing it releases.
    moved_bytes : int
        Bytes of the present request or response that were sent or read.
    """

    number: int
    address: str
    stage: ConnectionStage
    started_at: float
    progressed_at: float
    held_bytes: int = 0
    moved_bytes: int = 0

    def is_stalled(self, now: float, limit_s: float = STALLED_S) -> bool:
        """Return whether there was no progress for a time."""
        return now - self.progressed_at >= limit_s

    def compute_rate(self, now: float) -> float:
        """Return the progress in bytes per second."""
        return self.moved_bytes / max(0.1, now - self.started_at)


DEFAULT_LIMITS = CallerLimits()


def compute_max_connections(descriptors: int, memory_bytes: int | None) -> int:
    """Return how many connections of callers a process may hold.

    Parameters
    ----------
    descriptors : int
        File descriptors that the process may open.
    memory_bytes : int or None
        Memory that the process may use, None if it is not limited.
    """
    count = (descriptors - RESERVED_DESCRIPTORS) // (1 + UPSTREAM_CONNECTIONS_PER_CALLER)
    if memory_bytes is not None:
        room = max(0, memory_bytes - PROCESS_BYTES) * BUFFER_SHARE
        count = min(count, int(room / CONNECTION_BYTES))
    return max(MIN_CONNECTIONS, count)


def choose_for_connection(
    views: Sequence[ConnectionView],
    max_connections: int,
    now: float,
    limits: CallerLimits = DEFAULT_LIMITS,
) -> list[ConnectionView]:
    """Return the connections to close so that a new one can be served; empty to refuse that one.

    Callers that hold many connections come first within each group, then those that waited
    longest. Connections of requests that run are never chosen.
    """
    counts = Counter(view.address for view in views)

    def order(view: ConnectionView) -> tuple[int, float, int]:
        return -counts[view.address], view.progressed_at, view.number

    starting = [v for v in views if v.stage in (ConnectionStage.SILENT, ConnectionStage.HEAD)]
    silent = [view for view in starting if view.is_stalled(now, FRESH_S)]
    if silent:
        return sorted(silent, key=order)[: max(1, int(max_connections * SILENT_BATCH_SHARE))]
    idle = [view for view in views if view.stage is ConnectionStage.IDLE]
    bodies = [view for view in views if view.stage is ConnectionStage.BODY]
    readers = [view for view in views if view.stage is ConnectionStage.RESPONSE]
    groups = (
        [view for view in idle if view.is_stalled(now, limits.reusable_idle_s)],
        [view for view in bodies if view.is_stalled(now)],
        starting,
        idle,
        [view for view in readers if view.is_stalled(now)],
    )
    for group in groups:
        if group:
            return [min(group, key=order)]
    if len(bodies) > max_connections * MAX_BODY_SHARE:
        return [min(bodies, key=lambda view: (view.compute_rate(now), *order(view)))]
    return []


def choose_for_memory(
    views: Sequence[ConnectionView], needed: int, now: float, *, is_large_body: bool
) -> list[ConnectionView]:
    """Return the connections to close so that memory is released; empty if that is not enough.

    A new large body displaces only requests and readers that have stalled. A short request also
    displaces incomplete bodies that make progress, the slowest first.

    Parameters
    ----------
    views : sequence of ConnectionView
        All connections.
    needed : int
        Bytes to release.
    now : float
        Monotonic time in seconds.
    is_large_body : bool
        Whether the memory is for a large body.
    """
    holders = [
        view
        for view in views
        if view.held_bytes > 0 and view.stage not in (ConnectionStage.IDLE, ConnectionStage.RUNNING)
    ]
    stalled = [view for view in holders if view.is_stalled(now)]
    # Those that hold much memory for a long time come first.
    stalled.sort(key=lambda view: view.held_bytes * (now - view.progressed_at), reverse=True)
    active: list[ConnectionView] = []
    if not is_large_body:
        # A streamed request may run already, and a reader's request has run.
        displaceable = (ConnectionStage.BODY, ConnectionStage.HEAD)
        active = [v for v in holders if not v.is_stalled(now) and v.stage in displaceable]
        active.sort(key=lambda view: (view.compute_rate(now), view.number))
    chosen: list[ConnectionView] = []
    for view in (*stalled, *active):
        if needed <= 0:
            break
        chosen.append(view)
        needed -= view.held_bytes
    return chosen if needed <= 0 else []
