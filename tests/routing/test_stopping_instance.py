from __future__ import annotations

import testtools

from tests.routing.routing_harness import (
    RoutingHarness,
    fetch_route,
    leg_reply,
    search_route,
)

STOP_S = 5.0


class StoppingInstanceTests(testtools.TestCase):
    def stop(self, *routes):
        self.harness = RoutingHarness(*routes)
        self.stops_at = self.harness.timers.now() + STOP_S
        return self.harness

    def begin(self):
        self.harness.router.begin_shutdown(self.stops_at)

    def test_late_request_of_a_planned_stop_is_answered_before_its_end(self):
        for is_idempotent in (True, False):
            harness = self.stop(
                fetch_route(is_idempotent=is_idempotent, timeout_s=30.0)
            )
            harness.sender.script = lambda _: None
            answers = harness.start(path="/fetch/1", deadline_s=10.0)
            self.begin()
            harness.timers.advance(STOP_S - 0.1)
            self.assertEqual([], answers)
            harness.timers.advance(0.1)
            self.assertEqual([504], [answer.status for _, answer in answers])
            self.assertEqual(0, harness.router.in_flight)

    def test_search_is_answered_with_its_results_at_the_end_of_a_planned_stop(self):
        harness = self.stop(
            search_route(min_coverage=0.5, latency_target_s=30.0, timeout_s=30.0)
        )
        harness.sender.script = lambda replica: (
            None if replica.service == "shard-0" else (0.1, leg_reply(replica))
        )
        answers = harness.start(deadline_s=30.0)
        self.begin()
        harness.timers.advance(STOP_S)
        self.assertEqual([200], [answer.status for _, answer in answers])
        self.assertEqual("1", harness.header(answers[0][1], "Missing-Shards"))

    def test_request_that_cannot_be_finished_in_time_is_refused_unsent(self):
        for is_idempotent, left_s in ((True, 0.29), (False, 0.89)):
            harness = self.stop(fetch_route(is_idempotent=is_idempotent))
            self.begin()
            harness.timers.advance(STOP_S - left_s)
            answers = harness.start(path="/fetch/1", deadline_s=10.0)
            self.assertEqual([503], [answer.status for _, answer in answers])
            self.assertTrue(float(harness.header(answers[0][1], "Retry-After")) < 0.1)
            self.assertEqual([], harness.sender.sent)

    def test_request_that_can_be_finished_in_time_is_served(self):
        for is_idempotent, left_s in ((True, 0.31), (False, 0.91)):
            harness = self.stop(fetch_route(is_idempotent=is_idempotent))
            self.begin()
            harness.timers.advance(STOP_S - left_s)
            answer = harness.run(0.1, path="/fetch/1", deadline_s=10.0)
            self.assertEqual(200, answer.status)

    def test_request_that_its_caller_awaits_for_less_is_served(self):
        harness = self.stop(fetch_route(is_idempotent=False))
        self.begin()
        harness.timers.advance(STOP_S - 0.25)
        answer = harness.run(0.1, path="/fetch/1", deadline_s=0.2)
        self.assertEqual(200, answer.status)
