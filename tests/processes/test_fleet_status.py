"""One instance writes the status of all; another goes on when it is gone."""

from __future__ import annotations

from almondspool.errors import InstanceError
from tests.processes.support import ClusterTestCase, operator_client, wait_until


class FleetStatusTests(ClusterTestCase):
    settings = {"status_interval_s": 0.5}

    def fleet(self):
        """Return what an operator sees, None while there is no status."""
        try:
            return operator_client(self.cluster).fleet()
        except InstanceError:
            return None

    def wait_for(self, condition, what):
        return wait_until(lambda: condition(self.fleet()), what)

    def test_another_goes_on_when_the_holder_is_killed(self):
        names = set(self.cluster.instances_by_name)

        def is_whole(fleet):
            rows = fleet["instances"] if fleet else ()
            return fleet if {row["instance"] for row in rows} == names else None

        before = self.wait_for(is_whole, "every instance has reported")
        holder = before["holder"]
        self.cluster.kill(holder)

        def is_taken_over(fleet):
            return fleet if fleet and fleet["holder"] != holder else None

        after = self.wait_for(is_taken_over, "another instance writes the status")
        self.assertGreater(after["epoch"], before["epoch"])
        self.assertEqual(names, {row["instance"] for row in after["instances"]})
