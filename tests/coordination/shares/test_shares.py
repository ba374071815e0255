from __future__ import annotations

import random
from unittest import mock

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.coordination.shares import share_plan, shares as shares_module
from almondspool.coordination.shares.share_actions import CloseConnections
from almondspool.coordination.shares.share_bucket import ShareBucket
from almondspool.coordination.shares.share_plan import ShareContext
from almondspool.coordination.shares.share_policy import SharePolicy, ShareSettings
from almondspool.coordination.shares.shares import Shares
from almondspool.coordination.upstreams import holder_ranking
from almondspool.coordination.upstreams.holder_ranking import HolderRanking
from almondspool.errors import PlatformError
from almondspool.protocol.shares import (
    BUCKET_NAMES,
    bucket_name,
    decode_bucket,
    encode_bucket,
)
from almondspool.state.members import MemberStatus
from almondspool.state.shares import Share, UpstreamShares
from tests.coordination.share_fleet import (
    STEPS,
    ZONES,
    Fleet,
    LimitExceededError,
    make_upstream,
)
from tests.golden_session import verify_session


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

    def test_without_stale_shares_the_limit_is_exceeded(self):
        def without_stale(shares, context):
            alive = [
                share
                for share in shares.active
                if not share_plan._is_holder_gone(share, context)
            ]
            return UpstreamShares(tuple(alive), ())

        with mock.patch(
            "almondspool.coordination.shares.shares.expire_shares", without_stale
        ):
            self.assertTrue(self.exceeds_limit())

    def test_late_release_stays_within_the_limit(self):
        self.delay_release_and_want_again()

    def test_ignoring_late_writes_exceeds_the_limit(self):
        def known_connections(self, upstream_id, session):
            return self._connections_in(
                self.shares_by_upstream_id, upstream_id, session
            )

        with mock.patch.object(ShareBucket, "own_connections", known_connections):
            self.assertRaises(LimitExceededError, self.delay_release_and_want_again)

    def delay_release_and_want_again(self):
        """Delay the release of a replaced holder until it wants the upstream again."""
        fleet = Fleet(4, (1,))
        fleet.settle(20)
        (name,) = fleet.instances[0].shares.holders("desk-0")
        successor = next(
            instance for instance in fleet.instances if instance.name == name
        )
        (holder,) = (
            instance for instance in fleet.instances[::3] if instance is not successor
        )
        fleet = Fleet(4, (1,))
        successor, holder = (
            next(
                instance for instance in fleet.instances if instance.name == other.name
            )
            for other in (successor, holder)
        )
        holder.status_by_name[successor.name] = MemberStatus.DEAD
        for _ in range(8):
            fleet.tick(holder)
        self.assertEqual(1, holder.shares.allowed("desk-0"))
        fleet.update_statuses(holder)
        for _ in range(4):
            fleet.tick(holder)
        fleet.close_surplus(holder)
        fleet.late(holder)
        self.assertEqual(1, len(fleet.delayed_writes))
        holder.status_by_name[successor.name] = MemberStatus.DEAD
        fleet.now += 10.0
        fleet.fail_call(holder)
        fleet.deliver_buckets(successor)
        for _ in range(8):
            fleet.update_statuses(successor)
            fleet.tick(successor)
            fleet.check()

    def exceeds_limit(self) -> bool:
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
        allowed = fleet.instances[0].shares.allowed_by_upstream_id()
        self.assertEqual([1, 2, 2, 12], list(allowed.values()))

    def test_three_instances_split_each_limit(self):
        fleet = Fleet(3, (1, 4, 25))
        fleet.settle(20)
        for upstream, each in zip(fleet.upstreams, ([1], [1, 1], [6, 6]), strict=True):
            key = upstream.upstream_id
            allowed = [instance.shares.allowed(key) for instance in fleet.instances]
            self.assertEqual(each, [count for count in allowed if count])
            held = [
                instance.name
                for instance in fleet.instances
                if instance.shares.allowed(key)
            ]
            holders = fleet.instances[0].shares.holders(key)
            self.assertEqual(sorted(held), sorted(holders))
            if len(each) == 2:
                zones = {
                    instance.zone
                    for instance in fleet.instances
                    if instance.name in holders
                }
                self.assertIn(upstream.zone, zones)
                self.assertEqual(2, len(zones))

    def count_plans(self, fleet, ticks):
        """Return how many upstreams the first instance plans within ``ticks`` ticks."""
        plan = Shares._plan
        planned = []

        def counted(shares, upstream_id, context, now):
            planned.append(upstream_id)
            return plan(shares, upstream_id, context, now)

        with mock.patch.object(Shares, "_plan", counted):
            for _ in range(ticks):
                fleet.tick(fleet.instances[0])
        return len(planned)

    def test_unchanged_shares_are_planned_one_bucket_per_tick(self):
        fleet = Fleet(3, (25,) * 40)
        fleet.settle(60)
        held = len(fleet.instances[0].shares.allowed_by_upstream_id())
        round_ticks = len(BUCKET_NAMES)
        self.assertEqual(held, self.count_plans(fleet, round_ticks))
        fleet.instances[0].status_by_name[fleet.instances[1].name] = MemberStatus.DEAD
        self.assertGreater(self.count_plans(fleet, round_ticks), 2 * held)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(LIMITS, STEP_LISTS)
    def test_sum_stays_within_limit_with_one_bucket_per_tick(self, limits, steps):
        with mock.patch.object(shares_module, "QUIET_TICKS", 1):
            run_steps(limits, steps)

    def test_dead_holder_is_replaced_and_its_share_expires_on_rejoin(self):
        fleet = Fleet(3, (25,))
        fleet.settle(20)
        holder = fleet.instances[0].shares.holders("desk-0")[0]
        dead = next(instance for instance in fleet.instances if instance.name == holder)
        fleet.kill(dead)
        fleet.settle(20)
        shares = self.stored(fleet, "desk-0")
        self.assertEqual([holder], [share.instance for share in shares.stale])
        self.assertEqual([6, 6], [share.connections for share in shares.active])
        fleet.restart(dead)
        fleet.settle(60)
        self.assertEqual((), self.stored(fleet, "desk-0").stale)

    def test_leave_moves_shares_without_loss_of_capacity(self):
        fleet = Fleet(3, (25,))
        fleet.settle(20)
        leaving = fleet.instances[0]
        lines = [self.allowance_line(fleet)]
        for instance in fleet.instances:
            instance.status_by_name[leaving.name] = MemberStatus.LEAVING
        lines.append(f"-- {leaving.name} leaves")
        for _ in range(30):
            for instance in fleet.instances:
                fleet.tick(instance)
                fleet.close_surplus(instance)
                fleet.deliver_buckets(instance)
                fleet.check()
                lines.append(self.allowance_line(fleet))
        changes = [line for n, line in enumerate(lines) if line != lines[n - 1]]
        verify_session("shares_leave", changes)

    def allowance_line(self, fleet) -> str:
        counts = [instance.shares.allowed("desk-0") for instance in fleet.instances]
        self.assertGreaterEqual(sum(counts), 12)
        names = [instance.name for instance in fleet.instances]
        pairs = zip(names, counts, strict=True)
        return ", ".join(f"{name} may open {count}" for name, count in pairs)

    def test_stale_share_expires_once_its_holder_is_unlisted(self):
        fleet = Fleet(3, (1,))
        fleet.settle(20)
        (holder,) = fleet.instances[0].shares.holders("desk-0")
        dead = next(instance for instance in fleet.instances if instance.name == holder)
        fleet.kill(dead)
        fleet.settle(60)
        alive = [instance for instance in fleet.instances if not instance.is_dead]
        self.assertEqual(
            0, sum(instance.shares.allowed("desk-0") for instance in alive)
        )
        fleet.unlist(dead)
        fleet.settle(60)
        self.assertEqual(
            1, sum(instance.shares.allowed("desk-0") for instance in alive)
        )

    def test_shares_stay_while_the_platform_is_down(self):
        fleet = Fleet(3, (25,))
        fleet.settle(20)
        before = [instance.shares.allowed("desk-0") for instance in fleet.instances]
        fleet.kill(fleet.instances[2])
        for _ in range(60):
            for instance in fleet.instances[:2]:
                fleet.update_statuses(instance)
                fleet.fail_call(instance)
                fleet.check()
        after = [instance.shares.allowed("desk-0") for instance in fleet.instances[:2]]
        self.assertEqual(before[:2], after)

    def test_release_closes_connections_before_it_writes(self):
        fleet = Fleet(2, (25,))
        fleet.settle(20)
        leaving = fleet.instances[0]
        actions = leaving.shares.release_all()
        self.assertEqual([CloseConnections("desk-0")], actions)
        fleet.tick(leaving)
        self.assertFalse(leaving.shares.is_released())
        fleet.close_surplus(leaving)
        fleet.tick(leaving)
        self.assertTrue(leaving.shares.is_released())

    def stored(self, fleet, upstream_id) -> UpstreamShares:
        name = bucket_name(upstream_id)
        return decode_bucket(name, fleet.objects[name][1])[upstream_id]


