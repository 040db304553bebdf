"""Explanation of a request as a JSON document, see `core/explanations.py`."""

import math
from typing import TypedDict

from .explanations import (
    ConfigurationAge,
    ExplainedRequest,
    ExplainedService,
    UpstreamAssessment,
    find_outlook,
    find_rank,
    find_refusal,
    find_unknown_key_refusal,
)
from .policy import TeamPolicy
from .quota_credit import QuotaPreview

__all__ = [
    "ConfigurationPart",
    "Explanation",
    "QuotaPart",
    "RoutePart",
    "ServicePart",
    "TeamPart",
    "UpstreamPart",
    "make_explanation",
]

MS_PER_S = 1000


class RoutePart(TypedDict):
    """The route in an explanation."""

    name: str
    path_prefix: str
    needs_key: bool
    is_idempotent: bool
    timeout_ms: int
    latency_goal_ms: int | None


class QuotaPart(TypedDict):
    """The quota in an explanation."""

    rate_per_s: float
    burst: float
    credit: float
    admission_chance: float
    returns_after_ms: int


class TeamPart(TypedDict):
    """The team in an explanation; `quota` is None without a limit."""

    name: str
    priority: int | None
    quota: QuotaPart | None


class ConfigurationPart(TypedDict):
    """The configuration in an explanation."""

    version: int
    # None if the store has not confirmed it since the start.
    age_ms: int | None
    is_outdated: bool
    # What a request with an unknown key is refused with, on a route that needs one.
    unknown_key_refusal: str


class UpstreamPart(TypedDict):
    """An upstream in an explanation; the values of a report are None without one."""

    upstream: str
    data_centre: str
    place: int | None
    exclusion: str | None
    completion_ms: int
    report_age_ms: int | None
    in_flight: int | None
    queued: int | None
    slots: int | None
    own_in_flight: int


class ServicePart(TypedDict):
    """A service in an explanation."""

    service: str
    share: float
    outlook: str
    # Whether it gives way to more urgent requests while room is short.
    is_deferrable: bool
    upstreams: list[UpstreamPart]


class Explanation(TypedDict):
    """What would happen to a request, as JSON; `refusal` is None if it would be sent."""

    host: str
    data_centre: str
    refusal: str | None
    is_stopping: bool
    unready: str
    configuration: ConfigurationPart
    route: RoutePart
    team: TeamPart | None
    rank: str
    services: list[ServicePart]


def make_explanation(request: ExplainedRequest) -> Explanation:
    """Return what would happen to a request."""
    rank = find_rank(request.route, request.team)
    refusal = find_refusal(request)
    return Explanation(
        host=request.host,
        data_centre=request.data_centre,
        refusal=None if refusal is None else str(refusal),
        is_stopping=request.is_stopping,
        unready=request.unready,
        configuration=_describe_configuration(request.configuration),
        route=_describe_route(request),
        team=None if request.team is None else _describe_team(request.team, request.quota),
        rank=rank.describe(),
        services=[_describe_service(service) for service in request.services],
    )


def _describe_configuration(age: ConfigurationAge) -> ConfigurationPart:
    return ConfigurationPart(
        version=age.version,
        age_ms=_convert_to_ms(age.age_s) if math.isfinite(age.age_s) else None,
        is_outdated=age.is_outdated,
        unknown_key_refusal=str(find_unknown_key_refusal(age)),
    )


def _describe_route(request: ExplainedRequest) -> RoutePart:
    route = request.route
    goal_s = route.latency_goal_s
    return RoutePart(
        name=route.name,
        path_prefix=route.path_prefix,
        needs_key=request.needs_key,
        is_idempotent=request.is_idempotent,
        timeout_ms=_convert_to_ms(request.timeout_s),
        latency_goal_ms=None if goal_s is None else _convert_to_ms(goal_s),
    )


def _describe_team(team: TeamPolicy, quota: QuotaPreview | None) -> TeamPart:
    part: QuotaPart | None = None
    if quota is not None:
        part = QuotaPart(
            rate_per_s=team.rate_per_s,
            burst=team.burst,
            credit=round(quota.credit, 1),
            admission_chance=round(quota.chance, 3),
            returns_after_ms=_convert_to_ms(quota.returns_after_s),
        )
    return TeamPart(name=team.name, priority=team.priority, quota=part)


def _describe_service(service: ExplainedService) -> ServicePart:
    return ServicePart(
        service=service.name,
        share=round(service.share, 3),
        outlook=str(find_outlook(service.upstreams)),
        is_deferrable=service.is_deferrable,
        upstreams=[_describe_upstream(upstream) for upstream in service.upstreams],
    )


def _describe_upstream(upstream: UpstreamAssessment) -> UpstreamPart:
    report = upstream.report
    return UpstreamPart(
        upstream=upstream.member.upstream,
        data_centre=upstream.member.data_centre,
        place=upstream.place,
        exclusion=None if upstream.exclusion is None else str(upstream.exclusion),
        completion_ms=_convert_to_ms(upstream.completion_s),
        report_age_ms=None if report is None else _convert_to_ms(upstream.report_age_s),
        in_flight=None if report is None else report.in_flight,
        queued=None if report is None else report.queued,
        slots=None if report is None else report.slots,
        own_in_flight=upstream.own_in_flight,
    )


def _convert_to_ms(time_s: float) -> int:
    return round(time_s * MS_PER_S)
