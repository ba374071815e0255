from __future__ import annotations

import testtools

from almondspool.logs import EventLog
from almondspool.protocol.exchange import LegOutcome
from almondspool.protocol.peer import Suspicion
from almondspool.routing.crashes import CrashDetector, request_fingerprint
from tests.routing.routing_harness import (
    RoutingHarness,
    failed_reply,
    fetch_route,
    leg_reply,
    search_route,
)


class FingerprintTests(testtools.TestCase):
    def test_request_id_does_not_change_the_fingerprint(self):
        harness = RoutingHarness()
        one = harness.request(request_id="a")
        two = harness.request(request_id="b")
        other = harness.request(path="/sweep/30")
        self.assertEqual(request_fingerprint(one), request_fingerprint(two))
        self.assertNotEqual(request_fingerprint(one), request_fingerprint(other))


class CrashTests(testtools.TestCase):
    def crash(self, harness, replica):
        harness.sender.refusing_ids.add(replica.replica_id)
        return 0.010, failed_reply(LegOutcome.BROKEN)

    def test_request_that_crashed_two_upstreams_is_refused(self):
        harness = RoutingHarness(fetch_route())
        harness.sender.script = lambda replica: self.crash(harness, replica)
        first = harness.run(path="/fetch/1", request_id="a")
        self.assertEqual(502, first.status)
        self.assertEqual(2, len(harness.sender.sent))
        repeated = harness.run(path="/fetch/1", request_id="b")
        self.assertEqual(503, repeated.status)
        self.assertEqual(2, len(harness.sender.sent))
        self.assertNotEqual("", harness.header(repeated, "Retry-After"))

    def test_suspicions_are_published_to_other_instances(self):
        harness = RoutingHarness(fetch_route())
        harness.sender.script = lambda replica: self.crash(harness, replica)
        harness.run(path="/fetch/1")
        self.assertEqual([1, 2], [suspicion.crashes for suspicion in harness.published])
        peer = RoutingHarness(fetch_route())
        for suspicion in harness.published:
            peer.crashes.merge(suspicion)
        self.assertEqual(503, peer.run(path="/fetch/1").status)
        self.assertEqual([], peer.sender.sent)

    def test_repeated_suspicion_is_logged_once(self):
        harness = RoutingHarness(fetch_route())
        expires_ms = harness.timers.epoch_ms() + 1000
        for _ in range(2):
            harness.crashes.merge(Suspicion("5f", 1, "r1", expires_ms))
        suspected = [line for line in harness.log_lines if "request.suspected" in line]
        self.assertEqual(1, len(suspected), harness.log_lines)

    def test_lost_reply_of_a_running_upstream_is_no_crash(self):
        harness = RoutingHarness(fetch_route())
        harness.sender.script = lambda _: (0.010, failed_reply(LegOutcome.BROKEN))
        harness.run(path="/fetch/1")
        self.assertEqual([], harness.published)
        harness.run(path="/fetch/1", request_id="b")
        self.assertEqual(4, len(harness.sender.sent))

    def test_search_that_crashes_searchers_is_not_retried_on_all_shards(self):
        harness = RoutingHarness(search_route())
        harness.sender.script = lambda replica: self.crash(harness, replica)
        reply = harness.run()
        self.assertEqual(502, reply.status)
        self.assertEqual(10, len(harness.sender.sent))
        self.assertEqual(503, harness.run(request_id="b").status)
        self.assertEqual(10, len(harness.sender.sent))

    def test_search_that_upstreams_answered_does_not_crash_the_others(self):
        # Searchers of several shards crash together while searches are running.
        harness = RoutingHarness(search_route())

        def script(replica):
            if replica.service in {"shard-0", "shard-1"} and replica.zone == "north":
                return self.crash(harness, replica)
            return 0.005, leg_reply(replica)

        harness.sender.script = script
        reply = harness.run()
        self.assertEqual(200, reply.status)
        self.assertEqual("0", harness.header(reply, "Missing-Shards"))
        self.assertEqual([], harness.published)
        self.assertEqual(200, harness.run(request_id="b").status)

    def test_other_requests_are_not_quarantined(self):
        harness = RoutingHarness(fetch_route())
        harness.sender.script = lambda replica: self.crash(harness, replica)
        harness.run(path="/fetch/1")
        harness.sender.script = lambda _: (0.010, failed_reply(LegOutcome.NOT_RUN))
        harness.run(path="/fetch/2")
        self.assertTrue(len(harness.sender.sent) > 2)

    def test_leaving_upstream_is_not_probed(self):
        results, probed = [], []
        detector = CrashDetector(
            lambda: 0,
            lambda replica, _: probed.append(replica),
            lambda _: None,
            lambda _: True,
            EventLog(lambda _: None),
        )
        detector.on_broken_connection(
            RoutingHarness().request(), "digest", results.append
        )
        self.assertEqual(([], [False]), (probed, results))

    def test_unrefused_probe_is_no_crash(self):
        results = []
        detector = CrashDetector(
            lambda: 0,
            lambda _, on_result: on_result(False),
            lambda _: None,
            lambda _: False,
            EventLog(lambda _: None),
        )
        detector.on_broken_connection(
            RoutingHarness().request(), "digest", results.append
        )
        self.assertEqual([False], results)
        self.assertFalse(detector.is_suspect("digest"))
