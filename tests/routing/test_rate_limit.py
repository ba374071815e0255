from __future__ import annotations

import testtools

from almondspool.protocol.exchange import LegOutcome, LegReply, UpstreamHints
from almondspool.routing.quota import ShareAllocation
from almondspool.routing.rate_limit import (
    MAX_ACCRUAL_S,
    MAX_REPORTED_WAIT_S,
    RateLimiter,
    rate_quota,
)
from tests.routing.routing_harness import (
    ZONES,
    RoutingHarness,
    leg_reply,
    make_replicas,
    search_route,
)

REPLICA = make_replicas("shard")[0]


def zones(count):
    return {f"instance-{number}": ZONES[number % 3] for number in range(count)}


class RateQuotaTests(testtools.TestCase):
    def quotas(self, rate_limit, allocation):
        return {
            instance: rate_quota(rate_limit, instance, allocation, REPLICA)
            for instance in allocation.zone_by_instance
        }

    def test_quotas_add_up_to_the_limit_at_most(self):
        for count in (1, 2, 6, 60, 440):
            for rate_limit in (1.0, 7.0, 80.0, 1000.0):
                allocation = ShareAllocation(zones(count))
                total = sum(self.quotas(rate_limit, allocation).values())
                self.assertTrue(total <= rate_limit + 1e-9, (count, rate_limit))
                self.assertTrue(total >= 0.8 * rate_limit - 1e-9, (count, rate_limit))

    def test_instances_of_the_replicas_zone_hold_a_small_limit(self):
        quotas = self.quotas(7.0, ShareAllocation(zones(60)))
        holders = sorted(quotas, key=quotas.get, reverse=True)[:7]
        self.assertEqual({REPLICA.zone}, {zones(60)[name] for name in holders})
        self.assertTrue(min(quotas.values()) > 0.0)

    def test_instances_that_serve_callers_hold_the_limit(self):
        serving = frozenset(f"instance-{number}" for number in range(5))
        quotas = self.quotas(50.0, ShareAllocation(zones(60), serving=serving))
        self.assertEqual([8.0] * 5, [quotas[name] for name in sorted(serving)])

    def test_fleet_that_is_not_known_yet_gets_equal_parts(self):
        quotas = self.quotas(64.0, ShareAllocation(zones(1), 64))
        self.assertAlmostEqual(0.8, quotas["instance-0"])


class RateLimiterTests(testtools.TestCase):
    def limiter(self, quota):
        limiter = RateLimiter(0.0, REPLICA, 10.0)
        limiter.update_quota(lambda *_: quota)
        return limiter

    def test_first_request_waits_for_a_token(self):
        limiter = self.limiter(2.0)
        self.assertEqual(0.5, limiter.wait_s(0.0, True))
        self.assertEqual(0.0, limiter.wait_s(0.5, True))
        limiter.record_sent()
        self.assertEqual(0.5, limiter.wait_s(0.5, True))

    def test_last_tokens_are_reserved_for_urgent_requests(self):
        limiter = self.limiter(2.0)
        self.assertEqual(0.0, limiter.wait_s(0.5, True))
        self.assertEqual(0.25, limiter.wait_s(0.5, False))
        self.assertEqual(0.0, limiter.wait_s(0.75, False))

    def test_idle_instance_saves_no_burst(self):
        limiter = self.limiter(2.0)
        limiter.wait_s(3600.0, True)
        sent = 0
        while limiter.wait_s(3600.0, True) == 0.0:
            limiter.record_sent()
            sent += 1
        self.assertTrue(sent <= 2.0 * MAX_ACCRUAL_S)

    def test_reported_wait_is_bounded(self):
        limiter = self.limiter(0.001)
        self.assertEqual(MAX_REPORTED_WAIT_S, limiter.wait_s(0.0, True))
        self.assertEqual(MAX_REPORTED_WAIT_S, self.limiter(0.0).wait_s(0.0, True))


