"""Decodes what the platform's store holds: the configuration and the instances."""

from typing import Any

from ..core.actions import Member, UpstreamState
from ..core.policy import DeploymentPolicy, RoutePolicy, ServicePolicy, WeightedService
from ..core.registry import Listing
from .quantities import get_address, get_text, get_whole_number, parse_duration

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
STATES = {"ready": UpstreamState.SERVING, "draining": UpstreamState.DRAINING}
IDEMPOTENT_KINDS = {"safe": True, "download": True, "unsafe": False}
# Routes without a time limit of their own end with the caller's deadline.
NO_TIMEOUT_S = 60.0
# Replaced by what instances report of themselves.
UNKNOWN_SLOTS = 4


def decode_configuration(document: Any) -> tuple[int, DeploymentPolicy]:
    """Return version and settings of a stored configuration.

    Raises
    ------
    ValueError
        If a part is missing or of the wrong type.
    """
    if not isinstance(document, dict):
        raise ValueError(f"configuration is {type(document).__name__}, not an object")
    version = get_whole_number(document, "version")
    limits = _get_object(document, "limits")
    body_bytes = get_whole_number(limits, "maxBodyBytes", 64 * 1024 * 1024)
    services = {}
    for cluster in _get_list(document, "clusters"):
        service = _decode_service(cluster)
        services[service.name] = service
    routes: list[RoutePolicy] = []
    for listener in _get_list(document, "listeners"):
        host = get_text(listener, "host").lower()
        routes += [_decode_route(rule, host, body_bytes) for rule in _get_list(listener, "rules")]
    return version, DeploymentPolicy("platform", services, tuple(routes))


def _decode_service(cluster: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=get_text(cluster, "name"),
        slots_per_upstream=UNKNOWN_SLOTS,
        connections_per_upstream=get_whole_number(cluster, "maxConnections", 200),
        probe_path=get_text(cluster, "healthCheckPath"),
    )


def _decode_route(rule: dict[str, Any], host: str, body_bytes: int) -> RoutePolicy:
    kind = get_text(rule, "kind")
    if kind not in IDEMPOTENT_KINDS:
        raise ValueError(f"kind {kind!r} is not one of {', '.join(IDEMPOTENT_KINDS)}")
    action = _get_object(rule, "action")
    split = tuple(
        WeightedService(get_text(part, "service"), get_whole_number(part, "weight"))
        for part in _get_list(action, "trafficSplit")
    )
    timeout = action.get("timeout")
    goal = rule.get("latencyGoal")
    return RoutePolicy(
        name=get_text(rule, "name"),
        path_prefix=get_text(_get_object(rule, "match"), "pathPrefix"),
        methods=(),
        service="" if split else get_text(action, "service"),
        idempotent=IDEMPOTENT_KINDS[kind],
        deadline_s=NO_TIMEOUT_S if timeout is None else parse_duration(timeout),
        # The platform ranks by 0 as the highest.
        priority=-get_whole_number(rule, "priority", 0),
        max_body_bytes=body_bytes,
        host=host,
        split=split,
        latency_goal_s=None if goal is None else parse_duration(goal),
        max_attempts=get_whole_number(action, "attempts", 1),
    )


def decode_listing(name: str, revision: int, document: Any) -> Listing:
    """Return an instance's entry.

    Raises
    ------
    ValueError
        If the entry names no instance that can be used.
    """
    if not isinstance(document, dict):
        raise ValueError(f"entry is {type(document).__name__}, not an object")
    state = get_text(document, "state")
    if state not in STATES:
        raise ValueError(f"state {state!r} is not one of {', '.join(STATES)}")
    address = get_address(document, "address")
    cold = document.get("coldRemaining")
    cold_s = 0.0 if cold is None else parse_duration(cold)
    # Unix milliseconds of the instance's start: one that starts again under its id is new.
    incarnation = get_whole_number(document, "born", 0)
    member = Member(name, address, get_text(document, "zone"), incarnation, STATES[state])
    slots = get_whole_number(document, "slots", UNKNOWN_SLOTS)
    return Listing(get_text(document, "service"), member, slots, cold_s, revision)


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
