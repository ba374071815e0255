"""Exchanges with upstreams over HTTP, by urllib3 connections."""

from __future__ import annotations

import http.client
import socket
from typing import TYPE_CHECKING

import urllib3.exceptions

from almondspool.codes import ResultCode
from almondspool.errors import UpstreamError
from almondspool.protocol import leg_codec
from almondspool.protocol.leg_codec import Failure, ReplyReader
from almondspool.protocol.upstream import (
    Leg,
    LegResult,
    LoadReport,
    UpstreamInterface,
)
from almondspool.transport.http_pool import (
    IDLE_LIMIT_S,
    ConnectionJudge,
    HttpPool,
    PooledConnection,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from urllib3.response import HTTPResponse

    from almondspool.state.document import Upstream
    from almondspool.transport.timers import TimerHandle, TimerService

READ_BYTES = 64 * 1024
MAX_LOAD_BYTES = 4096
CONTROL_TIMEOUT_S = 0.5
TRAILER_TIMEOUT_S = 0.5
OVERDUE_SWEEP_S = 0.1

_HEADERS = {
    "Content-Type": "application/json",
    "Accept-Encoding": "identity",
    "User-Agent": "almondspool",
}
_TIMEOUTS = (TimeoutError, urllib3.exceptions.TimeoutError)
_BROKEN = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)
_FRAMING = (
    http.client.BadStatusLine,
    http.client.LineTooLong,
    urllib3.exceptions.InvalidChunkLength,
)
_BUSY_STATUSES = (429, 503)


# A close on a connection used more lately than this is no keep-alive timeout.
MIN_STALE_IDLE_S = 1.0


class _StaleConnectionError(Exception):
    """A reused connection closed before the first byte of a reply."""


class _Exchange:
    """One request and its reply on one connection."""

    __slots__ = ("connection", "has_answer", "pool", "reader", "upstream_id")

    def __init__(
        self,
        upstream_id: str,
        pool: HttpPool,
        connection: PooledConnection,
        reader: ReplyReader,
    ) -> None:
        self.upstream_id = upstream_id
        self.pool = pool
        self.connection = connection
        self.reader = reader
        self.has_answer = False


