from __future__ import annotations

import collections

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.coordination.claims import claim_bucket, claims
from almondspool.coordination.claims.claim_forwarding import (
    FORWARD_TIMEOUT_S,
    ClaimForwarder,
    ClaimHolders,
    make_reply,
)
from almondspool.coordination.claims.claims import (
    ClaimState,
    bucket_name,
    decode_bucket,
)
from almondspool.errors import PeerError, PlatformError
from almondspool.protocol.claims import ClaimOp
from almondspool.protocol.peer import ClaimAsk, PeerCodec
from almondspool.state.members import Member, MemberStatus, View
from tests.coordination.claim_fleet import ClaimFleet
from tests.coordination.fake_platform import DOWN, LOST_REPLY
from tests.coordination.search_session_driver import make_request
from tests.golden_session import verify_session

EPOCH_MS = 1_700_000_000_000
BOOKING = make_request(
    request_id="booking-1", idempotent=False, shard="shard-0", issued_at_ms=EPOCH_MS
)
BUCKET = bucket_name("booking-1")


def state_of(fleet, request_id="booking-1"):
    """Return the state of a claim as stored in the platform."""
    found = fleet.platform.objects["claims", bucket_name(request_id)]
    return decode_bucket(found.value)[request_id].state


def numbers_in_bucket(count):
    """Return ``count`` numbers whose request ids share one bucket."""
    all_numbers = (each for each in range(10_000) if bucket_name(f"b-{each}") == BUCKET)
    return [next(all_numbers) for _ in range(count)]


class ForwardedClaimSessionTests(testtools.TestCase):
    def test_two_instances_that_both_act_as_holder(self):
        fleet = ClaimFleet()
        fleet.instances_by_name["i-2"].holder = "i-2"
        threads = [fleet.send("i-3", BOOKING), fleet.send("i-2", BOOKING)]
        fleet.advance(1.0)
        self.assertEqual(1, sum(thread.wait().is_claimed for thread in threads))
        self.assertEqual(1, len(fleet.runs))
        verify_session("claim_two_holders", fleet.lines)

    def test_without_conditional_updates_both_run_the_request(self):
        fleet = ClaimFleet()
        fleet.platform.is_conditional = False
        fleet.instances_by_name["i-2"].holder = "i-2"
        threads = [fleet.send("i-3", BOOKING), fleet.send("i-2", BOOKING)]
        fleet.advance(1.0)
        self.assertEqual(2, sum(thread.wait().is_claimed for thread in threads))

    def test_holder_killed_after_the_write(self):
        fleet = ClaimFleet()
        fleet.instances_by_name["i-1"].freezes_after_put = True
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(1.0)
        self.assertTrue(thread.wait().is_claimed)
        self.assertEqual([("booking-1", "i-3")], fleet.runs)
        self.assertEqual(ClaimState.DONE, state_of(fleet))
        verify_session("claim_holder_killed", fleet.lines)

    def test_frozen_holder_commits_no_late_write(self):
        fleet = ClaimFleet()
        holder = fleet.instances_by_name["i-1"]
        thread = fleet.send("i-3", BOOKING, ClaimState.UNSENT)
        fleet.advance(0.002)
        holder.freeze()
        fleet.advance(1.0)
        self.assertTrue(thread.wait().is_claimed)
        holder.resume()
        fleet.advance(1.0)
        self.assertEqual(ClaimState.UNSENT, state_of(fleet))
        self.assertTrue(holder.task.is_idle())
        again = fleet.send("i-2", BOOKING)
        fleet.advance(1.0)
        self.assertTrue(again.wait().is_claimed)
        self.assertEqual([("booking-1", "i-2")], fleet.runs)
        verify_session("claim_holder_frozen", fleet.lines)


