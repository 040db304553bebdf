"""Tests of the fleet status output."""

from typing import Any

import pytest

from amaranthbend.settings.fleet import format_fleet_status


def make_host(serial: int, entry_serial: int = 0, entry_processes: int = 0) -> dict[str, int]:
    """Return the report of one host."""
    return {
        "serial": serial,
        "entry_serial": entry_serial,
        "entry_processes": entry_processes,
    }


def test_hosts_behind_are_named() -> None:
    """Guards against showing a change as in force while an entry process still lacks it."""
    hosts = {"a": make_host(4, 4, 2), "b": make_host(4, 3, 2), "c": make_host(3), "d": make_host(4)}
    lines = format_fleet_status({"hosts": hosts}, 4)
    assert lines == [
        "fleet: serial 4 in force on 2 of 4",
        "fleet: 'b' has serial 3",
        "fleet: 'c' has serial 3",
    ]


def test_platform_behind_the_fleet_is_named() -> None:
    """Guards against an operator publishing on top of an object that reverted unnoticed."""
    assert "went back" in format_fleet_status({"hosts": {"a": make_host(5)}}, 4)[-1]


@pytest.mark.parametrize("report", [None, [], {"hosts": 1}, {"hosts": {"a": None}}, "x" * 999])
def test_malformed_report_is_shown(report: Any) -> None:
    """Guards against a malformed report that crashes the operator program."""
    assert format_fleet_status(report, 1)
