"""Conversion of merged settings to typed policies; does not import the settings file parser."""

from typing import Any

from ..core.actions import WorkClass
from ..core.errors import SettingsError
from ..core.policy import (
    ClaimRule,
    DeploymentPolicy,
    LimitPolicy,
    ProbePolicy,
    RetryPolicy,
    RoutePolicy,
    ServicePolicy,
)
from .references import check_merged
from .schema import format_path

__all__ = ["MERGED_SOURCE", "build_policy"]

MERGED_SOURCE = "(merged settings)"
MS_PER_S = 1000
TOP_LEVEL_NUMBERS = ("entry_hosts_max", "claim_writes_per_s", "claim_retention_s")


def build_policy(merged: dict[str, Any]) -> DeploymentPolicy:
    """Return the deployment policy defined by merged settings.

    The merged settings are validated again, since a valid signature does not
    prove that they are well-formed.

    Parameters
    ----------
    merged : dict
        Merged settings of an envelope.

    Raises
    ------
    SettingsError
        If the settings are malformed. It holds the first problem and the number of others.
    """
    problems = check_merged(merged)
    if problems:
        first = problems[0]
        others = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
        setting = format_path(first.path)
        raise SettingsError(MERGED_SOURCE, 0, setting, first.problem + others, first.remedy)
    services = {name: _build_service(name, value) for name, value in merged["services"].items()}
    routes = tuple(_build_route(name, value) for name, value in merged["routes"].items())
    numbers = {name: merged[name] for name in TOP_LEVEL_NUMBERS if name in merged}
    return DeploymentPolicy(
        deployment=merged["deployment"],
        services=services,
        routes=routes,
        probing=ProbePolicy(**merged.get("probing", {})),
        **numbers,
    )


def _build_service(name: str, value: dict[str, Any]) -> ServicePolicy:
    fields = dict(value)
    fields["retries"] = RetryPolicy(**value.get("retries", {}))
    fields["limits"] = LimitPolicy(**_convert_ms_to_s(value.get("limits", {})))
    return ServicePolicy(name=name, **fields)


def _build_route(name: str, value: dict[str, Any]) -> RoutePolicy:
    fields = _convert_ms_to_s(value)
    fields["methods"] = tuple(value["methods"])
    if "work_class" in value:
        fields["work_class"] = WorkClass(value["work_class"])
    if "claim" in value:
        fields["claim"] = ClaimRule(value["claim"])
    return RoutePolicy(name=name, **fields)


def _convert_ms_to_s(value: dict[str, Any]) -> dict[str, Any]:
    """Return the settings with `_ms` values converted to seconds, the unit of the policies."""
    fields: dict[str, Any] = {}
    for name, number in value.items():
        if name.endswith("_ms"):
            fields[name.removesuffix("_ms") + "_s"] = number / MS_PER_S
            continue
        fields[name] = number
    return fields