class HttpUpstream(UpstreamInterface):
    """Runs legs over keep-alive connections, bounded by the grant of each upstream.

    Attributes:
        ignored_replies: Reply lines that belonged to no open leg.
    """

    def __init__(self, clock: Callable[[], float], judge: ConnectionJudge) -> None:
        """Start without any grant.

        Args:
            clock: Returns monotonic seconds.
            judge: Decides which connections went silent.
        """
        self._clock = clock
        self._judge = judge
        self._pools_by_id: dict[str, HttpPool] = {}
        self._grants_by_id: dict[str, int] = {}
        self._end_by_socket: dict[socket.socket, float] = {}
        self.ignored_replies = 0

    def set_grants(self, connections_by_upstream_id: Mapping[str, int]) -> None:
        """Set how many connections may be open to each upstream; others get none."""
        self._grants_by_id = dict(connections_by_upstream_id)
        for upstream_id, pool in self._pools_by_id.items():
            pool.set_limit(self._grants_by_id.get(upstream_id, 0))

    def open_connections(self, upstream_id: str) -> int:
        """Return the connections open to an upstream, idle or in use."""
        pool = self._pools_by_id.get(upstream_id)
        return pool.open_count if pool else 0

    def run(
        self, upstream: Upstream, legs: tuple[Leg, ...], timeout_s: float
    ) -> Iterator[LegResult]:
        """Send legs over one connection and yield each result as it arrives."""
        end = self._clock() + timeout_s
        reader = ReplyReader(upstream.upstream_id, legs)
        try:
            yield from self._attempt(upstream, reader, end, _max_idle_s(legs))
        except _StaleConnectionError as error:
            yield from self._after_stale(upstream, reader, end, str(error))
        self.ignored_replies += reader.ignored

    def cancel(self, upstream: Upstream, leg_ids: tuple[str, ...]) -> None:
        """Tell an upstream that results are no longer wanted; best effort.

        Skipped if every granted connection is in use: the deadline ends the legs.
        """
        body = leg_codec.encode_cancel(leg_ids)
        self._control(upstream, "POST", "/v1/cancel", body, CONTROL_TIMEOUT_S, 0.0)

    def load(self, upstream: Upstream, timeout_s: float) -> LoadReport | None:
        """Return the upstream's load report, or None if it gives none."""
        reply = self._control(upstream, "GET", "/v1/load", None, timeout_s, timeout_s)
        return leg_codec.decode_load(reply) if reply is not None else None

    def healthy(self, upstream: Upstream, timeout_s: float) -> bool:
        """Return whether the upstream answers its health check with 200."""
        reply = self._control(upstream, "GET", "/v1/health", None, timeout_s, timeout_s)
        return reply is not None

    def retire(self, upstream_id: str) -> int:
        """Close the idle connections to an upstream and return how many."""
        pool = self._pools_by_id.get(upstream_id)
        return pool.retire_all() if pool else 0

    def close_overdue(self) -> int:
        """Shut down connections whose exchange is past its end; return how many.

        A reply that trickles in byte by byte never trips a timeout of one read.
        """
        now = self._clock()
        overdue = [sock for sock, end in self._end_by_socket.items() if end < now]
        for sock in overdue:
            self._end_by_socket.pop(sock, None)
            _shut_down(sock)
        return len(overdue)

    def close_stale(self) -> int:
        """Close idle connections that are too old or were closed by the upstream."""
        return sum(pool.close_stale() for pool in self._pools_by_id.values())

    def _attempt(
        self, upstream: Upstream, reader: ReplyReader, end: float, max_idle_s: float
    ) -> Iterator[LegResult]:
        pool = self._pool(upstream)
        wait_s = max(0.0, end - self._clock())
        try:
            connection = pool.acquire(wait_s, max_idle_s, self._doubtful(upstream))
        except UpstreamError as error:
            yield from reader.fail(Failure(error.code, str(error), False))
            return
        whole = False
        try:
            failure = self._connect(connection, end)
            if failure is None:
                exchange = _Exchange(upstream.upstream_id, pool, connection, reader)
                failure = yield from self._exchange(exchange, end)
                whole = failure is None
            if failure is not None:
                yield from reader.fail(failure)
        finally:
            pool.release(connection, reusable=whole)

    def _connect(self, connection: PooledConnection, end: float) -> Failure | None:
        try:
            connection.http.timeout = self._remaining(end)
            if not connection.is_reused:
                connection.http.connect()
        except urllib3.exceptions.NewConnectionError as error:
            return Failure(ResultCode.LEG_REFUSED, str(error), False)
        except _TIMEOUTS as error:
            return Failure(ResultCode.LEG_TIMEOUT, f"connect: {error}", False)
        except _BROKEN as error:
            return Failure(ResultCode.LEG_REFUSED, str(error), False)
        return None

    def _exchange(self, exchange: _Exchange, end: float) -> Iterator[LegResult]:
        sock = exchange.connection.http.sock
        sent_at = self._clock()
        self._end_by_socket[sock] = end
        try:
            response = self._send(exchange, end)
            exchange.has_answer = True
            self._note_answer(exchange)
            if response.status != 200:
                return _failure_of_status(response)
            return (yield from self._read(sock, response, exchange.reader, end))
        except _TIMEOUTS as error:
            return self._timed_out(exchange, sent_at, str(error))
        except _BROKEN as error:
            if self._clock() < end:
                return _broken(error)
            return self._timed_out(exchange, sent_at, f"cut at deadline: {error}")
        finally:
            self._end_by_socket.pop(sock, None)

    def _send(self, exchange: _Exchange, end: float) -> HTTPResponse:
        body = leg_codec.encode_legs(tuple(exchange.reader.open_by_id.values()))
        connection = exchange.connection
        try:
            connection.http.request(
                "POST", "/v1/legs", body, _HEADERS, preload_content=False
            )
            connection.http.timeout = self._remaining(end)
            return connection.http.getresponse()
        except _TIMEOUTS:
            raise
        except OSError as error:
            now = self._clock()
            if connection.idle_before_s >= MIN_STALE_IDLE_S and now < end:
                raise _StaleConnectionError(str(error)) from error
            raise

    def _read(
        self,
        sock: socket.socket,
        response: HTTPResponse,
        reader: ReplyReader,
        end: float,
    ) -> Iterator[LegResult]:
        sock.settimeout(self._remaining(end))
        for data in response.stream(READ_BYTES, decode_content=False):
            yield from reader.feed(data)
            if reader.oversized():
                return Failure(ResultCode.LEG_REPLY_OVERSIZED, reader.oversized(), True)
            if not reader.open_by_id:
                end = min(end, self._clock() + TRAILER_TIMEOUT_S)
            sock.settimeout(self._remaining(end))
        if reader.open_by_id:
            self._remaining(end)
        yield from reader.end()
        return None

    def _note_answer(self, exchange: _Exchange) -> None:
        retired = self._judge.on_answer(
            self._clock(), exchange.upstream_id, exchange.connection.serial
        )
        if retired:
            exchange.pool.retire_to(retired)

    def _timed_out(self, exchange: _Exchange, sent_at: float, detail: str) -> Failure:
        if exchange.has_answer:
            return Failure(ResultCode.LEG_TIMEOUT, detail, True)
        serial = exchange.connection.serial
        retired = self._judge.on_timeout(
            self._clock(), exchange.upstream_id, serial, sent_at
        )
        if not retired:
            return Failure(ResultCode.LEG_TIMEOUT, detail, True)
        closed = exchange.pool.retire_to(retired)
        detail = f"connection {serial} went silent; {closed} idle ones retired"
        return Failure(ResultCode.LEG_CONNECTION_SILENT, detail, True)

    def _doubtful(self, upstream: Upstream) -> int:
        return self._judge.newest_doubtful(self._clock(), upstream.upstream_id)

    def _remaining(self, end: float) -> float:
        remaining = end - self._clock()
        if remaining <= 0:
            raise TimeoutError("the deadline of the exchange passed")
        return remaining

    def _after_stale(
        self, upstream: Upstream, reader: ReplyReader, end: float, detail: str
    ) -> Iterator[LegResult]:
        for leg in tuple(reader.open_by_id.values()):
            if not leg.idempotent:
                failure = Failure(ResultCode.LEG_CUT_OFF, detail, True)
                yield reader.fail_one(leg, failure)
        if not reader.open_by_id:
            return
        for result in self._attempt(upstream, reader, end, 0.0):
            if result.code is ResultCode.LEG_REFUSED:
                # Nobody listens any more: the close was a crash, not an idle timeout.
                result = result._replace(code=ResultCode.LEG_CUT_OFF, was_run=True)
            yield result

    def _control(
        self,
        upstream: Upstream,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        wait_s: float,
    ) -> bytes | None:
        pool = self._pool(upstream)
        try:
            connection = pool.acquire(wait_s, newer_than=self._doubtful(upstream))
        except UpstreamError:
            return None
        whole = False
        try:
            connection.http.timeout = timeout_s
            connection.http.request(method, path, body, _HEADERS, preload_content=False)
            response = connection.http.getresponse()
            reply = response.read(MAX_LOAD_BYTES)
            whole = not response.read(1)
            return reply if response.status == 200 else None
        except _BROKEN:
            return None
        finally:
            pool.release(connection, reusable=whole)

    def _pool(self, upstream: Upstream) -> HttpPool:
        pool = self._pools_by_id.get(upstream.upstream_id)
        if pool is None or pool.address != upstream.address:
            if pool is not None:
                pool.set_limit(0)
                self._judge.forget(upstream.upstream_id)
            grant = self._grants_by_id.get(upstream.upstream_id, 0)
            pool = HttpPool(upstream.address, grant, self._clock)
            self._pools_by_id[upstream.upstream_id] = pool
        return pool


