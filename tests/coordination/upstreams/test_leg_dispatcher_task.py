from __future__ import annotations

import collections

import eventlet
import testtools
from prometheus_client import CollectorRegistry

from almondspool.codes import ResultCode
from almondspool.coordination.admission.admission_task import make_admission_task
from almondspool.coordination.admission.request_metrics import register_request_metrics
from almondspool.coordination.upstreams.leg_dispatcher_task import (
    make_leg_dispatcher_task,
)
from almondspool.logs import EventLog
from almondspool.protocol.upstream import LegResult, LoadReport, UpstreamInterface
from almondspool.state.document import Document, Priority, Section, Upstream
from almondspool.transport.metrics import Metrics
from almondspool.transport.timers import EventletTimers
from tests.coordination.leg_dispatcher_session import make_batch, make_leg


class StubUpstream(UpstreamInterface):
    def __init__(self):
        self.grants = {}
        self.cancelled = []
        self.load_by_shard = {}
        self.gate = eventlet.Event()

    def set_grants(self, connections_by_upstream_id):
        self.grants = dict(connections_by_upstream_id)

    def run(self, upstream, legs, timeout_s):
        for leg in legs:
            if leg.shard == "broken":
                raise ValueError("stub is broken")
            if leg.shard == "gated":
                self.gate.wait()
            load = self.load_by_shard.get(leg.shard)
            yield LegResult(leg.leg_id, ResultCode.OK, 7, leg.shard, load=load)

    def cancel(self, upstream, leg_ids):
        self.cancelled.append((upstream.upstream_id, leg_ids))

    def fetch_load(self, upstream, timeout_s):
        return None

    def retire(self, upstream_id):
        return 0


def make_document(*upstream_ids):
    upstreams = {
        upstream_id: Upstream(upstream_id, "127.0.0.1:1", "z", 2, 25)
        for upstream_id in upstream_ids
    }
    section = Section("perth", Priority.NORMAL, 1000, {}, {}, upstreams, {})
    return Document(1, {"perth": section})


class LegDispatcherTaskTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.upstream = StubUpstream()
        self.lines = []
        log = EventLog(self.lines.append)
        self.reports = []
        self.task = make_leg_dispatcher_task(
            self.upstream,
            EventletTimers(),
            log,
            on_reply=lambda upstream_id, load: self.reports.append((upstream_id, load)),
        )
        self.task.set_grants({"u1": 2, "unknown": 2})
        self.task.set_document(make_document("u1"))
        self.replies = []

    def submit(self, *legs):
        self.task.submit(make_batch("u1", *legs), self.replies.append)

    def settle(self, count):
        with eventlet.Timeout(5):
            while sum(len(reply.results) for reply in self.replies) < count:
                eventlet.sleep(0)
        results = [result for reply in self.replies for result in reply.results]
        return {result.leg_id: result.code for result in results}

    def test_results_of_one_event_loop_iteration_share_a_message(self):
        self.submit(*[make_leg(f"l{number}", f"s{number}") for number in range(2)])
        self.assertEqual(2, len(self.settle(2)))
        self.assertEqual(1, len(self.replies))
        self.assertEqual({"u1": 2}, self.upstream.grants)

    def test_each_reply_is_reported_with_its_load_report(self):
        report = LoadReport(1, 2, False, 1.0)
        self.upstream.load_by_shard = {"s0": report}
        self.submit(make_leg("l0", "s0"), make_leg("l1", "s1"))
        self.settle(2)
        self.assertEqual([("u1", report), ("u1", None)], self.reports)

    def test_a_failed_exchange_frees_its_connection(self):
        for number in range(3):
            self.submit(make_leg(f"l{number}", "broken", idempotent=False))
        self.assertEqual({ResultCode.LEG_FAILED}, set(self.settle(3).values()))
        self.assertEqual(0, self.task.in_flight())
        self.assertIn("stub is broken", "\n".join(self.lines))

    def test_a_cancelled_leg_is_answered_and_cancelled_at_the_upstream(self):
        self.submit(make_leg("a", "gated"))
        eventlet.sleep(0)
        self.task.cancel(["a"])
        self.assertEqual({"a": ResultCode.LEG_CANCELLED}, self.settle(1))
        self.assertEqual([("u1", ("a",))], self.upstream.cancelled)
        self.upstream.gate.send()
        eventlet.sleep(0)
        self.assertEqual(0, self.task.in_flight())

    def test_a_leg_that_waits_too_long_is_answered_at_its_deadline(self):
        self.task.set_grants({"u1": 1})
        self.submit(make_leg("a", "gated"))
        self.submit(make_leg("b", deadline_ms=30))
        self.assertEqual({"b": ResultCode.LEG_TIMEOUT}, self.settle(1))
        self.upstream.gate.send()
        self.settle(2)
        self.assertIn(
            'event=leg.fail leg=b upstream=u1 code=801 was_run=false reason="the'
            ' deadline passed before a connection was free"',
            self.lines,
        )

    def test_metrics_read_the_tasks(self):
        registry = CollectorRegistry()
        admission = make_admission_task(EventletTimers(), EventLog(), 64, 10, seed=1)
        register_request_metrics(self.task, admission, registry)
        self.submit(make_leg("a"), make_leg("b"))
        self.settle(2)
        legs = registry.get_sample_value("almondspool_gatherer_legs_total")
        self.assertEqual(2, legs)
        self.assertEqual(1, registry.get_sample_value("almondspool_legs_shared_total"))
        granted = registry.get_sample_value(
            "almondspool_upstream_granted", {"upstream": "u1"}
        )
        self.assertEqual(2, granted)
        self.assertEqual(16, registry.get_sample_value("almondspool_requests_limit"))

    def test_metrics_of_an_instance_have_unique_names(self):
        registry = Metrics().registry
        admission = make_admission_task(EventletTimers(), EventLog(), 64, 10, seed=1)
        register_request_metrics(self.task, admission, registry)
        counts = collections.Counter(family.name for family in registry.collect())
        self.assertEqual({1}, set(counts.values()), counts)

    def test_a_reply_that_raises_does_not_stop_the_others(self):
        def reply_broken(results):
            raise ValueError("reply callback is broken")

        self.task.submit(make_batch("u1", make_leg("a")), reply_broken)
        self.submit(make_leg("b", "s2"))
        self.assertEqual({"b": ResultCode.OK}, self.settle(1))
        self.assertIn("reply.error", "\n".join(self.lines))
