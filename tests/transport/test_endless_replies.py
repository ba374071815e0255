"""Upstreams that send endless bytes without a valid reply."""

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
# The start of a reply and the piece that is then repeated without end.
ENDLESS_REPLIES = {
    "header_value": (b"HTTP/1.1 200 OK\r\nX: ", b"x" * PIECE_BYTES),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * (PIECE_BYTES // 6)),
    "interim_replies": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 300),
    "body_to_the_close": (OK_HEAD + b"Connection: close\r\n\r\n", b"x" * PIECE_BYTES),
    "chunks": (
        OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"2000\r\n" + b"x" * PIECE_BYTES + b"\r\n",
    ),
    "replies_to_another_request": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n" * 100,
    ),
    "no_http": (b"", b"\x00\xff" * (PIECE_BYTES // 2)),
}
# Bytes that the kernel buffers at both ends, sent but not read when the reader closes.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
# Longest event loop iteration within which a search can reach its target of 60 ms.
MAX_ITERATION_S = 0.030


class EndlessRepliesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timers = HubTimers()
        self.pools = UpstreamPools(PlatformHeaderCodec(), self.timers.now, lambda _: 50)
        self.replies = []
        self.sent_bytes = 0

    def serve(self, start, piece, interval_s=0.0):
        def script(connection, _):
            connection.write(start)
            pump(connection)

        def pump(connection):
            if connection.is_closed:
                return
            if connection.socket.unsent_bytes < 4 * PIECE_BYTES:
                connection.write(piece)
                self.sent_bytes += len(piece)
            self.timers.call_later(interval_s, lambda: pump(connection))

        server = ScriptedServer(script)
        self.addCleanup(server.close)
        self.replica = Replica("i-1", "shard", server.address, "z", 2)
        return server

    def send(self, deadline_s=5.0):
        head = b"GET /a/2f HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
        request = LegRequest("r1", head, b"", True)
        return self.pools.send(self.replica, request, deadline_s, self.replies.append)

    def test_each_kind_is_malformed_and_closes_its_connection(self):
        for name, (start, piece) in ENDLESS_REPLIES.items():
            with self.subTest(name):
                self.replies.clear()
                self.sent_bytes = 0
                server = self.serve(start, piece)
                self.send()
                self.assertTrue(wait_until(lambda: bool(self.replies)))
                self.assertIs(LegOutcome.MALFORMED, self.replies[0].outcome)
                self.assertTrue(
                    wait_until(lambda server=server: server.connections[0].is_closed)
                )
                self.assertTrue(self.sent_bytes < MAX_REPLY_BYTES + SOCKET_BUFFER_BYTES)
                self.assertEqual(0, self.pools.buffer_usage.total_bytes)

    def test_endless_head_ends_well_below_the_reply_limit(self):
        self.serve(*ENDLESS_REPLIES["headers"], interval_s=0.001)
        self.send()
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        self.assertEqual("endless_head", self.replies[0].detail)
        self.assertTrue(self.sent_bytes < 20 * MAX_HEAD_BYTES, self.sent_bytes)

    def test_slow_reply_ends_soon_after_the_deadline(self):
        # The owner of a leg detaches it at the deadline.
        self.serve(OK_HEAD + b"Content-Length: 900000\r\n\r\n", b"x", interval_s=0.005)
        handle = self.send()
        started_at = time.monotonic()
        self.timers.call_later(0.2, lambda: handle.detach(0.1))
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        self.assertTrue(time.monotonic() - started_at < 2.0)
        self.assertEqual(0, self.pools.buffer_usage.total_bytes)

    def test_fifty_concurrent_replies_keep_memory_bounded(self):
        for name in ("header_value", "chunks"):
            with self.subTest(name):
                self.replies.clear()
                self.serve(*ENDLESS_REPLIES[name])
                loop_lag = EventLoopLagMonitor(0.005)
                ticks = self.timers.subscribe(
                    0.005, lambda lag=loop_lag: lag.tick(self.timers.now())
                )
                self.addCleanup(ticks.cancel)
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                max_buffered_bytes = 0
                for _ in range(50):
                    self.send()
                while len(self.replies) < 50:
                    reply_count = len(self.replies)
                    self.assertTrue(
                        wait_until(
                            lambda count=reply_count: self.has_more_replies(count)
                        )
                    )
                    max_buffered_bytes = max(
                        max_buffered_bytes, self.pools.buffer_usage.total_bytes
                    )
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                ticks.cancel()
                outcomes = {reply.outcome for reply in self.replies}
                self.assertEqual({LegOutcome.MALFORMED}, outcomes)
                self.assertTrue(
                    max_buffered_bytes <= MAX_BUFFERED_BYTES + 50 * 65_536,
                    max_buffered_bytes,
                )
                self.assertTrue(peak_bytes < 2 * MAX_BUFFERED_BYTES, peak_bytes)
                self.assertEqual(0, self.pools.buffer_usage.total_bytes)
                self.addDetail(
                    name, testtools.content.text_content(str(loop_lag.max_lag_s()))
                )

    def has_more_replies(self, reply_count):
        return len(self.replies) > reply_count

    def test_cpu_time_per_read_is_bounded(self):
        # Measures CPU time, since other programs on the machine may delay wall time.
        self.serve(*ENDLESS_REPLIES["chunks"])
        self.send()
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        cpu_s_before = resource.getrusage(resource.RUSAGE_SELF).ru_utime
        chunk = b"2000\r\n" + b"x" * PIECE_BYTES + b"\r\n"
        self.replies.clear()
        self.serve(OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", chunk)
        self.send()
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        reads = MAX_REPLY_BYTES / 65_536
        cpu_s = resource.getrusage(resource.RUSAGE_SELF).ru_utime - cpu_s_before
        self.assertTrue(cpu_s / reads < MAX_ITERATION_S, cpu_s)
