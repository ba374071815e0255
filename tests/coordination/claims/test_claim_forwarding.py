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
from tests.coordination.search_bench import make_request
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


def numbers_of_bucket(count):
    """Return so many numbers whose request ids share one bucket."""
    all_numbers = (each for each in range(10_000) if bucket_name(f"b-{each}") == BUCKET)
    return [next(all_numbers) for _ in range(count)]


class RoutedClaimStoryTests(testtools.TestCase):
    def test_two_holders_who_both_believe(self):
        fleet = ClaimFleet()
        fleet.nodes_by_name["i-2"].holder = "i-2"
        threads = [fleet.send("i-3", BOOKING), fleet.send("i-2", BOOKING)]
        fleet.advance(1.0)
        self.assertEqual(1, sum(thread.wait().is_claimed for thread in threads))
        self.assertEqual(1, len(fleet.runs))
        verify_session("claim_two_holders", fleet.lines)

    def test_without_conditional_updates_two_holders_run_it(self):
        fleet = ClaimFleet()
        fleet.platform.is_conditional = False
        fleet.nodes_by_name["i-2"].holder = "i-2"
        threads = [fleet.send("i-3", BOOKING), fleet.send("i-2", BOOKING)]
        fleet.advance(1.0)
        self.assertEqual(2, sum(thread.wait().is_claimed for thread in threads))

    def test_holder_killed_after_the_write(self):
        fleet = ClaimFleet()
        fleet.nodes_by_name["i-1"].freezes_after_put = True
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(1.0)
        self.assertTrue(thread.wait().is_claimed)
        self.assertEqual([("booking-1", "i-3")], fleet.runs)
        self.assertEqual(ClaimState.DONE, state_of(fleet))
        verify_session("claim_holder_killed", fleet.lines)

    def test_frozen_holder_commits_nothing_late(self):
        fleet = ClaimFleet()
        holder = fleet.nodes_by_name["i-1"]
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


