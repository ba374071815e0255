from __future__ import annotations

import random
from unittest import mock

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.coordination import share_plan
from almondspool.coordination.holder_ranking import HolderRanking
from almondspool.coordination.share_actions import (
    CloseAll,
    OpenUpTo,
    ReadBucket,
    WriteBucket,
)
from almondspool.coordination.share_bucket import ShareBucket
from almondspool.coordination.share_policy import ShareSettings
from almondspool.coordination.shares import Shares
from almondspool.errors import PlatformError
from almondspool.protocol.shares import bucket_of, decode_bucket, encode_bucket
from almondspool.state.document import Upstream
from almondspool.state.members import Member, MemberStatus, View
from almondspool.state.shares import Share, UpstreamShares

ZONES = ("perth-north", "perth-south", "perth-hills")
SETTINGS = ShareSettings(settle_s=1.0, release_grace_s=2.0, release_after_s=20.0)
STEPS = ("tick", "tick", "tick", "lose", "late", "fail", "freeze", "resume")
STEPS += ("kill", "restart", "unlist", "suspect", "hear", "close", "spread", "shrink")


def make_upstream(limit: int, name: str = "desk-1") -> Upstream:
    return Upstream(name, "10.1.0.1:80", ZONES[0], 2, limit)


class Process:
    """One instance that opens all it may and closes only when told to."""

    def __init__(self, fleet, index: int, session: int):
        self.name = f"perth-{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.session = session
        self.shares = Shares(self.name, session, SETTINGS, random.Random(index))
        self.shares.set_upstreams({u.upstream_id: u for u in fleet.upstreams})
        self.open = {}
        self.frozen = False
        self.dead = False
        self.waiting = []
        self.beliefs = {}


class Fleet:
    """Instances, the platform's buckets and what may go wrong between them."""

    def __init__(self, count: int, limits):
        self.upstreams = [
            make_upstream(limit, f"desk-{n}") for n, limit in enumerate(limits)
        ]
        self.limit_by_id = {u.upstream_id: u.max_connections for u in self.upstreams}
        self.now = 0.0
        self.version = 0
        self.objects = {}
        self.delayed = []
        self.session = 1
        self.processes = [Process(self, index, 1) for index in range(count)]
        self.ghosts = []
        self.listed = {process.name for process in self.processes}

    def view_of(self, process) -> View:
        members = {}
        for other in self.processes:
            status = MemberStatus(process.beliefs.get(other.name, 0))
            if other is process:
                status = MemberStatus.ALIVE
            members[other.name] = Member(
                other.name, 1, other.zone, "", "", status, session=other.session
            )
        return View(members)

    def run(self, step: str, index: int):
        process = self.processes[index % len(self.processes)]
        getattr(self, step)(process)
        self.check()

    def tick(self, process, outcome: str = "done"):
        self.now += 0.5
        if process.frozen or process.dead:
            return
        for upstream_id in process.shares.closing():
            count = process.open.get(upstream_id, 0)
            process.shares.connections_open(upstream_id, count)
        process.shares.set_view(self.view_of(process), frozenset(self.listed), True)
        self.act(process, process.shares.tick(self.now, int(self.now * 1000)), outcome)

    def lose(self, process):
        self.tick(process, "lost reply")

    def late(self, process):
        self.tick(process, "late")

    def fail(self, process):
        self.tick(process, "failed")

    def freeze(self, process):
        process.frozen = True

    def resume(self, process):
        if process.frozen and not process.dead:
            process.frozen = False
            process.open = {}
            self.session += 1
            process.shares.rejoin(self.session)
            process.session = self.session

    def kill(self, process):
        process.dead = True

    def restart(self, process):
        if process.dead:
            self.session += 1
            index = self.processes.index(process)
            self.processes[index] = Process(self, index, self.session)
            self.listed.add(process.name)

    def unlist(self, process):
        if process.dead:
            process.open = {}
            self.listed.discard(process.name)

    def suspect(self, process):
        for other in self.processes:
            process.beliefs[other.name] = MemberStatus.DEAD
            break

    def hear(self, process):
        process.beliefs = {
            other.name: MemberStatus.DEAD if other.dead else MemberStatus.ALIVE
            for other in self.processes
        }

    def shrink(self, process):
        last = self.processes[-1].name
        process.beliefs[last] = MemberStatus.DEAD

    def close(self, process):
        if not process.frozen and not process.dead:
            for upstream_id in process.open:
                allowed = process.shares.allowed(upstream_id)
                process.open[upstream_id] = min(process.open[upstream_id], allowed)

    def spread(self, process):
        for write in self.delayed:
            self.put(*write)
        self.delayed = []
        for name, (version, value) in self.objects.items():
            if not process.frozen and not process.dead:
                self.act(process, process.shares.bucket_heard(name, version, value))

    def put(self, name, expected_version, value):
        if self.objects.get(name, (0, b""))[0] != expected_version:
            return False
        self.version += 1
        self.objects[name] = (self.version, value)
        return True

    def act(self, process, actions, outcome="done"):
        for action in actions:
            if isinstance(action, OpenUpTo):
                held = process.open.get(action.upstream_id, 0)
                process.open[action.upstream_id] = max(held, action.connections)
            elif isinstance(action, ReadBucket):
                found = self.objects.get(action.name, (0, b""))
                self.act(process, process.shares.bucket_read(action.name, *found))
            elif isinstance(action, WriteBucket):
                self.write(process, action, outcome)

    def write(self, process, action: WriteBucket, outcome: str):
        shares = process.shares
        if outcome == "late":
            self.delayed.append(action)
        taken = outcome in ("done", "lost reply") and self.put(*action)
        if outcome != "done":
            code = ResultCode.PLATFORM_UNAVAILABLE
            self.act(process, shares.call_failed(action.name, code, self.now))
        elif taken:
            version = self.version
            self.act(process, shares.write_done(action.name, version, action.value))
        else:
            code = ResultCode.PLATFORM_CONFLICT
            self.act(process, shares.call_failed(action.name, code, self.now))

    def check(self):
        for upstream_id, limit in self.limit_by_id.items():
            total = 0
            for process in self.processes:
                may_open = 0 if process.dead else process.shares.allowed(upstream_id)
                total += max(process.open.get(upstream_id, 0), may_open)
            if total > limit:
                raise LimitExceededError(f"{upstream_id}: {total} of {limit}")

    def settle(self, seconds: int = 60):
        for _ in range(seconds):
            for process in self.processes:
                self.hear(process)
                self.tick(process)
                self.close(process)
                self.spread(process)
                self.check()


