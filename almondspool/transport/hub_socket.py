"""Non-blocking TCP sockets whose events are callbacks on eventlet's hub."""

from __future__ import annotations

import enum
import errno
import socket
import struct
from typing import TYPE_CHECKING

from eventlet import hubs, patcher
from eventlet.hubs.hub import READ, WRITE

if TYPE_CHECKING:
    from collections.abc import Callable

# These sockets are registered with the hub directly, so they must not be eventlet's
# green sockets.
plain_socket = patcher.original("socket")

RECEIVE_BYTES = 65_536
# struct tcp_info of Linux: tcpi_rtt, in microseconds, is its 18th word of 32 bits.
TCP_INFO_BYTES = 104
ROUND_TRIP_OFFSET_BYTES = 68
_ROUND_TRIP_US = struct.Struct("I")
# Unacknowledged data for this long means that the peer is unreachable; an instance that
# is frozen or partitioned must not keep connections open for minutes.
USER_TIMEOUT_MS = 2_000
# Keep-alive probes detect a dead idle connection within about three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Most bytes that are received and dropped on a connection that closes after its last
# write has been sent.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024


class HubSocket:
    """Connected socket that passes received bytes to a callback and buffers writes.

    Attributes:
        is_open: False once the connection was closed or has failed.
    """

    __slots__ = (
        "_closes_when_sent",
        "_discarded_bytes",
        "_hub",
        "_on_closed",
        "_on_data",
        "_unsent",
        "_reader",
        "_socket",
        "_writer",
        "is_open",
    )

    def __init__(
        self,
        sock: socket.socket,
        on_data: Callable[[bytes], None],
        on_closed: Callable[[bool], None],
    ) -> None:
        """Take over a connected, non-blocking socket.

        Args:
            sock: The socket.
            on_data: Called with received bytes.
            on_closed: Called once, with True when the peer closed the connection or
                with False when it failed. Not called after close().
        """
        self._socket = sock
        self._on_data = on_data
        self._on_closed = on_closed
        self._unsent = bytearray()
        self._hub = hubs.get_hub()
        self._writer = None
        self._closes_when_sent = False
        self._discarded_bytes = 0
        self.is_open = True
        self._reader = self._hub.add(
            READ, sock.fileno(), self._on_readable, _ignore, _ignore
        )

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the kernel has not accepted yet."""
        return len(self._unsent)

    def round_trip_s(self) -> float:
        """Return the kernel's estimate of the round-trip time, in seconds."""
        try:
            info = self._socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
            return _ROUND_TRIP_US.unpack_from(info, ROUND_TRIP_OFFSET_BYTES)[0] / 1e6
        except (OSError, struct.error):
            # Not available; routing assumes a default network delay instead of 0.0.
            return 0.0

    def write(self, data: bytes) -> None:
        """Send bytes, and buffer those that the kernel does not accept at once."""
        if not self.is_open:
            return
        if not self._unsent:
            try:
                sent = self._socket.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._schedule_disconnect()
                return
            if sent == len(data):
                return
            data = data[sent:]
        self._unsent += data
        self._start_watching_writes()

    def read_available(self) -> None:
        """Read bytes that have arrived but that the hub has not reported yet."""
        if self.is_open:
            self._on_readable(self._socket.fileno())

    def close_when_sent(self) -> None:
        """Drop what is received from now on, and close once all bytes are sent.

        ``on_closed`` is called unless the connection closes at once.
        """
        self._closes_when_sent = True
        if not self._unsent:
            self._discard_received()
            self.close()

    def close(self, reset: bool = False) -> None:
        """Close the connection.

        Args:
            reset: Whether to send a reset instead of closing in an orderly way.
        """
        if not self.is_open:
            return
        self.is_open = False
        self._hub.remove(self._reader)
        if self._writer is not None:
            self._hub.remove(self._writer)
            self._writer = None
        if reset:
            # struct linger: on, with a timeout of 0 s.
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._socket.close()

    def _on_readable(self, _fileno: int) -> None:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._on_disconnect(False)
            return
        if not data:
            self._on_disconnect(True)
        elif not self._closes_when_sent:
            self._on_data(data)
        else:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._on_disconnect(False)

    def _on_writable(self, _fileno: int) -> None:
        try:
            sent = self._socket.send(self._unsent)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._on_disconnect(False)
            return
        del self._unsent[:sent]
        if self._unsent:
            return
        if self._closes_when_sent:
            self._discard_received()
            self._on_disconnect(True)
        elif self._writer is not None:
            self._hub.remove(self._writer)
            self._writer = None

    def _discard_received(self) -> None:
        """Drop bytes in the kernel's buffer.

        A close with unread bytes resets the connection, and the peer might lose the
        end of what was sent.
        """
        try:
            while self._discarded_bytes <= MAX_DISCARDED_BYTES:
                data = self._socket.recv(RECEIVE_BYTES)
                if not data:
                    return
                self._discarded_bytes += len(data)
        except OSError:
            # Nothing more has arrived, or the peer has reset the connection.
            return

    def _start_watching_writes(self) -> None:
        if self._writer is None:
            self._writer = self._hub.add(
                WRITE, self._socket.fileno(), self._on_writable, _ignore, _ignore
            )

    def _schedule_disconnect(self) -> None:
        # Deferred: on_closed must not be called before write() returns.
        self._hub.schedule_call_global(0, self._on_disconnect, False)

    def _on_disconnect(self, is_orderly: bool) -> None:
        if self.is_open:
            self.close()
            self._on_closed(is_orderly)


