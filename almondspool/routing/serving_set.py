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
EVEN_FLEET = 16
# Lets a zone serve its callers while one of its instances is gone and another is slow.
MIN_SERVING_PER_ZONE = 3
# Standby instances next in rank; they keep connections open, so that they can serve
# within their first second in the set.
STANDBY_PER_ZONE = 2
# Callers of a zone with fewer serving instances are sent to other zones as well.
MIN_NEAR_ADDRESSES = 2
# Ratio of the processor capacity of the set to its load: 2 for a burst of twice the
# load, 2 for the loss of half of the set, 1.5 for the loss of one zone of three, and a
# utilization of 0.7, at which queues stay short.
HEADROOM = 2.0 * 2.0 * 1.5 / 0.7
# Instances with at least this utilization are ranked last.
OVERLOAD = 0.75
# The set shrinks once the load has been lower for three TTLs of the address lists.
NARROW_AFTER_S = 15.0
# Capacities are rounded to this many cores, so that rendezvous weights break ties.
POWER_STEP = 0.25
# A zone counts as hosting requests if its replicas belong to at least this share of the
# number of services that the best zone has.
HOME_SHARE = 0.5


class Server(NamedTuple):
    """An instance that may take requests.

    Attributes:
        instance: Its name.
        zone: Its availability zone.
        address: ``ip:port`` for callers.
        power: Its processor capacity, in cores; 0.0 if it does not report one.
        load: Its utilization, 0.0 to 1.0.
    """

    instance: str
    zone: str
    address: str
    power: float = 0.0
    load: float = 0.0


class _Zone(NamedTuple):
    """The ranked instances of one zone; the first ``count`` of them serve."""

    line: tuple[Server, ...]
    count: int
    # When the present count was last needed, in monotonic seconds.
    needed_at: float

    def serving(self) -> tuple[Server, ...]:
        return self.line[: self.count]

    def standby(self) -> tuple[Server, ...]:
        return self.line[self.count : self.count + STANDBY_PER_ZONE]


class ServingSet:
    """Ranking of the instances of each zone, and how many of them serve.

    The set grows at once and shrinks slowly. Instances with differing views of the
    members or their loads still cut similar rankings, so their callers share most of
    the set.
    """

    def __init__(self) -> None:
        """Start without instances."""
        self._zones_by_name: dict[str, _Zone] = {}
        self._zone_by_member: dict[str, str] = {}
        self._is_even = True

    def update(
        self, now: float, servers: Iterable[Server], home_zones: frozenset[str]
    ) -> bool:
        """Recompute the set from the members and the zones in which requests run.

        Args:
            now: Monotonic seconds.
            servers: Every instance that callers may be sent to.
            home_zones: Zones that host most of the services; empty if none are known.

        Returns:
            Whether the set has changed.
        """
        former = self._zone_by_member
        line_by_zone = _lines(servers)
        known = sum(len(line) for line in line_by_zone.values())
        self._is_even = known <= EVEN_FLEET
        homes = line_by_zone.keys() & home_zones
        zones_by_name: dict[str, _Zone] = {}
        for name, line in line_by_zone.items():
            if self._is_even:
                zones_by_name[name] = _Zone(line, len(line), now)
            elif not homes or name in homes:
                zones_by_name[name] = self._sized(now, name, line)
        self._zones_by_name = zones_by_name
        self._zone_by_member = {
            server.instance: server.zone
            for zone in zones_by_name.values()
            for server in zone.serving()
        }
        return self._zone_by_member != former

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

    def is_part(self) -> bool:
        """Return whether only a subset of the fleet serves."""
        return not self._is_even

    def addresses(self, zone: str, limit: int, rng: random.Random) -> tuple[str, ...]:
        """Return addresses, of which a caller connects to a random one.

        Callers of a zone get only its instances, as each hop between zones costs time
        and money, unless the zone does not host requests or too few are left.

        Args:
            zone: The caller's availability zone; may be unknown.
            limit: How many addresses to return at most.
            rng: Source of the order.
        """
        near = self._zones_by_name.get(zone)
        chosen = near.serving() if near is not None else ()
        if len(chosen) < MIN_NEAR_ADDRESSES:
            every = self._zones_by_name.values()
            chosen = tuple(server for each in every for server in each.serving())
        drawn = rng.sample(chosen, min(limit, len(chosen)))
        return tuple(server.address for server in drawn)

    def _sized(self, now: float, name: str, line: tuple[Server, ...]) -> _Zone:
        needed = min(len(line), _needed(line))
        former = self._zones_by_name.get(name)
        if former is None or former.count <= needed:
            return _Zone(line, needed, now)
        if now - former.needed_at < NARROW_AFTER_S:
            return former._replace(line=line)
        return _Zone(line, needed, now)


def home_zones(zones_by_service: Mapping[str, Iterable[str]]) -> frozenset[str]:
    """Return the zones that have replicas of most of the services.

    Args:
        zones_by_service: Zones of the replicas of each service in use.
    """
    count_by_zone: dict[str, int] = {}
    for zones in zones_by_service.values():
        for zone in set(zones):
            count_by_zone[zone] = count_by_zone.get(zone, 0) + 1
    most = max(count_by_zone.values(), default=0)
    return frozenset(
        zone for zone, count in count_by_zone.items() if count >= HOME_SHARE * most
    )


def _lines(servers: Iterable[Server]) -> dict[str, tuple[Server, ...]]:
    """Return the ranked instances of each zone, the first to serve first."""
    servers_by_zone: dict[str, list[Server]] = {}
    for server in servers:
        servers_by_zone.setdefault(server.zone, []).append(server)

    def rank(server: Server) -> tuple[bool, int, int]:
        is_overloaded = server.load >= OVERLOAD
        step = round(server.power / POWER_STEP)
        return is_overloaded, -step, -weight("serving", server.instance)

    return {
        zone: tuple(sorted(servers_by_zone[zone], key=rank))
        for zone in sorted(servers_by_zone)
    }


def _needed(line: tuple[Server, ...]) -> int:
    """Return how many top-ranked instances carry a zone's load with headroom."""
    wanted = HEADROOM * sum(server.load * server.power for server in line)
    power = 0.0
    for index, server in enumerate(line):
        if index >= MIN_SERVING_PER_ZONE and power >= wanted:
            return index
        power += server.power
    return len(line)
