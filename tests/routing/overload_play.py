"""Simulated searchers, connections and callers for plays of overload.

Several instances route searches to the same searchers, and each of them knows only its
own legs and the load reports in their replies. Time is virtual.
"""

from __future__ import annotations

import collections
import math
import random
from typing import NamedTuple

from almondspool.protocol.exchange import (
    CallerRequest,
    ConnectionState,
    LegHandle,
    LegOutcome,
    LegReply,
    LegSender,
    ReportedLoad,
)
from almondspool.transport.timers import VirtualTimers
from tests.routing.routing_harness import (
    HOST,
    ZONES,
    RoutingHarness,
    leg_reply,
    make_replicas,
    make_table,
    search_route,
)

IN_ZONE_DELAY_S = 0.0001
CROSS_ZONE_DELAY_S = 0.0034
CALLER_DELAY_S = 0.003
HANDSHAKE_S = 0.006
QUEUE_LIMIT = 18
# Variation of the time that a leg runs: a log-normal factor, and stragglers.
WORK_SIGMA = 0.34
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 5.0
# Interval of a searcher's pauses.
PAUSE_INTERVAL_S = 4.5
WARM_UP_S = 2.0
# Time after an overload in which the load of before must be served as before.
RECOVERY_S = 2.0
# Load before and after an overload, as a share of what the slots can run.
CALM_LOAD = 0.3
# Highest credit of a late answer; others have more, also if the minimum of the shards
# is in them.
MAX_LATE_CREDIT = 0.2
# Factor of the searchers that turn slow.
SLOW_FACTOR = 11.0

LOOKUP = search_route(
    name="lookup",
    path_prefix="/lookup/",
    latency_target_s=0.183,
    timeout_s=2.5,
    priority=1,
    min_coverage=0.89,
)
CHECK = search_route(
    name="check",
    path_prefix="/check/",
    latency_target_s=0.091,
    timeout_s=1.0,
    priority=2,
    min_coverage=0.75,
)


class CallerClass(NamedTuple):
    """One kind of search: its route, share of the callers, work and value."""

    route: object
    share: float
    work_s: float
    deadline_s: float
    worth: float


CLASSES = (
    CallerClass(LOOKUP, 0.75, 0.030, 2.5, 2.0),
    CallerClass(CHECK, 0.25, 0.0101, 1.0, 1.0),
)


class Searcher:
    """A replica with slots, a FIFO queue, pauses and a factor of slowness."""

    def __init__(self, replica, timers, rng, pause_s):
        self.replica = replica
        self.timers = timers
        self.rng = rng
        self.pause_s = pause_s
        self.pause_offset_s = rng.random() * PAUSE_INTERVAL_S
        self.slowness = 1.0
        self.is_up = True
        self.running = set()
        self.queue = collections.deque()
        self.busy_s = 0.0

    def arrive(self, leg):
        if len(self.running) < self.replica.slots:
            self._start(leg)
        elif len(self.queue) < QUEUE_LIMIT:
            self.queue.append(leg)
        else:
            leg.reply(LegReply(LegOutcome.NOT_RUN, 503, load=self._load()))

    def drop(self, leg):
        """Stop a leg whose connection was closed."""
        if leg in self.running:
            self._release(leg)
        elif leg in self.queue:
            self.queue.remove(leg)

    def _start(self, leg):
        if self.timers.now() >= leg.deadline_at:
            leg.reply(LegReply(LegOutcome.NOT_RUN, 503, load=self._load()))
            return
        self.running.add(leg)
        work_s = leg.work_s * self.slowness * self.rng.lognormvariate(0.0, WORK_SIGMA)
        if self.rng.random() < STRAGGLER_SHARE:
            work_s *= STRAGGLER_FACTOR
        delay_s = self._with_pauses(work_s)
        self.busy_s += delay_s
        self.timers.call_later(delay_s, lambda: self._end(leg))

    def _with_pauses(self, work_s):
        if not self.pause_s:
            return work_s
        now = self.timers.now()
        cycle_s = (now + self.pause_offset_s) % PAUSE_INTERVAL_S
        left_of_pause_s = max(0.0, self.pause_s - cycle_s)
        until_next_s = PAUSE_INTERVAL_S - max(cycle_s, self.pause_s)
        pauses = 0 if work_s < until_next_s else 1
        return left_of_pause_s + work_s + pauses * self.pause_s

    def _end(self, leg):
        if leg not in self.running:
            return
        load = self._load()
        self._release(leg)
        leg.reply(leg_reply(self.replica, load=load))

    def _release(self, leg):
        self.running.discard(leg)
        while self.queue and len(self.running) < self.replica.slots:
            self._start(self.queue.popleft())

    def _load(self):
        return ReportedLoad(len(self.running), len(self.queue), self.replica.slots)


