from __future__ import annotations

import random

import eventlet
import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.coordination.claims import claims
from almondspool.coordination.claims.claim_bucket import ClaimBucket, ReadBucket
from almondspool.coordination.claims.claims import (
    CLAIM_KIND,
    ClaimOp,
    ClaimRules,
    ClaimState,
    bucket_name,
    claim_fingerprint,
    closing_state,
    decode_answer,
    decode_bucket,
    encode_answer,
)
from almondspool.coordination.claims.claims_task import make_claims_task
from almondspool.errors import PlatformError
from almondspool.logs import EventLog, format_event
from almondspool.protocol.caller import SearchAnswer
from almondspool.transport.timers import VirtualTimers
from tests.coordination.fake_platform import DOWN, LOST_REPLY, FakePlatform
from tests.coordination.search_session_driver import SearchSessionDriver, make_request
from tests.golden_session import verify_session

RETENTION_S = 3600
EPOCH_MS = 1_700_000_000_000
BOOKING = make_request(
    request_id="booking-1", idempotent=False, shard="shard-0", issued_at_ms=EPOCH_MS
)


class Fleet:
    """Claim buckets of several instances at one platform, under virtual time.

    Platform calls are made one at a time, by ``step``.
    """

    def __init__(self):
        self.platform = FakePlatform()
        self.timers = VirtualTimers()
        self.lines = []
        self.dead = set()
        self.runs = []
        self.bucket_by_instance = {}
        self.tokens = 0

    def op(self, instance, request=BOOKING, state=ClaimState.CLAIMED):
        self.tokens += 1
        return ClaimOp(
            f"{instance}.1.{self.tokens}",
            request.request_id,
            claim_fingerprint(request),
            request.issued_at_ms,
            instance,
            1,
            state,
        )

    def decide(self, instance, op, event="claim.decided"):
        """Queue an operation and make platform calls until it is decided."""
        rules = ClaimRules(RETENTION_S, lambda owner, _: owner not in self.dead)
        name = bucket_name(op.request_id)
        bucket = self.bucket_by_instance.setdefault(instance, ClaimBucket(name, rules))
        refusal = bucket.add(op)
        decided = {refusal.token: refusal} if refusal else {}
        while op.token not in decided:
            decided |= {each.token: each for each in self.step(instance)}
        decision = decided[op.token]
        self.write(
            event,
            instance=instance,
            request=op.request_id,
            code=decision.code.name,
            claimed=decision.is_claimed,
            reason=decision.detail or "no_objection",
        )
        return decision

    def step(self, instance):
        bucket = self.bucket_by_instance[instance]
        step = bucket.next_step(self.timers.now(), self.now_ms())
        if isinstance(step, ReadBucket):
            result = self.platform.get(CLAIM_KIND, step.name)
        else:
            result = self.platform.put(
                CLAIM_KIND, step.name, step.value, step.expected_version
            )
        outcome = result.map(lambda found: f"version_{found.version}").value_or(None)
        error = None if outcome else result.failure()
        self.write(
            "platform.call",
            instance=instance,
            call=type(step).__name__,
            result=outcome or error.code.name,
        )
        if error is None and isinstance(step, ReadBucket):
            return bucket.on_read(self.now_ms(), result.unwrap())
        if error is None:
            return bucket.on_written(result.unwrap().version)
        if error.code == ResultCode.PLATFORM_NOT_FOUND:
            return bucket.on_read(self.now_ms(), None)
        return bucket.on_failed(error)

    def run(self, instance, decision):
        """Send the request if the decision still allows it."""
        if decision.may_send(self.timers.now()):
            self.runs.append(instance)
            self.write("leg.send", instance=instance, request=BOOKING.request_id)
        else:
            self.write("leg.withheld", instance=instance, reason="lease_over")

    def close(self, instance, op, state, answer=b""):
        closing = op._replace(state=state, answer=answer)
        return self.decide(instance, closing, f"claim.closed_{state}")

    def now_ms(self):
        return int(self.timers.wall_time() * 1000)

    def write(self, event, **fields):
        line = f"{self.timers.now():9.3f}s {format_event(event, **fields)}"
        self.lines.append(line)


