"""Queue of one upstream: runs that wait and exchanges in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.queues.limits import AdaptiveLimit
from almondspool.coordination.queues.priority_queue import PriorityQueue
from almondspool.coordination.upstreams.leg_dispatcher_actions import UpstreamQueueStats

if TYPE_CHECKING:
    from collections.abc import Iterator

    from almondspool.protocol.upstream import Leg

# Wait after which a run may be sent ahead of higher priority classes.
QUEUE_AGING_S = 0.05


class Waiter(NamedTuple):
    """A leg that waits for the result of a run.

    Attributes:
        leg_id: The leg.
        sender: Passed back with the result.
    """

    leg_id: str
    sender: object


class Run:
    """One execution on an upstream, shared by all equal legs.

    Attributes:
        leg: The leg that was submitted first; its id is the one on the wire.
        upstream_id: The upstream that runs it.
        priority: Priority class in which it waits.
        expires_at: The latest deadline of its legs, in monotonic seconds.
        waiters: The legs that get its result.
        coalescing_key: Key by which equal legs are coalesced; None for a non-idempotent
            leg.
        is_exclusive: Whether no other run may share its exchange.
        exchange_id: The exchange that carries it; 0 while it waits.
    """

    __slots__ = (
        "coalescing_key",
        "exchange_id",
        "expires_at",
        "is_exclusive",
        "leg",
        "priority",
        "upstream_id",
        "waiters",
    )

    def __init__(
        self,
        leg: Leg,
        upstream_id: str,
        priority: int,
        expires_at: float,
        coalescing_key: tuple | None,
        is_exclusive: bool,
    ) -> None:
        """Initialize a run that waits, without waiters."""
        self.leg = leg
        self.upstream_id = upstream_id
        self.priority = priority
        self.expires_at = expires_at
        self.coalescing_key = coalescing_key
        self.is_exclusive = is_exclusive
        self.waiters: list[Waiter] = []
        self.exchange_id = 0


class Exchange:
    """Runs that are sent together over one connection.

    Attributes:
        queue: The upstream's queue.
        runs_by_leg_id: Runs without a result yet, by the leg id on the wire.
        started_at: When it was sent, in monotonic seconds.
        running_at_start: Runs in flight at the upstream then, including its own.
    """

    __slots__ = ("queue", "running_at_start", "runs_by_leg_id", "started_at")

    def __init__(self, queue: UpstreamQueue, runs: list[Run], now: float) -> None:
        """Count the exchange and its runs as in flight in the queue."""
        self.queue = queue
        self.runs_by_leg_id = {run.leg.leg_id: run for run in runs}
        self.started_at = now
        queue.in_flight += 1
        queue.running += len(runs)
        queue.started += len(runs)
        self.running_at_start = queue.running

    def pop(self, leg_id: str) -> Run | None:
        """Remove and return a run that ended; None if it is not in flight."""
        run = self.runs_by_leg_id.pop(leg_id, None)
        if run is not None:
            self.queue.running -= 1
        return run

    def close(self) -> tuple[Run, ...]:
        """End the exchange and return the runs that have no result."""
        self.queue.in_flight -= 1
        return tuple(self.pop(leg_id) for leg_id in tuple(self.runs_by_leg_id))


class UpstreamQueue:
    """Queue, adaptive limit and exchanges of one upstream.

    Attributes:
        upstream_id: The upstream.
        granted: Connections that this instance may open.
        limit: Adaptive limit of runs in flight, and so of exchanges.
        in_flight: Exchanges in flight.
        running: Runs in flight, without a result yet.
        arrived: Runs queued since the start.
        started: Runs sent since the start.
    """

    def __init__(self, upstream_id: str, slots: int, granted: int) -> None:
        """Initialize without runs.

        Args:
            upstream_id: The upstream.
            slots: Runs that the upstream executes concurrently.
            granted: Connections that this instance may open.
        """
        self.upstream_id = upstream_id
        self.granted = granted
        self.limit = AdaptiveLimit(slots, granted)
        self.in_flight = 0
        self.running = 0
        self.arrived = 0
        self.started = 0
        self._queue: PriorityQueue[Run] = PriorityQueue(QUEUE_AGING_S)
        self._requeued: Run | None = None

    def __len__(self) -> int:
        """Return how many runs wait."""
        return len(self._queue) + (self._requeued is not None)

    @property
    def capacity_left(self) -> int:
        """Return how many runs another exchange may carry; 0 if none may start.

        The limit counts runs, not exchanges: an upstream queues the runs of one
        exchange behind its slots, where runs of a higher priority can't overtake them.
        """
        limit = self.limit.limit
        if self.in_flight >= limit:
            return 0
        return max(0, limit - self.running)

    def set_granted(self, granted: int) -> None:
        """Change the granted connections."""
        self.granted = granted
        self.limit.set_granted(granted)

    def push(self, now: float, run: Run) -> None:
        """Append a run to its priority class."""
        self.arrived += 1
        self._queue.push(now, run, run.priority)

    def pop(self, now: float) -> Run | None:
        """Remove and return the next run."""
        if self._requeued is not None:
            run, self._requeued = self._requeued, None
            return run
        return self._queue.pop(now)

    def requeue(self, run: Run) -> None:
        """Put the run that was popped last back at the head of the queue."""
        self._requeued = run

    def remove(self, run: Run) -> None:
        """Remove a waiting run."""
        if self._requeued is run:
            self._requeued = None
        else:
            self._queue.remove(run, run.priority)

    def raise_priority(self, now: float, run: Run, priority: int) -> None:
        """Move a waiting run to a class if that is higher than its own."""
        if priority >= run.priority:
            return
        waits_in_queue = self._queue.remove(run, run.priority)
        run.priority = priority
        if waits_in_queue:
            self._queue.push(now, run, priority)

    def evict(self, below: int) -> Run | None:
        """Remove and return the newest run of the lowest class, or None.

        Args:
            below: Only runs of a lower class than this one are removed.
        """
        return self._queue.evict_lowest(below)

    def waiting(self) -> Iterator[Run]:
        """Yield the waiting runs."""
        if self._requeued is not None:
            yield self._requeued
        yield from self._queue.keys()

    def oldest_wait_s(self, now: float) -> float:
        """Return how long the oldest waiting run has waited, in seconds."""
        since = self._queue.oldest_since()
        return now - since if since is not None else 0.0

    def stats(self, now: float) -> UpstreamQueueStats:
        """Return the statistics for status and metrics."""
        return UpstreamQueueStats(
            self.upstream_id,
            len(self),
            self.in_flight,
            self.limit.limit,
            self.granted,
            self.oldest_wait_s(now),
            self.limit.latency_s,
            self.limit.min_latency_s,
            self.arrived,
            self.started,
        )
