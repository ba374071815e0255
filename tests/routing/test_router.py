from __future__ import annotations

import testtools

from almondspool.codes import ResultCode
from tests.routing.routed_bench import (
    RoutedBench,
    fetch_route,
    make_table,
    search_route,
)


class RouterTests(testtools.TestCase):
    def test_without_a_configuration_it_is_refused_unrun(self):
        bench = RoutedBench()
        reply = bench.run()
        self.assertEqual(503, reply.status)
        self.assertEqual(ResultCode.NOT_RUN_NO_CONFIGURATION, bench.recorded[0][2])
        self.assertIn("version=0 version_age_s=0 ", bench.lines[-1])

    def test_unknown_path_is_not_found(self):
        bench = RoutedBench(search_route())
        self.assertEqual(404, bench.run(path="/other/2f").status)

    def test_older_configuration_never_replaces_a_newer_one(self):
        bench = RoutedBench(search_route())
        newer = make_table(fetch_route(), version=9)
        self.assertTrue(bench.router.set_table(newer))
        self.assertFalse(bench.router.set_table(make_table(search_route(), version=8)))
        self.assertIs(newer, bench.router.table)

    def test_request_in_flight_ends_on_the_shards_it_began_with(self):
        bench = RoutedBench(search_route())
        answers = bench.begin()
        other = search_route(shards=2)
        bench.router.set_table(make_table(other, version=2))
        bench.timers.advance(1.0)
        stamps = bench.header(answers[0][1], "Part-Stamps").split(", ")
        self.assertEqual(10, len(stamps))

    def test_in_flight_count_returns_to_zero(self):
        bench = RoutedBench(search_route())
        bench.begin()
        self.assertEqual(1, bench.router.in_flight)
        bench.timers.advance(3.0)
        self.assertEqual(0, bench.router.in_flight)
