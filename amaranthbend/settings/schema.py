"""Schema types for settings (type, unit, range, meaning) and validation against them.

Validation works on plain JSON values without file positions, so that a serving
process can validate the merged settings of an envelope.
"""

import difflib
import math
import re
from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

__all__ = [
    "NAME_PATTERN_DESCRIPTION",
    "NAME_PATTERN",
    "Choice",
    "ChoiceList",
    "Flag",
    "NamedSections",
    "Number",
    "SettingPath",
    "Problem",
    "Section",
    "Spec",
    "Text",
    "TextMap",
    "Unit",
    "check_section",
    "describe_range",
    "format_path",
    "suggest_names",
]

SettingPath = tuple[str | int, ...]

MAX_SUGGESTIONS = 3
# Truncates long invalid values so that an error message stays on one readable line.
MAX_QUOTED_CHARACTERS = 80

NAME_PATTERN = "[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?"
NAME_PATTERN_DESCRIPTION = "1 to 64 lower-case letters, digits and inner hyphens"


class Unit(StrEnum):
    """Unit of a number; most keys with a unit end with its short form, such as `_ms`."""

    NONE = ""
    MILLISECONDS = "ms"
    SECONDS = "s"
    BYTES = "bytes"
    PER_SECOND = "1/s"
    BYTES_PER_SECOND = "bytes/s"
    SHARE = "share of 1"


class Number(NamedTuple):
    """A number in an inclusive range; an integer if `whole` is true."""

    meaning: str
    minimum: float
    maximum: float
    unit: Unit = Unit.NONE
    whole: bool = True
    required: bool = False


class Flag(NamedTuple):
    """A Boolean."""

    meaning: str
    required: bool = False


class Text(NamedTuple):
    """A string that must match a regular expression in full."""

    meaning: str
    pattern: str
    pattern_description: str
    required: bool = False


class Choice(NamedTuple):
    """One of several fixed strings."""

    meaning: str
    choices: tuple[str, ...]
    required: bool = False


class ChoiceList(NamedTuple):
    """A non-empty list of fixed strings without duplicates."""

    meaning: str
    choices: tuple[str, ...]
    required: bool = False


class TextMap(NamedTuple):
    """An object whose names match a pattern and whose values all match one `Text`."""

    meaning: str
    name_pattern: str
    name_pattern_description: str
    text: Text
    required: bool = False


class Section(NamedTuple):
    """An object with a fixed set of valid keys."""

    meaning: str
    keys: Mapping[str, "Spec"]
    required: bool = False


class NamedSections(NamedTuple):
    """An object that maps names chosen by the operators to sections of one schema."""

    meaning: str
    section: Section
    required: bool = False


Spec = Number | Flag | Text | Choice | ChoiceList | TextMap | Section | NamedSections


class Problem(NamedTuple):
    """An invalid setting and its remedy.

    Parameters
    ----------
    path : tuple of str and int
        Path of the invalid setting.
    problem : str
        What is wrong, including the invalid value if there is one.
    remedy : str
        How to correct it, including the valid values if they are known.
    depends_on : tuple of str and int or None
        Missing setting that causes the problem; an earlier file may have removed it.
    """

    path: SettingPath
    problem: str
    remedy: str
    depends_on: SettingPath | None = None


