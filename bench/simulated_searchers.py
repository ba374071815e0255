"""Simulated searchers and connections in virtual time, for plays of overload."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from almondspool.protocol.exchange import (
    ConnectionState,
    LegHandle,
    LegOutcome,
    LegReply,
    LegSender,
    ReportedLoad,
    UpstreamHints,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from almondspool.protocol.exchange import LegRequest
    from almondspool.state.routes import Replica
    from almondspool.transport.timers import VirtualTimers

IN_ZONE_DELAY_S = 0.0001
CROSS_ZONE_DELAY_S = 0.0034
# Time that a searcher takes to accept a connection.
HANDSHAKE_S = 0.006
# A searcher rejects a leg if this many wait already.
QUEUE_LIMIT = 18
# Variation of the time that a leg runs: a log-normal factor, and stragglers.
WORK_SIGMA = 0.34
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 5.0
# Interval of a searcher's pauses.
PAUSE_INTERVAL_S = 4.5
REJECTED_STATUS = 503


class Searcher:
    """A replica with slots, a FIFO queue, pauses and a factor of slowness.

    Attributes:
        replica: What instances know of the searcher.
        slowness: Factor of the time that a leg takes.
        is_up: Whether the searcher accepts connections.
        rate_limit: Requests a second that it accepts, named in its replies, or None.
        arrivals: When legs arrived, in monotonic seconds.
    """

    def __init__(
        self,
        replica: Replica,
        timers: VirtualTimers,
        rng: random.Random,
        pause_s: float,
    ) -> None:
        """Start idle.

        Args:
            replica: What instances know of the searcher.
            timers: The virtual clock.
            rng: Source of the work and of the first pause.
            pause_s: Length of a pause, in seconds; 0.0 for none.
        """
        self.replica = replica
        self.timers = timers
        self.rng = rng
        self.pause_s = pause_s
        self.pause_offset_s = rng.random() * PAUSE_INTERVAL_S
        self.slowness = 1.0
        self.is_up = True
        self.rate_limit: float | None = None
        self.arrivals: list[float] = []
        self.running: set[_Leg] = set()
        self.queue: collections.deque[_Leg] = collections.deque()

    def arrive(self, leg: _Leg) -> None:
        """Run, queue or reject a leg; break its connection if the searcher is down."""
        self.arrivals.append(self.timers.now())
        if not self.is_up:
            leg.reply(LegReply(LegOutcome.BROKEN))
        elif len(self.running) < self.replica.slots:
            self._start(leg)
        elif len(self.queue) < QUEUE_LIMIT:
            self.queue.append(leg)
        else:
            leg.reply(self._rejection())

    def crash(self) -> None:
        """Break all connections and refuse new ones."""
        self.is_up = False
        broken = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        for leg in broken:
            leg.reply(LegReply(LegOutcome.BROKEN))

    def drop(self, leg: _Leg) -> None:
        """Stop a leg whose connection was closed."""
        if leg in self.running:
            self._release(leg)
        elif leg in self.queue:
            self.queue.remove(leg)

    def _start(self, leg: _Leg) -> None:
        if self.timers.now() >= leg.deadline_at:
            leg.reply(self._rejection())
            return
        self.running.add(leg)
        work_s = leg.work_s * self.slowness * self.rng.lognormvariate(0.0, WORK_SIGMA)
        if self.rng.random() < STRAGGLER_SHARE:
            work_s *= STRAGGLER_FACTOR
        delay_s = self._with_pauses(work_s)
        self.timers.call_later(delay_s, lambda: self._end(leg))

    def _with_pauses(self, work_s: float) -> float:
        """Return how long work takes that starts now, with the pauses in it."""
        if not self.pause_s:
            return work_s
        now = self.timers.now()
        cycle_s = (now + self.pause_offset_s) % PAUSE_INTERVAL_S
        left_of_pause_s = max(0.0, self.pause_s - cycle_s)
        until_next_s = PAUSE_INTERVAL_S - max(cycle_s, self.pause_s)
        pauses = 0 if work_s < until_next_s else 1
        return left_of_pause_s + work_s + pauses * self.pause_s

    def _end(self, leg: _Leg) -> None:
        if leg not in self.running:
            return
        load = self._load()
        self._release(leg)
        signature = f"signed-{self.replica.replica_id}".encode()
        reply = LegReply(LegOutcome.ANSWERED, 200, (), b"", signature, load)
        leg.reply(reply._replace(hints=self._hints()))

    def _release(self, leg: _Leg) -> None:
        self.running.discard(leg)
        while self.queue and len(self.running) < self.replica.slots:
            self._start(self.queue.popleft())

    def _rejection(self) -> LegReply:
        return LegReply(
            LegOutcome.NOT_RUN,
            REJECTED_STATUS,
            load=self._load(),
            hints=self._hints(),
        )

    def _hints(self) -> UpstreamHints:
        kind = "limit" if self.rate_limit is not None else ""
        return UpstreamHints(kind=kind, rate_limit=self.rate_limit)

    def _load(self) -> ReportedLoad:
        return ReportedLoad(len(self.running), len(self.queue), self.replica.slots)


class _Leg(LegHandle):
    """A leg on its way to a searcher, in its queue, running or replied to."""

    def __init__(
        self,
        sender: SearcherConnections,
        searcher: Searcher,
        work_s: float,
        deadline_at: float,
        on_end: Callable[[LegReply], None],
    ) -> None:
        self.sender = sender
        self.searcher = searcher
        self.work_s = work_s
        self.deadline_at = deadline_at
        self.on_end: Callable[[LegReply], None] | None = on_end
        self.is_sent = False
        self.delay_s = sender.delay_s(searcher.replica)

    def send(self) -> None:
        self.is_sent = True
        self.sender.timers.call_later(self.delay_s, self._arrive)

    def _arrive(self) -> None:
        if self.on_end is not None:
            self.searcher.arrive(self)

    def reply(self, reply: LegReply) -> None:
        self.sender.timers.call_later(self.delay_s, lambda: self._deliver(reply))

    def _deliver(self, reply: LegReply) -> None:
        if self.on_end is None:
            return
        if reply.outcome is LegOutcome.BROKEN:
            self.sender.close(self)
        else:
            self.sender.release(self.searcher.replica)
        self.finish(reply)

    def cancel(self) -> None:
        self._stop(LegOutcome.CANCELLED)

    def detach(self, within_s: float) -> None:
        if not self.is_sent:
            self.cancel()
            return
        self.sender.timers.call_later(within_s, lambda: self._stop(LegOutcome.SILENT))

    def _stop(self, outcome: LegOutcome) -> None:
        if self.on_end is None:
            return
        self.sender.close(self)
        if self.is_sent:
            timers = self.sender.timers
            timers.call_later(self.delay_s, lambda: self.searcher.drop(self))
        self.finish(LegReply(outcome))

    def finish(self, reply: LegReply) -> None:
        on_end, self.on_end = self.on_end, None
        on_end(reply)


class _Connections:
    """Connections of one instance to one searcher."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.idle = min(1, limit)
        self.open_count = self.idle
        self.waiting: collections.deque[_Leg] = collections.deque()


