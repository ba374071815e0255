from __future__ import annotations

import random

import testtools

from almondspool.coordination.store.platform_calls import (
    instance_calls_per_s,
    make_platform_calls,
)
from almondspool.coordination.store.platform_circuit import CallPermit, PlatformCircuit
from almondspool.logs import EventLog
from almondspool.transport.timers import VirtualTimers
from tests.fakes import FakePlatform
from tests.golden_session import verify_session

CALLS_PER_S = 5.0


class PlatformCallsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.platform = FakePlatform()
        self.lines = []
        self.calls = make_platform_calls(
            self.platform,
            self.timers,
            EventLog(self.write),
            CALLS_PER_S,
            random.Random(7),
        )

    def write(self, line):
        self.lines.append(f"{self.timers.now():6.2f} {line}")

    def run_load(self, seconds, title):
        """Request ten calls a second and log how many reach the platform."""
        self.lines.append(f"-- {title}")
        for _ in range(seconds):
            before = sum(self.platform.calls.values())
            for _ in range(10):
                self.calls.get("manifest", "current")
                self.timers.advance(0.1)
            started = sum(self.platform.calls.values()) - before
            self.write(f"calls in this second: {started}")

    def test_outage_and_return(self):
        self.run_load(3, "the platform answers; ten calls a second are asked for")
        self.platform.is_down = True
        self.run_load(10, "the platform is down")
        self.platform.is_down = False
        self.run_load(14, "the platform is back")
        for reason, count in sorted(self.calls.refusals_by_reason.items()):
            self.lines.append(f"refused calls by {reason}: {count}")
        verify_session("platform_outage_and_return", self.lines)

    def test_no_burst_on_return(self):
        self.platform.is_down = True
        self.run_load(60, "down")
        self.platform.is_down = False
        while self.calls.get("manifest", "current").failure().code == 601:
            self.timers.advance(0.1)
        before = sum(self.platform.calls.values())
        self.run_load(1, "first second")
        self.assertLess(sum(self.platform.calls.values()) - before, 2)

    def test_detects_missing_circuit(self):
        permit = CallPermit(0, is_probe=False)
        self.patch(PlatformCircuit, "admit", lambda self, now: permit)
        self.platform.is_down = True
        self.run_load(10, "down")
        self.assertEqual(100, sum(self.platform.calls.values()))

    def test_probe_watch_does_not_wait(self):
        waits = []
        self.platform.watch = lambda kind, after, wait_s: (
            waits.append(wait_s)
            or FakePlatform.watch(self.platform, kind, after, wait_s)
        )
        self.platform.is_down = True
        for _ in range(3):
            self.calls.watch("manifest", 0, 30.0)
        self.platform.is_down = False
        self.timers.advance(5.0)
        self.calls.watch("manifest", 0, 30.0)
        self.assertEqual([30.0, 30.0, 30.0, 0.0], waits)


class RateLimitTests(testtools.TestCase):
    def test_limit_falls_with_the_fleet_size_between_its_bounds(self):
        self.assertEqual(60.0, instance_calls_per_s(180.0, 2))
        self.assertEqual(20.0, instance_calls_per_s(180.0, 9))
        self.assertEqual(2.0, instance_calls_per_s(180.0, 90))
        self.assertEqual(1.0, instance_calls_per_s(180.0, 440))

    def test_lower_rate_discards_excess_tokens(self):
        circuit = PlatformCircuit(20.0, random.Random(1))
        circuit.set_rate(0.0, 2.0)
        admitted = [circuit.admit(0.0) for _ in range(5)]
        permits = [
            decision for decision in admitted if isinstance(decision, CallPermit)
        ]
        self.assertEqual(2, len(permits))
