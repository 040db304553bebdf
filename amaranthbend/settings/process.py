"""Settings of one process, from its own file; unlike the settings folder it needs no approval."""

import types
from pathlib import Path
from typing import Any, NamedTuple, TypeVar, get_args, get_origin, get_type_hints

from ..core.errors import SettingsError
from .documents import ParsedDocument, parse_document

__all__ = ["EntrySettings", "load_process_settings"]

T = TypeVar("T")


class EntrySettings(NamedTuple):
    """Settings of an entry process.

    Parameters
    ----------
    deployment, data_centre, host_id, process_id : str
        Where the process runs; `process_id` is unique on its host.
    address, port : str, int
        Where callers connect.
    reuse_port : bool
        Whether several entry processes of the host share the port.
    admin_address, admin_port : str, int
        Where the administration API listens.
    control_target : str
        `address:port` of the host's control process.
    platform_url : str
        Base URL of the platform, for claims; if empty, requests that need a claim are refused.
    statsd_target : str
        `address:port` of the statsd server, empty to send nothing.
    approver_keys : dict of str to str
        Public keys of the approvers as hexadecimal text, by key id.
    required_approvals : int
        Minimum number of approvals of a settings change.
    entry_processes : int
        Number of entry processes on the host, which divide its probe share among them.
    balancer_lag_s : float
        Time the platform's load balancer needs to notice that the process is not ready.
    stall_timeout_s : float
        Time without progress after which a stream is aborted.
    connect_timeout_s : float
        Maximum time to establish a connection to an upstream.
    held_body_bytes : int
        Maximum size of a request body that is buffered in full, so that it can be resent.
    buffered_bytes : int
        Maximum memory for the buffered bodies of all requests and responses together.
    max_descriptors : int
        File descriptors that the process may open. A third of them is for connections of callers.
    max_header_bytes : int
        Maximum size of the request line and headers together.
    """

    deployment: str
    data_centre: str
    host_id: str
    process_id: str
    address: str
    port: int
    admin_address: str
    admin_port: int
    control_target: str
    approver_keys: dict[str, str]
    platform_url: str = ""
    statsd_target: str = ""
    required_approvals: int = 2
    entry_processes: int = 1
    reuse_port: bool = False
    balancer_lag_s: float = 5.0
    stall_timeout_s: float = 30.0
    connect_timeout_s: float = 0.25
    held_body_bytes: int = 64 * 1024
    buffered_bytes: int = 64 * 1024 * 1024
    max_header_bytes: int = 32 * 1024
    max_descriptors: int = 8192


def load_process_settings(file: str, settings_type: type[T]) -> T:
    """Return the settings in a file of JSON with comments.

    Parameters
    ----------
    file : str
        Path of the file.
    settings_type : type
        NamedTuple whose fields are the settings.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a setting is unknown, missing or of the wrong type.
    """
    try:
        text = Path(file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        remedy = "pass the path of a readable file with --settings"
        raise SettingsError(file, 0, "", str(error), remedy) from error
    return _make_settings(parse_document(text, file), file, settings_type)


def _make_settings(document: ParsedDocument, file: str, settings_type: type[T]) -> T:
    value = document.value
    types_by_name = get_type_hints(settings_type)
    names = ", ".join(types_by_name)
    for name, setting in value.items():
        line = _find_line(document, name)
        if name not in types_by_name:
            problem = f"unknown setting; valid ones are {names}"
            raise SettingsError(file, line, name, problem, "correct or remove it")
        if not _has_type(setting, types_by_name[name]):
            expected = _describe_type(types_by_name[name])
            problem = f"{setting!r} is not {expected}"
            raise SettingsError(file, line, name, problem, f"give {expected}")
    defaults: dict[str, Any] = getattr(settings_type, "_field_defaults", {})
    for name in types_by_name:
        if name not in value and name not in defaults:
            raise SettingsError(file, 1, name, "missing", "add it")
    return settings_type(**value)


def _find_line(document: ParsedDocument, name: str) -> int:
    position = document.positions.get((name,))
    return 0 if position is None else position.line


def _has_type(value: Any, expected: Any) -> bool:
    if isinstance(expected, types.GenericAlias) and get_origin(expected) is dict:
        _, item = get_args(expected)
        return isinstance(value, dict) and all(_has_type(v, item) for v in value.values())
    if expected is float:
        return type(value) in (int, float) and value >= 0
    if expected is int:
        return type(value) is int and value >= 0
    return type(value) is expected


def _describe_type(expected: Any) -> str:
    if expected is str:
        return "a string"
    if expected is int:
        return "a whole number of at least 0"
    if expected is float:
        return "a number of at least 0"
    if expected is bool:
        return "true or false"
    return "an object of strings"