class _Leg(LegHandle):
    def __init__(self, sender, searcher, work_s, deadline_at, on_end):
        self.sender = sender
        self.searcher = searcher
        self.work_s = work_s
        self.deadline_at = deadline_at
        self.on_end = on_end
        self.is_sent = False
        self.delay_s = sender.delay_s(searcher.replica)

    def send(self):
        self.is_sent = True
        self.sender.timers.call_later(self.delay_s, self._arrive)

    def _arrive(self):
        if self.on_end is not None:
            self.searcher.arrive(self)

    def reply(self, reply):
        self.sender.timers.call_later(self.delay_s, lambda: self._deliver(reply))

    def _deliver(self, reply):
        if self.on_end is not None:
            self.sender.release(self.searcher.replica)
            self._finish(reply)

    def cancel(self):
        self._stop(LegOutcome.CANCELLED)

    def detach(self, within_s):
        if not self.is_sent:
            self.cancel()
            return
        self.sender.timers.call_later(within_s, lambda: self._stop(LegOutcome.SILENT))

    def _stop(self, outcome):
        if self.on_end is None:
            return
        self.sender.close(self)
        if self.is_sent:
            timers = self.sender.timers
            timers.call_later(self.delay_s, lambda: self.searcher.drop(self))
        self._finish(LegReply(outcome))

    def _finish(self, reply):
        on_end, self.on_end = self.on_end, None
        on_end(reply)


class _Connections:
    def __init__(self, limit):
        self.limit = limit
        self.idle = min(1, limit)
        self.open_count = self.idle
        self.waiting = collections.deque()


