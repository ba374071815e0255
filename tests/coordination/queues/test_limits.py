from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.coordination.queues import limits
from almondspool.coordination.queues.limits import AdaptiveLimit
from tests.golden_session import verify_session

SLOTS = 2
GRANTED = 12


class AdaptiveLimitTests(testtools.TestCase):
    def saturate(self, limit, start_s, duration_s, service_s, lines=None):
        """Fully use the limit while SLOTS serve one exchange each at a time."""
        now = start_s
        next_line = start_s
        while now < start_s + duration_s:
            in_flight = limit.limit
            latency_s = service_s * max(1.0, in_flight / SLOTS)
            now += latency_s / in_flight
            limit.on_latency(now, latency_s, in_flight)
            if lines is not None and now >= next_line:
                next_line += 0.2
                lines.append(
                    f"{now:7.3f} s  limit {limit.limit},"
                    f" latency {limit.latency_s * 1e3:.1f} ms,"
                    f" least {limit.min_latency_s * 1e3:.1f} ms"
                )
        return now

    def test_session_with_slow_service_and_a_shed(self):
        limit = AdaptiveLimit(SLOTS, GRANTED)
        lines = [f"  0.000 s  limit {limit.limit}, from the slots"]
        now = self.saturate(limit, 0.0, 1.0, 0.010, lines)
        lines.append(f"{now:7.3f} s  service takes five times as long")
        now = self.saturate(limit, now, 2.0, 0.050, lines)
        lines.append(f"{now:7.3f} s  service is fast again")
        now = self.saturate(limit, now, 1.0, 0.010, lines)
        limit.on_shed(now)
        lines.append(f"{now:7.3f} s  the upstream shed: limit {limit.limit}")
        limit.set_granted(1)
        lines.append(f"{now:7.3f} s  one connection granted: limit {limit.limit}")
        verify_session("adaptive_limit", lines)

    def settled_limit(self):
        limit = AdaptiveLimit(SLOTS, GRANTED)
        self.saturate(limit, 0.0, 5.0, 0.010)
        return limit.limit

    def test_the_limit_settles_where_the_upstream_queues(self):
        self.assertLessEqual(self.settled_limit(), 2 * SLOTS)

    def test_without_cuts_the_limit_grows_to_the_grant(self):
        self.patch(limits, "CUT_FACTOR", 1.0)
        self.assertGreater(self.settled_limit(), 2 * SLOTS)

    def test_a_limit_not_in_use_does_not_grow(self):
        limit = AdaptiveLimit(SLOTS, GRANTED)
        for number in range(100):
            limit.on_latency(number * 0.01, 0.01, 1)
        self.assertEqual(SLOTS, limit.limit)

    def test_latency_does_not_cut_the_limit_below_the_slots_but_shedding_does(self):
        limit = AdaptiveLimit(SLOTS, GRANTED)
        now = self.saturate(limit, 0.0, 1.0, 0.010)
        now = self.saturate(limit, now, 2.0, 0.100)
        self.assertEqual(SLOTS, limit.limit)
        limit.on_shed(now + 1.0)
        self.assertEqual(1, limit.limit)

    def test_an_old_minimum_is_not_used(self):
        limit = AdaptiveLimit(SLOTS, GRANTED)
        limit.on_latency(10.0, 0.3, 1)
        self.assertEqual(
            (0.3, 0.0),
            (limit.recent_min_latency_s(10.5), limit.recent_min_latency_s(11.5)),
        )

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 12), st.floats(0.0, 3.0), st.floats(0.0, 5.0))
        )
    )
    def test_the_limit_stays_between_one_and_the_grant(self, events):
        limit = AdaptiveLimit(SLOTS, GRANTED)
        now = 0.0
        for granted, step_s, latency_s in events:
            now += step_s
            limit.set_granted(granted)
            limit.on_latency(now, latency_s, limit.limit)
            limit.on_shed(now)
            self.assertLessEqual(limit.limit, granted)
            self.assertGreaterEqual(limit.limit, min(1, granted))
