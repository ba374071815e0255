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


class ShutdownSession:
    """Shutdown under simulated time, recorded line by line."""

    def __init__(self):
        self.shutdown = Shutdown()
        self.now = 0.0
        self.in_flight = ("r1", "r2")
        self.lines = []
        self.log_actions(self.shutdown.begin(SETTINGS, self.now))

    def advance(self, duration_s: float):
        for _ in range(int(duration_s * 10)):
            self.now += 0.1
            phase = self.shutdown.phase
            actions = self.shutdown.tick(self.in_flight, self.now)
            if self.shutdown.phase != phase:
                mode = "serves" if self.shutdown.accepts_requests() else "refuses"
                self.log(f"{phase} -> {self.shutdown.phase}, {mode} new requests")
            self.log_actions(actions)

    def log_actions(self, actions):
        for action in actions:
            self.log(str(action))

    def log(self, text: str):
        self.lines.append(f"{self.now:6.1f} {text}")


class ShutdownTests(testtools.TestCase):
    def test_planned_shutdown(self):
        session = ShutdownSession()
        session.advance(15)
        session.log("-- r1 and r2 are answered")
        session.in_flight = ()
        session.advance(1)
        session.log("-- leases and shares are given back")
        session.log_actions(session.shutdown.on_released())
        verify_session("shutdown_planned", session.lines)

    def test_second_signal_lists_the_requests_cut_off(self):
        session = ShutdownSession()
        session.advance(2)
        session.log("-- second stop signal")
        session.log_actions(session.shutdown.interrupt(session.in_flight))
        session.advance(60)
        verify_session("shutdown_interrupted", session.lines)

    def test_serves_until_cached_addresses_expire(self):
        shutdown = Shutdown()
        self.assertEqual([AnnounceLeaving()], shutdown.begin(SETTINGS, 0.0))
        shutdown.tick((), 9.9)
        self.assertTrue(shutdown.accepts_requests())
        self.assertEqual([GiveBack()], shutdown.tick((), 10.0))
        self.assertFalse(shutdown.accepts_requests())

    def test_request_that_may_outlast_the_drain_is_not_taken(self):
        shutdown = Shutdown()
        self.assertTrue(shutdown.may_finish(0.0, 60.0))
        shutdown.begin(SETTINGS, 0.0)
        self.assertTrue(shutdown.may_finish(0.0, 40.0))
        self.assertFalse(shutdown.may_finish(0.0, 60.0))
        self.assertTrue(shutdown.may_finish(9.9, 30.0))
        self.assertFalse(shutdown.may_finish(9.9, 31.0))
        shutdown.tick(("r1",), 10.0)
        self.assertFalse(shutdown.may_finish(10.0, 1.0))

    def test_requests_that_outlast_the_drain_are_listed(self):
        shutdown = Shutdown()
        shutdown.begin(SETTINGS, 0.0)
        self.assertEqual([], shutdown.tick(("r1",), 10.0))
        self.assertEqual([], shutdown.tick(("r1",), 39.9))
        cut_off, release = shutdown.tick(("r1",), 40.0)
        expected = CutOff(ResultCode.INTERRUPTED, "still in flight after 30 s", ("r1",))
        self.assertEqual(expected, cut_off)
        self.assertEqual(GiveBack(), release)
        self.assertEqual([Exit(ResultCode.INTERRUPTED)], shutdown.on_released())

    def test_hanging_release_does_not_block_the_exit(self):
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
        self.assertFalse(shutdown.accepts_requests())
