from __future__ import annotations

import threading
import time

import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.silent_connections import (
    SilentConnectionDetector,
)
from almondspool.protocol.http_upstream import HttpUpstreamClient
from almondspool.transport import http_pool
from tests.protocol.raw_server import (
    RawServer,
    complete_reply,
    make_leg,
    result_line,
    wait_until,
)

SHORT_TIMEOUT_S = 0.25
LONG_TIMEOUT_S = 5.0
LOAD = b'{"running":0,"queued":0,"draining":false,"warmth":1.0}'
LOAD_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LOAD) + LOAD


class _NullDetector(SilentConnectionDetector):
    """Never reports a silent connection."""

    def on_timeout(self, now, upstream_id, serial, sent_at):
        return 0


class SilentConnectionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(http_pool, "CLOSED_CONNECTION_COUNTS_S", LONG_TIMEOUT_S)
        self.silent_connections = set()
        self.all_running = threading.Barrier(3)

    def script(self, connection, body, nth):
        if not body:
            if connection not in self.silent_connections:
                connection.sendall(LOAD_REPLY)
            return
        # The first three legs run concurrently, so that each opens a connection.
        if nth <= 3:
            self.all_running.wait(5)
        if connection not in self.silent_connections:
            connection.sendall(complete_reply(result_line(body["legs"][0]["leg_id"])))

    def open_three_silent_connections(self, silence_detector):
        self.clock_offset_s = 0.0
        self.client = HttpUpstreamClient(
            lambda: time.monotonic() + self.clock_offset_s, silence_detector
        )
        self.client.set_grants({"searcher-1": 4})
        self.server = RawServer(self.script)
        self.addCleanup(self.server.close)
        threads = [
            threading.Thread(target=self.run_leg, args=[name, LONG_TIMEOUT_S])
            for name in "abc"
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(5)
        self.assertEqual(3, self.client.open_connections("searcher-1"))
        self.silent_connections.update(self.server.connections)

    def run_leg(self, name, timeout_s=SHORT_TIMEOUT_S):
        [result] = self.client.run(self.server.upstream, (make_leg(name),), timeout_s)
        return result.code

    def test_one_timeout_replaces_all_silent_connections(self):
        self.open_three_silent_connections(SilentConnectionDetector())
        self.assertEqual(ResultCode.LEG_TIMEOUT, self.run_leg("d"))
        codes = [self.run_leg(name, LONG_TIMEOUT_S) for name in "efg"]
        self.assertEqual([ResultCode.OK] * 3, codes)
        self.assertEqual(4, self.client.open_connections("searcher-1"))
        self.clock_offset_s = LONG_TIMEOUT_S
        self.assertEqual(1, self.client.open_connections("searcher-1"))

    def test_load_polls_find_silent_connections_before_a_leg_does(self):
        self.open_three_silent_connections(SilentConnectionDetector())
        self.assertIsNone(self.client.fetch_load(self.server.upstream, SHORT_TIMEOUT_S))
        self.assertIsNotNone(
            self.client.fetch_load(self.server.upstream, LONG_TIMEOUT_S)
        )
        self.assertEqual(ResultCode.OK, self.run_leg("d", LONG_TIMEOUT_S))

    def test_without_detection_each_silent_connection_costs_a_timeout(self):
        self.open_three_silent_connections(_NullDetector())
        codes = [self.run_leg(name) for name in "def"]
        self.assertEqual([ResultCode.LEG_TIMEOUT] * 3, codes)

    def run_on_silent_while_newer_answers(self, silence_detector):
        self.open_three_silent_connections(silence_detector)
        codes = []
        old = threading.Thread(target=lambda: codes.append(self.run_leg("d", 1.5)))
        old.start()
        wait_until(lambda: len(self.server.requests) == 4)
        # The next leg opens a new connection.
        self.client.retire("searcher-1")
        self.assertEqual(ResultCode.OK, self.run_leg("e", LONG_TIMEOUT_S))
        old.join(5)
        return codes[0]

    def test_silent_connection_is_not_blamed_on_the_upstream(self):
        code = self.run_on_silent_while_newer_answers(SilentConnectionDetector())
        self.assertEqual(ResultCode.LEG_CONNECTION_SILENT, code)

    def test_without_detection_a_silent_connection_is_blamed_on_the_upstream(self):
        code = self.run_on_silent_while_newer_answers(_NullDetector())
        self.assertEqual(ResultCode.LEG_TIMEOUT, code)
