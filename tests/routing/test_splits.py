from __future__ import annotations

import collections
import random

import testtools

from almondspool.routing.service_splitter import ServiceSplitter
from almondspool.state.routes import WeightedService
from tests.routing.routing_harness import fetch_route

SHARES = (WeightedService("new", 1.0), WeightedService("old", 4.0))


class ServiceSplitterTests(testtools.TestCase):
    def test_shares_hold_over_300_requests_of_nine_instances(self):
        route = fetch_route(weighted_services=SHARES)
        counts = collections.Counter()
        splitters = [ServiceSplitter(random.Random(seed)) for seed in range(9)]
        for number in range(300):
            counts[splitters[number % 9].choose(route)] += 1
        self.assertAlmostEqual(0.2, counts["new"] / 300, delta=0.03)

    def test_shares_are_exact_on_one_instance(self):
        route = fetch_route(weighted_services=SHARES)
        splitter = ServiceSplitter(random.Random(1))
        counts = collections.Counter(splitter.choose(route) for _ in range(500))
        self.assertIn(counts["new"], (99, 100, 101))

    def test_changed_weights_apply_at_once(self):
        splitter = ServiceSplitter(random.Random(1))
        for _ in range(50):
            splitter.choose(fetch_route(weighted_services=SHARES))
        swapped = (WeightedService("new", 4.0), WeightedService("old", 1.0))
        route = fetch_route(weighted_services=swapped)
        counts = collections.Counter(splitter.choose(route) for _ in range(100))
        self.assertIn(counts["new"], (79, 80, 81))

    def test_single_service_gets_every_request(self):
        splitter = ServiceSplitter(random.Random(1))
        self.assertEqual("records", splitter.choose(fetch_route()))

    def test_absent_routes_are_forgotten(self):
        splitter = ServiceSplitter(random.Random(1))
        splitter.choose(fetch_route(weighted_services=SHARES))
        splitter.forget_absent({"other"})
        self.assertEqual({}, splitter._credits_by_route)
