from __future__ import annotations

import random

import eventlet
import testtools

from almondspool.errors import PlatformError
from almondspool.logs import EventLog
from almondspool.platform import watches
from almondspool.platform.handlers import EntryHandler
from almondspool.platform.mirror import KindMirror
from almondspool.platform.store import StoredList, StoredObject
from almondspool.platform.watches import KindWatch, WatchSource
from almondspool.routing.replicas import ReplicaRegistry
from almondspool.transport.timers import VirtualTimers
from tests.platform.test_entries import ENTRY_SPEC

# The platform's bound: an upstream serves for this long after its entry is removed.
DRAIN_S = 3.0
# The platform's bounds hold again this long after the end of an outage.
STABLE_S = 4.0
SILENCE_S = 0.6
NAMES = ("i-1", "i-2", "i-3", "i-4", "i-5", "i-6")


class TimedStore:
    """Store whose entries are removed, and that is lost, at given times.

    In a loss connections fail. In a silence no call is answered, then or later.
    """

    def __init__(self, timers, removals_by_name, losses, ends_at, silences=()):
        self.timers = timers
        self.removals_by_name = removals_by_name
        self.losses = losses
        self.silences = silences
        self.ends_at = ends_at
        self.watch_count = 0

    def _removed(self, after, until):
        return [
            name for name, at in self.removals_by_name.items() if after < at <= until
        ]

    def _pass(self, until):
        self.timers.advance(max(0.0, until - self.timers.now()))
        if self.timers.now() >= self.ends_at:
            raise eventlet.greenlet.GreenletExit

    def list(self, kind, timeout_s):
        entries = [
            StoredObject("servers", name, 1, dict(ENTRY_SPEC))
            for name in NAMES
            if self.removals_by_name.get(name, self.ends_at) > self.timers.now()
        ]
        return StoredList(tuple(entries), self._revision())

    def _revision(self):
        return 10 + len(self._removed(0.0, self.timers.now()))

    def watch(self, kind, position, wait_s, timeout_margin_s):
        self.watch_count += 1
        sent_at = self.timers.now()
        for lost_at, lost_for_s in self.losses:
            if lost_at <= sent_at < lost_at + lost_for_s:
                self._pass(sent_at + 0.2)
                raise PlatformError("the store closed the connection")
        if any(at <= sent_at < at + for_s for at, for_s in self.silences):
            self._pass(sent_at + wait_s + timeout_margin_s)
            raise PlatformError("no answer")
        ends_at = sent_at + wait_s
        lost_at = min(
            (at for at, _ in self.losses if at >= sent_at), default=self.ends_at
        )
        while True:
            removed = self._removed(0.0, self.timers.now())[position.revision - 10 :]
            if removed or self.timers.now() >= ends_at:
                changes = [
                    StoredObject("servers", name, 1, None, is_deleted=True)
                    for name in removed
                ]
                return tuple(changes), self._revision()
            self._pass(self.timers.now() + 0.01)
            if self.timers.now() >= lost_at:
                raise PlatformError("the store closed the connection")


class LeavingEntryTests(testtools.TestCase):
    def follow(self, removals_by_name, losses, ends_at=30.0, silences=()):
        """Play the store; return when each replica was last usable, by id."""
        timers = VirtualTimers()
        self.log_lines = []
        log = EventLog(self.log_lines.append)
        self.registry = ReplicaRegistry(log, lambda _: None)
        self.mirror = KindMirror(timers)
        self.unserved_s = 0.0
        last_used_by_id = {}

        def observe():
            for replica in self.registry.usable(ENTRY_SPEC["service"]):
                last_used_by_id[replica.replica_id] = timers.now()
            if self.mirror.list().status != 200:
                self.unserved_s += 0.05

        def drop_expired():
            self.registry.drop_expired(timers.now())

        handler = EntryHandler(
            self.registry, timers.now, lambda: None, lambda: None, log
        )
        self.store = TimedStore(timers, removals_by_name, losses, ends_at, silences)
        self.patch(
            watches.eventlet,
            "sleep",
            lambda pause_s: self.store._pass(timers.now() + pause_s),
        )
        timers.subscribe(0.05, observe)
        timers.subscribe(0.05, drop_expired)
        watch = KindWatch(
            "servers",
            lambda _: WatchSource("", self.store),
            handler,
            self.mirror,
            timers.now,
            random.Random(1),
            log,
            lambda: 1.0,
        )
        self.assertRaises(eventlet.greenlet.GreenletExit, watch.run)
        return last_used_by_id

    def test_upstream_that_leaves_after_a_reset_is_not_taken_for_an_expired_one(self):
        last_used_by_id = self.follow({"i-1": 17.0}, losses=[(15.0, 0.1)])
        self.assertTrue(last_used_by_id["i-1"] <= 17.0 + 1.1, last_used_by_id)

    def test_upstream_that_leaves_within_a_second_of_a_reset_is_not_kept(self):
        last_used_by_id = self.follow({"i-1": 15.6}, losses=[(15.0, 0.1)])
        self.assertTrue(last_used_by_id["i-1"] <= 15.6 + 1.1, last_used_by_id)

    def test_upstream_that_leaves_after_a_cut_of_the_store_is_not_used_too_long(self):
        for left_at in (23.1, 23.9, 24.7, 25.5, 26.3, 27.5):
            last_used_by_id = self.follow({"i-1": left_at}, losses=[(20.0, 3.0)])
            self.assertTrue(
                last_used_by_id["i-1"] < left_at + DRAIN_S, (left_at, last_used_by_id)
            )

    def test_upstream_that_leaves_after_a_silence_of_the_store_is_not_used_too_long(
        self,
    ):
        # The first removal is read before the silence, the next watch is sent in it.
        for silent_at in (10.5, 11.0):
            left_at = silent_at + SILENCE_S + STABLE_S
            last_used_by_id = self.follow(
                {"i-1": 10.0, "i-2": left_at}, [], silences=[(silent_at, SILENCE_S)]
            )
            self.assertTrue(
                last_used_by_id["i-2"] < left_at + DRAIN_S, (left_at, last_used_by_id)
            )

    def test_upstreams_that_leave_together_are_not_used_too_long(self):
        # The first removal is read at once, the others after the pause between watches.
        removals = {"i-1": 10.0, "i-2": 10.1, "i-3": 10.1, "i-4": 10.1, "i-5": 10.1}
        last_used_by_id = self.follow(removals, losses=[])
        for name, left_at in removals.items():
            self.assertTrue(last_used_by_id[name] < left_at + DRAIN_S, last_used_by_id)

    def test_followers_are_served_again_while_nothing_changes_after_a_reset(self):
        self.follow({}, losses=[(15.0, 0.1)])
        self.assertTrue(self.unserved_s < 1.5, self.unserved_s)

    def test_a_quiet_store_costs_few_calls(self):
        self.follow({"i-1": 5.0}, losses=[], ends_at=60.0)
        self.assertTrue(self.store.watch_count <= 4, self.store.watch_count)

    def test_a_lost_connection_costs_few_calls(self):
        self.follow({}, losses=[(15.0, 0.1)])
        self.assertTrue(self.store.watch_count <= 5, self.store.watch_count)
