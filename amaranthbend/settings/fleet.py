"""Description of the fleet's report for the operators."""

from typing import Any

from .schema import quote_value

__all__ = ["format_fleet_status"]

# More names would hide the rest of the output.
MAX_HOSTS_SHOWN = 20


def format_fleet_status(report: Any, serial: int) -> list[str]:
    """Return the lines that tell on which hosts the settings are in force.

    Parameters
    ----------
    report : Any
        Value of the object `status/<deployment>`, which may hold anything.
    serial : int
        Serial on the platform, 0 without settings.
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
            "went back; what is published on it is refused as too old until the platform's "
            "administrators restore it"
        )
    return lines


def _get_lowest_serial(host: Any) -> int:
    """Return the lowest serial of the processes on a host, 0 if the report does not tell."""
    if not isinstance(host, dict):
        return 0
    names = ["serial"]
    if host.get("entry_processes"):
        names.append("entry_serial")
    serials = [host.get(name) for name in names]
    return min(serial if type(serial) is int else 0 for serial in serials)
