"""Tests of publishing against an in-memory object store with injected faults."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from result import Err, Ok, Result

from amaranthbend.adapters.platform import PlatformCallError, PlatformErrorKind, StoredObject
from amaranthbend.core.backoff import Backoff
from amaranthbend.core.envelope import SettingsEnvelope, dump_envelope, load_envelope
from amaranthbend.settings.approvals import sign_envelope, write_approval
from amaranthbend.settings.folder import check_folder, make_candidate, read_folder
from amaranthbend.settings.operator_settings import OperatorSettings, load_operator_settings
from amaranthbend.settings.publishing import Publication, PublishStatus
from amaranthbend.settings.watching import publish_folder, watch_folder

from .settings_cases import KEYS, make_envelope, make_merged, write_folder, write_operator_settings

KIND = PlatformErrorKind
REMOVAL = '{"services": {"adopt-desk": {"limits": null}}}'


class FakeStore:
    """Object store whose next writes can fail before or after they take effect.

    Parameters
    ----------
    faults : list of str
        Fault of each write: `ok`, `lost_after`, `lost_before`, `down`, `overwritten_then_lost`.
    stale_reads : int
        Number of reads after the first write that still return the state before it.
    """

    def __init__(self, faults: list[str] | None = None, stale_reads: int = 0) -> None:
        self.object: StoredObject | None = None
        self.faults = faults or []
        self.stale_reads = stale_reads
        self.stale_object: StoredObject | None = None
        self.writes = 0

    async def get(self, kind: str, name: str) -> Result[StoredObject, PlatformCallError]:
        """Read the object; a stale read returns its state before the first write."""
        visible = self.object
        if self.writes and self.stale_reads:
            self.stale_reads -= 1
            visible = self.stale_object
        return Ok(visible) if visible else Err(PlatformCallError(KIND.NOT_FOUND, name, "404"))

    async def create(self, kind: str, name: str, value: Any) -> Result[int, PlatformCallError]:
        """Create the object."""
        return self._write(name, value, 0)

    async def replace(
        self, kind: str, name: str, value: Any, version: int
    ) -> Result[int, PlatformCallError]:
        """Replace the object."""
        return self._write(name, value, version)

    def put(self, envelope: SettingsEnvelope) -> None:
        """Write without a condition, to simulate the write of another operator."""
        version = self.object.version + 1 if self.object else 1
        document = dump_envelope(envelope)
        self.object = StoredObject(envelope.deployment, version, document)

    def _write(self, name: str, value: Any, expected: int) -> Result[int, PlatformCallError]:
        fault = self.faults.pop(0) if self.faults else "ok"
        if not self.writes:
            self.stale_object = self.object
        self.writes += 1
        if fault == "overwritten_then_lost":
            self.put(make_envelope(serial=value["serial"], base="other"))
        if fault in ("down", "lost_before", "overwritten_then_lost"):
            kind = KIND.UNAVAILABLE if fault == "down" else KIND.LOST_RESPONSE
            return Err(PlatformCallError(kind, name, fault))
        if (self.object.version if self.object else 0) != expected:
            return Err(PlatformCallError(KIND.CONFLICT, name, "412"))
        self.object = StoredObject(name, expected + 1, value)
        if fault == "lost_after":
            return Err(PlatformCallError(KIND.LOST_RESPONSE, name, fault))
        return Ok(expected + 1)


class OperatorFolder:
    """Settings folder and operator settings of one operator."""

    def __init__(self, path: Path) -> None:
        path.mkdir(exist_ok=True)
        self.folder = path / "settings"
        self.folder.mkdir()
        write_folder(self.folder)
        write_operator_settings(path / "operator.jsonc", "http://127.0.0.1:1")
        self.settings: OperatorSettings = load_operator_settings(path / "operator.jsonc").unwrap()

    def approve(self, base: SettingsEnvelope | None, keys: int = 2) -> None:
        """Approve the current content of the folder as the replacement of a base."""
        checked = check_folder(read_folder(self.folder).unwrap(), "eeslikoda").unwrap()
        candidate = make_candidate(checked, "eeslikoda", base)
        for key in KEYS[:keys]:
            write_approval(self.folder, candidate, sign_envelope(candidate, key)).unwrap()

    def publish(self, store: FakeStore) -> Publication:
        """Publish the folder without waiting between attempts."""

        async def skip(delay_s: float) -> None:
            assert 0 <= delay_s <= 30

        backoff = Backoff(lambda: 0.5)
        snapshot = read_folder(self.folder)
        return asyncio.run(publish_folder(store, self.settings, snapshot, backoff, skip))


@pytest.fixture
def operator(tmp_path: Path) -> OperatorFolder:
    """Return a folder with valid settings."""
    return OperatorFolder(tmp_path / "one")


def read_stored(store: FakeStore) -> SettingsEnvelope:
    """Return the envelope that the store holds."""
    assert store.object is not None
    return load_envelope(store.object.value)


def test_approved_changes_follow_each_other(operator: OperatorFolder) -> None:
    """Guards against approvals of an earlier serial that block or approve a later change."""
    store = FakeStore()
    operator.approve(None)
    assert operator.publish(store).status is PublishStatus.PUBLISHED
    assert operator.publish(store).status is PublishStatus.IN_FORCE
    first = read_stored(store)
    (operator.folder / "90-change.jsonc").write_text(REMOVAL)
    assert operator.publish(store).status is PublishStatus.TOO_FEW_APPROVALS
    operator.approve(first)
    assert operator.publish(store).status is PublishStatus.PUBLISHED
    assert (read_stored(store).serial, read_stored(store).base_digest) == (2, first.digest)


@pytest.mark.parametrize("change", ["edit", "comment", "remove", "rename", "add", "one_key"])
def test_a_change_after_the_approval_makes_it_void(operator: OperatorFolder, change: str) -> None:
    """Guards against a change that is published with the approvals of another change."""
    store = FakeStore()
    (operator.folder / "90-change.jsonc").write_text(REMOVAL)
    operator.approve(None, keys=1 if change == "one_key" else 2)
    path = operator.folder / "90-change.jsonc"
    if change == "edit":
        path.write_text('{"entry_hosts_max": 17}')
    if change == "comment":
        path.write_text("// a note\n" + REMOVAL)
    if change == "remove":
        path.unlink()
    if change == "rename":
        path.rename(operator.folder / "91-change.jsonc")
    if change == "add":
        (operator.folder / "95-more.jsonc").write_text("{}")
    publication = operator.publish(store)
    assert publication.status is PublishStatus.TOO_FEW_APPROVALS
    assert "approve" in publication.messages[0]
    assert store.writes == 0


@pytest.mark.parametrize(
    ("faults", "stale_reads", "status", "serial"),
    [
        (["lost_after"], 0, PublishStatus.PUBLISHED, 2),
        (["lost_before"], 0, PublishStatus.PUBLISHED, 2),
        (["lost_before", "lost_after"], 0, PublishStatus.PUBLISHED, 2),
        (["lost_after"], 2, PublishStatus.PUBLISHED, 2),
        (["lost_after"], 99, PublishStatus.UNKNOWN_EFFECT, 2),
        (["lost_before"] * 9, 0, PublishStatus.UNKNOWN_EFFECT, 1),
        (["down", "down"], 0, PublishStatus.PUBLISHED, 2),
        (["down"] * 9, 0, PublishStatus.PLATFORM_UNAVAILABLE, 1),
        (["overwritten_then_lost"], 0, PublishStatus.BASE_REPLACED, 2),
        (["overwritten_then_lost"], 2, PublishStatus.BASE_REPLACED, 2),
    ],
)
def test_lost_responses_and_rivals(
    operator: OperatorFolder,
    faults: list[str],
    stale_reads: int,
    status: PublishStatus,
    serial: int,
) -> None:
    """Guards against a successful write reported as failed, or another's write as its own."""
    store = FakeStore(faults, stale_reads)
    base = make_envelope(merged=make_merged(entry_hosts_max=20))
    store.put(base)
    operator.approve(base)
    assert operator.publish(store).status is status
    assert read_stored(store).serial == serial


