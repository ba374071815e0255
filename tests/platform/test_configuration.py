from __future__ import annotations

import copy

import testtools

from almondspool.errors import DocumentError
from almondspool.platform.configuration import decode_configuration

CONFIGURATION_SPEC = {
    "version": 7,
    "routes": [
        {
            "name": "sweep",
            "host": "Shop.example",
            "path_prefix": "/s/",
            "kind": "idempotent",
            "timeout_ms": 1200,
            "goal_ms": 112,
            "priority": 1,
            "gather": ["a", "b"],
            "attempts": 2,
            "top_k": 20,
            "oldest_version": 0.89,
            "unknown": True,
        },
        {
            "name": "book",
            "host": "shop.example",
            "path_prefix": "/b/",
            "kind": "non_idempotent",
            "timeout_ms": 400,
            "split": [{"service": "x", "weight": 1}, {"service": "y", "weight": 0}],
        },
    ],
    "services": [{"name": "a", "max_conns": 26, "health_path": "/health"}],
    "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
}


class ConfigurationTests(testtools.TestCase):
    def test_fields_are_decoded(self):
        table = decode_configuration(CONFIGURATION_SPEC)
        route = table.find("shop.example", "/s/2f")
        self.assertEqual(("a", "b"), route.shards)
        self.assertEqual((1.2, 0.112), (route.timeout_s, route.latency_target_s))
        self.assertEqual(0.89, route.min_coverage)
        self.assertEqual((20, 2, 1), (route.top_k, route.attempts, route.priority))
        self.assertTrue(route.is_idempotent)
        self.assertEqual(26, table.services_by_name["a"].max_connections)
        self.assertEqual(100, table.limits.max_head_bytes)
        self.assertEqual(15.0, table.limits.idle_timeout_s)

    def test_only_the_kind_idempotent_is_idempotent(self):
        for kind in ("non_idempotent", "unsafe", "something new"):
            spec = copy.deepcopy(CONFIGURATION_SPEC)
            spec["routes"][1]["kind"] = kind
            route = decode_configuration(spec).find("shop.example", "/b/1")
            self.assertFalse(route.is_idempotent)

    def test_service_of_weight_zero_is_left_out(self):
        route = decode_configuration(CONFIGURATION_SPEC).find("shop.example", "/b/1")
        self.assertEqual(
            ["x"],
            [weighted.service for weighted in route.weighted_services],
        )
        self.assertEqual(0.4, route.latency_target_s)

    def test_goal_of_zero_is_no_goal(self):
        for goal_ms in (0, -5):
            spec = copy.deepcopy(CONFIGURATION_SPEC)
            spec["routes"][0]["goal_ms"] = goal_ms
            route = decode_configuration(spec).find("shop.example", "/s/2f")
            self.assertEqual(route.timeout_s, route.latency_target_s)

    def test_unusable_configurations_are_rejected(self):
        for change in (
            lambda spec: spec.pop("version"),
            lambda spec: spec["routes"][0].update(timeout_ms="soon"),
            lambda spec: spec["routes"][0].update(attempts=0),
            lambda spec: spec["routes"][1].update(split=[]),
            lambda spec: spec.update(routes={}),
        ):
            spec = copy.deepcopy(CONFIGURATION_SPEC)
            change(spec)
            self.assertRaises(DocumentError, decode_configuration, spec)
        self.assertRaises(DocumentError, decode_configuration, None)
