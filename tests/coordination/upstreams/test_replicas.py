from __future__ import annotations

import collections
import random

import testtools
from testtools.matchers import GreaterThan, LessThan

from almondspool.codes import ResultCode
from almondspool.coordination.search.quarantine import (
    MAX_QUARANTINE_ENTRIES,
    Quarantine,
    QuarantineState,
)
from almondspool.coordination.upstreams import replicas
from almondspool.coordination.upstreams.latency import DecayedPeak, LatencyHistogram
from almondspool.coordination.upstreams.replicas import make_chooser
from almondspool.protocol.peer import Suspicion
from almondspool.protocol.upstream import LoadReport
from tests.coordination.search_session_driver import ZONES, make_section

SECTION = make_section(services=1)
REPLICAS = SECTION.snapshots_by_id[7].shards_by_id["shard-0"].replicas
IDLE = LoadReport(0, 0, False, 1.0)
BUSY = LoadReport(2, 10_000, False, 1.0)


def make_warm_chooser(latency_by_upstream=None):
    """Return a chooser whose replicas have all passed the ramp."""
    chooser = make_chooser("elsewhere", random.Random(7))
    chooser.choose(0.0, SECTION, REPLICAS)
    for number in range(100):
        for upstream_id in REPLICAS:
            latency_s = (latency_by_upstream or {}).get(upstream_id, 0.006)
            chooser.begin(99.0 + number / 100, upstream_id)
            chooser.observe(99.0 + number / 100, upstream_id, latency_s, ResultCode.OK)
    return chooser


def count_choices(chooser, now=100.0, choices=600, max_in_flight=8, report=None):
    """Choose with a number of legs in flight; count the choices by upstream."""
    counts = collections.Counter()
    in_flight = collections.deque()
    for number in range(choices):
        at = now + number / 1000
        for upstream_id, load in (report or {}).items():
            chooser.record_report(at, upstream_id, load)
        chosen = chooser.choose(at, SECTION, REPLICAS).upstream_id
        chooser.begin(at, chosen)
        counts[chosen] += 1
        in_flight.append(chosen)
        if len(in_flight) > max_in_flight:
            chooser.observe(at, in_flight.popleft(), 0.006, ResultCode.OK)
    return counts


def make_lost_chooser(failures=1):
    """Return a warm chooser whose legs in flight were refused by s0-a at 100.0."""
    chooser = make_warm_chooser()
    for _ in range(failures):
        chooser.begin(100.0, "s0-a")
    for number in range(failures):
        chooser.observe(100.0 + number / 100, "s0-a", 0.001, ResultCode.LEG_REFUSED)
    return chooser


def count_probes():
    """Count the legs sent to s0-a after its pause and before the first result."""
    chooser = make_lost_chooser()
    counts = collections.Counter()
    for number in range(600):
        now = 101.1 + number / 1e6
        chosen = chooser.choose(now, SECTION, REPLICAS).upstream_id
        chooser.begin(now, chosen)
        counts[chosen] += 1
    return counts["s0-a"]


