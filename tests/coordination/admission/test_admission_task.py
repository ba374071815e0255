from __future__ import annotations

import eventlet
import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.admission.admission_task import (
    AdmissionRequest,
    make_admission_task,
)
from almondspool.logs import EventLog
from almondspool.state.document import Priority
from almondspool.transport.timers import VirtualTimers


class AdmissionTaskTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.lines = []
        log = EventLog(self.lines.append)
        self.task = make_admission_task(self.timers, log, 1, 10, seed=1)
        self.first = self.task.acquire(AdmissionRequest("a", Priority.NORMAL, 1.0))

    def acquire(self, request_id, deadline_s):
        request = AdmissionRequest(request_id, Priority.NORMAL, deadline_s)
        thread = eventlet.spawn(self.task.acquire, request)
        eventlet.sleep(0)
        return thread

    def test_caller_waits_until_capacity_is_free(self):
        thread = self.acquire("b", 1.0)
        self.assertEqual(1, self.task.stats().waiting)
        self.timers.advance(0.010)
        self.task.release(self.first)
        decision = thread.wait()
        self.assertTrue(decision.admitted)
        self.assertAlmostEqual(0.010, decision.waited_s)
        self.task.release(decision)
        self.assertEqual(0, self.task.stats().running)

    def test_waiting_caller_is_refused_before_its_deadline(self):
        thread = self.acquire("b", 0.100)
        self.timers.advance(0.099)
        decision = thread.wait()
        self.assertEqual(ResultCode.NOT_RUN_OVERLOADED, decision.code)
        self.assertGreater(decision.retry_after_ms, 0)
        self.assertIn("event=admission.refuse request=b", self.lines[0])

    def test_killed_caller_frees_its_queue_entry(self):
        thread = self.acquire("b", 1.0)
        thread.kill()
        self.assertEqual(0, self.task.stats().waiting)
        self.task.release(self.first)
        self.assertEqual(0, self.task.stats().running)

    def test_caller_killed_after_admission_frees_its_capacity(self):
        thread = self.acquire("b", 1.0)
        self.task.release(self.first)
        thread.kill()
        self.assertEqual(0, self.task.stats().running)
