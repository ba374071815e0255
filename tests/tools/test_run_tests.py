from __future__ import annotations

import contextlib
import io
import unittest

import testtools

from tools.parallel_tests import Outcome, make_outcome, run_jobs
from tools.run_tests import ROOT, plan_jobs, report


class Cases:
    """Test cases nested in a class, so that test discovery does not find them."""

    class Passing(unittest.TestCase):
        def test_one(self):
            pass

    class Failing(unittest.TestCase):
        def test_one(self):
            self.fail("red")

    class FailingSetUp(Passing):
        @classmethod
        def setUpClass(cls):
            raise AssertionError("no cluster")


class ReportTests(testtools.TestCase):
    def report(self, *cases, known=()):
        result = unittest.TestResult()
        load = unittest.defaultTestLoader.loadTestsFromTestCase
        unittest.TestSuite(map(load, cases)).run(result)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = report(
                make_outcome(result), {test_id: f"{test_id} | why" for test_id in known}
            )
        return code, output.getvalue().splitlines()

    def test_counts_of_passed_and_failed(self):
        self.assertEqual(
            (0, "1 passed, 0 failed"), self.exit_code_and_counts(Cases.Passing)
        )
        self.assertEqual(
            (1, "1 passed, 1 failed"),
            self.exit_code_and_counts(Cases.Passing, Cases.Failing),
        )

    def test_class_set_up_failure_counts_no_test_as_passed(self):
        self.assertEqual(
            (1, "0 passed, 1 failed"), self.exit_code_and_counts(Cases.FailingSetUp)
        )

    def test_known_failures_are_tolerated_and_printed(self):
        known = Cases.Failing("test_one").id()
        code, lines = self.report(Cases.Passing, Cases.Failing, known=[known])
        self.assertEqual((0, "1 passed, 0 failed"), (code, lines[-1]))
        self.assertIn(f"known red: {known} | why", lines)

    def exit_code_and_counts(self, *cases):
        code, lines = self.report(*cases)
        return code, lines[-1]


class PlanJobsTests(testtools.TestCase):
    def test_every_module_is_planned_once(self):
        planned = [name for names in plan_jobs() for name in names]
        expected = [path.stem for path in (ROOT / "tests").rglob("test_*.py")]
        self.assertEqual(len(set(planned)), len(planned))
        self.assertEqual(
            sorted(expected), sorted(name.split(".")[-1] for name in planned)
        )

    def run_quietly(self, *jobs):
        with contextlib.redirect_stdout(io.StringIO()):
            return run_jobs(jobs, workers=2)

    def test_outcomes_of_all_jobs_are_added_up(self):
        outcome = self.run_quietly(["tests.test_codes"], ["tests.test_logs"])
        single = self.run_quietly(["tests.test_codes", "tests.test_logs"])
        self.assertEqual(single, outcome)
        self.assertGreater(outcome.passed, 1)
        self.assertEqual((), outcome.failed_ids)

    def test_a_job_that_cannot_run_is_a_failure(self):
        outcome = self.run_quietly(["tests.absent"])
        self.assertEqual(1, len(outcome.failed_ids))

    def test_a_job_that_ends_without_an_outcome_is_a_failure(self):
        outcome = self.run_quietly(["tests.tools.exiting"])
        failed_ids = ("tests.tools.exiting: no outcome, exit code 3",)
        self.assertEqual(Outcome(0, 0, failed_ids), outcome)
