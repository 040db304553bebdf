"""Identification of the caller's team by the key in the request."""

import math
from collections.abc import Callable

from ..adapters.caller import CallerRequest
from ..adapters.metrics import Counters
from ..core.identity import KeyRing, KeyVerdict, decide_key
from ..core.outcomes import OutcomeReason
from ..core.policy import DeploymentPolicy, TeamPolicy
from .local_responses import LocalResponse, make_refusal

__all__ = ["IdentityFilter", "parse_bearer_key"]

KEY_FIELD = "Authorization"
KEY_SCHEME = "bearer"
# A longer key belongs to no team; hashing it would only cost time.
MAX_KEY_LENGTH = 1024
# A host that may have missed a configuration asks callers to return at once: the next connection
# leads to another host.
OUTDATED_RETRY_S = 0.05


class IdentityFilter:
    """Sets the team of a request; refuses requests without a known key on routes that need one.

    Without teams in the configuration, requests pass unchanged.

    Parameters
    ----------
    counters : Counters
        Receives the counters of refused keys.
    get_confirmation_time : callable
        Returns the time at which the configuration was last confirmed to be the newest one, on the
        clock that requests use.
    max_age_s : float
        Time in which a new configuration must take effect.
    """

    def __init__(
        self,
        counters: Counters,
        get_confirmation_time: Callable[[float], float] = lambda now: now,
        max_age_s: float = math.inf,
    ) -> None:
        self._counters = counters
        self._get_confirmation_time = get_confirmation_time
        self.max_age_s = max_age_s
        # Teams of the configuration by name.
        self.teams: dict[str, TeamPolicy] = {}
        self._ring = KeyRing()

    def set_policy(self, policy: DeploymentPolicy) -> None:
        """Replace the teams and their keys."""
        self.teams = {team.name: team for team in policy.teams}
        self._ring = KeyRing(policy.teams)

    def get_configuration_age_s(self, now: float) -> float:
        """Return the seconds since the configuration was last confirmed to be the newest one."""
        return now - self._get_confirmation_time(now)

    def check(self, request: CallerRequest, now: float) -> LocalResponse | None:
        """Set the team of a request, or refuse it."""
        if not self.teams:
            return None
        route = request.route
        assert route is not None
        request.has_team_fields = True
        fields = request.headers.get_list(KEY_FIELD)
        identity = decide_key(
            self._ring,
            parse_bearer_key(fields[0]) if len(fields) == 1 else "",
            is_public=route.is_public,
            confirmed_at=self._get_confirmation_time(now),
            max_age_s=self.max_age_s,
            now=now,
        )
        request.team = identity.team
        if identity.verdict is KeyVerdict.ACCEPTED:
            return None
        self._counters.incr(f"identity.{identity.verdict}")
        if identity.verdict is KeyVerdict.UNDECIDED:
            return make_refusal(OutcomeReason.OUTDATED_CONFIGURATION, OUTDATED_RETRY_S, closes=True)
        return make_refusal(OutcomeReason.UNKNOWN_KEY)


def parse_bearer_key(value: str) -> str:
    """Return the key in the value of an `Authorization` field, empty if it holds none."""
    scheme, _, key = value.strip().partition(" ")
    if scheme.lower() != KEY_SCHEME or len(key) > MAX_KEY_LENGTH:
        return ""
    return key.strip()
