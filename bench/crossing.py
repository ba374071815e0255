"""Benchmark of legs sent directly to upstreams and of legs forwarded through a peer.

Run as ``python -m bench.crossing``. This process is the coordinating instance, called
front in the output; the peer that holds connections is another process and the
upstreams are searcher stand-ins. All run on loopback, with the daemon's own channel,
leg dispatcher and HTTP client. Several coordinators are several leg dispatchers of this
process, each with its own connections, which use the same upstreams at the same time;
through the peer their legs may share exchanges.
"""

# ruff: noqa: E402
from __future__ import annotations

import os

os.environ.setdefault("EVENTLET_HUB", "asyncio")  # grpclib needs an asyncio loop.

import eventlet
import eventlet.queue

eventlet.monkey_patch()

import itertools
import statistics
import time
from typing import TYPE_CHECKING, NamedTuple

import psutil
from absl import app

from almondspool.protocol.peer import LegAssignment, LegBatch, LegResults
from almondspool.protocol.upstream import Leg
from almondspool.standins.launcher import Cluster
from almondspool.standins.ports import free_ports, loopback_address
from bench.crossing_peer import (
    TEAM,
    StartedPeer,
    make_channels,
    make_leg_dispatcher,
    start_peer,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.standins.searcher_settings import SearcherSettings

LEG_COUNTS = (1, 2, 4, 8, 16, 32, 64)
COORDINATOR_COUNTS = (1, 4)
LEGS_PER_BLOCK = 192
MAX_ROUNDS_PER_BLOCK = 96
BLOCKS = 3
DEADLINE_MS = 10_000
DEADLINE_S = 10.0
SEARCHER_PROCESSES = 2
US_PER_S = 1e6
MS_PER_S = 1000
QUERY = {"suburb": "Bayswater"}


class Cost(NamedTuple):
    """Cost of one way of sending legs.

    Attributes:
        coordinator_us: Processor time of the coordinators, in microseconds per leg.
        peer_us: Processor time of the peer, in microseconds per leg.
        latency_ms: Median time until all legs of a round are answered.
    """

    coordinator_us: float
    peer_us: float
    latency_ms: float


class Measurement(NamedTuple):
    """Costs of direct and of forwarded legs for one number of legs.

    Attributes:
        coordinators: Number of coordinators that send at the same time.
        legs: Number of legs of each coordinator, each to another upstream.
        direct: Cost of legs sent to the upstreams.
        forwarded: Cost of legs sent to the peer in one batch.
    """

    coordinators: int
    legs: int
    direct: Cost
    forwarded: Cost


class Sender:
    """Sends rounds of legs, direct or forwarded, and waits for their results."""

    def __init__(
        self,
        searchers: Sequence[SearcherSettings],
        peer: StartedPeer,
        coordinators: int,
    ) -> None:
        """Create the peer channels and a leg dispatcher for each coordinator."""
        self._searchers = searchers
        self._peer = peer
        self._channels = make_channels("front")
        self._leg_dispatchers = [
            make_leg_dispatcher(searchers) for _ in range(max(COORDINATOR_COUNTS))
        ]
        self._coordinators = coordinators
        self._numbers = itertools.count(1)

    def send_direct(self, legs: int) -> None:
        """Send legs from each coordinator's leg dispatcher and wait for the results."""
        replies: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        for leg_dispatcher in self._leg_dispatchers[: self._coordinators]:
            leg_dispatcher.submit(self._batch(legs), replies.put)
        pending = legs * self._coordinators
        while pending > 0:
            pending -= len(replies.get(timeout=DEADLINE_S).results)

    def send_forwarded(self, legs: int) -> None:
        """Send each coordinator's legs to the peer as a batch and wait for results."""
        for _ in range(self._coordinators):
            self._channels.send("peer", self._peer.address, self._batch(legs))
        pending = legs * self._coordinators
        while pending > 0:
            message = self._channels.inbox.get(timeout=DEADLINE_S).message
            if isinstance(message, LegResults):
                pending -= len(message.results)

    def _batch(self, legs: int) -> LegBatch:
        return LegBatch(
            f"b{next(self._numbers)}",
            0,
            tuple(self._assignment(number) for number in range(legs)),
        )

    def _assignment(self, number: int) -> LegAssignment:
        searcher = self._searchers[number]
        shard = sorted(searcher.shards_by_snapshot[1])[0]
        leg_id = f"leg-{next(self._numbers)}"
        # Unique queries, so that legs share exchanges but none is merged as equal.
        query = {**QUERY, "house": leg_id}
        leg = Leg(leg_id, "r", TEAM, 1, shard, query, DEADLINE_MS)
        return LegAssignment(searcher.upstream_id, leg)


def measure_all() -> list[Measurement]:
    """Measure every number of coordinators and legs."""
    with Cluster(
        "wide",
        instances=0,
        searcher_processes=SEARCHER_PROCESSES,
        service_time_ms=0.01,
    ) as cluster:
        cluster.start_standins()
        searchers = list(cluster.deployment.searchers_by_id.values())[: max(LEG_COUNTS)]
        with start_peer(searchers, loopback_address(free_ports(1).start)) as peer:
            return [
                measure(Sender(searchers, peer, coordinators), peer, coordinators, legs)
                for coordinators in COORDINATOR_COUNTS
                for legs in LEG_COUNTS
            ]


def measure(
    sender: Sender, peer: StartedPeer, coordinators: int, legs: int
) -> Measurement:
    """Measure direct and forwarded legs in several alternating blocks."""
    rounds = min(MAX_ROUNDS_PER_BLOCK, LEGS_PER_BLOCK // legs)
    costs: dict[str, list[Cost]] = {"direct": [], "relayed": []}
    for _ in range(BLOCKS):
        for method, send in (
            ("direct", sender.send_direct),
            ("relayed", sender.send_forwarded),
        ):
            send(legs)
            cost = _run_block(
                lambda send=send: send(legs), peer, rounds, coordinators * legs
            )
            costs[method].append(cost)
    return Measurement(
        coordinators, legs, _median(costs["direct"]), _median(costs["relayed"])
    )


def _run_block(
    send: Callable[[], None], peer: StartedPeer, rounds: int, legs: int
) -> Cost:
    process = psutil.Process(peer.pid)
    peer_s = sum(process.cpu_times()[:2])
    coordinator_s = time.process_time()
    latencies_s = []
    for _ in range(rounds):
        started = time.monotonic()
        send()
        latencies_s.append(time.monotonic() - started)
    us_per_leg = US_PER_S / rounds / legs
    return Cost(
        (time.process_time() - coordinator_s) * us_per_leg,
        (sum(process.cpu_times()[:2]) - peer_s) * us_per_leg,
        statistics.median(latencies_s) * MS_PER_S,
    )


def _median(costs: Sequence[Cost]) -> Cost:
    return Cost(*(statistics.median(values) for values in zip(*costs, strict=True)))


def break_even_legs(
    measurements: Sequence[Measurement], is_better: Callable[[Measurement], bool]
) -> str:
    """Return the smallest number of legs from which forwarding stays better."""
    min_legs = "none"
    for item in reversed(measurements):
        if not is_better(item):
            break
        min_legs = str(item.legs)
    return min_legs


def report(measurements: Sequence[Measurement]) -> str:
    """Return the table of ratios of forwarded to direct legs and the break-even."""
    lines = [
        "| fronts | legs | direct us a leg | relayed us a leg, front + peer"
        " | front ratio | total ratio | latency ratio |",
        "|---|---|---|---|---|---|---|",
    ]
    for item in measurements:
        direct, forwarded = item.direct, item.forwarded
        total_us = forwarded.coordinator_us + forwarded.peer_us
        lines.append(
            f"| {item.coordinators} | {item.legs} | {direct.coordinator_us:.0f}"
            f" | {forwarded.coordinator_us:.0f} + {forwarded.peer_us:.0f}"
            f" | {forwarded.coordinator_us / direct.coordinator_us:.2f}"
            f" | {total_us / direct.coordinator_us:.2f}"
            f" | {forwarded.latency_ms / direct.latency_ms:.2f} |"
        )
    for coordinators in COORDINATOR_COUNTS:
        rows = [item for item in measurements if item.coordinators == coordinators]
        lines.append(f"\n{coordinators} fronts, relaying is better from so many legs:")
        for method, is_better in _CRITERIA.items():
            lines.append(f"{method}: {break_even_legs(rows, is_better)}")
    return "\n".join(lines)


_CRITERIA: dict[str, Callable[[Measurement], bool]] = {
    "the front's processor time": lambda item: (
        item.forwarded.coordinator_us < item.direct.coordinator_us
    ),
    "processor time in all": lambda item: (
        item.forwarded.coordinator_us + item.forwarded.peer_us
        < item.direct.coordinator_us
    ),
    "latency": lambda item: item.forwarded.latency_ms < item.direct.latency_ms,
}


def main(argv: list[str]) -> None:
    """Print the comparison of direct and forwarded legs."""
    del argv
    print(report(measure_all()))


if __name__ == "__main__":
    app.run(main)
