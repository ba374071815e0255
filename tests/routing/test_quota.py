from __future__ import annotations

import testtools

from almondspool.routing.quota import ShareAllocation, connection_quota
from almondspool.state.routes import Replica

ZONES = ("north", "south", "hills", "coast")
FLEET = {f"instance-{number}": ZONES[number % 4] for number in range(85)}


def first_instances(count):
    return dict(list(FLEET.items())[:count])


def replica(number, zone="north"):
    return Replica(f"r-{number}", "shard", "10.0.0.1:80", zone, 4)


class QuotaTests(testtools.TestCase):
    def total_quota(self, limit, instances, target):
        return sum(
            connection_quota(limit, instance, ShareAllocation(instances), target)
            for instance in instances
        )

    def test_sum_over_instances_keeps_the_limit_of_each_replica(self):
        for count in (1, 2, 9, 26, 67, 74, 75, 85):
            for number in range(20):
                total = self.total_quota(74, first_instances(count), replica(number))
                self.assertTrue(total <= 74, (count, total))

    def test_fewer_connections_than_instances_are_all_assigned(self):
        self.assertEqual(74, self.total_quota(74, FLEET, replica(1)))

    def test_few_connections_are_reassigned_when_an_instance_leaves(self):
        reassigned = 0
        for number in range(50):
            for instance in first_instances(84):
                before = connection_quota(
                    74, instance, ShareAllocation(FLEET), replica(number)
                )
                after = connection_quota(
                    74, instance, ShareAllocation(first_instances(84)), replica(number)
                )
                reassigned += before != after
        self.assertTrue(reassigned <= 50, reassigned)

    def test_instances_in_the_zone_of_the_replica_come_first(self):
        for number in range(20):
            for instance, zone in FLEET.items():
                if zone == "south":
                    target = replica(number, "south")
                    quota = connection_quota(
                        40, instance, ShareAllocation(FLEET), target
                    )
                    self.assertEqual(1, quota)

    def test_limit_of_zero_grants_no_connection(self):
        allocation = ShareAllocation({"a": "x", "b": "x"})
        self.assertEqual(0, connection_quota(0, "a", allocation, replica(1)))


class ServingQuotaTests(testtools.TestCase):
    """Quotas of a limited number of connections while a subset of the fleet serves."""

    def total_quota(self, limit, serving_by_instance, fleet):
        return sum(
            connection_quota(
                limit,
                instance,
                ShareAllocation(fleet, 0, frozenset(serving_by_instance(instance))),
                replica(1),
            )
            for instance in fleet
        )

    def test_serving_instances_get_several_connections_each(self):
        serving = frozenset(list(FLEET)[:9])
        for instance in serving:
            allocation = ShareAllocation(FLEET, 0, serving)
            self.assertEqual(2, connection_quota(67, instance, allocation, replica(1)))

    def test_other_instances_reach_a_replica_of_every_shard_in_their_zone(self):
        # 70 instances in three zones, four of which serve in each; 23 of the 67
        # connections of a replica are left for the 23 others of its zone.
        names_by_zone = {
            "north": [f"north-{number}" for number in range(27)],
            "south": [f"south-{number}" for number in range(22)],
            "hills": [f"hills-{number}" for number in range(21)],
        }
        fleet = {name: zone for zone, names in names_by_zone.items() for name in names}
        serving = frozenset(
            name for names in names_by_zone.values() for name in names[:4]
        )
        allocation = ShareAllocation(fleet, 0, serving)
        for name, zone in fleet.items():
            for shard in range(36):
                local = replica(shard)._replace(zone=zone)
                quota = connection_quota(67, name, allocation, local)
                self.assertTrue(quota >= 1, (name, shard))

    def test_sum_keeps_the_limit_while_instances_use_two_serving_sets(self):
        names = list(FLEET)
        for limit in (10, 25, 67, 74, 125, 1200):
            for size in (3, 9, 15, 30):
                previous, new = names[:size], names[size : 2 * size]
                for split in range(0, len(names), 7):
                    total = self.total_quota(
                        limit,
                        lambda name, at=split, old=previous, to=new: (
                            old if names.index(name) < at else to
                        ),
                        FLEET,
                    )
                    self.assertTrue(total <= limit, (limit, size, split, total))

    def test_serving_set_too_large_for_a_reserve_divides_the_limit_among_all(self):
        serving = list(FLEET)[:60]
        self.assertEqual(74, self.total_quota(74, lambda _: serving, FLEET))
