"""Tests that no searcher ran a request that was answered "not run"."""

from __future__ import annotations

import concurrent.futures
import signal
import time
from typing import ClassVar

from almondspool.standins.faults import Fault, FaultKind
from almondspool.standins.launcher import SHUTDOWN_TIMEOUT_S
from tests.processes.caller import CONNECTION_REFUSED, make_booking, make_search, post
from tests.processes.checks import requests_run_despite_refusal
from tests.processes.support import TEAM, ClusterTestCase, caller_addresses

NOT_RUN_OVERLOADED = 201
NOT_RUN_LEAVING = 202
REQUEST_COUNT = 120
CALLER_COUNT = 24
LEAVING_CALLER_COUNT = 8
# Time between the starts of two callers.
CALLER_START_INTERVAL_S = 0.13


def send_until_refused(address, number):
    """Send requests to one instance without a pause until it refuses connections.

    Each caller starts a little later than the previous one, so that the pending
    requests of some keep the instance running while others are refused.

    Args:
        address: The instance's address for callers.
        number: Number of the caller; odd ones send bookings.

    Returns:
        The attempts.
    """
    time.sleep(number * CALLER_START_INTERVAL_S)
    attempts = []
    while not attempts or attempts[-1].code != CONNECTION_REFUSED:
        request = make_search(number + len(attempts))
        if number % 2:
            request = make_booking(f"{TEAM}-02/{number % 3}")
        attempts.append(post(address, request))
    return attempts


class NotRunTests(ClusterTestCase):
    settings: ClassVar = {"concurrent_requests": 2, "queue_limit": 3}

    def send_concurrently(self, requests):
        addresses = caller_addresses(self.cluster)
        with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
            sent = [
                pool.submit(post, addresses[number % len(addresses)], request)
                for number, request in enumerate(requests)
            ]
            return [future.result() for future in sent]

    def assert_refused_without_run(self, attempts, code):
        self.assertEqual([], requests_run_despite_refusal(self.cluster, attempts))
        self.assertIn(code, {attempt.code for attempt in attempts})

    def test_overload(self):
        slow = Fault(FaultKind.SLOW, delay_ms=60.0)
        self.cluster.searcher_controls()[0].set_faults([slow])
        searches = [make_search(number) for number in range(REQUEST_COUNT)]
        bookings = [make_booking(f"{TEAM}-01/{n % 3}") for n in range(REQUEST_COUNT)]
        attempts = self.send_concurrently(searches + bookings)
        self.assert_refused_without_run(attempts, NOT_RUN_OVERLOADED)
        self.assertIn(0, {attempt.code for attempt in attempts})

    def test_every_searcher_draining(self):
        self.set_draining(True)
        self.addCleanup(self.set_draining, False)
        attempts = self.send_concurrently([make_search(number) for number in range(20)])
        self.assertEqual([], requests_run_despite_refusal(self.cluster, attempts))
        self.assertNotIn(0, {attempt.code for attempt in attempts})

    def set_draining(self, is_draining):
        for upstream_id in self.cluster.deployment.searchers_by_id:
            control = self.cluster.searcher_control(upstream_id)
            control.change_searcher(upstream_id, draining=is_draining)

    def test_leaving_instance(self):
        name = list(self.cluster.instances_by_name)[-1]
        address = self.cluster.instances_by_name[name].caller_address
        slow = Fault(FaultKind.SLOW, delay_ms=1000.0)
        self.cluster.searcher_controls()[0].set_faults([slow])
        self.cluster.child(name).send_signal(signal.SIGTERM)
        with concurrent.futures.ThreadPoolExecutor(LEAVING_CALLER_COUNT) as pool:
            callers = [
                pool.submit(send_until_refused, address, number)
                for number in range(LEAVING_CALLER_COUNT)
            ]
            attempts = [attempt for caller in callers for attempt in caller.result()]
        self.assert_refused_without_run(attempts, NOT_RUN_LEAVING)
        self.assertEqual(0, self.cluster.child(name).wait(SHUTDOWN_TIMEOUT_S))
        self.cluster.restart(name)
