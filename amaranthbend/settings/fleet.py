"""Text output of the fleet status for operators."""

from typing import Any

from .schema import quote_value

__all__ = ["format_fleet_status"]

# A longer list would push the rest of the output off the operator's screen.
MAX_HOSTS_SHOWN = 20


def format_fleet_status(report: Any, serial: int) -> list[str]:
    """Return lines of text that show which hosts run the published settings.

    Parameters
    ----------
    report : Any
        Value of the object `status/<deployment>`; not validated, so of any type.
    serial : int
        Serial of the settings on the platform, 0 if there are none.
    """
    hosts = report.get("hosts") if isinstance(report, dict) else None
    if not isinstance(hosts, dict):
        return [f"fleet: the report is malformed: {quote_value(report)}"]
    serials = {str(name): _get_lowest_serial(host) for name, host in hosts.items()}
    outdated = sorted(name for name, host_serial in serials.items() if host_serial < serial)
    lines = [f"fleet: serial {serial} in force on {len(serials) - len(outdated)} of {len(serials)}"]
    lines += [
        f"fleet: {quote_value(name)} has serial {serials[name]}"
        for name in outdated[:MAX_HOSTS_SHOWN]
    ]
    if len(outdated) > MAX_HOSTS_SHOWN:
        lines.append(f"fleet: and {len(outdated) - MAX_HOSTS_SHOWN} more")
    highest = max(serials.values(), default=0)
    if highest > serial:
        lines.append(
            f"fleet: serial {highest} is in force, but the platform holds {serial}: its object "
            "went back to an older version; hosts reject settings published on top of it as too "
            "old until the platform's administrators restore it"
        )
    return lines


def _get_lowest_serial(host: Any) -> int:
    """Return the lowest serial of the processes on a host, 0 if the report lacks a valid one."""
    if not isinstance(host, dict):
        return 0
    names = ["serial"]
    if host.get("entry_processes"):
        names.append("entry_serial")
    serials = [host.get(name) for name in names]
    return min(serial if type(serial) is int else 0 for serial in serials)
