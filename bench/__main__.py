"""Benchmark of every case, on the present code and on the baseline."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING, NamedTuple

from absl import app, flags

from bench import cases
from bench.report import DeploymentReport, report_text, write_json, write_plot
from bench.sites import Site
from bench.targets import check_targets
from bench.windows import BASELINE, PRESENT, WindowRunner
from bench.workloads import PERTH, PRIORITY_BY_CALLER, TX_CENTRAL, WIDE, Workload

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bench.figures import WindowFigures

INSTANCES = 3
WIDE_INSTANCES = 9
SEARCHER_PROCESSES = 2
WIDE_SEARCHER_PROCESSES = 9
WARM_UP_S = 2.0
SNAPSHOTS = 2
SETTINGS_BY_VARIANT: dict[str, dict[str, object]] = {
    PRESENT: {},
    BASELINE: {"hedge_share": 0.0},
}


class Scale(NamedTuple):
    """Durations, rates and deployments of a run.

    Attributes:
        window_s: Duration of a window, in seconds.
        capacity_window_s: Duration of each window of the capacity search.
        wide_window_s: Duration of the wide case.
        rate_per_s: Rate of the everyday cases.
        wide_rate_per_s: Rate of the wide case.
        workloads: Workloads of the deployments on which every case runs.
    """

    window_s: float
    capacity_window_s: float
    wide_window_s: float
    rate_per_s: float
    wide_rate_per_s: float
    workloads: tuple[Workload, ...]


FULL = Scale(9.0, 3.0, 30.0, 60.0, 4.0, (PERTH, TX_CENTRAL))
QUICK = Scale(2.5, 1.5, 8.0, 60.0, 4.0, (PERTH,))


def run_deployment(workload: Workload, scale: Scale) -> DeploymentReport:
    """Run every case of a deployment, alternating present code and baseline."""
    with contextlib.ExitStack() as stack:
        runners = [
            WindowRunner(
                stack.enter_context(make_site(workload, variant)),
                variant,
                scale.window_s,
            )
            for variant in SETTINGS_BY_VARIANT
        ]
        for runner in runners:
            warm_up(runner, workload, scale.rate_per_s)
        windows: list[WindowFigures] = []
        capacity_per_s = run_loaded_cases(runners, workload, scale, windows)
        for case in cases.EVERYDAY_CASES:
            for runner in runners:
                windows.append(run_case(runner, workload, case, scale.rate_per_s))
    present = {item.case: item for item in windows if item.variant == PRESENT}
    return DeploymentReport(
        workload.deployment,
        INSTANCES,
        windows,
        capacity_per_s,
        check_targets(present, capacity_per_s),
    )


def run_case(
    runner: WindowRunner, workload: Workload, case: cases.Case, rate_per_s: float
) -> WindowFigures:
    """Run one case and print its main figures."""
    figures = case.run(runner, workload, rate_per_s)
    print_window(figures)
    return figures


def run_loaded_cases(
    runners: list[WindowRunner],
    workload: Workload,
    scale: Scale,
    windows: list[WindowFigures],
) -> float:
    """Find the present code's capacity, then run both variants at 0.5 and 1.3 of it."""
    for runner in runners:
        cases.slow_searchers(runner)
    capacity_per_s = cases.find_capacity(runners[0], workload, scale.capacity_window_s)
    print(f"capacity {capacity_per_s:.1f} requests a second", flush=True)
    for case, factor in (
        (cases.HALF_LOAD, cases.HALF_LOAD_FACTOR),
        (cases.OVERLOAD, cases.OVERLOAD_FACTOR),
    ):
        for runner in runners:
            figures = cases.run_loaded(runner, workload, case, capacity_per_s * factor)
            print_window(figures)
            windows.append(figures)
    for runner in runners:
        runner.site.set_faults([])
    return capacity_per_s


def run_wide(scale: Scale) -> DeploymentReport:
    """Run the wide case on nine instances at low load."""
    site = make_site(WIDE, PRESENT, WIDE_INSTANCES, WIDE_SEARCHER_PROCESSES)
    with site:
        runner = WindowRunner(site, PRESENT, scale.wide_window_s)
        warm_up(runner, WIDE, scale.wide_rate_per_s)
        figures = run_case(
            runner,
            WIDE,
            cases.Case(cases.WIDE_SEARCH, cases.run_wide),
            scale.wide_rate_per_s,
        )
    verdicts = check_targets({cases.WIDE_SEARCH: figures}, 0.0)
    return DeploymentReport(WIDE.deployment, WIDE_INSTANCES, [figures], 0.0, verdicts)


def make_site(
    workload: Workload,
    variant: str,
    instances: int = INSTANCES,
    searcher_processes: int = SEARCHER_PROCESSES,
    settings: Mapping[str, object] | None = None,
) -> Site:
    """Create the site of a variant without starting it."""
    return Site(
        workload.deployment,
        instances=instances,
        searcher_processes=searcher_processes,
        settings={**SETTINGS_BY_VARIANT[variant], **(settings or {})},
        priority_by_caller=PRIORITY_BY_CALLER,
        snapshots=SNAPSHOTS,
    )


def warm_up(runner: WindowRunner, workload: Workload, rate_per_s: float) -> None:
    """Send load to a site for WARM_UP_S and discard the figures."""
    runner.run("warm-up", rate_per_s, workload.classes, duration_s=WARM_UP_S)


def print_window(figures: WindowFigures) -> None:
    """Print the main figures of a window."""
    total = figures.total
    print(
        f"{figures.case}, {figures.variant}: {total.whole} of {total.offered} whole,"
        f" coverage {total.coverage:.3%}, p50 {total.p50_ms:.1f} p99"
        f" {total.p99_ms:.1f} p99.9 {total.p999_ms:.1f} ms,"
        f" extra {figures.extra_share:.2%}, wrong {figures.wrong} of"
        f" {figures.compared}, refused {total.refused_by_code},"
        f" failures {total.failures}, cpu {figures.processor_share:.2f}"
        f" ({figures.processor_ms:.1f} ms a request),"
        f" generator lag {figures.generator_lag_ms:.0f} ms"
        + (f", crashing legs begun {figures.crash_runs}" if figures.crash_runs else ""),
        flush=True,
    )


def main(argv: list[str]) -> None:
    """Run the benchmark and write its figures to build/bench/."""
    del argv
    started = time.monotonic()
    scale = QUICK if flags.FLAGS.quick else FULL
    deployment = flags.FLAGS.only
    reports = [
        run_deployment(workload, scale)
        for workload in (FULL.workloads if deployment else scale.workloads)
        if deployment in ("", workload.deployment)
    ]
    if deployment in ("", WIDE.deployment):
        reports.append(run_wide(scale))
    print()
    print(report_text(reports))
    print(f"figures: {write_json(reports)}")
    print(f"plot: {write_plot(reports)}")
    print(f"took {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    flags.DEFINE_boolean("quick", False, "One deployment and short windows.")
    flags.DEFINE_string("only", "", "Run this deployment only.")
    app.run(main)
