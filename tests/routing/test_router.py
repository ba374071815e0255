from __future__ import annotations

import testtools

from almondspool.codes import ResultCode
from tests.routing.routing_harness import (
    RoutingHarness,
    fetch_route,
    make_table,
    search_route,
)


class RouterTests(testtools.TestCase):
    def test_request_without_a_configuration_is_refused(self):
        harness = RoutingHarness()
        reply = harness.run()
        self.assertEqual(503, reply.status)
        self.assertEqual(
            ResultCode.NOT_RUN_NO_CONFIGURATION, harness.recorded_requests[0][2]
        )
        self.assertIn("version=0 version_age_s=0 ", harness.log_lines[-1])

    def test_unknown_path_is_not_found(self):
        harness = RoutingHarness(search_route())
        self.assertEqual(404, harness.run(path="/other/2f").status)

    def test_older_configuration_never_replaces_a_newer_one(self):
        harness = RoutingHarness(search_route())
        newer = make_table(fetch_route(), version=9)
        self.assertTrue(harness.router.set_table(newer))
        self.assertFalse(
            harness.router.set_table(make_table(search_route(), version=8))
        )
        self.assertIs(newer, harness.router.table)

    def test_request_in_flight_keeps_the_shards_it_started_with(self):
        harness = RoutingHarness(search_route())
        answers = harness.start()
        other = search_route(shards=2)
        harness.router.set_table(make_table(other, version=2))
        harness.timers.advance(1.0)
        stamps = harness.header(answers[0][1], "Part-Stamps").split(", ")
        self.assertEqual(10, len(stamps))

    def test_in_flight_count_returns_to_zero(self):
        harness = RoutingHarness(search_route())
        harness.start()
        self.assertEqual(1, harness.router.in_flight)
        harness.timers.advance(3.0)
        self.assertEqual(0, harness.router.in_flight)
