from __future__ import annotations

import socket

import eventlet
import msgspec
import prometheus_client
import testtools

from almondspool.coordination.membership.member_actions import MemberChanged
from almondspool.coordination.membership.membership_task import (
    OwnRecordUpdate,
    make_membership_task,
)
from almondspool.events import MEMBER_REJOINED, EventBus
from almondspool.logs import EventLog
from almondspool.settings import Settings
from almondspool.state.members import Member, MemberStatus
from almondspool.transport.timers import VirtualTimers
from tests.coordination.fake_platform import DOWN, FakePlatform

MAX_WAIT_ROUNDS = 600
MEMBER_KIND = "member"


def free_address() -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class MembershipTaskTests(testtools.TestCase):
    """Tasks on loopback sockets; only the test advances the time."""

    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.platform = FakePlatform()
        self.lines = []
        self.events_by_name = {}

    def make(self, name: str, seeds=(), incarnation: int = 5):
        settings = Settings(
            instance=name,
            zone="perth-north",
            caller_address="127.0.0.1:1",
            peer_address=free_address(),
            platform_address="127.0.0.1:1",
            peer_key="a key of the tests only",
            seed_peers=list(seeds),
        )
        self.events_by_name[name] = EventBus()
        task = make_membership_task(
            settings,
            incarnation,
            self.platform,
            self.timers,
            self.events_by_name[name],
            EventLog(self.lines.append),
            prometheus_client.CollectorRegistry(),
        )
        task.start(settings.heartbeat_interval_s)
        self.addCleanup(task.stop)
        return task

    def wait_for(self, condition):
        for _ in range(MAX_WAIT_ROUNDS):
            if condition():
                return
            self.timers.advance(0.1)
            eventlet.sleep(0.002)
        self.fail("the condition did not come true")

    def status(self, task, name: str) -> MemberStatus | None:
        member = task.view().members_by_instance.get(name)
        return member.status if member else None

    def make_pair(self):
        tasks = self.make("perth-1"), self.make("perth-2")
        self.wait_for(lambda: all(task.may_act() for task in tasks))
        self.wait_for(lambda: all(len(task.view().serving()) == 2 for task in tasks))
        return tasks

    def test_two_instances_find_each_other_through_the_platform(self):
        one, other = self.make_pair()
        self.assertEqual(
            {(MEMBER_KIND, "perth-1"), (MEMBER_KIND, "perth-2")},
            set(self.platform.objects),
        )
        other.update_own_record(OwnRecordUpdate(3, 0.5, 7))
        self.wait_for(lambda: one.view().members_by_instance["perth-2"].generation == 3)
        self.assertEqual(0.5, one.view().members_by_instance["perth-2"].load)

    def test_seeds_suffice_when_the_platform_is_down(self):
        self.platform.faults = [DOWN] * 1000
        self.platform.list = lambda kind: self.platform.get(kind, "")
        one = self.make("perth-1")
        other = self.make("perth-2", seeds=[one.own().peer_address])
        self.wait_for(lambda: one.may_act() and other.may_act())

    def test_leaving_is_announced_to_peers_and_platform(self):
        one, other = self.make_pair()
        changes = []
        one.on_view_changed(changes.append)
        other.announce_leaving()
        self.wait_for(lambda: self.status(one, "perth-2") == MemberStatus.LEAVING)
        self.assertTrue(any(isinstance(item, MemberChanged) for item in changes))

        def stored() -> MemberStatus:
            value = self.platform.objects[MEMBER_KIND, "perth-2"].value
            return msgspec.msgpack.decode(value, type=Member).status

        self.wait_for(lambda: stored() == MemberStatus.LEAVING)

    def test_rejoin_event_precedes_the_announced_session(self):
        one, other = self.make_pair()
        session = other.own().session
        seen = []

        def close_slowly(rejoin):
            eventlet.sleep(0.05)
            seen.append(one.view().members_by_instance["perth-2"].session)

        self.events_by_name["perth-2"].subscribe(MEMBER_REJOINED, close_slowly)
        self.timers._now += 30.0
        self.assertFalse(other.may_act())
        self.wait_for(lambda: bool(seen) and other.may_act())
        self.assertEqual([session], seen)
        self.wait_for(
            lambda: one.view().members_by_instance["perth-2"].session > session
        )

    def test_invalid_records_are_refused_and_logged_by_name(self):
        self.platform.put(MEMBER_KIND, "perth-8", b"\xc1 nonsense", 0)
        invalid = Member("perth-9", 2**60, "zone", "127.0.0.1:1", "host.example:1")
        self.platform.put(MEMBER_KIND, "perth-9", msgspec.msgpack.encode(invalid), 0)
        task = self.make("perth-1")
        self.wait_for(task.may_act)
        refused = [line for line in self.lines if "member.record_refused" in line]
        self.assertIn("name=perth-8", refused[0])
        self.assertIn("name=perth-9", refused[1])
        self.assertIn("has incarnation 1152921504606846976", refused[1])
        self.assertEqual(["perth-1"], list(task.view().members_by_instance))

    def test_session_exceeds_that_of_an_earlier_process(self):
        earlier = Member(
            "perth-1", 90, "perth-north", "127.0.0.1:1", "127.0.0.1:2", session=90
        )
        self.platform.put(MEMBER_KIND, "perth-1", msgspec.msgpack.encode(earlier), 0)
        task = self.make("perth-1", incarnation=5)
        self.wait_for(lambda: task.own().session > 90 and task.may_act())

    def test_restart_with_a_clock_behind_while_the_platform_is_down(self):
        one, other = self.make_pair()
        other.stop()
        self.platform.faults = [DOWN] * 1000
        self.platform.list = lambda kind: self.platform.get(kind, "")
        restarted = self.make("perth-2", seeds=[one.own().peer_address], incarnation=1)
        self.wait_for(lambda: restarted.own().session > 5 and restarted.may_act())
        self.wait_for(lambda: self.status(one, "perth-2") == MemberStatus.ALIVE)

    def test_error_in_one_step_does_not_end_the_task(self):
        task = self.make("perth-1")
        self.wait_for(task.may_act)
        task.update_own_record(OwnRecordUpdate(None, 0.5, 0))
        task.update_own_record(OwnRecordUpdate(3, 0.5, 0))
        self.wait_for(lambda: task.own().generation == 3)
