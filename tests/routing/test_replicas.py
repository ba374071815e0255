from __future__ import annotations

import testtools

from almondspool.logs import EventLog
from almondspool.routing.replicas import (
    EXPIRY_GRACE_S,
    EXPIRY_HEARTBEATS,
    LEAVING_INCARNATION_TTL_S,
    MAX_REMOVAL_READ_DELAY_S,
    EntryTimes,
    ReplicaRegistry,
)
from tests.routing.routing_harness import make_replicas


class _RegistryFixture(testtools.TestCase):
    """An empty registry, its log and the ids of the replicas that it dropped."""

    def setUp(self):
        super().setUp()
        self.lines = []
        self.removed = []
        self.registry = ReplicaRegistry(
            EventLog(self.lines.append), self.removed.append
        )


class ReplicaRegistryTests(_RegistryFixture):
    def setUp(self):
        super().setUp()
        self.replicas = make_replicas("shard")
        self.registry.replace_all(0.0, self.replicas)

    def usable_ids(self):
        return [replica.replica_id for replica in self.registry.usable("shard")]

    def test_draining_replica_takes_no_new_work(self):
        self.registry.put(1.0, self.replicas[0]._replace(is_draining=True))
        self.assertNotIn("shard-north", self.usable_ids())
        self.assertEqual([], self.removed)

    def test_removed_entry_is_dropped_at_once(self):
        self.registry.remove_all(1.0, ["shard-north"])
        self.assertNotIn("shard-north", self.usable_ids())
        self.assertEqual(["shard-north"], self.removed)

    def test_entry_that_expired_during_an_outage_is_kept_for_the_grace_period(self):
        self.registry = ReplicaRegistry(
            EventLog(self.lines.append), self.removed.append, EntryTimes(drain_s=6.0)
        )
        self.registry.replace_all(0.0, self.replicas)
        self.registry.set_store_reachable(1.0, False)
        self.registry.set_store_reachable(9.0, True)
        self.registry.replace_all(9.1, self.replicas[1:])
        self.assertIn("shard-north", self.usable_ids())
        self.registry.drop_expired(9.0 + EXPIRY_GRACE_S - 0.01)
        self.assertIn("shard-north", self.usable_ids())
        self.registry.drop_expired(9.0 + EXPIRY_GRACE_S + 0.01)
        self.assertNotIn("shard-north", self.usable_ids())

    def test_lapsed_entry_is_dropped_before_a_removed_replica_may_have_stopped(self):
        self.registry.set_store_reachable(1.0, False)
        self.registry.set_store_reachable(9.0, True)
        self.registry.remove_all(9.5, ["shard-north"])
        drop_at = self.registry.next_drop_at()
        longest_s = EntryTimes().drain_s - MAX_REMOVAL_READ_DELAY_S
        self.assertEqual(9.5 + longest_s, drop_at)
        self.registry.drop_expired(drop_at - 0.01)
        self.assertIn("shard-north", self.usable_ids())
        self.registry.drop_expired(drop_at)
        self.assertNotIn("shard-north", self.usable_ids())

    def test_entry_removed_after_the_grace_period_of_an_outage_is_dropped_at_once(self):
        self.registry.set_store_reachable(1.0, False)
        self.registry.set_store_reachable(9.0, True)
        self.registry.remove_all(9.0 + EXPIRY_GRACE_S, ["shard-north"])
        self.assertNotIn("shard-north", self.usable_ids())

    def test_lost_connection_to_the_store_expires_no_entry(self):
        self.registry.set_store_reachable(9.0, False)
        self.registry.set_store_reachable(9.2, True)
        self.registry.remove_all(9.3, ["shard-north"])
        self.assertNotIn("shard-north", self.usable_ids())

    def test_replica_whose_entry_a_restored_store_has_lost_is_used_until_renewed(self):
        self.registry.set_store_restored(9.0)
        self.registry.replace_all(9.0, self.replicas[1:])
        self.registry.drop_expired(10.5)
        self.assertIn("shard-north", self.usable_ids())
        self.registry.put(10.6, self.replicas[0])
        self.registry.drop_expired(20.0)
        self.assertIn("shard-north", self.usable_ids())
        self.assertEqual([], self.removed)

    def test_replica_that_a_restored_store_has_lost_for_good_is_dropped_in_time(self):
        self.registry.set_store_restored(9.0)
        self.registry.replace_all(9.0, self.replicas[1:])
        self.registry.drop_expired(9.0 + EXPIRY_GRACE_S)
        self.assertNotIn("shard-north", self.usable_ids())

    def test_replica_that_drained_is_not_used_from_a_restored_entry(self):
        self.registry.put(5.0, self.replicas[0]._replace(is_draining=True))
        self.registry.set_store_restored(9.0)
        self.registry.replace_all(9.0, self.replicas)
        self.registry.replace_all(10.0, self.replicas)
        self.assertNotIn("shard-north", self.usable_ids())
        # The replica writes again, and leaves.
        self.registry.put(10.1, self.replicas[0]._replace(is_draining=True))
        self.registry.remove_all(12.0, ["shard-north"])
        self.registry.drop_expired(30.0)
        self.assertNotIn("shard-north", self.usable_ids())

    def test_replica_that_left_is_not_used_from_a_restored_entry_before_it_expires(
        self,
    ):
        self.registry.remove_all(5.0, ["shard-north"])
        self.registry.set_store_restored(9.0)
        self.registry.replace_all(9.0, self.replicas)
        expires_at = 9.0 + EXPIRY_HEARTBEATS * EntryTimes().heartbeat_s
        self.registry.drop_expired(expires_at + MAX_REMOVAL_READ_DELAY_S - 0.01)
        self.assertNotIn("shard-north", self.usable_ids())

    def test_held_entry_that_does_not_expire_is_used(self):
        self.registry.remove_all(5.0, ["shard-north"])
        self.registry.set_store_restored(9.0)
        self.registry.replace_all(9.0, self.replicas)
        self.registry.drop_expired(14.0)
        self.assertIn("shard-north", self.usable_ids())

    def test_held_entry_that_expires_is_not_used(self):
        self.registry.remove_all(5.0, ["shard-north"])
        self.registry.set_store_restored(9.0)
        self.registry.replace_all(9.0, self.replicas)
        self.registry.remove_all(13.0, ["shard-north"])
        self.registry.drop_expired(14.0)
        self.assertNotIn("shard-north", self.usable_ids())

    def test_replica_that_returned_and_writes_after_a_restore_is_used_at_once(self):
        self.registry.remove_all(5.0, ["shard-north"])
        self.registry.set_store_restored(9.0)
        self.registry.replace_all(9.0, self.replicas)
        self.registry.put(9.5, self.replicas[0])
        self.assertIn("shard-north", self.usable_ids())

    def test_former_incarnation_in_a_restored_entry_does_not_replace_the_current(self):
        current = self.replicas[0]._replace(started_ms=5, address="10.0.0.9:99")
        self.registry.put(5.0, current)
        self.registry.set_store_restored(9.0)
        self.registry.replace_all(9.0, self.replicas)
        self.assertIn(current, self.registry.usable("shard"))

    def test_entry_renewed_within_the_grace_period_keeps_its_connections(self):
        self.registry.set_store_reachable(1.0, False)
        self.registry.set_store_reachable(9.0, True)
        self.registry.replace_all(9.1, self.replicas[1:])
        self.registry.put(10.0, self.replicas[0])
        self.registry.drop_expired(20.0)
        self.assertIn("shard-north", self.usable_ids())
        self.assertEqual([], self.removed)

    def test_mass_removal_without_a_noticed_outage_counts_as_expiry(self):
        # A watch that blocks throughout an outage never fails.
        others = make_replicas("other")
        self.registry.replace_all(0.0, [*self.replicas, *others])
        names = [replica.replica_id for replica in (*self.replicas, *others)]
        self.registry.remove_all(9.0, names)
        self.assertEqual(3, len(self.usable_ids()))
        for replica in self.replicas:
            self.registry.put(11.9, replica)
        self.registry.drop_expired(9.0 + EXPIRY_GRACE_S + 0.01)
        self.assertEqual(3, len(self.usable_ids()))
        self.assertEqual((), self.registry.usable("other"))

    def test_few_entries_removed_together_are_dropped(self):
        others = make_replicas("other")
        self.registry.replace_all(0.0, [*self.replicas, *others])
        self.registry.remove_all(9.0, [replica.replica_id for replica in others])
        self.assertEqual((), self.registry.usable("other"))

    def test_replicas_that_drained_together_are_dropped(self):
        others = make_replicas("other", ("north", "south", "hills", "west"))
        for replica in others:
            self.registry.put(1.0, replica._replace(is_draining=True))
        self.registry.remove_all(9.0, [replica.replica_id for replica in others])
        self.assertEqual(4, len(self.removed))

    def test_draining_replica_gets_no_grace_period(self):
        self.registry.put(0.5, self.replicas[0]._replace(is_draining=True))
        self.registry.set_store_reachable(1.0, False)
        self.registry.set_store_reachable(9.0, True)
        self.registry.remove_all(9.1, ["shard-north"])
        self.assertEqual(["shard-north"], self.removed)

    def test_nothing_is_dropped_while_the_store_is_unreachable(self):
        self.registry.set_store_reachable(1.0, False)
        self.registry.drop_expired(60.0)
        self.assertEqual(3, len(self.usable_ids()))

    def test_misdirected_replica_is_unused_until_its_address_changes(self):
        replica = self.replicas[0]
        self.registry.on_misdirected(replica)
        self.assertNotIn("shard-north", self.usable_ids())
        self.registry.put(2.0, replica._replace(slots=4))
        self.assertNotIn("shard-north", self.usable_ids())
        self.registry.put(3.0, replica._replace(address="10.0.0.9:99"))
        self.assertIn("shard-north", self.usable_ids())

    def test_new_incarnation_drops_connections_and_statistics(self):
        self.registry.put(2.0, self.replicas[0]._replace(started_ms=5))
        self.assertEqual(["shard-north"], self.removed)
        self.assertIn("shard-north", self.usable_ids())

    def test_replica_that_changes_service_leaves_the_previous_one(self):
        self.registry.put(2.0, self.replicas[0]._replace(service="other"))
        self.assertNotIn("shard-north", self.usable_ids())
        self.assertEqual(1, len(self.registry.usable("other")))

    def test_unchanged_entry_is_not_logged(self):
        count = len(self.lines)
        self.registry.put(2.0, self.replicas[0])
        self.assertEqual(count, len(self.lines))


