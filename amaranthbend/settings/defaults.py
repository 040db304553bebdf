"""Defaults of settings, taken from the typed policy, and the reference page made from them."""

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

ANY_NAME = "NAME"
MS_PER_S = 1000

POLICIES: dict[SettingPath, Any] = {
    (): DeploymentPolicy,
    ("services", ANY_NAME): ServicePolicy,
    ("services", ANY_NAME, "retries"): RetryPolicy,
    ("services", ANY_NAME, "limits"): LimitPolicy,
    ("routes", ANY_NAME): RoutePolicy,
    ("probing",): ProbePolicy,
}


def find_default(path: SettingPath) -> Any:
    """Return the default of a setting in the unit of the settings files; None without one."""
    general: SettingPath = path
    if len(path) > 1 and path[0] in ("services", "routes"):
        general = (path[0], ANY_NAME, *path[2:])
    policy = POLICIES.get(general[:-1])
    if policy is None:
        return None
    name = str(general[-1])
    if not name.endswith("_ms"):
        return policy._field_defaults.get(name)
    seconds = policy._field_defaults.get(name.removesuffix("_ms") + "_s")
    return None if seconds is None else round(seconds * MS_PER_S)


def list_settings(
    section: Section = DEPLOYMENT_SECTION, path: SettingPath = ()
) -> Iterator[tuple[SettingPath, Spec]]:
    """Yield every setting below a section, with `NAME` for names that the operators choose."""
    for name, spec in section.keys.items():
        below = (*path, name)
        if isinstance(spec, NamedSections):
            yield from list_settings(spec.section, (*below, ANY_NAME))
            continue
        if isinstance(spec, Section):
            yield from list_settings(spec, below)
            continue
        yield below, spec


def render_reference() -> str:
    """Return the table of `docs/settings.md`."""
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
            return f"text: {spec.form}"
        case Choice():
            return "text: one of " + ", ".join(f"`{choice}`" for choice in spec.choices)
        case ChoiceList():
            return "list of texts: each of " + ", ".join(f"`{choice}`" for choice in spec.choices)
        case TextMap():
            return f"object, names: {spec.name_form}; values: {spec.text.form}"
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
