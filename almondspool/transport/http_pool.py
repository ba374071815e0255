"""Pool of keep-alive HTTP connections to one upstream, bounded by its quota."""

from __future__ import annotations

import abc
import itertools
import socket
import threading
from typing import TYPE_CHECKING

from urllib3.connection import HTTPConnection

from almondspool.codes import ResultCode
from almondspool.errors import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

# Connections that were idle for longer are not reused: network address translators
# commonly drop the state of a TCP flow after 60 s or more.
MAX_IDLE_S = 45.0
# How long a connection that was closed in the middle of a request, or because it was
# silent, still counts against the limit, as the upstream may still count it.
CLOSED_CONNECTION_COUNTS_S = 1.0


class SilenceDetector(abc.ABC):
    """Distinguishes silent connections from a slow upstream.

    A connection is silent if bytes sent on it are lost without an error, for example
    because a middlebox has dropped its state.
    """

    @abc.abstractmethod
    def on_answer(self, now: float, upstream_id: str, serial: int) -> int:
        """Handle the first byte of a reply.

        Args:
            now: The time, in monotonic seconds.
            upstream_id: The upstream.
            serial: Serial of the connection.

        Returns:
            Serial of the newest connection to retire with all older ones; 0 for none.
        """

    @abc.abstractmethod
    def on_timeout(
        self, now: float, upstream_id: str, serial: int, sent_at: float
    ) -> int:
        """Handle an exchange that timed out without a byte of reply.

        Args:
            now: The time, in monotonic seconds.
            upstream_id: The upstream.
            serial: Serial of the connection.
            sent_at: When the request was sent, in monotonic seconds.

        Returns:
            Serial of the newest connection to retire with all older ones, if the
            connection is at fault and not the upstream; else 0.
        """

    @abc.abstractmethod
    def newest_suspected(self, now: float, upstream_id: str) -> int:
        """Return the newest serial suspected to be silent; 0 for none.

        New exchanges use only connections with a higher serial.
        """

    @abc.abstractmethod
    def forget(self, upstream_id: str) -> None:
        """Remove the history of an upstream's connections."""


class PooledConnection:
    """An HTTP connection with its times of use.

    Attributes:
        http: The HTTP connection.
        serial: Number of the connection in its pool, in order of creation.
        opened_at: When it was created, in monotonic seconds.
        idle_since: When it was last released, in monotonic seconds.
        idle_s_at_acquire: How long it had been idle when it was last acquired, in
            seconds.
        uses: Number of exchanges that it has served.
    """

    __slots__ = (
        "http",
        "idle_s_at_acquire",
        "idle_since",
        "opened_at",
        "serial",
        "uses",
    )

    def __init__(self, http: HTTPConnection, serial: int, now: float) -> None:
        """Wrap a connection that is opened on its first use."""
        self.http = http
        self.serial = serial
        self.opened_at = now
        self.idle_since = now
        self.idle_s_at_acquire = 0.0
        self.uses = 0

    @property
    def is_reused(self) -> bool:
        """Return whether the connection has served an exchange."""
        return self.uses > 0


