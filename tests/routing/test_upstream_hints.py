"""Requests to replicas that ask for backoff or announce that they are leaving."""

from __future__ import annotations

import testtools

from almondspool.protocol.exchange import (
    ConnectionState,
    LegOutcome,
    LegReply,
    UpstreamHints,
)
from tests.routing.routing_harness import (
    ZONES,
    RoutingHarness,
    fetch_route,
    leg_reply,
    search_route,
)

BACKOFF_S = 2.0


def backoff_reply(backoff_s=BACKOFF_S):
    return LegReply(
        LegOutcome.NOT_RUN, 503, hints=UpstreamHints(backoff_s=backoff_s, kind="rest")
    )


def leaving_reply(replica):
    return leg_reply(replica)._replace(hints=UpstreamHints(True, kind="leaving"))


class BackoffTests(testtools.TestCase):
    def test_replica_gets_no_request_during_its_backoff(self):
        harness = RoutingHarness(fetch_route(), search_route(shards=1))
        # The other replicas are so slow that hedges and retries need another replica.
        harness.sender.script = lambda replica: (
            (0.002, backoff_reply())
            if replica.zone == "north"
            else (0.25, leg_reply(replica))
        )
        for number in range(40):
            harness.run(path="/fetch/1", request_id=f"f{number}", seconds=0.15)
            harness.run(path="/sweep/2f", request_id=f"s{number}", seconds=0.15)
        sent_by_id = {}
        for sent in harness.sender.sent:
            sent_by_id.setdefault(sent.replica.replica_id, []).append(sent.sent_at)
        for replica_id in ("records-north", "shard-0-north"):
            times = sent_by_id[replica_id]
            gaps = [after - at for at, after in zip(times, times[1:], strict=False)]
            self.assertTrue(len(gaps) > 1, replica_id)
            self.assertTrue(min(gaps) >= BACKOFF_S, gaps)
        self.assertTrue(
            {"records-north", "shard-0-north"}
            <= set(harness.sender.dropped_waiting_ids)
        )

    def test_search_is_refused_with_the_remaining_backoff_of_its_shards(self):
        harness = RoutingHarness(search_route(shards=4))
        harness.sender.script = lambda _: (0.002, backoff_reply())
        for number in range(4):
            harness.run(request_id=f"a{number}", seconds=0.05)
        self.assertEqual(12, len(harness.sender.sent))
        harness.timers.advance(0.5)
        reply = harness.run(request_id="b", seconds=0.05)
        self.assertEqual(503, reply.status)
        self.assertEqual(12, len(harness.sender.sent))
        retry_after_s = float(dict(reply.headers)[b"Retry-After"])
        self.assertTrue(
            BACKOFF_S - 0.75 <= retry_after_s <= BACKOFF_S - 0.4, retry_after_s
        )

    def test_search_with_enough_other_shards_is_answered_partially(self):
        harness = RoutingHarness(search_route(shards=10))
        harness.sender.script = lambda replica: (
            (0.002, backoff_reply())
            if replica.service == "shard-3"
            else (0.005, leg_reply(replica))
        )
        harness.run(request_id="a")
        reply = harness.run(request_id="b")
        self.assertEqual(200, reply.status)
        self.assertIn((b"Missing-Shards", b"1"), reply.headers)

    def test_single_upstream_request_is_refused_with_the_remaining_backoff(self):
        harness = RoutingHarness(fetch_route(attempts=3))
        harness.sender.script = lambda _: (0.002, backoff_reply())
        for number in range(4):
            harness.run(path="/fetch/1", request_id=f"a{number}", seconds=0.05)
        self.assertEqual(3, len(harness.sender.sent))
        reply = harness.run(path="/fetch/1", request_id="b", seconds=0.05)
        self.assertEqual(503, reply.status)
        self.assertEqual(3, len(harness.sender.sent))
        retry_after_s = float(dict(reply.headers)[b"Retry-After"])
        self.assertTrue(1.0 < retry_after_s <= BACKOFF_S, retry_after_s)

    def test_hedge_without_a_replica_is_not_charged_to_the_budget(self):
        harness = RoutingHarness(search_route(shards=1))
        now = harness.timers.now()
        for replica in harness.registry.usable("shard-0")[1:]:
            harness.selector.health(now, replica).set_backoff(now, BACKOFF_S)
        before = harness.budget.available(now, "shard-0")
        harness.sender.script = lambda replica: (0.2, leg_reply(replica))
        harness.run()
        self.assertEqual(1, len(harness.sender.sent))
        self.assertTrue(
            harness.budget.available(harness.timers.now(), "shard-0") >= before
        )


class LeavingTests(testtools.TestCase):
    def test_reply_of_a_leaving_replica_counts_and_is_its_last(self):
        harness = RoutingHarness(search_route(shards=2))
        harness.sender.script = lambda replica: (
            0.005,
            leaving_reply(replica) if replica.zone == "north" else leg_reply(replica),
        )
        self.assertEqual(200, harness.run(request_id="a").status)
        before = len(harness.sender.sent)
        for number in range(30):
            self.assertEqual(200, harness.run(request_id=f"b{number}").status)
        zones = {sent.replica.zone for sent in harness.sender.sent[before:]}
        self.assertNotIn("north", zones)
        self.assertIn("leaving", harness.recorded_hints)

    def test_hint_of_a_losing_leg_is_applied(self):
        harness = RoutingHarness(search_route(shards=1))
        # The losing leg is detached, not cancelled.
        harness.sender.connection_state_by_id = {
            f"shard-0-{zone}": ConnectionState.CONNECT for zone in ZONES
        }
        delay_s_by_zone = {"north": 0.120, "south": 0.004, "hills": 0.004}
        harness.sender.script = lambda replica: (
            delay_s_by_zone[replica.zone],
            leaving_reply(replica) if replica.zone == "north" else leg_reply(replica),
        )
        for number in range(5):
            harness.run(request_id=f"a{number}")
            harness.timers.advance(1.0)
        zones_sent_to = {sent.replica.zone for sent in harness.sender.sent}
        if "north" in zones_sent_to:
            self.assertIn("leaving", harness.recorded_hints)
            usable = {replica.zone for replica in harness.registry.usable("shard-0")}
            self.assertNotIn("north", usable)

    def test_leaving_upstream_is_not_probed_for_a_crash(self):
        harness = RoutingHarness(fetch_route())
        north = next(
            replica
            for replica in harness.registry.usable("records")
            if replica.zone == "north"
        )
        harness.registry.on_leaving(harness.timers.now(), north, "r")
        probe_results = []
        harness.crashes.on_broken_connection(north, "digest", probe_results.append)
        self.assertEqual([False], probe_results)
