"""Stateful test of the envelopes offered to the processes of a deployment."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, initialize, invariant, rule

from amaranthbend.core.envelope import SettingsEnvelope, Signature, compute_digest
from amaranthbend.core.envelope_decisions import EnvelopeVerdict
from amaranthbend.settings.acceptance import Approvers, accept_envelope
from amaranthbend.settings.approvals import sign_envelope

from .settings_cases import APPROVER_KEYS, KEYS, make_envelope, make_merged

APPROVERS = Approvers("eeslikoda", APPROVER_KEYS, 2)
PROCESSES = st.integers(0, 2)
HOSTS = st.integers(10, 14)


def get_identity(envelope: SettingsEnvelope) -> tuple[Any, ...]:
    """Return the fields that an approval covers."""
    return envelope.serial, envelope.base_digest, envelope.digest


class Deployment(RuleBasedStateMachine):
    """Three processes, two operators, and an attacker who can write to the platform."""

    offers: Bundle[SettingsEnvelope] = Bundle("offers")

    @initialize()
    def start(self) -> None:
        """Start without settings."""
        self.current: list[SettingsEnvelope | None] = [None, None, None]
        self.highest = [0, 0, 0]
        self.stored: SettingsEnvelope | None = None
        self.approved: set[tuple[Any, ...]] = set()

    def approve(self, base: SettingsEnvelope | None, hosts: int) -> SettingsEnvelope:
        """Return an envelope that both approvers signed."""
        serial = base.serial + 1 if base else 1
        merged = make_merged(entry_hosts_max=hosts)
        envelope = make_envelope(serial, base.digest if base else "", merged)
        self.approved.add(get_identity(envelope))
        return envelope

    @rule(target=offers, hosts=HOSTS)
    def publish(self, hosts: int) -> SettingsEnvelope:
        """Let one operator publish an approved change."""
        self.stored = self.approve(self.stored, hosts)
        return self.stored

    @rule(target=offers, first=HOSTS, second=HOSTS)
    def publish_as_two(self, first: int, second: int) -> SettingsEnvelope:
        """Let two operators publish changes of the same base; the conditional update takes one.

        The platform refuses the second envelope, but it may still be offered to processes.
        """
        base = self.stored
        self.stored = self.approve(base, first)
        return self.approve(base, second)

    @rule(target=offers, offer=offers, hosts=HOSTS, fix_digest=st.booleans())
    def change_content(
        self, offer: SettingsEnvelope, hosts: int, fix_digest: bool
    ) -> SettingsEnvelope:
        """Change approved settings, but keep the signatures."""
        merged = make_merged(entry_hosts_max=hosts + 100)
        digest = compute_digest(offer.manifest, merged) if fix_digest else offer.digest
        return offer._replace(merged=merged, digest=digest)

    @rule(target=offers, offer=offers, step=st.integers(-3, 3))
    def change_serial(self, offer: SettingsEnvelope, step: int) -> SettingsEnvelope:
        """Replay approved settings with another serial."""
        return offer._replace(serial=offer.serial + step)

    @rule(target=offers, offer=offers, twice=st.booleans(), step=st.integers(0, 2))
    def forge_signatures(self, offer: SettingsEnvelope, twice: bool, step: int) -> SettingsEnvelope:
        """Let one approver alone sign a change, twice with their own key or with a foreign one."""
        forged = offer._replace(serial=offer.serial + step, manifest=())
        forged = forged._replace(digest=compute_digest((), forged.merged))
        own = sign_envelope(forged, KEYS[0])
        foreign = sign_envelope(forged, KEYS[2])._replace(key_id=KEYS[1].key_id)
        other = Signature(KEYS[1].key_id, own.signature) if twice else foreign
        return forged._replace(signatures=(own, own, other))

    @rule(process=PROCESSES, offer=offers)
    def offer_any(self, process: int, offer: SettingsEnvelope) -> None:
        """Offer a process any envelope, whether new, old, replayed or forged."""
        self.offer(process, offer)

    @rule(process=PROCESSES)
    def offer_stored(self, process: int) -> None:
        """Offer a process the stored envelope; its serial is at least as high afterwards."""
        if self.stored is None:
            return
        self.offer(process, self.stored)
        current = self.current[process]
        assert current is not None
        assert current.serial >= self.stored.serial

    def offer(self, process: int, offer: SettingsEnvelope) -> None:
        """Let one process decide on an offered envelope, and check its decision."""
        current = self.current[process]
        decision, accepted = accept_envelope(current, offer, APPROVERS, 0.0)
        assert (accepted is not None) is (decision.verdict is EnvelopeVerdict.ACCEPTED)
        assert (decision.reason is not None) is (decision.verdict is EnvelopeVerdict.REJECTED)
        if accepted is None:
            return
        assert accepted.envelope.serial > self.highest[process]
        self.highest[process] = accepted.envelope.serial
        self.current[process] = accepted.envelope

    @invariant()
    def only_approved_settings_are_in_force(self) -> None:
        """Check that each process's current envelope was approved with exactly this content."""
        for current in self.current:
            if current is None:
                continue
            assert get_identity(current) in self.approved
            assert compute_digest(current.manifest, current.merged) == current.digest


TestDeployment = Deployment.TestCase
TestDeployment.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=30
)
