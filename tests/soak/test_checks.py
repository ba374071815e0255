from __future__ import annotations

import testtools

from almondspool.standins.hosted_searchers import build_records
from soak import checks
from soak.checks import TOP_K, Attempt, Drain
from soak.faults import plan_faults

SHARDS = ("s0", "s1", "s2", "s3")


def sweep(request_id="r1", services=SHARDS, **changes):
    records = [each for name in services for each in build_records(name, request_id)]
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


def run(request_id="b1", replica="x", at=1.0):
    return {"request": request_id, "replica": replica, "at": at}


class ChecksCatchTests(testtools.TestCase):
    """Each check finds the one fault that is put into its input."""

    def wrong(self, attempt):
        return len(checks.wrong_answers([attempt], SHARDS))

    def test_right_answers_are_not_found(self):
        self.assertEqual(0, self.wrong(sweep()))
        self.assertEqual(0, self.wrong(sweep(services=SHARDS[:2])))

    def test_part_of_another_request(self):
        stamps = ("s0.other.x", *(f"{name}.r1.x" for name in SHARDS[1:]))
        self.assertEqual(1, self.wrong(sweep(stamps=stamps)))

    def test_part_named_twice(self):
        stamps = ("s0.r1.x", "s0.r1.y", "s2.r1.x", "s3.r1.x")
        self.assertEqual(1, self.wrong(sweep(stamps=stamps)))

    def test_missing_shard_that_is_not_said(self):
        self.assertEqual(1, self.wrong(sweep(services=SHARDS[:3], missing=0)))

    def test_less_than_the_least_coverage(self):
        self.assertEqual(1, self.wrong(sweep(services=SHARDS[:1])))

    def test_record_left_out(self):
        body = sweep().body
        self.assertEqual(1, self.wrong(sweep(body=body[16:])))

    def test_answer_of_another_request(self):
        attempt = Attempt("r1", "fetch", "i0", 1.0, 200, signature="records.r2.x")
        self.assertEqual(1, self.wrong(attempt))

    def test_body_that_is_cut(self):
        body = b"".join(build_records("records", "r1"))
        attempt = Attempt("r1", "fetch", "i0", 1.0, 200, signature="records.r1.x")
        self.assertEqual(0, self.wrong(attempt._replace(body=body)))
        self.assertEqual(1, self.wrong(attempt._replace(body=body[:-1])))

    def test_booking_that_ran_twice(self):
        book = Attempt("b1", "book", "i0", 1.0, 502)
        self.assertEqual([], checks.doubled_bookings([run()], [book]))
        self.assertEqual(["b1"], checks.doubled_bookings([run(), run()], [book]))

    def test_booking_that_ran_though_refused(self):
        book = Attempt("b1", "book", "i0", 1.0, 503)
        self.assertEqual(["b1"], checks.run_though_refused([run()], [book]))
        failed = book._replace(status=502)
        self.assertEqual([], checks.run_though_refused([run()], [failed]))

    def test_work_after_drain(self):
        drain = Drain("x", 10.0, 60.0)
        self.assertEqual([], checks.work_after_drain([run(at=12.0)], [drain]))
        self.assertEqual(1, len(checks.work_after_drain([run(at=14.0)], [drain])))

    def test_configuration_that_is_set_back(self):
        seen = Attempt("p", "probe", "i0", 1.0, 200, incarnation=1, version=4)
        gone = seen._replace(sent_at=2.0, status=404)
        self.assertEqual([], checks.set_back_configurations([gone]))
        self.assertEqual(1, len(checks.set_back_configurations([seen, gone])))
        restarted = gone._replace(incarnation=2)
        self.assertEqual([], checks.set_back_configurations([seen, restarted]))

    def test_requests_unserved_after_the_last_fault(self):
        good, bad = sweep(), sweep(status=503)
        self.assertEqual([], checks.unrecovered([good] * 19 + [bad]))
        self.assertEqual(1, len(checks.unrecovered([good] * 9 + [bad])))
        self.assertEqual(1, len(checks.unrecovered([])))


class FaultPlanTests(testtools.TestCase):
    def test_same_seed_same_faults(self):
        self.assertEqual(plan_faults(5, 20.0), plan_faults(5, 20.0))
        self.assertNotEqual(plan_faults(5, 20.0), plan_faults(6, 20.0))
