"""Legs that wait for, or run on, one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.queues.limits import AdaptiveLimit
from almondspool.coordination.queues.priority_queue import PriorityQueue
from almondspool.coordination.upstreams.leg_dispatcher_actions import LaneRow

if TYPE_CHECKING:
    from collections.abc import Iterator

    from almondspool.protocol.upstream import Leg

AGING_S = 0.05


class Sharer(NamedTuple):
    """A leg that gets the result of a run, and who sent it."""

    leg_id: str
    sender: object


class Run:
    """One execution on an upstream, shared by all equal legs.

    Attributes:
        leg: The leg as first sent; its id is the one on the wire.
        upstream_id: Where it runs.
        priority: Priority class it waits in.
        expires_at: The latest deadline of its legs, in monotonic seconds.
        sharers: The legs that get its result.
        key: Identity of equal work; None for a non-idempotent leg.
        is_alone: Whether no other run may share its exchange.
        exchange_id: The exchange that carries it; 0 while it waits.
    """

    __slots__ = (
        "exchange_id",
        "expires_at",
        "is_alone",
        "key",
        "leg",
        "priority",
        "sharers",
        "upstream_id",
    )

    def __init__(
        self,
        leg: Leg,
        upstream_id: str,
        priority: int,
        expires_at: float,
        key: tuple | None,
        is_alone: bool,
    ) -> None:
        """Start waiting without sharers."""
        self.leg = leg
        self.upstream_id = upstream_id
        self.priority = priority
        self.expires_at = expires_at
        self.key = key
        self.is_alone = is_alone
        self.sharers: list[Sharer] = []
        self.exchange_id = 0


class Exchange:
    """Runs that share one connection at a time.

    Attributes:
        lane: The upstream's lane.
        runs_by_leg_id: Runs without a result yet, by the id on the wire.
        started_at: When it was sent, in monotonic seconds.
        running: Runs of the lane in flight at that time, its own included.
    """

    __slots__ = ("lane", "running", "runs_by_leg_id", "started_at")

    def __init__(self, lane: Lane, runs: list[Run], now: float) -> None:
        """Start with all runs open."""
        self.lane = lane
        self.runs_by_leg_id = {run.leg.leg_id: run for run in runs}
        self.started_at = now
        lane.in_flight += 1
        lane.running += len(runs)
        lane.started += len(runs)
        self.running = lane.running

    def take(self, leg_id: str) -> Run | None:
        """Take out a run that ended; None if the id is not of an open one."""
        run = self.runs_by_leg_id.pop(leg_id, None)
        if run is not None:
            self.lane.running -= 1
        return run

    def close(self) -> tuple[Run, ...]:
        """End the exchange and return the runs that had no result."""
        self.lane.in_flight -= 1
        return tuple(self.take(leg_id) for leg_id in tuple(self.runs_by_leg_id))


class Lane:
    """Queue, limit and exchanges of one upstream.

    Attributes:
        upstream_id: The upstream.
        granted: Connections this instance may open.
        limit: Adaptive limit of runs in flight, and so of exchanges.
        in_flight: Exchanges that run now.
        running: Runs in flight, without a result yet.
        arrived: Runs that came to wait, since the start.
        started: Runs that were sent, since the start.
    """

    def __init__(self, upstream_id: str, slots: int, granted: int) -> None:
        """Start empty."""
        self.upstream_id = upstream_id
        self.granted = granted
        self.limit = AdaptiveLimit(slots, granted)
        self.in_flight = 0
        self.running = 0
        self.arrived = 0
        self.started = 0
        self._queue: PriorityQueue[Run] = PriorityQueue(AGING_S)
        self._held: Run | None = None

    def __len__(self) -> int:
        """Return how many runs wait."""
        return len(self._queue) + (self._held is not None)

    @property
    def room(self) -> int:
        """Return how many runs another exchange may carry; 0 for no exchange.

        Runs count, not exchanges: an upstream queues the runs of one exchange behind
        its slots, and what it queues no priority can overtake any more.
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
        """Let a run wait in its class."""
        self.arrived += 1
        self._queue.push(now, run, run.priority)

    def pop(self, now: float) -> Run | None:
        """Take the next run."""
        if self._held is not None:
            run, self._held = self._held, None
            return run
        return self._queue.pop(now)

    def hold(self, run: Run) -> None:
        """Give back the run just taken, to be the next one."""
        self._held = run

    def remove(self, run: Run) -> None:
        """Take out a waiting run."""
        if self._held is run:
            self._held = None
        else:
            self._queue.remove(run, run.priority)

    def raise_priority(self, now: float, run: Run, priority: int) -> None:
        """Move a waiting run into a higher class."""
        if priority >= run.priority:
            return
        waits_in_queue = self._queue.remove(run, run.priority)
        run.priority = priority
        if waits_in_queue:
            self._queue.push(now, run, priority)

    def displace(self, above: int) -> Run | None:
        """Take out the newest run of the lowest class below a class, if any."""
        return self._queue.pop_lowest(above)

    def waiting(self) -> Iterator[Run]:
        """Yield the waiting runs."""
        if self._held is not None:
            yield self._held
        yield from self._queue.keys()

    def oldest_wait_s(self, now: float) -> float:
        """Return how long the first of the waiting runs has waited, in seconds."""
        since = self._queue.oldest_since()
        return now - since if since is not None else 0.0

    def row(self, now: float) -> LaneRow:
        """Return the state for status and metrics."""
        return LaneRow(
            self.upstream_id,
            len(self),
            self.in_flight,
            self.limit.limit,
            self.granted,
            self.oldest_wait_s(now),
            self.limit.latency_s,
            self.limit.floor_s,
            self.arrived,
            self.started,
        )
