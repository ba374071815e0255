from __future__ import annotations

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from almondspool.protocol.exchange import ReportedLoad
from almondspool.routing.admission import MIN_QUEUE_ROUNDS, SearchAdmission
from almondspool.routing.context import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from tests.routing.routing_harness import (
    RoutingHarness,
    leg_reply,
    search_route,
)

LONG_QUEUE_REPORT = ReportedLoad(2, 12, 2)
SWEEP_ROUTE = search_route(shards=3)
CHECK_ROUTE = search_route(
    shards=3, name="check", path_prefix="/check/", latency_target_s=0.064, priority=2
)


def make_admission(*routes, round_s=0.010):
    admission = SearchAdmission()
    admission.set_routes(routes)
    for _ in range(20_000):
        admission.record_unqueued_leg(routes[0], round_s)
    return admission


class QueueingUpstreams:
    """Upstreams that run as many legs as they have slots and queue the others."""

    def __init__(self, harness, leg_s):
        self.harness = harness
        self.leg_s = leg_s
        self.ends_by_id = {}

    def __call__(self, replica):
        now = self.harness.timers.now()
        ends = self.ends_by_id.setdefault(replica.replica_id, [])
        ends[:] = [end for end in ends if end > now]
        starts_at = now
        if len(ends) >= replica.slots:
            starts_at = sorted(ends)[-replica.slots]
        ends.append(starts_at + self.leg_s)
        return ends[-1] - now, lambda: self.reply(replica)

    def reply(self, replica):
        """Return a reply with the load at this moment, including its own leg."""
        now = self.harness.timers.now()
        count = sum(end >= now for end in self.ends_by_id[replica.replica_id])
        queued = max(0, count - replica.slots)
        load = ReportedLoad(count - queued, queued, replica.slots)
        return leg_reply(replica, load=load)


class SearchAdmissionTests(testtools.TestCase):
    def test_search_with_a_short_queue_is_admitted(self):
        decision = make_admission(SWEEP_ROUTE, CHECK_ROUTE).decide(
            SWEEP_ROUTE, [0.0, 1.0, 2.0], 3
        )
        self.assertTrue(decision.is_admitted)
        self.assertAlmostEqual(0.020, decision.wait_s, places=4)

    def test_wait_beyond_the_shortest_latency_target_is_refused(self):
        # 4.5 rounds of 10 ms exceed 0.5 of 64 ms, but not of 112 ms.
        decision = make_admission(SWEEP_ROUTE, CHECK_ROUTE).decide(
            SWEEP_ROUTE, [0.0, 1.0, 4.5], 3
        )
        self.assertFalse(decision.is_admitted)
        self.assertTrue(
            make_admission(SWEEP_ROUTE).decide(SWEEP_ROUTE, [4.5] * 3, 3).is_admitted
        )

    def test_queues_of_shards_that_may_be_missing_are_ignored(self):
        decision = make_admission(SWEEP_ROUTE, CHECK_ROUTE).decide(
            SWEEP_ROUTE, [0.0, 1.0, 6.0], 2
        )
        self.assertTrue(decision.is_admitted)

    def test_search_is_decided_on_by_the_reachable_shards(self):
        admission = make_admission(SWEEP_ROUTE, CHECK_ROUTE)
        self.assertFalse(admission.decide(SWEEP_ROUTE, [0.0, 6.0], 3).is_admitted)
        self.assertTrue(admission.decide(SWEEP_ROUTE, [0.0, 1.0], 3).is_admitted)
        self.assertTrue(admission.decide(SWEEP_ROUTE, [], 3).is_admitted)

    def test_less_urgent_search_is_refused_first(self):
        admission = make_admission(SWEEP_ROUTE, CHECK_ROUTE)
        rounds = [3.0, 3.0, 3.0]
        self.assertTrue(admission.decide(SWEEP_ROUTE, rounds, 3).is_admitted)
        self.assertFalse(admission.decide(CHECK_ROUTE, rounds, 3).is_admitted)

    def test_slow_upstreams_without_a_queue_do_not_refuse_searches(self):
        admission = make_admission(SWEEP_ROUTE, CHECK_ROUTE, round_s=0.5)
        short_queue_rounds = MIN_QUEUE_ROUNDS / 2.0
        self.assertTrue(
            admission.decide(CHECK_ROUTE, [short_queue_rounds] * 3, 3).is_admitted
        )

    def test_round_times_are_kept_when_routes_change(self):
        admission = make_admission(SWEEP_ROUTE, CHECK_ROUTE, round_s=0.030)
        admission.set_routes([CHECK_ROUTE, SWEEP_ROUTE])
        decision = admission.decide(SWEEP_ROUTE, [1.0] * 3, 3)
        self.assertAlmostEqual(0.030, decision.wait_s, places=4)

    def test_routes_without_shards_are_always_admitted(self):
        admission = make_admission(SWEEP_ROUTE)
        fetch = search_route(shards=0)
        self.assertTrue(admission.decide(fetch, [9.0], 1).is_admitted)


