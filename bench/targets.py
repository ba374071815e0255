"""The targets, each judged as a ratio or a share of one run."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from bench import cases

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bench.figures import WindowFigures

MAX_TAIL_RATIO = 1.5
MAX_EXTRA_SHARE = 0.05
WHOLE_SHARE = 1.0
MIN_GOODPUT_RATIO = 0.95
WITHIN_SHARE = 0.99
URGENT = "urgent"


class Verdict(NamedTuple):
    """A target and what was measured.

    Attributes:
        name: What is asked.
        value: What was measured.
        bound: What it is compared with.
        is_met: Whether the target is met.
    """

    name: str
    value: float
    bound: float
    is_met: bool


def judge(
    figures_by_case: Mapping[str, WindowFigures], capacity_per_s: float
) -> list[Verdict]:
    """Return a verdict on each target that the run has figures for.

    Args:
        figures_by_case: The present code's figures of one deployment.
        capacity_per_s: Capacity found in the same run; 0 if not sought.
    """
    verdicts: list[Verdict] = []
    if cases.STRAGGLERS in figures_by_case:
        verdicts.append(_judge_tail(figures_by_case))
    extra = max(figures.extra_share for figures in figures_by_case.values())
    verdicts.append(_at_most("extra legs, worst case", extra, MAX_EXTRA_SHARE))
    if cases.LOST in figures_by_case:
        coverage = figures_by_case[cases.LOST].total.coverage
        verdicts.append(_at_least("coverage, replica lost", coverage, WHOLE_SHARE))
    if cases.OVERLOAD in figures_by_case and capacity_per_s:
        verdicts += _judge_overload(figures_by_case, capacity_per_s)
    if cases.WIDE in figures_by_case:
        share = figures_by_case[cases.WIDE].within_share
        verdicts.append(
            _at_least("630 searchers: share within 160 ms", share, WITHIN_SHARE)
        )
    verdicts.append(_judge_connections(figures_by_case.values()))
    verdicts.append(_judge_answers(figures_by_case.values()))
    return verdicts


def _judge_tail(figures_by_case: Mapping[str, WindowFigures]) -> Verdict:
    well = figures_by_case[cases.ALL_WELL]
    slow = figures_by_case[cases.STRAGGLERS]
    ratio = slow.total.p99_ms / max(0.001, well.total.p99_ms)
    return _at_most("p99, stragglers / all well", ratio, MAX_TAIL_RATIO)


def _judge_overload(
    figures_by_case: Mapping[str, WindowFigures], capacity_per_s: float
) -> list[Verdict]:
    overload = figures_by_case[cases.OVERLOAD]
    urgent = overload.by_class[URGENT]
    calm = figures_by_case[cases.HALF_LOAD].by_class[URGENT]
    ratio = urgent.p99_ms / max(0.001, calm.p99_ms)
    whole = urgent.whole / max(1, urgent.offered)
    goodput = overload.goodput_per_s / capacity_per_s
    return [
        _at_most("urgent p99, overload / half load", ratio, MAX_TAIL_RATIO),
        _at_least("urgent whole answers, overload", whole, WHOLE_SHARE),
        _at_least("goodput / capacity, overload", goodput, MIN_GOODPUT_RATIO),
    ]


def _judge_connections(windows: Iterable[WindowFigures]) -> Verdict:
    violations = sum(figures.violations for figures in windows)
    return _at_most("connections beyond a limit", float(violations), 0.0)


def _judge_answers(windows: Iterable[WindowFigures]) -> Verdict:
    wrong = sum(figures.wrong for figures in windows)
    return _at_most("wrong answers among those compared", float(wrong), 0.0)


def _at_most(name: str, value: float, bound: float) -> Verdict:
    return Verdict(name, value, bound, value <= bound)


def _at_least(name: str, value: float, bound: float) -> Verdict:
    return Verdict(name, value, bound, value >= bound)
