from __future__ import annotations

import testtools
from testtools.matchers import GreaterThan, LessThan

from almondspool.protocol.exchange import ConnectionState, LegOutcome
from almondspool.state.routes import WeightedService
from tests.routing.routing_harness import (
    RoutingHarness,
    failed_reply,
    fetch_route,
    leg_reply,
    make_replicas,
)


class SingleUpstreamRequestTests(testtools.TestCase):
    def make_harness(self, **changes):
        harness = RoutingHarness(fetch_route(**changes))
        harness.sender.script = lambda replica: (0.06, leg_reply(replica, b"record"))
        return harness

    def run_fetch(self, harness, **request):
        return harness.run(path="/fetch/2f", deadline_s=4.0, seconds=6.0, **request)

    def test_reply_is_passed_on_unchanged(self):
        harness = self.make_harness()
        reply = self.run_fetch(harness)
        self.assertEqual((200, b"record"), (reply.status, reply.body))
        self.assertEqual(1, len(harness.sender.sent))

    def test_non_idempotent_request_is_sent_once_whatever_its_outcome(self):
        for outcome in (
            LegOutcome.BROKEN,
            LegOutcome.MALFORMED,
            LegOutcome.SILENT,
        ):
            harness = self.make_harness(is_idempotent=False)
            harness.sender.script = lambda _, end=outcome: (0.02, failed_reply(end))
            reply = self.run_fetch(harness)
            self.assertEqual((502, 1), (reply.status, len(harness.sender.sent)))

    def test_non_idempotent_request_is_not_hedged(self):
        harness = self.make_harness(is_idempotent=False)
        harness.sender.script = lambda replica: (2.0, leg_reply(replica))
        self.assertEqual(200, self.run_fetch(harness).status)
        self.assertEqual(1, len(harness.sender.sent))

    def test_non_idempotent_request_is_resent_after_a_rejection(self):
        harness = self.make_harness(is_idempotent=False)
        harness.sender.script = lambda replica: (
            (0.002, failed_reply(LegOutcome.NOT_RUN))
            if len(harness.sender.sent) == 1
            else (0.06, leg_reply(replica))
        )
        self.assertEqual(200, self.run_fetch(harness).status)
        self.assertEqual(2, len(harness.sender.sent))

    def test_rejected_non_idempotent_request_is_refused_with_retry_after(self):
        harness = self.make_harness(is_idempotent=False)
        harness.sender.script = lambda _: (0.002, failed_reply(LegOutcome.NOT_RUN))
        reply = self.run_fetch(harness)
        self.assertEqual(503, reply.status)
        self.assertThat(float(harness.header(reply, "Retry-After")), GreaterThan(0.0))

    def test_non_idempotent_request_that_may_have_run_is_not_refused_as_unrun(self):
        # The first leg is rejected, the second breaks; only the second may have run.
        harness = self.make_harness(is_idempotent=False)
        harness.sender.script = lambda _: (
            (0.002, failed_reply(LegOutcome.NOT_RUN))
            if len(harness.sender.sent) == 1
            else (0.02, failed_reply(LegOutcome.BROKEN))
        )
        self.assertEqual(502, self.run_fetch(harness).status)

    def test_failed_non_idempotent_request_keeps_status_and_body_of_its_upstream(self):
        harness = self.make_harness(is_idempotent=False)
        harness.sender.script = lambda replica: (0.02, leg_reply(replica, b"no", 500))
        reply = self.run_fetch(harness)
        self.assertEqual((500, b"no"), (reply.status, reply.body))

    def test_unsigned_success_is_never_passed_on(self):
        for is_idempotent in (True, False):
            harness = self.make_harness(is_idempotent=is_idempotent)
            harness.sender.script = lambda replica: (
                0.02,
                leg_reply(replica, signed=False),
            )
            self.assertEqual(502, self.run_fetch(harness).status)

    def test_failed_idempotent_request_is_retried_on_a_second_replica(self):
        harness = self.make_harness()
        harness.sender.script = lambda replica: (
            0.02,
            leg_reply(replica, status=500 if len(harness.sender.sent) == 1 else 200),
        )
        self.assertEqual(200, self.run_fetch(harness).status)
        self.assertEqual(2, len({sent.replica for sent in harness.sender.sent}))

    def test_slow_replica_is_hedged_within_the_latency_target(self):
        harness = self.make_harness()
        harness.sender.script = lambda replica: (
            1.0 if len(harness.sender.sent) == 1 else 0.06,
            leg_reply(replica),
        )
        answers = harness.start(path="/fetch/2f", deadline_s=4.0)
        started_at = harness.timers.now()
        harness.timers.advance(3.0)
        self.assertThat(answers[0][0] - started_at, LessThan(0.3))

    def test_unreachable_replica_uses_no_attempt(self):
        harness = self.make_harness(is_idempotent=False)
        harness.sender.script = lambda replica: (
            (0.002, failed_reply(LegOutcome.NOT_SENT))
            if len(harness.sender.sent) < 3
            else (0.06, leg_reply(replica))
        )
        self.assertEqual(200, self.run_fetch(harness).status)

    def test_timeout_is_answered_at_once_and_cancels_the_leg(self):
        harness = self.make_harness(timeout_s=0.4)
        harness.sender.script = lambda _: None
        answers = harness.start(path="/fetch/2f", deadline_s=4.0)
        started_at = harness.timers.now()
        harness.timers.advance(3.0)
        self.assertEqual(504, answers[0][1].status)
        self.assertAlmostEqual(0.4, answers[0][0] - started_at, places=3)
        self.assertTrue(all(handle.is_cancelled for handle in harness.sender.handles))

    def test_service_without_replicas_is_refused_at_once(self):
        harness = self.make_harness()
        for replica in make_replicas("records"):
            harness.registry.remove_all(harness.timers.now(), [replica.replica_id])
        answers = harness.start(path="/fetch/2f")
        self.assertEqual(503, answers[0][1].status)

    def test_request_without_a_granted_connection_is_refused_at_once(self):
        for is_idempotent in (True, False):
            harness = self.make_harness(is_idempotent=is_idempotent)
            for replica in make_replicas("records"):
                harness.sender.connection_state_by_id[replica.replica_id] = (
                    ConnectionState.NONE
                )
            answers = harness.start(path="/fetch/2f", deadline_s=4.0)
            self.assertEqual([503], [reply.status for _, reply in answers])
            retry_after = harness.header(answers[0][1], "Retry-After")
            self.assertThat(float(retry_after), GreaterThan(0.0))
            self.assertEqual([], harness.sender.sent)

    def test_request_of_a_rejecting_service_is_not_moved_to_another_service(self):
        weighted_services = (
            WeightedService("records", 1.0),
            WeightedService("audit", 1.0),
        )
        harness = RoutingHarness(fetch_route(weighted_services=weighted_services))
        harness.sender.script = lambda replica: (
            (0.002, failed_reply(LegOutcome.NOT_RUN))
            if replica.service == "audit"
            else (0.02, leg_reply(replica))
        )
        statuses = [
            self.run_fetch(harness, request_id=f"r{number}").status
            for number in range(20)
        ]
        self.assertEqual(10, statuses.count(503))

    def test_disconnect_of_the_caller_cancels_the_leg(self):
        harness = self.make_harness()
        harness.sender.script = lambda _: None
        harness.start(path="/fetch/2f")
        harness.handle.cancel()
        self.assertTrue(harness.sender.handles[0].is_cancelled)
        harness.timers.advance(5.0)
        self.assertEqual(1, len(harness.sender.sent))


