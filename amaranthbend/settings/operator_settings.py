"""Settings of the operator program, one file for each deployment."""

from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from ..core.errors import SettingsError
from .approvals import KEY_ID_FORM, KEY_ID_PATTERN
from .documents import ParsedDocument, scan_document
from .schema import (
    NAME_PATTERN,
    NAME_PATTERN_DESCRIPTION,
    Number,
    Problem,
    Section,
    SettingPath,
    Text,
    TextMap,
    Unit,
    check_section,
    format_path,
)

__all__ = ["OPERATOR_SECTION", "OperatorSettings", "load_operator_settings"]

MS_PER_S = 1000
DEFAULT_WATCH_INTERVAL_MS = 1000
IP_AND_PORT_PATTERN = r"[0-9a-fA-F:.]{2,45}:[0-9]{1,5}"

OPERATOR_SECTION = Section(
    "Settings of the operator program.",
    {
        "deployment": Text(
            "Name of the deployment.", NAME_PATTERN, NAME_PATTERN_DESCRIPTION, required=True
        ),
        "folder": Text(
            "Folder of settings files, absolute or relative to this file.",
            ".+",
            "a path",
            required=True,
        ),
        "platform_url": Text(
            "Address of the platform's object API.",
            r"https?://[!-~]+",
            "a URL such as http://10.0.0.5:7000",
            required=True,
        ),
        "approver_keys": TextMap(
            "Public keys whose approvals count, by key id; as in the process settings.",
            KEY_ID_PATTERN,
            KEY_ID_FORM,
            Text("Public key.", "[0-9a-f]{64}", "64 hexadecimal digits, printed by keygen"),
            required=True,
        ),
        "required_approvals": Number(
            "Distinct keys that must approve; as in the process settings.", 1, 100, required=True
        ),
        "watch_interval_ms": Number(
            "Interval between two reads of the folder.", 100, 60_000, Unit.MILLISECONDS
        ),
        "statsd_target": Text(
            "Address and UDP port that receive counters.",
            IP_AND_PORT_PATTERN,
            "an IP address and a port, such as 127.0.0.1:8125",
        ),
    },
)


class OperatorSettings(NamedTuple):
    """Settings of the operator program.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    folder : Path
        Folder of settings files.
    platform_url : str
        Address of the platform's object API.
    approver_keys : dict of str to str
        Public keys as hexadecimal text, by key id.
    required_approvals : int
        Minimum number of distinct keys that must have signed.
    watch_interval_s : float
        Interval between two reads of the folder.
    statsd_target : str
        `address:port` of the statsd server, empty to send nothing.
    """

    deployment: str
    folder: Path
    platform_url: str
    approver_keys: dict[str, str]
    required_approvals: int
    watch_interval_s: float
    statsd_target: str


def load_operator_settings(path: Path) -> Result[OperatorSettings, list[SettingsError]]:
    """Return the settings of a file, or all errors found in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        remedy = "pass the path of the operator settings as --settings"
        return Err([SettingsError(str(path), 0, "(file)", f"cannot read it: {error}", remedy)])
    document, errors = scan_document(text, path.name)
    if document is None or errors:
        return Err(errors)
    problems = check_section(document.value, OPERATOR_SECTION) or _check_key_count(document.value)
    if problems:
        return Err([_make_error(problem, document, path.name) for problem in problems])
    return Ok(_make_operator_settings(document.value, path.parent))


def _check_key_count(value: dict[str, Any]) -> list[Problem]:
    """Return a problem if fewer distinct keys are given than approvals are required."""
    distinct = len(set(value["approver_keys"].values()))
    required = value["required_approvals"]
    if distinct >= required:
        return []
    problem = f"{required} approvals can never be reached with {distinct} distinct keys"
    remedy = "add approver keys, or lower it here and in the process settings"
    return [Problem(("required_approvals",), problem, remedy)]


def _make_error(problem: Problem, document: ParsedDocument, file: str) -> SettingsError:
    path: SettingPath = problem.path
    while path not in document.positions:
        path = path[:-1]
    line = document.positions[path].line
    setting = format_path(problem.path)
    return SettingsError(file, line, setting, problem.problem, problem.remedy)


def _make_operator_settings(value: dict[str, Any], parent: Path) -> OperatorSettings:
    interval_ms = value.get("watch_interval_ms", DEFAULT_WATCH_INTERVAL_MS)
    return OperatorSettings(
        deployment=value["deployment"],
        folder=parent / value["folder"],
        platform_url=value["platform_url"],
        approver_keys=value["approver_keys"],
        required_approvals=value["required_approvals"],
        watch_interval_s=interval_ms / MS_PER_S,
        statsd_target=value.get("statsd_target", ""),
    )
