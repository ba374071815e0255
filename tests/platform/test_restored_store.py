from __future__ import annotations

import collections
import itertools
import random

import eventlet
import testtools

from almondspool.logs import EventLog
from almondspool.platform import watches
from almondspool.platform.handlers import ConfigurationHandler, EntryHandler
from almondspool.platform.mirror import KindMirror
from almondspool.platform.watches import KindWatch, WatchSource
from almondspool.routing.replicas import ReplicaRegistry
from almondspool.standins.hosted_store import HostedStore
from almondspool.transport.timers import VirtualTimers
from tests.platform.test_configuration import CONFIGURATION_SPEC
from tests.platform.test_entries import ENTRY_SPEC
from tests.platform.virtual_store import (
    VirtualStoreClient,
    remove_object,
    send_command,
    write_object,
)

# The platform's bound: a version is in force this long after its acknowledgement.
APPLY_S = 3.0
# How often it is noted which replicas are usable.
SAMPLE_S = 0.05


class RestoredStoreTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.store = HostedStore(self.timers)
        self.versions_by_time = {}
        self.log_lines = []
        self.log = EventLog(self.log_lines.append)

    def command(self, **values):
        send_command(self.store, **values)

    def write_version(self, version):
        write_object(
            self.store, "config", "main", {**CONFIGURATION_SPEC, "version": version}
        )

    def at(self, seconds, action, *arguments, **values):
        self.timers.call_later(seconds, lambda: action(*arguments, **values))

    def follow(self, ends_at=20.0):
        """Follow the configuration; return the versions in the order of their use."""
        versions = []

        def use(table):
            if not versions or table.version > versions[-1]:
                versions.append(table.version)
                self.versions_by_time[self.timers.now()] = table.version

        self.run_watch("config", ConfigurationHandler(use, self.log), ends_at)
        return versions

    def run_watch(self, kind, handler, ends_at):
        client = VirtualStoreClient(self.store, self.timers, ends_at)
        self.patch(watches.eventlet, "sleep", client.wait)
        watch = KindWatch(
            kind,
            lambda _: WatchSource("", client),
            handler,
            KindMirror(self.timers),
            self.timers.now,
            random.Random(1),
            self.log,
        )
        self.assertRaises(eventlet.greenlet.GreenletExit, watch.run)

    def follow_entries(self, ends_at=20.0):
        """Follow the entries; return the times at which each replica was usable."""
        registry = ReplicaRegistry(self.log, lambda _: None)
        used_at_by_id = collections.defaultdict(list)

        def observe():
            registry.drop_expired(self.timers.now())
            for replica in registry.usable(ENTRY_SPEC["service"]):
                used_at_by_id[replica.replica_id].append(self.timers.now())

        self.timers.subscribe(SAMPLE_S, observe)
        handler = EntryHandler(
            registry, self.timers.now, lambda: None, lambda: None, self.log
        )
        self.run_watch("servers", handler, ends_at)
        return used_at_by_id

    def write_entry(self, name, **changes):
        write_object(self.store, "servers", name, {**ENTRY_SPEC, **changes})

    def remove_entry(self, name):
        remove_object(self.store, "servers", name)

    def applied_at(self, version):
        return next(at for at, each in self.versions_by_time.items() if each == version)

    def test_version_written_after_a_restore_that_lost_more_changes_is_in_force(self):
        self.write_version(1)
        self.at(1.0, self.command, copy=True)
        for number in range(6):
            self.at(2.0 + number, self.write_version, 2 + number)
        self.at(8.0, self.command, restore=True)
        self.at(10.0, self.write_version, 8)
        self.assertEqual([1, 2, 3, 4, 5, 6, 7, 8], self.follow())
        self.assertTrue(self.applied_at(8) < 10.0 + APPLY_S, self.versions_by_time)

    def test_version_below_the_revision_known_before_a_restore_is_in_force(self):
        # The new history has passed the watched revision when it is watched again, so
        # that only older changes of the new history hold the version.
        self.write_version(1)
        self.at(1.0, self.command, copy=True)
        self.at(2.0, self.write_version, 2)

        def restore_and_write():
            self.command(restore=True)
            self.write_version(3)
            for number in range(6):
                self.write_entry(f"i-{number}")

        self.at(5.0, restore_and_write)
        self.assertEqual([1, 2, 3], self.follow())
        self.assertTrue(self.applied_at(3) < 5.0 + APPLY_S, self.versions_by_time)

    def test_replica_whose_entry_is_lost_and_written_again_is_used_throughout(self):
        self.write_entry("i-1")
        self.at(1.0, self.command, copy=True)
        self.at(2.0, self.write_entry, "i-2")
        self.at(8.0, self.command, restore=True)
        self.at(9.5, self.write_entry, "i-2")
        used_at = self.follow_entries()["i-2"]
        gaps_s = [after - before for before, after in itertools.pairwise(used_at)]
        self.assertTrue(max(gaps_s) < 2 * SAMPLE_S, max(gaps_s))
        self.assertTrue(used_at[-1] > 19.0, used_at[-1])

    def test_replica_that_left_is_not_used_again_after_a_restore(self):
        for name in ("i-1", "i-2", "i-3"):
            self.write_entry(name)
        self.at(1.0, self.command, copy=True)
        self.at(2.0, self.write_entry, "i-1", state="draining")
        self.at(3.0, self.remove_entry, "i-2")
        self.at(8.0, self.command, restore=True)
        self.at(8.5, self.write_entry, "i-1", state="draining")
        self.at(12.0, self.remove_entry, "i-2")
        used_at_by_id = self.follow_entries()
        self.assertTrue(used_at_by_id["i-1"][-1] < 2.0 + 1.0, used_at_by_id["i-1"])
        self.assertTrue(used_at_by_id["i-2"][-1] < 3.0 + 1.0, used_at_by_id["i-2"])
