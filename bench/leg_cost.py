"""Benchmark of the processor time per leg of sessions, peer codec and exchanges.

Run as ``python -m bench.leg_cost``. Prints the processor time of this process in
microseconds per leg; the searchers run in another process.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.search.search import make_session
from almondspool.coordination.search.search_actions import SendLeg
from almondspool.coordination.search.search_context import make_context
from almondspool.coordination.upstreams.silent_connections import (
    SilentConnectionDetector,
)
from almondspool.protocol.caller import Record, SearchRequest
from almondspool.protocol.http_upstream import make_http_upstream_client
from almondspool.protocol.peer import LegAssignment, LegBatch, LegResults, PeerCodec
from almondspool.protocol.upstream import Leg, LegResult
from almondspool.standins.launcher import Cluster
from almondspool.state.document import (
    Priority,
    Section,
    Service,
    Shard,
    Snapshot,
    Upstream,
)
from almondspool.transport.timers import EventletTimers
from bench.processor_time import measure_processor_s

US_PER_S = 1e6
SHARD_COUNT = 630
QUERY_COUNT = 20
CODEC_ROUND_TRIPS = 200
EXCHANGE_COUNT = 100
DEADLINE_MS = 60_000
PEER_KEY = "benchmark-of-the-peer-codec"
RECORD_FIELDS = {"suburb": "Bayswater", "street": "Swan View", "house": "104"}


class Cost(NamedTuple):
    """Processor time of one kind of work with one number of legs.

    Attributes:
        work: Kind of work, as printed.
        legs: Number of legs in one query, message or exchange.
        us_per_leg: Processor time per leg, in microseconds.
    """

    work: str
    legs: int
    us_per_leg: float


def measure_all() -> list[Cost]:
    """Measure each kind of work with each of its numbers of legs."""
    costs = [measure_session()]
    for legs in (1, 30, 210):
        costs.append(measure_codec(legs))
    return costs + measure_exchanges()


def measure_session() -> Cost:
    """Measure the session of a query of SHARD_COUNT shards, from start to answer."""
    section = _make_section()
    rng = random.Random(1)
    context = make_context("perth-1", 1, "perth-north", 0.05, 600.0, rng)
    cpu_s = measure_processor_s(lambda: _run_session(section, context), QUERY_COUNT)
    return Cost("decide a query", SHARD_COUNT, cpu_s / SHARD_COUNT * US_PER_S)


def measure_codec(legs: int) -> Cost:
    """Measure encoding and decoding of a batch of legs and of its results.

    The cost is that of both peers together.
    """
    codec = PeerCodec(PEER_KEY)
    batch = LegBatch("b", 0, tuple(_make_assignment(number) for number in range(legs)))
    results = LegResults(tuple(_make_result(f"leg-{number}") for number in range(legs)))

    def round_trip() -> None:
        codec.decode(codec.encode("perth-1", 1, 1, (batch,)))
        codec.decode(codec.encode("perth-2", 1, 1, (results,)))

    cpu_s = measure_processor_s(round_trip, CODEC_ROUND_TRIPS)
    return Cost("peer codec", legs, cpu_s / legs * US_PER_S)


def measure_exchanges() -> list[Cost]:
    """Measure the client side of exchanges of different numbers of legs."""
    with Cluster("demo", instances=0, service_time_ms=0.01) as cluster:
        cluster.start_standins()
        upstream, shard = _first_upstream(cluster)
        client, deadline_sweep = make_http_upstream_client(
            EventletTimers(), SilentConnectionDetector()
        )
        client.set_grants({upstream.upstream_id: 1})
        costs = []
        for legs in (1, 4, 16):
            assigned_legs = tuple(_make_leg(f"leg-{n}", shard) for n in range(legs))
            cpu_s = measure_processor_s(
                lambda assigned_legs=assigned_legs: list(
                    client.run(upstream, assigned_legs, 10.0)
                ),
                EXCHANGE_COUNT,
            )
            us_per_leg = cpu_s / legs * US_PER_S
            costs.append(Cost("HTTP exchange, client side", legs, us_per_leg))
        deadline_sweep.cancel()
        return costs


def _run_session(section: Section, context: object) -> None:
    request = SearchRequest("r-1", "alert-desk", deadline_ms=DEADLINE_MS)
    session = make_session(context, request, lambda: section, 1, 0.0, 0.0)
    for action in session.start(0.0):
        if isinstance(action, SendLeg):
            leg = action.leg
            result = LegResult(
                leg.leg_id,
                ResultCode.OK,
                leg.snapshot,
                leg.shard,
                (Record(leg.shard, RECORD_FIELDS),),
                action.upstream_id,
            )
            session.on_result(0.005, result)


def _make_section() -> Section:
    shards, services = {}, {}
    upstreams = {}
    for number in range(SHARD_COUNT):
        names = (f"s{number}-a", f"s{number}-b")
        service_id = f"service-{number}"
        services[service_id] = Service(service_id, names)
        shards[f"shard-{number}"] = Shard(f"shard-{number}", service_id, names)
        for name in names:
            upstreams[name] = _make_document_upstream(name)
    return Section(
        "alert-desk",
        Priority.URGENT,
        160,
        {},
        services,
        upstreams,
        {1: Snapshot(1, shards)},
    )


def _make_document_upstream(name: str) -> Upstream:
    return Upstream(name, "127.0.0.1:1", "perth-north", 2, 25)


def _first_upstream(cluster: Cluster) -> tuple[Upstream, str]:
    searcher = next(iter(cluster.deployment.searchers_by_id.values()))
    shard = sorted(searcher.shards_by_snapshot[1])[0]
    return _make_document_upstream(searcher.upstream_id)._replace(
        address=searcher.address
    ), shard


def _make_leg(leg_id: str, shard: str) -> Leg:
    query = {"suburb": "Bayswater"}
    return Leg(leg_id, "r-1", "alert-desk", 1, shard, query, DEADLINE_MS)


def _make_assignment(number: int) -> LegAssignment:
    return LegAssignment(f"s{number}-a", _make_leg(f"leg-{number}", f"shard-{number}"))


def _make_result(leg_id: str) -> LegResult:
    records = (Record("alert-desk-01-000007", RECORD_FIELDS),)
    return LegResult(leg_id, ResultCode.OK, 1, "shard-1", records, "s1-a")


def main() -> None:
    """Print the costs as a table."""
    print("| work | legs at a time | us a leg |\n|---|---|---|")
    for cost in measure_all():
        print(f"| {cost.work} | {cost.legs} | {cost.us_per_leg:.1f} |")


if __name__ == "__main__":
    main()
