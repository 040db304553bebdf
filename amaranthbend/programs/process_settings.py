"""Settings of the server programs that have settings files of the product's own format."""

import sys
from typing import TypeVar

from ..adapters.logs import log_event
from ..core.errors import EXIT_BAD_SETTINGS, SettingsError
from ..settings.process import load_process_settings

__all__ = ["load_settings_or_exit"]

T = TypeVar("T")


def load_settings_or_exit(file: str, kind: type[T]) -> T:
    """Return the process settings in a file; log the error and exit if they are not valid.

    Parameters
    ----------
    file : str
        Path of the file, JSON with comments.
    kind : type
        NamedTuple whose fields are the settings.
    """
    try:
        return load_process_settings(file, kind)
    except SettingsError as error:
        log_event("settings_invalid", error=error)
        sys.exit(EXIT_BAD_SETTINGS)
