"""Base class of tests that run instances beside stand-ins of the platform."""

from __future__ import annotations

import testtools
import urllib3

from almondspool.standins.hosted_cluster import HOST, HostedCluster
from tests.processes.support import wait_until


class HostedTestCase(testtools.TestCase):
    """Base class of tests with a cluster of their own.

    Attributes:
        instance_count: Number of instances.
        daemon_module: Module to run as the daemon.
        cluster: The cluster, while the test runs.
    """

    instance_count = 2
    daemon_module = "almondspool.platform"

    def setUp(self):
        super().setUp()
        self.cluster = HostedCluster(
            instances=self.instance_count, shards=2, daemon_module=self.daemon_module
        )
        self.addCleanup(self.cluster.__exit__, None, None, None)
        self.cluster.start()
        self.http = urllib3.PoolManager(retries=False)
        self.count = 0
        for name in self.cluster.instances_by_name:
            wait_until(
                lambda name=name: self.is_complete(name),
                f"{name} knows all searchers and serves",
            )

    def is_complete(self, name):
        # Every searcher of a service must be known, or there is no alternative to use.
        is_known = self.count_known_entries(name) >= 9
        return is_known and self.call("/fetch/2f", name)[1].status == 200

    def call(self, path, name="instance-0"):
        self.count += 1
        request_id = f"r{self.count}"
        address = self.cluster.instances_by_name[name].caller_address
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "2000"}
        url = f"http://{address}{path}"
        return request_id, self.http.request("GET", url, headers=headers, timeout=10.0)

    def events(self, replica_id):
        """Return the journal entries of requests that a searcher ran or rejected."""
        return [
            each
            for each in self.cluster.read_journal()
            if each["replica"] == replica_id
        ]

    def set_others_listed(self, replica_id, is_listed):
        """List or unlist the other searchers of a searcher's service.

        An instance may prefer another searcher. Without the others, it has to use this
        one, whatever its zone.
        """
        others = [
            f"i-records-{zone}"
            for zone in ("north", "south", "hills")
            if f"i-records-{zone}" != replica_id
        ]
        for other in others:
            self.cluster.set_behaviour(other, is_listed=is_listed)
        expected_count = 9 if is_listed else 9 - len(others)
        for name in self.cluster.instances_by_name:
            wait_until(
                lambda name=name: self.count_known_entries(name) == expected_count,
                f"{name} knows {expected_count} entries",
            )

    def count_known_entries(self, name):
        """Return how many searchers an instance knows."""
        address = self.cluster.instances_by_name[name].operator_address
        status = self.http.request("GET", f"http://{address}/v1/status", timeout=10.0)
        return status.json()["replicas"]
