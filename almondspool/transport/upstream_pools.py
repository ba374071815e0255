"""Connection pools to upstream replicas, within this instance's connection quota."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from eventlet import hubs

from almondspool.protocol.exchange import (
    ConnectionState,
    LegHandle,
    LegOutcome,
    LegReply,
    LegSender,
)
from almondspool.transport.hub_socket import (
    ConnectAttempt,
    ConnectFailure,
    parse_host_port,
)
from almondspool.transport.upstream_connection import (
    ReplyBufferUsage,
    UpstreamConnection,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from almondspool.protocol.exchange import HeaderCodec, LegRequest
    from almondspool.state.routes import Replica

# Shorter than 1 s, after which a lost SYN is retransmitted: trying another replica is
# faster.
CONNECT_TIMEOUT_S = 0.300
# Longest wait for the result of a probe after a broken connection: a round trip between
# availability zones and the time a searcher takes to accept a new connection.
PROBE_TIMEOUT_S = 0.030
# A replica that closes an unused connection this soon after it was opened has too many.
# Then no connection is opened ahead of need for PRECONNECT_RETRY_DELAY_S.
EARLY_CLOSE_S = 1.0
PRECONNECT_RETRY_DELAY_S = 10.0
# A request that is not idempotent is not sent on a connection that was idle for longer:
# the upstream may close it just as the request arrives.
MAX_NON_IDEMPOTENT_IDLE_S = 2.0


class _Exchange(LegHandle):
    """A single send: waiting for a connection or in progress on one.

    Attributes:
        pool: The pool of the replica.
        request: The request.
        queued_at: When it was passed to the pool, in monotonic seconds.
        deadline_at: The caller's deadline, in monotonic seconds.
        on_end: Called once with the reply or the failure.
        connection: The connection on which it is in progress, or None.
        is_ended: Whether ``on_end`` was called.
    """

    __slots__ = (
        "_detach_timer",
        "connection",
        "deadline_at",
        "is_ended",
        "on_end",
        "pool",
        "request",
        "queued_at",
    )

    def __init__(self, pool, request, queued_at, deadline_at, on_end) -> None:
        self.pool = pool
        self.request = request
        self.queued_at = queued_at
        self.deadline_at = deadline_at
        self.on_end = on_end
        self.connection: UpstreamConnection | None = None
        self.is_ended = False
        self._detach_timer = None

    def cancel(self) -> None:
        self._stop(LegOutcome.CANCELLED, "cancelled")

    def detach(self, within_s: float) -> None:
        if self.connection is None:
            self.cancel()
            return
        hub = hubs.get_hub()
        self._detach_timer = hub.schedule_call_global(
            within_s, self._stop, LegOutcome.SILENT, "no_reply"
        )

    def end(self, reply: LegReply) -> None:
        """Deliver the reply, at most once."""
        if self.is_ended:
            return
        self.is_ended = True
        if self._detach_timer is not None:
            self._detach_timer.cancel()
        self.on_end(reply)

    def _stop(self, outcome: LegOutcome, detail: str) -> None:
        if self.is_ended:
            return
        if self.connection is not None:
            self.connection.abort(outcome, detail)
        else:
            self.pool.remove_waiting(self)
            self.end(LegReply(outcome, detail=detail))


class _Pool:
    """Connection pool of one replica.

    Attributes:
        replica: The replica.
        limit: Maximum number of open connections.
        preconnect_after: Earliest time to connect ahead of need, in monotonic seconds.
    """

    def __init__(self, replica: Replica, limit: int, owner: UpstreamPools) -> None:
        self.replica = replica
        self.limit = limit
        self._owner = owner
        self._idle: list[UpstreamConnection] = []
        self._busy: set[UpstreamConnection] = set()
        self._connecting: set[ConnectAttempt] = set()
        self._waiting: collections.deque[_Exchange] = collections.deque()
        self._is_retired = False
        self.preconnect_after = 0.0

    @property
    def open_count(self) -> int:
        """Return the number of connections, with those being established."""
        return len(self._idle) + len(self._busy) + len(self._connecting)

    def connection_state(self) -> ConnectionState:
        """Return the kind of connection that a send would get."""
        if self._idle:
            return ConnectionState.IDLE
        if not self.limit:
            return ConnectionState.NONE
        return (
            ConnectionState.CONNECT
            if self.open_count < self.limit
            else ConnectionState.BUSY
        )

    def wait_start_times(self) -> list[float]:
        """Return when each waiting send was queued, in monotonic seconds."""
        return [exchange.queued_at for exchange in self._waiting]

    def send(self, exchange: _Exchange) -> None:
        """Start an exchange on an idle connection, or queue it until one is free."""
        connection = self._pop_idle(exchange.request.is_idempotent)
        if connection is not None:
            self._run(connection, exchange)
            return
        self._waiting.append(exchange)
        self._connect_for_waiting()

    def connect(
        self, on_end: Callable[[ConnectFailure | None], None] | None = None
    ) -> None:
        """Open one more connection, whatever the limit.

        Args:
            on_end: Called with the failure, or with None once it is connected.
        """
        attempt: list[ConnectAttempt] = []

        def finish(sock: socket.socket | None, failure: ConnectFailure | None) -> None:
            self._connecting.discard(attempt[0])
            self._owner.record_connect(self.replica.replica_id, failure)
            self._on_connected(sock, failure)
            if on_end is not None:
                on_end(failure)

        address = parse_host_port(self.replica.address)
        attempt.append(ConnectAttempt(address, CONNECT_TIMEOUT_S, finish))
        self._connecting.add(attempt[0])
        self._owner.count_connect()

    def remove_waiting(self, exchange: _Exchange) -> None:
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def set_limit(self, limit: int) -> None:
        self.limit = limit
        while self._idle and self.open_count > limit:
            self._idle.pop(0).close()
        if not limit:
            self.fail_waiting("no_quota")

    def close_stale(self, now: float) -> None:
        stale = [idle for idle in self._idle if idle.idle_until <= now]
        for connection in stale:
            self._idle.remove(connection)
            connection.close()

    def retire(self) -> None:
        """Close idle connections now and busy ones when their exchange ends."""
        self._is_retired = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
        for attempt in self._connecting:
            attempt.cancel()
        self._connecting.clear()
        self.fail_waiting("replica_gone")

    def _connect_for_waiting(self) -> None:
        needed = len(self._waiting) - len(self._connecting)
        while needed > 0 and self.open_count < self.limit:
            self.connect()
            needed -= 1

    def _on_connected(
        self, sock: socket.socket | None, failure: ConnectFailure | None
    ) -> None:
        if sock is None:
            self.fail_waiting(failure.value)
            return
        if self._is_retired:
            sock.close()
            return
        connection = UpstreamConnection(
            sock,
            self._owner.codec,
            self._owner.clock,
            self._on_idle_closed,
            self._owner.buffer_usage,
        )
        self._assign(connection)

    def fail_waiting(self, detail: str) -> None:
        """End the sends that wait for a connection with NOT_SENT."""
        waiting = tuple(self._waiting)
        self._waiting.clear()
        for exchange in waiting:
            exchange.end(LegReply(LegOutcome.NOT_SENT, detail=detail))

    def _pop_idle(self, is_idempotent: bool) -> UpstreamConnection | None:
        now = self._owner.clock()
        while self._idle:
            connection = self._idle.pop()
            idle_until = connection.idle_until
            if not is_idempotent:
                idle_until = min(
                    idle_until, connection.idle_since + MAX_NON_IDEMPOTENT_IDLE_S
                )
            if idle_until > now:
                return connection
            connection.close()
        return None

    def _run(self, connection: UpstreamConnection, exchange: _Exchange) -> None:
        self._busy.add(connection)
        exchange.connection = connection
        remaining_s = exchange.deadline_at - self._owner.clock()
        send_headers = self._owner.codec.encode_send_headers(
            self.replica.replica_id, remaining_s, len(exchange.request.body)
        )

        def finish(reply: LegReply) -> None:
            self._busy.discard(connection)
            if connection.is_open:
                self._assign(connection)
            exchange.end(reply)
            self._connect_for_waiting()

        connection.start(exchange.request, send_headers, finish)

    def _assign(self, connection: UpstreamConnection) -> None:
        """Run a waiting exchange on a new or released connection, or keep it idle."""
        if self._is_retired or self.open_count >= self.limit:
            connection.close()
            return
        if self._waiting:
            self._run(connection, self._waiting.popleft())
            return
        connection.idle_since = self._owner.clock()
        self._idle.append(connection)

    def _on_idle_closed(self, connection: UpstreamConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
        now = self._owner.clock()
        if not connection.uses and now - connection.idle_since < EARLY_CLOSE_S:
            self.preconnect_after = now + PRECONNECT_RETRY_DELAY_S


def _ignore_connect(_replica_id: str, _failure: ConnectFailure | None) -> None:
    """Do nothing."""


class UpstreamPools(LegSender):
    """Sends legs over pooled connections, up to a quota of each replica.

    Attributes:
        codec: Encodes and decodes the upstreams' headers.
        clock: Returns monotonic seconds.
        connect_attempts: Number of attempts to open a connection.
        buffer_usage: Counter of bytes received for unfinished replies.
        record_connect: Called at the end of each attempt to connect.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        clock: Callable[[], float],
        quota: Callable[[Replica], int],
        record_connect: Callable[[str, ConnectFailure | None], None] = _ignore_connect,
    ) -> None:
        """Create the pools without connections.

        Args:
            codec: Encodes and decodes the upstreams' headers.
            clock: Returns monotonic seconds.
            quota: Returns the maximum number of open connections to a replica.
            record_connect: Called with the replica's id and the failure, or None, at
                the end of each attempt to connect.
        """
        self.record_connect = record_connect
        self.codec = codec
        self.clock = clock
        self._quota = quota
        self._pools_by_id: dict[str, _Pool] = {}
        self.connect_attempts = 0
        self.buffer_usage = ReplyBufferUsage()

    def send(
        self,
        replica: Replica,
        request: LegRequest,
        deadline_s: float,
        on_end: Callable[[LegReply], None],
    ) -> LegHandle:
        """Send a request over an idle, a new or the next free connection.

        Args:
            replica: The replica to run the request.
            request: The request.
            deadline_s: Remaining time of the caller, in seconds.
            on_end: Called once with the reply or the failure, never before this
                returns.
        """
        pool = self._pool(replica)
        now = self.clock()
        exchange = _Exchange(pool, request, now, now + deadline_s, on_end)
        if pool.limit == 0:
            reply = LegReply(LegOutcome.NOT_SENT, detail="no_quota")
            hubs.get_hub().schedule_call_global(0, exchange.end, reply)
            return exchange
        pool.send(exchange)
        return exchange

    def probe(self, replica: Replica, on_result: Callable[[bool], None]) -> None:
        """Open a connection and report whether it was refused.

        Args:
            replica: The replica to connect to.
            on_result: Called once, after PROBE_TIMEOUT_S at the latest: with True if
                the connection was refused, with False if it was established, failed
                otherwise or is still being established.
        """
        is_reported = [False]

        def report(failure: ConnectFailure | None) -> None:
            if not is_reported[0]:
                is_reported[0] = True
                on_result(failure is ConnectFailure.REFUSED)

        hubs.get_hub().schedule_call_global(PROBE_TIMEOUT_S, report, None)
        self._pool(replica).connect(report)

    def connect(self, replica: Replica, on_end: Callable[[bool], None]) -> None:
        """Open a connection, whatever the quota, and report whether it succeeded."""
        self._pool(replica).connect(lambda failure: on_end(failure is None))

    def drop_waiting(self, replica: Replica) -> None:
        """End the sends that wait for a connection to a replica with NOT_SENT."""
        pool = self._pools_by_id.get(replica.replica_id)
        if pool is not None:
            pool.fail_waiting("asked_for_time")

    def connection_state(self, replica: Replica) -> ConnectionState:
        """Return the kind of connection that a send to a replica would get."""
        pool = self._pools_by_id.get(replica.replica_id)
        if pool is None:
            pool = self._pool(replica)
        return pool.connection_state()

    def preconnect(self, replica: Replica) -> None:
        """Open a connection to a replica ahead of need if it has none."""
        pool = self._pool(replica)
        is_due = self.clock() >= pool.preconnect_after
        if is_due and pool.limit > 0 and not pool.open_count:
            pool.connect()

    def retire(self, replica_id: str) -> None:
        """Close the connections to a removed replica."""
        pool = self._pools_by_id.pop(replica_id, None)
        if pool is not None:
            pool.retire()

    def refresh_quotas(self) -> None:
        """Apply the current quotas, after instances joined or left."""
        for pool in self._pools_by_id.values():
            pool.set_limit(self._quota(pool.replica))

    def close_stale(self) -> None:
        """Close connections that were idle for too long."""
        now = self.clock()
        for pool in self._pools_by_id.values():
            pool.close_stale(now)

    def count_connect(self) -> None:
        """Count a connection attempt."""
        self.connect_attempts += 1

    def open_connections(self) -> int:
        """Return the number of open connections to all replicas."""
        return sum(pool.open_count for pool in self._pools_by_id.values())

    def connections_by_service(self) -> dict[str, int]:
        """Return the number of open connections by service."""
        counts: collections.Counter[str] = collections.Counter()
        for pool in self._pools_by_id.values():
            counts[pool.replica.service] += pool.open_count
        return dict(counts)

    def wait_stats(self) -> tuple[int, float]:
        """Return the number of waiting sends and the longest wait, in seconds."""
        start_times = [
            at for pool in self._pools_by_id.values() for at in pool.wait_start_times()
        ]
        return len(start_times), self.clock() - min(start_times) if start_times else 0.0

    def _pool(self, replica: Replica) -> _Pool:
        pool = self._pools_by_id.get(replica.replica_id)
        if pool is not None and pool.replica.address == replica.address:
            return pool
        if pool is not None:
            pool.retire()
        pool = _Pool(replica, self._quota(replica), self)
        self._pools_by_id[replica.replica_id] = pool
        return pool
