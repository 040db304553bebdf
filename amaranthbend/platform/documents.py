"""Decodes the objects in the platform's store: the configuration and the instances."""

from collections.abc import Callable
from reprlib import repr as abbreviate
from typing import Any, TypeVar

from ..core.actions import Member, UpstreamState
from ..core.connections import REQUEST_LINE_BYTES, CallerLimits
from ..core.identity import compute_key_digest
from ..core.paths import normalise_path
from ..core.policy import (
    DecodedConfiguration,
    DeploymentPolicy,
    RoutePolicy,
    ServicePolicy,
    TeamPolicy,
    WeightedService,
)
from ..core.registry import Listing
from .document_fields import (
    get_address,
    get_boolean,
    get_non_negative_int,
    get_non_negative_number,
    get_path,
    get_string,
    parse_duration,
    parse_name,
)

__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "EVACUATIONS_KIND",
    "INSTANCES_KIND",
    "decode_configuration",
    "decode_listing",
    "read_progress",
    "read_version",
]

T = TypeVar("T")
D = TypeVar("D")

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
INSTANCES_KIND = "servers"
# Each object of this kind is named after the zone that is evacuated while it exists.
EVACUATIONS_KIND = "evacuations"
UPSTREAM_STATES = {"ready": UpstreamState.SERVING, "draining": UpstreamState.DRAINING}
IDEMPOTENCE_BY_KIND = {"safe": True, "download": True, "unsafe": False, "upload": False}
# Upper limit for requests without a timeout of their route or of their caller.
DEFAULT_DEADLINE_S = 60.0
# Used until the instance reports its number of slots.
DEFAULT_SLOTS = 4
DEFAULT_CONNECTIONS = 200
DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024
# Rank of the platform's most urgent routes and tenants.
HIGHEST_RANK = 0
# A request that may not be sent a second time is the safe assumption for an unknown limit.
DEFAULT_ATTEMPTS = 1


def decode_configuration(document: Any) -> DecodedConfiguration:
    """Return the version and the settings of a stored configuration.

    A part that cannot be used is left out or replaced by a safe default, and reported as a fault,
    so that it affects no other part. A request that matches a route with an unusable action is
    refused, since a route with a shorter prefix may lead to another service.

    Raises
    ------
    ValueError
        If the document has no usable version or route list, none of its routes is usable, or its
        tenants are ambiguous: a request could be taken for that of another tenant.
    """
    if not isinstance(document, dict):
        raise ValueError(f"configuration is {type(document).__name__}, not an object")
    version = get_non_negative_int(document, "version")
    reader = _PartReader()
    limits = reader.read("limits", lambda: _get_object(document, "limits"), {})
    max_body_bytes = reader.read(
        "limits",
        lambda: get_non_negative_int(limits, "maxBodyBytes", DEFAULT_MAX_BODY_BYTES),
        DEFAULT_MAX_BODY_BYTES,
    )
    caller_limits = _decode_caller_limits(reader, limits)
    services = {}
    for number, cluster in enumerate(_get_list(document, "clusters")):
        service = _decode_service(reader, f"clusters[{number}]", cluster)
        if service is not None:
            services[service.name] = service
    routes: list[RoutePolicy] = []
    listed = 0
    for number, listener in enumerate(_get_list(document, "listeners")):
        name = f"listeners[{number}]"
        host = reader.read(name, lambda: get_string(listener, "host").lower(), None)  # noqa: B023
        rules = reader.read(name, lambda: _get_list(listener, "rules"), [])  # noqa: B023
        if host is None:
            listed += 1
            continue
        for index, rule in enumerate(rules):
            listed += 1
            route = _decode_route(reader, f"{name}.rules[{index}]", rule, host, max_body_bytes)
            if route is not None:
                routes.append(route)
    if listed and not any(route.service or route.split for route in routes):
        raise ValueError(f"none of {listed} routes is usable: {'; '.join(reader.faults[:3])}")
    policy = DeploymentPolicy(
        "platform",
        services,
        tuple(routes),
        teams=_decode_teams(reader, document),
        ranks_callers=_has_ranked_callers(document),
        caller_limits=caller_limits,
    )
    return DecodedConfiguration(version, policy, tuple(reader.faults))


