"""Approvals of settings: Ed25519 signatures, key files and approval files."""

import json
import os
import re
import stat
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple, TypedDict

from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey
from result import Err, Ok, Result

from ..core.envelope import (
    APPROVAL_PURPOSE,
    SettingsEnvelope,
    Signature,
    compute_digest,
    compute_signed_message,
)
from ..core.errors import ApprovalError

__all__ = [
    "Approval",
    "ApproverKey",
    "create_key",
    "describe_mismatch",
    "dump_approval",
    "load_approval",
    "load_key",
    "name_approval_file",
    "save_key",
    "sign_envelope",
    "verify_envelope",
    "write_approval",
]

KEY_PURPOSE = "amaranthbend-approver-key-v1"
KEY_ID_PATTERN = "[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?"
KEY_ID_FORM = "1 to 64 lower-case letters, digits and inner hyphens"
PUBLIC_KEY_BYTES = 32
# Verifying a signature takes about 0.1 ms and blocks the process, which serves no requests
# meanwhile; a stored object of 1 MB could hold several thousand signatures.
MAX_SIGNATURES = 100
SIGNATURE_BYTES = 64
# Whoever can read a key file can sign as its approver, so only its owner may have access.
GROUP_AND_OTHER_MODE_BITS = 0o077


class ApproverKey(NamedTuple):
    """Private key of an approver."""

    key_id: str
    signing_key: SigningKey

    @property
    def public_key(self) -> str:
        """Public key as hexadecimal text, as the process settings hold it."""
        return bytes(self.signing_key.verify_key).hex()


class Approval(NamedTuple):
    """Content of an approval file."""

    deployment: str
    serial: int
    base_digest: str
    digest: str
    key_id: str
    signature: str


class ApprovalDocument(TypedDict):
    """JSON form of an approval file."""

    purpose: str
    deployment: str
    serial: int
    base_digest: str
    digest: str
    key_id: str
    signature: str


def verify_envelope(
    envelope: SettingsEnvelope, approver_keys: Mapping[str, str], required_approvals: int
) -> Result[None, ApprovalError]:
    """Check that the digest is correct and that enough distinct keys have signed.

    Parameters
    ----------
    envelope : SettingsEnvelope
        Envelope from any source.
    approver_keys : mapping of str to str
        Public keys as hexadecimal text, by key id.
    required_approvals : int
        Minimum number of distinct keys that must have signed.
    """
    if required_approvals < 1:
        problem = f"required_approvals is {required_approvals}; set it to at least 1"
        return Err(ApprovalError(problem))
    if len(envelope.signatures) > MAX_SIGNATURES:
        problem = f"{len(envelope.signatures)} signatures, at most {MAX_SIGNATURES} are verified"
        return Err(ApprovalError(f"{problem}; publish again"))
    try:
        digest = compute_digest(envelope.manifest, envelope.merged)
    except RecursionError:
        return Err(ApprovalError("the settings are nested too deeply to be valid; publish again"))
    if digest != envelope.digest:
        problem = f"digest {envelope.digest!r} is not that of the settings; publish again"
        return Err(ApprovalError(problem))
    message = compute_signed_message(
        envelope.deployment, envelope.serial, envelope.base_digest, digest
    )
    # Signers are counted by public key: key ids with the same public key are one approver.
    signers: set[bytes] = set()
    for signature in envelope.signatures:
        public_key = _decode_hex(approver_keys.get(signature.key_id, ""), PUBLIC_KEY_BYTES)
        if public_key is None or not _is_valid_signature(message, signature.signature, public_key):
            continue
        signers.add(public_key)
    if len(signers) >= required_approvals:
        return Ok(None)
    approver_ids = ", ".join(sorted(approver_keys)) or "none"
    problem = (
        f"{len(signers)} valid approvals of serial {envelope.serial}, {required_approvals} "
        f"required, keys that count: {approver_ids}; approve the change with more of them"
    )
    return Err(ApprovalError(problem))


def _decode_hex(text: str, length: int) -> bytes | None:
    """Decode hexadecimal text; return None if it is not hexadecimal or its length differs."""
    try:
        data = bytes.fromhex(text)
    except ValueError:
        return None
    return data if len(data) == length else None


def _is_valid_signature(message: bytes, signature: str, public_key: bytes) -> bool:
    data = _decode_hex(signature, SIGNATURE_BYTES)
    if data is None:
        return False
    try:
        VerifyKey(public_key).verify(message, data)
    except BadSignatureError:
        return False
    return True


def sign_envelope(envelope: SettingsEnvelope, key: ApproverKey) -> Signature:
    """Return the approver's signature of an envelope.

    Parameters
    ----------
    envelope : SettingsEnvelope
        Envelope to approve; the new signature does not cover its existing signatures.
    key : ApproverKey
        Key of the approver.
    """
    message = compute_signed_message(
        envelope.deployment, envelope.serial, envelope.base_digest, envelope.digest
    )
    return Signature(key.key_id, key.signing_key.sign(message).signature.hex())


def name_approval_file(serial: int, key_id: str) -> str:
    """Return the file name of an approval."""
    return f"{serial:06d}-{key_id}.approval.json"


