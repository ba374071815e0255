"""HTTP server for callers, with connections whose events are callbacks on the hub.

eventlet's WSGI server runs a request on a green thread that notices a caller's close
only when it writes; it also decodes the target and joins repeated headers. Routed
requests need the target and headers as sent, and an immediate notice of a close.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from almondspool.errors import RequestError
from almondspool.protocol.exchange import Answer, CallerRequest
from almondspool.transport.hub_socket import HubListener, HubSocket, parse_host_port

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from almondspool.protocol.exchange import HeaderCodec, RequestHandle
    from almondspool.state.routes import CallerLimits
    from almondspool.transport.timers import TimerService

REASON_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Interval of the check for slow and idle callers.
TIMEOUT_CHECK_INTERVAL_S = 0.5
# A connection is closed if its caller has read nothing of an unsent answer for this
# time.
ANSWER_READ_TIMEOUT_S = 20.0
# Most bytes of pipelined requests that one connection buffers while it serves another
# request; a caller that sends more is disconnected.
MAX_PIPELINED_BYTES = 262_144
# Sent here and not by the upstream, since an expectation applies to one hop only.
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Network round trips of a caller's request: one for request and answer and the same
# again for jitter; on a new connection also one to open it and one to look up the
# address, which uses a connection of its own.
REUSED_CONNECTION_ROUND_TRIPS = 2
NEW_CONNECTION_ROUND_TRIPS = 4
_BODILESS_STATUSES = frozenset({204, 304})


class CallerConnection:
    """Connection of one caller; it serves one request at a time.

    Attributes:
        state_since: When the current request's first byte arrived, or else when the
            caller last read from an unsent answer, the last answer was written or the
            connection accepted; in monotonic seconds.
    """

    __slots__ = (
        "_pipelined",
        "_body",
        "_body_bytes",
        "_expects_continue",
        "_handle",
        "_has_served",
        "_received_bytes",
        "_headers",
        "_host_headers",
        "_is_busy",
        "_is_complete",
        "_is_head_complete",
        "_keeps_alive",
        "_parsed_header_bytes",
        "_parser",
        "_error_status",
        "_server",
        "_socket",
        "_target",
        "_http_version",
        "_unsent_bytes",
        "state_since",
    )

    def __init__(self, sock: socket.socket, server: CallerServer) -> None:
        """Take over an accepted socket."""
        self._server = server
        self._handle: RequestHandle | None = None
        self._is_busy = False
        self._has_served = False
        # Size of the unsent part of the answers at the last check, in bytes.
        self._unsent_bytes = 0
        self._pipelined = b""
        self._socket = HubSocket(sock, self._on_data, self._on_closed)
        self._reset_request()

    @property
    def is_idle(self) -> bool:
        """Return whether no request byte has arrived since the last answer was sent."""
        return (
            not self._is_busy
            and not self._received_bytes
            and not self._socket.unsent_bytes
        )

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being served or an answer is not sent yet."""
        return self._is_busy or self._socket.unsent_bytes > 0

    def read_available(self) -> None:
        """Read bytes that arrived but that the hub has not reported yet."""
        self._socket.read_available()

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
        self._server.remove(self)

    def check_timeouts(self, now: float, limits: CallerLimits) -> None:
        """Close the connection if its caller has been idle or slow for too long.

        Args:
            now: The time, in monotonic seconds.
            limits: The limits for callers.
        """
        if self._is_busy:
            return
        unsent_bytes, previous = self._socket.unsent_bytes, self._unsent_bytes
        self._unsent_bytes = unsent_bytes
        if unsent_bytes < previous:
            self.state_since = now
        elapsed_s = now - self.state_since
        if unsent_bytes:
            if elapsed_s > ANSWER_READ_TIMEOUT_S:
                self.close()
        elif self.is_idle:
            if elapsed_s > limits.idle_timeout_s:
                self.close()
        elif elapsed_s > limits.head_timeout_s:
            self._reject(408)

    def _reset_request(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._host_headers: list[bytes] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._received_bytes = 0
        self._expects_continue = False
        self._is_complete = False
        self._is_head_complete = False
        self._parsed_header_bytes = 0
        self._keeps_alive = True
        self._http_version = "1.1"
        self._error_status = 0
        self.state_since = self._server.now()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Close after the answer if another request was read together with this one."""
        if self._is_complete:
            self._keeps_alive = False

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target, which the parser may split."""
        if not self._is_complete:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; reject a content length over the limit."""
        if self._is_complete:
            return
        self._parsed_header_bytes += len(name) + len(value) + len(": \r\n")
        self._headers.append((name, value))
        lowercase_name = name.lower()
        if lowercase_name == b"host":
            self._host_headers.append(value)
        elif lowercase_name == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True
        elif lowercase_name == b"content-length":
            if value.isdigit() and int(value) > self._server.limits().max_body_bytes:
                self._error_status = self._error_status or 413

    def on_headers_complete(self) -> None:
        """Check the head's size; send 100 Continue if expected and not rejected."""
        if self._is_complete:
            return
        self._is_head_complete = True
        self._check_head_size(self._parsed_header_bytes + len(self._target))
        self._http_version = self._parser.get_http_version()
        if self._expects_continue and not self._error_status:
            self._socket.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body, up to the size limit."""
        if self._is_complete:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits().max_body_bytes:
            self._error_status = self._error_status or 413
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        if self._is_complete:
            return
        self._is_complete = True
        self._keeps_alive = self._parser.should_keep_alive()

    # Events of the socket.

    def _on_data(self, data: bytes) -> None:
        if self._is_busy:
            self._pipelined += data
            if len(self._pipelined) > MAX_PIPELINED_BYTES:
                self._cancel_request()
                self.close()
            return
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        if not self._received_bytes:
            self.state_since = self._server.now()
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # The request asks for a protocol upgrade; it is served as plain HTTP.
            offset = upgrade.args[0] if upgrade.args else len(data)
            self._pipelined = data[offset:]
        except httptools.HttpParserError:
            if not self._is_complete:
                self._reject(400)
                return
            # Only the bytes after the complete request are invalid: answer it first.
            self._keeps_alive = False
        if not self._is_head_complete:
            # Incomplete lines count too: the parser buffers them.
            self._check_head_size(self._received_bytes)
        if self._error_status:
            self._reject(self._error_status)
        elif self._is_complete:
            self._serve()

    def _check_head_size(self, size_bytes: int) -> None:
        if size_bytes > self._server.limits().max_head_bytes:
            self._error_status = self._error_status or 431

    def _serve(self) -> None:
        target = self._target.decode("latin-1")
        if len(self._host_headers) != 1 or not target.startswith("/"):
            self._reject(400)
            return
        headers = tuple(self._headers)
        try:
            request_id, deadline_s = self._server.codec.decode_request_headers(headers)
        except RequestError:
            self._reject(400)
            return
        self._is_busy = True
        round_trips = (
            REUSED_CONNECTION_ROUND_TRIPS
            if self._has_served
            else NEW_CONNECTION_ROUND_TRIPS
        )
        request = CallerRequest(
            self._parser.get_method().decode("latin-1"),
            target,
            self._host_headers[0].decode("latin-1").lower().partition(":")[0],
            headers,
            b"".join(self._body),
            request_id,
            deadline_s,
            self._server.now(),
            self._socket.round_trip_s() * round_trips,
        )
        self._has_served = True
        handle = self._server.handler(request, self._answer)
        if self._is_busy:
            self._handle = handle

    def _answer(self, answer: Answer) -> None:
        """Send the answer to the current request and continue with the next."""
        if not self._is_busy:
            return
        self._is_busy = False
        self._handle = None
        if not self._socket.is_open:
            return
        keeps_alive = self._keeps_alive and not self._server.is_draining
        self._socket.write(encode_answer(answer, keeps_alive, self._http_version))
        if not keeps_alive:
            self._close_after_answer()
            return
        pipelined, self._pipelined = self._pipelined, b""
        self._reset_request()
        if pipelined:
            self._feed(pipelined)

    def _reject(self, status: int) -> None:
        """Answer an invalid request with an error status and close the connection."""
        self._server.count_rejected(status)
        self._socket.write(encode_answer(Answer(status), False, "1.1"))
        self._close_after_answer()

    def _close_after_answer(self) -> None:
        """Close the connection once its last answer is sent, and read no request."""
        self.state_since = self._server.now()
        self._socket.close_when_sent()
        if not self._socket.is_open:
            self._server.remove(self)

    def _on_closed(self, _is_orderly: bool) -> None:
        self._cancel_request()
        self._server.remove(self)

    def _cancel_request(self) -> None:
        handle, self._handle = self._handle, None
        self._is_busy = False
        if handle is not None:
            handle.cancel()


class CallerServer:
    """Accepts callers and owns their connections.

    Attributes:
        is_draining: Whether each connection is closed after its next answer.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        timers: TimerService,
        handler: Callable[[CallerRequest, Callable[[Answer], None]], RequestHandle],
        limits: Callable[[], CallerLimits],
        count_rejected: Callable[[int], None],
    ) -> None:
        """Create a server; listen() starts accepting.

        Args:
            codec: Decodes the callers' headers.
            timers: The timer service.
            handler: Serves a request; calls back once with its answer.
            limits: Returns the current limits for callers.
            count_rejected: Called with the status of each rejected request.
        """
        self.codec = codec
        self.handler = handler
        self.limits = limits
        self.count_rejected = count_rejected
        self.now = timers.now
        self._timers = timers
        self._connections: set[CallerConnection] = set()
        self._listener: HubListener | None = None
        self._timeout_check = None
        self.is_draining = False

    def listen(self, address: str) -> int:
        """Accept callers on ``ip:port`` and return the port.

        Raises:
            OSError: If the address is in use.
        """
        self._listener = HubListener(parse_host_port(address), self._on_accept)
        self._timeout_check = self._timers.subscribe(
            TIMEOUT_CHECK_INTERVAL_S, self._check_all_timeouts
        )
        return self._listener.port

    def begin_drain(self) -> None:
        """Close each connection after its next answer, but keep accepting."""
        self.is_draining = True

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones are still served."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Close idle connections, but serve requests that have just arrived on them."""
        for connection in tuple(self._connections):
            if connection.is_idle:
                connection.read_available()
            if connection.is_idle:
                connection.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        self.stop_accepting()
        if self._timeout_check is not None:
            self._timeout_check.cancel()
        for connection in tuple(self._connections):
            connection.close()

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Return the number of requests that are served or whose answer is unsent."""
        return sum(connection.is_busy for connection in self._connections)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def _on_accept(self, sock: socket.socket) -> None:
        self._connections.add(CallerConnection(sock, self))

    def _check_all_timeouts(self) -> None:
        now = self.now()
        limits = self.limits()
        for connection in tuple(self._connections):
            connection.check_timeouts(now, limits)


def encode_answer(answer: Answer, keeps_alive: bool, http_version: str) -> bytes:
    """Return an answer as HTTP bytes, with its length and connection headers.

    Args:
        answer: The answer.
        keeps_alive: Whether the connection stays open after it.
        http_version: HTTP version of the request, such as ``1.1``.
    """
    reason = REASON_BY_STATUS.get(answer.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (answer.status, reason)]
    lines += [name + b": " + value for name, value in answer.headers]
    if answer.status not in _BODILESS_STATUSES:
        lines.append(b"Content-Length: %d" % len(answer.body))
    if not keeps_alive:
        lines.append(b"Connection: close")
    elif http_version == "1.0":
        lines.append(b"Connection: keep-alive")
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body
