from __future__ import annotations

import threading
import time

import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.silent_connections import (
    SilentConnectionDetector,
)
from almondspool.protocol.http_upstream import HttpUpstream
from almondspool.transport import http_pool
from tests.protocol.raw_server import RawServer, line, make_leg, wait_until, whole

TIMEOUT_S = 0.25
AMPLE_S = 5.0
LOAD = b'{"running":0,"queued":0,"draining":false,"warmth":1.0}'
LOAD_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LOAD) + LOAD


class _BlindDetector(SilentConnectionDetector):
    """Never finds a connection to blame."""

    def on_timeout(self, now, upstream_id, serial, sent_at):
        return 0


class SilentConnectionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(http_pool, "LINGER_S", AMPLE_S)
        self.silent = set()
        self.together = threading.Barrier(3)

    def script(self, connection, body, nth):
        if not body:
            if connection not in self.silent:
                connection.sendall(LOAD_REPLY)
            return
        if nth <= 3:
            self.together.wait(5)
        if connection not in self.silent:
            connection.sendall(whole(line(body["legs"][0]["leg_id"])))

    def open_three_and_silence_them(self, silence_detector):
        self.shift_s = 0.0
        self.http = HttpUpstream(
            lambda: time.monotonic() + self.shift_s, silence_detector
        )
        self.http.set_grants({"searcher-1": 4})
        self.server = RawServer(self.script)
        self.addCleanup(self.server.close)
        threads = [
            threading.Thread(target=self.run_leg, args=[name, AMPLE_S])
            for name in "abc"
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(5)
        self.assertEqual(3, self.http.open_connections("searcher-1"))
        self.silent.update(self.server.connections)

    def run_leg(self, name, timeout_s=TIMEOUT_S):
        [result] = self.http.run(self.server.upstream, (make_leg(name),), timeout_s)
        return result.code

    def test_one_timeout_is_enough_to_replace_all_silent_connections(self):
        self.open_three_and_silence_them(SilentConnectionDetector())
        self.assertEqual(ResultCode.LEG_TIMEOUT, self.run_leg("d"))
        codes = [self.run_leg(name, AMPLE_S) for name in "efg"]
        self.assertEqual([ResultCode.OK] * 3, codes)
        self.assertEqual(4, self.http.open_connections("searcher-1"))
        self.shift_s = AMPLE_S
        self.assertEqual(1, self.http.open_connections("searcher-1"))

    def test_load_polls_find_silent_connections_before_a_leg_does(self):
        self.open_three_and_silence_them(SilentConnectionDetector())
        self.assertIsNone(self.http.load(self.server.upstream, TIMEOUT_S))
        self.assertIsNotNone(self.http.load(self.server.upstream, AMPLE_S))
        self.assertEqual(ResultCode.OK, self.run_leg("d", AMPLE_S))

    def test_without_the_watch_each_silent_connection_costs_a_timeout(self):
        self.open_three_and_silence_them(_BlindDetector())
        codes = [self.run_leg(name) for name in "def"]
        self.assertEqual([ResultCode.LEG_TIMEOUT] * 3, codes)

    def silent_while_a_newer_one_answers(self, silence_detector):
        self.open_three_and_silence_them(silence_detector)
        codes = []
        old = threading.Thread(target=lambda: codes.append(self.run_leg("d", 1.5)))
        old.start()
        wait_until(lambda: len(self.server.requests) == 4)
        self.http.retire("searcher-1")
        self.assertEqual(ResultCode.OK, self.run_leg("e", AMPLE_S))
        old.join(5)
        return codes[0]

    def test_a_silent_connection_is_not_blamed_on_the_upstream(self):
        code = self.silent_while_a_newer_one_answers(SilentConnectionDetector())
        self.assertEqual(ResultCode.LEG_CONNECTION_SILENT, code)

    def test_without_the_watch_it_is_blamed(self):
        code = self.silent_while_a_newer_one_answers(_BlindDetector())
        self.assertEqual(ResultCode.LEG_TIMEOUT, code)
