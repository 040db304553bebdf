"""The settings envelope: the unit that is approved, stored on the platform and put in force."""

import hashlib
import json
from typing import Any, NamedTuple, TypedDict

__all__ = [
    "APPROVAL_PURPOSE",
    "EnvelopeDocument",
    "ManifestEntry",
    "SettingsEnvelope",
    "Signature",
    "compute_digest",
    "compute_signed_message",
    "dump_canonical",
    "dump_envelope",
    "load_envelope",
]

# Part of the signed message, so that a signature made with the same key for another purpose does
# not count as an approval.
APPROVAL_PURPOSE = "amaranthbend-approval-v1"


class ManifestEntry(NamedTuple):
    """Name and SHA-256 of one settings file, in merge order."""

    name: str
    sha256: str


class Signature(NamedTuple):
    """Ed25519 signature over the signed message, as hexadecimal text."""

    key_id: str
    signature: str


class EnvelopeDocument(TypedDict):
    """JSON form of an envelope."""

    deployment: str
    serial: int
    base_digest: str
    digest: str
    manifest: list[list[str]]
    merged: dict[str, Any]
    signatures: list[list[str]]


class SettingsEnvelope(NamedTuple):
    """One approved set of settings.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    serial : int
        Number of the version, from 1; each accepted change increases it by one.
    base_digest : str
        Digest of the envelope that this one replaces, empty for the first.
    digest : str
        Digest of the manifest and the merged settings.
    manifest : tuple of ManifestEntry
        Settings files in merge order.
    merged : dict
        Merged and validated settings.
    signatures : tuple of Signature
        Signatures of the approvers.
    """

    deployment: str
    serial: int
    base_digest: str
    digest: str
    manifest: tuple[ManifestEntry, ...]
    merged: dict[str, Any]
    signatures: tuple[Signature, ...]


def dump_canonical(value: Any) -> str:
    """Return canonical JSON, which is the same text for equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=True)


def compute_digest(manifest: tuple[ManifestEntry, ...], merged: dict[str, Any]) -> str:
    """Return the SHA-256 of the manifest and the merged settings, as hexadecimal text."""
    text = dump_canonical({"manifest": [list(entry) for entry in manifest], "merged": merged})
    return hashlib.sha256(text.encode()).hexdigest()


def compute_signed_message(deployment: str, serial: int, base_digest: str, digest: str) -> bytes:
    """Return the bytes that an approver signs."""
    message = {
        "purpose": APPROVAL_PURPOSE,
        "deployment": deployment,
        "serial": serial,
        "base_digest": base_digest,
        "digest": digest,
    }
    return dump_canonical(message).encode()


def dump_envelope(envelope: SettingsEnvelope) -> EnvelopeDocument:
    """Return the JSON form of an envelope."""
    return EnvelopeDocument(
        deployment=envelope.deployment,
        serial=envelope.serial,
        base_digest=envelope.base_digest,
        digest=envelope.digest,
        manifest=[list(entry) for entry in envelope.manifest],
        merged=envelope.merged,
        signatures=[list(signature) for signature in envelope.signatures],
    )


def load_envelope(document: Any) -> SettingsEnvelope:
    """Return the envelope from its JSON form.

    Raises
    ------
    ValueError
        If a field is missing or has the wrong type.
    """
    try:
        envelope = SettingsEnvelope(
            deployment=document["deployment"],
            serial=document["serial"],
            base_digest=document["base_digest"],
            digest=document["digest"],
            manifest=tuple(ManifestEntry(*entry) for entry in document["manifest"]),
            merged=document["merged"],
            signatures=tuple(Signature(*signature) for signature in document["signatures"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed settings envelope: {error!r}") from error
    texts = [envelope.deployment, envelope.base_digest, envelope.digest]
    texts += [text for entry in envelope.manifest for text in entry]
    texts += [text for signature in envelope.signatures for text in signature]
    if not all(isinstance(text, str) for text in texts):
        raise ValueError(
            "malformed settings envelope: names, digests and signatures must be strings"
        )
    if type(envelope.serial) is not int or not isinstance(envelope.merged, dict):
        raise ValueError("malformed settings envelope: serial must be an integer, merged an object")
    return envelope
