from __future__ import annotations

import collections

import testtools
from testtools.matchers import GreaterThan, LessThan

from almondspool.protocol.exchange import ConnectionState, LegOutcome
from almondspool.routing.context import ANSWER_MARGIN_S, DEFAULT_NETWORK_DELAY_S
from tests.routing.routing_harness import (
    RoutingHarness,
    failed_reply,
    leg_reply,
    make_replicas,
    search_route,
)


def record(number):
    return number.to_bytes(16, "big")


class SearchFanOutTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.harness = RoutingHarness(search_route())
        self.sender = self.harness.sender

    def missing_count(self, reply):
        return int(self.harness.header(reply, "Missing-Shards"))

    def signatures(self, reply):
        return self.harness.header(reply, "Part-Stamps").split(", ")

    def remove_replicas(self, service):
        names = [replica.replica_id for replica in make_replicas(service)]
        self.harness.registry.remove_all(self.harness.timers.now(), names)

    def test_complete_answer_names_every_partial_result_once(self):
        reply = self.harness.run()
        self.assertEqual(200, reply.status)
        self.assertEqual(0, self.missing_count(reply))
        self.assertEqual(10, len(set(self.signatures(reply))))
        self.assertEqual(10, len(self.sender.sent))

    def test_local_replicas_get_the_first_legs(self):
        self.harness.run()
        self.assertEqual({"north"}, {sent.replica.zone for sent in self.sender.sent})

    def test_answer_has_the_greatest_records_of_all_shards(self):
        def script(replica):
            number = int(replica.service.rpartition("-")[2])
            return 0.005, leg_reply(replica, record(number) + record(number + 50))

        self.sender.script = script
        reply = self.harness.run()
        expected = b"".join(record(59 - number) for number in range(5))
        self.assertEqual(expected, reply.body)

    def test_paused_replica_is_hedged_and_the_answer_is_complete_in_time(self):
        def script(replica):
            delay_s = 0.100 if replica.replica_id == "shard-3-north" else 0.010
            return delay_s, leg_reply(replica)

        self.sender.script = script
        answers = self.harness.start()
        started_at = self.harness.timers.now()
        self.harness.timers.advance(1.0)
        answered_at, reply = answers[0]
        self.assertEqual(0, self.missing_count(reply))
        self.assertThat(answered_at - started_at, LessThan(0.06))
        self.assertEqual(11, len(self.sender.sent))

    def script_refusing_hedges(self, refusing_zones):
        """Let a shard's first leg hang and its replicas in some zones refuse."""

        def script(replica):
            if replica.service != "shard-0":
                return 0.005, leg_reply(replica)
            if replica.zone == "north":
                return None
            if replica.zone in refusing_zones:
                return 0.001, failed_reply(LegOutcome.NOT_SENT)
            return 0.005, leg_reply(replica)

        self.sender.script = script

    def test_hedge_that_could_not_be_sent_goes_to_another_replica(self):
        for zone in ("south", "hills"):
            self.script_refusing_hedges({zone})
            reply = self.harness.run()
            self.assertEqual((200, 0), (reply.status, self.missing_count(reply)))

    def test_no_hedge_is_sent_to_replicas_that_are_known_to_be_unreachable(self):
        self.script_refusing_hedges({"south", "hills"})
        self.harness.start()
        self.harness.timers.advance(0.2)
        available = self.harness.budget.available(self.harness.timers.now(), "shard-0")
        self.harness.start()
        self.harness.timers.advance(0.2)
        hedges = [
            sent
            for sent in self.sender.sent
            if sent.replica.service == "shard-0" and sent.replica.zone != "north"
        ]
        self.assertEqual(2, len(hedges))
        self.assertThat(
            self.harness.budget.available(self.harness.timers.now(), "shard-0"),
            GreaterThan(available),
        )

    def test_leg_that_lost_to_a_hedge_keeps_its_connection_if_no_other_is_idle(self):
        states = self.sender.connection_state_by_id
        states["shard-3-north"] = ConnectionState.CONNECT
        self.test_paused_replica_is_hedged_and_the_answer_is_complete_in_time()
        self.assertTrue(any(handle.is_detached for handle in self.sender.handles))
        self.assertFalse(any(handle.is_cancelled for handle in self.sender.handles))

    def test_leg_that_lost_to_a_hedge_is_cancelled_if_a_connection_is_idle(self):
        self.test_paused_replica_is_hedged_and_the_answer_is_complete_in_time()
        cancelled = [
            sent.replica.replica_id
            for sent, handle in zip(self.sender.sent, self.sender.handles, strict=True)
            if handle.is_cancelled
        ]
        self.assertEqual(["shard-3-north"], cancelled)
        self.assertFalse(any(handle.is_detached for handle in self.sender.handles))

    def test_open_leg_of_a_partial_answer_is_cancelled_at_a_busy_replica(self):
        states = self.sender.connection_state_by_id
        for replica in make_replicas("shard-3"):
            states[replica.replica_id] = ConnectionState.CONNECT
            health = self.harness.selector.health(self.harness.timers.now(), replica)
            # Its own legs alone fill the slots.
            health.in_flight = replica.slots
        self.sender.script = lambda replica: (
            None if replica.service == "shard-3" else (0.01, leg_reply(replica))
        )
        answer = self.harness.run()
        self.assertEqual(1, self.missing_count(answer))
        self.assertTrue(any(handle.is_cancelled for handle in self.sender.handles))
        self.assertFalse(any(handle.is_detached for handle in self.sender.handles))

    def test_silent_shard_makes_the_answer_partial_just_before_the_latency_target(self):
        self.sender.script = lambda replica: (
            None if replica.service == "shard-3" else (0.01, leg_reply(replica))
        )
        answers = self.harness.start()
        started_at = self.harness.timers.now()
        self.harness.timers.advance(2.0)
        answered_at, reply = answers[0]
        expected_s = 0.112 - DEFAULT_NETWORK_DELAY_S - ANSWER_MARGIN_S
        self.assertAlmostEqual(expected_s, answered_at - started_at, places=3)
        self.assertEqual(
            (1, 9), (self.missing_count(reply), len(self.signatures(reply)))
        )

    def test_partial_answer_is_sent_sooner_with_a_longer_network_delay(self):
        self.sender.script = lambda replica: (
            None if replica.service == "shard-3" else (0.01, leg_reply(replica))
        )
        request = self.harness.request()._replace(network_delay_s=0.030)
        answers = []
        self.harness.router.handle(request, lambda _: answers.append(1))
        self.harness.timers.advance(0.112 - 0.030 - ANSWER_MARGIN_S - 0.001)
        self.assertEqual([], answers)
        self.harness.timers.advance(0.002)
        self.assertEqual([1], answers)

    def test_search_below_the_minimum_coverage_is_answered_once_it_is_reached(self):
        def script(replica):
            if replica.service == "shard-3":
                return None
            delay_s = 0.300 if replica.service == "shard-4" else 0.01
            return delay_s, leg_reply(replica)

        self.sender.script = script
        answers = self.harness.start()
        started_at = self.harness.timers.now()
        self.harness.timers.advance(2.0)
        answered_at, reply = answers[0]
        self.assertAlmostEqual(0.300, answered_at - started_at, places=2)
        self.assertEqual(1, self.missing_count(reply))

    def test_timeout_ends_a_search_below_the_minimum_coverage(self):
        self.sender.script = lambda replica: (
            None
            if replica.service in ("shard-3", "shard-4")
            else (0.01, leg_reply(replica))
        )
        answers = self.harness.start(deadline_s=0.6)
        started_at = self.harness.timers.now()
        self.harness.timers.advance(2.0)
        answered_at, reply = answers[0]
        self.assertEqual(504, reply.status)
        self.assertAlmostEqual(0.6, answered_at - started_at, places=3)

    def test_search_that_cannot_reach_the_minimum_coverage_is_refused_at_once(self):
        for service in ("shard-0", "shard-1"):
            for replica in make_replicas(service):
                self.harness.registry.remove_all(
                    self.harness.timers.now(), [replica.replica_id]
                )
        answers = self.harness.start()
        self.assertEqual(503, answers[0][1].status)
        self.assertThat(
            float(self.harness.header(answers[0][1], "Retry-After")), GreaterThan(0.0)
        )
        self.assertEqual([], self.sender.sent)

    def test_shard_without_replicas_is_reported_missing(self):
        for replica in make_replicas("shard-0"):
            self.harness.registry.remove_all(
                self.harness.timers.now(), [replica.replica_id]
            )
        reply = self.harness.run()
        self.assertEqual((200, 1), (reply.status, self.missing_count(reply)))

    def test_search_that_ran_and_lost_too_many_shards_is_not_refused_as_unrun(self):
        def script(replica):
            if replica.service in ("shard-3", "shard-4"):
                return 0.02, leg_reply(replica, status=500)
            return 0.01, leg_reply(replica)

        self.sender.script = script
        answers = self.harness.start()
        started_at = self.harness.timers.now()
        self.harness.timers.advance(2.0)
        answered_at, reply = answers[0]
        self.assertEqual(502, reply.status)
        self.assertThat(answered_at - started_at, LessThan(0.1))

    def test_search_that_every_replica_rejected_is_refused(self):
        self.sender.script = lambda _: (0.003, failed_reply(LegOutcome.NOT_RUN))
        self.assertEqual(503, self.harness.run().status)

    def test_signed_failure_is_no_partial_result(self):
        def script(replica):
            is_bad = replica.replica_id == "shard-3-north"
            return 0.01, leg_reply(replica, status=500 if is_bad else 200)

        self.sender.script = script
        reply = self.harness.run()
        self.assertEqual(0, self.missing_count(reply))
        self.assertNotIn("sig-shard-3-north", self.signatures(reply))

    def test_unsigned_success_is_no_partial_result(self):
        def script(replica):
            is_bad = replica.service == "shard-3"
            return 0.01, leg_reply(replica, signed=not is_bad)

        self.sender.script = script
        self.assertEqual(1, self.missing_count(self.harness.run()))

    def test_attempts_limit_the_legs_of_each_shard(self):
        self.sender.script = lambda replica: (0.005, leg_reply(replica, status=500))
        self.harness.run()
        legs_by_shard = {}
        for sent in self.sender.sent:
            legs_by_shard.setdefault(sent.replica.service, []).append(sent)
        self.assertEqual(2, max(len(sends) for sends in legs_by_shard.values()))

    def test_resend_of_an_unsent_leg_is_not_charged_to_the_budget(self):
        harness = RoutingHarness(search_route(), slack=0.0, ratio=0.0)
        harness.sender.script = lambda replica: (
            (0.002, failed_reply(LegOutcome.NOT_SENT))
            if replica.zone == "north"
            else (0.01, leg_reply(replica))
        )
        reply = harness.run()
        self.assertEqual("0", harness.header(reply, "Missing-Shards"))

    def test_exhausted_budget_stops_hedges(self):
        harness = RoutingHarness(search_route(), slack=0.0, ratio=0.0)
        harness.sender.script = lambda replica: (
            0.4 if replica.service == "shard-3" else 0.01,
            leg_reply(replica),
        )
        harness.run()
        self.assertEqual(10, len(harness.sender.sent))

    def test_replicas_that_reject_at_random_are_retried(self):
        # Two of the three replicas of each shard reject every other request.
        request_count_by_id = collections.Counter()

        def script(replica):
            if replica.zone == "hills":
                return 0.01, leg_reply(replica)
            request_count_by_id[replica.replica_id] += 1
            if request_count_by_id[replica.replica_id] % 2:
                return 0.002, failed_reply(LegOutcome.NOT_RUN)
            return 0.01, leg_reply(replica)

        self.sender.script = script
        for number in range(20):
            reply = self.harness.run(request_id=f"r{number}")
            self.assertEqual((200, 0), (reply.status, self.missing_count(reply)))

    def test_rejections_reach_no_more_replicas_than_attempts(self):
        self.sender.script = lambda _: (0.002, failed_reply(LegOutcome.NOT_RUN))
        self.harness.run()
        for number in range(10):
            service = f"shard-{number}"
            ids = {s.replica for s in self.sender.sent if s.replica.service == service}
            self.assertTrue(len(ids) <= 2)

    def test_replica_that_may_have_run_a_leg_is_not_retried(self):
        self.sender.script = lambda replica: (0.01, leg_reply(replica, status=500))
        self.harness.run()
        ids = [sent.replica.replica_id for sent in self.sender.sent]
        self.assertEqual(len(ids), len(set(ids)))

    def test_disconnect_of_the_caller_cancels_every_leg(self):
        self.sender.script = lambda _: None
        self.harness.start()
        self.harness.timers.advance(0.01)
        self.harness.handle.cancel()
        self.assertTrue(all(handle.is_cancelled for handle in self.sender.handles))
        self.harness.timers.advance(3.0)
        self.assertEqual(10, len(self.sender.sent))

    def test_legs_carry_the_remaining_time_as_deadline(self):
        self.sender.script = lambda replica: (
            0.2 if replica.zone == "north" else 0.01,
            leg_reply(replica),
        )
        self.harness.run(deadline_s=0.8)
        started_at = self.sender.sent[0].sent_at
        for sent in self.sender.sent:
            self.assertAlmostEqual(0.8, sent.sent_at - started_at + sent.deadline_s)

    def test_misdirected_leg_drops_the_address_for_all_later_searches(self):
        self.sender.script = lambda replica: (
            (0.002, failed_reply(LegOutcome.MISDIRECTED))
            if replica.replica_id == "shard-3-north"
            else (0.01, leg_reply(replica))
        )
        self.assertEqual(0, self.missing_count(self.harness.run()))
        self.sender.sent.clear()
        self.harness.run(request_id="b")
        ids = [sent.replica.replica_id for sent in self.sender.sent]
        self.assertNotIn("shard-3-north", ids)

    def test_expired_request_is_refused(self):
        answers = self.harness.start(deadline_s=1e-9)
        self.harness.timers.advance(1.0)
        self.assertIn(answers[0][1].status, (503, 504))

    def test_failed_request_is_logged_with_its_cause(self):
        self.sender.script = lambda _: (0.003, failed_reply(LegOutcome.NOT_RUN))
        self.harness.run(request_id="r-77")
        lines = [line for line in self.harness.log_lines if "request=r-77" in line]
        self.assertTrue(any("event=leg.failed" in line for line in lines))
        ended = [line for line in lines if "event=request.failed" in line]
        self.assertEqual(1, len(ended))
        self.assertIn("shard_lost:not_run", ended[0])


