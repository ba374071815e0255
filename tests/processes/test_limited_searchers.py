"""Tests of searchers that limit the requests of all instances together."""

from __future__ import annotations

import time

from tests.processes.hosted_support import HostedTestCase
from tests.processes.support import VARIANTS_PACKAGE

# The platform's window for limits, and the time after which an instance must keep one.
LIMIT_WINDOW_S = 4.0
LIMIT_KNOWN_AFTER_S = 0.5
RATE_LIMIT_PER_S = 2.0
# The platform's rule: half as much again as the limit, and 5 requests.
MAX_REQUESTS_IN_WINDOW = 1.5 * RATE_LIMIT_PER_S * LIMIT_WINDOW_S + 5
# How long a searcher names its limit.
LIMITED_S = 7.0


class _LimitedSearcherTestCase(HostedTestCase):
    def most_requests_in_window(self):
        """Return the most requests that a searcher gets in LIMIT_WINDOW_S."""
        replica_id = "i-records-north"
        self.cluster.set_behaviour(replica_id, limit=str(RATE_LIMIT_PER_S))
        begun_at = time.time()
        while time.time() < begun_at + LIMITED_S:
            for name in self.cluster.instances_by_name:
                _, reply = self.call("/fetch/2f", name)
                self.assertEqual(200, reply.status)
                self.assertNotIn("Server-Limit", reply.headers)
        arrivals = [
            each["at"]
            for each in self.events(replica_id)
            if each["at"] > begun_at + LIMIT_KNOWN_AFTER_S
        ]
        return max(
            sum(at <= other < at + LIMIT_WINDOW_S for other in arrivals)
            for at in arrivals
        )


class LimitedSearcherTests(_LimitedSearcherTestCase):
    def test_searcher_gets_no_more_than_its_limit_from_all_instances_together(self):
        most = self.most_requests_in_window()
        self.assertTrue(most <= MAX_REQUESTS_IN_WINDOW, most)


class LimitsIgnoredTests(_LimitedSearcherTestCase):
    daemon_module = f"{VARIANTS_PACKAGE}.hosted_limits_ignored"

    def test_requests_above_the_limit_are_found(self):
        self.assertGreater(self.most_requests_in_window(), MAX_REQUESTS_IN_WINDOW)
