from __future__ import annotations

import socket
import struct

import testtools
from eventlet import patcher

from almondspool.transport.hub_socket import ConnectAttempt, ConnectFailure
from tests.transport.scripted_peer import unused_address, wait_until

# The test's own end blocks: what it does is done before the hub runs.
plain_socket = patcher.original("socket")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectingTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ends = []
        self.listener = plain_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.addCleanup(self.listener.close)

    def connect(self, address):
        ConnectAttempt(address, 5.0, lambda *end: self.ends.append(end))

    def ended(self):
        self.assertTrue(wait_until(lambda: self.ends))
        sock, failure = self.ends[0]
        if sock is not None:
            self.addCleanup(sock.close)
        return sock, failure

    def test_address_without_a_listener_refuses(self):
        host, _, port = unused_address().rpartition(":")
        self.connect((host, int(port)))
        self.assertEqual((None, ConnectFailure.REFUSED), self.ended())

    def test_connection_that_was_taken_and_reset_was_not_refused(self):
        self.connect(self.listener.getsockname())
        accepted, _ = self.listener.accept()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        accepted.close()
        self.assertEqual((None, ConnectFailure.RESET), self.ended())

    def test_connection_that_is_taken(self):
        self.connect(self.listener.getsockname())
        sock, failure = self.ended()
        self.assertIsNotNone(sock)
        self.assertIsNone(failure)
