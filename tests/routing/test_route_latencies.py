from __future__ import annotations

import testtools
from testtools.matchers import GreaterThan, LessThan

from almondspool.routing.route_latencies import MIN_SAMPLES, RouteLatencies
from tests.routing.routing_harness import search_route


class RouteLatenciesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.latencies = RouteLatencies()
        self.route = search_route()

    def test_initial_hedge_delay_is_well_within_the_latency_target(self):
        delay_s = self.latencies.hedge_delay_s(self.route)
        self.assertThat(delay_s, LessThan(self.route.latency_target_s / 2))

    def test_one_paused_leg_in_twenty_five_does_not_delay_hedges(self):
        for number in range(40 * MIN_SAMPLES):
            self.latencies.record(self.route, 0.110 if number % 25 == 0 else 0.011)
        self.assertThat(self.latencies.hedge_delay_s(self.route), LessThan(0.020))
        self.assertThat(self.latencies.median_s(self.route), LessThan(0.015))

    def test_long_legs_delay_hedges_within_the_latency_target(self):
        for _ in range(4 * MIN_SAMPLES):
            self.latencies.record(self.route, 0.090)
        delay_s = self.latencies.hedge_delay_s(self.route)
        self.assertThat(delay_s, GreaterThan(0.040))
        self.assertThat(delay_s, LessThan(self.route.latency_target_s / 2))

    def test_absent_routes_are_forgotten(self):
        for _ in range(4 * MIN_SAMPLES):
            self.latencies.record(self.route, 0.090)
        self.latencies.forget_absent(set())
        first_s = RouteLatencies().hedge_delay_s(self.route)
        self.assertEqual(first_s, self.latencies.hedge_delay_s(self.route))
