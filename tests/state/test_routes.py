from __future__ import annotations

import testtools

from tests.routing.routing_harness import HOST, fetch_route, make_table


class RouteTableTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        prefixes = ("/", "/a/", "/a/b/", "/a/b/c/d/")
        routes = [fetch_route(name=prefix, path_prefix=prefix) for prefix in prefixes]
        self.table = make_table(*routes)

    def find(self, path, host=HOST):
        route = self.table.find(host, path)
        return route.name if route else None

    def test_longest_prefix_wins(self):
        self.assertEqual("/a/b/", self.find("/a/b/x"))
        self.assertEqual("/a/b/", self.find("/a/b/c/x"))
        self.assertEqual("/a/b/c/d/", self.find("/a/b/c/d/"))
        self.assertEqual("/a/", self.find("/a/bx/"))
        self.assertEqual("/", self.find("/a"))

    def test_other_host_has_no_route(self):
        self.assertIsNone(self.find("/a/b/x", "other.example"))

    def test_path_without_slash_has_no_route(self):
        self.assertIsNone(self.find("x"))

    def test_services_in_use_are_those_of_routes(self):
        self.assertEqual({"records"}, self.table.services_in_use)
