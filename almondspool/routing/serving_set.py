"""Serving set: the instances of a large fleet that callers are sent to.

In a fleet that is large for its load, each instance would receive only a few requests a
minute, and learn too late which upstreams pause, are slow or fail. If only a few
instances serve, the largest first, each receives enough requests to choose replicas and
hedge well. Every instance computes the set from the membership alone, so that all
instances give callers the same one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

# In a fleet of at most this many instances all of them serve: the serving set of a
# larger fleet would contain as many.
MAX_WHOLE_FLEET_SIZE = 16
# Enough for a zone to serve its callers while one of its instances is gone and another
# is slow.
MIN_SERVING_PER_ZONE = 3
# Number of instances of a zone on standby, the next in rank after the serving ones.
# They keep connections to the upstreams open, so that they can serve within their first
# second in the set.
STANDBY_PER_ZONE = 2
# Callers of a zone with fewer serving instances are sent to other zones as well.
MIN_LOCAL_ADDRESSES = 2
# Ratio of the processor capacity of the set to its load: the product of 2 for a burst
# of twice the load, 2 for the loss of half of the set and 1.5 for the loss of one zone
# of three, divided by a utilization of 0.7, at which queues stay short.
CPU_HEADROOM = 2.0 * 2.0 * 1.5 / 0.7
# Instances with at least this utilization are ranked last.
OVERLOAD_UTILIZATION = 0.75
# The set shrinks once the load has been lower for this long: three TTLs of the address
# lists.
SHRINK_DELAY_S = 15.0
# Capacities are rounded to multiples of this many cores, so that instances of nearly
# the same capacity are ranked by their rendezvous weights.
CPU_CORES_STEP = 0.25
# A zone counts as an upstream zone if it has replicas of at least this share of the
# number of services that the zone with the most services has.
MIN_UPSTREAM_ZONE_SERVICE_SHARE = 0.5


class ServingCandidate(NamedTuple):
    """An instance that callers may be sent to.

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
    """The ranked instances of one zone.

    Attributes:
        ranking: Every candidate of the zone, the first to serve first.
        serving_count: How many of them serve.
        needed_at: When the load last required this count, in monotonic seconds.
    """

    ranking: tuple[ServingCandidate, ...]
    serving_count: int
    needed_at: float

    def serving(self) -> tuple[ServingCandidate, ...]:
        return self.ranking[: self.serving_count]

    def standby(self) -> tuple[ServingCandidate, ...]:
        return self.ranking[self.serving_count : self.serving_count + STANDBY_PER_ZONE]


