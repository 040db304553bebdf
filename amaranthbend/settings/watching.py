"""Publication of the settings folder, once or after each change."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from result import Err, Result

from ..core.backoff import Backoff
from ..core.errors import SettingsError
from .approvals import verify_envelope
from .folder import FolderSnapshot, check_folder, make_candidate, read_folder
from .operator_settings import OperatorSettings
from .publishing import (
    ObjectStore,
    Publication,
    PublishStatus,
    Sleep,
    collect_approvals,
    is_in_force,
    publish_envelope,
    read_base,
)

__all__ = ["Publish", "publish_folder", "watch_folder"]

# Failures that are resolved without the operator once the platform recovers.
TRANSIENT_STATUSES = (PublishStatus.PLATFORM_UNAVAILABLE, PublishStatus.UNKNOWN_EFFECT)
# Reads from the platform may be stale, so a rejection caused by the base is retried.
RECHECK_INTERVAL_S = 30.0

Publish = Callable[[Result[FolderSnapshot, SettingsError]], Awaitable[Publication]]
ReportResult = Callable[[Publication], None]


async def publish_folder(
    store: ObjectStore,
    settings: OperatorSettings,
    snapshot: Result[FolderSnapshot, SettingsError],
    backoff: Backoff,
    sleep: Sleep = asyncio.sleep,
) -> Publication:
    """Merge and check the settings of the folder; write them if enough approvals match.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    settings : OperatorSettings
        Deployment and approver keys.
    snapshot : Result
        Content of the folder, or why it cannot be read.
    backoff : Backoff
        Delays between retries of platform calls.
    sleep : callable, optional
        Waits for a number of seconds.
    """
    if isinstance(snapshot, Err):
        return Publication(PublishStatus.INVALID_SETTINGS, (str(snapshot.err_value),))
    checked = check_folder(snapshot.ok_value, settings.deployment)
    if isinstance(checked, Err):
        messages = tuple(str(error) for error in checked.err_value)
        return Publication(PublishStatus.INVALID_SETTINGS, messages)
    base = await read_base(store, settings.deployment)
    if isinstance(base, Err):
        return base.err_value
    unsigned = make_candidate(checked.ok_value, settings.deployment, base.ok_value.envelope)
    candidate = collect_approvals(unsigned, snapshot.ok_value.approvals, settings.approver_keys)
    if is_in_force(base.ok_value, unsigned) and not candidate.envelope.signatures:
        return Publication(PublishStatus.IN_FORCE, (f"serial {unsigned.serial - 1}",))
    approval = verify_envelope(
        candidate.envelope, settings.approver_keys, settings.required_approvals
    )
    if isinstance(approval, Err):
        messages = (str(approval.err_value), *candidate.notes)
        return Publication(PublishStatus.TOO_FEW_APPROVALS, messages)
    return await publish_envelope(store, candidate.envelope, base.ok_value, backoff, sleep)


async def watch_folder(
    folder: Path,
    interval_s: float,
    publish: Publish,
    report: ReportResult,
    backoff: Backoff,
    stopped: asyncio.Event,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Publish after each change of the folder until `stopped` is set.

    A result is reported only if it differs from the last one or the folder has
    changed, so that a persistent failure does not repeat its message.

    Parameters
    ----------
    folder : Path
        Folder of settings files.
    interval_s : float
        Interval between two reads of the folder.
    publish : callable
        Publishes a snapshot.
    report : callable
        Shows a result to the operator.
    backoff : Backoff
        Delays after transient failures.
    stopped : asyncio.Event
        Ends the loop when set; a publication in progress is completed first.
    clock : callable, optional
        Monotonic time in seconds.
    """
    last_snapshot: object = None
    last_publication: Publication | None = None
    next_publication_at = clock()
    while not stopped.is_set():
        read = read_folder(folder)
        snapshot: object = str(read.err_value) if isinstance(read, Err) else read.ok_value
        changed = snapshot != last_snapshot
        if changed or clock() >= next_publication_at:
            publication = await publish(read)
            if changed or publication != last_publication:
                report(publication)
            last_snapshot, last_publication = snapshot, publication
            next_publication_at = clock() + _choose_delay(publication, backoff)
        try:
            await asyncio.wait_for(stopped.wait(), interval_s)
        except TimeoutError:
            continue


def _choose_delay(publication: Publication, backoff: Backoff) -> float:
    if publication.status in TRANSIENT_STATUSES:
        return backoff.next_delay()
    backoff.reset()
    return RECHECK_INTERVAL_S
