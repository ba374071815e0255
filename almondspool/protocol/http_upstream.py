"""HTTP exchanges with upstreams over pooled keep-alive connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode
from almondspool.errors import UpstreamError
from almondspool.protocol import leg_codec
from almondspool.protocol.http_exchange import (
    MIN_STALE_IDLE_S,
    HttpExchange,
    SocketDeadlines,
    StaleConnectionError,
)
from almondspool.protocol.leg_codec import LegFailure, ReplyReader
from almondspool.protocol.upstream import (
    Leg,
    LegResult,
    LoadReport,
    UpstreamInterface,
)
from almondspool.transport.http_pool import MAX_IDLE_S, HttpPool, SilenceDetector

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from almondspool.state.document import Upstream
    from almondspool.transport.http_pool import PooledConnection
    from almondspool.transport.timers import TimerHandle, TimerService

CANCEL_TIMEOUT_S = 0.5
DEADLINE_CHECK_INTERVAL_S = 0.25
# Exchanges are started within the grant, so one waits for a connection only if closed
# connections still count against the grant after a timeout. Its legs should then go to
# another upstream.
MAX_POOL_WAIT_S = 0.05


class HttpUpstreamClient(UpstreamInterface):
    """Runs legs over keep-alive connections within the grant of each upstream.

    Attributes:
        ignored_reply_lines: Number of reply lines that matched no open leg.
    """

    def __init__(
        self, clock: Callable[[], float], silence_detector: SilenceDetector
    ) -> None:
        """Start without grants.

        Args:
            clock: Returns monotonic seconds.
            silence_detector: Decides which connections are silent.
        """
        self._clock = clock
        self._silence_detector = silence_detector
        self._pools_by_id: dict[str, HttpPool] = {}
        self._grants_by_id: dict[str, int] = {}
        self._socket_deadlines = SocketDeadlines()
        self.ignored_reply_lines = 0

    def set_grants(self, connections_by_upstream_id: Mapping[str, int]) -> None:
        """Set how many connections may be open to each upstream; 0 if not given."""
        self._grants_by_id = dict(connections_by_upstream_id)
        for upstream_id, pool in tuple(self._pools_by_id.items()):
            pool.set_limit(self._grants_by_id.get(upstream_id, 0))
            if upstream_id not in self._grants_by_id and not pool.open_count:
                del self._pools_by_id[upstream_id]
                self._silence_detector.forget(upstream_id)

    def open_connections(self, upstream_id: str) -> int:
        """Return the number of open connections to an upstream, idle or in use."""
        pool = self._pools_by_id.get(upstream_id)
        return pool.open_count if pool else 0

    def run(
        self, upstream: Upstream, legs: tuple[Leg, ...], timeout_s: float
    ) -> Iterator[LegResult]:
        """Send legs over one connection and yield each result as it arrives."""
        deadline = self._clock() + timeout_s
        reader = ReplyReader(upstream.upstream_id, legs)
        try:
            yield from self._attempt(upstream, reader, deadline, _max_idle_s(legs))
        except StaleConnectionError as error:
            yield from self._retry_after_stale(upstream, reader, deadline, str(error))
        self.ignored_reply_lines += reader.ignored_lines

    def cancel(self, upstream: Upstream, leg_ids: tuple[str, ...]) -> None:
        """Ask an upstream to stop running legs; best effort.

        Skipped if all granted connections are in use; the legs then run until their
        deadline.
        """
        body = leg_codec.encode_cancel(leg_ids)
        self._control(upstream, "POST", "/v1/cancel", body, CANCEL_TIMEOUT_S, 0.0)

    def fetch_load(self, upstream: Upstream, timeout_s: float) -> LoadReport | None:
        """Return the upstream's load report, or None without a valid reply."""
        reply = self._control(upstream, "GET", "/v1/load", None, timeout_s, timeout_s)
        return leg_codec.decode_load(reply) if reply is not None else None

    def is_healthy(self, upstream: Upstream, timeout_s: float) -> bool:
        """Return whether the upstream answers its health check with 200."""
        reply = self._control(upstream, "GET", "/v1/health", None, timeout_s, timeout_s)
        return reply is not None

    def retire(self, upstream_id: str) -> int:
        """Close the connections to an upstream, those in use once they are released.

        Returns:
            The number of idle connections that were closed.
        """
        pool = self._pools_by_id.get(upstream_id)
        return pool.retire_all() if pool else 0

    def close_overdue(self) -> int:
        """Shut down connections past their exchange's deadline; return how many.

        Called every DEADLINE_CHECK_INTERVAL_S.
        """
        return self._socket_deadlines.shut_down(self._clock())

    def close_stale(self) -> int:
        """Close connections that were idle too long or closed by the upstream."""
        return sum(pool.close_stale() for pool in self._pools_by_id.values())

    def _attempt(
        self,
        upstream: Upstream,
        reader: ReplyReader,
        deadline: float,
        max_idle_s: float,
    ) -> Iterator[LegResult]:
        pool = self._get_pool(upstream)
        pool_wait_s = min(MAX_POOL_WAIT_S, max(0.0, deadline - self._clock()))
        try:
            connection = pool.acquire(
                pool_wait_s, max_idle_s, self._newest_suspected_serial(upstream)
            )
        except UpstreamError as error:
            yield from reader.fail(LegFailure(error.code, str(error), False))
            return
        exchange = self._make_exchange(upstream, pool, connection, deadline)
        try:
            yield from exchange.run_legs(reader)
        finally:
            pool.release(connection, exchange.is_reply_complete, exchange.may_still_run)

    def _retry_after_stale(
        self, upstream: Upstream, reader: ReplyReader, deadline: float, detail: str
    ) -> Iterator[LegResult]:
        for leg in tuple(reader.open_by_id.values()):
            if not leg.idempotent:
                failure = LegFailure(ResultCode.LEG_CUT_OFF, detail, True)
                yield reader.fail_leg(leg, failure)
        if not reader.open_by_id:
            return
        # A maximum idle time of 0.0 excludes all reused connections.
        for result in self._attempt(upstream, reader, deadline, 0.0):
            if result.code is ResultCode.LEG_REFUSED:
                # No process listens any more: the upstream crashed, and the first
                # connection was not closed by an idle timeout.
                result = result._replace(code=ResultCode.LEG_CUT_OFF, was_run=True)
            yield result

    def _control(
        self,
        upstream: Upstream,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        pool_wait_s: float,
    ) -> bytes | None:
        pool = self._get_pool(upstream)
        deadline = self._clock() + timeout_s
        try:
            pool_wait_s = min(MAX_POOL_WAIT_S, pool_wait_s)
            connection = pool.acquire(
                pool_wait_s, newer_than=self._newest_suspected_serial(upstream)
            )
        except UpstreamError:
            return None
        exchange = self._make_exchange(upstream, pool, connection, deadline)
        try:
            return exchange.control(method, path, body)
        finally:
            pool.release(connection, exchange.is_reply_complete, exchange.may_still_run)

    def _make_exchange(
        self,
        upstream: Upstream,
        pool: HttpPool,
        connection: PooledConnection,
        deadline: float,
    ) -> HttpExchange:
        return HttpExchange(
            upstream.upstream_id,
            pool,
            connection,
            deadline,
            self._clock,
            self._silence_detector,
            self._socket_deadlines,
        )

    def _newest_suspected_serial(self, upstream: Upstream) -> int:
        return self._silence_detector.newest_suspected(
            self._clock(), upstream.upstream_id
        )

    def _get_pool(self, upstream: Upstream) -> HttpPool:
        pool = self._pools_by_id.get(upstream.upstream_id)
        if pool is None or pool.address != upstream.address:
            if pool is not None:
                pool.set_limit(0)
                self._silence_detector.forget(upstream.upstream_id)
            grant = self._grants_by_id.get(upstream.upstream_id, 0)
            pool = HttpPool(upstream.address, grant, self._clock)
            self._pools_by_id[upstream.upstream_id] = pool
        return pool


def make_http_upstream_client(
    timers: TimerService, silence_detector: SilenceDetector
) -> tuple[HttpUpstreamClient, TimerHandle]:
    """Return the HTTP client of the upstreams and the timer of its deadline check."""
    upstream = HttpUpstreamClient(timers.now, silence_detector)
    return upstream, timers.subscribe(DEADLINE_CHECK_INTERVAL_S, upstream.close_overdue)


def _max_idle_s(legs: tuple[Leg, ...]) -> float:
    # A non-idempotent leg avoids long idle connections: if the upstream's keep-alive
    # timeout closed one, the leg's outcome would be unknown.
    if all(leg.idempotent for leg in legs):
        return MAX_IDLE_S
    return MIN_STALE_IDLE_S