def dump_approval(envelope: SettingsEnvelope, signature: Signature) -> ApprovalDocument:
    """Return the JSON form of an approval of an envelope."""
    return ApprovalDocument(
        purpose=APPROVAL_PURPOSE,
        deployment=envelope.deployment,
        serial=envelope.serial,
        base_digest=envelope.base_digest,
        digest=envelope.digest,
        key_id=signature.key_id,
        signature=signature.signature,
    )


def write_approval(
    folder: Path, envelope: SettingsEnvelope, signature: Signature
) -> Result[Path, ApprovalError]:
    """Write an approval file atomically, so that a folder watcher never reads part of it.

    Parameters
    ----------
    folder : Path
        Folder of settings files.
    envelope : SettingsEnvelope
        Approved envelope.
    signature : Signature
        Signature of the approver.
    """
    path = folder / name_approval_file(envelope.serial, signature.key_id)
    # `read_folder` skips hidden files, so it does not read the temporary file.
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_text(json.dumps(dump_approval(envelope, signature), indent=2) + "\n")
        temporary.replace(path)
    except OSError as error:
        problem = f"cannot write {path}: {error.strerror}; check the permissions of the folder"
        return Err(ApprovalError(problem))
    return Ok(path)


def load_approval(text: str) -> Result[Approval, ApprovalError]:
    """Parse the content of an approval file."""
    try:
        document = json.loads(text)
        approval = Approval(**{name: document[name] for name in Approval._fields})
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return Err(ApprovalError(f"not an approval file: {error!r:.80}; approve again"))
    texts = [approval.deployment, approval.base_digest, approval.digest]
    texts += [approval.key_id, approval.signature]
    if not all(isinstance(text, str) for text in texts) or type(approval.serial) is not int:
        return Err(ApprovalError("not an approval file: wrong types; approve again"))
    if document.get("purpose") != APPROVAL_PURPOSE:
        purpose = str(document.get("purpose"))[:40]
        problem = f"purpose {purpose!r} is not {APPROVAL_PURPOSE!r}; approve again"
        return Err(ApprovalError(problem))
    return Ok(approval)


def describe_mismatch(approval: Approval, envelope: SettingsEnvelope) -> str:
    """Return why an approval does not match an envelope, or an empty string if it does."""
    if approval.deployment != envelope.deployment:
        return f"it is for deployment {approval.deployment!r}, not {envelope.deployment!r}"
    if approval.serial < envelope.serial and approval.base_digest != envelope.base_digest:
        return f"its base is no longer in force: serial {envelope.serial - 1} is"
    if approval.serial != envelope.serial:
        return f"it is for serial {approval.serial}, the next is {envelope.serial}"
    if approval.base_digest != envelope.base_digest:
        return f"its base {approval.base_digest[:12]} is not in force"
    if approval.digest != envelope.digest:
        return "a file was changed, added, removed or renamed after it"
    return ""


def create_key(key_id: str) -> Result[ApproverKey, ApprovalError]:
    """Generate an approver key.

    Parameters
    ----------
    key_id : str
        Name of the public key in the process settings.
    """
    if not re.fullmatch(KEY_ID_PATTERN, key_id):
        return Err(ApprovalError(f"key id {key_id!r} is not valid; use {KEY_ID_FORM}"))
    return Ok(ApproverKey(key_id, SigningKey.generate()))


def save_key(key: ApproverKey, path: Path) -> Result[None, ApprovalError]:
    """Write a new key file that only its owner can read; an existing file is kept."""
    document = {
        "purpose": KEY_PURPOSE,
        "key_id": key.key_id,
        "public_key": key.public_key,
        "private_key": bytes(key.signing_key).hex(),
    }
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except OSError as error:
        problem = f"cannot create key file {path}: {error.strerror}; use a new path"
        return Err(ApprovalError(problem))
    with os.fdopen(descriptor, "w") as stream:
        json.dump(document, stream, indent=2)
        stream.write("\n")
    return Ok(None)


def load_key(path: Path) -> Result[ApproverKey, ApprovalError]:
    """Return the key that a key file holds.

    Parameters
    ----------
    path : Path
        File that `save_key` wrote, readable by its owner only.
    """
    try:
        mode = stat.S_IMODE(path.stat().st_mode)
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err(ApprovalError(f"cannot read key file {path}: {error}; check the path"))
    if mode & GROUP_AND_OTHER_MODE_BITS:
        problem = f"key file {path} has mode {mode:o}, others can use it; run chmod 600 on it"
        return Err(ApprovalError(problem))
    try:
        document = json.loads(text)
        key_id, seed = document["key_id"], bytes.fromhex(document["private_key"])
        key = ApproverKey(key_id, SigningKey(seed))
        consistent = document["purpose"] == KEY_PURPOSE and document["public_key"] == key.public_key
    except Exception as error:  # noqa: BLE001 - PyNaCl raises its own types for a bad seed
        # The message does not quote the file, which may contain the private key.
        problem = f"{path} is not a key file ({type(error).__name__}); run keygen"
        return Err(ApprovalError(problem))
    if not consistent or not re.fullmatch(KEY_ID_PATTERN, key_id):
        return Err(ApprovalError(f"{path} is not a valid key file; run keygen"))
    return Ok(key)