class LimitedReplicaTests(testtools.TestCase):
    """Searches of one instance that is alone, over shards with limited replicas."""

    def play(self, rate_limit, routes, limited_shards=("shard-0",)):
        harness = RoutingHarness(*routes)

        def reply(replica):
            if replica.service not in limited_shards:
                return 0.005, leg_reply(replica)
            hints = UpstreamHints(kind="limit", rate_limit=rate_limit)
            signature = f"sig-{replica.replica_id}".encode()
            answered = LegOutcome.ANSWERED
            return 0.005, LegReply(answered, 200, (), b"", signature, hints=hints)

        harness.sender.script = reply
        return harness

    def learn(self, harness, **request):
        """Let the instance learn the limit of each replica."""
        for _ in range(3):
            harness.run(0.05, **request)
            harness.selector.refresh_rate_quotas()

    def test_search_is_answered_in_part_while_a_shard_is_at_its_limit(self):
        route = search_route(shards=10, min_coverage=0.8)
        harness = self.play(1.0, [route])
        self.learn(harness)
        answer = harness.run(0.05)
        self.assertEqual(200, answer.status)
        self.assertEqual("1", harness.header(answer, "Missing-Shards"))

    def test_search_below_its_minimum_coverage_is_refused_with_the_time_left(self):
        harness = self.play(1.0, [search_route(shards=1, min_coverage=1.0)])
        self.learn(harness)
        answers = harness.start()
        self.assertEqual(503, answers[0][1].status)
        wait_s = float(harness.header(answers[0][1], "Retry-After"))
        self.assertTrue(0.0 < wait_s <= MAX_REPORTED_WAIT_S)
        harness.timers.advance(wait_s)
        self.assertEqual(200, harness.run(0.05).status)

    def test_urgent_searches_go_first_when_every_replica_is_at_its_limit(self):
        urgent = search_route(shards=1, min_coverage=1.0, priority=0)
        other = urgent._replace(name="other", path_prefix="/other/", priority=1)
        harness = self.play(2.0, [urgent, other])
        self.learn(harness)
        statuses = {"/sweep/1": [], "/other/1": []}
        for _ in range(400):
            for path in ("/other/1", "/sweep/1"):
                answer = harness.run(0.025, path=path)
                statuses[path].append(answer.status)
        served = {path: each.count(200) for path, each in statuses.items()}
        self.assertTrue(served["/sweep/1"] > 5 * served["/other/1"], served)

    def test_malformed_limit_or_failed_leg_does_not_end_a_limit(self):
        harness = self.play(2.0, [search_route(shards=1, min_coverage=1.0)])
        harness.run(0.1)
        replica = harness.sender.sent[0].replica
        now = harness.timers.now()
        health = harness.selector.health(now, replica)
        self.assertIsNotNone(health.rate_limiter)
        malformed = UpstreamHints(kind="limit_malformed", is_rate_limit_malformed=True)
        for reply in (
            LegReply(LegOutcome.ANSWERED, 200, (), b"", b"sig", hints=malformed),
            LegReply(LegOutcome.ANSWERED, 500),
            LegReply(LegOutcome.BROKEN),
            LegReply(LegOutcome.MISDIRECTED, 421, hints=UpstreamHints(rate_limit=9.0)),
        ):
            harness.sender.script = lambda _, reply=reply: (0.005, reply)
            harness.timers.advance(2.0)
            harness.run(0.1)
            self.assertEqual(2.0, health.rate_limiter.rate_limit, reply)

    def test_restarted_replica_has_no_limit(self):
        harness = self.play(2.0, [search_route(shards=1, min_coverage=1.0)])
        harness.run(0.1)
        replica = harness.sender.sent[0].replica
        now = harness.timers.now()
        harness.selector.forget(replica.replica_id)
        self.assertIsNone(harness.selector.health(now, replica).rate_limiter)
