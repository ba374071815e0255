"""Test harness for routing, with virtual time and scripted upstreams, no network."""

from __future__ import annotations

import random
from typing import NamedTuple

from almondspool.logs import EventLog
from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.protocol.exchange import (
    CallerRequest,
    ConnectionState,
    LegHandle,
    LegOutcome,
    LegReply,
    LegSender,
    ReportedLoad,
)
from almondspool.routing.admission import SearchAdmission
from almondspool.routing.context import RoutingContext
from almondspool.routing.crashes import CrashDetector
from almondspool.routing.quota import ShareAllocation
from almondspool.routing.rate_limit import rate_quota
from almondspool.routing.replicas import ReplicaRegistry
from almondspool.routing.retry_budget import RetryBudget, RetryBudgetLimits
from almondspool.routing.route_latencies import RouteLatencies
from almondspool.routing.router import Router
from almondspool.routing.selection import ReplicaSelector
from almondspool.routing.service_splitter import ServiceSplitter
from almondspool.routing.utilization import UtilizationMeter
from almondspool.state.routes import (
    CallerLimits,
    Replica,
    Route,
    RouteTable,
    WeightedService,
)
from almondspool.transport.timers import VirtualTimers

ZONES = ("north", "south", "hills")
HOST = "search.example"


class SentLeg(NamedTuple):
    """A leg as its upstream received it."""

    sent_at: float
    replica: Replica
    request_id: str
    deadline_s: float


class _Handle(LegHandle):
    def __init__(self, sender, on_end):
        self.sender = sender
        self.on_end = on_end
        self.is_cancelled = False
        self.is_detached = False

    def end(self, reply):
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(reply)

    def cancel(self):
        self.is_cancelled = True
        self.end(LegReply(LegOutcome.CANCELLED))

    def detach(self, within_s):
        self.is_detached = True
        self.sender.timers.call_later(
            within_s, lambda: self.end(LegReply(LegOutcome.SILENT))
        )


class ScriptedSender(LegSender):
    """Replies to each leg as a script tells it to.

    Attributes:
        script: Called with the replica of each leg. Returns the delay of the reply, in
            seconds, and the reply or a function that makes it then; or None if there
            is no reply.
        sent: Every leg, in order.
        handles: The handles of these legs.
        refusing_ids: Ids of the replicas that refuse new connections.
        dropped_waiting_ids: Ids of the replicas whose waiting sends were ended.
        connection_state_by_id: States of connections by replica id, if not idle.
    """

    def __init__(self, timers):
        self.timers = timers
        self.script = lambda replica: (0.005, leg_reply(replica))
        self.sent: list[SentLeg] = []
        self.handles: list[_Handle] = []
        self.refusing_ids: set[str] = set()
        self.dropped_waiting_ids: list[str] = []
        self.connection_state_by_id: dict[str, ConnectionState] = {}

    def send(self, replica, request, deadline_s, on_end):
        now = self.timers.now()
        self.sent.append(SentLeg(now, replica, request.request_id, deadline_s))
        handle = _Handle(self, on_end)
        self.handles.append(handle)
        scripted = self.script(replica)
        if scripted is not None:
            delay_s, reply = scripted
            self.timers.call_later(
                delay_s, lambda: handle.end(reply() if callable(reply) else reply)
            )
        return handle

    def probe(self, replica, on_result):
        is_refused = replica.replica_id in self.refusing_ids
        self.timers.call_later(0.002, lambda: on_result(is_refused))

    def drop_waiting(self, replica):
        self.dropped_waiting_ids.append(replica.replica_id)

    def connection_state(self, replica):
        return self.connection_state_by_id.get(replica.replica_id, ConnectionState.IDLE)


def leg_reply(replica, body=b"", status=200, signed=True, load=None):
    """Return the reply of a replica that ran a request."""
    signature = f"sig-{replica.replica_id}".encode() if signed else b""
    return LegReply(LegOutcome.ANSWERED, status, (), body, signature, load)


def failed_reply(outcome):
    """Return what the sender reports for a leg that was not answered."""
    return LegReply(outcome)


BUSY = ReportedLoad(2, 6, 2)


def make_replicas(service, zones=ZONES, slots=2, prefix=""):
    """Return one replica of a service in each zone."""
    return [
        Replica(f"{prefix}{service}-{zone}", service, f"10.0.0.1:{80 + n}", zone, slots)
        for n, zone in enumerate(zones)
    ]


