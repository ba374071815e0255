from __future__ import annotations

import random

import eventlet
import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.search.request_run import RequestRun, RunDependencies
from almondspool.coordination.search.search import make_session
from almondspool.coordination.search.search_context import make_context
from almondspool.logs import EventLog
from almondspool.protocol.upstream import LegResult
from almondspool.transport.metrics import Metrics
from almondspool.transport.timers import EventletTimers
from tests.coordination.search_session_driver import make_request, make_section

SHARDS = 200


class StubRouter:
    """Answers each leg in a later iteration of the event loop, as sockets do."""

    def __init__(self, events):
        self.events = events

    def send(self, priority, pairs, on_result):
        for _, assignment in pairs:
            eventlet.spawn_n(self.answer, assignment, on_result)

    def answer(self, assignment, on_result):
        leg = assignment.leg
        self.events.append(f"dispatched {leg.leg_id}")
        upstream_id = assignment.upstream_id
        on_result(
            LegResult(
                leg.leg_id, ResultCode.OK, 7, leg.shard, (), upstream_id, "", True
            )
        )

    def cancel(self, leg_ids):
        list(leg_ids)


class RequestRunTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.events = []
        self.reports = []
        self.metrics = Metrics()

    def run_request(self, log_decisions):
        timers = EventletTimers()
        dependencies = RunDependencies(
            timers,
            StubRouter(self.events),
            EventLog(self.events.append),
            self.metrics,
            self.events.append,
            log_decisions,
            lambda upstream_id, report: self.reports.append((upstream_id, report)),
        )
        section = make_section(services=SHARDS)
        context = make_context("i-1", 1, "perth-north", 0.05, 600.0, random.Random(1))
        request = make_request(deadline_ms=60_000)
        session = make_session(context, request, lambda: section, 1, timers.now(), 0.0)
        return RequestRun(dependencies, request, session, lambda: section, 0).run()

    def test_legs_are_sent_before_they_are_logged(self):
        answer = self.run_request(log_decisions=True)
        self.assertEqual(ResultCode.OK, answer.code)
        first_line = next(
            index for index, item in enumerate(self.events) if item.startswith("event=")
        )
        self.assertGreaterEqual(first_line, SHARDS)

    def test_each_leg_is_logged_once_before_the_answer(self):
        self.run_request(log_decisions=True)
        sent = sorted(item.split()[1] for item in self.events if "dispatched" in item)
        lines = [item for item in self.events if item.startswith("event=leg.routed ")]
        logged = [word[4:] for line in lines for word in line.split() if "leg=" in word]
        self.assertEqual(sent, sorted(logged))
        # On a slow machine some legs may be hedged.
        legs = sum(
            sample.value
            for metric in self.metrics.registry.collect()
            for sample in metric.samples
            if sample.name == "almondspool_legs_total"
        )
        self.assertEqual(len(sent), legs)

    def test_decisions_are_logged_only_if_enabled(self):
        self.run_request(log_decisions=False)
        sent = [item for item in self.events if item.startswith("dispatched ")]
        self.assertEqual(sent, self.events)
        # On a slow machine some legs may be hedged.
        self.assertGreaterEqual(len(sent), SHARDS)