def format_path(path: SettingPath) -> str:
    """Return a path in dotted notation, such as `routes.profile.methods[0]`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
            continue
        text += f".{step}" if text else step
    return text or "(file)"


def suggest_names(name: str, valid: list[str]) -> list[str]:
    """Return the valid names most similar to a name, or all of them if none is similar."""
    near = difflib.get_close_matches(name, valid, MAX_SUGGESTIONS, cutoff=0.5)
    return near or sorted(valid)


def quote_value(value: Any) -> str:
    """Return an invalid value for a message, truncated to a readable length."""
    # Shows only the type of a container, since repr() of a nested one may recurse deeply.
    text = type(value).__name__ if isinstance(value, dict | list) else repr(value)
    return text if len(text) <= MAX_QUOTED_CHARACTERS else text[:MAX_QUOTED_CHARACTERS] + "..."


def check_section(value: Any, section: Section, path: SettingPath = ()) -> list[Problem]:
    """Return all problems of an object: unknown and missing keys, wrong types and ranges.

    Parameters
    ----------
    value : Any
        Plain JSON value.
    section : Section
        Valid keys.
    path : tuple, optional
        Path of the object.
    """
    if not isinstance(value, dict):
        return [_describe_type(path, value, "an object { }")]
    problems = list(_find_missing(value, section, path))
    for name, child in value.items():
        spec = section.keys.get(name)
        if spec is None:
            problems.append(_describe_unknown(path, name, list(section.keys)))
            continue
        problems += _check_value(child, spec, (*path, name))
    return problems


def _find_missing(value: dict[str, Any], section: Section, path: SettingPath) -> Iterator[Problem]:
    for name, spec in section.keys.items():
        if not spec.required or name in value:
            continue
        missing = (*path, name)
        problem = f"the required setting {format_path(missing)} is missing"
        yield Problem(path, problem, f"add it: {spec.meaning}", missing)


def _describe_unknown(path: SettingPath, name: Any, valid: list[str]) -> Problem:
    where = (*path, str(name))
    names = ", ".join(suggest_names(str(name), valid))
    return Problem(
        where, f"unknown setting {quote_value(name)}", f"use one of: {names}, or remove it"
    )


def _describe_type(path: SettingPath, value: Any, valid: str) -> Problem:
    return Problem(path, f"{quote_value(value)} is not valid", f"use {valid}")


def _check_value(value: Any, spec: Spec, path: SettingPath) -> list[Problem]:
    """Return all problems of a value."""
    match spec:
        case Section():
            return check_section(value, spec, path)
        case NamedSections():
            return _check_named(value, spec, path)
        case TextMap():
            return _check_text_map(value, spec, path)
        case ChoiceList():
            return _check_list(value, spec, path)
        case _:
            valid = _explain_invalid(value, spec)
            return [_describe_type(path, value, valid)] if valid else []


def _explain_invalid(value: Any, spec: Number | Flag | Text | Choice) -> str:
    """Return a description of the valid values, or an empty string if the value is valid."""
    match spec:
        case Number():
            return "" if _fits_number(value, spec) else describe_range(spec)
        case Flag():
            return "" if isinstance(value, bool) else "true or false"
        case Text():
            matches = isinstance(value, str) and re.fullmatch(spec.pattern, value) is not None
            return "" if matches else spec.pattern_description
        case Choice():
            fits = isinstance(value, str) and value in spec.choices
            return "" if fits else "one of: " + ", ".join(spec.choices)


def _fits_number(value: Any, spec: Number) -> bool:
    # bool is a subclass of int in Python, but true is not a number in JSON.
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    if spec.whole and not isinstance(value, int):
        return False
    if isinstance(value, float) and not math.isfinite(value):
        return False
    return spec.minimum <= value <= spec.maximum


def describe_range(spec: Number) -> str:
    """Return a description of the valid range of a number, with its unit."""
    kind = "a whole number" if spec.whole else "a number"
    unit = f" ({spec.unit})" if spec.unit else ""
    return f"{kind} from {spec.minimum:,} to {spec.maximum:,}{unit}"


def _check_named(value: Any, spec: NamedSections, path: SettingPath) -> list[Problem]:
    if not isinstance(value, dict):
        return [_describe_type(path, value, "an object { } with one entry for each name")]
    if not value:
        return [Problem(path, "no entry", "add at least one", depends_on=path)]
    problems: list[Problem] = []
    for name, child in value.items():
        if not isinstance(name, str) or not re.fullmatch(NAME_PATTERN, name):
            problems.append(_describe_type((*path, str(name)), name, NAME_PATTERN_DESCRIPTION))
            continue
        problems += check_section(child, spec.section, (*path, name))
    return problems


def _check_text_map(value: Any, spec: TextMap, path: SettingPath) -> list[Problem]:
    if not isinstance(value, dict):
        return [_describe_type(path, value, "an object { } with texts")]
    problems: list[Problem] = []
    for name, child in value.items():
        if not isinstance(name, str) or not re.fullmatch(spec.name_pattern, name):
            problems.append(_describe_type((*path, str(name)), name, spec.name_pattern_description))
            continue
        problems += _check_value(child, spec.text, (*path, name))
    return problems


def _check_list(value: Any, spec: ChoiceList, path: SettingPath) -> list[Problem]:
    valid = "one of: " + ", ".join(spec.choices)
    if not isinstance(value, list) or not value:
        return [_describe_type(path, value, f"a list [ ] with at least {valid}")]
    problems: list[Problem] = []
    for index, element in enumerate(value):
        if not isinstance(element, str) or element not in spec.choices:
            problems.append(_describe_type((*path, index), element, valid))
            continue
        if element in value[:index]:
            problem = f"{quote_value(element)} is listed twice"
            problems.append(Problem((*path, index), problem, "keep one of the two"))
    return problems
