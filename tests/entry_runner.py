"""Program that runs an entry process with fixed members: `entry_runner FILE ADDRESS...`."""

import sys

import uvloop

from amaranthbend.adapters.logs import configure_logging
from amaranthbend.programs.entry import EntryProcess, Link, serve
from amaranthbend.settings.process import EntrySettings, load_process_settings
from tests.entry_cases import MERGED_SETTINGS, StaticControlLink
from tests.settings_cases import APPROVER_KEYS, make_envelope


def main() -> None:
    """Run until SIGTERM."""
    configure_logging()
    # Each process generates its own test keys, so those in the file do not match.
    settings = load_process_settings(sys.argv[1], EntrySettings)
    settings = settings._replace(approver_keys=APPROVER_KEYS)

    def make_link(process: EntryProcess) -> Link:
        return StaticControlLink(
            process.get_callbacks(), make_envelope(merged=MERGED_SETTINGS), sys.argv[2:]
        )

    uvloop.run(serve(settings, make_link))


if __name__ == "__main__":
    main()