class ServingSet:
    """Ranking of the instances of each zone, and how many of them serve.

    The set grows at once and shrinks after a delay. Two instances that disagree on its
    size still compute their sets from the same ranking, so that both send callers to
    mostly the same instances.
    """

    def __init__(self) -> None:
        """Start without instances."""
        self._zone_by_name: dict[str, _Zone] = {}
        self._zone_name_by_member: dict[str, str] = {}
        self._is_whole_fleet = True

    def update(
        self,
        now: float,
        candidates: Iterable[ServingCandidate],
        upstream_zones: frozenset[str],
    ) -> bool:
        """Recompute the set from the candidates and the zones of the upstreams.

        Args:
            now: Monotonic seconds.
            candidates: Every instance that callers may be sent to.
            upstream_zones: Zones that have replicas of most of the services; empty if
                none are known.

        Returns:
            Whether the set has changed.
        """
        previous = self._zone_name_by_member
        ranking_by_zone = _rankings(candidates)
        instance_count = sum(len(ranking) for ranking in ranking_by_zone.values())
        self._is_whole_fleet = instance_count <= MAX_WHOLE_FLEET_SIZE
        populated_upstream_zones = ranking_by_zone.keys() & upstream_zones
        zone_by_name: dict[str, _Zone] = {}
        for name, ranking in ranking_by_zone.items():
            if self._is_whole_fleet:
                zone_by_name[name] = _Zone(ranking, len(ranking), now)
            elif not populated_upstream_zones or name in populated_upstream_zones:
                zone_by_name[name] = self._resized(now, name, ranking)
        self._zone_by_name = zone_by_name
        self._zone_name_by_member = {
            candidate.instance: candidate.zone
            for zone in zone_by_name.values()
            for candidate in zone.serving()
        }
        return self._zone_name_by_member != previous

    def members(self) -> dict[str, str]:
        """Return the availability zones of the instances in the set, by name."""
        return self._zone_name_by_member

    def is_member(self, instance: str) -> bool:
        """Return whether an instance is in the set."""
        return instance in self._zone_name_by_member

    def is_standby(self, instance: str) -> bool:
        """Return whether an instance is on standby."""
        return any(
            candidate.instance == instance
            for zone in self._zone_by_name.values()
            for candidate in zone.standby()
        )

    def is_subset(self) -> bool:
        """Return whether only a subset of the fleet serves."""
        return not self._is_whole_fleet

    def addresses(self, zone: str, limit: int, rng: random.Random) -> tuple[str, ...]:
        """Return addresses of serving instances; a caller connects to a random one.

        Callers of a zone get only addresses in this zone, as each hop between zones
        costs time and money. They get addresses in all zones if the zone has no
        upstreams or too few serving instances.

        Args:
            zone: The caller's availability zone; may be unknown.
            limit: How many addresses to return at most.
            rng: Source of the random sample and its order.
        """
        local = self._zone_by_name.get(zone)
        serving = local.serving() if local is not None else ()
        if len(serving) < MIN_LOCAL_ADDRESSES:
            zones = self._zone_by_name.values()
            serving = tuple(
                candidate for zone_state in zones for candidate in zone_state.serving()
            )
        sample = rng.sample(serving, min(limit, len(serving)))
        return tuple(candidate.address for candidate in sample)

    def _resized(
        self, now: float, name: str, ranking: tuple[ServingCandidate, ...]
    ) -> _Zone:
        required = min(len(ranking), _required_count(ranking))
        previous = self._zone_by_name.get(name)
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
    service_count_by_zone: dict[str, int] = {}
    for zones in zones_by_service.values():
        for zone in set(zones):
            service_count_by_zone[zone] = service_count_by_zone.get(zone, 0) + 1
    max_service_count = max(service_count_by_zone.values(), default=0)
    return frozenset(
        zone
        for zone, service_count in service_count_by_zone.items()
        if service_count >= MIN_UPSTREAM_ZONE_SERVICE_SHARE * max_service_count
    )


def _rankings(
    candidates: Iterable[ServingCandidate],
) -> dict[str, tuple[ServingCandidate, ...]]:
    """Return the ranked candidates of each zone, the first to serve first."""
    candidates_by_zone: dict[str, list[ServingCandidate]] = {}
    for candidate in candidates:
        candidates_by_zone.setdefault(candidate.zone, []).append(candidate)

    def rank(candidate: ServingCandidate) -> tuple[bool, int, int]:
        is_overloaded = candidate.load >= OVERLOAD_UTILIZATION
        rounded_cores = round(candidate.cpu_cores / CPU_CORES_STEP)
        return is_overloaded, -rounded_cores, -weight("serving", candidate.instance)

    return {
        zone: tuple(sorted(candidates_by_zone[zone], key=rank))
        for zone in sorted(candidates_by_zone)
    }


def _required_count(ranking: tuple[ServingCandidate, ...]) -> int:
    """Return how many instances, from the top rank, a zone's load requires."""
    required_cores = CPU_HEADROOM * sum(
        candidate.load * candidate.cpu_cores for candidate in ranking
    )
    cpu_cores = 0.0
    for index, candidate in enumerate(ranking):
        if index >= MIN_SERVING_PER_ZONE and cpu_cores >= required_cores:
            return index
        cpu_cores += candidate.cpu_cores
    return len(ranking)
