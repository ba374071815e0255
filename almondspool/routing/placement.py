"""Placement of callers on instances, and of connections to upstreams.

Combines the serving set, the shares of fleet-wide limits that follow from it, and the
connections that are opened before a request needs them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.routing.serving_set import ServingCandidate, ServingSet, upstream_zones
from almondspool.state.members import MemberStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

    from almondspool.routing.fleet_shares import FleetShares
    from almondspool.routing.replicas import ReplicaRegistry
    from almondspool.state.members import Member, View
    from almondspool.state.routes import Replica

# How long callers may use a list of addresses. They look addresses up on a separate
# connection while a request waits. A shorter time would cost them more than an old list
# that contains a stopping instance, as that instance continues to serve for this long.
ADDRESS_TTL_S = 5.0
# The same for a list from an instance that does not know its fleet yet and returns only
# itself and few others.
UNCONVERGED_ADDRESS_TTL_S = 1.0


class PlacementChange(NamedTuple):
    """What an update of the placement has changed.

    Attributes:
        have_shares_changed: Whether shares of fleet-wide limits have changed.
        has_serving_set_changed: Whether the serving set has changed.
    """

    have_shares_changed: bool
    has_serving_set_changed: bool


class Placement:
    """Placement as one instance computes it.

    Attributes:
        is_new_fleet: Whether no instance of the fleet is known to have served before.
            The store then has records of only a few instances, so they are not used.
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
            instance: The name of this instance.
            zone: Its availability zone.
            shares: This instance's shares of fleet-wide limits.
            registry: The replicas, whose zones determine where requests run.
            rng: Source of the random order of addresses.
            is_first_start: Whether the platform reports the first start of the whole
                fleet; it may still report so at a restart.
        """
        self.is_new_fleet = is_first_start
        self._instance = instance
        self._zone = zone
        self._shares = shares
        self._registry = registry
        self._rng = rng
        # The records that the shares were last updated from.
        self._last_records: tuple[Member, ...] = ()
        self._serving_set = ServingSet()

    def update(
        self,
        now: float,
        view: View,
        own: Member,
        records: tuple[Member, ...],
        services: Iterable[str],
    ) -> PlacementChange:
        """Update the placement from the membership.

        Args:
            now: Monotonic seconds.
            view: The membership.
            own: This instance's member record; callers are sent to this instance if no
                other is available.
            records: Records of members as last read from the store.
            services: The services that routes send requests to.
        """
        zone_by_live_instance = {
            member.instance: member.zone
            for member in view.members_by_instance.values()
            if member.status is not MemberStatus.DEAD
        }
        have_shares_changed = self._shares.update(now, zone_by_live_instance)
        serving = view.serving()
        if self.is_new_fleet:
            self.is_new_fleet = not serving and not _has_earlier_session(own, records)
        if records is not self._last_records and not self.is_new_fleet:
            self._last_records = records
            zones = {member.instance: member.zone for member in records}
            have_shares_changed |= self._shares.update_from_records(now, zones)
        members = serving or view.present() or (own,)
        zones_with_upstreams = upstream_zones(
            {
                service: [replica.zone for replica in self._registry.usable(service)]
                for service in services
            }
        )
        has_serving_set_changed = self._serving_set.update(
            now, map(_serving_candidate, members), zones_with_upstreams
        )
        serving_subset = (
            self._serving_set.members() if self._serving_set.is_subset() else ()
        )
        have_shares_changed |= self._shares.set_serving_set(frozenset(serving_subset))
        return PlacementChange(have_shares_changed, has_serving_set_changed)

    def addresses(self, zone: str, limit: int) -> tuple[str, ...]:
        """Return at most this many addresses for a caller in an availability zone."""
        return self._serving_set.addresses(zone, limit, self._rng)

    def ttl_s(self, now: float) -> float:
        """Return how long callers may use addresses, in seconds."""
        is_converged = self._shares.is_converged(now)
        return ADDRESS_TTL_S if is_converged else UNCONVERGED_ADDRESS_TTL_S

    def serving_count(self) -> int:
        """Return the number of instances in the serving set."""
        return len(self._serving_set.members())

    def serving_instances(self) -> frozenset[str]:
        """Return the names of the instances in the serving set."""
        return frozenset(self._serving_set.members())

    def is_serving(self) -> bool:
        """Return whether this instance is in the serving set."""
        return self._serving_set.is_member(self._instance)

    def replicas_to_connect(
        self, now: float, services: Iterable[str]
    ) -> Iterator[Replica]:
        """Yield the replicas to which a connection is kept open in advance.

        Instances of the serving set keep a connection to every replica: a hedge to
        another availability zone that must connect first takes three round trips
        instead of one. Standby instances keep connections to the replicas of their own
        zone. All other instances connect on demand.
        """
        if not self._shares.is_converged(now):
            return
        is_serving = self.is_serving()
        if not is_serving and not self._serving_set.is_standby(self._instance):
            return
        for service in services:
            for replica in self._registry.usable(service):
                if is_serving or replica.zone == self._zone:
                    yield replica


def _has_earlier_session(own: Member, records: tuple[Member, ...]) -> bool:
    return any(
        record.instance == own.instance and record.session < own.session
        for record in records
    )


def _serving_candidate(member: Member) -> ServingCandidate:
    return ServingCandidate(
        member.instance,
        member.zone,
        member.caller_address,
        member.cpu_cores,
        member.load,
    )
