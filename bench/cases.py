"""The cases: what is done to a site during each measured window."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from almondspool.standins.faults import Fault, FaultKind
from bench.shapes import crash_class, overload_classes
from bench.windows import Step

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.figures import WindowFigures
    from bench.shapes import Shape
    from bench.windows import Runner

ALL_WELL = "all well"
STRAGGLERS = "1% of legs ten times slow"
LOST = "one searcher of each service lost"
ZONE = "one zone at +20 ms with loss"
SWAP = "index swap"
CRASH = "crashing request"
HALF_LOAD = "half of capacity"
OVERLOAD = "1.3 times capacity"
CAPACITY = "capacity"
WIDE = "630 searchers"

STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 10.0
ZONE_DELAY_MS = 20.0
LOSS_SHARE = 0.01
# The least time after which TCP sends a lost segment again.
RETRANSMISSION_MS = 200.0
CRASH_RATE_PER_S = 2.0
CRASH_RESTART_S = 1.0
SETTLE_S = 1.0
OVERLOAD_SERVICE_MS = 30.0
SERVICE_MS = 3.0
CAPACITY_STEPS = (0.7, 0.85, 1.0, 1.15)
HALF_SHARE = 0.5
OVERLOAD_FACTOR = 1.3


class Case(NamedTuple):
    """One case and how to run it."""

    name: str
    run: Callable[[Runner, Shape, float], WindowFigures]


def run_all_well(runner: Runner, shape: Shape, rate_per_s: float) -> WindowFigures:
    """Run everyday load without a fault."""
    return runner.run(ALL_WELL, rate_per_s, shape.classes)


def run_stragglers(runner: Runner, shape: Shape, rate_per_s: float) -> WindowFigures:
    """Run with a share of legs that take a multiple of their time."""
    fault = Fault(
        FaultKind.STRAGGLE, share=STRAGGLER_SHARE, factor=STRAGGLER_FACTOR, seed=3
    )
    return _run_with_faults(runner, STRAGGLERS, shape, rate_per_s, [fault])


def run_zone(runner: Runner, shape: Shape, rate_per_s: float) -> WindowFigures:
    """Run with one zone's searchers delayed, and a share of legs as after a loss."""
    searchers = runner.site.cluster.deployment.searchers_by_id.values()
    zone = runner.site.cluster.deployment.zones[-1]
    far_ids = [item.upstream_id for item in searchers if item.zone == zone]
    faults = [
        Fault(FaultKind.DELAY, target=far_id, delay_ms=ZONE_DELAY_MS)
        for far_id in far_ids
    ]
    faults += [
        Fault(
            FaultKind.STRAGGLE,
            target=far_id,
            share=LOSS_SHARE,
            delay_ms=RETRANSMISSION_MS,
            seed=number,
        )
        for number, far_id in enumerate(far_ids)
    ]
    return _run_with_faults(runner, ZONE, shape, rate_per_s, faults)


def run_lost(runner: Runner, shape: Shape, rate_per_s: float) -> WindowFigures:
    """Run while the first searcher of each service goes down and stays down."""
    lost = [
        upstream_id
        for upstream_id in runner.site.cluster.deployment.searchers_by_id
        if upstream_id.endswith("-a")
    ]
    kill = Step(0.2, lambda: runner.site.kill_searchers(lost))
    try:
        return runner.run(LOST, rate_per_s, shape.classes, steps=[kill])
    finally:
        runner.site.revive_searchers(lost)
        time.sleep(SETTLE_S)


def run_swap(runner: Runner, shape: Shape, rate_per_s: float) -> WindowFigures:
    """Run while a newer snapshot is applied and the older one disappears."""
    site = runner.site
    teams = sorted({kind.team for kind in shape.classes})
    steps = [
        Step(0.3, lambda: site.publish_snapshot(teams)),
        Step(0.7, lambda: site.drop_snapshots_before(site.snapshot)),
    ]
    return runner.run(SWAP, rate_per_s, shape.classes, steps=steps)


def run_crash(runner: Runner, shape: Shape, rate_per_s: float) -> WindowFigures:
    """Run while a caller repeats a request that crashes each searcher it reaches."""
    field, value = next(iter(shape.crash_query.items()))
    fault = Fault(
        FaultKind.CRASH_ON, field=field, value=value, restart_s=CRASH_RESTART_S
    )
    runner.site.set_faults([fault])
    try:
        return runner.run(
            CRASH,
            rate_per_s,
            shape.classes,
            crashing=crash_class(shape),
            crash_rate_per_s=CRASH_RATE_PER_S,
        )
    finally:
        runner.site.set_faults([])
        time.sleep(CRASH_RESTART_S)


def run_wide(runner: Runner, shape: Shape, rate_per_s: float) -> WindowFigures:
    """Run searches of every shard of the widest deployment."""
    return runner.run(WIDE, rate_per_s, shape.classes)


EVERYDAY_CASES = (
    Case(ALL_WELL, run_all_well),
    Case(STRAGGLERS, run_stragglers),
    Case(ZONE, run_zone),
    Case(LOST, run_lost),
    Case(CRASH, run_crash),
    Case(SWAP, run_swap),
)


def find_capacity(runner: Runner, shape: Shape, duration_s: float) -> float:
    """Return the highest goodput per second over rising rates.

    The caller has slowed the searchers, so that their slots set the capacity.
    """
    expected_per_s = slot_rate_per_s(runner, shape)
    goodputs = [
        runner.run(
            CAPACITY,
            expected_per_s * step,
            overload_classes(shape),
            duration_s=duration_s,
        ).goodput_per_s
        for step in CAPACITY_STEPS
    ]
    return max(goodputs)


def slot_rate_per_s(runner: Runner, shape: Shape) -> float:
    """Return the searches a second that the slots of the overload team bear."""
    deployment = runner.site.cluster.deployment
    searchers = [
        item
        for item in deployment.searchers_by_id.values()
        if item.team == shape.overload_team
    ]
    slots = sum(item.slots for item in searchers)
    return slots / (OVERLOAD_SERVICE_MS / 1000) / len(searchers)


def slow_searchers(runner: Runner) -> None:
    """Let every leg take OVERLOAD_SERVICE_MS."""
    added_ms = OVERLOAD_SERVICE_MS - SERVICE_MS
    runner.site.set_faults([Fault(FaultKind.SLOW, delay_ms=added_ms)])


def run_loaded(
    runner: Runner, shape: Shape, case: str, rate_per_s: float
) -> WindowFigures:
    """Run three priorities at a rate, with slowed searchers."""
    return runner.run(case, rate_per_s, overload_classes(shape))


def _run_with_faults(
    runner: Runner, case: str, shape: Shape, rate_per_s: float, faults: list[Fault]
) -> WindowFigures:
    runner.site.set_faults(faults)
    try:
        return runner.run(case, rate_per_s, shape.classes)
    finally:
        runner.site.set_faults([])
