"""Messages that an instance must not believe, told line by line."""

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
REFUSED = "almondspool_heartbeat_refused_total"


class Listener:
    """One instance that is sent datagrams by hand, under virtual time."""

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

    def take(self, title, data):
        """Let time go on, take one datagram and tell what is believed then."""
        self.timers.advance(STEP_S)
        self.membership.tick(self.timers.now())
        self.lines.append(f"-- {title}")
        before = self.refusals_by_code()
        self.socket.take(data, PEER.peer_address, self.receive, self.correct)
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
        self.act(self.membership.receive(*fields, datagram.message, now))

    def correct(self, sender, address):
        self.act(self.membership.on_stale_incarnation(sender, address))

    def act(self, actions):
        for action in actions:
            if isinstance(action, SendDatagram):
                kind = type(action.message).__name__
                echo = getattr(action.message, "echo", 0)
                self.write(f"sends {kind} to {action.address}, echo {echo}")
            elif isinstance(action, MemberChanged):
                member = action.member
                self.write(f"notes {member.instance} {member.status.name}")

    def refusals_by_code(self):
        """Return how many datagrams were refused, by the code's name."""
        return {
            sample.labels["code"]: int(sample.value)
            for metric in self.registry.collect()
            for sample in metric.samples
            if sample.name == REFUSED
        }


def heartbeat(member, deltas=()):
    return Heartbeat(member, deltas, False, 0)


def play(listener):
    """Send genuine messages, and between them all that must be refused."""
    genuine = listener.encode(1, heartbeat(PEER))
    leaving = heartbeat(LEAVING)
    listener.take("a genuine heartbeat", genuine)
    listener.take("the same once more", genuine)
    listener.take(
        "signed with a foreign key", listener.encode(2, leaving, key=FOREIGN_KEY)
    )
    forged = bytearray(listener.encode(2, leaving))
    forged[-1] ^= 1
    listener.take("one bit changed on the way", bytes(forged))
    listener.take("cut off on the way", listener.encode(2, leaving)[:60])
    with mock.patch.object(peer, "PROTOCOL_VERSION", peer.PROTOCOL_VERSION + 1):
        newer = listener.encode(2, leaving)
    listener.take("of another protocol version", newer)
    listener.take("nothing", b"")
    listener.take("larger than any heartbeat", b"\xff" * (MAX_HEARTBEAT_BYTES + 1))
    body = b"\xc1nonsense"
    listener.take("signed nonsense", listener.codec._sign(body) + body)
    listener.take("a message of the channel", listener.encode(3, CancelLegs(("leg",))))
    other = heartbeat(make_member("perth-3", 2))
    listener.take("in the name of another", listener.encode(4, other))
    odd = heartbeat(PEER, (make_member("perth-3", 2)._replace(load=7.0),))
    listener.take("with a record that makes no sense", listener.encode(5, odd))
    earlier = LEAVING._replace(incarnation=4, session=4)
    listener.take(
        "of an earlier incarnation",
        listener.encode(9, heartbeat(earlier), incarnation=4),
    )
    page = ViewReply((OWN._replace(incarnation=99, session=0),), True, 77)
    listener.take(
        "a page unasked, with a higher incarnation of our own", listener.encode(6, page)
    )
    listener.take("the next genuine heartbeat", listener.encode(7, heartbeat(PEER)))


class RefusedMessagesTests(testtools.TestCase):
    def test_nothing_foreign_is_believed(self):
        listener = Listener(self)
        play(listener)
        for code, count in sorted(listener.refusals_by_code().items()):
            listener.lines.append(f"refused as {code}: {count}")
        verify_session("peer_messages_refused", listener.lines)
        believed = listener.membership.view().members_by_instance
        self.assertEqual({"perth-1", "perth-2"}, set(believed))
        self.assertEqual(MemberStatus.ALIVE, believed["perth-2"].status)

    def test_without_the_replay_guard_an_old_message_counts_again(self):
        self.patch(ReplayGuard, "check", lambda *args: None)
        listener = Listener(self)
        play(listener)
        self.assertNotIn("PEER_REPLAY", listener.refusals_by_code())

    def test_without_the_signature_a_forged_leave_is_believed(self):
        self.patch(peer.hmac, "compare_digest", lambda one, other: True)
        listener = Listener(self)
        play(listener)
        believed = listener.membership.view().members_by_instance
        self.assertEqual(MemberStatus.LEAVING, believed["perth-2"].status)
