"""Publication of approved settings by conditional writes to the platform's object store."""

from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from result import Err, Ok, Result

from ..adapters.platform import PlatformCallError, PlatformErrorKind, StoredObject
from ..core.backoff import Backoff
from ..core.envelope import SettingsEnvelope, Signature, dump_envelope, load_envelope
from .approvals import describe_mismatch, load_approval, verify_envelope
from .folder import FolderFile

__all__ = [
    "SETTINGS_KIND",
    "Base",
    "Candidate",
    "ObjectStore",
    "PublishStatus",
    "Publication",
    "collect_approvals",
    "is_in_force",
    "publish_envelope",
    "read_base",
]

SETTINGS_KIND = "settings"
# With full jitter from 0.2 s, 6 attempts wait about 3 s on average and 6 s at most.
MAX_WRITE_ATTEMPTS = 6

Sleep = Callable[[float], Awaitable[None]]


class ObjectStore(Protocol):
    """Methods of the platform client that publishing uses."""

    async def get(self, kind: str, name: str) -> Result[StoredObject, PlatformCallError]:
        """Read one object."""

    async def create(self, kind: str, name: str, value: Any) -> Result[int, PlatformCallError]:
        """Create an object; fail if it exists."""

    async def replace(
        self, kind: str, name: str, value: Any, version: int
    ) -> Result[int, PlatformCallError]:
        """Replace an object; fail if its version is not the given one."""


class PublishStatus(StrEnum):
    """Result of a publication; each value is also the name of a counter."""

    PUBLISHED = "published"
    IN_FORCE = "in_force"
    INVALID_SETTINGS = "invalid_settings"
    TOO_FEW_APPROVALS = "too_few_approvals"
    BASE_REPLACED = "base_replaced"
    BASE_MALFORMED = "base_malformed"
    PLATFORM_REFUSED = "platform_refused"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    UNKNOWN_EFFECT = "unknown_effect"


class Publication(NamedTuple):
    """Result of a publication, with messages of one line each for the operator."""

    status: PublishStatus
    messages: tuple[str, ...] = ()


class Base(NamedTuple):
    """Envelope that the platform stores and its object version; both None if there is none yet."""

    envelope: SettingsEnvelope | None
    version: int | None


class Candidate(NamedTuple):
    """Envelope with its valid approvals, and the reasons why other approvals do not count."""

    envelope: SettingsEnvelope
    notes: tuple[str, ...]


async def read_base(store: ObjectStore, deployment: str) -> Result[Base, Publication]:
    """Read the envelope that the platform stores.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    deployment : str
        Name of the deployment.
    """
    result = await store.get(SETTINGS_KIND, deployment)
    if isinstance(result, Err):
        error = result.err_value
        if error.kind is PlatformErrorKind.NOT_FOUND:
            return Ok(Base(None, None))
        unavailable = "nothing was written; the settings in force stay in force"
        message = f"{error}; {unavailable}"
        return Err(Publication(PublishStatus.PLATFORM_UNAVAILABLE, (message,)))
    stored = result.ok_value
    try:
        envelope = load_envelope(stored.value)
    except ValueError as error:
        message = (
            f"{SETTINGS_KIND}/{deployment}: {error}; processes keep the settings in force; "
            "ask the platform's administrators to restore the object"
        )
        return Err(Publication(PublishStatus.BASE_MALFORMED, (message,)))
    return Ok(Base(envelope, stored.version))


def collect_approvals(
    unsigned: SettingsEnvelope, files: Iterable[FolderFile], approver_keys: dict[str, str]
) -> Candidate:
    """Add the valid approvals among the files to the envelope.

    Parameters
    ----------
    unsigned : SettingsEnvelope
        Envelope made from the folder, to replace the base.
    files : iterable of FolderFile
        Approval files.
    approver_keys : dict of str to str
        Public keys as hexadecimal text, by key id.
    """
    signatures: dict[str, Signature] = {}
    notes: list[str] = []
    for file in files:
        loaded = load_approval(file.data.decode(errors="replace"))
        if isinstance(loaded, Err):
            notes.append(f"{file.name}: {loaded.err_value}")
            continue
        approval = loaded.ok_value
        # Approvals of the base and of earlier envelopes stay in the folder as records; skip them.
        published = approval.serial < unsigned.serial and approval.digest == unsigned.base_digest
        if published or approval.serial < unsigned.serial - 1:
            continue
        mismatch = describe_mismatch(approval, unsigned)
        if mismatch:
            notes.append(f"{file.name}: {mismatch}; run diff, review the change, approve again")
            continue
        signature = Signature(approval.key_id, approval.signature)
        signed = unsigned._replace(signatures=(signature,))
        if verify_envelope(signed, approver_keys, 1).is_err():
            notes.append(
                f"{file.name}: not a valid signature of an approver key; "
                "check approver_keys, or approve again"
            )
            continue
        signatures[approval.key_id] = signature
    return Candidate(unsigned._replace(signatures=tuple(signatures.values())), tuple(notes))


