from __future__ import annotations

import collections

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.leg_router import (
    WIDE_BATCH_LEGS,
    LegRouter,
    LegTransport,
)
from almondspool.logs import EventLog
from almondspool.protocol.peer import LegAssignment, LegBatch, LegResults
from almondspool.protocol.upstream import Leg, LegResult
from almondspool.state.document import Upstream
from almondspool.state.members import Member, MemberStatus, View

OWN, IN_ZONE, OUT_OF_ZONE = "perth-1", "perth-2", "perth-3"
UPSTREAM = Upstream("alert-desk-01-a", "127.0.0.1:7301", "perth-north", 2, 25)


def make_view(**status_by_instance):
    zones = {OWN: "perth-south", IN_ZONE: "perth-north", OUT_OF_ZONE: "perth-hills"}
    members = {}
    for name, zone in zones.items():
        status = status_by_instance.get(name.replace("-", "_"), MemberStatus.ALIVE)
        members[name] = Member(name, 1, zone, "", "", status)
    return View(members)


class RouterTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.prepare()

    def prepare(self):
        self.view = make_view()
        self.holders = (OUT_OF_ZONE, IN_ZONE)
        self.batches = []
        self.results_by_leg = collections.defaultdict(list)
        transport = LegTransport(
            lambda batch, reply: self.batches.append((OWN, batch)),
            lambda leg_ids: None,
            self.send_peer,
        )
        self.router = LegRouter(
            OWN,
            transport,
            lambda upstream: self.holders,
            lambda: self.view,
            EventLog(lambda line: None),
        )

    def send_peer(self, instance, message):
        if isinstance(message, LegBatch):
            self.batches.append((instance, message))
        return True

    def send(self, *leg_ids):
        legs = [Leg(leg_id, "r", "t", 1, "s", {}, 100) for leg_id in leg_ids]
        self.router.send(
            0,
            [(UPSTREAM, LegAssignment(UPSTREAM.upstream_id, leg)) for leg in legs],
            lambda result: self.results_by_leg[result.leg_id].append(result),
        )

    def chosen(self):
        self.send("leg")
        return self.batches[-1][0] if self.batches else None


class HolderChoiceTests(RouterTestCase):
    def test_the_view_is_read_once_for_a_wide_request(self):
        views = []
        self.router._view = lambda: views.append(self.view) or self.view
        upstreams = [UPSTREAM._replace(upstream_id=f"u{n}") for n in range(5)]
        leg = Leg("leg", "r", "t", 1, "s", {}, 100)
        pairs = [
            (item, LegAssignment(item.upstream_id, leg._replace(leg_id=str(number))))
            for number, item in enumerate(upstreams)
        ]
        self.router.send(0, pairs, lambda result: None)
        self.assertEqual(1, len(views))

    def test_holder_in_the_zone_of_the_upstream_is_preferred(self):
        self.assertEqual(IN_ZONE, self.chosen())

    def test_own_connections_come_first(self):
        self.holders = (OUT_OF_ZONE, IN_ZONE, OWN)
        self.assertEqual(OWN, self.chosen())

    def test_leaving_holder_is_used_rather_than_none(self):
        self.holders = (OUT_OF_ZONE,)
        self.view = make_view(perth_3=MemberStatus.LEAVING)
        self.assertEqual(OUT_OF_ZONE, self.chosen())

    def test_live_holder_is_preferred_to_a_suspect_one_in_the_zone(self):
        self.view = make_view(perth_2=MemberStatus.SUSPECT)
        self.assertEqual(OUT_OF_ZONE, self.chosen())

    def test_dead_holder_gets_nothing_and_the_leg_was_not_run(self):
        self.holders = (OUT_OF_ZONE,)
        self.view = make_view(perth_3=MemberStatus.DEAD)
        self.assertIsNone(self.chosen())
        (result,) = self.results_by_leg["leg"]
        self.assertEqual(ResultCode.LEG_NO_HOLDER, result.code)
        self.assertFalse(result.was_run)


