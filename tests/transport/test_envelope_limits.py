from __future__ import annotations

import testtools

from almondspool.codes import ResultCode
from almondspool.errors import PeerError
from almondspool.transport.envelope_limits import encode_fitting

LIMIT = 10


def encode(messages):
    data = b"".join(messages)
    if len(data) > LIMIT:
        raise PeerError(f"{len(data)} bytes", ResultCode.PEER_TOO_LARGE)
    return data


class EncodeFittingTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.refused = []

    def send_all(self, messages):
        """Return the envelopes into which all messages are encoded."""
        envelopes = []
        while messages:
            data, messages = encode_fitting(encode, messages, self.refused.append)
            envelopes.append(data)
        return envelopes

    def test_messages_that_fit_share_an_envelope(self):
        self.assertEqual([b"aabbcc"], self.send_all([b"aa", b"bb", b"cc"]))

    def test_messages_that_do_not_fit_are_split_in_order(self):
        messages = [bytes([65 + number]) * 4 for number in range(7)]
        envelopes = self.send_all(messages)
        self.assertEqual(b"".join(messages), b"".join(envelopes))
        self.assertEqual([], self.refused)

    def test_oversized_message_is_refused_and_the_rest_is_sent(self):
        envelopes = self.send_all([b"x" * 11, b"aa", b"bb"])
        self.assertEqual(b"aabb", b"".join(envelopes))
        codes = [error.code for error in self.refused]
        self.assertEqual([ResultCode.PEER_TOO_LARGE], codes)
