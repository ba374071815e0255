"""One request and its reply on one pooled HTTP connection."""

from __future__ import annotations

import http.client
import socket
from typing import TYPE_CHECKING

import urllib3.exceptions

from almondspool.codes import ResultCode
from almondspool.protocol import leg_codec
from almondspool.protocol.leg_codec import Failure, ReplyReader

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from urllib3.response import HTTPResponse

    from almondspool.protocol.upstream import LegResult
    from almondspool.transport.http_pool import (
        HttpPool,
        PooledConnection,
        SilenceDetector,
    )

READ_BYTES = 64 * 1024
MAX_CONTROL_BYTES = 4096
TRAILER_TIMEOUT_S = 0.5
SURVIVAL_TIMEOUT_S = 0.05
# A close on a connection used more lately than this is no keep-alive timeout.
MIN_STALE_IDLE_S = 1.0

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


class StaleConnectionError(Exception):
    """A connection closed after a long idle time, before the first byte of a reply."""


class OverdueSockets:
    """Sockets in use and when their exchange must have ended.

    A reply that trickles in byte by byte never trips the timeout of one read.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._end_by_socket: dict[socket.socket, float] = {}

    def add(self, sock: socket.socket, end: float) -> None:
        """Watch a socket until remove; end is in monotonic seconds."""
        self._end_by_socket[sock] = end

    def remove(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        self._end_by_socket.pop(sock, None)

    def shut_down(self, now: float) -> int:
        """Shut down the sockets past their end and return how many."""
        overdue = [sock for sock, end in self._end_by_socket.items() if end < now]
        for sock in overdue:
            self.remove(sock)
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        return len(overdue)


class HttpExchange:
    """Runs one request on a connection; the caller gives the connection back.

    Attributes:
        whole: Whether the reply ended properly, so that the connection can be reused.
        abandoned: Whether the request may still run, since its time was up.
        has_answer: Whether any part of a reply came.
    """

    def __init__(
        self,
        upstream_id: str,
        pool: HttpPool,
        connection: PooledConnection,
        end: float,
        clock: Callable[[], float],
        silence_detector: SilenceDetector,
        overdue: OverdueSockets,
    ) -> None:
        """Prepare a request that must have ended at a monotonic second."""
        self.whole = False
        self.abandoned = False
        self._upstream_id = upstream_id
        self._pool = pool
        self._connection = connection
        self._end = end
        self._clock = clock
        self._silence_detector = silence_detector
        self._overdue = overdue
        self._sent_at = 0.0
        self.has_answer = False

    def run_legs(self, reader: ReplyReader) -> Iterator[LegResult]:
        """Send the reader's open legs and yield each result; exactly one for each.

        Raises:
            StaleConnectionError: Before any result, if the legs may be sent again
                should they be idempotent.
        """
        failure = self._connect()
        if failure is None:
            failure = yield from self._run(reader)
        if failure is not None and failure.code is ResultCode.LEG_CUT_OFF:
            failure = self._judge_cut_off(failure)
        if failure is not None:
            yield from reader.fail(failure)

    def _judge_cut_off(self, failure: Failure) -> Failure:
        """Tell a reply that was cut off from a crash of the upstream.

        A crash closes every connection: one that is older than the legs and answers
        after the cut shows that the upstream runs on.
        """
        connection = self._pool.take_idle_before(self._sent_at)
        if connection is None:
            return failure
        probe = HttpExchange(
            self._upstream_id,
            self._pool,
            connection,
            min(self._end, self._clock() + SURVIVAL_TIMEOUT_S),
            self._clock,
            self._silence_detector,
            self._overdue,
        )
        try:
            probe.control("GET", "/v1/health", None)
        finally:
            self._pool.release(connection, probe.whole, probe.abandoned)
        if not probe.has_answer:
            return failure
        return failure._replace(code=ResultCode.LEG_REPLY_CUT_OFF)

    def control(self, method: str, path: str, body: bytes | None) -> bytes | None:
        """Return the body of a 200 reply to a small request, or None."""
        if self._connect() is not None:
            return None
        sock = self._begin()
        try:
            response = self._request(method, path, body)
            reply = response.read(MAX_CONTROL_BYTES)
            self.whole = not response.read(1)
            return reply if response.status == 200 else None
        except _TIMEOUTS as error:
            self._timed_out(str(error))
            return None
        except _BROKEN:
            return None
        finally:
            self._overdue.remove(sock)

    def _connect(self) -> Failure | None:
        connection = self._connection
        try:
            connection.http.timeout = self._remaining()
            if not connection.is_reused:
                connection.http.connect()
        except urllib3.exceptions.NewConnectionError as error:
            return Failure(ResultCode.LEG_REFUSED, str(error), False)
        except _TIMEOUTS as error:
            return Failure(ResultCode.LEG_TIMEOUT, f"connect: {error}", False)
        except _BROKEN as error:
            return Failure(ResultCode.LEG_REFUSED, str(error), False)
        return None

    def _begin(self) -> socket.socket:
        sock = self._connection.http.sock
        self._sent_at = self._clock()
        self._overdue.add(sock, self._end)
        return sock

    def _run(self, reader: ReplyReader) -> Iterator[LegResult]:
        sock = self._begin()
        try:
            response = self._send(reader)
            if response.status != 200:
                return _failure_of_status(response)
            return (yield from self._read(sock, response, reader))
        except _TIMEOUTS as error:
            return self._timed_out(str(error))
        except _BROKEN as error:
            if self._clock() < self._end:
                return _broken(error)
            return self._timed_out(f"cut at deadline: {error}")
        finally:
            self._overdue.remove(sock)

    def _send(self, reader: ReplyReader) -> HTTPResponse:
        body = leg_codec.encode_legs(tuple(reader.open_by_id.values()))
        try:
            return self._request("POST", "/v1/legs", body)
        except _TIMEOUTS:
            raise
        except OSError as error:
            was_idle = self._connection.idle_before_s >= MIN_STALE_IDLE_S
            if was_idle and self._clock() < self._end:
                raise StaleConnectionError(str(error)) from error
            raise

    def _request(self, method: str, path: str, body: bytes | None) -> HTTPResponse:
        connection = self._connection.http
        connection.request(method, path, body, _HEADERS, preload_content=False)
        connection.timeout = self._remaining()
        response = connection.getresponse()
        self.has_answer = True
        serial = self._connection.serial
        retired = self._silence_detector.on_answer(
            self._clock(), self._upstream_id, serial
        )
        if retired:
            self._pool.retire_to(retired)
        return response

    def _read(
        self, sock: socket.socket, response: HTTPResponse, reader: ReplyReader
    ) -> Iterator[LegResult]:
        sock.settimeout(self._remaining())
        for data in response.stream(READ_BYTES, decode_content=False):
            yield from reader.feed(data)
            if reader.oversized():
                return Failure(ResultCode.LEG_REPLY_OVERSIZED, reader.oversized(), True)
            if not reader.open_by_id:
                self._end = min(self._end, self._clock() + TRAILER_TIMEOUT_S)
            sock.settimeout(self._remaining())
        if reader.open_by_id:
            self._remaining()
        yield from reader.end()
        self.whole = True
        return None

    def _remaining(self) -> float:
        remaining = self._end - self._clock()
        if remaining <= 0:
            raise TimeoutError("the deadline of the exchange passed")
        return remaining

    def _timed_out(self, detail: str) -> Failure:
        self.abandoned = True
        if self.has_answer:
            return Failure(ResultCode.LEG_TIMEOUT, detail, True)
        serial = self._connection.serial
        retired = self._silence_detector.on_timeout(
            self._clock(), self._upstream_id, serial, self._sent_at
        )
        if not retired:
            return Failure(ResultCode.LEG_TIMEOUT, detail, True)
        closed = self._pool.retire_to(retired)
        detail = f"connection {serial} went silent; {closed} idle ones retired"
        return Failure(ResultCode.LEG_CONNECTION_SILENT, detail, True)


def _failure_of_status(response: HTTPResponse) -> Failure:
    detail = f"status {response.status} for the whole exchange"
    if response.status in _BUSY_STATUSES:
        return Failure(ResultCode.LEG_SHED, detail, True)
    return Failure(ResultCode.LEG_FAILED, detail, True)


def _broken(error: Exception) -> Failure:
    # urllib3 wraps the errors of a body, with the first one as the cause.
    cause = error.__cause__ or error
    is_disconnect = isinstance(cause, http.client.RemoteDisconnected)
    if isinstance(cause, _FRAMING) and not is_disconnect:
        return Failure(ResultCode.LEG_REPLY_MALFORMED, str(error), True)
    return Failure(ResultCode.LEG_CUT_OFF, str(error), True)
