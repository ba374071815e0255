"""Benchmark of legs that an instance sends directly or forwards to a peer.

It compares the two ways to reach the upstreams of another availability zone: the
coordinating instance sends the legs over its own connections, or it sends them in one
batch to an instance of that zone, which forwards them over the connections it holds.

Run as ``python -m bench.zone_forwarding``. This process is the coordinating instance,
called front in the output; the peer is another process and the upstreams are searcher
stand-ins. All run on loopback, with the daemon's own peer channel, leg dispatcher and
HTTP client. Several coordinators are several leg dispatchers of this process, each with
connections of its own, which use the same upstreams at the same time; through the peer,
the legs of several coordinators may share exchanges.
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
from bench.zone_forwarding_peer import (
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
BLOCKS_PER_METHOD = 3
LEG_DEADLINE_MS = 10_000
RESULTS_TIMEOUT_S = 10.0
SEARCHER_PROCESSES = 2
US_PER_S = 1e6
MS_PER_S = 1000
QUERY = {"suburb": "Bayswater"}


class Cost(NamedTuple):
    """Cost of sending legs either directly or through the peer.

    Attributes:
        coordinator_us: Processor time of the coordinators, in microseconds per leg.
        peer_us: Processor time of the peer, in microseconds per leg.
        latency_ms: Median time until all legs of a round are answered, in
            milliseconds.
    """

    coordinator_us: float
    peer_us: float
    latency_ms: float


class Measurement(NamedTuple):
    """Costs of direct and of forwarded legs for one number of legs.

    Attributes:
        coordinators: Number of coordinators that send at the same time.
        legs: Number of legs that each coordinator sends in a round, each to a
            different upstream.
        direct: Cost of legs sent to the upstreams.
        forwarded: Cost of legs sent to the peer in one batch.
    """

    coordinators: int
    legs: int
    direct: Cost
    forwarded: Cost


class Sender:
    """Sends a round of legs from each coordinator and waits for the results."""

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
        self._id_numbers = itertools.count(1)

    def send_direct(self, legs: int) -> None:
        """Send the legs of each coordinator directly and wait for all results."""
        replies: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        for leg_dispatcher in self._leg_dispatchers[: self._coordinators]:
            leg_dispatcher.submit(self._make_batch(legs), replies.put)
        pending = legs * self._coordinators
        while pending > 0:
            pending -= len(replies.get(timeout=RESULTS_TIMEOUT_S).results)

    def send_forwarded(self, legs: int) -> None:
        """Send each coordinator's legs to the peer in a batch; wait for all results."""
        for _ in range(self._coordinators):
            self._channels.send("peer", self._peer.address, self._make_batch(legs))
        pending = legs * self._coordinators
        while pending > 0:
            message = self._channels.inbox.get(timeout=RESULTS_TIMEOUT_S).message
            if isinstance(message, LegResults):
                pending -= len(message.results)

    def _make_batch(self, legs: int) -> LegBatch:
        return LegBatch(
            f"b{next(self._id_numbers)}",
            0,
            tuple(self._make_assignment(index) for index in range(legs)),
        )

    def _make_assignment(self, index: int) -> LegAssignment:
        searcher = self._searchers[index]
        shard = sorted(searcher.shards_by_snapshot[1])[0]
        leg_id = f"leg-{next(self._id_numbers)}"
        # Each query is unique: legs may share an exchange, but no leg is answered with
        # the result of an equal one.
        query = {**QUERY, "house": leg_id}
        leg = Leg(leg_id, "r", TEAM, 1, shard, query, LEG_DEADLINE_MS)
        return LegAssignment(searcher.upstream_id, leg)


def measure_all() -> list[Measurement]:
    """Measure every combination of numbers of coordinators and of legs."""
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
    """Measure direct and forwarded legs in alternating blocks of rounds.

    Returns:
        The median cost of the blocks of each method.
    """
    rounds = min(MAX_ROUNDS_PER_BLOCK, LEGS_PER_BLOCK // legs)
    costs: dict[str, list[Cost]] = {"direct": [], "forwarded": []}
    for _ in range(BLOCKS_PER_METHOD):
        for method, send in (
            ("direct", sender.send_direct),
            ("forwarded", sender.send_forwarded),
        ):
            send(legs)
            cost = _measure_block(
                lambda send=send: send(legs), peer, rounds, coordinators * legs
            )
            costs[method].append(cost)
    return Measurement(
        coordinators, legs, _median(costs["direct"]), _median(costs["forwarded"])
    )


def _measure_block(
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
    """Return the smallest number of legs from which on forwarding is better.

    Args:
        measurements: Measurements with the same number of coordinators, by increasing
            number of legs.
        is_better: Returns whether forwarding is better in a measurement.

    Returns:
        The number as text, or ``none`` if forwarding is not better with the most legs.
    """
    break_even = "none"
    for item in reversed(measurements):
        if not is_better(item):
            break
        break_even = str(item.legs)
    return break_even


def report(measurements: Sequence[Measurement]) -> str:
    """Return the table of costs and ratios, and the break-even numbers of legs."""
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
        for criterion, is_better in _IS_BETTER_BY_CRITERION.items():
            lines.append(f"{criterion}: {break_even_legs(rows, is_better)}")
    return "\n".join(lines)


_IS_BETTER_BY_CRITERION: dict[str, Callable[[Measurement], bool]] = {
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
