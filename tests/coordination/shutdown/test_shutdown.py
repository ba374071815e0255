from __future__ import annotations

import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.shutdown.shutdown import (
    AnnounceLeaving,
    CutOff,
    Exit,
    GiveBack,
    Shutdown,
    ShutdownSettings,
)
from tests.golden_session import verify_session

SETTINGS = ShutdownSettings(spread_s=4.0, entry_ttl_s=5.0, drain_s=30.0)


class Stop:
    """A planned stop told line by line."""

    def __init__(self):
        self.shutdown = Shutdown()
        self.now = 0.0
        self.in_flight = ("r1", "r2")
        self.lines = []
        self.take(self.shutdown.begin(SETTINGS, self.now))

    def advance(self, duration_s: float):
        for _ in range(int(duration_s * 10)):
            self.now += 0.1
            phase = self.shutdown.phase
            actions = self.shutdown.tick(self.in_flight, self.now)
            if self.shutdown.phase != phase:
                takes = "serves" if self.shutdown.accepts_new() else "refuses"
                self.say(f"{phase} -> {self.shutdown.phase}, {takes} new requests")
            self.take(actions)

    def take(self, actions):
        for action in actions:
            self.say(str(action))

    def say(self, text: str):
        self.lines.append(f"{self.now:6.1f} {text}")


class ShutdownTests(testtools.TestCase):
    def test_planned_stop(self):
        stop = Stop()
        stop.advance(15)
        stop.say("-- r1 and r2 are answered")
        stop.in_flight = ()
        stop.advance(1)
        stop.say("-- leases and shares are given back")
        stop.take(stop.shutdown.on_released())
        verify_session("shutdown_planned", stop.lines)

    def test_second_signal_names_what_is_cut(self):
        stop = Stop()
        stop.advance(2)
        stop.say("-- second stop signal")
        stop.take(stop.shutdown.interrupt(stop.in_flight))
        stop.advance(60)
        verify_session("shutdown_interrupted", stop.lines)

    def test_serves_until_given_out_addresses_ran_out(self):
        shutdown = Shutdown()
        self.assertEqual([AnnounceLeaving()], shutdown.begin(SETTINGS, 0.0))
        shutdown.tick((), 9.9)
        self.assertTrue(shutdown.accepts_new())
        self.assertEqual([GiveBack()], shutdown.tick((), 10.0))
        self.assertFalse(shutdown.accepts_new())

    def test_requests_that_outlive_the_drain_are_named(self):
        shutdown = Shutdown()
        shutdown.begin(SETTINGS, 0.0)
        self.assertEqual([], shutdown.tick(("r1",), 10.0))
        self.assertEqual([], shutdown.tick(("r1",), 39.9))
        cut, give_back = shutdown.tick(("r1",), 40.0)
        expected = CutOff(ResultCode.INTERRUPTED, "still in flight after 30 s", ("r1",))
        self.assertEqual(expected, cut)
        self.assertEqual(GiveBack(), give_back)
        self.assertEqual([Exit(ResultCode.INTERRUPTED)], shutdown.on_released())

    def test_give_back_that_hangs_does_not_hold_up_the_exit(self):
        shutdown = Shutdown()
        shutdown.begin(SETTINGS, 0.0)
        shutdown.tick((), 10.0)
        self.assertEqual([], shutdown.tick((), 24.9))
        self.assertEqual([Exit(ResultCode.OK)], shutdown.tick((), 25.0))
        self.assertEqual([], shutdown.on_released())

    def test_begin_is_idempotent(self):
        shutdown = Shutdown()
        shutdown.begin(SETTINGS, 0.0)
        self.assertEqual([], shutdown.begin(SETTINGS, 5.0))
        shutdown.tick((), 10.0)
        self.assertFalse(shutdown.accepts_new())
