"""Targets of the benchmark: bounds on ratios, shares and counts of one run."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from bench import cases

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bench.figures import WindowFigures

MAX_P99_RATIO = 1.5
MAX_EXTRA_SHARE = 0.05
MIN_COMPLETE_SHARE = 1.0
MIN_GOODPUT_RATIO = 0.95
MIN_SHARE_WITHIN_BOUND = 0.99
URGENT_CLASS = "urgent"


class TargetResult(NamedTuple):
    """Comparison of one measured value with its target.

    Attributes:
        name: Name of the target.
        value: Measured value.
        bound: Upper or lower bound of the value, depending on the target.
        is_met: Whether the target is met.
    """

    name: str
    value: float
    bound: float
    is_met: bool


def check_targets(
    figures_by_case: Mapping[str, WindowFigures], capacity_per_s: float
) -> list[TargetResult]:
    """Check each target for which the run has figures and return the results.

    Args:
        figures_by_case: Figures of the present variant on one deployment.
        capacity_per_s: Capacity found in the same run, in requests per second; 0 if it
            was not measured.
    """
    results: list[TargetResult] = []
    if cases.STRAGGLERS in figures_by_case:
        results.append(_check_straggler_p99(figures_by_case))
    max_extra_share = max(figures.extra_share for figures in figures_by_case.values())
    results.append(_at_most("extra legs, worst case", max_extra_share, MAX_EXTRA_SHARE))
    if cases.LOST_SEARCHERS in figures_by_case:
        coverage = figures_by_case[cases.LOST_SEARCHERS].total.coverage
        results.append(
            _at_least("coverage, replica lost", coverage, MIN_COMPLETE_SHARE)
        )
    if cases.OVERLOAD in figures_by_case and capacity_per_s:
        results += _check_overload(figures_by_case, capacity_per_s)
    if cases.WIDE_SEARCH in figures_by_case:
        share = figures_by_case[cases.WIDE_SEARCH].within_share
        results.append(
            _at_least(
                "630 searchers: share within 160 ms", share, MIN_SHARE_WITHIN_BOUND
            )
        )
    results.append(_check_connections(figures_by_case.values()))
    results.append(_check_wrong_answers(figures_by_case.values()))
    return results


def _check_straggler_p99(figures_by_case: Mapping[str, WindowFigures]) -> TargetResult:
    no_faults = figures_by_case[cases.NO_FAULTS]
    stragglers = figures_by_case[cases.STRAGGLERS]
    ratio = stragglers.total.p99_ms / max(0.001, no_faults.total.p99_ms)
    return _at_most("p99, stragglers / all well", ratio, MAX_P99_RATIO)


def _check_overload(
    figures_by_case: Mapping[str, WindowFigures], capacity_per_s: float
) -> list[TargetResult]:
    overload = figures_by_case[cases.OVERLOAD]
    urgent = overload.by_class[URGENT_CLASS]
    half_load = figures_by_case[cases.HALF_LOAD].by_class[URGENT_CLASS]
    ratio = urgent.p99_ms / max(0.001, half_load.p99_ms)
    complete_share = urgent.whole / max(1, urgent.offered)
    goodput = overload.goodput_per_s / capacity_per_s
    return [
        _at_most("urgent p99, overload / half load", ratio, MAX_P99_RATIO),
        _at_least("urgent whole answers, overload", complete_share, MIN_COMPLETE_SHARE),
        _at_least("goodput / capacity, overload", goodput, MIN_GOODPUT_RATIO),
    ]


def _check_connections(windows: Iterable[WindowFigures]) -> TargetResult:
    violations = sum(figures.violations for figures in windows)
    return _at_most("connections beyond a limit", float(violations), 0.0)


def _check_wrong_answers(windows: Iterable[WindowFigures]) -> TargetResult:
    wrong = sum(figures.wrong for figures in windows)
    return _at_most("wrong answers among those compared", float(wrong), 0.0)


def _at_most(name: str, value: float, bound: float) -> TargetResult:
    return TargetResult(name, value, bound, value <= bound)


def _at_least(name: str, value: float, bound: float) -> TargetResult:
    return TargetResult(name, value, bound, value >= bound)
