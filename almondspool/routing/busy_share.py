"""Utilization of an instance, measured by the time it spends on requests.

Makes bursts and a slowed-down machine visible: there each dispatch takes longer, so the
utilization grows although the instance serves no more requests than before. The CPU
time of the process would not show that, as it excludes the time spent waiting for a
processor.
"""

from __future__ import annotations

import collections

# Length of one measured interval: short enough that the serving set grows within a
# second.
SPAN_S = 0.5
# The highest interval within this time counts, so that an instance that callers have
# just left does not appear idle at once.
HOLD_S = 10.0
# Ratio of the total work of a request to that of its dispatch, which chooses replicas
# and sends; replies, timers and the answer are the rest (``bench.routed_leg_cost``).
WHOLE_PER_FIRST_TURN = 2.5
# The utilization is reported in steps, as each change is sent to the whole fleet.
LOAD_STEP = 0.25


class BusyShare:
    """Adds up the time spent on requests in intervals of fixed length."""

    def __init__(self, now: float) -> None:
        """Start with a utilization of zero."""
        self._span_began_at = now
        self._busy_s = 0.0
        self._shares: collections.deque[float] = collections.deque(
            maxlen=int(HOLD_S / SPAN_S)
        )

    def note_first_turn(self, turn_s: float) -> None:
        """Record how long the dispatch of a request took, in seconds."""
        self._busy_s += turn_s * WHOLE_PER_FIRST_TURN

    def tick(self, now: float) -> None:
        """End the current interval if it is long enough."""
        length_s = now - self._span_began_at
        if length_s < SPAN_S:
            return
        self._shares.append(min(1.0, self._busy_s / length_s))
        self._span_began_at = now
        self._busy_s = 0.0

    def share(self) -> float:
        """Return the highest recent utilization, 0.0 to 1.0, rounded down to a step."""
        return int(max(self._shares, default=0.0) / LOAD_STEP) * LOAD_STEP
