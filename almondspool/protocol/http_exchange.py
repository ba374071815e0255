"""One request and its reply on one pooled HTTP connection."""

from __future__ import annotations

import http.client
import socket
from typing import TYPE_CHECKING

import urllib3.exceptions

from almondspool.codes import ResultCode
from almondspool.protocol import leg_codec
from almondspool.protocol.leg_codec import LegFailure, ReplyReader

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from urllib3.response import HTTPResponse

    from almondspool.protocol.upstream import LegResult
    from almondspool.transport.http_pool import (
        HttpPool,
        PooledConnection,
        SilenceDetector,
    )

READ_CHUNK_BYTES = 64 * 1024
MAX_CONTROL_REPLY_BYTES = 4096
# Limit on the wait for the end of a reply in which every leg has its result.
REPLY_END_TIMEOUT_S = 0.5
LIVENESS_PROBE_TIMEOUT_S = 0.05
# Only after this idle time is the close of a connection taken for a keep-alive timeout
# of the upstream.
MIN_STALE_IDLE_S = 1.0

_REQUEST_HEADERS = {
    "Content-Type": "application/json",
    "Accept-Encoding": "identity",
    "User-Agent": "almondspool",
}
_TIMEOUT_ERRORS = (TimeoutError, urllib3.exceptions.TimeoutError)
_CONNECTION_ERRORS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)
_FRAMING_ERRORS = (
    http.client.BadStatusLine,
    http.client.LineTooLong,
    urllib3.exceptions.InvalidChunkLength,
)
_OVERLOAD_STATUSES = (429, 503)


class StaleConnectionError(Exception):
    """A long idle connection was closed before the first byte of a reply."""


class SocketDeadlines:
    """Shuts down sockets whose exchange has passed its deadline.

    A read timeout alone doesn't bound an exchange: a reply that arrives byte by byte
    never exceeds it.
    """

    def __init__(self) -> None:
        """Start without sockets."""
        self._deadline_by_socket: dict[socket.socket, float] = {}

    def add(self, sock: socket.socket, deadline: float) -> None:
        """Add a socket; the deadline of its exchange is in monotonic seconds."""
        self._deadline_by_socket[sock] = deadline

    def remove(self, sock: socket.socket) -> None:
        """Remove a socket, if it is still there, when its exchange ends."""
        self._deadline_by_socket.pop(sock, None)

    def shut_down(self, now: float) -> int:
        """Shut down and remove the sockets past their deadline; return how many.

        Called at regular intervals, with the time in monotonic seconds.
        """
        overdue = [
            sock
            for sock, deadline in self._deadline_by_socket.items()
            if deadline < now
        ]
        for sock in overdue:
            self.remove(sock)
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        return len(overdue)


