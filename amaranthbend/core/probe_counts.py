"""Number of probes that a round may send, by the fill level of the probe budget."""

import math

from .policy import RequestProbePolicy
from .probe_rounds import RequestProbeBudget

__all__ = ["MULTI_ROUND_TOKEN_SHARE", "count_probes_allowed"]

# Fill level of the probe budget below which each attempt gets a single round of probes.
MULTI_ROUND_TOKEN_SHARE = 0.8
# Fill level of the probe budget below which rounds have fewer probes, down to the minimum.
FULL_ROUND_TOKEN_SHARE = 0.1
MIN_PROBES_PER_ROUND = 2


def count_probes_allowed(
    policy: RequestProbePolicy, budget: RequestProbeBudget, number: int
) -> int:
    """Return the number of probes that a round may send, 0 for a further round if few remain.

    Parameters
    ----------
    policy : RequestProbePolicy
        Number of local and remote probes.
    budget : RequestProbeBudget
        The probe budget.
    number : int
        Number of the round for its attempt, from 1.
    """
    full_round = policy.local_probes + policy.remote_probes
    token_share = budget.compute_token_share()
    if number > 1 and token_share < MULTI_ROUND_TOKEN_SHARE:
        return 0
    # Two reports bring most of the gain, so that scarce probes are spread over more requests.
    wanted = max(
        MIN_PROBES_PER_ROUND,
        math.ceil(full_round * min(1.0, token_share / FULL_ROUND_TOKEN_SHARE)),
    )
    return int(min(full_round, wanted, budget.get_tokens()))
