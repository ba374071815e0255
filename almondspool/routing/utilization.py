"""Utilization of an instance, measured by the time it spends on requests.

Makes bursts and a slowed-down machine visible: there each dispatch takes longer, so the
utilization grows although the instance serves no more requests than before. The CPU
time of the process would not show that, as it excludes the time spent waiting for a
processor.
"""

from __future__ import annotations

import collections

# Length of a measured interval: short enough that the serving set grows within a
# second.
INTERVAL_S = 0.5
# The highest interval within this time counts, so that an instance that callers have
# just left does not appear idle at once.
WINDOW_S = 10.0
# Ratio of the total work of a request to that of its dispatch, which chooses replicas
# and sends; replies, timers and the answer are the rest (``bench.routed_leg_cost``).
TOTAL_PER_DISPATCH = 2.5
# The utilization is reported in steps, as each change is sent to the whole fleet.
UTILIZATION_STEP = 0.25


class UtilizationMeter:
    """Adds up the time spent on requests in intervals of fixed length."""

    def __init__(self, now: float) -> None:
        """Start with a utilization of zero."""
        self._interval_started_at = now
        self._busy_s = 0.0
        self._samples: collections.deque[float] = collections.deque(
            maxlen=int(WINDOW_S / INTERVAL_S)
        )

    def record_dispatch(self, dispatch_s: float) -> None:
        """Record how long the dispatch of a request took, in seconds."""
        self._busy_s += dispatch_s * TOTAL_PER_DISPATCH

    def tick(self, now: float) -> None:
        """End the current interval if it is long enough."""
        length_s = now - self._interval_started_at
        if length_s < INTERVAL_S:
            return
        self._samples.append(min(1.0, self._busy_s / length_s))
        self._interval_started_at = now
        self._busy_s = 0.0

    def value(self) -> float:
        """Return the highest recent utilization, 0.0 to 1.0, rounded down to a step."""
        return (
            int(max(self._samples, default=0.0) / UTILIZATION_STEP) * UTILIZATION_STEP
        )
