"""Benchmark cases: the load and the faults of each measured window."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from almondspool.standins.faults import Fault, FaultKind
from bench.windows import ScheduledChange
from bench.workloads import make_crashing_class, make_overload_classes

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.figures import WindowFigures
    from bench.windows import WindowRunner
    from bench.workloads import Workload

NO_FAULTS = "all well"
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
SLOW_ZONE_DELAY_MS = 20.0
PACKET_LOSS_SHARE = 0.01
# Minimum retransmission timeout of TCP: the delay of a leg after a packet loss.
RETRANSMISSION_TIMEOUT_MS = 200.0
CRASHING_RATE_PER_S = 2.0
# Time that a crashed searcher stays down.
CRASH_RESTART_S = 1.0
# Time between the restart of lost searchers and the next window.
RESTART_SETTLE_S = 1.0
# Mean time of a leg in the capacity search, the half load and the overload.
SLOWED_SERVICE_TIME_MS = 30.0
# Mean time of a leg in a searcher without faults.
NORMAL_SERVICE_TIME_MS = 3.0
# Rates of the capacity search, as multiples of the rate that the slots can serve.
CAPACITY_RATE_FACTORS = (0.7, 0.85, 1.0, 1.15)
# Rates of the half load and the overload, as multiples of the capacity.
HALF_LOAD_FACTOR = 0.5
OVERLOAD_FACTOR = 1.3


class Case(NamedTuple):
    """Benchmark case.

    Attributes:
        name: Name in the report.
        run: Runs one window; takes the runner, the workload and the rate in requests
            per second.
    """

    name: str
    run: Callable[[WindowRunner, Workload, float], WindowFigures]


def run_no_faults(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run the standard load without faults."""
    return runner.run(NO_FAULTS, rate_per_s, workload.classes)


def run_stragglers(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run while a share of the legs take a multiple of their normal time."""
    fault = Fault(
        FaultKind.STRAGGLE, share=STRAGGLER_SHARE, factor=STRAGGLER_FACTOR, seed=3
    )
    return _run_with_faults(runner, STRAGGLERS, workload, rate_per_s, [fault])


def run_slow_zone(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run while the searchers of one zone reply with delay.

    Some of their legs are delayed by a retransmission timeout, as after a packet loss.
    """
    searchers = runner.site.cluster.deployment.searchers_by_id.values()
    zone = runner.site.cluster.deployment.zones[-1]
    delayed_ids = [item.upstream_id for item in searchers if item.zone == zone]
    faults = [
        Fault(FaultKind.DELAY, target=delayed_id, delay_ms=SLOW_ZONE_DELAY_MS)
        for delayed_id in delayed_ids
    ]
    faults += [
        Fault(
            FaultKind.STRAGGLE,
            target=delayed_id,
            share=PACKET_LOSS_SHARE,
            delay_ms=RETRANSMISSION_TIMEOUT_MS,
            seed=number,
        )
        for number, delayed_id in enumerate(delayed_ids)
    ]
    return _run_with_faults(runner, SLOW_ZONE, workload, rate_per_s, faults)


def run_lost_searchers(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run while the first searcher of each service is killed and stays down."""
    lost_ids = [
        upstream_id
        for upstream_id in runner.site.cluster.deployment.searchers_by_id
        if upstream_id.endswith("-a")
    ]
    kill_change = ScheduledChange(0.2, lambda: runner.site.kill_searchers(lost_ids))
    try:
        return runner.run(
            LOST_SEARCHERS,
            rate_per_s,
            workload.classes,
            changes=[kill_change],
        )
    finally:
        runner.site.restart_searchers(lost_ids)
        time.sleep(RESTART_SETTLE_S)


def run_snapshot_swap(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run while sections with a newer snapshot are applied and the older is removed."""
    site = runner.site
    teams = sorted({request_class.team for request_class in workload.classes})
    changes = [
        ScheduledChange(0.3, lambda: site.publish_snapshot(teams)),
        ScheduledChange(0.7, lambda: site.drop_snapshots_before(site.snapshot)),
    ]
    return runner.run(SNAPSHOT_SWAP, rate_per_s, workload.classes, changes=changes)


def run_crashing_request(
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
            crashing_class=make_crashing_class(workload),
            crashing_rate_per_s=CRASHING_RATE_PER_S,
        )
    finally:
        runner.site.set_faults([])
        time.sleep(CRASH_RESTART_S)


def run_wide_search(
    runner: WindowRunner, workload: Workload, rate_per_s: float
) -> WindowFigures:
    """Run searches of every shard of the deployment with the most searchers."""
    return runner.run(WIDE_SEARCH, rate_per_s, workload.classes)


STANDARD_CASES = (
    Case(NO_FAULTS, run_no_faults),
    Case(STRAGGLERS, run_stragglers),
    Case(SLOW_ZONE, run_slow_zone),
    Case(LOST_SEARCHERS, run_lost_searchers),
    Case(CRASHING_REQUEST, run_crashing_request),
    Case(SNAPSHOT_SWAP, run_snapshot_swap),
)


def find_capacity(runner: WindowRunner, workload: Workload, duration_s: float) -> float:
    """Return the highest goodput over increasing rates, in requests per second.

    The caller must call slow_searchers first, so that the searchers' slots limit the
    capacity.
    """
    expected_rate_per_s = slot_limited_rate_per_s(runner, workload)
    goodputs = [
        runner.run(
            CAPACITY,
            expected_rate_per_s * rate_factor,
            make_overload_classes(workload),
            duration_s=duration_s,
        ).goodput_per_s
        for rate_factor in CAPACITY_RATE_FACTORS
    ]
    return max(goodputs)


def slot_limited_rate_per_s(runner: WindowRunner, workload: Workload) -> float:
    """Return the searches per second that the slots of the overload team can serve.

    A search sends one leg for each shard, and the team has as many shards as searchers.
    """
    deployment = runner.site.cluster.deployment
    searchers = [
        item
        for item in deployment.searchers_by_id.values()
        if item.team == workload.overload_team
    ]
    slots = sum(item.slots for item in searchers)
    return slots / (SLOWED_SERVICE_TIME_MS / 1000) / len(searchers)


def slow_searchers(runner: WindowRunner) -> None:
    """Delay every leg so that it takes SLOWED_SERVICE_TIME_MS on average."""
    added_ms = SLOWED_SERVICE_TIME_MS - NORMAL_SERVICE_TIME_MS
    runner.site.set_faults([Fault(FaultKind.SLOW, delay_ms=added_ms)])


def run_with_slowed_searchers(
    runner: WindowRunner, workload: Workload, case: str, rate_per_s: float
) -> WindowFigures:
    """Run requests of three priorities; the caller must call slow_searchers first."""
    return runner.run(case, rate_per_s, make_overload_classes(workload))


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
