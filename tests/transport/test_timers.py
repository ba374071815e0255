from __future__ import annotations

import testtools

from almondspool.transport.timers import VirtualTimers
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
