"""Reading and checking the operator's folder of settings files and approvals."""

import hashlib
import re
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok, Result

from ..core.envelope import (
    ManifestEntry,
    SettingsEnvelope,
    compute_digest,
    dump_canonical,
    dump_envelope,
)
from ..core.errors import SettingsError
from .documents import ParsedDocument, scan_document
from .merging import MergedSettings, merge_documents

__all__ = [
    "CheckedFolder",
    "FolderFile",
    "FolderSnapshot",
    "check_folder",
    "make_candidate",
    "read_folder",
]

SETTINGS_SUFFIX = ".jsonc"
APPROVAL_SUFFIX = ".approval.json"
FILE_NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,127}"
FILE_NAME_FORM = "letters, digits and . _ -, starting with a letter or digit"
# The platform accepts values of up to 1 MB; the remainder is reserved for signatures.
MAX_ENVELOPE_BYTES = 950_000
MAX_FILE_BYTES = 1_000_000
MAX_FILES = 10_000


class FolderFile(NamedTuple):
    """Name and content of one file."""

    name: str
    data: bytes


class FolderSnapshot(NamedTuple):
    """Content of the folder at one moment.

    Parameters
    ----------
    files : tuple of FolderFile
        Settings files in merge order.
    approvals : tuple of FolderFile
        Approval files.
    ignored : tuple of str
        Names of all other entries except hidden files.
    """

    files: tuple[FolderFile, ...]
    approvals: tuple[FolderFile, ...]
    ignored: tuple[str, ...]


class CheckedFolder(NamedTuple):
    """Manifest and merged settings of a folder that passed all checks."""

    manifest: tuple[ManifestEntry, ...]
    merged: MergedSettings


def read_folder(folder: Path) -> Result[FolderSnapshot, SettingsError]:
    """Read the settings and approval files; skip files that are deleted during the read."""
    files: list[FolderFile] = []
    approvals: list[FolderFile] = []
    ignored: list[str] = []
    try:
        # Sort by code point, so that the order does not depend on the host.
        paths = sorted(folder.iterdir(), key=lambda path: path.name)
        for path in paths:
            # Editors keep lock and swap files under hidden names.
            if path.name.startswith("."):
                continue
            group = _select_group(path, files, approvals)
            if group is None:
                ignored.append(path.name)
                continue
            file = _read_file(path)
            if file is not None:
                group.append(file)
    except OSError as error:
        problem = f"cannot read {error.filename}: {error.strerror}"
        remedy = "check the path 'folder' in the operator settings and the permissions"
        return Err(SettingsError(str(folder), 0, "(folder)", problem, remedy))
    if len(files) + len(approvals) > MAX_FILES:
        problem = f"more than {MAX_FILES} files"
        remedy = "move old approvals to an archive and combine settings files"
        return Err(SettingsError(str(folder), 0, "(folder)", problem, remedy))
    return Ok(FolderSnapshot(tuple(files), tuple(approvals), tuple(ignored)))


def _select_group(
    path: Path, files: list[FolderFile], approvals: list[FolderFile]
) -> list[FolderFile] | None:
    # Skip everything but regular files: opening a named pipe would block until it has a writer.
    if not path.is_file():
        return None
    if path.name.endswith(SETTINGS_SUFFIX):
        return files
    return approvals if path.name.endswith(APPROVAL_SUFFIX) else None


def _read_file(path: Path) -> FolderFile | None:
    try:
        with path.open("rb") as stream:
            return FolderFile(path.name, stream.read(MAX_FILE_BYTES + 1))
    except FileNotFoundError:
        return None


def check_folder(
    snapshot: FolderSnapshot, deployment: str
) -> Result[CheckedFolder, list[SettingsError]]:
    """Parse, merge and check all settings files.

    Parameters
    ----------
    snapshot : FolderSnapshot
        Content of the folder.
    deployment : str
        Deployment that the operator settings name.

    Returns
    -------
    Result
        The checked settings, or all problems found.
    """
    documents: dict[str, ParsedDocument] = {}
    errors: list[SettingsError] = []
    for file in snapshot.files:
        document, problems = _parse_file(file)
        errors += problems
        if document is not None:
            documents[file.name] = document
    complete = len(documents) == len(snapshot.files)
    merged = merge_documents(documents, complete=complete)
    if isinstance(merged, Err):
        return Err(errors + merged.err_value)
    if errors:
        return Err(errors)
    manifest = tuple(
        ManifestEntry(file.name, hashlib.sha256(file.data).hexdigest()) for file in snapshot.files
    )
    checked = CheckedFolder(manifest, merged.ok_value)
    errors = list(_check_merged_settings(checked, deployment))
    return Err(errors) if errors else Ok(checked)


def _parse_file(file: FolderFile) -> tuple[ParsedDocument | None, list[SettingsError]]:
    if not re.fullmatch(FILE_NAME_PATTERN, file.name):
        problem = f"file name {file.name!r} is not valid"
        remedy = f"rename it; valid are {FILE_NAME_FORM}"
        return None, [SettingsError(ascii(file.name), 0, "(file)", problem, remedy)]
    if len(file.data) > MAX_FILE_BYTES:
        problem = f"the file is larger than {MAX_FILE_BYTES:,} bytes"
        return None, [SettingsError(file.name, 0, "(file)", problem, "split or shorten it")]
    try:
        text = file.data.decode()
    except UnicodeDecodeError as error:
        line = file.data.count(b"\n", 0, error.start) + 1
        problem = f"byte 0x{file.data[error.start]:02x} is not UTF-8"
        return None, [SettingsError(file.name, line, "(file)", problem, "save the file as UTF-8")]
    return scan_document(text, file.name)


def _check_merged_settings(checked: CheckedFolder, deployment: str) -> Iterable[SettingsError]:
    """Yield problems that show only in the merged settings: wrong deployment, total size."""
    name = checked.merged.value["deployment"]
    if name != deployment:
        origin = checked.merged.origins[("deployment",)]
        problem = f"{name!r} is not the deployment {deployment!r} of the operator settings"
        remedy = "correct the name, or use the operator settings of that deployment"
        yield SettingsError(origin.file, origin.line, "deployment", problem, remedy)
    size = len(dump_canonical(dump_envelope(make_candidate(checked, deployment, None))))
    if size > MAX_ENVELOPE_BYTES:
        problem = f"the settings take {size:,} bytes, at most {MAX_ENVELOPE_BYTES:,} can be stored"
        remedy = "remove settings that equal their default, or combine files"
        yield SettingsError("(folder)", 0, "(folder)", problem, remedy)


def make_candidate(
    checked: CheckedFolder, deployment: str, base: SettingsEnvelope | None
) -> SettingsEnvelope:
    """Build the unsigned envelope that would replace the base.

    Parameters
    ----------
    checked : CheckedFolder
        Settings of the folder.
    deployment : str
        Name of the deployment.
    base : SettingsEnvelope or None
        Envelope in force, None if there is none yet.
    """
    merged = checked.merged.value
    return SettingsEnvelope(
        deployment=deployment,
        serial=base.serial + 1 if base is not None else 1,
        base_digest=base.digest if base is not None else "",
        digest=compute_digest(checked.manifest, merged),
        manifest=checked.manifest,
        merged=merged,
        signatures=(),
    )
