from __future__ import annotations

import os
from unittest import mock

import testtools

from almondspool.standins.hosted_cluster import HostedCluster
from almondspool.standins.ports import (
    MIN_PORT,
    PORT_LIMIT,
    PORTS_VARIABLE,
    allowed_ports,
    format_ports,
    free_ports,
)
from tools.parallel_tests import WORKERS

ALLOWED = range(20_000, 20_100)


class PortTests(testtools.TestCase):
    def test_without_the_variable_the_whole_range_is_allowed(self):
        with mock.patch.dict(os.environ):
            os.environ.pop(PORTS_VARIABLE, None)
            self.assertEqual(range(MIN_PORT, PORT_LIMIT), allowed_ports())

    def test_free_ports_are_within_the_allowed_range(self):
        value = format_ports(ALLOWED)
        with mock.patch.dict(os.environ, {PORTS_VARIABLE: value}):
            self.assertEqual(ALLOWED, allowed_ports())
            for _ in range(20):
                ports = free_ports(3)
                self.assertEqual(3, len(ports))
                self.assertLessEqual(set(ports), set(ALLOWED))


class HostTests(testtools.TestCase):
    def instance_ips(self, start, stop):
        value = format_ports(range(start, stop))
        with mock.patch.dict(os.environ, {PORTS_VARIABLE: value}):
            with HostedCluster(instances=3, shards=2) as cluster:
                return {instance.ip for instance in cluster.instances_by_name.values()}

    def test_concurrent_clusters_have_separate_addresses(self):
        # All instances use the same port numbers, so each needs its own IP address.
        ports_per_worker = (PORT_LIMIT - MIN_PORT) // WORKERS
        starts = [MIN_PORT + number * ports_per_worker for number in range(WORKERS)]
        ips_by_worker = [
            self.instance_ips(start, start + ports_per_worker) for start in starts
        ]
        self.assertEqual(3 * WORKERS, len(set().union(*ips_by_worker)))
