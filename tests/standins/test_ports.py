from __future__ import annotations

import os
import subprocess
import sys
from unittest import mock

import testtools
from testtools.matchers import GreaterThan

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


class ReservationTests(testtools.TestCase):
    """Two test runs beside each other use the same range of ports."""

    RESERVE = (
        "from almondspool.standins.ports import free_ports, reserve_hosts\n"
        "print(free_ports(40).start, *reserve_hosts(3), flush=True)\n"
        "input()\n"
    )

    def reserve(self):
        ports = range(ALLOWED.start, ALLOWED.start + 1000)
        environment = {**os.environ, PORTS_VARIABLE: format_ports(ports)}
        process = subprocess.Popen(
            [sys.executable, "-c", self.RESERVE],
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate, "\n")
        return process.stdout.readline().split()

    def test_concurrent_processes_get_different_ports_and_hosts(self):
        first_port, *first_hosts = self.reserve()
        second_port, *second_hosts = self.reserve()
        self.assertThat(abs(int(first_port) - int(second_port)), GreaterThan(39))
        self.assertEqual(set(), set(first_hosts) & set(second_hosts))


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
