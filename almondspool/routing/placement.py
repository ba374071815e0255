"""Where callers are sent, and which connections that asks this instance to keep.

Puts together who serves, the parts of shared limits that follow from it, and the
connections that are worth having before a request comes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.routing.serving_set import Server, ServingSet, home_zones
from almondspool.state.members import MemberStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

    from almondspool.routing.fleet_shares import FleetShares
    from almondspool.routing.replicas import ReplicaRegistry
    from almondspool.state.members import Member, View
    from almondspool.state.routes import Replica

# Callers look up in line with a request, on a connection of their own, so a short time
# costs them more than a stopped instance in an old list: that one still serves for as
# long.
ADDRESS_TTL_S = 5.0
# An instance that does not know its fleet yet names itself and few others.
UNSETTLED_TTL_S = 1.0


class Placed(NamedTuple):
    """What a change of the membership led to.

    Attributes:
        has_shares_changed: Whether parts of shared limits have changed.
        has_set_changed: Whether callers are sent to other instances than before.
    """

    has_shares_changed: bool
    has_set_changed: bool


class Placement:
    """Decides for one instance; alike on all, from the membership.

    Attributes:
        is_new_fleet: Whether no instance of the fleet has served before, as far as is
            known; the store then has records of but a few.
    """

    def __init__(
        self,
        instance: str,
        zone: str,
        shares: FleetShares,
        registry: ReplicaRegistry,
        rng: random.Random,
        is_first_start: bool = False,
    ) -> None:
        """Start without members.

        Args:
            instance: This instance.
            zone: Its availability zone.
            shares: The parts of limits that all instances share.
            registry: The replicas, whose zones tell where requests run.
            rng: Draws the order of addresses.
            is_first_start: Whether the platform takes this for the first start of
                the whole fleet; it may go on to say so at a restart.
        """
        self.is_new_fleet = is_first_start
        self._instance = instance
        self._zone = zone
        self._shares = shares
        self._registry = registry
        self._rng = rng
        self._records: tuple[Member, ...] = ()
        self._serving = ServingSet()

    def update(
        self,
        now: float,
        view: View,
        own: Member,
        records: tuple[Member, ...],
        services: Iterable[str],
    ) -> Placed:
        """Take the membership.

        Args:
            now: Monotonic seconds.
            view: The membership.
            own: The own record; the last resort of callers.
            records: The store's records of members, as they were last read.
            services: The services that routes lead to.
        """
        present = {
            member.instance: member.zone
            for member in view.members_by_instance.values()
            if member.status is not MemberStatus.DEAD
        }
        has_shares_changed = self._shares.update(now, present)
        serving = view.serving()
        if self.is_new_fleet:
            self.is_new_fleet = not serving and not _has_former_start(own, records)
        if records is not self._records and not self.is_new_fleet:
            self._records = records
            zones = {member.instance: member.zone for member in records}
            has_shares_changed |= self._shares.take_records(now, zones)
        members = serving or view.present() or (own,)
        homes = home_zones(
            {
                service: [each.zone for each in self._registry.usable(service)]
                for service in services
            }
        )
        has_set_changed = self._serving.update(now, map(_server, members), homes)
        part = self._serving.members() if self._serving.is_part() else ()
        has_shares_changed |= self._shares.set_serving(frozenset(part))
        return Placed(has_shares_changed, has_set_changed)

    def addresses(self, zone: str, limit: int) -> tuple[str, ...]:
        """Return addresses for a caller of an availability zone."""
        return self._serving.addresses(zone, limit, self._rng)

    def ttl_s(self, now: float) -> float:
        """Return how long callers may keep addresses, in seconds."""
        is_settled = self._shares.is_settled(now)
        return ADDRESS_TTL_S if is_settled else UNSETTLED_TTL_S

    def serving_count(self) -> int:
        """Return how many instances callers are sent to."""
        return len(self._serving.members())

    def is_serving(self) -> bool:
        """Return whether callers are sent to this instance."""
        return self._serving.is_member(self._instance)

    def replicas_to_connect(
        self, now: float, services: Iterable[str]
    ) -> Iterator[Replica]:
        """Yield the replicas to which a connection is kept ahead of need.

        Those that serve keep one to every replica: a hedge to another availability
        zone that must connect first takes three ways there and back instead of one.
        Those next in line keep the near ones, and all others connect as they need.
        """
        if not self._shares.is_settled(now):
            return
        is_serving = self.is_serving()
        if not is_serving and not self._serving.is_standby(self._instance):
            return
        for service in services:
            for replica in self._registry.usable(service):
                if is_serving or replica.zone == self._zone:
                    yield replica


def _has_former_start(own: Member, records: tuple[Member, ...]) -> bool:
    return any(
        record.instance == own.instance and record.session < own.session
        for record in records
    )


def _server(member: Member) -> Server:
    return Server(
        member.instance, member.zone, member.caller_address, member.power, member.load
    )
