from __future__ import annotations

import pathlib
import tempfile

import testtools

from soak.run import SoakRun

SEEDS_PATH = pathlib.Path(__file__).resolve().parents[2] / "soak" / "seeds.txt"
DURATION_S = 8.0


class SoakTests(testtools.TestCase):
    """A short run of one seed; checks guarantees that hold at any machine speed."""

    def test_guarantees_hold_under_the_faults_of_a_seed(self):
        with tempfile.TemporaryDirectory() as directory:
            run = SoakRun(seed=7, duration_s=DURATION_S)
            problems = run.run_and_keep_logs(pathlib.Path(directory))
            # The recovery time depends on the speed of the machine, so only manual runs
            # check it.
            broken = [
                problem
                for problem in problems
                if not problem.startswith("not recovered")
            ]
            self.assertEqual([], broken)
            self.assertRegex(run.summary(), r"[1-9]\d* faults, [1-9]\d*/")

    def test_every_recorded_seed_has_a_cause(self):
        lines = SEEDS_PATH.read_text().splitlines()
        for line in lines:
            if line and not line.startswith("#"):
                self.assertRegex(line, r"^\d+ \| .+ \| .+")
