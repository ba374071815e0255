from __future__ import annotations

import socket
import struct

import testtools
from eventlet import patcher

from almondspool.transport.hub_socket import ConnectAttempt, ConnectFailure
from tests.transport.scripted_peer import unused_address, wait_until

# The listener blocks instead of switching to the hub, so that accept() and close() are
# done before the hub reports the end of the attempt.
plain_socket = patcher.original("socket")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectAttemptTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.results = []
        self.listener = plain_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.addCleanup(self.listener.close)

    def connect(self, address):
        ConnectAttempt(address, 5.0, lambda *result: self.results.append(result))

    def wait_for_result(self):
        self.assertTrue(wait_until(lambda: self.results))
        sock, failure = self.results[0]
        if sock is not None:
            self.addCleanup(sock.close)
        return sock, failure

    def test_attempt_cancelled_once_its_socket_is_ready_ends_quietly(self):
        attempt = ConnectAttempt(self.listener.getsockname(), 5.0, self.results.append)
        attempt.cancel()
        # The hub had polled the event before the attempt was cancelled.
        attempt._on_connected(0)
        self.assertEqual([], self.results)

    def test_address_without_a_listener_is_refused(self):
        host, _, port = unused_address().rpartition(":")
        self.connect((host, int(port)))
        self.assertEqual((None, ConnectFailure.REFUSED), self.wait_for_result())

    def test_accepted_and_reset_connection_is_not_refused(self):
        self.connect(self.listener.getsockname())
        accepted, _ = self.listener.accept()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        accepted.close()
        self.assertEqual((None, ConnectFailure.RESET), self.wait_for_result())

    def test_accepted_connection(self):
        self.connect(self.listener.getsockname())
        sock, failure = self.wait_for_result()
        self.assertIsNotNone(sock)
        self.assertIsNone(failure)
