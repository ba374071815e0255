"""Benchmark of every case, with the default settings and without hedges or retries.

Run as ``python -m bench``. The present variant is the code with the default settings;
the baseline variant is the same code with a hedge_share of 0, which allows no hedges or
retries.
"""

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

INSTANCE_COUNT = 3
WIDE_INSTANCE_COUNT = 9
SEARCHER_PROCESSES = 2
WIDE_SEARCHER_PROCESSES = 9
WARM_UP_DURATION_S = 2.0
SNAPSHOT_COUNT = 2
SETTINGS_BY_VARIANT: dict[str, dict[str, object]] = {
    PRESENT: {},
    BASELINE: {"hedge_share": 0.0},
}


class RunParameters(NamedTuple):
    """Durations, rates and workloads of a run; rates are in requests per second.

    Attributes:
        window_s: Duration of a window, in seconds.
        capacity_window_s: Duration of each window of the capacity search, in seconds.
        wide_window_s: Duration of the window of the wide deployment, in seconds.
        rate_per_s: Rate of the standard cases.
        wide_rate_per_s: Rate of the wide deployment.
        workloads: Workloads of the deployments on which every case but the wide search
            runs.
    """

    window_s: float
    capacity_window_s: float
    wide_window_s: float
    rate_per_s: float
    wide_rate_per_s: float
    workloads: tuple[Workload, ...]


FULL_RUN = RunParameters(9.0, 3.0, 30.0, 60.0, 4.0, (PERTH, TX_CENTRAL))
QUICK_RUN = RunParameters(2.5, 1.5, 8.0, 60.0, 4.0, (PERTH,))


def run_deployment(workload: Workload, parameters: RunParameters) -> DeploymentReport:
    """Run every case of a deployment, each with both variants in turn."""
    with contextlib.ExitStack() as stack:
        runners = [
            WindowRunner(
                stack.enter_context(make_site(workload, variant)),
                variant,
                parameters.window_s,
            )
            for variant in SETTINGS_BY_VARIANT
        ]
        for runner in runners:
            warm_up(runner, workload, parameters.rate_per_s)
        windows: list[WindowFigures] = []
        capacity_per_s = run_slowed_cases(runners, workload, parameters, windows)
        for case in cases.STANDARD_CASES:
            for runner in runners:
                windows.append(run_case(runner, workload, case, parameters.rate_per_s))
    present_by_case = {item.case: item for item in windows if item.variant == PRESENT}
    return DeploymentReport(
        workload.deployment,
        INSTANCE_COUNT,
        windows,
        capacity_per_s,
        check_targets(present_by_case, capacity_per_s),
    )


def run_case(
    runner: WindowRunner, workload: Workload, case: cases.Case, rate_per_s: float
) -> WindowFigures:
    """Run one case, print its main figures and return all figures."""
    figures = case.run(runner, workload, rate_per_s)
    print_window(figures)
    return figures


def run_slowed_cases(
    runners: list[WindowRunner],
    workload: Workload,
    parameters: RunParameters,
    windows: list[WindowFigures],
) -> float:
    """Run the cases with slowed searchers and append their figures to windows.

    Both variants run at half load and at overload, relative to the same capacity.

    Returns:
        The capacity of the first runner, in complete answers per second.
    """
    for runner in runners:
        cases.slow_searchers(runner)
    capacity_per_s = cases.find_capacity(
        runners[0], workload, parameters.capacity_window_s
    )
    print(f"capacity {capacity_per_s:.1f} requests a second", flush=True)
    for case, capacity_factor in (
        (cases.HALF_LOAD, cases.HALF_LOAD_FACTOR),
        (cases.OVERLOAD, cases.OVERLOAD_FACTOR),
    ):
        for runner in runners:
            figures = cases.run_with_slowed_searchers(
                runner, workload, case, capacity_per_s * capacity_factor
            )
            print_window(figures)
            windows.append(figures)
    for runner in runners:
        runner.site.set_faults([])
    return capacity_per_s


def run_wide_deployment(parameters: RunParameters) -> DeploymentReport:
    """Run the wide search on WIDE_INSTANCE_COUNT instances, at a low rate."""
    site = make_site(WIDE, PRESENT, WIDE_INSTANCE_COUNT, WIDE_SEARCHER_PROCESSES)
    with site:
        runner = WindowRunner(site, PRESENT, parameters.wide_window_s)
        warm_up(runner, WIDE, parameters.wide_rate_per_s)
        figures = run_case(
            runner,
            WIDE,
            cases.Case(cases.WIDE_SEARCH, cases.run_wide_search),
            parameters.wide_rate_per_s,
        )
    target_results = check_targets({cases.WIDE_SEARCH: figures}, 0.0)
    return DeploymentReport(
        WIDE.deployment, WIDE_INSTANCE_COUNT, [figures], 0.0, target_results
    )


def make_site(
    workload: Workload,
    variant: str,
    instances: int = INSTANCE_COUNT,
    searcher_processes: int = SEARCHER_PROCESSES,
    settings: Mapping[str, object] | None = None,
) -> Site:
    """Create the site of a variant without starting it.

    Args:
        workload: Workload whose deployment the site runs.
        variant: PRESENT or BASELINE.
        instances: Number of daemons.
        searcher_processes: Processes among which the searchers are split.
        settings: Additional settings of every daemon; they take precedence over those
            of the variant.
    """
    return Site(
        workload.deployment,
        instances=instances,
        searcher_processes=searcher_processes,
        settings={**SETTINGS_BY_VARIANT[variant], **(settings or {})},
        priority_by_caller=PRIORITY_BY_CALLER,
        snapshots=SNAPSHOT_COUNT,
    )


def warm_up(runner: WindowRunner, workload: Workload, rate_per_s: float) -> None:
    """Send load to a site for WARM_UP_DURATION_S and discard the figures."""
    runner.run("warm-up", rate_per_s, workload.classes, duration_s=WARM_UP_DURATION_S)


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
    parameters = QUICK_RUN if flags.FLAGS.quick else FULL_RUN
    only_deployment = flags.FLAGS.only
    reports = [
        run_deployment(workload, parameters)
        for workload in (
            FULL_RUN.workloads if only_deployment else parameters.workloads
        )
        if only_deployment in ("", workload.deployment)
    ]
    if only_deployment in ("", WIDE.deployment):
        reports.append(run_wide_deployment(parameters))
    print()
    print(report_text(reports))
    print(f"figures: {write_json(reports)}")
    print(f"plot: {write_plot(reports)}")
    print(f"took {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    flags.DEFINE_boolean("quick", False, "One deployment and short windows.")
    flags.DEFINE_string("only", "", "Run this deployment only.")
    app.run(main)
