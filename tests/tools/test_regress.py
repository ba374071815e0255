from __future__ import annotations

import contextlib
import io
import pathlib
import stat
import tempfile

import testtools

from tools import regress
from tools.regress import (
    BOUND_BY_SITE,
    ScoreResult,
    SiteBound,
    find_problem,
    main,
    read_score,
)

OUTPUT = """built in 0.2 s; 30603 lines in 258 files
7 days, 2 at a time
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 6/34   0.81  0.901  0.986   0.000  0.000  worst windows 0.96
trouble-1               6/34   1.00  0.701  0.927   0.001  0.015  worst windows 0.48
fresh-ac7e              6/34   1.00  0.111  0.929   0.031  0.011  worst windows 0.38
{gate}
"""
SITE = "kdr-search"


class ReadScoreTests(testtools.TestCase):
    def test_mean_of_the_standard_days(self):
        result = read_score(OUTPUT.format(gate="GATE passed"))
        self.assertEqual((True, 0.801), (result.is_gate_passed, round(result.worth, 3)))

    def test_failed_gate_and_no_days(self):
        self.assertFalse(read_score(OUTPUT.format(gate="GATE failed")).is_gate_passed)
        self.assertEqual(ScoreResult(False, None), read_score("it does not build"))


class FindProblemTests(testtools.TestCase):
    def test_bounds(self):
        bound = SiteBound("a.toml", 0.5)
        self.assertEqual("", find_problem(ScoreResult(True, 0.48), bound))
        self.assertIn("fell", find_problem(ScoreResult(True, 0.46), bound))
        self.assertIn("gate", find_problem(ScoreResult(False, 0.9), bound))
        self.assertIn("no day", find_problem(ScoreResult(True, None), bound))
        self.assertEqual("", find_problem(ScoreResult(True, 0.1), SiteBound("a.toml")))
        self.assertIn(
            "gate", find_problem(ScoreResult(False, 0.9), SiteBound("a.toml"))
        )


class MainTests(testtools.TestCase):
    def run_main(self, *argv):
        with contextlib.redirect_stdout(io.StringIO()) as output:
            code = main(list(argv))
        return code, output.getvalue()

    def make_bench(self, text):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "bench"
        path.write_text(f"#!/bin/sh\ncat <<'END'\n{text}\nEND\n")
        path.chmod(path.stat().st_mode | stat.S_IXUSR)
        return str(path)

    def test_missing_bench_is_reported_as_not_run(self):
        for argv in ((), ("/nowhere/bench",), ("/nowhere/bench", "/sites")):
            code, output = self.run_main(*argv)
            self.assertEqual(regress.EXIT_NOT_RUN, code)
            self.assertIn("not run", output)

    def test_unknown_site_is_not_run(self):
        bench_path = self.make_bench("")
        self.assertEqual(
            regress.EXIT_NOT_RUN, self.run_main(bench_path, "/sites", "nowhere")[0]
        )

    def test_output_line_for_each_site_and_exit_code_of_a_failure(self):
        passing_bench = self.make_bench(OUTPUT.format(gate="GATE passed"))
        code, output = self.run_main(passing_bench, "/sites", SITE)
        self.assertEqual((0, 1), (code, len(output.splitlines())))
        self.assertIn("holds", output)
        failing_bench = self.make_bench(OUTPUT.format(gate="GATE failed"))
        code, output = self.run_main(failing_bench, "/sites")
        self.assertEqual(regress.EXIT_FAILED, code)
        self.assertEqual(len(BOUND_BY_SITE), len(output.splitlines()))
