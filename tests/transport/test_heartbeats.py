from __future__ import annotations

import prometheus_client
import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.errors import AlmondspoolError, PeerError
from almondspool.logs import EventLog
from almondspool.protocol import peer
from almondspool.protocol.peer import CancelLegs, Heartbeat, PeerCodec
from almondspool.transport.heartbeats import (
    REPLAY_WINDOW_SIZE,
    HeartbeatMetrics,
    HeartbeatSocket,
    ReplayGuard,
)
from almondspool.transport.timers import VirtualTimers
from tests.coordination.network import make_member

KEY = "a key of the tests only"


class HeartbeatSocketTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lines = []
        self.registry = prometheus_client.CollectorRegistry()
        self.timers = VirtualTimers()
        self.codec = PeerCodec(KEY)
        self.metrics = HeartbeatMetrics(self.registry)
        self.socket = self.bind("127.0.0.1:0")

    def bind(self, address: str) -> HeartbeatSocket:
        log = EventLog(self.lines.append)
        socket = HeartbeatSocket(address, self.codec, self.timers, log, self.metrics)
        self.addCleanup(socket.close)
        return socket

    def encode(self, sequence=1, incarnation=5, message=None, codec=None) -> bytes:
        member = make_member("perth-2", 1, incarnation)
        message = message or Heartbeat(member, (), False, 0)
        codec = codec or self.codec
        return codec.encode("perth-2", incarnation, sequence, (message,))

    def refused_error(self, data: bytes) -> PeerError:
        return self.assertRaises(PeerError, self.socket.check, data, "127.0.0.1:7")

    def test_heartbeat_is_accepted_once(self):
        data = self.encode()
        datagram = self.socket.check(data, "127.0.0.1:7")
        self.assertEqual(("perth-2", 5, 1), (*datagram[:1], *datagram[2:4]))
        self.assertEqual(ResultCode.PEER_REPLAY, self.refused_error(data).code)

    def test_old_incarnation_is_refused_with_its_sender(self):
        self.socket.check(self.encode(incarnation=5), "127.0.0.1:7")
        error = self.refused_error(self.encode(sequence=2, incarnation=4))
        self.assertEqual(ResultCode.PEER_REPLAY, error.code)
        self.assertEqual("perth-2", error.sender)

    def test_unknown_key_is_refused(self):
        foreign = self.encode(codec=PeerCodec("another key of the tests"))
        self.assertEqual(ResultCode.PEER_KEY, self.refused_error(foreign).code)

    def test_every_truncation_is_refused(self):
        data = self.encode()
        for length in range(len(data)):
            self.assertEqual(
                ResultCode.PEER_KEY, self.refused_error(data[:length]).code
            )

    def test_oversized_datagram_is_refused(self):
        member = make_member("perth-3", 2)
        message = Heartbeat(make_member("perth-2", 1), (member,) * 100, False, 0)
        error = self.refused_error(self.encode(message=message))
        self.assertEqual(ResultCode.PEER_TOO_LARGE, error.code)

    def test_other_protocol_version_is_refused(self):
        previous_version = peer.PROTOCOL_VERSION
        self.addCleanup(setattr, peer, "PROTOCOL_VERSION", previous_version)
        peer.PROTOCOL_VERSION = previous_version + 1
        data = self.encode()
        peer.PROTOCOL_VERSION = previous_version
        error = self.refused_error(data)
        self.assertEqual(ResultCode.PEER_VERSION, error.code)
        self.assertIn(f"speaks version {previous_version + 1}", str(error))

    def test_peer_channel_message_is_malformed(self):
        error = self.refused_error(self.encode(message=CancelLegs(("leg-1",))))
        self.assertEqual(ResultCode.PEER_MALFORMED, error.code)
        self.assertIn("perth-2 sent a datagram of [CancelLegs]", str(error))

    def test_heartbeat_of_another_instance_is_malformed(self):
        message = Heartbeat(make_member("perth-3", 2), (), False, 0)
        error = self.refused_error(self.encode(message=message))
        self.assertEqual(ResultCode.PEER_MALFORMED, error.code)

    def test_invalid_member_fields_are_reported(self):
        member = make_member("perth-3", 2)
        for change, text in (
            ({"incarnation": 2**60}, "perth-3 has incarnation 1152921504606846976"),
            ({"load": float("nan")}, "perth-3 has load nan"),
            ({"cpu_cores": float("nan")}, "perth-3 has power nan"),
            ({"cpu_cores": -1.0}, "perth-3 has power -1.0"),
            ({"cpu_cores": 1e9}, "perth-3 has power 1000000000.0"),
            ({"session": 9}, "perth-3 has session 9"),
            (
                {"peer_address": "host.example:80"},
                "'host.example:80' is not an ip:port",
            ),
            ({"peer_address": "10.0.0.1:0"}, "'10.0.0.1:0' has no valid port"),
            ({"instance": ""}, "record has the instance name ''"),
        ):
            deltas = (member._replace(**change),)
            message = Heartbeat(make_member("perth-2", 1), deltas, False, 0)
            error = self.refused_error(self.encode(message=message))
            self.assertEqual(ResultCode.PEER_MALFORMED, error.code)
            self.assertIn(text, str(error))

    def test_refused_datagram_does_not_advance_the_window(self):
        foreign = PeerCodec("another key of the tests")
        self.refused_error(self.encode(sequence=9, codec=foreign))
        self.socket.check(self.encode(sequence=3), "127.0.0.1:7")

    def test_refusals_are_counted_and_logged_at_a_bounded_rate(self):
        for _ in range(50):
            error = PeerError("forged", ResultCode.PEER_KEY)
            self.socket._refuse(error, "127.0.0.1:7")
        self.assertEqual(1, len(self.lines))
        self.timers.advance(11.0)
        self.socket._refuse(error, "127.0.0.1:7")
        self.assertEqual(2, len(self.lines))
        name = "almondspool_heartbeat_refused_total"
        count = self.registry.get_sample_value(name, {"code": "PEER_KEY"})
        self.assertEqual(51, count)

    def test_address_in_use(self):
        host, port = self.socket._socket.getsockname()
        error = self.assertRaises(AlmondspoolError, self.bind, f"{host}:{port}")
        self.assertEqual(ResultCode.ADDRESS_IN_USE, error.code)


class ReplayGuardTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.integers(1, 400), max_size=200))
    def test_sequences_are_accepted_once_and_recent_ones_in_any_order(self, sequences):
        guard = ReplayGuard()
        accepted = set()
        for sequence in sequences:
            expected = sequence not in accepted
            expected &= sequence > max(accepted, default=0) - REPLAY_WINDOW_SIZE
            try:
                guard.check("perth-2", 1, sequence)
            except PeerError as error:
                self.assertEqual(ResultCode.PEER_REPLAY, error.code)
                self.assertFalse(expected)
            else:
                self.assertTrue(expected)
                accepted.add(sequence)

    def test_higher_incarnation_resets_the_window(self):
        guard = ReplayGuard()
        guard.check("perth-2", 1, 50)
        guard.check("perth-2", 2, 1)
        self.assertRaises(PeerError, guard.check, "perth-2", 1, 51)
