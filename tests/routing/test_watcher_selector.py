from __future__ import annotations

import collections
import random

import testtools

from almondspool.routing.watcher_selector import (
    MAX_FIRST_START_DELAY_S,
    MAX_PEER_FAILURES,
    MAX_RESTART_DELAY_S,
    InitialReadDelay,
    WatcherSelector,
    fallback_order,
)
from almondspool.state.members import Member

ZONES = ("north", "south", "hills")


def fleet(count):
    return {f"i{number}": ZONES[number % 3] for number in range(count)}


def make_selector(name, count):
    members = fleet(count)
    selector = WatcherSelector(name, members[name], random.Random(1))
    selector.update(members)
    return selector


class FallbackOrderTests(testtools.TestCase):
    def test_instances_that_lost_the_store_as_well_come_last(self):
        members = [
            Member(
                f"i{number}",
                1,
                "north",
                "10.0.0.1:80",
                "10.0.0.1:81",
                shares_version=740 if number == 8 else 194 + number % 2,
            )
            for number in range(10)
        ]
        ordered = fallback_order(members, lambda member: member.shares_version)
        self.assertEqual("i8", ordered[0].instance)
        self.assertEqual({194}, {item.shares_version for item in ordered[-4:]})


class WatcherSelectorTests(testtools.TestCase):
    def test_instances_of_a_small_fleet_watch_the_store(self):
        for count in (1, 9, 16):
            self.assertEqual("", make_selector("i0", count).choose_source("config", 0))

    def test_all_instances_agree_on_the_watchers(self):
        watcher_sets = {
            make_selector(f"i{number}", 67).watchers("config") for number in range(67)
        }
        self.assertEqual(1, len(watcher_sets))
        self.assertEqual(9, len(watcher_sets.pop()))

    def test_watchers_read_the_store_and_the_others_a_watcher(self):
        watchers = make_selector("i0", 67).watchers("config")
        for name in fleet(67):
            source = make_selector(name, 67).choose_source("config", 0)
            self.assertEqual(name in watchers, source == "")
            if source:
                self.assertIn(source, watchers)

    def test_followers_are_spread_over_the_watchers(self):
        counts = collections.Counter(
            WatcherSelectorTests.source_of(name, seed)
            for seed, name in enumerate(fleet(440))
        )
        del counts[""]
        self.assertTrue(max(counts.values()) <= 30, counts)

    @staticmethod
    def source_of(name, seed):
        members = fleet(440)
        selector = WatcherSelector(name, members[name], random.Random(seed))
        selector.update(members)
        return selector.choose_source("config", 0)

    def test_local_watcher_first_then_any_then_the_store(self):
        members = fleet(67)
        for name in members:
            selector = make_selector(name, 67)
            watchers = selector.watchers("config")
            if name in watchers:
                continue
            zones = {members[watcher] for watcher in watchers}
            if members[name] in zones:
                self.assertEqual(
                    members[name], members[selector.choose_source("config", 0)]
                )
            self.assertIn(selector.choose_source("config", 1), watchers)
            self.assertEqual("", selector.choose_source("config", MAX_PEER_FAILURES))


class InitialReadDelayTests(testtools.TestCase):
    def read_delay_s(
        self,
        is_new_fleet,
        view_known_at=0.0,
        is_watcher=False,
        served_before_at=60.0,
        records=(60.0, 0),
    ):
        """Return the seconds after the start at which the first read is made."""
        waited_s = 0.0
        records_read_at, recorded_count = records
        while True:
            initial_read = InitialReadDelay(
                waited_s,
                waited_s >= view_known_at,
                is_watcher,
                is_new_fleet and waited_s < served_before_at,
                recorded_count if waited_s >= records_read_at else 0,
            )
            delay_s = initial_read.delay_s()
            if not delay_s:
                return round(waited_s, 3)
            waited_s += delay_s

    def test_restarted_instance_waits_briefly_for_its_view(self):
        self.assertEqual(0.0, self.read_delay_s(False))
        self.assertEqual(0.1, self.read_delay_s(False, 0.1))
        self.assertEqual(MAX_RESTART_DELAY_S, self.read_delay_s(False, 60.0))
        self.assertEqual(MAX_RESTART_DELAY_S, self.read_delay_s(False, 60.0, True))

    def test_restarted_instance_of_a_small_fleet_does_not_wait_for_its_view(self):
        self.assertEqual(0.06, self.read_delay_s(False, 60.0, records=(0.06, 6)))
        self.assertEqual(
            MAX_RESTART_DELAY_S, self.read_delay_s(False, 60.0, records=(0.06, 17))
        )

    def test_first_start_of_a_small_fleet_waits(self):
        self.assertEqual(
            MAX_FIRST_START_DELAY_S, self.read_delay_s(True, 60.0, records=(0.06, 6))
        )

    def test_watchers_of_a_new_fleet_read_before_the_others(self):
        watcher_s = self.read_delay_s(True, 2.0, True)
        other_s = self.read_delay_s(True, 2.0)
        self.assertTrue(watcher_s + 1.0 < other_s, (watcher_s, other_s))
        self.assertEqual(MAX_FIRST_START_DELAY_S, other_s)

    def test_followers_read_once_an_instance_of_a_new_fleet_serves(self):
        self.assertEqual(2.2, self.read_delay_s(True, 2.0, served_before_at=2.2))

    def test_fleet_that_has_served_before_is_treated_as_restarted(self):
        self.assertEqual(
            MAX_RESTART_DELAY_S, self.read_delay_s(True, 60.0, served_before_at=0.05)
        )
