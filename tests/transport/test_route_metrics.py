from __future__ import annotations

import testtools
from prometheus_client import generate_latest

from almondspool.transport.route_metrics import RouteGauges, RouteMetrics

GAUGES = RouteGauges(
    version=7,
    version_age_s=2.5,
    in_flight=3,
    connections_by_service={"shard-1": 2, "shard-0": 4},
    waiting=5,
    oldest_wait_s=0.125,
    budget_left=11.0,
    longest_turn_s=0.25,
    serving=9,
    isolated=0,
)


class RouteMetricsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.metrics = RouteMetrics()

    def text(self):
        return generate_latest(self.metrics.registry).decode()

    def test_gauges_are_read_on_each_scrape(self):
        gauges = [GAUGES]
        self.metrics.register_gauges(lambda: gauges[-1])
        self.assertIn("almondspool_configuration_version 7.0\n", self.text())
        gauges.append(GAUGES._replace(version=8))
        text = self.text()
        for line in (
            "almondspool_configuration_version 8.0",
            "almondspool_configuration_age_seconds 2.5",
            "almondspool_requests_in_flight 3.0",
            "almondspool_legs_waiting 5.0",
            "almondspool_oldest_leg_wait_seconds 0.125",
            "almondspool_extra_sends_left 11.0",
            "almondspool_longest_turn_seconds 0.25",
            "almondspool_serving_instances 9.0",
            'almondspool_upstream_connections{service="shard-0"} 4.0',
            'almondspool_upstream_connections{service="shard-1"} 2.0',
        ):
            self.assertIn(f"{line}\n", text)

    def test_search_waits_are_a_histogram(self):
        self.metrics.record_search_wait(0.0)
        self.metrics.record_search_wait(0.04)
        text = self.text()
        self.assertIn('search_wait_seconds_bucket{le="0.0"} 1.0\n', text)
        self.assertIn('search_wait_seconds_bucket{le="0.05"} 2.0\n', text)

    def test_legs_are_counted_by_route_reason_and_state(self):
        self.metrics.record_leg("sweep", "hedge", "won")
        self.metrics.record_leg("sweep", "hedge", "won")
        line = 'legs_total{reason="hedge",route="sweep",state="won"} 2.0\n'
        self.assertIn(f"almondspool_routed_{line}", self.text())

    def test_counters_of_removed_routes_are_removed(self):
        self.metrics.record_leg("old", "first", "sent")
        self.metrics.record_leg("kept", "first", "sent")
        self.metrics.remove_absent_routes({"kept"})
        text = self.text()
        self.assertIn('route="kept"', text)
        self.assertNotIn('route="old"', text)
        self.metrics.record_leg("old", "first", "sent")
        self.assertIn('route="old"', self.text())

    def test_upstream_hints_are_counted_by_name(self):
        for hint in ("leaving", "rest_is_date", "leaving"):
            self.metrics.record_hint(hint)
        text = self.text()
        self.assertIn('upstream_wishes_total{wish="leaving"} 2.0\n', text)
        self.assertIn('upstream_wishes_total{wish="rest_is_date"} 1.0\n', text)
