"""Process settings of the programs that read JSON with comments, not the platform's format."""

import sys
from typing import TypeVar

from ..adapters.logs import log_event
from ..core.errors import EXIT_BAD_SETTINGS, SettingsError
from ..settings.process import load_process_settings

__all__ = ["load_settings_or_exit"]

T = TypeVar("T")


def load_settings_or_exit(file: str, kind: type[T]) -> T:
    """Return the process settings in a file; log the error and exit if they are invalid.

    Parameters
    ----------
    file : str
        Path of the file (JSON with comments).
    kind : type
        NamedTuple type whose fields are the settings.
    """
    try:
        return load_process_settings(file, kind)
    except SettingsError as error:
        log_event("settings_invalid", error=error)
        sys.exit(EXIT_BAD_SETTINGS)