class SearcherConnections(LegSender):
    """Sends one instance's legs over a limited number of connections."""

    def __init__(
        self,
        zone: str,
        searchers_by_id: Mapping[str, Searcher],
        timers: VirtualTimers,
        limit: int,
        work_by_path: Mapping[str, float],
    ) -> None:
        """Start with one open connection to each searcher.

        Args:
            zone: Availability zone of the instance.
            searchers_by_id: The searchers by the id of their replica.
            timers: The virtual clock.
            limit: Most connections to one searcher.
            work_by_path: Mean time that a leg runs, in seconds, by the first segment of
                the request's path.
        """
        self.zone = zone
        self.timers = timers
        self.searchers_by_id = searchers_by_id
        self.work_by_path = work_by_path
        self._by_id = {key: _Connections(limit) for key in searchers_by_id}

    def delay_s(self, replica: Replica) -> float:
        """Return the network delay to a replica in one direction, in seconds."""
        return IN_ZONE_DELAY_S if replica.zone == self.zone else CROSS_ZONE_DELAY_S

    def send(
        self,
        replica: Replica,
        request: LegRequest,
        deadline_s: float,
        on_end: Callable[[LegReply], None],
    ) -> LegHandle:
        """Send a leg over an idle connection, or queue it until one is free."""
        target = request.head.split(b"/")[1].decode()
        searcher = self.searchers_by_id[replica.replica_id]
        deadline_at = self.timers.now() + deadline_s
        work_s = self.work_by_path[target]
        leg = _Leg(self, searcher, work_s, deadline_at, on_end)
        connections = self._by_id[replica.replica_id]
        if connections.idle:
            connections.idle -= 1
            leg.send()
        else:
            connections.waiting.append(leg)
            self._connect(replica)
        return leg

    def _connect(self, replica: Replica) -> None:
        connections = self._by_id[replica.replica_id]
        if connections.open_count >= connections.limit:
            return
        connections.open_count += 1
        delay_s = 2 * self.delay_s(replica) + HANDSHAKE_S
        self.timers.call_later(delay_s, lambda: self._on_connected(replica))

    def _on_connected(self, replica: Replica) -> None:
        if self.searchers_by_id[replica.replica_id].is_up:
            self.release(replica)
            return
        connections = self._by_id[replica.replica_id]
        connections.open_count -= 1
        refused = [leg for leg in connections.waiting if leg.on_end is not None]
        connections.waiting.clear()
        for leg in refused:
            leg.finish(LegReply(LegOutcome.NOT_SENT))

    def lose(self, replica: Replica) -> None:
        """Forget the idle connections to a searcher that has crashed."""
        connections = self._by_id[replica.replica_id]
        connections.open_count -= connections.idle
        connections.idle = 0

    def release(self, replica: Replica) -> None:
        """Use a free connection for the next waiting leg, or keep it idle."""
        connections = self._by_id[replica.replica_id]
        while connections.waiting:
            leg = connections.waiting.popleft()
            if leg.on_end is not None:
                leg.send()
                return
        connections.idle += 1

    def close(self, leg: _Leg) -> None:
        """Close the connection of a leg."""
        if leg.is_sent:
            replica = leg.searcher.replica
            connections = self._by_id[replica.replica_id]
            connections.open_count -= 1
            if connections.waiting:
                self._connect(replica)

    def probe(self, replica: Replica, on_result: Callable[[bool], None]) -> None:
        """Report whether the searcher refuses connections."""
        searcher = self.searchers_by_id[replica.replica_id]
        round_trip_s = 2 * self.delay_s(replica)
        self.timers.call_later(round_trip_s, lambda: on_result(not searcher.is_up))

    def drop_waiting(self, replica: Replica) -> None:
        """Do nothing: these searchers ask for no backoff."""

    def connection_state(self, replica: Replica) -> ConnectionState:
        """Return the kind of connection that a leg would get."""
        connections = self._by_id[replica.replica_id]
        if connections.idle:
            return ConnectionState.IDLE
        if connections.open_count < connections.limit:
            return ConnectionState.CONNECT
        return ConnectionState.BUSY
