from __future__ import annotations

import testtools
from prometheus_client import CollectorRegistry

from almondspool.coordination.admission.backlog_task import make_backlog_task
from almondspool.coordination.upstreams.leg_dispatcher_actions import UpstreamQueueStats
from almondspool.logs import EventLog
from almondspool.protocol.upstream import LoadReport
from almondspool.state.document import Document, Priority, Section, Service, Upstream
from almondspool.transport.timers import VirtualTimers


def make_document():
    upstreams = {name: Upstream(name, "", "z", 2, 25) for name in ("u1", "u2")}
    services = {"alert": Service("alert", ("u1", "u2"))}
    section = Section("perth", Priority.NORMAL, 200, {}, services, upstreams, {})
    return Document(1, {"perth": section})


class BacklogTaskTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.queues = [
            UpstreamQueueStats(name, 0, 2, 2, 12, 0.0, 0.01, 0.01, 0, 0)
            for name in ("u1", "u2")
        ]
        self.registry = CollectorRegistry()
        self.lines = []
        self.task = make_backlog_task(
            lambda: tuple(self.queues),
            self.timers,
            EventLog(self.lines.append),
            self.registry,
        )
        self.task.set_document(make_document())

    def gauge(self, name):
        labels = {"team": "perth", "service": "alert"}
        return self.registry.get_sample_value(f"almondspool_backlog_{name}", labels)

    def test_queues_and_reported_queues_add_up_for_each_service(self):
        self.queues[0] = self.queues[0]._replace(waiting=3, oldest_wait_s=0.5)
        self.task.on_load("u2", LoadReport(2, 4, False, 1.0))
        self.timers.advance(2.0)
        [stats] = self.task.stats()
        self.assertEqual(("perth", "alert", 7, 80, 0.5), stats[:5])
        self.assertEqual((7, 80), (self.gauge("length"), self.gauge("limit")))
        self.timers.advance(60.0)
        self.assertEqual(3, self.task.stats()[0].length)

    def test_growing_queue_logs_a_warning_before_its_limit(self):
        for waiting in range(0, 80, 2):
            self.queues[0] = self.queues[0]._replace(waiting=waiting)
            self.timers.advance(2.0)
            if self.lines:
                break
        self.assertIn("event=backlog.warning team=perth service=alert", self.lines[0])
        self.assertLess(self.task.stats()[0].length, 60)
        self.assertEqual(1.0, self.gauge("warning"))

    def test_service_removed_from_the_document_is_removed_from_the_metrics(self):
        self.timers.advance(2.0)
        self.assertEqual(0, self.gauge("length"))
        self.task.set_document(Document(2, {}))
        self.timers.advance(2.0)
        self.assertIsNone(self.gauge("length"))
        self.assertEqual((), self.task.stats())
