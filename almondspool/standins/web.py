"""HTTP server of the stand-ins, with control over each TCP connection."""

from __future__ import annotations

import signal
import socket
import struct
import traceback
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

import eventlet
import eventlet.wsgi
import msgspec

# The kernel's number of the state, in the first byte of TCP_INFO.
TCP_ESTABLISHED = 1
# Interval at which a blocked request checks its condition and its connection.
BLOCKED_REQUEST_POLL_S = 0.02
SIGNAL_POLL_S = 0.05
LISTEN_BACKLOG = 512

_REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


class Response(NamedTuple):
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        body: The complete body, or its chunks in order.
        content_type: Value of ``Content-Type``.
        retry_after_s: Value of ``Retry-After``, in seconds; 0 for no such header.
    """

    status: int
    body: bytes | Iterable[bytes] = b""
    content_type: str = "application/json"
    retry_after_s: int = 0


class Request(NamedTuple):
    """A decoded HTTP request.

    Attributes:
        method: The HTTP method.
        path: The unquoted path segments, without empty ones.
        query: The first value of each query parameter.
        body: The complete body.
        connection: The TCP connection it came over.
    """

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    body: bytes
    connection: Connection


def run_until_stopped() -> None:
    """Block until SIGTERM or SIGINT while the listeners run."""
    received: list[int] = []
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            signal_number, lambda signal_number, frame: received.append(signal_number)
        )
    while not received:
        eventlet.sleep(SIGNAL_POLL_S)


class DropConnection(Exception):  # noqa: N818
    """Raised by a handler to close the connection without a reply."""


def json_response(value: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, msgspec.json.encode(value))


def parse_address(address: str) -> tuple[str, int]:
    """Split an ``ip:port`` address into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Connection:
    """One accepted TCP connection.

    Attributes:
        is_silent: Whether requests on it are left unanswered.
        peer: IP address and port of the peer.
    """

    def __init__(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Wrap an accepted socket."""
        self.is_silent = False
        self._sock = sock
        self.peer = peer

    def is_open(self) -> bool:
        """Return whether the kernel reports the connection as established."""
        try:
            info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except (OSError, ValueError):
            return False
        return struct.unpack("B", info)[0] == TCP_ESTABLISHED

    def close(self) -> None:
        """Shut down both directions; idempotent."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def wait_while(self, condition: Callable[[], bool]) -> None:
        """Block while the condition holds and the connection is open.

        Raises:
            DropConnection: When the connection is closed.
        """
        while condition():
            if not self.is_open():
                raise DropConnection
            eventlet.sleep(BLOCKED_REQUEST_POLL_S)

    def serve(self, server: eventlet.wsgi.Server) -> None:
        """Serve HTTP requests on the connection until it ends, then close it."""
        try:
            server.process_request([self.peer, self._sock, eventlet.wsgi.STATE_IDLE])
        except (OSError, ValueError):
            pass
        finally:
            self.close()
            self._sock.close()


class ConnectionCounts(NamedTuple):
    """Connection counts of a listener.

    Attributes:
        open: Connections open now.
        peak: Most connections open at a time since the last reset.
        violations: Connections above the limit, since the last reset.
        accepted: Accepted connections, with those above the limit, since the last
            reset.
    """

    open: int
    peak: int
    violations: int
    accepted: int


class Listener:
    """Accepts connections on one address and hands requests to a handler.

    Connections above the limit are accepted, closed at once and counted.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[Request], Response],
        *,
        max_connections: int | None = None,
        connect_cost_s: float = 0.0,
        on_violation: Callable[[int], None] | None = None,
    ) -> None:
        """Prepare a listener; open() binds it.

        Args:
            address: The ``ip:port`` to listen on.
            handler: Returns the response to a request; runs in the green thread of
                the connection.
            max_connections: Maximum number of open connections; None for no limit.
            connect_cost_s: Delay before the first request of a connection is read,
                in seconds.
            on_violation: Called for each connection above the limit, with the
                number of open connections including it.
        """
        self._address = address
        self._handler = handler
        self._max_connections = max_connections
        self._connect_cost_s = connect_cost_s
        self._on_violation = on_violation
        self._sock: socket.socket | None = None
        self._connections_by_peer: dict[tuple[str, int], Connection] = {}
        self._peak_open = 0
        self._violation_count = 0
        self._accepted_count = 0

    def open(self) -> None:
        """Bind and accept connections in a green thread; idempotent."""
        if self._sock is not None:
            return
        self._sock = eventlet.listen(
            parse_address(self._address), backlog=LISTEN_BACKLOG, reuse_port=False
        )
        eventlet.spawn(self._accept_loop, self._sock)

    def close(self) -> None:
        """Stop listening, so that new connections are refused; open ones stay."""
        if self._sock is not None:
            sock, self._sock = self._sock, None
            _close_listening_socket(sock)

    def close_connections(self) -> None:
        """Close every open connection."""
        for connection in list(self._connections_by_peer.values()):
            connection.close()

    def silence_connections(self) -> None:
        """Leave requests on the connections open now unanswered."""
        for connection in self._connections_by_peer.values():
            connection.is_silent = True

    def unsilence_connections(self) -> None:
        """Answer requests on every connection again."""
        for connection in self._connections_by_peer.values():
            connection.is_silent = False

    def counts(self) -> ConnectionCounts:
        """Return the connection counts."""
        return ConnectionCounts(
            self._count_open(),
            self._peak_open,
            self._violation_count,
            self._accepted_count,
        )

    def reset_counts(self) -> None:
        """Reset the peak and the counts of violations and accepted connections."""
        self._peak_open = self._count_open()
        self._violation_count = 0
        self._accepted_count = 0

    def _count_open(self) -> int:
        return sum(
            connection.is_open() for connection in self._connections_by_peer.values()
        )

    def _accept_loop(self, sock: socket.socket) -> None:
        server = eventlet.wsgi.Server(
            sock,
            parse_address(self._address),
            self._run_application,
            log_output=False,
            # Each chunk of a stream is sent at once.
            minimum_chunk_size=1,
            debug=False,
        )
        while self._sock is sock:
            try:
                accepted, peer = sock.accept()
            except OSError:
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._admit(Connection(accepted, peer), server)

    def _admit(self, connection: Connection, server: eventlet.wsgi.Server) -> None:
        if self._sock is None:
            connection.close()
            return
        open_count = self._count_open() + 1
        self._peak_open = max(self._peak_open, open_count)
        self._accepted_count += 1
        if self._max_connections is not None and open_count > self._max_connections:
            self._violation_count += 1
            connection.close()
            if self._on_violation:
                self._on_violation(open_count)
            return
        self._connections_by_peer[connection.peer] = connection
        eventlet.spawn(self._serve, connection, server)

    def _serve(self, connection: Connection, server: eventlet.wsgi.Server) -> None:
        try:
            if self._connect_cost_s:
                eventlet.sleep(self._connect_cost_s)
            connection.serve(server)
        finally:
            if self._connections_by_peer.get(connection.peer) is connection:
                del self._connections_by_peer[connection.peer]

    def _run_application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        peer = (environ["REMOTE_ADDR"], int(environ["REMOTE_PORT"]))
        connection = self._connections_by_peer[peer]
        try:
            response = self._handler(_decode_request(environ, connection))
        except DropConnection:
            connection.close()
            # The server then writes no reply.
            eventlet.wsgi.WSGI_LOCAL.already_handled = True
            return []
        except Exception:
            traceback.print_exc()
            raise
        return _start_reply(response, connection, start_response)


def _close_listening_socket(sock: socket.socket) -> None:
    # The shutdown ends the accept() call in which the green thread is blocked.
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def _decode_request(environ: dict[str, Any], connection: Connection) -> Request:
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    return Request(
        environ["REQUEST_METHOD"],
        _split_path(environ["RAW_PATH_INFO"]),
        {key: values[0] for key, values in query.items()},
        environ["wsgi.input"].read(),
        connection,
    )


def _split_path(raw_path: str) -> tuple[str, ...]:
    # A quoted slash belongs to a name, so the path is split before it is unquoted.
    return tuple(unquote(part) for part in raw_path.split("/") if part)


def _start_reply(
    response: Response, connection: Connection, start_response: Callable[..., Any]
) -> Iterable[bytes]:
    status = f"{response.status} {_REASON_BY_STATUS.get(response.status, 'Status')}"
    headers = [("Content-Type", response.content_type)]
    if response.retry_after_s:
        headers.append(("Retry-After", str(response.retry_after_s)))
    start_response(status, headers)
    if isinstance(response.body, bytes):
        return [response.body]
    return _stream_body(response.body, connection)


def _stream_body(chunks: Iterable[bytes], connection: Connection) -> Iterable[bytes]:
    try:
        yield from chunks
    except DropConnection:
        connection.close()
        raise
    except Exception:
        traceback.print_exc()
        raise