class ReplicaChooserTests(testtools.TestCase):
    def test_equal_replicas_share_the_work(self):
        counts = count_choices(make_warm_chooser())
        self.assertThat(min(counts.values()), GreaterThan(150))

    def test_slow_replica_gets_little_work_until_its_peak_decays(self):
        chooser = make_warm_chooser({"s0-a": 0.060})
        self.assertThat(count_choices(chooser)["s0-a"], LessThan(60))
        later = count_choices(chooser, now=130.0)
        self.assertThat(later["s0-a"], GreaterThan(100))

    def test_false_busy_report_does_not_starve(self):
        chooser = make_warm_chooser()
        counts = count_choices(chooser, max_in_flight=0, report={"s0-a": BUSY})
        self.assertThat(counts["s0-a"], GreaterThan(30))

    def test_false_idle_report_does_not_overload(self):
        chooser = make_warm_chooser()
        report = {"s0-a": IDLE, "s0-b": BUSY, "s0-c": BUSY}
        self.assertThat(count_choices(chooser, report=report)["s0-a"], LessThan(400))

    def test_without_the_cap_a_busy_report_starves(self):
        self.patch(replicas, "MAX_REPORT_FACTOR", 1e9)
        self.patch(replicas, "MAX_REPORT_USE_SHARE", 1e9)
        chooser = make_warm_chooser()
        counts = count_choices(chooser, max_in_flight=0, report={"s0-a": BUSY})
        self.assertEqual(0, counts["s0-a"])

    def test_old_report_has_no_weight(self):
        chooser = make_warm_chooser()
        chooser.record_report(100.0, "s0-a", BUSY)
        counts = count_choices(chooser, now=110.0)
        self.assertThat(counts["s0-a"], GreaterThan(150))

    def test_cold_replica_gets_a_growing_share(self):
        shares = []
        for warmth in (0.0, 0.5, 1.0):
            chooser = make_warm_chooser()
            report = {"s0-a": LoadReport(0, 0, False, warmth)}
            report |= dict.fromkeys(("s0-b", "s0-c"), IDLE)
            shares.append(count_choices(chooser, report=report)["s0-a"])
        self.assertThat(shares[0], GreaterThan(0))
        self.assertEqual(sorted(shares), shares)
        self.assertThat(shares[0], LessThan(100))

    def test_draining_report_is_honoured_and_ages(self):
        chooser = make_warm_chooser()
        chooser.record_report(100.0, "s0-a", LoadReport(0, 0, True, 1.0))
        self.assertEqual(0, count_choices(chooser)["s0-a"])
        self.assertThat(count_choices(chooser, now=110.0)["s0-a"], GreaterThan(0))

    def test_after_a_pause_one_leg_probes(self):
        self.assertEqual(1, count_probes())

    def test_without_the_probe_all_legs_return_at_once(self):
        self.patch(
            replicas._UpstreamStats,
            "is_eligible",
            lambda stats, now: stats.paused_until <= now,
        )
        self.assertThat(count_probes(), GreaterThan(100))

    def test_an_answered_probe_ends_the_failure(self):
        chooser = make_lost_chooser()
        chooser.begin(102.0, "s0-a")
        chooser.observe(102.0, "s0-a", 0.006, ResultCode.OK)
        counts = count_choices(chooser, now=102.0)
        self.assertThat(counts["s0-a"], GreaterThan(150))

    def test_failures_during_a_pause_do_not_lengthen_it(self):
        chooser = make_lost_chooser(failures=8)
        self.assertEqual(0, count_choices(chooser, now=100.3)["s0-a"])
        self.assertThat(count_choices(chooser, now=101.1)["s0-a"], GreaterThan(0))

    def test_repeated_failures_lengthen_the_pause(self):
        chooser = make_lost_chooser()
        chooser.begin(101.1, "s0-a")
        chooser.observe(101.1, "s0-a", 0.001, ResultCode.LEG_REFUSED)
        self.assertEqual(0, count_choices(chooser, now=102.4)["s0-a"])

    def test_own_zone_goes_first_when_idle(self):
        chooser = make_chooser(ZONES[0], random.Random(1))
        counts = count_choices(chooser, choices=60, max_in_flight=0)
        self.assertEqual("s0-a", counts.most_common(1)[0][0])

    def test_own_zone_is_a_candidate_in_every_choice(self):
        chooser = make_chooser(ZONES[0], random.Random(1))
        for number in range(50):
            choice = chooser.choose(float(number), SECTION, REPLICAS)
            self.assertIn(
                "s0-a", [candidate.upstream_id for candidate in choice.candidates]
            )

    def test_tried_and_unknown_replicas_are_excluded(self):
        chooser = make_warm_chooser()
        choice = chooser.choose(100.0, SECTION, (*REPLICAS, "gone"), REPLICAS)
        self.assertEqual(("", "no_replica_left"), (choice.upstream_id, choice.reason))

    def test_hedge_delay_follows_the_latency_and_the_siblings(self):
        chooser = make_warm_chooser({"s0-a": 0.200})
        own = chooser.hedge_delay_s("s0-b", REPLICAS)
        self.assertThat(own, GreaterThan(0.0059))
        self.assertThat(own, LessThan(0.009))
        self.assertEqual(2 * own, chooser.hedge_delay_s("s0-a", REPLICAS))
        unknown = make_chooser("", random.Random(1)).hedge_delay_s("s0-a")
        self.assertEqual(replicas.DEFAULT_HEDGE_DELAY_S, unknown)

    def test_upstreams_that_left_are_forgotten(self):
        chooser = make_warm_chooser()
        chooser.begin(100.0, "s0-a")
        chooser.forget_absent({"s0-b"})
        self.assertEqual(0, chooser.in_flight("s0-a"))


