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
from tests.coordination.search_bench import make_request, make_section

SHARDS = 200


class StubRouter:
    """Answers each leg in a later turn of the hub, as sockets do."""

    def __init__(self, notes):
        self.notes = notes

    def send(self, priority, pairs, on_result):
        for _, assignment in pairs:
            eventlet.spawn_n(self.answer, assignment, on_result)

    def answer(self, assignment, on_result):
        leg = assignment.leg
        self.notes.append(f"left {leg.leg_id}")
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
        self.notes = []
        self.reports = []
        self.metrics = Metrics()

    def run_request(self, log_decisions):
        timers = EventletTimers()
        dependencies = RunDependencies(
            timers,
            StubRouter(self.notes),
            EventLog(self.notes.append),
            self.metrics,
            self.notes.append,
            log_decisions,
            lambda upstream_id, report: self.reports.append((upstream_id, report)),
        )
        section = make_section(services=SHARDS)
        context = make_context("i-1", 1, "perth-north", 0.05, 600.0, random.Random(1))
        request = make_request(deadline_ms=60_000)
        session = make_session(context, request, lambda: section, 1, timers.now(), 0.0)
        return RequestRun(dependencies, request, session, lambda: section, 0).run()

    def test_legs_leave_before_the_lines_that_name_them(self):
        answer = self.run_request(log_decisions=True)
        self.assertEqual(ResultCode.OK, answer.code)
        first_line = next(
            place for place, note in enumerate(self.notes) if note.startswith("event=")
        )
        self.assertGreaterEqual(first_line, SHARDS)

    def test_each_leg_has_one_line_when_the_answer_is_there(self):
        self.run_request(log_decisions=True)
        left = sorted(note.split()[1] for note in self.notes if "left" in note)
        lines = [note for note in self.notes if note.startswith("event=leg.routed ")]
        named = [word[4:] for line in lines for word in line.split() if "leg=" in word]
        self.assertEqual(left, sorted(named))
        # A slow machine may hedge.
        legs = sum(
            sample.value
            for metric in self.metrics.registry.collect()
            for sample in metric.samples
            if sample.name == "almondspool_legs_total"
        )
        self.assertEqual(len(left), legs)

    def test_no_lines_are_written_unless_asked_for(self):
        self.run_request(log_decisions=False)
        left = [note for note in self.notes if note.startswith("left ")]
        self.assertEqual(left, self.notes)
        # A slow machine may hedge.
        self.assertGreaterEqual(len(left), SHARDS)
