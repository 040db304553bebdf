"""Description of a settings change for its reviewers."""

import json
from collections.abc import Iterator
from typing import Any

from ..core.envelope import SettingsEnvelope
from ..core.errors import SettingsError
from .defaults import find_default
from .merging import Origin
from .policies import build_policy
from .schema import SettingPath, format_path

__all__ = ["describe_effect"]

ABSENT = object()


def describe_effect(
    base: SettingsEnvelope | None,
    candidate: SettingsEnvelope,
    origins: dict[SettingPath, Origin],
) -> list[str]:
    """Return lines that describe the changes, grouped by route and service.

    Parameters
    ----------
    base : SettingsEnvelope or None
        Envelope in force.
    candidate : SettingsEnvelope
        Envelope that would replace it.
    origins : dict of tuple to Origin
        File and line of each of the candidate's settings.
    """
    old = _read_settings(base)
    in_force = f"serial {base.serial}, digest {base.digest[:12]}" if base else "nothing"
    lines = [
        f"deployment {candidate.deployment}: serial {candidate.serial}, "
        f"digest {candidate.digest[:12]}, replaces {in_force}"
    ]
    if base is not None and not old:
        lines.append("the stored settings are malformed, so every setting is shown as new")
    lines += [f"file {text}" for text in _compare_files(base, candidate)]
    changes = list(_compare_settings(old, candidate.merged, ()))
    if not changes:
        lines.append("no setting changes")
    routes_by_service = _index_routes_by_service(old, candidate.merged)
    group: SettingPath | None = None
    for path, before, after in changes:
        path_group = _get_group(path)
        if path_group != group:
            lines.append(
                f"{_describe_group(path_group, old, candidate.merged, routes_by_service)}:"
            )
            group = path_group
        lines.append("  " + _describe_change(path, before, after, origins))
    return lines


def _read_settings(base: SettingsEnvelope | None) -> dict[str, Any]:
    """Return the settings of the base; empty if malformed, as the stored value is unchecked."""
    if base is None:
        return {}
    try:
        build_policy(base.merged)
    except SettingsError:
        return {}
    return base.merged


def _compare_files(base: SettingsEnvelope | None, candidate: SettingsEnvelope) -> Iterator[str]:
    old = dict(base.manifest) if base is not None else {}
    new = dict(candidate.manifest)
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) == new.get(name):
            continue
        change = "removed" if name not in new else "changed" if name in old else "added"
        yield f"{change}: {name}"


def _compare_settings(
    old: Any, new: Any, path: SettingPath
) -> Iterator[tuple[SettingPath, Any, Any]]:
    """Yield path, old value and new value of each setting that differs."""
    if not isinstance(old, dict) and not isinstance(new, dict):
        # Compare types too: True equals 1 in Python, but they are different settings.
        if old != new or type(old) is not type(new):
            yield path, old, new
        return
    old_children = old if isinstance(old, dict) else {}
    new_children = new if isinstance(new, dict) else {}
    for name in sorted(old_children.keys() | new_children.keys()):
        before = old_children.get(name, ABSENT)
        after = new_children.get(name, ABSENT)
        yield from _compare_settings(before, after, (*path, name))


def _get_group(path: SettingPath) -> SettingPath:
    """Return the path of the route or service that a setting belongs to, or the empty path."""
    return path[:2] if len(path) > 1 and path[0] in ("routes", "services") else ()


def _index_routes_by_service(*versions: dict[str, Any]) -> dict[str, set[str]]:
    """Map each service to its routes in any of the versions of the settings."""
    routes_by_service: dict[str, set[str]] = {}
    for settings in versions:
        for route, value in settings.get("routes", {}).items():
            routes_by_service.setdefault(value["service"], set()).add(route)
    return routes_by_service


def _describe_group(
    path: SettingPath,
    old: dict[str, Any],
    new: dict[str, Any],
    routes_by_service: dict[str, set[str]],
) -> str:
    """Return the heading of a group; for a service, it lists the routes."""
    if not path:
        return "deployment (all routes and services)"
    kind, name = str(path[0]), str(path[1])
    change = _format_change_suffix(name, old.get(kind, {}), new.get(kind, {}))
    if kind == "routes":
        service = (new.get(kind, {}).get(name) or old.get(kind, {}).get(name) or {}).get("service")
        return f"route {name} (service {service}){change}"
    served = ", ".join(sorted(routes_by_service.get(name, ()))) or "none"
    return f"service {name} (routes: {served}){change}"


def _format_change_suffix(name: str, old: dict[str, Any], new: dict[str, Any]) -> str:
    if name not in old:
        return ", added"
    return "" if name in new else ", removed"


def _describe_change(
    path: SettingPath, before: Any, after: Any, origins: dict[SettingPath, Origin]
) -> str:
    origin = origins.get(path)
    place = f" ({origin.file}:{origin.line})" if origin is not None and after is not ABSENT else ""
    old_text, new_text = _format_value(path, before), _format_value(path, after)
    return f"{format_path(path)}: {old_text} -> {new_text}{place}"


def _format_value(path: SettingPath, value: Any) -> str:
    """Format a value as JSON; for an absent one, show its default."""
    if value is not ABSENT:
        return json.dumps(value)
    default = find_default(path)
    return "absent" if default is None else f"{json.dumps(default)} (default)"
