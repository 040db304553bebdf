"""Start of the node process: opens the callers' socket before it imports the other modules.

Callers already connect to a machine while it starts after a loss of power or a restart.
Importing all modules takes up to 1.5 s on the slowest machines. With an open socket connections
wait in the kernel during that time instead of being refused. So this module imports only what
it needs to read the settings and to open the socket, and that only once a SIGHUP no longer ends
the process.
"""

import gc
import os
import sys

from .early_signals import hold_reload_requests

__all__ = ["METRICS_ADDRESS_ENV_VAR", "main"]

# Environment variable with the same meaning as `--metrics`. Without arguments the program starts
# faster, since it does not import the parser of the command line.
METRICS_ADDRESS_ENV_VAR = "AMARANTHBEND_METRICS"


def run(settings: str = "", metrics: str = "", check: bool = False) -> None:
    """Run a node process.

    Parameters
    ----------
    settings : str
        Path of the platform's settings file; by default the value of AMARANTHBEND_CONFIG, or
        the default path of the platform.
    metrics : str
        `address:port` of the administration API and the metrics; by default the value of
        AMARANTHBEND_METRICS. Without either there is no administration API.
    check : bool
        Check the settings file, log the settings or the error, and exit without serving.
    """
    hold_reload_requests()
    from ..core.errors import EXIT_BAD_SETTINGS, SettingsError
    from ..platform.settings import find_settings_file, load_node_settings
    from .listener import open_listener

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
    # Imported modules are never freed, so a garbage collection during the import has nothing to
    # do. The process sets its own thresholds later.
    gc.disable()
    from .node_serving import run_process

    gc.enable()
    run_process(loaded, file, metrics or os.environ.get(METRICS_ADDRESS_ENV_VAR, ""), listener)


def _log_event(event: str, **fields: object) -> None:
    from ..adapters.logs import configure_logging, log_event

    configure_logging()
    log_event(event, **fields)


def main() -> None:
    """Run a node process from the command line or, without arguments, from the environment."""
    if len(sys.argv) == 1:
        run()
        return
    import fire

    fire.Fire(run)


if __name__ == "__main__":
    main()
