"""Decodes the objects in the platform's store: the configuration and the instances."""

from typing import Any

from ..core.actions import Member, UpstreamState
from ..core.policy import DeploymentPolicy, RoutePolicy, ServicePolicy, WeightedService
from ..core.registry import Listing
from .document_fields import get_address, get_non_negative_int, get_string, parse_duration

__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "INSTANCES_KIND",
    "decode_configuration",
    "decode_listing",
]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
INSTANCES_KIND = "servers"
UPSTREAM_STATES = {"ready": UpstreamState.SERVING, "draining": UpstreamState.DRAINING}
IDEMPOTENCE_BY_KIND = {"safe": True, "download": True, "unsafe": False}
# Upper limit for routes without a timeout, whose requests end at the caller's own deadline.
DEFAULT_DEADLINE_S = 60.0
# Used until the instance reports its number of slots.
DEFAULT_SLOTS = 4


def decode_configuration(document: Any) -> tuple[int, DeploymentPolicy]:
    """Return the version and the settings of a stored configuration.

    Raises
    ------
    ValueError
        If a part is missing or of the wrong type.
    """
    if not isinstance(document, dict):
        raise ValueError(f"configuration is {type(document).__name__}, not an object")
    version = get_non_negative_int(document, "version")
    limits = _get_object(document, "limits")
    max_body_bytes = get_non_negative_int(limits, "maxBodyBytes", 64 * 1024 * 1024)
    services = {}
    for cluster in _get_list(document, "clusters"):
        service = _decode_service(cluster)
        services[service.name] = service
    routes: list[RoutePolicy] = []
    for listener in _get_list(document, "listeners"):
        host = get_string(listener, "host").lower()
        routes += [
            _decode_route(rule, host, max_body_bytes) for rule in _get_list(listener, "rules")
        ]
    return version, DeploymentPolicy("platform", services, tuple(routes))


def _decode_service(cluster: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=get_string(cluster, "name"),
        slots_per_upstream=DEFAULT_SLOTS,
        connections_per_upstream=get_non_negative_int(cluster, "maxConnections", 200),
        probe_path=get_string(cluster, "healthCheckPath"),
    )


def _decode_route(rule: dict[str, Any], host: str, max_body_bytes: int) -> RoutePolicy:
    kind = get_string(rule, "kind")
    if kind not in IDEMPOTENCE_BY_KIND:
        raise ValueError(f"kind {kind!r} is not one of {', '.join(IDEMPOTENCE_BY_KIND)}")
    action = _get_object(rule, "action")
    split = tuple(
        WeightedService(get_string(part, "service"), get_non_negative_int(part, "weight"))
        for part in _get_list(action, "trafficSplit")
    )
    timeout = action.get("timeout")
    goal = rule.get("latencyGoal")
    return RoutePolicy(
        name=get_string(rule, "name"),
        path_prefix=get_string(_get_object(rule, "match"), "pathPrefix"),
        methods=(),
        service="" if split else get_string(action, "service"),
        idempotent=IDEMPOTENCE_BY_KIND[kind],
        deadline_s=DEFAULT_DEADLINE_S if timeout is None else parse_duration(timeout),
        # The platform's highest priority is 0; in `RoutePolicy` higher values have priority.
        priority=-get_non_negative_int(rule, "priority", 0),
        max_body_bytes=max_body_bytes,
        host=host,
        split=split,
        latency_goal_s=None if goal is None else parse_duration(goal),
        max_attempts=get_non_negative_int(action, "attempts", 1),
    )


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
        raise ValueError(f"state {state!r} is not one of {', '.join(UPSTREAM_STATES)}")
    address = get_address(document, "address")
    cold = document.get("coldRemaining")
    cold_s = 0.0 if cold is None else parse_duration(cold)
    # Start time in Unix milliseconds, which distinguishes an instance restarted under the same id.
    incarnation = get_non_negative_int(document, "born", 0)
    member = Member(
        name, address, get_string(document, "zone"), incarnation, UPSTREAM_STATES[state]
    )
    slots = get_non_negative_int(document, "slots", DEFAULT_SLOTS)
    return Listing(get_string(document, "service"), member, slots, cold_s, revision)


def _get_object(document: dict[str, Any], key: str) -> dict[str, Any]:
    value = document.get(key, {})
    if not isinstance(value, dict):
        raise ValueError(f"{key!r} is {value!r}, not an object")
    return value


def _get_list(document: dict[str, Any], key: str) -> list[dict[str, Any]]:
    value = document.get(key, [])
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise ValueError(f"{key!r} is not a list of objects")
    return value