class PausingSearchersTests(testtools.TestCase):
    """Ten shards whose searchers pause for 100 ms every 2.4 s at different phases."""

    def simulate(self, with_hedges):
        """Run 400 searches; return their mean score and the number of legs per shard.

        The score of a search is the square of its coverage, or 0 if its answer takes
        longer than the latency target less 12 ms.
        """
        route = search_route() if with_hedges else search_route(attempts=1)
        harness = RoutingHarness(route)
        pause_phase_s_by_id = {}

        def script(replica):
            now = harness.timers.now()
            phase_s = pause_phase_s_by_id.setdefault(
                replica.replica_id, pause_phase_s(replica)
            )
            time_in_cycle_s = (now + phase_s) % 2.4
            wait_s = max(0.0, 0.1 - time_in_cycle_s)
            return wait_s + 0.011, leg_reply(replica)

        harness.sender.script = script
        durations_s, coverages = [], []
        for number in range(400):
            answers = harness.start(request_id=f"r{number}")
            started_at = harness.timers.now()
            harness.timers.advance(0.05)
            harness.timers.advance(0.1537)
            answered_at, reply = answers[0]
            durations_s.append(answered_at - started_at)
            missing = int(harness.header(reply, "Missing-Shards"))
            coverages.append((10 - missing) / 10)
        score = sum(
            coverage**2
            for coverage, duration_s in zip(coverages, durations_s, strict=True)
            if duration_s <= 0.112 - 0.012
        )
        return score / 400, len(harness.sender.sent) / 4000

    def test_hedges_improve_coverage_in_time_within_the_budget(self):
        score, legs_per_shard = self.simulate(with_hedges=True)
        score_without_hedges, _ = self.simulate(with_hedges=False)
        self.assertThat(score, GreaterThan(0.97))
        self.assertThat(score, GreaterThan(score_without_hedges))
        self.assertThat(legs_per_shard, LessThan(1.2))