class LimitExceededError(Exception):
    pass


def run_steps(limits, steps):
    fleet = Fleet(4, limits)
    for step, index in steps:
        fleet.run(step, index)


STEP_LISTS = st.lists(
    st.tuples(st.sampled_from(STEPS), st.integers(0, 3)), min_size=40, max_size=250
)
LIMITS = st.lists(st.sampled_from((1, 2, 3, 5, 25)), min_size=2, max_size=3)


class SharesTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(LIMITS, STEP_LISTS)
    def test_sum_stays_within_limit(self, limits, steps):
        run_steps(limits, steps)

    def test_without_stale_shares_limit_breaks(self):
        def forget(shares, context):
            alive = [
                share
                for share in shares.active
                if not share_plan._is_gone(share, context)
            ]
            return UpstreamShares(tuple(alive), ())

        with mock.patch("almondspool.coordination.shares.tidy", forget):
            self.assertTrue(self.breaks())

    def test_late_release_is_not_taken_back(self):
        self.release_late_and_want_again()

    def test_without_regard_for_late_writes_limit_breaks(self):
        def trusting(self, upstream_id, session):
            return self._held(self.shares_by_upstream_id, upstream_id, session)

        with mock.patch.object(ShareBucket, "own_connections", trusting):
            self.assertRaises(LimitExceededError, self.release_late_and_want_again)

    def release_late_and_want_again(self):
        """A replaced holder's release takes effect after it wants in again."""
        fleet = Fleet(4, (1,))
        fleet.settle(20)
        (name,) = fleet.processes[0].shares.holders("desk-0")
        successor = next(p for p in fleet.processes if p.name == name)
        (holder,) = (p for p in fleet.processes[::3] if p is not successor)
        fleet = Fleet(4, (1,))
        successor, holder = (
            next(p for p in fleet.processes if p.name == other.name)
            for other in (successor, holder)
        )
        holder.beliefs[successor.name] = MemberStatus.DEAD
        for _ in range(8):
            fleet.tick(holder)
        self.assertEqual(1, holder.shares.allowed("desk-0"))
        fleet.hear(holder)
        for _ in range(4):
            fleet.tick(holder)
        fleet.close(holder)
        fleet.late(holder)
        self.assertEqual(1, len(fleet.delayed))
        holder.beliefs[successor.name] = MemberStatus.DEAD
        fleet.now += 10.0
        fleet.fail(holder)
        fleet.spread(successor)
        for _ in range(8):
            fleet.hear(successor)
            fleet.tick(successor)
            fleet.check()

    def breaks(self) -> bool:
        for seed in range(400):
            rng = random.Random(seed)
            steps = [(rng.choice(STEPS), rng.randrange(4)) for _ in range(250)]
            try:
                run_steps((1, 3, 5, 25), steps)
            except LimitExceededError:
                return True
        return False

    def test_single_instance_holds_enough_for_all_slots(self):
        fleet = Fleet(1, (1, 2, 3, 25))
        fleet.settle(10)
        allowed = fleet.processes[0].shares.allowed_by_upstream_id()
        self.assertEqual([1, 2, 2, 12], list(allowed.values()))

    def test_three_instances_split_each_limit(self):
        fleet = Fleet(3, (1, 4, 25))
        fleet.settle(20)
        for upstream, each in zip(fleet.upstreams, ([1], [1, 1], [6, 6]), strict=True):
            key = upstream.upstream_id
            allowed = [process.shares.allowed(key) for process in fleet.processes]
            self.assertEqual(each, [count for count in allowed if count])
            held = [p.name for p in fleet.processes if p.shares.allowed(key)]
            holders = fleet.processes[0].shares.holders(key)
            self.assertEqual(sorted(held), sorted(holders))
            if len(each) == 2:
                zones = {p.zone for p in fleet.processes if p.name in holders}
                self.assertIn(upstream.zone, zones)
                self.assertEqual(2, len(zones))

    def test_dead_holder_is_replaced_and_its_share_ends_by_re_join(self):
        fleet = Fleet(3, (25,))
        fleet.settle(20)
        holder = fleet.processes[0].shares.holders("desk-0")[0]
        dead = next(p for p in fleet.processes if p.name == holder)
        fleet.kill(dead)
        fleet.settle(20)
        shares = self.stored(fleet, "desk-0")
        self.assertEqual([holder], [share.instance for share in shares.stale])
        self.assertEqual([6, 6], [share.connections for share in shares.active])
        fleet.restart(dead)
        fleet.settle(60)
        self.assertEqual((), self.stored(fleet, "desk-0").stale)

    def test_stale_share_ends_once_unlisted_for_long(self):
        fleet = Fleet(3, (1,))
        fleet.settle(20)
        (holder,) = fleet.processes[0].shares.holders("desk-0")
        dead = next(p for p in fleet.processes if p.name == holder)
        fleet.kill(dead)
        fleet.settle(60)
        alive = [p for p in fleet.processes if not p.dead]
        self.assertEqual(0, sum(p.shares.allowed("desk-0") for p in alive))
        fleet.unlist(dead)
        fleet.settle(60)
        self.assertEqual(1, sum(p.shares.allowed("desk-0") for p in alive))

    def test_nothing_moves_while_the_platform_is_down(self):
        fleet = Fleet(3, (25,))
        fleet.settle(20)
        before = [p.shares.allowed("desk-0") for p in fleet.processes]
        fleet.kill(fleet.processes[2])
        for _ in range(60):
            for process in fleet.processes[:2]:
                fleet.hear(process)
                fleet.fail(process)
                fleet.check()
        after = [p.shares.allowed("desk-0") for p in fleet.processes[:2]]
        self.assertEqual(before[:2], after)

    def test_give_back_closes_before_it_writes(self):
        fleet = Fleet(2, (25,))
        fleet.settle(20)
        leaving = fleet.processes[0]
        actions = leaving.shares.give_back()
        self.assertEqual([CloseAll("desk-0")], actions)
        fleet.tick(leaving)
        self.assertFalse(leaving.shares.is_given_back())
        fleet.close(leaving)
        fleet.tick(leaving)
        self.assertTrue(leaving.shares.is_given_back())

    def stored(self, fleet, upstream_id) -> UpstreamShares:
        name = bucket_of(upstream_id)
        return decode_bucket(name, fleet.objects[name][1])[upstream_id]


