from __future__ import annotations

import random

import testtools

from almondspool.logs import EventLog
from almondspool.routing.crashes import CrashDetector
from almondspool.routing.reachability import (
    HINT_INTERVAL_S,
    MIN_FAILED_REPLICAS,
    PROBE_INTERVAL_S,
    PROBED_REPLICAS,
    SUSPICION_INTERVAL_S,
    SUSPICION_PROBES,
    UpstreamReachability,
)
from almondspool.transport.timers import VirtualTimers
from tests.routing.routing_harness import make_replicas

REFUSAL_S = 0.002


class _ReachabilityFixture(testtools.TestCase):
    """Replicas of eight services, any of which refuses connections."""

    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers(start=100.0)
        self.replicas = [
            replica
            for number in range(8)
            for replica in make_replicas(f"shard-{number}")
        ]
        self.down = set()
        self.attempts = []
        self.changes = []
        self.log_lines = []
        self.log = EventLog(self.log_lines.append)
        self.reachability = UpstreamReachability(
            self.timers,
            random.Random(2),
            lambda: self.replicas,
            self.connect,
            self.changes.append,
            self.log,
        )

    def connect(self, replica, on_end):
        self.attempts.append(replica)

        def end():
            is_connected = replica.replica_id not in self.down
            self.reachability.record_connect(replica.replica_id, is_connected)
            on_end(is_connected)

        self.timers.call_later(REFUSAL_S, end)

    def cut_off(self):
        self.down = {replica.replica_id for replica in self.replicas}
        self.fail(self.replicas[:MIN_FAILED_REPLICAS])
        self.timers.advance(0.1)

    def fail(self, replicas):
        for replica in replicas:
            self.reachability.record_connect(replica.replica_id, False)


class ReachabilityTests(_ReachabilityFixture):
    def test_instance_that_can_connect_to_none_is_isolated(self):
        self.cut_off()
        self.assertEqual([True], self.changes)
        self.assertTrue(self.reachability.is_isolated)
        self.assertEqual(SUSPICION_PROBES, len(self.attempts))

    def test_instance_without_requests_is_isolated_after_another_one(self):
        self.down = {replica.replica_id for replica in self.replicas}
        self.reachability.on_peer_isolated()
        self.timers.advance(0.5)
        self.assertEqual([True], self.changes)

    def test_isolated_peers_cost_few_probes(self):
        for _ in range(40):
            self.reachability.on_peer_isolated()
            self.timers.advance(0.1)
        self.assertEqual([], self.changes)
        rounds = 4.0 / HINT_INTERVAL_S
        self.assertTrue(len(self.attempts) <= rounds * SUSPICION_PROBES)

    def test_lost_shard_does_not_isolate(self):
        self.down = {replica.replica_id for replica in self.replicas[:3]}
        for _ in range(20):
            self.fail(self.replicas[:3])
            self.timers.advance(0.2)
        self.assertEqual([], self.changes)

    def test_lost_shards_cost_few_probes(self):
        self.down = {replica.replica_id for replica in self.replicas[:6]}
        for _ in range(50):
            self.fail(self.replicas[:6])
            self.timers.advance(0.1)
        rounds = 5.0 / SUSPICION_INTERVAL_S + 1
        self.assertTrue(len(self.attempts) <= rounds * SUSPICION_PROBES)

    def test_half_of_the_upstreams_down_does_not_isolate(self):
        self.down = {replica.replica_id for replica in self.replicas[::2]}
        for _ in range(100):
            self.fail(self.replicas[:12:2])
            self.timers.advance(SUSPICION_INTERVAL_S)
        self.assertEqual([], self.changes)

    def test_connection_between_failures_refutes_the_suspicion(self):
        for replica in self.replicas:
            self.reachability.record_connect(replica.replica_id, False)
            self.reachability.record_connect(self.replicas[0].replica_id, True)
        self.assertEqual([], self.attempts)

    def test_isolation_ends_soon_after_the_upstreams_are_back(self):
        self.cut_off()
        self.timers.advance(20.0)
        self.assertEqual([True], self.changes)
        self.down.clear()
        self.timers.advance(1.5 * PROBE_INTERVAL_S + 0.1)
        self.assertEqual([True, False], self.changes)

    def test_probe_of_a_removed_replica_does_not_end_the_probes(self):
        self.connect = lambda replica, on_end: self.attempts.append(replica)
        self.reachability._connect = self.connect
        self.fail(self.replicas[:MIN_FAILED_REPLICAS])
        self.timers.advance(1.0)
        self.assertEqual([True], self.changes)
        self.timers.advance(10.0)
        self.assertTrue(len(self.attempts) > SUSPICION_PROBES + 5 * PROBED_REPLICAS)

    def test_instance_without_known_upstreams_recovers_once_it_knows_some(self):
        self.cut_off()
        known, self.replicas = self.replicas, []
        self.timers.advance(5.0)
        self.replicas = known
        self.down.clear()
        self.timers.advance(1.0)
        self.assertEqual([True, False], self.changes)


class CrashReportTests(_ReachabilityFixture):
    """Broken connections whose upstream refuses a new one."""

    def setUp(self):
        super().setUp()
        self.published = []
        self.crashes = CrashDetector(
            self.timers.epoch_ms,
            self.probe,
            self.published.append,
            lambda replica: False,
            self.log,
            self.reachability.check,
        )

    def probe(self, replica, on_result):
        is_refused = replica.replica_id in self.down
        self.timers.call_later(REFUSAL_S, lambda: on_result(is_refused))

    def break_connections(self, replicas):
        results = []
        for replica in replicas:
            self.crashes.on_broken_connection(replica, "request", results.append)
        self.timers.advance(1.0)
        return results

    def test_instance_whose_connections_are_reset_reports_no_crash(self):
        self.down = {replica.replica_id for replica in self.replicas}
        results = self.break_connections(self.replicas[:5])
        self.assertEqual([False] * 5, results)
        self.assertEqual([], self.published)
        self.assertFalse(self.crashes.is_suspect("request"))

    def test_crash_is_reported_while_other_upstreams_can_be_reached(self):
        self.down = {self.replicas[0].replica_id}
        self.assertEqual([True], self.break_connections(self.replicas[:1]))
        self.assertEqual(1, len(self.published))
