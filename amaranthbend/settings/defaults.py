"""Default values of settings, read from the policy types, and the generated reference table."""

from collections.abc import Iterator
from typing import Any

from ..core.policy import (
    DeploymentPolicy,
    LimitPolicy,
    ProbePolicy,
    RetryPolicy,
    RoutePolicy,
    ServicePolicy,
)
from .keys import DEPLOYMENT_SECTION
from .schema import (
    Choice,
    ChoiceList,
    Flag,
    NamedSections,
    Number,
    Section,
    SettingPath,
    Spec,
    Text,
    TextMap,
    describe_range,
    format_path,
)

__all__ = ["find_default", "list_settings", "render_reference"]

NAME_PLACEHOLDER = "NAME"
MS_PER_S = 1000

POLICY_TYPE_BY_SECTION: dict[SettingPath, Any] = {
    (): DeploymentPolicy,
    ("services", NAME_PLACEHOLDER): ServicePolicy,
    ("services", NAME_PLACEHOLDER, "retries"): RetryPolicy,
    ("services", NAME_PLACEHOLDER, "limits"): LimitPolicy,
    ("routes", NAME_PLACEHOLDER): RoutePolicy,
    ("probing",): ProbePolicy,
}


def find_default(path: SettingPath) -> Any:
    """Return the default of a setting in its settings-file unit, or None if it has none."""
    generic_path: SettingPath = path
    if len(path) > 1 and path[0] in ("services", "routes"):
        generic_path = (path[0], NAME_PLACEHOLDER, *path[2:])
    policy = POLICY_TYPE_BY_SECTION.get(generic_path[:-1])
    if policy is None:
        return None
    name = str(generic_path[-1])
    if not name.endswith("_ms"):
        return policy._field_defaults.get(name)
    seconds = policy._field_defaults.get(name.removesuffix("_ms") + "_s")
    return None if seconds is None else round(seconds * MS_PER_S)


def list_settings(
    section: Section = DEPLOYMENT_SECTION, path: SettingPath = ()
) -> Iterator[tuple[SettingPath, Spec]]:
    """Yield every setting in a section, with `NAME` for names that the operators choose."""
    for name, spec in section.keys.items():
        child_path = (*path, name)
        if isinstance(spec, NamedSections):
            yield from list_settings(spec.section, (*child_path, NAME_PLACEHOLDER))
            continue
        if isinstance(spec, Section):
            yield from list_settings(spec, child_path)
            continue
        yield child_path, spec


def render_reference() -> str:
    """Return the Markdown table of all settings for `docs/settings.md`."""
    lines = [
        "| setting | type and valid values | unit | default | meaning |",
        "|---|---|---|---|---|",
    ]
    for path, spec in list_settings():
        cells = [f"`{format_path(path)}`", _describe_values(spec), _describe_unit(spec)]
        cells += [_describe_default(path, spec), spec.meaning]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _describe_values(spec: Spec) -> str:
    match spec:
        case Number():
            return describe_range(spec._replace(unit=type(spec.unit).NONE))
        case Flag():
            return "`true` or `false`"
        case Text():
            return f"text: {spec.pattern_description}"
        case Choice():
            return "text: one of " + ", ".join(f"`{choice}`" for choice in spec.choices)
        case ChoiceList():
            return "list of texts: each of " + ", ".join(f"`{choice}`" for choice in spec.choices)
        case TextMap():
            return (
                f"object, names: {spec.name_pattern_description}; "
                f"values: {spec.text.pattern_description}"
            )
        case _:
            return "object"


def _describe_unit(spec: Spec) -> str:
    return str(spec.unit) if isinstance(spec, Number) else ""


def _describe_default(path: SettingPath, spec: Spec) -> str:
    if spec.required:
        return "required"
    default = find_default(path)
    if default is None:
        return "by method"
    return f"{default:,}" if isinstance(default, int | float) else str(default)
