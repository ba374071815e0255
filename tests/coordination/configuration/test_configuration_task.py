from __future__ import annotations

import random

import eventlet
import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.configuration.configuration_task import (
    start_configuration_task,
)
from almondspool.coordination.configuration.manifest_watch import (
    is_watcher,
    poll_factor,
)
from almondspool.coordination.membership.rendezvous import rank, rank_over_zones
from almondspool.logs import EventLog
from almondspool.protocol.peer import FetchObjects
from almondspool.state.members import Member, MemberStatus, View
from almondspool.transport.timers import EventletTimers
from tests.configuration_session import section_text
from tests.fakes import FakePlatform

TIMEOUT_S = 20.0


def make_view(count, generation=0):
    zones = ("perth-north", "perth-south", "perth-hills")
    members = [
        Member(f"perth-{n}", 1, zones[n % 3], "", "", generation=generation)
        for n in range(count)
    ]
    return View({member.instance: member for member in members})


class BlockingWatchPlatform(FakePlatform):
    """Waits briefly in a watch without events, as a real platform does."""

    def watch(self, kind, after_version, wait_s):
        result = super().watch(kind, after_version, wait_s)
        eventlet.sleep(0.01)
        return result


class ConfigurationTaskTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.platform = BlockingWatchPlatform()
        self.lines = []
        self.documents_by_instance = {"perth-0": [], "perth-1": []}
        self.tasks = {}
        self.is_cut = False
        self.view = make_view(2)
        for instance in self.documents_by_instance:
            self.tasks[instance] = self.start(instance)
        for task in self.tasks.values():
            task.post_view_change()

    def start(self, instance, platform=None):
        task = start_configuration_task(
            instance,
            platform or self.platform,
            lambda peer, message: self.send(instance, peer, message),
            EventletTimers(),
            EventLog(self.lines.append),
            random.Random(instance),
            self.documents_by_instance[instance].append,
            lambda: self.view,
            watchers=1,
            poll_s=60.0,
        )
        self.addCleanup(task.stop)
        return task

    def send(self, sender, receiver, message):
        if self.is_cut:
            return
        task = self.tasks[receiver]
        is_fetch = isinstance(message, FetchObjects)
        post = task.post_fetch if is_fetch else task.post_objects
        post(sender, message)

    def wait_for_generation(self, generation):
        with eventlet.Timeout(TIMEOUT_S):
            while any(
                task.document.generation < generation for task in self.tasks.values()
            ):
                eventlet.sleep(0.005)

    def test_accepted_section_runs_everywhere(self):
        text = section_text("alert-desk", 1).encode()
        acceptance = self.tasks["perth-0"].accept("alert-desk", text, "", "t1")
        self.assertEqual(ResultCode.OK, acceptance.code)
        self.wait_for_generation(1)
        for documents in self.documents_by_instance.values():
            self.assertEqual([1], [document.generation for document in documents])
        events = " ".join(self.lines)
        self.assertIn("event=configuration.accepted code=0", events)
        self.assertIn("event=configuration.adopted generation=1", events)

    def test_section_accepted_elsewhere_is_seen_by_the_watch(self):
        text = section_text("alert-desk", 1).encode()
        self.tasks["perth-0"].accept("alert-desk", text, "", "t1")
        self.wait_for_generation(1)
        third = self.start("perth-1")
        self.view = make_view(0)
        third.post_view_change()
        with eventlet.Timeout(TIMEOUT_S):
            while third.document.generation < 1:
                eventlet.sleep(0.005)

    def test_generation_in_heartbeats_makes_up_for_a_lost_push(self):
        view = make_view(2)
        first = rank_over_zones("configuration/watch", view.serving())[0]
        follower = next(name for name in self.tasks if name != first)
        self.tasks[follower].stop()
        self.tasks[follower] = self.start(follower, BlockingWatchPlatform())
        self.is_cut = True
        text = section_text("alert-desk", 1).encode()
        self.tasks[first].accept("alert-desk", text, "", "t1")
        with eventlet.Timeout(TIMEOUT_S):
            while self.tasks[first].document.generation < 1:
                eventlet.sleep(0.005)
        self.is_cut = False
        # No event is posted: each tick reads the view, which has changed.
        self.view = make_view(2, generation=1)
        self.wait_for_generation(1)


class DutyTests(testtools.TestCase):
    def test_removal_moves_only_the_duties_of_the_removed_instance(self):
        names = [f"perth-{n}" for n in range(9)]
        for key in map(str, range(50)):
            before = rank(key, names)
            after = rank(key, [n for n in names if n != before[3]])
            self.assertEqual([n for n in before if n != before[3]], list(after))

    def test_watchers_are_in_different_zones(self):
        view = make_view(9)
        watchers = rank_over_zones("configuration/watch", view.serving())[:3]
        zones = {view.members_by_instance[name].zone for name in watchers}
        self.assertEqual(3, len(zones))
        holders = [n for n in view.members_by_instance if is_watcher(n, view, 3)]
        self.assertEqual(set(watchers), set(holders))

    def test_leaving_instance_is_no_watcher(self):
        view = make_view(3)
        first = rank_over_zones("configuration/watch", view.serving())[0]
        member = view.members_by_instance[first]
        leaving = member._replace(status=MemberStatus.LEAVING)
        view = View({**view.members_by_instance, first: leaving})
        self.assertFalse(is_watcher(first, view, 1))

    def test_polls_of_the_whole_fleet_stop_growing(self):
        rates = [count / poll_factor(count) for count in (3, 9, 27, 440)]
        self.assertEqual([3.0, 9.0, 9.0, 9.0], rates)
