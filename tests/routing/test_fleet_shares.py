from __future__ import annotations

import testtools

from almondspool.routing.fleet_shares import (
    CONVERGENCE_S,
    LOST_INSTANCE_TTL_S,
    FleetShares,
)
from almondspool.state.routes import Replica

FLEET = [f"instance-{number:02}" for number in range(67)]
REPLICA = Replica("r-1", "shard", "10.0.0.1:80", "north", 4)


def zones(instances):
    return dict.fromkeys(instances, "north")


class FleetSharesTests(testtools.TestCase):
    def converged_shares(self, live_instances):
        shares = FleetShares(FLEET[0], "north", 0.0)
        shares.update(0.1, zones(live_instances))
        shares.update(0.1 + CONVERGENCE_S, zones(live_instances))
        return shares

    def test_fleet_that_restarts_as_a_whole_keeps_the_limit_of_each_replica(self):
        # At first each instance knows only a few others.
        for known_count in range(1, 67, 5):
            total = 0
            for index, instance in enumerate(FLEET):
                shares = FleetShares(instance, "north", 0.0)
                known_instances = [FLEET[(index + n) % 67] for n in range(known_count)]
                shares.update(0.3, zones(known_instances))
                total += shares.max_connections(0.3, 66, REPLICA)
            self.assertTrue(total <= 67, total)

    def test_assumed_fleet_size_applies_until_convergence(self):
        shares = FleetShares(FLEET[0], "north", 0.0)
        self.assertEqual(64, shares.instance_count(0.0))
        shares.update(0.1, zones(FLEET[:9]))
        self.assertEqual(64, shares.instance_count(0.2))
        self.assertTrue(shares.update(0.1 + CONVERGENCE_S, zones(FLEET[:9])))
        self.assertEqual(9, shares.instance_count(0.1 + CONVERGENCE_S))

    def test_ongoing_discovery_delays_convergence(self):
        shares = FleetShares(FLEET[0], "north", 0.0)
        for number in range(30):
            shares.update(number / 10, zones(FLEET[: number + 2]))
        self.assertFalse(shares.is_converged(3.0))

    def test_lost_instance_counts_until_its_ttl_expires(self):
        shares = self.converged_shares(FLEET[:9])
        self.assertFalse(shares.update(5.0, zones(FLEET[:8])))
        self.assertEqual(9, shares.instance_count(5.0))
        shares.update(5.0 + LOST_INSTANCE_TTL_S, zones(FLEET[:8]))
        self.assertEqual(8, shares.instance_count(5.0 + LOST_INSTANCE_TTL_S))

    def test_new_instance_counts_immediately(self):
        shares = self.converged_shares(FLEET[:9])
        self.assertTrue(shares.update(5.0, zones(FLEET[:10])))
        self.assertEqual(10, shares.instance_count(5.0))

    def test_restarted_instance_gets_the_fleet_size_from_records(self):
        shares = FleetShares(FLEET[0], "north", 0.0)
        self.assertTrue(shares.update_from_records(0.05, zones(FLEET[:9])))
        self.assertEqual(9, shares.instance_count(0.05))
        self.assertEqual(2, shares.max_connections(0.05, 26, REPLICA))

    def test_own_record_alone_does_not_end_discovery(self):
        shares = FleetShares(FLEET[0], "north", 0.0)
        shares.update_from_records(0.05, zones(FLEET[:1]))
        self.assertEqual(64, shares.instance_count(0.05))

    def test_small_fleet_divides_a_limit_evenly(self):
        shares = self.converged_shares(FLEET[:9])
        self.assertEqual(2, shares.max_connections(5.0, 26, REPLICA))
