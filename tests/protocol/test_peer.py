from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.errors import PeerError
from almondspool.protocol import peer
from almondspool.protocol.peer import CancelLegs, PeerCodec

KEY = "a-key-of-the-test-suite"
MESSAGE = CancelLegs(("leg-1", "leg-2"))


class PeerCodecTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.codec = PeerCodec(KEY)
        self.data = self.codec.encode("perth-1", 7, 3, (MESSAGE, MESSAGE))

    def decode_error_code(self, data, codec=None):
        return self.assertRaises(PeerError, (codec or self.codec).decode, data).code

    def test_messages_round_trip(self):
        envelope, messages = self.codec.decode(self.data)
        self.assertEqual(("perth-1", 7, 3), envelope[1:4])
        self.assertEqual((MESSAGE, MESSAGE), messages)

    def test_foreign_key_is_refused(self):
        code = self.decode_error_code(self.data, PeerCodec("another-key-of-the-suite"))
        self.assertEqual(ResultCode.PEER_KEY, code)

    def test_other_version_is_refused(self):
        self.patch(peer, "PROTOCOL_VERSION", 2)
        data = self.codec.encode("perth-1", 7, 3, (MESSAGE,))
        self.patch(peer, "PROTOCOL_VERSION", 1)
        self.assertEqual(ResultCode.PEER_VERSION, self.decode_error_code(data))

    def test_oversized_envelope_is_neither_decoded_nor_encoded(self):
        self.patch(peer, "MAX_ENVELOPE_BYTES", len(self.data))
        self.codec.decode(self.data)
        self.patch(peer, "MAX_ENVELOPE_BYTES", len(self.data) - 1)
        self.assertEqual(ResultCode.PEER_TOO_LARGE, self.decode_error_code(self.data))
        error = self.assertRaises(
            PeerError, self.codec.encode, "perth-1", 7, 3, (MESSAGE, MESSAGE)
        )
        self.assertEqual(ResultCode.PEER_TOO_LARGE, error.code)

    def test_signed_invalid_data_is_malformed(self):
        body = b"\xc1nonsense"
        data = self.codec._sign(body) + body
        self.assertEqual(ResultCode.PEER_MALFORMED, self.decode_error_code(data))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.data())
    def test_change_of_any_byte_is_refused(self, data):
        index = data.draw(st.integers(0, len(self.data) - 1))
        changed = bytearray(self.data)
        changed[index] ^= data.draw(st.integers(1, 255))
        self.assertEqual(ResultCode.PEER_KEY, self.decode_error_code(bytes(changed)))

    def test_every_truncation_is_refused(self):
        for length in range(len(self.data)):
            self.assertEqual(
                ResultCode.PEER_KEY, self.decode_error_code(self.data[:length])
            )
