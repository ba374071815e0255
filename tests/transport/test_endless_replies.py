"""Upstreams that never stop sending bytes that are no answer."""

from __future__ import annotations

import resource
import time
import tracemalloc

import testtools

from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.protocol.exchange import LegOutcome, LegRequest
from almondspool.state.routes import Replica
from almondspool.transport.event_loop_lag import EventLoopLagMonitor
from almondspool.transport.hub_timers import HubTimers
from almondspool.transport.upstream_connection import (
    MAX_BUFFERED_BYTES,
    MAX_HEAD_BYTES,
    MAX_REPLY_BYTES,
)
from almondspool.transport.upstream_pools import UpstreamPools
from tests.transport.scripted_peer import ScriptedServer, wait_until

PIECE_BYTES = 8192
OK_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
# What a reply begins with, and what is then sent without end.
ENDLESS = {
    "header_value": (b"HTTP/1.1 200 OK\r\nX: ", b"x" * PIECE_BYTES),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * (PIECE_BYTES // 6)),
    "interim_replies": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 300),
    "body_to_the_close": (OK_HEAD + b"Connection: close\r\n\r\n", b"x" * PIECE_BYTES),
    "chunks": (
        OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"2000\r\n" + b"x" * PIECE_BYTES + b"\r\n",
    ),
    "others_replies": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n" * 100,
    ),
    "no_http": (b"", b"\x00\xff" * (PIECE_BYTES // 2)),
}
# Sockets buffer some on both ends after the reader has closed.
BUFFERED_BYTES = 8 * 1024 * 1024
# The longest turn that still leaves a search its goal of 60 ms.
MAX_TURN_S = 0.030


class EndlessRepliesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timers = HubTimers()
        self.pools = UpstreamPools(PlatformHeaderCodec(), self.timers.now, lambda _: 50)
        self.replies = []
        self.sent_bytes = 0

    def serve(self, start, piece, gap_s=0.0):
        def script(connection, _):
            connection.write(start)
            pump(connection)

        def pump(connection):
            if connection.is_closed:
                return
            if connection.socket.unsent_bytes < 4 * PIECE_BYTES:
                connection.write(piece)
                self.sent_bytes += len(piece)
            self.timers.call_later(gap_s, lambda: pump(connection))

        server = ScriptedServer(script)
        self.addCleanup(server.close)
        self.replica = Replica("i-1", "shard", server.address, "z", 2)
        return server

    def send(self, deadline_s=5.0):
        head = b"GET /a/2f HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
        request = LegRequest("r1", head, b"", True)
        return self.pools.send(self.replica, request, deadline_s, self.replies.append)

    def test_each_kind_ends_as_no_answer_and_closes_its_connection(self):
        for name, (start, piece) in ENDLESS.items():
            with self.subTest(name):
                self.replies.clear()
                self.sent_bytes = 0
                server = self.serve(start, piece)
                self.send()
                self.assertTrue(wait_until(lambda: bool(self.replies)))
                self.assertIs(LegOutcome.MALFORMED, self.replies[0].outcome)
                self.assertTrue(
                    wait_until(lambda at=server: at.connections[0].is_closed)
                )
                self.assertTrue(self.sent_bytes < MAX_REPLY_BYTES + BUFFERED_BYTES)
                self.assertEqual(0, self.pools.reply_buffers.total)

    def test_heads_are_given_up_long_before_bodies(self):
        self.serve(*ENDLESS["headers"], gap_s=0.001)
        self.send()
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        self.assertEqual("endless_head", self.replies[0].detail)
        self.assertTrue(self.sent_bytes < 20 * MAX_HEAD_BYTES, self.sent_bytes)

    def test_slow_bytes_end_with_the_time_of_the_request(self):
        # A caller detaches the leg at its deadline.
        self.serve(OK_HEAD + b"Content-Length: 900000\r\n\r\n", b"x", gap_s=0.005)
        handle = self.send()
        began_at = time.monotonic()
        self.timers.call_later(0.2, lambda: handle.detach(0.1))
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        self.assertTrue(time.monotonic() - began_at < 2.0)
        self.assertEqual(0, self.pools.reply_buffers.total)

    def test_fifty_at_once_keep_memory_and_turns_bounded(self):
        for name in ("header_value", "chunks"):
            with self.subTest(name):
                self.replies.clear()
                self.serve(*ENDLESS[name])
                turns = EventLoopLagMonitor(0.005)
                ticks = self.timers.subscribe(
                    0.005, lambda at=turns: at.tick(self.timers.now())
                )
                self.addCleanup(ticks.cancel)
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                most = 0
                for _ in range(50):
                    self.send()
                while len(self.replies) < 50:
                    seen = len(self.replies)
                    self.assertTrue(wait_until(lambda than=seen: self.has_more(than)))
                    most = max(most, self.pools.reply_buffers.total)
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                ticks.cancel()
                outcomes = {reply.outcome for reply in self.replies}
                self.assertEqual({LegOutcome.MALFORMED}, outcomes)
                self.assertTrue(most <= MAX_BUFFERED_BYTES + 50 * 65_536, most)
                self.assertTrue(peak_bytes < 2 * MAX_BUFFERED_BYTES, peak_bytes)
                self.assertEqual(0, self.pools.reply_buffers.total)
                self.addDetail(
                    name, testtools.content.text_content(str(turns.max_lag_s()))
                )

    def has_more(self, seen):
        return len(self.replies) > seen

    def test_a_turn_takes_one_read_of_such_bytes(self):
        # Processor time, as other programs of the machine may hold the clock's up.
        self.serve(*ENDLESS["chunks"])
        self.send()
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        used = resource.getrusage(resource.RUSAGE_SELF).ru_utime
        connection_bytes = b"2000\r\n" + b"x" * PIECE_BYTES + b"\r\n"
        self.replies.clear()
        self.serve(OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", connection_bytes)
        self.send()
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        reads = MAX_REPLY_BYTES / 65_536
        spent_s = resource.getrusage(resource.RUSAGE_SELF).ru_utime - used
        self.assertTrue(spent_s / reads < MAX_TURN_S, spent_s)