class LeavingTests(_RegistryFixture):
    """Replicas that announced in a reply that they are leaving."""

    def setUp(self):
        super().setUp()
        self.replicas = [
            replica._replace(started_ms=1000) for replica in make_replicas("shard")
        ]
        self.registry.replace_all(0.0, self.replicas)
        self.leaving = self.replicas[0]
        self.registry.on_leaving(1.0, self.leaving, "r1")

    def is_used(self):
        usable = self.registry.usable("shard")
        return self.leaving.replica_id in [replica.replica_id for replica in usable]

    def test_leaving_replica_is_unused_at_once_and_its_connections_are_dropped(self):
        self.assertFalse(self.is_used())
        self.assertEqual([self.leaving.replica_id], self.removed)
        self.assertTrue(self.registry.is_leaving(self.leaving))
        lines = [line for line in self.lines if "replica.leaving" in line]
        self.assertEqual(1, len(lines))
        self.assertIn("request=r1", lines[0])

    def test_further_replies_of_a_leaving_replica_change_nothing(self):
        self.registry.on_leaving(1.1, self.leaving, "r2")
        self.assertEqual([self.leaving.replica_id], self.removed)

    def test_old_entry_read_again_does_not_restore_a_leaving_replica(self):
        self.registry.put(1.5, self.leaving)
        self.registry.put(1.6, self.leaving._replace(warmup_s=1.0))
        self.assertFalse(self.is_used())
        self.registry.remove_all(2.0, [self.leaving.replica_id])
        self.registry.replace_all(3.0, self.replicas)
        self.assertFalse(self.is_used())

    def test_new_incarnation_of_a_leaving_replica_is_used(self):
        self.registry.put(9.0, self.leaving._replace(started_ms=2000))
        self.assertTrue(self.is_used())

    def test_another_replica_at_the_same_address_is_used(self):
        other = self.leaving._replace(replica_id="i-new", started_ms=3000)
        self.registry.put(9.0, other)
        usable = self.registry.usable("shard")
        self.assertIn("i-new", [replica.replica_id for replica in usable])

    def test_leaving_of_an_earlier_incarnation_does_not_affect_the_current_one(self):
        current = self.replicas[1]._replace(started_ms=5000)
        self.registry.put(2.0, current)
        self.registry.on_leaving(2.1, self.replicas[1], "r3")
        usable = self.registry.usable("shard")
        self.assertIn(current, usable)

    def test_leaving_incarnation_is_forgotten_after_its_ttl(self):
        self.registry.drop_expired(1.0 + LEAVING_INCARNATION_TTL_S)
        self.assertFalse(self.registry.is_leaving(self.leaving))
