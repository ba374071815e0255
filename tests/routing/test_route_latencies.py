from __future__ import annotations

import testtools
from testtools.matchers import GreaterThan, LessThan

from almondspool.routing.route_latencies import MIN_SAMPLES, RouteLatencies
from tests.routing.routed_bench import search_route


class RouteLatenciesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.latencies = RouteLatencies()
        self.route = search_route()

    def test_before_any_leg_a_hedge_leaves_well_within_the_goal(self):
        delay_s = self.latencies.hedge_delay_s(self.route)
        self.assertThat(delay_s, LessThan(self.route.latency_target_s / 2))

    def test_one_leg_in_twenty_five_that_pauses_does_not_put_hedges_off(self):
        for number in range(40 * MIN_SAMPLES):
            self.latencies.record(self.route, 0.110 if number % 25 == 0 else 0.011)
        self.assertThat(self.latencies.hedge_delay_s(self.route), LessThan(0.020))
        self.assertThat(self.latencies.median_s(self.route), LessThan(0.015))

    def test_long_legs_put_hedges_off_but_never_past_the_goal(self):
        for _ in range(4 * MIN_SAMPLES):
            self.latencies.record(self.route, 0.090)
        delay_s = self.latencies.hedge_delay_s(self.route)
        self.assertThat(delay_s, GreaterThan(0.040))
        self.assertThat(delay_s, LessThan(self.route.latency_target_s / 2))

    def test_routes_that_left_are_forgotten(self):
        for _ in range(4 * MIN_SAMPLES):
            self.latencies.record(self.route, 0.090)
        self.latencies.forget_absent(set())
        first_s = RouteLatencies().hedge_delay_s(self.route)
        self.assertEqual(first_s, self.latencies.hedge_delay_s(self.route))
