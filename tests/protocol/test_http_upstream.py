from __future__ import annotations

import socket
import threading
import time

import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.silent_connections import (
    SilentConnectionDetector,
)
from almondspool.protocol import http_exchange, http_upstream, leg_codec
from almondspool.protocol.caller import Record
from almondspool.protocol.http_upstream import HttpUpstreamClient
from almondspool.protocol.upstream import LoadReport
from almondspool.transport import http_pool
from tests.protocol.raw_server import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    RawServer,
    chunk,
    complete_reply,
    make_leg,
    result_line,
    wait_until,
)


class HttpUpstreamTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock_offset_s = 0.0
        self.client = HttpUpstreamClient(
            lambda: time.monotonic() + self.clock_offset_s, SilentConnectionDetector()
        )

    def serve(self, script, grant=2):
        server = RawServer(script)
        self.addCleanup(server.close)
        self.client.set_grants({"searcher-1": grant})
        return server

    def run_legs(self, server, *legs, timeout_s=5.0):
        results = tuple(self.client.run(server.upstream, legs, timeout_s))
        self.assertEqual({leg.leg_id for leg in legs}, {r.leg_id for r in results})
        self.assertEqual(len(legs), len(results))
        return {result.leg_id: result for result in results}

    def run_reply(self, *parts, legs=("a", "b"), timeout_s=5.0, close=False):
        """Run legs and return their codes, and whether they may have run, by leg.

        Args:
            parts: Bytes that the server sends, one part after the other.
            legs: Ids of the legs.
            timeout_s: Timeout of the exchange, in seconds.
            close: Whether the server then closes the connection.
        """

        def script(connection, body, nth):
            for part in parts:
                connection.sendall(part)
            return not close

        server = self.serve(script)
        results = self.run_legs(server, *map(make_leg, legs), timeout_s=timeout_s)
        return {key: (value.code, value.was_run) for key, value in results.items()}

    def test_results_come_as_each_leg_finishes_and_the_connection_is_kept(self):
        may_reply = threading.Event()

        def script(connection, body, nth):
            connection.sendall(CHUNKED_HEAD + chunk(result_line("b")))
            may_reply.wait(5)
            connection.sendall(chunk(result_line("a")) + LAST_CHUNK)

        server = self.serve(script)
        run = self.client.run(server.upstream, (make_leg("a"), make_leg("b")), 5.0)
        first = next(run)
        self.assertEqual("b", first.leg_id)
        self.assertEqual((Record("r-b", {"street": "Low St"}),), first.records)
        may_reply.set()
        self.assertEqual(["a"], [result.leg_id for result in run])
        self.run_legs(server, make_leg("a"), make_leg("b"))
        self.assertEqual(1, len(server.connections))

    def test_each_malformed_reply_has_its_code(self):
        ok, a, b = (ResultCode.OK, True), result_line("a"), result_line("b")
        malformed = (ResultCode.LEG_REPLY_MALFORMED, True)
        cut_off = (ResultCode.LEG_CUT_OFF, True)
        cases = {
            "line is not JSON": ([complete_reply(a, b"{nonsense\n")], malformed),
            "last line is cut": ([complete_reply(a, b[:-9])], malformed),
            "unknown status": (
                [complete_reply(a, result_line("b", status="fine"))],
                malformed,
            ),
            "chunk size is not a number": (
                [CHUNKED_HEAD, chunk(a), b"zz\r\n"],
                malformed,
            ),
            "no HTTP at all": ([b"220 smtp ready\r\n"], malformed),
            "closed within a chunk": ([CHUNKED_HEAD, chunk(a), chunk(b)[:20]], cut_off),
            "closed between chunks": ([CHUNKED_HEAD, chunk(a)], cut_off),
            "leg left out": ([complete_reply(a)], (ResultCode.LEG_WRONG_REQUEST, True)),
            "unknown leg": (
                [complete_reply(a, result_line("c"))],
                (ResultCode.LEG_WRONG_REQUEST, True),
            ),
            "wrong shard": (
                [complete_reply(a, result_line("b", shard="s2"))],
                (ResultCode.LEG_WRONG_REQUEST, True),
            ),
            "wrong snapshot": (
                [complete_reply(a, result_line("b", snapshot=8))],
                (ResultCode.LEG_WRONG_SNAPSHOT, True),
            ),
            "shed": (
                [complete_reply(a, result_line("b", status="shed", was_run=False))],
                (ResultCode.LEG_SHED, False),
            ),
        }
        for name, (parts, expected) in cases.items():
            seen = self.run_reply(*parts, close=True)
            first = ok if name != "no HTTP at all" else malformed
            self.assertEqual({"a": first, "b": expected}, seen, name)

    def cut_off_with_idle_connection(self, is_crash):
        """Return the code of a leg that is cut off while another connection is idle.

        Args:
            is_crash: Whether the idle connection is closed at the same time.
        """
        both_sent = threading.Barrier(2)

        def script(connection, body, nth):
            if not body:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                return True
            leg_id = body["legs"][0]["leg_id"]
            if leg_id != "cut":
                both_sent.wait(5)
                connection.sendall(complete_reply(result_line(leg_id)))
                return True
            connection.sendall(CHUNKED_HEAD + chunk(result_line(leg_id))[:20])
            if is_crash:
                # The connection of the leg is closed last: its close makes the client
                # probe the other one, which must not answer any more.
                for other in server.connections:
                    if other is not connection:
                        other.shutdown(socket.SHUT_RDWR)
            return False

        server = self.serve(script)
        self.open_two_connections(server)
        [result] = self.client.run(server.upstream, (make_leg("cut"),), 5.0)
        self.assertTrue(result.was_run)
        return result.code, len(server.connections)

    def open_two_connections(self, server):
        legs = [make_leg("a"), make_leg("b")]
        threads = [
            threading.Thread(target=self.run_legs, args=[server, leg]) for leg in legs
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(5)

    def test_reply_cut_off_by_a_running_upstream_is_not_a_crash(self):
        code, connections = self.cut_off_with_idle_connection(is_crash=False)
        self.assertEqual((ResultCode.LEG_REPLY_CUT_OFF, 2), (code, connections))

    def test_crash_also_closes_the_other_connections(self):
        code, connections = self.cut_off_with_idle_connection(is_crash=True)
        self.assertEqual((ResultCode.LEG_CUT_OFF, 2), (code, connections))

    def test_cut_off_without_an_older_connection_may_be_a_crash(self):
        cut = self.run_reply(
            CHUNKED_HEAD, chunk(result_line("a"))[:20], legs=("a",), close=True
        )
        self.assertEqual({"a": (ResultCode.LEG_CUT_OFF, True)}, cut)

    def test_duplicate_and_unknown_lines_are_counted_and_ignored(self):
        a = result_line("a")
        seen = self.run_reply(
            complete_reply(
                a, result_line("a", snapshot=9), result_line("z"), result_line("b")
            )
        )
        self.assertEqual({"a": (ResultCode.OK, True), "b": (ResultCode.OK, True)}, seen)
        self.assertEqual(2, self.client.ignored_reply_lines)

    def test_oversized_replies_are_aborted(self):
        self.patch(leg_codec, "MAX_LINE_BYTES", 300)
        oversized = (ResultCode.LEG_REPLY_OVERSIZED, True)
        for long_line in (b"x" * 400, result_line("b", detail="x" * 400)):
            seen = self.run_reply(
                CHUNKED_HEAD + chunk(result_line("a")) + chunk(long_line) + LAST_CHUNK
            )
            self.assertEqual({"a": (ResultCode.OK, True), "b": oversized}, seen)
        self.patch(leg_codec, "MAX_REPLY_BYTES", 1000)
        seen = self.run_reply(CHUNKED_HEAD, *[chunk(result_line("z"))] * 20)
        self.assertEqual({"a": oversized, "b": oversized}, seen)

    def test_timeout_and_refused_connection(self):
        timeout = (ResultCode.LEG_TIMEOUT, True)
        seen = self.run_reply(CHUNKED_HEAD, chunk(result_line("a")), timeout_s=0.2)
        self.assertEqual({"a": (ResultCode.OK, True), "b": timeout}, seen)
        server = self.serve(None)
        server.stop_listening()
        result = self.run_legs(server, make_leg("a"))["a"]
        self.assertEqual((ResultCode.LEG_REFUSED, False), (result.code, result.was_run))
        result = self.run_legs(server, make_leg("a"), timeout_s=0.0)["a"]
        self.assertEqual((ResultCode.LEG_TIMEOUT, False), (result.code, result.was_run))

    def send_slowly(self, connection, body, nth):
        connection.sendall(CHUNKED_HEAD)
        while True:
            connection.sendall(b"0")
            time.sleep(0.01)

    def test_endless_slow_reply_is_aborted_at_the_deadline(self):
        server = self.serve(self.send_slowly)
        run = self.client.run(server.upstream, (make_leg("a"),), 0.2)
        results = []
        thread = threading.Thread(target=lambda: results.extend(run))
        thread.start()
        thread.join(0.4)
        self.assertTrue(thread.is_alive(), "the read timeout does not end the exchange")
        wait_until(lambda: self.client.close_overdue())
        thread.join(5)
        self.assertEqual([ResultCode.LEG_TIMEOUT], [r.code for r in results])

    def close_on_second_request(self, connection, body, nth):
        if nth == 2:
            return False
        connection.sendall(
            complete_reply(*[result_line(leg["leg_id"]) for leg in body["legs"]])
        )

    def run_on_stale_connection(self):
        server = self.serve(self.close_on_second_request)
        self.run_legs(server, make_leg("a"))
        self.clock_offset_s = 20.0
        return self.run_legs(server, make_leg("b"))["b"].code, len(server.requests)

    def test_idempotent_leg_is_resent_after_a_stale_connection(self):
        self.assertEqual((ResultCode.OK, 3), self.run_on_stale_connection())

    def test_without_stale_detection_the_leg_is_lost(self):
        self.patch(http_exchange, "MIN_STALE_IDLE_S", 1e9)
        self.assertEqual((ResultCode.LEG_CUT_OFF, 2), self.run_on_stale_connection())

    def test_close_soon_after_use_is_not_a_stale_connection(self):
        server = self.serve(self.close_on_second_request)
        self.run_legs(server, make_leg("a"))
        result = self.run_legs(server, make_leg("b"))["b"]
        self.assertEqual((ResultCode.LEG_CUT_OFF, True), (result.code, result.was_run))

    def test_crash_on_an_idle_connection_is_not_a_stale_connection(self):
        def script(connection, body, nth):
            if nth == 2:
                server.stop_listening()
            return self.close_on_second_request(connection, body, nth)

        server = self.serve(script)
        self.run_legs(server, make_leg("a"))
        self.clock_offset_s = 20.0
        result = self.run_legs(server, make_leg("b"))["b"]
        self.assertEqual((ResultCode.LEG_CUT_OFF, True), (result.code, result.was_run))

    def test_non_idempotent_leg_is_sent_once(self):
        server = self.serve(self.close_on_second_request)
        self.run_legs(server, make_leg("a"))
        result = self.run_legs(server, make_leg("b", idempotent=False))["b"]
        self.assertEqual((ResultCode.LEG_CUT_OFF, True), (result.code, result.was_run))
        self.assertEqual(2, len(server.requests))

    def connections_after_idle_time(self):
        server = self.serve(
            lambda c, body, nth: c.sendall(complete_reply(result_line("a")))
        )
        self.run_legs(server, make_leg("a"))
        self.clock_offset_s = 20.0
        self.run_legs(server, make_leg("a", idempotent=False))
        return len(server.connections)

    def test_non_idempotent_leg_avoids_long_idle_connections(self):
        self.assertEqual(2, self.connections_after_idle_time())

    def test_without_the_idle_limit_it_uses_an_idle_connection(self):
        self.patch(http_upstream, "MIN_STALE_IDLE_S", 1e9)
        self.assertEqual(1, self.connections_after_idle_time())

    def test_connections_stay_within_the_grant(self):
        may_reply = threading.Event()

        def script(connection, body, nth):
            may_reply.wait(5)
            connection.sendall(complete_reply(result_line("a")))

        server = self.serve(script, grant=1)
        thread = threading.Thread(target=self.run_legs, args=[server, make_leg("a")])
        thread.start()
        wait_until(lambda: server.requests)
        result = self.run_legs(server, make_leg("b"), timeout_s=0.05)["b"]
        self.assertEqual((ResultCode.LEG_SHED, False), (result.code, result.was_run))
        self.client.set_grants({})
        may_reply.set()
        thread.join(5)
        self.assertEqual(0, self.client.open_connections("searcher-1"))
        result = self.run_legs(server, make_leg("b"))["b"]
        self.assertEqual(ResultCode.LEG_NO_HOLDER, result.code)

    def run_legs_past_deadline(self):
        """Run legs that exceed their deadline and count the server's connections."""
        may_reply = threading.Event()
        self.addCleanup(may_reply.set)
        server_connections = []

        def script(connection, body, nth):
            server_connections.append(connection)
            may_reply.wait(5)

        server = self.serve(script, grant=2)
        codes = [
            self.run_legs(server, make_leg(name), timeout_s=0.1)[name].code
            for name in "abcd"
        ]
        return len(set(server_connections)), codes

    def test_connection_closed_while_its_leg_runs_still_counts(self):
        self.patch(http_pool, "CLOSED_CONNECTION_COUNTS_S", 60.0)
        connections, codes = self.run_legs_past_deadline()
        self.assertEqual(2, connections)
        timeouts, shed = [ResultCode.LEG_TIMEOUT] * 2, [ResultCode.LEG_SHED] * 2
        self.assertEqual(timeouts + shed, codes)

    def test_without_lingering_the_server_has_more_connections_than_granted(self):
        self.patch(http_pool, "CLOSED_CONNECTION_COUNTS_S", 0.0)
        connections, _ = self.run_legs_past_deadline()
        self.assertEqual(4, connections)

    def test_load_and_cancel(self):
        body = b'{"running":1,"queued":2,"draining":true,"warmth":0.5}'
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        server = self.serve(lambda connection, body, nth: connection.sendall(reply))
        self.client.cancel(server.upstream, ("a", "b"))
        report = self.client.fetch_load(server.upstream, 5.0)
        self.assertEqual(LoadReport(1, 2, True, 0.5), report)
        self.assertEqual(("/v1/cancel", {"leg_ids": ["a", "b"]}), server.requests[0])
        self.assertEqual(1, self.client.retire("searcher-1"))
