"""Runs one window of load against one site and gathers its figures."""

from __future__ import annotations

import subprocess
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from almondspool.standins.records import plain_scan
from bench.figures import Window, WindowFigures, window_figures
from bench.traffic import KeptAnswer, LoadPlan, LoadResult, RequestClass

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.standins.records import Dataset
    from bench.sites import Site

PRESENT = "present"
BASELINE = "baseline"
KEPT_PER_WINDOW = 16
LOAD_GRACE_S = 30.0
CRASH_PREFIX = "crash"
WITHIN_MS = 160.0


class Step(NamedTuple):
    """Something done to the site during a window.

    Attributes:
        at: When, as a share of the window's duration.
        act: What.
    """

    at: float
    act: Callable[[], None]


class LoadError(Exception):
    """A load generator failed."""


class Runner:
    """Drives the windows of one site."""

    def __init__(self, site: Site, variant: str, duration_s: float) -> None:
        """Run windows of a duration in seconds."""
        self.site = site
        self.variant = variant
        self.duration_s = duration_s
        self._windows = 0

    def run(
        self,
        case: str,
        rate_per_s: float,
        classes: Sequence[RequestClass],
        *,
        steps: Sequence[Step] = (),
        crashing: RequestClass | None = None,
        crash_rate_per_s: float = 0.0,
        duration_s: float = 0.0,
    ) -> WindowFigures:
        """Run one window.

        Args:
            case: Its name; equal cases get equal arrivals in every variant.
            rate_per_s: Offered rate.
            classes: What is sent.
            steps: Changes to the site, in order of time.
            crashing: A class sent by a second generator.
            crash_rate_per_s: Its rate.
            duration_s: Another duration than the runner's; 0 for the same.
        """
        duration_s = duration_s or self.duration_s
        plans = [self._plan(case, rate_per_s, classes, duration_s)]
        if crashing is not None:
            plan = self._plan(case, crash_rate_per_s, [crashing], duration_s)
            prefix = f"{CRASH_PREFIX}-{plan.request_prefix}"
            plans.append(msgspec.structs.replace(plan, request_prefix=prefix))
        self.site.clear_journals()
        before = self.site.counts()
        loads = run_loads(plans, steps)
        after = self.site.counts()
        wrong = sum(not self._is_right(kept) for load in loads for kept in load.kept)
        window = Window(
            case=case,
            variant=self.variant,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            instances=len(self.site.addresses()),
            loads=loads,
            before=before,
            after=after,
            connections=self.site.connections(),
            wrong=wrong,
            within_ms=WITHIN_MS,
        )
        if crashing is not None:
            window.crash_runs = self.site.runs_by_request_prefix(CRASH_PREFIX)
        return window_figures(window)

    def _plan(
        self,
        case: str,
        rate_per_s: float,
        classes: Sequence[RequestClass],
        duration_s: float,
    ) -> LoadPlan:
        self._windows += 1
        expected = rate_per_s * duration_s
        return LoadPlan(
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            seed=sum(case.encode()),
            addresses=self.site.addresses(),
            zones=list(self.site.cluster.deployment.zones),
            classes=list(classes),
            keep_one_in=max(1, int(expected / KEPT_PER_WINDOW)),
            request_prefix=f"w{self._windows}",
        )

    def _is_right(self, kept: KeptAnswer) -> bool:
        dataset = self.site.cluster.deployment.datasets_by_team[kept.team]
        return equals_scan(dataset, kept)


def equals_scan(dataset: Dataset, kept: KeptAnswer) -> bool:
    """Return whether an answer equals a plain scan of the shards it covers."""
    answer = msgspec.json.decode(kept.body)
    missing = [item["shard"] for item in answer["coverage"]["missing"]]
    expected = plain_scan(
        dataset,
        answer["snapshot"],
        kept.query,
        services=kept.services,
        missing_shards=missing,
    )
    found = [(item["record_id"], item["fields"]) for item in answer["records"]]
    return found == [(record.record_id, record.fields) for record in expected]


def run_loads(plans: Sequence[LoadPlan], steps: Sequence[Step]) -> list[LoadResult]:
    """Run a generator for each plan at the same time and return their results.

    Raises:
        LoadError: If a generator ends without a result.
    """
    children = [_start_generator(plan) for plan in plans]
    try:
        _take_steps(steps, plans[0].duration_s)
        limit_s = plans[0].duration_s + LOAD_GRACE_S
        outputs = [child.communicate(timeout=limit_s) for child in children]
    finally:
        for child in children:
            child.kill()
            child.wait()
    results = []
    for output, errors in outputs:
        if not output:
            raise LoadError(errors.decode(errors="replace")[-2000:])
        results.append(msgspec.json.decode(output, type=LoadResult))
    return results


def _start_generator(plan: LoadPlan) -> subprocess.Popen[bytes]:
    child = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-m", "bench.load"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    child.stdin.write(msgspec.json.encode(plan) + b"\n")
    child.stdin.flush()
    child.stdin.close()
    child.stdin = None
    return child


def _take_steps(steps: Sequence[Step], duration_s: float) -> None:
    start = time.monotonic()
    for step in steps:
        time.sleep(max(0.0, start + step.at * duration_s - time.monotonic()))
        step.act()
