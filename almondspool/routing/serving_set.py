"""Which instances callers are sent to, as a part of a large fleet.

Answers a fleet that is large for its load: spread over all of it, each instance sees a
few requests a minute, and learns too late which upstreams pause, are slow or fail. A
few instances, the largest first, see enough to choose and hedge well. Every instance
works the set out from the membership alone, so all of them give callers the same one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.rendezvous import weight

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

# Up to this many instances all serve: as many as a set of a larger fleet would hold.
EVEN_FLEET = 16
# A zone's callers go on while one of its instances is gone and another one is slow.
MIN_SERVING_PER_ZONE = 3
# Next in line; they keep connections, so that they serve within their first second.
STANDBY_PER_ZONE = 2
# A zone's callers are led to other zones when fewer of its instances are left.
MIN_NEAR_ADDRESSES = 2
# Processor time at hand for each second of it in use: twice the load in a burst, twice
# for the loss of half of the set, 1.5 for the loss of one zone of three, and a use of
# 0.7 at which queues stay short.
HEADROOM = 2.0 * 2.0 * 1.5 / 0.7
# An instance that is busy for this part of its time is the last to be chosen.
OVERLOAD = 0.75
# A set narrows after the load was lower for three lives of a caller's address list.
NARROW_AFTER_S = 15.0
# Powers within this many cores count as equal, so that names decide.
POWER_STEP = 0.25
# A zone is a home of requests if it has this part of the services that the best has.
HOME_SHARE = 0.5


class Server(NamedTuple):
    """An instance that may take requests.

    Attributes:
        instance: Its name.
        zone: Its availability zone.
        address: ``ip:port`` for callers.
        power: Its processor, in cores; 0.0 if it does not tell.
        load: Busy part of its time, 0.0 to 1.0.
    """

    instance: str
    zone: str
    address: str
    power: float = 0.0
    load: float = 0.0


class _Zone(NamedTuple):
    """The line of one zone and how many at its head serve."""

    line: tuple[Server, ...]
    count: int
    # When the present count was last needed, in monotonic seconds.
    needed_at: float

    def serving(self) -> tuple[Server, ...]:
        return self.line[: self.count]

    def standby(self) -> tuple[Server, ...]:
        return self.line[self.count : self.count + STANDBY_PER_ZONE]


class ServingSet:
    """Keeps the line of each zone, and how many of it serve.

    The set widens at once and narrows slowly. Sets of two instances that differ in
    what they know are parts of one line, so callers of both meet on most of them.
    """

    def __init__(self) -> None:
        """Start without instances."""
        self._zones_by_name: dict[str, _Zone] = {}
        self._zone_by_member: dict[str, str] = {}
        self._is_even = True

    def update(
        self, now: float, servers: Iterable[Server], home_zones: frozenset[str]
    ) -> bool:
        """Take the instances that serve and the zones in which requests run.

        Args:
            now: Monotonic seconds.
            servers: Every instance that callers may be sent to.
            home_zones: Zones with upstreams; empty if none are known.

        Returns:
            Whether other instances serve than before.
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
        """Return the zones of the instances that serve, by name."""
        return self._zone_by_member

    def is_member(self, instance: str) -> bool:
        """Return whether callers are sent to an instance."""
        return instance in self._zone_by_member

    def is_standby(self, instance: str) -> bool:
        """Return whether an instance is next in line."""
        return any(
            server.instance == instance
            for zone in self._zones_by_name.values()
            for server in zone.standby()
        )

    def is_part(self) -> bool:
        """Return whether the set is only a part of the fleet."""
        return not self._is_even

    def addresses(self, zone: str, limit: int, rng: random.Random) -> tuple[str, ...]:
        """Return addresses for callers that connect to a random one of the list.

        Callers of a zone get its instances only, as each hop between zones costs time
        and money, unless none of its requests could run there or too few are left.

        Args:
            zone: The caller's availability zone; may be unknown.
            limit: How many addresses to return at most.
            rng: Draws the order.
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
    """Return the zones in which requests find most of their upstreams.

    Args:
        zones_by_service: The zones of the replicas of each service in use.
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
    """Return the servers of each zone, the first to serve first."""
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
    """Return how many at the head of a line carry its load with room to spare."""
    wanted = HEADROOM * sum(server.load * server.power for server in line)
    power = 0.0
    for index, server in enumerate(line):
        if index >= MIN_SERVING_PER_ZONE and power >= wanted:
            return index
        power += server.power
    return len(line)
