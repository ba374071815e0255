"""Tests that one instance writes the fleet status, and another when it is killed."""

from __future__ import annotations

from almondspool.errors import InstanceError
from tests.processes.support import ClusterTestCase, operator_client, wait_until


class FleetStatusTests(ClusterTestCase):
    settings = {"status_interval_s": 0.5}

    def fleet_status(self):
        """Return the fleet status that operators see, None if there is none."""
        try:
            return operator_client(self.cluster).get_fleet_status()
        except InstanceError:
            return None

    def wait_for(self, condition, what):
        """Wait until a condition on the fleet status is true; return its value."""
        return wait_until(lambda: condition(self.fleet_status()), what)

    def test_another_takes_over_when_the_holder_is_killed(self):
        names = set(self.cluster.instances_by_name)

        def has_all_instances(status):
            rows = status["instances"] if status else ()
            return status if {row["instance"] for row in rows} == names else None

        before = self.wait_for(has_all_instances, "the status includes every instance")
        holder = before["holder"]
        self.cluster.kill(holder)

        def has_new_holder(status):
            return status if status and status["holder"] != holder else None

        after = self.wait_for(has_new_holder, "another instance writes the status")
        self.assertGreater(after["epoch"], before["epoch"])
        self.assertEqual(names, {row["instance"] for row in after["instances"]})