def make_upstream(
    timers: TimerService, judge: ConnectionJudge
) -> tuple[HttpUpstream, TimerHandle]:
    """Return the HTTP form of the upstreams and the handle of its deadline sweep."""
    upstream = HttpUpstream(timers.now, judge)
    return upstream, timers.subscribe(OVERDUE_SWEEP_S, upstream.close_overdue)


def _max_idle_s(legs: tuple[Leg, ...]) -> float:
    # A keep-alive timeout must not leave a non-idempotent leg with no known outcome.
    if all(leg.idempotent for leg in legs):
        return IDLE_LIMIT_S
    return MIN_STALE_IDLE_S


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def _failure_of_status(response: HTTPResponse) -> Failure:
    detail = f"status {response.status} for the whole exchange"
    if response.status in _BUSY_STATUSES:
        return Failure(ResultCode.LEG_SHED, detail, True)
    return Failure(ResultCode.LEG_FAILED, detail, True)


def _broken(error: Exception) -> Failure:
    if _is_framing_error(error):
        return Failure(ResultCode.LEG_REPLY_MALFORMED, str(error), True)
    return Failure(ResultCode.LEG_CUT_OFF, str(error), True)


def _is_framing_error(error: Exception) -> bool:
    # urllib3 wraps the errors of a body, with the first one as the cause.
    cause = error.__cause__ or error
    if isinstance(cause, http.client.RemoteDisconnected):
        return False
    return isinstance(cause, _FRAMING)
