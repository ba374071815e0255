from __future__ import annotations

import random

import testtools

from almondspool.logs import EventLog
from almondspool.routing.fleet_shares import CONVERGENCE_S, FleetShares
from almondspool.routing.placement import (
    ADDRESS_TTL_S,
    UNCONVERGED_ADDRESS_TTL_S,
    Placement,
)
from almondspool.routing.replicas import ReplicaRegistry
from almondspool.state.members import Member, MemberStatus, View
from tests.routing.routing_harness import make_replicas

SERVICES = ("shard-0", "shard-1")


def member(number, zone, **changes):
    name = f"i{number}"
    template = Member(name, 1, zone, f"10.0.0.{number}:80", f"10.0.0.{number}:70")
    return template._replace(**changes)


class _PlacementFixture(testtools.TestCase):
    """A registry with replicas in three zones, for placements of several instances."""

    def setUp(self):
        super().setUp()
        self.registry = ReplicaRegistry(EventLog([].append), [].append)
        for service in SERVICES:
            for replica in make_replicas(service):
                self.registry.put(0.0, replica)

    def make_placement(self, members, own=None):
        own = own or members[0]
        shares = FleetShares(own.instance, own.zone, 0.0)
        placement = Placement(
            own.instance, own.zone, shares, self.registry, random.Random(1)
        )
        view = View({member.instance: member for member in members})
        for now in (0.0, CONVERGENCE_S):
            placement.update(now, view, own, (), SERVICES)
        return placement


class AddressTests(_PlacementFixture):
    def addresses(self, members, zone="a", limit=64):
        return self.make_placement(members).addresses(zone, limit)

    def test_callers_stay_in_their_zone(self):
        members = [member(1, "a"), member(2, "a"), member(3, "b")]
        self.assertEqual({"10.0.0.1:80", "10.0.0.2:80"}, set(self.addresses(members)))

    def test_zone_with_a_single_instance_uses_all_zones(self):
        members = [member(1, "a"), member(2, "b"), member(3, "b")]
        self.assertEqual(3, len(self.addresses(members)))

    def test_unknown_zone_gets_all_addresses(self):
        members = [member(1, "a"), member(2, "b")]
        self.assertEqual(2, len(self.addresses(members, "elsewhere")))

    def test_suspect_leaving_dead_and_unready_members_are_excluded(self):
        members = [
            member(1, "a"),
            member(2, "a"),
            member(3, "a", status=MemberStatus.SUSPECT),
            member(4, "a", status=MemberStatus.LEAVING),
            member(5, "a", status=MemberStatus.DEAD),
            member(6, "a", ready=False),
        ]
        self.assertEqual({"10.0.0.1:80", "10.0.0.2:80"}, set(self.addresses(members)))

    def test_own_address_is_the_last_resort(self):
        members = [member(1, "a", status=MemberStatus.LEAVING)]
        self.assertEqual(("10.0.0.1:80",), self.addresses(members))

    def test_number_of_addresses_is_limited(self):
        overloaded = [member(n, "a", load=0.5, cpu_cores=1.0) for n in range(1, 100)]
        self.assertEqual(64, len(set(self.addresses(overloaded))))

    def test_ttl_is_longer_once_the_fleet_has_converged(self):
        members = [member(1, "a"), member(2, "a")]
        placement = self.make_placement(members)
        self.assertEqual(UNCONVERGED_ADDRESS_TTL_S, placement.ttl_s(0.1))
        self.assertEqual(ADDRESS_TTL_S, placement.ttl_s(CONVERGENCE_S))


class ConnectionTests(_PlacementFixture):
    ZONES = ("north", "south", "hills", "coast")

    def fleet(self):
        return [member(n, self.ZONES[n % 4], cpu_cores=1.0) for n in range(80)]

    def connected_zones(self, own, now=CONVERGENCE_S):
        placement = self.make_placement(self.fleet(), own)
        replicas = list(placement.replicas_to_connect(now, SERVICES))
        return placement.is_serving(), {replica.zone for replica in replicas}

    def test_serving_instances_connect_everywhere_and_standby_ones_locally(self):
        results = [(own.zone, *self.connected_zones(own)) for own in self.fleet()]
        serving = [zones for _, is_serving, zones in results if is_serving]
        self.assertEqual([{"north", "south", "hills"}] * 9, serving)
        standby = [
            (zone, zones)
            for zone, is_serving, zones in results
            if zones and not is_serving
        ]
        self.assertEqual(6, len(standby))
        for zone, zones in standby:
            self.assertEqual({zone}, zones)

    def test_no_connections_before_convergence(self):
        own = self.fleet()[0]
        placement = self.make_placement(self.fleet(), own)
        self.assertEqual([], list(placement.replicas_to_connect(0.1, SERVICES)))

    def test_small_fleet_connects_to_every_replica(self):
        members = self.fleet()[:9]
        for own in members:
            placement = self.make_placement(members, own)
            replicas = list(placement.replicas_to_connect(CONVERGENCE_S, SERVICES))
            self.assertEqual(6, len(replicas))


class NewFleetTests(_PlacementFixture):
    """Starts that the platform reports as the first start of the fleet."""

    def start_new_fleet(self, records=(), others=()):
        own = member(1, "north", incarnation=2000, session=2000, ready=False)
        shares = FleetShares(own.instance, own.zone, 0.0)
        placement = Placement(
            own.instance, own.zone, shares, self.registry, random.Random(1), True
        )
        view = View({member.instance: member for member in (own, *others)})
        placement.update(0.1, view, own, tuple(records), SERVICES)
        return placement, shares

    def test_few_records_at_the_first_start_do_not_end_discovery(self):
        placement, shares = self.start_new_fleet([member(2, "north", session=1990)])
        self.assertTrue(placement.is_new_fleet)
        self.assertFalse(shares.is_converged(0.1))

    def test_own_record_of_an_earlier_session_means_a_restart_of_the_fleet(self):
        records = [member(1, "north", session=1000), member(2, "north", session=1000)]
        placement, shares = self.start_new_fleet(records)
        self.assertFalse(placement.is_new_fleet)
        self.assertTrue(shares.is_converged(0.1))

    def test_serving_member_means_that_the_fleet_is_not_new(self):
        placement, _ = self.start_new_fleet(others=[member(2, "north")])
        self.assertFalse(placement.is_new_fleet)
