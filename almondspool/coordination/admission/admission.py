"""Admission control: queues requests by priority, refuses those that would be late."""

from __future__ import annotations

import random
from typing import NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.queues.limits import DeadlineLimit
from almondspool.coordination.queues.priority_queue import PriorityQueue
from almondspool.coordination.queues.rates import DecayedRate, DurationEstimate
from almondspool.state.document import Priority

# Wait after which a request may be admitted ahead of higher classes.
QUEUE_AGING_S = 0.1
# Time constant of the arrival rates.
RATE_DECAY_S = 5.0
# Service time assumed until the first request has finished.
INITIAL_SERVICE_TIME_S = 0.02
# A request that ran for a larger share of its deadline than this indicates excessive
# concurrency. Missed deadlines don't show it: partial answers end before them.
MAX_SERVICE_SHARE_OF_DEADLINE = 0.6
# Cap on the load share of higher classes in wait estimates, which keeps the
# estimates finite.
MAX_HIGHER_CLASS_SHARE = 0.9

# Bounds of the retry delay of a refused request, before jitter.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 30.0
# Retry delays of refused requests are chosen such that the retries use this share of
# the capacity.
RETRY_CAPACITY_SHARE = 0.5
# A retry delay is varied randomly by up to this share of it, up or down.
RETRY_JITTER = 0.25


class Admit(NamedTuple):
    """Run a request now.

    Attributes:
        request_id: Id of the request.
        waited_s: Time since its arrival, in seconds.
    """

    request_id: str
    waited_s: float


class Queue(NamedTuple):
    """Keep a request waiting in the queue.

    Attributes:
        request_id: Id of the request.
        estimated_wait_s: Expected time until it is admitted, in seconds.
    """

    request_id: str
    estimated_wait_s: float


class Refuse(NamedTuple):
    """Reject a request at once, without running it.

    Attributes:
        request_id: Id of the request.
        code: NOT_RUN_OVERLOADED, or DEADLINE_EXPIRED on arrival.
        retry_after_ms: Delay before the caller should retry, in milliseconds.
        detail: Human-readable reason, one line.
    """

    request_id: str
    code: ResultCode
    retry_after_ms: int
    detail: str


Action = Admit | Queue | Refuse


class AdmissionStats(NamedTuple):
    """Admission state for status and metrics.

    Attributes:
        running: Number of admitted requests that have not finished.
        limit: Current limit of concurrently running requests.
        waiting: Number of waiting requests.
        oldest_wait_s: Longest wait of a request that is still waiting, in seconds.
        arrivals_per_s: Arrivals of all classes per second, decayed average.
        service_s: Mean service time, in seconds.
    """

    running: int
    limit: int
    waiting: int
    oldest_wait_s: float
    arrivals_per_s: float
    service_s: float


class _Request(NamedTuple):
    priority: int
    kind: str
    arrived_at: float
    expires_at: float


