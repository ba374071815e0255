"""Keep-alive HTTP connections to one upstream, bounded by the granted number."""

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

# Network address translators commonly forget a TCP flow after 60 s or more.
IDLE_LIMIT_S = 45.0
# The other end may count a connection that was closed in the middle of a request, or
# that went silent, for a while longer.
LINGER_S = 1.0


class SilenceDetector(abc.ABC):
    """Distinguishes connections that went silent from a slow upstream."""

    @abc.abstractmethod
    def on_answer(self, now: float, upstream_id: str, serial: int) -> int:
        """Handle the first byte of a reply.

        Returns:
            The newest connection to retire with all older ones; 0 for none.
        """

    @abc.abstractmethod
    def on_timeout(
        self, now: float, upstream_id: str, serial: int, sent_at: float
    ) -> int:
        """Handle an exchange that timed out without a byte of reply.

        Returns:
            The newest connection to retire with all older ones, if the connection
            is to blame and not the upstream; else 0.
        """

    @abc.abstractmethod
    def newest_suspected(self, now: float, upstream_id: str) -> int:
        """Return the newest connection suspected to be silent; 0 for none."""

    @abc.abstractmethod
    def forget(self, upstream_id: str) -> None:
        """Drop the state of an upstream's connections."""


class PooledConnection:
    """One connection with its age.

    Attributes:
        http: The HTTP connection.
        serial: Number of the connection in its pool; a later one is newer.
        opened_at: When it was opened, in monotonic seconds.
        idle_since: When it was last given back, in monotonic seconds.
        idle_before_s: How long it had been idle when it was last taken.
        uses: How many exchanges it has served.
    """

    __slots__ = ("http", "idle_before_s", "idle_since", "opened_at", "serial", "uses")

    def __init__(self, http: HTTPConnection, serial: int, now: float) -> None:
        """Wrap a connection that is about to be opened."""
        self.http = http
        self.serial = serial
        self.opened_at = now
        self.idle_since = now
        self.idle_before_s = 0.0
        self.uses = 0

    @property
    def is_reused(self) -> bool:
        """Return whether an earlier exchange ran on this connection."""
        return self.uses > 0


