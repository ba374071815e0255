from __future__ import annotations

import collections
import random

import testtools
from testtools.matchers import GreaterThan, LessThan

from almondspool.protocol.exchange import ConnectionState, ReportedLoad
from almondspool.routing.selection import ReplicaSelector
from almondspool.transport.timers import VirtualTimers
from tests.routing.routing_harness import ScriptedSender, make_replicas

MEDIAN_S = 0.011


class SelectionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sender = ScriptedSender(VirtualTimers())
        self.selector = ReplicaSelector(
            "north", self.sender, random.Random(5), lambda _, rate_limit: rate_limit
        )
        self.replicas = make_replicas("shard")
        self.local, self.remote, self.other = self.replicas

    def choice_counts(self, now=10.0, replicas=None, choice_count=100):
        replicas = replicas or self.replicas
        return collections.Counter(
            self.selector.choose(now, replicas, MEDIAN_S).replica.replica_id
            for _ in range(choice_count)
        )

    def test_local_replica_is_preferred(self):
        self.assertEqual({"shard-north": 100}, dict(self.choice_counts()))

    def test_tried_replica_is_not_chosen_again(self):
        choice = self.selector.choose(1.0, self.replicas, MEDIAN_S, {"shard-north"})
        self.assertNotEqual("shard-north", choice.replica.replica_id)
        tried = {replica.replica_id for replica in self.replicas}
        self.assertIsNone(
            self.selector.choose(1.0, self.replicas, MEDIAN_S, tried).replica
        )

    def test_leg_that_was_longer_by_chance_does_not_send_the_next_to_another_zone(self):
        median_s = 0.030
        for slowness, zone in ((1.5, "north"), (3.0, "south")):
            selector = ReplicaSelector(
                "north", self.sender, random.Random(5), lambda _, rate_limit: rate_limit
            )
            replicas = (self.local, self.remote)
            selector.health(10.0, self.local).record_success(10.0, slowness)
            choice = selector.choose(10.0, replicas, median_s)
            self.assertEqual(zone, choice.replica.zone)

    def test_slow_local_replica_loses_to_a_remote_one(self):
        health = self.selector.health(10.0, self.local)
        health.record_success(10.0, 8.5)
        self.assertEqual(0, self.choice_counts(10.5)["shard-north"])

    def test_single_slow_leg_is_forgotten_after_a_second(self):
        health = self.selector.health(10.0, self.local)
        health.record_success(10.0, 9.0)
        self.assertEqual(100, self.choice_counts(11.6)["shard-north"])

    def test_unreachable_replica_is_paused_then_probed_by_one_leg(self):
        health = self.selector.health(10.0, self.local)
        health.record_unreachable(10.0, False)
        self.assertEqual(0, self.choice_counts(10.4)["shard-north"])
        self.assertThat(self.choice_counts(11.0)["shard-north"], GreaterThan(0))
        health.in_flight = 1
        self.assertEqual(0, self.choice_counts(11.0)["shard-north"])

    def test_replica_that_fails_half_of_its_legs_is_avoided(self):
        health = self.selector.health(10.0, self.local)
        for number in range(6):
            if number % 2:
                health.record_failure(10.0)
            else:
                health.record_success(10.0, 1.0)
        self.assertThat(self.choice_counts(10.1)["shard-north"], LessThan(5))

    def test_paused_replica_is_chosen_if_there_is_no_other(self):
        for replica in self.replicas:
            self.selector.health(10.0, replica).record_unreachable(10.0, True)
        choice = self.selector.choose(10.1, self.replicas, MEDIAN_S)
        self.assertEqual("only_paused", choice.reason)
        self.assertIsNotNone(choice.replica)

    def test_full_replica_loses_to_an_idle_one(self):
        health = self.selector.health(10.0, self.local)
        health.record_load(10.0, ReportedLoad(2, 6, 2))
        self.assertEqual(0, self.choice_counts(10.01)["shard-north"])

    def test_stale_load_report_is_ignored(self):
        health = self.selector.health(10.0, self.local)
        health.record_load(10.0, ReportedLoad(2, 6, 2))
        self.assertEqual(100, self.choice_counts(11.0)["shard-north"])

    def test_replica_with_busy_connections_is_avoided(self):
        self.sender.connection_state_by_id["shard-north"] = ConnectionState.BUSY
        self.assertEqual(0, self.choice_counts()["shard-north"])

    def test_replica_without_a_granted_connection_is_never_chosen(self):
        self.sender.connection_state_by_id["shard-north"] = ConnectionState.NONE
        self.assertEqual(0, self.choice_counts()["shard-north"])
        for replica in self.replicas:
            self.sender.connection_state_by_id[replica.replica_id] = (
                ConnectionState.NONE
            )
        choice = self.selector.choose(1.0, self.replicas, MEDIAN_S)
        self.assertEqual(
            (None, "no_connection_granted"), (choice.replica, choice.reason)
        )

    def test_many_equal_replicas_share_the_load(self):
        local = make_replicas("records", ("north",) * 4, prefix="x")
        replicas = [
            replica._replace(replica_id=f"r{number}")
            for number, replica in enumerate(local)
        ]
        choice_counts = self.choice_counts(replicas=replicas, choice_count=400)
        self.assertThat(min(choice_counts.values()), GreaterThan(50))