class BucketCodecTests(testtools.TestCase):
    def test_round_trip(self):
        shares = {"desk-1": UpstreamShares((Share("perth-1", 7, 6),))}
        name = bucket_name("desk-1")
        self.assertEqual(shares, decode_bucket(name, encode_bucket(shares)))

    def test_invalid_buckets_are_rejected_with_the_reason(self):
        name = bucket_name("desk-1")
        negative = {"desk-1": UpstreamShares((Share("perth-1", 7, -6),))}
        misplaced = {"desk-2": UpstreamShares()}
        self.assertNotEqual(name, bucket_name("desk-2"))
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
    def test_incremental_ranking_equals_a_fresh_one(self, candidate_sets):
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

    def test_long_ranking_is_split_into_batches(self):
        self.patch(holder_ranking, "PAIRS_PER_BATCH", 100)
        upstreams = {f"desk-{n}": make_upstream(25, f"desk-{n}") for n in range(30)}
        candidates = {f"perth-{n}": ZONES[n % 3] for n in range(20)}
        ranking = HolderRanking(3)
        ranking.set_candidates(candidates)
        ranking.set_upstreams(upstreams)
        self.assertEqual(25, self.pending(ranking, upstreams))
        gone = [f"perth-{n}" for n in range(10)]
        for name in gone:
            del candidates[name]
        candidates |= {f"hills-{n}": ZONES[n % 3] for n in range(10)}
        ranking.set_candidates(candidates)
        picked = {name for key in upstreams for name in ranking.pick(key, 3)}
        self.assertEqual(set(), picked.intersection(gone))
        batches = 0
        while ranking.has_pending():
            before = self.pending(ranking, upstreams)
            ranking.rank_batch()
            self.assertTrue(before - self.pending(ranking, upstreams) <= 5)
            batches += 1
        self.assertEqual(5, batches)
        fresh = HolderRanking(3)
        self.patch(holder_ranking, "PAIRS_PER_BATCH", 10_000)
        fresh.set_candidates(candidates)
        fresh.set_upstreams(upstreams)
        for key in upstreams:
            self.assertEqual(fresh.pick(key, 3), ranking.pick(key, 3))

    def test_shares_stay_until_their_upstream_is_ranked(self):
        self.patch(holder_ranking, "PAIRS_PER_BATCH", 1)
        upstreams = {f"desk-{n}": make_upstream(25, f"desk-{n}") for n in range(3)}
        policy = SharePolicy("perth-1", ShareSettings())
        policy.set_candidates({f"perth-{n}": ZONES[n % 3] for n in range(3)})
        policy.set_upstreams(upstreams)
        context = ShareContext("perth-1", 1, {}, frozenset(), 0, 600_000)
        crowded = UpstreamShares((Share("perth-1", 1, 13), Share("perth-9", 1, 12)))

        def desired(now):
            return policy.desired_connections("desk-2", crowded, context, now)

        self.assertTrue(policy.is_ranking())
        self.assertEqual([13, 13], [desired(100.0), desired(200.0)])
        while policy.is_ranking():
            policy.rank_batch()
        self.assertTrue(min(desired(300.0), desired(400.0)) < 13)

    def pending(self, ranking, upstreams):
        return sum(ranking.is_pending(key) for key in upstreams)
