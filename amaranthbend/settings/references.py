"""Checks across settings: references to undefined names, and contradictory combinations."""

from collections.abc import Iterator
from typing import Any

from ..core.policy import DeploymentPolicy, ServicePolicy
from .keys import DEPLOYMENT_SECTION
from .schema import Problem, SettingPath, check_section, suggest_names

__all__ = ["check_merged", "check_references"]

_DEFAULT_ENTRY_HOSTS_MAX: int = DeploymentPolicy._field_defaults["entry_hosts_max"]
_DEFAULT_CONNECTIONS_PER_UPSTREAM: int = ServicePolicy._field_defaults["connections_per_upstream"]


def check_merged(merged: Any) -> list[Problem]:
    """Return all problems of merged settings: keys, types, ranges and references.

    If some entries are invalid, references are checked among the valid ones only.
    """
    problems = check_section(merged, DEPLOYMENT_SECTION)
    if not problems:
        return check_references(merged)
    checkable = _select_checkable(merged, problems)
    return problems + check_references(checkable) if checkable else problems


def _select_checkable(merged: Any, problems: list[Problem]) -> dict[str, Any] | None:
    """Return the part of invalid settings whose references can be checked, if any."""
    faulty = {problem.path[:2] for problem in problems}
    if any(path in faulty for path in [(), ("services",), ("routes",), ("entry_hosts_max",)]):
        return None
    # Keeps the names of invalid services, so that routes to them are not reported as well.
    services = {
        name: {} if ("services", name) in faulty else service
        for name, service in merged["services"].items()
    }
    routes = {
        name: route for name, route in merged["routes"].items() if ("routes", name) not in faulty
    }
    return {**merged, "services": services, "routes": routes}


def check_references(merged: dict[str, Any]) -> list[Problem]:
    """Return the problems across settings that are each valid on their own.

    Parameters
    ----------
    merged : dict
        Merged settings; its services and routes must conform to the schema, except that
        a service may be empty.
    """
    problems = list(_find_undefined_services(merged))
    problems += _find_ambiguous_routes(merged["routes"])
    problems += _find_contradicting_claims(merged["routes"])
    problems += _find_insufficient_connections(merged)
    return problems


def _find_undefined_services(merged: dict[str, Any]) -> Iterator[Problem]:
    services = merged["services"]
    for name, route in merged["routes"].items():
        service = route["service"]
        if service in services:
            continue
        near = ", ".join(suggest_names(service, list(services)))
        yield Problem(
            ("routes", name, "service"),
            f"{service!r} is not a service",
            f"use one of: {near}, or define services.{service}",
            ("services", service),
        )


def _find_ambiguous_routes(routes: dict[str, Any]) -> Iterator[Problem]:
    """Yield routes with the same prefix and method as an earlier one; neither match is longer."""
    route_by_match: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        path: SettingPath = ("routes", name, "path_prefix")
        prefix = route["path_prefix"]
        shared_methods = [
            method for method in route["methods"] if (prefix, method) in route_by_match
        ]
        for method in route["methods"]:
            route_by_match.setdefault((prefix, method), name)
        if not shared_methods:
            continue
        other = route_by_match[prefix, shared_methods[0]]
        problem = (
            f"{prefix!r} with {', '.join(shared_methods)} is already matched by routes.{other}"
        )
        yield Problem(path, problem, "change the prefix or the methods of one of them")


def _find_contradicting_claims(routes: dict[str, Any]) -> Iterator[Problem]:
    for name, route in routes.items():
        if route.get("claim") != "required" or route.get("idempotent") is not True:
            continue
        problem = "true contradicts claim 'required': a claim guards against a second run"
        yield Problem(("routes", name, "idempotent"), problem, "remove it, or set claim to 'none'")


def _find_insufficient_connections(merged: dict[str, Any]) -> Iterator[Problem]:
    """Yield services with fewer connections per upstream than there are entry hosts."""
    hosts = merged.get("entry_hosts_max", _DEFAULT_ENTRY_HOSTS_MAX)
    for name, service in merged["services"].items():
        connections = service.get("connections_per_upstream", _DEFAULT_CONNECTIONS_PER_UPSTREAM)
        if connections >= hosts:
            continue
        yield Problem(
            ("services", name, "connections_per_upstream"),
            f"{connections} connections cannot be split among {hosts} entry hosts",
            f"use at least {hosts}, or lower entry_hosts_max",
        )
