from __future__ import annotations

import testtools

from bench.traffic import LoadPlan, RequestClass, schedule_arrivals

REQUEST_CLASSES = [
    RequestClass("wide", "t", "c", 3, [{"street": "Low"}]),
    RequestClass("narrow", "t", "c", 1, [{"street": "High"}], services=["s"]),
]


def make_plan(**fields):
    values = {
        "rate_per_s": 100.0,
        "duration_s": 20.0,
        "seed": 5,
        "addresses": [],
        "zones": ["north", "south"],
        "classes": REQUEST_CLASSES,
    }
    return LoadPlan(**{**values, **fields})


class ScheduleTests(testtools.TestCase):
    def test_seed_determines_the_arrivals(self):
        self.assertEqual(
            list(schedule_arrivals(make_plan())), list(schedule_arrivals(make_plan()))
        )
        other = list(schedule_arrivals(make_plan(seed=6)))
        self.assertNotEqual(list(schedule_arrivals(make_plan())), other)

    def test_rate_and_weights_match_the_plan(self):
        arrivals = list(schedule_arrivals(make_plan()))
        self.assertAlmostEqual(2000, len(arrivals), delta=150)
        wide = sum(arrival.request_class.name == "wide" for arrival in arrivals)
        self.assertAlmostEqual(0.75, wide / len(arrivals), delta=0.05)
        due = [arrival.due_s for arrival in arrivals]
        self.assertEqual(sorted(due), due)

    def test_equal_intervals(self):
        plan = make_plan(rate_per_s=4.0, duration_s=1.1, is_poisson=False)
        due = [arrival.due_s for arrival in schedule_arrivals(plan)]
        self.assertEqual([0.25, 0.5, 0.75, 1.0], due)

    def test_rate_of_zero_has_no_arrivals(self):
        plan = make_plan(rate_per_s=0.0)
        self.assertEqual([], list(schedule_arrivals(plan)))
