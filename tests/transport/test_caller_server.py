from __future__ import annotations

import socket

import testtools

from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.protocol.exchange import Answer, RequestHandle
from almondspool.state.routes import CallerLimits
from almondspool.transport.caller_server import CallerServer
from almondspool.transport.hub_socket import HubListener
from almondspool.transport.hub_timers import HubTimers
from tests.transport.scripted_peer import Caller, wait_until

GET = b"GET /a/%41?x=1 HTTP/1.1\r\nHost: Shop.Example:80\r\nRequest-Id: r1\r\n"


class _Handle(RequestHandle):
    def __init__(self, cancellations):
        self.cancellations = cancellations

    def cancel(self):
        self.cancellations.append(True)


class CallerServerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.requests = []
        self.answers = []
        self.cancellations = []
        self.rejected = []
        self.limits = CallerLimits(2000, 1000, 0.3, 0.6)
        self.is_answered_at_once = True
        self.server = CallerServer(
            PlatformHeaderCodec(),
            HubTimers(),
            self.handle,
            lambda: self.limits,
            self.rejected.append,
        )
        port = self.server.listen("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        self.addCleanup(self.server.close)

    def handle(self, request, answer):
        self.requests.append(request)
        self.answers.append(answer)
        if self.is_answered_at_once:
            answer(Answer(200, ((b"X", b"y"),), b"body"))
        return _Handle(self.cancellations)

    def open_caller(self, *pieces):
        caller = Caller(self.address)
        self.addCleanup(caller.close)
        for piece in pieces:
            caller.write(piece)
        return caller

    def status_of(self, *pieces):
        caller = self.open_caller(*pieces)
        self.assertTrue(wait_until(lambda: b"\r\n\r\n" in caller.received))
        return int(caller.received.split(b" ")[1])

    def test_target_and_headers_are_passed_on_as_sent(self):
        caller = self.open_caller(GET + b"Deadline-Ms: 300\r\nX-a: 1\r\nX-a: 2\r\n\r\n")
        self.assertTrue(wait_until(lambda: b"body" in caller.received))
        request = self.requests[0]
        self.assertEqual("/a/%41?x=1", request.target)
        self.assertEqual("/a/%41", request.path)
        self.assertEqual("shop.example", request.host)
        self.assertEqual(("r1", 0.3), (request.request_id, request.deadline_s))
        self.assertEqual(2, sum(name == b"X-a" for name, _ in request.headers))

    def test_connection_serves_many_requests(self):
        caller = self.open_caller(GET + b"\r\n")
        self.assertTrue(wait_until(lambda: caller.received.count(b"body") == 1))
        caller.write(GET + b"\r\n")
        self.assertTrue(wait_until(lambda: caller.received.count(b"body") == 2))
        self.assertFalse(caller.is_closed)

    def test_network_delay_of_a_first_request_includes_the_connect(self):
        caller = self.open_caller(GET + b"\r\n")
        self.assertTrue(wait_until(lambda: len(self.requests) == 1))
        caller.write(GET + b"\r\n")
        self.assertTrue(wait_until(lambda: len(self.requests) == 2))
        first, second = self.requests
        self.assertTrue(first.network_delay_s > 0.0)
        self.assertTrue(0.0 < second.network_delay_s < 0.5)

    def test_chunked_body_is_joined(self):
        head = b"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        caller = self.open_caller(head, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertTrue(wait_until(lambda: b"body" in caller.received))
        self.assertEqual(b"abcde", self.requests[0].body)

    def test_invalid_requests_are_rejected_and_not_run(self):
        both = b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"
        for status, data in (
            (400, b"nonsense\r\n\r\n"),
            (400, b"GET / HTTP/1.1\r\n\r\n"),
            (400, b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"),
            (400, b"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n"),
            (400, b"POST / HTTP/1.1\r\nHost: h\r\n" + both),
            (
                400,
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                b"Content-Length: 2\r\n\r\nab",
            ),
            (
                400,
                b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"zz\r\n",
            ),
            (400, GET + b"Request-Id: r2\r\n\r\n"),
            (400, GET + b"Deadline-Ms: soon\r\n\r\n"),
            (413, b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n"),
            (431, b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2100 + b"\r\n\r\n"),
            (431, b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2100),
        ):
            self.assertEqual(status, self.status_of(data), data[:60])
        self.assertEqual([], self.requests)
        self.assertEqual(12, len(self.rejected))

    def test_chunks_over_the_limit_are_rejected(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"258\r\n" + b"x" * 600 + b"\r\n"
        self.assertEqual(413, self.status_of(head, chunk + chunk))

    def test_slow_head_times_out(self):
        self.assertEqual(408, self.status_of(GET))

    def test_idle_connection_is_closed_without_an_answer(self):
        caller = self.open_caller()
        self.assertTrue(wait_until(lambda: caller.is_closed))
        self.assertEqual(b"", caller.received)

    def test_caller_disconnect_cancels_the_request_at_once(self):
        self.is_answered_at_once = False
        caller = self.open_caller(GET + b"\r\n")
        self.assertTrue(wait_until(lambda: bool(self.requests)))
        caller.close()
        self.assertTrue(wait_until(lambda: bool(self.cancellations)))
        self.answers[0](Answer(200))

    def test_pipelined_request_is_served_after_the_answer(self):
        self.is_answered_at_once = False
        caller = self.open_caller(GET + b"\r\n")
        self.assertTrue(wait_until(lambda: len(self.requests) == 1))
        caller.write(GET + b"\r\n")
        self.is_answered_at_once = True
        self.answers[0](Answer(200, (), b"one"))
        self.assertTrue(wait_until(lambda: len(self.requests) == 2))
        self.assertTrue(wait_until(lambda: b"body" in caller.received))

    def test_two_requests_in_one_write_are_never_mixed(self):
        caller = self.open_caller(GET + b"\r\n" + GET.replace(b"r1", b"r2") + b"\r\n")
        self.assertTrue(wait_until(lambda: caller.is_closed))
        self.assertEqual(["r1"], [request.request_id for request in self.requests])
        self.assertIn(b"Connection: close", caller.received)

    def test_drain_closes_the_connection_after_the_answer(self):
        self.is_answered_at_once = False
        caller = self.open_caller(GET + b"\r\n")
        self.assertTrue(wait_until(lambda: bool(self.requests)))
        self.server.begin_drain()
        self.server.stop_accepting()
        self.assertEqual(1, self.server.busy_count)
        self.answers[0](Answer(200, (), b"late"))
        self.assertTrue(wait_until(lambda: caller.is_closed))
        self.assertIn(b"Connection: close", caller.received)
        self.assertTrue(caller.received.endswith(b"late"))

    def test_expectation_is_answered_before_the_body(self):
        head = (
            b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Content-Length: 2\r\n\r\n"
        )
        caller = self.open_caller(head)
        self.assertTrue(wait_until(lambda: b"100 Continue" in caller.received))
        caller.write(b"ab")
        self.assertTrue(wait_until(lambda: b"body" in caller.received))

    def test_queued_connections_are_all_accepted_on_shutdown(self):
        # More connections than one event loop iteration accepts. The hub does not run
        # before the listener is closed, so all of them are queued in the kernel.
        callers = [
            self.open_blocking_caller()
            for _ in range(3 * HubListener.MAX_ACCEPTS_PER_ITERATION)
        ]
        for caller in callers:
            caller.sendall(GET + b"\r\n")
        self.server.begin_drain()
        self.server.stop_accepting()
        wait_until(lambda: len(self.requests) == len(callers))
        for caller in callers:
            self.assertTrue(caller.recv(1000).startswith(b"HTTP/1.1 200"))

    def test_unread_request_is_served_before_its_connection_closes(self):
        caller = self.open_blocking_caller()
        caller.sendall(GET + b"\r\n")
        self.assertTrue(wait_until(lambda: len(self.requests) == 1))
        self.assertTrue(caller.recv(1000).startswith(b"HTTP/1.1 200"))
        caller.sendall(GET + b"\r\n")
        self.server.begin_drain()
        self.server.close_idle()
        self.assertTrue(caller.recv(1000).startswith(b"HTTP/1.1 200"))

    def open_blocking_caller(self):
        host, _, port = self.address.rpartition(":")
        caller = socket.create_connection((host, int(port)), timeout=5.0)
        self.addCleanup(caller.close)
        return caller
