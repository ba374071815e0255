from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.errors import UpstreamError
from almondspool.transport import http_pool
from almondspool.transport.http_pool import HttpPool

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
    def test_connections_stay_within_the_limit_and_retired_ones_go(self, operations):
        self.patch(http_pool, "is_connection_dropped", lambda http: False)
        now = 0.0
        pool = HttpPool("127.0.0.1:1", 3, lambda: now)
        limit, retired, taken = 3, 0, []
        for kind, number in operations:
            now += number / 10
            before = pool.open_count
            if kind == "acquire":
                try:
                    connection = pool.acquire(0.0, newer_than=number % 3)
                except UpstreamError:
                    continue
                self.assertLessEqual(pool.open_count, max(limit, before))
                if connection.is_reused:
                    self.assertGreater(connection.serial, max(retired, number % 3))
                connection.http.sock = _Socket()
                taken.append(connection)
            elif kind == "limit":
                limit = number % 6
                pool.set_limit(limit)
                self.assertLessEqual(pool.open_count, max(limit, before))
            elif kind == "retire":
                retired = max(retired, number)
                pool.retire_to(number)
                self.assertEqual(before, pool.open_count)
            elif taken:
                connection = taken.pop(number % len(taken))
                pool.release(connection, kind == "keep", kind == "abandon")
                self.assertLessEqual(pool.open_count, before)
                fits = connection.serial > retired and before <= limit
                self.assertEqual(kind == "keep" and fits, not connection.http.is_closed)
