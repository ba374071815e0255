"""Simulated callers and instances that share simulated searchers and a clock."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

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
from almondspool.transport.timers import VirtualTimers
from bench.simulated_searchers import (
    PAUSE_INTERVAL_S,
    STRAGGLER_FACTOR,
    STRAGGLER_SHARE,
    WORK_SIGMA,
    Searcher,
    SearcherConnections,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from almondspool.protocol.exchange import Answer

ZONES = ("north", "south", "hills")
HOST = "search.example"
OK_STATUS = 200
# Network delay between a caller and an instance, one way.
CALLER_DELAY_S = 0.003
# Credit of an answer after the latency target, and of one within the target of a
# repeated attempt; a complete answer within the target of the first has 1.0.
LATE_CREDIT = 0.1
REPEATED_CREDIT = 0.55
# The time left below which a caller does not repeat a search.
MIN_REPEAT_TIME_S = 0.02
EXTRA_SENDS = RetryBudgetLimits(0.2, 50.0, 10.0)


class CallerClass(NamedTuple):
    """One kind of search.

    Attributes:
        route: Its route; the play sets the shards.
        share: Share of the callers.
        work_s: Mean time that a leg runs, in seconds.
        deadline_s: How long its callers wait, in seconds.
        worth: What an answer in time is worth, compared with other kinds.
    """

    route: Route
    share: float
    work_s: float
    deadline_s: float
    worth: float


LOOKUP = Route(
    name="lookup",
    host=HOST,
    path_prefix="/lookup/",
    is_idempotent=True,
    timeout_s=2.5,
    latency_target_s=0.183,
    priority=1,
    attempts=2,
    top_k=5,
    min_coverage=0.89,
)
CHECK = LOOKUP._replace(
    name="check",
    path_prefix="/check/",
    timeout_s=1.0,
    latency_target_s=0.091,
    priority=2,
    min_coverage=0.75,
)
CLASSES = (
    CallerClass(LOOKUP, 0.75, 0.030, 2.5, 2.0),
    CallerClass(CHECK, 0.25, 0.0101, 1.0, 1.0),
)


class Result(NamedTuple):
    """What one caller got.

    Attributes:
        route: Name of the route.
        started_at: When the first attempt was sent.
        elapsed_s: Time from the first attempt to the final answer.
        status: Status of the final answer.
        share: Share of the shards in it.
        attempts: Number of attempts.
        is_in_time: Whether it succeeded within the latency target.
        credit: What it is worth to the caller, 0 to 1.
    """

    route: str
    started_at: float
    elapsed_s: float
    status: int
    share: float
    attempts: int
    is_in_time: bool
    credit: float


class Play:
    """Instances, searchers and callers that share a virtual clock.

    Attributes:
        searchers_by_id: The searchers, by the id of their replica.
        results: What callers got, in the order of their final answers.
    """

    def __init__(
        self,
        seed: int = 1,
        instances: int = 6,
        shards: int = 10,
        slots: int = 3,
        connections: int = 30,
        classes: Sequence[CallerClass] = CLASSES,
        pause_s: float = 0.2,
        repeats: int = 1,
        is_configured: bool = True,
    ) -> None:
        """Set up the instances and searchers.

        Args:
            seed: Seed of everything that is random.
            instances: Number of instances.
            shards: Number of shards; each has a searcher in every zone.
            slots: Number of slots of a searcher.
            connections: Most connections to a searcher, over all instances.
            classes: The kinds of searches.
            pause_s: Length of a searcher's pauses, in seconds.
            repeats: How often a caller repeats a refused search.
            is_configured: Whether the instances know the routes from the start.
        """
        self.timers = VirtualTimers(start=100.0)
        self._instance_count = instances
        self.rng = random.Random(seed)
        self.repeats = repeats
        self.pause_s = pause_s
        services = tuple(f"shard-{number}" for number in range(shards))
        self.classes = [
            item._replace(route=item.route._replace(shards=services))
            for item in classes
        ]
        self.searchers_by_id = {
            replica.replica_id: Searcher(replica, self.timers, self.rng, pause_s)
            for service in services
            for replica in _make_replicas(service, slots)
        }
        self._shard_count = shards
        self.slots = slots
        work_by_path = {item.route.name: item.work_s for item in self.classes}
        limit = connections // instances
        self._senders: list[SearcherConnections] = []
        self.routers: list[Router] = []
        self.registries: list[ReplicaRegistry] = []
        for number in range(instances):
            zone = ZONES[number % len(ZONES)]
            sender = SearcherConnections(
                zone, self.searchers_by_id, self.timers, limit, work_by_path
            )
            self._senders.append(sender)
            self._add_instance(zone, sender, random.Random(seed * 100 + number))
            self.registries[-1].replace_all(
                self.timers.now(),
                [searcher.replica for searcher in self.searchers_by_id.values()],
            )
        self.results: list[Result] = []
        self._request_count = 0
        if is_configured:
            self.configure()

    def configure(self) -> None:
        """Make the routes known to all instances."""
        table = _make_table([item.route for item in self.classes])
        for router in self.routers:
            router.set_table(table)

    def _add_instance(
        self, zone: str, sender: SearcherConnections, rng: random.Random
    ) -> None:
        log = EventLog(lambda _: None)
        registry = ReplicaRegistry(log, lambda _: None)
        budget = RetryBudget(EXTRA_SENDS)
        budget.set_share_divisor(self._instance_count)
        context = RoutingContext(
            timers=self.timers,
            rng=rng,
            log=log,
            sender=sender,
            codec=PlatformHeaderCodec(),
            registry=registry,
            selector=ReplicaSelector(
                zone,
                sender,
                rng,
                lambda _, rate_limit: rate_limit / self._instance_count,
            ),
            latencies=RouteLatencies(),
            budget=budget,
            admission=SearchAdmission(),
            splitter=ServiceSplitter(rng),
            crashes=CrashDetector(
                self.timers.epoch_ms,
                sender.probe,
                lambda _: None,
                registry.is_leaving,
                log,
            ),
            utilization=UtilizationMeter(self.timers.now()),
            record_leg=lambda *_: None,
            record_pause=lambda: None,
            record_search_wait=lambda _: None,
            record_hint=lambda _: None,
        )
        self.routers.append(Router(context, lambda *_: None))
        self.registries.append(registry)

    def capacity_per_s(self) -> float:
        """Return the searches a second that the slots of one shard can run.

        A paused searcher runs nothing.
        """
        mean_work_s = sum(item.share * item.work_s for item in self.classes)
        mean_factor = math.exp(WORK_SIGMA**2 / 2) * (
            1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
        )
        paused_share = self.pause_s / PAUSE_INTERVAL_S
        slots = len(ZONES) * self.slots * (1.0 - paused_share)
        return slots / (mean_work_s * mean_factor)

    def slow(self, searchers: Iterable[Searcher], factor: float) -> None:
        """Set the factor of the time that legs take at some searchers."""
        for searcher in searchers:
            searcher.slowness = factor

    def limit(self, searchers: Iterable[Searcher], rate_limit: float | None) -> None:
        """Let searchers name a limit, in requests a second; None ends it."""
        for searcher in searchers:
            searcher.rate_limit = rate_limit

    def remove(self, searchers: Iterable[Searcher]) -> None:
        """Take searchers away, as a planned drain does."""
        for searcher in searchers:
            for registry in self.registries:
                registry.remove_all(self.timers.now(), [searcher.replica.replica_id])

    def crash(self, searchers: Iterable[Searcher]) -> None:
        """Let searchers crash; their entries stay."""
        for searcher in searchers:
            searcher.crash()
            for sender in self._senders:
                sender.lose(searcher.replica)

    def run(self, rate_per_s: float, duration_s: float) -> None:
        """Offer searches at a rate; their results are appended to ``results``."""
        end = self.timers.now() + duration_s
        delay_s = self.rng.expovariate(rate_per_s)
        while self.timers.now() + delay_s < end:
            self.timers.advance(delay_s)
            self._offer()
            delay_s = self.rng.expovariate(rate_per_s)
        self.timers.advance(max(0.0, end - self.timers.now()))

    def finish(self) -> None:
        """Wait until every caller has an answer."""
        longest_s = max(item.deadline_s for item in self.classes)
        self.timers.advance(2.0 * longest_s)

    def _offer(self) -> None:
        weights = [item.share for item in self.classes]
        caller_class = self.rng.choices(self.classes, weights)[0]
        self._attempt(caller_class, self.timers.now(), 1)

    def _attempt(
        self, caller_class: CallerClass, first_at: float, attempt: int
    ) -> None:
        now = self.timers.now()
        left_s = caller_class.deadline_s - (now - first_at)
        self._request_count += 1
        request_id = f"r{self._request_count}"
        router = self.rng.choice(self.routers)

        def arrive() -> None:
            request = CallerRequest(
                "GET",
                f"/{caller_class.route.name}/2f",
                HOST,
                ((b"Host", HOST.encode()), (b"Request-Id", request_id.encode())),
                b"",
                request_id,
                left_s,
                self.timers.now(),
                2 * CALLER_DELAY_S,
            )
            router.handle(request, reply)

        def reply(answer: Answer) -> None:
            self.timers.call_later(CALLER_DELAY_S, lambda: receive(answer))

        def receive(answer: Answer) -> None:
            self._receive(caller_class, first_at, now, attempt, answer)

        self.timers.call_later(CALLER_DELAY_S, arrive)

    def _receive(
        self,
        caller_class: CallerClass,
        first_at: float,
        sent_at: float,
        attempt: int,
        answer: Answer,
    ) -> None:
        now = self.timers.now()
        left_s = caller_class.deadline_s - (now - first_at)
        is_ok = answer.status == OK_STATUS
        if not is_ok and attempt <= self.repeats and left_s > MIN_REPEAT_TIME_S:
            retry_after_s = float(_header(answer, b"Retry-After") or 0.0)
            delay_s = min(retry_after_s, left_s / 3)
            self.timers.call_later(
                delay_s, lambda: self._attempt(caller_class, first_at, attempt + 1)
            )
            return
        missing = int(_header(answer, b"Missing-Shards") or 0)
        share = 1.0 - missing / self._shard_count if is_ok else 0.0
        target_s = caller_class.route.latency_target_s
        is_in_time = is_ok and now - first_at <= target_s
        value = LATE_CREDIT
        if is_in_time:
            value = 1.0
        elif now - sent_at <= target_s:
            value = REPEATED_CREDIT
        credit = value * share**2
        self.results.append(
            Result(
                caller_class.route.name,
                first_at,
                now - first_at,
                answer.status,
                share,
                attempt,
                is_in_time,
                credit,
            )
        )


def _make_replicas(service: str, slots: int) -> list[Replica]:
    return [
        Replica(f"{service}-{zone}", service, f"10.0.0.1:{80 + number}", zone, slots)
        for number, zone in enumerate(ZONES)
    ]


def _make_table(routes: Iterable[Route]) -> RouteTable:
    routes_by_prefix = {route.path_prefix: route for route in routes}
    return RouteTable(1, {HOST: routes_by_prefix}, {}, CallerLimits())


def _header(answer: Answer, name: bytes) -> str:
    return dict(answer.headers).get(name, b"").decode()