class Admission:
    """Admits or refuses each request exactly once, possibly after it has waited."""

    def __init__(
        self, now: float, concurrent_requests: int, queue_limit: int, seed: int
    ) -> None:
        """Initialize without requests.

        Args:
            now: Monotonic seconds.
            concurrent_requests: Maximum number of requests that run concurrently.
            queue_limit: Maximum number of waiting requests.
            seed: Seed of the retry jitter.
        """
        self._queue_limit = queue_limit
        self._random = random.Random(seed)
        self._limit = DeadlineLimit(concurrent_requests)
        self._queue: PriorityQueue[str] = PriorityQueue(QUEUE_AGING_S)
        self._waiting_by_id: dict[str, _Request] = {}
        self._running_by_id: dict[str, _Request] = {}
        self._service_time = DurationEstimate(INITIAL_SERVICE_TIME_S)
        # By kind and priority class.
        self._service_time_by_key: dict[tuple[str, int], DurationEstimate] = {}
        self._arrival_rates = tuple(DecayedRate(RATE_DECAY_S, now) for _ in Priority)
        self._next_retry_at = now

    def submit(
        self,
        now: float,
        request_id: str,
        priority: int,
        deadline_s: float,
        kind: str = "",
    ) -> list[Action]:
        """Admit, queue or refuse a new request; may refuse another to make room.

        Args:
            now: Monotonic seconds.
            request_id: Id that is unique among waiting and running requests.
            priority: Priority class.
            deadline_s: Remaining time until the deadline, in seconds.
            kind: Groups requests of similar service time; the number of kinds must
                be small.
        """
        self._arrival_rates[priority].add(now)
        if deadline_s <= 0:
            detail = "the deadline had passed on arrival"
            return [Refuse(request_id, ResultCode.DEADLINE_EXPIRED, 0, detail)]
        request = _Request(priority, kind, now, now + deadline_s)
        if self._has_capacity() and not self._waiting_by_id:
            return [self._admit(now, request_id, request)]
        return self._enqueue(now, request_id, request)

    def finish(
        self, now: float, request_id: str, service_time_s: float
    ) -> list[Action]:
        """Record the end of an admitted request and admit the next ones.

        Args:
            now: Monotonic seconds.
            request_id: Id of the request.
            service_time_s: Time from admission to the end, in seconds.
        """
        request = self._running_by_id.pop(request_id)
        self._service_time.add(service_time_s)
        # Upstreams serve higher classes first: service time also depends on the class.
        key = (request.kind, request.priority)
        estimate = self._service_time_by_key.get(key)
        if estimate is None:
            estimate = self._service_time_by_key[key] = DurationEstimate(0.0)
        estimate.add(service_time_s)
        max_service_time_s = MAX_SERVICE_SHARE_OF_DEADLINE * (
            request.expires_at - request.arrived_at
        )
        in_use = len(self._running_by_id) + 1
        self._limit.on_finished(
            now, service_time_s > max_service_time_s, service_time_s, in_use
        )
        return self._admit_next(now)

    def cancel(self, now: float, request_id: str) -> list[Action]:
        """Remove a waiting request whose caller has disconnected."""
        request = self._waiting_by_id.pop(request_id, None)
        if request is not None:
            self._queue.remove(request_id, request.priority)
        return self._admit_next(now)

    def on_timer(self, now: float) -> list[Action]:
        """Refuse every waiting request that can no longer finish before its deadline.

        To be called at short intervals while requests wait.
        """
        actions: list[Action] = []
        times_per_position_s = [
            self._time_per_position_s(now, priority) for priority in Priority
        ]
        ahead = 0
        for request_id in tuple(self._queue.keys()):
            request = self._waiting_by_id[request_id]
            wait_s = (ahead + 1) * times_per_position_s[request.priority]
            if self._is_late(now, request, wait_s):
                del self._waiting_by_id[request_id]
                self._queue.remove(request_id, request.priority)
                actions.append(self._refuse(now, request_id, _late_detail(wait_s)))
            else:
                ahead += 1
        actions.extend(self._admit_next(now))
        return actions

    def is_waiting(self) -> bool:
        """Return whether any request is waiting."""
        return bool(self._waiting_by_id)

    def stats(self, now: float) -> AdmissionStats:
        """Return the state for status and metrics."""
        oldest_queued_at = self._queue.oldest_since()
        return AdmissionStats(
            len(self._running_by_id),
            self._limit.limit,
            len(self._waiting_by_id),
            now - oldest_queued_at if oldest_queued_at is not None else 0.0,
            sum(rate.per_s(now) for rate in self._arrival_rates),
            self._service_time.mean_s,
        )

    def _has_capacity(self) -> bool:
        return len(self._running_by_id) < self._limit.limit

    def _enqueue(self, now: float, request_id: str, request: _Request) -> list[Action]:
        ahead = self._queue.length_ahead(request.priority)
        wait_s = (ahead + 1) * self._time_per_position_s(now, request.priority)
        if self._is_late(now, request, wait_s):
            return [self._refuse(now, request_id, _late_detail(wait_s))]
        actions: list[Action] = []
        if len(self._waiting_by_id) >= self._queue_limit:
            displaced = self._queue.evict_lowest(request.priority)
            if displaced is None:
                detail = f"{len(self._waiting_by_id)} requests wait"
                return [self._refuse(now, request_id, detail)]
            del self._waiting_by_id[displaced]
            detail = "displaced by a request of a higher class"
            actions.append(self._refuse(now, displaced, detail))
        self._waiting_by_id[request_id] = request
        self._queue.push(now, request_id, request.priority)
        actions.append(Queue(request_id, wait_s))
        return actions

    def _admit_next(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._has_capacity():
            request_id = self._queue.pop(now)
            if request_id is None:
                break
            request = self._waiting_by_id.pop(request_id)
            if self._is_late(now, request, 0.0):
                actions.append(self._refuse(now, request_id, _late_detail(0.0)))
            else:
                actions.append(self._admit(now, request_id, request))
        return actions

    def _admit(self, now: float, request_id: str, request: _Request) -> Admit:
        self._running_by_id[request_id] = request
        return Admit(request_id, now - request.arrived_at)

    def _refuse(self, now: float, request_id: str, detail: str) -> Refuse:
        code = ResultCode.NOT_RUN_OVERLOADED
        return Refuse(request_id, code, self._retry_after_ms(now), detail)

    def _is_late(self, now: float, request: _Request, wait_s: float) -> bool:
        """Return whether a request would miss its deadline after a further wait."""
        key = (request.kind, request.priority)
        estimate = self._service_time_by_key.get(key, self._service_time)
        return now + wait_s + estimate.high_s() > request.expires_at

    def _time_per_position_s(self, now: float, priority: int) -> float:
        """Return the expected time per queue position of a class, in seconds.

        It includes the requests of higher classes that arrive meanwhile.
        """
        interval_s = self._service_time.mean_s / self._limit.limit
        higher_per_s = sum(rate.per_s(now) for rate in self._arrival_rates[:priority])
        higher_share = min(MAX_HIGHER_CLASS_SHARE, higher_per_s * interval_s)
        return interval_s / (1.0 - higher_share)

    def _retry_after_ms(self, now: float) -> int:
        # Each refusal reserves the next future time slot, so that callers refused
        # together do not retry together.
        interval_s = self._service_time.mean_s / self._limit.limit
        drained_at = now + len(self._waiting_by_id) * interval_s
        earliest = max(self._next_retry_at, drained_at)
        self._next_retry_at = min(
            earliest + interval_s / RETRY_CAPACITY_SHARE, now + MAX_RETRY_S
        )
        jitter = 1.0 + RETRY_JITTER * self._random.uniform(-1.0, 1.0)
        wait_s = max(MIN_RETRY_S, self._next_retry_at - now) * jitter
        return int(wait_s * 1000)


def _late_detail(wait_s: float) -> str:
    return f"an estimated wait of {wait_s * 1000:.0f} ms leaves too little time to run"