class ForwardedClaimTests(testtools.TestCase):
    def test_operations_of_all_instances_share_one_write(self):
        fleet = ClaimFleet()
        numbers = numbers_in_bucket(30)
        threads = [
            fleet.send(
                f"i-{1 + each % 3}",
                BOOKING._replace(request_id=f"b-{number}"),
                ClaimState.CLAIMED,
            )
            for each, number in enumerate(numbers)
        ]
        fleet.advance(0.1)
        self.assertTrue(all(thread.wait().is_claimed for thread in threads))
        self.assertEqual(["get", "put"], fleet.platform.calls)

    def test_abandoned_operation_is_not_claimed_later(self):
        bucket = claim_bucket.ClaimBucket(
            BUCKET, claims.ClaimRules(3600, lambda *_: True)
        )
        op = ClaimOp("i-3.1.1", "booking-1", "digest", EPOCH_MS, "i-3", 1)
        bucket.add(op._replace(state=ClaimState.UNSENT))
        bucket.on_read(EPOCH_MS, None)
        bucket.next_step(0.0, EPOCH_MS)
        bucket.on_written(1)
        bucket.add_remote(op)
        bucket.next_step(0.0, EPOCH_MS)
        found = claim_bucket.encode_bucket({"booking-1": _unsent(op)})
        read = _StoredObject(found, 1)
        (decision,) = bucket.on_read(EPOCH_MS, read)
        self.assertEqual(ResultCode.NOT_RUN_CLAIM_CLOSED, decision.code)

    def test_late_write_of_an_abandoned_operation_is_closed(self):
        fleet = ClaimFleet()
        holder, owner = fleet.instances_by_name["i-1"], fleet.instances_by_name["i-3"]
        owner.is_cut_off = True
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(0.003)
        holder.freeze()
        fleet.advance(1.0)
        self.assertEqual(ResultCode.NOT_RUN_PLATFORM_DOWN, thread.wait().code)
        holder.resume()
        fleet.advance(0.1)
        self.assertEqual(ClaimState.CLAIMED, state_of(fleet))
        owner.is_cut_off = False
        fleet.advance(10.0, step_s=0.01)
        self.assertEqual(ClaimState.UNSENT, state_of(fleet))

    def test_holder_never_closes_a_remote_operation(self):
        bucket = claim_bucket.ClaimBucket(
            BUCKET, claims.ClaimRules(3600, lambda *_: True)
        )
        op = ClaimOp("i-3.1.1", "booking-1", "digest", EPOCH_MS, "i-3", 1)
        bucket.add_remote(op)
        bucket.on_read(EPOCH_MS, None)
        bucket.next_step(0.0, EPOCH_MS)
        failures = [bucket.on_failed(PlatformError("down")) for _ in range(4)]
        self.assertEqual([0, 0, 0, 1], [len(decisions) for decisions in failures])
        self.assertTrue(failures[3][0].may_take_effect)
        self.assertFalse(bucket.has_work())

    def test_late_reply_to_a_claim_does_not_confirm_its_closing(self):
        forwarder = ClaimForwarder("i-3", lambda bucket: "i-1")
        claim = ClaimOp("i-3.1.1", "booking-1", "digest", EPOCH_MS, "i-3", 1)
        closing = claim._replace(state=ClaimState.DONE)
        forwarder.add(0.0, closing, "i-1")
        decision = claims.ClaimDecision(claim.token, ResultCode.OK)
        late = forwarder.pop_replied("i-1", make_reply(claim, decision))
        self.assertIsNone(late)
        replied = forwarder.pop_replied("i-1", make_reply(closing, decision))
        self.assertEqual(closing, replied.op)

    def test_instance_that_is_not_the_holder_returns_the_operation(self):
        fleet = ClaimFleet()
        fleet.instances_by_name["i-1"].holder = "i-2"
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(0.1)
        self.assertTrue(thread.wait().is_claimed)
        self.assertIn("reason=peer_not_holder", "\n".join(fleet.lines))

    def test_closed_channel_ends_the_wait_at_once(self):
        fleet = ClaimFleet()
        fleet.instances_by_name["i-1"].freeze()
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(0.01)
        fleet.instances_by_name["i-3"].task.on_channel_down("i-1")
        fleet.advance(0.05)
        self.assertTrue(thread.dead)
        self.assertTrue(thread.wait().is_claimed)

    def test_silent_holder_is_avoided_temporarily(self):
        fleet = ClaimFleet()
        fleet.instances_by_name["i-1"].freeze()
        first = fleet.send("i-3", BOOKING)
        fleet.advance(FORWARD_TIMEOUT_S + 0.05)
        second = fleet.send("i-3", BOOKING._replace(request_id="booking-2"))
        fleet.advance(0.05)
        self.assertTrue(first.dead and second.dead)

    def test_claim_during_an_outage_is_refused_and_closed_later(self):
        fleet = ClaimFleet()
        fleet.platform.faults = [DOWN] * 500
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(1.0)
        self.assertEqual(ResultCode.NOT_RUN_PLATFORM_DOWN, thread.wait().code)
        fleet.platform.faults = []
        fleet.advance(10.0, step_s=0.01)
        self.assertTrue(all(n.task.is_idle() for n in fleet.instances_by_name.values()))
        again = fleet.send("i-2", BOOKING)
        fleet.advance(1.0)
        self.assertTrue(again.wait().is_claimed)

    def test_operation_in_the_name_of_another_instance_is_refused(self):
        fleet = ClaimFleet()
        op = ClaimOp("i-2.1.1", "booking-1", "digest", EPOCH_MS, "i-2", 1)
        fleet.instances_by_name["i-3"].send("i-1", ClaimAsk(op))
        fleet.advance(0.1)
        self.assertEqual([], fleet.platform.calls)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(st.sampled_from([None, None, None, DOWN, LOST_REPLY]), max_size=20),
        st.lists(st.sampled_from(["i-1", "i-2", "i-3"]), min_size=3, max_size=3),
        st.lists(
            st.tuples(
                st.sampled_from(["i-1", "i-2", "i-3"]),
                st.sampled_from(["booking-1", "booking-2"]),
                st.sampled_from(list(ClaimState)),
                st.sampled_from(["", "", "freeze", "kill_after_put", "resume"]),
                st.sampled_from(["i-1", "i-2", "i-3"]),
                st.sampled_from([0.0, 0.0, 0.001, 0.003, 0.6, 3.0]),
            ),
            max_size=8,
        ),
    )
    def test_runs_at_most_once_regardless_of_the_writer(self, faults, holders, steps):
        fleet = ClaimFleet()
        fleet.platform.faults = list(faults)
        for instance, holder in zip(
            fleet.instances_by_name.values(), holders, strict=True
        ):
            instance.holder = holder
        for name, request_id, closing, fault, target, pause_s in steps:
            fleet.send(name, BOOKING._replace(request_id=request_id), closing)
            _apply_fault(fleet.instances_by_name[target], fault)
            fleet.advance(pause_s, step_s=0.01 if pause_s > 0.1 else 0.001)
        fleet.advance(0.02)
        for instance in fleet.instances_by_name.values():
            instance.resume()
        fleet.advance(3.0, step_s=0.01)
        counts = collections.Counter(request_id for request_id, _ in fleet.runs)
        self.assertTrue(all(count <= 1 for count in counts.values()), fleet.lines)