class HttpExchange:
    """Runs one request on a pooled connection; does not release the connection.

    Attributes:
        is_reply_complete: Whether the reply ended properly, so that the connection
            can be reused.
        may_still_run: Whether the request timed out and the upstream may still run it.
        has_reply: Whether the status line and headers of a reply were received.
    """

    def __init__(
        self,
        upstream_id: str,
        pool: HttpPool,
        connection: PooledConnection,
        deadline: float,
        clock: Callable[[], float],
        silence_detector: SilenceDetector,
        socket_deadlines: SocketDeadlines,
    ) -> None:
        """Prepare a request; the deadline is in monotonic seconds."""
        self.is_reply_complete = False
        self.may_still_run = False
        self._upstream_id = upstream_id
        self._pool = pool
        self._connection = connection
        self._deadline = deadline
        self._clock = clock
        self._silence_detector = silence_detector
        self._socket_deadlines = socket_deadlines
        self._sent_at = 0.0
        self.has_reply = False

    def run_legs(self, reader: ReplyReader) -> Iterator[LegResult]:
        """Send the reader's open legs and yield exactly one result for each.

        Raises:
            StaleConnectionError: Before any result, if idempotent legs may be sent
                again.
        """
        failure = self._connect()
        if failure is None:
            failure = yield from self._run(reader)
        if failure is not None and failure.code is ResultCode.LEG_CUT_OFF:
            failure = self._classify_cut_off(failure)
        if failure is not None:
            yield from reader.fail(failure)

    def _classify_cut_off(self, failure: LegFailure) -> LegFailure:
        """Distinguish a reply that was cut off from a crash of the upstream.

        A crash closes every connection. If a connection that was opened before the
        legs were sent answers after the cut, the upstream is still running.
        """
        connection = self._pool.acquire_idle_opened_before(self._sent_at)
        if connection is None:
            return failure
        probe = HttpExchange(
            self._upstream_id,
            self._pool,
            connection,
            min(self._deadline, self._clock() + LIVENESS_PROBE_TIMEOUT_S),
            self._clock,
            self._silence_detector,
            self._socket_deadlines,
        )
        try:
            probe.control("GET", "/v1/health", None)
        finally:
            self._pool.release(connection, probe.is_reply_complete, probe.may_still_run)
        if not probe.has_reply:
            return failure
        return failure._replace(code=ResultCode.LEG_REPLY_CUT_OFF)

    def control(self, method: str, path: str, body: bytes | None) -> bytes | None:
        """Send a small request and return the body of a 200 reply, or None."""
        if self._connect() is not None:
            return None
        sock = self._start()
        try:
            response = self._request(method, path, body)
            reply = response.read(MAX_CONTROL_REPLY_BYTES)
            self.is_reply_complete = not response.read(1)
            return reply if response.status == 200 else None
        except _TIMEOUT_ERRORS as error:
            self._on_timeout(str(error))
            return None
        except _CONNECTION_ERRORS:
            return None
        finally:
            self._socket_deadlines.remove(sock)

    def _connect(self) -> LegFailure | None:
        connection = self._connection
        try:
            connection.http.timeout = self._remaining_s()
            if not connection.is_reused:
                connection.http.connect()
        except urllib3.exceptions.NewConnectionError as error:
            return LegFailure(ResultCode.LEG_REFUSED, str(error), False)
        except _TIMEOUT_ERRORS as error:
            return LegFailure(ResultCode.LEG_TIMEOUT, f"connect: {error}", False)
        except _CONNECTION_ERRORS as error:
            return LegFailure(ResultCode.LEG_REFUSED, str(error), False)
        return None

    def _start(self) -> socket.socket:
        """Record the time of sending and enforce the deadline on the socket."""
        sock = self._connection.http.sock
        self._sent_at = self._clock()
        self._socket_deadlines.add(sock, self._deadline)
        return sock

    def _run(self, reader: ReplyReader) -> Iterator[LegResult]:
        """Yield results; return the failure of the legs that are left, or None."""
        sock = self._start()
        try:
            response = self._send_legs(reader)
            if response.status != 200:
                return _status_failure(response)
            return (yield from self._read_results(sock, response, reader))
        except _TIMEOUT_ERRORS as error:
            return self._on_timeout(str(error))
        except _CONNECTION_ERRORS as error:
            if self._clock() < self._deadline:
                return _connection_failure(error)
            return self._on_timeout(f"cut at deadline: {error}")
        finally:
            self._socket_deadlines.remove(sock)

    def _send_legs(self, reader: ReplyReader) -> HTTPResponse:
        body = leg_codec.encode_legs(tuple(reader.open_by_id.values()))
        try:
            return self._request("POST", "/v1/legs", body)
        except _TIMEOUT_ERRORS:
            raise
        except OSError as error:
            was_idle = self._connection.idle_s_at_acquire >= MIN_STALE_IDLE_S
            if was_idle and self._clock() < self._deadline:
                raise StaleConnectionError(str(error)) from error
            raise

    def _request(self, method: str, path: str, body: bytes | None) -> HTTPResponse:
        connection = self._connection.http
        connection.request(method, path, body, _REQUEST_HEADERS, preload_content=False)
        connection.timeout = self._remaining_s()
        response = connection.getresponse()
        self.has_reply = True
        serial = self._connection.serial
        retired = self._silence_detector.on_answer(
            self._clock(), self._upstream_id, serial
        )
        if retired:
            self._pool.retire_through(retired)
        return response

    def _read_results(
        self, sock: socket.socket, response: HTTPResponse, reader: ReplyReader
    ) -> Iterator[LegResult]:
        sock.settimeout(self._remaining_s())
        for data in response.stream(READ_CHUNK_BYTES, decode_content=False):
            yield from reader.feed(data)
            if reader.size_error():
                return LegFailure(
                    ResultCode.LEG_REPLY_OVERSIZED, reader.size_error(), True
                )
            if not reader.open_by_id:
                self._deadline = min(
                    self._deadline, self._clock() + REPLY_END_TIMEOUT_S
                )
            sock.settimeout(self._remaining_s())
        if reader.open_by_id:
            # Raises TimeoutError past the deadline: the legs that are left timed out,
            # although the reply seems to be complete without them.
            self._remaining_s()
        yield from reader.finish()
        self.is_reply_complete = True
        return None

    def _remaining_s(self) -> float:
        """Return the seconds until the deadline; raise TimeoutError past it."""
        remaining = self._deadline - self._clock()
        if remaining <= 0:
            raise TimeoutError("the deadline of the exchange passed")
        return remaining

    def _on_timeout(self, detail: str) -> LegFailure:
        """Record a timeout; return the failure of the connection or the upstream."""
        self.may_still_run = True
        if self.has_reply:
            return LegFailure(ResultCode.LEG_TIMEOUT, detail, True)
        serial = self._connection.serial
        retired = self._silence_detector.on_timeout(
            self._clock(), self._upstream_id, serial, self._sent_at
        )
        if not retired:
            return LegFailure(ResultCode.LEG_TIMEOUT, detail, True)
        closed = self._pool.retire_through(retired)
        detail = f"connection {serial} went silent; {closed} idle ones retired"
        return LegFailure(ResultCode.LEG_CONNECTION_SILENT, detail, True)


def _status_failure(response: HTTPResponse) -> LegFailure:
    detail = f"status {response.status} for the whole exchange"
    if response.status in _OVERLOAD_STATUSES:
        return LegFailure(ResultCode.LEG_SHED, detail, True)
    return LegFailure(ResultCode.LEG_FAILED, detail, True)


def _connection_failure(error: Exception) -> LegFailure:
    # urllib3 wraps errors in the body and keeps the original as the cause.
    cause = error.__cause__ or error
    is_disconnect = isinstance(cause, http.client.RemoteDisconnected)
    if isinstance(cause, _FRAMING_ERRORS) and not is_disconnect:
        return LegFailure(ResultCode.LEG_REPLY_MALFORMED, str(error), True)
    return LegFailure(ResultCode.LEG_CUT_OFF, str(error), True)
