"""Decoder of the operators' configuration in the platform's store."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from almondspool.codes import ResultCode
from almondspool.errors import DocumentError
from almondspool.state.routes import (
    CallerLimits,
    Route,
    RouteTable,
    ServiceSpec,
    WeightedService,
)

# Kind and name of the object that holds the configuration.
KIND = "config"
NAME = "main"
_IDEMPOTENT_KIND = "idempotent"
_DEFAULT_MAX_CONNECTIONS = 16
_DEFAULT_PRIORITY = 2

# The fields of the following classes are named as the keys of the stored configuration.


class _Split(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Annotated[float, msgspec.Meta(gt=0)]
    # Without a positive goal, answers are in time until the timeout.
    goal_ms: float | None = None
    priority: int = _DEFAULT_PRIORITY
    # Limit on the replicas tried for one attempt of a caller, or for one shard of it.
    attempts: Annotated[int, msgspec.Meta(ge=1)] = 1
    service: str = ""
    split: list[_Split] = []
    # The services to query, one for each shard; its searchers are interchangeable.
    gather: list[str] = []
    top_k: Annotated[int, msgspec.Meta(ge=0)] = 0
    # Not a version, despite the name: the least fraction of the shards in an answer.
    oldest_version: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0


class _Service(msgspec.Struct):
    name: str
    max_conns: Annotated[int, msgspec.Meta(ge=0)] = _DEFAULT_MAX_CONNECTIONS


class _Limits(msgspec.Struct):
    max_header_bytes: int = CallerLimits().max_head_bytes
    max_body_bytes: int = CallerLimits().max_body_bytes
    header_timeout_ms: float = CallerLimits().head_timeout_s * 1000.0
    idle_timeout_ms: float = CallerLimits().idle_timeout_s * 1000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_configuration(spec: Any) -> RouteTable:
    """Return the route table of a stored configuration.

    Args:
        spec: The decoded ``spec`` of the object.

    Raises:
        DocumentError: If a field is malformed or a route names no service.
    """
    try:
        stored_configuration = msgspec.convert(spec, _Configuration, strict=False)
    except msgspec.ValidationError as error:
        raise DocumentError(f"configuration: {error}") from error
    routes_by_prefix_by_host: dict[str, dict[str, Route]] = {}
    for stored_route in stored_configuration.routes:
        route = _decode_route(stored_route)
        routes_by_prefix_by_host.setdefault(route.host, {})[route.path_prefix] = route
    return RouteTable(
        stored_configuration.version,
        routes_by_prefix_by_host,
        {
            service.name: ServiceSpec(service.name, service.max_conns)
            for service in stored_configuration.services
        },
        CallerLimits(
            stored_configuration.limits.max_header_bytes,
            stored_configuration.limits.max_body_bytes,
            stored_configuration.limits.header_timeout_ms / 1000.0,
            stored_configuration.limits.idle_timeout_ms / 1000.0,
        ),
    )


def stored_version(spec: Any) -> int:
    """Return the version of a stored configuration, or 0 if it cannot be read."""
    version = spec.get("version") if isinstance(spec, dict) else None
    return version if isinstance(version, int) else 0


def _decode_route(stored_route: _Route) -> Route:
    weighted_services = tuple(
        WeightedService(weighted.service, weighted.weight)
        for weighted in stored_route.split
        if weighted.weight > 0
    )
    if stored_route.service:
        weighted_services = (WeightedService(stored_route.service, 1.0),)
    if not weighted_services and not stored_route.gather:
        raise DocumentError(
            f"route {stored_route.name} names no service", ResultCode.DOCUMENT_INVALID
        )
    timeout_s = stored_route.timeout_ms / 1000.0
    goal_ms = stored_route.goal_ms or 0.0
    return Route(
        name=stored_route.name,
        host=stored_route.host.lower(),
        path_prefix=stored_route.path_prefix,
        is_idempotent=stored_route.kind == _IDEMPOTENT_KIND,
        timeout_s=timeout_s,
        latency_target_s=min(timeout_s, goal_ms / 1000.0) if goal_ms > 0 else timeout_s,
        priority=stored_route.priority,
        attempts=stored_route.attempts,
        weighted_services=weighted_services,
        shards=tuple(dict.fromkeys(stored_route.gather)),
        top_k=stored_route.top_k,
        min_coverage=stored_route.oldest_version,
    )
