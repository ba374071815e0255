from __future__ import annotations

import collections
import random

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.coordination.membership.entries import (
    MAX_ENTRIES,
    MAX_LOCAL_ENTRIES,
    choose_entries,
    max_ttl_s,
)
from almondspool.state.members import MemberStatus, View
from tests.coordination.network import ZONES, make_member

TTL_S = 5.0


def make_view(count: int, **changes_by_name) -> View:
    members = [make_member(f"perth-{n + 1}", n) for n in range(count)]
    return View(
        {
            member.instance: member._replace(
                **changes_by_name.get(member.instance.replace("-", "_"), {})
            )
            for member in members
        }
    )


def look_up(view: View, seed: int, zone: str = ZONES[0]):
    own = view.members_by_instance["perth-1"]
    return choose_entries(view, own, zone, TTL_S, random.Random(seed))


def names(view: View, seed: int, zone: str = ZONES[0]) -> list[str]:
    return [entry.instance for entry in look_up(view, seed, zone).entries]


class ChooseEntriesTests(testtools.TestCase):
    def test_near_zone_first_then_others(self):
        view = make_view(9)
        for seed in range(50):
            zones = [entry.zone for entry in look_up(view, seed).entries]
            self.assertEqual([ZONES[0]] * 3, zones[:3])
            self.assertEqual(MAX_ENTRIES, len(zones))
            self.assertNotIn(ZONES[0], zones[3:])

    def test_large_zone_leaves_room_for_other_zones(self):
        zones = [entry.zone for entry in look_up(make_view(60), 1).entries]
        self.assertEqual(MAX_LOCAL_ENTRIES, zones.count(ZONES[0]))

    def test_unknown_zone_gets_all_zones(self):
        first_zones = {
            look_up(make_view(9), seed, "elsewhere").entries[0].zone
            for seed in range(50)
        }
        self.assertEqual(set(ZONES), first_zones)

    def test_callers_of_one_zone_spread(self):
        first_instances = collections.Counter(
            names(make_view(9), seed)[0] for seed in range(600)
        )
        self.assertEqual(3, len(first_instances))
        self.assertGreater(min(first_instances.values()), 150)

    def test_callers_spread_when_an_instance_fails(self):
        view = make_view(9)
        second_instances = collections.Counter(
            order[1]
            for order in (names(view, seed) for seed in range(900))
            if order[0] == "perth-1"
        )
        self.assertEqual({"perth-4", "perth-7"}, set(second_instances))
        self.assertLess(
            max(second_instances.values()), 2 * min(second_instances.values())
        )

    def test_an_instance_cut_off_lists_dead_ones_last(self):
        dead = {"status": MemberStatus.DEAD}
        view = make_view(3, perth_2=dead, perth_3=dead)
        for seed in range(20):
            order = names(view, seed)
            self.assertEqual("perth-1", order[0])
            self.assertEqual({"perth-2", "perth-3"}, set(order[1:]))

    def test_a_minority_that_died_is_not_listed(self):
        dead = {"status": MemberStatus.DEAD}
        view = make_view(9, perth_2=dead, perth_3=dead, perth_4=dead, perth_5=dead)
        for seed in range(20):
            self.assertEqual(5, len(names(view, seed)))

    def test_loaded_instance_is_chosen_less(self):
        view = make_view(9, perth_1={"load": 0.8})
        first_instances = collections.Counter(
            names(view, seed)[0] for seed in range(600)
        )
        self.assertLess(first_instances["perth-1"], first_instances["perth-4"] / 2)

    def test_full_zone_sends_callers_to_others(self):
        overloaded = {"load": 0.95}
        view = make_view(9, perth_1=overloaded, perth_4=overloaded, perth_7=overloaded)
        other_zone_count = sum(
            look_up(view, seed).entries[0].zone != ZONES[0] for seed in range(100)
        )
        self.assertGreater(other_zone_count, 90)

    def test_leaving_suspect_dead_and_unready_are_left_out(self):
        view = make_view(
            6,
            perth_2={"status": MemberStatus.LEAVING},
            perth_3={"status": MemberStatus.SUSPECT},
            perth_4={"status": MemberStatus.DEAD},
            perth_5={"ready": False},
        )
        self.assertEqual({"perth-1", "perth-6"}, set(names(view, 1)))

    def test_instance_without_serving_members_still_answers(self):
        self.assertEqual(["perth-1"], names(make_view(1), 1))
        suspect = {"status": MemberStatus.SUSPECT}
        view = make_view(2, perth_1={"ready": False}, perth_2=suspect)
        self.assertEqual({"perth-1", "perth-2"}, set(names(view, 1)))
        dead = {"status": MemberStatus.DEAD}
        view = make_view(2, perth_1={"status": MemberStatus.LEAVING}, perth_2=dead)
        self.assertEqual(["perth-1"], names(view, 1))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.integers(0, 10_000))
    def test_ttl_is_jittered_by_a_fifth(self, seed):
        ttl_ms = look_up(make_view(3), seed).ttl_ms
        self.assertTrue(4000 <= ttl_ms <= 6000)
        self.assertLessEqual(ttl_ms, max_ttl_s(TTL_S) * 1000)