class _PartReader:
    """Reads parts of a document, and collects the faults of those that cannot be used."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def read(self, part: str, decode: Callable[[], T], default: D) -> T | D:
        """Return the decoded part, or the default and a fault if it is invalid.

        Parameters
        ----------
        part : str
            Position of the part in the document, for the fault.
        decode : callable
            Returns the part; raises ValueError if it is invalid.
        default : object
            Result for an invalid part.
        """
        try:
            return decode()
        except ValueError as error:
            self.faults.append(f"{part}: {error}")
            return default


def _decode_caller_limits(reader: _PartReader, limits: dict[str, Any]) -> CallerLimits:
    """Return the limits for heads and idle connections of callers."""
    default = CallerLimits()
    return CallerLimits(
        reader.read(
            "limits",
            lambda: _get_duration(limits, "headerTimeout", default.header_timeout_s),
            default.header_timeout_s,
        ),
        reader.read(
            "limits",
            lambda: _get_duration(limits, "idleTimeout", default.idle_timeout_s),
            default.idle_timeout_s,
        ),
        reader.read(
            "limits",
            lambda: _get_max_head_bytes(limits, default.max_head_bytes),
            default.max_head_bytes,
        ),
    )


def _get_max_head_bytes(limits: dict[str, Any], default: int) -> int:
    """Return the largest head; 0 is an error, as it would refuse every request."""
    if "maxHeaderBytes" not in limits:
        return default
    max_header_bytes = get_non_negative_int(limits, "maxHeaderBytes", 0)
    if max_header_bytes == 0:
        raise ValueError("'maxHeaderBytes' is 0, not a size above 0")
    return max_header_bytes + REQUEST_LINE_BYTES


def _decode_service(
    reader: _PartReader, part: str, cluster: dict[str, Any]
) -> ServicePolicy | None:
    """Return a service, None if it has no name or no path for probes."""
    name = reader.read(part, lambda: get_string(cluster, "name"), None)
    probe_path = reader.read(part, lambda: get_path(cluster, "healthCheckPath"), None)
    if name is None or probe_path is None:
        return None
    return ServicePolicy(
        name=name,
        slots_per_upstream=DEFAULT_SLOTS,
        connections_per_upstream=reader.read(
            part,
            lambda: get_non_negative_int(cluster, "maxConnections", DEFAULT_CONNECTIONS),
            DEFAULT_CONNECTIONS,
        ),
        probe_path=probe_path,
        cold_rate_per_s=reader.read(
            part, lambda: get_non_negative_number(cluster, "coldPerS", 0.0), 0.0
        ),
    )


def _decode_teams(reader: _PartReader, document: dict[str, Any]) -> tuple[TeamPolicy, ...]:
    """Return the teams; a quota or priority that cannot be read, or a name, is left out.

    Raises
    ------
    ValueError
        If a tenant has no usable keys, or two tenants have a name or key in common.
    """
    teams: dict[str, TeamPolicy] = {}
    owners: dict[bytes, str] = {}
    for number, tenant in enumerate(_get_tenants(document)):
        part = f"tenants[{number}]"
        name = reader.read(part, lambda: parse_name(get_string(tenant, "name")), None)  # noqa: B023
        if name is None:
            # It cannot be told to upstreams, so that its requests are refused.
            continue
        if name in teams:
            raise ValueError(f"{part}: tenant {name} is listed twice")
        digests = _decode_keys(part, tenant)
        for digest in digests:
            if owners.setdefault(digest, name) != name:
                raise ValueError(f"{part}: tenants {owners[digest]} and {name} share a key")
        rank = reader.read(part, lambda: _get_rank(tenant), None)  # noqa: B023
        teams[name] = TeamPolicy(
            name,
            digests,
            None if rank is None else -rank,
            reader.read(part, lambda: get_non_negative_number(tenant, "perS", 0.0), 0.0),  # noqa: B023
            reader.read(part, lambda: get_non_negative_number(tenant, "burst", 0.0), 0.0),  # noqa: B023
        )
    return tuple(teams.values())


def _get_tenants(document: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the tenants. The error does not show the value, which contains keys."""
    tenants = document.get("tenants", [])
    if not isinstance(tenants, list) or not all(isinstance(item, dict) for item in tenants):
        raise ValueError("'tenants' is not a list of objects")
    return tenants


def _decode_keys(part: str, tenant: dict[str, Any]) -> tuple[bytes, ...]:
    """Return the digests of a tenant's keys. Errors never contain a key."""
    keys = tenant.get("apiKeys", [])
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise ValueError(f"{part}: 'apiKeys' is not a list of non-empty strings")
    return tuple(compute_key_digest(key) for key in keys)


def _get_rank(document: dict[str, Any]) -> int | None:
    """Return the priority of a tenant, None if it has none."""
    return get_non_negative_int(document, "priority") if "priority" in document else None


def _has_ranked_callers(document: dict[str, Any]) -> bool:
    """Return whether a tenant or an `unsafe` route has the highest rank, stated explicitly.

    Routes that may be repeated do not count: all deployments have some of the highest rank that
    only test which configuration is in force.
    """
    ranked = list(_get_tenants(document))
    for listener in _get_list(document, "listeners"):
        rules = listener.get("rules")
        for rule in rules if isinstance(rules, list) else []:
            if isinstance(rule, dict) and not IDEMPOTENCE_BY_KIND.get(str(rule.get("kind")), True):
                ranked.append(rule)
    return any(
        type(entry.get("priority")) is int and entry["priority"] == HIGHEST_RANK for entry in ranked
    )


