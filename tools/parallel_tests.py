"""Runs test modules in parallel.

A job is a group of test modules that run one after the other in a process of their own.
"""

from __future__ import annotations

import concurrent.futures
import os
import pathlib
import queue
import subprocess
import sys
import tempfile
import unittest
from typing import TYPE_CHECKING

import msgspec

from almondspool.standins.ports import (
    MIN_PORT,
    PORT_LIMIT,
    PORTS_VARIABLE,
    format_ports,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

WORKERS = 3


class Outcome(msgspec.Struct, frozen=True):
    """Result of a test run.

    Attributes:
        passed: Number of tests that passed.
        skipped: Number of tests that were skipped.
        failed_ids: Ids of the tests and test classes that failed. A job that wrote no
            outcome is included with its name and exit code.
    """

    passed: int
    skipped: int
    failed_ids: tuple[str, ...]


def make_outcome(result: unittest.TestResult) -> Outcome:
    """Return the outcome of a finished run.

    A failed class set-up counts as a failure, but not as a test.
    """
    failures = [test for test, _ in result.failures + result.errors]
    failed_ids = {test.id() for test in (*failures, *result.unexpectedSuccesses)}
    failed_test_ids = {
        test.id() for test in failures if isinstance(test, unittest.TestCase)
    }
    passed = result.testsRun - len(failed_test_ids) - len(result.skipped)
    return Outcome(passed, len(result.skipped), tuple(sorted(failed_ids)))


def write_outcome(path: pathlib.Path, outcome: Outcome) -> None:
    """Write an outcome as JSON for the parent process."""
    path.write_bytes(msgspec.json.encode(outcome))


def run_jobs(jobs: Iterable[Sequence[str]], workers: int = WORKERS) -> Outcome:
    """Run jobs in parallel, print the output of each and return the joint outcome.

    Args:
        jobs: Dotted names of the modules of each job.
        workers: Number of jobs that run at a time, each with its own port range.
    """
    free_port_ranges: queue.SimpleQueue[str] = queue.SimpleQueue()
    ports_per_worker = (PORT_LIMIT - MIN_PORT) // workers
    for worker in range(workers):
        start = MIN_PORT + worker * ports_per_worker
        free_port_ranges.put(format_ports(range(start, start + ports_per_worker)))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        outcomes = list(
            pool.map(lambda modules: _run_job(modules, free_port_ranges), jobs)
        )
    return Outcome(
        sum(outcome.passed for outcome in outcomes),
        sum(outcome.skipped for outcome in outcomes),
        tuple(test_id for outcome in outcomes for test_id in outcome.failed_ids),
    )


def _run_job(
    modules: Sequence[str], free_port_ranges: queue.SimpleQueue[str]
) -> Outcome:
    port_range = free_port_ranges.get()
    try:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "outcome.json"
            return _run_modules(modules, port_range, path)
    finally:
        free_port_ranges.put(port_range)


def _run_modules(
    modules: Sequence[str], port_range: str, outcome_path: pathlib.Path
) -> Outcome:
    command = [
        sys.executable,
        "-m",
        "tools.run_tests",
        f"--outcome={outcome_path}",
        *modules,
    ]
    completed = subprocess.run(
        command,
        env={**os.environ, PORTS_VARIABLE: port_range},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    job_name = modules[0] if len(modules) == 1 else f"{len(modules)} modules"
    print(f"== {job_name}\n{completed.stdout}", flush=True)
    if not outcome_path.exists():
        return Outcome(
            0, 0, (f"{job_name}: no outcome, exit code {completed.returncode}",)
        )
    return msgspec.json.decode(outcome_path.read_bytes(), type=Outcome)