def is_in_force(base: Base, candidate: SettingsEnvelope) -> bool:
    """Return whether the base has the same files and settings as the candidate."""
    return base.envelope is not None and base.envelope.digest == candidate.digest


async def publish_envelope(
    store: ObjectStore, envelope: SettingsEnvelope, base: Base, backoff: Backoff, sleep: Sleep
) -> Publication:
    """Write an approved envelope if the platform still stores the base.

    The write can be retried safely: a successful write changes the version that the condition
    requires, so the envelope is written at most once.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    envelope : SettingsEnvelope
        Envelope with enough approvals.
    base : Base
        Stored envelope and version that the new envelope replaces.
    backoff : Backoff
        Delays between attempts.
    sleep : callable
        Waits for a number of seconds.
    """
    maybe_written = False
    error: PlatformCallError | None = None
    for _ in range(MAX_WRITE_ATTEMPTS):
        result = await _write_envelope(store, envelope, base)
        if isinstance(result, Ok):
            return Publication(PublishStatus.PUBLISHED)
        error = result.err_value
        kind = error.kind
        if kind in (PlatformErrorKind.TOO_LARGE, PlatformErrorKind.MALFORMED):
            return Publication(PublishStatus.PLATFORM_REFUSED, (str(error),))
        if kind not in (PlatformErrorKind.RATE_LIMITED, PlatformErrorKind.UNAVAILABLE):
            # A conflict may stem from an earlier write of this envelope whose
            # response was lost, in this run or in one that was interrupted.
            maybe_written = True
            read_result = await store.get(SETTINGS_KIND, envelope.deployment)
            publication = _interpret_read_back(read_result, envelope, base)
            if publication is not None:
                return publication
        await sleep(backoff.next_delay())
    if maybe_written:
        message = (
            "it is not known whether the change was written; the condition keeps it from being "
            "written twice; run publish again, which reads it back"
        )
        return Publication(PublishStatus.UNKNOWN_EFFECT, (message,))
    message = f"{error}; nothing was written; the settings in force stay in force"
    return Publication(PublishStatus.PLATFORM_UNAVAILABLE, (message,))


async def _write_envelope(
    store: ObjectStore, envelope: SettingsEnvelope, base: Base
) -> Result[int, PlatformCallError]:
    document = dump_envelope(envelope)
    if base.version is None:
        return await store.create(SETTINGS_KIND, envelope.deployment, document)
    return await store.replace(SETTINGS_KIND, envelope.deployment, document, base.version)


def _interpret_read_back(
    read_result: Result[StoredObject, PlatformCallError], envelope: SettingsEnvelope, base: Base
) -> Publication | None:
    """Return the result that the object read back proves, or None if it is still unknown."""
    if isinstance(read_result, Err):
        deleted = (
            read_result.err_value.kind is PlatformErrorKind.NOT_FOUND and base.version is not None
        )
        return _report_replaced_base("it was deleted meanwhile") if deleted else None
    # Reads may return stale data, so reading the base does not prove that the write failed.
    if base.version is not None and read_result.ok_value.version <= base.version:
        return None
    try:
        stored = load_envelope(read_result.ok_value.value)
    except ValueError as error:
        return _report_replaced_base(str(error))
    if stored._replace(signatures=()) == envelope._replace(signatures=()):
        return Publication(PublishStatus.PUBLISHED, ("recognised by reading it back",))
    if stored.serial == envelope.serial + 1 and stored.base_digest == envelope.digest:
        message = f"serial {stored.serial} of another operator has replaced it since"
        return Publication(PublishStatus.PUBLISHED, (message,))
    found = f"serial {stored.serial}, digest {stored.digest[:12]} is there"
    if stored.serial > envelope.serial + 1:
        found += f"; whether serial {envelope.serial} was this change is not known"
    return _report_replaced_base(found)


def _report_replaced_base(found: str) -> Publication:
    message = (
        f"the base is no longer in force: {found}; take over the other operator's files, "
        "run diff, review the change and have it approved again"
    )
    return Publication(PublishStatus.BASE_REPLACED, (message,))
