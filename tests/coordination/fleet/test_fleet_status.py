from __future__ import annotations

import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.admission.backlog import QueueStats
from almondspool.coordination.fleet.fleet_rows import (
    ROW_RETENTION_MS,
    FleetRows,
    report_interval_s,
    summarize_queues,
)
from almondspool.coordination.fleet.fleet_task import FleetDependencies, make_fleet_task
from almondspool.coordination.membership.duty_lease import (
    DutyLease,
    ReadObject,
    WriteObject,
)
from almondspool.errors import PeerError, PlatformError
from almondspool.logs import EventLog
from almondspool.protocol.fleet import (
    MAX_QUEUES_PER_SUMMARY,
    FleetRow,
    InstanceSummary,
    Lease,
    QueueSummary,
    decode_fleet,
)
from almondspool.protocol.peer import PeerCodec, StatusReport
from almondspool.state.members import Member, MemberStatus, View
from almondspool.transport.timers import VirtualTimers
from tests.coordination.fake_platform import DOWN, LOST_REPLY, FakePlatform
from tests.golden_session import verify_session

INTERVAL_S = 10.0
LEASE_MS = 30_000
FLEET = ("fleet", "status")


def summary_of(instance, generation=1, incarnation=1):
    return InstanceSummary(
        instance, incarnation, "perth-north", generation, 0.0, True, False, ()
    )


class Session:
    """Fleet tasks that share a platform; each instance has its own view."""

    def __init__(self, names=("i-1", "i-2", "i-3")):
        self.platform = FakePlatform()
        self.timers = VirtualTimers()
        self.lines = []
        self.generation = 1
        self.live_names_by_instance = {name: set(names) for name in names}
        self.tasks_by_instance = {name: self.make_task(name) for name in names}

    def make_task(self, name):
        dependencies = FleetDependencies(
            self.platform,
            self.timers,
            EventLog(lambda line: self.write(name, line)),
            lambda other, message: self.send(name, other, message),
            lambda: self.view(name),
            lambda: True,
            lambda other, incarnation: self.view(name).is_live(other, incarnation),
            lambda: summary_of(name, self.generation),
        )
        return make_fleet_task(name, 1, dependencies, INTERVAL_S)

    def write(self, name, line):
        self.lines.append(f"{self.timers.now():7.1f}s instance={name} {line}")

    def send(self, name, other, message):
        self.write(name, f"event=peer.sent to={other} type={type(message).__name__}")
        self.tasks_by_instance[other].on_report(name, message.summary)
        return True

    def view(self, name):
        live_names = self.live_names_by_instance[name]
        return View(
            {
                other: Member(
                    other, 1, "perth-north", "", "", _status(other in live_names)
                )
                for other in self.tasks_by_instance
            }
        )

    def run(self, duration_s, names=None):
        for _ in range(int(duration_s)):
            for name in names or self.tasks_by_instance:
                self.tasks_by_instance[name].tick()
            self.timers.advance(1.0)

    def stored(self):
        return decode_fleet(self.platform.objects[FLEET].value)

    def holder(self):
        return self.stored().lease.holder

    def mark_dead(self, dead_instance, *names):
        """Mark an instance dead in the views of others."""
        for name in names:
            self.live_names_by_instance[name] -= {dead_instance}


def _status(is_present):
    return MemberStatus.ALIVE if is_present else MemberStatus.DEAD


def pause_holder_in_its_write(session):
    """Pause the holder before its write while a successor writes."""
    holder = session.holder()
    others = [name for name in session.tasks_by_instance if name != holder]

    def paused():
        session.write(holder, "event=test.paused")
        session.mark_dead(holder, *others)
        session.generation = 2
        session.run(40, others)
        session.write(holder, "event=test.resumed")

    session.platform.before_put = paused
    session.run(INTERVAL_S, [holder])
    return holder


class FleetStatusScenarioTests(testtools.TestCase):
    def test_paused_holder_does_not_overwrite_its_successor(self):
        session = Session()
        session.run(12)
        old_holder = pause_holder_in_its_write(session)
        successor = session.holder()
        self.assertNotEqual(old_holder, successor)
        session.run(40)
        self.assertEqual((successor, 2), session.stored().lease[:3:2])
        verify_session("fleet_two_holders", session.lines)

    def test_without_fencing_the_paused_holder_overwrites(self):
        session = Session()
        session.run(12)
        session.platform.is_conditional = False
        old_holder = pause_holder_in_its_write(session)
        self.assertEqual((old_holder, 1), session.stored().lease[:3:2])

    def test_successor_keeps_the_rows_of_the_previous_holder(self):
        session = Session()
        session.run(12)
        holder = session.holder()
        others = [name for name in session.tasks_by_instance if name != holder]
        session.mark_dead(holder, *others)
        session.run(5, others)
        self.assertNotEqual(holder, session.holder())
        rows = session.stored().rows_by_instance
        self.assertEqual(set(session.tasks_by_instance), set(rows))

    def test_writes_do_not_grow_with_the_fleet(self):
        counts = []
        for size in (3, 9):
            session = Session([f"i-{number}" for number in range(size)])
            session.run(60)
            counts.append(len(session.platform.calls))
        self.assertEqual([7, 7], counts)

    def test_holder_recovers_after_outage_and_lost_reply(self):
        session = Session()
        session.run(12)
        session.platform.faults = [DOWN, DOWN, DOWN, None, LOST_REPLY]
        session.run(60)
        self.assertEqual(1, session.stored().lease.epoch)
        age_ms = int(session.timers.wall_time() * 1000) - session.stored().written_at_ms
        self.assertTrue(age_ms <= INTERVAL_S * 1000)

    def test_hand_edited_status_is_replaced(self):
        session = Session()
        session.platform.put(*FLEET, b"nonsense", 0)
        session.run(2)
        self.assertEqual(1, session.stored().lease.epoch)

    def test_missing_status_is_reported_as_not_found(self):
        task = Session().tasks_by_instance["i-1"]
        error = self.assertRaises(PlatformError, task.read)
        self.assertEqual(ResultCode.PLATFORM_NOT_FOUND, error.code)


class DutyLeaseTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.dead = set()
        self.lease = DutyLease("i-1", 5, lambda name, _: name not in self.dead)

    def next_step(self, now_ms=0):
        return self.lease.next_step(now_ms, LEASE_MS)

    def test_object_is_read_before_it_is_written(self):
        self.assertEqual(ReadObject(), self.next_step())

    def test_valid_lease_of_another_is_respected(self):
        self.lease.on_read(Lease("i-2", 1, 4, 20_000), 7)
        self.assertIsNone(self.next_step(19_999))

    def test_expired_lease_is_taken_over(self):
        self.lease.on_read(Lease("i-2", 1, 4, 20_000), 7)
        taken = WriteObject(Lease("i-1", 5, 5, 50_000), 7, True)
        self.assertEqual(taken, self.next_step(20_000))

    def test_lease_of_a_dead_holder_is_taken_over_at_once(self):
        self.dead.add("i-2")
        self.lease.on_read(Lease("i-2", 1, 4, 20_000), 7)
        self.assertEqual(5, self.next_step().lease.epoch)

    def test_own_lease_is_renewed_in_its_epoch(self):
        self.lease.on_read(None, 0)
        self.assertEqual(1, self.next_step().lease.epoch)
        self.lease.on_written(8)
        renewed = self.next_step(10_000)
        self.assertEqual((1, 40_000), renewed.lease[2:])
        self.assertEqual((8, False), renewed[1:])

    def test_lease_of_an_earlier_incarnation_is_not_the_own(self):
        self.lease.on_read(Lease("i-1", 4, 4, 20_000), 7)
        self.dead.add("i-1")
        self.assertTrue(self.next_step().is_taking_over)

    def test_failed_write_is_read_back(self):
        self.lease.on_read(None, 0)
        self.next_step()
        self.lease.on_failed()
        self.assertEqual(ReadObject(), self.next_step())


class FleetRowsTests(testtools.TestCase):
    def test_old_report_never_replaces_a_newer_one(self):
        rows = FleetRows()
        rows.record(2000, summary_of("i-1", generation=2))
        rows.merge([FleetRow(summary_of("i-1"), 1000)])
        rows.merge([FleetRow(summary_of("i-2", incarnation=2), 1000)])
        rows.record(3000, summary_of("i-2", incarnation=1))
        found = rows.rows_by_instance(3000)
        self.assertEqual(2, found["i-1"].summary.generation)
        self.assertEqual(2, found["i-2"].summary.incarnation)

    def test_old_rows_are_dropped(self):
        rows = FleetRows()
        rows.record(0, summary_of("i-1"))
        rows.record(1, summary_of("i-2"))
        self.assertEqual(["i-2"], list(rows.rows_by_instance(ROW_RETENTION_MS + 1)))

    def test_report_rate_is_bounded(self):
        self.assertEqual(10.0, report_interval_s(10.0, 9))
        self.assertEqual(110.0, report_interval_s(10.0, 440))

    def test_warnings_come_first_and_queues_are_bounded(self):
        queues = [
            QueueStats("t", f"s-{n}", n, 9, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, n == 0)
            for n in range(MAX_QUEUES_PER_SUMMARY + 5)
        ]
        chosen = summarize_queues(queues)
        self.assertEqual(MAX_QUEUES_PER_SUMMARY, len(chosen))
        self.assertEqual(
            ["s-0", f"s-{MAX_QUEUES_PER_SUMMARY + 4}"],
            [queue.service for queue in chosen[:2]],
        )

    def test_report_over_its_bounds_is_malformed(self):
        codec = PeerCodec("a-key-of-the-test-suite")
        queue = QueueSummary("t", "s", 1, 0.0, 0.0, 0.0, 0.0, False)
        for summary in (
            summary_of("x" * 129),
            summary_of("i-1")._replace(queues=(queue,) * (MAX_QUEUES_PER_SUMMARY + 1)),
        ):
            data = codec.encode("i-1", 1, 1, (StatusReport(summary),))
            error = self.assertRaises(PeerError, codec.decode, data)
            self.assertEqual(ResultCode.PEER_MALFORMED, error.code)
