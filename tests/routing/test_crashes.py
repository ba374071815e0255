from __future__ import annotations

import testtools

from almondspool.logs import EventLog
from almondspool.protocol.exchange import LegOutcome
from almondspool.routing.crashes import CrashDetector, fingerprint
from tests.routing.routed_bench import RoutedBench, failed, fetch_route, search_route


class FingerprintTests(testtools.TestCase):
    def test_same_content_under_another_id(self):
        bench = RoutedBench()
        one = bench.request(request_id="a")
        two = bench.request(request_id="b")
        other = bench.request(path="/sweep/30")
        self.assertEqual(fingerprint(one), fingerprint(two))
        self.assertNotEqual(fingerprint(one), fingerprint(other))


class CrashTests(testtools.TestCase):
    def crash(self, bench, replica):
        bench.sender.refuses.add(replica.replica_id)
        return 0.010, failed(LegOutcome.BROKEN)

    def test_request_that_crashed_two_upstreams_is_refused_unrun(self):
        bench = RoutedBench(fetch_route())
        bench.sender.script = lambda replica: self.crash(bench, replica)
        first = bench.run(path="/fetch/1", request_id="a")
        self.assertEqual(502, first.status)
        self.assertEqual(2, len(bench.sender.sent))
        again = bench.run(path="/fetch/1", request_id="b")
        self.assertEqual(503, again.status)
        self.assertEqual(2, len(bench.sender.sent))
        self.assertNotEqual("", bench.header(again, "Retry-After"))

    def test_other_instances_are_told(self):
        bench = RoutedBench(fetch_route())
        bench.sender.script = lambda replica: self.crash(bench, replica)
        bench.run(path="/fetch/1")
        self.assertEqual([1, 2], [each.crashes for each in bench.published])
        peer = RoutedBench(fetch_route())
        for suspicion in bench.published:
            peer.crashes.merge(suspicion)
        self.assertEqual(503, peer.run(path="/fetch/1").status)
        self.assertEqual([], peer.sender.sent)

    def test_lost_answer_of_an_upstream_that_runs_on_is_no_crash(self):
        bench = RoutedBench(fetch_route())
        bench.sender.script = lambda _: (0.010, failed(LegOutcome.BROKEN))
        bench.run(path="/fetch/1")
        self.assertEqual([], bench.published)
        bench.run(path="/fetch/1", request_id="b")
        self.assertEqual(4, len(bench.sender.sent))

    def test_search_that_crashes_searchers_is_not_retried_on_all_shards(self):
        bench = RoutedBench(search_route())
        bench.sender.script = lambda replica: self.crash(bench, replica)
        reply = bench.run()
        self.assertEqual(502, reply.status)
        self.assertEqual(10, len(bench.sender.sent))
        self.assertEqual(503, bench.run(request_id="b").status)
        self.assertEqual(10, len(bench.sender.sent))

    def test_other_requests_run_on(self):
        bench = RoutedBench(fetch_route())
        bench.sender.script = lambda replica: self.crash(bench, replica)
        bench.run(path="/fetch/1")
        bench.sender.script = lambda _: (0.010, failed(LegOutcome.NOT_RUN))
        bench.run(path="/fetch/2")
        self.assertTrue(len(bench.sender.sent) > 2)

    def test_upstream_that_leaves_gets_no_probe(self):
        known, probed = [], []
        watch = CrashDetector(
            lambda: 0,
            lambda replica, _: probed.append(replica),
            lambda _: None,
            lambda _: True,
            EventLog(lambda _: None),
        )
        watch.on_broken_connection(RoutedBench().request(), "digest", known.append)
        self.assertEqual(([], [False]), (probed, known))

    def test_probe_that_says_nothing_is_no_crash(self):
        known = []
        watch = CrashDetector(
            lambda: 0,
            lambda _, on_known: on_known(False),
            lambda _: None,
            lambda _: False,
            EventLog(lambda _: None),
        )
        watch.on_broken_connection(RoutedBench().request(), "digest", known.append)
        self.assertEqual([False], known)
        self.assertFalse(watch.is_suspect("digest"))
