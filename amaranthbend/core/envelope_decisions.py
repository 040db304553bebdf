"""Acceptance or rejection of an offered settings envelope.

The decision depends only on the current and the offered envelope. `now` is recorded with it, so
that the age of the settings in force can be reported.
"""

from enum import StrEnum
from typing import NamedTuple

from result import Err, Result

from .envelope import SettingsEnvelope, compute_digest
from .errors import ApprovalError, SettingsError

__all__ = [
    "EnvelopeDecision",
    "EnvelopeVerdict",
    "RejectionReason",
    "decide_envelope",
    "reject_envelope",
]

FIRST_SERIAL = 1


class EnvelopeVerdict(StrEnum):
    """What to do with an offered envelope."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    REJECTED = "rejected"


class RejectionReason(StrEnum):
    """Why an offered envelope is rejected; each has its own counter, named after its value."""

    LOWER_SERIAL = "lower_serial"
    CONFLICTING_DIGEST = "conflicting_digest"
    WRONG_DIGEST = "wrong_digest"
    WRONG_DEPLOYMENT = "wrong_deployment"
    TOO_FEW_APPROVALS = "too_few_approvals"
    MALFORMED_ENVELOPE = "malformed_envelope"
    MALFORMED_SETTINGS = "malformed_settings"


class EnvelopeDecision(NamedTuple):
    """Decision about one offered envelope.

    Parameters
    ----------
    verdict : EnvelopeVerdict
        Whether the offered envelope replaces the current one.
    decided_at : float
        Monotonic time of the decision in seconds.
    reason : RejectionReason or None
        Why it is rejected.
    message : str
        What is wrong and how to correct it, for the log.
    """

    verdict: EnvelopeVerdict
    decided_at: float
    reason: RejectionReason | None = None
    message: str = ""


def reject_envelope(reason: RejectionReason, message: str, now: float) -> EnvelopeDecision:
    """Return a rejection.

    Parameters
    ----------
    reason : RejectionReason
        Reason, which also selects the counter.
    message : str
        What is wrong and how to correct it.
    now : float
        Monotonic time in seconds.
    """
    return EnvelopeDecision(EnvelopeVerdict.REJECTED, now, reason, message)


def decide_envelope(
    current: SettingsEnvelope | None,
    offered: SettingsEnvelope,
    deployment: str,
    approval: Result[None, ApprovalError],
    settings: Result[object, SettingsError],
    now: float,
) -> EnvelopeDecision:
    """Decide whether an offered envelope replaces the current one.

    Parameters
    ----------
    current : SettingsEnvelope or None
        Envelope in force, None if there is none yet.
    offered : SettingsEnvelope
        Envelope received from the platform, a peer or an entry process.
    deployment : str
        Deployment that the process belongs to.
    approval : Result
        Result of verifying the signatures of the offered envelope.
    settings : Result
        Result of building the policy from the offered settings.
    now : float
        Monotonic time in seconds.
    """
    if offered.deployment != deployment:
        message = (
            f"the envelope is for deployment {offered.deployment!r}, this process serves "
            f"{deployment!r}; correct the process settings or the publishing folder"
        )
        return reject_envelope(RejectionReason.WRONG_DEPLOYMENT, message, now)
    if offered.digest != _recompute_digest(offered):
        message = (
            f"digest {offered.digest!r} is not that of the manifest and the merged settings; "
            "publish again from the folder"
        )
        return reject_envelope(RejectionReason.WRONG_DIGEST, message, now)
    order = _compare_serials(current, offered, now)
    if order is not None:
        return order
    if isinstance(approval, Err):
        return reject_envelope(RejectionReason.TOO_FEW_APPROVALS, str(approval.err_value), now)
    if isinstance(settings, Err):
        return reject_envelope(RejectionReason.MALFORMED_SETTINGS, str(settings.err_value), now)
    if offered.merged.get("deployment") != deployment:
        message = (
            f"the settings name deployment {offered.merged.get('deployment')!r}, this process "
            f"serves {deployment!r}; correct the key 'deployment' in the folder"
        )
        return reject_envelope(RejectionReason.WRONG_DEPLOYMENT, message, now)
    return EnvelopeDecision(EnvelopeVerdict.ACCEPTED, now)


def _recompute_digest(envelope: SettingsEnvelope) -> str:
    try:
        return compute_digest(envelope.manifest, envelope.merged)
    except RecursionError:
        # An offered envelope may contain anything; such deep nesting is never valid.
        return ""


def _compare_serials(
    current: SettingsEnvelope | None, offered: SettingsEnvelope, now: float
) -> EnvelopeDecision | None:
    """Return the decision if the serials and digests determine it, otherwise None."""
    lowest = current.serial if current is not None else FIRST_SERIAL
    if offered.serial < lowest:
        message = (
            f"serial {offered.serial} is lower than {lowest}; to return to earlier settings, "
            "approve and publish them with a new serial"
        )
        return reject_envelope(RejectionReason.LOWER_SERIAL, message, now)
    if current is None or offered.serial > current.serial:
        return None
    if offered.digest != current.digest:
        message = (
            f"serial {offered.serial} is in force with digest {current.digest}, offered with "
            f"{offered.digest}; publish the change again, based on the envelope in force"
        )
        return reject_envelope(RejectionReason.CONFLICTING_DIGEST, message, now)
    return EnvelopeDecision(EnvelopeVerdict.UNCHANGED, now)