def search_route(shards=10, **changes):
    """Return a search route over the given number of shards."""
    route = Route(
        name="sweep",
        host=HOST,
        path_prefix="/sweep/",
        is_idempotent=True,
        timeout_s=1.2,
        latency_target_s=0.112,
        priority=1,
        attempts=2,
        shards=tuple(f"shard-{number}" for number in range(shards)),
        top_k=5,
        min_coverage=0.89,
    )
    return route._replace(**changes)


def fetch_route(**changes):
    """Return a route whose requests run on a single upstream."""
    route = Route(
        name="fetch",
        host=HOST,
        path_prefix="/fetch/",
        is_idempotent=True,
        timeout_s=4.0,
        latency_target_s=0.3,
        priority=2,
        attempts=2,
        weighted_services=(WeightedService("records", 1.0),),
    )
    return route._replace(**changes)


def make_table(*routes, version=1):
    """Return a route table with the given routes."""
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    return RouteTable(version, by_host, {}, CallerLimits())


class RoutingHarness:
    """The router of one instance, with virtual time and scripted upstreams.

    Every service of the routes has one replica in each of ZONES. Unless told otherwise
    the instance has a clock of its own, is in the zone "north" and is the only one that
    shares limits. Otherwise share is its name and the zones of all instances by name.
    """

    def __init__(
        self,
        *routes,
        ratio=0.2,
        slack=50.0,
        instances=1,
        timers=None,
        zone="north",
        share=None,
    ):
        self.timers = timers or VirtualTimers(start=100.0)
        self.instance, self.zone_by_instance = share or (
            "instance-1",
            {"instance-1": zone},
        )
        self.log_lines: list[str] = []
        log = EventLog(self.log_lines.append)
        rng = random.Random(3)
        self.sender = ScriptedSender(self.timers)
        self.removed: list[str] = []
        self.registry = ReplicaRegistry(log, self.removed.append)
        self.budget = RetryBudget(RetryBudgetLimits(ratio, slack, 10.0))
        self.budget.set_share_divisor(instances)
        self.published = []
        self.crashes = CrashDetector(
            self.timers.epoch_ms,
            self.sender.probe,
            self.published.append,
            self.registry.is_leaving,
            log,
        )
        self.latencies = RouteLatencies()
        self.selector = ReplicaSelector(zone, self.sender, rng, self._rate_quota)
        self.recorded_legs = []
        self.recorded_waits = []
        self.recorded_hints = []
        self.context = RoutingContext(
            timers=self.timers,
            rng=rng,
            log=log,
            sender=self.sender,
            codec=PlatformHeaderCodec(),
            registry=self.registry,
            selector=self.selector,
            latencies=self.latencies,
            budget=self.budget,
            admission=SearchAdmission(),
            splitter=ServiceSplitter(rng),
            crashes=self.crashes,
            utilization=UtilizationMeter(self.timers.now()),
            record_leg=lambda *labels: self.recorded_legs.append(labels),
            record_pause=lambda: self.recorded_legs.append(("pause",)),
            record_search_wait=self.recorded_waits.append,
            record_hint=self.recorded_hints.append,
        )
        self.recorded_requests = []
        self.router = Router(
            self.context, lambda *row: self.recorded_requests.append(row)
        )
        for route in routes:
            services = [
                *route.shards,
                *(share.service for share in route.weighted_services),
            ]
            for service in services:
                for replica in make_replicas(service):
                    self.registry.put(self.timers.now(), replica)
        if routes:
            self.router.set_table(make_table(*routes))

    def _rate_quota(self, replica, rate_limit):
        allocation = ShareAllocation(self.zone_by_instance)
        return rate_quota(rate_limit, self.instance, allocation, replica)

    def request(self, path="/sweep/2f", request_id="a1", deadline_s=1.2, method="GET"):
        """Return a request that arrives now."""
        headers = ((b"Host", HOST.encode()), (b"Request-Id", request_id.encode()))
        return CallerRequest(
            method,
            path,
            HOST,
            headers,
            b"",
            request_id,
            deadline_s,
            self.timers.now(),
        )

    def run(self, seconds=3.0, **request):
        """Run a request for some virtual seconds; return its answer, or None."""
        answers = self.start(**request)
        self.timers.advance(seconds)
        return answers[0][1] if answers else None

    def start(self, **request):
        """Start a request and return a list that receives (time, answer)."""
        answers = []
        self.handle = self.router.handle(
            self.request(**request),
            lambda answer: answers.append((self.timers.now(), answer)),
        )
        return answers

    def header(self, reply, name):
        """Return a header of an answer, or an empty string."""
        for key, value in reply.headers:
            if key.decode().lower() == name.lower():
                return value.decode()
        return ""
