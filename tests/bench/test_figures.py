from __future__ import annotations

import msgspec
import testtools

from almondspool.standins.deployments import build_deployment
from almondspool.standins.records import plain_scan
from bench import cases
from bench.figures import WindowMeasurements, compute_window_figures
from bench.sites import Connections, Counts
from bench.targets import check_targets
from bench.traffic import ClassResult, LoadResult, SampledAnswer, new_histogram
from bench.windows import PRESENT, matches_scan


def make_result(latencies_ms, code="OK", shards=30, missing=0, refused=0):
    histogram = new_histogram()
    for latency_ms in latencies_ms:
        histogram.record_value(int(latency_ms * 1000))
    answered = len(latencies_ms)
    counts = {code: answered}
    if refused:
        counts["NOT_RUN_OVERLOADED"] = refused
    return ClassResult(
        offered=answered + refused,
        count_by_code=counts,
        shards_total=shards * answered,
        shards_answered=shards * answered - missing,
        latencies=histogram.encode().decode(),
    )


def make_figures(case, result, name="urgent", violations=0, wrong=0, **legs):
    load = LoadResult({name: result}, [], 1.0, 0.1)
    window = WindowMeasurements(
        case=case,
        variant=PRESENT,
        rate_per_s=10.0,
        duration_s=10.0,
        instances=3,
        load_results=[load],
        before=Counts({"first": 100.0, "hedge": 5.0}, 50, 1.0, 0.0),
        after=Counts({"first": 400.0, "hedge": 14.0, **legs}, 250, 4.0, 10.0),
        connections=Connections(40, 0.5, violations),
        wrong=wrong,
        latency_bound_ms=160.0,
    )
    return compute_window_figures(window)


class FiguresTests(testtools.TestCase):
    def test_shares_and_percentiles(self):
        figures = make_figures("x", make_result([10.0] * 99 + [200.0], missing=3))
        self.assertAlmostEqual(0.03, figures.extra_share)
        self.assertAlmostEqual(309 / 3000, figures.legs_per_needed)
        self.assertAlmostEqual(0.1, figures.processor_share)
        self.assertAlmostEqual(0.999, figures.total.coverage)
        self.assertAlmostEqual(0.99, figures.within_share)
        self.assertAlmostEqual(10.0, figures.total.p50_ms, delta=0.1)
        self.assertAlmostEqual(200.0, figures.total.p999_ms, delta=1.0)

    def test_move_is_not_an_extra_leg(self):
        legs = {"move_after_leg_refused": 30.0, "probe_after_cut_off": 6.0}
        figures = make_figures("x", make_result([10.0] * 100), **legs)
        self.assertAlmostEqual(0.05, figures.extra_share)
        self.assertAlmostEqual(345 / 3000, figures.legs_per_needed)

    def test_refused_requests_count_as_offered(self):
        figures = make_figures("x", make_result([10.0] * 30, refused=10))
        self.assertEqual((40, 30, 10), self.counts(figures))
        self.assertEqual(3.0, figures.goodput_per_s)

    def counts(self, figures):
        total = figures.total
        return total.offered, total.whole, total.refused


class TargetTests(testtools.TestCase):
    def check(self, slow_ms=14.0, lost=0, refused=0, wrong=0, violations=0):
        base_result = make_result([10.0] * 100)
        loaded = make_result([14.0] * 100, refused=refused)
        figures = {
            cases.NO_FAULTS: make_figures(cases.NO_FAULTS, base_result, wrong=wrong),
            cases.STRAGGLERS: make_figures(
                cases.STRAGGLERS, make_result([slow_ms] * 100)
            ),
            cases.LOST_SEARCHERS: make_figures(
                cases.LOST_SEARCHERS, make_result([9.0], missing=lost)
            ),
            cases.HALF_LOAD: make_figures(cases.HALF_LOAD, base_result),
            cases.OVERLOAD: make_figures(cases.OVERLOAD, loaded, violations=violations),
        }
        return {item.name: item.is_met for item in check_targets(figures, 10.0)}

    def missed_targets(self, **fields):
        return [name for name, is_met in self.check(**fields).items() if not is_met]

    def test_all_targets_are_met(self):
        self.assertEqual([], self.missed_targets())

    def test_each_target_can_be_missed(self):
        self.assertEqual(
            ["p99, stragglers / all well"], self.missed_targets(slow_ms=16.0)
        )
        self.assertEqual(["coverage, replica lost"], self.missed_targets(lost=1))
        self.assertEqual(
            ["urgent whole answers, overload"], self.missed_targets(refused=1)
        )
        self.assertEqual(
            ["wrong answers among those compared"], self.missed_targets(wrong=1)
        )
        self.assertEqual(
            ["connections beyond a limit"], self.missed_targets(violations=1)
        )


class ComparisonTests(testtools.TestCase):
    def test_answers_are_compared_record_by_record(self):
        dataset = build_deployment("demo", 12000).datasets_by_team["alert-desk"]
        query = {"suburb": "Bayswater"}
        records = [
            {"record_id": item.record_id, "fields": dict(item.fields)}
            for item in plain_scan(dataset, 1, query)
        ]
        self.assertTrue(matches_scan(dataset, self.make_sample(query, records)))
        self.assertFalse(matches_scan(dataset, self.make_sample(query, records[1:])))
        records[0]["fields"]["revision"] = "9"
        self.assertFalse(matches_scan(dataset, self.make_sample(query, records)))

    def make_sample(self, query, records):
        answer = {"snapshot": 1, "coverage": {"missing": []}, "records": records}
        body = msgspec.json.encode(answer).decode()
        return SampledAnswer("alert-desk", [], query, body)
