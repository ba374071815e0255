"""Figures of one measured window, computed from generator results and site counts.

The names of the fields of ClassFigures and WindowFigures are the keys of the JSON
report.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bench.traffic import (
    US_PER_MS,
    ClassResult,
    LoadResult,
    decode_histogram,
    new_histogram,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hdrh.histogram import HdrHistogram

    from bench.sites import Connections, Counts

COMPLETE_CODE = "OK"
PARTIAL_CODE = "PARTIAL"
FIRST_REASON = "first"
MOVE_REASON_PREFIX = "move_"


class ClassFigures(msgspec.Struct, frozen=True):
    """Figures of the requests of one class, or of all classes together.

    Attributes:
        offered: Requests that arrived.
        whole: Complete answers, which cover every shard.
        partial: Partial answers, which list the missing shards.
        refused: Refusals: answers with any other code.
        failures: Requests without a valid answer.
        late_refusals: Refusals that arrived after the deadline.
        coverage: Ratio of answered shards to all shards, summed over the answers.
        p50_ms: Median latency of complete and partial answers, in milliseconds.
        p99_ms: 99th percentile of that latency.
        p999_ms: 99.9th percentile of that latency.
        refused_by_code: Refusals by name of the result code.
    """

    offered: int
    whole: int
    partial: int
    refused: int
    failures: int
    late_refusals: int
    coverage: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    refused_by_code: dict[str, int]


class WindowFigures(msgspec.Struct, frozen=True):
    """Figures of one window.

    Attributes:
        case: Name of the case.
        variant: PRESENT or BASELINE.
        rate_per_s: Offered rate, in requests per second.
        total: Figures of all classes together.
        by_class: Figures by name of the class.
        legs_per_needed: Legs sent per shard in the coverage of the answers.
        extra_share: Hedges, retries and probes per first leg. A move is not an extra
            leg: it replaces a leg of which nothing reached an upstream.
        legs_per_exchange: Legs sent per exchange with a searcher.
        connections_peak: Sum of the peak connections of all searchers.
        connections_share: Highest ratio of a searcher's peak to its limit.
        violations: Connections to searchers beyond their limits.
        goodput_per_s: Complete answers per second of the arrival period.
        within_share: Share of the offered requests with a complete or partial answer
            within the latency bound of the wide search.
        wrong: Compared answers that differ from a plain scan.
        compared: Answers compared with a plain scan.
        processor_ms: Processor time of the instances per request, in milliseconds.
        processor_share: Ratio of processor time to wall time, per instance.
        generator_lag_ms: Maximum delay between the scheduled and the actual sending of
            a request, in milliseconds.
        crash_runs: Legs of the crashing request that searchers started.
    """

    case: str
    variant: str
    rate_per_s: float
    total: ClassFigures
    by_class: dict[str, ClassFigures]
    legs_per_needed: float
    extra_share: float
    legs_per_exchange: float
    connections_peak: int
    connections_share: float
    violations: int
    goodput_per_s: float
    within_share: float
    wrong: int
    compared: int
    processor_ms: float
    processor_share: float
    generator_lag_ms: float
    crash_runs: int = 0


def compute_class_figures(result: ClassResult, histogram: HdrHistogram) -> ClassFigures:
    """Return the figures of a class from its counts and its latency histogram."""
    complete = result.count_by_code.get(COMPLETE_CODE, 0)
    partial = result.count_by_code.get(PARTIAL_CODE, 0)
    refused_by_code = {
        name: count
        for name, count in result.count_by_code.items()
        if name not in (COMPLETE_CODE, PARTIAL_CODE)
    }
    return ClassFigures(
        offered=result.offered,
        whole=complete,
        partial=partial,
        refused=sum(refused_by_code.values()),
        failures=result.failures,
        late_refusals=result.late_refusals,
        coverage=result.shards_answered / max(1, result.shards_total),
        p50_ms=_percentile_ms(histogram, 50),
        p99_ms=_percentile_ms(histogram, 99),
        p999_ms=_percentile_ms(histogram, 99.9),
        refused_by_code=refused_by_code,
    )


def merge_results(results: Iterable[ClassResult]) -> tuple[ClassResult, HdrHistogram]:
    """Return the sum of results and the merged histogram of their latencies."""
    total = ClassResult()
    histogram = new_histogram()
    for result in results:
        total.offered += result.offered
        total.failures += result.failures
        total.shards_total += result.shards_total
        total.shards_answered += result.shards_answered
        total.late_refusals += result.late_refusals
        for name, count in result.count_by_code.items():
            total.count_by_code[name] = total.count_by_code.get(name, 0) + count
        histogram.add(decode_histogram(result.latencies))
    return total, histogram


class WindowMeasurements(msgspec.Struct):
    """Raw measurements of one window.

    Attributes:
        case: Name of the case.
        variant: PRESENT or BASELINE.
        rate_per_s: Offered rate, in requests per second.
        duration_s: Length of the arrival period, in seconds.
        instances: Number of instances.
        load_results: Results of the load generators.
        before: Counts before the window.
        after: Counts after the window.
        connections: Connections to searchers during the window.
        wrong: Compared answers that differ from a plain scan.
        latency_bound_ms: Latency bound of the wide search, in milliseconds.
        crash_runs: Legs of the crashing request that searchers started.
    """

    case: str
    variant: str
    rate_per_s: float
    duration_s: float
    instances: int
    load_results: list[LoadResult]
    before: Counts
    after: Counts
    connections: Connections
    wrong: int
    latency_bound_ms: float
    crash_runs: int = 0


def compute_window_figures(window: WindowMeasurements) -> WindowFigures:
    """Compute the figures of a window from its raw measurements."""
    by_class = {
        name: result
        for load in window.load_results
        for name, result in load.results_by_class.items()
    }
    total, histogram = merge_results(by_class.values())
    figures = compute_class_figures(total, histogram)
    before, after = window.before, window.after
    legs_by_reason = {
        reason: legs - before.legs_by_reason.get(reason, 0.0)
        for reason, legs in after.legs_by_reason.items()
    }
    legs = sum(legs_by_reason.values())
    processor_s = after.processor_s - before.processor_s
    elapsed_s = after.measured_at - before.measured_at
    return WindowFigures(
        case=window.case,
        variant=window.variant,
        rate_per_s=window.rate_per_s,
        total=figures,
        by_class={
            name: compute_class_figures(result, decode_histogram(result.latencies))
            for name, result in by_class.items()
        },
        legs_per_needed=legs / max(1, total.shards_total),
        extra_share=_compute_extra_share(legs_by_reason),
        legs_per_exchange=legs / max(1, after.exchanges - before.exchanges),
        connections_peak=window.connections.peak,
        connections_share=window.connections.peak_share,
        violations=window.connections.violations,
        goodput_per_s=figures.whole / window.duration_s,
        within_share=_compute_share_within(
            histogram, window.latency_bound_ms, total.offered
        ),
        wrong=window.wrong,
        compared=sum(len(load.sampled_answers) for load in window.load_results),
        processor_ms=processor_s / max(1, total.offered) * 1000,
        processor_share=processor_s / max(0.001, elapsed_s) / window.instances,
        generator_lag_ms=max(load.max_lag_ms for load in window.load_results),
        crash_runs=window.crash_runs,
    )


def _compute_extra_share(legs_by_reason: Mapping[str, float]) -> float:
    first = legs_by_reason.get(FIRST_REASON, 0.0)
    extra = sum(
        legs
        for reason, legs in legs_by_reason.items()
        if reason != FIRST_REASON and not reason.startswith(MOVE_REASON_PREFIX)
    )
    return extra / max(1.0, first)


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / US_PER_MS


def _compute_share_within(
    histogram: HdrHistogram, bound_ms: float, offered: int
) -> float:
    bound_us = int(bound_ms * US_PER_MS)
    within = sum(
        item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= bound_us
    )
    return within / max(1, offered)
