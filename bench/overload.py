"""Play of overload: what callers get while more is asked than the searchers can run.

Usage: ``python -m bench.overload [LOAD...]``. Several instances route searches to the
same searchers, and each of them knows only its own legs and the load reports in their
replies. Time is virtual: four seconds of overload take about as long.
"""

from __future__ import annotations

import math
import random
import statistics
import sys
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
REFUSED_STATUS = 503
# Network delay between a caller and an instance, one way.
CALLER_DELAY_S = 0.003
WARM_UP_S = 2.0
# Time after an overload in which the load of before must be served as before.
RECOVERY_S = 2.0
# Load before and after an overload, as a share of what the slots can run.
CALM_LOAD = 0.3
# Factor of the searchers that turn slow.
SLOW_FACTOR = 11.0
# Credit of an answer after the latency target, and of one within the target of a
# repeated attempt; a complete answer within the target of the first has 1.0.
LATE_CREDIT = 0.1
REPEATED_CREDIT = 0.55
# Highest credit of a late answer; others have more, also if the minimum of the shards
# is in them.
MAX_LATE_CREDIT = 0.2
# The callers' patience to send a repeated attempt.
MIN_REPEAT_TIME_S = 0.02
EXTRA_SENDS = RetryBudgetLimits(0.2, 50.0, 10.0)
LOADS = (1.2, 1.5, 2.0, 3.0)
SEEDS = (1, 2, 3)


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
        self.routers: list[Router] = []
        self.registries: list[ReplicaRegistry] = []
        for number in range(instances):
            zone = ZONES[number % len(ZONES)]
            sender = SearcherConnections(
                zone, self.searchers_by_id, self.timers, limit, work_by_path
            )
            self._add_instance(zone, sender, random.Random(seed * 100 + number))
            self.registries[-1].replace_all(
                self.timers.now(),
                [searcher.replica for searcher in self.searchers_by_id.values()],
            )
        table = _make_table([item.route for item in self.classes])
        for router in self.routers:
            router.set_table(table)
        self.results: list[Result] = []
        self._request_count = 0

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
            selector=ReplicaSelector(zone, sender, rng),
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

    def remove(self, searchers: Iterable[Searcher]) -> None:
        """Take searchers away, as a planned drain does."""
        for searcher in searchers:
            for registry in self.registries:
                registry.remove_all(self.timers.now(), [searcher.replica.replica_id])

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


class Summary(NamedTuple):
    """What a group of callers got.

    Attributes:
        count: Number of callers.
        in_time: Share that was answered within the latency target.
        repeated_in_time: Share that was answered within the target of a repetition.
        late: Share that was answered later.
        refused: Share that was refused to the end.
        failed: Share of all others.
        credit: Credit earned, as a share of what is owed.
    """

    count: int
    in_time: float
    repeated_in_time: float
    late: float
    refused: float
    failed: float
    credit: float


def summarize(
    results: Sequence[Result], classes: Sequence[CallerClass] = CLASSES
) -> Summary:
    """Return a summary of what callers got."""
    worth_by_route = {item.route.name: item.worth for item in classes}
    count = max(1, len(results))
    in_time = sum(result.is_in_time for result in results)
    repeated = sum(
        result.credit > MAX_LATE_CREDIT and not result.is_in_time for result in results
    )
    answered = sum(result.status == OK_STATUS for result in results)
    refused = sum(result.status == REFUSED_STATUS for result in results)
    owed = sum(worth_by_route[result.route] for result in results)
    credit = sum(worth_by_route[result.route] * result.credit for result in results)
    return Summary(
        len(results),
        in_time / count,
        repeated / count,
        (answered - in_time - repeated) / count,
        refused / count,
        (len(results) - answered - refused) / count,
        credit / max(1e-9, owed),
    )


class OverloadOutcome(NamedTuple):
    """Outcome of a play with a steady overload.

    Attributes:
        during: What the callers of the overload got.
        after: What the callers got who came two seconds or more after its end.
        goodput_share: Work of the searches that were answered within the latency
            target of the attempt that got the answer, as a share of what the slots can
            run.
        late_share: Share of the admitted searches that were answered late.
    """

    during: Summary
    after: Summary
    goodput_share: float
    late_share: float


