from __future__ import annotations

import random

import eventlet
import testtools

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.logs import EventLog
from almondspool.platform import watches
from almondspool.platform.handlers import ConfigurationHandler, EntryHandler
from almondspool.platform.mirror import KindMirror
from almondspool.platform.store import StoredList, StoredObject
from almondspool.platform.watches import KindWatch, WatchSource
from almondspool.routing.replicas import ReplicaRegistry
from almondspool.transport.timers import VirtualTimers
from tests.platform.test_configuration import CONFIGURATION_SPEC as CONFIGURATION
from tests.platform.test_entries import ENTRY_SPEC


class ScriptedStore:
    """Answers list and watch calls with the given replies, then ends the watch."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.calls = []
        self.timeouts_s = []

    def _next(self, call):
        self.calls.append(call)
        if not self.replies:
            raise eventlet.greenlet.GreenletExit
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def list(self, kind, timeout_s):
        self.timeouts_s.append(timeout_s)
        return self._next(("list",))

    def watch(self, kind, position, wait_s, timeout_margin_s):
        return self._next(("watch", position.revision))


class WatchTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.log_lines = []
        self.sleeps = []
        self.patch(watches.eventlet, "sleep", self.sleeps.append)
        self.tables = []
        self.source_instance = ""

    def follow(
        self, *replies, handler=None, store=None, choose_source=None, **arguments
    ):
        store = store or ScriptedStore(*replies)
        log = EventLog(self.log_lines.append)
        handler = handler or ConfigurationHandler(self.tables.append, log)
        self.mirror = KindMirror(VirtualTimers())
        watch = KindWatch(
            "config",
            choose_source or (lambda _: WatchSource(self.source_instance, store)),
            handler,
            self.mirror,
            lambda: 0.0,
            random.Random(1),
            log,
            **arguments,
        )
        self.assertRaises(eventlet.greenlet.GreenletExit, watch.run)
        self.timeouts_s = store.timeouts_s
        return store.calls

    def config(self, version, name="main", deleted=False):
        spec = {**CONFIGURATION, "version": version}
        return StoredObject("config", name, version, spec, deleted)

    def versions(self):
        return [table.version for table in self.tables]

    def test_list_is_followed_by_a_watch_from_its_revision(self):
        calls = self.follow(
            StoredList((self.config(3),), 5), ((self.config(4),), 8), ((), 9)
        )
        self.assertEqual([("list",), ("watch", 5), ("watch", 8), ("watch", 9)], calls)
        self.assertEqual([3, 4], self.versions())

    def test_kind_is_listed_again_after_a_lost_history(self):
        gone = PlatformError("gone", ResultCode.PLATFORM_HISTORY_GONE)
        calls = self.follow(StoredList((), 5), gone, StoredList((self.config(9),), 20))
        self.assertEqual([("list",), ("watch", 5), ("list",), ("watch", 20)], calls)
        self.assertEqual([9], self.versions())

    def test_failed_watches_back_off_and_resume_from_their_revision(self):
        down = PlatformError("down")
        calls = self.follow(StoredList((), 5), *[down] * 6, ((self.config(4),), 8))
        self.assertEqual([("watch", 5)] * 7, calls[1:8])
        self.assertEqual([4], self.versions())
        self.assertTrue(max(self.sleeps) <= watches.MAX_BACKOFF_S * 1.3)
        self.assertTrue(sum(self.sleeps[:6]) > 2.0)
        lost = [line for line in self.log_lines if "store.lost" in line]
        regained = [line for line in self.log_lines if "store.regained" in line]
        self.assertEqual((1, 1), (len(lost), len(regained)))

    def test_immediate_answers_do_not_raise_the_call_rate(self):
        self.follow(StoredList((), 5), *[((), 5)] * 20)
        self.assertTrue(sum(self.sleeps) >= 20 * watches.MIN_WATCH_INTERVAL_S - 1e-9)

    def test_retry_delay_of_a_rate_limited_call_is_kept(self):
        rate_limited = PlatformError("busy", ResultCode.PLATFORM_RATE_LIMITED, 0, 5.0)
        self.follow(rate_limited)
        self.assertTrue(self.sleeps[0] >= 3.0)

    def test_removed_or_malformed_configuration_is_ignored(self):
        malformed = StoredObject("config", "main", 9, {"version": "x"})
        self.follow(
            StoredList((self.config(3), self.config(99, "other")), 5),
            ((self.config(4, deleted=True), malformed), 8),
        )
        self.assertEqual([3], self.versions())
        self.assertTrue(any("configuration.refused" in line for line in self.log_lines))

    def test_list_older_than_the_known_revision_is_not_applied(self):
        gone = PlatformError("gone", ResultCode.PLATFORM_HISTORY_GONE)
        self.source_instance = "instance-1"
        calls = self.follow(
            StoredList((self.config(3),), 50),
            gone,
            StoredList((self.config(2),), 40),
            StoredList((self.config(4),), 60),
        )
        self.assertEqual(3, calls.count(("list",)))
        self.assertEqual([3, 4], self.versions())

    def test_list_of_a_lost_history_is_not_applied_whatever_its_revision(self):
        gone = PlatformError("gone", ResultCode.PLATFORM_HISTORY_GONE)
        self.source_instance = "instance-1"
        calls = self.follow(
            StoredList((self.config(3),), 45, 2),
            gone,
            StoredList((self.config(4),), 60, 1),
            StoredList((self.config(5),), 50, 2),
        )
        self.assertEqual(("watch", 50), calls[-1])
        self.assertEqual([3, 5], self.versions())

    def test_configuration_lost_by_the_store_is_given_to_starting_instances(self):
        gone = PlatformError("gone", ResultCode.PLATFORM_HISTORY_GONE)
        for lost in (self.config(3), StoredObject("config", "main", 9, {}), None):
            self.tables.clear()
            listed = (lost,) if lost else ()
            self.follow(
                StoredList((self.config(5),), 53, 1), gone, StoredList(listed, 48, 2)
            )
            self.assertIn(b'"version":5', self.mirror.list().body, lost)
            self.assertEqual([5], self.versions())

    def test_starting_instance_reads_a_configuration_that_the_store_has_lost(self):
        class FallbackPeer:
            def list_from_peer(self, kind):
                return listed

        listed = StoredList((self.config(5),), 48, 2)
        calls = self.follow(
            StoredList((self.config(3),), 48, 2),
            watches.StaleWatchError("a member knows a newer config"),
            StoredList((self.config(3),), 48, 2),
            fallback_peers=lambda: [FallbackPeer()],
        )
        self.assertEqual([("list",), ("watch", 48), ("list",), ("watch", 48)], calls)
        self.assertEqual([3, 5], self.versions())
        self.assertIn(b'"version":5', self.mirror.list().body)

    def test_follower_of_an_instance_does_not_serve_its_own_copy(self):
        self.source_instance = "instance-1"
        self.follow(StoredList((self.config(3),), 50))
        self.assertEqual(503, self.mirror.list().status)

    def test_instance_that_starts_during_an_outage_lists_from_a_peer(self):
        class FallbackPeer:
            def __init__(self, listed):
                self.listed = listed

            def list_from_peer(self, kind):
                if self.listed is None:
                    raise PlatformError("no copy of this kind")
                return self.listed

        down = PlatformError("down")
        fallback_peers = [
            FallbackPeer(None),
            FallbackPeer(StoredList((self.config(7),), 70)),
        ]
        calls = self.follow(
            down,
            down,
            StoredList((self.config(6),), 60),
            StoredList((self.config(8),), 80),
            fallback_peers=lambda: fallback_peers,
        )
        # The store's first list is older than the peer's; only its next one is applied.
        self.assertEqual([7, 8], self.versions())
        self.assertEqual(("watch", 80), calls[-1])

    def test_first_reads_have_a_short_timeout_and_later_ones_the_full_one(self):
        down = PlatformError("no answer")
        gone = PlatformError("gone", ResultCode.PLATFORM_HISTORY_GONE)
        self.follow(down, down, down, StoredList((), 5), gone, StoredList((), 9))
        initial_s, full_s = watches.INITIAL_READ_TIMEOUT_S, watches.CALL_TIMEOUT_S
        self.assertEqual(
            [initial_s, initial_s, full_s, full_s, full_s], self.timeouts_s[:5]
        )

    def test_newer_of_two_peer_lists_is_applied(self):
        class FallbackPeer:
            def __init__(self, listed):
                self.listed = listed

            def list_from_peer(self, kind):
                return self.listed

        entry = StoredObject("servers", "i-left", 40, dict(ENTRY_SPEC))
        registry = ReplicaRegistry(EventLog(self.log_lines.append), lambda _: None)
        handler = EntryHandler(
            registry,
            lambda: 0.0,
            lambda: None,
            lambda: None,
            EventLog(self.log_lines.append),
        )
        down = PlatformError("down")
        self.follow(
            down,
            handler=handler,
            fallback_peers=lambda: [
                FallbackPeer(StoredList((entry,), 50)),
                FallbackPeer(StoredList((), 60)),
                FallbackPeer(StoredList((entry,), 55)),
            ],
        )
        self.assertEqual((), registry.all())

    def test_stale_instance_refused_by_the_store_lists_from_a_peer(self):
        class FallbackPeer:
            def __init__(self, listed):
                self.listed = listed

            def list_from_peer(self, kind):
                return self.listed

        fallback_peers = [
            FallbackPeer(StoredList((self.config(3),), 5)),
            FallbackPeer(StoredList((self.config(9),), 20)),
        ]
        refused = PlatformError("busy")
        calls = self.follow(
            StoredList((self.config(3),), 5),
            refused,
            watches.StaleWatchError("a member knows a newer config"),
            refused,
            refused,
            StoredList((self.config(9),), 20),
            fallback_peers=lambda: fallback_peers,
        )
        self.assertEqual([3, 9], self.versions()[:2])
        peer_lists = [line for line in self.log_lines if "store.borrowed" in line]
        self.assertEqual(1, len(peer_lists))
        self.assertEqual([("list",), ("watch", 5), ("watch", 5), ("list",)], calls[:4])

    def test_running_instance_does_not_list_from_peers(self):
        peer_requests = []
        self.follow(
            StoredList((), 5),
            PlatformError("down"),
            fallback_peers=lambda: peer_requests.append(1) or (),
        )
        self.assertEqual([], peer_requests)

    def test_error_in_a_handler_does_not_end_the_watch(self):
        class FailingHandler(ConfigurationHandler):
            def on_changes(self, changes):
                if any(changed.revision == 4 for changed in changes):
                    raise KeyError("unexpected")
                super().on_changes(changes)

        handler = FailingHandler(self.tables.append, EventLog(self.log_lines.append))
        self.follow(
            StoredList((self.config(3),), 5),
            ((self.config(4),), 8),
            StoredList((self.config(9),), 20),
            handler=handler,
        )
        self.assertEqual([3, 9], self.versions())
        self.assertTrue(any("store.internal_error" in line for line in self.log_lines))

    def test_relist_during_a_pause_does_not_end_the_watch(self):
        errors = iter([watches.StaleWatchError("a member knows a newer config")])

        def sleep(_):
            for error in errors:
                raise error

        self.patch(watches.eventlet, "sleep", sleep)
        calls = self.follow(
            StoredList((), 5),
            PlatformError("down"),
            StoredList((self.config(4),), 8),
        )
        self.assertEqual([4], self.versions())
        self.assertEqual([("list",), ("watch", 8)], calls[-2:])

    def test_relist_during_the_first_delay_does_not_end_the_watch(self):
        errors = iter([watches.StaleWatchError("a member knows a newer config")])

        def sleep(_):
            for error in errors:
                raise error

        self.patch(watches.eventlet, "sleep", sleep)
        delays = iter([0.4, 0.0])
        calls = self.follow(
            StoredList((self.config(4),), 8),
            first_read_delay_s=lambda _: next(delays, 0.0),
        )
        self.assertEqual([("list",), ("watch", 8)], calls)

    def test_error_in_the_choice_of_a_source_does_not_end_the_watch(self):
        store = ScriptedStore(StoredList((self.config(4),), 8))
        sources = iter([None])

        def choose_source(failures):
            for _ in sources:
                raise KeyError("unexpected")
            return WatchSource("", store)

        calls = self.follow(choose_source=choose_source, store=store)
        self.assertEqual([("list",), ("watch", 8)], calls)
        self.assertTrue(any("store.internal_error" in line for line in self.log_lines))

    def test_failed_call_to_an_instance_is_no_loss_of_the_store(self):
        self.source_instance = "instance-1"
        self.follow(StoredList((), 5), PlatformError("down"), ((), 6))
        self.assertFalse(any("store.lost" in line for line in self.log_lines))


class EntryHandlerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        log = EventLog(lambda _: None)
        self.now = 0.0
        self.malformed_counts = []
        self.registry = ReplicaRegistry(log, lambda _: None)
        self.handler = EntryHandler(
            self.registry,
            lambda: self.now,
            lambda: self.malformed_counts.append(1),
            lambda: None,
            log,
        )

    def entry(self, name="i-1", deleted=False, **changes):
        return StoredObject("servers", name, 1, {**ENTRY_SPEC, **changes}, deleted)

    def test_entries_are_added_changed_and_removed(self):
        self.handler.on_list(StoredList((self.entry(), self.entry("i-2")), 5))
        self.assertEqual(2, len(self.registry.usable("huvo11a")))
        self.handler.on_changes([self.entry(state="draining")])
        self.handler.on_changes([self.entry("i-2", deleted=True)])
        self.assertEqual((), self.registry.usable("huvo11a"))

    def test_malformed_entry_is_counted_and_the_others_are_applied(self):
        malformed = StoredObject("servers", "i-3", 1, [1])
        self.handler.on_list(StoredList((self.entry(), malformed), 5))
        self.assertEqual(1, len(self.registry.usable("huvo11a")))
        self.assertEqual([1], self.malformed_counts)

    def test_entries_that_become_malformed_together_are_not_taken_for_expired(self):
        names = [f"i-{number}" for number in range(6)]
        listed = tuple(self.entry(name) for name in names)
        self.handler.on_list(StoredList(listed, 5))
        changes = [self.entry(name, state="resting") for name in names]
        self.handler.on_changes(changes)
        self.assertEqual((), self.registry.usable("huvo11a"))
        self.handler.on_list(StoredList(listed, 6))
        self.handler.on_list(StoredList(tuple(changes), 7))
        self.assertEqual((), self.registry.usable("huvo11a"))

    def test_entry_that_becomes_malformed_removes_its_replica(self):
        self.handler.on_list(StoredList((self.entry(),), 5))
        self.handler.on_changes([self.entry(address="nowhere")])
        self.assertEqual((), self.registry.usable("huvo11a"))
