"""Runner of measured windows of load.

A window is a fixed period in which requests of given classes arrive at a given rate;
figures are computed for each window.
"""

from __future__ import annotations

import subprocess
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from almondspool.standins.records import plain_scan
from bench.figures import WindowFigures, WindowMeasurements, compute_window_figures
from bench.traffic import LoadPlan, LoadResult, RequestClass, SampledAnswer

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.standins.records import Dataset
    from bench.sites import Site

# Variants of the settings of the daemons; ``bench.__main__`` defines them.
PRESENT = "present"
BASELINE = "baseline"
# Approximate number of requests of a generator whose answers are compared with a plain
# scan.
SAMPLES_PER_WINDOW = 16
# Time beyond the window's duration that a run waits for the result of a generator.
GENERATOR_GRACE_S = 30.0
CRASHING_REQUEST_ID_PREFIX = "crash"
WIDE_LATENCY_BOUND_MS = 160.0


class ScheduledChange(NamedTuple):
    """Change to the site under load, at a fixed time within a window.

    Attributes:
        at_share: Time of the change, as a share of the window's duration.
        apply: Makes the change.
    """

    at_share: float
    apply: Callable[[], None]


class GeneratorError(Exception):
    """Raised when a load generator ends without a result."""


class WindowRunner:
    """Runs windows of load against one site.

    Attributes:
        site: Site that receives the load.
        variant: PRESENT or BASELINE, for the figures.
        duration_s: Default duration of a window, in seconds.
    """

    def __init__(self, site: Site, variant: str, duration_s: float) -> None:
        """Create a runner; the class describes the arguments."""
        self.site = site
        self.variant = variant
        self.duration_s = duration_s
        self._plan_count = 0

    def run(
        self,
        case: str,
        rate_per_s: float,
        classes: Sequence[RequestClass],
        *,
        changes: Sequence[ScheduledChange] = (),
        crashing_class: RequestClass | None = None,
        crashing_rate_per_s: float = 0.0,
        duration_s: float = 0.0,
    ) -> WindowFigures:
        """Run one window and return its figures.

        Args:
            case: Name of the case, which determines the seed: the arrivals are the
                same in every variant.
            rate_per_s: Offered rate, in requests per second.
            classes: Classes of the requests to send.
            changes: Changes to the site, in order of time.
            crashing_class: Class of the crashing request, sent by a second generator.
            crashing_rate_per_s: Rate of the crashing request, in requests per second.
            duration_s: Duration of this window, in seconds; 0 for the default.
        """
        duration_s = duration_s or self.duration_s
        plans = [self._make_plan(case, rate_per_s, classes, duration_s)]
        if crashing_class is not None:
            plan = self._make_plan(
                case, crashing_rate_per_s, [crashing_class], duration_s
            )
            prefix = f"{CRASHING_REQUEST_ID_PREFIX}-{plan.request_prefix}"
            plans.append(msgspec.structs.replace(plan, request_prefix=prefix))
        self.site.clear_journals()
        before = self.site.counts()
        load_results = run_generators(plans, changes)
        after = self.site.counts()
        wrong = sum(
            not self._is_correct(sample)
            for result in load_results
            for sample in result.sampled_answers
        )
        window = WindowMeasurements(
            case=case,
            variant=self.variant,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            instances=len(self.site.addresses()),
            load_results=load_results,
            before=before,
            after=after,
            connections=self.site.connections(),
            wrong=wrong,
            latency_bound_ms=WIDE_LATENCY_BOUND_MS,
        )
        if crashing_class is not None:
            window.crash_runs = self.site.count_runs_by_request_prefix(
                CRASHING_REQUEST_ID_PREFIX
            )
        return compute_window_figures(window)

    def _make_plan(
        self,
        case: str,
        rate_per_s: float,
        classes: Sequence[RequestClass],
        duration_s: float,
    ) -> LoadPlan:
        self._plan_count += 1
        expected_requests = rate_per_s * duration_s
        return LoadPlan(
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            seed=sum(case.encode()),
            addresses=self.site.addresses(),
            zones=list(self.site.cluster.deployment.zones),
            classes=list(classes),
            sampling_interval=max(1, int(expected_requests / SAMPLES_PER_WINDOW)),
            request_prefix=f"w{self._plan_count}",
        )

    def _is_correct(self, sample: SampledAnswer) -> bool:
        dataset = self.site.cluster.deployment.datasets_by_team[sample.team]
        return matches_scan(dataset, sample)


def matches_scan(dataset: Dataset, sample: SampledAnswer) -> bool:
    """Return whether an answer has the records of a plain scan of the same shards."""
    answer = msgspec.json.decode(sample.body)
    missing_shards = [item["shard"] for item in answer["coverage"]["missing"]]
    expected = plain_scan(
        dataset,
        answer["snapshot"],
        sample.query,
        services=sample.services,
        missing_shards=missing_shards,
    )
    found = [(item["record_id"], item["fields"]) for item in answer["records"]]
    return found == [(record.record_id, record.fields) for record in expected]


def run_generators(
    plans: Sequence[LoadPlan], changes: Sequence[ScheduledChange]
) -> list[LoadResult]:
    """Run a generator process for each plan in parallel and return the results.

    The changes are applied at their times within the first plan's duration.

    Raises:
        GeneratorError: If a generator ends without a result.
    """
    children = [_start_generator(plan) for plan in plans]
    try:
        _apply_changes(changes, plans[0].duration_s)
        timeout_s = plans[0].duration_s + GENERATOR_GRACE_S
        outputs = [child.communicate(timeout=timeout_s) for child in children]
    finally:
        for child in children:
            child.kill()
            child.wait()
    results = []
    for output, error_output in outputs:
        if not output:
            raise GeneratorError(error_output.decode(errors="replace")[-2000:])
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


def _apply_changes(changes: Sequence[ScheduledChange], duration_s: float) -> None:
    start = time.monotonic()
    for change in changes:
        time.sleep(max(0.0, start + change.at_share * duration_s - time.monotonic()))
        change.apply()
