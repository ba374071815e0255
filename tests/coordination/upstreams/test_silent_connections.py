from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.coordination.upstreams.silent_connections import (
    SilentConnectionDetector,
)
from tests.golden_session import verify_session

UPSTREAM = "searcher-1"


class _Session:
    """Reports events to a detector and logs a line for each."""

    def __init__(self):
        self.detector = SilentConnectionDetector()
        self.lines = []

    def log(self, now, text):
        suspected = self.detector.newest_suspected(now, UPSTREAM)
        suffix = f"; up to {suspected} in doubt" if suspected else ""
        self.lines.append(f"{now:6.2f} s  {text}{suffix}")

    def answer(self, now, serial):
        retired = self.detector.on_answer(now, UPSTREAM, serial)
        outcome = f": retire up to {retired}" if retired else ""
        self.log(now, f"{serial} answers{outcome}")

    def timeout(self, now, serial, waited_s=0.2):
        retired = self.detector.on_timeout(now, UPSTREAM, serial, now - waited_s)
        outcome = f"silent, retire up to {retired}" if retired else "upstream blamed"
        self.log(now, f"{serial} times out after {waited_s * 1000:.0f} ms: {outcome}")
        return retired


class SilentConnectionDetectorTests(testtools.TestCase):
    def test_session_with_silent_connections(self):
        session = _Session()
        log_step = session.lines.append
        log_step("Connections 1 to 4 are open; 1 to 3 go silent.")
        for serial in (1, 2, 3, 4):
            session.answer(0.0, serial)
        session.answer(10.1, 4)
        session.timeout(10.2, 2)
        log_step("5 to 7 go silent, and there is none newer to compare with.")
        for serial in (5, 6, 7):
            session.answer(20.0, serial)
        session.timeout(30.0, 6)
        session.timeout(30.0, 7)
        session.answer(30.3, 8)
        log_step("The upstream itself is slow: a new connection gets no answer either.")
        session.answer(50.0, 9)
        session.timeout(60.0, 9)
        session.timeout(60.5, 10)
        session.timeout(61.0, 9)
        log_step("The upstream is overloaded: old and new time out, some answer.")
        session.answer(80.05, 11)
        session.timeout(80.1, 12)
        session.timeout(80.1, 10)
        session.answer(90.05, 10)
        session.answer(90.05, 12)
        session.timeout(90.1, 11)
        log_step("A deadline that was too short says nothing.")
        session.answer(100.0, 12)
        session.timeout(100.01, 11, waited_s=0.02)
        verify_session("silent_connections", session.lines)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.integers(1, 9), st.floats(0.0, 2.0))))
    def test_a_connection_that_answered_since_is_never_retired(self, events):
        session = _Session()
        now = 0.0
        answered_at = {}
        for is_answer, serial, step_s in events:
            now += step_s
            if is_answer:
                session.answer(now, serial)
                answered_at[serial] = now
                continue
            retired = session.timeout(now, serial)
            for older in range(1, retired + 1):
                self.assertLess(answered_at.get(older, -1.0), now - 0.2)
