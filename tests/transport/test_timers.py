from __future__ import annotations

import eventlet
import testtools

from almondspool.transport.timers import EventletTimers, VirtualTimers
from tests.golden_session import verify_session


class VirtualTimersTests(testtools.TestCase):
    def test_callbacks_run_in_order_of_due_time(self):
        timers = VirtualTimers()
        lines = []

        def record(name):
            return lambda: lines.append(f"{timers.now():.3f} {name}")

        repeating = timers.subscribe(0.5, record("every half second"))
        timers.call_later(0.7, record("once"))
        timers.call_later(0.2, record("cancelled")).cancel()
        timers.advance(1.2)
        repeating.cancel()
        timers.advance(5.0)
        verify_session("virtual_timers", lines)


class EventletTimersTests(testtools.TestCase):
    def test_subscription_is_not_called_after_its_cancellation(self):
        calls = []
        handle = EventletTimers().subscribe(0.02, lambda: calls.append(1))
        eventlet.sleep(0.005)
        handle.cancel()
        eventlet.sleep(0.05)
        self.assertEqual([], calls)
