"""Benchmark cases: the load and the faults of each measured window."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from almondspool.standins.faults import Fault, FaultKind
from bench.windows import ScheduledChange
from bench.workloads import crash_class, overload_classes

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.figures import WindowFigures
    from bench.windows import WindowRunner
    from bench.workloads import Workload

ALL_WELL = "all well"
STRAGGLERS = "1% of legs ten times slow"
LOST_SEARCHERS = "one searcher of each service lost"
SLOW_ZONE = "one zone at +20 ms with loss"
SNAPSHOT_SWAP = "index swap"
CRASHING_REQUEST = "crashing request"
HALF_LOAD = "half of capacity"
OVERLOAD = "1.3 times capacity"
CAPACITY = "capacity"
WIDE_SEARCH = "630 searchers"

STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 10.0
ZONE_DELAY_MS = 20.0
LOSS_SHARE = 0.01
# Minimum retransmission timeout of TCP.
RETRANSMISSION_MS = 200.0
CRASH_RATE_PER_S = 2.0
CRASH_RESTART_S = 1.0
SETTLE_S = 1.0
OVERLOAD_SERVICE_MS = 30.0
NORMAL_SERVICE_MS = 3.0
CAPACITY_RATE_FACTORS = (0.7, 0.85, 1.0, 1.15)
HALF_LOAD_FACTOR = 0.5
OVERLOAD_FACTOR = 1.3


class Case(NamedTuple):
    """Name of a case and the function that runs it."""

    name: str
    run: Callable[[WindowRunner, Workload, float], WindowFigures]


def run_all_well(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run the everyday load without faults."""
    return runner.run(ALL_WELL, rate_per_s, workload.classes)


def run_stragglers(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run with a share of legs that take a multiple of their normal time."""
    fault = Fault(
        FaultKind.STRAGGLE, share=STRAGGLER_SHARE, factor=STRAGGLER_FACTOR, seed=3
    )
    return _run_with_faults(runner, STRAGGLERS, workload, rate_per_s, [fault])


def run_zone(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run with one zone's searchers delayed, and some legs as after packet loss."""
    searchers = runner.site.cluster.deployment.searchers_by_id.values()
    zone = runner.site.cluster.deployment.zones[-1]
    delayed_ids = [item.upstream_id for item in searchers if item.zone == zone]
    faults = [
        Fault(FaultKind.DELAY, target=delayed_id, delay_ms=ZONE_DELAY_MS)
        for delayed_id in delayed_ids
    ]
    faults += [
        Fault(
            FaultKind.STRAGGLE,
            target=delayed_id,
            share=LOSS_SHARE,
            delay_ms=RETRANSMISSION_MS,
            seed=number,
        )
        for number, delayed_id in enumerate(delayed_ids)
    ]
    return _run_with_faults(runner, SLOW_ZONE, workload, rate_per_s, faults)


def run_lost(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run while the first searcher of each service fails and stays down."""
    lost_ids = [
        upstream_id
        for upstream_id in runner.site.cluster.deployment.searchers_by_id
        if upstream_id.endswith("-a")
    ]
    kill = ScheduledChange(0.2, lambda: runner.site.kill_searchers(lost_ids))
    try:
        return runner.run(LOST_SEARCHERS, rate_per_s, workload.classes, changes=[kill])
    finally:
        runner.site.restart_searchers(lost_ids)
        time.sleep(SETTLE_S)


def run_swap(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run while a newer snapshot is applied and the older one is removed."""
    site = runner.site
    teams = sorted({request_class.team for request_class in workload.classes})
    changes = [
        ScheduledChange(0.3, lambda: site.publish_snapshot(teams)),
        ScheduledChange(0.7, lambda: site.drop_snapshots_before(site.snapshot)),
    ]
    return runner.run(SNAPSHOT_SWAP, rate_per_s, workload.classes, changes=changes)


def run_crash(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run while a caller repeats a request that crashes each searcher it reaches."""
    field, value = next(iter(workload.crash_query.items()))
    fault = Fault(
        FaultKind.CRASH_ON, field=field, value=value, restart_s=CRASH_RESTART_S
    )
    runner.site.set_faults([fault])
    try:
        return runner.run(
            CRASHING_REQUEST,
            rate_per_s,
            workload.classes,
            crashing=crash_class(workload),
            crash_rate_per_s=CRASH_RATE_PER_S,
        )
    finally:
        runner.site.set_faults([])
        time.sleep(CRASH_RESTART_S)


def run_wide(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run searches of every shard of the widest deployment."""
    return runner.run(WIDE_SEARCH, rate_per_s, workload.classes)


EVERYDAY_CASES = (
    Case(ALL_WELL, run_all_well),
    Case(STRAGGLERS, run_stragglers),
    Case(SLOW_ZONE, run_zone),
    Case(LOST_SEARCHERS, run_lost),
    Case(CRASHING_REQUEST, run_crash),
    Case(SNAPSHOT_SWAP, run_swap),
)


def find_capacity(runner: WindowRunner, workload: Workload, duration_s: float) -> float:
    """Return the highest goodput per second over increasing rates.

    The caller must slow the searchers first, so that their slots limit the capacity.
    """
    expected_per_s = slot_rate_per_s(runner, workload)
    goodputs = [
        runner.run(
            CAPACITY,
            expected_per_s * rate_factor,
            overload_classes(workload),
            duration_s=duration_s,
        ).goodput_per_s
        for rate_factor in CAPACITY_RATE_FACTORS
    ]
    return max(goodputs)


def slot_rate_per_s(runner: WindowRunner, workload: Workload) -> float:
    """Return the searches per second that the overload team's slots can serve."""
    deployment = runner.site.cluster.deployment
    searchers = [
        item
        for item in deployment.searchers_by_id.values()
        if item.team == workload.overload_team
    ]
    slots = sum(item.slots for item in searchers)
    return slots / (OVERLOAD_SERVICE_MS / 1000) / len(searchers)


def slow_searchers(runner: WindowRunner) -> None:
    """Delay every leg so that it takes OVERLOAD_SERVICE_MS."""
    added_ms = OVERLOAD_SERVICE_MS - NORMAL_SERVICE_MS
    runner.site.set_faults([Fault(FaultKind.SLOW, delay_ms=added_ms)])


def run_loaded(
    runner: WindowRunner, workload: Workload, case: str, rate_per_s: float
) -> WindowFigures:
    """Run requests of three priorities at a rate, with slowed searchers."""
    return runner.run(case, rate_per_s, overload_classes(workload))


def _run_with_faults(
    runner: WindowRunner,
    case: str,
    workload: Workload,
    rate_per_s: float,
    faults: list[Fault],
) -> WindowFigures:
    runner.site.set_faults(faults)
    try:
        return runner.run(case, rate_per_s, workload.classes)
    finally:
        runner.site.set_faults([])
