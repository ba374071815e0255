"""Runs groups of test modules side by side, each in a process of its own."""

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
    """What a run of tests came to.

    Attributes:
        passed: Number of tests that passed.
        skipped: Number of tests that were skipped.
        failed_ids: Ids of the tests and classes that failed.
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
    """Write an outcome for the process that waits for it."""
    path.write_bytes(msgspec.json.encode(outcome))


def run_jobs(jobs: Iterable[Sequence[str]], workers: int = WORKERS) -> Outcome:
    """Run groups of modules, so many at a time, and print the output of each.

    Args:
        jobs: Dotted names of the modules of each group.
        workers: How many groups run at a time, each with its own range of ports.
    """
    ports: queue.SimpleQueue[str] = queue.SimpleQueue()
    share = (PORT_LIMIT - MIN_PORT) // workers
    for number in range(workers):
        start = MIN_PORT + number * share
        ports.put(format_ports(range(start, start + share)))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        outcomes = list(pool.map(lambda names: _run_job(names, ports), jobs))
    return Outcome(
        sum(outcome.passed for outcome in outcomes),
        sum(outcome.skipped for outcome in outcomes),
        tuple(test_id for outcome in outcomes for test_id in outcome.failed_ids),
    )


def _run_job(names: Sequence[str], ports: queue.SimpleQueue[str]) -> Outcome:
    own_ports = ports.get()
    try:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "outcome.json"
            return _run_modules(names, own_ports, path)
    finally:
        ports.put(own_ports)


def _run_modules(names: Sequence[str], ports: str, path: pathlib.Path) -> Outcome:
    command = [sys.executable, "-m", "tools.run_tests", f"--outcome={path}", *names]
    done = subprocess.run(
        command,
        env={**os.environ, PORTS_VARIABLE: ports},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    title = names[0] if len(names) == 1 else f"{len(names)} modules"
    print(f"== {title}\n{done.stdout}", flush=True)
    if not path.exists():
        return Outcome(0, 0, (f"{title}: ended with {done.returncode}",))
    return msgspec.json.decode(path.read_bytes(), type=Outcome)