class SlowReplicaTests(testtools.TestCase):
    """Requests that cannot be hedged, while one of three replicas is slow."""

    RATE_PER_S = 4.0
    DURATION_S = 20.0
    LEG_S = 0.15
    SLOW_LEG_S = 1.65

    def test_few_callers_wait_for_the_slow_replica(self):
        harness = RoutingHarness(
            fetch_route(is_idempotent=False, latency_target_s=0.6, timeout_s=10.0)
        )
        slow_id = make_replicas("records")[0].replica_id
        harness.sender.script = lambda replica: (
            self.SLOW_LEG_S if replica.replica_id == slow_id else self.LEG_S,
            leg_reply(replica),
        )
        count = int(self.RATE_PER_S * self.DURATION_S)
        for number in range(count):
            harness.start(path="/fetch/2f", request_id=f"r{number}", deadline_s=10.0)
            harness.timers.advance(1.0 / self.RATE_PER_S)
        slow_sends = [
            leg for leg in harness.sender.sent if leg.replica.replica_id == slow_id
        ]
        # One caller finds out whether it has recovered, then none for twice as long as
        # that caller waited.
        self.assertThat(
            len(slow_sends), LessThan(self.DURATION_S / (2.0 * self.SLOW_LEG_S))
        )
        self.assertThat(len(slow_sends), GreaterThan(1))