def pause_phase_s(replica):
    """Return the phase of a replica's pauses in seconds, derived from its id."""
    digest = sum(
        ord(character) * (index + 7) for index, character in enumerate(str(replica[0]))
    )
    return digest % 240 / 100.0


class HedgeCountTests(testtools.TestCase):
    def hedge_results(self, first_s, hedge_s):
        """Return how a hedge was counted, given the latencies of both legs."""
        harness = RoutingHarness(search_route(shards=1))
        harness.sender.script = lambda replica: (
            first_s if len(harness.sender.sent) == 1 else hedge_s,
            leg_reply(replica),
        )
        harness.run()
        hedges = [
            labels
            for labels in harness.recorded_legs
            if labels[:2] == ("sweep", "hedge")
        ]
        return [state for *_, state in hedges if state != "sent"]

    def test_hedge_that_gives_the_result_is_counted_as_won(self):
        self.assertEqual(["won"], self.hedge_results(first_s=2.0, hedge_s=0.005))

    def test_hedge_that_was_not_needed_is_counted_as_lost(self):
        self.assertEqual(
            ["lost", "cancelled"], self.hedge_results(first_s=0.06, hedge_s=2.0)
        )

    def test_pause_and_return_of_a_replica_are_logged(self):
        harness = RoutingHarness(search_route(shards=1))
        harness.sender.script = lambda replica: (
            (0.002, failed_reply(LegOutcome.NOT_SENT))
            if len(harness.sender.sent) <= 3
            else (0.005, leg_reply(replica))
        )
        harness.run(request_id="r1")
        harness.run(request_id="r2")
        text = "\n".join(harness.log_lines)
        self.assertEqual(3, text.count("event=replica.paused"))
        self.assertIn("event=replica.back", text)
        self.assertEqual(3, harness.recorded_legs.count(("pause",)))
