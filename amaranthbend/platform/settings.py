"""Loads the settings file that the platform writes for each process."""

import os
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from ..core.errors import SettingsError
from ..settings.node import NodeSettings
from .document_fields import get_address, get_string, parse_duration

__all__ = ["SETTINGS_ENV_VAR", "find_settings_file", "load_node_settings"]

T = TypeVar("T")

SETTINGS_ENV_VAR = "AMARANTHBEND_CONFIG"
DEFAULT_SETTINGS_FILE = "/etc/amaranthbend/settings.toml"
DEFAULT_MEMORY_MB = 200.0
# The process itself takes 30 MB.
MIN_MEMORY_MB = 64.0
BYTES_PER_MB = 1_000_000
DEFAULT_DESCRIPTORS = 1024.0
# The process itself, the store and the readiness check take 60.
MIN_DESCRIPTORS = 256
READINESS_PATH = "/api/readiness"


def find_settings_file() -> str:
    """Return the path of the settings file from the environment, or the default path."""
    return os.environ.get(SETTINGS_ENV_VAR, DEFAULT_SETTINGS_FILE)


def load_node_settings(file: str) -> NodeSettings:
    """Return the settings in a settings file of the platform; unknown fields are ignored.

    Parameters
    ----------
    file : str
        Path of the TOML file.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a setting is missing or of the wrong type.
    """
    try:
        document = tomllib.loads(Path(file).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        remedy = f"set {SETTINGS_ENV_VAR} or --settings to the path of a readable TOML file"
        raise SettingsError(file, 0, "", str(error), remedy) from error
    reader = _SettingsReader(file, document)
    return NodeSettings(
        host_id=reader.get_string("self.node"),
        data_centre=reader.get_string("self.zone"),
        data_centres=max(1, len(reader.list_entries("network.zones"))),
        caller_address=reader.get_address("network.listenAddresses.frontend"),
        readiness_address=reader.get_address("network.listenAddresses.readiness"),
        readiness_path=READINESS_PATH,
        peer_address=reader.get_peer_address(),
        is_first_start=reader.get_boolean("self.bootstrap"),
        store_address=reader.get_address("platform.platform.address"),
        grace_s=reader.get_duration("terms.bounds.gracePeriod", 6.0),
        apply_s=reader.get_duration("terms.bounds.configApply", 2.0),
        drain_s=reader.get_duration("terms.bounds.drainPeriod", 2.0),
        retry_ratio=reader.get_number("terms.bounds.retryBudgetRatio", 0.1),
        retry_slack=reader.get_number("terms.bounds.retryBudgetSlack", 0.0),
        probes_per_s=reader.get_number("terms.bounds.probesPerS", 0.0),
        memory_bytes=reader.get_memory_bytes("self.limits.memoryMb", DEFAULT_MEMORY_MB),
        max_descriptors=reader.get_descriptors("self.limits.fileDescriptors", DEFAULT_DESCRIPTORS),
        quota_address=reader.get_quota_address(),
        quota_window_s=reader.get_duration("terms.bounds.quotaWindow", 0.0),
        quota_overshoot=reader.get_number("terms.bounds.quotaOvershoot", 0.0),
        quota_slack=reader.get_number("terms.bounds.quotaSlack", 0.0),
        cold_overshoot=reader.get_number("terms.bounds.coldOvershoot", 1.0),
        cold_slack=reader.get_number("terms.bounds.coldSlack", 0.0),
        evacuation_s=reader.get_duration("terms.bounds.evacuation", 0.0),
        data_centre_names=reader.list_entries("network.zones"),
    )


class _SettingsReader:
    """Looks up fields by dotted name, and raises errors that name the invalid field.

    Parameters
    ----------
    file : str
        Path of the file, for error messages.
    document : dict
        Parsed content of the file.
    """

    def __init__(self, file: str, document: dict[str, Any]) -> None:
        self._file = file
        self._document = document

    def _find(self, name: str) -> tuple[dict[str, Any], str]:
        *tables, key = name.split(".")
        table: Any = self._document
        for part in tables:
            table = table.get(part) if isinstance(table, dict) else None
        return (table if isinstance(table, dict) else {}), key

    def _make_error(self, name: str, problem: object, remedy: str) -> SettingsError:
        return SettingsError(self._file, 0, name, str(problem), remedy)

    def _read(self, name: str, read: Callable[[dict[str, Any], str], T], remedy: str) -> T:
        table, key = self._find(name)
        try:
            return read(table, key)
        except ValueError as error:
            raise self._make_error(name, error, remedy) from error

    def get_string(self, name: str) -> str:
        """Return a required, non-empty string."""
        return self._read(name, get_string, "give a string")

    def get_address(self, name: str) -> str:
        """Return a required address, as `address:port`."""
        return self._read(name, get_address, "give ADDRESS:PORT")

    def get_peer_address(self) -> str:
        """Return the address and first port for calls between hosts, empty if not configured."""
        ports = self._get_internal_ports()
        return f"{self.get_string('self.ipAddress')}:{ports[0]}" if ports else ""

    def get_quota_address(self) -> str:
        """Return the address and second port for calls between hosts, empty without quotas."""
        table, key = self._find("terms.bounds.quotaWindow")
        ports = self._get_internal_ports()
        if key not in table or len(ports) < 2 or ports[1] <= ports[0]:
            return ""
        return f"{self.get_string('self.ipAddress')}:{ports[0] + 1}"

    def _get_internal_ports(self) -> list[int]:
        """Return the first and the last port for calls between hosts, empty if not configured."""
        name = "network.internalPortRange"
        table, key = self._find(name)
        if key not in table:
            return []
        ports = table[key]
        if not isinstance(ports, list) or not ports or any(type(port) is not int for port in ports):
            raise self._make_error(name, f"{ports!r} is not a port range", "give [FIRST, LAST]")
        return ports

    def list_entries(self, name: str) -> tuple[str, ...]:
        """Return the names of the entries of a table, empty if the table is missing."""
        table, key = self._find(name)
        entries = table.get(key, {})
        if not isinstance(entries, dict):
            raise self._make_error(name, f"{entries!r} is not a table", "give a table")
        return tuple(entries)

    def get_boolean(self, name: str) -> bool:
        """Return a boolean, False if the field is missing."""
        table, key = self._find(name)
        value = table.get(key, False)
        if not isinstance(value, bool):
            raise self._make_error(name, f"{value!r} is not a boolean", "give true or false")
        return value

    def get_duration(self, name: str, default_s: float) -> float:
        """Return a duration in seconds, or the default if the field is missing."""

        def read(table: dict[str, Any], key: str) -> float:
            return parse_duration(table[key]) if key in table else default_s

        return self._read(name, read, "give a duration such as '2s'")

    def get_number(self, name: str, default: float) -> float:
        """Return a number of at least 0, or the default if the field is missing."""
        table, key = self._find(name)
        value = table.get(key, default)
        if type(value) not in (int, float) or value < 0:
            raise self._make_error(
                name, f"{value!r} is not a non-negative number", "give a number of at least 0"
            )
        return float(value)

    def get_memory_bytes(self, name: str, default_mb: float) -> int:
        """Return an amount of memory in bytes, which must be enough for the process itself."""
        memory_mb = self.get_number(name, default_mb)
        if memory_mb < MIN_MEMORY_MB:
            raise self._make_error(
                name, f"{memory_mb:g} MB is too little", f"give {MIN_MEMORY_MB:g} MB or more"
            )
        return int(memory_mb * BYTES_PER_MB)

    def get_descriptors(self, name: str, default: float) -> int:
        """Return a number of file descriptors, which must be enough for the process itself."""
        count = int(self.get_number(name, default))
        if count < MIN_DESCRIPTORS:
            raise self._make_error(
                name, f"{count} descriptors are too few", f"give {MIN_DESCRIPTORS} or more"
            )
        return count
