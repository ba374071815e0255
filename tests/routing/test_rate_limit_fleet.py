from __future__ import annotations

import collections
import random

import testtools

from almondspool.protocol.exchange import LegOutcome, LegReply, UpstreamHints
from almondspool.transport.timers import VirtualTimers
from tests.routing.routing_harness import ZONES, RoutingHarness, search_route

# The platform's rule: in each window, one and a half times the limit and a few more,
# from instances that have known the limit for a while.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
KNOWN_FOR_S = 0.5
LEG_S = 0.02
STARTED_AT = 100.0


class LimitedUpstream:
    """A replica that names a limit in its replies, and what it received.

    Attributes:
        limit: The limit named, in requests a second; None for none.
        counted: Times of the requests that the rule counts.
        received: Number of all requests.
    """

    def __init__(self, limit):
        self.limit = limit
        self.counted = []
        self.received = 0
        self._known_since_by_instance = {}

    def receive(self, now, instance):
        """Count a request and return the limit to name."""
        self.received += 1
        known_since = self._known_since_by_instance.get(instance)
        if known_since is not None and now >= known_since + KNOWN_FOR_S:
            self.counted.append(now)

    def tell(self, now, instance):
        self._known_since_by_instance.setdefault(instance, now)

    def excuse(self, instance):
        """Forget what an instance was told, as it has restarted."""
        self._known_since_by_instance.pop(instance, None)

    def most_in_a_window(self):
        return max(
            (
                sum(at <= other < at + WINDOW_S for other in self.counted[index:])
                for index, at in enumerate(self.counted)
            ),
            default=0,
        )


class Fleet:
    """Instances on one virtual clock that search one shard with limited replicas."""

    def __init__(self, size, limits, seed=1, zones=ZONES):
        self.timers = VirtualTimers(start=STARTED_AT)
        self.rng = random.Random(seed)
        self.route = search_route(shards=1, min_coverage=1.0)
        self.zone_by_instance = {
            f"instance-{number}": zones[number % len(zones)] for number in range(size)
        }
        self.instances = list(self.zone_by_instance)
        self.upstream_by_id = {
            f"shard-0-{zone}": LimitedUpstream(limit)
            for zone, limit in zip(ZONES, limits, strict=True)
        }
        self.harness_by_instance = {}
        for instance in self.instances:
            self.start(instance)
        self.statuses = collections.Counter()
        self.retry_after_s = []

    def start(self, instance):
        """Start an instance, or start it again without what it knew."""
        harness = RoutingHarness(
            self.route,
            instances=len(self.instances),
            timers=self.timers,
            zone=self.zone_by_instance[instance],
            share=(instance, self.zone_by_instance),
        )
        harness.sender.script = lambda replica: self._reply(instance, replica)
        self.harness_by_instance[instance] = harness
        for upstream in self.upstream_by_id.values():
            upstream.excuse(instance)

    def _reply(self, instance, replica):
        upstream = self.upstream_by_id[replica.replica_id]
        upstream.receive(self.timers.now(), instance)
        return LEG_S, lambda: self._make_reply(instance, replica, upstream)

    def _make_reply(self, instance, replica, upstream):
        hints = UpstreamHints()
        if upstream.limit is not None:
            upstream.tell(self.timers.now(), instance)
            hints = UpstreamHints(kind="limit", rate_limit=upstream.limit)
        signature = f"sig-{replica.replica_id}".encode()
        return LegReply(LegOutcome.ANSWERED, 200, (), b"", signature, None, hints=hints)

    def load(self, seconds, rate, instances=None):
        """Send searches to random instances at a rate, for some seconds."""
        instances = instances or self.instances
        end = self.timers.now() + seconds
        while True:
            wait_s = self.rng.expovariate(rate)
            if self.timers.now() + wait_s > end:
                self.timers.advance(max(0.0, end - self.timers.now()))
                return
            self.timers.advance(wait_s)
            harness = self.harness_by_instance[self.rng.choice(instances)]
            request = harness.request(deadline_s=0.6)
            harness.router.handle(request, self._on_answer)

    def _on_answer(self, answer):
        self.statuses[answer.status] += 1
        for name, value in answer.headers:
            if name == b"Retry-After":
                self.retry_after_s.append(float(value))

    def excess(self):
        """Return by how much the worst window exceeds the rule, or 0."""
        return max(
            max(
                0.0,
                upstream.most_in_a_window()
                - ALLOWED_FACTOR * upstream.limit * WINDOW_S
                - ALLOWED_EXTRA,
            )
            for upstream in self.upstream_by_id.values()
            if upstream.limit is not None
        )