class SearcherConnections(LegSender):
    """Sends one instance's legs over a limited number of connections."""

    def __init__(self, zone, searchers_by_id, timers, limit, work_by_path):
        self.zone = zone
        self.timers = timers
        self.searchers_by_id = searchers_by_id
        self.work_by_path = work_by_path
        self.connects = 0
        self.legs = 0
        self._by_id = {key: _Connections(limit) for key in searchers_by_id}

    def delay_s(self, replica):
        return IN_ZONE_DELAY_S if replica.zone == self.zone else CROSS_ZONE_DELAY_S

    def send(self, replica, request, deadline_s, on_end):
        self.legs += 1
        target = request.head.split(b"/")[1].decode()
        searcher = self.searchers_by_id[replica.replica_id]
        deadline_at = self.timers.now() + deadline_s
        work_s = self.work_by_path[target]
        leg = _Leg(self, searcher, work_s, deadline_at, on_end)
        if not searcher.is_up:
            delay_s = 2 * leg.delay_s
            self.timers.call_later(
                delay_s, lambda: leg._finish(LegReply(LegOutcome.NOT_SENT))
            )
            return leg
        connections = self._by_id[replica.replica_id]
        if connections.idle:
            connections.idle -= 1
            leg.send()
        else:
            connections.waiting.append(leg)
            self._connect(replica)
        return leg

    def _connect(self, replica):
        connections = self._by_id[replica.replica_id]
        if connections.open_count >= connections.limit:
            return
        connections.open_count += 1
        self.connects += 1
        delay_s = 2 * self.delay_s(replica) + HANDSHAKE_S
        self.timers.call_later(delay_s, lambda: self.release(replica))

    def release(self, replica):
        """Use a free connection for the next waiting leg, or keep it idle."""
        connections = self._by_id[replica.replica_id]
        while connections.waiting:
            leg = connections.waiting.popleft()
            if leg.on_end is not None:
                leg.send()
                return
        connections.idle += 1

    def close(self, leg):
        """Close the connection of a leg."""
        if leg.is_sent:
            replica = leg.searcher.replica
            connections = self._by_id[replica.replica_id]
            connections.open_count -= 1
            if connections.waiting:
                self._connect(replica)

    def probe(self, replica, on_result):
        searcher = self.searchers_by_id[replica.replica_id]
        self.timers.call_later(0.002, lambda: on_result(not searcher.is_up))

    def drop_waiting(self, replica):
        pass

    def connection_state(self, replica):
        connections = self._by_id[replica.replica_id]
        if connections.idle:
            return ConnectionState.IDLE
        if connections.open_count < connections.limit:
            return ConnectionState.CONNECT
        return ConnectionState.BUSY


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
    """Instances, searchers and callers that share a virtual clock."""

    def __init__(
        self,
        seed=1,
        instances=6,
        shards=10,
        slots=3,
        connections=30,
        classes=CLASSES,
        pause_s=0.2,
        repeats=1,
    ):
        self.timers = VirtualTimers(start=100.0)
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
            for replica in make_replicas(service, slots=slots)
        }
        self.shards = services
        self.slots = slots
        work_by_path = {item.route.name: item.work_s for item in self.classes}
        limit = connections // instances
        self.harnesses = []
        for number in range(instances):
            zone = ZONES[number % len(ZONES)]
            harness = RoutingHarness(
                timers=self.timers,
                zone=zone,
                sender=SearcherConnections(
                    zone, self.searchers_by_id, self.timers, limit, work_by_path
                ),
                seed=seed * 100 + number,
                instances=instances,
            )
            for searcher in self.searchers_by_id.values():
                harness.registry.put(self.timers.now(), searcher.replica)
            harness.router.set_table(make_table(*(item.route for item in self.classes)))
            self.harnesses.append(harness)
        self.results = []
        self._request_count = 0

    def capacity_per_s(self):
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

    def searchers_of(self, service):
        return [
            item
            for item in self.searchers_by_id.values()
            if item.replica.service == service
        ]

    def slow(self, searchers, factor):
        for searcher in searchers:
            searcher.slowness = factor

    def remove(self, searchers):
        """Take searchers away as a planned drain does."""
        for searcher in searchers:
            for harness in self.harnesses:
                harness.registry.remove_all(
                    self.timers.now(), [searcher.replica.replica_id]
                )

    def run(self, rate_per_s, duration_s):
        """Offer searches at a rate; their results are appended to ``results``."""
        end = self.timers.now() + duration_s
        while (delay_s := self.rng.expovariate(rate_per_s)) is not None:
            if self.timers.now() + delay_s >= end:
                break
            self.timers.advance(delay_s)
            self._offer()
        self.timers.advance(max(0.0, end - self.timers.now()))

    def finish(self):
        """Wait until every caller has an answer."""
        self.timers.advance(6.0)

    def _offer(self):
        weights = [item.share for item in self.classes]
        caller_class = self.rng.choices(self.classes, weights)[0]
        self._attempt(caller_class, self.timers.now(), 1)

    def _attempt(self, caller_class, first_at, attempt):
        now = self.timers.now()
        left_s = caller_class.deadline_s - (now - first_at)
        self._request_count += 1
        request_id = f"r{self._request_count}"
        harness = self.rng.choice(self.harnesses)

        def arrive():
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
            harness.router.handle(request, reply)

        def reply(answer):
            self.timers.call_later(CALLER_DELAY_S, lambda: receive(answer))

        def receive(answer):
            self._receive(harness, caller_class, first_at, now, attempt, answer)

        self.timers.call_later(CALLER_DELAY_S, arrive)

    def _receive(self, harness, caller_class, first_at, sent_at, attempt, answer):
        now = self.timers.now()
        left_s = caller_class.deadline_s - (now - first_at)
        if answer.status != 200 and attempt <= self.repeats and left_s > 0.02:
            retry_after = harness.header(answer, "Retry-After")
            delay_s = min(float(retry_after or 0.0), left_s / 3)
            self.timers.call_later(
                delay_s, lambda: self._attempt(caller_class, first_at, attempt + 1)
            )
            return
        share = 0.0
        if answer.status == 200:
            missing = int(harness.header(answer, "Missing-Shards") or 0)
            share = 1.0 - missing / len(self.shards)
        target_s = caller_class.route.latency_target_s
        is_in_time = answer.status == 200 and now - first_at <= target_s
        credit = 0.0
        if answer.status == 200:
            value = 0.1
            if is_in_time:
                value = 1.0
            elif now - sent_at <= target_s:
                value = 0.55
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


class Summary(NamedTuple):
    """Shares of the callers, and the credit of all weighted by their worth."""

    count: int
    in_time: float
    repeated_in_time: float
    late: float
    refused: float
    failed: float
    credit: float


def summarize(results, classes=CLASSES):
    """Return a summary of what callers got."""
    worth_by_route = {item.route.name: item.worth for item in classes}
    count = max(1, len(results))
    in_time = sum(result.is_in_time for result in results)
    repeated = sum(
        result.credit > MAX_LATE_CREDIT and not result.is_in_time for result in results
    )
    late = sum(result.status == 200 for result in results) - in_time - repeated
    refused = sum(result.status == 503 for result in results)
    owed = sum(worth_by_route[result.route] for result in results)
    credit = sum(worth_by_route[result.route] * result.credit for result in results)
    return Summary(
        len(results),
        in_time / count,
        repeated / count,
        late / count,
        refused / count,
        sum(result.status not in (200, 503) for result in results) / count,
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


def play_overload(load, seed=1, duration_s=4.0, **options):
    """Offer a multiple of what the slots can run, after and before a calm load."""
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


def play_slow_and_leaving(seed=1, rate_per_s=97.0, burst=1.7, slow_count=5):
    """Let some searchers turn slow and others leave, and then callers burst.

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
