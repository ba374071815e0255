"""Test runner that tolerates the known failures, which KNOWN-RED.txt lists."""

from __future__ import annotations

import pathlib
import sys
import unittest

from tools.parallel_tests import Outcome, make_outcome, run_jobs, write_outcome

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"
PROCESS_TESTS_DIR = "tests/processes"
OUTCOME_FLAG = "--outcome="


def load_known_red(path: pathlib.Path = KNOWN_RED_PATH) -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test id.

    Args:
        path: File with one ``test id | command | seen | issue`` entry on each line.
    """
    lines = path.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def main(argv: list[str]) -> int:
    """Run the tests named in argv, or all of them, and print the counts.

    Args:
        argv: Dotted test names, run in this process; empty for all tests, which run
            in parallel. ``--outcome=PATH`` writes the outcome to that file.

    Returns:
        The exit code: 0 if every failure is a known one, else 1.
    """
    names = [name for name in argv if not name.startswith(OUTCOME_FLAG)]
    outcome = run_named(names) if names else run_jobs(plan_jobs())
    for argument in argv:
        if argument.startswith(OUTCOME_FLAG):
            write_outcome(pathlib.Path(argument.removeprefix(OUTCOME_FLAG)), outcome)
    return report(outcome, load_known_red())


def run_named(names: list[str]) -> Outcome:
    """Run the tests with these dotted names in this process."""
    suite = unittest.TestLoader().loadTestsFromNames(names)
    return make_outcome(unittest.TextTestRunner(verbosity=1).run(suite))


def plan_jobs(root: pathlib.Path = ROOT) -> list[tuple[str, ...]]:
    """Return the modules of each job, for all tests.

    Each module of process tests is a job of its own; all others form one job.
    """
    paths = sorted((root / "tests").rglob("test_*.py"))
    process_paths = [path for path in paths if path.parent == root / PROCESS_TESTS_DIR]
    other_paths = [path for path in paths if path not in process_paths]
    jobs = [other_paths, *([path] for path in process_paths)]
    return [
        tuple(_module_name(root, path) for path in job_paths)
        for job_paths in jobs
        if job_paths
    ]


def _module_name(root: pathlib.Path, path: pathlib.Path) -> str:
    return ".".join(path.relative_to(root).with_suffix("").parts)


def report(outcome: Outcome, known_red_by_id: dict[str, str]) -> int:
    """Print the summary of a run and return the exit code.

    Args:
        outcome: Result of the run.
        known_red_by_id: Lines of KNOWN-RED.txt by test id.

    Returns:
        0 if every failure is a known one, else 1.
    """
    failed_ids = set(outcome.failed_ids)
    known_failed_ids = failed_ids & known_red_by_id.keys()
    for test_id in sorted(known_failed_ids):
        print(f"known red: {known_red_by_id[test_id]}")
    failure_count = len(failed_ids - known_failed_ids)
    print(f"known red passed over: {len(known_failed_ids)}, skipped: {outcome.skipped}")
    print(f"{outcome.passed} passed, {failure_count} failed")
    return 0 if failure_count == 0 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