class ConnectFailure(enum.Enum):
    """Why a connection was not established.

    REFUSED means that no process listens on the address. RESET means that the peer has
    accepted the connection and closed it at once, since it has too many.
    """

    REFUSED = "refused"
    RESET = "reset"
    TIMEOUT = "connect_timeout"
    OTHER = "connect_failed"


_FAILURE_BY_ERRNO = {
    errno.ECONNREFUSED: ConnectFailure.REFUSED,
    errno.ECONNRESET: ConnectFailure.RESET,
    errno.ETIMEDOUT: ConnectFailure.TIMEOUT,
}


class ConnectAttempt:
    """A connection attempt that can be cancelled."""

    __slots__ = ("_hub", "_on_end", "_socket", "_timer", "_writer")

    def __init__(
        self,
        address: tuple[str, int],
        timeout_s: float,
        on_end: Callable[[socket.socket | None, ConnectFailure | None], None],
    ) -> None:
        """Start connecting.

        Args:
            address: IP address and port.
            timeout_s: Timeout of the attempt, in seconds.
            on_end: Called with the connected socket and None, or with None and the
                failure; never before this returns, and not after cancel().
        """
        self._on_end = on_end
        self._hub = hubs.get_hub()
        self._writer = None
        self._socket = plain_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        set_dead_peer_detection(self._socket)
        self._timer = self._hub.schedule_call_global(
            timeout_s, self._fail, ConnectFailure.TIMEOUT
        )
        error = self._socket.connect_ex(address)
        if error in (0, errno.EINPROGRESS):
            self._writer = self._hub.add(
                WRITE, self._socket.fileno(), self._on_connected, _ignore, _ignore
            )
        else:
            self._hub.schedule_call_global(0, self._fail, _connect_failure(error))

    def cancel(self) -> None:
        """Cancel the attempt; ``on_end`` is not called."""
        self._unregister()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _on_connected(self, _fileno: int) -> None:
        if self._socket is None:
            # Cancelled in the same iteration of the hub, after the event was polled.
            return
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(_connect_failure(error))
            return
        sock, self._socket = self._socket, None
        self._unregister()
        self._on_end(sock, None)

    def _fail(self, failure: ConnectFailure) -> None:
        if self._socket is None:
            return
        self.cancel()
        self._on_end(None, failure)

    def _unregister(self) -> None:
        if self._writer is not None:
            self._hub.remove(self._writer)
            self._writer = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _connect_failure(error: int) -> ConnectFailure:
    return _FAILURE_BY_ERRNO.get(error, ConnectFailure.OTHER)


class HubListener:
    """Accepts connections on the hub."""

    # Limits the connections accepted in one event loop iteration, so that a burst of
    # callers does not delay the requests in progress.
    MAX_ACCEPTS_PER_ITERATION = 16
    # Maximum number of connections that the kernel queues until they are accepted.
    BACKLOG = 1024

    def __init__(
        self,
        address: tuple[str, int],
        on_accept: Callable[[socket.socket], None],
    ) -> None:
        """Bind and start listening.

        Args:
            address: IP address and port; port 0 lets the kernel choose one.
            on_accept: Called with each accepted socket, which is non-blocking.

        Raises:
            OSError: If the address is in use.
        """
        self._on_accept = on_accept
        self._hub = hubs.get_hub()
        self._socket = plain_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        try:
            self._socket.bind(address)
            self._socket.listen(self.BACKLOG)
        except OSError:
            self._socket.close()
            raise
        self.port = self._socket.getsockname()[1]
        self._reader = self._hub.add(
            READ, self._socket.fileno(), self._on_acceptable, _ignore, _ignore
        )

    def close(self) -> None:
        """Accept the connections queued in the kernel, then stop listening."""
        if self._reader is not None:
            may_have_more = True
            while may_have_more:
                may_have_more = self._accept_batch() == self.MAX_ACCEPTS_PER_ITERATION
            self._hub.remove(self._reader)
            self._reader = None
            self._socket.close()

    def _on_acceptable(self, _fileno: int) -> None:
        self._accept_batch()

    def _accept_batch(self) -> int:
        """Accept up to one iteration's limit and return how many were accepted."""
        for accepted in range(self.MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, _ = self._socket.accept()
            except OSError:
                # The queue is empty, or the peer closed while it was queued.
                return accepted
            sock.setblocking(False)
            set_dead_peer_detection(sock)
            self._on_accept(sock)
        return self.MAX_ACCEPTS_PER_ITERATION


def set_dead_peer_detection(sock: socket.socket) -> None:
    """Set the options that detect an unreachable peer within seconds."""
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)


def parse_host_port(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _ignore(*_: object) -> None:
    """Do nothing.

    Stands in for the hub's hooks that throw into a green thread and that report a
    closed descriptor, as callbacks need neither.
    """