class WideBatchTests(RouterTestCase):
    def send_wide(self, legs, holders=(OUT_OF_ZONE, IN_ZONE, OWN), zone=UPSTREAM.zone):
        self.holders = holders
        leg = Leg("leg", "r", "t", 1, "s", {}, 100)
        pairs = [
            (
                UPSTREAM._replace(upstream_id=f"u{number}", zone=zone),
                LegAssignment(f"u{number}", leg._replace(leg_id=str(number))),
            )
            for number in range(legs)
        ]
        self.router.send(0, pairs, lambda result: None)
        return {holder: len(batch.assignments) for holder, batch in self.batches}

    def test_a_wide_batch_goes_to_the_holder_in_the_zone_of_the_upstreams(self):
        self.assertEqual({IN_ZONE: WIDE_BATCH_LEGS}, self.send_wide(WIDE_BATCH_LEGS))

    def test_a_narrow_batch_uses_own_connections(self):
        legs = WIDE_BATCH_LEGS - 1
        self.assertEqual({OWN: legs}, self.send_wide(legs))

    def test_legs_to_upstreams_in_the_own_zone_are_not_forwarded(self):
        self.assertEqual({OWN: 100}, self.send_wide(100, zone="perth-south"))

    def test_a_holder_outside_the_zone_of_the_upstreams_gets_none(self):
        self.assertEqual({OWN: 100}, self.send_wide(100, holders=(OUT_OF_ZONE, OWN)))

    def test_a_suspect_holder_gets_none(self):
        self.view = make_view(perth_2=MemberStatus.SUSPECT)
        self.assertEqual({OWN: 100}, self.send_wide(100))


class OwnResultsTests(RouterTestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["send", "result", "down", "cancel"]),
                st.integers(0, 3),
                st.integers(0, 2),
            ),
            max_size=40,
        )
    )
    def test_each_request_gets_the_results_of_its_own_legs_only(self, events):
        """Requests of several callers share the router, in any order of events."""
        self.prepare()
        sent, got = set(), collections.defaultdict(list)
        for kind, request, leg in events:
            leg_id = f"request-{request}/{leg}"
            if kind == "send" and leg_id not in sent:
                sent.add(leg_id)
                self.send_for(f"request-{request}", leg_id, got)
            elif kind == "result":
                result = LegResult(leg_id, ResultCode.OK)
                self.router.on_results(LegResults((result, result)))
            elif kind == "cancel":
                self.router.cancel([leg_id])
            elif kind == "down":
                self.router.on_channel_down(IN_ZONE)
        for request_id, leg_ids in got.items():
            owners = {leg_id.partition("/")[0] for leg_id in leg_ids}
            self.assertEqual({request_id}, owners)
            self.assertEqual(len(set(leg_ids)), len(leg_ids))
            self.assertLessEqual(set(leg_ids), sent)

    def send_for(self, request_id, leg_id, got):
        leg = Leg(leg_id, request_id, "t", 1, "s", {}, 100)
        self.router.send(
            0,
            [(UPSTREAM, LegAssignment(UPSTREAM.upstream_id, leg))],
            lambda result: got[request_id].append(result.leg_id),
        )


class EachLegOnceTests(RouterTestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(["result", "down"]), st.integers(0, 4)),
            max_size=20,
        )
    )
    def test_every_leg_is_answered_once_in_any_order(self, events):
        self.prepare()
        self.send(*map(str, range(5)))
        for kind, number in [*events, ("down", 0)]:
            if kind == "result":
                result = LegResult(str(number), ResultCode.OK)
                self.router.on_results(LegResults((result, result)))
            else:
                self.router.on_channel_down(IN_ZONE)
        counts = {leg: len(results) for leg, results in self.results_by_leg.items()}
        self.assertEqual({str(number): 1 for number in range(5)}, counts)
