"""Plays of overload; they check what callers get."""

from __future__ import annotations

import statistics
from unittest import mock

import testtools
from testtools.matchers import GreaterThan, LessThan

from almondspool.protocol.exchange import ReportedLoad
from almondspool.routing import fan_out, router, timed_request
from almondspool.routing.replica_health import ReplicaHealth
from bench.overload import (
    play_limited,
    play_lost_shard,
    play_overload,
    play_slow_and_leaving,
    summarize,
)
from bench.simulated_callers import Play


class SteadyOverloadTests(testtools.TestCase):
    """What callers get while more is asked than the slots can run."""

    SEEDS = (1, 2, 3)

    def play(self, load):
        return [play_overload(load, seed) for seed in self.SEEDS]

    def check(self, load):
        outcomes = self.play(load)
        goodput_share = statistics.mean(item.goodput_share for item in outcomes)
        late_share = statistics.mean(item.late_share for item in outcomes)
        self.assertThat(goodput_share, GreaterThan(0.9))
        self.assertThat(late_share, LessThan(0.05))
        for outcome in outcomes:
            self.assertEqual(0.0, outcome.during.failed)
            # Callers who come two seconds after the overload are served as before it.
            self.assertThat(outcome.after.credit, GreaterThan(0.95))

    def test_at_1_2_times_the_capacity(self):
        self.check(1.2)

    def test_at_1_5_times_the_capacity(self):
        self.check(1.5)

    def test_at_twice_the_capacity(self):
        self.check(2.0)

    def test_at_three_times_the_capacity(self):
        self.check(3.0)


class UnneededLegsTests(testtools.TestCase):
    """Legs whose result is no longer needed are cancelled at busy replicas."""

    def without_cancellation(self):
        return mock.patch.object(timed_request, "should_cancel", lambda *_: False)

    def test_more_callers_are_served_in_time_under_overload(self):
        for load in (1.2, 2.0):
            cancelling = play_overload(load, duration_s=2.0)
            with self.without_cancellation():
                waiting = play_overload(load, duration_s=2.0)
            self.assertThat(
                cancelling.goodput_share, GreaterThan(1.1 * waiting.goodput_share)
            )
            self.assertThat(
                cancelling.during.credit, GreaterThan(1.1 * waiting.during.credit)
            )

    def test_more_callers_are_served_while_searchers_are_slow_and_leave(self):
        cancelling = sum(play_slow_and_leaving(seed)[0].in_time for seed in range(1, 4))
        with self.without_cancellation():
            waiting = sum(
                play_slow_and_leaving(seed)[0].in_time for seed in range(1, 4)
            )
        self.assertThat(cancelling, GreaterThan(waiting))


class LostShardTests(testtools.TestCase):
    """A shard whose replicas are all unreachable does not count as free of a queue.

    With it missing, the searches need a shard whose only replica is slow. They are
    refused at once instead of failing once that replica has rejected them.
    """

    SEEDS = (1, 2, 3)

    def play(self):
        return [play_lost_shard(seed) for seed in self.SEEDS]

    def test_callers_are_refused_instead_of_failing_late(self):
        outcomes = self.play()
        with mock.patch.object(fan_out, "_reachable_rounds", _chosen_rounds):
            counting_lost = self.play()
        self.assertThat(
            sum(item.failed for item in outcomes),
            LessThan(0.25 * sum(item.failed for item in counting_lost)),
        )
        self.assertThat(
            sum(item.in_time for item in outcomes),
            GreaterThan(0.9 * sum(item.in_time for item in counting_lost)),
        )


def _chosen_rounds(choices):
    return [choice.queue_rounds for choice in choices if choice.replica is not None]


class UnknownConfigurationTests(testtools.TestCase):
    """All instances restart while the store, which has the configuration, is away."""

    RATE_PER_S = 97.0
    SEEDS = (1, 2, 3)

    def play_outage(self, seed, outage_s):
        """Return what the callers of an outage got."""
        play = Play(seed=seed, is_configured=False)
        play.run(self.RATE_PER_S, outage_s)
        play.configure()
        ended_at = play.timers.now()
        play.run(self.RATE_PER_S, 2.0)
        play.finish()
        return summarize(
            [result for result in play.results if result.started_at < ended_at]
        )

    def served_share(self, outage_s):
        outcomes = [self.play_outage(seed, outage_s) for seed in self.SEEDS]
        return statistics.mean(1.0 - item.refused for item in outcomes)

    def test_callers_return_later_the_longer_the_outage_has_lasted(self):
        for outage_s, gain in ((0.3, 0.9), (2.5, 1.3)):
            served_share = self.served_share(outage_s)
            with mock.patch.object(
                router.Router,
                "_configuration_wait_s",
                lambda self: self._context.retry_after_s(),
            ):
                served_share_before = self.served_share(outage_s)
            self.assertThat(served_share, GreaterThan(gain * served_share_before))


class LegsSinceReportTests(testtools.TestCase):
    """Legs sent after a load report count as outstanding, although it lacks them."""

    def test_legs_are_added_to_the_report_until_the_next_one(self):
        health = ReplicaHealth(0.0)
        for _ in range(4):
            health.record_sent()
        health.in_flight -= 1
        health.record_load(0.0, ReportedLoad(2, 3, 2))
        self.assertEqual(4, health.outstanding(0.0))
        health.record_sent()
        self.assertEqual(5, health.outstanding(0.0))
        health.record_load(0.1, ReportedLoad(1, 0, 2))
        # Its own legs in flight exceed what the replica reported.
        self.assertEqual(4, health.outstanding(0.1))

    def play(self):
        """Return goodput and late shares, summed over heavy overloads and seeds."""
        outcomes = [
            play_overload(load, seed, duration_s=2.0)
            for load in (2.0, 3.0)
            for seed in (1, 2)
        ]
        return (
            sum(outcome.goodput_share for outcome in outcomes),
            sum(outcome.late_share for outcome in outcomes),
        )

    def test_fewer_searches_are_late_and_more_in_time_under_overload(self):
        goodput, late = self.play()
        with mock.patch.object(ReplicaHealth, "record_sent", _record_sent_in_flight):
            ignoring_goodput, ignoring_late = self.play()
        self.assertThat(late, LessThan(0.5 * ignoring_late))
        self.assertThat(goodput, GreaterThan(1.05 * ignoring_goodput))


def _record_sent_in_flight(health):
    health.in_flight += 1


class LimitedSearchersTests(testtools.TestCase):
    """Searchers of three of ten shards limit the requests of all instances together."""

    def play(self, limited_per_shard, rate_limit):
        return [play_limited(limited_per_shard, rate_limit, seed) for seed in (1, 2, 3)]

    def test_callers_are_served_by_the_replicas_that_have_room(self):
        for outcome in self.play(1, 8.0):
            self.assertEqual(0.0, outcome.excess)
            self.assertThat(outcome.callers.credit, GreaterThan(0.9))
            self.assertEqual(0.0, outcome.callers.refused)

    def test_callers_are_not_held_where_every_replica_is_limited(self):
        for outcome in self.play(3, 11.0):
            self.assertEqual(0.0, outcome.excess)
            self.assertThat(outcome.callers.late, LessThan(0.05))
            self.assertThat(outcome.callers.failed, LessThan(0.02))
            self.assertThat(outcome.used_share, GreaterThan(0.5))
