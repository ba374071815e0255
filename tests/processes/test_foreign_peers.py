"""Tests that foreign, forged, replayed and damaged peer messages are refused."""

from __future__ import annotations

import asyncio
import socket
import struct
from unittest import mock

from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from almondspool.protocol import peer
from almondspool.protocol.peer import Heartbeat, PeerCodec
from almondspool.standins.launcher import PEER_KEY
from almondspool.standins.web import parse_address
from almondspool.state.members import Member, MemberStatus
from almondspool.transport.peer_channel import _METHOD as METHOD, BytesCodec
from tests.processes.caller import Caller, make_search
from tests.processes.checks import wrong_answers
from tests.processes.support import (
    ClusterTestCase,
    read_log,
    read_metric,
    statuses_by_name,
    wait_until,
    wait_until_in_force,
)

FOREIGN_KEY = "another-cluster-key!"
FORGED_INCARNATION = 10**15
ACK_TIMEOUT_S = 30.0
MAX_DATAGRAM_BYTES = 65_536
OVERSIZED_DATAGRAM_BYTES = 60_000
GARBAGE = (b"", b"x", b"\x00" * 64, b"\xff" * 1200, b"GET / HTTP/1.1\r\n\r\n")


def forge_heartbeat(cluster, key, sequence=1):
    """Return a forged heartbeat of an instance which says that it is leaving.

    Args:
        cluster: The cluster; the heartbeat is in the name of its last instance.
        key: Key that signs the heartbeat.
        sequence: Sequence number of the message.
    """
    name, instance = list(cluster.instances_by_name.items())[-1]
    member = Member(
        name,
        FORGED_INCARNATION,
        instance.zone,
        instance.caller_address,
        instance.peer_address,
        MemberStatus.LEAVING,
        session=FORGED_INCARNATION,
    )
    heartbeat = Heartbeat(member, (), False, 0)
    return PeerCodec(key).encode(name, FORGED_INCARNATION, sequence, (heartbeat,))


def send_datagram(cluster, name, data):
    """Send a datagram to the peer address of an instance."""
    address = cluster.instances_by_name[name].peer_address
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(data, parse_address(address))


def is_forgery_accepted(cluster, name):
    """Return whether an instance accepted the heartbeat of forge_heartbeat.

    The log shows it; the status may not, since the member itself refutes the forgery
    within a heartbeat.
    """
    return f"incarnation={FORGED_INCARNATION} " in read_log(cluster, name)


def make_unknown_heartbeat(name):
    """Return the heartbeat of an instance that is not in the cluster."""
    unknown_member = Member(name, 1, "perth-north", "127.0.0.1:1", "127.0.0.1:2")
    return Heartbeat(unknown_member, (), False, 0)


def forge_other_version(cluster):
    """Return a heartbeat with a valid signature and another protocol version."""
    with mock.patch.object(peer, "PROTOCOL_VERSION", peer.PROTOCOL_VERSION + 1):
        return forge_heartbeat(cluster, PEER_KEY)


def acknowledged_sequences(cluster, name):
    """Send heartbeats with sequence numbers 7, 7 and 8; return those acknowledged."""
    codec = PeerCodec(PEER_KEY)
    address = parse_address(cluster.instances_by_name[name].peer_address)
    acknowledged = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(ACK_TIMEOUT_S)
        for sequence in (7, 7, 8):
            data = codec.encode(
                "ghost", 1, sequence, (make_unknown_heartbeat("ghost"),)
            )
            sock.sendto(data, address)
        while 8 not in acknowledged:
            _, messages = codec.decode(sock.recv(MAX_DATAGRAM_BYTES))
            acknowledged.append(messages[0].echo)
    return acknowledged


async def announce_oversized_message(address):
    """Announce a message of four gigabytes on a channel; wait until the stream ends."""
    host, port = parse_address(address)
    channel = Channel(host, port, codec=BytesCodec())
    try:
        async with channel.request(
            METHOD, Cardinality.STREAM_STREAM, bytes, bytes
        ) as stream:
            await stream.send_request()
            await stream._stream.send_data(struct.pack("?", False) + b"\xff" * 4)
            await stream.recv_message()
    except (GRPCError, ProtocolError, StreamTerminatedError):
        pass
    finally:
        channel.close()