class RateLimitFleetTests(testtools.TestCase):
    def test_six_instances_together_keep_an_upstreams_limit(self):
        for limit in (0.6, 2.0, 7.8, 20.5):
            fleet = Fleet(6, (limit, None, None))
            fleet.load(20.0, 90.0)
            self.assertEqual(0.0, fleet.excess(), limit)
            self.assertEqual({200}, set(fleet.statuses))

    def test_four_hundred_instances_together_keep_an_upstreams_limit(self):
        for limit in (7.0, 40.0):
            fleet = Fleet(440, (limit, None, None))
            fleet.load(12.0, 400.0)
            self.assertEqual(0.0, fleet.excess(), limit)
            self.assertEqual({200}, set(fleet.statuses))

    def test_limit_is_kept_by_fleets_of_any_size_and_used_while_others_have_room(self):
        for size in (1, 2, 10, 101, 195):
            fleet = Fleet(size, (12.0, None, None), seed=size)
            fleet.load(20.0, 90.0)
            self.assertEqual(0.0, fleet.excess(), size)
            self.assertTrue(fleet.upstream_by_id["shard-0-north"].counted, size)

    def test_limits_that_move_are_kept(self):
        fleet = Fleet(6, (30.0, 30.0, None))
        upstream = fleet.upstream_by_id["shard-0-north"]
        for limit in (12.0, 25.0, 9.0, 18.0):
            fleet.load(5.0, 90.0)
            upstream.limit = limit
            upstream.counted.clear()
            fleet.load(KNOWN_FOR_S, 90.0)
        fleet.load(10.0, 90.0)
        self.assertEqual(0.0, fleet.excess())

    def test_limit_ends_with_a_reply_that_names_none(self):
        for size in (6, 60):
            fleet = Fleet(size, (6.0, None, None))
            upstream = fleet.upstream_by_id["shard-0-north"]
            fleet.load(10.0, 90.0)
            upstream.limit = None
            limited = upstream.received
            fleet.load(20.0, 90.0)
            self.assertTrue(upstream.received - limited > 2 * 6.0 * 20.0, size)

    def test_callers_that_move_to_idle_instances_do_not_exceed_the_limit(self):
        fleet = Fleet(60, (7.0, None, None))
        first, second = fleet.instances[:30], fleet.instances[30:]
        fleet.load(8.0, 120.0)
        for _ in range(3):
            fleet.load(6.0, 120.0, first)
            fleet.load(6.0, 120.0, second)
        self.assertEqual(0.0, fleet.excess())

    def test_restarts_do_not_exceed_the_limit(self):
        fleet = Fleet(6, (9.0, 9.0, 9.0))
        fleet.load(6.0, 90.0)
        for instance in fleet.instances:
            fleet.start(instance)
            fleet.load(1.5, 90.0)
        self.assertEqual(0.0, fleet.excess())

    def test_replicas_that_are_all_limited_take_what_they_can_and_the_rest_returns(
        self,
    ):
        fleet = Fleet(6, (8.0, 8.0, 8.0))
        fleet.load(20.0, 60.0)
        self.assertEqual(0.0, fleet.excess())
        self.assertEqual({200, 503}, set(fleet.statuses))
        for upstream in fleet.upstream_by_id.values():
            self.assertTrue(upstream.received > 0.8 * 8.0 * 20.0, upstream.received)
        self.assertTrue(0.0 < max(fleet.retry_after_s) <= 1.0)
