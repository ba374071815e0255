"""Runs groups of test modules in parallel, each in a process of its own."""

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
        failed_ids: Ids of the tests, classes and jobs that failed.
    """

    passed: int
    skipped: int
    failed_ids: tuple[str, ...]


def outcome_of(result: unittest.TestResult) -> Outcome:
    """Return the outcome of a finished run."""
    failures = [test for test, _ in result.failures + result.errors]
    failed_ids = {test.id() for test in (*failures, *result.unexpectedSuccesses)}
    failed_tests = {
        test.id() for test in failures if isinstance(test, unittest.TestCase)
    }
    passed = result.testsRun - len(failed_tests) - len(result.skipped)
    return Outcome(passed, len(result.skipped), tuple(sorted(failed_ids)))


def write_outcome(path: pathlib.Path, outcome: Outcome) -> None:
    """Write an outcome as JSON for the parent process."""
    path.write_bytes(msgspec.json.encode(outcome))


def run_jobs(jobs: Iterable[Sequence[str]], workers: int = WORKERS) -> Outcome:
    """Run groups of modules in worker threads and print the output of each.

    Args:
        jobs: Dotted names of the modules of each group.
        workers: Number of groups that run at a time, each with its own port range.
    """
    ports: queue.SimpleQueue[str] = queue.SimpleQueue()
    ports_per_worker = (PORT_LIMIT - MIN_PORT) // workers
    for worker in range(workers):
        start = MIN_PORT + worker * ports_per_worker
        ports.put(format_ports(range(start, start + ports_per_worker)))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        outcomes = list(pool.map(lambda names: _run_job(names, ports), jobs))
    return Outcome(
        sum(outcome.passed for outcome in outcomes),
        sum(outcome.skipped for outcome in outcomes),
        tuple(test_id for outcome in outcomes for test_id in outcome.failed_ids),
    )


def _run_job(names: Sequence[str], ports: queue.SimpleQueue[str]) -> Outcome:
    worker_ports = ports.get()
    try:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "outcome.json"
            return _run_modules(names, worker_ports, path)
    finally:
        ports.put(worker_ports)


def _run_modules(names: Sequence[str], ports: str, path: pathlib.Path) -> Outcome:
    command = [sys.executable, "-m", "tools.run_tests", f"--outcome={path}", *names]
    completed = subprocess.run(
        command,
        env={**os.environ, PORTS_VARIABLE: ports},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    job_name = names[0] if len(names) == 1 else f"{len(names)} modules"
    print(f"== {job_name}\n{completed.stdout}", flush=True)
    if not path.exists():
        return Outcome(0, 0, (f"{job_name}: ended with {completed.returncode}",))
    return msgspec.json.decode(path.read_bytes(), type=Outcome)