class RoutedClaimTests(testtools.TestCase):
    def test_asks_of_all_instances_share_one_write(self):
        fleet = ClaimFleet()
        numbers = numbers_of_bucket(30)
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

    def test_ask_given_up_is_not_claimed_later(self):
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
        read = _Found(found, 1)
        (decision,) = bucket.on_read(EPOCH_MS, read)
        self.assertEqual(ResultCode.NOT_RUN_CLAIM_CLOSED, decision.code)

    def test_late_write_of_a_given_up_ask_is_closed(self):
        fleet = ClaimFleet()
        holder, asker = fleet.nodes_by_name["i-1"], fleet.nodes_by_name["i-3"]
        asker.is_cut_off = True
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(0.003)
        holder.freeze()
        fleet.advance(1.0)
        self.assertEqual(ResultCode.NOT_RUN_PLATFORM_DOWN, thread.wait().code)
        holder.resume()
        fleet.advance(0.1)
        self.assertEqual(ClaimState.CLAIMED, state_of(fleet))
        asker.is_cut_off = False
        fleet.advance(10.0, step_s=0.01)
        self.assertEqual(ClaimState.UNSENT, state_of(fleet))

    def test_holder_never_closes_the_ask_of_another(self):
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

    def test_late_reply_to_a_claim_does_not_count_for_its_closing(self):
        routes = ClaimForwarder("i-3", lambda bucket: "i-1")
        claim = ClaimOp("i-3.1.1", "booking-1", "digest", EPOCH_MS, "i-3", 1)
        closing = claim._replace(state=ClaimState.DONE)
        routes.add(0.0, closing, "i-1")
        decision = claims.ClaimDecision(claim.token, ResultCode.OK)
        late = routes.take_replied("i-1", make_reply(claim, decision))
        self.assertIsNone(late)
        taken = routes.take_replied("i-1", make_reply(closing, decision))
        self.assertEqual(closing, taken.op)

    def test_holder_that_is_none_sends_the_asker_back(self):
        fleet = ClaimFleet()
        fleet.nodes_by_name["i-1"].holder = "i-2"
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(0.1)
        self.assertTrue(thread.wait().is_claimed)
        self.assertIn("reason=peer_not_holder", "\n".join(fleet.lines))

    def test_closed_channel_ends_the_wait_at_once(self):
        fleet = ClaimFleet()
        fleet.nodes_by_name["i-1"].freeze()
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(0.01)
        fleet.nodes_by_name["i-3"].task.on_channel_down("i-1")
        fleet.advance(0.05)
        self.assertTrue(thread.dead)
        self.assertTrue(thread.wait().is_claimed)

    def test_silent_holder_is_left_alone_for_a_while(self):
        fleet = ClaimFleet()
        fleet.nodes_by_name["i-1"].freeze()
        first = fleet.send("i-3", BOOKING)
        fleet.advance(FORWARD_TIMEOUT_S + 0.05)
        second = fleet.send("i-3", BOOKING._replace(request_id="booking-2"))
        fleet.advance(0.05)
        self.assertTrue(first.dead and second.dead)

    def test_outage_is_refused_and_closed_later(self):
        fleet = ClaimFleet()
        fleet.platform.faults = [DOWN] * 500
        thread = fleet.send("i-3", BOOKING)
        fleet.advance(1.0)
        self.assertEqual(ResultCode.NOT_RUN_PLATFORM_DOWN, thread.wait().code)
        fleet.platform.faults = []
        fleet.advance(10.0, step_s=0.01)
        self.assertTrue(all(n.task.is_idle() for n in fleet.nodes_by_name.values()))
        again = fleet.send("i-2", BOOKING)
        fleet.advance(1.0)
        self.assertTrue(again.wait().is_claimed)

    def test_ask_in_the_name_of_another_instance_is_refused(self):
        fleet = ClaimFleet()
        op = ClaimOp("i-2.1.1", "booking-1", "digest", EPOCH_MS, "i-2", 1)
        fleet.nodes_by_name["i-3"].send("i-1", ClaimAsk(op))
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
    def test_runs_at_most_once_whoever_writes(self, faults, holders, steps):
        fleet = ClaimFleet()
        fleet.platform.faults = list(faults)
        for node, holder in zip(fleet.nodes_by_name.values(), holders, strict=True):
            node.holder = holder
        for name, request_id, closing, fault, target, pause_s in steps:
            fleet.send(name, BOOKING._replace(request_id=request_id), closing)
            _apply_fault(fleet.nodes_by_name[target], fault)
            fleet.advance(pause_s, step_s=0.01 if pause_s > 0.1 else 0.001)
        fleet.advance(0.02)
        for node in fleet.nodes_by_name.values():
            node.resume()
        fleet.advance(3.0, step_s=0.01)
        counts = collections.Counter(request_id for request_id, _ in fleet.runs)
        self.assertTrue(all(count <= 1 for count in counts.values()), fleet.lines)


class ClaimMessageTests(testtools.TestCase):
    def test_ask_over_its_bounds_is_malformed(self):
        codec = PeerCodec("a-key-of-the-test-suite")
        for changes in (
            {"request_id": ""},
            {"request_id": "x" * 257},
            {"answer": b"x" * 4097},
            {"token": "x" * 257},
        ):
            op = ClaimOp("i-3.1.1", "booking-1", "digest", EPOCH_MS, "i-3", 1)
            ask = ClaimAsk(op._replace(**changes))
            data = codec.encode("i-3", 1, 1, (ask,))
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


class _Found:
    def __init__(self, value, version):
        self.value = value
        self.version = version


def _unsent(op):
    return claims.Claim(
        op.owner, 1, op.token, ClaimState.UNSENT, op.fingerprint, b"", EPOCH_MS + 10**7
    )


def _apply_fault(node, fault):
    if fault == "freeze":
        node.freeze()
    elif fault == "kill_after_put":
        node.freezes_after_put = True
    elif fault == "resume":
        node.resume()
