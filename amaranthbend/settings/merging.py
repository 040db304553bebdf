"""Merging of settings files in name order, and validation of the result."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from ..core.errors import SettingsError
from .documents import ParsedDocument, Position
from .references import check_merged
from .schema import Problem, SettingPath, format_path, suggest_names

__all__ = ["MergedSettings", "Origin", "merge_documents"]


class Origin(NamedTuple):
    """File and line that last set or removed a setting."""

    file: str
    line: int


class MergedSettings(NamedTuple):
    """Merged settings and the origin of each.

    Parameters
    ----------
    value : dict
        Merged settings without the removed keys.
    origins : dict of tuple to Origin
        File and line that last set each setting, by path.
    removals : dict of tuple to Origin
        File and line that removed each setting that is now absent, by path.
    """

    value: dict[str, Any]
    origins: dict[SettingPath, Origin]
    removals: dict[SettingPath, Origin]


class _Source(NamedTuple):
    """File being merged and the positions of its settings."""

    file: str
    positions: dict[SettingPath, Position]


def merge_documents(
    documents: Mapping[str, ParsedDocument], *, complete: bool = True
) -> Result[MergedSettings, list[SettingsError]]:
    """Merge and validate settings files.

    Parameters
    ----------
    documents : mapping of str to ParsedDocument
        Parsed files by name, in merge order. Objects are merged, other values replace
        earlier ones, and None removes a setting.
    complete : bool, optional
        False if a file is left out because it cannot be parsed. Missing settings are
        then not reported, since that file may contain them.

    Returns
    -------
    Result
        The merged settings, or all problems found.
    """
    merged = MergedSettings({}, {}, {})
    errors: list[SettingsError] = []
    for file, document in documents.items():
        source = _Source(file, document.positions)
        _merge_object(merged, merged.value, document.value, (), source, errors)
    problems = _check(merged)
    if not complete:
        errors.clear()
        problems = [problem for problem in problems if problem.depends_on is None]
    errors += [_locate_problem(problem, merged, list(documents)) for problem in problems]
    return Err(errors) if errors else Ok(merged)


def _check(merged: MergedSettings) -> list[Problem]:
    if not merged.value:
        remedy = "add a *.jsonc file with settings to the folder"
        return [Problem((), "no settings", remedy, depends_on=())]
    return check_merged(merged.value)


def _merge_object(
    merged: MergedSettings,
    target: dict[str, Any],
    added: dict[str, Any],
    path: SettingPath,
    source: _Source,
    errors: list[SettingsError],
) -> None:
    """Merge one object of a document into the object at the same path."""
    for name, value in added.items():
        child_path = (*path, name)
        origin = Origin(source.file, source.positions[child_path].line)
        if value is None:
            _remove(merged, target, child_path, origin, errors)
            continue
        merged.removals.pop(child_path, None)
        if name in target and not (isinstance(value, dict) and isinstance(target[name], dict)):
            _discard_origins(merged.origins, child_path, target[name])
        if not isinstance(value, dict):
            target[name] = value
            _record_origins(merged, child_path, value, source)
            continue
        if not isinstance(target.get(name), dict):
            target[name] = {}
            merged.origins[child_path] = origin
        _merge_object(merged, target[name], value, child_path, source, errors)


def _remove(
    merged: MergedSettings,
    target: dict[str, Any],
    path: SettingPath,
    origin: Origin,
    errors: list[SettingsError],
) -> None:
    """Remove a setting, or report an absent one: the name is misspelt or the order wrong."""
    name = str(path[-1])
    if name not in target:
        problem = "null removes a setting that no earlier file sets"
        valid = ", ".join(suggest_names(name, list(target))) or "none"
        remedy = f"remove the line, or name one of those set: {valid}"
        errors.append(SettingsError(origin.file, origin.line, format_path(path), problem, remedy))
        return
    _discard_origins(merged.origins, path, target.pop(name))
    merged.removals[path] = origin


def _discard_origins(origins: dict[SettingPath, Origin], path: SettingPath, value: Any) -> None:
    """Discard the origins of a replaced or removed value and of everything in it."""
    origins.pop(path, None)
    for step, child in _list_children(value):
        _discard_origins(origins, (*path, step), child)


def _record_origins(merged: MergedSettings, path: SettingPath, value: Any, source: _Source) -> None:
    """Record the origins of a value and, for an array, of its elements."""
    merged.origins[path] = Origin(source.file, source.positions[path].line)
    for step, child in _list_children(value):
        _record_origins(merged, (*path, step), child, source)


def _list_children(value: Any) -> Iterable[tuple[str | int, Any]]:
    if isinstance(value, dict):
        return value.items()
    return enumerate(value) if isinstance(value, list) else ()


def _locate_problem(
    problem: Problem, merged: MergedSettings, files: Sequence[str]
) -> SettingsError:
    """Return the error at the removal that caused the problem, else at the setting itself."""
    origin = _find_origin(problem.path, merged, files)
    cause = _find_removal(problem.depends_on, merged)
    if cause is None or problem.depends_on is None:
        setting = format_path(problem.path)
        return SettingsError(origin.file, origin.line, setting, problem.problem, problem.remedy)
    dependent = f"{format_path(problem.path)} ({origin.file}:{origin.line})"
    return SettingsError(
        cause.file,
        cause.line,
        format_path(problem.depends_on),
        f"removed here, but {dependent} depends on it",
        "keep the setting, or first change what depends on it",
    )


def _find_origin(path: SettingPath, merged: MergedSettings, files: Sequence[str]) -> Origin:
    """Return the origin to report for a path.

    For an object emptied by removals, it is the last removal. A path without an origin
    has that of its nearest ancestor.
    """
    removals = [
        origin for removed_path, origin in merged.removals.items() if removed_path[:-1] == path
    ]
    if path and removals and _get_value(merged.value, path) == {}:
        return removals[-1]
    for length in range(len(path), 0, -1):
        origin = merged.origins.get(path[:length]) or merged.removals.get(path[:length])
        if origin is not None:
            return origin
    return Origin(files[-1] if files else "(folder)", 1 if files else 0)


def _get_value(value: Any, path: SettingPath) -> Any:
    for step in path:
        value = value[step] if isinstance(value, dict) and step in value else None
    return value


def _find_removal(path: SettingPath | None, merged: MergedSettings) -> Origin | None:
    """Return the origin of the removal of a path or of an object that contained it."""
    if path is None:
        return None
    for length in range(len(path), 0, -1):
        origin = merged.removals.get(path[:length])
        if origin is not None:
            return origin
    return None