class HttpPool:
    """Keep-alive connections to one upstream, never more than the limit."""

    def __init__(self, address: str, limit: int, clock: Callable[[], float]) -> None:
        """Create an empty pool.

        Args:
            address: ``ip:port`` of the upstream.
            limit: Maximum number of connections; 0 opens none.
            clock: Returns monotonic seconds.
        """
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._limit = limit
        self._clock = clock
        self._idle: list[PooledConnection] = []
        self._in_use: set[PooledConnection] = set()
        self._lingering_until: list[float] = []
        self._retired_serial = 0
        self._serials = itertools.count(1)
        self._capacity_changed = threading.Condition()

    @property
    def open_count(self) -> int:
        """Return the number of connections that count against the limit.

        These are the open ones and, for CLOSED_CONNECTION_COUNTS_S, those that the
        upstream may still count after they were closed.
        """
        now = self._clock()
        self._lingering_until = [end for end in self._lingering_until if end > now]
        return len(self._idle) + len(self._in_use) + len(self._lingering_until)

    def set_limit(self, limit: int) -> None:
        """Set the maximum number of connections and close idle ones beyond it."""
        with self._capacity_changed:
            self._limit = limit
            while self._idle and self.open_count > limit:
                self._idle.pop(0).http.close()
            self._capacity_changed.notify_all()

    def acquire(
        self, timeout_s: float, max_idle_s: float = MAX_IDLE_S, newer_than: int = 0
    ) -> PooledConnection:
        """Return a connection for one exchange, waiting for a free one.

        A new connection is not open yet.

        Args:
            timeout_s: Longest wait, in seconds; 0 to return at once.
            max_idle_s: Longest idle time of a connection to reuse; 0 for a new one.
            newer_than: Exclusive lower bound on the serial of a connection to reuse.

        Raises:
            UpstreamError: LEG_SHED if none became free in time; LEG_NO_HOLDER if
                the limit is 0.
        """
        end = self._clock() + timeout_s
        with self._capacity_changed:
            while True:
                connection = self._try_acquire(max_idle_s, newer_than)
                if connection is not None:
                    return connection
                remaining = end - self._clock()
                if remaining <= 0 or self._limit == 0:
                    raise self._unavailable_error()
                self._capacity_changed.wait(min([remaining, *self._linger_waits_s()]))

    def acquire_idle_opened_before(
        self, opened_before: float
    ) -> PooledConnection | None:
        """Acquire an idle connection opened before a time; return None without one.

        Args:
            opened_before: Exclusive upper bound, in monotonic seconds.
        """
        with self._capacity_changed:
            for connection in tuple(self._idle):
                if connection.opened_at >= opened_before:
                    continue
                self._idle.remove(connection)
                if not self._is_stale(connection):
                    return self._mark_in_use(connection)
                connection.http.close()
        return None

    def release(
        self,
        connection: PooledConnection,
        is_reusable: bool,
        may_still_run: bool = False,
    ) -> None:
        """Return a connection to the pool; it is closed unless it can be reused.

        Args:
            connection: The acquired connection.
            is_reusable: Whether the last reply was complete.
            may_still_run: Whether the upstream may still be running its request.
        """
        with self._capacity_changed:
            self._in_use.discard(connection)
            connection.uses += 1
            connection.idle_since = self._clock()
            if is_reusable and self._may_keep(connection):
                self._idle.append(connection)
            else:
                connection.http.close()
                if may_still_run:
                    self._linger(1)
            self._capacity_changed.notify()

    def retire_through(self, serial: int) -> int:
        """Close silent connections: idle ones now, those in use on release.

        Args:
            serial: Serial of the newest connection to close; older ones are closed too.

        Returns:
            The number of idle connections closed.
        """
        with self._capacity_changed:
            self._retired_serial = max(self._retired_serial, serial)
            closed = self._close_idle(lambda idle: idle.serial <= serial)
            self._linger(closed)
            return closed

    def close_stale(self) -> int:
        """Close connections that were idle for too long or closed by the upstream.

        Returns:
            The number of connections closed.
        """
        with self._capacity_changed:
            return self._close_idle(self._is_stale)

    def retire_all(self) -> int:
        """Close idle connections now and those in use on release.

        Returns:
            The number of idle connections closed.
        """
        with self._capacity_changed:
            open_now = (*self._in_use, *self._idle)
            newest = max((connection.serial for connection in open_now), default=0)
            self._retired_serial = max(self._retired_serial, newest)
            return self._close_idle(lambda idle: True)

    def _try_acquire(
        self, max_idle_s: float, newer_than: int
    ) -> PooledConnection | None:
        connection = self._pop_idle(max_idle_s, newer_than)
        if connection is not None:
            return self._mark_in_use(connection)
        if self.open_count >= self._limit and self._idle:
            self._idle.pop(0).http.close()
        if self.open_count >= self._limit:
            return None
        http = HTTPConnection(self._host, self._port)
        return self._mark_in_use(
            PooledConnection(http, next(self._serials), self._clock())
        )

    def _linger(self, count: int) -> None:
        """Let closed connections count for CLOSED_CONNECTION_COUNTS_S.

        They count against the limit of open connections.
        """
        self._lingering_until += [self._clock() + CLOSED_CONNECTION_COUNTS_S] * count

    def _linger_waits_s(self) -> list[float]:
        """Return in how many seconds each closed connection stops to count."""
        now = self._clock()
        return [max(0.001, end - now) for end in self._lingering_until]

    def _pop_idle(self, max_idle_s: float, newer_than: int) -> PooledConnection | None:
        now = self._clock()
        # Starts with the most recently used connection: a middlebox is least likely to
        # have dropped it.
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            connection.idle_s_at_acquire = now - connection.idle_since
            if connection.idle_s_at_acquire >= max_idle_s:
                return None
            if connection.serial <= newer_than:
                continue
            del self._idle[index]
            if not self._is_stale(connection):
                return connection
            connection.http.close()
        return None

    def _mark_in_use(self, connection: PooledConnection) -> PooledConnection:
        self._in_use.add(connection)
        return connection

    def _may_keep(self, connection: PooledConnection) -> bool:
        """Return whether a released connection may stay open for reuse."""
        if connection.http.is_closed or connection.serial <= self._retired_serial:
            return False
        return self.open_count < self._limit

    def _is_stale(self, connection: PooledConnection) -> bool:
        if self._clock() - connection.idle_since > MAX_IDLE_S:
            return True
        return is_connection_dropped(connection.http)

    def _close_idle(self, predicate: Callable[[PooledConnection], bool]) -> int:
        closing = [connection for connection in self._idle if predicate(connection)]
        for connection in closing:
            self._idle.remove(connection)
            connection.http.close()
        return len(closing)

    def _unavailable_error(self) -> UpstreamError:
        if self._limit == 0:
            return UpstreamError(
                f"no connection to {self.address} is granted", ResultCode.LEG_NO_HOLDER
            )
        return UpstreamError(
            f"all {self._limit} connections to {self.address} are in use",
            ResultCode.LEG_SHED,
        )


def is_connection_dropped(http: HTTPConnection) -> bool:
    """Return whether an idle connection was closed or has unsolicited bytes.

    A peek costs a fraction of urllib3's select, which under eventlet registers the
    socket with the hub and switches to it.
    """
    sock = http.sock
    if sock is None or sock.fileno() < 0:
        return True
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(timeout_s)
    return True