class BucketFormTests(testtools.TestCase):
    def test_round_trip(self):
        shares = {"desk-1": UpstreamShares((Share("perth-1", 7, 6),))}
        name = bucket_of("desk-1")
        self.assertEqual(shares, decode_bucket(name, encode_bucket(shares)))

    def test_nonsense_is_refused_by_name(self):
        name = bucket_of("desk-1")
        negative = {"desk-1": UpstreamShares((Share("perth-1", 7, -6),))}
        misplaced = {"desk-2": UpstreamShares()}
        self.assertNotEqual(name, bucket_of("desk-2"))
        for value, reason in (
            (b"\xc1", "shares bucket"),
            (encode_bucket(negative), "gives instance perth-1 -6"),
            (encode_bucket(misplaced), "desk-2 is of another bucket"),
        ):
            error = self.assertRaises(PlatformError, decode_bucket, name, value)
            self.assertEqual(ResultCode.PLATFORM_REPLY_INVALID, error.code)
            self.assertIn(reason, str(error))


class HolderRankingTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(st.sets(st.integers(0, 40)), min_size=1, max_size=12))
    def test_changes_lead_to_the_same_ranking_as_a_fresh_start(self, candidate_sets):
        upstreams = {f"desk-{n}": make_upstream(25, f"desk-{n}") for n in range(5)}
        ranking = HolderRanking(3)
        ranking.set_upstreams(upstreams)
        for numbers in candidate_sets:
            candidates = {f"perth-{n}": ZONES[n % 3] for n in numbers}
            ranking.set_candidates(candidates)
            fresh = HolderRanking(3)
            fresh.set_candidates(candidates)
            fresh.set_upstreams(upstreams)
            for key in upstreams:
                self.assertEqual(fresh.pick(key, 3), ranking.pick(key, 3))
