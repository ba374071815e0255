"""Compares legs sent directly to upstreams with legs relayed through a peer.

Run as ``python -m bench.crossing``. The front is this process, the peer that holds
connections is another one, the upstreams are searcher stand-ins; all on loopback, with
the daemon's own channel, leg dispatcher and HTTP client. Several fronts are several
leg dispatchers of this process, each with connections of its own, which ask the same
upstreams at the same time; through the peer their legs may share exchanges.
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

LEGS = (1, 2, 4, 8, 16, 32, 64)
FRONTS = (1, 4)
LEGS_A_BLOCK = 192
MAX_ROUNDS_A_BLOCK = 96
BLOCKS = 3
DEADLINE_MS = 10_000
DEADLINE_S = 10.0
SEARCHER_PROCESSES = 2
US_PER_S = 1e6
MS_PER_S = 1000
QUERY = {"suburb": "Bayswater"}


class Cost(NamedTuple):
    """What a way of sending costs.

    Attributes:
        front_us: Processor time of the fronts, in microseconds a leg.
        peer_us: Processor time of the peer, in microseconds a leg.
        latency_ms: Median time until all legs of a round are answered.
    """

    front_us: float
    peer_us: float
    latency_ms: float


class Measurement(NamedTuple):
    """Both ways for one number of legs.

    Attributes:
        fronts: Fronts that send at the same time.
        legs: Legs of each of them, each to another upstream.
        direct: Sent to the upstreams.
        relayed: Sent to the peer in one batch.
    """

    fronts: int
    legs: int
    direct: Cost
    relayed: Cost


class Sender:
    """Sends rounds of legs either way and waits for their results."""

    def __init__(
        self, searchers: Sequence[SearcherSettings], peer: StartedPeer, fronts: int
    ) -> None:
        """Open the channel to the peer; every front gets a leg dispatcher."""
        self._searchers = searchers
        self._peer = peer
        self._channels = make_channels("front")
        self._leg_dispatchers = [
            make_leg_dispatcher(searchers) for _ in range(max(FRONTS))
        ]
        self._fronts = fronts
        self._numbers = itertools.count(1)

    def send_direct(self, legs: int) -> None:
        """Send legs from each front's own leg dispatcher and wait for all results."""
        replies: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        for leg_dispatcher in self._leg_dispatchers[: self._fronts]:
            leg_dispatcher.submit(self._batch(legs), replies.put)
        missing = legs * self._fronts
        while missing > 0:
            missing -= len(replies.get(timeout=DEADLINE_S).results)

    def send_relayed(self, legs: int) -> None:
        """Send each front's legs to the peer in one batch and wait for all results."""
        for _ in range(self._fronts):
            self._channels.send("peer", self._peer.address, self._batch(legs))
        missing = legs * self._fronts
        while missing > 0:
            message = self._channels.inbox.get(timeout=DEADLINE_S).message
            if isinstance(message, LegResults):
                missing -= len(message.results)

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
        # Queries differ, so that equal legs are not what is shared.
        query = {**QUERY, "house": leg_id}
        leg = Leg(leg_id, "r", TEAM, 1, shard, query, DEADLINE_MS)
        return LegAssignment(searcher.upstream_id, leg)


def measure_all() -> list[Measurement]:
    """Return both ways for every number of fronts and legs."""
    with Cluster(
        "wide",
        instances=0,
        searcher_processes=SEARCHER_PROCESSES,
        service_time_ms=0.01,
    ) as cluster:
        cluster.start_standins()
        searchers = list(cluster.deployment.searchers_by_id.values())[: max(LEGS)]
        with start_peer(searchers, loopback_address(free_ports(1).start)) as peer:
            return [
                measure(Sender(searchers, peer, fronts), peer, fronts, legs)
                for fronts in FRONTS
                for legs in LEGS
            ]


def measure(sender: Sender, peer: StartedPeer, fronts: int, legs: int) -> Measurement:
    """Return the costs of both ways, measured in turn in several blocks."""
    rounds = min(MAX_ROUNDS_A_BLOCK, LEGS_A_BLOCK // legs)
    costs: dict[str, list[Cost]] = {"direct": [], "relayed": []}
    for _ in range(BLOCKS):
        for name, send in (
            ("direct", sender.send_direct),
            ("relayed", sender.send_relayed),
        ):
            send(legs)
            cost = _run_block(lambda send=send: send(legs), peer, rounds, fronts * legs)
            costs[name].append(cost)
    return Measurement(
        fronts, legs, _median(costs["direct"]), _median(costs["relayed"])
    )


def _run_block(
    send: Callable[[], None], peer: StartedPeer, rounds: int, legs: int
) -> Cost:
    process = psutil.Process(peer.pid)
    peer_s = sum(process.cpu_times()[:2])
    front_s = time.process_time()
    latencies_s = []
    for _ in range(rounds):
        started = time.monotonic()
        send()
        latencies_s.append(time.monotonic() - started)
    us_a_leg = US_PER_S / rounds / legs
    return Cost(
        (time.process_time() - front_s) * us_a_leg,
        (sum(process.cpu_times()[:2]) - peer_s) * us_a_leg,
        statistics.median(latencies_s) * MS_PER_S,
    )


def _median(costs: Sequence[Cost]) -> Cost:
    return Cost(*(statistics.median(values) for values in zip(*costs, strict=True)))


def crossing(
    measurements: Sequence[Measurement], is_better: Callable[[Measurement], bool]
) -> str:
    """Return the least number of legs from which relaying stays better."""
    least = "none"
    for item in reversed(measurements):
        if not is_better(item):
            break
        least = str(item.legs)
    return least


def report(measurements: Sequence[Measurement]) -> str:
    """Return the table of ratios, relayed to direct, and the crossings."""
    lines = [
        "| fronts | legs | direct us a leg | relayed us a leg, front + peer"
        " | front ratio | total ratio | latency ratio |",
        "|---|---|---|---|---|---|---|",
    ]
    for item in measurements:
        direct, relayed = item.direct, item.relayed
        total_us = relayed.front_us + relayed.peer_us
        lines.append(
            f"| {item.fronts} | {item.legs} | {direct.front_us:.0f}"
            f" | {relayed.front_us:.0f} + {relayed.peer_us:.0f}"
            f" | {relayed.front_us / direct.front_us:.2f}"
            f" | {total_us / direct.front_us:.2f}"
            f" | {relayed.latency_ms / direct.latency_ms:.2f} |"
        )
    for fronts in FRONTS:
        rows = [item for item in measurements if item.fronts == fronts]
        lines.append(f"\n{fronts} fronts, relaying is better from so many legs:")
        for name, is_better in _CRITERIA.items():
            lines.append(f"{name}: {crossing(rows, is_better)}")
    return "\n".join(lines)


_CRITERIA: dict[str, Callable[[Measurement], bool]] = {
    "the front's processor time": lambda item: (
        item.relayed.front_us < item.direct.front_us
    ),
    "processor time in all": lambda item: (
        item.relayed.front_us + item.relayed.peer_us < item.direct.front_us
    ),
    "latency": lambda item: item.relayed.latency_ms < item.direct.latency_ms,
}


def main(argv: list[str]) -> None:
    """Print the comparison."""
    del argv
    print(report(measure_all()))


if __name__ == "__main__":
    app.run(main)