class ClaimSessionTests(testtools.TestCase):
    def test_lost_reply_is_resolved_by_reading_back(self):
        fleet = Fleet()
        fleet.platform.faults = [None, LOST_REPLY, DOWN, None]
        op = fleet.op("i-1")
        decision = fleet.decide("i-1", op)
        fleet.run("i-1", decision)
        self.assertEqual(["i-1"], fleet.runs)
        self.assertEqual(1, fleet.platform.version)
        answer = encode_answer(SearchAnswer("booking-1", ResultCode.OK))
        fleet.close("i-1", op, ClaimState.DONE, answer)
        repeated = fleet.decide("i-2", fleet.op("i-2"))
        self.assertFalse(repeated.is_claimed)
        self.assertEqual("booking-1", decode_answer(repeated.answer).request_id)
        verify_session("claim_lost_reply", fleet.lines)

    def test_frozen_claimer_does_not_send_late(self):
        fleet = Fleet()
        op = fleet.op("i-1")
        decision = fleet.decide("i-1", op)
        fleet.timers.advance(9.0)
        fleet.dead.add("i-1")
        other = fleet.decide("i-2", fleet.op("i-2"))
        self.assertEqual(ResultCode.OUTCOME_UNKNOWN, other.code)
        fleet.run("i-1", decision)
        fleet.close("i-1", op, ClaimState.UNSENT)
        again = fleet.decide("i-2", fleet.op("i-2"))
        fleet.run("i-2", again)
        self.assertEqual(["i-2"], fleet.runs)
        verify_session("claim_frozen_claimer", fleet.lines)

    def test_without_the_lease_a_frozen_claimer_sends_late(self):
        fleet = Fleet()
        decision = fleet.decide("i-1", fleet.op("i-1"))
        fleet.timers.advance(9.0)
        fleet.run("i-1", decision._replace(send_before=float("inf")))
        self.assertEqual(["i-1"], fleet.runs)

    def test_same_id_at_two_instances_runs_once(self):
        fleet = Fleet()
        first, second = fleet.op("i-1"), fleet.op("i-2")
        decided = {}
        # The other instance's claim is written between the read and write of this one.
        fleet.platform.before_put = lambda: decided.update(
            other=fleet.decide("i-2", second)
        )
        decided["own"] = fleet.decide("i-1", first)
        fleet.run("i-2", decided["other"])
        self.assertEqual(ResultCode.STILL_RUNNING, decided["own"].code)
        self.assertEqual(["i-2"], fleet.runs)
        verify_session("claim_duplicate_id", fleet.lines)

    def test_without_conditional_updates_two_instances_run_it(self):
        fleet = Fleet()
        fleet.platform.is_conditional = False
        decided = []
        fleet.platform.before_put = lambda: decided.append(
            fleet.decide("i-2", fleet.op("i-2"))
        )
        decided.append(fleet.decide("i-1", fleet.op("i-1")))
        self.assertEqual(2, sum(decision.is_claimed for decision in decided))


class ClaimRuleTests(testtools.TestCase):
    def test_platform_down_is_not_run(self):
        fleet = Fleet()
        fleet.platform.faults = [DOWN]
        decision = fleet.decide("i-1", fleet.op("i-1"))
        self.assertEqual(ResultCode.NOT_RUN_PLATFORM_DOWN, decision.code)
        self.assertFalse(fleet.bucket_by_instance["i-1"].has_work())

    def test_abandoned_write_is_fenced_by_an_unsent_claim(self):
        fleet = Fleet()
        fleet.platform.faults = [None, LOST_REPLY, DOWN, DOWN, DOWN]
        decision = fleet.decide("i-1", fleet.op("i-1"))
        self.assertEqual(ResultCode.NOT_RUN_PLATFORM_DOWN, decision.code)
        while fleet.bucket_by_instance["i-1"].has_work():
            fleet.step("i-1")
        again = fleet.decide("i-2", fleet.op("i-2"))
        self.assertTrue(again.is_claimed)

    def test_other_content_under_the_same_id_is_refused(self):
        fleet = Fleet()
        fleet.decide("i-1", fleet.op("i-1"))
        other = fleet.op("i-2", BOOKING._replace(query={"slot": "noon"}))
        self.assertEqual(ResultCode.FIELD_INVALID, fleet.decide("i-2", other).code)

    def test_restarted_owner_leaves_the_outcome_unknown(self):
        fleet = Fleet()
        fleet.decide("i-1", fleet.op("i-1"))
        fleet.dead.add("i-1")
        decision = fleet.decide("i-2", fleet.op("i-2"))
        self.assertEqual(ResultCode.OUTCOME_UNKNOWN, decision.code)

    def test_expired_claim_cannot_be_made_again(self):
        fleet = Fleet()
        fleet.decide("i-1", fleet.op("i-1"))
        fleet.timers.advance(RETENTION_S + 2 * claims.MAX_CLOCK_SKEW_MS / 1000 + 1)
        decision = fleet.decide("i-2", fleet.op("i-2"))
        self.assertEqual(ResultCode.REQUEST_STALE, decision.code)

    def test_without_the_age_check_an_expired_claim_runs_twice(self):
        self.patch(claims, "check_issue_time", lambda *args: (ResultCode.OK, ""))
        fleet = Fleet()
        fleet.decide("i-1", fleet.op("i-1"))
        fleet.timers.advance(RETENTION_S + 2 * claims.MAX_CLOCK_SKEW_MS / 1000 + 1)
        self.assertTrue(fleet.decide("i-2", fleet.op("i-2")).is_claimed)

    def test_request_from_the_future_is_refused(self):
        op = Fleet().op("i-1", BOOKING._replace(issued_at_ms=EPOCH_MS + 60_000))
        self.assertEqual(ResultCode.FIELD_INVALID, Fleet().decide("i-1", op).code)

    def test_full_bucket_refuses_claims(self):
        self.patch(claims, "MAX_BUCKET_BYTES", 200)
        fleet = Fleet()
        decisions = [
            fleet.decide(
                "i-1", fleet.op("i-1", BOOKING._replace(request_id=f"b-{each}"))
            )
            for each in range(4)
        ]
        self.assertTrue(decisions[0].is_claimed)
        self.assertEqual(ResultCode.NOT_RUN_OVERLOADED, decisions[3].code)

    def test_answer_too_large_to_keep_leaves_the_outcome_unknown(self):
        fleet = Fleet()
        op = fleet.op("i-1")
        fleet.decide("i-1", op)
        fleet.close(
            "i-1", op, ClaimState.DONE, b"x" * (claims.MAX_RECORDED_ANSWER_BYTES + 1)
        )
        decision = fleet.decide("i-2", fleet.op("i-2"))
        self.assertEqual(ResultCode.OUTCOME_UNKNOWN, decision.code)
        self.assertIn("too large", decision.detail)

    def test_undecodable_bucket_is_rejected(self):
        error = self.assertRaises(PlatformError, decode_bucket, b"\xc1")
        self.assertEqual(ResultCode.PLATFORM_REPLY_INVALID, error.code)

    def test_outcome_determines_the_closing_state(self):
        expected = {
            ResultCode.OK: ClaimState.DONE,
            ResultCode.FAILED: ClaimState.DONE,
            ResultCode.OUTCOME_UNKNOWN: ClaimState.UNKNOWN,
            ResultCode.NOT_RUN_NO_UPSTREAM: ClaimState.UNSENT,
            ResultCode.SHARD_UNKNOWN: ClaimState.UNSENT,
            ResultCode.INTERNAL: ClaimState.UNKNOWN,
        }
        for code, state in expected.items():
            self.assertEqual(state, closing_state(code))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(st.sampled_from([None, None, DOWN, LOST_REPLY]), max_size=25),
        st.lists(
            st.tuples(
                st.sampled_from(["i-1", "i-2", "i-3"]),
                st.sampled_from(["run", "freeze", "unsent", "die"]),
            ),
            max_size=8,
        ),
    )
    def test_runs_at_most_once_under_any_faults(self, faults, arrivals):
        fleet = Fleet()
        fleet.platform.faults = list(faults)
        for instance, fate in arrivals:
            op = fleet.op(instance)
            decision = fleet.decide(instance, op)
            if not decision.is_claimed:
                continue
            if fate == "freeze":
                fleet.timers.advance(9.0)
            if fate == "unsent":
                fleet.close(instance, op, ClaimState.UNSENT)
                continue
            fleet.run(instance, decision)
            if fate == "die":
                fleet.dead.add(instance)
            elif decision.may_send(fleet.timers.now()):
                fleet.close(instance, op, ClaimState.DONE)
        self.assertTrue(len(fleet.runs) <= 1, fleet.lines)


class ClaimsTaskTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.platform = FakePlatform()
        self.lines = []
        self.task = make_claims_task(
            self.platform,
            self.timers,
            EventLog(self.lines.append),
            "i-1",
            1,
            RETENTION_S,
            lambda owner, incarnation: True,
            random.Random(1),
        )

    def claim_all(self, requests, duration_s=5.0):
        threads = [eventlet.spawn(self.task.claim, each) for each in requests]
        self.advance(duration_s)
        return [thread.wait() for thread in threads]

    def advance(self, duration_s):
        for _ in range(int(duration_s * 100)):
            eventlet.sleep(0)
            self.timers.advance(0.01)
        eventlet.sleep(0)

    def test_concurrent_claims_of_a_bucket_share_one_write(self):
        same = [each for each in range(2000) if _bucket_number(each) == 0]
        requests = [BOOKING._replace(request_id=f"b-{each}") for each in same]
        decisions = self.claim_all(requests)
        self.assertTrue(all(decision.is_claimed for decision in decisions))
        self.assertEqual(["get", "put"], self.platform.calls)
        self.assertTrue(self.task.is_idle())

    def test_outcome_is_recorded_and_returned(self):
        self.claim_all([BOOKING])
        answer = encode_answer(SearchAnswer("booking-1", ResultCode.OK))
        self.task.close_claim("booking-1", ClaimState.DONE, answer)
        (again,) = self.claim_all([BOOKING])
        self.assertEqual((False, answer), (again.is_claimed, again.answer))

    def test_outage_refuses_and_closes_the_claim_later(self):
        self.platform.faults = [None, LOST_REPLY] + [DOWN] * 60
        (decision,) = self.claim_all([BOOKING])
        self.assertEqual(ResultCode.NOT_RUN_PLATFORM_DOWN, decision.code)
        self.platform.faults = []
        self.advance(12.0)
        self.assertTrue(self.task.is_idle())
        (again,) = self.claim_all([BOOKING])
        self.assertTrue(again.is_claimed)

    def test_claimed_request_runs_within_its_lease(self):
        (decision,) = self.claim_all([BOOKING], duration_s=0.05)
        driver = SearchSessionDriver()
        answer = driver.run(BOOKING, send_before=100.0 + decision.send_before)
        self.assertEqual(ResultCode.OK, answer.code)


def _bucket_number(number):
    return int(bucket_name(f"b-{number}").rsplit("-", 1)[1])
