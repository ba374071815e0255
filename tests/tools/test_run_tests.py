from __future__ import annotations

import contextlib
import io
import unittest

import testtools

from tools.run_tests import report


class Cases:
    """Holds cases where discovery does not look for them."""

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
            code = report(result, {test_id: f"{test_id} | why" for test_id in known})
        return code, output.getvalue().splitlines()

    def test_counts_of_passed_and_failed(self):
        self.assertEqual((0, "1 passed, 0 failed"), self.last(Cases.Passing))
        self.assertEqual(
            (1, "1 passed, 1 failed"), self.last(Cases.Passing, Cases.Failing)
        )

    def test_failure_of_a_class_counts_no_test_as_passed(self):
        self.assertEqual((1, "0 passed, 1 failed"), self.last(Cases.FailingSetUp))

    def test_known_failures_are_passed_over_and_printed(self):
        known = Cases.Failing("test_one").id()
        code, lines = self.report(Cases.Passing, Cases.Failing, known=[known])
        self.assertEqual((0, "1 passed, 0 failed"), (code, lines[-1]))
        self.assertIn(f"known red: {known} | why", lines)

    def last(self, *cases):
        code, lines = self.report(*cases)
        return code, lines[-1]
