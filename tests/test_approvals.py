"""Tests of approvals, of the acceptance of envelopes and of the typed policy."""

from pathlib import Path
from typing import Any

import pytest
from result import Err, Ok

from amaranthbend.core.actions import WorkClass
from amaranthbend.core.envelope import SettingsEnvelope, Signature, dump_envelope
from amaranthbend.core.envelope_decisions import EnvelopeVerdict, RejectionReason
from amaranthbend.core.errors import SettingsError
from amaranthbend.core.policy import LimitPolicy
from amaranthbend.settings.acceptance import Approvers, accept_document
from amaranthbend.settings.approvals import (
    create_key,
    load_key,
    save_key,
    verify_envelope,
)
from amaranthbend.settings.policies import build_policy

from .settings_cases import APPROVER_KEYS, KEYS, make_envelope, make_merged

APPROVERS = Approvers("eeslikoda", APPROVER_KEYS, 2)
DEEPLY_NESTED: dict[str, Any] = {}
for _ in range(100_000):
    DEEPLY_NESTED = {"a": DEEPLY_NESTED}


def sign_twice(envelope: SettingsEnvelope) -> SettingsEnvelope:
    """Return the envelope with one approver's signature under two key ids."""
    signature = envelope.signatures[0].signature
    return envelope._replace(
        signatures=(Signature("legal-0", signature), Signature("legal-1", signature))
    )


@pytest.mark.parametrize(
    ("envelope", "accepted"),
    [
        (make_envelope(), True),
        (make_envelope(keys=KEYS[:1]), False),
        (make_envelope(keys=[KEYS[0], KEYS[2]]), False),
        (make_envelope(keys=[KEYS[0], KEYS[0]]), False),
        (sign_twice(make_envelope()), False),
        (make_envelope(keys=[KEYS[0]] * 99 + [KEYS[1]] * 2), False),
        (make_envelope()._replace(serial=2), False),
        (make_envelope()._replace(base_digest="a"), False),
        (make_envelope()._replace(deployment="ihuriro"), False),
        (make_envelope()._replace(merged=make_merged(entry_hosts_max=3)), False),
        (make_envelope()._replace(signatures=(Signature("legal-0", "zz"),)), False),
    ],
)
def test_only_distinct_valid_signatures_count(envelope: SettingsEnvelope, accepted: bool) -> None:
    """Guards against a change that takes effect without the required approvals."""
    assert verify_envelope(envelope, APPROVER_KEYS, 2).is_ok() is accepted


def test_one_key_under_two_ids_counts_once() -> None:
    """Guards against counting one approver twice, and accepting an envelope if 0 are required."""
    alias = create_key("alias").unwrap()._replace(signing_key=KEYS[0].signing_key)
    keys = {"legal-0": KEYS[0].public_key, "alias": KEYS[0].public_key.upper()}
    assert verify_envelope(make_envelope(keys=[KEYS[0], alias]), keys, 2).is_err()
    assert verify_envelope(make_envelope(keys=[]), keys, 0).is_err()


HELD = make_envelope(serial=5, base="d4")
OTHER_SETTINGS = make_merged(entry_hosts_max=20)


@pytest.mark.parametrize(
    ("document", "reason"),
    [
        (dump_envelope(make_envelope(6, HELD.digest, OTHER_SETTINGS)), None),
        (dump_envelope(make_envelope(9, "d8", OTHER_SETTINGS)), None),
        (dump_envelope(make_envelope(4, "d3")), RejectionReason.LOWER_SERIAL),
        (dump_envelope(make_envelope(5, "d4", OTHER_SETTINGS)), RejectionReason.CONFLICTING_DIGEST),
        (dump_envelope(make_envelope(6)._replace(digest="d")), RejectionReason.WRONG_DIGEST),
        (
            dump_envelope(make_envelope(6, merged=make_merged(deployment="ihuriro"))),
            RejectionReason.WRONG_DEPLOYMENT,
        ),
        (
            dump_envelope(make_envelope(6, HELD.digest, OTHER_SETTINGS, KEYS[:1])),
            RejectionReason.TOO_FEW_APPROVALS,
        ),
        (
            dump_envelope(make_envelope(6, merged=make_merged(routes={}))),
            RejectionReason.MALFORMED_SETTINGS,
        ),
        (
            {**dump_envelope(make_envelope(6)), "merged": DEEPLY_NESTED},
            RejectionReason.WRONG_DIGEST,
        ),
        ([], RejectionReason.MALFORMED_ENVELOPE),
    ],
)
def test_each_rejection_has_its_reason(document: Any, reason: RejectionReason | None) -> None:
    """Guards against settings that are older, conflicting, unapproved or malformed."""
    decision, accepted = accept_document(HELD, document, APPROVERS, 7.0)
    assert (decision.reason, decision.decided_at) == (reason, 7.0)
    assert (accepted is None) is (reason is not None)
    assert (decision.verdict is EnvelopeVerdict.ACCEPTED) is (reason is None)


def test_the_held_envelope_is_unchanged_and_the_first_accepted() -> None:
    """Guards against rejecting the envelope in force, or the first one that a process gets."""
    document = dump_envelope(HELD)
    decision, accepted = accept_document(HELD, document, APPROVERS, 0.0)
    assert (decision.verdict, accepted) == (EnvelopeVerdict.UNCHANGED, None)
    decision, accepted = accept_document(None, document, APPROVERS, 0.0)
    assert accepted is not None
    assert accepted.envelope == HELD


def test_policy_holds_the_settings_and_the_defaults() -> None:
    """Guards against a unit that is not converted or a default that differs."""
    policy = build_policy(make_merged())
    assert policy.routes[0].deadline_s == 2.5
    assert policy.routes[0].methods == ("GET", "HEAD")
    assert policy.routes[0].work_class is WorkClass.SHORT
    assert policy.services["adopt-desk"].limits == LimitPolicy(long_after_s=0.5)
    assert policy.entry_hosts_max == 16


@pytest.mark.parametrize("merged", [{}, DEEPLY_NESTED, [], None, make_merged(routes={"a": None})])
def test_malformed_merged_settings_give_a_typed_error(merged: Any) -> None:
    """Guards against a process that crashes on settings that are signed but malformed."""
    with pytest.raises(SettingsError):
        build_policy(merged)


def test_key_file_is_private_and_never_replaced(tmp_path: Path) -> None:
    """Guards against a key that others can read or that a second keygen overwrites."""
    path = tmp_path / "key"
    assert isinstance(save_key(KEYS[0], path), Ok)
    assert load_key(path).unwrap().public_key == KEYS[0].public_key
    assert isinstance(save_key(KEYS[1], path), Err)
    path.chmod(0o644)
    assert "chmod 600" in str(load_key(path).unwrap_err())
    path.chmod(0o600)
    path.write_text('{"private_key": "00", "key_id": "a"}')
    assert "keygen" in str(load_key(path).unwrap_err())
