from __future__ import annotations

import random

import testtools

from almondspool.routing.serving_set import (
    MAX_WHOLE_FLEET_SIZE,
    MIN_SERVING_PER_ZONE,
    OVERLOAD_UTILIZATION,
    SHRINK_DELAY_S,
    ServingCandidate,
    ServingSet,
    upstream_zones,
)

ZONES = ("north", "south", "hills", "coast", "central")
UPSTREAM_ZONES = frozenset(ZONES[:3])
LARGE_CPU_CORES = 2.15
SMALL_CPU_CORES = 0.516


def fleet(per_zone=39, large_count=3, zones=ZONES):
    """Return candidates in several zones, the first ones of each with more cores."""
    return [
        ServingCandidate(
            f"{zone}-{number}",
            zone,
            f"10.0.{index}.{number}:80",
            LARGE_CPU_CORES if number < large_count else SMALL_CPU_CORES,
        )
        for index, zone in enumerate(zones)
        for number in range(per_zone)
    ]


def with_load(candidates, load_by_instance):
    return [
        candidate._replace(load=load_by_instance.get(candidate.instance, 0.0))
        for candidate in candidates
    ]


def without(candidates, lost):
    return [candidate for candidate in candidates if candidate.instance not in lost]


class ServingSetTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.serving_set = ServingSet()

    def addresses(self, zone):
        return set(self.serving_set.addresses(zone, 64, random.Random(1)))

    def test_small_fleet_serves_as_a_whole_within_each_zone(self):
        candidates = fleet(per_zone=3, large_count=0, zones=ZONES[:3])
        self.serving_set.update(0.0, candidates, UPSTREAM_ZONES)
        self.assertFalse(self.serving_set.is_subset())
        self.assertEqual(9, len(self.serving_set.members()))
        local = {
            candidate.address for candidate in candidates if candidate.zone == "north"
        }
        self.assertEqual(local, self.addresses("north"))

    def test_idle_large_fleet_serves_with_its_largest_instances(self):
        self.serving_set.update(0.0, fleet(), UPSTREAM_ZONES)
        expected = {
            f"{zone}-{number}" for zone in UPSTREAM_ZONES for number in range(3)
        }
        self.assertEqual(expected, set(self.serving_set.members()))

    def test_callers_of_a_zone_without_upstreams_get_the_upstream_zones(self):
        self.serving_set.update(0.0, fleet(), UPSTREAM_ZONES)
        self.assertEqual(9, len(self.addresses("coast")))
        self.assertEqual(3, len(self.addresses("north")))

    def test_set_does_not_depend_on_the_order_of_members(self):
        shuffled = fleet()
        random.Random(5).shuffle(shuffled)
        other = ServingSet()
        self.serving_set.update(0.0, fleet(), UPSTREAM_ZONES)
        other.update(0.0, shuffled, UPSTREAM_ZONES)
        self.assertEqual(self.serving_set.members(), other.members())

    def test_loss_of_an_instance_changes_little_among_equal_ones(self):
        candidates = fleet(large_count=0)
        self.serving_set.update(0.0, candidates, UPSTREAM_ZONES)
        previous = set(self.serving_set.members())
        lost = sorted(previous)[0]
        self.serving_set.update(1.0, without(candidates, {lost}), UPSTREAM_ZONES)
        self.assertEqual(previous - {lost}, previous & set(self.serving_set.members()))
        self.assertEqual(len(previous), len(self.serving_set.members()))

    def test_standby_instances_replace_lost_ones(self):
        self.serving_set.update(0.0, fleet(), UPSTREAM_ZONES)
        standby = [
            s.instance for s in fleet() if self.serving_set.is_standby(s.instance)
        ]
        self.assertEqual(6, len(standby))
        lost = {"north-0", "north-1"}
        self.serving_set.update(1.0, without(fleet(), lost), UPSTREAM_ZONES)
        new_members = {name for name in self.serving_set.members() if name not in lost}
        self.assertTrue(
            {name for name in standby if name.startswith("north")} <= new_members
        )

    def test_loss_of_all_upstream_zones_leaves_the_other_zones(self):
        rest = [
            candidate for candidate in fleet() if candidate.zone not in UPSTREAM_ZONES
        ]
        self.serving_set.update(0.0, rest, UPSTREAM_ZONES)
        self.assertEqual(2 * MIN_SERVING_PER_ZONE, len(self.serving_set.members()))

    def test_callers_of_a_zone_with_one_instance_left_get_other_zones(self):
        candidates = [
            s for s in fleet() if s.zone != "north" or s.instance == "north-7"
        ]
        self.serving_set.update(0.0, candidates, UPSTREAM_ZONES)
        self.assertEqual(7, len(self.addresses("north")))

    def test_set_grows_at_once_and_shrinks_after_a_delay(self):
        candidates = fleet()
        self.serving_set.update(0.0, candidates, UPSTREAM_ZONES)
        busy = dict.fromkeys(("north-0", "north-1", "north-2"), 0.5)
        self.assertTrue(
            self.serving_set.update(1.0, with_load(candidates, busy), UPSTREAM_ZONES)
        )
        grown_count = len(self.addresses("north"))
        self.assertTrue(grown_count > 20, grown_count)
        self.serving_set.update(1.0 + SHRINK_DELAY_S - 0.1, candidates, UPSTREAM_ZONES)
        self.assertEqual(grown_count, len(self.addresses("north")))
        self.serving_set.update(1.0 + SHRINK_DELAY_S, candidates, UPSTREAM_ZONES)
        self.assertEqual(3, len(self.addresses("north")))

    def test_overloaded_instance_is_excluded(self):
        candidates = with_load(fleet(), {"north-0": OVERLOAD_UTILIZATION})
        self.serving_set.update(0.0, candidates, UPSTREAM_ZONES)
        self.assertNotIn("north-0", self.serving_set.members())

    def test_every_zone_serves_if_no_upstream_zones_are_known(self):
        self.serving_set.update(0.0, fleet(), frozenset())
        self.assertEqual(15, len(self.serving_set.members()))
        self.assertEqual(3, len(self.addresses("coast")))

    def test_unknown_zone_and_address_limit(self):
        self.serving_set.update(0.0, fleet(), UPSTREAM_ZONES)
        self.assertEqual(9, len(self.addresses("elsewhere")))
        self.assertEqual(
            2, len(self.serving_set.addresses("north", 2, random.Random(1)))
        )

    def test_fleet_above_the_maximum_size_serves_with_a_subset(self):
        candidates = fleet(
            per_zone=MAX_WHOLE_FLEET_SIZE + 1, large_count=0, zones=("north",)
        )
        self.serving_set.update(0.0, candidates[:-1], frozenset())
        self.assertFalse(self.serving_set.is_subset())
        self.serving_set.update(1.0, candidates, frozenset())
        self.assertTrue(self.serving_set.is_subset())


