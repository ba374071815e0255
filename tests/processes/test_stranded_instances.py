"""Tests that callers of an instance without upstreams are served all the same."""

from __future__ import annotations

import collections
import concurrent.futures
import itertools
import time

import urllib3

from almondspool.standins.hosted_cluster import HOST
from tests.processes.hosted_support import HostedTestCase
from tests.processes.support import wait_until

STRANDED = "instance-0"
# The platform's bound: callers are served well again this long after the cut began.
STABLE_S = 4.0
REQUESTS_PER_INSTANCE = 60
# Concurrent requests to an instance: more than it has open connections to a searcher.
CALLERS = 20
MIN_SERVED_SHARE = 2.0 / 3.0
PATHS = ("/sweep/", "/fetch/", "/book/")


class StrandedInstanceTests(HostedTestCase):
    instance_count = 3
    daemon_module = "almondspool.standins.hosted_links"

    def setUp(self):
        super().setUp()
        self.numbers = itertools.count(1)
        self.http = urllib3.PoolManager(maxsize=CALLERS, retries=False)

    def send(self, name, path):
        """Send a request as a caller does; return its id and status."""
        request_id = f"r{next(self.numbers)}"
        address = self.cluster.instances_by_name[name].caller_address
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "600"}
        method = "POST" if path == "/book/" else "GET"
        url = f"http://{address}{path}{request_id}"
        try:
            reply = self.http.request(method, url, headers=headers, timeout=3.0)
        except urllib3.exceptions.HTTPError:
            return request_id, 0
        return request_id, reply.status

    def send_all(self):
        """Send requests to all instances; return the numbers served by instance."""
        names = list(self.cluster.instances_by_name)
        requests = [
            (name, PATHS[number % len(PATHS)])
            for number in range(REQUESTS_PER_INSTANCE)
            for name in names
        ]
        with concurrent.futures.ThreadPoolExecutor(CALLERS * len(names)) as callers:
            outcomes = list(callers.map(lambda request: self.send(*request), requests))
        self.statuses_by_id = dict(outcomes)
        served = collections.Counter()
        for (name, _), (_, status) in zip(requests, outcomes, strict=True):
            served[name] += status == 200
        return served

    def listed(self, name):
        """Return the addresses in the answer to a look-up."""
        instance = self.cluster.instances_by_name[name]
        url = f"http://{instance.lookup_address}/api/resolve?zone={instance.zone}"
        return self.http.request("GET", url, timeout=3.0).json()["addrs"]

    def check_served(self, mode):
        self.cluster.cut_off(STRANDED, mode)
        # Requests show the instance that it is cut off.
        ends_at = time.monotonic() + STABLE_S
        while time.monotonic() < ends_at:
            self.send_all()
        served = self.send_all()
        others = [served[name] for name in served if name != STRANDED]
        self.assertTrue(min(others) >= 0.9 * REQUESTS_PER_INSTANCE, served)
        self.assertTrue(served[STRANDED] >= MIN_SERVED_SHARE * max(others), served)
        stranded_address = self.cluster.instances_by_name[STRANDED].caller_address
        for name in served:
            self.assertNotIn(stranded_address, self.listed(name), name)
        self.check_bookings()
        self.cluster.cut_off(STRANDED, "")
        wait_until(
            lambda: all(stranded_address in self.listed(name) for name in served),
            "the instance is listed again",
        )
        self.assertEqual(200, self.send(STRANDED, "/sweep/")[1])

    def check_bookings(self):
        runs = collections.Counter(
            run["request"]
            for run in self.cluster.read_journal()
            if run["event"] == "run"
        )
        for request_id, status in self.statuses_by_id.items():
            if status == 503:
                self.assertEqual(0, runs[request_id], request_id)

    def test_callers_of_an_instance_whose_upstreams_hang_are_served(self):
        self.check_served("hang")

    def test_callers_of_an_instance_whose_connections_are_reset_are_served(self):
        self.check_served("reset")

    def test_callers_of_an_instance_that_gets_no_new_connections_are_served(self):
        self.check_served("refuse")
