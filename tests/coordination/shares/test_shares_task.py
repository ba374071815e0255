from __future__ import annotations

import eventlet
import prometheus_client
import testtools

from almondspool.coordination.shares.share_policy import ShareSettings
from almondspool.coordination.shares.shares_task import (
    SharesDependencies,
    make_shares_task,
)
from almondspool.coordination.upstreams import holder_ranking
from almondspool.logs import EventLog
from almondspool.protocol.peer import CompareObjects, ObjectsReply
from almondspool.protocol.shares import SHARES_KIND, bucket_name
from almondspool.state.document import Upstream
from almondspool.state.members import View
from almondspool.transport.timers import VirtualTimers
from tests.coordination.fake_platform import DOWN, FakePlatform
from tests.coordination.network import ZONES, make_member

UPSTREAM = Upstream("desk-1", "10.1.0.1:80", ZONES[0], 2, 25)


class FixedMembership:
    """Membership with a fixed set of live members."""

    def __init__(self, members, own):
        self._members_by_instance = {member.instance: member for member in members}
        self._own = own

    def view(self):
        return View(self._members_by_instance)

    def own(self):
        return self._own

    def listed_instances(self):
        return frozenset(self._members_by_instance)

    def may_act(self):
        return True


class SharesTaskTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.platform = FakePlatform()
        self.lines = []
        self.grants_by_instance = {}
        self.open_by_instance = {}
        self.tasks_by_instance = {}
        self.is_push_lost = False
        self.pushes = 0

    def drop_push(self) -> bool:
        self.pushes += 1
        return self.is_push_lost and self.pushes <= 6

    def start(self, count: int):
        members = [
            make_member(f"perth-{n + 1}", n)._replace(session=1) for n in range(count)
        ]
        for member in members:
            self.start_one(member, members)

    def start_one(self, member, members):
        name = member.instance

        def set_grants(grants):
            self.grants_by_instance[name] = grants

        def send_peer(instance, message):
            task = self.tasks_by_instance[instance]
            if isinstance(message, CompareObjects):
                task.post_compare(name, message)
            elif isinstance(message, ObjectsReply) and not self.drop_push():
                task.post_objects(name, message)
            return True

        dependencies = SharesDependencies(
            FixedMembership(members, member),
            self.platform,
            self.timers,
            EventLog(self.lines.append),
            set_grants,
            lambda upstream_id: self.open_by_instance.get(name, 0),
            send_peer,
        )
        registry = prometheus_client.CollectorRegistry()
        task = make_shares_task(name, 1, ShareSettings(), dependencies, registry)
        task.set_upstreams({UPSTREAM.upstream_id: UPSTREAM})
        task.start()
        self.addCleanup(task.stop)
        self.tasks_by_instance[name] = task

    def run_for(self, duration_s: float):
        for _ in range(int(duration_s * 2)):
            self.timers.advance(0.5)
            for _ in range(10):
                eventlet.sleep(0)

    def granted(self) -> dict[str, int]:
        return {
            name: grants["desk-1"]
            for name, grants in sorted(self.grants_by_instance.items())
            if grants.get("desk-1")
        }

    def test_holders_are_granted_and_known_to_all(self):
        self.start(3)
        self.run_for(20)
        granted = self.granted()
        self.assertEqual([6, 6], list(granted.values()))
        for task in self.tasks_by_instance.values():
            self.assertEqual(set(granted), set(task.holders("desk-1")))

    def test_ranking_many_upstreams_yields_to_other_threads(self):
        self.patch(holder_ranking, "PAIRS_PER_BATCH", 1)
        self.start(3)
        self.run_for(5)
        task = self.tasks_by_instance["perth-1"]
        upstreams = [UPSTREAM._replace(upstream_id=f"desk-{n}") for n in range(1, 21)]
        task.set_upstreams({each.upstream_id: each for each in upstreams})
        eventlet.sleep(0)
        iterations = 0
        while task._shares.is_ranking():
            iterations += 1
            eventlet.sleep(0)
        self.assertTrue(iterations >= 18, iterations)
        self.run_for(20)
        held = self.grants_by_instance["perth-1"]
        self.assertTrue(len(held) >= 2, held)

    def test_release_waits_for_open_connections(self):
        self.start(1)
        self.run_for(10)
        self.open_by_instance["perth-1"] = 3
        done = []
        task = self.tasks_by_instance["perth-1"]
        eventlet.spawn(lambda: done.append(task.release_all()))
        self.run_for(5)
        self.assertEqual({}, self.granted())
        self.assertEqual([], done)
        self.open_by_instance["perth-1"] = 0
        self.run_for(5)
        self.assertEqual(1, len(done))

    def test_holders_are_received_from_peers_when_the_platform_is_down(self):
        self.start(2)
        self.run_for(10)
        self.platform.faults = [DOWN] * 1000
        self.platform.list = lambda kind: self.platform.get(kind, "")
        late = make_member("perth-3", 2)._replace(session=1)
        members = [make_member(f"perth-{n}", n - 1) for n in (1, 2)]
        members = [member._replace(session=1) for member in members]
        self.start_one(late, [*members, late])
        self.run_for(5)
        task = self.tasks_by_instance["perth-3"]
        self.assertEqual({"perth-1", "perth-2"}, set(task.holders("desk-1")))

    def test_rejoin_waits_until_every_connection_is_closed(self):
        self.start(1)
        self.run_for(10)
        self.open_by_instance["perth-1"] = 2
        done = []
        task = self.tasks_by_instance["perth-1"]
        eventlet.spawn(lambda: done.append(task.rejoin(2)))
        eventlet.sleep(0.1)
        self.assertEqual(({}, []), (self.granted(), done))
        self.open_by_instance["perth-1"] = 0
        eventlet.sleep(0.1)
        self.assertEqual(1, len(done))

    def test_bucket_is_received_later_if_its_push_was_lost(self):
        self.is_push_lost = True
        self.start(3)
        self.run_for(60)
        granted = set(self.granted())
        for task in self.tasks_by_instance.values():
            self.assertEqual(granted, set(task.holders("desk-1")))

    def test_undecodable_bucket_in_the_platform_keeps_the_current_state(self):
        self.start(2)
        self.run_for(15)
        before = self.granted()
        name = bucket_name("desk-1")
        version = self.platform.objects[SHARES_KIND, name].version
        self.platform.put(SHARES_KIND, name, b"\xc1 nonsense", version)
        for task in self.tasks_by_instance.values():
            task.rejoin(1)
        self.run_for(20)
        self.assertEqual(before, self.granted())
        refused = [line for line in self.lines if "PLATFORM_REPLY_INVALID" in line]
        self.assertIn(f"bucket={name}", refused[0])