class OverloadTests(testtools.TestCase):
    """Searches at 0.8 and 1.5 times the capacity of the upstreams, for two seconds."""

    LEG_S = 0.010
    DURATION_S = 2.0

    def setUp(self):
        super().setUp()
        self.route = search_route(shards=3, attempts=1)
        self.harness = RoutingHarness(self.route)
        self.harness.sender.script = QueueingUpstreams(self.harness, self.LEG_S)

    def offer_searches(self, load):
        """Offer a multiple of the capacity; return (seconds, answer) of each search."""
        # Each shard has three replicas with two slots each.
        gap_s = self.LEG_S / 6.0 / load
        results = []
        for number in range(int(self.DURATION_S / gap_s)):
            started_at = self.harness.timers.now()
            answers = self.harness.start(request_id=f"r{number}")
            results.append((started_at, answers))
            self.harness.timers.advance(gap_s)
        self.harness.timers.advance(2.0)
        return [
            (answered_at - started_at, reply)
            for started_at, [(answered_at, reply)] in results
        ]

    def test_most_searches_stay_within_the_latency_target(self):
        results = self.offer_searches(load=1.5)
        served = [elapsed_s for elapsed_s, reply in results if reply.status == 200]
        in_time = [
            elapsed_s
            for elapsed_s in served
            if elapsed_s <= self.route.latency_target_s
        ]
        # The capacity suffices for two thirds.
        self.assertThat(len(in_time) / len(results), GreaterThan(0.6))
        self.assertThat(len(served) - len(in_time), LessThan(0.02 * len(results)))

    def test_other_searches_are_refused_at_once_with_retry_after(self):
        refused = [
            result
            for result in self.offer_searches(load=1.5)
            if result[1].status != 200
        ]
        self.assertThat(len(refused), GreaterThan(0))
        for elapsed_s, reply in refused:
            self.assertThat((elapsed_s, reply.status), Equals((0.0, 503)))
            retry_after = self.harness.header(reply, "Retry-After")
            self.assertThat(float(retry_after), GreaterThan(0.0))

    def test_retry_after_is_spread_over_refused_callers(self):
        refused = [
            reply for _, reply in self.offer_searches(load=1.5) if reply.status != 200
        ]
        delays = [float(self.harness.header(reply, "Retry-After")) for reply in refused]
        quarter_s = (MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S) / 4
        quarters = [int((delay - MIN_RETRY_AFTER_S) / quarter_s) for delay in delays]
        for quarter in range(4):
            self.assertThat(quarters.count(quarter), GreaterThan(len(refused) / 8))

    def test_nothing_is_refused_below_capacity(self):
        results = self.offer_searches(load=0.8)
        self.assertEqual({200}, {reply.status for _, reply in results})


class RefusedSearchTests(testtools.TestCase):
    def test_refused_search_sends_no_leg_and_logs_its_reason(self):
        harness = RoutingHarness(search_route(shards=3))
        harness.sender.script = lambda replica: (
            0.01,
            leg_reply(replica, load=LONG_QUEUE_REPORT),
        )
        for number in range(9):
            harness.run(seconds=0.02, request_id=f"r{number}")
        sent = len(harness.sender.sent)
        harness.sender.script = None
        reply = harness.run(seconds=0.0, request_id="refused")
        self.assertEqual((503, sent), (reply.status, len(harness.sender.sent)))
        self.assertIn("NOT_RUN_OVERLOADED", harness.log_lines[-1])
        self.assertIn("queue:wait_ms:", harness.log_lines[-1])
