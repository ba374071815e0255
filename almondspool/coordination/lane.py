"""Legs that wait for, or run on, one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.gatherer_actions import LaneRow
from almondspool.coordination.limits import AdaptiveLimit
from almondspool.coordination.priority_queue import PriorityQueue

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
        exchange_id: The exchange that carries it; 0 while it waits.
    """

    __slots__ = (
        "exchange_id",
        "expires_at",
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
    ) -> None:
        """Start waiting without sharers."""
        self.leg = leg
        self.upstream_id = upstream_id
        self.priority = priority
        self.expires_at = expires_at
        self.key = key
        self.sharers: list[Sharer] = []
        self.exchange_id = 0


class Exchange:
    """Runs that share one connection at a time.

    Attributes:
        lane: The upstream's lane.
        runs_by_leg_id: Runs without a result yet, by the id on the wire.
        started_at: When it was sent, in monotonic seconds.
        in_flight: Exchanges of the lane at that time, itself included.
        answered: Whether a result has arrived.
    """

    __slots__ = ("answered", "in_flight", "lane", "runs_by_leg_id", "started_at")

    def __init__(self, lane: Lane, runs: list[Run], now: float) -> None:
        """Start with all runs open."""
        self.lane = lane
        self.runs_by_leg_id = {run.leg.leg_id: run for run in runs}
        self.started_at = now
        self.in_flight = lane.in_flight
        self.answered = False


class Lane:
    """Queue, limit and exchanges of one upstream.

    Attributes:
        upstream_id: The upstream.
        granted: Connections this instance may open.
        limit: Adaptive limit of exchanges.
        in_flight: Exchanges that run now.
        arrived: Runs that came to wait, since the start.
        started: Runs that were sent, since the start.
    """

    def __init__(self, upstream_id: str, slots: int, granted: int) -> None:
        """Start empty."""
        self.upstream_id = upstream_id
        self.granted = granted
        self.limit = AdaptiveLimit(slots, granted)
        self.in_flight = 0
        self.arrived = 0
        self.started = 0
        self._queue: PriorityQueue[Run] = PriorityQueue(AGING_S)
        self._held: Run | None = None

    def __len__(self) -> int:
        """Return how many runs wait."""
        return len(self._queue) + (self._held is not None)

    @property
    def has_room(self) -> bool:
        """Return whether another exchange may start."""
        return self.in_flight < self.limit.limit

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