def _decode_route(
    reader: _PartReader, part: str, rule: dict[str, Any], host: str, max_body_bytes: int
) -> RoutePolicy | None:
    """Return a route, None if it is unknown which paths match it."""
    path_prefix = reader.read(part, lambda: _decode_prefix(rule), None)
    if path_prefix is None:
        return None
    action = reader.read(part, lambda: _get_object(rule, "action"), None)
    split, service = ((), "") if action is None else _decode_targets(reader, part, action)
    action = action or {}
    return RoutePolicy(
        name=reader.read(part, lambda: get_string(rule, "name"), f"{host}{path_prefix}"),
        path_prefix=path_prefix,
        methods=(),
        service=service,
        idempotent=reader.read(part, lambda: _decode_kind(rule), False),
        deadline_s=reader.read(
            part, lambda: _get_duration(action, "timeout", DEFAULT_DEADLINE_S), DEFAULT_DEADLINE_S
        ),
        # The platform's highest priority is 0; in `RoutePolicy` higher values have priority.
        priority=-reader.read(part, lambda: get_non_negative_int(rule, "priority", 0), 0),
        max_body_bytes=max_body_bytes,
        host=host,
        split=split,
        latency_goal_s=reader.read(part, lambda: _get_duration(rule, "latencyGoal", None), None),
        max_attempts=reader.read(
            part,
            lambda: get_non_negative_int(action, "attempts", DEFAULT_ATTEMPTS),
            DEFAULT_ATTEMPTS,
        ),
        max_response_s=DEFAULT_DEADLINE_S,
        # Without a usable value, callers need a key.
        is_public=reader.read(part, lambda: get_boolean(rule, "public"), False),
    )


def _decode_prefix(rule: dict[str, Any]) -> str:
    prefix = get_path(_get_object(rule, "match"), "pathPrefix")
    if normalise_path(prefix) is None:
        raise ValueError(f"'pathPrefix' is {abbreviate(prefix)}; requests with dot segments fail")
    return prefix


def _decode_kind(rule: dict[str, Any]) -> bool:
    """Return whether requests of the route's kind may run more than once."""
    kind = get_string(rule, "kind")
    if kind not in IDEMPOTENCE_BY_KIND:
        known = ", ".join(IDEMPOTENCE_BY_KIND)
        raise ValueError(
            f"kind {abbreviate(kind)} is not one of {known}; its requests run once at most"
        )
    return IDEMPOTENCE_BY_KIND[kind]


def _decode_targets(
    reader: _PartReader, part: str, action: dict[str, Any]
) -> tuple[tuple[WeightedService, ...], str]:
    """Return the route's traffic split or its service; both are empty if neither is usable.

    A split with a part that cannot be read is not used: its proportions are unknown.
    """
    split = reader.read(part, lambda: _decode_split(action), None)
    if split is None:
        return (), ""
    return split, "" if split else reader.read(part, lambda: get_string(action, "service"), "")


def _decode_split(action: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = tuple(
        WeightedService(get_string(part, "service"), get_non_negative_int(part, "weight"))
        for part in _get_list(action, "trafficSplit")
    )
    if split and not any(part.weight for part in split):
        raise ValueError("all weights of 'trafficSplit' are 0")
    return split


def _get_duration(document: dict[str, Any], key: str, default: D) -> float | D:
    value = document.get(key)
    return default if value is None else parse_duration(value)


def decode_listing(name: str, revision: int, document: Any) -> Listing:
    """Return the registry entry of an instance.

    Parameters
    ----------
    name : str
        Name of the stored object, which identifies the instance.
    revision : int
        Revision of the object's last change.
    document : Any
        Value of the object.

    Raises
    ------
    ValueError
        If a field is missing or invalid.
    """
    if not isinstance(document, dict):
        raise ValueError(f"entry is {type(document).__name__}, not an object")
    state = get_string(document, "state")
    if state not in UPSTREAM_STATES:
        raise ValueError(f"state {abbreviate(state)} is not one of {', '.join(UPSTREAM_STATES)}")
    address = get_address(document, "address")
    cold = document.get("coldRemaining")
    cold_s = 0.0 if cold is None else parse_duration(cold)
    # Start time in Unix milliseconds, which distinguishes an instance restarted under the same id.
    incarnation = get_non_negative_int(document, "born", 0)
    member = Member(
        parse_name(name), address, get_string(document, "zone"), incarnation, UPSTREAM_STATES[state]
    )
    slots = get_non_negative_int(document, "slots", DEFAULT_SLOTS)
    return Listing(get_string(document, "service"), member, slots, cold_s, revision)


def read_version(document: Any) -> int | None:
    """Return the version of a stored configuration, None if it has none that can be used."""
    if not isinstance(document, dict):
        return None
    try:
        return get_non_negative_int(document, "version")
    except ValueError:
        return None


def read_progress(document: Any) -> tuple[int, int] | None:
    """Return the start of an instance and the number of the write in its entry, if both are there.

    Both only rise: an instance counts its writes anew after it has started again.
    """
    if not isinstance(document, dict):
        return None
    try:
        return get_non_negative_int(document, "born"), get_non_negative_int(document, "sequence")
    except ValueError:
        return None


def _get_object(document: dict[str, Any], key: str) -> dict[str, Any]:
    value = document.get(key, {})
    if not isinstance(value, dict):
        raise ValueError(f"{key!r} is {abbreviate(value)}, not an object")
    return value


def _get_list(document: dict[str, Any], key: str) -> list[dict[str, Any]]:
    value = document.get(key, [])
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise ValueError(f"{key!r} is not a list of objects")
    return value
