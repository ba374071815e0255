from __future__ import annotations

import socket

import eventlet
import testtools

from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.protocol.exchange import LegOutcome, LegRequest
from almondspool.transport.upstream_connection import (
    ReplyBufferUsage,
    UpstreamConnection,
)

REQUEST = LegRequest("a1", b"GET /x HTTP/1.1\r\nRequest-Id: a1\r\n", b"", True)
HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nResponse-Signature: sig\r\n"
    b"Server-Load: 1,0,2\r\n"
)
# Replies that tell where they end, so that no proper prefix of them is whole.
REPLIES = {
    "length": HEAD + b"Content-Length: 32\r\n\r\n" + b"r" * 32,
    "empty": HEAD + b"Content-Length: 0\r\n\r\n",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n10\r\n" + b"r" * 16 + b"\r\n"
    b"0\r\n\r\n",
    "length last": HEAD
    + b"Connection: close\r\nContent-Length: 16\r\n\r\n"
    + b"r" * 16,
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    + HEAD
    + b"Content-Length: 16\r\n\r\n"
    + b"r" * 16,
}


class CutReplyTests(testtools.TestCase):
    """Upstreams that stop within a reply and close the connection."""

    def exchange(self, data, is_reset=False):
        """Return the result of an exchange whose upstream sends data and closes."""
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        results = []
        connection = UpstreamConnection(
            ours, PlatformHeaderCodec(), lambda: 0.0, lambda _: None, ReplyBufferUsage()
        )
        connection.start(REQUEST, b"\r\n", results.append)
        theirs.sendall(data)
        if not is_reset:
            # Unread bytes of the request would reset the connection.
            theirs.recv(65_536)
        theirs.close()
        for _ in range(50):
            if results:
                break
            eventlet.sleep(0.001)
        if connection.is_open:
            connection.close()
        return results

    def test_reply_that_breaks_off_anywhere_is_no_success(self):
        for name, reply in REPLIES.items():
            for is_reset in (False, True):
                for end in range(len(reply)):
                    results = self.exchange(reply[:end], is_reset)
                    self.assertEqual(1, len(results), (name, end))
                    self.assertFalse(results[0].is_success, (name, end))
                    self.assertIs(LegOutcome.BROKEN, results[0].outcome, (name, end))
            whole = self.exchange(reply)
            self.assertTrue(whole[0].is_success, name)

    def test_head_without_a_length_that_breaks_off_is_no_success(self):
        reply = HEAD + b"\r\n"
        for end in range(len(reply)):
            results = self.exchange(reply[:end])
            self.assertIs(LegOutcome.BROKEN, results[0].outcome, end)
        self.assertTrue(self.exchange(reply + b"r" * 16)[0].is_success)
        self.assertIs(
            LegOutcome.BROKEN, self.exchange(reply + b"r" * 16, True)[0].outcome
        )
