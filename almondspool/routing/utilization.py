"""Utilization of an instance, measured by the time it spends on requests.

It shows bursts, and also a machine that has become slower: each dispatch then takes
longer, so the utilization increases although the instance serves no more requests than
before. The CPU time of the process would not show that, as it excludes the time spent
waiting for a processor.
"""

from __future__ import annotations

import collections

# Minimum length of a measured interval: short enough that the serving set grows within
# a second.
INTERVAL_S = 0.5
# The interval with the highest utilization within this time counts, so that an
# instance which callers have just left does not appear idle at once.
WINDOW_S = 10.0
# Ratio of the work for a whole request to the work of its dispatch. The dispatch
# chooses replicas and sends legs; replies, timers and the answer are the rest (see
# ``bench.routed_leg_cost``).
REQUEST_TO_DISPATCH_WORK_RATIO = 2.5
# The utilization is rounded to multiples of this, as each change is sent to the whole
# fleet.
UTILIZATION_STEP = 0.25


class UtilizationMeter:
    """Adds up the time spent on requests in intervals of fixed length."""

    def __init__(self, now: float) -> None:
        """Start with a utilization of zero."""
        self._interval_started_at = now
        # Time spent on requests in the current interval.
        self._busy_s = 0.0
        self._interval_utilizations: collections.deque[float] = collections.deque(
            maxlen=int(WINDOW_S / INTERVAL_S)
        )

    def record_dispatch(self, dispatch_s: float) -> None:
        """Record how long the dispatch of a request took, in seconds."""
        self._busy_s += dispatch_s * REQUEST_TO_DISPATCH_WORK_RATIO

    def tick(self, now: float) -> None:
        """End the current interval if it has at least the minimum length."""
        interval_s = now - self._interval_started_at
        if interval_s < INTERVAL_S:
            return
        self._interval_utilizations.append(min(1.0, self._busy_s / interval_s))
        self._interval_started_at = now
        self._busy_s = 0.0

    def value(self) -> float:
        """Return the highest recent utilization, 0.0 to 1.0, rounded down to a step."""
        return (
            int(max(self._interval_utilizations, default=0.0) / UTILIZATION_STEP)
            * UTILIZATION_STEP
        )