class LatencyTests(testtools.TestCase):
    def test_quantile_is_the_bucket_edge_and_old_samples_lose_weight(self):
        histogram = LatencyHistogram()
        for _ in range(300):
            histogram.add(0.100)
        for _ in range(2000):
            histogram.add(0.005)
        self.assertThat(histogram.quantile_s(0.95), LessThan(0.008))
        self.assertThat(histogram.weighted_samples, LessThan(513))

    def test_peak_rises_at_once_and_decays(self):
        peak = DecayedPeak(0.0, 0.005)
        peak.add(1.0, 0.100)
        self.assertEqual(0.100, peak.value(1.0))
        peak.add(4.0, 0.005)
        self.assertThat(peak.value(4.0), LessThan(0.045))
        peak.raise_to(4.0, 0.001)
        self.assertThat(peak.value(4.0), GreaterThan(0.005))

    def test_peak_decays_over_the_time_of_the_latency_that_raised_it(self):
        peak = DecayedPeak(0.0, 0.005)
        peak.add(1.0, 0.100, decay_s=4.0)
        peak.raise_to(1.0, 0.050, decay_s=1.0)
        self.assertThat(peak.value(3.0), GreaterThan(0.060))
        peak.raise_to(3.0, 0.100)
        self.assertThat(peak.value(5.0), LessThan(0.020))


class QuarantineTests(testtools.TestCase):
    def test_one_crash_is_suspect_and_a_second_upstream_quarantines(self):
        quarantine = Quarantine(10)
        quarantine.record_cut_off(1000, "one", "s-a")
        quarantine.record_cut_off(1500, "one", "s-a")
        self.assertEqual(QuarantineState.SUSPECT, quarantine.state_of(1500, "one"))
        quarantine.merge(2000, Suspicion("one", 1, "s-b", 12_000))
        self.assertEqual(QuarantineState.QUARANTINED, quarantine.state_of(2000, "one"))
        self.assertFalse(quarantine.clear(2000, "one"))
        self.assertEqual(("one",), quarantine.quarantined_fingerprints(2000))

    def test_suspicion_expires_and_can_be_cleared(self):
        quarantine = Quarantine(10)
        quarantine.record_cut_off(1000, "one", "s-a")
        self.assertEqual(QuarantineState.CLEAR, quarantine.state_of(11_000, "one"))
        quarantine.record_cut_off(20_000, "one", "s-a")
        self.assertTrue(quarantine.clear(20_001, "one"))

    def test_size_is_bounded_and_the_first_to_expire_is_dropped(self):
        quarantine = Quarantine(10)
        for number in range(MAX_QUARANTINE_ENTRIES + 5):
            quarantine.record_cut_off(1000 + number, f"digest-{number}", "s-a")
        self.assertEqual(MAX_QUARANTINE_ENTRIES, len(quarantine))
        self.assertEqual(QuarantineState.CLEAR, quarantine.state_of(6000, "digest-0"))
