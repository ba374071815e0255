from __future__ import annotations

import socket

import testtools
from hypothesis import given, settings, strategies as st
from urllib3.connection import HTTPConnection

from almondspool.errors import UpstreamError
from almondspool.transport import http_pool
from almondspool.transport.http_pool import HttpPool

# Operations with a number each. "keep", "close" and "abandon" release a connection: for
# reuse, after an incomplete reply, and while its request may still run.
OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["acquire", "keep", "close", "abandon", "limit", "retire"]),
        st.integers(0, 12),
    ),
    max_size=100,
)


class _Socket:
    def close(self):
        pass


class HttpPoolTests(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(OPERATIONS)
    def test_connections_stay_within_the_limit_and_retired_ones_close(self, operations):
        self.patch(http_pool, "is_connection_dropped", lambda http: False)
        now = 0.0
        pool = HttpPool("127.0.0.1:1", 3, lambda: now)
        limit, retired, acquired = 3, 0, []
        for kind, number in operations:
            now += number / 10
            open_before = pool.open_count
            if kind == "acquire":
                try:
                    connection = pool.acquire(0.0, newer_than=number % 3)
                except UpstreamError:
                    continue
                self.assertLessEqual(pool.open_count, max(limit, open_before))
                if connection.is_reused:
                    self.assertGreater(connection.serial, max(retired, number % 3))
                connection.http.sock = _Socket()
                acquired.append(connection)
            elif kind == "limit":
                limit = number % 6
                pool.set_limit(limit)
                self.assertLessEqual(pool.open_count, max(limit, open_before))
            elif kind == "retire":
                retired = max(retired, number)
                pool.retire_through(number)
                self.assertEqual(open_before, pool.open_count)
            elif acquired:
                connection = acquired.pop(number % len(acquired))
                pool.release(connection, kind == "keep", kind == "abandon")
                self.assertLessEqual(pool.open_count, open_before)
                may_keep = connection.serial > retired and open_before <= limit
                self.assertEqual(
                    kind == "keep" and may_keep, not connection.http.is_closed
                )


class DroppedConnectionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.http = HTTPConnection("127.0.0.1", 1)
        self.http.sock, self.peer_socket = socket.socketpair()
        self.http.sock.settimeout(2.5)
        self.addCleanup(self.http.sock.close)
        self.addCleanup(self.peer_socket.close)

    def is_dropped(self):
        return http_pool.is_connection_dropped(self.http)

    def test_idle_connection_is_kept_with_its_timeout(self):
        self.assertFalse(self.is_dropped())
        self.assertEqual(2.5, self.http.sock.gettimeout())

    def test_connection_closed_by_the_peer_is_dropped(self):
        self.peer_socket.close()
        self.assertTrue(self.is_dropped())

    def test_connection_with_unsolicited_bytes_is_dropped(self):
        self.peer_socket.send(b"HTTP/1.1 408 Request Timeout")
        self.assertTrue(self.is_dropped())
        self.assertEqual(b"HTTP", self.http.sock.recv(4))

    def test_locally_closed_connection_is_dropped(self):
        self.http.sock.close()
        self.assertTrue(self.is_dropped())
        self.http.sock = None
        self.assertTrue(self.is_dropped())
