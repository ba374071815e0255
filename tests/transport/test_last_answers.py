"""Large answers after which the caller's connection closes.

The kernel accepts only a part of such an answer at first. Bytes that the caller sends
meanwhile must not be parsed: a request would run a second time.
"""

from __future__ import annotations

import socket

import eventlet
import testtools
from testtools.matchers import LessThan

from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.protocol.exchange import Answer, RequestHandle
from almondspool.state.routes import CallerLimits
from almondspool.transport import caller_server, hub_socket
from almondspool.transport.caller_server import CallerServer
from almondspool.transport.hub_timers import HubTimers
from tests.transport.scripted_peer import wait_until

BODY = b"x" * 20_000_000
POST = (
    b"POST /book HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: 2\r\n"
    b"Connection: close\r\n\r\nab"
)
KEPT_POST = POST.replace(b"Connection: close\r\n", b"")
SECOND_POST = POST.replace(b"r1", b"r2")


class _Handle(RequestHandle):
    def cancel(self):
        pass


class LastAnswerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.request_ids = []
        self.rejected = []
        self.limits = CallerLimits(2000, 1000, 30.0, 30.0)
        self.server = CallerServer(
            PlatformHeaderCodec(),
            HubTimers(),
            self.handle,
            lambda: self.limits,
            self.rejected.append,
        )
        self.port = self.server.listen("127.0.0.1:0")
        self.addCleanup(self.server.close)

    def handle(self, request, answer):
        self.request_ids.append(request.request_id)
        answer(Answer(200, (), BODY))
        return _Handle()

    def open_caller(self):
        caller = socket.create_connection(("127.0.0.1", self.port), timeout=5.0)
        self.addCleanup(caller.close)
        return caller

    def start(self, data=POST):
        """Send a request and wait until a part of its answer is unsent."""
        caller = self.open_caller()
        caller.sendall(data)
        self.assertTrue(wait_until(lambda: bool(self.request_ids)))
        return caller

    def read_all(self, caller, pause_s=0.0):
        """Return the bytes up to the end of the connection; pause after each read."""
        caller.setblocking(False)
        received = bytearray()
        while True:
            try:
                data = caller.recv(1_000_000)
            except BlockingIOError:
                eventlet.sleep(0.001)
                continue
            if not data:
                return bytes(received)
            received += data
            eventlet.sleep(pause_s)

    def check_answered_once(self, caller):
        received = self.read_all(caller)
        self.assertEqual(["r1"], self.request_ids)
        self.assertEqual(1, received.count(b"HTTP/1.1 "))
        self.assertTrue(received.endswith(b"\r\n\r\n" + BODY))

    def test_one_more_byte_does_not_run_the_request_again(self):
        caller = self.start()
        caller.sendall(b"\n")
        eventlet.sleep(0.05)
        self.check_answered_once(caller)

    def test_second_request_is_not_run(self):
        caller = self.start()
        caller.sendall(SECOND_POST)
        eventlet.sleep(0.05)
        self.check_answered_once(caller)

    def test_invalid_bytes_are_not_answered(self):
        caller = self.start()
        caller.sendall(b"nonsense\r\n\r\n")
        eventlet.sleep(0.05)
        self.check_answered_once(caller)
        self.assertEqual([], self.rejected)

    def test_request_behind_a_rejected_one_is_not_run(self):
        caller = self.start(KEPT_POST)
        caller.sendall(b"nonsense\r\n\r\n")
        self.assertTrue(wait_until(lambda: bool(self.rejected)))
        caller.sendall(SECOND_POST)
        eventlet.sleep(0.05)
        received = self.read_all(caller)
        self.assertEqual((["r1"], [400]), (self.request_ids, self.rejected))
        self.assertIn(BODY + b"HTTP/1.1 400 ", received)

    def test_request_during_a_drain_is_not_run(self):
        self.server.begin_drain()
        caller = self.start(KEPT_POST)
        caller.sendall(SECOND_POST)
        self.server.stop_accepting()
        eventlet.sleep(0.05)
        self.server.close_idle()
        self.check_answered_once(caller)

    def test_answer_that_is_read_slowly_arrives_whole(self):
        # The kernel takes several MB of a loopback answer, so 20 reads of 1 MB with a
        # pause of 60 ms are in the middle of it after half a second.
        caller = self.start()
        received = self.read_all(caller, pause_s=0.06)
        self.assertTrue(received.endswith(BODY))

    def test_caller_that_does_not_read_is_disconnected(self):
        self.patch(caller_server, "ANSWER_READ_TIMEOUT_S", 0.2)
        caller = self.start()
        self.assertTrue(wait_until(lambda: not self.server.open_count))
        self.assertThat(len(self.read_all(caller)), LessThan(len(BODY)))

    def test_endless_bytes_of_the_caller_end_the_connection(self):
        caller = self.start()
        caller.setblocking(False)
        sent = 0
        while self.server.open_count and sent < 64_000_000:
            try:
                sent += caller.send(b"y" * 65_536)
            except BlockingIOError:
                pass
            except ConnectionError:
                break
            eventlet.sleep(0)
        self.assertEqual(0, self.server.open_count)
        self.assertEqual(["r1"], self.request_ids)
        self.assertThat(sent, LessThan(64_000_000))

    def test_connection_closes_once_the_answer_has_left(self):
        caller = self.start()
        self.read_all(caller)
        self.assertEqual(0, self.server.open_count)


class DiscardLimitTests(testtools.TestCase):
    def test_limit_exceeds_a_whole_request(self):
        limits = CallerLimits()
        self.assertThat(
            limits.max_head_bytes + limits.max_body_bytes,
            LessThan(hub_socket.MAX_DISCARDED_BYTES + 1),
        )
