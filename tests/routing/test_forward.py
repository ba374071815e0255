from __future__ import annotations

import testtools
from testtools.matchers import GreaterThan, LessThan

from almondspool.protocol.exchange import ConnectionState, LegOutcome
from almondspool.state.routes import WeightedService
from tests.routing.routed_bench import (
    RoutedBench,
    answer,
    failed,
    fetch_route,
    make_replicas,
)


class SingleUpstreamRequestTests(testtools.TestCase):
    def make(self, **changes):
        bench = RoutedBench(fetch_route(**changes))
        bench.sender.script = lambda replica: (0.06, answer(replica, b"record"))
        return bench

    def run_one(self, bench, **request):
        return bench.run(path="/fetch/2f", deadline_s=4.0, seconds=6.0, **request)

    def test_reply_is_passed_on_unchanged(self):
        bench = self.make()
        reply = self.run_one(bench)
        self.assertEqual((200, b"record"), (reply.status, reply.body))
        self.assertEqual(1, len(bench.sender.sent))

    def test_booking_is_sent_once_whatever_becomes_of_it(self):
        for outcome in (
            LegOutcome.BROKEN,
            LegOutcome.MALFORMED,
            LegOutcome.SILENT,
        ):
            bench = self.make(is_idempotent=False)
            bench.sender.script = lambda _, end=outcome: (0.02, failed(end))
            reply = self.run_one(bench)
            self.assertEqual((502, 1), (reply.status, len(bench.sender.sent)))

    def test_booking_is_not_hedged(self):
        bench = self.make(is_idempotent=False)
        bench.sender.script = lambda replica: (2.0, answer(replica))
        self.assertEqual(200, self.run_one(bench).status)
        self.assertEqual(1, len(bench.sender.sent))

    def test_booking_moves_on_after_a_reply_that_it_was_not_run(self):
        bench = self.make(is_idempotent=False)
        bench.sender.script = lambda replica: (
            (0.002, failed(LegOutcome.NOT_RUN))
            if len(bench.sender.sent) == 1
            else (0.06, answer(replica))
        )
        self.assertEqual(200, self.run_one(bench).status)
        self.assertEqual(2, len(bench.sender.sent))

    def test_booking_that_nobody_ran_is_refused_with_a_time_to_come_back(self):
        bench = self.make(is_idempotent=False)
        bench.sender.script = lambda _: (0.002, failed(LegOutcome.NOT_RUN))
        reply = self.run_one(bench)
        self.assertEqual(503, reply.status)
        self.assertThat(float(bench.header(reply, "Retry-After")), GreaterThan(0.0))

    def test_booking_that_may_have_run_is_never_said_not_to_have_run(self):
        # Rejected first, then broken off: only the second may have run.
        bench = self.make(is_idempotent=False)
        bench.sender.script = lambda _: (
            (0.002, failed(LegOutcome.NOT_RUN))
            if len(bench.sender.sent) == 1
            else (0.02, failed(LegOutcome.BROKEN))
        )
        self.assertEqual(502, self.run_one(bench).status)

    def test_failed_booking_keeps_status_and_signature_of_its_upstream(self):
        bench = self.make(is_idempotent=False)
        bench.sender.script = lambda replica: (0.02, answer(replica, b"no", 500))
        reply = self.run_one(bench)
        self.assertEqual((500, b"no"), (reply.status, reply.body))

    def test_success_without_signature_is_never_passed_on(self):
        for is_idempotent in (True, False):
            bench = self.make(is_idempotent=is_idempotent)
            bench.sender.script = lambda replica: (0.02, answer(replica, signed=False))
            self.assertEqual(502, self.run_one(bench).status)

    def test_idempotent_failure_is_tried_on_a_second_replica(self):
        bench = self.make()
        bench.sender.script = lambda replica: (
            0.02,
            answer(replica, status=500 if len(bench.sender.sent) == 1 else 200),
        )
        self.assertEqual(200, self.run_one(bench).status)
        self.assertEqual(2, len({sent.replica for sent in bench.sender.sent}))

    def test_slow_replica_is_hedged_within_the_goal(self):
        bench = self.make()
        bench.sender.script = lambda replica: (
            1.0 if len(bench.sender.sent) == 1 else 0.06,
            answer(replica),
        )
        answers = bench.begin(path="/fetch/2f", deadline_s=4.0)
        began = bench.timers.now()
        bench.timers.advance(3.0)
        self.assertThat(answers[0][0] - began, LessThan(0.3))

    def test_unreached_replica_costs_no_attempt(self):
        bench = self.make(is_idempotent=False)
        bench.sender.script = lambda replica: (
            (0.002, failed(LegOutcome.NOT_SENT))
            if len(bench.sender.sent) < 3
            else (0.06, answer(replica))
        )
        self.assertEqual(200, self.run_one(bench).status)

    def test_timeout_is_answered_at_once_and_ends_the_send(self):
        bench = self.make(timeout_s=0.4)
        bench.sender.script = lambda _: None
        answers = bench.begin(path="/fetch/2f", deadline_s=4.0)
        began = bench.timers.now()
        bench.timers.advance(3.0)
        self.assertEqual(504, answers[0][1].status)
        self.assertAlmostEqual(0.4, answers[0][0] - began, places=3)
        self.assertTrue(all(handle.is_cancelled for handle in bench.sender.handles))

    def test_service_without_replicas_is_refused_at_once(self):
        bench = self.make()
        for replica in make_replicas("records"):
            bench.registry.remove_all(bench.timers.now(), [replica.replica_id])
        answers = bench.begin(path="/fetch/2f")
        self.assertEqual(503, answers[0][1].status)

    def test_request_without_a_granted_connection_is_refused_at_once(self):
        for is_idempotent in (True, False):
            bench = self.make(is_idempotent=is_idempotent)
            for replica in make_replicas("records"):
                bench.sender.connection_state_by_id[replica.replica_id] = (
                    ConnectionState.NONE
                )
            answers = bench.begin(path="/fetch/2f", deadline_s=4.0)
            self.assertEqual([503], [reply.status for _, reply in answers])
            retry_after = bench.header(answers[0][1], "Retry-After")
            self.assertThat(float(retry_after), GreaterThan(0.0))
            self.assertEqual([], bench.sender.sent)

    def test_split_part_without_room_is_refused_not_moved(self):
        weighted_services = (
            WeightedService("records", 1.0),
            WeightedService("audit", 1.0),
        )
        bench = RoutedBench(fetch_route(weighted_services=weighted_services))
        bench.sender.script = lambda replica: (
            (0.002, failed(LegOutcome.NOT_RUN))
            if replica.service == "audit"
            else (0.02, answer(replica))
        )
        statuses = [
            self.run_one(bench, request_id=f"r{number}").status for number in range(20)
        ]
        self.assertEqual(10, statuses.count(503))

    def test_caller_that_leaves_ends_the_send(self):
        bench = self.make()
        bench.sender.script = lambda _: None
        bench.begin(path="/fetch/2f")
        bench.handle.cancel()
        self.assertTrue(bench.sender.handles[0].is_cancelled)
        bench.timers.advance(5.0)
        self.assertEqual(1, len(bench.sender.sent))
