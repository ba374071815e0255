from __future__ import annotations

import testtools

from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.protocol.exchange import ConnectionState, LegOutcome, LegRequest
from almondspool.state.routes import Replica
from almondspool.transport.hub_timers import HubTimers
from almondspool.transport.upstream_pools import UpstreamPools
from tests.transport.scripted_peer import ScriptedServer, unused_address, wait_until

HEAD = b"GET /a/2f HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"


def reply(body=b"hi", request_id=b"r1", extra=b"", status=b"200 OK"):
    return (
        b"HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Signature: s1\r\n%s"
        b"Content-Length: %d\r\n\r\n%s" % (status, request_id, extra, len(body), body)
    )


class UpstreamPoolsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.limit = 2
        self.timers = HubTimers()
        self.pools = UpstreamPools(
            PlatformHeaderCodec(), self.timers.now, lambda _: self.limit
        )
        self.replies = []

    def serve(self, script):
        server = ScriptedServer(script)
        self.addCleanup(server.close)
        self.replica = Replica("i-1", "shard", server.address, "z", 2)
        return server

    def serve_reply(self, data):
        return self.serve(lambda connection, _: connection.write(data))

    def send(self, body=b"", is_idempotent=True, request_id="r1"):
        request = LegRequest(request_id, HEAD, body, is_idempotent)
        return self.pools.send(self.replica, request, 1.0, self.replies.append)

    def exchange(self, **request):
        count = len(self.replies)
        self.send(**request)
        self.assertTrue(wait_until(lambda: len(self.replies) > count))
        return self.replies[-1]

    def test_send_has_the_expected_replica_and_remaining_deadline(self):
        server = self.serve_reply(reply())
        self.assertTrue(self.exchange().is_success)
        received = server.connections[0].received
        self.assertTrue(received.startswith(HEAD))
        self.assertIn(b"Expected-Instance: i-1\r\n", received)
        self.assertIn(b"Deadline-Ms: 99", received)

    def test_connection_is_reused_for_the_next_send(self):
        server = self.serve_reply(reply())
        for _ in range(3):
            self.exchange()
        self.assertEqual(1, len(server.connections))
        self.assertIs(ConnectionState.IDLE, self.pools.connection_state(self.replica))

    def test_connection_close_header_is_honored(self):
        server = self.serve_reply(reply(extra=b"Connection: close\r\n"))
        self.exchange()
        self.exchange()
        self.assertEqual(2, len(server.connections))

    def test_connection_beyond_a_lowered_quota_is_closed_after_its_reply(self):
        pending_connections = []
        self.serve(lambda connection, _: pending_connections.append(connection))
        for _ in range(2):
            self.send()
        self.assertTrue(wait_until(lambda: len(pending_connections) == 2))
        self.limit = 1
        self.pools.refresh_quotas()
        for connection in pending_connections:
            connection.write(reply())
        self.assertTrue(wait_until(lambda: len(self.replies) == 2))
        self.assertEqual(1, self.pools.open_connections())

    def test_waiting_send_ends_when_the_quota_drops_to_zero(self):
        pending_connections = []
        self.serve(lambda connection, _: pending_connections.append(connection))
        self.limit = 1
        self.send(request_id="r1")
        self.send(request_id="r2")
        self.assertTrue(wait_until(lambda: len(pending_connections) == 1))
        self.limit = 0
        self.pools.refresh_quotas()
        self.assertEqual(
            [LegOutcome.NOT_SENT], [reply.outcome for reply in self.replies]
        )

    def test_quota_is_never_exceeded_and_waiting_sends_are_sent_later(self):
        pending_connections = []
        server = self.serve(
            lambda connection, _: pending_connections.append(connection)
        )
        for _ in range(5):
            self.send()
        self.assertTrue(wait_until(lambda: len(pending_connections) == 2))
        self.assertEqual(2, len(server.connections))
        self.assertIs(ConnectionState.BUSY, self.pools.connection_state(self.replica))
        answered = 0
        while answered < 5:
            self.assertTrue(wait_until(lambda: bool(pending_connections)))
            pending_connections.pop(0).write(reply())
            answered += 1
        self.assertTrue(wait_until(lambda: len(self.replies) == 5))
        self.assertEqual(2, len(server.connections))

    def test_no_quota_means_not_sent(self):
        self.serve_reply(reply())
        self.limit = 0
        self.assertIs(LegOutcome.NOT_SENT, self.exchange().outcome)

    def test_refused_connection_means_not_sent(self):
        self.replica = Replica("i-1", "shard", unused_address(), "z", 2)
        self.assertIs(LegOutcome.NOT_SENT, self.exchange().outcome)

    def test_reset_after_the_send_may_have_run(self):
        self.serve(lambda connection, _: connection.close(reset=True))
        self.assertIs(LegOutcome.BROKEN, self.exchange().outcome)

    def test_truncated_reply_is_broken(self):
        def script(connection, _):
            connection.write(reply(b"x" * 100)[:-40])
            connection.close()

        self.serve(script)
        self.assertIs(LegOutcome.BROKEN, self.exchange().outcome)

    def test_reply_without_length_ends_with_its_connection(self):
        def script(connection, _):
            connection.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
                b"Connection: close\r\n\r\nwhole"
            )
            connection.close()

        self.serve(script)
        result = self.exchange()
        self.assertEqual((True, b"whole"), (result.is_success, result.body))

    def test_reply_without_length_is_broken_by_a_reset(self):
        def script(connection, _):
            connection.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
                b"Connection: close\r\n\r\nhal"
            )
            self.timers.call_later(0.05, lambda: connection.close(reset=True))

        self.serve(script)
        self.assertIs(LegOutcome.BROKEN, self.exchange().outcome)

    def test_late_reply_to_an_earlier_request_is_skipped(self):
        server = self.serve_reply(reply(b"old", b"r0") + reply(b"new"))
        result = self.exchange()
        self.assertEqual(b"new", result.body)
        # More late replies may follow, so the connection is not reused.
        self.exchange()
        self.assertEqual(2, len(server.connections))

    def test_second_reply_closes_the_connection(self):
        server = self.serve_reply(reply(b"one") + reply(b"two", b"r9"))
        self.assertEqual(b"one", self.exchange().body)
        self.exchange()
        self.assertEqual(2, len(server.connections))

    def test_bytes_after_a_reply_close_the_connection(self):
        server = self.serve_reply(reply(b"one") + b"garbage\r\n")
        self.assertEqual(b"one", self.exchange().body)
        self.exchange()
        self.assertEqual(2, len(server.connections))

    def test_unsolicited_bytes_close_an_idle_connection(self):
        server = self.serve_reply(reply())
        self.exchange()
        server.connections[0].write(reply(b"late"))
        self.assertTrue(wait_until(lambda: server.connections[0].is_closed))
        self.assertEqual(b"hi", self.exchange().body)
        self.assertEqual(2, len(server.connections))

    def test_bytes_that_are_not_http_are_malformed(self):
        self.serve_reply(b"SMTP ready\r\n")
        self.assertIs(LegOutcome.MALFORMED, self.exchange().outcome)

    def test_reply_before_the_body_is_sent_closes_the_connection(self):
        def script(connection, data):
            if data.startswith(b"GET"):
                connection.write(reply(status=b"413 Too Large"))

        server = self.serve(script)
        result = self.exchange(body=b"x" * 8_000_000)
        self.assertEqual(413, result.status)
        self.exchange()
        self.assertEqual(2, len(server.connections))

    def test_rejected_request_is_reported_as_not_run(self):
        self.serve_reply(reply(extra=b"Not-Executed: 1\r\n", status=b"503 Busy"))
        self.assertIs(LegOutcome.NOT_RUN, self.exchange().outcome)

    def test_misdirected_send_closes_the_connection(self):
        server = self.serve_reply(reply(status=b"421 Misdirected Request"))
        self.assertIs(LegOutcome.MISDIRECTED, self.exchange().outcome)
        self.assertTrue(wait_until(lambda: server.connections[0].is_closed))

    def test_reported_load_is_read(self):
        self.serve_reply(reply(extra=b"Server-Load: 3,1,8\r\n"))
        self.assertEqual((3, 1, 8), self.exchange().load)

    def test_cancel_closes_the_connection_at_once(self):
        server = self.serve(lambda connection, _: None)
        handle = self.send()
        self.assertTrue(
            wait_until(lambda: server.connections and server.connections[0].received)
        )
        handle.cancel()
        self.assertIs(LegOutcome.CANCELLED, self.replies[0].outcome)
        self.assertTrue(wait_until(lambda: server.connections[0].is_closed))

    def test_detached_reply_keeps_the_connection(self):
        pending_connections = []
        server = self.serve(
            lambda connection, _: pending_connections.append(connection)
        )
        handle = self.send()
        self.assertTrue(wait_until(lambda: bool(pending_connections)))
        handle.detach(5.0)
        pending_connections.pop().write(reply())
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        self.assertIs(ConnectionState.IDLE, self.pools.connection_state(self.replica))
        self.assertFalse(server.connections[0].is_closed)

    def test_detached_send_without_a_reply_is_closed_in_time(self):
        server = self.serve(lambda connection, _: None)
        handle = self.send()
        self.assertTrue(wait_until(lambda: bool(server.connections)))
        handle.detach(0.05)
        self.assertTrue(wait_until(lambda: bool(self.replies)))
        self.assertIs(LegOutcome.SILENT, self.replies[0].outcome)

    def test_probe_distinguishes_a_refused_connection(self):
        self.serve_reply(reply())
        refusals = []
        self.pools.probe(self.replica, refusals.append)
        self.assertTrue(wait_until(lambda: bool(refusals)))
        self.replica = Replica("i-2", "shard", unused_address(), "z", 2)
        self.pools.probe(self.replica, refusals.append)
        self.assertTrue(wait_until(lambda: len(refusals) == 2))
        self.assertEqual([False, True], refusals)

    def test_retired_replica_loses_its_connections(self):
        server = self.serve_reply(reply())
        self.exchange()
        self.pools.retire("i-1")
        self.assertTrue(wait_until(lambda: server.connections[0].is_closed))
        self.assertEqual(0, self.pools.open_connections())

    def test_idle_connection_is_closed_before_the_upstream_closes_it(self):
        server = self.serve_reply(reply(extra=b"Keep-Alive: timeout=0\r\n"))
        self.exchange()
        self.pools.close_stale()
        self.exchange()
        self.assertEqual(2, len(server.connections))
