"""Requests at upstreams that will not answer them, and how long an error response is kept back.

Load pattern: an upstream that cannot queue a request never answers it, nor any later one on that
connection, while it answers its probes. Requests would wait there until their deadlines.
"""

from collections.abc import Iterable

__all__ = ["AttemptKey", "compute_fallback_time", "find_silent"]

# Request and number of the attempt.
AttemptKey = tuple[int, int]

# Younger attempts may not have reached the upstream yet, or wait for a new connection.
MIN_SILENT_AGE_S = 0.1
# Share of the latency goal that the other attempt of a request has at least after one attempt has
# ended with an error response.
FALLBACK_GOAL_SHARE = 0.25
# The error response is delivered this long before the deadline at the latest, as a caller that has
# reached its deadline no longer reads it.
DELIVERY_MARGIN_S = 0.05


def find_silent(
    attempts: Iterable[tuple[AttemptKey, float]], held: int, now: float
) -> list[AttemptKey]:
    """Return the attempts that an upstream does not hold, by its answer to a probe.

    An upstream that holds fewer requests than this host alone has there has dropped some. The
    oldest ones are named: the others may be held.

    Parameters
    ----------
    attempts : iterable of (AttemptKey, float)
        This host's attempts in flight at the upstream, with the times at which they were sent.
    held : int
        Requests that run or queue at the upstream, by its report.
    now : float
        Present time.
    """
    old = sorted((sent_at, key) for key, sent_at in attempts if now - sent_at >= MIN_SILENT_AGE_S)
    return [key for _, key in old[: max(0, len(old) - held)]]


def compute_fallback_time(sent_at: float, goal_s: float, deadline: float, now: float) -> float:
    """Return until when a ready error response is kept back for another attempt in flight.

    The other attempt gets as long as it could still meet the latency goal by itself, and at least
    a part of the goal from now on. Waiting longer brings a late response at best.

    Parameters
    ----------
    sent_at : float
        Time at which the other attempt was sent.
    goal_s : float
        Latency goal of the request in seconds.
    deadline : float
        Deadline of the request.
    now : float
        Present time.
    """
    until = max(sent_at + goal_s, now + FALLBACK_GOAL_SHARE * goal_s)
    return min(until, deadline - DELIVERY_MARGIN_S)
