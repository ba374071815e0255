"""Serving set: the instances of a large fleet that callers are sent to.

In a fleet that is large for its load, each instance would see only a few requests a
minute and learn too late which upstreams pause, are slow or fail. A few instances, the
largest first, see enough requests to choose replicas and hedge well. Every instance
computes the set from the membership alone, so all of them give callers the same one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

# In a fleet of at most this size all instances serve: as many as the serving set of a
# larger fleet would hold.
MAX_WHOLE_FLEET_SIZE = 16
# Lets a zone serve its callers while one of its instances is gone and another is slow.
MIN_SERVING_PER_ZONE = 3
# Instances next in rank, on standby: they keep connections to the upstreams open, so
# that they can serve within their first second in the set.
STANDBY_PER_ZONE = 2
# Callers of a zone with fewer serving instances are sent to other zones as well.
MIN_LOCAL_ADDRESSES = 2
# Ratio of the processor capacity of the set to its load: the product of 2 for a burst
# of twice the load, 2 for the loss of half of the set and 1.5 for the loss of one zone
# of three, divided by a utilization of 0.7, at which queues stay short.
CPU_HEADROOM = 2.0 * 2.0 * 1.5 / 0.7
# Instances with at least this utilization are ranked last.
OVERLOAD_UTILIZATION = 0.75
# The set shrinks once the load has been lower for three TTLs of the address lists.
SHRINK_DELAY_S = 15.0
# Capacities are rounded to multiples of this many cores, so that instances of nearly
# the same capacity are ranked by their rendezvous weights.
CPU_CORES_STEP = 0.25
# A zone counts as an upstream zone if it has replicas of at least this share of the
# number of services that the zone with the most services has.
MIN_UPSTREAM_ZONE_SERVICE_SHARE = 0.5


class Server(NamedTuple):
    """An instance that may take requests.

    Attributes:
        instance: Its name.
        zone: Its availability zone.
        address: ``ip:port`` for callers.
        cpu_cores: Its processor capacity, in cores; 0.0 if it does not report one.
        load: Its utilization, 0.0 to 1.0.
    """

    instance: str
    zone: str
    address: str
    cpu_cores: float = 0.0
    load: float = 0.0


class _Zone(NamedTuple):
    """The ranked instances of one zone; the first ``serving_count`` of them serve."""

    ranking: tuple[Server, ...]
    serving_count: int
    # When the current count was last needed, in monotonic seconds.
    needed_at: float

    def serving(self) -> tuple[Server, ...]:
        return self.ranking[: self.serving_count]

    def standby(self) -> tuple[Server, ...]:
        return self.ranking[self.serving_count : self.serving_count + STANDBY_PER_ZONE]


class ServingSet:
    """Ranking of the instances of each zone, and how many of them serve.

    The set grows at once and shrinks slowly. Two instances that disagree on its
    size still take their sets from one ranking, so that their callers share most of it.
    """

    def __init__(self) -> None:
        """Start without instances."""
        self._zones_by_name: dict[str, _Zone] = {}
        self._zone_by_member: dict[str, str] = {}
        self._is_whole_fleet = True

    def update(
        self, now: float, servers: Iterable[Server], upstream_zones: frozenset[str]
    ) -> bool:
        """Recompute the set from the members and the zones in which requests run.

        Args:
            now: Monotonic seconds.
            servers: Every instance that callers may be sent to.
            upstream_zones: Zones with most of the services; empty if none are known.

        Returns:
            Whether the set has changed.
        """
        previous = self._zone_by_member
        ranking_by_zone = _rankings(servers)
        instance_count = sum(len(ranking) for ranking in ranking_by_zone.values())
        self._is_whole_fleet = instance_count <= MAX_WHOLE_FLEET_SIZE
        present_upstream_zones = ranking_by_zone.keys() & upstream_zones
        zones_by_name: dict[str, _Zone] = {}
        for name, ranking in ranking_by_zone.items():
            if self._is_whole_fleet:
                zones_by_name[name] = _Zone(ranking, len(ranking), now)
            elif not present_upstream_zones or name in present_upstream_zones:
                zones_by_name[name] = self._resized(now, name, ranking)
        self._zones_by_name = zones_by_name
        self._zone_by_member = {
            server.instance: server.zone
            for zone in zones_by_name.values()
            for server in zone.serving()
        }
        return self._zone_by_member != previous

    def members(self) -> dict[str, str]:
        """Return the availability zone of each instance of the set, by name."""
        return self._zone_by_member

    def is_member(self, instance: str) -> bool:
        """Return whether an instance is in the set."""
        return instance in self._zone_by_member

    def is_standby(self, instance: str) -> bool:
        """Return whether an instance is on standby."""
        return any(
            server.instance == instance
            for zone in self._zones_by_name.values()
            for server in zone.standby()
        )

    def is_subset(self) -> bool:
        """Return whether only a subset of the fleet serves."""
        return not self._is_whole_fleet

    def addresses(self, zone: str, limit: int, rng: random.Random) -> tuple[str, ...]:
        """Return addresses, of which a caller connects to a random one.

        Callers of a zone get only its instances, as each hop between zones costs time
        and money, unless no requests run in the zone or too few instances serve it.

        Args:
            zone: The caller's availability zone; may be unknown.
            limit: How many addresses to return at most.
            rng: Source of the order.
        """
        local = self._zones_by_name.get(zone)
        serving = local.serving() if local is not None else ()
        if len(serving) < MIN_LOCAL_ADDRESSES:
            zones = self._zones_by_name.values()
            serving = tuple(
                server for zone_state in zones for server in zone_state.serving()
            )
        sample = rng.sample(serving, min(limit, len(serving)))
        return tuple(server.address for server in sample)

    def _resized(self, now: float, name: str, ranking: tuple[Server, ...]) -> _Zone:
        required = min(len(ranking), _required_count(ranking))
        previous = self._zones_by_name.get(name)
        if previous is None or previous.serving_count <= required:
            return _Zone(ranking, required, now)
        if now - previous.needed_at < SHRINK_DELAY_S:
            return previous._replace(ranking=ranking)
        return _Zone(ranking, required, now)


def upstream_zones(zones_by_service: Mapping[str, Iterable[str]]) -> frozenset[str]:
    """Return the zones that have replicas of most of the services.

    Args:
        zones_by_service: Zones of the replicas of each service in use.
    """
    count_by_zone: dict[str, int] = {}
    for zones in zones_by_service.values():
        for zone in set(zones):
            count_by_zone[zone] = count_by_zone.get(zone, 0) + 1
    max_count = max(count_by_zone.values(), default=0)
    return frozenset(
        zone
        for zone, service_count in count_by_zone.items()
        if service_count >= MIN_UPSTREAM_ZONE_SERVICE_SHARE * max_count
    )


def _rankings(servers: Iterable[Server]) -> dict[str, tuple[Server, ...]]:
    """Return the ranked instances of each zone, the first to serve first."""
    servers_by_zone: dict[str, list[Server]] = {}
    for server in servers:
        servers_by_zone.setdefault(server.zone, []).append(server)

    def rank(server: Server) -> tuple[bool, int, int]:
        is_overloaded = server.load >= OVERLOAD_UTILIZATION
        rounded_cores = round(server.cpu_cores / CPU_CORES_STEP)
        return is_overloaded, -rounded_cores, -weight("serving", server.instance)

    return {
        zone: tuple(sorted(servers_by_zone[zone], key=rank))
        for zone in sorted(servers_by_zone)
    }


def _required_count(ranking: tuple[Server, ...]) -> int:
    """Return how many top-ranked instances carry a zone's load with headroom."""
    required_cores = CPU_HEADROOM * sum(
        server.load * server.cpu_cores for server in ranking
    )
    cpu_cores = 0.0
    for index, server in enumerate(ranking):
        if index >= MIN_SERVING_PER_ZONE and cpu_cores >= required_cores:
            return index
        cpu_cores += server.cpu_cores
    return len(ranking)
