"""Benchmark of the leg dispatcher's processor time per leg, without sockets.

Run as ``python -m bench.leg_dispatcher_cost``.
"""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, NamedTuple

import eventlet

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.leg_dispatcher_task import (
    LegDispatcherTask,
    make_leg_dispatcher_task,
)
from almondspool.logs import EventLog
from almondspool.protocol.peer import LegAssignment, LegBatch, LegResults
from almondspool.protocol.upstream import Leg, LegResult, LoadReport, UpstreamInterface
from almondspool.state.document import Document, Priority, Section, Upstream
from almondspool.transport.timers import EventletTimers

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

UPSTREAM_COUNT = 70
GRANTED_CONNECTIONS = 12
SLOTS_PER_UPSTREAM = 2
BATCH_COUNT = 2000
DEADLINE_MS = 60_000


class LegDispatcherCost(NamedTuple):
    """Cost of one measured run.

    Attributes:
        legs: Legs that were run.
        exchanges: Exchanges in which the legs were sent.
        us_per_leg: Processor time per leg, in microseconds.
    """

    legs: int
    exchanges: int
    us_per_leg: float


class InstantUpstream(UpstreamInterface):
    """Client of simulated upstreams that answer after one event loop iteration."""

    def set_grants(self, connections_by_upstream_id: Mapping[str, int]) -> None:
        """Ignore the grants."""

    def run(
        self, upstream: Upstream, legs: tuple[Leg, ...], timeout_s: float
    ) -> Iterator[LegResult]:
        """Yield OK for every leg."""
        eventlet.sleep(0)
        for leg in legs:
            yield LegResult(leg.leg_id, ResultCode.OK, leg.snapshot, leg.shard)

    def cancel(self, upstream: Upstream, leg_ids: tuple[str, ...]) -> None:
        """Ignore the cancellation."""

    def fetch_load(self, upstream: Upstream, timeout_s: float) -> LoadReport | None:
        """Return None: the simulated upstreams do not report their load."""
        return None

    def retire(self, upstream_id: str) -> int:
        """Return 0: there are no connections to close."""
        return 0


def measure(concurrent_batches: int, batches: int = BATCH_COUNT) -> LegDispatcherCost:
    """Measure batches with one leg for each of UPSTREAM_COUNT upstreams.

    Args:
        concurrent_batches: Batches submitted in one event loop iteration; the more,
            the more legs share an exchange.
        batches: Total number of batches.
    """
    task = _make_task()
    expected_results = batches * UPSTREAM_COUNT
    received_results = 0

    def count_results(results: LegResults) -> None:
        nonlocal received_results
        received_results += len(results.results)

    prepared_batches = [_make_batch(number) for number in range(batches)]
    started = time.process_time()
    for number, batch in enumerate(prepared_batches, 1):
        task.submit(batch, count_results)
        if number % concurrent_batches == 0:
            while received_results < number * UPSTREAM_COUNT:
                eventlet.sleep(0)
    while received_results < expected_results:
        eventlet.sleep(0)
    processor_s = time.process_time() - started
    return LegDispatcherCost(
        expected_results, task.counts().exchanges, processor_s / expected_results * 1e6
    )


def _make_task() -> LegDispatcherTask:
    upstreams = {
        f"u{number}": Upstream(f"u{number}", "127.0.0.1:1", "z", SLOTS_PER_UPSTREAM, 25)
        for number in range(UPSTREAM_COUNT)
    }
    section = Section("perth", Priority.NORMAL, DEADLINE_MS, {}, {}, upstreams, {})
    log = EventLog(lambda line: None)
    task = make_leg_dispatcher_task(InstantUpstream(), EventletTimers(), log, False)
    task.set_document(Document(1, {"perth": section}))
    task.set_grants(dict.fromkeys(upstreams, GRANTED_CONNECTIONS))
    return task


def _make_batch(number: int) -> LegBatch:
    query = {"street": f"street-{number}"}
    assignments = tuple(
        LegAssignment(
            f"u{upstream}",
            Leg(
                f"{number}-{upstream}",
                f"q{number}",
                "perth",
                1,
                "s",
                query,
                DEADLINE_MS,
            ),
        )
        for upstream in range(UPSTREAM_COUNT)
    )
    return LegBatch(f"b{number}", int(Priority.NORMAL), assignments)


def main() -> int:
    """Print the cost for each number of concurrent batches."""
    for concurrent_batches in (1, 4, 20):
        cost = measure(concurrent_batches)
        legs_per_exchange = cost.legs / cost.exchanges
        print(
            f"{concurrent_batches} batches at a time: {cost.us_per_leg:.1f} us a leg,"
            f" {legs_per_exchange:.1f} legs an exchange"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