class BurstTests(testtools.TestCase):
    """Callers with address lists of five seconds, under different loads and losses."""

    def simulate(self, load_cores, lost=frozenset(), large_count=3):
        """Return the utilization of each serving instance once the set is stable."""
        serving = ServingSet()
        candidates = without(fleet(large_count=large_count), lost)
        loads: dict[str, float] = {}
        for second in range(60):
            serving.update(float(second), with_load(candidates, loads), UPSTREAM_ZONES)
            zone_by_serving_instance = serving.members()
            loads = {}
            for zone in ZONES:
                local = [
                    name for name, at in zone_by_serving_instance.items() if at == zone
                ]
                receivers = local if len(local) >= 2 else list(zone_by_serving_instance)
                for name in receivers:
                    cpu_cores = next(
                        s.cpu_cores for s in candidates if s.instance == name
                    )
                    utilization = load_cores / len(ZONES) / len(receivers) / cpu_cores
                    loads[name] = min(1.0, loads.get(name, 0.0) + utilization)
        return loads

    def test_light_load_stays_on_few_instances(self):
        self.assertEqual(9, len(self.simulate(0.5)))

    def test_heavy_load_is_carried_by_many_without_overload(self):
        loads = self.simulate(8.0)
        self.assertTrue(len(loads) > 15, len(loads))
        self.assertTrue(max(loads.values()) < OVERLOAD_UTILIZATION, max(loads.values()))

    def test_loss_of_the_large_instances_is_compensated(self):
        lost = {f"{zone}-{number}" for zone in ZONES for number in range(3)}
        loads = self.simulate(2.0, lost)
        self.assertTrue(max(loads.values()) < OVERLOAD_UTILIZATION, max(loads.values()))


class UpstreamZoneTests(testtools.TestCase):
    def test_zones_with_most_services_are_upstream_zones(self):
        zones_by_service = {f"shard-{n}": ("north", "south") for n in range(40)}
        zones_by_service["records"] = ("north", "coast")
        self.assertEqual(
            frozenset(("north", "south")), upstream_zones(zones_by_service)
        )

    def test_scattered_replicas_make_every_zone_an_upstream_zone(self):
        rng = random.Random(2)
        zones_by_service = {f"s{n}": rng.sample(ZONES, 3) for n in range(40)}
        self.assertEqual(frozenset(ZONES), upstream_zones(zones_by_service))

    def test_no_replicas(self):
        self.assertEqual(frozenset(), upstream_zones({}))
        self.assertEqual(frozenset(), upstream_zones({"a": ()}))
