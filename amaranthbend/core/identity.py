"""Identification of callers by the keys of their teams.

Keys are kept and compared as digests, so that a lookup takes the same time for right and wrong
keys, and no key stays in the memory of the process after the configuration has been read.
"""

import hashlib
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from .policy import TeamPolicy

__all__ = ["Identity", "KeyRing", "KeyVerdict", "compute_key_digest", "decide_key", "judge_key"]

DIGEST_BYTES = 16


class KeyVerdict(StrEnum):
    """Whether a request may pass with the key that it carries."""

    ACCEPTED = "accepted"
    # No configuration known here has the key.
    UNKNOWN = "unknown"
    # The key is unknown, but a configuration that has it may be in force elsewhere.
    UNDECIDED = "undecided"


class Identity(NamedTuple):
    """Decision on the key of a request, and the team that holds the key, if any."""

    verdict: KeyVerdict
    team: TeamPolicy | None = None


def compute_key_digest(key: str) -> bytes:
    """Return the digest by which a key is stored and looked up.

    Parameters
    ----------
    key : str
        Key of a team, as callers send it.
    """
    return hashlib.blake2b(key.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).digest()


class KeyRing:
    """Teams by the digests of their keys.

    Parameters
    ----------
    teams : iterable of TeamPolicy
        Teams of the configuration; each key belongs to one of them.
    """

    def __init__(self, teams: Iterable[TeamPolicy] = ()) -> None:
        self._teams = {digest: team for team in teams for digest in team.key_digests}

    def find_team(self, key: str) -> TeamPolicy | None:
        """Return the team that holds a key, or None."""
        return self._teams.get(compute_key_digest(key))


def decide_key(
    ring: KeyRing, key: str, *, is_public: bool, confirmed_at: float, max_age_s: float, now: float
) -> Identity:
    """Return whether a request may pass with its key, and its team.

    A key that is unknown here may have been added by a configuration that has not arrived yet. As
    long as the configuration was confirmed recently, the key is refused for good. Otherwise the
    caller is asked to return, which leads it to another host.

    Parameters
    ----------
    ring : KeyRing
        Keys of the configuration in force.
    key : str
        Key that the request carries, empty without one.
    is_public : bool
        Whether the route needs no key.
    confirmed_at : float
        Time at which the store last confirmed that there was no newer configuration.
    max_age_s : float
        Time in which a new configuration must take effect.
    now : float
        Present time.
    """
    team = ring.find_team(key) if key else None
    if team is not None or is_public:
        return Identity(KeyVerdict.ACCEPTED, team)
    age_s = now - confirmed_at
    return Identity(judge_key(has_key=bool(key), age_s=age_s, max_age_s=max_age_s))


def judge_key(*, has_key: bool, age_s: float, max_age_s: float) -> KeyVerdict:
    """Return the verdict on a request without a known key, on a route that needs one.

    Parameters
    ----------
    has_key : bool
        Whether it carries a key.
    age_s : float
        Time in seconds since the configuration was confirmed to be the newest one.
    max_age_s : float
        Time in which a new configuration must take effect.
    """
    return KeyVerdict.UNDECIDED if has_key and age_s > max_age_s else KeyVerdict.UNKNOWN
