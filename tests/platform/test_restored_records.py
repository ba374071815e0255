from __future__ import annotations

import prometheus_client
import testtools

from almondspool.coordination.membership.member_actions import WriteRecord
from almondspool.coordination.membership.member_records import MemberRecords
from almondspool.logs import EventLog
from almondspool.platform.object_store_platform import ObjectStorePlatform
from almondspool.standins.hosted_store import HostedStore
from almondspool.state.members import Member
from almondspool.transport.timers import VirtualTimers
from tests.platform.virtual_store import VirtualStoreClient, send_command


class OwnMembership:
    """Membership of an instance whose records are written."""

    def __init__(self):
        self.own = Member("a-1", 5, "north", "10.0.0.1:1", "10.0.0.1:2")

    def on_record_lost(self, now):
        return []


class RestoredRecordTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        timers = VirtualTimers()
        self.store = HostedStore(timers)
        self.client = VirtualStoreClient(self.store, timers)
        self.platform = ObjectStorePlatform(self.client)
        self.log_lines = []

    def test_record_that_a_restored_store_has_lost_is_written_again(self):
        membership = OwnMembership()
        records = MemberRecords(
            membership,
            self.platform,
            EventLog(self.log_lines.append),
            prometheus_client.CollectorRegistry(),
        )
        send_command(self.store, copy=True)
        records.execute(WriteRecord(membership.own))
        send_command(self.store, restore=True)
        for _ in range(2):
            records.execute(WriteRecord(membership.own))
        found = self.platform.get("member", "a-1")
        self.assertEqual("a-1", found.unwrap().name)

    def test_version_of_a_lost_history_deletes_no_object_of_the_new_one(self):
        send_command(self.store, copy=True)
        lost = self.platform.put("member", "a-1", b"former", 0).unwrap()
        send_command(self.store, restore=True)
        written = self.platform.put("member", "a-1", b"current", 0).unwrap()
        self.assertNotEqual(lost.version, written.version)
        self.platform.delete("member", "a-1", lost.version)
        self.platform.put("member", "a-1", b"overwritten", lost.version)
        found = self.platform.get("member", "a-1").unwrap()
        self.assertEqual(b"current", found.value)
