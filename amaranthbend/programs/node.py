"""Start of the node process: takes connections before the rest of the program is loaded.

Load pattern: machines come back after a loss of power or a restart while callers already
connect to them. Loading all modules takes up to 1.5 s on the slowest machines of the platform;
connections wait in the kernel meanwhile. So this module imports little, and the rest later.
"""

import gc
import os
import sys

from ..core.errors import EXIT_BAD_SETTINGS, SettingsError
from ..platform.settings import find_settings_file, load_node_settings
from .listener import open_listener

__all__ = ["METRICS_ADDRESS_ENV_VAR", "main"]

# Environment variable in place of `--metrics`, so that no command line has to be parsed.
METRICS_ADDRESS_ENV_VAR = "AMARANTHBEND_METRICS"


def run(settings: str = "", metrics: str = "", check: bool = False) -> None:
    """Run a node process.

    Parameters
    ----------
    settings : str
        Path of the platform's settings file; by default the one that the platform names.
    metrics : str
        `address:port` of the administration API; by default that in AMARANTHBEND_METRICS, none
        without it.
    check : bool
        Check the settings and exit.
    """
    file = settings or find_settings_file()
    try:
        loaded = load_node_settings(file)
    except SettingsError as error:
        _log_event("settings_invalid", error=error)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        _log_event("settings_valid", **loaded._asdict())
        return
    listener = open_listener(loaded.caller_address)
    # What is imported stays; the process sets its own limits for collections later.
    gc.disable()
    from .node_process import run_process

    gc.enable()
    run_process(loaded, file, metrics or os.environ.get(METRICS_ADDRESS_ENV_VAR, ""), listener)


def _log_event(event: str, **fields: object) -> None:
    from ..adapters.logs import log_event, set_up_logs

    set_up_logs()
    log_event(event, **fields)


def main() -> None:
    """Run from the command line."""
    if len(sys.argv) == 1:
        run()
        return
    import fire

    fire.Fire(run)


if __name__ == "__main__":
    main()
