"""Rejection of invalid and replayed messages, recorded line by line."""

from __future__ import annotations

import random
from unittest import mock

import prometheus_client
import testtools

from almondspool.coordination.membership.member_actions import (
    MemberChanged,
    SendDatagram,
)
from almondspool.coordination.membership.membership import Membership
from almondspool.coordination.membership.membership_settings import MembershipSettings
from almondspool.logs import EventLog
from almondspool.protocol import peer
from almondspool.protocol.peer import CancelLegs, Heartbeat, PeerCodec, ViewReply
from almondspool.state.members import MemberStatus
from almondspool.transport.heartbeats import (
    MAX_HEARTBEAT_BYTES,
    HeartbeatMetrics,
    HeartbeatSocket,
    ReplayGuard,
)
from almondspool.transport.timers import VirtualTimers
from tests.coordination.network import make_member
from tests.golden_session import verify_session

KEY = "a key of the tests only"
FOREIGN_KEY = "another key of the tests"
STEP_S = 0.1
OWN, PEER = make_member("perth-1", 0, 5), make_member("perth-2", 1, 5)
LEAVING = PEER._replace(status=MemberStatus.LEAVING, session=5)
REFUSED_METRIC = "almondspool_heartbeat_refused_total"


class Receiver:
    """One instance that receives datagrams of the test, under virtual time."""

    def __init__(self, case):
        self.lines = []
        self.timers = VirtualTimers()
        self.registry = prometheus_client.CollectorRegistry()
        self.codec = PeerCodec(KEY)
        self.socket = HeartbeatSocket(
            "127.0.0.1:0",
            self.codec,
            self.timers,
            EventLog(self.write),
            HeartbeatMetrics(self.registry),
        )
        case.addCleanup(self.socket.close)
        settings = MembershipSettings(seed_peers=())
        self.membership = Membership(OWN, settings, random.Random(1))
        self.membership.start(0.0)

    def write(self, line):
        self.lines.append(f"{self.timers.now():6.1f} {line}")

    def encode(self, sequence, message, sender="perth-2", incarnation=5, key=KEY):
        return PeerCodec(key).encode(sender, incarnation, sequence, (message,))

    def receive_datagram(self, title, data):
        """Advance time, receive one datagram and log the resulting members."""
        self.timers.advance(STEP_S)
        self.membership.tick(self.timers.now())
        self.lines.append(f"-- {title}")
        before = self.refusals_by_code()
        self.socket.handle_datagram(
            data, PEER.peer_address, self.receive, self.on_stale_incarnation
        )
        for code, count in self.refusals_by_code().items():
            if count > before.get(code, 0):
                self.write(f"refused as {code}")
        members = self.membership.view().members_by_instance
        believed = [
            f"{name}={member.status.name}/{member.incarnation}"
            for name, member in sorted(members.items())
            if name != OWN.instance
        ]
        self.write("believed: " + (" ".join(believed) or "nobody else"))

    def receive(self, datagram):
        fields = datagram.sender, datagram.address, datagram.sequence
        now = self.timers.now()
        self.execute(self.membership.receive(*fields, datagram.message, now))

    def on_stale_incarnation(self, sender, address):
        self.execute(self.membership.on_stale_incarnation(sender, address))

    def execute(self, actions):
        for action in actions:
            if isinstance(action, SendDatagram):
                kind = type(action.message).__name__
                echo = getattr(action.message, "echo", 0)
                self.write(f"sends {kind} to {action.address}, echo {echo}")
            elif isinstance(action, MemberChanged):
                member = action.member
                self.write(f"notes {member.instance} {member.status.name}")

    def refusals_by_code(self):
        """Return the number of refused datagrams by code name."""
        return {
            sample.labels["code"]: int(sample.value)
            for metric in self.registry.collect()
            for sample in metric.samples
            if sample.name == REFUSED_METRIC
        }


def heartbeat(member, deltas=()):
    return Heartbeat(member, deltas, False, 0)


def run_session(receiver):
    """Send valid messages, interleaved with messages that must be refused."""
    genuine = receiver.encode(1, heartbeat(PEER))
    leaving = heartbeat(LEAVING)
    receiver.receive_datagram("a genuine heartbeat", genuine)
    receiver.receive_datagram("the same once more", genuine)
    receiver.receive_datagram(
        "signed with a foreign key", receiver.encode(2, leaving, key=FOREIGN_KEY)
    )
    forged = bytearray(receiver.encode(2, leaving))
    forged[-1] ^= 1
    receiver.receive_datagram("one bit changed on the way", bytes(forged))
    receiver.receive_datagram("cut off on the way", receiver.encode(2, leaving)[:60])
    with mock.patch.object(peer, "PROTOCOL_VERSION", peer.PROTOCOL_VERSION + 1):
        newer = receiver.encode(2, leaving)
    receiver.receive_datagram("of another protocol version", newer)
    receiver.receive_datagram("nothing", b"")
    receiver.receive_datagram(
        "larger than any heartbeat", b"\xff" * (MAX_HEARTBEAT_BYTES + 1)
    )
    body = b"\xc1nonsense"
    receiver.receive_datagram("signed nonsense", receiver.codec._sign(body) + body)
    receiver.receive_datagram(
        "a message of the channel", receiver.encode(3, CancelLegs(("leg",)))
    )
    other = heartbeat(make_member("perth-3", 2))
    receiver.receive_datagram("in the name of another", receiver.encode(4, other))
    odd = heartbeat(PEER, (make_member("perth-3", 2)._replace(load=7.0),))
    receiver.receive_datagram(
        "with a record that makes no sense", receiver.encode(5, odd)
    )
    earlier = LEAVING._replace(incarnation=4, session=4)
    receiver.receive_datagram(
        "of an earlier incarnation",
        receiver.encode(9, heartbeat(earlier), incarnation=4),
    )
    page = ViewReply((OWN._replace(incarnation=99, session=0),), True, 77)
    receiver.receive_datagram(
        "a page unasked, with a higher incarnation of our own", receiver.encode(6, page)
    )
    receiver.receive_datagram(
        "the next genuine heartbeat", receiver.encode(7, heartbeat(PEER))
    )


class RefusedMessagesTests(testtools.TestCase):
    def test_invalid_messages_are_refused(self):
        receiver = Receiver(self)
        run_session(receiver)
        for code, count in sorted(receiver.refusals_by_code().items()):
            receiver.lines.append(f"refused as {code}: {count}")
        verify_session("peer_messages_refused", receiver.lines)
        members = receiver.membership.view().members_by_instance
        self.assertEqual({"perth-1", "perth-2"}, set(members))
        self.assertEqual(MemberStatus.ALIVE, members["perth-2"].status)

    def test_without_the_replay_guard_an_old_message_is_accepted(self):
        self.patch(ReplayGuard, "check", lambda *args: None)
        receiver = Receiver(self)
        run_session(receiver)
        self.assertNotIn("PEER_REPLAY", receiver.refusals_by_code())

    def test_without_the_signature_a_forged_leave_is_accepted(self):
        self.patch(peer.hmac, "compare_digest", lambda one, other: True)
        receiver = Receiver(self)
        run_session(receiver)
        members = receiver.membership.view().members_by_instance
        self.assertEqual(MemberStatus.LEAVING, members["perth-2"].status)