def play_overload(
    load: float, seed: int = 1, duration_s: float = 4.0, **options: float
) -> OverloadOutcome:
    """Offer a multiple of what the slots can run, after and before a calm load.

    Args:
        load: The multiple.
        seed: Seed of the play.
        duration_s: Length of the overload, in seconds.
        options: Further arguments of the Play.
    """
    play = Play(seed=seed, **options)
    capacity_per_s = play.capacity_per_s()
    play.run(CALM_LOAD * capacity_per_s, WARM_UP_S)
    started_at = play.timers.now()
    play.run(load * capacity_per_s, duration_s)
    ended_at = play.timers.now()
    play.run(CALM_LOAD * capacity_per_s, RECOVERY_S + 1.0)
    play.finish()
    during = [
        result for result in play.results if started_at <= result.started_at < ended_at
    ]
    after = [
        result for result in play.results if result.started_at >= ended_at + RECOVERY_S
    ]
    summary = summarize(during)
    admitted_share = summary.in_time + summary.repeated_in_time + summary.late
    work_by_route = {item.route.name: item.work_s for item in play.classes}
    done_s = sum(
        work_by_route[result.route]
        for result in during
        if result.credit > MAX_LATE_CREDIT
    )
    mean_work_s = sum(item.share * item.work_s for item in play.classes)
    return OverloadOutcome(
        summary,
        summarize(after),
        done_s / mean_work_s / duration_s / capacity_per_s,
        summary.late / max(1e-9, admitted_share),
    )


def play_slow_and_leaving(
    seed: int = 1, rate_per_s: float = 97.0, burst: float = 1.7, slow_count: int = 5
) -> tuple[Summary, Summary]:
    """Let some searchers turn slow and others leave, and then callers burst.

    Args:
        seed: Seed of the play.
        rate_per_s: Searches a second before the burst.
        burst: Factor of the rate during the burst.
        slow_count: How many searchers turn slow, and how many leave.

    Returns:
        What callers got from the first slow searcher to the last, and what they got
        afterwards.
    """
    play = Play(seed=seed)
    play.run(rate_per_s, WARM_UP_S)
    started_at = play.timers.now()
    searchers = list(play.searchers_by_id.values())
    play.rng.shuffle(searchers)
    slow, leaving = searchers[:slow_count], searchers[slow_count : 2 * slow_count]
    play.slow(slow, SLOW_FACTOR)
    play.run(rate_per_s, 0.6)
    play.remove(leaving)
    play.run(rate_per_s, 1.5)
    play.run(rate_per_s * burst, 3.7)
    play.run(rate_per_s, 2.0)
    ended_at = play.timers.now()
    play.slow(slow, 1.0)
    play.run(rate_per_s, RECOVERY_S)
    play.finish()
    during = [
        result for result in play.results if started_at <= result.started_at < ended_at
    ]
    after = [result for result in play.results if result.started_at >= ended_at]
    return summarize(during), summarize(after)


def format_outcomes(load: float, outcomes: Sequence[OverloadOutcome]) -> str:
    """Return a line with the means over several seeds."""

    def mean(values: Iterable[float]) -> float:
        return statistics.mean(values)

    return (
        f"load {load:.2f}: goodput {mean(item.goodput_share for item in outcomes):.3f},"
        f" late of the admitted {mean(item.late_share for item in outcomes):.3f},"
        f" in time {mean(item.during.in_time for item in outcomes):.3f},"
        f" refused {mean(item.during.refused for item in outcomes):.3f},"
        f" credit {mean(item.during.credit for item in outcomes):.3f},"
        f" afterwards {mean(item.after.credit for item in outcomes):.3f}"
    )


def main(argv: Sequence[str]) -> int:
    """Play each load on several seeds, print a line for each, return the exit code."""
    for load in [float(argument) for argument in argv[1:]] or LOADS:
        outcomes = [play_overload(load, seed) for seed in SEEDS]
        print(format_outcomes(load, outcomes), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