def test_the_second_operator_is_rejected_with_the_remedy(
    operator: OperatorFolder, tmp_path: Path
) -> None:
    """Guards against a change approved on a base that another operator has replaced."""
    store = FakeStore()
    base = make_envelope(merged=make_merged(entry_hosts_max=20))
    store.put(base)
    other = OperatorFolder(tmp_path / "two")
    (other.folder / "90-change.jsonc").write_text(REMOVAL)
    operator.approve(base)
    other.approve(base)
    assert operator.publish(store).status is PublishStatus.PUBLISHED
    publication = other.publish(store)
    assert publication.status is PublishStatus.TOO_FEW_APPROVALS
    assert "base is no longer in force" in " ".join(publication.messages)
    assert "run diff" in " ".join(publication.messages)
    assert read_stored(store).merged == make_merged()


def test_approvals_can_be_renewed_after_a_change_of_keys(operator: OperatorFolder) -> None:
    """Guards against a key that cannot be retired because its approval cannot be replaced."""
    store = FakeStore()
    operator.approve(None)
    operator.publish(store)
    first = read_stored(store)
    operator.approve(first)
    assert operator.publish(store).status is PublishStatus.PUBLISHED
    assert (read_stored(store).serial, read_stored(store).digest) == (2, first.digest)
    assert operator.publish(store).status is PublishStatus.IN_FORCE


def test_watch_reports_a_half_written_file_once_and_recovers(operator: OperatorFolder) -> None:
    """Guards against a half-written file that is published, stops the watch or floods the log."""
    store = FakeStore()
    operator.approve(None)
    path = operator.folder / "00-deployment.jsonc"
    whole = path.read_text()
    path.write_text(whole[:-4])
    reports: list[Publication] = []

    async def run() -> None:
        stopped = asyncio.Event()
        backoff = Backoff(lambda: 0.5)

        async def publish_once(snapshot: Any) -> Publication:
            return await publish_folder(store, operator.settings, snapshot, backoff)

        watch = asyncio.create_task(
            watch_folder(operator.folder, 0.01, publish_once, reports.append, backoff, stopped)
        )
        await asyncio.sleep(0.2)
        assert store.writes == 0
        path.write_text(whole)
        for _ in range(500):
            if len(reports) > 1:
                break
            await asyncio.sleep(0.01)
        stopped.set()
        await asyncio.wait_for(watch, 5)

    asyncio.run(run())
    statuses = [report.status for report in reports]
    assert statuses == [PublishStatus.INVALID_SETTINGS, PublishStatus.PUBLISHED]
    assert "00-deployment.jsonc:" in reports[0].messages[0]