class ClaimMessageTests(testtools.TestCase):
    def test_operation_beyond_its_bounds_is_malformed(self):
        codec = PeerCodec("a-key-of-the-test-suite")
        for changes in (
            {"request_id": ""},
            {"request_id": "x" * 257},
            {"answer": b"x" * 4097},
            {"token": "x" * 257},
        ):
            op = ClaimOp("i-3.1.1", "booking-1", "digest", EPOCH_MS, "i-3", 1)
            message = ClaimAsk(op._replace(**changes))
            data = codec.encode("i-3", 1, 1, (message,))
            error = self.assertRaises(PeerError, codec.decode, data)
            self.assertEqual(ResultCode.PEER_MALFORMED, error.code)

    def test_only_ready_live_members_hold_buckets(self):
        members = [
            Member("i-1", 1, "a", "", "", MemberStatus.SUSPECT),
            Member("i-2", 1, "a", "", "", MemberStatus.LEAVING),
            Member("i-3", 1, "a", "", "", ready=False),
        ]
        view = view_of(members)
        holders = ClaimHolders(lambda: view)
        self.assertEqual("", holders.holder_of(BUCKET))
        view = view_of([*members, Member("i-4", 1, "a", "", "")])
        self.assertEqual("i-4", holders.holder_of(BUCKET))


def view_of(members):
    return View({member.instance: member for member in members})


class _StoredObject:
    def __init__(self, value, version):
        self.value = value
        self.version = version


def _unsent(op):
    return claims.Claim(
        op.owner, 1, op.token, ClaimState.UNSENT, op.fingerprint, b"", EPOCH_MS + 10**7
    )


def _apply_fault(instance, fault):
    if fault == "freeze":
        instance.freeze()
    elif fault == "kill_after_put":
        instance.freezes_after_put = True
    elif fault == "resume":
        instance.resume()
