from __future__ import annotations

import testtools

from almondspool.standins.hosted_searchers import build_records
from soak import checks
from soak.checks import TOP_K, Attempt, Drain, LimitedPeriod
from soak.faults import plan_faults

SHARDS = ("s0", "s1", "s2", "s3")


def make_sweep(request_id="r1", services=SHARDS, **changes):
    records = [
        record for name in services for record in build_records(name, request_id)
    ]
    attempt = Attempt(
        request_id,
        "sweep",
        "i0",
        1.0,
        200,
        tuple(f"{name}.{request_id}.x" for name in services),
        len(SHARDS) - len(services),
        body=b"".join(sorted(records, reverse=True)[:TOP_K]),
    )
    return attempt._replace(**changes)


def make_run(request_id="b1", replica_id="x", at=1.0, event="run"):
    return {"request": request_id, "replica": replica_id, "at": at, "event": event}


class CheckTests(testtools.TestCase):
    """Each check reports the one violation in its input."""

    def count_wrong(self, attempt):
        return len(checks.wrong_answers([attempt], SHARDS))

    def test_correct_answers_are_accepted(self):
        self.assertEqual(0, self.count_wrong(make_sweep()))
        self.assertEqual(0, self.count_wrong(make_sweep(services=SHARDS[:2])))

    def test_stamp_of_another_request(self):
        stamps = ("s0.other.x", *(f"{name}.r1.x" for name in SHARDS[1:]))
        self.assertEqual(1, self.count_wrong(make_sweep(stamps=stamps)))

    def test_service_stamped_twice(self):
        stamps = ("s0.r1.x", "s0.r1.y", "s2.r1.x", "s3.r1.x")
        self.assertEqual(1, self.count_wrong(make_sweep(stamps=stamps)))

    def test_missing_shard_that_is_not_reported(self):
        self.assertEqual(
            1, self.count_wrong(make_sweep(services=SHARDS[:3], missing_count=0))
        )

    def test_searcher_with_more_requests_than_its_limit(self):
        period = LimitedPeriod("x", 2.0, 100.0, 110.0)
        # 17 requests are allowed in 4 s.
        for count, expected in ((17, 0), (18, 1)):
            runs = [make_run(at=105.0 + 0.1 * number) for number in range(count)]
            self.assertEqual(expected, len(checks.exceeded_limits(runs, [period])))
            early = [make_run(at=100.0 + 0.1 * number) for number in range(count)]
            self.assertEqual([], checks.exceeded_limits(early, [period]))
            other = [run | {"replica": "y"} for run in runs]
            self.assertEqual([], checks.exceeded_limits(other, [period]))

    def test_coverage_below_the_minimum(self):
        self.assertEqual(1, self.count_wrong(make_sweep(services=SHARDS[:1])))

    def test_record_left_out(self):
        body = make_sweep().body
        self.assertEqual(1, self.count_wrong(make_sweep(body=body[16:])))

    def test_answer_of_another_request(self):
        attempt = Attempt("r1", "fetch", "i0", 1.0, 200, signature="records.r2.x")
        self.assertEqual(1, self.count_wrong(attempt))

    def test_truncated_body(self):
        body = b"".join(build_records("records", "r1"))
        attempt = Attempt("r1", "fetch", "i0", 1.0, 200, signature="records.r1.x")
        self.assertEqual(0, self.count_wrong(attempt._replace(body=body)))
        self.assertEqual(1, self.count_wrong(attempt._replace(body=body[:-1])))

    def test_booking_that_ran_twice(self):
        booking = Attempt("b1", "book", "i0", 1.0, 502)
        self.assertEqual([], checks.duplicate_bookings([make_run()], [booking]))
        self.assertEqual(
            ["b1"], checks.duplicate_bookings([make_run(), make_run()], [booking])
        )
        rejected = make_run(event="rejected")
        self.assertEqual(
            [], checks.duplicate_bookings([rejected, make_run()], [booking])
        )

    def test_booking_that_ran_despite_refusal(self):
        booking = Attempt("b1", "book", "i0", 1.0, 503)
        self.assertEqual(
            ["b1"], checks.bookings_run_despite_refusal([make_run()], [booking])
        )
        rejected = make_run(event="rejected")
        self.assertEqual([], checks.bookings_run_despite_refusal([rejected], [booking]))
        failed = booking._replace(status=502)
        self.assertEqual(
            [], checks.bookings_run_despite_refusal([make_run()], [failed])
        )

    def test_work_after_drain(self):
        drain = Drain("x", 10.0, 60.0)
        self.assertEqual([], checks.work_after_drain([make_run(at=12.0)], [drain]))
        self.assertEqual(1, len(checks.work_after_drain([make_run(at=14.0)], [drain])))

    def test_configuration_that_is_rolled_back(self):
        served = Attempt("p", "probe", "i0", 1.0, 200, incarnation=1, probed_version=4)
        not_found = served._replace(sent_at=2.0, status=404)
        self.assertEqual([], checks.configuration_rollbacks([not_found]))
        self.assertEqual(1, len(checks.configuration_rollbacks([served, not_found])))
        restarted = not_found._replace(incarnation=2)
        self.assertEqual([], checks.configuration_rollbacks([served, restarted]))

    def test_requests_unserved_after_the_last_fault(self):
        served, refused = make_sweep(), make_sweep(status=503)
        self.assertEqual([], checks.recovery_problems([served] * 19 + [refused]))
        self.assertEqual(1, len(checks.recovery_problems([served] * 9 + [refused])))
        self.assertEqual(1, len(checks.recovery_problems([])))


class FaultPlanTests(testtools.TestCase):
    def test_same_seed_same_faults(self):
        self.assertEqual(plan_faults(5, 20.0), plan_faults(5, 20.0))
        self.assertNotEqual(plan_faults(5, 20.0), plan_faults(6, 20.0))