class HttpPool:
    """Connections to one upstream; never more open than the limit."""

    def __init__(self, address: str, limit: int, clock: Callable[[], float]) -> None:
        """Start empty.

        Args:
            address: ``ip:port`` of the upstream.
            limit: Granted connections; 0 opens none.
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
        self._changed = threading.Condition()

    @property
    def open_count(self) -> int:
        """Return connections that the upstream may count: open or closed just now."""
        now = self._clock()
        self._lingering_until = [end for end in self._lingering_until if end > now]
        return len(self._idle) + len(self._in_use) + len(self._lingering_until)

    def set_limit(self, limit: int) -> None:
        """Change the granted number and close idle connections beyond it."""
        with self._changed:
            self._limit = limit
            while self._idle and self.open_count > limit:
                self._idle.pop(0).http.close()
            self._changed.notify_all()

    def acquire(
        self, timeout_s: float, max_idle_s: float = IDLE_LIMIT_S, newer_than: int = 0
    ) -> PooledConnection:
        """Return a connection for one exchange, waiting for a free one.

        A connection that was never used is not open yet.

        Args:
            timeout_s: Longest wait, in seconds; 0 not to wait.
            max_idle_s: Longest idle time of a connection to reuse; 0 for a new one.
            newer_than: Lowest serial, exclusive, of an idle one to reuse.

        Raises:
            UpstreamError: LEG_SHED if none became free in time; LEG_NO_HOLDER if
                none is granted.
        """
        end = self._clock() + timeout_s
        with self._changed:
            while True:
                connection = self._take(max_idle_s, newer_than)
                if connection is not None:
                    return connection
                remaining = end - self._clock()
                if remaining <= 0 or self._limit == 0:
                    raise self._busy_error()
                self._changed.wait(min([remaining, *self._linger_waits_s()]))

    def take_idle_before(self, opened_before: float) -> PooledConnection | None:
        """Return an idle connection opened before a monotonic second, or None."""
        with self._changed:
            for connection in tuple(self._idle):
                if connection.opened_at >= opened_before:
                    continue
                self._idle.remove(connection)
                if not self._is_stale(connection):
                    return self._use(connection)
                connection.http.close()
        return None

    def release(
        self, connection: PooledConnection, reusable: bool, abandoned: bool = False
    ) -> None:
        """Give a connection back; it is closed unless it can be reused.

        Args:
            connection: From acquire.
            reusable: Whether the last reply ended properly.
            abandoned: Whether a request may still run on it at the other end.
        """
        with self._changed:
            self._in_use.discard(connection)
            connection.uses += 1
            connection.idle_since = self._clock()
            if reusable and self._may_keep(connection):
                self._idle.append(connection)
            else:
                connection.http.close()
                if abandoned:
                    self._linger(1)
            self._changed.notify()

    def retire_to(self, serial: int) -> int:
        """Close silent connections: idle ones now, busy ones when given back.

        Args:
            serial: The newest connection to retire.

        Returns:
            How many idle connections were closed.
        """
        with self._changed:
            self._retired_serial = max(self._retired_serial, serial)
            closed = self._close_idle(lambda idle: idle.serial <= serial)
            self._linger(closed)
            return closed

    def close_stale(self) -> int:
        """Close connections that were idle too long or closed by the upstream."""
        with self._changed:
            return self._close_idle(self._is_stale)

    def retire_all(self) -> int:
        """Close all idle connections, and busy ones when given back."""
        with self._changed:
            open_now = (*self._in_use, *self._idle)
            newest = max((item.serial for item in open_now), default=0)
            self._retired_serial = max(self._retired_serial, newest)
            return self._close_idle(lambda idle: True)

    def _take(self, max_idle_s: float, newer_than: int) -> PooledConnection | None:
        connection = self._take_idle(max_idle_s, newer_than)
        if connection is not None:
            return self._use(connection)
        if self.open_count >= self._limit and self._idle:
            self._idle.pop(0).http.close()
        if self.open_count >= self._limit:
            return None
        http = HTTPConnection(self._host, self._port)
        return self._use(PooledConnection(http, next(self._serials), self._clock()))

    def _linger(self, count: int) -> None:
        self._lingering_until += [self._clock() + LINGER_S] * count

    def _linger_waits_s(self) -> list[float]:
        now = self._clock()
        return [max(0.001, end - now) for end in self._lingering_until]

    def _take_idle(self, max_idle_s: float, newer_than: int) -> PooledConnection | None:
        now = self._clock()
        # The last used is the least likely to have been forgotten on the way.
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            connection.idle_before_s = now - connection.idle_since
            if connection.idle_before_s >= max_idle_s:
                return None
            if connection.serial <= newer_than:
                continue
            del self._idle[index]
            if not self._is_stale(connection):
                return connection
            connection.http.close()
        return None

    def _use(self, connection: PooledConnection) -> PooledConnection:
        self._in_use.add(connection)
        return connection

    def _may_keep(self, connection: PooledConnection) -> bool:
        if connection.http.is_closed or connection.serial <= self._retired_serial:
            return False
        return self.open_count < self._limit

    def _is_stale(self, connection: PooledConnection) -> bool:
        if self._clock() - connection.idle_since > IDLE_LIMIT_S:
            return True
        return is_connection_dropped(connection.http)

    def _close_idle(self, condition: Callable[[PooledConnection], bool]) -> int:
        closing = [item for item in self._idle if condition(item)]
        for connection in closing:
            self._idle.remove(connection)
            connection.http.close()
        return len(closing)

    def _busy_error(self) -> UpstreamError:
        if self._limit == 0:
            return UpstreamError(
                f"no connection to {self.address} is granted", ResultCode.LEG_NO_HOLDER
            )
        return UpstreamError(
            f"all {self._limit} connections to {self.address} are in use",
            ResultCode.LEG_SHED,
        )


def is_connection_dropped(http: HTTPConnection) -> bool:
    """Return whether an idle connection was closed or has bytes nobody asked for.

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
