from __future__ import annotations

import json

import testtools
from prometheus_client import CollectorRegistry, Counter

from almondspool.platform.lookups import LookupDependencies, LookupEndpoints
from almondspool.protocol.exchange import CallerRequest


class LookupEndpointsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.is_ready = True
        self.requested_zones = []
        registry = CollectorRegistry()
        Counter("seen", "Seen.", registry=registry).inc()
        self.endpoints = LookupEndpoints(
            LookupDependencies(
                self.addresses,
                lambda: self.is_ready,
                lambda: 5.0,
                registry,
                lambda: {"ready": self.is_ready},
            )
        )

    def addresses(self, zone, limit):
        self.requested_zones.append(zone)
        return ("10.0.0.1:80",) if zone != "none" else ()

    def call(self, target):
        answers = []
        request = CallerRequest("GET", target, "h", (), b"", "", None, 0.0)
        self.endpoints.handle(request, answers.append)
        return answers[0]

    def test_look_up_returns_addresses_of_the_zone(self):
        reply = self.call("/api/resolve?name=h.example&region=r&zone=perth-north")
        body = json.loads(reply.body)
        self.assertEqual({"addrs": ["10.0.0.1:80"], "ttl_s": 5.0}, body)
        self.assertEqual(["perth-north"], self.requested_zones)
        self.assertIn((b"Content-Type", b"application/json"), reply.headers)

    def test_look_up_without_addresses_answers_503(self):
        self.assertEqual(503, self.call("/api/resolve?zone=none").status)

    def test_readiness_follows_the_instance(self):
        self.assertEqual(200, self.call("/api/ready").status)
        self.is_ready = False
        self.assertEqual(503, self.call("/api/ready").status)

    def test_metrics_status_and_unknown_paths(self):
        self.assertIn(b"seen_total 1.0", self.call("/metrics").body)
        self.assertEqual({"ready": True}, json.loads(self.call("/v1/status").body))
        self.assertEqual(404, self.call("/other").status)