def departed_members(cluster, name):
    """Return the instances that an instance considers leaving or dead."""
    members = statuses_by_name(cluster, [name])[name]["members"]
    departed = ("leaving", "dead")
    return [member["instance"] for member in members if member["status"] in departed]


class ForeignPeerTests(ClusterTestCase):
    def setUp(self):
        super().setUp()
        self.generation = wait_until_in_force(self.cluster)
        self.name = next(iter(self.cluster.instances_by_name))

    def count_refused(self, code):
        sample = f'almondspool_heartbeat_refused_total{{code="{code}"}}'
        return read_metric(self.cluster, self.name, sample)

    def assert_refused(self, data, code):
        before = self.count_refused(code)
        send_datagram(self.cluster, self.name, data)
        wait_until(
            lambda: self.count_refused(code) > before,
            f"a refusal with {code} is counted",
        )
        self.assertIn(f"code={code}", read_log(self.cluster, self.name))
        self.assert_state_unchanged()

    def assert_state_unchanged(self):
        self.assertFalse(is_forgery_accepted(self.cluster, self.name))
        self.assertEqual([], departed_members(self.cluster, self.name))
        self.assertEqual(self.generation, wait_until_in_force(self.cluster))
        attempts = [
            Caller(self.cluster).send(make_search(number)) for number in range(3)
        ]
        self.assertEqual(
            [], wrong_answers(self.cluster, attempts, require_complete=True)
        )

    def test_foreign_key(self):
        self.assert_refused(forge_heartbeat(self.cluster, FOREIGN_KEY), "PEER_KEY")

    def test_forged_signature(self):
        data = bytearray(forge_heartbeat(self.cluster, PEER_KEY))
        data[-1] ^= 1
        self.assert_refused(bytes(data), "PEER_KEY")

    def test_truncated_heartbeat(self):
        self.assert_refused(forge_heartbeat(self.cluster, PEER_KEY)[:40], "PEER_KEY")

    def test_other_protocol_version(self):
        self.assert_refused(forge_other_version(self.cluster), "PEER_VERSION")

    def test_replayed_heartbeat(self):
        before = self.count_refused("PEER_REPLAY")
        self.assertEqual([7, 8], acknowledged_sequences(self.cluster, self.name))
        self.assertEqual(before + 1, self.count_refused("PEER_REPLAY"))

    def test_oversized_datagram(self):
        self.assert_refused(b"\xff" * OVERSIZED_DATAGRAM_BYTES, "PEER_TOO_LARGE")

    def test_oversized_message_on_a_channel(self):
        sample = 'almondspool_peer_refusals_total{code="PEER_TOO_LARGE"}'
        before = read_metric(self.cluster, self.name, sample)
        address = self.cluster.instances_by_name[self.name].peer_address
        asyncio.run(announce_oversized_message(address))

        def is_counted():
            return read_metric(self.cluster, self.name, sample) == before + 1

        wait_until(is_counted, "the refusal is counted")
        self.assert_state_unchanged()

    def test_garbage_on_every_port(self):
        instance = self.cluster.instances_by_name[self.name]
        for data in GARBAGE:
            send_datagram(self.cluster, self.name, data)
            for address in (instance.caller_address, instance.peer_address):
                with socket.create_connection(parse_address(address)) as connection:
                    connection.sendall(data)
        self.assert_state_unchanged()


class UnsignedPeersTests(ClusterTestCase):
    variant = "unsigned_peers"

    def test_forged_heartbeat_is_accepted(self):
        name = next(iter(self.cluster.instances_by_name))
        send_datagram(self.cluster, name, forge_heartbeat(self.cluster, FOREIGN_KEY))
        wait_until(
            lambda: is_forgery_accepted(self.cluster, name),
            "the forgery is accepted",
        )


class LenientPeersTests(ClusterTestCase):
    variant = "lenient_peers"

    def test_message_of_another_version_is_accepted(self):
        name = next(iter(self.cluster.instances_by_name))
        send_datagram(self.cluster, name, forge_other_version(self.cluster))
        wait_until(
            lambda: is_forgery_accepted(self.cluster, name), "the forgery is accepted"
        )

    def test_replayed_message_is_accepted(self):
        name = next(iter(self.cluster.instances_by_name))
        self.assertEqual([7, 7, 8], acknowledged_sequences(self.cluster, name))
