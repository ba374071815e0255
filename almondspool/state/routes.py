"""Routes, services and replicas of one version of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service and the weight with which a route sends requests to it.

    Attributes:
        service: The service's name.
        weight: Weight relative to the other services of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host and path prefix are handled.

    Attributes:
        name: The route's name.
        host: The host, in lower case and without a port.
        path_prefix: Begins and ends with a slash.
        is_idempotent: Whether a request may run more than once.
        timeout_s: Longest time that a caller waits for an answer, in seconds.
        latency_target_s: Time within which an answer should arrive, in seconds; a later
            one is worth less to the caller.
        priority: Priority class; 0 is the most urgent.
        attempts: Limit on the replicas tried for one request, or for one shard of it.
        weighted_services: Services of a route whose requests go to one upstream each.
        shards: Services that a search queries, one for each shard; empty for other
            routes.
        top_k: Number of records that a search returns.
        min_coverage: Least fraction of the shards in a search's answer, 0 to 1.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_s: float
    latency_target_s: float
    priority: int
    attempts: int
    weighted_services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_k: int = 0
    min_coverage: float = 0.0

    @property
    def is_search(self) -> bool:
        """Return whether requests go to every shard of an index."""
        return bool(self.shards)


class ServiceSpec(NamedTuple):
    """A service of the configuration.

    Attributes:
        name: The service's name.
        max_connections: Limit on one replica's connections from all callers together.
    """

    name: str
    max_connections: int


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests.

    Attributes:
        max_head_bytes: Size of request line and headers.
        max_body_bytes: Size of a body.
        head_timeout_s: Time in which request line and headers must arrive, in seconds.
        idle_timeout_s: Idle time of a persistent connection, in seconds.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable(NamedTuple):
    """One version of the configuration, indexed for look-ups.

    Attributes:
        version: Increases from one accepted configuration to the next.
        routes_by_prefix_by_host: Routes by path prefix, by host.
        services_by_name: Every service that a route names.
        limits: Limits on callers' requests.
    """

    version: int
    routes_by_prefix_by_host: dict[str, dict[str, Route]]
    services_by_name: dict[str, ServiceSpec]
    limits: CallerLimits

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Args:
            host: In lower case, without a port.
            path: The path without its query.
        """
        routes_by_prefix = self.routes_by_prefix_by_host.get(host)
        if routes_by_prefix is None:
            return None
        # Prefixes end with a slash, so only the parts of the path up to one of its
        # slashes can match.
        end = path.rfind("/")
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    @property
    def services_in_use(self) -> frozenset[str]:
        """Return the services that any route sends requests to."""
        return frozenset(
            service
            for route in self.routes()
            for service in (
                *route.shards,
                *(weighted.service for weighted in route.weighted_services),
            )
        )

    def routes(self) -> tuple[Route, ...]:
        """Return every route, ordered by host and prefix."""
        return tuple(
            route
            for _, by_prefix in sorted(self.routes_by_prefix_by_host.items())
            for _, route in sorted(by_prefix.items())
        )


class Replica(NamedTuple):
    """One running searcher of a service, an upstream of the instances.

    Attributes:
        replica_id: Unique for each start, unless the searcher kept its id.
        service: The service that it belongs to.
        address: ``ip:port``.
        zone: Availability zone.
        slots: Number of requests that it runs concurrently.
        is_draining: Whether it accepts no new work.
        warmup_s: How long it remains slow because of its start, in seconds, as of the
            writing of its entry.
        started_ms: Time of its start, in ms since the epoch; 0 if not reported.
    """

    replica_id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool = False
    warmup_s: float = 0.0
    started_ms: int = 0
