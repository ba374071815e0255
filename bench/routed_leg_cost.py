"""Benchmark of the processor time per leg of a routed search, over loopback sockets.

Run as ``python -m bench.routed_leg_cost``. One process simulates all searchers, which
reply immediately; this process runs searches sequentially and measures its own
processor time. With ``--profile``, it also prints a profile of the searches.
"""

from __future__ import annotations

import multiprocessing
import random
import sys
import time
from typing import TYPE_CHECKING

import eventlet
import httptools

from almondspool.logs import EventLog
from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.protocol.exchange import CallerRequest
from almondspool.routing.admission import SearchAdmission
from almondspool.routing.context import RoutingContext
from almondspool.routing.crashes import CrashDetector
from almondspool.routing.replicas import ReplicaRegistry
from almondspool.routing.retry_budget import RetryBudget, RetryBudgetLimits
from almondspool.routing.route_latencies import RouteLatencies
from almondspool.routing.router import Router
from almondspool.routing.selection import ReplicaSelector
from almondspool.routing.service_splitter import ServiceSplitter
from almondspool.routing.utilization import UtilizationMeter
from almondspool.state.routes import CallerLimits, Replica, Route, RouteTable
from almondspool.transport.hub_socket import HubListener, HubSocket
from almondspool.transport.hub_timers import HubTimers
from almondspool.transport.route_metrics import RouteMetrics
from almondspool.transport.upstream_pools import UpstreamPools

if TYPE_CHECKING:
    import socket

SHARD_COUNT = 36
REPLICAS_PER_SHARD = 3
SEARCH_COUNT = 400
_REPLY_BODY = bytes(range(256)) + bytes(144)


class _SearcherConnection:
    """Connection of a searcher that answers each request with _REPLY_BODY."""

    def __init__(self, sock: socket.socket) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._socket = HubSocket(sock, self._parser.feed_data, lambda _: None)
        self._request_id = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"request-id":
            self._request_id = value

    def on_message_complete(self) -> None:
        self._socket.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
            b"Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            b"Server-Load: 1,0,4\r\nKeep-Alive: timeout=30\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (self._request_id, len(_REPLY_BODY), _REPLY_BODY)
        )


def _serve_searchers(count: int, ports: multiprocessing.Queue) -> None:
    connections: list[_SearcherConnection] = []
    listeners = [
        HubListener(
            ("127.0.0.1", 0), lambda sock: connections.append(_SearcherConnection(sock))
        )
        for _ in range(count)
    ]
    ports.put([listener.port for listener in listeners])
    while True:
        eventlet.sleep(60)


def _make_router(ports: list[int]) -> tuple[Router, RouteTable]:
    timers = HubTimers()
    log = EventLog(lambda line: None)
    metrics = RouteMetrics()
    codec = PlatformHeaderCodec()
    rng = random.Random(1)
    pools = UpstreamPools(codec, timers.now, lambda replica: 2)
    registry = ReplicaRegistry(log, pools.retire)
    shards = tuple(f"shard-{number}" for number in range(SHARD_COUNT))
    for number, port in enumerate(ports):
        service = shards[number // REPLICAS_PER_SHARD]
        zone = f"zone-{number % REPLICAS_PER_SHARD}"
        address = f"127.0.0.1:{port}"
        registry.put(0.0, Replica(f"i-{number:08x}", service, address, zone, 4))
    context = RoutingContext(
        timers=timers,
        rng=rng,
        log=log,
        sender=pools,
        codec=codec,
        registry=registry,
        selector=ReplicaSelector(
            "zone-0", pools, rng, lambda _, rate_limit: rate_limit
        ),
        latencies=RouteLatencies(),
        budget=RetryBudget(RetryBudgetLimits(0.2, 200.0, 10.0)),
        admission=SearchAdmission(),
        splitter=ServiceSplitter(rng),
        crashes=CrashDetector(
            timers.epoch_ms, pools.probe, lambda _: None, registry.is_leaving, log
        ),
        utilization=UtilizationMeter(timers.now()),
        record_leg=metrics.record_leg,
        record_pause=metrics.replica_pauses.inc,
        record_search_wait=metrics.record_search_wait,
        record_hint=metrics.record_hint,
    )
    route = Route(
        "r", "host", "/a/", True, 2.0, 0.5, 1, 2, (), shards, 20, min_coverage=0.95
    )
    table = RouteTable(1, {"host": {"/a/": route}}, {}, CallerLimits())
    router = Router(context, lambda *_: None)
    router.set_table(table)
    return router, table


def _run_search(router: Router, number: int) -> int:
    answered = eventlet.event.Event()
    headers = (
        (b"Host", b"host"),
        (b"Request-Id", b"%016x" % number),
        (b"Deadline-Ms", b"1200"),
    )
    request = CallerRequest(
        "GET", "/a/2f", "host", headers, b"", f"{number:016x}", 1.2, time.monotonic()
    )
    router.handle(request, answered.send)
    return answered.wait().status


def main() -> None:
    """Print the processor time per leg, in microseconds."""
    ports_queue: multiprocessing.Queue = multiprocessing.Queue()
    searcher_count = SHARD_COUNT * REPLICAS_PER_SHARD
    process = multiprocessing.Process(
        target=_serve_searchers, args=(searcher_count, ports_queue), daemon=True
    )
    process.start()
    router, _ = _make_router(ports_queue.get())
    for number in range(50):
        _run_search(router, number)
    if "--profile" in sys.argv:
        _print_profile(router)
    started = time.process_time()
    statuses = [_run_search(router, 1000 + number) for number in range(SEARCH_COUNT)]
    processor_s = time.process_time() - started
    answered_count = statuses.count(200)
    print(f"{answered_count} of {SEARCH_COUNT} searches of {SHARD_COUNT} legs answered")
    print(
        f"{processor_s / SEARCH_COUNT / SHARD_COUNT * 1e6:.1f}"
        " us of processor time a leg"
    )
    process.terminate()


def _print_profile(router: Router) -> None:
    import cProfile
    import pstats

    profiler = cProfile.Profile()
    profiler.enable()
    for number in range(SEARCH_COUNT):
        _run_search(router, number)
    profiler.disable()
    pstats.Stats(profiler).sort_stats("tottime").print_stats(32)


if __name__ == "__main__":
    main()
